package registry

import (
	"maps"
	"slices"

	"asterwell/internal/fsm"
)

// spread is the news that a server leaves, on its way to all.
type propagation struct {
	phase       Phase
	startedAt   fsm.Time
	unconfirmed map[string]bool // those that haven't confirmed
	confirmed   map[string]bool // those that have
	calls       []waitingCall
	done        bool // all have, or had their time, and most of the core is among them
}

// waiter is a call that waits for the news to be known.
type waitingCall struct {
	call  uint64
	since fsm.Time
}

// post is news that waits for Acks.
type unconfirmedUpdate struct {
	ids            []string
	unconfirmed    map[string]bool // those that haven't confirmed
	lastSent       fsm.Time
	firstSent      fsm.Time
	sentIndirectly bool // it was sent through others too
}

// tell makes a row news; it goes out with this input or, where many come, the tick.
func (m *Machine) queueUpdate(id string) { m.queued[id] = true }

// flush sends what is queued to all.
func (m *Machine) flush() {
	if len(m.queued) == 0 {
		return
	}
	m.flushPendingEnds()
	var plain, leaving []string
	for id := range m.queued {
		it := m.items[id]
		switch {
		case it == nil:
		case it.Phase >= Quiescing && !m.fullyConfirmed(id, it.Phase):
			leaving = append(leaving, id)
			m.startPropagation(id)
		case !m.complete:
			continue // news to us may be known to all: the table that is coming tells
		default:
			plain = append(plain, id)
		}
		delete(m.queued, id)
	}
	slices.Sort(plain)
	slices.Sort(leaving)
	if rows := m.rows(plain); len(rows) > 0 {
		for _, g := range m.relayRoutes() {
			m.send(g[0], Update{Rows: rows, ForwardTo: g[1:]})
		}
	}
	m.sendUntilConfirmed(m.relayRoutes(), leaving)
}

func (m *Machine) rows(ids []string) []Row {
	rows := make([]Row, 0, len(ids))
	for _, id := range ids {
		if it := m.items[id]; it != nil {
			rows = append(rows, m.wireRow(it.Server))
		}
	}
	return rows
}

// brief leaves out what nobody needs of an ended server.
func (m *Machine) wireRow(s Server) Row {
	r := s.row(m.now)
	if s.Phase == Ended {
		r.Epoch, r.Capacity, r.WarmMs = "", 0, 0
	}
	return r
}

// settled tells whether all have had news of a leaving server that nothing waits for any more.
func (m *Machine) fullyConfirmed(id string, phase Phase) bool {
	sp := m.propagations[id]
	return sp != nil && sp.phase == phase && sp.done && len(sp.unconfirmed) == 0
}

// begin sets out to tell all that a server leaves.
func (m *Machine) startPropagation(id string) {
	phase := m.items[id].Phase
	sp := m.propagations[id]
	if sp != nil && sp.phase == phase {
		return
	}
	next := &propagation{phase: phase, startedAt: m.now, unconfirmed: map[string]bool{}, confirmed: map[string]bool{}}
	if sp != nil {
		next.calls = sp.calls // whoever waits for less waits for this
	}
	for _, a := range m.peers {
		next.unconfirmed[a] = true
	}
	m.propagations[id], m.activePropagations[id] = next, true
}

// mail sends rows to the first of each group, to be passed on to the rest, until all confirm
// them.
func (m *Machine) sendUntilConfirmed(groups [][]string, ids []string) {
	if len(ids) == 0 || len(groups) == 0 {
		return
	}
	m.lastNumber++
	p, rows := &unconfirmedUpdate{ids: ids, unconfirmed: map[string]bool{}, lastSent: m.now, firstSent: m.now}, m.rows(ids)
	m.unconfirmed[m.lastNumber] = p
	for _, g := range groups {
		for _, a := range g {
			p.unconfirmed[a] = true
		}
		m.send(g[0], Update{Number: m.lastNumber, Rows: rows, ForwardTo: g[1:]})
	}
}

// assure answers the call once all in reach know that the server leaves. What another
// process spread may not have reached all, so it is spread from here too.
func (m *Machine) answerWhenConfirmed(call uint64, id string) {
	it := m.items[id]
	sp := m.propagations[id]
	if sp == nil || sp.phase != it.Phase {
		m.startPropagation(id)
		sp = m.propagations[id]
		m.queueUpdate(id)
	}
	sp.calls, m.activePropagations[id] = append(sp.calls, waitingCall{call, m.now}), true
	m.answerIfConfirmed(id, sp)
}

// confirm takes an Ack.
func (m *Machine) confirm(no uint64, who ...string) {
	p := m.unconfirmed[no]
	if p == nil {
		return
	}
	who = slices.DeleteFunc(who, func(a string) bool { return !p.unconfirmed[a] })
	for _, a := range who {
		delete(p.unconfirmed, a)
	}
	if len(p.unconfirmed) == 0 {
		delete(m.unconfirmed, no)
	}
	for _, id := range p.ids {
		if sp := m.propagations[id]; sp != nil && len(who) > 0 {
			for _, a := range who {
				delete(sp.unconfirmed, a)
				sp.confirmed[a] = true
			}
			m.answerIfConfirmed(id, sp)
		}
	}
}

// finish answers those who wait, if it is time.
func (m *Machine) answerIfConfirmed(id string, sp *propagation) {
	if sp.done = sp.done || m.confirmedByMajority(sp) && (len(sp.unconfirmed) == 0 || m.now-sp.startedAt >= confirmTimeout); sp.done {
		for _, w := range sp.calls {
			m.answerCall(w.call, id)
		}
		sp.calls = nil
		return
	}
	sp.calls = slices.DeleteFunc(sp.calls, func(w waitingCall) bool {
		over := !m.majorityReachable() || m.now-w.since >= quiesceCallTimeout
		if over {
			m.out.Answers = append(m.out.Answers, Answer{Call: w.call})
		}
		return over
	})
}

// push sends again what hasn't been confirmed.
func (m *Machine) resendUnconfirmed() {
	for _, no := range m.sortedNumbers() {
		p := m.unconfirmed[no]
		pace := resendInterval
		if m.now-p.firstSent > 2e9 {
			pace *= 4
		}
		again, round := m.now-p.lastSent >= pace, !p.sentIndirectly && m.now-p.firstSent >= indirectAfter
		if !again && !round {
			continue
		}
		rows := m.rows(p.ids)
		for _, a := range slices.Sorted(maps.Keys(p.unconfirmed)) {
			if again {
				p.lastSent = m.now
				m.send(a, Update{Number: no, Rows: rows})
			}
			if round {
				p.sentIndirectly = true
				m.sendIndirectly(no, p, a)
			}
		}
	}
	for _, id := range m.activeIDs() {
		m.answerIfConfirmed(id, m.propagations[id])
	}
}

// drop gives up on those that are gone: they are repaired when they come back.
func (m *Machine) dropGonePeers() {
	for no, p := range m.unconfirmed {
		for a := range p.unconfirmed {
			if m.nodes[a] == nil {
				delete(p.unconfirmed, a)
			}
		}
		if len(p.unconfirmed) == 0 {
			delete(m.unconfirmed, no)
		}
	}
	for _, id := range m.activeIDs() {
		sp := m.propagations[id]
		for a := range sp.unconfirmed {
			if _, ok := m.nodes[a]; !ok {
				delete(sp.unconfirmed, a)
			}
		}
		m.answerIfConfirmed(id, sp)
	}
}

// catchUp brings young news to one that has just come up.
func (m *Machine) sendRecent(to string) {
	var ids []string
	for _, id := range m.activeIDs() {
		sp := m.propagations[id]
		if sp.done && m.now-sp.startedAt > catchUpWindow || m.items[id] == nil {
			continue
		}
		ids = append(ids, id)
		if !sp.done {
			sp.unconfirmed[to] = true
		}
	}
	m.sendUntilConfirmed([][]string{{to}}, ids)
}

// spreading is the news that waits or is young. What is neither any more is looked at no
// longer.
func (m *Machine) activeIDs() []string {
	var ids []string
	for id := range m.activePropagations {
		if sp := m.propagations[id]; sp != nil && (!sp.done || len(sp.calls) > 0 || m.now-sp.startedAt <= catchUpWindow) {
			ids = append(ids, id)
		} else {
			delete(m.activePropagations, id)
		}
	}
	slices.Sort(ids)
	return ids
}

func (m *Machine) sortedNumbers() []uint64 {
	nos := make([]uint64, 0, len(m.unconfirmed))
	for no := range m.unconfirmed {
		nos = append(nos, no)
	}
	slices.Sort(nos)
	return nos
}
