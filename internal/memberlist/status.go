package memberlist

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// NodeStatus is a node as shown to operators.
type NodeStatus struct {
	Node
	InState     time.Duration // how long this process has seen it in its state
	SinceHeard  time.Duration // without changes only its watchers hear from it
	Watchers    []string      // addresses of the nodes that it sends heartbeats to
	WatchedHere bool          // this process is one of the watchers
}

// NodeStatuses returns the status of every node, sorted by address.
func (m *Machine) NodeStatuses(now fsm.Time) []NodeStatus {
	all := make([]NodeStatus, 0, len(m.sorted))
	for _, e := range m.sorted {
		addr := e.node.Addr
		s := NodeStatus{Node: e.node, InState: max(0, now-e.stateSince), SinceHeard: max(0, now-e.lastHeard)}
		s.ConfigVersion = max(s.ConfigVersion, e.heldVersion)
		if e.lostHere {
			s.State = Gone
		}
		if addr == m.self.Addr {
			s.SinceHeard = 0
		}
		if e.live() && slices.Contains(m.ring, addr) { // the ring is only refreshed at the next tick
			s.Watchers = m.neighborsOf(addr, 1)
			s.WatchedHere = slices.Contains(s.Watchers, m.self.Addr)
		}
		all = append(all, s)
	}
	return all
}
