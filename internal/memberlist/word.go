package memberlist

import (
	"slices"
	"strings"
	"time"

	"asterwell/internal/fsm"
)

// Take hears a message.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Out {
	m.now = now
	if now-m.ticked > ownGap {
		m.thaw() // what was read first after a freeze
		m.ticked = now
	}
	if from == m.self.Addr {
		return m.take()
	}
	m.heard, m.stoodAt = now, m.stood
	if e := m.nodes[from]; e != nil {
		m.hear(e, now)
		if e.lost {
			m.found(e)
		}
	}
	switch x := msg.(type) {
	case Heartbeat:
		m.face(from, x.Incarnation, x.Seq)
		m.holds(from, x.Incarnation, x.ConfigVersion)
		m.compare(from, x.TableHash)
	case Hello:
		if x.Node.Addr == from {
			m.learn(x.Node, from)
			m.face(from, x.Node.Incarnation, x.Node.Seq)
		}
		m.send(from, m.sign()) // it compares: of many that answer, it asks one
	case Gossip:
		for _, n := range m.open(x.Nodes, x.Packed) {
			m.learn(n, from)
		}
	case Index:
		if len(x.PartDigests) > 0 {
			m.differ(from, x)
		} else {
			m.answer(from, x)
		}
	case Diff:
		m.fill(from, x)
	case Ping:
		if x.Watcher == "" {
			m.send(from, m.sign())
		} else {
			m.send(from, IndirectAck{Addr: m.self.Addr, Watcher: x.Watcher, Incarnation: m.self.Incarnation, Seq: m.self.Seq})
		}
	case IndirectPing:
		m.send(x.Addr, Ping{Watcher: from})
	case IndirectAck:
		if x.Watcher != m.self.Addr {
			m.send(x.Watcher, x)
		} else if e := m.nodes[x.Addr]; e != nil && x.Incarnation == e.node.Incarnation {
			m.hear(e, now)
			e.via = from
		}
	case Suspect:
		m.own(Node{Addr: m.self.Addr, Incarnation: x.Incarnation, Seq: x.Seq, State: Gone})
	}
	if m.swift > 0 && len(m.late) > 0 {
		m.swift--
		m.tell()
	}
	return m.take()
}

// found: one that we alone had lost is there.
func (m *Machine) found(e *entry) {
	m.hear(e, m.now)
	m.setLost(e, false)
	e.since = m.now
	m.stale, m.out.Changed = true, true
}

// face compares a node's own word about its version with ours: it must hear that it
// is held for gone, to take it back.
func (m *Machine) face(from string, life, seq uint64) {
	e := m.nodes[from]
	if e == nil || e.node.State != Gone || life != e.node.Incarnation || seq > e.node.Seq {
		return
	}
	if t, ok := m.told[from]; !ok || m.now-t >= swapEvery {
		m.told[from] = m.now
		m.send(from, Suspect{Incarnation: e.node.Incarnation, Seq: e.node.Seq})
	}
}

// holds takes a node's word of what it holds.
func (m *Machine) holds(addr string, life uint64, held uint32) {
	if e := m.nodes[addr]; e != nil && e.node.Incarnation == life && held > max(e.held, e.node.ConfigVersion) {
		e.held = held
		m.out.HeldVersions = append(m.out.HeldVersions, HeldVersion{addr, held})
	}
}

// learn takes an entry from anyone; what is news is passed on.
func (m *Machine) learn(n Node, from string) {
	if n.Addr == m.self.Addr {
		m.own(n)
		return
	}
	met := m.met(n)
	if m.merge(n) {
		m.later(n.Addr, met, from)
	} else if l := m.late[n.Addr]; l != nil && n.mark() == m.nodes[n.Addr].mark {
		l.by(from)
	}
}

// met: an entry's life was known here before, so most others know it.
func (m *Machine) met(n Node) bool {
	e := m.nodes[n.Addr]
	return e != nil && e.node.Incarnation == n.Incarnation
}

// news is what waits to be told of a node.
type news struct {
	brief bool
	from  []string // those who told us
}

// later leaves news of a node to be told.
func (m *Machine) later(addr string, brief bool, from string) {
	if l := m.late[addr]; l != nil {
		brief = brief && l.brief
	}
	l := &news{brief: brief}
	m.late[addr] = l
	l.by(from)
}

func (l *news) by(from string) {
	if from != "" && !slices.Contains(l.from, from) {
		l.from = append(l.from, from)
	}
}

// open is the nodes of a message. A brief one whose life we have not met says nothing to us: the
// tables differ then.
func (m *Machine) open(nodes []Node, pack []byte) []Node {
	all, _ := unpack(pack) // what came before the damage is whole
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

// own meets words about ourselves: an earlier life's are outdone, and "gone" is
// taken back. So soon after our start it can only be an earlier life that was missed.
func (m *Machine) own(n Node) {
	young := n.State == Gone && m.now-m.born < goneAfter
	switch {
	case n.Incarnation > m.self.Incarnation || n.Incarnation == m.self.Incarnation && (n.Seq > m.self.Seq || young):
		m.self.Incarnation = n.Incarnation + 1
		m.renew()
	case n.Incarnation == m.self.Incarnation && n.Seq == m.self.Seq && n.State == Gone:
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
		e.since = m.now
		m.hear(e, m.now)
		m.put(e, n)
		m.stale, m.out.Changed = true, true
		return true
	}
	if !n.newer(e.node) {
		if e.lost && n.mark() == e.mark {
			m.found(e) // somebody else sees it
		}
		return false
	}
	if n.State == Gone {
		if e.live() {
			m.out.Failed = append(m.out.Failed, n.Addr)
		}
		n2 := e.node // the word "gone" may come with less than we know
		n2.Incarnation, n2.Seq, n2.State = n.Incarnation, n.Seq, Gone
		n = n2
		e.ended = m.now
	}
	if e.lost || e.node.State != n.State || e.node.Incarnation != n.Incarnation {
		e.since = m.now
	}
	m.holds(n.Addr, n.Incarnation, n.ConfigVersion)
	if n.Incarnation != e.node.Incarnation {
		e.held = 0
	}
	if e.lost || !n.like(e.node) {
		m.stale, m.out.Changed = true, true
	}
	m.put(e, n)
	m.setLost(e, false)
	m.hear(e, m.now)
	delete(m.doubt, n.Addr)
	return true
}

// tell passes on what is news to our watchers and a few others, but not to those who told us.
// What enough others have told us before our turn came is known by now.
func (m *Machine) tell() {
	if len(m.late) == 0 {
		return
	}
	var all []packed
	for a, l := range m.late {
		if e := m.nodes[a]; e != nil && len(l.from) < enough {
			all = append(all, packed{e.node, l.brief || e.node.State == Gone})
		}
	}
	slices.SortFunc(all, func(a, b packed) int { return strings.Compare(a.Addr, b.Addr) })
	to := m.watchers()
	to = append(to, m.beyond(to)...)
	var whole []byte // for those who told us none of it
	for _, a := range to {
		some := slices.DeleteFunc(slices.Clone(all), func(n packed) bool { return slices.Contains(m.late[n.Addr].from, a) })
		switch {
		case len(some) == 0:
		case m.nodes[a].node.Encoding < formPacked:
			m.send(a, Gossip{Nodes: plain(some)})
		case len(some) < len(all):
			m.send(a, Gossip{Packed: pack(some)})
		default:
			if whole == nil {
				whole = pack(all)
			}
			m.send(a, Gossip{Packed: whole})
		}
	}
	clear(m.late)
}

func plain(all []packed) (nodes []Node) {
	for _, n := range all {
		nodes = append(nodes, n.Node)
	}
	return nodes
}

// compare starts an exchange where the tables differ. News under way makes them differ too, so it
// is not done at each word: once the table has come to rest, and after a pause that grows, with
// chance in it, as long as they differ. Who knows nobody yet asks at once.
func (m *Machine) compare(from string, hash uint64) {
	if hash == m.hash() {
		m.pause = swapEvery
		for i := 0; m.lost > 0 && i < len(m.all); i++ {
			if e := m.all[i]; e.lost {
				m.found(e)
			}
		}
		return
	}
	most := m.each(swapEvery, pauseFor)
	if gone := m.now - m.swapped; gone < m.pause || gone < most && m.now-m.altered < m.each(0, settleFor) {
		return
	}
	m.swapped = m.now
	m.pause = swapEvery + time.Duration(m.rand.Int64N(int64(min(2*m.pause, most)-swapEvery)+1))
	if e, n := m.nodes[from], m.split(); n > 1 && m.lost == 0 && e != nil && e.node.Encoding >= formPacked {
		m.send(from, Index{PartDigests: m.sums(n), Encoding: formPacked})
		return
	}
	m.send(from, Index{Rows: m.index(nil), Encoding: formPacked})
}

// fill takes the entries of an exchange. A "gone" from here may be old, of a time
// when the teller was cut off: the node is asked first.
func (m *Machine) fill(from string, d Diff) {
	fresh, news := len(m.ring) < 2, 0
	for _, n := range m.open(d.Nodes, d.Packed) {
		e := m.nodes[n.Addr]
		if n.State == Gone && e != nil && n.Addr != m.self.Addr && e.node.State != Gone && n.newer(e.node) {
			if _, asked := m.doubt[n.Addr]; !asked {
				m.doubt[n.Addr] = doubt{n, m.now + doubtFor}
				m.send(n.Addr, Suspect{Incarnation: n.Incarnation, Seq: n.Seq})
			}
			continue
		}
		if n.Addr == m.self.Addr {
			m.own(n)
		} else if met := m.met(n); m.merge(n) && !fresh && news < mostSwift {
			news++
			m.later(n.Addr, met, from)
		}
	}
	if len(d.Want) == 0 {
		return
	}
	most := m.may()
	var give []Node
	for _, e := range m.all {
		if _, ok := slices.BinarySearch(d.Want, e.short()); ok && len(give) < most {
			give = append(give, e.node)
		}
	}
	m.given -= float64(len(give))
	if len(give) > 0 {
		m.send(from, m.diff(give, nil, d.Encoding))
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
			m.later(a, true, "")
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
