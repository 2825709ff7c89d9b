package lore

import (
	"slices"

	"asterwell/internal/plane"
)

// spread is the news that a server leaves, on its way to all.
type spread struct {
	phase Phase
	began plane.Time
	left  map[string]bool // those that haven't confirmed
	calls []uint64
	done  bool // all have, or had their time
}

// post is a message that waits for its Ack.
type post struct {
	to    string
	ids   []string
	sent  plane.Time
	since plane.Time
}

// tell makes a row news; it goes out with this input or, where many come, the tick.
func (m *Machine) tell(id string) { m.queue[id] = true }

// flush sends what is queued to all.
func (m *Machine) flush() {
	if len(m.queue) == 0 {
		return
	}
	var plain, leaving []string
	for id := range m.queue {
		it := m.items[id]
		switch {
		case it == nil:
		case it.Phase >= Quiescing:
			leaving = append(leaving, id)
			m.begin(id)
		case !m.filled:
			continue // news to us may be known to all: the table that is coming tells
		default:
			plain = append(plain, id)
		}
		delete(m.queue, id)
	}
	slices.Sort(plain)
	slices.Sort(leaving)
	for _, a := range m.peers {
		if len(plain) > 0 {
			m.send(a, News{Rows: m.rows(plain)})
		}
		m.mail(a, leaving)
	}
}

func (m *Machine) rows(ids []string) []Row {
	rows := make([]Row, 0, len(ids))
	for _, id := range ids {
		if it := m.items[id]; it != nil {
			rows = append(rows, m.brief(it.Server))
		}
	}
	return rows
}

// brief leaves out what nobody needs of an ended server.
func (m *Machine) brief(s Server) Row {
	r := s.row(m.now)
	if s.Phase == Ended {
		r.Epoch, r.Capacity, r.WarmMs = "", 0, 0
	}
	return r
}

// begin sets out to tell all that a server leaves.
func (m *Machine) begin(id string) {
	phase := m.items[id].Phase
	sp := m.spreads[id]
	if sp != nil && sp.phase == phase {
		return
	}
	next := &spread{phase: phase, began: m.now, left: map[string]bool{}}
	if sp != nil {
		next.calls = sp.calls // whoever waits for less waits for this
	}
	for _, a := range m.peers {
		next.left[a] = true
	}
	m.spreads[id] = next
}

// mail sends rows to one process until it confirms them.
func (m *Machine) mail(to string, ids []string) {
	if len(ids) == 0 {
		return
	}
	m.no++
	m.posts[m.no] = &post{to: to, ids: ids, sent: m.now, since: m.now}
	m.send(to, News{No: m.no, Rows: m.rows(ids)})
}

// assure answers the call once all in reach know that the server leaves. What another
// process spread may not have reached all, so it is spread from here too.
func (m *Machine) assure(call uint64, id string) {
	it := m.items[id]
	sp := m.spreads[id]
	if sp == nil || sp.phase != it.Phase {
		m.begin(id)
		sp = m.spreads[id]
		m.tell(id)
	}
	if sp.done || len(sp.left) == 0 {
		sp.done = true
		m.answer(call, id)
		return
	}
	sp.calls = append(sp.calls, call)
}

// confirm takes an Ack.
func (m *Machine) confirm(from string, no uint64) {
	p := m.posts[no]
	if p == nil || p.to != from {
		return
	}
	delete(m.posts, no)
	for _, id := range p.ids {
		if sp := m.spreads[id]; sp != nil {
			delete(sp.left, from)
			m.finish(id, sp)
		}
	}
}

// finish answers those who wait, if it is time.
func (m *Machine) finish(id string, sp *spread) {
	if len(sp.left) > 0 && m.now-sp.began < spreadFor {
		return
	}
	sp.done = true
	for _, c := range sp.calls {
		m.answer(c, id)
	}
	sp.calls = nil
}

// push sends again what hasn't been confirmed.
func (m *Machine) push() {
	for _, no := range m.numbers() {
		p := m.posts[no]
		pace := againIn
		if m.now-p.since > 2e9 {
			pace *= 4
		}
		if m.now-p.sent >= pace {
			p.sent = m.now
			m.send(p.to, News{No: no, Rows: m.rows(p.ids)})
		}
	}
	for _, id := range m.spreading() {
		m.finish(id, m.spreads[id])
	}
}

// drop gives up on those that are gone: they are repaired when they come back.
func (m *Machine) drop() {
	for no, p := range m.posts {
		if _, ok := m.nodes[p.to]; !ok {
			delete(m.posts, no)
		}
	}
	for _, id := range m.spreading() {
		sp := m.spreads[id]
		for a := range sp.left {
			if _, ok := m.nodes[a]; !ok {
				delete(sp.left, a)
			}
		}
		m.finish(id, sp)
	}
}

// catchUp brings young news to one that has just come up.
func (m *Machine) catchUp(to string) {
	var ids []string
	for _, id := range m.spreading() {
		sp := m.spreads[id]
		if m.now-sp.began > recently || m.items[id] == nil {
			continue
		}
		ids = append(ids, id)
		if !sp.done {
			sp.left[to] = true
		}
	}
	m.mail(to, ids)
}

func (m *Machine) spreading() []string {
	var ids []string
	for id, sp := range m.spreads {
		if !sp.done || len(sp.calls) > 0 || m.now-sp.began <= recently {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) numbers() []uint64 {
	nos := make([]uint64, 0, len(m.posts))
	for no := range m.posts {
		nos = append(nos, no)
	}
	slices.Sort(nos)
	return nos
}
