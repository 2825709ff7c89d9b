package choice

// Customers: quotas, caps, ceilings, and the shared counter.

import (
	"math"
	"strconv"
	"time"

	"asterwell/internal/ratecap"
)

// customer is the meter of one customer at this gateway.
type customer struct {
	key        string
	plan       *Plan
	tat, seen  time.Duration
	width, out int

	unsent, flying float64       // units not yet on the counter (below 0: owed back); in the call
	fix            float64       // of these, what stands for idle time
	call           string        // name of the call under way
	period         int64         // of that name
	queue          []*request    // waiting for its answer
	asked          int           // of those, the ones whose units are in the call
	owes           bool          // units of a request that was not sent on are on the count
	over           float64       // reads that found its store empty, of late
	readAt         time.Duration // last answer; 0: never

	assumeAt time.Duration // TAT was moved until then for a silent counter

	slots
	heat   float64 // arrivals a second
	heatAt time.Duration
	share  ratecap.Share
}

// slots keep attempts out under a cap held by all gateways. A request waits only where others may matter.
type slots struct {
	change, moving, mine float64 // not yet added; in the call under way; this gateway's part of the count
	since                int64   // the count's period
	waiting              []*request
	asking               bool
	claimed              int // of those waiting, the ones in the call under way
}

// silent reports whether the counter has answered nothing for a while: a call or two may time out in a crowd.
func (b *Balancer) silent(now time.Duration) bool {
	return b.fails > 2 && now-b.silentAt > 8*b.set.CounterTimeout
}

// callable reports whether the counter may be called: while it fails, one at a time and ever more seldom.
func (b *Balancer) callable(now time.Duration) bool {
	return now >= b.callAfter && (b.fails == 0 || len(b.calls) == 0)
}

// claim asks the counter for room under the cap for all that wait, and gives back what has ended.
func (b *Balancer) claim(now time.Duration, c *customer) {
	if c.asking || c.change == 0 && len(c.waiting) == 0 {
		return
	}
	others := c.plan.MaxOut - (c.plan.MaxOut+c.width-1)/c.width // all but an even share, if none answers
	if !b.callable(now) {
		b.grant(now, c, len(c.waiting), others)
		return
	}
	if since := 1 + int64(now/b.slotPeriod); c.since != since {
		c.since, c.mine, c.change = since, 0, 0
	}
	c.asking, c.claimed = true, len(c.waiting)
	for _, r := range c.waiting {
		r.slot = c.since
	}
	c.moving, c.change = c.change+float64(c.claimed), 0
	name := c.key + ".o" + strconv.FormatInt(c.since, 36)
	b.act.AddToCounter(name, c.moving, CounterNameTTL)
	b.calls[name] = func(now time.Duration, e CounterResult) {
		c.asking = false
		if e.Status == Overloaded || e.Status == ConnectFailed {
			c.change += c.moving - float64(c.claimed)
			for _, r := range c.waiting[:c.claimed] {
				r.slot = 0
			}
		} else if c.mine += c.moving; e.Status == OK { // a timed-out claim is taken as landed, as with units
			others = int(math.Round(max(0, e.Total-c.mine)))
		}
		b.grant(now, c, c.claimed, others)
		b.claim(now, c)
	}
}

// grant decides the first n that wait, given how many attempts others have out.
func (b *Balancer) grant(now time.Duration, c *customer, n, others int) {
	ready := c.waiting[:n]
	c.waiting = c.waiting[n:]
	for _, r := range ready {
		to, _ := b.pick(now, r)
		inside, wait := b.inside(now, c, r)
		switch {
		case r.done:
			b.release(now, r)
		case to == nil || !inside || c.out+others >= r.plan.MaxOut:
			b.refuse(now, r, OverQuota, max(wait, seconds(r.class.Mean)))
		default:
			b.place(now, r, to, true, wait)
		}
	}
}

// release gives a request's slot back.
func (b *Balancer) release(now time.Duration, r *request) {
	if r.slot != 0 && r.slot == r.cust.since {
		r.cust.change--
		r.slot = 0
		b.claim(now, r.cust)
	}
}

// place takes a request's units and sends it.
func (b *Balancer) place(now time.Duration, r *request, to *backend, inside bool, wait time.Duration) {
	c := r.cust
	if r.plan.CeilingRate > 0 && !b.underCeiling(now, r, inside) {
		b.refuse(now, r, OverCeiling, wait)
		return
	}
	if r.inside = inside; inside && r.plan.Rate > 0 {
		c.tat = max(now, c.tat) + r.plan.span(r.Units)
		c.unsent += r.Units
	}
	b.send(now, r, to)
	b.sync(now, c, r.pays)
}

// underCeiling takes a request's units from this gateway's share of the ceiling (rule 5), where the counter's
// word does not do. It doesn't for the time in which a store fills after a period's start, nor for a while
// after a sign that counts were lost.
func (b *Balancer) underCeiling(now time.Duration, r *request, inside bool) bool {
	p, t, word := r.plan, r.terms(), ratecap.CounterUnavailable
	switch {
	case !b.set.Counter || p.Rate == 0 || t.Rate <= p.Rate || t.Burst <= p.Burst || b.silent(now):
	case !inside || !r.known:
		word = ratecap.NotAsked
	case now%namePeriod < p.span(p.Burst) || now-b.doubtAt < t.DistrustPeriod():
		word = ratecap.Doubtful
	default:
		word = ratecap.Confirmed
	}
	return r.cust.share.Take(now, t, r.Units, word)
}

func (r *request) terms() ratecap.Limits {
	return ratecap.Limits{Rate: r.plan.CeilingRate, Burst: r.plan.CeilingBurst, QuotaRate: r.plan.Rate,
		QuotaBurst: r.plan.Burst, Gateways: float64(r.Gateways)}
}

// span is the time that units stand for: each the emission interval T.
func (p *Plan) span(units float64) time.Duration { return seconds(units / p.Rate) }

// customer finds or makes a customer's meter. While the counter cannot tell, an unseen one gets its even
// share of the burst, at least its largest request, since others may have granted the rest.
func (b *Balancer) customer(now time.Duration, r *request) *customer {
	c := b.customers[r.Customer]
	if c == nil {
		c = &customer{key: r.Customer, plan: r.plan, width: r.Gateways, assumeAt: now}
		c.share = ratecap.New(b.started)
		if c.tat = now; r.plan.Rate > 0 {
			free := min(max(r.plan.Burst/float64(r.Gateways), b.set.MaxUnits, 1), r.plan.Burst)
			c.tat = now + r.plan.span(r.plan.Burst-free)
		}
		b.customers[r.Customer] = c
		b.idlers = append(b.idlers, c)
	} else if b.ended[c.plan] {
		b.carry(now, c, r.plan)
	}
	c.seen, c.width = now, r.Gateways
	return c
}

// inside is GCRA's test. It also tells how long a refused client should wait.
func (b *Balancer) inside(now time.Duration, c *customer, r *request) (bool, time.Duration) {
	if r.plan.MaxOut > 0 && c.out >= r.plan.MaxOut {
		return false, seconds(r.class.Mean)
	}
	if r.plan.Rate == 0 {
		return true, 0
	}
	b.assume(now, c)
	at := c.tat + r.plan.span(r.Units-r.plan.Burst)
	return now >= at, at - now
}

// assume stands in for a silent counter: others are taken to use all but this gateway's even share.
func (b *Balancer) assume(now time.Duration, c *customer) {
	if from := max(c.assumeAt, b.silentAt, c.readAt); b.silent(now) && from < now {
		c.tat += time.Duration(float64(now-from) * (1 - 1/float64(c.width)))
	}
	c.assumeAt = now
}

// sync adds units to the counter and reads others' where it matters: enough is unreported, or the limit near.
// What was put there for a request that is not sent on is taken back at once.
func (b *Balancer) sync(now time.Duration, c *customer, pays bool) {
	p := c.plan
	if !b.set.Counter || p.Rate == 0 || c.call != "" || !b.callable(now) {
		return
	}
	near := c.unsent > 0 && c.tat-now > p.span(p.Burst/2)
	if len(c.queue) > 0 || c.fix != 0 || c.owes || pays && (near || c.unsent >= p.Burst/float64(4*c.width)) {
		b.callCounter(now, c)
	}
}

func (b *Balancer) callCounter(now time.Duration, c *customer) {
	c.period, c.asked = int64(now/namePeriod), len(c.queue)
	if b.silent(now) || c.readAt < b.backAt {
		// Units passed while the counter was silent: what this gateway assumed of the others stands for all,
		// and whoever reads first writes it down. Reported on top of that they would count twice.
		c.unsent = min(c.unsent, 0)
	}
	reserved := 0.0
	for _, r := range c.queue {
		reserved += r.Units
	}
	c.call = c.key + b.names + "." + strconv.FormatInt(c.period, 36)
	c.flying, c.unsent, c.owes = c.unsent+reserved, -reserved, false
	b.calls[c.call] = func(now time.Duration, e CounterResult) { b.synced(now, c, e) }
	b.act.AddToCounter(c.call, c.flying, CounterNameTTL)
}

// Counted takes the end of a counter call.
func (b *Balancer) HandleCounter(now time.Duration, e CounterResult) {
	then := b.calls[e.Name]
	if then == nil {
		return
	}
	delete(b.calls, e.Name)
	failed := e.Status != OK && e.Status != Error     // a spoilt answer is one: neither crowd nor silence
	if failed || e.Elapsed > b.set.CounterTimeout/2 { // crowded
		b.floor = min(max(b.floor*2, b.stake/4), 8*b.stake)
	} else if b.floor *= 0.95 * math.Exp(-(now - b.countedAt).Seconds()); b.floor < b.stake/16 {
		b.floor = 0 // a crowd of a second ago says little, however few calls were answered since
	}
	if e.Status == OK {
		if b.countedAt > 0 && now-b.countedAt > quietCounter {
			b.doubtAt = now
		}
		b.countedAt = now
	} else if failed && e.Status != Overloaded {
		b.doubtAt = now
	}
	if b.fails == 0 {
		b.silentAt = now
	}
	if failed && now >= b.callAfter { // calls made side by side fail as one
		b.callAfter = now + b.set.CounterTimeout<<min(b.fails, 5)
		b.fails++
	}
	if !failed && b.silent(now) { // its silence was no crowd: calls are not scarce for that
		b.backAt, b.floor = now, min(b.floor, b.stake/4)
	}
	if then(now, e); !failed {
		b.fails = 0
	}
}

// synced takes the answer to an add, and decides what waited for it.
func (b *Balancer) synced(now time.Duration, c *customer, e CounterResult) {
	c.call = ""
	b.absorb(now, c, e)
	queue, owes := c.queue[:c.asked], c.owes
	c.queue = c.queue[c.asked:]
	for _, r := range queue {
		if r.known = e.Status == OK; r.known && !r.done {
			pass, _ := b.inside(now, c, r)
			if b.beyond *= 0.95; pass {
				c.over /= 2
			} else {
				c.over, b.beyond = c.over+1, b.beyond+0.05
			}
		}
		if !r.done {
			b.decide(now, r)
		}
		owes = owes || len(r.tries) == 0
	}
	c.owes = owes && c.unsent < 0
	b.sync(now, c, true)
}

// absorb sets TAT to what the count tells: the start of its period and all units since. Whoever finds it well
// behind the clock, or behind what this gateway knows (a new period, an emptied counter), writes the
// difference down as units.
func (b *Balancer) absorb(now time.Duration, c *customer, e CounterResult) {
	if e.Status == Overloaded || e.Status == ConnectFailed {
		c.unsent += c.flying
	}
	if e.Status != OK { // with no answer, taken as landed: a second add could count it twice
		return
	}
	b.assume(now, c)
	p, own := c.plan, now
	if c.readAt > 0 {
		own = c.tat
	}
	at := time.Duration(c.period)*namePeriod + p.span(e.Total+c.unsent)
	full, lag := max(now, own), p.Burst/8*(1+3*min(1, math.Ceil(b.floor))) // the longer, the fewer calls
	if fix := p.span(c.fix); fix > 0 && at-full > fix/2 {                  // another wrote the same down
		c.unsent, at = c.unsent-c.fix, at-fix
		c.fix, c.owes = 0, true
	} else if c.fix = 0; full-at > p.span(lag) {
		c.fix = (full - at).Seconds() * p.Rate
		c.unsent, at = c.unsent+c.fix, full
	}
	if c.readAt > 0 {
		at = max(at, own)
	}
	c.tat = min(at, now+p.span(p.Burst))
	c.readAt = now
}
