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
	turnTakes = 100 * time.Millisecond // most that a request waits while all nodes turn
	unleased  = time.Second            // when to come back to a gateway that may decide nothing
)

// errTurned ends a request whose rules are not in force any more when it is decided.
var errTurned = errors.New("the rules have changed, or are not confirmed")

// Turns counts what waited at the gate or was refused there, since the start.
type GateStats struct {
	Held       int64   // requests that waited in a turn
	HeldMostMs float64 // the longest of those
	InTurn     int64   // refused, as a turn took too long
	Unleased   int64   // refused, as nothing may be decided here
}

// tally is those counts as they grow.
type tally struct{ held, most, inTurn, unleased atomic.Int64 }

func (t *tally) waited(d time.Duration) {
	t.held.Add(1)
	for most := t.most.Load(); int64(d) > most && !t.most.CompareAndSwap(most, int64(d)); most = t.most.Load() {
	}
}

// Turns tells them.
func (p *Plane) GateStats() GateStats {
	t := &p.turns
	return GateStats{t.held.Load(), time.Duration(t.most.Load()).Seconds() * 1e3, t.inTurn.Load(), t.unleased.Load()}
}

// gate is by what effectful requests may be decided.
type gate struct {
	rollout.Gate
	changed chan struct{}
}

// Gate takes it over. The configuration that it is for has been adopted.
func (p *Plane) SetGate(g rollout.Gate) {
	if was := p.gate.Swap(&gate{g, make(chan struct{})}); was != nil {
		close(was.changed)
	}
}

// may says whether a request that needs a lease can go by that version. The time is taken here,
// after it has come: a process that stood still notices.
func (p *Plane) may(version uint32) bool {
	g := p.gate.Load()
	return g == nil || !g.Together || g.Allows(p.opt.Now(), version)
}

// gated says whether requests of a route need a lease.
func (p *Plane) gated(r *sysconfig.Route) bool {
	if r.Class == sysconfig.Effectful {
		return true
	}
	g := p.gate.Load()
	return g != nil && g.Reads
}

// pass lets a request in that needs a lease, or refuses it; again tells that a turn was
// waited for, and all is to be looked up anew.
func (p *Plane) pass(ctx *fasthttp.RequestCtx, t *sysconfig.Table, r *sysconfig.Route) (ok, again bool) {
	if !p.gated(r) || p.may(t.Version) {
		return true, false
	}
	late, began, waited := time.NewTimer(turnTakes), p.opt.Now(), false
	defer late.Stop()
	for g := p.gate.Load(); g.ReopensSoon || g.Allows(p.opt.Now(), g.Version); g = p.gate.Load() {
		if g.Allows(p.opt.Now(), g.Version) && p.Version() == g.Version {
			p.turns.waited(p.opt.Now() - began)
			return false, true
		}
		waited = true
		select {
		case <-g.changed:
			continue
		case <-late.C:
		}
		break
	}
	if waited {
		p.turns.inTurn.Add(1)
	} else {
		p.turns.unleased.Add(1)
	}
	refuse(ctx, fasthttp.StatusServiceUnavailable, unleased)
	return false, false
}

// bound makes the core look again when it decides.
func (p *Plane) bound(t *sysconfig.Table, r *sysconfig.Route) func() error {
	if g := p.gate.Load(); !p.gated(r) || g == nil || !g.Together {
		return nil
	}
	return func() error {
		if !p.may(t.Version) {
			return errTurned
		}
		return nil
	}
}
