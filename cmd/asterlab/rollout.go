package main

import (
	"fmt"
	"os"
	"runtime"

	"github.com/spf13/cobra"

	"asterwell/internal/lab"
)

func measureRollout(seed *uint64, print func(*lab.Report, error) error) *cobra.Command {
	o := lab.RolloutOptions{}
	c := &cobra.Command{Use: "rollout", Short: "Configurations that all nodes take up together: simulated processes, faults, the small model",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			o.Seed, o.Side = *seed, runtime.GOMAXPROCS(0)
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(lab.MeasureRollout(o))
		}}
	c.Flags().IntSliceVar(&o.Nodes, "nodes", []int{11, 91}, "sizes of the fleet")
	c.Flags().IntVar(&o.Versions, "versions", 40, "taken up at each size")
	c.Flags().IntVar(&o.Seeds, "seeds", 300, "with drawn faults")
	c.Flags().IntVar(&o.States, "states", 200000, "of a small model that is not visited as a whole")
	return c
}
