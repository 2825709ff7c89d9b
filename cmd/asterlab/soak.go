package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

// measureSoak plays seeds of signals, restarts and changes at real processes.
func measureSoak(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.SoakOptions{}
	c := &cobra.Command{Use: "soak", Short: "Signals, restarts and changes in series at real processes, while clients keep their connections", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			o.Seed = *seed
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureSoak(o))
		}}
	c.Flags().StringVar(&o.Binary, "loom", beside("loom"), "the system's binary")
	c.Flags().IntVar(&o.Nodes, "nodes", 5, "processes, of which three are the core")
	c.Flags().IntVar(&o.Count, "count", 4, "seeds")
	c.Flags().IntVar(&o.Jobs, "jobs", 1, "fleets side by side")
	c.Flags().DurationVar(&o.Span, "span", 10*time.Second, "for how long there is trouble")
	c.Flags().DurationVar(&o.Within, "within", 0, "no seed begins later; 0: all are played")
	c.Flags().StringVar(&o.Logs, "logs", "", "a folder for the output of seeds that break a rule")
	return c
}
