package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureRollout(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o, real, on := bench.RolloutOptions{}, bench.RealOptions{}, false
	c := &cobra.Command{Use: "rollout", Short: "Configurations that all nodes take up together: simulated processes, faults, the small model",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			o.Seed, o.Side = *seed, runtime.GOMAXPROCS(0)
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			if on {
				real.Seed, real.Progress = o.Seed, o.Progress
				return print(bench.MeasureRealRollout(real))
			}
			debug.SetGCPercent(400)
			return print(bench.MeasureRollout(o))
		}}
	c.Flags().IntSliceVar(&o.Nodes, "nodes", []int{11, 91}, "sizes of the fleet")
	c.Flags().IntVar(&o.Versions, "versions", 40, "taken up at each size")
	c.Flags().IntVar(&o.Seeds, "seeds", 300, "with drawn faults")
	c.Flags().IntSliceVar(&o.Drawn, "drawn", []int{11}, "sizes of the fleets with drawn faults, by turns")
	c.Flags().IntVar(&o.States, "states", 200000, "of a small model that is not visited as a whole")
	c.Flags().BoolVar(&on, "real", false, "real processes of loom on loopback, under load, instead of simulated ones")
	c.Flags().StringVar(&real.Folder, "folder", "", "for --real: where the core keeps its state; empty: the temporary folder")
	c.Flags().StringVar(&real.Binary, "loom", beside("loom"), "the system's binary, for --real")
	c.Flags().IntVar(&real.Processes, "processes", 9, "for --real: 6 to 9, of which three are the core")
	c.Flags().DurationVar(&real.Within, "time", 75*time.Second, "for --real: no part begins or goes on after that; the judge takes some seconds more")
	return c
}
