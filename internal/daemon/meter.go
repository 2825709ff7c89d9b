package daemon

import (
	"sync"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
)

// meter is the one that requests of all connections ask beside the loop.
type meter struct {
	mu sync.Mutex
	m  *quotas.Meter
}

// pass takes units of a quota, and says whether others should hear of it at once.
func (l *meter) pass(now fsm.Time, tenant string, units float64) (ok bool, after time.Duration, due bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	ok, after = l.m.Pass(now, tenant, units)
	return ok, after, l.m.Due(now)
}

// Nodes, Enter, Take and Tick are what the knot tells it.
func (l *meter) Nodes(now fsm.Time, gateways int, holders []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.Nodes(now, gateways, holders)
}

func (l *meter) Enter(now fsm.Time, r *quotas.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.Enter(now, r)
}

func (l *meter) Take(now fsm.Time, from string, msg any) []fsm.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Take(now, from, msg)
}

func (l *meter) Tick(now fsm.Time) []fsm.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Tick(now)
}

func (l *meter) Mute(now fsm.Time, holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Mute(now, holder)
}
