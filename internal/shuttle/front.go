package shuttle

import (
	"bytes"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"asterwell/internal/protocol"
	"asterwell/internal/routing"
)

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
	call := speech.NewCall(ctx, func(name, value []byte) {
		switch len(name) {
		case len(headerID):
			if bytes.EqualFold(name, []byte(headerID)) {
				id = string(value)
			}
		case len(speech.Deadline): // as long as Authorization
			if bytes.EqualFold(name, []byte(speech.Deadline)) {
				limit = string(value)
			} else if bytes.EqualFold(name, []byte("Authorization")) {
				key = string(bytes.TrimPrefix(value, []byte("Bearer ")))
			}
		}
	})
	if err := call.Err(); err != nil {
		protocol.Bad(ctx, err)
		return
	}
	call.Transparent = true
	r := &routing.Request{Reply: &protocol.Answers{}, Call: call, Plan: plan, Units: 1, Width: 1, Fit: p.bound(t, route)}
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
		if tenant.Rate > 0 {
			if ok, after := p.opt.Pass(tenant.Name, 1); !ok {
				p.refused.Add(1)
				refuse(ctx, fasthttp.StatusTooManyRequests, after)
				return
			}
		}
	}
	wait := route.Deadline
	if ms, err := strconv.ParseFloat(limit, 64); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms*float64(time.Millisecond)))
	}
	r.Class, r.Deadline = class(route, rank), p.opt.Now()+wait
	call.Bind(r, wait)
	l := (*p.lanes.Load())[route.Pick(xxhash.Sum64String(id))]
	if l == nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, untilReady)
		return
	}
	if p.struck(ctx, l, id, route.Name, r, route.Deadline) {
		return
	}
	p.answer(ctx, protocol.Await(ctx, l.core, p.ids, id, r))
}

// answer gives the client the one final answer.
func (p *Plane) answer(ctx *fasthttp.RequestCtx, a protocol.Final) {
	switch a.Kind {
	case protocol.Served:
		ctx.SetStatusCode(a.Answer.StatusCode())
		protocol.PassOn(ctx, a.Answer)
	case protocol.Refused:
		if a.Verdict == routing.MayHaveRun { // no promise can be given
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return
		}
		refuse(ctx, fasthttp.StatusServiceUnavailable, a.RetryAfter)
	case protocol.Unfit:
		refuse(ctx, fasthttp.StatusServiceUnavailable, untilReady)
	case protocol.TimedOut:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case protocol.Failed:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	case protocol.Twice:
		ctx.Error(headerID+": "+protocol.SameID+"\n", fasthttp.StatusConflict)
	}
}

// refuse promises that the request has not run and never will.
func refuse(ctx *fasthttp.RequestCtx, status int, after time.Duration) {
	if after > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	ctx.SetStatusCode(status)
}
