package main

import (
	"encoding/json"
	"fmt"
	"math/bits"
	"os"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"asterwell/internal/systemsim"
)

// days plays days of the whole system in simulated time.
func days() *cobra.Command {
	var from uint64
	var count int
	var script string
	var trace, first bool
	var on string
	c := &cobra.Command{Use: "days", Short: "Play days of the whole system in simulated time, drawn from seeds", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			draw, err := drawer(on)
			if err != nil {
				return err
			}
			if script != "" || trace {
				return oneDay(script, draw, from, trace)
			}
			if count < 1 {
				return fmt.Errorf("--count must be at least 1")
			}
			debug.SetGCPercent(800)
			began := time.Now()
			return tellDays(playDays(draw, from, count, first), time.Since(began), on)
		}}
	f := c.Flags()
	f.Uint64Var(&from, "from", 1, "first seed")
	f.IntVar(&count, "count", 100, "how many seeds")
	f.StringVar(&script, "script", "", "play this script in place of drawn ones, with the first seed")
	f.StringVar(&on, "on", "", "a site: draw every kind of trouble that any site lists, at any moment; 'all': the sites by turns; 'contact': gateways lose and find each other in every pattern")
	f.BoolVar(&first, "first", false, "end at the first that breaks a rule")
	f.BoolVar(&trace, "trace", false, "play one day, and print what happens")
	return c
}

// drawer finds how days are drawn for a site; "" is as ever.
func drawer(on string) (func(uint64) string, error) {
	sites := systemsim.Deployments
	i := slices.IndexFunc(sites, func(d systemsim.Deployment) bool { return d.Name == on })
	switch {
	case on == "":
		return systemsim.Draw, nil
	case on == "contact":
		return systemsim.DrawContact, nil
	case on == "all":
		return func(seed uint64) string { return systemsim.DrawAny(seed, sites[seed%uint64(len(sites))]) }, nil
	case i >= 0:
		return func(seed uint64) string { return systemsim.DrawAny(seed, sites[i]) }, nil
	}
	return nil, fmt.Errorf("--on: no site %q", on)
}

// playDays plays them side by side. With first, those after one that broke a rule are left out.
func playDays(draw func(uint64) string, from uint64, count int, first bool) []systemsim.Stats {
	all := make([]systemsim.Stats, count)
	var next, end atomic.Int64
	end.Store(int64(count))
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := next.Add(1) - 1; i < end.Load(); i = next.Add(1) - 1 {
				seed := from + uint64(i)
				all[i] = systemsim.Run(draw(seed), seed, systemsim.Sound, nil)
				for was := end.Load(); first && all[i].Broken != "" && i+1 < was && !end.CompareAndSwap(was, i+1); was = end.Load() {
				}
			}
		})
	}
	wg.Wait()
	return all[:end.Load()]
}

func oneDay(file string, draw func(uint64) string, seed uint64, trace bool) error {
	script := draw(seed)
	if file != "" {
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		script = string(text)
	}
	var show func(string)
	if trace {
		show = func(line string) { fmt.Println(line) }
	}
	s := systemsim.Run(script, seed, systemsim.Sound, show)
	fmt.Println(s)
	if s.Broken != "" {
		return errBroken
	}
	return nil
}

// tellDays prints a table, what broke, and the figures as JSON.
func tellDays(all []systemsim.Stats, took time.Duration, on string) error {
	var sum systemsim.Stats
	var failing []uint64
	broken := map[string]int{}
	for _, s := range all {
		sum.Length += s.Length
		sum.Hash = bits.RotateLeft64(sum.Hash, 1) ^ s.Hash
		sum.Requests += s.Requests
		sum.Served += s.Served
		sum.Messages += s.Messages
		sum.Fill = max(sum.Fill, s.Fill)
		sum.Spared += s.Spared
		sum.Reads += s.Reads
		sum.Acks = append(sum.Acks, s.Acks...)
		sum.Leaves = append(sum.Leaves, s.Leaves...)
		sum.Takeovers = append(sum.Takeovers, s.Takeovers...)
		sum.Recoveries = append(sum.Recoveries, s.Recoveries...)
		sum.Mends = append(sum.Mends, s.Mends...)
		if s.Broken != "" {
			failing = append(failing, s.Seed)
			broken[s.Broken]++
			again := fmt.Sprintf("asterlab days --trace --from %d", s.Seed)
			if on != "" {
				again += " --on " + on
			}
			fmt.Printf("seed %d broke %q: at %v: %s\n  %s\n", s.Seed, s.Broken, s.At.Round(time.Millisecond), s.Detail, again)
		}
	}
	figures := map[string]any{"days": len(all), "seeds": len(all), "failing": failing, "broken": broken, "simulated_s": int(sum.Length.Seconds()),
		"took_s": took.Seconds(), "requests": sum.Requests, "served": sum.Served, "messages": sum.Messages,
		"hash": fmt.Sprintf("%016x", sum.Hash), "quota_fill": sum.Fill, "spared": sum.Spared, "reads": sum.Reads}
	tw := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tw, "ms\ttimes\thalf\t99 of 100\tmost")
	for _, row := range []struct {
		name, key string
		times     systemsim.Times
	}{{"a configuration is acknowledged", "ack", sum.Acks}, {"a server may leave", "leave", sum.Leaves},
		{"another primary serves", "takeover", sum.Takeovers}, {"half is served after most were away", "recovery", sum.Recoveries},
		{"all have the newest after all is mended", "mend", sum.Mends}} {
		ms := func(part float64) int64 { return row.times.Of(part).Milliseconds() }
		fmt.Fprintf(tw, "%s\t%d\t%d\t%d\t%d\n", row.name, len(row.times), ms(0.5), ms(0.99), ms(1))
		figures[row.key+"_ms"] = []int64{ms(0.5), ms(0.99), ms(1)}
	}
	tw.Flush()
	slices.Sort(failing)
	line, err := json.Marshal(figures)
	if err != nil {
		return err
	}
	fmt.Println(string(line))
	if len(failing) > 0 {
		return errBroken
	}
	return nil
}
