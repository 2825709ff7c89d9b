package shuttle

import (
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/bane"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// Faults are the fault rules. A request of the one tenant that a rule names is held on the
// goroutine of its own connection, before it has a place in a lane or after it gave it back:
// nobody else waits for it.
type Faults interface {
	On() bool
	// Strike judges a request. It may wait a little for a strike of the budget.
	Strike(q bane.Request, left time.Duration) (bane.Strike, bool)
	// Struck records what became of one that was hit.
	Struck(q bane.Request, s bane.Strike, outcome string)
}

// mostHeld is how many struck requests may be held here at one time. Each of them has a
// client's connection; beyond this number rules rest.
const mostHeld = 200

// blow is a strike on one request.
type blow struct {
	p     *Plane
	ctx   *fasthttp.RequestCtx
	l     *lane
	id    string
	r     *routing.Request
	q     bane.Request
	s     bane.Strike
	whole time.Duration // that the route gives a request
}

// struck deals with a request if a rule strikes it, and reports whether one did.
func (p *Plane) struck(ctx *fasthttp.RequestCtx, l *lane, id, route string, r *routing.Request, whole time.Duration) bool {
	f := p.opt.Faults
	if f == nil || r.Customer == "" || !f.On() {
		return false
	}
	if p.held.Add(1) > mostHeld {
		p.held.Add(-1)
		return false
	}
	defer p.held.Add(-1)
	b := &blow{p: p, ctx: ctx, l: l, id: id, r: r, whole: whole,
		q: bane.Request{ID: id, Tenant: r.Customer, Route: route, Method: string(ctx.Method())}}
	var hit bool
	if b.s, hit = f.Strike(b.q, r.Deadline-p.opt.Now()); !hit {
		return false
	}
	switch b.s.Kind {
	case bane.Delay:
		b.delay()
	case bane.VanishBefore:
		b.silence("never ran")
	case bane.VanishAfter:
		b.silence(ran(b.await()))
	case bane.Double:
		b.double()
	}
	return true
}

func (b *blow) await() protocol.Final { return protocol.Await(b.ctx, b.l.core, b.p.ids, b.id, b.r) }

func (b *blow) record(outcome string) { b.p.opt.Faults.Struck(b.q, b.s, outcome) }

// ran tells what is known of a request that has ended, whose answer nobody will read.
func ran(a protocol.Final) string {
	if a.Answer != nil {
		defer fasthttp.ReleaseResponse(a.Answer)
	}
	switch {
	case a.Kind == protocol.Served:
		return "ran"
	case a.Kind == protocol.Refused && a.Verdict != routing.MayHaveRun, a.Kind == protocol.Twice:
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
		b.p.opt.World.Sleep(left)
		return true
	}
	b.p.opt.World.Go(func() {
		b.p.opt.World.Sleep(left + time.Millisecond)
		c.Bell().Ring()
	})
	return c.Await(over)
}

// delay lets the request on its way later, if it has time left by then.
func (b *blow) delay() {
	if until := b.p.opt.Now() + b.s.Delay; until < b.r.Deadline {
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
// that it never ran must stay true. The caller doesn't wait for the second.
func (b *blow) double() {
	a := b.await()
	served := a.Kind == protocol.Served
	b.p.answer(b.ctx, a)
	switch {
	case !served:
		b.record("not doubled: the first was not served")
	case !b.quota():
		b.record("not doubled: beyond its quota")
	default:
		again := &routing.Request{Class: b.r.Class, Plan: b.r.Plan, Customer: b.r.Customer, Deadline: b.p.opt.Now() + b.whole,
			Units: b.r.Units, Width: b.r.Width, Call: b.r.Call, Reply: unheard{b}}
		b.l.core.Submit(again)
	}
}

// quota takes a unit for the second.
func (b *blow) quota() bool {
	t := b.p.table.Load().TenantNamed(b.r.Customer)
	if t == nil || t.Rate <= 0 {
		return t != nil
	}
	ok, _ := b.p.opt.Pass(b.r.Customer, 1)
	return ok
}

// unheard takes the second answer, which is nobody's.
type unheard struct{ b *blow }

func (u unheard) Served(answer any) {
	fasthttp.ReleaseResponse(answer.(*fasthttp.Response))
	u.b.p.opt.World.Go(func() { u.b.record("ran twice") })
}

func (u unheard) Refused(_ time.Duration, v routing.Verdict) {
	what := "ran once: the second was refused"
	if v == routing.MayHaveRun {
		what = "ran once, and the second may have run"
	}
	u.b.p.opt.World.Go(func() { u.b.record(what) })
}

func (u unheard) Failed(bool) {
	u.b.p.opt.World.Go(func() { u.b.record("ran once, and the second may have run") })
}

func (u unheard) Unfit(error) { u.Refused(0, routing.Untried) }
