package main

import (
	"encoding/json"
	"fmt"
	"os"
	"runtime"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
	"asterwell/internal/cluster/world"
)

// clusterSeeds plays voters and followers of a cluster under drawn faults.
func clusterSeeds() *cobra.Command {
	var from uint64
	var count int
	var first, trace bool
	c := &cobra.Command{Use: "cluster-seeds", Short: "Play seeds of the cluster's virtual world; the last line is the sum as JSON", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			if trace {
				r := world.Simulate(world.Options{Seed: from, Trace: func(at time.Duration, text string) { fmt.Printf("%12v %s\n", at, text) }})
				fmt.Printf("%+v\n", r)
				if len(r.Broken) > 0 {
					return errBroken
				}
				return nil
			}
			sum := bench.PlayCluster(from, count, first, runtime.GOMAXPROCS(0))
			for _, b := range sum.Broken {
				fmt.Printf("seed %d broke %q: %s\n", b.Seed, b.Rule, b.What)
			}
			if err := json.NewEncoder(os.Stdout).Encode(sum); err != nil {
				return err
			}
			if len(sum.Broken) > 0 {
				return errBroken
			}
			return nil
		}}
	c.Flags().Uint64Var(&from, "from", 0, "the first seed")
	c.Flags().IntVar(&count, "count", 200, "how many")
	c.Flags().BoolVar(&first, "first", false, "end at the first that breaks a promise")
	c.Flags().BoolVar(&trace, "trace", false, "tell all that happens in the first seed")
	return c
}

func measurePolicy(seed *uint64, gateway *string, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.PolicyOptions{}
	c := &cobra.Command{Use: "policy", Short: "Changes of policy at hundreds of gateways, with faults between them", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			o.Seed, o.Binary = *seed, *gateway
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasurePolicy(o))
		}}
	c.Flags().IntVar(&o.Gateways, "gateways", 300, "how many gateways")
	c.Flags().IntVar(&o.Seeds, "seeds", 1000, "of the virtual world")
	c.Flags().IntVar(&o.States, "states", 300000, "of a small model that is not visited as a whole")
	return c
}
