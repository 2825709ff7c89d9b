package dataplane

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/rollout"
	"asterwell/internal/sysconfig"
)

const (
	maxGateWait        = 100 * time.Millisecond // bound of a request's wait while a change of version takes effect on all nodes
	unleasedRetryAfter = time.Second            // Retry-After of a gateway without a lease
)

// errLeaseLost ends a request whose configuration is no longer in force when the request is routed.
var errLeaseLost = errors.New("the configuration has changed, or this gateway holds no lease for it")

// GateStats counts the requests that waited at the gate or were refused there since the start.
type GateStats struct {
	Held       int64   // requests that waited for a change of version
	HeldMostMs float64 // the longest wait
	InTurn     int64   // refused, since the change of version took too long
	Unleased   int64   // refused, since this gateway has no lease
}

// gateCounters are the counters behind GateStats.
type gateCounters struct{ held, maxWait, inTurn, unleased atomic.Int64 }

func (c *gateCounters) addWait(d time.Duration) {
	c.held.Add(1)
	for longest := c.maxWait.Load(); int64(d) > longest && !c.maxWait.CompareAndSwap(longest, int64(d)); longest = c.maxWait.Load() {
	}
}

// GateStats returns the counters of the gate.
func (p *Plane) GateStats() GateStats {
	counters := &p.gateCounters
	return GateStats{counters.held.Load(), time.Duration(counters.maxWait.Load()).Seconds() * 1e3, counters.inTurn.Load(), counters.unleased.Load()}
}

// gate decides whether requests that need a lease may be served. changed is closed when it is replaced.
type gate struct {
	rollout.Gate
	changed chan struct{}
}

// SetGate replaces the gate. The configuration that it is for has been adopted.
func (p *Plane) SetGate(g rollout.Gate) {
	if previous := p.gate.Swap(&gate{g, make(chan struct{})}); previous != nil {
		close(previous.changed)
	}
}

// mayServe reports whether a request that needs a lease may be served by that version. It reads the clock
// after the request came, so a process that was stalled notices that its lease has expired.
func (p *Plane) mayServe(version uint32) bool {
	g := p.gate.Load()
	return g == nil || !g.Together || g.Allows(p.options.Now(), version)
}

// needsLease reports whether requests of a route need a lease.
func (p *Plane) needsLease(r *sysconfig.Route) bool {
	if r.Class == sysconfig.Effectful {
		return true
	}
	g := p.gate.Load()
	return g != nil && g.Reads
}

// passGate admits a request or refuses it if it needs a lease that this gateway doesn't hold. again
// reports that the request waited for a change of version, and has to be routed anew.
func (p *Plane) passGate(ctx *fasthttp.RequestCtx, t *sysconfig.Table, r *sysconfig.Route) (ok, again bool) {
	if !p.needsLease(r) || p.mayServe(t.Version) {
		return true, false
	}
	timer, start, waited := time.NewTimer(maxGateWait), p.options.Now(), false
	defer timer.Stop()
	for g := p.gate.Load(); g.ReopensSoon || g.Allows(p.options.Now(), g.Version); g = p.gate.Load() {
		if g.Allows(p.options.Now(), g.Version) && p.Version() == g.Version {
			p.gateCounters.addWait(p.options.Now() - start)
			return false, true
		}
		waited = true
		select {
		case <-g.changed:
			continue
		case <-timer.C:
		}
		break
	}
	if waited {
		p.gateCounters.inTurn.Add(1)
	} else {
		p.gateCounters.unleased.Add(1)
	}
	refuse(ctx, fasthttp.StatusServiceUnavailable, unleasedRetryAfter)
	return false, false
}

// leaseCheck returns the check that the core makes when it sends the request: the lease may have ended
// since the request was admitted.
func (p *Plane) leaseCheck(t *sysconfig.Table, r *sysconfig.Route) func() error {
	if g := p.gate.Load(); !p.needsLease(r) || g == nil || !g.Together {
		return nil
	}
	return func() error {
		if !p.mayServe(t.Version) {
			return errLeaseLost
		}
		return nil
	}
}
