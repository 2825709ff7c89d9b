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
type spot struct{ zone, service string }

// place is a spot with its servers. Its home is the process that the hash ranks first of
// those in its zone, or of all where the zone has none.
type place struct {
	spot
	kind  *service
	items []*item
	home  string
	reach int    // how near home is
	top   uint64 // its rank
}

// How near a process is to a place.
const (
	nowhere = iota // it takes no calls
	afar
	near
)

// reaches tells how near a process is.
func (p *place) reaches(n *memberlist.Node) int {
	switch {
	case n.State != memberlist.Up || n.Control == "":
		return nowhere
	case n.Zone == p.zone:
		return near
	}
	return afar
}

// offer lets a process be the home, if it ranks before the one there is.
func (p *place) offer(n *memberlist.Node, buf []byte) []byte {
	reach := p.reaches(n)
	if reach == nowhere || reach < p.reach {
		return buf
	}
	buf = append(append(append(append(append(buf[:0], n.Addr...), 0), p.zone...), 0), p.service...)
	if h := xxhash.Sum64(buf); reach > p.reach || h > p.top || h == p.top && n.Addr < p.home {
		p.home, p.reach, p.top = n.Addr, reach, h
	}
	return buf
}

// rank finds a place's home: among those of its zone, or all. A start ranks each of thousands of places, and each process
// looked at is a few lines of memory.
func (m *Machine) rank(p *place) {
	p.home, p.reach, p.top = "", nowhere, 0
	var buf []byte
	buf = p.offer(&m.me, buf)
	for _, n := range m.zones[p.zone] {
		buf = p.offer(n, buf)
	}
	if p.reach < near {
		for _, n := range m.fleet {
			buf = p.offer(n, buf)
		}
	}
	p.home = cmp.Or(p.home, m.self)
}

// home is the process that a server's place belongs to.
func (m *Machine) home(s Server) string {
	at := spot{s.Zone, s.Service}
	if p := m.homes[at]; p != nil {
		return p.home
	}
	p := &place{spot: at}
	m.rank(p)
	return p.home
}

// Nodes takes the membership as it is now, sorted by address.
func (m *Machine) SetNodes(now fsm.Time, all []memberlist.Node) Out {
	m.begins(now)
	moved := map[string]bool{} // otherwise than before, as far as homes and news depend on it
	var came []string          // up again, or new, or another life
	before := m.peers
	m.peers = make([]string, 0, len(before)+1)
	for i := range all {
		n := &all[i]
		switch {
		case n.Addr == m.self:
			if !alike(m.me, *n) {
				moved[m.self] = true
			}
			m.me = *n
			continue
		case n.State == memberlist.Gone:
			continue
		}
		for len(before) > 0 && before[0] < n.Addr {
			m.returns.leaves(now, m.nodes[before[0]])
			delete(m.nodes, before[0])
			moved[before[0]], before = true, before[1:]
		}
		m.peers = append(m.peers, n.Addr)
		if len(before) == 0 || before[0] != n.Addr {
			moved[n.Addr], came = true, append(came, n.Addr)
			m.nodes[n.Addr] = lo.ToPtr(*n)
			m.returns.comes(now, n, m.wait)
			continue
		}
		before = before[1:]
		if o := m.nodes[n.Addr]; !alike(*o, *n) {
			if moved[n.Addr] = true; o.Incarnation != n.Incarnation {
				came = append(came, n.Addr)
			}
			m.nodes[n.Addr] = lo.ToPtr(*n)
		}
	}
	for _, a := range before {
		moved[a] = true
		m.returns.leaves(now, m.nodes[a])
		delete(m.nodes, a)
	}
	away := m.alone
	if len(m.peers) > 0 {
		m.alone = -1
	} else if away < 0 {
		m.alone = now
	}
	if len(moved) == 0 {
		return m.take()
	}
	m.fleet = lo.Map(m.peers, func(a string, _ int) *memberlist.Node { return m.nodes[a] })
	m.zones = lo.GroupBy(m.fleet, func(n *memberlist.Node) string { return n.Zone })
	m.groups = nil
	m.rehome(moved)
	m.drop()
	m.greet(came, away)
	return m.take()
}

func alike(a, b memberlist.Node) bool {
	return a.Addr == b.Addr && a.Zone == b.Zone && a.Control == b.Control && a.State == b.State && a.Incarnation == b.Incarnation
}

// rehome finds homes anew where a process that is otherwise than before was the home, or may
// be. Where we have become one, the waits begin.
func (m *Machine) rehome(moved map[string]bool) {
	var came []*memberlist.Node
	for a := range moved {
		if n := m.nodes[a]; n != nil {
			came = append(came, n)
		} else if a == m.self {
			came = append(came, &m.me)
		}
	}
	var buf []byte
	for _, p := range m.homes {
		before := p.home
		if moved[before] || p.reach == nowhere {
			m.rank(p)
		} else {
			for _, n := range came {
				buf = p.offer(n, buf)
			}
		}
		if p.home != before && p.home == m.self {
			for _, it := range p.items {
				if it.Phase != Ended {
					it.beat = m.now
					m.watched(it)
				}
			}
		}
	}
}

// greet is for those that came up: young news that they may have missed, and a look
// whether the tables differ. All look, so each does so seldom.
func (m *Machine) greet(came []string, away fsm.Time) {
	if len(came) == 0 {
		return
	}
	if away >= 0 && m.now-away > longGap {
		m.age()
	}
	m.returned()
	m.repair = min(m.repair, m.now+soonIn+m.pace())
	slices.Sort(came)
	for _, a := range came {
		m.catchUp(a)
	}
	for _, a := range came {
		if m.filled && m.rand.Float64()*float64(len(m.peers)) < 3 {
			m.send(a, TableDigest{Hash: m.sum})
		}
	}
}

// age: after a long absence our table is asked for anew, and what the others no
// longer know is dropped: it may have ended, and its address be another's.
func (m *Machine) age() {
	for _, it := range m.all {
		it.old = it.Phase != Ended && !(it.heard && m.now-it.beat < m.wait)
	}
	m.filled, m.partly, m.began, m.fetch = false, false, m.now, m.now
}
