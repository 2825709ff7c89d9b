package choice

// The interface (settings, events, actions) is in api.go. All decisions are here, in meter.go and servers.go.
//
// Ordinary path: one TAT per customer, tested and advanced by GCRA over the customer's global rate and burst,
// and pushed forward by the units that other gateways put on the shared counter. docs/design.md lists the
// exceptions and the conditions under which each acts.

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"asterwell/internal/aperture"
	"asterwell/internal/concurrency"
	"asterwell/internal/health"
	"asterwell/internal/stride"
)

// Balancer decides for one gateway.
type Balancer struct {
	set       Settings
	act       Actions
	rng       *rand.Rand
	classes   map[string]*class
	plans     map[string]*Plan
	reqs      map[uint32]*request
	byID      map[uint32]*backend
	fleet     []*backend // in order of id
	ring      []*backend // in an order that all gateways have, zones taking turns
	cover     aperture.CachedCover
	reach     int              // how many of them it uses
	twins     int              // processes that are this gateway
	turns     stride.Scheduler // that they take
	weight    float64          // mean
	customers map[string]*customer
	idlers    []*customer // in order of arrival
	logged    map[string]bool
	ended     map[*Plan]bool // plans of policies before this one
	names     string         // in the counter's names: empty until a policy has changed

	started, beat, slotPeriod time.Duration // first request; housekeeping; longest attempt

	retries, spread float64            // retry budget; of the choice: wider the less is seen
	looks           int                // probes for each request
	beats           float64            // so far
	sends, sent     float64            // attempts a second, had all found a server; since the beat
	mass, whole     float64            // size of what this gateway uses, and of all
	quickest        map[string]float64 // probe of each zone, in seconds
	usual           float64            // time of a probe past it
	density         float64            // mean worth per second of work among requests seen
	open, stuck     int                // attempts out; of these, where backends look dead
	zones           map[string]*health.Zone
	faults          float64           // share of faults among answers
	limit           concurrency.Limit // on attempts out, before requests are shed

	calls               map[string]func(now time.Duration, e CounterResult)
	stake, floor        float64       // mean loss by a request beyond quota; that worth a call
	beyond              float64       // share of those put on the counter that were beyond quota
	fails               int           // counter calls in a row without an answer
	callAfter, silentAt time.Duration // no counter call before; start of its silence
	backAt              time.Duration // end of its last silence
	countedAt, doubtAt  time.Duration // its last answer; last sign that it may have lost its counts
	books               Totals
}

// class is a Class with what has been learnt of its answers.
type class struct {
	Class
	health.Latency
	span  time.Duration // what most tries are waited for, by majority vote
	votes int
}

type request struct {
	Request
	class         *class
	plan          *Plan
	cust          *customer
	aimAt         time.Duration
	tries         []*attempt
	out           int
	worth         float64 // a second of work
	inside, pays  bool    // took units from the quota; the loss if it is beyond is worth a counter call
	beyond, known bool    // its customer is taken to have no room; decided on a fresh count
	done, stream  bool
	asks          bool  // the counter could tell more of it
	most          int   // attempts
	slot          int64 // period whose count of attempts out holds this request; 0: none
}

type attempt struct {
	req    *request
	to     *backend
	sent   time.Duration
	out    bool
	status Status
}

// bound is the first attempt that is out or ended without proof that it never ran: it limits what may follow.
func (r *request) bound() *attempt {
	for _, a := range r.tries {
		if a.out || a.status != Overloaded && a.status != ConnectFailed && a.status != NotExecuted {
			return a
		}
	}
	return nil
}

const (
	namePeriod   = CounterNameTTL / 3
	mostRetries  = 10                      // in the budget, where the settings name no other
	quietCounter = 2 * time.Second         // without an answer: it may have been emptied meanwhile
	mostLooks    = 2                       // probes for a request
	leastReach   = 8                       // backends used, where there are so many
	meetWithin   = 1500 * time.Millisecond // each should be sent something so often
	worthLooks   = 0.02                    // share of a request's worth that they may cost
)

// New returns a Balancer that acts through act. It reports settings that make no sense.
func New(set Settings, seed uint64, act Actions) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{set: set, act: act, rng: rand.New(rand.NewPCG(seed, seed)), classes: map[string]*class{},
		plans: map[string]*Plan{}, reqs: map[uint32]*request{}, byID: map[uint32]*backend{},
		customers: map[string]*customer{}, quickest: map[string]float64{}, logged: map[string]bool{},
		zones: map[string]*health.Zone{}, calls: map[string]func(time.Duration, CounterResult){}, twins: 1}
	b.set.MaxAttempts, b.set.MaxRetryAfter = max(set.MaxAttempts, 1), cmp.Or(set.MaxRetryAfter, math.MaxInt64)
	b.set.RetryRatio, b.set.RetryBudget = cmp.Or(set.RetryRatio, 0.1), cmp.Or(set.RetryBudget, mostRetries)
	b.beat = set.Classes[0].Target
	for _, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c, Latency: health.NewLatency(c.Target)}
		b.beat = min(b.beat, c.Target)
		b.slotPeriod = max(b.slotPeriod, c.Target, c.Deadline)
	}
	b.beat = max(b.beat/8, set.Tick)
	b.limit, b.retries, b.beyond = concurrency.New(b.beat), b.set.RetryBudget, 0.3
	b.spread = cmp.Or(set.TurnWeight, 1) * math.Sqrt(float64(set.Gateways)) / 20
	b.looks = int(min(worthLooks/max(set.ProbePrice, 1e-9), mostLooks))
	for _, p := range set.Plans {
		b.plans[p.Name] = &p
	}
	if set.Subscribe {
		act.Watch(true)
	}
	act.SetTimer(b.beat, HousekeepingTimer)
	return b, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Request takes a client's try.
func (b *Balancer) HandleRequest(now time.Duration, q Request) {
	b.started = cmp.Or(b.started, now) // the time before the first request earns no room under a ceiling
	b.doubtAt = cmp.Or(b.doubtAt, now) // counts may have been lost just before, and nobody tells
	cl, pl := b.classes[q.Class], b.plans[q.Plan]
	if cl == nil || pl == nil || b.reqs[q.ID] != nil {
		b.logOnce(fmt.Sprintf("refused a request of unknown class %q or plan %q", q.Class, q.Plan))
		b.act.Refuse(q.ID, 0)
		return
	}
	r := &request{Request: q, class: cl, plan: pl, aimAt: now + cl.Target}
	r.Gateways, r.most = max(1, min(q.Gateways, b.set.Gateways))*b.twins,
		cmp.Or(cl.MaxAttempts, b.set.MaxAttempts)
	b.reqs[q.ID] = r
	left := q.Deadline - now - 2*b.set.Tick
	if off := (left - cl.span).Abs() > 2*b.set.Tick; !off {
		cl.votes = min(cl.votes+1, 50)
	} else if cl.votes--; cl.votes < 0 {
		cl.span, cl.votes = left, 0
	} else if cl.votes > 5 { // bounded by the deadline of all its tries, which tells its age
		r.aimAt = min(r.aimAt, q.Deadline-cl.Deadline+cl.Target)
	}
	if left <= 0 {
		b.refuse(now, r, DeadlinePassed, 0)
		return
	}
	b.act.SetTimer(left, "end "+strconv.FormatUint(uint64(q.ID), 10))
	b.retries = min(b.retries+b.set.RetryRatio, b.set.RetryBudget)
	b.admit(now, r)
}

// admit decides a new request. Where others' use since the last read could change the answer, its units first
// go on the counter, whose order decides: no two gateways grant one unit. A request to be shed costs no call.
func (b *Balancer) admit(now time.Duration, r *request) {
	c, p := b.customer(now, r), r.plan
	r.cust, r.worth = c, r.class.Value*p.ValueFactor/r.class.Mean
	b.density = cmp.Or(b.density, r.worth)
	b.density += (r.worth - b.density) * 0.02
	if b.shed(now, r, true) {
		return
	}
	for range b.looks {
		b.scout(now)
	}
	share := p.OverrunCost - p.ExcessWorth + min(1, b.busy(now)/b.limit.Max) // the busier, the dearer
	loss := r.class.Value * p.ValueFactor * r.Units * max(share, 0.1)        // if beyond the quota
	b.stake += (loss - b.stake) * 0.02
	chance := min(1, loss/b.floor) // of a call
	if b.fails > 0 {
		chance = 1 // one at a time, to hear of its return
	}
	r.pays = b.rng.Float64() < chance
	pass, _ := b.inside(now, c, r)
	room, age := p.Burst-(c.tat-now).Seconds()*p.Rate, now-c.readAt
	metered := b.set.Counter && c.width > 1 && p.Rate > 0 && share > 0.5 && !b.silent(now)
	fresh := age <= b.set.CounterTimeout/4 || room-r.Units >= max(p.Burst/2, 2*p.Rate*age.Seconds())
	fresh = fresh && (p.CeilingRate == 0 || c.share.Allows(now, r.terms(), r.Units))
	if r.asks = metered && (c.readAt == 0 || pass && !fresh); r.asks {
		// While calls are scarce, few for a customer whose store was empty at the last reads.
		if r.pays = r.pays && (b.floor == 0 || b.rng.Float64() < 1/(1+c.over)); r.pays && b.callable(now) {
			if c.queue = append(c.queue, r); c.call == "" {
				b.callCounter(now, c)
			}
			return
		}
		r.beyond = c.over > 0
	}
	b.decide(now, r)
}

// decide refuses a request or sends it on.
func (b *Balancer) decide(now time.Duration, r *request) {
	c := r.cust
	to, delay := b.pick(now, r)
	inside, wait := b.inside(now, c, r)
	if to == nil {
		if inside {
			b.sent++
		}
		b.refuse(now, r, NoServer, r.class.Target/2)
		return
	}
	if r.beyond {
		inside, wait = false, max(wait, r.plan.span(r.Units))
	}
	p := r.plan
	if !inside && (p.ExcessWorth <= p.OverrunCost || delay > r.class.Target/3) {
		b.refuse(now, r, OverQuota, wait)
		return
	}
	if r.asks && !r.known { // it may be beyond its quota, and is less worth sending the likelier that is
		r.worth *= max(0, 1-b.beyond*(1+p.OverrunCost-p.ExcessWorth))
	}
	if !(inside && r.known) && b.shed(now, r, inside) {
		return
	}
	c.heat, c.heatAt = c.heat*math.Exp(-(now-c.heatAt).Seconds()/2)+0.5, now
	crowd := c.heat * r.class.Mean * float64(c.width) // what the set should have out
	if b.set.Counter && p.MaxOut > 0 && c.width > 1 && (c.out > 0 || crowd > 0.2*float64(p.MaxOut)) {
		c.waiting = append(c.waiting, r)
		b.claim(now, c)
		return
	}
	b.place(now, r, to, inside, wait)
}

// shed refuses a request that would be late, and would make others late. The less its worth a second of work,
// the smaller the part of the limit that is open to it.
func (b *Balancer) shed(now time.Duration, r *request, inside bool) bool {
	keen := 1.2 * max(0.1, r.worth) / (r.worth + b.density/2)
	why := Shed
	if r.aimAt <= now { // a repeat too late for its aim: in a retry storm, most of the load
		keen, why = r.class.LateValue, TargetPassed
	}
	if !inside {
		keen = min(keen, 0.5)
	}
	if b.busy(now) < b.limit.Max*keen {
		return false
	}
	b.refuse(now, r, why, seconds(r.class.Target.Seconds()*(0.25+b.rng.Float64()/2))) // not all together
	return true
}

// maySend is rule 2, with the limits on attempts.
func (b *Balancer) maySend(now time.Duration, r *request, be *backend) bool {
	if r.done || r.stream || b.reached(r) >= r.most || r.out > 0 && !b.set.Hedging {
		return false
	}
	first := r.bound()
	if first == nil || r.class.Effect == Retryable {
		return true
	}
	if r.class.Effect == NonRetryable || now-first.sent+2*b.set.Tick >= r.class.KeyTTL {
		return false
	}
	group := r.class.Group
	near := be.Member.Zone == first.to.Member.Zone
	return group == AllBackends || near && (group == SameZone || be.Cell == first.to.Cell)
}

func (b *Balancer) send(now time.Duration, r *request, be *backend) {
	a := &attempt{req: r, to: be, sent: now, out: true}
	r.tries = append(r.tries, a)
	be.outs = append(be.outs, a)
	be.allowed--
	be.looked = 0
	b.turns.Advance(&be.seat, b.size(be)*max(be.part, 0.05), b.mass)
	b.sent++
	r.out++
	b.open++
	r.cust.out++
	if r.class.Effect != NonRetryable {
		b.act.SetTimer(r.class.Slow(), "tardy "+strconv.FormatUint(uint64(r.ID), 10))
	}
	b.act.Send(r.ID, be.ID, 0)
}

// refuse answers that a new try does no harm; only for what has not run, or may run again.
func (b *Balancer) refuse(now time.Duration, r *request, why Reason, wait time.Duration) {
	b.books.Refused[why]++
	if !b.set.RetryAfter {
		wait = 0
	}
	b.end(now, r)
	b.act.Refuse(r.ID, min(max(wait, 0), b.set.MaxRetryAfter))
}

// giveUp gives the final answer to a request that was not served.
func (b *Balancer) giveUp(now time.Duration, r *request) {
	if r.bound() == nil || r.class.Effect == Retryable {
		b.refuse(now, r, AttemptsUsed, seconds(r.class.Mean)) // an immediate retry would add to a storm
	} else {
		b.end(now, r)
		b.act.Fail(r.ID)
	}
}

// end closes a request, and calls off what it still has out.
func (b *Balancer) end(now time.Duration, r *request) {
	for i, a := range r.tries {
		if a.out && !r.done && !r.stream && b.set.Cancels {
			b.act.Cancel(r.ID, i)
		}
	}
	if r.done = true; r.out == 0 {
		delete(b.reqs, r.ID)
		b.release(now, r)
	}
}

// Outcome takes the end of an attempt.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome) {
	r := b.reqs[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.tries) || !r.tries[o.Attempt].out {
		return
	}
	a := r.tries[o.Attempt]
	a.out, a.status = false, o.Status
	r.out, b.open, r.cust.out = r.out-1, b.open-1, r.cust.out-1
	a.to.outs = slices.DeleteFunc(a.to.outs, func(x *attempt) bool { return x == a })
	b.learn(now, a, o)
	if o.Status == OK && o.ActualUnits > 0 && r.inside && r.plan.Rate > 0 {
		c, diff := r.cust, o.ActualUnits-r.Units
		c.tat += r.plan.span(diff)
		c.unsent += diff
	}
	switch {
	case r.done || o.Final || o.Status == OK:
		b.end(now, r)
	case r.out == 0 && !b.again(now, r):
		b.giveUp(now, r)
	}
}

// again sends a request that has no attempt out once more, where rules, time and budget allow.
func (b *Balancer) again(now time.Duration, r *request) bool {
	to, delay := b.pick(now, r)
	if to == nil || now+delay > r.Deadline || b.retries < b.price(r) || now >= min(r.aimAt, r.Deadline) {
		return false
	}
	b.retries -= b.price(r)
	b.send(now, r, to)
	return true
}

// tardy hedges a request whose backend has said nothing since it was sent: a lost backend, not long work.
func (b *Balancer) tardy(now time.Duration, r *request) {
	i := slices.IndexFunc(r.tries, func(a *attempt) bool { return a.out })
	if r.out != 1 || now >= r.aimAt || r.tries[i].to.heard >= r.tries[i].sent ||
		now-r.tries[i].sent < r.class.Slow()/2 {
		return
	}
	if b.set.Hedging {
		b.again(now, r)
	} else if b.set.Cancels && b.retries >= 1 && len(r.tries) < r.most {
		b.act.Cancel(r.ID, i)
	}
}

// Accepted tells that the answer to an attempt has started to stream.
func (b *Balancer) HandleStreamStart(now time.Duration, id uint32, try int) {
	if r := b.reqs[id]; r != nil && try >= 0 && try < len(r.tries) {
		r.tries[try].to.heard, r.stream = now, true
	}
}

// Gone tells that nobody waits for a request any more.
func (b *Balancer) HandleClientGone(now time.Duration, id uint32) {
	if r := b.reqs[id]; r != nil {
		b.end(now, r)
	}
}

// Timer takes a timer that has fired.
func (b *Balancer) HandleTimer(now time.Duration, token string) {
	kind, digits, _ := strings.Cut(token, " ")
	id, _ := strconv.ParseUint("0"+digits, 10, 32) // a beat has none: no error is made of it
	r := b.reqs[uint32(id)]
	switch {
	case kind == HousekeepingTimer:
		b.act.SetTimer(b.beat, HousekeepingTimer)
		b.housekeep(now)
	case kind == "watch":
		b.act.Watch(true)
	case r == nil || r.done || r.stream:
	case kind == "end":
		b.giveUp(now, r)
	case kind == "tardy":
		b.tardy(now, r)
	}
}
