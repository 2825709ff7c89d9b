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

// Inputs of the control loop about fault rules.
type (
	faultRulesCall struct {
		call uint64
		op   faultrules.Op
		doc  faultrules.Doc
	}
	rulesWritten  struct{ seq uint64 }
	strikesWanted struct{} // requests wait for strikes of the budget
)

// maxRuleLifetime is the upper bound of a rule set's lifetime; 0: fault rules are disabled.
func (p *Process) maxRuleLifetime() time.Duration {
	return time.Duration(p.settings.FaultRules.LongestS * float64(time.Second))
}

func (p *Process) putFaults(ctx *fasthttp.RequestCtx, _ string) {
	if p.refuseWithoutFaults(ctx) {
		return
	}
	body := append([]byte(nil), ctx.PostBody()...)
	rules, err := faultrules.Parse(body, p.maxRuleLifetime())
	if err == nil {
		known := func() error {
			t := p.plane.Table()
			return rules.Known(func(name string) bool { return t.TenantNamed(name) != nil }, t.HasRoute)
		}
		if p.plane.Table() == nil {
			p.busy(ctx)
			return
		}
		if err = known(); err != nil { // an unknown name may be in a newer configuration that hasn't arrived yet
			if kept, ok := p.proveContact(proofTimeout); !ok || p.plane.Version() < kept {
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
	p.callFaultRules(ctx, faultrules.OpPut, faultrules.Doc{Version: rules.Version, Body: body})
}

func (p *Process) getFaults(ctx *fasthttp.RequestCtx, _ string) {
	if !p.refuseWithoutFaults(ctx) {
		p.callFaultRules(ctx, faultrules.OpGet, faultrules.Doc{})
	}
}

// stopFaults stops the rule set that the path names. A call without a version is redirected to the path of
// the current set: a repeated or delayed call must not stop a set that was put later.
func (p *Process) stopFaults(ctx *fasthttp.RequestCtx, number string) {
	if p.refuseWithoutFaults(ctx) {
		return
	}
	if number == "" {
		p.redirectToFaults(ctx)
		return
	}
	v, err := strconv.ParseUint(number, 10, 32)
	if err != nil || v == 0 {
		ctx.Error("path: not a version of fault rules: "+strconv.Quote(number)+"\n", http.StatusBadRequest)
		return
	}
	p.callFaultRules(ctx, faultrules.OpStop, faultrules.Doc{Version: uint32(v)})
}

// redirectToFaults redirects the caller to the path of the current set; if there is none, it answers so.
func (p *Process) redirectToFaults(ctx *fasthttp.RequestCtx) {
	a, _ := p.call(func(call uint64) { p.inbox.Put(faultRulesCall{call, faultrules.OpGet, faultrules.Doc{}}) }).(faultrules.Answer)
	if s := a.State; a.Outcome == faultrules.Busy || s.Version == 0 || s.Stopped {
		p.answerFaultRules(ctx, a)
		return
	}
	ctx.Error("a stop names its set: send it there\n", http.StatusTemporaryRedirect) // resets the headers
	ctx.Response.Header.Set("Location", fmt.Sprintf("http://%s/api/faults/%d", ctx.Host(), a.State.Version))
}

// refuseWithoutFaults answers with an error, and returns true, if fault rules are disabled in this
// deployment.
func (p *Process) refuseWithoutFaults(ctx *fasthttp.RequestCtx) bool {
	if p.maxRuleLifetime() > 0 {
		return false
	}
	ctx.Error("fault rules are off in this deployment (FaultRules.LongestS)\n", http.StatusUnprocessableEntity)
	return true
}

// callFaultRules passes a call to the control loop, and answers with the state of the rules.
func (p *Process) callFaultRules(ctx *fasthttp.RequestCtx, op faultrules.Op, doc faultrules.Doc) {
	a, _ := p.call(func(call uint64) { p.inbox.Put(faultRulesCall{call, op, doc}) }).(faultrules.Answer)
	p.answerFaultRules(ctx, a)
}

func (p *Process) answerFaultRules(ctx *fasthttp.RequestCtx, a faultrules.Answer) {
	switch a.Outcome {
	case faultrules.Busy:
		p.busy(ctx)
		return
	case faultrules.Below:
		ctx.SetStatusCode(http.StatusConflict)
	case faultrules.Absent: // the set may still be accepted later
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
