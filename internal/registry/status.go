package registry

import (
	"time"

	"asterwell/internal/fsm"
)

// Sight is a server as people are shown it.
type ServerStatus struct {
	Server
	WarmLeft       time.Duration // it is slow for so long yet
	Home           string        // mesh address of its home
	SinceHeartbeat time.Duration // since its last beat that came here; below 0: none did
}

// Sights is every server with what is known of it here, sorted by ID.
func (m *Machine) ServerStatuses(now fsm.Time) []ServerStatus {
	all := make([]ServerStatus, 0, len(m.all))
	for _, it := range m.all {
		s := ServerStatus{Server: it.Server, WarmLeft: max(0, it.WarmUntil-now), SinceHeartbeat: -1}
		if it.heard {
			s.SinceHeartbeat = max(0, now-it.came)
		}
		if it.Phase != Ended {
			s.Home = it.place.home
		}
		all = append(all, s)
	}
	return all
}
