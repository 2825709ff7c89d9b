package daemon

import (
	"sync"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
)

// meter guards a quotas.Meter by a lock, since the requests of all connections use it concurrently with
// the control loop.
type meter struct {
	mu    sync.Mutex
	inner *quotas.Meter
}

// takeQuota takes units of a tenant's quota; due reports whether the counters should be told at once.
func (m *meter) takeQuota(now fsm.Time, tenant string, units float64) (ok bool, after time.Duration, due bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	ok, after = m.inner.Allow(now, tenant, units)
	return ok, after, m.inner.Due(now)
}

// SetGateways, SetRoster, Receive, Tick and ReadOverdue implement controlplane.Meter.
func (m *meter) SetGateways(now fsm.Time, gateways int, holders []string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inner.SetGateways(now, gateways, holders)
}

func (m *meter) SetRoster(now fsm.Time, r *quotas.Roster) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inner.SetRoster(now, r)
}

func (m *meter) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner.Receive(now, from, msg)
}

func (m *meter) Tick(now fsm.Time) []fsm.Send {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner.Tick(now)
}

func (m *meter) ReadOverdue(now fsm.Time, holder string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.inner.ReadOverdue(now, holder)
}
