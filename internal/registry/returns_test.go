package registry

import (
	"testing"
	"time"

	"asterwell/internal/memberlist"
)

// TestReturn: homes of a large fleet say again what they hear, once, when a region comes back that was away for as long as a
// server may be silent. Not when it was away for less, or comes in another life and fetches the table, or is a
// few processes; and no server that is not heard is told of.
func TestReturn(t *testing.T) {
	for name, c := range map[string]struct {
		gateways, away int
		span           time.Duration
		life           uint64
		tells          bool
	}{
		"a region":            {490, 98, 20 * time.Second, 1, true},
		"a rack":              {490, 10, 20 * time.Second, 1, false},
		"for a moment":        {490, 98, 3 * time.Second, 1, false},
		"started anew":        {490, 98, 20 * time.Second, 2, false},
		"of a fleet of today": {91, 30, 20 * time.Second, 1, false},
	} {
		p := newPlan(t, c.gateways, 5200)
		quiet := p.mine[0].ID // its home hears it no more
		told, seq := map[string]int{}, uint64(1)
		run := func(d time.Duration) {
			for end := p.now + d; p.now < end; {
				o := p.pass(50 * time.Millisecond)
				if p.now%time.Second == 0 {
					seq++
					for _, r := range p.mine[1:] {
						p.beat(r, seq)
					}
				}
				for _, s := range o.Send {
					if n, ok := s.Msg.(Update); ok {
						for _, r := range n.Rows {
							if r.Seq > 1 && r.Phase == Serving {
								told[r.ID] += 1 + len(n.ForwardTo)
							}
						}
					}
				}
			}
		}
		set := func(state memberlist.State, life uint64) {
			for i := range c.away {
				n := &p.nodes[len(p.nodes)-1-i]
				n.State, n.Incarnation = state, life
				if i%20 == 19 || i == c.away-1 { // not all at once
					p.now += 10 * time.Millisecond
					p.m.SetNodes(p.now, p.nodes)
				}
			}
		}
		run(2 * time.Second)
		set(memberlist.Gone, 1)
		run(c.span)
		mine := 0
		for _, r := range p.mine[1:] {
			if it := p.m.items[r.ID]; p.m.mine(it) && it.heard {
				mine++
			}
		}
		clear(told)
		set(memberlist.Up, c.life)
		run(6 * time.Second)
		full := 0
		for id, n := range told {
			if full++; n != c.gateways-1 || id == quiet {
				t.Errorf("%s: %s is told to %d", name, id, n)
			}
		}
		if c.tells != (full > 0) || full > mine {
			t.Errorf("%s: %d of %d servers at home here are told", name, full, mine)
		}
	}
}
