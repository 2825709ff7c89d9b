package memberlist

import (
	"slices"
	"strings"
	"time"

	"asterwell/internal/fsm"
)

// Receive handles a message.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Out {
	m.now = now
	if now-m.lastTick > maxTickGap {
		m.resetTimeouts() // the first message after this process was stopped
		m.lastTick = now
	}
	if from == m.self.Addr {
		return m.takeOutput()
	}
	m.lastHeard, m.pausedAtHeard = now, m.clockPaused
	if e := m.nodes[from]; e != nil {
		m.markHeard(e, now)
		if e.lostHere {
			m.markFound(e)
		}
	}
	switch x := msg.(type) {
	case Heartbeat:
		m.notifyIfGone(from, x.Incarnation, x.Seq)
		m.noteHeldVersion(from, x.Incarnation, x.ConfigVersion)
		m.compareHash(from, x.TableHash)
	case Hello:
		if x.Node.Addr == from {
			m.learn(x.Node, from)
			m.notifyIfGone(from, x.Node.Incarnation, x.Node.Seq)
		}
		m.send(from, m.heartbeat()) // it compares the hash, and of many that answer asks one
	case Gossip:
		for _, n := range m.decodeNodes(x.Nodes, x.Packed) {
			m.learn(n, from)
		}
	case Index:
		if len(x.PartDigests) > 0 {
			m.answerPartDigests(from, x)
		} else {
			m.answerIndex(from, x)
		}
	case Diff:
		m.applyDiff(from, x)
	case Ping:
		if x.Watcher == "" {
			m.send(from, m.heartbeat())
		} else {
			m.send(from, IndirectAck{Addr: m.self.Addr, Watcher: x.Watcher, Incarnation: m.self.Incarnation, Seq: m.self.Seq})
		}
	case IndirectPing:
		m.send(x.Addr, Ping{Watcher: from})
	case IndirectAck:
		if x.Watcher != m.self.Addr {
			m.send(x.Watcher, x)
		} else if e := m.nodes[x.Addr]; e != nil && x.Incarnation == e.node.Incarnation {
			m.markHeard(e, now)
			e.relay = from
		}
	case Suspect:
		m.handleSelfEntry(Node{Addr: m.self.Addr, Incarnation: x.Incarnation, Seq: x.Seq, State: Gone})
	}
	if m.immediateGossips > 0 && len(m.pending) > 0 {
		m.immediateGossips--
		m.sendGossip()
	}
	return m.takeOutput()
}

// markFound makes a node live again that was lost to this process alone.
func (m *Machine) markFound(e *entry) {
	m.markHeard(e, m.now)
	m.setLost(e, false)
	e.stateSince = m.now
	m.ringStale, m.out.Changed = true, true
}

// notifyIfGone compares the version that a node reports of itself with its entry here: a node that
// is regarded as gone must be told, to refute it.
func (m *Machine) notifyIfGone(from string, incarnation, seq uint64) {
	e := m.nodes[from]
	if e == nil || e.node.State != Gone || incarnation != e.node.Incarnation || seq > e.node.Seq {
		return
	}
	if t, ok := m.suspectSentAt[from]; !ok || m.now-t >= minSyncInterval {
		m.suspectSentAt[from] = m.now
		m.send(from, Suspect{Incarnation: e.node.Incarnation, Seq: e.node.Seq})
	}
}

// noteHeldVersion records the configuration version that a node reports.
func (m *Machine) noteHeldVersion(addr string, incarnation uint64, version uint32) {
	if e := m.nodes[addr]; e != nil && e.node.Incarnation == incarnation && version > max(e.heldVersion, e.node.ConfigVersion) {
		e.heldVersion = version
		m.out.HeldVersions = append(m.out.HeldVersions, HeldVersion{addr, version})
	}
}

// learn takes an entry from any node and queues it for gossip if it is new.
func (m *Machine) learn(n Node, from string) {
	if n.Addr == m.self.Addr {
		m.handleSelfEntry(n)
		return
	}
	known := m.knowsIncarnation(n)
	if m.merge(n) {
		m.queueUpdate(n.Addr, known, from)
	} else if update := m.pending[n.Addr]; update != nil && n.digest() == m.nodes[n.Addr].digest {
		update.addSource(from)
	}
}

// knowsIncarnation reports whether an entry's incarnation was known before, so that most other
// nodes know it too.
func (m *Machine) knowsIncarnation(n Node) bool {
	e := m.nodes[n.Addr]
	return e != nil && e.node.Incarnation == n.Incarnation
}

// pendingUpdate is a change of a node that waits to be gossiped.
type pendingUpdate struct {
	brief   bool
	sources []string // nodes that sent it
}

// queueUpdate queues a changed node for gossip.
func (m *Machine) queueUpdate(addr string, brief bool, from string) {
	if update := m.pending[addr]; update != nil {
		brief = brief && update.brief
	}
	update := &pendingUpdate{brief: brief}
	m.pending[addr] = update
	update.addSource(from)
}

func (u *pendingUpdate) addSource(from string) {
	if from != "" && !slices.Contains(u.sources, from) {
		u.sources = append(u.sources, from)
	}
}

// decodeNodes returns the nodes of a message. A brief node of an unknown incarnation is skipped; as
// the tables then differ, it arrives by an exchange.
func (m *Machine) decodeNodes(nodes []Node, packed []byte) []Node {
	all, _ := unpack(packed) // the nodes before damaged data are valid
	for _, n := range all {
		e := m.nodes[n.Addr]
		if n.brief && n.State != Gone && n.Addr != m.self.Addr {
			if e == nil || e.node.Incarnation != n.Incarnation {
				continue
			}
			n.Name, n.Zone, n.Control, n.Member = e.node.Name, e.node.Zone, e.node.Control, e.node.Member
		}
		nodes = append(nodes, n.Node)
	}
	return nodes
}

// handleSelfEntry handles an entry about this process: it outdoes one of an earlier start and
// refutes Gone. Shortly after the start, Gone can only mean that the heartbeats of an earlier
// incarnation were missed.
func (m *Machine) handleSelfEntry(n Node) {
	justStarted := n.State == Gone && m.now-m.startedAt < goneAfter
	switch {
	case n.Incarnation > m.self.Incarnation || n.Incarnation == m.self.Incarnation && (n.Seq > m.self.Seq || justStarted):
		m.self.Incarnation = n.Incarnation + 1
		m.announceChange()
	case n.Incarnation == m.self.Incarnation && n.Seq == m.self.Seq && n.State == Gone:
		m.announceChange()
	}
}

// merge keeps the newer of two entries, and reports whether the given one was new.
func (m *Machine) merge(n Node) bool {
	e := m.nodes[n.Addr]
	if e == nil {
		if n.State == Gone {
			return false
		}
		e = m.addEntry(n.Addr)
		e.stateSince = m.now
		m.markHeard(e, m.now)
		m.setNode(e, n)
		m.ringStale, m.out.Changed = true, true
		return true
	}
	if !n.supersedes(e.node) {
		if e.lostHere && n.digest() == e.digest {
			m.markFound(e) // another process hears it
		}
		return false
	}
	if n.State == Gone {
		if e.live() {
			m.out.Failed = append(m.out.Failed, n.Addr)
		}
		merged := e.node // an entry with Gone may lack fields that are known here
		merged.Incarnation, merged.Seq, merged.State = n.Incarnation, n.Seq, Gone
		n = merged
		e.goneSince = m.now
	}
	if e.lostHere || e.node.State != n.State || e.node.Incarnation != n.Incarnation {
		e.stateSince = m.now
	}
	m.noteHeldVersion(n.Addr, n.Incarnation, n.ConfigVersion)
	if n.Incarnation != e.node.Incarnation {
		e.heldVersion = 0
	}
	if e.lostHere || !n.equalForPeers(e.node) {
		m.ringStale, m.out.Changed = true, true
	}
	m.setNode(e, n)
	m.setLost(e, false)
	m.markHeard(e, m.now)
	delete(m.suspicions, n.Addr)
	return true
}

// sendGossip sends queued changes to the watchers and a few other nodes, except those that sent
// them. A change that enough nodes have sent in the meantime is known to the others already.
func (m *Machine) sendGossip() {
	if len(m.pending) == 0 {
		return
	}
	var all []packedNode
	for a, update := range m.pending {
		if e := m.nodes[a]; e != nil && len(update.sources) < sourcesToSkip {
			all = append(all, packedNode{e.node, update.brief || e.node.State == Gone})
		}
	}
	slices.SortFunc(all, func(a, b packedNode) int { return strings.Compare(a.Addr, b.Addr) })
	targets := m.watchers()
	targets = append(targets, m.extraTargets(targets)...)
	var packedAll []byte // all of it, for nodes that sent none of it
	for _, a := range targets {
		unsent := slices.DeleteFunc(slices.Clone(all), func(n packedNode) bool { return slices.Contains(m.pending[n.Addr].sources, a) })
		switch {
		case len(unsent) == 0:
		case m.nodes[a].node.Encoding < encodingPacked:
			m.send(a, Gossip{Nodes: plainNodes(unsent)})
		case len(unsent) < len(all):
			m.send(a, Gossip{Packed: pack(unsent)})
		default:
			if packedAll == nil {
				packedAll = pack(all)
			}
			m.send(a, Gossip{Packed: packedAll})
		}
	}
	clear(m.pending)
}

func plainNodes(all []packedNode) (nodes []Node) {
	for _, n := range all {
		nodes = append(nodes, n.Node)
	}
	return nodes
}

// compareHash starts an exchange if the tables differ. Gossip under way makes them differ too, so
// this waits until the table has settled, and for a randomized pause that grows while they differ.
// A process that knows no other node asks at once.
func (m *Machine) compareHash(from string, hash uint64) {
	if hash == m.hash() {
		m.syncPause = minSyncInterval
		for i := 0; m.lostCount > 0 && i < len(m.sorted); i++ {
			if e := m.sorted[i]; e.lostHere {
				m.markFound(e)
			}
		}
		return
	}
	maxPause := m.perNode(minSyncInterval, maxSyncPausePerNode)
	if elapsed := m.now - m.lastSync; elapsed < m.syncPause || elapsed < maxPause && m.now-m.tableChangedAt < m.perNode(0, settleTimePerNode) {
		return
	}
	m.lastSync = m.now
	m.syncPause = minSyncInterval + time.Duration(m.rand.Int64N(int64(min(2*m.syncPause, maxPause)-minSyncInterval)+1))
	if e, n := m.nodes[from], m.partCount(); n > 1 && m.lostCount == 0 && e != nil && e.node.Encoding >= encodingPacked {
		m.send(from, Index{PartDigests: m.partDigests(n), Encoding: encodingPacked})
		return
	}
	m.send(from, Index{Rows: m.encodeIndex(nil), Encoding: encodingPacked})
}

// applyDiff takes the entries of an exchange. A Gone in it may be old, from a time when the sender
// was cut off, so the node itself is asked first.
func (m *Machine) applyDiff(from string, d Diff) {
	alone, queued := len(m.ring) < 2, 0
	for _, n := range m.decodeNodes(d.Nodes, d.Packed) {
		e := m.nodes[n.Addr]
		if n.State == Gone && e != nil && n.Addr != m.self.Addr && e.node.State != Gone && n.supersedes(e.node) {
			if _, asked := m.suspicions[n.Addr]; !asked {
				m.suspicions[n.Addr] = suspicion{n, m.now + suspicionTimeout}
				m.send(n.Addr, Suspect{Incarnation: n.Incarnation, Seq: n.Seq})
			}
			continue
		}
		if n.Addr == m.self.Addr {
			m.handleSelfEntry(n)
		} else if known := m.knowsIncarnation(n); m.merge(n) && !alone && queued < maxImmediateGossips {
			queued++
			m.queueUpdate(n.Addr, known, from)
		}
	}
	if len(d.Want) == 0 {
		return
	}
	allowed := m.entryAllowance()
	var found []Node
	for _, e := range m.sorted {
		if _, ok := slices.BinarySearch(d.Want, e.addrHash()); ok && len(found) < allowed {
			found = append(found, e.node)
		}
	}
	m.entryBudget -= float64(len(found))
	if len(found) > 0 {
		m.send(from, m.newDiff(found, nil, d.Encoding))
	}
}

// resolveSuspicions accepts each Gone that was not refuted in time.
func (m *Machine) resolveSuspicions() {
	for _, a := range m.sortedSuspicions() {
		d := m.suspicions[a]
		if m.now < d.deadline {
			continue
		}
		delete(m.suspicions, a)
		if e := m.nodes[a]; e != nil && m.now-e.lastHeard >= suspicionTimeout && m.merge(d.node) {
			m.queueUpdate(a, true, "")
		}
	}
}

func (m *Machine) sortedSuspicions() []string {
	found := make([]string, 0, len(m.suspicions))
	for a := range m.suspicions {
		found = append(found, a)
	}
	slices.Sort(found)
	return found
}
