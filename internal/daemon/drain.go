package daemon

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/drainpermit"
)

// drainCall asks the control loop to start or stop a drain.
type drainCall struct {
	call   uint64
	op     drainpermit.Op
	within time.Duration
}

var drainOps = map[string]drainpermit.Op{"start": drainpermit.Start, "start-alone": drainpermit.StartAlone, "stop": drainpermit.Stop}

// drainRefusals are the reasons why a drain is refused.
var drainRefusals = map[drainpermit.Answer]string{
	drainpermit.NoOtherReady:  "no other gateway is ready: clients would have nowhere to go",
	drainpermit.ProcessEnding: "this process is ending",
	drainpermit.Superseded:    "another order has come since",
}

// drain handles an operator's call that starts or stops a drain. During a drain the platform and clients
// are sent to other gateways, requests that still come are served, and the process does all its other
// work. A drain ends with the process.
func (p *Process) drain(ctx *fasthttp.RequestCtx, rest string) {
	op, known := drainOps[rest]
	if !known {
		ctx.Error("no such call\n", http.StatusNotFound)
		return
	}
	end := time.Now().Add(drainCallTimeout)
	if op == drainpermit.Start { // needs another gateway, and is refused if there is none
		if _, ok := p.proveContact(drainProofTimeout); !ok {
			p.busy(ctx)
			return
		}
	}
	within := time.Until(end)
	a, answered := p.callWithin(within+tickInterval, func(call uint64) { p.inbox.Put(drainCall{call, op, within}) }).(drainpermit.Answer)
	switch {
	case a == drainpermit.Done:
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	case !answered || a == drainpermit.NoPermission:
		p.busy(ctx)
	default:
		ctx.Error(drainRefusals[a]+"\n", http.StatusConflict)
	}
}

// A drain call ends within the second that callers wait, with time left for the answer of another gateway.
const (
	drainCallTimeout  = 850 * time.Millisecond
	drainProofTimeout = 600 * time.Millisecond
)

// drainChanged announces the start or end of a drain.
func (p *Process) drainChanged() {
	on := p.machine.Draining()
	if p.draining.Swap(on) == on {
		return
	}
	p.logger.WithField("on", on).Info("drain")
	p.drainChangedAt = time.Now()
	p.runTick() // announce it to the other processes and the platform at once
	if !on && p.ingress != nil {
		p.ingress.Resume()
	}
}

// redirectsClients reports whether clients should send their next requests to another gateway.
func (p *Process) redirectsClients() bool { return p.leaving.Load() || p.draining.Load() }

// closeIdle closes idle client connections during a drain, once the platform has seen twice that this
// process isn't ready.
func (p *Process) closeIdle(now time.Time) {
	if p.draining.Load() && p.ingress != nil && now.Sub(p.drainChangedAt) >= minServeTime {
		p.ingress.Drain()
	}
}
