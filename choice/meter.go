package choice

// Customer quotas, concurrency caps and ceilings, and the calls to the shared counter.

import (
	"math"
	"strconv"
	"time"

	"asterwell/internal/ratecap"
)

// customer meters one customer at this gateway.
type customer struct {
	key                string
	plan               *Plan
	tat, seenAt        time.Duration
	gateways, inFlight int

	unreported, reporting float64       // units not on the counter yet (negative: to take back); in the call
	idleUnits             float64       // of the unreported units, those that stand for idle time
	call                  string        // counter name of the call under way
	callPeriod            int64         // of the counter name
	awaiting              []*request    // requests that wait for the call
	inCall                int           // number of those whose units are in the call
	owesUnits             bool          // the counter has units of a request that was not dispatched
	emptyReads            float64       // recent reads that found no quota left
	readAt                time.Duration // last response; 0: none

	assumedUntil time.Duration // TAT covers an outage of the counter up to then

	slots
	arrivals   float64 // a second
	arrivalsAt time.Duration
	ceiling    ratecap.Share
}

// slots keep attempts under a cap shared by all gateways. Requests wait only where other gateways matter.
type slots struct {
	delta, deltaInCall, ownCount float64 // not yet added; in the call; own part of the count
	period                       int64   // of the count
	waiting                      []*request
	claiming                     bool
	claimsInCall                 int // number of waiting requests in the call
}

// counterDown reports an outage of the counter. One or two timeouts may only mean that it is overloaded.
func (b *Balancer) counterDown(now time.Duration) bool {
	return b.counterFails > 2 && now-b.silentSince > 8*b.cfg.CounterTimeout
}

// mayCall reports whether the counter may be called: one at a time and with backoff while calls fail.
func (b *Balancer) mayCall(now time.Duration) bool {
	return now >= b.nextCallAt && (b.counterFails == 0 || len(b.counterCalls) == 0)
}

// claimSlots claims slots on the counter for all waiting requests, and returns those of ended ones.
func (b *Balancer) claimSlots(now time.Duration, c *customer) {
	if c.claiming || c.delta == 0 && len(c.waiting) == 0 {
		return
	}
	// Without a response, the other gateways are taken to use all but an even share.
	others := c.plan.MaxOut - (c.plan.MaxOut+c.gateways-1)/c.gateways
	if !b.mayCall(now) {
		b.grantSlots(now, c, len(c.waiting), others)
		return
	}
	if period := 1 + int64(now/b.claimPeriod); c.period != period {
		c.period, c.ownCount, c.delta = period, 0, 0
	}
	c.claiming, c.claimsInCall = true, len(c.waiting)
	for _, r := range c.waiting {
		r.claimPeriod = c.period
	}
	c.deltaInCall, c.delta = c.delta+float64(c.claimsInCall), 0
	name := c.key + ".o" + strconv.FormatInt(c.period, 36)
	b.host.AddToCounter(name, c.deltaInCall, CounterTTL)
	b.counterCalls[name] = func(now time.Duration, e CounterResult) {
		c.claiming = false
		if e.Status == Overloaded || e.Status == ConnectFailed {
			c.delta += c.deltaInCall - float64(c.claimsInCall)
			for _, r := range c.waiting[:c.claimsInCall] {
				r.claimPeriod = 0
			}
		} else if c.ownCount += c.deltaInCall; e.Status == OK { // a timeout counts as added
			others = int(math.Round(max(0, e.Total-c.ownCount)))
		}
		b.grantSlots(now, c, c.claimsInCall, others)
		b.claimSlots(now, c)
	}
}

// grantSlots decides the first n waiting requests, given the attempts of other gateways.
func (b *Balancer) grantSlots(now time.Duration, c *customer, n, others int) {
	ready := c.waiting[:n]
	c.waiting = c.waiting[n:]
	for _, r := range ready {
		to, _ := b.pick(now, r)
		inside, wait := b.inQuota(now, c, r)
		switch {
		case r.done:
			b.releaseSlot(now, r)
		case to == nil || !inside || c.inFlight+others >= r.plan.MaxOut:
			b.refuse(now, r, OverQuota, max(wait, seconds(r.class.Mean)))
		default:
			b.dispatch(now, r, to, true, wait)
		}
	}
}

// releaseSlot returns a request's slot.
func (b *Balancer) releaseSlot(now time.Duration, r *request) {
	if r.claimPeriod != 0 && r.claimPeriod == r.customer.period {
		r.customer.delta--
		r.claimPeriod = 0
		b.claimSlots(now, r.customer)
	}
}

// dispatch charges a request's units and sends it.
func (b *Balancer) dispatch(now time.Duration, r *request, to *backend, inside bool, wait time.Duration) {
	c := r.customer
	if r.plan.CeilingRate > 0 && !b.underCeiling(now, r, inside) {
		b.refuse(now, r, OverCeiling, wait)
		return
	}
	if r.inQuota = inside; inside && r.plan.Rate > 0 {
		c.tat = max(now, c.tat) + r.plan.span(r.Units)
		c.unreported += r.Units
	}
	b.send(now, r, to)
	b.syncCounter(now, c, r.payable)
}

// underCeiling takes units from this gateway's share of the ceiling (rule 5) unless confirmed by the counter.
// That isn't enough until a burst has refilled after a period's start, nor shortly after counts were lost.
func (b *Balancer) underCeiling(now time.Duration, r *request, inside bool) bool {
	p, caps, assurance := r.plan, r.capLimits(), ratecap.CounterUnavailable
	switch {
	case !b.cfg.Counter || p.Rate == 0 || caps.Rate <= p.Rate || caps.Burst <= p.Burst || b.counterDown(now):
	case !inside || !r.confirmed:
		assurance = ratecap.NotAsked
	case now%counterPeriod < p.span(p.Burst) || now-b.doubtedAt < caps.DistrustPeriod():
		assurance = ratecap.Doubtful
	default:
		assurance = ratecap.Confirmed
	}
	return r.customer.ceiling.Take(now, caps, r.Units, assurance)
}

func (r *request) capLimits() ratecap.Limits {
	return ratecap.Limits{Rate: r.plan.CeilingRate, Burst: r.plan.CeilingBurst, QuotaRate: r.plan.Rate,
		QuotaBurst: r.plan.Burst, Gateways: float64(r.Gateways)}
}

// span is the time that units take at the plan's rate (GCRA's emission interval for each).
func (p *Plan) span(units float64) time.Duration { return seconds(units / p.Rate) }

// customer returns a customer's meter. A new one starts with an even share of the burst, as others may have
// granted the rest, but at least the largest request.
func (b *Balancer) customer(now time.Duration, r *request) *customer {
	c := b.customers[r.Customer]
	if c == nil {
		c = &customer{key: r.Customer, plan: r.plan, gateways: r.Gateways, assumedUntil: now}
		c.ceiling = ratecap.New(b.startedAt)
		if c.tat = now; r.plan.Rate > 0 {
			free := min(max(r.plan.Burst/float64(r.Gateways), b.cfg.MaxUnits, 1), r.plan.Burst)
			c.tat = now + r.plan.span(r.plan.Burst-free)
		}
		b.customers[r.Customer] = c
		b.meters = append(b.meters, c)
	} else if b.oldPlans[c.plan] {
		b.transfer(now, c, r.plan)
	}
	c.seenAt, c.gateways = now, r.Gateways
	return c
}

// inQuota is the GCRA test. It also returns how long a refused client should wait.
func (b *Balancer) inQuota(now time.Duration, c *customer, r *request) (bool, time.Duration) {
	if r.plan.MaxOut > 0 && c.inFlight >= r.plan.MaxOut {
		return false, seconds(r.class.Mean)
	}
	if r.plan.Rate == 0 {
		return true, 0
	}
	b.assumeOthers(now, c)
	at := c.tat + r.plan.span(r.Units-r.plan.Burst)
	return now >= at, at - now
}

// assumeOthers replaces a counter that is down: other gateways are assumed to use all but an even share.
func (b *Balancer) assumeOthers(now time.Duration, c *customer) {
	if from := max(c.assumedUntil, b.silentSince, c.readAt); b.counterDown(now) && from < now {
		c.tat += time.Duration(float64(now-from) * (1 - 1/float64(c.gateways)))
	}
	c.assumedUntil = now
}

// syncCounter reports units and reads those of others, once enough are unreported or the quota is nearly used
// up. Units reserved for requests that were not dispatched are taken back at once.
func (b *Balancer) syncCounter(now time.Duration, c *customer, payable bool) {
	p := c.plan
	if !b.cfg.Counter || p.Rate == 0 || c.call != "" || !b.mayCall(now) {
		return
	}
	near := c.unreported > 0 && c.tat-now > p.span(p.Burst/2)
	if len(c.awaiting) > 0 || c.idleUnits != 0 || c.owesUnits ||
		payable && (near || c.unreported >= p.Burst/float64(4*c.gateways)) {
		b.callCounter(now, c)
	}
}

func (b *Balancer) callCounter(now time.Duration, c *customer) {
	c.callPeriod, c.inCall = int64(now/counterPeriod), len(c.awaiting)
	if b.counterDown(now) || c.readAt < b.silenceEnd {
		// The assumed use of other gateways already covers units granted during the outage, and the first
		// reader writes it to the counter. Reporting these units as well would count them twice.
		c.unreported = min(c.unreported, 0)
	}
	reserved := 0.0
	for _, r := range c.awaiting {
		reserved += r.Units
	}
	c.call = c.key + b.counterSuffix + "." + strconv.FormatInt(c.callPeriod, 36)
	c.reporting, c.unreported, c.owesUnits = c.unreported+reserved, -reserved, false
	b.counterCalls[c.call] = func(now time.Duration, e CounterResult) { b.counterAnswered(now, c, e) }
	b.host.AddToCounter(c.call, c.reporting, CounterTTL)
}

// HandleCounter processes the end of a counter call.
func (b *Balancer) HandleCounter(now time.Duration, e CounterResult) {
	handle := b.counterCalls[e.Name]
	if handle == nil {
		return
	}
	delete(b.counterCalls, e.Name)
	failed := e.Status != OK && e.Status != Error     // an unreadable response: no overload, no outage
	if failed || e.Elapsed > b.cfg.CounterTimeout/2 { // overloaded
		b.minLoss = min(max(b.minLoss*2, b.meanLoss/4), 8*b.meanLoss)
	} else if b.minLoss *= 0.95 * math.Exp(-(now - b.countedAt).Seconds()); b.minLoss < b.meanLoss/16 {
		b.minLoss = 0 // overload decays by time as well, since there may be few calls
	}
	if e.Status == OK {
		if b.countedAt > 0 && now-b.countedAt > counterQuietLimit {
			b.doubtedAt = now
		}
		b.countedAt = now
	} else if failed && e.Status != Overloaded {
		b.doubtedAt = now
	}
	if b.counterFails == 0 {
		b.silentSince = now
	}
	if failed && now >= b.nextCallAt { // concurrent calls that fail count once
		b.nextCallAt = now + b.cfg.CounterTimeout<<min(b.counterFails, 5)
		b.counterFails++
	}
	if !failed && b.counterDown(now) { // an outage is no overload: calls need not stay limited
		b.silenceEnd, b.minLoss = now, min(b.minLoss, b.meanLoss/4)
	}
	if handle(now, e); !failed {
		b.counterFails = 0
	}
}

// counterAnswered applies a response and decides the requests that waited for it.
func (b *Balancer) counterAnswered(now time.Duration, c *customer, e CounterResult) {
	c.call = ""
	b.applyCount(now, c, e)
	answered, owes := c.awaiting[:c.inCall], c.owesUnits
	c.awaiting = c.awaiting[c.inCall:]
	for _, r := range answered {
		if r.confirmed = e.Status == OK; r.confirmed && !r.done {
			pass, _ := b.inQuota(now, c, r)
			if b.overQuota *= 0.95; pass {
				c.emptyReads /= 2
			} else {
				c.emptyReads, b.overQuota = c.emptyReads+1, b.overQuota+0.05
			}
		}
		if !r.done {
			b.decide(now, r)
		}
		owes = owes || len(r.attempts) == 0
	}
	c.owesUnits = owes && c.unreported < 0
	b.syncCounter(now, c, true)
}

// applyCount sets TAT from the count: the start of its period plus the time of all units since. If that is
// well behind the clock or the local TAT (a new period, lost counts), the difference is added to the counter.
func (b *Balancer) applyCount(now time.Duration, c *customer, e CounterResult) {
	if e.Status == Overloaded || e.Status == ConnectFailed {
		c.unreported += c.reporting
	}
	if e.Status != OK { // without a response units count as added: adding again could double them
		return
	}
	b.assumeOthers(now, c)
	p, own := c.plan, now
	if c.readAt > 0 {
		own = c.tat
	}
	at := time.Duration(c.callPeriod)*counterPeriod + p.span(e.Total+c.unreported)
	want, lag := max(now, own), p.Burst/8*(1+3*min(1, math.Ceil(b.minLoss))) // longer while calls are limited
	if idle := p.span(c.idleUnits); idle > 0 && at-want > idle/2 {           // another gateway added it too
		c.unreported, at = c.unreported-c.idleUnits, at-idle
		c.idleUnits, c.owesUnits = 0, true
	} else if c.idleUnits = 0; want-at > p.span(lag) {
		c.idleUnits = (want - at).Seconds() * p.Rate
		c.unreported, at = c.unreported+c.idleUnits, want
	}
	if c.readAt > 0 {
		at = max(at, own)
	}
	c.tat = min(at, now+p.span(p.Burst))
	c.readAt = now
}
