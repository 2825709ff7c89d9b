package bench

import (
	"fmt"
	"math"
	"sync"
	"time"

	"asterwell/internal/systemsim"
)

// GrownOptions of the measurement of what each part costs as the fleet grows.
type GrownOptions struct {
	Seed     uint64
	Nodes    []int
	Within   time.Duration // of real time, for each size
	Progress func(text string)
}

// The bounds that are held at any size.
const (
	grownRest    = 1000.0      // bytes a second of a node without a disk at rest
	grownCore    = 4000.0      // of the core's at rest: the primary's beats to seven others
	grownStorm   = 2e6 / 8 / 2 // of a node without a disk in a storm: half its link
	grownTurn    = 2 * time.Second
	grownDrain   = 2 * time.Second
	grownRecover = 15 * time.Second
)

// MeasureGrown plays fleets of several sizes on simulated time.
func MeasureGrown(o GrownOptions) (*Report, error) {
	r := &Report{Name: "grown", Seed: o.Seed, Figure: map[string]any{}}
	r.Row("nodes", "core", "servers", "rest B/s", "edge most", "core most", "msg/s", "traffic B/s", "most", "storm B/s most", "of 2 Mbit/s", "in most",
		"core most", "cpu rest", "cpu storm", "conv p99 s", "all s", "drain ms", "recover s")
	byNodes := map[string]any{}
	var skipped []int
	all := make([]systemsim.Grown, len(o.Nodes))
	for i, n := range o.Nodes {
		all[i].Fleet = systemsim.FleetOf(n)
		if f := &all[i]; f.Core >= n {
			return nil, fmt.Errorf("--nodes: at least %d, not %d", f.Core+1, n)
		}
	}
	var wg sync.WaitGroup
	for i := range all {
		wg.Go(func() {
			f := all[i].Fleet
			f.Seed, f.Within, f.Progress = o.Seed, o.Within, o.Progress
			all[i] = systemsim.Grow(f)
		})
	}
	wg.Wait()
	for _, g := range all {
		if g.Late {
			skipped = append(skipped, g.Nodes)
			r.Row(g.Nodes, g.Core, g.Servers, fmt.Sprintf("left out: more than %v", o.Within))
			continue
		}
		byNodes[fmt.Sprint(g.Nodes)] = grownRow(r, g)
		judgeGrown(r, g)
	}
	r.Figure["by_nodes"], r.Figure["skipped"] = byNodes, append([]int{}, skipped...)
	return r, nil
}

func grownRow(r *Report, g systemsim.Grown) map[string]any {
	round := func(x float64, unit float64) float64 { return math.Round(x/unit) * unit }
	sec := func(d time.Duration) float64 { return math.Round(d.Seconds()*1e3) / 1e3 }
	rest, busy, storm := g.AtRest, g.Busy, g.Stormy
	link := math.Round(storm.EdgeMost/(2e6/8)*1e3) / 1e3
	r.Row(g.Nodes, g.Core, g.Servers, round(rest.Out, 1), round(rest.EdgeMost, 1), round(rest.OutMost, 1), math.Round(rest.Sent*10)/10, round(busy.Out, 1),
		round(busy.OutMost, 1), round(storm.EdgeMost, 1), link, round(storm.InMost, 1), round(storm.OutMost, 1), rest.CPU, storm.CPU,
		sec(g.Turns.Of(0.99)), sec(g.Alls.Of(1)), g.Drains.Of(1).Milliseconds(), sec(g.Recover))
	return map[string]any{"core": g.Core, "servers": g.Servers, "bytes_s_rest": round(rest.Out, 1), "bytes_s_rest_most": round(rest.EdgeMost, 1),
		"bytes_s_rest_core": round(rest.OutMost, 1),
		"messages_s_rest":   math.Round(rest.Sent*10) / 10, "bytes_s_traffic": round(busy.Out, 1), "bytes_s_traffic_most": round(busy.OutMost, 1),
		"bytes_s_storm": round(storm.EdgeMost, 1), "storm_link_part": link, "bytes_s_storm_in": round(storm.InMost, 1),
		"bytes_s_storm_core": round(storm.OutMost, 1), "refused_part_cold": round(g.Cold, 1e-4), "refused_part": round(g.Refused, 1e-4),
		"config_bytes": g.Config, "puts_acked": len(g.Alls), "drained": len(g.Drains),
		"cpu_share_rest": round(rest.CPU, 1e-5), "cpu_share_storm": round(storm.CPU, 1e-5), "cpu_share_storm_most": round(storm.CPUMost, 1e-5),
		"converge_s_p99": sec(g.Turns.Of(0.99)), "converge_s_max": sec(g.Alls.Of(1)),
		"drain_ms_max": g.Drains.Of(1).Milliseconds(), "recover_s": sec(g.Recover),
		"kinds_rest": rest.Kinds, "kinds_traffic": busy.Kinds, "kinds_storm": storm.Kinds}
}

func judgeGrown(r *Report, g systemsim.Grown) {
	if g.Stats.Broken != "" {
		r.Rule(false, "%d nodes: %v", g.Nodes, g.Stats)
		return
	}
	r.Rule(g.AtRest.EdgeMost <= grownRest, "%d nodes: one without a disk sends %.0f bytes a second at rest, at most %.0f may be", g.Nodes,
		g.AtRest.EdgeMost, grownRest)
	r.Rule(g.AtRest.OutMost <= grownCore, "%d nodes: one sends %.0f bytes a second at rest, at most %.0f may be", g.Nodes, g.AtRest.OutMost, grownCore)
	r.Rule(g.Stormy.EdgeMost <= grownStorm, "%d nodes: one without a disk sends %.0f bytes a second in a storm, at most %.0f may be", g.Nodes,
		g.Stormy.EdgeMost, grownStorm)
	r.Rule(len(g.Alls) > 0 && g.Alls.Of(1) <= grownTurn, "%d nodes: a configuration takes %v to be in force at all", g.Nodes, g.Alls.Of(1))
	r.Rule(len(g.Drains) > 0 && g.Drains.Of(1) <= grownDrain, "%d nodes: a server is used %v after it may leave", g.Nodes, g.Drains.Of(1))
	r.Rule(g.Recover > 0 && g.Recover <= grownRecover, "%d nodes: ready %v after all processes ended", g.Nodes, g.Recover)
}
