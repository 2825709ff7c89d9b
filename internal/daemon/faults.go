package daemon

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/faultrules"
)

// What the loop is told of fault rules.
type (
	ruled struct {
		call uint64
		op   faultrules.Op
		doc  faultrules.Doc
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
	set, err := faultrules.Parse(body, p.longest())
	if err == nil {
		known := func() error {
			t := p.plane.Table()
			return set.Known(func(name string) bool { return t.TenantNamed(name) != nil }, t.HasRoute)
		}
		if p.plane.Table() == nil {
			p.busy(ctx)
			return
		}
		if err = known(); err != nil { // what is not known here may be in a configuration that has not come
			if kept, ok := p.proof(patience); !ok || p.plane.Version() < kept {
				p.busy(ctx)
				return
			}
			err = known()
		}
	}
	if err != nil {
		ctx.Error(err.Error()+"\n", http.StatusBadRequest)
		return
	}
	p.rule(ctx, faultrules.OpPut, faultrules.Doc{Version: set.Version, Body: body})
}

func (p *Process) getFaults(ctx *fasthttp.RequestCtx, _ string) {
	if !p.noFaults(ctx) {
		p.rule(ctx, faultrules.OpGet, faultrules.Doc{})
	}
}

// stopFaults stops the set that the path names. A call that names none is told its address:
// if it is sent again, or comes late, it must not end what has been put since.
func (p *Process) stopFaults(ctx *fasthttp.RequestCtx, number string) {
	if p.noFaults(ctx) {
		return
	}
	if number == "" {
		p.nameFaults(ctx)
		return
	}
	v, err := strconv.ParseUint(number, 10, 32)
	if err != nil || v == 0 {
		ctx.Error("path: not a version of fault rules: "+strconv.Quote(number)+"\n", http.StatusBadRequest)
		return
	}
	p.rule(ctx, faultrules.OpStop, faultrules.Doc{Version: uint32(v)})
}

// nameFaults sends a caller to the set that is kept now; if there is none, it is told so.
func (p *Process) nameFaults(ctx *fasthttp.RequestCtx) {
	a, _ := p.ask(func(call uint64) { p.box.Put(ruled{call, faultrules.OpGet, faultrules.Doc{}}) }).(faultrules.Answer)
	if s := a.State; a.Outcome == faultrules.Busy || s.Version == 0 || s.Stopped {
		p.ruling(ctx, a)
		return
	}
	ctx.Error("a stop names its set: send it there\n", http.StatusTemporaryRedirect) // which takes headers away
	ctx.Response.Header.Set("Location", fmt.Sprintf("http://%s/api/faults/%d", ctx.Host(), a.State.Version))
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
func (p *Process) rule(ctx *fasthttp.RequestCtx, op faultrules.Op, doc faultrules.Doc) {
	a, _ := p.ask(func(call uint64) { p.box.Put(ruled{call, op, doc}) }).(faultrules.Answer)
	p.ruling(ctx, a)
}

func (p *Process) ruling(ctx *fasthttp.RequestCtx, a faultrules.Answer) {
	switch a.Outcome {
	case faultrules.Busy:
		p.busy(ctx)
		return
	case faultrules.Below:
		ctx.SetStatusCode(http.StatusConflict)
	case faultrules.Absent: // which is no promise that it won't come
		ctx.Error("no such set was accepted\n", http.StatusNotFound)
		return
	}
	body, err := json.Marshal(struct {
		faultrules.State
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
