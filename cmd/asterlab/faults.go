package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureFaults(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.FaultOptions{}
	c := &cobra.Command{Use: "faults", Short: "Fault rules for one tenant at real processes: who is struck, how often, until when", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			o.Seed = *seed
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureFaults(o))
		}}
	c.Flags().StringVar(&o.Binary, "loom", beside("loom"), "the system's binary")
	c.Flags().IntVar(&o.Nodes, "nodes", 6, "processes, of which three are the core")
	c.Flags().IntVar(&o.Pairs, "pairs", 12, "spans with a rule, and as many without, by which the others are judged")
	c.Flags().IntVar(&o.Days, "days", 60, "days in simulated time")
	return c
}
