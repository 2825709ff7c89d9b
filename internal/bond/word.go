package bond

import (
	"encoding/binary"
	"slices"
	"strings"

	"asterwell/internal/plane"
)

// Take hears a message.
func (m *Machine) Take(now plane.Time, from string, msg any) Out {
	m.now = now
	if now-m.ticked > ownGap {
		m.thaw() // what was read first after a freeze
		m.ticked = now
	}
	if from == m.self.Addr {
		return m.take()
	}
	m.heard = now
	if e := m.nodes[from]; e != nil {
		e.heard, e.asked = now, 0
		if e.lost {
			m.found(e)
		}
	}
	switch x := msg.(type) {
	case Beat:
		m.face(from, x.Life, x.Seq)
		m.holds(from, x.Life, x.Held)
		m.compare(from, x.Hash)
	case Hello:
		if x.Node.Addr == from {
			m.learn(x.Node)
			m.face(from, x.Node.Life, x.Node.Seq)
		}
		m.send(from, m.sign()) // it compares: of many that answer, it asks one
	case Rumour:
		for _, n := range x.Nodes {
			m.learn(n)
		}
	case Index:
		m.answer(from, x.Rows)
	case Diff:
		m.fill(from, x)
	case Ping:
		if x.For == "" {
			m.send(from, m.sign())
		} else {
			m.send(from, Pong{Addr: m.self.Addr, For: x.For, Life: m.self.Life, Seq: m.self.Seq})
		}
	case Probe:
		m.send(x.Addr, Ping{For: from})
	case Pong:
		if x.For != m.self.Addr {
			m.send(x.For, x)
		} else if e := m.nodes[x.Addr]; e != nil && x.Life == e.node.Life {
			e.heard, e.asked, e.via = now, 0, from
		}
	case Doubt:
		m.own(Node{Addr: m.self.Addr, Life: x.Life, Seq: x.Seq, State: Gone})
	}
	if m.swift < mostSwift {
		m.swift++
		m.tell()
	}
	return m.take()
}

// found: one that we alone had lost is there.
func (m *Machine) found(e *entry) {
	e.lost, e.heard, e.asked, e.since = false, m.now, 0, m.now
	m.stale, m.out.Changed = true, true
}

// face compares a node's own word about its version with ours: it must hear that it
// is held for gone, to take it back.
func (m *Machine) face(from string, life, seq uint64) {
	e := m.nodes[from]
	if e == nil || e.node.State != Gone || life != e.node.Life || seq > e.node.Seq {
		return
	}
	if t, ok := m.told[from]; !ok || m.now-t >= swapEvery {
		m.told[from] = m.now
		m.send(from, Doubt{Life: e.node.Life, Seq: e.node.Seq})
	}
}

// holds takes a node's word of what it holds.
func (m *Machine) holds(addr string, life uint64, held uint32) {
	if e := m.nodes[addr]; e != nil && e.node.Life == life && held > max(e.held, e.node.Held) {
		e.held = held
		m.out.Holds = append(m.out.Holds, Hold{addr, held})
	}
}

// learn takes an entry from anyone; what is news is passed on.
func (m *Machine) learn(n Node) {
	if n.Addr == m.self.Addr {
		m.own(n)
		return
	}
	if m.merge(n) {
		m.late[n.Addr] = true
	}
}

// own meets words about ourselves: an earlier life's are outdone, and "gone" is
// taken back. So soon after our start it can only be an earlier life that was missed.
func (m *Machine) own(n Node) {
	young := n.State == Gone && m.now-m.born < goneAfter
	switch {
	case n.Life > m.self.Life || n.Life == m.self.Life && (n.Seq > m.self.Seq || young):
		m.self.Life = n.Life + 1
		m.renew()
	case n.Life == m.self.Life && n.Seq == m.self.Seq && n.State == Gone:
		m.renew()
	}
}

// merge keeps the newer of two entries, and says whether that was news.
func (m *Machine) merge(n Node) bool {
	e := m.nodes[n.Addr]
	if e == nil {
		if n.State == Gone {
			return false
		}
		e = m.enter(n.Addr)
		e.heard, e.since = m.now, m.now
		m.put(e, n)
		m.stale, m.out.Changed = true, true
		return true
	}
	if !n.newer(e.node) {
		if e.lost && n == e.node {
			m.found(e) // somebody else sees it
		}
		return false
	}
	if n.State == Gone {
		if e.live() {
			m.out.Silent = append(m.out.Silent, n.Addr)
		}
		n2 := e.node // the word "gone" may come with less than we know
		n2.Life, n2.Seq, n2.State = n.Life, n.Seq, Gone
		n = n2
		e.ended = m.now
	}
	if e.lost || e.node.State != n.State || e.node.Life != n.Life {
		e.since = m.now
	}
	m.holds(n.Addr, n.Life, n.Held)
	if n.Life != e.node.Life {
		e.held = 0
	}
	if e.lost || !n.like(e.node) {
		m.stale, m.out.Changed = true, true
	}
	m.put(e, n)
	e.lost = false
	e.heard, e.asked = m.now, 0
	delete(m.doubt, n.Addr)
	return true
}

// tell passes on what is news to our watchers and a few others.
func (m *Machine) tell() {
	if len(m.late) == 0 {
		return
	}
	var nodes []Node
	for a := range m.late {
		if e := m.nodes[a]; e != nil {
			nodes = append(nodes, e.node)
		}
	}
	clear(m.late)
	slices.SortFunc(nodes, func(a, b Node) int { return strings.Compare(a.Addr, b.Addr) })
	to := m.watchers()
	to = append(to, m.some(others, to)...)
	for _, a := range to {
		m.send(a, Rumour{Nodes: nodes})
	}
}

// compare starts an exchange where the tables differ. News under way makes them
// differ too, so it is not done at each word.
func (m *Machine) compare(from string, hash uint64) {
	if hash == m.hash() {
		for _, e := range m.all {
			if e.lost {
				m.found(e)
			}
		}
		return
	}
	if m.now-m.swapped < swapEvery {
		return
	}
	m.swapped = m.now
	m.send(from, Index{Rows: m.index()})
}

func (e *entry) short() uint32 { return uint32(e.spot) }

// version of an entry in an index; 0 asks for whatever the other has.
func (e *entry) version() uint32 {
	if e.lost {
		return 0
	}
	return uint32(e.mark) | 1
}

func (m *Machine) index() []byte {
	b := make([]byte, 0, 8*len(m.all))
	for _, e := range m.all {
		b = binary.BigEndian.AppendUint32(b, e.short())
		b = binary.BigEndian.AppendUint32(b, e.version())
	}
	return b
}

// answer gives what an index lacks or has otherwise, and asks for the same.
func (m *Machine) answer(from string, rows []byte) {
	theirs := map[uint32]uint32{}
	for ; len(rows) >= 8; rows = rows[8:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint32(rows[4:])
	}
	var d Diff
	for _, e := range m.all {
		key := e.short()
		v, has := theirs[key]
		delete(theirs, key)
		if has && v == e.version() {
			continue
		}
		if !e.lost && (has || e.node.State != Gone) {
			d.Nodes = append(d.Nodes, e.node)
		}
		if has && v != 0 {
			d.Want = append(d.Want, key)
		}
	}
	for key, v := range theirs {
		if v != 0 {
			d.Want = append(d.Want, key)
		}
	}
	slices.Sort(d.Want)
	if len(d.Nodes)+len(d.Want) > 0 {
		m.send(from, d)
	}
}

// fill takes the entries of an exchange. A "gone" from here may be old, of a time
// when the teller was cut off: the node is asked first.
func (m *Machine) fill(from string, d Diff) {
	fresh, news := len(m.ring) < 2, 0
	for _, n := range d.Nodes {
		e := m.nodes[n.Addr]
		if n.State == Gone && e != nil && n.Addr != m.self.Addr && e.node.State != Gone && n.newer(e.node) {
			if _, asked := m.doubt[n.Addr]; !asked {
				m.doubt[n.Addr] = doubt{n, m.now + doubtFor}
				m.send(n.Addr, Doubt{Life: n.Life, Seq: n.Seq})
			}
			continue
		}
		if n.Addr == m.self.Addr {
			m.own(n)
		} else if m.merge(n) && !fresh && news < mostSwift {
			news++
			m.late[n.Addr] = true
		}
	}
	if len(d.Want) == 0 {
		return
	}
	var give []Node
	for _, e := range m.all {
		if _, ok := slices.BinarySearch(d.Want, e.short()); ok {
			give = append(give, e.node)
		}
	}
	if len(give) > 0 {
		m.send(from, Diff{Nodes: give})
	}
}

// resolve believes a "gone" that nobody took back.
func (m *Machine) resolve() {
	for _, a := range m.sortedDoubts() {
		d := m.doubt[a]
		if m.now < d.till {
			continue
		}
		delete(m.doubt, a)
		if e := m.nodes[a]; e != nil && m.now-e.heard >= doubtFor && m.merge(d.node) {
			m.late[a] = true
		}
	}
}

func (m *Machine) sortedDoubts() []string {
	found := make([]string, 0, len(m.doubt))
	for a := range m.doubt {
		found = append(found, a)
	}
	slices.Sort(found)
	return found
}
