package registry

import (
	"testing"
	"time"

	"asterwell/internal/memberlist"
)

// TestReannounceAfterRejoin checks that the homes of a large fleet announce the servers that they
// hear again, once, when a region comes back that was away for longer than the silence timeout.
// They must not do so after a shorter absence, after a restart, which fetches the table, for a few
// processes, or for servers that are not heard.
func TestReannounceAfterRejoin(t *testing.T) {
	for name, c := range map[string]struct {
		gateways, away int
		span           time.Duration
		life           uint64
		tells          bool
	}{
		"a region":           {490, 98, 20 * time.Second, 1, true},
		"a rack":             {490, 10, 20 * time.Second, 1, false},
		"for a moment":       {490, 98, 3 * time.Second, 1, false},
		"started anew":       {490, 98, 20 * time.Second, 2, false},
		"of a smaller fleet": {91, 30, 20 * time.Second, 1, false},
	} {
		p := newFixture(t, c.gateways, 5200)
		silent := p.homeRows[0].ID // its home no longer hears it
		announced, seq := map[string]int{}, uint64(1)
		run := func(d time.Duration) {
			for end := p.now + d; p.now < end; {
				o := p.tick(50 * time.Millisecond)
				if p.now%time.Second == 0 {
					seq++
					for _, r := range p.homeRows[1:] {
						p.heartbeat(r, seq)
					}
				}
				for _, s := range o.Send {
					if n, ok := s.Msg.(Update); ok {
						for _, r := range n.Rows {
							if r.Seq > 1 && r.Phase == Serving {
								announced[r.ID] += 1 + len(n.ForwardTo)
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
		for _, r := range p.homeRows[1:] {
			if it := p.m.items[r.ID]; p.m.isHome(it) && it.heardHere {
				mine++
			}
		}
		clear(announced)
		set(memberlist.Up, c.life)
		run(6 * time.Second)
		servers := 0
		for id, n := range announced {
			if servers++; n != c.gateways-1 || id == silent {
				t.Errorf("%s: %s is announced to %d", name, id, n)
			}
		}
		if c.tells != (servers > 0) || servers > mine {
			t.Errorf("%s: %d of the %d servers with their home here are announced", name, servers, mine)
		}
	}
}
