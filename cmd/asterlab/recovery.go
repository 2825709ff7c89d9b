package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureRecovery(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.RecoveryOptions{}
	c := &cobra.Command{Use: "recovery", Args: cobra.NoArgs,
		Short: "What comes back when after all processes are killed, all power, a disk or the primary is lost",
		RunE: func(*cobra.Command, []string) error {
			debug.SetGCPercent(400)
			o.Seed = *seed
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureRecovery(o))
		}}
	c.Flags().IntSliceVar(&o.Nodes, "nodes", []int{11, 30}, "sizes of the simulated fleet")
	c.Flags().IntVar(&o.Runs, "runs", 10, "of each loss on simulated time, with seeds that follow each other")
	c.Flags().BoolVar(&o.Real, "real", false, "also to real processes on loopback")
	c.Flags().IntVar(&o.RealNodes, "real-nodes", 5, "how many of them, 3 to 60; 3 have a disk")
	c.Flags().IntVar(&o.RealRuns, "real-runs", 3, "of each loss with them")
	c.Flags().StringVar(&o.Binary, "loom", beside("loom"), "their binary")
	return c
}
