package bench

import (
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"

	"asterwell/internal/systemsim"
)

// controlApart are rules that are known to break in some drawn days: they are counted by name, and
// don't break the measurement (docs/remains.md).
var controlApart = map[string]bool{"QUOTA": true}

// controlDays plays days of any kinds on all deployments by turns, and, for each fault that can be put
// into the processes, days until its rule breaks.
func controlDays(days int, seed uint64) (ControlPoint, error) {
	p := ControlPoint{Name: "days", Days: days, Worst: map[string]float64{}, Apart: map[string]int{},
		Broken: map[string]int{"stale_answers": 0, "refused_again": 0, "two_texts": 0, "led_old": 0, "acknowledged_lost": 0, "no_quorum_within_budget": 0, "never_caught_up": 0}}
	for i, s := range playAny(days, seed) {
		on := systemsim.Deployments[i%len(systemsim.Deployments)].Name
		for _, d := range s.Mends {
			p.Worst["healed_s_max"] = max(p.Worst["healed_s_max"], d.Seconds())
		}
		for _, d := range s.Takeovers {
			p.Worst["handover_s_max"] = max(p.Worst["handover_s_max"], d.Seconds())
		}
		for _, d := range s.Recoveries {
			p.Worst["restored_s_max"] = max(p.Worst["restored_s_max"], d.Seconds())
		}
		switch {
		case controlApart[s.Broken]:
			p.Apart[s.Broken]++
		case s.Broken != "":
			p.Broken[s.Failing()]++
			p.Lines = append(p.Lines, fmt.Sprintf("%s, %v (asterlab days --trace --on %s --from %d)", on, s, on, s.Seed))
		}
	}
	for _, bug := range []systemsim.Bug{systemsim.Early, systemsim.Mute, systemsim.Twice} {
		p.Mutants++
		if foundAny(bug, seed) {
			p.Found++
		} else {
			p.Lines = append(p.Lines, fmt.Sprintf("mutant %v: no rule met it in %d days", bug, mutantDays))
		}
	}
	return p, nil
}

// playAny plays days on the deployments by turns, side by side.
func playAny(days int, seed uint64) []systemsim.Stats {
	all := make([]systemsim.Stats, days)
	beside(days, func(i int) bool {
		all[i] = systemsim.PlayAny(seed+uint64(i), systemsim.Deployments[i%len(systemsim.Deployments)])
		return true
	})
	return all
}

// mutantDays is how many days a fault that was put in may go unmet, on the small deployments.
const mutantDays = 80

func foundAny(bug systemsim.Bug, seed uint64) bool {
	var met atomic.Bool
	beside(mutantDays, func(i int) bool {
		s := seed + uint64(i)
		if rule := systemsim.Run(systemsim.DrawAny(s, systemsim.Deployments[i%2]), s, bug, nil).Broken; rule != "" && !controlApart[rule] {
			met.Store(true)
		}
		return !met.Load()
	})
	return met.Load()
}

// beside does so many things on all processors, until one says that it is enough.
func beside(count int, do func(i int) bool) {
	var next atomic.Int64
	var wg sync.WaitGroup
	for range runtime.GOMAXPROCS(0) {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < count; i = int(next.Add(1)) - 1 {
				piece(func() {
					if !do(i) {
						next.Store(int64(count))
					}
				})
			}
		})
	}
	wg.Wait()
}
