package shuttle

import (
	"errors"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/accord"
	"asterwell/internal/creed"
)

const (
	turnTakes = 100 * time.Millisecond // most that a request waits while all nodes turn
	unleased  = time.Second            // when to come back to a gateway that may decide nothing
)

// errTurned ends a request whose rules are not in force any more when it is decided.
var errTurned = errors.New("the rules have changed, or are not confirmed")

// gate is by what effectful requests may be decided.
type gate struct {
	accord.Gate
	changed chan struct{}
}

// Gate takes it over. The configuration that it is for has been adopted.
func (p *Plane) Gate(g accord.Gate) {
	if was := p.gate.Swap(&gate{g, make(chan struct{})}); was != nil {
		close(was.changed)
	}
}

// may says whether an effectful request can go by that version. The time is taken here,
// after it has come: a process that stood still notices.
func (p *Plane) may(version uint32) bool {
	g := p.gate.Load()
	return g == nil || !g.Together || g.May(p.opt.Now(), version)
}

// pass lets a request in that is effectful, or refuses it; again tells that a turn was
// waited for, and all is to be looked up anew.
func (p *Plane) pass(ctx *fasthttp.RequestCtx, t *creed.Table, r *creed.Route) (ok, again bool) {
	if r.Class != creed.Effectful || p.may(t.Version) {
		return true, false
	}
	late := time.NewTimer(turnTakes)
	defer late.Stop()
	for g := p.gate.Load(); g.Soon || g.May(p.opt.Now(), g.Version); g = p.gate.Load() {
		if g.May(p.opt.Now(), g.Version) && p.Version() == g.Version {
			return false, true
		}
		select {
		case <-g.changed:
			continue
		case <-late.C:
		}
		break
	}
	refuse(ctx, fasthttp.StatusServiceUnavailable, unleased)
	return false, false
}

// bound makes the core look again when it decides.
func (p *Plane) bound(t *creed.Table, r *creed.Route) func() error {
	if g := p.gate.Load(); r.Class != creed.Effectful || g == nil || !g.Together {
		return nil
	}
	return func() error {
		if !p.may(t.Version) {
			return errTurned
		}
		return nil
	}
}
