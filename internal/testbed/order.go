package testbed

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// turned is when a version may have taken hold: by its proposal and its outcome, then
// by what gateways answered.
type turned struct {
	k           int
	version     int64
	first, last time.Duration
	byFirst     string // what says so
	byLast      string
}

// misfit names the answers that no order of turns explains; "": there is one, or it takes more
// than the order of versions to see that there is none. A register that porcupine
// finds illegal is told of by this: which gateway said what, and when.
func misfit(changes []*proposal, committed func(*proposal) bool, marks []mark) string {
	var all []turned
	for _, c := range changes {
		if !committed(c) {
			continue
		}
		t := turned{k: c.k, version: c.version, first: c.from, last: math.MaxInt64, byFirst: "its proposal", byLast: "nothing"}
		if c.to > 0 {
			t.last, t.byLast = c.to, "its outcome"
		}
		all = append(all, t)
	}
	slices.SortFunc(all, func(x, y turned) int { return cmp.Compare(x.version, y.version) })
	at := map[int]int{}
	for i, t := range all {
		at[t.k] = i
	}
	end := turned{first: 0, last: math.MaxInt64}
	next := func(i int) *turned {
		if i+1 < len(all) {
			return &all[i+1]
		}
		return &end // nothing ends the last one
	}
	for again := true; again; {
		again = false
		later := func(t *turned, by time.Duration, why string) {
			if t != &end && t.first < by {
				t.first, t.byFirst, again = by, why, true
			}
		}
		sooner := func(t *turned, by time.Duration, why string) {
			if t != &end && t.last > by {
				t.last, t.byLast, again = by, why, true
			}
		}
		for i := range all {
			t, n := &all[i], next(i)
			later(n, t.first, fmt.Sprintf("version %d before it", t.version))
			sooner(t, n.last, fmt.Sprintf("version %d after it", n.version))
		}
		for _, m := range marks {
			i, ok := at[m.k]
			if !ok {
				continue
			}
			t, n := &all[i], next(i)
			why := fmt.Sprintf("g-%d from %v to %v, of %d: %v", m.gateway, m.from, m.to, m.k, m.known)
			switch {
			case m.known:
				sooner(t, m.to, why)
				later(n, m.from, why)
			case t.last < m.from && n == &end:
				return fmt.Sprintf("version %d, the last, of change %d: there by %v (%s), yet %s", t.version, t.k, t.last, t.byLast, why)
			case t.last < m.from:
				sooner(n, m.to, why)
			case n != &end && n.first > m.to:
				later(t, m.from, why)
			}
		}
		for _, t := range all {
			if t.first > t.last {
				return fmt.Sprintf("version %d, of change %d: not before %v (%s), yet by %v (%s)", t.version, t.k, t.first, t.byFirst, t.last, t.byLast)
			}
		}
	}
	return ""
}
