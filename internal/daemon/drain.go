package daemon

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/drainpermit"
)

// drained asks the loop to drain, or to end that.
type drained struct {
	call   uint64
	op     drainpermit.Op
	within time.Duration
}

var drainOps = map[string]drainpermit.Op{"start": drainpermit.Start, "start-alone": drainpermit.StartAlone, "stop": drainpermit.Stop}

// Why a drain is refused.
var drainNoes = map[drainpermit.Answer]string{
	drainpermit.NoOtherReady:  "no other gateway is ready: clients would have nowhere to go",
	drainpermit.ProcessEnding: "this process is ending",
	drainpermit.Superseded:    "another order has come since",
}

// drain is an operator's: the platform and clients go elsewhere, and what still comes is
// served. All else the process goes on doing. A drain does not outlive its process.
func (p *Process) drain(ctx *fasthttp.RequestCtx, rest string) {
	op, known := drainOps[rest]
	if !known {
		ctx.Error("no such call\n", http.StatusNotFound)
		return
	}
	end := time.Now().Add(drainWithin)
	if op == drainpermit.Start { // it counts on another gateway, and is refused where there is none
		if _, ok := p.proof(drainProof); !ok {
			p.busy(ctx)
			return
		}
	}
	within := time.Until(end)
	a, answered := p.askFor(within+tick, func(call uint64) { p.box.Put(drained{call, op, within}) }).(drainpermit.Answer)
	switch {
	case a == drainpermit.Done:
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	case !answered || a == drainpermit.NoPermission:
		p.busy(ctx)
	default:
		ctx.Error(drainNoes[a]+"\n", http.StatusConflict)
	}
}

// A call ends within the second that callers wait, and leaves time for the word of another gateway.
const (
	drainWithin = 850 * time.Millisecond
	drainProof  = 600 * time.Millisecond
)

// drains is for when clients are to go elsewhere, or to come again.
func (p *Process) drains() {
	on := p.knot.Draining()
	if p.draining.Swap(on) == on {
		return
	}
	p.say.WithField("on", on).Info("drain")
	p.drainedAt = time.Now()
	p.tick() // the others and the platform hear of it at once
	if !on && p.clients != nil {
		p.clients.Resume()
	}
}

// away tells whether clients' next requests should come in elsewhere.
func (p *Process) away() bool { return p.leaving.Load() || p.draining.Load() }

// idle closes, while a drain lasts, the connections that nothing is asked on, once the
// platform has seen twice that this process is not ready.
func (p *Process) idle(now time.Time) {
	if p.draining.Load() && p.clients != nil && now.Sub(p.drainedAt) >= staysFor {
		p.clients.Drain()
	}
}
