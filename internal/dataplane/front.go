package dataplane

import (
	"bytes"
	"errors"
	"math"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"asterwell/internal/protocol"
	"asterwell/internal/routing"
)

var errNames = errors.New(headerID + ": more than one")

// Handle serves one request of a client.
func (p *Plane) Handle(ctx *fasthttp.RequestCtx) {
	p.handle(ctx)
	if p.opt.Leaving() { // the next request should come in elsewhere
		ctx.SetConnectionClose()
	}
}

// untilReady is when to come back to a gateway that has no configuration yet.
const untilReady = 300 * time.Millisecond

func (p *Plane) handle(ctx *fasthttp.RequestCtx) {
	var times *protocol.StageTimes
	if p.opt.OnRequestTimes != nil {
		times = &protocol.StageTimes{Clock: func() int64 { return time.Now().UnixNano() }}
		times.Mark(protocol.HeaderRead)
	}
	t := p.table.Load()
	if t == nil || p.opt.Closing != nil && p.opt.Closing() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, untilReady)
		return
	}
	path, _, _ := bytes.Cut(ctx.Request.Header.RequestURI(), []byte("?"))
	route := t.Route(string(ctx.Request.Header.Host()), string(path))
	if route == nil {
		ctx.Error("no such route\n", fasthttp.StatusNotFound)
		return
	}
	if ok, again := p.pass(ctx, t, route); again {
		p.handle(ctx)
		return
	} else if !ok {
		return
	}
	var id, key, limit string
	names := 0
	call := speech.NewCall(ctx, func(name, value []byte) {
		switch len(name) {
		case len(headerID):
			if bytes.EqualFold(name, []byte(headerID)) {
				id = string(value)
				names++
			}
		case len(speech.DeadlineHeader): // as long as Authorization
			if bytes.EqualFold(name, []byte(speech.DeadlineHeader)) {
				limit = string(value)
			} else if bytes.EqualFold(name, []byte("Authorization")) {
				key = string(bytes.TrimPrefix(value, []byte("Bearer ")))
			}
		}
	})
	err := call.Err()
	if names > 1 { // a server may go by the other, and its answer would be nobody's
		err = errNames
	}
	if err != nil {
		protocol.WriteBadRequest(ctx, err)
		return
	}
	call.Transparent, call.StageTimes = true, times
	r := &routing.Request{Reply: &protocol.ReplyWaiter{}, Call: call, Plan: plan, Units: 1, Gateways: 1, ResolveTerms: p.bound(t, route)}
	l := (*p.lanes.Load())[route.Pick(xxhash.Sum64String(id))]
	rank := route.Rank
	if t.Keyed() && !route.Anonymous {
		tenant := t.Tenant(key)
		if tenant == nil {
			ctx.Error("unknown key\n", fasthttp.StatusUnauthorized)
			return
		}
		if tenant.Rank != nil {
			rank = *tenant.Rank
		}
		r.Customer = tenant.Name
		call.AddHeader(headerTenant, tenant.Name)
		times.Mark(protocol.Routed)
		if tenant.Rate > 0 {
			if l.empty() { // a request that nobody can run takes no unit
				refuse(ctx, fasthttp.StatusServiceUnavailable, untilReady)
				return
			}
			if ok, after := p.opt.TakeQuota(tenant.Name, 1); !ok {
				p.refused.Add(1)
				refuse(ctx, fasthttp.StatusTooManyRequests, after)
				return
			}
		}
	}
	times.Mark(protocol.Routed) // those without a key
	times.Mark(protocol.QuotaChecked)
	wait := route.Deadline
	if ms, err := strconv.ParseFloat(limit, 64); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms*float64(time.Millisecond)))
	}
	r.Class, r.Deadline = class(route, rank), p.opt.Now()+wait
	call.Bind(r, wait)
	if l == nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, untilReady)
		return
	}
	if p.struck(ctx, l, id, route.Name, r, route.Deadline) {
		return
	}
	final := protocol.Await(ctx, l.core, p.ids, id, r)
	times.Mark(protocol.ResponseDelivered)
	p.answer(ctx, final)
	if times != nil {
		times.Mark(protocol.ResponseWriting)
		p.opt.OnRequestTimes(id, times)
	}
}

// answer gives the client the one final answer.
func (p *Plane) answer(ctx *fasthttp.RequestCtx, a protocol.Result) {
	switch a.Kind {
	case protocol.Served:
		ctx.SetStatusCode(a.Answer.StatusCode())
		protocol.CopyResponse(ctx, a.Answer)
	case protocol.Refused:
		if a.Verdict == routing.MayHaveExecuted { // no promise can be given
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		refuse(ctx, fasthttp.StatusServiceUnavailable, a.RetryAfter)
	case protocol.Disallowed:
		refuse(ctx, fasthttp.StatusServiceUnavailable, untilReady)
	case protocol.TimedOut:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case protocol.Failed:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	case protocol.DuplicateID:
		ctx.Error(headerID+": "+protocol.DuplicateIDMessage+"\n", fasthttp.StatusConflict)
	}
}

// refuse promises that the request has not run and never will. Who comes back when told so
// should not be too early: the time is rounded up.
func refuse(ctx *fasthttp.RequestCtx, status int, after time.Duration) {
	if after > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(math.Ceil(after.Seconds()*1e3)/1e3, 'f', 3, 64))
	}
	ctx.SetStatusCode(status)
}
