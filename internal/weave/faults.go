package weave

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/bane"
)

// What the loop is told of fault rules.
type (
	ruled struct {
		call uint64
		op   bane.Op
		doc  bane.Doc
	}
	rulesWritten struct{ seq uint64 }
	short        struct{} // requests wait for strikes
)

// longest is how long fault rules may live here; 0: there are none.
func (p *Process) longest() time.Duration {
	return time.Duration(p.set.FaultRules.LongestS * float64(time.Second))
}

func (p *Process) putFaults(ctx *fasthttp.RequestCtx, _ string) {
	if p.noFaults(ctx) {
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	set, err := bane.Parse(body, p.longest())
	if err == nil {
		if t := p.plane.Table(); t == nil {
			p.busy(ctx)
			return
		} else {
			err = set.Known(func(name string) bool { return t.TenantNamed(name) != nil }, t.HasRoute)
		}
	}
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusBadRequest)
		return
	}
	p.rule(ctx, bane.OpPut, bane.Doc{Version: set.Version, Body: body})
}

func (p *Process) getFaults(ctx *fasthttp.RequestCtx, _ string) {
	if !p.noFaults(ctx) {
		p.rule(ctx, bane.OpGet, bane.Doc{})
	}
}

func (p *Process) stopFaults(ctx *fasthttp.RequestCtx, _ string) {
	if !p.noFaults(ctx) {
		p.rule(ctx, bane.OpStop, bane.Doc{})
	}
}

// noFaults refuses where the deployment has not turned fault rules on.
func (p *Process) noFaults(ctx *fasthttp.RequestCtx) bool {
	if p.longest() > 0 {
		return false
	}
	ctx.Error("fault rules are off in this deployment (FaultRules.LongestS)\n", http.StatusUnprocessableEntity)
	return true
}

// rule makes a call, and answers with how the rules stand.
func (p *Process) rule(ctx *fasthttp.RequestCtx, op bane.Op, doc bane.Doc) {
	a, _ := p.ask(func(call uint64) { p.box.Put(ruled{call, op, doc}) }).(bane.Answer)
	switch a.Outcome {
	case bane.Busy:
		p.busy(ctx)
		return
	case bane.Below:
		ctx.SetStatusCode(http.StatusConflict)
	}
	body, err := json.Marshal(struct {
		bane.State
		LeaseMs int64
		Set     json.RawMessage `json:",omitempty"`
	}{a.State, a.State.Lease.Milliseconds(), a.State.Body})
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(append(body, '\n'))
}
