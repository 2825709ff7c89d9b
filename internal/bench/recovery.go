package bench

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"asterwell/internal/systemsim"
)

// RecoveryOptions of the measurement of what comes back after a loss, and when.
type RecoveryOptions struct {
	Binary    string // loom; used with Real
	Seed      uint64
	Nodes     []int
	Runs      int // of each loss at each size, on simulated time
	Real      bool
	RealNodes int
	RealRuns  int
	Progress  func(text string)
}

// recoveryBound is RecoveryS of the sites: by then a quarter of the traffic is served again.
const recoveryBound = 15 * time.Second

// phaseRead comes first where processes are real: a file is read in no simulated time.
const phaseRead = "state read"

// MeasureRecovery plays losses on simulated time, and does them to real processes.
func MeasureRecovery(o RecoveryOptions) (*Report, error) {
	r := &Report{Name: "recovery", Seed: o.Seed, Figure: map[string]any{"bound_s": recoveryBound.Seconds()}}
	r.Row(slices.Concat([]any{"s until it holds for good: half / most", "nodes", "runs", phaseRead}, words(systemsim.Phases))...)
	for _, n := range o.Nodes {
		if f := systemsim.FleetOf(n); f.Core >= n {
			return nil, fmt.Errorf("--nodes: at least %d, not %d", f.Core+1, n)
		}
		for _, loss := range systemsim.Losses {
			o.Progress(fmt.Sprintf("%d simulated nodes: %s", n, loss))
			all := recoveries{where: "simulated", loss: string(loss), nodes: n}
			for i := range o.Runs {
				f := systemsim.FleetOf(n)
				f.Seed = o.Seed + uint64(i)
				got := systemsim.Recover(f, loss)
				r.Rule(got.Stats.Broken == "", "%s, %d nodes: %v", loss, n, got.Stats)
				all.add(append([]time.Duration{0}, got.Ends...))
			}
			all.tell(r)
		}
	}
	if !o.Real {
		return r, nil
	}
	return r, realRecovery(o, r)
}

func words(all []string) (out []any) {
	for _, s := range all {
		out = append(out, s)
	}
	return out
}

// recoveries are the runs of one loss; each has the ends of its phases, below 0 for never.
type recoveries struct {
	where, loss string
	nodes       int
	runs        [][]time.Duration
}

func (a *recoveries) add(ends []time.Duration) { a.runs = append(a.runs, ends) }

// tell adds the row, the figures, and what was too late.
func (a *recoveries) tell(r *Report) {
	if len(a.runs) == 0 {
		return
	}
	cells := []any{a.where + ": " + a.loss, a.nodes, len(a.runs)}
	key := strings.ReplaceAll(fmt.Sprintf("%s_%d_%s", a.where, a.nodes, a.loss), " ", "_")
	names := append([]string{phaseRead}, systemsim.Phases...)
	figures := map[string][]float64{}
	for i, name := range names {
		var ends systemsim.Times
		for _, run := range a.runs {
			d := run[i]
			if d < 0 {
				d = math.MaxInt64
				r.Rule(false, "%s, %s, %d nodes: %s: never", a.where, a.loss, a.nodes, name)
			}
			ends = append(ends, d)
		}
		half, most := ends.Of(0.5), ends.Of(1)
		r.Rule(most <= recoveryBound || most == math.MaxInt64, "%s, %s, %d nodes: %s after %v, at most %v may be", a.where, a.loss, a.nodes, name, most,
			recoveryBound)
		if a.where == "simulated" && name == phaseRead {
			cells = append(cells, "-")
			continue
		}
		cells = append(cells, fmt.Sprintf("%s / %s", seconds(half), seconds(most)))
		figures[strings.ReplaceAll(name, " ", "_")] = []float64{math.Round(half.Seconds()*1e3) / 1e3, math.Round(most.Seconds()*1e3) / 1e3}
	}
	r.Row(cells...)
	r.Figure[key] = figures
}

func seconds(d time.Duration) string {
	if d == math.MaxInt64 {
		return "never"
	}
	return fmt.Sprintf("%.2f", d.Seconds())
}
