package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// serviceZone is a service in a zone, the unit that has a home.
type serviceZone struct{ zone, service string }

// serverGroup is the servers of a service in a zone. Its home is the process that rendezvous
// hashing ranks first among those in the zone, or among all if the zone has none.
type serverGroup struct {
	serviceZone
	serviceInfo *serviceInfo
	servers     []*item
	home        string
	proximity   int    // of home
	rank        uint64 // hash rank of home
}

// How near a process is to a group.
const (
	ineligible = iota // it takes no calls of servers
	otherZone
	sameZone
)

// proximityOf returns how near a process is.
func (g *serverGroup) proximityOf(n *memberlist.Node) int {
	switch {
	case n.State != memberlist.Up || n.Control == "":
		return ineligible
	case n.Zone == g.zone:
		return sameZone
	}
	return otherZone
}

// considerHome makes a process the home if it ranks before the current one. It returns the buffer
// for reuse.
func (g *serverGroup) considerHome(n *memberlist.Node, buf []byte) []byte {
	proximity := g.proximityOf(n)
	if proximity == ineligible || proximity < g.proximity {
		return buf
	}
	buf = append(append(append(append(append(buf[:0], n.Addr...), 0), g.zone...), 0), g.service...)
	if h := xxhash.Sum64(buf); proximity > g.proximity || h > g.rank || h == g.rank && n.Addr < g.home {
		g.home, g.proximity, g.rank = n.Addr, proximity, h
	}
	return buf
}

// chooseHome determines the home of a group among the processes of its zone, or among all. A start
// does so for thousands of groups, and each process looked at costs a few cache lines.
func (m *Machine) chooseHome(g *serverGroup) {
	g.home, g.proximity, g.rank = "", ineligible, 0
	var buf []byte
	buf = g.considerHome(&m.selfNode, buf)
	for _, n := range m.peersByZone[g.zone] {
		buf = g.considerHome(n, buf)
	}
	if g.proximity < sameZone {
		for _, n := range m.peerNodes {
			buf = g.considerHome(n, buf)
		}
	}
	g.home = cmp.Or(g.home, m.self)
}

// homeOf returns the home of a server.
func (m *Machine) homeOf(s Server) string {
	key := serviceZone{s.Zone, s.Service}
	if g := m.groups[key]; g != nil {
		return g.home
	}
	g := &serverGroup{serviceZone: key}
	m.chooseHome(g)
	return g.home
}

// SetNodes sets the current membership, sorted by address.
func (m *Machine) SetNodes(now fsm.Time, all []memberlist.Node) Out {
	m.startInput(now)
	changed := map[string]bool{} // changed in what homes and updates depend on
	var returned []string        // new, back, or with another incarnation
	before := m.peers
	m.peers = make([]string, 0, len(before)+1)
	for i := range all {
		n := &all[i]
		switch {
		case n.Addr == m.self:
			if !sameForHomes(m.selfNode, *n) {
				changed[m.self] = true
			}
			m.selfNode = *n
			continue
		case n.State == memberlist.Gone:
			continue
		}
		for len(before) > 0 && before[0] < n.Addr {
			m.rejoins.left(now, m.nodes[before[0]])
			delete(m.nodes, before[0])
			changed[before[0]], before = true, before[1:]
		}
		m.peers = append(m.peers, n.Addr)
		if len(before) == 0 || before[0] != n.Addr {
			changed[n.Addr], returned = true, append(returned, n.Addr)
			m.nodes[n.Addr] = lo.ToPtr(*n)
			m.rejoins.joined(now, n, m.silenceTimeout)
			continue
		}
		before = before[1:]
		if o := m.nodes[n.Addr]; !sameForHomes(*o, *n) {
			if changed[n.Addr] = true; o.Incarnation != n.Incarnation {
				returned = append(returned, n.Addr)
			}
			m.nodes[n.Addr] = lo.ToPtr(*n)
		}
	}
	for _, a := range before {
		changed[a] = true
		m.rejoins.left(now, m.nodes[a])
		delete(m.nodes, a)
	}
	aloneSince := m.aloneSince
	if len(m.peers) > 0 {
		m.aloneSince = -1
	} else if aloneSince < 0 {
		m.aloneSince = now
	}
	if len(changed) == 0 {
		return m.takeOutput()
	}
	m.peerNodes = lo.Map(m.peers, func(a string, _ int) *memberlist.Node { return m.nodes[a] })
	m.peersByZone = lo.GroupBy(m.peerNodes, func(n *memberlist.Node) string { return n.Zone })
	m.relayGroups = nil
	m.updateHomes(changed)
	m.dropGonePeers()
	m.reconcileReturned(returned, aloneSince)
	return m.takeOutput()
}

// sameForHomes reports whether two versions of a node are equal in what homes and updates depend
// on.
func sameForHomes(a, b memberlist.Node) bool {
	return a.Addr == b.Addr && a.Zone == b.Zone && a.Control == b.Control && a.State == b.State && a.Incarnation == b.Incarnation
}

// updateHomes redetermines the homes that changed processes had or may get. Where this process has
// become the home, the waits for heartbeats begin.
func (m *Machine) updateHomes(changed map[string]bool) {
	var candidates []*memberlist.Node
	for a := range changed {
		if n := m.nodes[a]; n != nil {
			candidates = append(candidates, n)
		} else if a == m.self {
			candidates = append(candidates, &m.selfNode)
		}
	}
	var buf []byte
	for _, g := range m.groups {
		before := g.home
		if changed[before] || g.proximity == ineligible {
			m.chooseHome(g)
		} else {
			for _, n := range candidates {
				buf = g.considerHome(n, buf)
			}
		}
		if g.home != before && g.home == m.self {
			for _, it := range g.servers {
				if it.Phase != Ended {
					it.lastBeat = m.now
					m.scheduleCheck(it)
				}
			}
		}
	}
}

// reconcileReturned brings processes that came up up to date: it sends them recent updates that
// they may have missed, and compares tables. All processes do so, so each compares with few.
func (m *Machine) reconcileReturned(returned []string, aloneSince fsm.Time) {
	if len(returned) == 0 {
		return
	}
	if aloneSince >= 0 && m.now-aloneSince > outdatedAfter {
		m.markOutdated()
	}
	m.scheduleReannounce()
	m.nextReconcile = min(m.nextReconcile, m.now+reconcileDelay+m.comparisonInterval())
	slices.Sort(returned)
	for _, a := range returned {
		m.sendRecent(a)
	}
	for _, a := range returned {
		if m.complete && m.rand.Float64()*float64(len(m.peers)) < 3 {
			m.send(a, TableDigest{Hash: m.tableDigest})
		}
	}
}

// markOutdated requests a full table after a long absence. What the others no longer know is then
// dropped: such a server may have ended, and its address may belong to another.
func (m *Machine) markOutdated() {
	for _, it := range m.sorted {
		it.outdated = it.Phase != Ended && !(it.heardHere && m.now-it.lastBeat < m.silenceTimeout)
	}
	m.complete, m.gotPartialTable, m.startedAt, m.nextFetch = false, false, m.now, m.now
}
