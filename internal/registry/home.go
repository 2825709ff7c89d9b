package registry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// spot is what has a home: a service in a zone.
type serviceZone struct{ zone, service string }

// place is a spot with its servers. Its home is the process that the hash ranks first of
// those in its zone, or of all where the zone has none.
type serverGroup struct {
	serviceZone
	serviceInfo *serviceInfo
	servers     []*item
	home        string
	proximity   int    // how near home is
	rank        uint64 // its rank
}

// How near a process is to a place.
const (
	ineligible = iota // it takes no calls
	otherZone
	sameZone
)

// reaches tells how near a process is.
func (p *serverGroup) proximityOf(n *memberlist.Node) int {
	switch {
	case n.State != memberlist.Up || n.Control == "":
		return ineligible
	case n.Zone == p.zone:
		return sameZone
	}
	return otherZone
}

// offer lets a process be the home, if it ranks before the one there is.
func (p *serverGroup) considerHome(n *memberlist.Node, buf []byte) []byte {
	reach := p.proximityOf(n)
	if reach == ineligible || reach < p.proximity {
		return buf
	}
	buf = append(append(append(append(append(buf[:0], n.Addr...), 0), p.zone...), 0), p.service...)
	if h := xxhash.Sum64(buf); reach > p.proximity || h > p.rank || h == p.rank && n.Addr < p.home {
		p.home, p.proximity, p.rank = n.Addr, reach, h
	}
	return buf
}

// rank finds a place's home: among those of its zone, or all. A start ranks each of thousands of places, and each process
// looked at is a few lines of memory.
func (m *Machine) chooseHome(p *serverGroup) {
	p.home, p.proximity, p.rank = "", ineligible, 0
	var buf []byte
	buf = p.considerHome(&m.selfNode, buf)
	for _, n := range m.peersByZone[p.zone] {
		buf = p.considerHome(n, buf)
	}
	if p.proximity < sameZone {
		for _, n := range m.peerNodes {
			buf = p.considerHome(n, buf)
		}
	}
	p.home = cmp.Or(p.home, m.self)
}

// home is the process that a server's place belongs to.
func (m *Machine) homeOf(s Server) string {
	at := serviceZone{s.Zone, s.Service}
	if p := m.groups[at]; p != nil {
		return p.home
	}
	p := &serverGroup{serviceZone: at}
	m.chooseHome(p)
	return p.home
}

// Nodes takes the membership as it is now, sorted by address.
func (m *Machine) SetNodes(now fsm.Time, all []memberlist.Node) Out {
	m.startInput(now)
	moved := map[string]bool{} // otherwise than before, as far as homes and news depend on it
	var came []string          // up again, or new, or another life
	before := m.peers
	m.peers = make([]string, 0, len(before)+1)
	for i := range all {
		n := &all[i]
		switch {
		case n.Addr == m.self:
			if !sameForHomes(m.selfNode, *n) {
				moved[m.self] = true
			}
			m.selfNode = *n
			continue
		case n.State == memberlist.Gone:
			continue
		}
		for len(before) > 0 && before[0] < n.Addr {
			m.rejoins.left(now, m.nodes[before[0]])
			delete(m.nodes, before[0])
			moved[before[0]], before = true, before[1:]
		}
		m.peers = append(m.peers, n.Addr)
		if len(before) == 0 || before[0] != n.Addr {
			moved[n.Addr], came = true, append(came, n.Addr)
			m.nodes[n.Addr] = lo.ToPtr(*n)
			m.rejoins.joined(now, n, m.silenceTimeout)
			continue
		}
		before = before[1:]
		if o := m.nodes[n.Addr]; !sameForHomes(*o, *n) {
			if moved[n.Addr] = true; o.Incarnation != n.Incarnation {
				came = append(came, n.Addr)
			}
			m.nodes[n.Addr] = lo.ToPtr(*n)
		}
	}
	for _, a := range before {
		moved[a] = true
		m.rejoins.left(now, m.nodes[a])
		delete(m.nodes, a)
	}
	away := m.aloneSince
	if len(m.peers) > 0 {
		m.aloneSince = -1
	} else if away < 0 {
		m.aloneSince = now
	}
	if len(moved) == 0 {
		return m.takeOutput()
	}
	m.peerNodes = lo.Map(m.peers, func(a string, _ int) *memberlist.Node { return m.nodes[a] })
	m.peersByZone = lo.GroupBy(m.peerNodes, func(n *memberlist.Node) string { return n.Zone })
	m.relayGroups = nil
	m.updateHomes(moved)
	m.dropGonePeers()
	m.reconcileReturned(came, away)
	return m.takeOutput()
}

func sameForHomes(a, b memberlist.Node) bool {
	return a.Addr == b.Addr && a.Zone == b.Zone && a.Control == b.Control && a.State == b.State && a.Incarnation == b.Incarnation
}

// rehome finds homes anew where a process that is otherwise than before was the home, or may
// be. Where we have become one, the waits begin.
func (m *Machine) updateHomes(moved map[string]bool) {
	var came []*memberlist.Node
	for a := range moved {
		if n := m.nodes[a]; n != nil {
			came = append(came, n)
		} else if a == m.self {
			came = append(came, &m.selfNode)
		}
	}
	var buf []byte
	for _, p := range m.groups {
		before := p.home
		if moved[before] || p.proximity == ineligible {
			m.chooseHome(p)
		} else {
			for _, n := range came {
				buf = p.considerHome(n, buf)
			}
		}
		if p.home != before && p.home == m.self {
			for _, it := range p.servers {
				if it.Phase != Ended {
					it.lastBeat = m.now
					m.scheduleCheck(it)
				}
			}
		}
	}
}

// greet is for those that came up: young news that they may have missed, and a look
// whether the tables differ. All look, so each does so seldom.
func (m *Machine) reconcileReturned(came []string, away fsm.Time) {
	if len(came) == 0 {
		return
	}
	if away >= 0 && m.now-away > outdatedAfter {
		m.markOutdated()
	}
	m.scheduleReannounce()
	m.nextReconcile = min(m.nextReconcile, m.now+reconcileDelay+m.comparisonInterval())
	slices.Sort(came)
	for _, a := range came {
		m.sendRecent(a)
	}
	for _, a := range came {
		if m.complete && m.rand.Float64()*float64(len(m.peers)) < 3 {
			m.send(a, TableDigest{Hash: m.tableDigest})
		}
	}
}

// age: after a long absence our table is asked for anew, and what the others no
// longer know is dropped: it may have ended, and its address be another's.
func (m *Machine) markOutdated() {
	for _, it := range m.sorted {
		it.outdated = it.Phase != Ended && !(it.heardHere && m.now-it.lastBeat < m.silenceTimeout)
	}
	m.complete, m.gotPartialTable, m.startedAt, m.nextFetch = false, false, m.now, m.now
}
