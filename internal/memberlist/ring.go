package memberlist

import (
	"slices"
	"time"
)

// offsets are the distances on the ring from a node to its watchers.
var offsets = [...]int{1, 2, 4}

// refreshRing rebuilds the ring after changes, and determines which nodes to watch.
func (m *Machine) refreshRing() {
	if !m.ringStale {
		return
	}
	m.ringStale = false
	m.ring = m.ring[:0]
	for _, e := range m.byPosition {
		if e.live() {
			m.ring = append(m.ring, e.node.Addr)
		}
	}
	previous := m.watched
	m.selfWatchers, m.watched = m.neighbors(1), m.neighbors(-1)
	slices.SortFunc(m.watched, func(a, b string) int { return comparePosition(m.nodes[a], m.nodes[b]) })
	for _, a := range m.watched {
		if !slices.Contains(previous, a) {
			e := m.nodes[a] // others may have missed its heartbeats already: ping it soon
			m.markHeard(e, max(e.lastHeard, m.now-pingAfter+m.newlyWatchedGrace()))
		}
	}
}

// newlyWatchedGrace is extra time for a newly watched node before it is pinged. In a large fleet
// some node is newly watched all the time, and a late answer must not count as a loss each time.
func (m *Machine) newlyWatchedGrace() time.Duration {
	return min(pingAfter, time.Duration(max(0, len(m.ring)-referenceFleetSize))*newlyWatchedGracePerNode)
}

// neighbors returns the nodes at the offsets after (1) or before (-1) this process.
func (m *Machine) neighbors(direction int) []string { return m.neighborsOf(m.self.Addr, direction) }

// neighborsOf returns the same for any live node.
func (m *Machine) neighborsOf(node string, direction int) []string {
	n := len(m.ring)
	at, _ := slices.BinarySearchFunc(m.ring, m.nodes[node], func(a string, e *entry) int { return comparePosition(m.nodes[a], e) })
	var found []string
	for _, o := range offsets {
		a := m.ring[((at+direction*o)%n+n)%n]
		if a != node && !slices.Contains(found, a) {
			found = append(found, a)
		}
	}
	return found
}

func (m *Machine) watchers() []string {
	m.refreshRing()
	return slices.Clip(m.selfWatchers)
}

// randomPeers returns up to n random live nodes other than this one and those in exclude.
func (m *Machine) randomPeers(n int, exclude []string) []string {
	m.refreshRing()
	var found []string
	if attempts := 2 * (n + len(exclude) + 1); len(m.ring) > 2*attempts {
		for range attempts {
			if a := m.ring[m.rand.IntN(len(m.ring))]; len(found) < n && a != m.self.Addr && !slices.Contains(exclude, a) && !slices.Contains(found, a) {
				found = append(found, a)
			}
		}
		return found
	}
	for _, i := range m.rand.Perm(len(m.ring)) {
		if a := m.ring[i]; len(found) < n && a != m.self.Addr && !slices.Contains(exclude, a) {
			found = append(found, a)
		}
	}
	return found
}

// extraTargets returns the nodes that get gossip in addition to the watchers. They are redrawn now
// and then rather than for each message, which would open a connection to every node in turn.
func (m *Machine) extraTargets(exclude []string) []string {
	bad := func(a string) bool {
		e := m.nodes[a]
		return e == nil || !e.live() || slices.Contains(exclude, a)
	}
	if m.now-m.targetsDrawnAt >= m.perNode(0, targetRedrawPerNode) || len(m.gossipTargets) < extraGossipTargets || slices.ContainsFunc(m.gossipTargets, bad) {
		m.targetsDrawnAt, m.gossipTargets = m.now, m.randomPeers(extraGossipTargets, exclude)
	}
	return m.gossipTargets
}

// checkWatched pings silent nodes and declares those gone that stay silent. If no node at all is
// heard, this process is likely cut off itself: then nothing is gossiped, and as long as that is
// possible nobody is declared gone.
func (m *Machine) checkWatched() {
	isolated := m.overallSilence() > goneAfter
	if isolated {
		for _, a := range m.ring {
			if a != m.self.Addr {
				m.markLost(a)
			}
		}
		return
	}
	for _, a := range m.watched {
		e := m.nodes[a]
		switch silent := m.silenceOf(e); {
		case silent > goneAfter && m.overallSilence() < pingAfter:
			n := e.node
			n.State = Gone
			m.merge(n)
			m.queueUpdate(a, true, "")
		case silent > pingAfter+time.Duration(e.pings)*pingInterval:
			e.pings++
			m.send(a, Ping{})
			if e.pings == 1 {
				continue
			}
			relays := m.relaysFor(a, e.relay)
			if r := m.nodes[e.relay]; r != nil && r.live() {
				relays = append(relays, e.relay)
			}
			for _, o := range relays {
				m.send(o, IndirectPing{Addr: a})
			}
		}
	}
	m.refreshRing()
}

// relaysFor returns a few nodes that may reach one that this process can't: some of each zone, as
// whole zones may be cut off from each other.
func (m *Machine) relaysFor(node, lastRelay string) []string {
	zones := map[string]int{}
	var found, rest []string
	for _, a := range m.randomPeers(len(m.ring), []string{node, lastRelay}) {
		if z := m.nodes[a].node.Zone; zones[z] < 2 && len(found) < 2*relayCount {
			zones[z]++
			found = append(found, a)
		} else {
			rest = append(rest, a)
		}
	}
	return append(found, rest[:min(len(rest), max(0, relayCount-len(found)))]...)
}

// markLost regards a node as gone in this process alone.
func (m *Machine) markLost(addr string) {
	e := m.nodes[addr]
	if !e.lostHere && e.node.State != Gone {
		m.setLost(e, true)
		e.goneSince, e.stateSince = m.now, m.now
		m.ringStale, m.out.Changed = true, true
		m.out.Failed = append(m.out.Failed, addr)
	}
}

// contactAbsent sends Hello to addresses where a process may run: frequently while this process is
// alone; otherwise only now and then, as all nodes share this, to nodes that are gone or never
// came.
func (m *Machine) contactAbsent() {
	m.refreshRing()
	if len(m.ring) == 1 {
		if m.now >= m.nextHello {
			m.nextHello = m.now + helloIntervalAlone
			for _, a := range m.withoutLive(m.seeds) {
				m.sendHello(a)
			}
			rest := m.withoutLive(m.formerAddrs())
			m.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
			for _, a := range rest[:min(len(rest), maxHelloTargets)] {
				m.sendHello(a)
			}
		}
		return
	}
	if m.now < m.nextRetry {
		return
	}
	m.nextRetry = m.now + helloIntervalAbsent
	probability := 3 / float64(len(m.ring))
	rest := m.withoutLive(append(slices.Clone(m.seeds), m.formerAddrs()...))
	m.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for _, a := range rest[:min(len(rest), 3)] {
		if m.rand.Float64() < probability {
			m.sendHello(a)
		}
	}
}

func (m *Machine) sendHello(addr string) { m.send(addr, Hello{Node: m.self}) }

// notLive returns the addresses of the entries that are gone or lost.
func (m *Machine) notLive() []string {
	var found []string
	for _, e := range m.sorted {
		if !e.live() {
			found = append(found, e.node.Addr)
		}
	}
	return found
}

// formerAddrs returns stored addresses and those of entries that are not live.
func (m *Machine) formerAddrs() []string {
	found := m.notLive()
	for a := range m.knownAddrs {
		found = append(found, a)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// withoutLive returns the addresses that belong to no live node.
func (m *Machine) withoutLive(addrs []string) []string {
	var found []string
	for _, a := range addrs {
		if e := m.nodes[a]; (e == nil || !e.live()) && !slices.Contains(found, a) {
			found = append(found, a)
		}
	}
	return found
}

// expire forgets nodes that have been gone for long enough.
func (m *Machine) expire() {
	if m.now < m.nextExpiry {
		return
	}
	m.nextExpiry = m.now + expireInterval
	for _, a := range m.notLive() {
		if m.now-m.nodes[a].goneSince > forgetAfter {
			m.removeEntry(m.nodes[a])
			m.rememberAddr(a)
			m.out.Changed = true
		}
	}
	for a, t := range m.suspectSentAt {
		if m.now-t > forgetAfter {
			delete(m.suspectSentAt, a)
		}
	}
}
