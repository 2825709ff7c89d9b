package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureGrown(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.GrownOptions{}
	c := &cobra.Command{Use: "grown", Short: "What each part costs as the fleet grows, on simulated time", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			debug.SetGCPercent(400)
			o.Seed = *seed
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureGrown(o))
		}}
	c.Flags().IntSliceVar(&o.Nodes, "nodes", []int{11, 30, 91, 300}, "sizes of the fleet")
	c.Flags().DurationVar(&o.Within, "within", 10*time.Minute, "real time for each size; one that takes longer is left out")
	return c
}
