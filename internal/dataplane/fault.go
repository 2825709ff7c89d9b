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

// Faults are the fault rules. A request of the one tenant that a rule names is held on the
// goroutine of its own connection, before it has a place in a lane or after it gave it back:
// nobody else waits for it.
type FaultInjector interface {
	Active() bool
	// Strike judges a request. It may wait a little for a strike of the budget.
	Select(q faultrules.Request, left time.Duration) (faultrules.Strike, bool)
	// Made waits until the strike is on record, and reports whether it may be made now.
	AwaitRecorded(s faultrules.Strike, left time.Duration) bool
	// Struck records what became of one that was made, Unmade of one that never was and won't be.
	RecordOutcome(q faultrules.Request, s faultrules.Strike, outcome string)
	RecordUnused(q faultrules.Request, s faultrules.Strike, outcome string)
}

const (
	mostHeld   = 200     // struck requests here at one time, and seconds of doubles; beyond, rules rest
	heldPart   = 4       // and no more than such a part of the places for clients
	mostCopies = 8 << 20 // bytes of what is to be sent again
)

// blow is a strike on one request.
type blow struct {
	p     *Plane
	ctx   *fasthttp.RequestCtx
	l     *lane
	id    string
	r     *routing.Request
	q     faultrules.Request
	s     faultrules.Strike
	whole time.Duration // that the route gives a request
	from  time.Duration // when it was struck
	uses  atomic.Int32  // who needs its place among those held
}

// stay keeps the request's place among those held until leave is called as often.
func (b *blow) stay() { b.uses.Add(1) }

func (b *blow) leave() {
	if b.uses.Add(-1) == 0 {
		b.p.held.Add(-1)
	}
}

// struck deals with a request if a rule strikes it, and reports whether one did.
func (p *Plane) struck(ctx *fasthttp.RequestCtx, l *lane, id, route string, r *routing.Request, whole time.Duration) bool {
	f := p.opt.FaultInjector
	if f == nil || r.Customer == "" || !f.Active() {
		return false
	}
	if p.held.Add(1) > p.mayHold() {
		p.held.Add(-1)
		return false
	}
	b := &blow{p: p, ctx: ctx, l: l, id: id, r: r, whole: whole,
		q: faultrules.Request{ID: id, Tenant: r.Customer, Route: route, Method: string(ctx.Method())}}
	b.stay()
	defer b.leave()
	var hit bool
	if b.s, hit = f.Select(b.q, r.Deadline-p.opt.Now()); !hit {
		return false
	}
	b.from = p.opt.Now()
	if b.s.Kind == faultrules.Double {
		b.double()
		return true
	}
	if !f.AwaitRecorded(b.s, r.Deadline-b.from) {
		f.RecordUnused(b.q, b.s, "not made: not on record in time")
		return false
	}
	switch b.s.Kind {
	case faultrules.Delay:
		b.delay()
	case faultrules.VanishBefore:
		b.silence("never ran")
	case faultrules.VanishAfter:
		b.silence(ran(b.await()))
	}
	return true
}

// mayHold is how many struck requests may be here at one time: clients of others need places, too.
func (p *Plane) mayHold() int64 {
	if p.opt.MaxServerConns <= 0 { // nobody has set a bound
		return mostHeld
	}
	return int64(min(mostHeld, max(1, p.opt.MaxServerConns/heldPart)))
}

func (b *blow) await() protocol.Result { return protocol.Await(b.ctx, b.l.core, b.p.ids, b.id, b.r) }

func (b *blow) record(outcome string) { b.p.opt.FaultInjector.RecordOutcome(b.q, b.s, outcome) }

// ran tells what is known of a request that has ended, whose answer nobody will read.
func ran(a protocol.Result) string {
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

// hold waits until a time, and reports whether the client is still there.
func (b *blow) hold(until time.Duration) bool {
	over := func() bool { return b.p.opt.Now() >= until }
	left := until - b.p.opt.Now()
	if left <= 0 {
		return true
	}
	c, ok := b.ctx.Conn().(*transport.ClientConn)
	if !ok {
		b.p.opt.Host.Sleep(left)
		return true
	}
	b.stay()
	b.p.opt.Host.Go(func() {
		defer b.leave()
		b.p.opt.Host.Sleep(left + time.Millisecond)
		c.Notifier().Notify()
	})
	return c.Await(over)
}

// delay lets the request on its way later, if it has time left by then.
func (b *blow) delay() {
	if until := b.from + b.s.Delay; until < b.r.Deadline {
		if !b.hold(until) {
			b.record("never ran: its client left")
			return
		}
		a := b.await()
		b.p.answer(b.ctx, a)
		b.record("delayed")
		return
	}
	b.silence("never ran")
}

// silence ends a request by its deadline, as one whose server says nothing. That is no
// promise: whether it ran is only in the record.
func (b *blow) silence(what string) {
	if b.hold(b.r.Deadline) {
		b.ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
	b.record(what)
}

// double sends a request again once it was served. A refusal is not doubled: the promise
// that it never ran must stay true. The caller doesn't wait for the second, nor for the record.
func (b *blow) double() {
	c := b.r.Call.(*protocol.Call).StartCopy(b.p.room)
	a := b.await()
	served := a.Kind == protocol.Served
	b.p.answer(b.ctx, a)
	again := c.Call()
	b.stay()
	end := func(unmade string) {
		b.p.copies.Add(int64(-c.Reserved()))
		b.leave()
		if unmade != "" {
			b.p.opt.FaultInjector.RecordUnused(b.q, b.s, unmade)
		}
	}
	switch {
	case !served:
		end("not doubled: the first was not served")
	case again == nil:
		end("not doubled: its body is too long to be kept")
	default:
		b.p.opt.Host.Go(func() {
			switch {
			case !b.quota():
				end("not doubled: beyond its quota")
			case !b.p.opt.FaultInjector.AwaitRecorded(b.s, b.whole):
				end("not made: not on record in time")
			default:
				b.l.core.Submit(&routing.Request{Class: b.r.Class, Plan: b.r.Plan, Customer: b.r.Customer, Deadline: b.p.opt.Now() + b.whole,
					Units: b.r.Units, Gateways: b.r.Gateways, Call: again, Reply: unheard{b, end}})
			}
		})
	}
}

// room takes room for copies of what is to be sent again, if there is some.
func (p *Plane) room(n int) bool {
	if p.copies.Add(int64(n)) > mostCopies {
		p.copies.Add(int64(-n))
		return false
	}
	return true
}

// quota takes a unit for the second.
func (b *blow) quota() bool {
	t := b.p.table.Load().TenantNamed(b.r.Customer)
	if t == nil || t.Rate <= 0 {
		return t != nil
	}
	ok, _ := b.p.opt.TakeQuota(b.r.Customer, 1)
	return ok
}

// unheard takes the second answer, which is nobody's.
type unheard struct {
	b   *blow
	end func(string)
}

func (u unheard) Served(answer any) {
	fasthttp.ReleaseResponse(answer.(*fasthttp.Response))
	u.over("ran twice")
}

func (u unheard) Refused(_ time.Duration, v routing.Verdict) {
	if v == routing.MayHaveExecuted {
		u.over("ran once, and the second may have run")
		return
	}
	u.over("ran once: the second was refused")
}

func (u unheard) Failed(bool) { u.over("ran once, and the second may have run") }

func (u unheard) Disallowed(error) { u.Refused(0, routing.NotAttempted) }

func (u unheard) over(outcome string) {
	u.b.p.opt.Host.Go(func() {
		u.end("")
		u.b.record(outcome)
	})
}
