package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureAgreement(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.AgreementOptions{}
	c := &cobra.Command{Use: "agreement", Short: "Agreement: its small model explored, larger cores, faults put in, busy disks",
		Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			debug.SetGCPercent(200)
			o.Seed, o.Side = *seed, runtime.GOMAXPROCS(0)
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureAgreement(o))
		}}
	c.Flags().IntVar(&o.States, "states", 3000000, "of a small model that is not visited as a whole")
	c.Flags().IntVar(&o.Walks, "walks", 300, "drawn schedules of each kind")
	c.Flags().IntVar(&o.Most, "count", 300, "days, or tens of schedules, for each mutant at the most")
	return c
}
