package main

import (
	"fmt"
	"os"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureStages(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.StagesOptions{}
	c := &cobra.Command{Use: "stages", Args: cobra.NoArgs,
		Short: "Where a request's time goes in one real gateway, stage by stage, and what the gateway adds",
		RunE: func(*cobra.Command, []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.Scale.Seed, o.Scale.Self = *seed, self
			o.Scale.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureStages(o))
		}}
	f := c.Flags()
	f.IntVar(&o.Scale.Servers, "servers", 360, "that beat")
	f.IntVar(&o.Scale.Services, "services", 180, "that they are of")
	f.IntVar(&o.Scale.Routes, "routes", 4800, "in the configuration")
	f.IntVar(&o.Scale.Tenants, "tenants", 12000, "in the configuration")
	f.Float64SliceVar(&o.Rates, "rates", []float64{20, 265, 2650}, "requests a second, one after the other")
	f.DurationVar(&o.Span, "span", 15*time.Second, "of each rate")
	f.StringVar(&o.Profile, "gateway-profile", "", "write a profile of the gateway's processor to this file")
	f.StringVar(&o.Scale.Binary, "loom", beside("loom"), "the binary of the core")
	return c
}

func staged() *cobra.Command {
	return &cobra.Command{Use: "staged SETTINGS FILE", Hidden: true, Args: cobra.ExactArgs(2), Short: "Serve a gateway for measure stages, until the input ends",
		RunE: func(_ *cobra.Command, args []string) error { return bench.Staged(args[0], args[1], os.Stdin) }}
}
