// Package routing is the core of the gateway. It knows requests, attempts and
// outcomes, and no wire: fronts submit requests, a fleet carries out attempts,
// a counter adds numbers, and the decision module in package choice says what
// happens. One goroutine owns the module, its timers and the open requests.
package routing

import (
	"container/heap"
	"log"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
)

// Request is a client's try. A front fills it in and submits it once.
type Request struct {
	Class, Plan, Customer  string
	Deadline               time.Duration // on the core's clock: the client waits no longer
	Units                  float64
	Gateways, FirstGateway int
	IsRetry                bool
	Call                   any // what the fleet passes on; the core does not look at it
	Reply                  Reply

	// Fit gives the request its terms by the policy in force, or an error if that does
	// not allow it. Nil: it has them.
	ResolveTerms func() error

	// Spent tells that what has been sent of it can't be sent again. Nil: it always can.
	BodyConsumed func() bool

	id uint32
}

// Reply takes the one final answer to a request. Its methods must not block.
type Reply interface {
	Served(answer any)
	// Refused: to try again is harmless. A request that was tried met a fault of
	// the servers; one that was not is beyond its quota, or there is no room.
	Refused(retryAfter time.Duration, verdict Verdict)
	Failed(timedOut bool) // no promise
	Disallowed(err error) // the policy in force does not allow what it says; it was not tried
}

// Verdict tells whether a request may have run.
type Verdict int

// The verdicts.
const (
	NotAttempted Verdict = iota // it was sent to nobody
	NotExecuted                 // it was, and has not run: each that it was sent to has proved that
	MayHaveExecuted
)

// Member is a server of the list and where it listens.
type Member struct {
	choice.Member
	Addr string
	Name string // the id that the list has for it
}

// News is what discovery tells.
type DiscoveryUpdate struct {
	Members              []Member
	Whole, Saved, Broken bool
}

// Attempt names one attempt for as long as it is out. A probe has ID 0.
type Attempt struct {
	ID     uint32
	Number int
}

// Fleet carries out attempts. The core calls it from its own goroutine only,
// and hears of the ends by Core.Ended and Core.Probed. Nothing is heard of an
// attempt that was cancelled, or it is ignored.
type Fleet interface {
	Update(news DiscoveryUpdate)
	Send(server uint32, a Attempt, call any, left time.Duration)
	Probe(server uint32, a Attempt, left time.Duration)
	Cancel(server uint32, a Attempt)
}

// Counter adds to named numbers. It answers every Add once, by Core.Counted.
type Counter interface {
	Add(name string, amount float64, life time.Duration)
}

// Watcher starts and stops the news where the deployment wants to be asked.
type Watcher interface {
	Watch(on bool)
}

// Health hears how attempts and probes end, on the core's goroutine.
type HealthObserver interface {
	Observe(server uint32, status choice.Status)
}

// Gate tells by which version of the policy the core may decide, if any. It is asked
// with the time after a request has come, and looks at the lease before it compares.
type Gate interface {
	// May returns the version; with ok false none, and soon tells that it will be
	// over in a moment.
	Version(now func() time.Duration) (version int64, ok, soon bool)
}

// Hands are what the core acts through.
type Dependencies struct {
	Env           hostenv.Host // nil: the real one
	Fleet         Fleet
	Counter       Counter
	Watcher       Watcher
	Health        HealthObserver            // nil: nobody wants to hear
	Gate          Gate                      // nil: the settings of the start are in force for good
	MaxGateWait   time.Duration             // most that a request waits at the gate
	DiscardAnswer func(answer any)          // takes answers that come too late; nil: nobody has to
	PolicyApplied func(set choice.Settings) // hears of a policy that comes into force, before any request is decided by it
}

// Stats are totals since the start.
type Stats struct {
	Requests, Served, Refused, Failed, ClientsGone int
	Attempts, Probes, CounterCalls                 int
	Outcomes                                       [choice.NotExecuted + 1]int
	Open, Ready                                    int
	InFlight                                       int // attempts and probes under way
	WaitedAtGate, RefusedUnleased                  int // at the gate; refused there
	Version                                        int64
	Module                                         choice.Totals
}

// Core is the actor round the module.
type Core struct {
	box        *mailbox.Box[message]
	now        func() time.Duration
	hands      Dependencies
	bal        *choice.Balancer
	timers     timers
	seq        uint64 // keeps timers of one moment in order
	open       map[uint32]*open
	lastID     uint32
	probes     map[uint32]probe
	probed     int
	counts     map[string]time.Duration
	later      []choice.Outcome // of cancels, told once the module has finished its turn
	probeLimit time.Duration
	up         map[uint32]bool
	stats      Stats
	halted     bool
	told       bool          // the list came from discovery, not from the saved copy
	trust      time.Duration // from then on the saved copy has to do
	version    int64         // of the policy in the module
	waiting    []uint32      // requests at the gate, in order
	listed     map[uint32]bool
	counted    time.Duration // when view was brought up to date
	view       view
	rest
}

// view is what others may read at any time, without the core's turn.
type view struct{ listed, avoided, ready atomic.Int64 }

const viewEvery = 200 * time.Millisecond

// Ready is the number of servers that requests may go to.
func (c *Core) ReadyServers() int { return int(c.view.ready.Load()) }

// Targets are the servers in the list, and Avoided those of them that nothing is sent to now.
func (c *Core) ListedServers() int { return int(c.view.listed.Load()) }

// Avoided are the listed servers that this gateway keeps away from.
func (c *Core) EjectedServers() int { return int(c.view.avoided.Load()) }

func (c *Core) survey(now time.Duration) {
	c.counted = now
	c.view.listed.Store(int64(len(c.listed)))
	c.view.avoided.Store(int64(len(c.listed) - len(c.up) + c.bal.EjectedServers()))
	ready := 0
	if c.told || now >= c.trust {
		ready = len(c.up)
	}
	c.view.ready.Store(int64(ready))
}

type open struct {
	req      *Request
	came     time.Duration
	attempts []attempt
	out      int
	answered bool
}

type attempt struct {
	server uint32
	sent   time.Duration
	out    bool
	status choice.Status // its end
}

// verdict is what the attempts so far prove.
func (o *open) verdict() Verdict {
	v := NotAttempted
	for _, a := range o.attempts {
		if v = max(v, NotExecuted); a.out || a.status != choice.Overloaded && a.status != choice.ConnectFailed && a.status != choice.NotExecuted {
			return MayHaveExecuted
		}
	}
	return v
}

type probe struct {
	try  int
	sent time.Duration
}

// savedAfter is how long a gateway waits for discovery's word after its start.
// While discovery is down the saved list is better than none.
const savedAfter = 500 * time.Millisecond

type message interface {
	apply(c *Core, now time.Duration)
}

// New returns a core that acts through hands once it runs. now is its clock.
func New(set choice.Settings, seed uint64, now func() time.Duration, hands Dependencies) (*Core, error) {
	c := &Core{box: mailbox.NewBox[message](hands.Env), now: now, hands: hands, open: map[uint32]*open{},
		probes: map[uint32]probe{}, counts: map[string]time.Duration{}, up: map[uint32]bool{},
		listed: map[uint32]bool{}, rest: newRest(set, seed)}
	if c.probeLimit = set.ConnectTimeout; c.probeLimit <= 0 {
		c.probeLimit = time.Second
	}
	c.trust = now() + savedAfter
	var err error
	c.bal, err = choice.New(set, seed, (*actions)(c))
	return c, err
}

// Run serves until it is stopped.
func (c *Core) Run() {
	for !c.halted {
		c.turn(c.wait())
	}
}

// Stop ends Run. What is open then gets no answer.
func (c *Core) Stop() { c.box.Put(halt{}) }

// Close answers all that is open, at once, by what is known of it: the process is about to
// end, and nobody could tell its silence from a lost request. What comes later is as ever.
func (c *Core) AnswerOpen() { c.box.Put(closing{}) }

type closing struct{}

func (closing) apply(c *Core, now time.Duration) {
	ids := slices.Sorted(maps.Keys(c.open))
	for _, id := range c.waiting {
		(*actions)(c).Refuse(id, 0)
	}
	c.waiting = nil
	for _, id := range ids {
		if o := c.open[id]; o != nil && !o.answered {
			c.bal.AnswerNow(now, id)
		}
		c.settle()
	}
}

type halt struct{}

func (halt) apply(c *Core, _ time.Duration) { c.halted = true }

// wait is how long the core may sleep: until the next timer that does something.
func (c *Core) wait() time.Duration {
	for len(c.timers) > 0 && c.lapsed(c.timers[0]) {
		heap.Pop(&c.timers)
	}
	switch {
	case c.asleep:
		return max(0, c.until-c.now())
	case len(c.timers) == 0:
		return time.Second
	}
	return max(0, min(c.timers[0].at-c.now(), time.Second))
}

// turn takes what has come within the wait, and all timers that are due.
func (c *Core) turn(wait time.Duration) {
	got := c.box.Take(wait)
	now := c.now()
	beaten := c.asleep
	c.catchUp(now)
	for _, m := range got {
		m.apply(c, c.now())
		c.settle()
	}
	now = c.now()
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		t.fire(c, now)
		c.settle()
		beaten = beaten || t.token == choice.HousekeepingTimer
	}
	if now-c.counted >= viewEvery {
		c.survey(now)
	}
	c.doze(now, beaten)
}

// settle tells the module the ends of what it cancelled.
func (c *Core) settle() {
	for len(c.later) > 0 {
		o := c.later[0]
		c.later = c.later[1:]
		c.bal.HandleOutcome(c.now(), o)
	}
}

// Submit takes a request. Its Reply hears of the answer, whatever happens.
func (c *Core) Submit(r *Request) { c.box.Put(submitted{r}) }

// Sent tells that more of a submitted request's body has gone out: silence and time count
// from now on.
func (c *Core) BodyProgress(r *Request) { c.box.Put(sent{r}) }

type sent struct{ r *Request }

func (m sent) apply(c *Core, now time.Duration) {
	o := c.open[m.r.id]
	if o == nil || o.req != m.r {
		return
	}
	for try := range o.attempts {
		if a := &o.attempts[try]; a.out {
			a.sent = now
			c.bal.HandleBodyProgress(now, m.r.id, try)
		}
	}
}

// Gone tells that the client of a submitted request has left.
func (c *Core) ClientGone(r *Request) { c.box.Put(gone{r}) }

// Ended tells how an attempt ended.
func (c *Core) AttemptEnded(server uint32, a Attempt, status choice.Status, answer any, load *choice.Load) {
	c.box.Put(ended{server, a, status, answer, load})
}

// Probed tells how a probe ended.
func (c *Core) ProbeEnded(server uint32, a Attempt, status choice.Status, load *choice.Load) {
	c.box.Put(probed{server, a, status, load})
}

// Counted tells the end of a counter call.
func (c *Core) CounterEnded(name string, status choice.Status, total float64) {
	c.box.Put(counted{name, status, total})
}

// News tells what discovery has said.
func (c *Core) HandleDiscovery(n DiscoveryUpdate) { c.box.Put(n) }

// Stats asks for the totals; it waits for the core's turn.
func (c *Core) Stats() Stats {
	ask := &asked{bell: hostenv.OrReal(c.hands.Env).NewNotifier()}
	c.box.Put(ask)
	ask.bell.Wait(-1)
	return ask.stats
}

// Twins tells how many processes are this gateway.
func (c *Core) SetProcesses(n int) { c.box.Put(twins(n)) }

type twins int

func (m twins) apply(c *Core, _ time.Duration) { c.bal.SetProcesses(int(m)) }

// Hand asks for what the module knows; it waits for the core's turn.
func (c *Core) ExportState() choice.SavedState {
	ask := &hand{bell: hostenv.OrReal(c.hands.Env).NewNotifier()}
	c.box.Put(ask)
	ask.bell.Wait(-1)
	return ask.state
}

type hand struct {
	bell  hostenv.Notifier
	state choice.SavedState
}

func (m *hand) apply(c *Core, now time.Duration) {
	m.state = c.bal.ExportState(now)
	m.bell.Notify()
}

// Take gives the module what another process of this gateway knew. It waits for the core's
// turn, and reports what is strange about it: then nothing is taken.
func (c *Core) ImportState(s choice.SavedState) error {
	ask := &take{bell: hostenv.OrReal(c.hands.Env).NewNotifier(), state: s}
	c.box.Put(ask)
	ask.bell.Wait(-1)
	return ask.err
}

type take struct {
	bell  hostenv.Notifier
	state choice.SavedState
	err   error
}

func (m *take) apply(c *Core, now time.Duration) {
	m.err = c.bal.ImportState(now, m.state)
	m.bell.Notify()
}

type submitted struct{ r *Request }

func (m submitted) apply(c *Core, now time.Duration) {
	r := m.r
	for c.lastID++; c.lastID == 0 || c.open[c.lastID] != nil; c.lastID++ { // 0 is for probes
	}
	r.id = c.lastID
	c.open[r.id] = &open{req: r, came: now}
	c.stats.Requests++
	if c.hands.Gate != nil && !c.pass(now, r) {
		return
	}
	c.decide(now, r)
}

func (c *Core) decide(now time.Duration, r *Request) {
	if r.ResolveTerms != nil {
		if err := r.ResolveTerms(); err != nil {
			if reply := c.final(r.id); reply != nil {
				c.stats.Refused++
				reply.Disallowed(err)
			}
			return
		}
	}
	c.bal.HandleRequest(now, choice.Request{ID: r.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer,
		Deadline: r.Deadline, Units: r.Units, Gateways: r.Gateways, FirstGateway: r.FirstGateway, IsRetry: r.IsRetry})
}

type gone struct{ r *Request }

func (m gone) apply(c *Core, now time.Duration) {
	o := c.open[m.r.id]
	if o == nil || o.req != m.r || o.answered {
		return
	}
	o.answered = true // nobody is left to answer
	c.stats.ClientsGone++
	c.waiting = slices.DeleteFunc(c.waiting, func(id uint32) bool { return id == m.r.id })
	c.bal.HandleClientGone(now, m.r.id)
	c.forget(m.r.id, o)
}

type ended struct {
	server uint32
	Attempt
	status choice.Status
	answer any
	load   *choice.Load
}

// apply drops what comes late: an attempt has one end, and a request one answer.
func (m ended) apply(c *Core, now time.Duration) {
	o := c.open[m.ID]
	if o == nil || m.Number >= len(o.attempts) || !o.attempts[m.Number].out || o.attempts[m.Number].server != m.server {
		c.drop(m.answer)
		return
	}
	a := &o.attempts[m.Number]
	a.out, a.status = false, m.status
	o.out--
	c.stats.Outcomes[m.status]++
	c.heard(m.server, m.status)
	if m.status == choice.OK && !o.answered {
		o.answered = true
		c.stats.Served++
		o.req.Reply.Served(m.answer)
	} else {
		c.drop(m.answer)
	}
	c.bal.HandleOutcome(now, choice.Outcome{ID: m.ID, Attempt: m.Number, Backend: m.server, Status: m.status,
		Elapsed: now - a.sent, Final: o.answered, Load: m.load})
	c.forget(m.ID, o)
}

type probed struct {
	server uint32
	Attempt
	status choice.Status
	load   *choice.Load
}

func (m probed) apply(c *Core, now time.Duration) {
	p, ok := c.probes[m.server]
	if !ok || p.try != m.Number {
		return
	}
	delete(c.probes, m.server)
	c.heard(m.server, m.status)
	c.bal.HandleProbe(now, choice.ProbeResult{Backend: m.server, Status: m.status, Elapsed: now - p.sent, Load: m.load})
}

type counted struct {
	name   string
	status choice.Status
	total  float64
}

func (m counted) apply(c *Core, now time.Duration) {
	sent := c.counts[m.name]
	delete(c.counts, m.name)
	c.bal.HandleCounter(now, choice.CounterResult{Name: m.name, Status: m.status, Total: m.total, Elapsed: now - sent})
}

func (m DiscoveryUpdate) apply(c *Core, now time.Duration) {
	r := choice.RosterUpdate{Whole: m.Whole, Saved: m.Saved, Broken: m.Broken}
	if !m.Broken {
		if c.hands.Fleet.Update(m); m.Whole {
			clear(c.up)
			clear(c.listed)
		}
		for _, s := range m.Members {
			r.Members = append(r.Members, s.Member)
			if delete(c.up, s.ID); s.State == choice.Up {
				c.up[s.ID] = true
			}
			if delete(c.listed, s.ID); s.State != choice.Down {
				c.listed[s.ID] = true
			}
		}
		c.told = c.told || !m.Saved
	}
	c.bal.HandleRoster(now, r)
	c.survey(now)
}

type asked struct {
	bell  hostenv.Notifier
	stats Stats
}

func (m *asked) apply(c *Core, now time.Duration) {
	s := c.stats
	c.survey(now)
	s.Open, s.Ready = len(c.open), c.ReadyServers()
	s.InFlight, s.Module, s.Version = len(c.probes), c.bal.Totals(), c.version
	for _, o := range c.open {
		s.InFlight += o.out
	}
	m.stats = s
	m.bell.Notify()
}

func (c *Core) heard(server uint32, status choice.Status) {
	if c.hands.Health != nil {
		c.hands.Health.Observe(server, status)
	}
}

// drop gives up an answer that nobody takes.
func (c *Core) drop(answer any) {
	if c.hands.DiscardAnswer != nil {
		c.hands.DiscardAnswer(answer)
	}
}

func (c *Core) forget(id uint32, o *open) {
	if o.answered && o.out == 0 {
		delete(c.open, id)
	}
}

// actions is the Core as the module sees it.
type actions Core

func (x *actions) Send(id, backend uint32, limit time.Duration) {
	c := (*Core)(x)
	o := c.open[id]
	if o == nil {
		log.Printf("event=bug what=%q request=%d", "send for an unknown request", id)
		return
	}
	now := c.now()
	try := len(o.attempts)
	o.attempts = append(o.attempts, attempt{server: backend, sent: now, out: true})
	o.out++
	left := o.req.Deadline - now
	if limit > 0 {
		left = min(left, limit)
	}
	again := try > 0 && o.req.BodyConsumed != nil && o.req.BodyConsumed()
	if o.answered || left <= 0 || again { // the request is over: it must not go out
		o.attempts[try].out, o.attempts[try].status = false, choice.NotExecuted
		o.out--
		c.later = append(c.later, choice.Outcome{ID: id, Attempt: try, Backend: backend, Status: choice.NotExecuted, Final: o.answered})
		return
	}
	c.stats.Attempts++
	c.after(left, timer{kind: attemptTimer, id: id, try: try})
	c.hands.Fleet.Send(backend, Attempt{id, try}, o.req.Call, left)
}

func (x *actions) Refuse(id uint32, retryAfter time.Duration) {
	o := x.open[id]
	if r := (*Core)(x).final(id); r != nil {
		x.stats.Refused++
		r.Refused(retryAfter, o.verdict())
	}
}

func (x *actions) Fail(id uint32) {
	c := (*Core)(x)
	o := c.open[id]
	if r := c.final(id); r != nil {
		x.stats.Failed++
		// The module gives up a little before the deadline, in time to answer.
		r.Failed(c.now()+20*time.Millisecond >= o.req.Deadline)
	}
}

// final marks a request as answered and returns who hears of it.
func (c *Core) final(id uint32) Reply {
	o := c.open[id]
	if o == nil || o.answered {
		return nil
	}
	o.answered = true
	c.forget(id, o)
	return o.req.Reply
}

func (x *actions) Cancel(id uint32, try int) {
	c := (*Core)(x)
	if o := c.open[id]; o != nil && try < len(o.attempts) && o.attempts[try].out {
		c.stop(id, o, try, choice.Cancelled)
	}
}

// stop gives up an attempt that is out.
func (c *Core) stop(id uint32, o *open, try int, status choice.Status) {
	a := &o.attempts[try]
	a.out, a.status = false, status
	o.out--
	c.stats.Outcomes[status]++
	c.heard(a.server, status)
	c.hands.Fleet.Cancel(a.server, Attempt{id, try})
	c.later = append(c.later, choice.Outcome{ID: id, Attempt: try, Backend: a.server, Status: status,
		Elapsed: c.now() - a.sent, Final: o.answered})
	c.forget(id, o)
}

func (x *actions) Probe(backend uint32) {
	c := (*Core)(x)
	c.probed++
	c.stats.Probes++
	c.probes[backend] = probe{try: c.probed, sent: c.now()}
	c.after(c.probeLimit, timer{kind: probeTimer, id: backend, try: c.probed})
	c.hands.Fleet.Probe(backend, Attempt{0, c.probed}, c.probeLimit)
}

func (x *actions) AddToCounter(name string, add float64, life time.Duration) {
	c := (*Core)(x)
	c.stats.CounterCalls++
	c.counts[name] = c.now()
	c.hands.Counter.Add(name, add, life)
}

func (x *actions) SetTimer(after time.Duration, token string) {
	c := (*Core)(x)
	if token == choice.HousekeepingTimer {
		c.beat = after
	}
	c.after(after, timer{kind: moduleTimer, token: token, id: of(token)})
}

func (x *actions) Watch(on bool) { x.hands.Watcher.Watch(on) }

func (x *actions) Log(text string) { log.Printf("event=module text=%q", text) }

type timerKind int

const (
	moduleTimer timerKind = iota
	attemptTimer
	probeTimer
	gateTimer
)

type timer struct {
	at    time.Duration
	seq   uint64
	kind  timerKind
	token string
	id    uint32
	try   int
}

func (c *Core) after(d time.Duration, t timer) {
	c.seq++
	if t.seq = c.seq; c.played > 0 {
		t.at = c.played + d
	} else {
		t.at = c.now() + d
	}
	heap.Push(&c.timers, t)
}

func (t timer) fire(c *Core, now time.Duration) {
	switch t.kind {
	case moduleTimer:
		c.bal.HandleTimer(now, t.token)
	case attemptTimer:
		if o := c.open[t.id]; o != nil && t.try < len(o.attempts) && o.attempts[t.try].out {
			c.stop(t.id, o, t.try, choice.Timeout)
		}
	case gateTimer:
		c.look(now)
	case probeTimer:
		if p, ok := c.probes[t.id]; ok && p.try == t.try {
			c.hands.Fleet.Cancel(t.id, Attempt{0, t.try})
			probed{t.id, Attempt{0, t.try}, choice.Timeout, nil}.apply(c, now)
		}
	}
}

// timers is a heap, the earliest first.
type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
