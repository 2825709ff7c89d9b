package memberlist

import (
	"slices"
	"time"
)

// offsets on the ring at which a node's watchers stand.
var offsets = [...]int{1, 2, 4}

// settle puts the ring in order after changes, and finds whom we watch now.
func (m *Machine) settle() {
	if !m.stale {
		return
	}
	m.stale = false
	m.ring = m.ring[:0]
	for _, e := range m.round {
		if e.live() {
			m.ring = append(m.ring, e.node.Addr)
		}
	}
	before := m.watched
	m.after, m.watched = m.around(1), m.around(-1)
	slices.SortFunc(m.watched, func(a, b string) int { return bySpot(m.nodes[a], m.nodes[b]) })
	for _, a := range m.watched {
		if !slices.Contains(before, a) {
			e := m.nodes[a] // others may have missed it already: it is asked soon
			m.hear(e, max(e.heard, m.now-askAfter+m.extra()))
		}
	}
}

// extra is the time that one newly watched has beyond that. In a large fleet somebody is newly
// watched all the time, and a question that is answered late must not be a loss each time.
func (m *Machine) extra() time.Duration {
	return min(askAfter, time.Duration(max(0, len(m.ring)-fewer))*newWatch)
}

// around is the nodes at the offsets after (1) or before (-1) us.
func (m *Machine) around(way int) []string { return m.beside(m.self.Addr, way) }

// beside is the same for any live node.
func (m *Machine) beside(node string, way int) []string {
	n := len(m.ring)
	at, _ := slices.BinarySearchFunc(m.ring, m.nodes[node], func(a string, e *entry) int { return bySpot(m.nodes[a], e) })
	var found []string
	for _, o := range offsets {
		a := m.ring[((at+way*o)%n+n)%n]
		if a != node && !slices.Contains(found, a) {
			found = append(found, a)
		}
	}
	return found
}

func (m *Machine) watchers() []string {
	m.settle()
	return slices.Clip(m.after)
}

// some picks up to n random live others that are not in but.
func (m *Machine) some(n int, but []string) []string {
	m.settle()
	var found []string
	if few := 2 * (n + len(but) + 1); len(m.ring) > 2*few {
		for range few {
			if a := m.ring[m.rand.IntN(len(m.ring))]; len(found) < n && a != m.self.Addr && !slices.Contains(but, a) && !slices.Contains(found, a) {
				found = append(found, a)
			}
		}
		return found
	}
	for _, i := range m.rand.Perm(len(m.ring)) {
		if a := m.ring[i]; len(found) < n && a != m.self.Addr && !slices.Contains(but, a) {
			found = append(found, a)
		}
	}
	return found
}

// beyond is the others that news goes to beside the watchers. They are drawn anew now and then and
// not each time: each time would be a connection to each in turn.
func (m *Machine) beyond(but []string) []string {
	bad := func(a string) bool {
		e := m.nodes[a]
		return e == nil || !e.live() || slices.Contains(but, a)
	}
	if m.now-m.drawn >= m.each(0, drawEvery) || len(m.drew) < others || slices.ContainsFunc(m.drew, bad) {
		m.drawn, m.drew = m.now, m.some(others, but)
	}
	return m.drew
}

// watch asks those who are silent, and gives up those who stay so. Where nobody at
// all is heard it is rather we who are cut off: then nothing is told, and while it
// may be so we wait.
func (m *Machine) watch() {
	cut := m.quiet() > goneAfter
	if cut {
		for _, a := range m.ring {
			if a != m.self.Addr {
				m.lose(a)
			}
		}
		return
	}
	for _, a := range m.watched {
		e := m.nodes[a]
		switch silent := m.silent(e); {
		case silent > goneAfter && m.quiet() < askAfter:
			n := e.node
			n.State = Gone
			m.merge(n)
			m.later(a, true, "")
		case silent > askAfter+time.Duration(e.asked)*askAgain:
			e.asked++
			m.send(a, Ping{})
			if e.asked == 1 {
				continue
			}
			via := m.relays(a, e.via)
			if r := m.nodes[e.via]; r != nil && r.live() {
				via = append(via, e.via)
			}
			for _, o := range via {
				m.send(o, IndirectPing{Addr: a})
			}
		}
	}
	m.settle()
}

// relays is a few that may reach a node we can't: of each zone some, as whole zones
// may be cut from each other.
func (m *Machine) relays(node, via string) []string {
	zones := map[string]int{}
	var found, rest []string
	for _, a := range m.some(len(m.ring), []string{node, via}) {
		if z := m.nodes[a].node.Zone; zones[z] < 2 && len(found) < 2*relays {
			zones[z]++
			found = append(found, a)
		} else {
			rest = append(rest, a)
		}
	}
	return append(found, rest[:min(len(rest), max(0, relays-len(found)))]...)
}

func (m *Machine) lose(addr string) {
	e := m.nodes[addr]
	if !e.lost && e.node.State != Gone {
		m.setLost(e, true)
		e.ended, e.since = m.now, m.now
		m.stale, m.out.Changed = true, true
		m.out.Failed = append(m.out.Failed, addr)
	}
}

// seek tries addresses at which somebody may be: all the time where we are alone, and
// now and then, by turns with the other nodes, those that are gone or never came.
func (m *Machine) seek() {
	m.settle()
	if len(m.ring) == 1 {
		if m.now >= m.hello {
			m.hello = m.now + helloAlone
			for _, a := range m.absent(m.seeds) {
				m.greet(a)
			}
			rest := m.absent(m.elsewhere())
			m.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
			for _, a := range rest[:min(len(rest), mostTries)] {
				m.greet(a)
			}
		}
		return
	}
	if m.now < m.try {
		return
	}
	m.try = m.now + helloLost
	turn := 3 / float64(len(m.ring))
	rest := m.absent(append(slices.Clone(m.seeds), m.elsewhere()...))
	m.rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	for _, a := range rest[:min(len(rest), 3)] {
		if m.rand.Float64() < turn {
			m.greet(a)
		}
	}
}

func (m *Machine) greet(addr string) { m.send(addr, Hello{Node: m.self}) }

func (m *Machine) gone() []string {
	var found []string
	for _, e := range m.all {
		if !e.live() {
			found = append(found, e.node.Addr)
		}
	}
	return found
}

// elsewhere is the addresses known from before, and of those gone.
func (m *Machine) elsewhere() []string {
	found := m.gone()
	for a := range m.known {
		found = append(found, a)
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// absent leaves those that are not live.
func (m *Machine) absent(addrs []string) []string {
	var found []string
	for _, a := range addrs {
		if e := m.nodes[a]; (e == nil || !e.live()) && !slices.Contains(found, a) {
			found = append(found, a)
		}
	}
	return found
}

// expire forgets the gone.
func (m *Machine) expire() {
	if m.now < m.wipe {
		return
	}
	m.wipe = m.now + wipeEvery
	for _, a := range m.gone() {
		if m.now-m.nodes[a].ended > forget {
			m.remove(m.nodes[a])
			m.remember(a)
			m.out.Changed = true
		}
	}
	for a, t := range m.told {
		if m.now-t > forget {
			delete(m.told, a)
		}
	}
}
