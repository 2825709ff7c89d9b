package memberlist

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Sight is a node as people are shown it.
type NodeStatus struct {
	Node
	InState     time.Duration // it is in its state, as seen here
	SinceHeard  time.Duration // since it was last heard of; without any change only watchers hear of it
	Watchers    []string      // addresses of those it beats to
	WatchedHere bool          // we are one of them
}

// Sights is every node with what is known of it, sorted by address.
func (m *Machine) NodeStatuses(now fsm.Time) []NodeStatus {
	all := make([]NodeStatus, 0, len(m.all))
	for _, e := range m.all {
		addr := e.node.Addr
		s := NodeStatus{Node: e.node, InState: max(0, now-e.since), SinceHeard: max(0, now-e.heard)}
		s.ConfigVersion = max(s.ConfigVersion, e.held)
		if e.lost {
			s.State = Gone
		}
		if addr == m.self.Addr {
			s.SinceHeard = 0
		}
		if e.live() && slices.Contains(m.ring, addr) { // the ring is put in order at the next tick
			s.Watchers = m.beside(addr, 1)
			s.WatchedHere = slices.Contains(s.Watchers, m.self.Addr)
		}
		all = append(all, s)
	}
	return all
}
