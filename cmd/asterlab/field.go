package main

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
	"asterwell/internal/testbed"
)

// fieldCommand runs many processes of the gateway, with faults between them.
func fieldCommand() *cobra.Command {
	c := &cobra.Command{Use: "field", Short: "Many processes of the gateway, with faults put between them by a schedule"}
	var seed uint64
	var logs, gateway, policy string
	run := &cobra.Command{Use: "run FILE", Short: "Run a schedule; the last line is the figures as JSON", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, err := testbed.ReadSchedule(args[0])
			if err != nil {
				return err
			}
			if policy != "" && !slices.Contains(testbed.Policies, testbed.Policy(policy)) {
				return fmt.Errorf("--policy: unknown %q; there are %v", policy, testbed.Policies)
			}
			if cmd.Flags().Changed("seed") {
				s.Seed = seed
			}
			r, err := play(s, testbed.Options{Binary: gateway, Logs: logs, Policy: testbed.Policy(policy)})
			if err != nil {
				return err
			}
			return tellField(r)
		}}
	run.Flags().Uint64Var(&seed, "seed", 0, "in place of the schedule's own")
	run.Flags().StringVar(&policy, "policy", "", "a policy in place of gateways")
	run.Flags().StringVar(&logs, "logs", "", "folder for the processes' logs and the history")
	run.Flags().StringVar(&gateway, "gateway", beside("asterwell"), "the gateway's binary")
	draw := &cobra.Command{Use: "draw", Short: "Write the schedule that a seed means", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			text, err := json.MarshalIndent(testbed.Draw(seed), "", " ")
			if err == nil {
				fmt.Println(string(text))
			}
			return err
		}}
	draw.Flags().Uint64Var(&seed, "seed", 1, "the seed")
	check := &cobra.Command{Use: "check FILE", Short: "Check a schedule, and start nothing", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := testbed.ReadSchedule(args[0])
			if err == nil {
				fmt.Printf("%s: %d gateways, %d servers, %d faults\n", args[0], s.Gateways, s.Servers, len(s.Faults))
			}
			return err
		}}
	var kind, who string
	history := &cobra.Command{Use: "history FILE", Short: "Show what happened in a run, from its history.jsonl", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return testbed.ReadHistory(args[0], func(r testbed.Record) {
				if (kind == "" || r.Kind == kind) && (who == "" || r.Who == who || r.From == who || r.To == who) {
					fmt.Printf("%12.6f %-8s %s %s %s %s %s %s\n", r.At.Seconds(), r.Kind, r.Who, r.From, r.To, r.What, status(r.Status), r.Detail)
				}
			})
		}}
	history.Flags().StringVar(&kind, "kind", "", "only this kind of record")
	history.Flags().StringVar(&who, "who", "", "only what names this request, gateway or server")
	c.AddCommand(run, draw, check, history)
	return c
}

func status(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

// play runs a schedule, with its progress on a terminal.
func play(s *testbed.Schedule, opt testbed.Options) (r *testbed.Report, err error) {
	if terminal(os.Stderr) {
		opt.Progress = func(text string) { fmt.Fprintf(os.Stderr, "\r%-70s", text) }
		defer fmt.Fprintln(os.Stderr)
	}
	f, err := testbed.New(s, opt)
	if err != nil {
		return nil, err
	}
	defer func() {
		if e := f.Close(); err == nil {
			err = e
		}
	}()
	return f.Run()
}

// tellField prints a run's figures.
func tellField(r *testbed.Report) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "tries\t%d\tserved\t%d\trefused\t%d\tfailed\t%d\tunanswered\t%d\n", r.Tries, r.Served, r.Refused, r.Failed, r.Unanswered)
	fmt.Fprintf(tw, "attempts\t%d\tprobes\t%d\tconnections\t%d\tp50\t%v\tp99\t%v\n", r.Attempts, r.Probes, r.Accepted, r.P50, r.P99)
	fmt.Fprintf(tw, "spread in 1 s\t%.3f\tpeak in 100 ms\t%.2f\tmost after an event\t%.2f\tidle servers\t%d\tgateways a server\t%.1f\n",
		r.Even.CV, r.Even.Peak100, r.Even.HerdMax, r.Even.IdleMax, r.Even.Gateways)
	fmt.Fprintf(tw, "own lateness\t%v at the 99th percentile, %v at most\n", r.Late99, r.LateMost)
	tw.Flush()
	for _, b := range r.Broken[:min(len(r.Broken), 20)] {
		fmt.Printf("broken after %.3f s: %s: %s\n", b.At.Seconds(), b.Rule, b.Detail)
	}
	if n := len(r.Broken); n > 20 {
		fmt.Printf("and %d more\n", n-20)
	}
	for _, v := range r.Void[:min(len(r.Void), 20)] {
		fmt.Println("void:", strings.TrimSpace(v))
	}
	line, err := json.Marshal(r)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if len(r.Broken) > 0 {
		return errBroken
	}
	if len(r.Void) > 0 {
		return errVoid
	}
	return nil
}

// measureEven plays the same load and faults with the program and with what it is measured against.
func measureEven(seed *uint64, gateway *string, print func(*bench.Report, error) error) *cobra.Command {
	var o bench.EvenOptions
	c := &cobra.Command{Use: "even", Short: "How evenly many gateways load servers, under faults, against chance and against one that sees all", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if o.Gateways < 1 || o.Servers < 5 || o.Seconds < 10 {
				return fmt.Errorf("--gateways must be at least 1, --servers 5, --seconds 10; got %d, %d, %v", o.Gateways, o.Servers, o.Seconds)
			}
			o.Seed, o.Binary = *seed, *gateway
			if terminal(os.Stderr) {
				o.Progress = func(text string) { fmt.Fprintf(os.Stderr, "\r%-70s", text) }
			}
			return print(bench.MeasureEven(o))
		}}
	c.Flags().IntVar(&o.Gateways, "gateways", 300, "how many gateways")
	c.Flags().IntVar(&o.Servers, "servers", 200, "how many servers")
	c.Flags().Float64Var(&o.Seconds, "seconds", 40, "of load for each")
	c.Flags().StringVar(&o.Before, "before", "", "the program as it was: a binary, a commit, or none (default: the commit at which this work began)")
	c.Flags().StringVar(&o.Repo, "repo", ".", "the repository")
	c.Flags().StringVar(&o.Charts, "charts", "", "folder for heat maps")
	return c
}
