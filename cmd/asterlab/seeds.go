package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log"
	"maps"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/sim"
)

// seeds, replay and shrink run gateways in the virtual world.
func seeds() *cobra.Command {
	var from uint64
	var count, workers int
	var limit time.Duration
	var only []string
	var file string
	var first bool
	c := &cobra.Command{Use: "seeds", Short: "Run gateways in a virtual world, with faults drawn from each seed", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			for _, k := range only {
				if !slices.Contains(sim.Kinds, k) {
					return fmt.Errorf("--only: unknown fault %q; there are: %s", k, strings.Join(sim.Kinds, ", "))
				}
			}
			if count < 1 || workers < 1 {
				return fmt.Errorf("--count and --workers must be at least 1")
			}
			log.SetOutput(io.Discard)
			debug.SetGCPercent(1000)
			done, bad, last := 0, 0, time.Now()
			bar := terminal(os.Stderr)
			sum := sim.Seeds(from, count, workers, limit, only, first, func(r sim.Result) {
				if done++; r.Broken != "" {
					bad++
				}
				if bar && (time.Since(last) > 200*time.Millisecond || done == count) {
					last = time.Now()
					fmt.Fprintf(os.Stderr, "\r[%-40s] %d of %d, %d failing", strings.Repeat("#", 40*done/count), done, count, bad)
				}
			})
			if bar {
				fmt.Fprintln(os.Stderr)
			}
			return tell(sum, file)
		}}
	f := c.Flags()
	f.Uint64Var(&from, "from", 1, "first seed")
	f.IntVar(&count, "count", 1000, "how many seeds")
	f.IntVar(&workers, "workers", runtime.NumCPU(), "how many at once")
	f.DurationVar(&limit, "for", 0, "end after that time (0: when all are done)")
	f.StringSliceVar(&only, "only", nil, "draw only these faults")
	f.BoolVar(&first, "first", false, "end at the first seed that fails")
	f.StringVar(&file, "json", "", "also write the figures to this file")
	return c
}

// tell prints what came up how often, what failed, and the figures.
func tell(sum sim.Sweep, file string) error {
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "what came up\ttimes\tin seeds")
	holes := 0
	for _, k := range slices.Sorted(maps.Keys(sum.Seen)) {
		note := ""
		if sum.Seen[k] == 0 {
			note = "  NEVER"
			holes++
		}
		fmt.Fprintf(tw, "%s\t%d\t%d%s\n", k, sum.Seen[k], sum.In[k], note)
	}
	tw.Flush()
	kinds := len(sim.Kinds)
	fmt.Printf("two faults at once: %d of %d pairs\n", len(sum.Pairs), kinds*(kinds+1)/2)
	for _, r := range sum.Failing {
		fmt.Printf("seed %d broke %q after %v: %s\n  asterlab replay %d --trace trace.txt\n", r.Seed, r.Broken, r.At, r.Detail, r.Seed)
	}
	perMin := float64(sum.Seeds) / sum.Took.Minutes()
	failing := []uint64{}
	for _, r := range sum.Failing {
		failing = append(failing, r.Seed)
	}
	line, err := json.Marshal(map[string]any{"seeds": sum.Seeds, "seeds_per_min": int(perMin), "virtual_seconds": int(sum.Virtual.Seconds()),
		"failing": failing, "requests": sum.Requests, "steps": sum.Steps, "holes": holes, "pairs": len(sum.Pairs), "coverage": sum.Seen})
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if file != "" {
		if err := os.WriteFile(file, append(line, '\n'), 0o644); err != nil {
			return err
		}
	}
	if len(failing) > 0 {
		return errBroken
	}
	return nil
}

func terminal(f *os.File) bool {
	info, err := f.Stat()
	return err == nil && info.Mode()&fs.ModeCharDevice != 0
}

// plan is that of a seed, or of a file.
func plan(arg string) (sim.Plan, error) {
	if seed, err := strconv.ParseUint(arg, 10, 64); err == nil {
		return sim.Draw(seed, nil), nil
	} else if errors.Is(err, strconv.ErrRange) {
		return sim.Plan{}, fmt.Errorf("seed %s is out of range: 0 to 18446744073709551615", arg)
	}
	text, err := os.ReadFile(arg)
	if err != nil {
		return sim.Plan{}, fmt.Errorf("neither a seed nor a schedule: %w", err)
	}
	p, err := sim.ReadPlan(text)
	if err != nil {
		return p, fmt.Errorf("%s: %w", arg, err)
	}
	return p, nil
}

func replay() *cobra.Command {
	var trace string
	var until uint64
	c := &cobra.Command{Use: "replay SEED|FILE", Short: "Play one seed, or one schedule, again", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := plan(args[0])
			if err != nil {
				return err
			}
			log.SetOutput(io.Discard)
			var out io.Writer
			if trace != "" {
				f, err := os.Create(trace)
				if err != nil {
					return err
				}
				defer f.Close()
				w := bufio.NewWriter(f)
				defer w.Flush()
				out = w
			}
			for _, f := range p.Faults {
				fmt.Println(f)
			}
			r := sim.Run(p, out, until)
			fmt.Printf("seed=%d steps=%d requests=%d virtual=%v hash=%016x\n", r.Seed, r.Steps, r.Requests, r.At, r.Hash)
			if r.Broken != "" {
				fmt.Printf("broken: %s after %v: %s\n", r.Broken, r.At, r.Detail)
				return errBroken
			}
			return nil
		}}
	c.Flags().StringVar(&trace, "trace", "", "write what happens to this file: virtual ns, step, event")
	c.Flags().Uint64Var(&until, "until", 0, "end after so many steps")
	return c
}

func shrink() *cobra.Command {
	var out string
	c := &cobra.Command{Use: "shrink SEED|FILE", Short: "Find a small schedule that breaks the same rule", Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			p, err := plan(args[0])
			if err != nil {
				return err
			}
			log.SetOutput(io.Discard)
			if r := sim.Run(p, nil, 0); r.Broken == "" {
				return fmt.Errorf("%s breaks no rule", args[0])
			}
			small, r := sim.Shrink(p, func(q sim.Plan, r sim.Result) {
				fmt.Fprintf(os.Stderr, "%d faults, %d gateways, %d nodes, %d shippers, %v\n", len(q.Faults), q.Gateways, q.Nodes, q.Shippers, r.At)
			})
			text, err := json.MarshalIndent(small, "", "  ")
			if err != nil {
				return err
			}
			fmt.Printf("%s\n", text)
			fmt.Fprintf(os.Stderr, "broken: %s after %v: %s\n", r.Broken, r.At, r.Detail)
			if out != "" {
				return os.WriteFile(out, append(text, '\n'), 0o644)
			}
			return nil
		}}
	c.Flags().StringVar(&out, "out", "", "also write the schedule to this file, which replay takes")
	return c
}
