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
	"asterwell/internal/sysconfig"
	"asterwell/internal/transport"
)

var errRepeatedID = errors.New(headerID + ": more than one")

// Handle serves one request of a client.
func (p *Plane) Handle(ctx *fasthttp.RequestCtx) {
	if served := p.handle(ctx, p.options.Now()); !served {
		p.ownResponse(ctx)
	}
	if p.options.Leaving() { // the client's next request should go to another gateway
		ctx.SetConnectionClose()
	}
}

// notReadyRetryAfter is the Retry-After of a gateway that has no configuration yet.
const notReadyRetryAfter = 300 * time.Millisecond

// handle returns true if the response is a server's. began is when the request's header had been read: its client's time runs
// from then on, also while the body arrives.
func (p *Plane) handle(ctx *fasthttp.RequestCtx, began time.Duration) (served bool) {
	var times *protocol.StageTimes
	if p.options.OnRequestTimes != nil {
		times = &protocol.StageTimes{Clock: func() int64 { return time.Now().UnixNano() }}
		times.Mark(protocol.HeaderRead)
	}
	ctx.SetStatusCode(protocol.StatusUnanswered)
	t := p.table.Load()
	if t == nil || p.options.Closing != nil && p.options.Closing() {
		refuse(ctx, fasthttp.StatusServiceUnavailable, notReadyRetryAfter)
		return false
	}
	path, _, _ := bytes.Cut(ctx.Request.Header.RequestURI(), []byte("?"))
	route := t.Route(string(ctx.Request.Header.Host()), string(path))
	if route == nil {
		ctx.Error("no such route\n", fasthttp.StatusNotFound)
		return false
	}
	if ok, again := p.passGate(ctx, t, route); again {
		return p.handle(ctx, began)
	} else if !ok {
		return false
	}
	var id, credential, deadlineHeader string
	idCount := 0
	call, err := serverDialect.NewCall(ctx, maxBody(t), func(name, value []byte) {
		switch len(name) {
		case len(headerID):
			if bytes.EqualFold(name, []byte(headerID)) {
				id = string(value)
				idCount++
			}
		case len(serverDialect.DeadlineHeader): // Authorization has the same length
			if bytes.EqualFold(name, []byte(serverDialect.DeadlineHeader)) {
				deadlineHeader = string(value)
			} else if bytes.EqualFold(name, []byte("Authorization")) {
				credential = string(bytes.TrimPrefix(value, []byte("Bearer ")))
			}
		}
	})
	if idCount > 1 { // the server might use the other one, so its answer couldn't be matched
		err = errRepeatedID
	}
	if err != nil {
		protocol.WriteBadRequest(ctx, err)
		return false
	}
	call.Transparent, call.StageTimes = true, times
	request := &routing.Request{Reply: &protocol.ReplyWaiter{}, Call: call, Plan: quotaPlan, Units: 1, Gateways: 1, ResolveTerms: p.leaseCheck(t, route)}
	lane := (*p.lanes.Load())[route.Pick(xxhash.Sum64String(id))]
	rank := route.Rank
	if t.Keyed() && !route.Anonymous {
		tenant := t.Tenant(credential)
		if tenant == nil {
			ctx.Error("unknown key\n", fasthttp.StatusUnauthorized)
			return false
		}
		if tenant.Rank != nil {
			rank = *tenant.Rank
		}
		request.Customer = tenant.Name
		call.AddHeader(headerTenant, tenant.Name)
		times.Mark(protocol.Routed)
		if tenant.Rate > 0 {
			if lane.empty() { // a request that no server can run takes no quota
				refuse(ctx, fasthttp.StatusServiceUnavailable, notReadyRetryAfter)
				return false
			}
			if ok, after := p.options.TakeQuota(tenant.Name, 1); !ok {
				p.quotaRefusals.Add(1)
				refuse(ctx, fasthttp.StatusTooManyRequests, after)
				return false
			}
		}
	}
	times.Mark(protocol.Routed) // for requests without a key
	times.Mark(protocol.QuotaChecked)
	wait := route.Deadline
	if ms, err := strconv.ParseFloat(deadlineHeader, 64); err == nil && ms > 0 {
		wait = min(wait, time.Duration(ms*float64(time.Millisecond)))
	}
	request.Class, request.Deadline = className(route, rank), began+wait
	if client, ok := ctx.Conn().(*transport.ClientConn); ok {
		client.SetAnswerDeadline(client.Host().Now().Add(request.Deadline - p.options.Now()))
	}
	call.Bind(request, wait)
	if lane == nil {
		refuse(ctx, fasthttp.StatusServiceUnavailable, notReadyRetryAfter)
		return false
	}
	if injected, served := p.injectFault(ctx, lane, id, route.Name, request, route.Deadline); injected {
		return served
	}
	final := protocol.Await(ctx, lane.core, p.requestIDs, id, request)
	times.Mark(protocol.ResponseDelivered)
	served = p.answer(ctx, final)
	if times != nil {
		times.Mark(protocol.ResponseWriting)
		p.options.OnRequestTimes(id, times)
	}
	return served
}

// maxBody returns how many bytes a request's body may have.
func maxBody(t *sysconfig.Table) int {
	if t.Bounds.BodyBytes > 0 {
		return int(min(t.Bounds.BodyBytes, transport.MaxStream))
	}
	return transport.MaxStream
}

// answer writes the response to the client, and returns true if it is a server's.
func (p *Plane) answer(ctx *fasthttp.RequestCtx, final protocol.Result) (served bool) {
	//exhaustive:enforce
	switch final.Kind {
	case protocol.Served:
		ctx.SetStatusCode(final.Answer.StatusCode())
		protocol.CopyResponse(ctx, final.Answer)
	case protocol.Refused:
		if final.Verdict == routing.MayHaveExecuted { // no promise that it didn't run
			ctx.SetStatusCode(fasthttp.StatusBadGateway)
			return false
		}
		refuse(ctx, fasthttp.StatusServiceUnavailable, final.RetryAfter)
	case protocol.Disallowed:
		refuse(ctx, fasthttp.StatusServiceUnavailable, notReadyRetryAfter)
	case protocol.TimedOut:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	case protocol.Failed:
		ctx.SetStatusCode(fasthttp.StatusBadGateway)
	case protocol.DuplicateID:
		ctx.Error(headerID+": "+protocol.DuplicateIDMessage+"\n", fasthttp.StatusConflict)
	case protocol.BodyFailed:
		protocol.WriteBadRequest(ctx, final.Err)
	case protocol.ClientLeft:
		protocol.AnswerUnheard(ctx)
	}
	return final.Kind == protocol.Served
}

// refuse promises that the request has not run and never will. The time in Retry-After is rounded up, so
// that clients that follow it aren't too early.
func refuse(ctx *fasthttp.RequestCtx, status int, after time.Duration) {
	if after > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatFloat(math.Ceil(after.Seconds()*1e3)/1e3, 'f', 3, 64))
	}
	ctx.SetStatusCode(status)
}
