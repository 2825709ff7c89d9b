package choice

// The interface of this module (settings, events, actions) is in api.go. This file holds every decision.
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
	"asterwell/internal/ceiling"
	"asterwell/internal/health"
	"asterwell/internal/limit"
	"asterwell/internal/turn"
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
	reach     int        // how many of them it uses
	twins     int        // processes that are this gateway
	turns     turn.Clock // that they take
	weight    float64    // mean
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
	faults          float64     // share of faults among answers
	limit           limit.Limit // on attempts out, before requests are shed

	calls               map[string]func(now time.Duration, e Counted)
	stake, floor        float64       // mean loss by a request beyond quota; that worth a call
	beyond              float64       // share of those put on the counter that were beyond quota
	fails               int           // counter calls in a row without an answer
	callAfter, silentAt time.Duration // no counter call before; start of its silence
	backAt              time.Duration // end of its last silence
	countedAt, doubtAt  time.Duration // its last answer; last sign that it may have lost its counts
	books               Books
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
		if a.out || a.status != Full && a.status != ConnectFailed && a.status != Moot {
			return a
		}
	}
	return nil
}

type backend struct {
	Member
	listed, probing bool
	part            float64 // of it that this gateway uses; 0: none
	seat            turn.Seat
	health.Server
	outs            []*attempt
	heard           time.Duration // last answer of any kind
	allowed, queue  float64       // requests it may get while cold; as reported
	allowedAt, told time.Duration
	looked          time.Duration // a probe went well then, and nothing was sent since; 0: none
	wait            float64       // how long it took past the quickest of its zone, in usual such times
}

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
	share  ceiling.Share
}

// slots keep attempts out under a cap held by all gateways. A request waits only where others may matter.
type slots struct {
	change, moving, mine float64 // not yet added; in the call under way; this gateway's part of the count
	since                int64   // the count's period
	waiting              []*request
	asking               bool
	claimed              int // of those waiting, the ones in the call under way
}

const (
	namePeriod   = NameLife / 3
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
		zones: map[string]*health.Zone{}, calls: map[string]func(time.Duration, Counted){}, twins: 1}
	b.set.MaxTries = max(set.MaxTries, 1)
	b.set.MaxRetryAfter = cmp.Or(set.MaxRetryAfter, math.MaxInt64)
	b.beat = set.Classes[0].Aim
	for _, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c, Latency: health.NewLatency(c.Aim)}
		b.beat = min(b.beat, c.Aim)
		b.slotPeriod = max(b.slotPeriod, c.Aim, c.Deadline)
	}
	b.beat = max(b.beat/8, set.Tick)
	b.set.RetryShare, b.set.RetryMost = cmp.Or(set.RetryShare, 0.1), cmp.Or(set.RetryMost, mostRetries)
	b.limit, b.retries, b.beyond = limit.New(b.beat), b.set.RetryMost, 0.3
	b.spread = cmp.Or(set.Turns, 1) * math.Sqrt(float64(set.Doors)) / 20
	b.looks = int(min(worthLooks/max(set.ProbePrice, 1e-9), mostLooks))
	for _, p := range set.Plans {
		b.plans[p.Name] = &p
	}
	if set.Subscribe {
		act.Watch(true)
	}
	act.SetTimer(b.beat, "beat")
	return b, nil
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

func (b *Balancer) logOnce(text string) {
	if !b.logged[text] && len(b.logged) < 50 {
		b.logged[text] = true
		b.act.Log(text)
	}
}

// Roster takes news of the fleet.
func (b *Balancer) Roster(now time.Duration, news Roster) {
	if news.Broken {
		if b.set.Subscribe {
			b.act.SetTimer(b.beat, "watch")
		}
		return
	}
	for _, be := range b.fleet {
		be.listed = be.listed && !news.Whole
	}
	for _, m := range news.Members {
		be := b.byID[m.ID]
		if be == nil {
			be = &backend{Server: health.Server{Slow: 1}}
			b.byID[m.ID] = be
			b.fleet = append(b.fleet, be)
		}
		if m.Started > be.Started { // a new process owes nothing for the old one's faults
			be.Restart()
			be.allowed, be.allowedAt = b.rng.Float64(), now
		}
		if be.Member, be.listed = m, m.State == Up; b.zones[m.Zone] == nil {
			b.zones[m.Zone] = &health.Zone{}
		}
		be.Server.Zone = b.zones[m.Zone]
	}
	slices.SortFunc(b.fleet, func(x, y *backend) int { return int(int64(x.ID) - int64(y.ID)) })
	b.fleet = slices.DeleteFunc(b.fleet, func(be *backend) bool {
		gone := !be.listed && be.State != Draining && len(be.outs) == 0 && !be.probing
		if gone {
			delete(b.byID, be.ID)
		}
		return gone
	})
	n := 0.0
	for _, be := range b.fleet {
		if be.listed {
			n++
			b.weight += (be.Weight - b.weight) / n
		}
	}
	b.limit.Share = n / float64(b.set.Doors*b.twins) * max(1, b.set.Slots/2)
	b.ring = aperture.Ring(b.fleet, func(be *backend) aperture.Node {
		return aperture.Node{Key: cmp.Or(be.Key, uint64(be.ID)*0x9e3779b97f4a7c15), Zone: be.Member.Zone}
	})
	b.survey(now)
	b.limit.Begin(now)
}

// survey marks the backends that this gateway uses: so few that it meets each often enough to know it, and to
// find its connection still open. What looks dead is made up for, and what is cold by what it lacks.
func (b *Balancer) survey(now time.Duration) {
	want, has := max(leastReach, b.sends*meetWithin.Seconds()), float64(b.reach)
	if want > 1.25*has || want < 0.6*has {
		b.reach = int(math.Ceil(want))
	}
	weights := make([]float64, len(b.ring))
	for i, be := range b.ring {
		if be.listed {
			weights[i] = b.size(be) * b.warmth(now, be)
		}
	}
	b.stuck, b.mass, b.whole = 0, 0, 0
	lives := func(i int) bool { return !b.ring[i].Out() }
	part := aperture.Cover(b.set.Index, weights, lives, float64(b.reach))
	for i, be := range b.ring {
		if be.part = part[i]; be.Out() {
			b.stuck += len(be.outs)
		}
		b.mass += b.size(be) * be.part
		if be.listed {
			b.whole += b.size(be)
		}
	}
}

// Request takes a client's try.
func (b *Balancer) Request(now time.Duration, q Request) {
	b.started = cmp.Or(b.started, now) // the time before the first request earns no room under a ceiling
	b.doubtAt = cmp.Or(b.doubtAt, now) // counts may have been lost just before, and nobody tells
	cl, pl := b.classes[q.Class], b.plans[q.Plan]
	if cl == nil || pl == nil || b.reqs[q.ID] != nil {
		b.logOnce(fmt.Sprintf("refused a request of unknown class %q or plan %q", q.Class, q.Plan))
		b.act.Refuse(q.ID, 0)
		return
	}
	r := &request{Request: q, class: cl, plan: pl, aimAt: now + cl.Aim, most: cmp.Or(cl.Tries, b.set.MaxTries)}
	r.Width = max(1, min(q.Width, b.set.Doors)) * b.twins
	b.reqs[q.ID] = r
	left := q.NotAfter - now - 2*b.set.Tick
	if off := (left - cl.span).Abs() > 2*b.set.Tick; !off {
		cl.votes = min(cl.votes+1, 50)
	} else if cl.votes--; cl.votes < 0 {
		cl.span, cl.votes = left, 0
	} else if cl.votes > 5 { // bounded by the deadline of all its tries, which tells its age
		r.aimAt = min(r.aimAt, q.NotAfter-cl.Deadline+cl.Aim)
	}
	if left <= 0 {
		b.refuse(now, r, TooLate, 0)
		return
	}
	b.act.SetTimer(left, "end "+strconv.FormatUint(uint64(q.ID), 10))
	b.retries = min(b.retries+b.set.RetryShare, b.set.RetryMost)
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
	fresh = fresh && (p.CeilingRate == 0 || c.share.Has(now, r.terms(), r.Units))
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

// scout probes a backend drawn by size. What a probe found a moment ago says more than memory, all the more
// where a gateway meets each backend seldom. That guards against silent, jammed and crowded backends alike;
// the better of two is far better than one. It costs the probes, and may herd where a look is stale.
func (b *Balancer) scout(now time.Duration) {
	if !b.set.Probes {
		return
	}
	var best *backend
	least := math.MaxFloat64
	for _, be := range b.fleet {
		if be.part > 0 && be.listed && !be.probing && !be.Out() && !b.fresh(now, be) && b.coldRoom(now, be) {
			if e := b.rng.ExpFloat64() / b.size(be); e < least {
				best, least = be, e
			}
		}
	}
	if best != nil {
		best.probing = true
		b.act.Probe(best.ID)
	}
}

// fresh reports whether a probe has just shown a backend well. One look serves one request.
func (b *Balancer) fresh(now time.Duration, be *backend) bool {
	return be.looked > 0 && now-be.looked < 8*b.beat // the shortest aim
}

// silent reports whether the counter has answered nothing for a while: a call or two may time out in a crowd.
func (b *Balancer) silent(now time.Duration) bool {
	return b.fails > 2 && now-b.silentAt > 8*b.set.CounterTimeout
}

// callable reports whether the counter may be called: while it fails, one at a time and ever more seldom.
func (b *Balancer) callable(now time.Duration) bool {
	return now >= b.callAfter && (b.fails == 0 || len(b.calls) == 0)
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
		b.refuse(now, r, NoServer, r.class.Aim/2)
		return
	}
	if r.beyond {
		inside, wait = false, max(wait, r.plan.span(r.Units))
	}
	p := r.plan
	if !inside && (p.ExcessWorth <= p.OverrunCost || delay > r.class.Aim/3) {
		b.refuse(now, r, Beyond, wait)
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
	why := Pressed
	if r.aimAt <= now { // a repeat too late for its aim: in a retry storm, most of the load
		keen, why = r.class.LateWorth, PastAim
	}
	if !inside {
		keen = min(keen, 0.5)
	}
	if b.busy(now) < b.limit.Max*keen {
		return false
	}
	b.refuse(now, r, why, seconds(r.class.Aim.Seconds()*(0.25+b.rng.Float64()/2))) // not all together
	return true
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
	b.act.Count(name, c.moving, NameLife)
	b.calls[name] = func(now time.Duration, e Counted) {
		c.asking = false
		if e.Status == Full || e.Status == ConnectFailed {
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
			b.refuse(now, r, Beyond, max(wait, seconds(r.class.Mean)))
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
		b.refuse(now, r, Ceiling, wait)
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
	p, t, word := r.plan, r.terms(), ceiling.None
	switch {
	case !b.set.Counter || p.Rate == 0 || t.Rate <= p.Rate || t.Burst <= p.Burst || b.silent(now):
	case !inside || !r.known:
		word = ceiling.Guess
	case now%namePeriod < p.span(p.Burst) || now-b.doubtAt < t.Trusted():
		word = ceiling.Late
	default:
		word = ceiling.Sure
	}
	return r.cust.share.Take(now, t, r.Units, word)
}

func (r *request) terms() ceiling.Terms {
	return ceiling.Terms{Rate: r.plan.CeilingRate, Burst: r.plan.CeilingBurst, QuotaRate: r.plan.Rate,
		QuotaBurst: r.plan.Burst, Width: float64(r.Width)}
}

// span is the time that units stand for: each the emission interval T.
func (p *Plan) span(units float64) time.Duration { return seconds(units / p.Rate) }

// customer finds or makes a customer's meter. While the counter cannot tell, an unseen one gets its even
// share of the burst, at least its largest request, since others may have granted the rest.
func (b *Balancer) customer(now time.Duration, r *request) *customer {
	c := b.customers[r.Customer]
	if c == nil {
		c = &customer{key: r.Customer, plan: r.plan, width: r.Width, assumeAt: now}
		c.share = ceiling.New(b.started)
		if c.tat = now; r.plan.Rate > 0 {
			free := min(max(r.plan.Burst/float64(r.Width), b.set.MaxUnits, 1), r.plan.Burst)
			c.tat = now + r.plan.span(r.plan.Burst-free)
		}
		b.customers[r.Customer] = c
		b.idlers = append(b.idlers, c)
	} else if b.ended[c.plan] {
		b.carry(now, c, r.plan)
	}
	c.seen, c.width = now, r.Width
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
	b.calls[c.call] = func(now time.Duration, e Counted) { b.synced(now, c, e) }
	b.act.Count(c.call, c.flying, NameLife)
}

// Counted takes the end of a counter call.
func (b *Balancer) Counted(now time.Duration, e Counted) {
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
	} else if failed && e.Status != Full {
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
func (b *Balancer) synced(now time.Duration, c *customer, e Counted) {
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
func (b *Balancer) absorb(now time.Duration, c *customer, e Counted) {
	if e.Status == Full || e.Status == ConnectFailed {
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

// pick returns the eligible backend with the least expected delay.
func (b *Balancer) pick(now time.Duration, r *request) (*backend, time.Duration) {
	var best *backend
	bestAt, odds, life := math.MaxFloat64, 0.0, NameLife.Seconds()
	for _, be := range b.fleet {
		if !be.listed || !b.maySend(now, r, be) || !b.coldRoom(now, be) {
			continue
		}
		far := 0.0
		if be.part == 0 { // before those that look bad
			far = life / 2
		}
		e := b.expect(now, r.class, be)
		if cold := b.warmth(now-b.set.FallAfter, be) < 1; !cold || e > r.class.Aim.Seconds()/3 {
			ahead := b.turns.Ahead(&be.seat, b.size(be)*max(be.part, 0.05), b.rng.Float64())
			e *= math.Exp(4 * b.spread * ahead)
		} else {
			e *= b.rng.Float64() / 8 // its turn, which may be long in coming again
		}
		if slices.ContainsFunc(r.tries, func(a *attempt) bool { return a.to == be }) {
			e += r.class.Aim.Seconds() / 2
		}
		fault := be.Fault * r.class.Aim.Seconds() // no delay, but as bad
		// Last of all, not never: when all look bad, this gateway may be at fault.
		if be.Out() {
			if b.set.Probes || now < be.Until || len(be.outs) > 0 || r.class.Effect == Fragile {
				e += life
			} // else this is a trial: one request shows whether it is back
		}
		if d := b.expect(now, r.class, be); b.fresh(now, be) && !be.Out() && d < 1.5*r.class.Mean {
			e = d*(0.5+be.wait)/16 - life
		}
		if e += far + fault; e < bestAt {
			best, bestAt, odds = be, e, fault
		}
	}
	return best, seconds(math.Mod(bestAt-odds+life, life/2))
}

// size is a backend's roster weight against the mean.
func (b *Balancer) size(be *backend) float64 { return max(be.Weight, 0.1) / max(b.weight, 0.1) }

// quiet is how long a backend has said nothing to its oldest attempt.
func (be *backend) quiet(now time.Duration) time.Duration {
	if len(be.outs) > 0 && be.heard < be.outs[0].sent {
		return now - be.outs[0].sent
	}
	return 0
}

// expect is the delay in seconds that one more request should meet.
func (b *Balancer) expect(now time.Duration, cl *class, be *backend) float64 {
	w, q, warm := b.size(be), float64(len(be.outs)), b.warmth(now, be)
	e := max(cl.Base/warm, cl.Mean*be.Slow) * (1 + q/(w*warm))
	if be.told > 0 && now-be.told < time.Second { // reported load says more than what this gateway sees
		e = cl.Base * max(1, be.Slow) / warm * (1 + (be.queue+q)/w)
	}
	if quiet := be.quiet(now); quiet > seconds(cl.Mean) { // silent so far: maybe for good
		e += quiet.Seconds()
	}
	if be.Member.Zone != b.set.Zone {
		e += b.set.CrossZone * cl.Aim.Seconds()
	}
	return e
}

// warmth is the least share of its capacity that a backend can have now.
func (b *Balancer) warmth(now time.Duration, be *backend) float64 {
	age := now - be.Started
	if be.Started <= 0 || age >= b.set.ColdFor {
		return 1
	}
	from := max(b.set.ColdFrom, 0.05)
	return from + (1-from)*max(0, age.Seconds())/b.set.ColdFor.Seconds()
}

// coldRoom keeps a cold backend from being pushed over (rule 4): FallMultiple times its even part of what
// this gateway sends, by least capacity, half at a steady rate, half at once. It starts at random: gateways
// with far less than one request each take turns, and the sum stays right.
func (b *Balancer) coldRoom(now time.Duration, be *backend) bool {
	window := max(b.set.FallAfter, b.beat)
	warm := b.warmth(now-window, be)
	if warm >= 1 || b.set.FallMultiple <= 0 {
		return true
	}
	even := be.part / b.mass // what is not this gateway's own is all gateways': they share it evenly
	if be.part == 0 {
		even = 1 / b.whole
	}
	rate := b.set.FallMultiple / 2 * b.sends * warm * b.size(be) * even
	be.allowed = min(be.allowed+rate*(now-be.allowedAt).Seconds(), max(1, rate*window.Seconds()))
	be.allowedAt = now
	return be.allowed >= 1
}

// maySend is rule 2, with the limits on attempts.
func (b *Balancer) maySend(now time.Duration, r *request, be *backend) bool {
	if r.done || r.stream || len(r.tries) >= r.most || r.out > 0 && !b.set.SecondCopies {
		return false
	}
	first := r.bound()
	if first == nil || r.class.Effect == Retryable {
		return true
	}
	if r.class.Effect == Fragile || now-first.sent+2*b.set.Tick >= r.class.KeyTTL {
		return false
	}
	group := r.class.Group
	near := be.Member.Zone == first.to.Member.Zone
	return group == All || near && (group == SameZone || be.Cell == first.to.Cell)
}

func (b *Balancer) send(now time.Duration, r *request, be *backend) {
	a := &attempt{req: r, to: be, sent: now, out: true}
	r.tries = append(r.tries, a)
	be.outs = append(be.outs, a)
	be.allowed--
	be.looked = 0
	b.turns.Took(&be.seat, b.size(be)*max(be.part, 0.05), b.mass)
	b.sent++
	r.out++
	b.open++
	r.cust.out++
	if r.class.Effect != Fragile {
		b.act.SetTimer(r.class.Tardy(), "tardy "+strconv.FormatUint(uint64(r.ID), 10))
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
		b.refuse(now, r, Spent, seconds(r.class.Mean)) // what failed it may last; at once would be a storm
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
func (b *Balancer) Outcome(now time.Duration, o Outcome) {
	r := b.reqs[o.ID]
	if r == nil || o.Try < 0 || o.Try >= len(r.tries) || !r.tries[o.Try].out {
		return
	}
	a := r.tries[o.Try]
	a.out, a.status = false, o.Status
	r.out, b.open, r.cust.out = r.out-1, b.open-1, r.cust.out-1
	a.to.outs = slices.DeleteFunc(a.to.outs, func(x *attempt) bool { return x == a })
	b.learn(now, a, o)
	if o.Status == OK && o.Actual > 0 && r.inside && r.plan.Rate > 0 {
		c, diff := r.cust, o.Actual-r.Units
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

// learn updates what is believed of a backend by the end of an attempt.
func (b *Balancer) learn(now time.Duration, a *attempt, o Outcome) {
	be, cl := a.to, a.req.class
	took := o.Elapsed.Seconds()
	if l := o.Load; l != nil {
		be.queue, be.told = l.Queue+l.InFlight+l.Util, now
	}
	switch o.Status {
	case OK:
		be.heard = now
		be.Took(took / cl.Mean)
		b.faults -= b.faults * 0.02
		cl.Took(took, b.limit.Pace()*3/8)
		b.limit.Steer(now, b.active(), now-a.sent > cl.Aim*5/6 && cl.Pressed())
	case Full, Error:
		be.heard = now
		be.Failed()
		b.faults += (1 - b.faults) * 0.02
		b.limit.Steer(now, b.active(), o.Status == Full && b.faults > 0.1) // they look idle; few drain
	case ConnectFailed, Reset:
		b.eject(now, be)
	case Timeout, Cancelled:
		if be.heard < a.sent && cl.Gone(o.Elapsed*3/2) {
			b.eject(now, be)
		}
	}
	if o.Status <= Full {
		be.Server.Zone.Alive()
	}
}

// active is the attempts out, those at backends that look dead left out. busy is their mean.
func (b *Balancer) active() float64                { return float64(b.open - b.stuck) }
func (b *Balancer) busy(now time.Duration) float64 { return b.limit.Busy(now, b.active()) }

// eject takes a backend out of the choice for a time that doubles with each strike. It meets whatever makes a
// backend useless from here: dead, silent, cut off, restarted. It may hurt when the link at fault is ours.
// Several that fail in a row speak for their zone: what is left of it is not tried one by one.
func (b *Balancer) eject(now time.Duration, be *backend) {
	lost := be.Server.Zone.Silent(&be.Server, now)
	be.Strike(now, 2*b.beat)
	b.survey(now)
	for _, x := range b.fleet {
		if x == be || lost && x.Server.Zone == be.Server.Zone {
			b.strand(now, x)
		}
	}
}

// strand sends elsewhere what may go, of what waits for a backend that looks dead.
func (b *Balancer) strand(now time.Duration, be *backend) {
	for _, a := range slices.Clone(be.outs) {
		if r := a.req; r.out == 1 && !r.done && r.class.Effect == Retryable && b.set.SecondCopies {
			b.again(now, r)
		}
	}
}

// again sends a request that has no attempt out once more, where rules, time and budget allow.
func (b *Balancer) again(now time.Duration, r *request) bool {
	to, delay := b.pick(now, r)
	if to == nil || now+delay > r.NotAfter || b.retries < 1 || now >= b.hopeful(r) {
		return false
	}
	b.retries--
	b.send(now, r, to)
	return true
}

// hopeful is until when a repeat may still earn something.
func (b *Balancer) hopeful(r *request) time.Duration {
	if b.set.Late {
		return r.NotAfter - seconds(r.class.Mean)
	}
	return min(r.aimAt, r.NotAfter)
}

// tardy hedges a request whose backend has said nothing since it was sent: a lost backend, not long work.
func (b *Balancer) tardy(now time.Duration, r *request) {
	i := slices.IndexFunc(r.tries, func(a *attempt) bool { return a.out })
	if r.out != 1 || now >= b.hopeful(r) || r.tries[i].to.heard >= r.tries[i].sent ||
		now-r.tries[i].sent < r.class.Tardy()/2 {
		return
	}
	if b.set.SecondCopies {
		b.again(now, r)
	} else if b.set.Cancels && b.retries >= 1 && len(r.tries) < r.most {
		b.act.Cancel(r.ID, i)
	}
}

// Accepted tells that the answer to an attempt has started to stream.
func (b *Balancer) Accepted(now time.Duration, id uint32, try int) {
	if r := b.reqs[id]; r != nil && try >= 0 && try < len(r.tries) {
		r.tries[try].to.heard, r.stream = now, true
	}
}

// Gone tells that nobody waits for a request any more.
func (b *Balancer) Gone(now time.Duration, id uint32) {
	if r := b.reqs[id]; r != nil {
		b.end(now, r)
	}
}

// Timer takes a timer that has fired.
func (b *Balancer) Timer(now time.Duration, token string) {
	kind, digits, _ := strings.Cut(token, " ")
	id, _ := strconv.ParseUint(digits, 10, 32)
	r := b.reqs[uint32(id)]
	switch {
	case kind == "beat":
		b.act.SetTimer(b.beat, "beat")
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

func (b *Balancer) housekeep(now time.Duration) {
	for _, be := range b.fleet {
		be.Age(b.beat, b.faults)
		if quiet := be.quiet(now); quiet > 0 && be.outs[0].req.class.Gone(quiet) {
			b.eject(now, be)
		}
		if be.listed && !be.probing && b.set.Probes && be.Due(now, 4*b.beat) && b.coldRoom(now, be) {
			be.probing = true
			be.allowed--
			b.act.Probe(be.ID)
		}
	}
	b.beats++
	b.sends += (b.sent/b.beat.Seconds() - b.sends) * max(1/b.beats, b.beat.Seconds()/5)
	b.sent = 0
	b.survey(now)
	b.idlers = slices.DeleteFunc(b.idlers, func(c *customer) bool {
		b.sync(now, c, false) // what is owed: no request may come to carry it
		idle := c.out == 0 && c.call == "" && !c.asking && now-c.seen > NameLife/3 && now > c.tat
		if idle {
			delete(b.customers, c.key)
		}
		return idle
	})
}

// Probed takes the end of a probe.
func (b *Balancer) Probed(now time.Duration, e Probed) {
	be := b.byID[e.Backend]
	if be == nil {
		return
	}
	if be.probing = false; e.Status == Moot { // spoilt: it lives, and tells nothing of itself
		return
	}
	be.Until = 0
	if e.Status != OK {
		b.eject(now, be)
		return
	}
	be.Server.Zone.Alive()
	be.heard, be.looked = now, now
	if l := e.Load; l != nil {
		be.queue, be.told = l.Queue+l.InFlight+l.Util, now
	}
	took, least := e.Elapsed.Seconds(), b.quickest[be.Member.Zone]
	if least *= 1.002; least == 0 || took < least {
		least = took
	}
	b.quickest[be.Member.Zone] = least
	b.usual += (took - least - b.usual) * 0.05
	be.wait = (took - least) / max(b.usual, 1e-6)
}
