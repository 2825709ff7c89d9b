package main

import (
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureControl(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.ControlOptions{}
	c := &cobra.Command{Use: "control", Short: "The control side under its worst days: scenarios, drawn days and mutants, point by point",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			if o.Days < 1 {
				return fmt.Errorf("--days must be at least 1")
			}
			o.Seed = *seed
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			debug.SetGCPercent(400)
			return print(bench.MeasureControl(o))
		}}
	c.Flags().IntVar(&o.Days, "days", 100, "drawn for each point")
	c.Flags().StringSliceVar(&o.Only, "only", nil, "only these points")
	c.Flags().IntVar(&o.Jobs, "jobs", 0, "played at once (as many as there are processors, if 0)")
	return c
}
