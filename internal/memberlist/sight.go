package memberlist

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Sight is a node as people are shown it.
type Sight struct {
	Node
	For      time.Duration // it is in its state, as seen here
	News     time.Duration // since it was last heard of; without any change only watchers hear of it
	Watchers []string      // addresses of those it beats to
	Here     bool          // we are one of them
}

// Sights is every node with what is known of it, sorted by address.
func (m *Machine) Sights(now fsm.Time) []Sight {
	all := make([]Sight, 0, len(m.all))
	for _, e := range m.all {
		addr := e.node.Addr
		s := Sight{Node: e.node, For: max(0, now-e.since), News: max(0, now-e.heard)}
		s.Held = max(s.Held, e.held)
		if e.lost {
			s.State = Gone
		}
		if addr == m.self.Addr {
			s.News = 0
		}
		if e.live() && slices.Contains(m.ring, addr) { // the ring is put in order at the next tick
			s.Watchers = m.beside(addr, 1)
			s.Here = slices.Contains(s.Watchers, m.self.Addr)
		}
		all = append(all, s)
	}
	return all
}
