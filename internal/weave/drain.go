package weave

import (
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/bond"
)

// drained asks the loop to drain, or to end that.
type drained struct {
	call      uint64
	on, alone bool
}

// How a drain is answered.
const (
	drainDone  = "done"
	drainAlone = "no other gateway is ready: clients would have nowhere to go"
	drainEnds  = "this process is ending"
)

// drain is an operator's: the platform and clients go elsewhere, and what still comes is
// served. All else the process goes on doing. A drain does not outlive its process.
func (p *Process) drain(ctx *fasthttp.RequestCtx, rest string) {
	d := drained{on: rest != "stop", alone: rest == "start-alone"}
	if rest != "start" && rest != "stop" && rest != "start-alone" {
		ctx.Error("no such call\n", http.StatusNotFound)
		return
	}
	switch a, _ := p.ask(func(call uint64) { d.call = call; p.box.Put(d) }).(string); a {
	case drainDone:
		ctx.SetContentType("application/json")
		ctx.SetBodyString("{}")
	case "":
		p.busy(ctx)
	default:
		ctx.Error(a+"\n", http.StatusConflict)
	}
}

// drains is the loop's part of it.
func (p *Process) drains(d drained) string {
	switch {
	case p.leaving.Load():
		return drainEnds
	case d.on && !d.alone && !p.draining.Load() && !p.others():
		return drainAlone
	}
	if p.draining.Swap(d.on) != d.on {
		p.say.WithField("on", d.on).Info("drain")
		p.drainedAt = time.Now()
		p.knot.Drain(d.on)
		p.tick() // the others and the platform hear of it at once
		if !d.on && p.clients != nil {
			p.clients.Resume()
		}
	}
	return drainDone
}

// others tells whether clients have another gateway to go to.
func (p *Process) others() bool {
	for _, n := range p.knot.View() {
		if n.Addr != p.self && n.State == bond.Up && n.Ready {
			return true
		}
	}
	return false
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
