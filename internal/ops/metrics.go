// Package ops serves the management address: metrics, readiness and drain. It is separate
// from the listener for clients, and its handlers do not depend on the request path.
package ops

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// How is the outcome of a request, as the status label of gateway_replies has it.
type How string

// The outcomes of requests.
const (
	Success  How = "success"
	Overload How = "overload"
	Failure  How = "error"
)

// Metrics holds the counters and gauges of this process. Counters start from 0.
type Metrics struct {
	set             *metrics.Set
	dispatches      *metrics.Counter
	concurrent      atomic.Int64
	reloadsAccepted *metrics.Counter
	reloadsRejected *metrics.Counter

	mu      sync.RWMutex
	replies map[string]map[How]*metrics.Counter // by class, then by outcome
}

// NewMetrics returns metrics that call targets and disabled, the numbers of listed and of
// ejected servers, whenever they are written.
func NewMetrics(targets, disabled func() int) *Metrics {
	m := &Metrics{set: metrics.NewSet(), replies: map[string]map[How]*metrics.Counter{}}
	m.dispatches = m.set.NewCounter("gateway_dispatches")
	m.reloadsAccepted, m.reloadsRejected = m.set.NewCounter("gateway_reload_success"), m.set.NewCounter("gateway_reload_failure")
	m.set.NewGauge("gateway_concurrent", func() float64 { return float64(m.concurrent.Load()) })
	m.set.NewGauge("gateway_targets", func() float64 { return float64(targets()) })
	m.set.NewGauge("gateway_targets_disabled", func() float64 { return float64(disabled()) })
	return m
}

// RegisterClass creates the counters of a class, so that they are exported with the value 0
// before its first request ends.
func (m *Metrics) RegisterClass(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.replies[name] != nil {
		return
	}
	counters := map[How]*metrics.Counter{}
	for _, how := range []How{Success, Overload, Failure} {
		counters[how] = m.set.NewCounter(fmt.Sprintf("gateway_replies{type=%q,status=%q}", name, how))
	}
	m.replies[name] = counters
}

// RequestStarted counts a request as in progress.
func (m *Metrics) RequestStarted() { m.concurrent.Add(1) }

// RequestFinished ends the request that RequestStarted began.
func (m *Metrics) RequestFinished() { m.concurrent.Add(-1) }

// Ended counts the outcome of a request. Classes that are not registered are not counted:
// clients could invent any number of them.
func (m *Metrics) Ended(class string, how How) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	if c := m.replies[class][how]; c != nil {
		c.Inc()
	}
}

// Dispatched counts an attempt that was written to its server in full.
func (m *Metrics) Dispatched() { m.dispatches.Inc() }

// Reloaded counts a configuration file that was accepted or rejected.
func (m *Metrics) Reloaded(accepted bool) {
	if accepted {
		m.reloadsAccepted.Inc()
	} else {
		m.reloadsRejected.Inc()
	}
}

// Write writes all metrics in the Prometheus text format.
func (m *Metrics) Write(w io.Writer) { m.set.WritePrometheus(w) }
