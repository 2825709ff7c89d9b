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

// injectFault handles a request if a fault rule applies to it, and reports whether one does, and whether the response is
// a server's.
func (p *Plane) injectFault(ctx *fasthttp.RequestCtx, lane *lane, id, route string, request *routing.Request, timeout time.Duration) (injected, served bool) {
	injector := p.options.FaultInjector
	if injector == nil || request.Customer == "" || !injector.Active() {
		return false, false
	}
	if p.struckRequests.Add(1) > p.maxStruck() {
		p.struckRequests.Add(-1)
		return false, false
	}
	i := &injection{plane: p, ctx: ctx, lane: lane, id: id, request: request, timeout: timeout,
		query: faultrules.Request{ID: id, Tenant: request.Customer, Route: route, Method: string(ctx.Method())}}
	i.retain()
	defer i.release()
	var hit bool
	if i.strike, hit = injector.Select(i.query, request.Deadline-p.options.Now()); !hit {
		return false, false
	}
	i.struckAt = p.options.Now()
	if i.strike.Kind == faultrules.Double {
		return true, i.repeat()
	}
	if !injector.AwaitRecorded(i.strike, request.Deadline-i.struckAt) {
		injector.RecordUnused(i.query, i.strike, "not made: not on record in time")
		return false, false
	}
	switch i.strike.Kind {
	case faultrules.Delay:
		return true, i.delay()
	case faultrules.VanishBefore:
		i.timeOut("never ran")
	case faultrules.VanishAfter:
		i.timeOut(executionOutcome(i.await()))
	}
	return true, false
}

// maxStruck is how many struck requests may be in progress: other clients need places, too.
func (p *Plane) maxStruck() int64 {
	if p.options.MaxServerConns <= 0 { // no limit is set
		return maxStruckRequests
	}
	return int64(min(maxStruckRequests, max(1, p.options.MaxServerConns/struckDivisor)))
}

func (i *injection) await() protocol.Result {
	return protocol.Await(i.ctx, i.lane.core, i.plane.requestIDs, i.id, i.request)
}

func (i *injection) record(outcome string) {
	i.plane.options.FaultInjector.RecordOutcome(i.query, i.strike, outcome)
}

// executionOutcome returns what is known about the execution of a request that has ended and whose answer
// is discarded.
func executionOutcome(a protocol.Result) string {
	if a.Answer != nil {
		defer fasthttp.ReleaseResponse(a.Answer)
	}
	switch {
	case a.Kind == protocol.Served:
		return "ran"
	case a.Kind == protocol.Refused && a.Verdict != routing.MayHaveExecuted, a.Kind == protocol.DuplicateID:
		return "never ran"
	}
	return "may have run"
}

// holdUntil waits until the given time, and reports whether the client is still connected.
func (i *injection) holdUntil(until time.Duration) bool {
	over := func() bool { return i.plane.options.Now() >= until }
	remaining := until - i.plane.options.Now()
	if remaining <= 0 {
		return true
	}
	conn, ok := i.ctx.Conn().(*transport.ClientConn)
	if !ok {
		i.plane.options.Env.Sleep(remaining)
		return true
	}
	i.retain()
	i.plane.options.Env.Go(func() {
		defer i.release()
		i.plane.options.Env.Sleep(remaining + time.Millisecond)
		conn.Notifier().Notify()
	})
	return conn.Await(over)
}

// delay forwards the request after the delay, if its deadline allows that.
func (i *injection) delay() (served bool) {
	if until := i.struckAt + i.strike.Delay; until < i.request.Deadline {
		if !i.holdUntil(until) {
			i.record("never ran: its client left")
			return false
		}
		served = i.plane.answer(i.ctx, i.await())
		i.record("delayed")
		return served
	}
	i.timeOut("never ran")
	return false
}

// timeOut ends a request at its deadline, like one whose server doesn't answer. The status promises
// nothing: whether the request ran is only in the record.
func (i *injection) timeOut(outcome string) {
	if i.holdUntil(i.request.Deadline) {
		i.ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
	i.record(outcome)
}

// repeat sends a request a second time once it was served. A refused request isn't repeated: the promise
// that it never ran must stay true. The caller waits neither for the second execution nor for the record.
func (i *injection) repeat() (served bool) {
	copied := i.request.Call.(*protocol.Call).StartCopy(i.plane.reserveCopy)
	final := i.await()
	served = i.plane.answer(i.ctx, final)
	second := copied.Call()
	i.retain()
	finish := func(reason string) {
		i.plane.copiedBytes.Add(int64(-copied.Reserved()))
		i.release()
		if reason != "" {
			i.plane.options.FaultInjector.RecordUnused(i.query, i.strike, reason)
		}
	}
	switch {
	case !served:
		finish("not doubled: the first was not served")
	case second == nil:
		finish("not doubled: its body is too long to be kept")
	default:
		i.plane.options.Env.Go(func() {
			switch {
			case !i.takeQuota():
				finish("not doubled: beyond its quota")
			case !i.plane.options.FaultInjector.AwaitRecorded(i.strike, i.timeout):
				finish("not made: not on record in time")
			default:
				i.lane.core.Submit(&routing.Request{Class: i.request.Class, Plan: i.request.Plan, Customer: i.request.Customer, Deadline: i.plane.options.Now() + i.timeout,
					Units: i.request.Units, Gateways: i.request.Gateways, Call: second, Reply: discardSecond{i, finish}})
			}
		})
	}
	return served
}

// reserveCopy reserves memory for the copy of a request, if there is some left.
func (p *Plane) reserveCopy(size int) bool {
	if p.copiedBytes.Add(int64(size)) > maxCopiedBytes {
		p.copiedBytes.Add(int64(-size))
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

func (d discardSecond) Served(answer any) {
	fasthttp.ReleaseResponse(answer.(*fasthttp.Response))
	d.record("ran twice")
}

func (d discardSecond) Refused(_ time.Duration, v routing.Verdict) {
	if v == routing.MayHaveExecuted {
		d.record("ran once, and the second may have run")
		return
	}
	d.record("ran once: the second was refused")
}

func (d discardSecond) Failed(bool) { d.record("ran once, and the second may have run") }

func (d discardSecond) Disallowed(error) { d.Refused(0, routing.NotAttempted) }

func (d discardSecond) record(outcome string) {
	d.injection.plane.options.Env.Go(func() {
		d.finish("")
		d.injection.record(outcome)
	})
}
