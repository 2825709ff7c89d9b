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
	ok, after = l.m.Allow(now, tenant, units)
	return ok, after, l.m.Due(now)
}

// Nodes, Enter, Take and Tick are what the knot tells it.
func (l *meter) SetGateways(now fsm.Time, gateways int, holders []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.SetGateways(now, gateways, holders)
}

func (l *meter) SetRoster(now fsm.Time, r *quotas.Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.m.SetRoster(now, r)
}

func (l *meter) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Receive(now, from, msg)
}

func (l *meter) Tick(now fsm.Time) []fsm.Send {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.Tick(now)
}

func (l *meter) ReadOverdue(now fsm.Time, holder string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.m.ReadOverdue(now, holder)
}
