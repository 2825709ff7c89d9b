package memberlist

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

const (
	heartbeatInterval    = 400 * time.Millisecond
	pingAfter            = 800 * time.Millisecond // a silent node is pinged, directly and through others
	pingInterval         = 200 * time.Millisecond
	relayCount           = 4
	goneAfter            = 1300 * time.Millisecond // a node silent for so long is gone
	maxTickGap           = 400 * time.Millisecond  // a longer gap between ticks means that this process itself was stopped
	helloIntervalAlone   = 300 * time.Millisecond
	helloIntervalAbsent  = 500 * time.Millisecond
	forgetAfter          = 30 * time.Second
	expireInterval       = time.Second
	suspicionTimeout     = 500 * time.Millisecond
	minSyncInterval      = 100 * time.Millisecond
	maxKnownAddrs        = 256
	maxHelloTargets      = 16
	maxImmediateGossips  = 8                      // gossip messages sent at once between two rounds; further entries wait for the round
	extraGossipTargets   = 2                      // random nodes that get gossip in addition to the watchers
	targetRedrawPerNode  = 10 * time.Millisecond  // how long those stay the same, for each known process
	versionSettleTime    = time.Second            // a version held for so long is gossiped,
	versionMaxDelay      = 5 * time.Second        // and also one when nothing was gossiped about this node for so long
	tickInterval         = 50 * time.Millisecond  // interval of the calls of Tick
	lateTickThreshold    = 100 * time.Millisecond // a tick later than this pauses the clock of the failure detector
	maxEntryBudget       = 2048                   // entries sent in exchanges at once; a quarter of it is refilled each second
	minEntriesPerMessage = 24                     // sent even without budget, so that the receiver learns of nodes to ask
	sourcesToSkip        = 3                      // an entry heard from so many nodes is not forwarded: the others know it as well
)

// Durations that grow with the fleet, for each known process. With a hundred processes they are short.
const (
	gossipIntervalPerNode    = 350 * time.Microsecond // between two gossip rounds, less a tick interval
	settleTimePerNode        = 500 * time.Microsecond // gossip is under way for so long: tables that differ are not exchanged
	maxSyncPausePerNode      = 5 * time.Millisecond   // longest pause between two table exchanges
	versionSettlePerNode     = 10 * time.Millisecond  // see versionSettleTime
	newlyWatchedGracePerNode = time.Millisecond       // extra time for the first heartbeat of a newly watched node, above referenceFleetSize
	referenceFleetSize       = 100                    // in larger fleets each node also sends less at once
)

// entry is a node with what this process alone knows of it.
type entry struct {
	node          Node
	lostHere      bool          // regarded as gone only because this process is cut off: not told to others
	lastHeard     fsm.Time      // of a watched node: its last message, or when the wait for it began
	pausedAtHeard time.Duration // Machine.clockPaused at that time
	pings         int           // sent since lastHeard
	relay         string        // last process that reached it when this one could not
	goneSince     fsm.Time
	heldVersion   uint32 // newest configuration version that it has reported in this incarnation
	digest        uint64 // of node
	ringPosition  uint64
	stateSince    fsm.Time // for operators
}

func (e *entry) live() bool { return e.node.State != Gone && !e.lostHere }

// suspicion is a report from an exchange that a node is gone, which the node may still refute.
type suspicion struct {
	node     Node
	deadline fsm.Time
}

// Machine is the state machine of one process's membership.
type Machine struct {
	self       Node
	rand       *rand.Rand
	seeds      []string
	knownAddrs map[string]bool // from disk, and of forgotten nodes
	nodes      map[string]*entry
	sorted     []*entry         // the values of nodes by address
	byPosition []*entry         // and by ring position
	partSums   [maxParts]uint32 // liveHash by parts
	liveHash   uint64           // XOR of the digests of the nodes that are not gone
	lostCount  int              // number of entries with lostHere
	selfEntry  *entry
	suspicions map[string]suspicion

	ring         []string // addresses of live nodes by ring position, with self
	ringStale    bool
	watched      []string // nodes that this process watches
	selfWatchers []string // nodes that watch this process

	gossipTargets  []string // extra targets of gossip
	targetsDrawnAt fsm.Time

	startedAt        fsm.Time
	now              fsm.Time
	lastTick         fsm.Time
	lastHeard        fsm.Time      // last message from any node
	clockPaused      time.Duration // how long the failure detector's clock has been paused by late ticks
	pausedAtHeard    time.Duration // clockPaused at lastHeard
	nextHeartbeat    fsm.Time
	nextHello        fsm.Time
	nextRetry        fsm.Time
	lastSync         fsm.Time
	syncPause        time.Duration // from lastSync to the next exchange
	tableChangedAt   fsm.Time
	entryBudget      float64 // entries that may be sent in exchanges now
	nextExpiry       fsm.Time
	suspectSentAt    map[string]fsm.Time // when a node was last sent a Suspect
	immediateGossips int
	pending          map[string]*pendingUpdate // entries to be gossiped, by address
	lastGossip       fsm.Time                  // last gossip round
	versionSetAt     fsm.Time                  // when this process's configuration version changed
	selfAnnouncedAt  fsm.Time                  // when the entry of this process was last gossiped
	out              Out
}

// New returns a machine that knows only the seeds. The incarnation should be higher than that of
// earlier starts; where it isn't, it is raised once others report the old one.
func New(self Node, seeds []string, seed uint64, now fsm.Time) *Machine {
	self.State, self.Seq, self.Encoding = Up, max(self.Seq, 1), encodingPacked
	m := &Machine{
		self: self, rand: rand.New(rand.NewPCG(seed, 0xb0d)),
		knownAddrs: map[string]bool{}, nodes: map[string]*entry{}, suspicions: map[string]suspicion{},
		suspectSentAt: map[string]fsm.Time{}, pending: map[string]*pendingUpdate{},
		startedAt: now, now: now, lastTick: now, lastHeard: now, lastSync: now - minSyncInterval, syncPause: minSyncInterval, ringStale: true, immediateGossips: maxImmediateGossips, entryBudget: maxEntryBudget,
	}
	m.nextHeartbeat, m.nextHello, m.nextRetry = now, now, now
	m.selfEntry = m.addEntry(self.Addr)
	m.selfEntry.stateSince = now
	m.setNode(m.selfEntry, self)
	m.SetSeeds(now, seeds)
	return m
}

// SetSeeds replaces the seeds.
func (m *Machine) SetSeeds(now fsm.Time, seeds []string) {
	m.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == m.self.Addr || a == "" })
	m.nextHello, m.nextRetry = now, now
}

// AddKnownAddresses adds addresses that were stored before a restart.
func (m *Machine) AddKnownAddresses(_ fsm.Time, addrs []string) {
	for _, a := range addrs {
		m.rememberAddr(a)
	}
}

func (m *Machine) rememberAddr(addr string) {
	if addr != m.self.Addr && addr != "" && len(m.knownAddrs) < maxKnownAddrs {
		m.knownAddrs[addr] = true
	}
}

// Leave announces that this process will end. It goes on sending heartbeats until then.
func (m *Machine) Leave(now fsm.Time) Out {
	m.now = now
	if m.self.State == Up {
		m.self.State = Leaving
		m.announceChange()
		m.sendGossip()
	}
	return m.takeOutput()
}

// fleetShare returns this process's share of an amount of work that the fleet divides; the whole
// amount is what each process does in a fleet of referenceFleetSize.
func (m *Machine) fleetShare(amount float64) float64 {
	return amount * referenceFleetSize / float64(max(referenceFleetSize, len(m.ring)))
}

// perNode returns a duration that grows with the fleet, and is at least the given one.
func (m *Machine) perNode(least, each time.Duration) time.Duration {
	return max(least, time.Duration(len(m.ring))*each)
}

// SetConfigVersion sets the configuration version that this process holds. The watchers receive it
// with a heartbeat at the next tick, so that a process without it finds one to ask. The others need
// it only for display and are told rarely: otherwise each version would cost each node a gossip
// message about every other node.
func (m *Machine) SetConfigVersion(v uint32) {
	if m.selfEntry.heldVersion != v {
		m.selfEntry.heldVersion, m.versionSetAt, m.nextHeartbeat = v, m.now, m.now
	}
}

// announceVersion gossips the held configuration version once it has been held for a while.
func (m *Machine) announceVersion() {
	if m.selfEntry.heldVersion != m.self.ConfigVersion && (m.now-m.versionSetAt >= m.perNode(versionSettleTime, versionSettlePerNode) || m.now-m.selfAnnouncedAt >= m.perNode(versionMaxDelay, 5*versionSettlePerNode)) {
		m.announceSelf()
	}
}

// SetReady sets whether this process reports itself ready.
func (m *Machine) SetReady(ready bool) {
	if m.self.Ready != ready {
		m.self.Ready = ready
		m.announceSelf()
	}
}

// announceChange announces an entry of this process that differs in more than version or
// readiness.
func (m *Machine) announceChange() {
	m.announceSelf()
	m.out.Changed = true
	m.ringStale = true
}

// announceSelf gives the entry of this process its next sequence number and queues it for gossip.
func (m *Machine) announceSelf() {
	m.self.Seq++
	me := m.selfEntry
	m.self.ConfigVersion, m.selfAnnouncedAt = me.heldVersion, m.now
	if me.node.State != m.self.State {
		me.stateSince = m.now
	}
	brief := me.node.Incarnation == m.self.Incarnation
	m.setNode(me, m.self)
	m.queueUpdate(m.self.Addr, brief, "")
}

// addEntry adds an entry for an address that has none.
func (m *Machine) addEntry(addr string) *entry {
	e := &entry{node: Node{Addr: addr, State: Gone}, ringPosition: xxhash.Sum64String(addr)}
	i, _ := slices.BinarySearchFunc(m.sorted, addr, compareAddr)
	j, _ := slices.BinarySearchFunc(m.byPosition, e, comparePosition)
	m.nodes[addr], m.sorted, m.byPosition = e, slices.Insert(m.sorted, i, e), slices.Insert(m.byPosition, j, e)
	return e
}

// setNode replaces the node of an entry.
func (m *Machine) setNode(e *entry, n Node) {
	m.toggleDigest(e)
	e.node, e.digest = n, n.digest()
	m.toggleDigest(e)
	m.tableChangedAt = m.now
}

// toggleDigest adds an entry to the table's digests, or removes it.
func (m *Machine) toggleDigest(e *entry) {
	if e.node.State != Gone {
		m.liveHash ^= e.digest
		m.partSums[partOf(e, maxParts)] ^= uint32(e.digest)
	}
}

// setLost sets whether an entry is regarded as gone by this process alone, which no digest shows.
func (m *Machine) setLost(e *entry, lost bool) {
	if e.lostHere != lost {
		if e.lostHere = lost; lost {
			m.lostCount++
		} else {
			m.lostCount--
		}
	}
}

// removeEntry removes an entry that is gone or lost.
func (m *Machine) removeEntry(e *entry) {
	m.toggleDigest(e)
	m.setLost(e, false)
	i, _ := slices.BinarySearchFunc(m.sorted, e.node.Addr, compareAddr)
	j, _ := slices.BinarySearchFunc(m.byPosition, e, comparePosition)
	m.sorted, m.byPosition = slices.Delete(m.sorted, i, i+1), slices.Delete(m.byPosition, j, j+1)
	delete(m.nodes, e.node.Addr)
}

func compareAddr(e *entry, addr string) int { return strings.Compare(e.node.Addr, addr) }

func comparePosition(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), cmp.Compare(a.node.Addr, b.node.Addr))
}

// View returns all nodes sorted by address, including those that are gone but not yet forgotten.
func (m *Machine) View() []Node {
	v := make([]Node, 0, len(m.sorted))
	for _, e := range m.sorted {
		n := e.node
		n.ConfigVersion = max(n.ConfigVersion, e.heldVersion)
		if e.lostHere {
			n.State = Gone
		}
		v = append(v, n)
	}
	return v
}

// Alone reports whether at most one node is up.
func (m *Machine) Alone() bool {
	up := 0
	for _, e := range m.sorted {
		if !e.lostHere && e.node.State == Up {
			if up++; up > 1 {
				return false
			}
		}
	}
	return true
}

// UpNodes returns the nodes that are up and not leaving, sorted by address.
func (m *Machine) UpNodes() []Node {
	return slices.DeleteFunc(m.View(), func(n Node) bool { return n.State != Up })
}

// takeOutput returns the collected output and clears it.
func (m *Machine) takeOutput() Out {
	o := m.out
	m.out = Out{}
	return o
}

func (m *Machine) send(to string, msg any) {
	if to != m.self.Addr {
		m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
	}
}

// Tick sends heartbeats, checks the watched nodes, contacts absent ones and sends queued gossip.
func (m *Machine) Tick(now fsm.Time) Out {
	m.now = now
	if now-m.lastTick > maxTickGap {
		m.resetTimeouts()
	}
	m.clockPaused += max(0, now-m.lastTick-lateTickThreshold)
	m.entryBudget = min(m.fleetShare(maxEntryBudget), m.entryBudget+(now-m.lastTick).Seconds()*m.fleetShare(maxEntryBudget)/4)
	m.lastTick = now
	m.refreshRing()
	m.checkWatched()
	m.resolveSuspicions()
	m.announceVersion()
	if now-m.lastGossip >= m.perNode(0, gossipIntervalPerNode)-tickInterval {
		m.lastGossip = now
		m.immediateGossips = min(maxImmediateGossips, m.immediateGossips+max(1, int(m.fleetShare(maxImmediateGossips))))
		m.sendGossip()
	}
	if now >= m.nextHeartbeat {
		m.nextHeartbeat = now + heartbeatInterval
		for _, w := range m.watchers() {
			m.send(w, m.heartbeat())
		}
	}
	m.contactAbsent()
	m.expire()
	return m.takeOutput()
}

// resetTimeouts restarts all waits after this process itself was stopped.
func (m *Machine) resetTimeouts() {
	m.lastHeard, m.pausedAtHeard = m.now, m.clockPaused
	for _, e := range m.sorted {
		m.markHeard(e, m.now)
	}
	for a, d := range m.suspicions {
		d.deadline = m.now + suspicionTimeout
		m.suspicions[a] = d
	}
	m.nextHeartbeat, m.nextHello, m.nextRetry = m.now, m.now, m.now
}

// markHeard restarts the wait for a node.
func (m *Machine) markHeard(e *entry, at fsm.Time) {
	e.lastHeard, e.pausedAtHeard, e.pings = at, m.clockPaused, 0
}

// silenceOf returns how long a node has been silent by the failure detector's clock. That clock is
// paused while this process is late, since messages that came meanwhile may be waiting to be read.
func (m *Machine) silenceOf(e *entry) time.Duration {
	return m.now - e.lastHeard - (m.clockPaused - e.pausedAtHeard)
}

// overallSilence returns how long all nodes have been silent, by the same clock.
func (m *Machine) overallSilence() time.Duration {
	return m.now - m.lastHeard - (m.clockPaused - m.pausedAtHeard)
}

func (m *Machine) heartbeat() Heartbeat {
	return Heartbeat{m.self.Incarnation, m.self.Seq, m.hash(), m.selfEntry.heldVersion}
}

// hash covers all nodes that are not gone. Nodes lost to this process alone count with their last
// state.
func (m *Machine) hash() uint64 { return m.liveHash }
