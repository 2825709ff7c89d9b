package main

import (
	"fmt"
	"os"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureState(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.StateOptions{}
	c := &cobra.Command{Use: "state", Args: cobra.NoArgs,
		Short: "What many changes leave on a member's disk, and how a machine that missed them comes back while changes go on",
		RunE: func(*cobra.Command, []string) error {
			o.Seed = *seed
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureState(o))
		}}
	c.Flags().IntSliceVar(&o.Changes, "changes", []int{1, 300, 10000}, "saved, of a configuration of 30 routes")
	c.Flags().IntSliceVar(&o.LargeChanges, "large-changes", []int{1, 300}, "saved, of a configuration of 4,800 routes and 12,000 tenants")
	c.Flags().IntSliceVar(&o.Missed, "missed", []int{1, 300, 10000}, "changes of 30 routes that a machine misses")
	c.Flags().IntSliceVar(&o.LargeMissed, "large-missed", []int{1, 30}, "the same of the large configuration")
	c.Flags().StringVar(&o.Dir, "dir", "", "folder for the disk (the system's for temporary files, if none is named)")
	return c
}
