package registry

import (
	"maps"
	"slices"

	"asterwell/internal/fsm"
)

// spread is the news that a server leaves, on its way to all.
type spread struct {
	phase Phase
	began fsm.Time
	left  map[string]bool // those that haven't confirmed
	has   map[string]bool // those that have
	calls []waiter
	done  bool // all have, or had their time, and most of the core is among them
}

// waiter is a call that waits for the news to be known.
type waiter struct {
	call uint64
	at   fsm.Time
}

// post is news that waits for Acks.
type post struct {
	ids   []string
	left  map[string]bool // those that haven't confirmed
	sent  fsm.Time
	since fsm.Time
	round bool // it was sent through others too
}

// tell makes a row news; it goes out with this input or, where many come, the tick.
func (m *Machine) tell(id string) { m.queue[id] = true }

// flush sends what is queued to all.
func (m *Machine) flush() {
	if len(m.queue) == 0 {
		return
	}
	m.finished()
	var plain, leaving []string
	for id := range m.queue {
		it := m.items[id]
		switch {
		case it == nil:
		case it.Phase >= Quiescing && !m.settled(id, it.Phase):
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
	if rows := m.rows(plain); len(rows) > 0 {
		for _, g := range m.grouped() {
			m.send(g[0], Update{Rows: rows, ForwardTo: g[1:]})
		}
	}
	m.mail(m.grouped(), leaving)
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

// settled tells whether all have had news of a leaving server that nothing waits for any more.
func (m *Machine) settled(id string, phase Phase) bool {
	sp := m.spreads[id]
	return sp != nil && sp.phase == phase && sp.done && len(sp.left) == 0
}

// begin sets out to tell all that a server leaves.
func (m *Machine) begin(id string) {
	phase := m.items[id].Phase
	sp := m.spreads[id]
	if sp != nil && sp.phase == phase {
		return
	}
	next := &spread{phase: phase, began: m.now, left: map[string]bool{}, has: map[string]bool{}}
	if sp != nil {
		next.calls = sp.calls // whoever waits for less waits for this
	}
	for _, a := range m.peers {
		next.left[a] = true
	}
	m.spreads[id], m.live[id] = next, true
}

// mail sends rows to the first of each group, to be passed on to the rest, until all confirm
// them.
func (m *Machine) mail(groups [][]string, ids []string) {
	if len(ids) == 0 || len(groups) == 0 {
		return
	}
	m.no++
	p, rows := &post{ids: ids, left: map[string]bool{}, sent: m.now, since: m.now}, m.rows(ids)
	m.posts[m.no] = p
	for _, g := range groups {
		for _, a := range g {
			p.left[a] = true
		}
		m.send(g[0], Update{Number: m.no, Rows: rows, ForwardTo: g[1:]})
	}
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
	sp.calls, m.live[id] = append(sp.calls, waiter{call, m.now}), true
	m.finish(id, sp)
}

// confirm takes an Ack.
func (m *Machine) confirm(no uint64, who ...string) {
	p := m.posts[no]
	if p == nil {
		return
	}
	who = slices.DeleteFunc(who, func(a string) bool { return !p.left[a] })
	for _, a := range who {
		delete(p.left, a)
	}
	if len(p.left) == 0 {
		delete(m.posts, no)
	}
	for _, id := range p.ids {
		if sp := m.spreads[id]; sp != nil && len(who) > 0 {
			for _, a := range who {
				delete(sp.left, a)
				sp.has[a] = true
			}
			m.finish(id, sp)
		}
	}
}

// finish answers those who wait, if it is time.
func (m *Machine) finish(id string, sp *spread) {
	if sp.done = sp.done || m.vouched(sp) && (len(sp.left) == 0 || m.now-sp.began >= spreadFor); sp.done {
		for _, w := range sp.calls {
			m.answer(w.call, id)
		}
		sp.calls = nil
		return
	}
	sp.calls = slices.DeleteFunc(sp.calls, func(w waiter) bool {
		over := !m.reaches() || m.now-w.at >= assureFor
		if over {
			m.out.Answers = append(m.out.Answers, Answer{Call: w.call})
		}
		return over
	})
}

// push sends again what hasn't been confirmed.
func (m *Machine) push() {
	for _, no := range m.numbers() {
		p := m.posts[no]
		pace := againIn
		if m.now-p.since > 2e9 {
			pace *= 4
		}
		again, round := m.now-p.sent >= pace, !p.round && m.now-p.since >= roundIn
		if !again && !round {
			continue
		}
		rows := m.rows(p.ids)
		for _, a := range slices.Sorted(maps.Keys(p.left)) {
			if again {
				p.sent = m.now
				m.send(a, Update{Number: no, Rows: rows})
			}
			if round {
				p.round = true
				m.around(no, p, a)
			}
		}
	}
	for _, id := range m.spreading() {
		m.finish(id, m.spreads[id])
	}
}

// drop gives up on those that are gone: they are repaired when they come back.
func (m *Machine) drop() {
	for no, p := range m.posts {
		for a := range p.left {
			if m.nodes[a] == nil {
				delete(p.left, a)
			}
		}
		if len(p.left) == 0 {
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
		if sp.done && m.now-sp.began > recently || m.items[id] == nil {
			continue
		}
		ids = append(ids, id)
		if !sp.done {
			sp.left[to] = true
		}
	}
	m.mail([][]string{{to}}, ids)
}

// spreading is the news that waits or is young. What is neither any more is looked at no
// longer.
func (m *Machine) spreading() []string {
	var ids []string
	for id := range m.live {
		if sp := m.spreads[id]; sp != nil && (!sp.done || len(sp.calls) > 0 || m.now-sp.began <= recently) {
			ids = append(ids, id)
		} else {
			delete(m.live, id)
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
