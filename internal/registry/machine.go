package registry

import (
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

const (
	maxTickGap           = 400 * time.Millisecond // between our ticks: it was we who stood still
	outdatedAfter        = 20 * time.Second       // after it our table is old, and the others' counts
	confirmTimeout       = 600 * time.Millisecond // then a leaving server is told yes, whoever is silent
	resendInterval       = 100 * time.Millisecond
	indirectAfter        = 250 * time.Millisecond // without an answer, news goes round by others
	quiesceCallTimeout   = 800 * time.Millisecond // then a leaving server is told to ask another gateway
	catchUpWindow        = 5 * time.Second        // news this young is pushed to those that come up
	reconcileInterval    = time.Second
	reconcileDelay       = 100 * time.Millisecond // where somebody has come up
	silenceCheckInterval = 250 * time.Millisecond
	tombstoneLifetime    = 90 * time.Second // tombstones
	endSilentAfter       = 10 * time.Minute // a silent server is ended
	maxImmediateFlushes  = 4                // news sent at once between two ticks; the rest go together
	endDelay             = time.Second      // the end of a server that nobody sends to any more waits for other news so long
)

// item is a server with what is known of it here alone.
type item struct {
	Server
	lastSeq     uint64   // highest sequence number heard from it
	lastBeat    fsm.Time // when; for a home also when its wait began
	lastArrival fsm.Time // when the last one came here
	phaseSince  fsm.Time // since when it is ended or silent
	checkAt     fsm.Time // when it is looked at next; 0: it is not at home here, or ended
	digest      uint64   // of Server
	group       *serverGroup
	nextAtAddr  *item  // at the same address, or one with the same hash
	idHash      uint32 // of its ID, as in an Index
	groupIndex  int32  // in the place's items
	heardHere   bool   // a beat came here at all
	outdated    bool   // from before a long absence, and not seen by others since
}

// Machine is one process's part.
type Machine struct {
	self, zone     string
	silenceTimeout time.Duration // a server silent for so long is Silent
	rand           *rand.Rand

	items       map[string]*item
	sorted      []*item                       // the same by ID
	tableDigest uint64                        // the marks of those not ended: tombstones go at each process's own time
	byAddr      map[uint32]*item              // those not ended by the hash of their address, a chain
	services    map[uint32]*serviceInfo       // by the hash of the name
	nodes       map[string]*memberlist.Node   // not gone, without self
	peers       []string                      // their addresses, sorted,
	peerNodes   []*memberlist.Node            // they themselves in that order,
	peersByZone map[string][]*memberlist.Node // and those of each zone
	selfNode    memberlist.Node
	groups      map[serviceZone]*serverGroup
	checks      checkHeap // of those at home here

	propagations       map[string]*propagation
	activePropagations map[string]bool // spreads that wait, or are young
	unconfirmed        map[uint64]*unconfirmedUpdate
	lastNumber         uint64
	pendingRelays      map[relayKey]*relay
	relayGroups        [][]string      // of peers; nil: to be made
	queued             map[string]bool // news that waits for the tick
	pendingEnds        map[string]bool // ended, and nobody sends to them: it goes with the next news
	pendingEndsDue     fsm.Time        // or then
	immediateFlushes   int

	now, lastTick, startedAt          fsm.Time
	nextReconcile, nextSilenceCheck   fsm.Time
	lastUpdate                        fsm.Time // when news last changed the table
	lastComparison, noComparisonUntil fsm.Time // when tables were last compared from here, and until when they aren't again
	nextTombstoneSweep                fsm.Time // when the ended are looked at next
	rejoins                           rejoinTracker
	nextFetch                         fsm.Time // next one, while not filled
	aloneSince                        fsm.Time // since when there is nobody else
	complete, gotPartialTable         bool
	hasRestored                       bool     // rows from disk, for when nobody has a table
	voters                            []string // the seats of agreement, as of the newest epoch known; nil: not told of any
	bug                               Bug
	out                               Out
}

// New knows nothing. The heartbeat is the pace of the servers' beats; the seed must
// be another at each start.
func New(self, zone string, heartbeat time.Duration, seed uint64, now fsm.Time) *Machine {
	m := &Machine{
		self: self, zone: zone, silenceTimeout: heartbeat * 7 / 2, rand: rand.New(rand.NewPCG(seed, 0x1076)),
		items: map[string]*item{}, nodes: map[string]*memberlist.Node{}, groups: map[serviceZone]*serverGroup{},
		byAddr: map[uint32]*item{}, services: map[uint32]*serviceInfo{}, pendingEnds: map[string]bool{},
		propagations: map[string]*propagation{}, activePropagations: map[string]bool{}, unconfirmed: map[uint64]*unconfirmedUpdate{}, pendingRelays: map[relayKey]*relay{}, queued: map[string]bool{},
		selfNode: memberlist.Node{Addr: self, Zone: zone},
		now:      now, lastTick: now, startedAt: now, nextFetch: now, aloneSince: now, lastUpdate: now, lastComparison: now,
	}
	m.lastNumber = m.rand.Uint64() >> 32 // late confirmations for an earlier life mean nothing
	return m
}

// Beat takes a server's call.
func (m *Machine) Heartbeat(now fsm.Time, call uint64, b Heartbeat) Out {
	m.startInput(now)
	s := b.server(now)
	it := m.items[b.ID]
	if it != nil && s.Phase == Serving && (it.Phase == Ended || b.Seq <= it.latestSeq()) {
		m.answerCall(call, b.ID) // late, or of one that is gone: it changes nothing
		return m.takeOutput()
	}
	if it != nil && it.Phase == Ended {
		m.answerWhenConfirmed(call, b.ID)
		return m.takeOutput()
	}
	if m.recordHeartbeat(s) {
		m.queueUpdate(b.ID)
	} else if home := m.homeOf(s); home != m.self {
		m.send(home, ForwardedHeartbeat{Row: s.row(now)})
	}
	if s.Phase == Quiescing {
		m.answerWhenConfirmed(call, b.ID)
	} else {
		m.answerCall(call, b.ID)
	}
	return m.takeOutput()
}

// stand is the highest sequence number known.
func (it *item) latestSeq() uint64 { return max(it.lastSeq, it.Seq) }

// hear takes a beat, and says whether it is news.
func (m *Machine) recordHeartbeat(s Server) bool {
	m.endServersAtAddress(s)
	it := m.items[s.ID]
	news := it == nil || !it.equalIgnoringSeq(s) && s.supersedes(it.Server)
	if news {
		m.apply(s)
		it = m.items[s.ID]
	}
	if s.Seq >= it.lastSeq {
		it.lastSeq, it.lastBeat, it.lastArrival, it.heardHere, it.outdated = s.Seq, m.now, m.now, true, false
	}
	return news
}

// oust ends servers whose address this one has now: no two live at one address, and
// it is this one that was heard.
func (m *Machine) endServersAtAddress(s Server) {
	if s.Addr == "" {
		return
	}
	it := m.items[s.ID]
	var out []string
	for o := m.byAddr[hash32(s.Addr)]; o != nil; o = o.nextAtAddr {
		if o.Addr == s.Addr && o.ID != s.ID && (it == nil || !o.heardHere || m.now-o.lastBeat >= m.silenceTimeout) {
			out = append(out, o.ID)
		}
	}
	slices.Sort(out)
	for _, id := range out {
		m.endServer(id)
	}
}

// Delete takes a server's last call.
func (m *Machine) Deregister(now fsm.Time, call uint64, id string) Out {
	m.startInput(now)
	it := m.items[id]
	if it != nil && it.Phase == Quiescing && m.quiesceConfirmed(id) {
		if len(m.pendingEnds) == 0 {
			m.pendingEndsDue = now + endDelay
		}
		m.pendingEnds[id] = true
		m.answerCall(call, id)
		return m.takeOutput()
	}
	if it == nil || it.Phase != Ended {
		m.endServer(id)
	}
	m.answerWhenConfirmed(call, id)
	return m.takeOutput()
}

// end is the word that a server has ended.
func (m *Machine) endServer(id string) {
	s := Server{ID: id, Phase: Ended}
	if it := m.items[id]; it != nil {
		s = it.Server
		s.Phase = Ended
	}
	m.apply(s)
	m.queueUpdate(id)
}

// put stores the newer word, and hands it to the data plane.
func (m *Machine) apply(s Server) {
	it := m.items[s.ID]
	if it == nil {
		it = m.addItem(s)
	}
	if s.Phase == Ended && s.Service == "" {
		id, seq := s.ID, s.Seq
		s = it.Server
		s.ID, s.Phase, s.Seq = id, Ended, max(seq, s.Seq)
	}
	if it.Phase != s.Phase {
		it.phaseSince = m.now
	}
	if it.Phase == Silent && s.Phase == Serving {
		it.lastBeat = m.now
	}
	m.setServer(it, s)
	it.outdated = false
	m.out.Changes = append(m.out.Changes, s)
}

// merge takes a row from another process, and says whether it was news.
func (m *Machine) merge(r Row) bool {
	s := r.server(m.now)
	it := m.items[r.ID]
	if it == nil {
		m.apply(s)
		return true
	}
	it.outdated = false
	if !s.supersedes(it.Server) {
		if !m.complete && s.Phase == Serving && it.equalIgnoringSeq(s) {
			s.WarmUntil = it.WarmUntil
			m.setServer(it, s) // it was no news
			delete(m.queued, r.ID)
		}
		return false
	}
	if s.Phase == Silent && it.heardHere && it.lastSeq > s.Seq && m.now-it.lastBeat < m.silenceTimeout && it.Phase < Quiescing {
		heard := it.Server
		heard.Seq = it.lastSeq
		m.setServer(it, heard) // it was the teller who didn't hear it
		m.out.Changes = append(m.out.Changes, it.Server)
		m.queueUpdate(r.ID)
		return false
	}
	m.apply(s)
	return true
}

// answer says yes, and where the server shall call from now on.
func (m *Machine) answerCall(call uint64, id string) {
	a := Answer{Call: call, OK: true}
	if it := m.items[id]; it != nil && it.Phase != Ended {
		if m.isHome(it) {
			a.Target = m.selfNode.Control
		} else {
			a.Target = m.nodes[it.group.home].Control
		}
	}
	m.out.Answers = append(m.out.Answers, a)
}

// Tick watches servers, sends what waits, and repairs.
func (m *Machine) Tick(now fsm.Time) Out {
	m.startInput(now)
	m.lastTick, m.immediateFlushes = now, 0
	if now >= m.nextSilenceCheck {
		m.nextSilenceCheck = now + silenceCheckInterval
		m.checkSilence()
	}
	if len(m.pendingEnds) > 0 && now >= m.pendingEndsDue {
		m.flushPendingEnds()
	}
	m.reannounce()
	m.flush()
	m.resendUnconfirmed()
	m.expireRelays()
	m.fetchTable()
	if now >= m.nextReconcile {
		m.nextReconcile = now + reconcileInterval
		m.requestComparison(1)
		m.sweepTombstones()
	}
	return m.takeOutput()
}

// begins begins an input, and notices our own freeze.
func (m *Machine) startInput(now fsm.Time) {
	m.now = now
	gap := now - m.lastTick
	if gap <= maxTickGap {
		return
	}
	m.lastTick = now
	if gap > outdatedAfter {
		m.markOutdated()
	}
	for _, it := range m.sorted {
		it.lastBeat = now
	}
	m.requestComparison(2)
}

// bury forgets the long ended.
func (m *Machine) sweepTombstones() {
	if m.now < m.nextTombstoneSweep {
		return
	}
	m.nextTombstoneSweep = m.now + tombstoneLifetime/9
	m.rejoins.expire(m.now)
	over := func(it *item) bool { return it.Phase == Ended && m.now-it.phaseSince > tombstoneLifetime }
	for _, it := range m.sorted {
		if over(it) {
			m.detach(it)
			delete(m.propagations, it.ID)
			delete(m.activePropagations, it.ID)
		}
	}
	m.sorted = slices.DeleteFunc(m.sorted, over)
}

// Servers is all that are known, the ended ones too for a while, sorted by ID.
func (m *Machine) Servers() []Server {
	v := make([]Server, 0, len(m.sorted))
	for _, it := range m.sorted {
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
	st := Status{Unconfirmed: len(m.unconfirmed), Complete: m.complete, Hash: m.tableDigest}
	for _, it := range m.sorted {
		*[]*int{&st.Serving, &st.Silent, &st.Quiescing, &st.Ended}[it.Phase]++
	}
	return st
}

func (m *Machine) send(to string, msg any) {
	if to != m.self && to != "" {
		m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
	}
}

func (m *Machine) takeOutput() Out {
	if m.immediateFlushes < maxImmediateFlushes && len(m.queued) > 0 {
		m.immediateFlushes++
		m.flush()
	}
	o := m.out
	m.out = Out{}
	return o
}
