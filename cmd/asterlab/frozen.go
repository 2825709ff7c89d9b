package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureFrozen(print func(*bench.Report, error) error) *cobra.Command {
	o := bench.FrozenOptions{}
	c := &cobra.Command{Use: "frozen", Args: cobra.NoArgs,
		Short: "What a real primary answers that stood still, was followed, and goes on",
		RunE: func(*cobra.Command, []string) error {
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureFrozen(o))
		}}
	c.Flags().DurationSliceVar(&o.For, "for", []time.Duration{950 * time.Millisecond, 2 * time.Second, 20 * time.Second}, "how long it stands still")
	c.Flags().IntVar(&o.Reads, "reads", 40, "asked at once of the one that goes on")
	c.Flags().StringVar(&o.Binary, "loom", beside("loom"), "its binary")
	return c
}
