package choice

// Settings, events and actions are in api.go; the decisions are here, in meter.go and in servers.go. Usually
// a customer has one theoretical arrival time (TAT) that GCRA tests and advances by the customer's rate and
// burst, and that units added by other gateways advance too. docs/design.md lists the exceptions.

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

// Balancer makes the decisions of one gateway: admission, server choice, retries and counter calls.
type Balancer struct {
	cfg           Settings
	host          Actions
	rng           *rand.Rand
	classes       map[string]*class
	plans         map[string]*Plan
	requests      map[uint32]*request
	byID          map[uint32]*backend
	backends      []*backend // sorted by id
	ring          []*backend // the same order at every gateway, zones interleaved
	aperture      aperture.CachedCover
	wanted        int              // backends that this gateway uses
	processes     int              // that share this gateway's identity
	turns         stride.Scheduler // which backend is due next
	meanWeight    float64          // of the listed backends
	customers     map[string]*customer
	meters        []*customer // in order of their first request
	logged        map[string]bool
	oldPlans      map[*Plan]bool // plans of earlier policies
	counterSuffix string         // of counter names; empty until the first policy change

	startedAt, interval, claimPeriod time.Duration // first request; of housekeeping; longest attempt

	tokens, turnWeight      float64            // left in the retry budget; grows with the number of gateways
	maxProbes               int                // for each request
	intervals               float64            // housekeeping runs so far
	sendRate, attempted     float64            // attempts a second; attempts since the last housekeeping
	usedWeight, totalWeight float64            // relative weight of the aperture and of all backends
	fastestProbe            map[string]float64 // of each zone, in seconds
	probeDelay              float64            // mean time of a probe beyond the fastest of its zone
	valueRate               float64            // mean value of a request per second of work
	inFlight, lost          int                // attempts; those of them at ejected backends
	zones                   map[string]*health.Zone
	faultRate               float64           // share of faults among responses
	limit                   concurrency.Limit // on attempts in flight, above which requests are shed

	counterCalls            map[string]func(now time.Duration, e CounterResult)
	meanLoss, minLoss       float64       // mean loss by a request beyond quota; loss worth a counter call
	overQuota               float64       // share of counted requests that were beyond quota
	counterFails            int           // consecutive counter calls without a response
	nextCallAt, silentSince time.Duration // of the counter: next call, and start of its outage
	silenceEnd              time.Duration // end of its last outage
	countedAt, doubtedAt    time.Duration // last response; last sign that it may have lost counts
	totals                  Totals
}

// class is a Class with its latency statistics.
type class struct {
	Class
	health.Latency
	usualWait time.Duration // how long clients of the class usually wait, by majority vote
	votes     int
}

type request struct {
	Request
	class                  *class
	plan                   *Plan
	customer               *customer
	targetAt               time.Duration
	attempts               []*attempt
	inFlight               int
	valueRate              float64 // per second of work
	inQuota, payable       bool    // charged to the quota; worth a counter call
	assumedOver, confirmed bool    // its customer probably has no quota left; the counter has answered
	done, streaming        bool
	uncertain              bool // the local meter is too old to decide alone
	maxAttempts            int
	claimPeriod            int64 // whose count of attempts includes this request; 0: none
}

type attempt struct {
	req     *request
	backend *backend
	sentAt  time.Duration
	pending bool
	status  Status
}

// firstExecuted returns the first attempt that may have run. It restricts which attempts may follow.
func (r *request) firstExecuted() *attempt {
	for _, a := range r.attempts {
		if a.pending || a.status != Overloaded && a.status != ConnectFailed && a.status != NotExecuted {
			return a
		}
	}
	return nil
}

const (
	counterPeriod       = CounterTTL / 3
	retryBudget         = 10              // where the settings give none
	counterQuietLimit   = 2 * time.Second // without a response it may have lost its counts
	maxProbesPerRequest = 2
	minAperture         = 8                       // backends, if there are that many
	contactGap          = 1500 * time.Millisecond // longest mean time between requests to a backend in use
	probeValueShare     = 0.02                    // share of a request's value that its probes may cost
)

// New returns a Balancer that acts through act, or an error if set is invalid.
func New(set Settings, seed uint64, host Actions) (*Balancer, error) {
	if err := set.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{cfg: set, host: host, rng: rand.New(rand.NewPCG(seed, seed)), classes: map[string]*class{},
		plans: map[string]*Plan{}, requests: map[uint32]*request{}, byID: map[uint32]*backend{},
		customers: map[string]*customer{}, fastestProbe: map[string]float64{}, logged: map[string]bool{},
		zones:        map[string]*health.Zone{},
		counterCalls: map[string]func(time.Duration, CounterResult){}, processes: 1}
	b.cfg.MaxAttempts, b.cfg.MaxRetryAfter = max(set.MaxAttempts, 1), cmp.Or(set.MaxRetryAfter, math.MaxInt64)
	b.cfg.RetryRatio, b.cfg.RetryBudget = cmp.Or(set.RetryRatio, 0.1), cmp.Or(set.RetryBudget, retryBudget)
	b.interval = set.Classes[0].Target
	for _, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c, Latency: health.NewLatency(c.Target)}
		b.interval = min(b.interval, c.Target)
		b.claimPeriod = max(b.claimPeriod, c.Target, c.Deadline)
	}
	b.interval = max(b.interval/8, set.Tick)
	b.limit, b.tokens, b.overQuota = concurrency.New(b.interval), b.cfg.RetryBudget, 0.3
	b.turnWeight = cmp.Or(set.TurnWeight, 1) * math.Sqrt(float64(set.Gateways)) / 20
	b.maxProbes = int(min(probeValueShare/max(set.ProbePrice, 1e-9), maxProbesPerRequest))
	for _, p := range set.Plans {
		b.plans[p.Name] = &p
	}
	if set.Subscribe {
		host.Watch(true)
	}
	host.SetTimer(b.interval, HousekeepingTimer)
	return b, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// HandleRequest decides a client's request.
func (b *Balancer) HandleRequest(now time.Duration, q Request) {
	b.startedAt = cmp.Or(b.startedAt, now) // ceilings fill from the first request on
	b.doubtedAt = cmp.Or(b.doubtedAt, now) // the counter may have restarted just before
	cl, pl := b.classes[q.Class], b.plans[q.Plan]
	if cl == nil || pl == nil || b.requests[q.ID] != nil {
		b.logOnce(fmt.Sprintf("refused a request of unknown class %q or plan %q", q.Class, q.Plan))
		b.host.Refuse(q.ID, 0)
		return
	}
	r := &request{Request: q, class: cl, plan: pl, targetAt: now + cl.Target}
	r.Gateways, r.maxAttempts = max(1, min(q.Gateways, b.cfg.Gateways))*b.processes,
		cmp.Or(cl.MaxAttempts, b.cfg.MaxAttempts)
	b.requests[q.ID] = r
	left := q.Deadline - now - 2*b.cfg.Tick
	if off := (left - cl.usualWait).Abs() > 2*b.cfg.Tick; !off {
		cl.votes = min(cl.votes+1, 50)
	} else if cl.votes--; cl.votes < 0 {
		cl.usualWait, cl.votes = left, 0
	} else if cl.votes > 5 { // an unusual wait is what is left of the deadline: a retry
		r.targetAt = min(r.targetAt, q.Deadline-cl.Deadline+cl.Target)
	}
	if left <= 0 {
		b.refuse(now, r, DeadlinePassed, 0)
		return
	}
	b.host.SetTimer(left, "end "+strconv.FormatUint(uint64(q.ID), 10))
	b.tokens = min(b.tokens+b.cfg.RetryRatio, b.cfg.RetryBudget)
	b.admit(now, r)
}

// admit decides a new request. Where other gateways' use since the last read could change the outcome, it
// first reserves the units on the counter: no two gateways grant the same unit. Shed requests make no call.
func (b *Balancer) admit(now time.Duration, r *request) {
	c, p := b.customer(now, r), r.plan
	r.customer, r.valueRate = c, r.class.Value*p.ValueFactor/r.class.Mean
	b.valueRate = cmp.Or(b.valueRate, r.valueRate)
	b.valueRate += (r.valueRate - b.valueRate) * 0.02
	if b.shed(now, r, true) {
		return
	}
	for range b.maxProbes {
		b.probeOne(now)
	}
	share := p.OverrunCost - p.ExcessWorth + min(1, b.load(now)/b.limit.Max) // excess costs more under load
	loss := r.class.Value * p.ValueFactor * r.Units * max(share, 0.1)        // if it is beyond the quota
	b.meanLoss += (loss - b.meanLoss) * 0.02
	chance := min(1, loss/b.minLoss) // of a counter call
	if b.counterFails > 0 {
		chance = 1 // one call at a time, to detect its recovery
	}
	r.payable = b.rng.Float64() < chance
	pass, _ := b.inQuota(now, c, r)
	room, age := p.Burst-(c.tat-now).Seconds()*p.Rate, now-c.readAt
	metered := b.cfg.Counter && c.gateways > 1 && p.Rate > 0 && share > 0.5 && !b.counterDown(now)
	fresh := age <= b.cfg.CounterTimeout/4 || room-r.Units >= max(p.Burst/2, 2*p.Rate*age.Seconds())
	fresh = fresh && (p.CeilingRate == 0 || c.ceiling.Allows(now, r.capLimits(), r.Units))
	if r.uncertain = metered && (c.readAt == 0 || pass && !fresh); r.uncertain {
		// While calls are limited, few go to customers that had no quota left at the last reads.
		if r.payable = r.payable && (b.minLoss == 0 || b.rng.Float64() < 1/(1+c.emptyReads)); r.payable &&
			b.mayCall(now) {
			if c.awaiting = append(c.awaiting, r); c.call == "" {
				b.callCounter(now, c)
			}
			return
		}
		r.assumedOver = c.emptyReads > 0
	}
	b.decide(now, r)
}

// decide refuses a request or dispatches it.
func (b *Balancer) decide(now time.Duration, r *request) {
	c := r.customer
	to, delay := b.pick(now, r)
	inside, wait := b.inQuota(now, c, r)
	if to == nil {
		if inside {
			b.attempted++
		}
		b.refuse(now, r, NoServer, r.class.Target/2)
		return
	}
	if r.assumedOver {
		inside, wait = false, max(wait, r.plan.span(r.Units))
	}
	p := r.plan
	if !inside && (p.ExcessWorth <= p.OverrunCost || delay > r.class.Target/3) {
		b.refuse(now, r, OverQuota, wait)
		return
	}
	if r.uncertain && !r.confirmed { // the likelier it is beyond its quota, the less it is worth
		r.valueRate *= max(0, 1-b.overQuota*(1+p.OverrunCost-p.ExcessWorth))
	}
	if !(inside && r.confirmed) && b.shed(now, r, inside) {
		return
	}
	c.arrivals, c.arrivalsAt = c.arrivals*math.Exp(-(now-c.arrivalsAt).Seconds()/2)+0.5, now
	demand := c.arrivals * r.class.Mean * float64(c.gateways) // expected at all gateways
	if b.cfg.Counter && p.MaxOut > 0 && c.gateways > 1 && (c.inFlight > 0 || demand > 0.2*float64(p.MaxOut)) {
		c.waiting = append(c.waiting, r)
		b.claimSlots(now, c)
		return
	}
	b.dispatch(now, r, to, inside, wait)
}

// shed refuses a request that would miss its target and delay others. The lower its value per second of work,
// the smaller the part of the limit that it may use.
func (b *Balancer) shed(now time.Duration, r *request, inside bool) bool {
	part := 1.2 * max(0.1, r.valueRate) / (r.valueRate + b.valueRate/2)
	reason := Shed
	if r.targetAt <= now { // a retry past its target: in a retry storm, most of the load
		part, reason = r.class.LateValue, TargetPassed
	}
	if !inside {
		part = min(part, 0.5)
	}
	if b.load(now) < b.limit.Max*part {
		return false
	}
	b.refuse(now, r, reason, seconds(r.class.Target.Seconds()*(0.25+b.rng.Float64()/2))) // jittered
	return true
}

// maySend enforces rule 2 (no unsafe repeats) and the limits on attempts.
func (b *Balancer) maySend(now time.Duration, r *request, be *backend) bool {
	if r.done || r.streaming || b.countedAttempts(r) >= r.maxAttempts || r.inFlight > 0 && !b.cfg.Hedging {
		return false
	}
	first := r.firstExecuted()
	if first == nil || r.class.Effect == Retryable {
		return true
	}
	if r.class.Effect == NonRetryable || now-first.sentAt+2*b.cfg.Tick >= r.class.KeyTTL {
		return false
	}
	group := r.class.Group
	near := be.Member.Zone == first.backend.Member.Zone
	return group == AllBackends || near && (group == SameZone || be.Cell == first.backend.Cell)
}

func (b *Balancer) send(now time.Duration, r *request, be *backend) {
	a := &attempt{req: r, backend: be, sentAt: now, pending: true}
	r.attempts = append(r.attempts, a)
	be.open = append(be.open, a)
	be.allowance--
	be.probedAt = 0
	b.turns.Advance(&be.position, b.weight(be)*max(be.use, 0.05), b.usedWeight)
	b.attempted++
	r.inFlight++
	b.inFlight++
	r.customer.inFlight++
	if r.class.Effect != NonRetryable {
		b.host.SetTimer(r.class.Slow(), "tardy "+strconv.FormatUint(uint64(r.ID), 10))
	}
	b.host.Send(r.ID, be.ID, 0)
}

// refuse tells the client that a retry is safe. Only for requests that have not run, or may run again.
func (b *Balancer) refuse(now time.Duration, r *request, reason Reason, wait time.Duration) {
	b.totals.Refused[reason]++
	if !b.cfg.RetryAfter {
		wait = 0
	}
	b.finish(now, r)
	b.host.Refuse(r.ID, min(max(wait, 0), b.cfg.MaxRetryAfter))
}

// answerUnserved refuses or fails a request that was not served.
func (b *Balancer) answerUnserved(now time.Duration, r *request) {
	if r.firstExecuted() == nil || r.class.Effect == Retryable {
		b.refuse(now, r, AttemptsUsed, seconds(r.class.Mean)) // the cause may last: no retry storm
	} else {
		b.finish(now, r)
		b.host.Fail(r.ID)
	}
}

// finish closes a request and cancels its pending attempts.
func (b *Balancer) finish(now time.Duration, r *request) {
	for i, a := range r.attempts {
		if a.pending && !r.done && !r.streaming && b.cfg.Cancels {
			b.host.Cancel(r.ID, i)
		}
	}
	if r.done = true; r.inFlight == 0 {
		delete(b.requests, r.ID)
		b.releaseSlot(now, r)
	}
}

// HandleOutcome processes the end of an attempt.
func (b *Balancer) HandleOutcome(now time.Duration, o Outcome) {
	r := b.requests[o.ID]
	if r == nil || o.Attempt < 0 || o.Attempt >= len(r.attempts) || !r.attempts[o.Attempt].pending {
		return
	}
	a := r.attempts[o.Attempt]
	a.pending, a.status = false, o.Status
	r.inFlight, b.inFlight, r.customer.inFlight = r.inFlight-1, b.inFlight-1, r.customer.inFlight-1
	a.backend.open = slices.DeleteFunc(a.backend.open, func(x *attempt) bool { return x == a })
	b.observe(now, a, o)
	if o.Status == OK && o.ActualUnits > 0 && r.inQuota && r.plan.Rate > 0 {
		c, diff := r.customer, o.ActualUnits-r.Units
		c.tat += r.plan.span(diff)
		c.unreported += diff
	}
	switch {
	case r.done || o.Final || o.Status == OK:
		b.finish(now, r)
	case r.inFlight == 0 && !b.retry(now, r):
		b.answerUnserved(now, r)
	}
}

// retry sends a request again, if the rules, its deadline and the retry budget allow.
func (b *Balancer) retry(now time.Duration, r *request) bool {
	to, delay := b.pick(now, r)
	if to == nil || now+delay > r.Deadline || b.tokens < b.price(r) || now >= min(r.targetAt, r.Deadline) {
		return false
	}
	b.tokens -= b.price(r)
	b.send(now, r, to)
	return true
}

// hedge retries a request whose backend has sent nothing since: probably lost, not just slow.
func (b *Balancer) hedge(now time.Duration, r *request) {
	i := slices.IndexFunc(r.attempts, func(a *attempt) bool { return a.pending })
	if r.inFlight != 1 || now >= r.targetAt || r.attempts[i].backend.lastAnswer >= r.attempts[i].sentAt ||
		now-r.attempts[i].sentAt < r.class.Slow()/2 {
		return
	}
	if b.cfg.Hedging {
		b.retry(now, r)
	} else if b.cfg.Cancels && b.tokens >= 1 && len(r.attempts) < r.maxAttempts {
		b.host.Cancel(r.ID, i)
	}
}

// HandleStreamStart records that the response to an attempt has started to stream.
func (b *Balancer) HandleStreamStart(now time.Duration, id uint32, index int) {
	if r := b.requests[id]; r != nil && index >= 0 && index < len(r.attempts) {
		r.attempts[index].backend.lastAnswer, r.streaming = now, true
	}
}

// HandleClientGone closes a request whose client has disconnected.
func (b *Balancer) HandleClientGone(now time.Duration, id uint32) {
	if r := b.requests[id]; r != nil {
		b.finish(now, r)
	}
}

// HandleTimer processes a timer that has fired.
func (b *Balancer) HandleTimer(now time.Duration, token string) {
	kind, digits, _ := strings.Cut(token, " ")
	id, _ := strconv.ParseUint("0"+digits, 10, 32) // the housekeeping timer has no id
	r := b.requests[uint32(id)]
	switch {
	case kind == HousekeepingTimer:
		b.host.SetTimer(b.interval, HousekeepingTimer)
		b.housekeep(now)
	case kind == "watch":
		b.host.Watch(true)
	case r == nil || r.done || r.streaming:
	case kind == "end":
		b.answerUnserved(now, r)
	case kind == "tardy":
		b.hedge(now, r)
	}
}
