// Package routing is the core of the gateway. It handles requests, attempts and
// outcomes independently of protocols: frontends submit requests, a Fleet executes
// attempts, a Counter adds numbers, and the Balancer of package choice decides. One
// goroutine owns the balancer, its timers and the open requests.
package routing

import (
	"container/heap"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
)

// Request is a client's request. A frontend fills it in and submits it once.
type Request struct {
	Class, Plan, Customer  string
	Deadline               time.Duration // on the core's clock: when the client stops waiting
	Units                  float64
	Gateways, FirstGateway int
	IsRetry                bool
	Call                   any // opaque to the core; passed to the fleet
	Reply                  Reply

	// ResolveTerms fills in what depends on the policy in force, or returns an error if
	// the policy doesn't allow the request. Nil: nothing is left to fill in.
	ResolveTerms func() error

	// BodyConsumed reports that the body can't be sent again. Nil: it always can.
	BodyConsumed func() bool

	id uint32
}

// Reply receives the one final answer to a request. Its methods must not block.
type Reply interface {
	Served(answer any)
	// Refused means that a retry is safe. If the request was attempted, servers
	// failed; if not, it is beyond its quota or there is no capacity.
	Refused(retryAfter time.Duration, verdict Verdict)
	Failed(timedOut bool) // the request may have run
	Disallowed(err error) // the policy in force doesn't allow the request; it was not attempted
}

// Verdict tells whether a request may have been executed.
type Verdict int

// The verdicts.
const (
	NotAttempted Verdict = iota // not sent to any server
	NotExecuted                 // sent, but each attempt has proof that it didn't run
	MayHaveExecuted
)

// Member is a server and its address.
type Member struct {
	choice.Member
	Addr string
	Name string // its id in discovery
}

// DiscoveryUpdate is a change of the server list. Its fields are those of choice.RosterUpdate.
type DiscoveryUpdate struct {
	Members              []Member
	Whole, Saved, Broken bool
}

// Attempt identifies a pending attempt or probe. Probes have ID 0.
type Attempt struct {
	ID     uint32
	Number int
}

// Fleet executes attempts. Only the core's goroutine calls it. It reports their ends
// by Core.AttemptEnded and Core.ProbeEnded; those of cancelled attempts are ignored.
type Fleet interface {
	Update(news DiscoveryUpdate)
	Send(server uint32, a Attempt, call any, left time.Duration)
	Probe(server uint32, a Attempt, left time.Duration)
	Cancel(server uint32, a Attempt)
}

// Counter adds to named numbers. It answers every Add once, by Core.CounterEnded.
type Counter interface {
	Add(name string, amount float64, life time.Duration)
}

// Watcher starts and stops discovery updates where they need a subscription.
type Watcher interface {
	Watch(on bool)
}

// HealthObserver is told how attempts and probes end, on the core's goroutine.
type HealthObserver interface {
	Observe(server uint32, status choice.Status)
}

// Gate tells by which policy version the core may decide, if any. It must read the
// clock after the request has arrived, so that an expired lease is never used.
type Gate interface {
	// Version returns the policy version. If ok is false there is none, and soon tells
	// that there will be one in a moment.
	Version(now func() time.Duration) (version int64, ok, soon bool)
}

// Dependencies are what the core acts through.
type Dependencies struct {
	Env           hostenv.Host // nil: the real environment
	Fleet         Fleet
	Counter       Counter
	Watcher       Watcher
	Health        HealthObserver            // nil: none
	Gate          Gate                      // nil: the initial settings stay in force
	MaxGateWait   time.Duration             // longest wait of a request at the gate
	DiscardAnswer func(answer any)          // releases responses that nobody receives; may be nil
	PolicyApplied func(set choice.Settings) // called before the first request is decided by a new policy
}

// Stats are totals since the start, and current figures.
type Stats struct {
	Requests, Served, Refused, Failed, ClientsGone int
	Attempts, Probes, CounterCalls                 int
	Outcomes                                       [choice.NotExecuted + 1]int
	Open, Ready                                    int
	InFlight                                       int // pending attempts and probes
	WaitedAtGate, RefusedUnleased                  int // at the gate: queued, and refused without a lease
	Version                                        int64
	Balancer                                       choice.Totals
}

// Core is the actor that owns the balancer.
type Core struct {
	inbox           *mailbox.Box[message]
	now             func() time.Duration
	deps            Dependencies
	balancer        *choice.Balancer
	timers          timers
	timerSeq        uint64 // orders timers of the same time
	requests        map[uint32]*openRequest
	lastID          uint32
	probes          map[uint32]probe
	probeCount      int
	counterCalls    map[string]time.Duration
	pendingOutcomes []choice.Outcome // of cancelled attempts, delivered after the balancer has returned
	probeTimeout    time.Duration
	upServers       map[uint32]bool
	stats           Stats
	stopped         bool
	discovered      bool          // the server list comes from discovery, not from the saved copy
	trustSavedAt    time.Duration // when the saved copy becomes good enough
	policyVersion   int64         // of the policy in the balancer
	gateQueue       []uint32      // requests waiting at the gate, in order
	listedServers   map[uint32]bool
	viewUpdatedAt   time.Duration // last update of view
	view            view
	sleepState
}

// view holds figures that other goroutines may read at any time.
type view struct{ listed, ejected, ready atomic.Int64 }

const viewPeriod = 200 * time.Millisecond

// ReadyServers is the number of servers that requests may go to.
func (c *Core) ReadyServers() int { return int(c.view.ready.Load()) }

// ListedServers is the number of servers in the list.
func (c *Core) ListedServers() int { return int(c.view.listed.Load()) }

// EjectedServers is the number of listed servers that get no requests now.
func (c *Core) EjectedServers() int { return int(c.view.ejected.Load()) }

func (c *Core) updateView(now time.Duration) {
	c.viewUpdatedAt = now
	c.view.listed.Store(int64(len(c.listedServers)))
	c.view.ejected.Store(int64(len(c.listedServers) - len(c.upServers) + c.balancer.EjectedServers()))
	ready := 0
	if c.discovered || now >= c.trustSavedAt {
		ready = len(c.upServers)
	}
	c.view.ready.Store(int64(ready))
}

type openRequest struct {
	req       *Request
	arrivedAt time.Duration
	attempts  []attempt
	inFlight  int
	answered  bool
}

type attempt struct {
	server  uint32
	sent    time.Duration
	pending bool
	status  choice.Status // once it has ended
}

// verdict tells what the attempts so far prove.
func (o *openRequest) verdict() Verdict {
	v := NotAttempted
	for _, a := range o.attempts {
		if v = max(v, NotExecuted); a.pending || a.status != choice.Overloaded && a.status != choice.ConnectFailed && a.status != choice.NotExecuted {
			return MayHaveExecuted
		}
	}
	return v
}

type probe struct {
	number int
	sent   time.Duration
}

// savedListDelay is how long a gateway waits for discovery after its start before it uses
// the saved server list. While discovery is down, that list is better than none.
const savedListDelay = 500 * time.Millisecond

type message interface {
	apply(c *Core, now time.Duration)
}

// New returns a core that acts through deps once it runs. now is its clock.
func New(set choice.Settings, seed uint64, now func() time.Duration, deps Dependencies) (*Core, error) {
	c := &Core{inbox: mailbox.NewBox[message](deps.Env), now: now, deps: deps, requests: map[uint32]*openRequest{},
		probes: map[uint32]probe{}, counterCalls: map[string]time.Duration{}, upServers: map[uint32]bool{},
		listedServers: map[uint32]bool{}, sleepState: newSleepState(set, seed)}
	if c.probeTimeout = set.ConnectTimeout; c.probeTimeout <= 0 {
		c.probeTimeout = time.Second
	}
	c.trustSavedAt = now() + savedListDelay
	var err error
	c.balancer, err = choice.New(set, seed, (*actions)(c))
	return c, err
}

// Run processes messages and timers until Stop.
func (c *Core) Run() {
	for !c.stopped {
		c.runOnce(c.nextWake())
	}
}

// Stop ends Run. Open requests then get no answer.
func (c *Core) Stop() { c.inbox.Put(stop{}) }

// AnswerOpen answers all open requests at once, by what is known of them: the process is
// about to exit, and clients couldn't tell its silence from a lost request. Later requests
// are processed as usual.
func (c *Core) AnswerOpen() { c.inbox.Put(answerOpen{}) }

type answerOpen struct{}

func (answerOpen) apply(c *Core, now time.Duration) {
	ids := slices.Sorted(maps.Keys(c.requests))
	for _, id := range c.gateQueue {
		(*actions)(c).Refuse(id, 0)
	}
	c.gateQueue = nil
	for _, id := range ids {
		if o := c.requests[id]; o != nil && !o.answered {
			c.balancer.AnswerNow(now, id)
		}
		c.deliverOutcomes()
	}
}

type stop struct{}

func (stop) apply(c *Core, _ time.Duration) { c.stopped = true }

// nextWake is how long the core may block: until the next timer that isn't expired.
func (c *Core) nextWake() time.Duration {
	for len(c.timers) > 0 && c.expired(c.timers[0]) {
		heap.Pop(&c.timers)
	}
	switch {
	case c.asleep:
		return max(0, c.wakeAt-c.now())
	case len(c.timers) == 0:
		return time.Second
	}
	return max(0, min(c.timers[0].at-c.now(), time.Second))
}

// runOnce processes the messages that arrive within wait, and all timers that are due.
func (c *Core) runOnce(wait time.Duration) {
	got := c.inbox.Take(wait)
	now := c.now()
	housekept := c.asleep
	c.replayMissed(now)
	for _, m := range got {
		m.apply(c, c.now())
		c.deliverOutcomes()
	}
	now = c.now()
	for len(c.timers) > 0 && c.timers[0].at <= now {
		t := heap.Pop(&c.timers).(timer)
		t.fire(c, now)
		c.deliverOutcomes()
		housekept = housekept || t.token == choice.HousekeepingTimer
	}
	if now-c.viewUpdatedAt >= viewPeriod {
		c.updateView(now)
	}
	c.trySleep(now, housekept)
}

// deliverOutcomes tells the balancer the ends of attempts that it cancelled.
func (c *Core) deliverOutcomes() {
	for len(c.pendingOutcomes) > 0 {
		o := c.pendingOutcomes[0]
		c.pendingOutcomes = c.pendingOutcomes[1:]
		c.balancer.HandleOutcome(c.now(), o)
	}
}

// Submit takes a request. Its Reply always gets an answer, unless the client leaves.
func (c *Core) Submit(r *Request) { c.inbox.Put(submitted{r}) }

// BodyProgress records that more of a submitted request's body was sent: the server's
// silence and latency count from now on.
func (c *Core) BodyProgress(r *Request) { c.inbox.Put(bodyProgress{r}) }

type bodyProgress struct{ r *Request }

func (m bodyProgress) apply(c *Core, now time.Duration) {
	o := c.requests[m.r.id]
	if o == nil || o.req != m.r {
		return
	}
	for number := range o.attempts {
		if a := &o.attempts[number]; a.pending {
			a.sent = now
			c.balancer.HandleBodyProgress(now, m.r.id, number)
		}
	}
}

// ClientGone tells that the client of a submitted request has disconnected.
func (c *Core) ClientGone(r *Request) { c.inbox.Put(clientGone{r}) }

// AttemptEnded tells how an attempt ended.
func (c *Core) AttemptEnded(server uint32, a Attempt, status choice.Status, answer any, load *choice.Load) {
	c.inbox.Put(attemptEnded{server, a, status, answer, load})
}

// ProbeEnded tells how a probe ended.
func (c *Core) ProbeEnded(server uint32, a Attempt, status choice.Status, load *choice.Load) {
	c.inbox.Put(probeEnded{server, a, status, load})
}

// CounterEnded tells how a counter call ended.
func (c *Core) CounterEnded(name string, status choice.Status, total float64) {
	c.inbox.Put(counterEnded{name, status, total})
}

// HandleDiscovery takes a change of the server list.
func (c *Core) HandleDiscovery(n DiscoveryUpdate) { c.inbox.Put(n) }

// Stats returns the totals. It waits for the core's goroutine.
func (c *Core) Stats() Stats {
	ask := &statsRequest{bell: hostenv.OrReal(c.deps.Env).NewNotifier()}
	c.inbox.Put(ask)
	ask.bell.Wait(-1)
	return ask.stats
}

// SetProcesses sets how many processes share this gateway's identity.
func (c *Core) SetProcesses(n int) { c.inbox.Put(processCount(n)) }

type processCount int

func (m processCount) apply(c *Core, _ time.Duration) { c.balancer.SetProcesses(int(m)) }

// ExportState returns the balancer's state. It waits for the core's goroutine.
func (c *Core) ExportState() choice.SavedState {
	ask := &exportRequest{bell: hostenv.OrReal(c.deps.Env).NewNotifier()}
	c.inbox.Put(ask)
	ask.bell.Wait(-1)
	return ask.state
}

type exportRequest struct {
	bell  hostenv.Notifier
	state choice.SavedState
}

func (m *exportRequest) apply(c *Core, now time.Duration) {
	m.state = c.balancer.ExportState(now)
	m.bell.Notify()
}

// ImportState gives the balancer the state of another process of this gateway, or returns
// an error if the state is invalid. It waits for the core's goroutine.
func (c *Core) ImportState(s choice.SavedState) error {
	ask := &importRequest{bell: hostenv.OrReal(c.deps.Env).NewNotifier(), state: s}
	c.inbox.Put(ask)
	ask.bell.Wait(-1)
	return ask.err
}

type importRequest struct {
	bell  hostenv.Notifier
	state choice.SavedState
	err   error
}

func (m *importRequest) apply(c *Core, now time.Duration) {
	m.err = c.balancer.ImportState(now, m.state)
	m.bell.Notify()
}

type submitted struct{ r *Request }

func (m submitted) apply(c *Core, now time.Duration) {
	r := m.r
	for c.lastID++; c.lastID == 0 || c.requests[c.lastID] != nil; c.lastID++ { // 0 is for probes
	}
	r.id = c.lastID
	c.requests[r.id] = &openRequest{req: r, arrivedAt: now}
	c.stats.Requests++
	if c.deps.Gate != nil && !c.passGate(now, r) {
		return
	}
	c.decide(now, r)
}

func (c *Core) decide(now time.Duration, r *Request) {
	if r.ResolveTerms != nil {
		if err := r.ResolveTerms(); err != nil {
			if reply := c.takeReply(r.id); reply != nil {
				c.stats.Refused++
				reply.Disallowed(err)
			}
			return
		}
	}
	c.balancer.HandleRequest(now, choice.Request{ID: r.id, Class: r.Class, Plan: r.Plan, Customer: r.Customer,
		Deadline: r.Deadline, Units: r.Units, Gateways: r.Gateways, FirstGateway: r.FirstGateway, IsRetry: r.IsRetry})
}

type clientGone struct{ r *Request }

func (m clientGone) apply(c *Core, now time.Duration) {
	o := c.requests[m.r.id]
	if o == nil || o.req != m.r || o.answered {
		return
	}
	o.answered = true // no answer can be delivered
	c.stats.ClientsGone++
	c.gateQueue = slices.DeleteFunc(c.gateQueue, func(id uint32) bool { return id == m.r.id })
	c.balancer.HandleClientGone(now, m.r.id)
	c.removeIfDone(m.r.id, o)
}

type attemptEnded struct {
	server uint32
	Attempt
	status choice.Status
	answer any
	load   *choice.Load
}

// apply ignores late ends: an attempt has one end, and a request one answer.
func (m attemptEnded) apply(c *Core, now time.Duration) {
	o := c.requests[m.ID]
	if o == nil || m.Number >= len(o.attempts) || !o.attempts[m.Number].pending || o.attempts[m.Number].server != m.server {
		c.discard(m.answer)
		return
	}
	a := &o.attempts[m.Number]
	a.pending, a.status = false, m.status
	o.inFlight--
	c.stats.Outcomes[m.status]++
	c.observe(m.server, m.status)
	if m.status == choice.OK && !o.answered {
		o.answered = true
		c.stats.Served++
		o.req.Reply.Served(m.answer)
	} else {
		c.discard(m.answer)
	}
	c.balancer.HandleOutcome(now, choice.Outcome{ID: m.ID, Attempt: m.Number, Backend: m.server, Status: m.status,
		Elapsed: now - a.sent, Final: o.answered, Load: m.load})
	c.removeIfDone(m.ID, o)
}

type probeEnded struct {
	server uint32
	Attempt
	status choice.Status
	load   *choice.Load
}

func (m probeEnded) apply(c *Core, now time.Duration) {
	p, ok := c.probes[m.server]
	if !ok || p.number != m.Number {
		return
	}
	delete(c.probes, m.server)
	c.observe(m.server, m.status)
	c.balancer.HandleProbe(now, choice.ProbeResult{Backend: m.server, Status: m.status, Elapsed: now - p.sent, Load: m.load})
}

type counterEnded struct {
	name   string
	status choice.Status
	total  float64
}

func (m counterEnded) apply(c *Core, now time.Duration) {
	sent := c.counterCalls[m.name]
	delete(c.counterCalls, m.name)
	c.balancer.HandleCounter(now, choice.CounterResult{Name: m.name, Status: m.status, Total: m.total, Elapsed: now - sent})
}

func (m DiscoveryUpdate) apply(c *Core, now time.Duration) {
	r := choice.RosterUpdate{Whole: m.Whole, Saved: m.Saved, Broken: m.Broken}
	if !m.Broken {
		if c.deps.Fleet.Update(m); m.Whole {
			clear(c.upServers)
			clear(c.listedServers)
		}
		for _, s := range m.Members {
			r.Members = append(r.Members, s.Member)
			if delete(c.upServers, s.ID); s.State == choice.Up {
				c.upServers[s.ID] = true
			}
			if delete(c.listedServers, s.ID); s.State != choice.Down {
				c.listedServers[s.ID] = true
			}
		}
		c.discovered = c.discovered || !m.Saved
	}
	c.balancer.HandleRoster(now, r)
	c.updateView(now)
}

type statsRequest struct {
	bell  hostenv.Notifier
	stats Stats
}

func (m *statsRequest) apply(c *Core, now time.Duration) {
	s := c.stats
	c.updateView(now)
	s.Open, s.Ready = len(c.requests), c.ReadyServers()
	s.InFlight, s.Balancer, s.Version = len(c.probes), c.balancer.Totals(), c.policyVersion
	for _, o := range c.requests {
		s.InFlight += o.inFlight
	}
	m.stats = s
	m.bell.Notify()
}

func (c *Core) observe(server uint32, status choice.Status) {
	if c.deps.Health != nil {
		c.deps.Health.Observe(server, status)
	}
}

// discard releases a response that nobody receives.
func (c *Core) discard(answer any) {
	if c.deps.DiscardAnswer != nil {
		c.deps.DiscardAnswer(answer)
	}
}

func (c *Core) removeIfDone(id uint32, o *openRequest) {
	if o.answered && o.inFlight == 0 {
		delete(c.requests, id)
	}
}
