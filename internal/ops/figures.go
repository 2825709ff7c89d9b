// Package ops is what staff see and call: figures, readiness, drain. It has an address
// of its own, and asks nothing of the parts that are busy with clients.
package ops

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"

	"github.com/VictoriaMetrics/metrics"
)

// How a request ended, as figures name it.
type How string

// The ends of requests.
const (
	Success  How = "success"
	Overload How = "overload"
	Failure  How = "error"
)

// Figures count from 0 at the start of a process.
type Figures struct {
	set        *metrics.Set
	dispatches *metrics.Counter
	concurrent atomic.Int64
	taken      *metrics.Counter
	turned     *metrics.Counter

	mu      sync.RWMutex
	replies map[string]map[How]*metrics.Counter // by class
}

// NewFigures returns figures whose numbers of servers are asked when they are fetched.
func NewFigures(targets, disabled func() int) *Figures {
	f := &Figures{set: metrics.NewSet(), replies: map[string]map[How]*metrics.Counter{}}
	f.dispatches = f.set.NewCounter("gateway_dispatches")
	f.taken, f.turned = f.set.NewCounter("gateway_reload_success"), f.set.NewCounter("gateway_reload_failure")
	f.set.NewGauge("gateway_concurrent", func() float64 { return float64(f.concurrent.Load()) })
	f.set.NewGauge("gateway_targets", func() float64 { return float64(targets()) })
	f.set.NewGauge("gateway_targets_disabled", func() float64 { return float64(disabled()) })
	return f
}

// Class makes a class's counts be there from its first moment on.
func (f *Figures) Class(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.replies[name] != nil {
		return
	}
	of := map[How]*metrics.Counter{}
	for _, how := range []How{Success, Overload, Failure} {
		of[how] = f.set.NewCounter(fmt.Sprintf("gateway_replies{type=%q,status=%q}", name, how))
	}
	f.replies[name] = of
}

// RequestStarted counts a request as under way.
func (f *Figures) RequestStarted() { f.concurrent.Add(1) }

// RequestFinished ends what RequestStarted began.
func (f *Figures) RequestFinished() { f.concurrent.Add(-1) }

// Ended counts how a request of a class ended. Classes nobody has named are not counted:
// clients could make up any number.
func (f *Figures) Ended(class string, how How) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if c := f.replies[class][how]; c != nil {
		c.Inc()
	}
}

// Dispatched counts an attempt whose last byte was written.
func (f *Figures) Dispatched() { f.dispatches.Inc() }

// Reloaded counts a file taken or turned down.
func (f *Figures) Reloaded(taken bool) {
	if taken {
		f.taken.Inc()
	} else {
		f.turned.Inc()
	}
}

// Write writes all of them, a line each.
func (f *Figures) Write(w io.Writer) { f.set.WritePrometheus(w) }
