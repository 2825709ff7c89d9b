package registry

import (
	"time"

	"asterwell/internal/fsm"
)

// ServerStatus is a server as shown to operators.
type ServerStatus struct {
	Server
	WarmLeft       time.Duration // rest of its warm-up
	Home           string        // mesh address of its home
	SinceHeartbeat time.Duration // since its last heartbeat to this process; below 0: there was none
}

// ServerStatuses returns the status of every server, sorted by ID.
func (m *Machine) ServerStatuses(now fsm.Time) []ServerStatus {
	all := make([]ServerStatus, 0, len(m.sorted))
	for _, it := range m.sorted {
		s := ServerStatus{Server: it.Server, WarmLeft: max(0, it.WarmUntil-now), SinceHeartbeat: -1}
		if it.heardHere {
			s.SinceHeartbeat = max(0, now-it.lastArrival)
		}
		if it.Phase != Ended {
			s.Home = it.group.home
		}
		all = append(all, s)
	}
	return all
}
