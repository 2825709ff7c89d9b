package bench

import (
	"fmt"
	"slices"
	"sync"

	"asterwell/internal/consensus"
	"asterwell/internal/systemsim"
)

// The keys of a second loss.
const (
	noQuorum  = "no_quorum_within_budget"
	ackedLost = "acknowledged_lost"
	restoredS = "restored_s_max"
	handoverS = "handover_s_max"
)

// seatModels are small cores with leaves that are visited whole, and looked at whether they go on.
var seatModels = []consensus.ModelBounds{
	{Leaves: 1, LivenessEvery: 1}, {Leaves: 2, LivenessEvery: 2}, {Leaves: 1, Learner: true, LivenessEvery: 10}, {Leaves: 1, Puts: 1},
	{Leaves: 1, Crashes: 1, LivenessEvery: 10}, {Leaves: 1, DiskWipes: 1, LivenessEvery: 10}, {Leaves: 1, ForcedLeave: true, DiskWipes: 1, LivenessEvery: 10}, {DiskWipes: 1, ShortWaits: 1, LivenessEvery: 10},
}

// seatGuards are taken out one by one. One more is in TestLeaveSafeguards of consensus, which needs a world of its own.
var seatGuards = []struct {
	what string
	find func(seed uint64) (broken string)
}{
	{"who leaves keeps its seat", func(uint64) string {
		return consensus.Explore(consensus.ModelBounds{Leaves: 1, DiskWipes: 1, LivenessEvery: 5, Bug: consensus.BugNoLeave}).Violation
	}},
	{"who leaves ends before the others know the epoch", func(uint64) string {
		return consensus.Explore(consensus.ModelBounds{Leaves: 1, DiskWipes: 1, LivenessEvery: 5, Bug: consensus.BugEarlyExit}).Violation
	}},
	{"silence counts as a loss", func(seed uint64) string {
		return consensus.Walk(consensus.ModelBounds{Members: 4, ToleratedLosses: 1, StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3, LateMessages: 3, DuplicatedMessages: 3, ShortWaits: 30,
			LongWaits: 60, Leaves: 1, Bug: consensus.BugAssumeLost}, consensus.NoPair, seed, 1000, 220).Violation
	}},
	{"who is ended soon while another one is missing keeps its seat", func(uint64) string {
		return consensus.Explore(consensus.ModelBounds{Leaves: 1, ForcedLeave: true, DiskWipes: 1, LivenessEvery: 5, Bug: consensus.BugNoShrinkOnForcedLeave}).Violation
	}},
	{"a seat for a newcomer that has gone again", func(seed uint64) string {
		for n := range uint64(8) {
			if s := systemsim.Run(systemsim.GoneAgain, seed+n, systemsim.Unheard, nil); s.Broken != "" {
				return s.Broken
			}
		}
		return ""
	}},
	{"no Leave and no Handover comes", func(seed uint64) string {
		for n := range uint64(60) {
			if s := systemsim.Run(systemsim.DrawSeats(seed+n), seed+n, systemsim.Keeps, nil); s.Broken != "" {
				return s.Broken
			}
		}
		return ""
	}},
}

// controlSeats plays second losses right after a repair, a replacement or a leave.
func controlSeats(days int, seed uint64) (ControlPoint, error) {
	c := ControlPoint{Name: "seats", Broken: map[string]int{noQuorum: 0, ackedLost: 0}, Worst: map[string]float64{restoredS: 0, handoverS: 0}}
	var mu sync.Mutex
	broke := func(key, form string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		c.Broken[key]++
		c.Lines = append(c.Lines, fmt.Sprintf(form, args...))
	}
	play := func(script, what string, seed uint64) {
		s := systemsim.Run(script, seed, systemsim.Sound, nil)
		switch s.Broken {
		case "":
		case "LOST", "CONFIG":
			broke(ackedLost, "%s: %v", what, s)
		default:
			broke(noQuorum, "%s: %v", what, s)
		}
		mu.Lock()
		defer mu.Unlock()
		c.Days++
		c.Worst[restoredS] = max(c.Worst[restoredS], s.Restored.Of(1).Seconds())
		c.Worst[handoverS] = max(c.Worst[handoverS], s.Handovers.Of(1).Seconds())
	}
	var todo []func()
	for _, who := range []string{"core1", "core2", "core3", "leader"} {
		for _, how := range []string{"planned", "planned first 1s", "planned first 4s"} {
			for _, at := range []string{"1s", "3s", "4s", "5s", "6s", "7s", "9s"} {
				todo = append(todo, func() {
					play(systemsim.SecondLoss(who, how, at), fmt.Sprintf("replace %s %s, a disk lost after %s", who, how, at), seed)
				})
			}
		}
	}
	for i := range uint64(4) {
		todo = append(todo, func() { play(systemsim.GoneAgain, "a newcomer that has gone again", seed+i) })
	}
	for i := range days {
		at := seed + uint64(i)
		todo = append(todo, func() { play(systemsim.DrawSeats(at), fmt.Sprintf("day %d", at), at) })
	}
	for _, b := range seatModels {
		todo = append(todo, func() {
			f := consensus.Explore(b)
			if f.Violation != "" || !f.Complete {
				broke(noQuorum, "model %+v: %d states, all %v: %s", b, f.States, f.Complete, f.Violation)
			}
		})
	}
	for _, g := range seatGuards {
		todo = append(todo, func() {
			broken := g.find(seed)
			mu.Lock()
			defer mu.Unlock()
			c.Mutants++
			if broken != "" {
				c.Found++
			} else {
				c.Lines = append(c.Lines, "mutant not found: "+g.what)
			}
		})
	}
	slices.Reverse(todo) // guards and models take longest
	sideAll(todo)
	return c, nil
}
