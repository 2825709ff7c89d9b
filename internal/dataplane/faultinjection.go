package dataplane

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/faultrules"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// FaultInjector applies the fault rules. A request of the tenant that a rule names is held on the
// goroutine of its own connection, before it takes a place in a lane or after it gave it back, so that no
// other request waits for it.
type FaultInjector interface {
	Active() bool
	// Select decides whether a rule applies to a request. It may wait briefly for a strike of the budget.
	Select(q faultrules.Request, left time.Duration) (faultrules.Strike, bool)
	// AwaitRecorded waits until the strike is on record, and reports whether it may be made now.
	AwaitRecorded(s faultrules.Strike, left time.Duration) bool
	// RecordOutcome records the outcome of a strike that was made, RecordUnused that of one that was not
	// made and won't be.
	RecordOutcome(q faultrules.Request, s faultrules.Strike, outcome string)
	RecordUnused(q faultrules.Request, s faultrules.Strike, outcome string)
}

const (
	maxStruckRequests = 200     // struck requests and repeated ones in progress; beyond it no rule applies
	struckDivisor     = 4       // at most this part of the places for clients may be taken by them
	maxCopiedBytes    = 8 << 20 // bytes held to repeat requests
)

// injection is a strike of a fault rule on one request.
type injection struct {
	plane    *Plane
	ctx      *fasthttp.RequestCtx
	lane     *lane
	id       string
	request  *routing.Request
	query    faultrules.Request
	strike   faultrules.Strike
	timeout  time.Duration // the route's deadline for a request
	struckAt time.Duration
	refs     atomic.Int32 // users of its place among the struck requests
}

// retain keeps the request's place among the struck requests until release is called as often.
func (i *injection) retain() { i.refs.Add(1) }

func (i *injection) release() {
	if i.refs.Add(-1) == 0 {
		i.plane.struckRequests.Add(-1)
	}
}

// injectFault handles a request if a fault rule applies to it, and reports whether one does.
func (p *Plane) injectFault(ctx *fasthttp.RequestCtx, l *lane, id, route string, r *routing.Request, whole time.Duration) bool {
	f := p.options.FaultInjector
	if f == nil || r.Customer == "" || !f.Active() {
		return false
	}
	if p.struckRequests.Add(1) > p.maxStruck() {
		p.struckRequests.Add(-1)
		return false
	}
	i := &injection{plane: p, ctx: ctx, lane: l, id: id, request: r, timeout: whole,
		query: faultrules.Request{ID: id, Tenant: r.Customer, Route: route, Method: string(ctx.Method())}}
	i.retain()
	defer i.release()
	var hit bool
	if i.strike, hit = f.Select(i.query, r.Deadline-p.options.Now()); !hit {
		return false
	}
	i.struckAt = p.options.Now()
	if i.strike.Kind == faultrules.Double {
		i.repeat()
		return true
	}
	if !f.AwaitRecorded(i.strike, r.Deadline-i.struckAt) {
		f.RecordUnused(i.query, i.strike, "not made: not on record in time")
		return false
	}
	switch i.strike.Kind {
	case faultrules.Delay:
		i.delay()
	case faultrules.VanishBefore:
		i.timeOut("never ran")
	case faultrules.VanishAfter:
		i.timeOut(executionOutcome(i.await()))
	}
	return true
}

// maxStruck is how many struck requests may be in progress: other clients need places, too.
func (p *Plane) maxStruck() int64 {
	if p.options.MaxServerConns <= 0 { // no limit is set
		return maxStruckRequests
	}
	return int64(min(maxStruckRequests, max(1, p.options.MaxServerConns/struckDivisor)))
}

func (i *injection) await() protocol.Final {
	return protocol.Await(i.ctx, i.lane.core, i.plane.requestIDs, i.id, i.request)
}

func (i *injection) record(outcome string) {
	i.plane.options.FaultInjector.RecordOutcome(i.query, i.strike, outcome)
}

// executionOutcome returns what is known about the execution of a request that has ended and whose answer
// is discarded.
func executionOutcome(a protocol.Final) string {
	if a.Answer != nil {
		defer fasthttp.ReleaseResponse(a.Answer)
	}
	switch {
	case a.Kind == protocol.Served:
		return "ran"
	case a.Kind == protocol.Refused && a.Verdict != routing.MayHaveExecuted, a.Kind == protocol.Twice:
		return "never ran"
	}
	return "may have run"
}

// holdUntil waits until the given time, and reports whether the client is still connected.
func (i *injection) holdUntil(until time.Duration) bool {
	over := func() bool { return i.plane.options.Now() >= until }
	left := until - i.plane.options.Now()
	if left <= 0 {
		return true
	}
	c, ok := i.ctx.Conn().(*transport.ClientConn)
	if !ok {
		i.plane.options.Host.Sleep(left)
		return true
	}
	i.retain()
	i.plane.options.Host.Go(func() {
		defer i.release()
		i.plane.options.Host.Sleep(left + time.Millisecond)
		c.Bell().Ring()
	})
	return c.Await(over)
}

// delay forwards the request after the delay, if its deadline allows that.
func (i *injection) delay() {
	if until := i.struckAt + i.strike.Delay; until < i.request.Deadline {
		if !i.holdUntil(until) {
			i.record("never ran: its client left")
			return
		}
		a := i.await()
		i.plane.answer(i.ctx, a)
		i.record("delayed")
		return
	}
	i.timeOut("never ran")
}

// timeOut ends a request at its deadline, like one whose server doesn't answer. The status promises
// nothing: whether the request ran is only in the record.
func (i *injection) timeOut(what string) {
	if i.holdUntil(i.request.Deadline) {
		i.ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
	i.record(what)
}

// repeat sends a request a second time once it was served. A refused request isn't repeated: the promise
// that it never ran must stay true. The caller waits neither for the second execution nor for the record.
func (i *injection) repeat() {
	c := i.request.Call.(*protocol.Call).Copied(i.plane.reserveCopy)
	a := i.await()
	served := a.Kind == protocol.Served
	i.plane.answer(i.ctx, a)
	again := c.Call()
	i.retain()
	end := func(unmade string) {
		i.plane.copiedBytes.Add(int64(-c.Held()))
		i.release()
		if unmade != "" {
			i.plane.options.FaultInjector.RecordUnused(i.query, i.strike, unmade)
		}
	}
	switch {
	case !served:
		end("not doubled: the first was not served")
	case again == nil:
		end("not doubled: its body is too long to be kept")
	default:
		i.plane.options.Host.Go(func() {
			switch {
			case !i.takeQuota():
				end("not doubled: beyond its quota")
			case !i.plane.options.FaultInjector.AwaitRecorded(i.strike, i.timeout):
				end("not made: not on record in time")
			default:
				i.lane.core.Submit(&routing.Request{Class: i.request.Class, Plan: i.request.Plan, Customer: i.request.Customer, Deadline: i.plane.options.Now() + i.timeout,
					Units: i.request.Units, Gateways: i.request.Gateways, Call: again, Reply: discardSecond{i, end}})
			}
		})
	}
}

// reserveCopy reserves memory for the copy of a request, if there is some left.
func (p *Plane) reserveCopy(n int) bool {
	if p.copiedBytes.Add(int64(n)) > maxCopiedBytes {
		p.copiedBytes.Add(int64(-n))
		return false
	}
	return true
}

// takeQuota takes a unit of the tenant's quota for the second execution.
func (i *injection) takeQuota() bool {
	t := i.plane.table.Load().TenantNamed(i.request.Customer)
	if t == nil || t.Rate <= 0 {
		return t != nil
	}
	ok, _ := i.plane.options.TakeQuota(i.request.Customer, 1)
	return ok
}

// discardSecond receives the answer of the second execution, which is discarded.
type discardSecond struct {
	injection *injection
	finish    func(string)
}

func (u discardSecond) Served(answer any) {
	fasthttp.ReleaseResponse(answer.(*fasthttp.Response))
	u.record("ran twice")
}

func (u discardSecond) Refused(_ time.Duration, v routing.Verdict) {
	if v == routing.MayHaveExecuted {
		u.record("ran once, and the second may have run")
		return
	}
	u.record("ran once: the second was refused")
}

func (u discardSecond) Failed(bool) { u.record("ran once, and the second may have run") }

func (u discardSecond) Disallowed(error) { u.Refused(0, routing.NotAttempted) }

func (u discardSecond) record(outcome string) {
	u.injection.plane.options.Host.Go(func() {
		u.finish("")
		u.injection.record(outcome)
	})
}
