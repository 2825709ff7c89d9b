package main

import (
	"fmt"
	"os"
	"runtime/debug"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/bench"
)

func measureScale(seed *uint64, print func(*bench.Report, error) error) *cobra.Command {
	o := bench.ScaleOptions{}
	c := &cobra.Command{Use: "scale", Args: cobra.NoArgs,
		Short: "What each role costs in a system of real and hollow gateways: at rest, in traffic, a release, a storm, with losses",
		RunE: func(*cobra.Command, []string) error {
			debug.SetGCPercent(200)
			self, err := os.Executable()
			if err != nil {
				return err
			}
			o.Seed, o.Self = *seed, self
			o.Progress = func(text string) { fmt.Fprintln(os.Stderr, text) }
			return print(bench.MeasureScale(o))
		}}
	f := c.Flags()
	f.IntVar(&o.Gateways, "gateways", 11, "in all")
	f.IntVar(&o.Real, "real", 7, "of them that are processes of loom, the core among them")
	f.IntVar(&o.Servers, "servers", 100, "that beat")
	f.IntVar(&o.Services, "services", 10, "that they are of")
	f.IntVar(&o.Routes, "routes", 30, "in the configuration")
	f.IntVar(&o.Tenants, "tenants", 85, "in the configuration")
	f.IntVar(&o.Regions, "regions", 1, "with the real gateways in the first")
	f.Float64Var(&o.DelayMs, "delay", 55, "between regions, one way, in ms")
	f.Float64Var(&o.Rate, "rate", 20, "requests a second at each gateway in traffic")
	f.Float64Var(&o.Releases, "releases", 1, "servers replaced a second in the release")
	f.DurationVar(&o.Phase, "phase", 8*time.Second, "how long a phase is")
	f.DurationVar(&o.Apart, "apart", 400*time.Millisecond, "between the starts of two racks; 0: all at once")
	f.DurationVar(&o.Within, "within", time.Minute, "for all to come up")
	f.IntVar(&o.MemMb, "memory", 1024, "that each gateway's settings give it, in MB")
	f.StringSliceVar(&o.Only, "only", nil, "these phases only")
	f.StringVar(&o.Folder, "folder", "", "for the state of the core; empty: the temporary one")
	f.BoolVar(&o.Bare, "bare", false, "hollow gateways without the data plane: what they cost is control")
	f.StringVar(&o.Profile, "hollow-profile", "", "write a profile of the processor of the first process of hollow gateways to this file")
	f.StringVar(&o.Binary, "loom", beside("loom"), "the real gateways' binary")
	return c
}

func hollow() *cobra.Command {
	return &cobra.Command{Use: "hollow", Hidden: true, Args: cobra.NoArgs, Short: "Serve gateways without clients for measure scale, until the input ends",
		RunE: func(*cobra.Command, []string) error { return bench.Hollow(os.Stdin, os.Stdout) }}
}
