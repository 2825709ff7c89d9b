// Package dns finds the targets of SRV records (RFC 2782) and keeps them current:
// a small resolver that asks recursive or authoritative name servers, honours
// lifetimes, and never takes a part of an answer for a list.
//
// What it decides (which server is asked, how long an answer counts, whether one
// that drops much of the list is believed) is in rules.go and answer.go, free of
// I/O and clocks. The actor here carries it out.
package dns

import (
	"errors"
	"fmt"
	"log"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"
	"golang.org/x/time/rate"

	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
)

// Options are what a resolver is told. Those it runs with can be changed.
type Options struct {
	World    hostenv.Host // nil: the real one
	Servers  []string     // name servers, ip:port
	Names    []string     // of SRV records
	Families []uint16     // dns.TypeA, dns.TypeAAAA, in order of preference
	Timeout  time.Duration
	Attempts int     // for one question, over all servers
	PerSec   float64 // queries
	Most     int     // queries under way
	Life     Life
	Guard    Guard
	Back     time.Duration // a name server that has failed is left alone so long at first
	MostBack time.Duration
	Seed     uint64
}

// Kind is what an Event tells.
type Kind int

// The kinds of events.
const (
	Answered Kind = iota // Targets is the whole list
	Stale                // the last list has outlived its time, and name servers fail
	Lost                 // and has been stale for too long
	Dropped              // the name is no longer asked for
)

func (k Kind) String() string { return []string{"answered", "stale", "lost", "dropped"}[k] }

// Event is news of one SRV name.
type Event struct {
	Name    string
	Kind    Kind
	Targets []Target
	None    bool // decidedly no service
}

// Resolver is the actor.
type Resolver struct {
	opt     Options
	tell    func(Event)
	world   hostenv.Host
	box     *mailbox.Box[any]
	rng     *rand.Rand
	counts  Counters
	servers Servers
	bucket  *rate.Limiter

	names   map[string]*service
	hosts   map[string]*host
	queries map[question]*query
	ready   []*query // to be sent
	steps   atomic.Int64
	flying  int
}

// service is one SRV name.
type service struct {
	name     string
	at       time.Time // of the next question
	asked    time.Time
	busy     bool
	fails    int
	tcp      bool // the last answer did not fit a datagram
	guard    Guard
	from     string // server of the last answer
	answered bool
	list     []Target // what counts, without addresses
	glue     map[string][]netip.Addr
	none     bool
	ends     time.Time
	stale    bool
	lost     bool
	dirty    bool      // a target's addresses have changed
	gap      time.Time // no publication for that alone before
	told     []Target  // with addresses
	toldNone bool
}

// host is a target whose addresses did not come along.
type host struct {
	name    string
	at      time.Time // of the next question
	pending int       // questions under way
	fails   int
	failed  bool          // one of those under way has
	ttl     time.Duration // least of those under way
	next    map[uint16][]netip.Addr
	addrs   map[uint16][]netip.Addr // by family
	known   bool
}

// query is one question under way; nobody asks it twice at once.
type query struct {
	question
	tries   int
	tcp     bool
	avoid   []string
	waiting []func(reply)
}

type reply struct {
	server string
	m      *dns.Msg
	cut    bool
	err    error
}

type (
	done struct {
		q *query
		reply
	}
	configure struct{ opt Options }
	hurry     struct{}
	quit      struct{}
)

// NewResolver returns a resolver that tells its news through tell, from its own
// goroutine.
func NewResolver(opt Options, tell func(Event)) *Resolver {
	opt.World = hostenv.OrReal(opt.World)
	r := &Resolver{tell: tell, world: opt.World, box: mailbox.NewBox[any](opt.World), rng: rand.New(rand.NewPCG(opt.Seed, 0x5372)),
		names: map[string]*service{}, hosts: map[string]*host{}, queries: map[question]*query{}}
	r.configure(r.world.Now(), opt)
	return r
}

// Configure goes on with other options. Names that are new are asked for at once,
// and those that are gone told as dropped.
func (r *Resolver) Configure(opt Options) { r.box.Put(configure{opt}) }

// Hurry asks anew before the answers' time is up, since a server does not answer,
// but no sooner than the least lifetime after the last question.
func (r *Resolver) Hurry() { r.box.Put(hurry{}) }

// Counters are the totals since the start.
func (r *Resolver) Counters() *Counters { return &r.counts }

// Stop ends Run.
func (r *Resolver) Stop() { r.box.Put(quit{}) }

// Run resolves until it is stopped.
func (r *Resolver) Run() {
	for {
		for _, m := range r.box.Take(r.step(r.world.Now())) {
			now := r.world.Now()
			switch m := m.(type) {
			case quit:
				return
			case configure:
				r.configure(now, m.opt)
			case hurry:
				for _, s := range r.names {
					if soon := s.asked.Add(r.opt.Life.Min); s.answered && soon.Before(s.at) {
						s.at = soon
					}
				}
			case done:
				r.done(now, m)
			}
		}
	}
}

func (r *Resolver) configure(now time.Time, opt Options) {
	r.opt = opt
	r.servers.Back, r.servers.Most = opt.Back, opt.MostBack
	r.servers.Set(opt.Servers)
	if r.bucket == nil {
		r.bucket = rate.NewLimiter(rate.Limit(opt.PerSec), max(1, int(opt.PerSec)))
	} else {
		r.bucket.SetLimitAt(now, rate.Limit(opt.PerSec))
		r.bucket.SetBurstAt(now, max(1, int(opt.PerSec)))
	}
	for _, name := range slices.Sorted(maps.Keys(r.names)) {
		if !slices.Contains(opt.Names, name) {
			delete(r.names, name)
			r.tell(Event{Name: name, Kind: Dropped})
		}
	}
	for _, name := range opt.Names {
		s := r.names[name]
		if s == nil {
			s = &service{name: name}
			r.names[name] = s
		}
		s.at = now
		s.guard.Share, s.guard.Least, s.guard.Hold = opt.Guard.Share, opt.Guard.Least, opt.Guard.Hold
	}
}

// gather is how long changes of targets' addresses are gathered.
const gather = 20 * time.Millisecond

// step begins what is due, and tells how long nothing else will be.
func (r *Resolver) step(now time.Time) time.Duration {
	r.steps.Add(1)
	next := now.Add(time.Hour)
	soon := func(t time.Time) {
		if t.Before(next) {
			next = t
		}
	}
	for _, name := range r.opt.Names { // in this order, not the map's
		s := r.names[name]
		r.age(now, s)
		switch { // when it ages next
		case !s.answered || s.lost:
		case s.stale:
			soon(s.ends.Add(r.opt.Life.Stale))
		default:
			soon(s.ends)
		}
		if s.dirty && !s.gap.After(now) { // thousands of targets resolve one by one
			s.dirty, s.gap = false, now.Add(gather)
			r.publish(s)
		} else if s.dirty {
			soon(s.gap)
		}
		if s.busy {
			continue
		}
		if s.at.After(now) {
			soon(s.at)
			continue
		}
		r.refresh(now, s)
	}
	var due []*host
	for _, h := range r.hosts {
		switch {
		case h.pending > 0:
		case h.at.After(now):
			soon(h.at)
		default:
			due = append(due, h)
		}
	}
	slices.SortFunc(due, func(a, b *host) int { return strings.Compare(a.name, b.name) }) // not the map's order
	for _, h := range due {
		r.resolve(h)
	}
	if wait := r.pump(now); wait > 0 {
		soon(now.Add(wait))
	}
	return max(0, next.Sub(now))
}

// age tells of an answer that has outlived its time.
func (r *Resolver) age(now time.Time, s *service) {
	if !s.answered || now.Before(s.ends) {
		return
	}
	if !s.stale {
		s.stale = true
		r.counts.Stale.Add(1)
		log.Printf("event=srv name=%s what=%q", s.name, "stale: no answer within the lifetime of the last")
		r.tell(Event{Name: s.name, Kind: Stale})
	}
	if !s.lost && !now.Before(s.ends.Add(r.opt.Life.Stale)) {
		s.lost = true
		r.counts.Lost.Add(1)
		log.Printf("event=srv name=%s what=%q", s.name, "lost: stale for too long")
		r.tell(Event{Name: s.name, Kind: Lost})
	}
}

// refresh asks for one name, and for what its aliases lead to.
func (r *Resolver) refresh(now time.Time, s *service) {
	s.busy, s.asked = true, now
	var avoid []string
	if s.guard.missing != nil {
		avoid = []string{s.guard.from}
	}
	seen := map[string]bool{}
	least := time.Duration(1<<63 - 1)
	var follow func(name string)
	follow = func(name string) {
		q := question{name, dns.TypeSRV}
		r.ask(q, s.tcp, avoid, func(a reply) {
			now := r.world.Now()
			if r.names[s.name] != s {
				return
			}
			if a.err != nil {
				r.failed(now, s, a.err)
				return
			}
			s.tcp = a.cut
			f, err := interpret(a.m, q, seen)
			if err != nil {
				r.counts.Malformed.Add(1)
				r.servers.Failed(now, a.server)
				r.failed(now, s, fmt.Errorf("server %s: %w", a.server, err))
				return
			}
			if least = min(least, f.ttl); f.alias != "" {
				follow(f.alias)
				return
			}
			f.ttl = least
			r.found(now, s, a.server, f)
		})
	}
	follow(s.name)
}

func (r *Resolver) failed(now time.Time, s *service, err error) {
	s.busy = false
	s.fails++
	s.at = now.Add(r.opt.Life.Again(s.fails, r.rng))
	if s.fails < 4 || s.fails%10 == 0 {
		log.Printf("event=srv name=%s failed=%d error=%q", s.name, s.fails, err)
	}
}

// found takes a whole answer.
func (r *Resolver) found(now time.Time, s *service, server string, f found) {
	s.busy, s.fails = false, 0
	v := s.guard.Judge(now, server, s.list, f.srv)
	if v.Stood {
		r.counts.Refuted.Add(1)
		log.Printf("event=srv name=%s server=%s what=%q", s.name, server, "a second answer has what the one before lacked")
	}
	life := r.opt.Life.Bound(f.ttl, f.none)
	s.at = now.Add(r.opt.Life.Refresh(life, r.rng))
	if !v.Sure {
		if s.guard.since.Equal(now) { // a new one
			r.counts.Shrinks.Add(1)
			log.Printf("event=srv name=%s server=%s missing=%d of=%d what=%q", s.name, server, v.Held, len(s.list),
				"kept until a second answer lacks them too")
		}
		if again := s.guard.Due(); r.servers.Others(now, s.guard.from) && server == s.guard.from {
			s.at = now // another server decides at once
			if len(s.told) > 0 && s.asked.Add(r.opt.Life.Min).After(now) {
				s.at = s.asked.Add(r.opt.Life.Min)
			}
		} else if again.Before(s.at) {
			s.at = again
		}
	}
	s.from, s.ends = server, now.Add(life)
	s.list, s.none = v.List, f.none && len(v.List) == 0
	if s.glue == nil || v.Held == 0 {
		s.glue = f.glue
	} else {
		for h, a := range f.glue {
			s.glue[h] = a
		}
	}
	for _, t := range s.list {
		if len(s.glue[t.Host]) == 0 && r.hosts[t.Host] == nil {
			r.hosts[t.Host] = &host{name: t.Host, at: now, addrs: map[uint16][]netip.Addr{}}
		}
	}
	s.answered = true
	r.forget()
	r.publish(s)
}

// forget drops hosts that no service needs.
func (r *Resolver) forget() {
	need := map[string]bool{}
	for _, s := range r.names {
		for _, t := range s.list {
			if len(s.glue[t.Host]) == 0 {
				need[t.Host] = true
			}
		}
	}
	for name := range r.hosts {
		if !need[name] {
			delete(r.hosts, name)
		}
	}
}

// publish tells a service's list, once all addresses are known or have failed and
// if anything is new.
func (r *Resolver) publish(s *service) {
	if !s.answered {
		return
	}
	list := make([]Target, len(s.list))
	waiting := 0
	for i, t := range s.list {
		t.Addrs = r.addrs(s, t.Host)
		if h := r.hosts[t.Host]; len(t.Addrs) == 0 && h != nil && !h.known && h.fails == 0 {
			waiting++
		}
		list[i] = t
	}
	// The first list is told whole: what comes later counts as just started.
	if waiting > 0 && s.told == nil {
		return
	}
	if !s.stale && s.told != nil && s.none == s.toldNone && slices.EqualFunc(list, s.told, sameTarget) {
		return
	}
	s.told, s.toldNone, s.stale, s.lost = list, s.none, false, false
	r.tell(Event{Name: s.name, Kind: Answered, Targets: list, None: s.none})
}

func sameTarget(a, b Target) bool {
	return a.Host == b.Host && a.Port == b.Port && a.Priority == b.Priority && a.Weight == b.Weight &&
		slices.Equal(a.Addrs, b.Addrs)
}

func (r *Resolver) addrs(s *service, name string) (addrs []netip.Addr) {
	if g := s.glue[name]; len(g) > 0 {
		for _, kind := range r.opt.Families {
			for _, a := range g {
				if a.Is4() == (kind == dns.TypeA) {
					addrs = append(addrs, a)
				}
			}
		}
		return addrs
	}
	if h := r.hosts[name]; h != nil {
		for _, kind := range r.opt.Families {
			addrs = append(addrs, h.addrs[kind]...)
		}
	}
	return addrs
}

// resolve asks for the addresses of a target, of all families at once.
func (r *Resolver) resolve(h *host) {
	h.pending, h.failed, h.ttl = len(r.opt.Families), false, 1<<63-1
	h.next = map[uint16][]netip.Addr{}
	for _, kind := range r.opt.Families {
		seen := map[string]bool{}
		var follow func(name string)
		follow = func(name string) {
			q := question{name, kind}
			r.ask(q, false, nil, func(a reply) {
				if r.hosts[h.name] != h {
					return
				}
				f, err := found{}, a.err
				if err == nil {
					if f, err = interpret(a.m, q, seen); err != nil {
						r.counts.Malformed.Add(1)
						r.servers.Failed(r.world.Now(), a.server)
					}
				}
				switch {
				case err != nil:
					h.failed = true
				case f.alias != "":
					h.ttl = min(h.ttl, f.ttl)
					follow(f.alias)
					return
				default:
					h.next[kind] = f.addrs
					h.ttl = min(h.ttl, r.opt.Life.Bound(f.ttl, f.none))
				}
				if h.pending--; h.pending == 0 {
					r.resolved(r.world.Now(), h)
				}
			})
		}
		follow(h.name)
	}
}

// resolved takes the addresses. A family that failed keeps what it had.
func (r *Resolver) resolved(now time.Time, h *host) {
	if h.failed {
		h.fails++
		h.at = now.Add(r.opt.Life.Again(h.fails, r.rng))
	} else {
		h.fails, h.known = 0, true
		h.at = now.Add(r.opt.Life.Refresh(r.opt.Life.Bound(h.ttl, false), r.rng))
	}
	for kind, addrs := range h.next {
		h.addrs[kind] = addrs
	}
	for _, name := range r.opt.Names {
		if s := r.names[name]; s != nil && slices.ContainsFunc(s.list, func(t Target) bool { return t.Host == h.name }) {
			s.dirty = true
		}
	}
}

// ask puts a question, or joins the one under way.
func (r *Resolver) ask(q question, tcp bool, avoid []string, then func(reply)) {
	if o := r.queries[q]; o != nil {
		r.counts.Merged.Add(1)
		o.waiting = append(o.waiting, then)
		return
	}
	o := &query{question: q, tcp: tcp, avoid: avoid, waiting: []func(reply){then}}
	r.queries[q] = o
	r.ready = append(r.ready, o)
}

// pump sends what may be sent now, and tells how long the next has to wait.
func (r *Resolver) pump(now time.Time) time.Duration {
	for len(r.ready) > 0 && r.flying < r.opt.Most {
		if !r.bucket.AllowN(now, 1) {
			return time.Duration(float64(time.Second) * max(0.001, (1-r.bucket.TokensAt(now))/r.opt.PerSec))
		}
		q := r.ready[0]
		r.ready[0] = nil
		r.ready = r.ready[1:]
		r.flying++
		server, bare := r.servers.Pick(now, q.avoid...)
		x := exchanger{r.world, r.opt.Timeout, &r.counts}
		r.world.Go(func() {
			m, cut, err := x.exchange(server, q.question, bare, q.tcp)
			r.box.Put(done{q, reply{server, m, cut, err}})
		})
	}
	return 0
}

// done takes the end of one try.
func (r *Resolver) done(now time.Time, d done) {
	r.flying--
	q := d.q
	if d.err == nil {
		r.servers.Answered(d.server)
		r.end(q, d.reply)
		return
	}
	q.tries++
	q.tcp = q.tcp || d.cut
	if errors.Is(d.err, errFormat) {
		r.servers.Bare(d.server) // it is asked again without
	} else {
		r.servers.Failed(now, d.server)
		q.avoid = append(slices.Clone(q.avoid), d.server)
	}
	if q.tries < r.opt.Attempts {
		r.ready = append(r.ready, q)
		return
	}
	r.end(q, reply{d.server, nil, d.cut, fmt.Errorf("%s: server %s: %w", q.question, d.server, d.err)})
}

func (r *Resolver) end(q *query, a reply) {
	delete(r.queries, q.question)
	for _, then := range q.waiting {
		then(a)
	}
}

// HostPort is an address of a target as the transport dials it.
func (t Target) HostPort(a netip.Addr) string {
	return netip.AddrPortFrom(a, t.Port).String()
}

// String is the target's name and port.
func (t Target) String() string { return t.Host + ":" + strconv.Itoa(int(t.Port)) }
