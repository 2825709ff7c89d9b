package program

import (
	"log"
	"reflect"
	"sync/atomic"
	"time"

	"asterwell/choice"
	"asterwell/internal/dns"
	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
	"asterwell/internal/routing"
	"asterwell/internal/serverset"
)

// members is the actor that owns the membership: it hears the resolver, the list
// and the core's outcomes, and tells the core what changes. A nil one stands for a
// gateway that goes by the list alone.
type members struct {
	world    hostenv.Host
	conf     *SRV
	seed     uint64
	now      func() time.Duration
	box      *mailbox.Box[any]
	resolver *dns.Resolver
	is       *serverset.Set
	tell     func(routing.DiscoveryUpdate)
	told     bool // the core knows that a source has spoken
	begun    bool // the core has heard anything
	trust    atomic.Bool
	stats    atomic.Pointer[serverset.Stats]

	failing map[uint32]bool // on the core's goroutine: those that answered last are left out
}

type (
	outcome struct {
		server uint32
		status choice.Status
	}
	listOK  struct{}
	srvConf struct{ *SRV }
)

func newMembers(world hostenv.Host, conf *SRV, seed uint64, now func() time.Duration) *members {
	if !conf.Enabled {
		return nil
	}
	m := &members{world: world, conf: conf, seed: seed, now: now, box: mailbox.NewBox[any](world), is: serverset.New(conf.membership()),
		failing: map[uint32]bool{}}
	m.stats.Store(&serverset.Stats{})
	return m
}

// wire lets it speak to the core.
func (m *members) wire(tell func(routing.DiscoveryUpdate)) {
	m.tell = tell
	m.resolver = dns.NewResolver(m.options(m.conf), func(e dns.Event) { m.box.Put(e) })
	log.Printf("event=start srv=%q name_servers=%q", m.conf.Names, m.conf.NameServers)
}

func (m *members) options(conf *SRV) dns.Options {
	o := conf.resolver(m.seed)
	o.World = m.world
	return o
}

// Stop ends Run.
func (m *members) Stop() { m.box.Put(nil) }

// list takes the list's news.
func (m *members) list(n routing.DiscoveryUpdate) { m.box.Put(n) }

// listHeard tells that the list answers.
func (m *members) listHeard() { m.box.Put(listOK{}) }

// Heard takes an outcome, if it says anything about whether the server is there.
func (m *members) Observe(server uint32, status choice.Status) {
	switch status {
	case choice.OK, choice.Error, choice.Overloaded: // it has answered
		if !m.failing[server] {
			return
		}
		delete(m.failing, server)
	case choice.ConnectFailed, choice.Reset, choice.Timeout:
		m.failing[server] = true
	default:
		return
	}
	m.box.Put(outcome{server, status})
}

// reload goes on with another file.
func (m *members) reload(next *SRV) {
	if on := m != nil; on != next.Enabled {
		log.Printf("event=reload key=enabled file=srv what=%q", "changed, takes effect at the next start")
		return
	}
	if m != nil {
		m.box.Put(srvConf{next})
	}
}

// trusted is false once all sources have been silent for too long.
func (m *members) trusted() bool { return m == nil || m.trust.Load() }

// Run serves until it is stopped.
func (m *members) Run() {
	m.world.Go(m.resolver.Run)
	defer m.resolver.Stop()
	for {
		wait := time.Second
		if at, ok := m.is.NextTick(); ok {
			wait = max(0, min(wait, at-m.now()))
		}
		for _, msg := range m.box.Take(wait) {
			if msg == nil {
				return
			}
			m.take(m.now(), msg)
		}
		now := m.now()
		m.is.Tick(now)
		m.pass(now)
	}
}

func (m *members) take(now time.Duration, msg any) {
	switch e := msg.(type) {
	case routing.DiscoveryUpdate:
		switch {
		case !m.conf.List:
		case e.Broken:
			m.is.ListUnreachable(now)
			m.tell(e)
		default:
			nodes := make([]serverset.ListEntry, len(e.Members))
			for i, s := range e.Members {
				nodes[i] = serverset.ListEntry{Name: s.Name, Addr: s.Addr, Member: s.Member}
			}
			m.is.ApplyList(now, nodes, e.Whole, e.Saved)
		}
	case listOK:
		m.is.ListReachable(now)
	case dns.Event:
		m.event(now, e)
	case outcome:
		ok := e.status == choice.OK || e.status == choice.Error || e.status == choice.Overloaded
		if m.is.RecordOutcome(now, e.server, ok, e.status == choice.ConnectFailed) {
			m.resolver.Hurry()
		}
	case srvConf:
		m.reconfigure(now, e.SRV)
	}
}

func (m *members) event(now time.Duration, e dns.Event) {
	switch e.Kind {
	case dns.Answered:
		targets := m.targets(e.Targets)
		log.Printf("event=srv name=%s targets=%d none=%v", e.Name, len(targets), e.None)
		m.is.ApplySRV(now, e.Name, targets, e.None)
	case dns.Stale:
		m.is.SourceStale(now, e.Name)
	case dns.Lost:
		m.is.SourceLost(now, e.Name)
	case dns.Dropped:
		m.is.DropSource(now, e.Name)
	}
}

// targets brings the records into the membership's form. Weights are scaled so that
// the mean of each priority is 1, as the list's usual one is; weight 0 among others
// leaves "a very small chance" (RFC 2782).
func (m *members) targets(list []dns.Target) []serverset.Target {
	sum, n := map[uint16]float64{}, map[uint16]float64{}
	for _, t := range list {
		sum[t.Priority] += float64(t.Weight)
		n[t.Priority]++
	}
	out := make([]serverset.Target, len(list))
	for i, t := range list {
		o := serverset.Target{Name: t.Host, Port: t.Port, Priority: t.Priority, Weight: 1, Zone: m.conf.zone(t.Host)}
		if sum[t.Priority] > 0 {
			o.Weight = max(float64(t.Weight)*n[t.Priority]/sum[t.Priority], leastWeight)
		}
		for _, a := range t.Addrs {
			o.Addrs = append(o.Addrs, t.HostPort(a))
		}
		out[i] = o
	}
	return out
}

const leastWeight = 0.01

func (m *members) reconfigure(now time.Duration, next *SRV) {
	if next.List != m.conf.List {
		log.Printf("event=reload key=list file=srv what=%q", "changed, takes effect at the next start")
		next.List = m.conf.List
	}
	if reflect.DeepEqual(m.conf, next) {
		return
	}
	log.Printf("event=reload file=srv names=%q name_servers=%q", next.Names, next.NameServers)
	m.conf = next
	m.is.Configure(now, next.membership())
	m.resolver.Configure(m.options(next))
}

// pass tells the core what has changed.
func (m *members) pass(now time.Duration) {
	m.trust.Store(m.is.Trusted(now))
	changes := m.is.TakeChanges(now)
	saved := m.is.OnlySavedList()
	if len(changes) == 0 && m.begun && m.told == !saved {
		return
	}
	n := routing.DiscoveryUpdate{Saved: saved, Members: make([]routing.Member, len(changes))}
	for i, c := range changes {
		n.Members[i] = routing.Member{Member: c.Member, Addr: c.Addr, Name: c.Name}
	}
	m.begun, m.told = true, !saved
	stats := m.is.Stats()
	m.stats.Store(&stats)
	m.tell(n)
}

// report logs the totals.
func (m *members) report() {
	if m == nil {
		return
	}
	c, s := m.resolver.Counters(), m.stats.Load()
	log.Printf("event=srv_totals queries=%d answers=%d tcp=%d truncated=%d cut_short=%d forged=%d malformed=%d failed=%d "+
		"silent=%d unsent=%d merged=%d shrinks=%d refuted=%d stale=%d lost=%d", c.Queries.Load(), c.Answers.Load(), c.TCP.Load(),
		c.Truncated.Load(), c.CutShort.Load(), c.Forged.Load(), c.Malformed.Load(), c.Failed.Load(), c.Silent.Load(),
		c.Unsent.Load(), c.Merged.Load(), c.Shrinks.Load(), c.Refuted.Load(), c.Stale.Load(), c.Lost.Load())
	log.Printf("event=members nodes=%d offered=%d dead=%d removed=%d tiers=%d offered_tiers=%d joins=%d leaves=%d moved=%d "+
		"blocked=%d doubles=%d trusted=%v", s.Nodes, s.Offered, s.Dead, s.Tombstones, s.Tiers, s.OfferedTiers, s.Joins, s.Leaves,
		s.Moved, s.Blocked, s.Duplicates, m.trusted())
}
