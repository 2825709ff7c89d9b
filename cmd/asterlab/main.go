// Command asterlab is the laboratory: stand-ins for what a gateway has round it,
// and measurements of real gateways between them. Everything stays on loopback.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
	"asterwell/internal/standin/counter"
	"asterwell/internal/standin/dns"
	"asterwell/internal/standin/list"
	"asterwell/internal/standin/server"
)

// errBroken ends the program with status 1 after the report has been printed.
var errBroken = errors.New("a rule broke")

// errVoid: a run counts for nothing, since a fault did not bite or the machine was too busy.
var errVoid = errors.New("the run is void")

func main() {
	root := &cobra.Command{Use: "asterlab", Short: "Stand-ins and measurements for asterwell, on loopback",
		SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(standins(), hollow(), staged(), capacity(), measures(), fieldCommand(), clusterSeeds(), seeds(), replay(), shrink(), days())
	end := profiles(root)
	if err := errors.Join(root.Execute(), end()); err != nil {
		fmt.Fprintln(os.Stderr, "asterlab:", err)
		os.Exit(1)
	}
}

func standins() *cobra.Command {
	c := &cobra.Command{Use: "standin", Short: "Play one system that a gateway has round it, until interrupted"}
	c.AddCommand(standinDNS(), standinServer(), standinList(), standinCounter())
	return c
}

// standin is a command that plays one until it is interrupted. start tells where it
// listens, and how to end it.
func standin(use, short, addr string, args cobra.PositionalArgs, start func(listen string, args []string) (at string, end func(), err error)) *cobra.Command {
	var listen string
	c := &cobra.Command{Use: use, Short: short, Args: args, RunE: func(_ *cobra.Command, args []string) error {
		at, end, err := start(listen, args)
		if err != nil {
			return err
		}
		defer end()
		fmt.Println("listening on", at)
		told := make(chan os.Signal, 1)
		signal.Notify(told, os.Interrupt, syscall.SIGTERM)
		<-told
		return nil
	}}
	c.Flags().StringVar(&listen, "listen", addr, "address")
	return c
}

func standinDNS() *cobra.Command {
	return standin("dns SCRIPT", "A name server that answers by a script, over UDP and TCP", "127.0.0.1:5353", cobra.ExactArgs(1),
		func(listen string, args []string) (string, func(), error) {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return "", nil, err
			}
			script, err := dns.Parse(string(text))
			if err != nil {
				return "", nil, fmt.Errorf("%s: %w", args[0], err)
			}
			s, err := dns.Listen(listen, script)
			if err != nil {
				return "", nil, err
			}
			return s.Addr, s.Close, nil
		})
}

func standinServer() *cobra.Command {
	var work time.Duration
	var most int
	c := standin("server", "A nomination server", "127.0.0.1:8081", cobra.NoArgs, func(listen string, _ []string) (string, func(), error) {
		s, err := server.Listen(listen, server.Options{Name: listen, Most: most, Keep: 1000,
			Work: func() time.Duration { return work }, Log: func(text string) { fmt.Println(text) }})
		if err != nil {
			return "", nil, err
		}
		return s.Addr, s.Close, nil
	})
	c.Flags().DurationVar(&work, "work", 50*time.Millisecond, "time that each request takes")
	c.Flags().IntVar(&most, "most", 0, "requests under way; more are turned away (0: no limit)")
	return c
}

func standinList() *cobra.Command {
	return standin("list ADDR...", "Discovery, which tells these servers for good", "127.0.0.1:8500", cobra.MinimumNArgs(1),
		func(listen string, args []string) (string, func(), error) {
			var entries []list.Entry
			for i, a := range args {
				entries = append(entries, list.Entry{ID: fmt.Sprint("s-", i+1), Addr: a, State: "up", Weight: 1})
			}
			a, err := list.Listen(listen, list.New(entries...))
			if err != nil {
				return "", nil, err
			}
			return a.Addr, a.Close, nil
		})
}

func standinCounter() *cobra.Command {
	return standin("counter", "The shared quota counter", "127.0.0.1:6400", cobra.NoArgs,
		func(listen string, _ []string) (string, func(), error) {
			s, err := counter.Listen(listen)
			if err != nil {
				return "", nil, err
			}
			return s.Addr, s.Close, nil
		})
}

// measures all take a seed and a file for the figures.
func measures() *cobra.Command {
	var seed uint64
	var file, gateway string
	c := &cobra.Command{Use: "measure", Short: "Measure a subsystem; the last line is the figures as JSON"}
	c.PersistentFlags().Uint64Var(&seed, "seed", 1, "seed of all that is drawn")
	c.PersistentFlags().StringVar(&file, "json", "", "also write the figures to this file")
	c.PersistentFlags().StringVar(&gateway, "gateway", beside("asterwell"), "the gateway's binary")
	print := func(r *bench.Report, err error) error {
		if err != nil {
			return err
		}
		if err := r.Print(os.Stdout, file); err != nil {
			return err
		}
		if len(r.Broken) > 0 {
			return errBroken
		}
		return nil
	}
	var gateways int
	var rate float64
	srv := &cobra.Command{Use: "srv", Short: "Servers from DNS SRV records: truncation, forgery, drains, dead name servers", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			return print(bench.MeasureSRV(bench.SRVOptions{Binary: gateway, Seed: seed, Gateways: gateways, Rate: rate}))
		}}
	srv.Flags().IntVar(&gateways, "gateways", 2, "how many gateways")
	srv.Flags().Float64Var(&rate, "rate", 300, "tries a second at each gateway")
	c.AddCommand(srv)
	c.AddCommand(measureEven(&seed, &gateway, print), measurePolicy(&seed, &gateway, print), measureRollout(&seed, print), measureFaults(&seed, print),
		measureGrown(&seed, print), measureRecovery(&seed, print), measureScale(&seed, print), measureStages(&seed, print), measureAgreement(&seed, print), measureState(&seed, print),
		measureFrozen(print), measureControl(&seed, print), measureSoak(&seed, print))
	var repo string
	var most int
	hunt := func(use, short string, do func(string, []string, uint64, int) (*bench.Report, error)) {
		var names []string
		m := &cobra.Command{Use: use, Short: short, Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error { return print(do(repo, names, seed, most)) }}
		m.Flags().StringVar(&repo, "repo", ".", "the repository")
		m.Flags().StringSliceVar(&names, "only", nil, "only these mutants")
		m.Flags().IntVar(&most, "count", 2000, "seeds for each, at the most")
		c.AddCommand(m)
	}
	hunt("seeds", "The simulator's rule checkers: faults put into the gateway's source, and the seeds until they are found", bench.MeasureSeeds)
	hunt("cluster-mutants", "The same for the cluster's virtual world", bench.MeasureClusterMutants)
	hunt("system-mutants", "The same for the whole system's drawn days", bench.MeasureSystemMutants)
	return c
}

// beside is a program in the folder of this one.
func beside(name string) string {
	self, err := os.Executable()
	if err != nil {
		return name
	}
	return filepath.Join(filepath.Dir(self), name)
}
