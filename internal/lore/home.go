package lore

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"asterwell/internal/bond"
	"asterwell/internal/plane"
)

// place is what has a home: a service in a zone.
type place struct{ zone, service string }

// home is the process that a server's place belongs to: the one of its zone (of any,
// where the zone has none) that the hash ranks first.
func (m *Machine) home(s Server) string {
	p := place{s.Zone, s.Service}
	h, ok := m.homes[p]
	if !ok {
		h = m.belongs(p)
		m.homes[p] = h
	}
	return h
}

// belongs finds a place's home, and remembers nothing.
func (m *Machine) belongs(p place) string {
	h := m.rank(p, true)
	if h == "" {
		h = m.rank(p, false)
	}
	return cmp.Or(h, m.self)
}

func (m *Machine) rank(p place, near bool) string {
	best, top := "", uint64(0)
	try := func(n bond.Node) {
		if n.State != bond.Up || n.Control == "" || near && n.Zone != p.zone {
			return
		}
		h := xxhash.Sum64String(n.Addr + "\x00" + p.zone + "\x00" + p.service)
		if best == "" || h > top || h == top && n.Addr < best {
			best, top = n.Addr, h
		}
	}
	try(m.me)
	for _, a := range m.peers {
		try(*m.nodes[a])
	}
	return best
}

// Nodes takes the membership as it is now, sorted by address.
func (m *Machine) Nodes(now plane.Time, all []bond.Node) Out {
	m.begins(now)
	as := true        // as it was, as far as homes and news depend on it
	var came []string // up again, or new, or another life
	before := m.peers
	m.peers = make([]string, 0, len(before)+1)
	for i := range all {
		n := &all[i]
		switch {
		case n.Addr == m.self:
			as = as && alike(m.me, *n)
			m.me = *n
			continue
		case n.State == bond.Gone:
			continue
		}
		for len(before) > 0 && before[0] < n.Addr {
			delete(m.nodes, before[0])
			as, before = false, before[1:]
		}
		m.peers = append(m.peers, n.Addr)
		if len(before) == 0 || before[0] != n.Addr {
			as, came = false, append(came, n.Addr)
			m.nodes[n.Addr] = lo.ToPtr(*n)
			continue
		}
		before = before[1:]
		if o := m.nodes[n.Addr]; !alike(*o, *n) {
			if as = false; o.Life != n.Life {
				came = append(came, n.Addr)
			}
			m.nodes[n.Addr] = lo.ToPtr(*n)
		}
	}
	for _, a := range before {
		as = false
		delete(m.nodes, a)
	}
	away := m.alone
	if len(m.peers) > 0 {
		m.alone = -1
	} else if away < 0 {
		m.alone = now
	}
	if as {
		return m.take()
	}
	m.rehome()
	m.drop()
	m.greet(came, away)
	return m.take()
}

func alike(a, b bond.Node) bool {
	return a.Addr == b.Addr && a.Zone == b.Zone && a.Control == b.Control && a.State == b.State && a.Life == b.Life
}

// rehome finds the homes anew. Where we have become one, the waits begin.
func (m *Machine) rehome() {
	before := m.homes
	m.homes = map[place]string{}
	m.homed, m.moved = m.homed+1, true
	for _, it := range m.all {
		if it.Phase == Ended {
			continue
		}
		if m.mine(it) && before[place{it.Zone, it.Service}] != m.self {
			it.beat = m.now
		}
	}
}

// greet is for those that came up: young news that they may have missed, and a look
// whether the tables differ. All look, so each does so seldom.
func (m *Machine) greet(came []string, away plane.Time) {
	if len(came) == 0 {
		return
	}
	if away >= 0 && m.now-away > longGap {
		m.age()
	}
	m.repair = min(m.repair, m.now+soonIn)
	slices.Sort(came)
	for _, a := range came {
		m.catchUp(a)
	}
	for _, a := range came {
		if m.filled && m.rand.Float64()*float64(len(m.peers)) < 3 {
			m.send(a, Sum{Hash: m.sum})
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
