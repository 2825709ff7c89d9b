package bench

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/systemsim"
)

// stateKeys are what the point "after hundreds of changes" is judged by.
var stateKeys = []string{"never_caught_up", "led_old", "acknowledged_lost"}

// stateKey is the key that a broken rule of a day counts for.
func stateKey(s systemsim.Stats) string {
	switch {
	case s.Broken == "LOST" && strings.Contains(s.Detail, "is not read back"):
		return "acknowledged_lost"
	case s.Broken == "LOST", s.Broken == "CONFIG" && !strings.Contains(s.Detail, "was acknowledged"):
		return "led_old" // somebody answered with less than was known, or went back
	}
	return "never_caught_up"
}

// walkKey is the same for a schedule of the model.
func walkKey(broken string) string {
	if strings.Contains(broken, "not answered after all faults") {
		return "never_caught_up"
	}
	return "led_old"
}

// stateWays are the ways back that are played each time: what was away, how, and on what disks and links.
func stateWays(seed uint64) []systemsim.Away {
	var all []systemsim.Away
	for _, how := range []string{"kill", "wipe", "putback"} {
		for _, who := range []string{"primary", "backup", "witness"} {
			for _, sync := range []time.Duration{time.Millisecond, 5 * time.Millisecond} {
				all = append(all, systemsim.Away{How: how, Who: who, Changes: 60, Storm: true, Routes: 30, Sync: sync, Seed: seed})
			}
		}
		all = append(all, systemsim.Away{How: how, Who: "backup", Changes: 300, Storm: true, Routes: 30, Sync: 5 * time.Millisecond,
			Rate: edgeRate, Seed: seed})
	}
	return append(all, systemsim.Away{Edge: true, Changes: 300, Storm: true, Routes: 30, Sync: 5 * time.Millisecond, Seed: seed}, largeWay(seed))
}

// largeWay has a configuration as long as one of 4,800 routes and 12,000 tenants.
func largeWay(seed uint64) systemsim.Away {
	return systemsim.Away{How: "kill", Who: "primary", Changes: 2, Storm: true, Every: largeEvery, Routes: largeBytes / 214, Sync: 5 * time.Millisecond, Seed: seed}
}

const largeBytes = 2234615

const edgeRate = 2e6 / 8 // bytes a second of a link of 2 Mbit/s

// stateWalk is the model's bounds for disks that are put back.
func stateWalk(members, losses int) consensus.ModelBounds {
	return consensus.ModelBounds{Members: members, ToleratedLosses: losses, StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3, LateMessages: 2, DuplicatedMessages: 1, ShortWaits: 60, LongWaits: 90}
}

const (
	stateSteps  = 400
	stateChunk  = 25    // schedules that share a model
	stateMutant = 15000 // schedules until a mutant counts as not found; the rarest is met by one of 1,500 or so
	huntSide    = 4     // chunks side by side: those under way when it is found are played for nothing
)

// controlState plays point 4, after hundreds of changes: ways back under a storm, drawn days in which disks go back,
// drawn schedules and small models of the same, and mutants.
func controlState(days int, seed uint64) (ControlPoint, error) {
	p := ControlPoint{Name: "state", Days: days, Broken: map[string]int{}, Worst: map[string]float64{}}
	for _, k := range stateKeys {
		p.Broken[k] = 0
	}
	var mu sync.Mutex
	broke := func(key, form string, args ...any) {
		mu.Lock()
		defer mu.Unlock()
		p.Broken[key]++
		p.Lines = append(p.Lines, fmt.Sprintf(form, args...))
	}
	ways := stateWays(seed)
	back := each(len(ways), func(i int) {
		b := systemsim.Return(ways[i])
		mu.Lock()
		p.Worst["caught_up_s_max"] = max(p.Worst["caught_up_s_max"], b.Newest.Seconds(), b.Seat.Seconds())
		mu.Unlock()
		if b.Never != "" {
			broke("never_caught_up", "way back, %+v: %s", ways[i], b.Never)
		}
	})
	drawn := each(days, func(i int) {
		s := seed + uint64(i)
		if day := systemsim.Run(systemsim.DrawState(s), s, systemsim.Sound, nil); day.Broken != "" {
			broke(stateKey(day), "day of state, %v", day)
		}
	})
	walks := each((2*days+stateChunk-1)/stateChunk, func(i int) {
		b := stateWalk(3, 1)
		if i%3 == 2 {
			b = stateWalk(6, 2)
		}
		from := seed + uint64(i*stateChunk)
		if w := consensus.Walk(b, consensus.OneRolledBack, from, min(stateChunk, 2*days-i*stateChunk), stateSteps); w.Violation != "" {
			broke(walkKey(w.Violation), "disk put back, %d members, schedule %d: %s", b.Members, w.Seed, w.Violation)
		}
	})
	small := []consensus.ModelBounds{{StartSilent: true, DiskRollbacks: 1, ShortWaits: 1}, {StartSilent: true, DiskRollbacks: 1, Puts: 1}, {StartSilent: true, DiskRollbacks: 1, LongWaits: 1}}
	models := each(len(small), func(i int) {
		if f := consensus.Explore(small[i]); f.Violation != "" || !f.Complete {
			broke(walkKey(f.Violation), "disk put back, small model %+v: %s", small[i], f.Violation)
		}
	})
	hunts := each(len(stateMutants), func(i int) {
		m := stateMutants[i]
		ok := m.found(seed)
		mu.Lock()
		defer mu.Unlock()
		p.Mutants++
		if ok {
			p.Found++
		} else {
			p.Lines = append(p.Lines, "mutant of state not found: "+m.what)
		}
	})
	slices.Reverse(back) // the large one is the longest
	sideAll(hunts, models, walks, back, drawn)
	return p, nil
}

// stateMutants are the guards that are taken out one by one.
var stateMutants = []struct {
	what  string
	found func(seed uint64) bool
}{
	{"a disk that was put back counts as the newer one", func(seed uint64) bool {
		old := stateWalk(3, 1)
		old.Bug = consensus.BugNoFencing
		return walkFinds(old, consensus.OneRolledBack, seed, 2*stateSteps) // a copy has to grow old first
	}},
	{"who is behind leads with what it has", func(seed uint64) bool {
		any := consensus.ModelBounds{Members: 5, ToleratedLosses: 1, StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3, LateMessages: 3, DuplicatedMessages: 3, ShortWaits: 30, LongWaits: 75,
			Bug: consensus.BugAnyState}
		return walkFinds(any, consensus.BothKilled, seed, walkSteps)
	}},
	{"a candidate that lacks a text which a promise names goes on with its own", func(seed uint64) bool {
		own := stateWalk(3, 1)
		own.Bug, own.LateMessages = consensus.BugOwnBody, 3
		return walkFinds(own, consensus.BothKilled, seed, stateSteps)
	}},
	{"an empty disk counts as the one that was there", func(uint64) bool {
		return consensus.Explore(consensus.ModelBounds{StartSilent: true, DiskWipes: 1, Bug: consensus.BugReuseDiskID}).Violation != ""
	}},
	{"who has missed a document doesn't ask for it", func(seed uint64) bool {
		return systemsim.Return(systemsim.Away{How: "kill", Who: "witness", Changes: 10, Routes: 30, Sync: time.Millisecond, Seed: seed, Bug: systemsim.Deaf}).Never != ""
	}},
	{"large documents go whole", func(seed uint64) bool {
		whole := largeWay(seed)
		whole.Bug = systemsim.Whole
		return systemsim.Return(whole).Never != ""
	}},
}

// walkFinds hunts a mutant by drawn schedules, several at a time.
func walkFinds(b consensus.ModelBounds, pair consensus.PairFault, seed uint64, steps int) bool {
	var mu sync.Mutex
	found := false
	side(stateMutant/stateChunk, huntSide, func(i int) {
		mu.Lock()
		over := found
		mu.Unlock()
		if over {
			return
		}
		w := consensus.Walk(b, pair, seed+uint64(i*stateChunk), stateChunk, steps)
		mu.Lock()
		defer mu.Unlock()
		found = found || w.Violation != ""
	})
	return found
}
