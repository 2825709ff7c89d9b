package daemon

import (
	"sync"
	"time"

	"asterwell/internal/plane"
	"asterwell/internal/quotas"
)

// meter is the one that requests of all connections ask beside the loop.
type meter struct {
	mu sync.Mutex
	m  *quotas.Meter
}

// pass takes units of a quota, and says whether others should hear of it at once.
func (l *meter) pass(now plane.Time, tenant string, units float64) (ok bool, after time.Duration, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, after = l.m.Pass(now, tenant, units)
	return ok, after, l.m.Due(now)
}

// Nodes, Enter, Take and Tick are what the knot tells it.
func (l *meter) Nodes(now plane.Time, gateways int, holders []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.Nodes(now, gateways, holders)
}

func (l *meter) Enter(now plane.Time, r *quotas.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.Enter(now, r)
}

func (l *meter) Take(now plane.Time, from string, msg any) []plane.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Take(now, from, msg)
}

func (l *meter) Tick(now plane.Time) []plane.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Tick(now)
}

func (l *meter) Mute(now plane.Time, holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Mute(now, holder)
}
