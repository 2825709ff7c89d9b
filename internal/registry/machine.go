package registry

import (
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

const (
	maxTickGap           = 400 * time.Millisecond // a longer gap between ticks means that this process itself was stopped
	outdatedAfter        = 20 * time.Second       // after a longer absence this table is outdated, and the others' counts
	confirmTimeout       = 600 * time.Millisecond // after this time a majority of the voters suffices for a leaving server's call
	resendInterval       = 100 * time.Millisecond
	indirectAfter        = 250 * time.Millisecond // without a confirmation by then, an update is also sent through other processes
	quiesceCallTimeout   = 800 * time.Millisecond // after this time a leaving server is told to ask another gateway
	catchUpWindow        = 5 * time.Second        // updates this recent are sent to processes that come up
	reconcileInterval    = time.Second
	reconcileDelay       = 100 * time.Millisecond // until the next reconciliation when a process has come up
	silenceCheckInterval = 250 * time.Millisecond
	tombstoneLifetime    = 90 * time.Second
	endSilentAfter       = 10 * time.Minute // a server silent for so long is ended
	maxImmediateFlushes  = 4                // updates sent at once between two ticks; further ones wait for the tick
	endDelay             = time.Second      // the end of a server that gets no requests any more waits so long for another update
)

// item is a server with what this process alone knows of it.
type item struct {
	Server
	lastSeq     uint64   // highest sequence number in its heartbeats
	lastBeat    fsm.Time // when it was heard; at a home also when the wait for it began
	lastArrival fsm.Time // when the last heartbeat arrived at this process
	phaseSince  fsm.Time // since when it is ended or silent
	checkAt     fsm.Time // next check for silence; 0: this process is not its home, or it has ended
	digest      uint64   // of Server
	group       *serverGroup
	nextAtAddr  *item  // next with the same address, or the same hash of it
	idHash      uint32 // hash of its ID, as in an Index
	groupIndex  int32  // index in the group's servers
	heardHere   bool   // a heartbeat arrived at this process
	outdated    bool   // from before a long absence, and not confirmed by others since
}

// Machine is the state machine of one process's registry.
type Machine struct {
	self, zone     string
	silenceTimeout time.Duration // a server without heartbeats for so long is Silent
	rand           *rand.Rand

	items       map[string]*item
	sorted      []*item                     // the items by ID
	tableDigest uint64                      // XOR of the digests of servers not ended; tombstones don't count, as each process drops them at its own time
	byAddr      map[uint32]*item            // servers not ended, chained by the hash of their address
	services    map[uint32]*serviceInfo     // by the hash of their name
	nodes       map[string]*memberlist.Node // nodes not gone, without self
	peers       []string                    // addresses of nodes, sorted
	peerNodes   []*memberlist.Node          // nodes in the order of peers
	peersByZone map[string][]*memberlist.Node
	selfNode    memberlist.Node
	groups      map[serviceZone]*serverGroup
	checks      checkHeap // of the servers whose home is this process

	propagations       map[string]*propagation
	activePropagations map[string]bool // propagations that are waiting or recent
	unconfirmed        map[uint64]*unconfirmedUpdate
	lastNumber         uint64
	pendingRelays      map[relayKey]*relay
	relayGroups        [][]string      // of peers; nil: to be rebuilt
	queued             map[string]bool // IDs of updates to be sent
	pendingEnds        map[string]bool // IDs of ended servers that get no requests; sent with the next update
	pendingEndsDue     fsm.Time        // or at this time
	immediateFlushes   int

	now, lastTick, startedAt          fsm.Time
	nextReconcile, nextSilenceCheck   fsm.Time
	lastUpdate                        fsm.Time // when an update last changed the table
	lastComparison, noComparisonUntil fsm.Time // of tables by this process
	nextTombstoneSweep                fsm.Time
	rejoins                           rejoinTracker
	nextFetch                         fsm.Time // while not complete
	aloneSince                        fsm.Time // since when there is no other process; -1: there is one
	complete, gotPartialTable         bool
	hasRestored                       bool            // a list of servers from disk, for when no process has a table
	vouched                           map[string]bool // voters that have told what they have on disk
	disk                              *leavingLog     // nil: none
	deferredAcks                      []deferredAck
	voters                            []string // of consensus in the newest known epoch; nil: not known
	bug                               Bug
	out                               Out
}

// New returns a machine with an empty table. The heartbeat is the interval of the servers'
// heartbeats; the seed must differ at each start.
func New(self, zone string, heartbeat time.Duration, seed uint64, now fsm.Time) *Machine {
	m := &Machine{
		self: self, zone: zone, silenceTimeout: heartbeat * 7 / 2, rand: rand.New(rand.NewPCG(seed, 0x1076)),
		items: map[string]*item{}, nodes: map[string]*memberlist.Node{}, groups: map[serviceZone]*serverGroup{},
		byAddr: map[uint32]*item{}, services: map[uint32]*serviceInfo{}, pendingEnds: map[string]bool{},
		propagations: map[string]*propagation{}, activePropagations: map[string]bool{}, unconfirmed: map[uint64]*unconfirmedUpdate{}, pendingRelays: map[relayKey]*relay{}, queued: map[string]bool{},
		selfNode: memberlist.Node{Addr: self, Zone: zone}, vouched: map[string]bool{},
		now: now, lastTick: now, startedAt: now, nextFetch: now, aloneSince: now, lastUpdate: now, lastComparison: now,
	}
	m.lastNumber = m.rand.Uint64() >> 32 // confirmations for an earlier start must not match
	return m
}

// Heartbeat handles a server's call.
func (m *Machine) Heartbeat(now fsm.Time, call uint64, b Heartbeat) Out {
	m.startInput(now)
	s := b.server(now)
	it := m.items[b.ID]
	if it != nil && s.Phase == Serving && (it.Phase == Ended || b.Seq <= it.latestSeq()) {
		m.answerCall(call, b.ID) // late, or of a server that has ended: nothing changes
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

// latestSeq is the highest known sequence number.
func (it *item) latestSeq() uint64 { return max(it.lastSeq, it.Seq) }

// recordHeartbeat records a heartbeat, and reports whether it changes the server.
func (m *Machine) recordHeartbeat(s Server) bool {
	m.endServersAtAddress(s)
	it := m.items[s.ID]
	isNew := it == nil || !it.equalIgnoringSeq(s) && s.supersedes(it.Server)
	if isNew {
		m.apply(s)
		it = m.items[s.ID]
	}
	if s.Seq >= it.lastSeq {
		it.lastSeq, it.lastBeat, it.lastArrival, it.heardHere, it.outdated = s.Seq, m.now, m.now, true, false
	}
	return isNew
}

// endServersAtAddress ends other servers with the same address: no two servers share one, and this
// one was heard.
func (m *Machine) endServersAtAddress(s Server) {
	if s.Addr == "" {
		return
	}
	it := m.items[s.ID]
	var ended []string
	for o := m.byAddr[hash32(s.Addr)]; o != nil; o = o.nextAtAddr {
		if o.Addr == s.Addr && o.ID != s.ID && (it == nil || !o.heardHere || m.now-o.lastBeat >= m.silenceTimeout) {
			ended = append(ended, o.ID)
		}
	}
	slices.Sort(ended)
	for _, id := range ended {
		m.endServer(id)
	}
}

// Deregister handles a server's last call.
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

// endServer marks a server as ended.
func (m *Machine) endServer(id string) {
	s := Server{ID: id, Phase: Ended}
	if it := m.items[id]; it != nil {
		s = it.Server
		s.Phase = Ended
	}
	m.apply(s)
	m.queueUpdate(id)
}

// apply stores the newer version of a server and passes it to the data plane.
func (m *Machine) apply(s Server) {
	it := m.items[s.ID]
	isNew := it == nil
	if isNew {
		it = m.addItem(s)
	}
	if s.Phase == Ended && s.Service == "" {
		id, seq := s.ID, s.Seq
		s = it.Server
		s.ID, s.Phase, s.Seq = id, Ended, max(seq, s.Seq)
	}
	if it.Phase != s.Phase || isNew {
		it.phaseSince = m.now
		if s.Phase >= Quiescing {
			m.leavingChanged()
		}
	}
	if it.Phase == Silent && s.Phase == Serving {
		it.lastBeat = m.now
	}
	m.setServer(it, s)
	it.outdated = false
	m.out.Changes = append(m.out.Changes, s)
}

// merge takes a row from another process, and reports whether it was new.
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
			m.setServer(it, s) // it is not new to others
			delete(m.queued, r.ID)
		}
		return false
	}
	if s.Phase == Silent && it.heardHere && it.lastSeq > s.Seq && m.now-it.lastBeat < m.silenceTimeout && it.Phase < Quiescing {
		heard := it.Server
		heard.Seq = it.lastSeq
		m.setServer(it, heard) // only the sender didn't hear the server
		m.out.Changes = append(m.out.Changes, it.Server)
		m.queueUpdate(r.ID)
		return false
	}
	m.apply(s)
	return true
}

// answerCall confirms a call and tells the server which process to call from now on.
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

// Tick checks servers for silence, sends queued updates and reconciles tables.
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

// startInput begins handling an input, and detects that this process itself was stopped.
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

// sweepTombstones removes servers that ended long ago.
func (m *Machine) sweepTombstones() {
	if m.now < m.nextTombstoneSweep {
		return
	}
	m.nextTombstoneSweep = m.now + tombstoneLifetime/9
	m.rejoins.expire(m.now)
	expired := func(it *item) bool { return it.Phase == Ended && m.now-it.phaseSince > tombstoneLifetime }
	for _, it := range m.sorted {
		if expired(it) {
			m.detach(it)
			delete(m.propagations, it.ID)
			delete(m.activePropagations, it.ID)
		}
	}
	m.sorted = slices.DeleteFunc(m.sorted, expired)
}

// Servers returns all known servers sorted by ID, including recently ended ones.
func (m *Machine) Servers() []Server {
	v := make([]Server, 0, len(m.sorted))
	for _, it := range m.sorted {
		v = append(v, it.Server)
	}
	return v
}

// Status counts servers for operators.
type Status struct {
	Serving, Silent, Quiescing, Ended int

	Unconfirmed int // updates that some process hasn't confirmed
	Complete    bool
	Hash        uint64
}

// Status returns the current counts.
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

// takeOutput returns the collected output and clears it. A few times between two ticks it sends
// queued updates first.
func (m *Machine) takeOutput() Out {
	if m.immediateFlushes < maxImmediateFlushes && len(m.queued) > 0 {
		m.immediateFlushes++
		m.flush()
	}
	o := m.out
	o.Write = m.startWrite()
	m.out = Out{}
	return o
}
