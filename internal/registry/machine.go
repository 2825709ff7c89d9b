package registry

import (
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

const (
	ownGap    = 400 * time.Millisecond // between our ticks: it was we who stood still
	longGap   = 20 * time.Second       // after it our table is old, and the others' counts
	spreadFor = 600 * time.Millisecond // then a leaving server is told yes, whoever is silent
	againIn   = 100 * time.Millisecond
	roundIn   = 250 * time.Millisecond // without an answer, news goes round by others
	assureFor = 800 * time.Millisecond // then a leaving server is told to ask another gateway
	recently  = 5 * time.Second        // news this young is pushed to those that come up
	repairIn  = time.Second
	soonIn    = 100 * time.Millisecond // where somebody has come up
	lookIn    = 250 * time.Millisecond
	buried    = 90 * time.Second // tombstones
	giveUp    = 10 * time.Minute // a silent server is ended
	mostSwift = 4                // news sent at once between two ticks; the rest go together
	lazyFor   = time.Second      // the end of a server that nobody sends to any more waits for other news so long
)

// item is a server with what is known of it here alone.
type item struct {
	Server
	last  uint64   // highest sequence number heard from it
	beat  fsm.Time // when; for a home also when its wait began
	came  fsm.Time // when the last one came here
	ended fsm.Time // since when it is ended or silent
	due   fsm.Time // when it is looked at next; 0: it is not at home here, or ended
	mark  uint64   // of Server
	place *place
	next  *item  // at the same address, or one with the same hash
	key   uint32 // of its ID, as in an Index
	slot  int32  // in the place's items
	heard bool   // a beat came here at all
	old   bool   // from before a long absence, and not seen by others since
}

// Machine is one process's part.
type Machine struct {
	self, zone string
	wait       time.Duration // a server silent for so long is Silent
	rand       *rand.Rand

	items map[string]*item
	all   []*item                       // the same by ID
	sum   uint64                        // the marks of those not ended: tombstones go at each process's own time
	at    map[uint32]*item              // those not ended by the hash of their address, a chain
	kinds map[uint32]*service           // by the hash of the name
	nodes map[string]*memberlist.Node   // not gone, without self
	peers []string                      // their addresses, sorted,
	fleet []*memberlist.Node            // they themselves in that order,
	zones map[string][]*memberlist.Node // and those of each zone
	me    memberlist.Node
	homes map[spot]*place
	dues  dues // of those at home here

	spreads map[string]*spread
	live    map[string]bool // spreads that wait, or are young
	posts   map[uint64]*post
	no      uint64
	relays  map[passage]*relay
	groups  [][]string      // of peers; nil: to be made
	queue   map[string]bool // news that waits for the tick
	ending  map[string]bool // ended, and nobody sends to them: it goes with the next news
	lazy    fsm.Time        // or then
	swift   int

	now, ticked, began fsm.Time
	repair, look       fsm.Time
	learnt             fsm.Time // when news last changed the table
	compared, calm     fsm.Time // when tables were last compared from here, and until when they aren't again
	grave              fsm.Time // when the ended are looked at next
	returns            returns
	fetch              fsm.Time // next one, while not filled
	alone              fsm.Time // since when there is nobody else
	filled, partly     bool
	restored           bool     // rows from disk, for when nobody has a table
	core               []string // the seats of agreement, as of the newest epoch known; nil: not told of any
	bug                Bug
	out                Out
}

// New knows nothing. The heartbeat is the pace of the servers' beats; the seed must
// be another at each start.
func New(self, zone string, heartbeat time.Duration, seed uint64, now fsm.Time) *Machine {
	m := &Machine{
		self: self, zone: zone, wait: heartbeat * 7 / 2, rand: rand.New(rand.NewPCG(seed, 0x1076)),
		items: map[string]*item{}, nodes: map[string]*memberlist.Node{}, homes: map[spot]*place{},
		at: map[uint32]*item{}, kinds: map[uint32]*service{}, ending: map[string]bool{},
		spreads: map[string]*spread{}, live: map[string]bool{}, posts: map[uint64]*post{}, relays: map[passage]*relay{}, queue: map[string]bool{},
		me:  memberlist.Node{Addr: self, Zone: zone},
		now: now, ticked: now, began: now, fetch: now, alone: now, learnt: now, compared: now,
	}
	m.no = m.rand.Uint64() >> 32 // late confirmations for an earlier life mean nothing
	return m
}

// Beat takes a server's call.
func (m *Machine) Heartbeat(now fsm.Time, call uint64, b Heartbeat) Out {
	m.begins(now)
	s := b.server(now)
	it := m.items[b.ID]
	if it != nil && s.Phase == Serving && (it.Phase == Ended || b.Seq <= it.stand()) {
		m.answer(call, b.ID) // late, or of one that is gone: it changes nothing
		return m.take()
	}
	if it != nil && it.Phase == Ended {
		m.assure(call, b.ID)
		return m.take()
	}
	if m.hear(s) {
		m.tell(b.ID)
	} else if home := m.home(s); home != m.self {
		m.send(home, ForwardedHeartbeat{Row: s.row(now)})
	}
	if s.Phase == Quiescing {
		m.assure(call, b.ID)
	} else {
		m.answer(call, b.ID)
	}
	return m.take()
}

// stand is the highest sequence number known.
func (it *item) stand() uint64 { return max(it.last, it.Seq) }

// hear takes a beat, and says whether it is news.
func (m *Machine) hear(s Server) bool {
	m.oust(s)
	it := m.items[s.ID]
	news := it == nil || !it.same(s) && s.newer(it.Server)
	if news {
		m.put(s)
		it = m.items[s.ID]
	}
	if s.Seq >= it.last {
		it.last, it.beat, it.came, it.heard, it.old = s.Seq, m.now, m.now, true, false
	}
	return news
}

// oust ends servers whose address this one has now: no two live at one address, and
// it is this one that was heard.
func (m *Machine) oust(s Server) {
	if s.Addr == "" {
		return
	}
	it := m.items[s.ID]
	var out []string
	for o := m.at[short(s.Addr)]; o != nil; o = o.next {
		if o.Addr == s.Addr && o.ID != s.ID && (it == nil || !o.heard || m.now-o.beat >= m.wait) {
			out = append(out, o.ID)
		}
	}
	slices.Sort(out)
	for _, id := range out {
		m.end(id)
	}
}

// Delete takes a server's last call.
func (m *Machine) Deregister(now fsm.Time, call uint64, id string) Out {
	m.begins(now)
	it := m.items[id]
	if it != nil && it.Phase == Quiescing && m.unused(id) {
		if len(m.ending) == 0 {
			m.lazy = now + lazyFor
		}
		m.ending[id] = true
		m.answer(call, id)
		return m.take()
	}
	if it == nil || it.Phase != Ended {
		m.end(id)
	}
	m.assure(call, id)
	return m.take()
}

// end is the word that a server has ended.
func (m *Machine) end(id string) {
	s := Server{ID: id, Phase: Ended}
	if it := m.items[id]; it != nil {
		s = it.Server
		s.Phase = Ended
	}
	m.put(s)
	m.tell(id)
}

// put stores the newer word, and hands it to the data plane.
func (m *Machine) put(s Server) {
	it := m.items[s.ID]
	if it == nil {
		it = m.enter(s)
	}
	if s.Phase == Ended && s.Service == "" {
		id, seq := s.ID, s.Seq
		s = it.Server
		s.ID, s.Phase, s.Seq = id, Ended, max(seq, s.Seq)
	}
	if it.Phase != s.Phase {
		it.ended = m.now
	}
	if it.Phase == Silent && s.Phase == Serving {
		it.beat = m.now
	}
	m.set(it, s)
	it.old = false
	m.out.Changes = append(m.out.Changes, s)
}

// merge takes a row from another process, and says whether it was news.
func (m *Machine) merge(r Row) bool {
	s := r.server(m.now)
	it := m.items[r.ID]
	if it == nil {
		m.put(s)
		return true
	}
	it.old = false
	if !s.newer(it.Server) {
		if !m.filled && s.Phase == Serving && it.same(s) {
			s.WarmUntil = it.WarmUntil
			m.set(it, s) // it was no news
			delete(m.queue, r.ID)
		}
		return false
	}
	if s.Phase == Silent && it.heard && it.last > s.Seq && m.now-it.beat < m.wait && it.Phase < Quiescing {
		heard := it.Server
		heard.Seq = it.last
		m.set(it, heard) // it was the teller who didn't hear it
		m.out.Changes = append(m.out.Changes, it.Server)
		m.tell(r.ID)
		return false
	}
	m.put(s)
	return true
}

// answer says yes, and where the server shall call from now on.
func (m *Machine) answer(call uint64, id string) {
	a := Answer{Call: call, OK: true}
	if it := m.items[id]; it != nil && it.Phase != Ended {
		if m.mine(it) {
			a.Target = m.me.Control
		} else {
			a.Target = m.nodes[it.place.home].Control
		}
	}
	m.out.Answers = append(m.out.Answers, a)
}

// Tick watches servers, sends what waits, and repairs.
func (m *Machine) Tick(now fsm.Time) Out {
	m.begins(now)
	m.ticked, m.swift = now, 0
	if now >= m.look {
		m.look = now + lookIn
		m.watch()
	}
	if len(m.ending) > 0 && now >= m.lazy {
		m.finished()
	}
	m.retell()
	m.flush()
	m.push()
	m.relayed()
	m.fill()
	if now >= m.repair {
		m.repair = now + repairIn
		m.mend(1)
		m.bury()
	}
	return m.take()
}

// begins begins an input, and notices our own freeze.
func (m *Machine) begins(now fsm.Time) {
	m.now = now
	gap := now - m.ticked
	if gap <= ownGap {
		return
	}
	m.ticked = now
	if gap > longGap {
		m.age()
	}
	for _, it := range m.all {
		it.beat = now
	}
	m.mend(2)
}

// bury forgets the long ended.
func (m *Machine) bury() {
	if m.now < m.grave {
		return
	}
	m.grave = m.now + buried/9
	m.returns.forgets(m.now)
	over := func(it *item) bool { return it.Phase == Ended && m.now-it.ended > buried }
	for _, it := range m.all {
		if over(it) {
			m.forget(it)
			delete(m.spreads, it.ID)
			delete(m.live, it.ID)
		}
	}
	m.all = slices.DeleteFunc(m.all, over)
}

// Servers is all that are known, the ended ones too for a while, sorted by ID.
func (m *Machine) Servers() []Server {
	v := make([]Server, 0, len(m.all))
	for _, it := range m.all {
		v = append(v, it.Server)
	}
	return v
}

// Status is for people.
type Status struct {
	Serving, Silent, Quiescing, Ended int

	Unconfirmed int // news messages that some process hasn't confirmed
	Complete    bool
	Hash        uint64
}

// Status counts.
func (m *Machine) Status() Status {
	st := Status{Unconfirmed: len(m.posts), Complete: m.filled, Hash: m.sum}
	for _, it := range m.all {
		*[]*int{&st.Serving, &st.Silent, &st.Quiescing, &st.Ended}[it.Phase]++
	}
	return st
}

func (m *Machine) send(to string, msg any) {
	if to != m.self && to != "" {
		m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
	}
}

func (m *Machine) take() Out {
	if m.swift < mostSwift && len(m.queue) > 0 {
		m.swift++
		m.flush()
	}
	o := m.out
	m.out = Out{}
	return o
}
