package registry

import (
	"maps"
	"slices"

	"asterwell/internal/fsm"
)

// propagation tracks which processes have learned that a server leaves or has ended.
type propagation struct {
	phase       Phase
	startedAt   fsm.Time
	unconfirmed map[string]bool // processes that haven't confirmed
	confirmed   map[string]bool // processes that have
	calls       []waitingCall
	done        bool // all have confirmed or had their time, and a majority of the voters is among them
}

// waitingCall is a server's call that waits for a propagation.
type waitingCall struct {
	call  uint64
	since fsm.Time
}

// unconfirmedUpdate is an update that waits for Acks.
type unconfirmedUpdate struct {
	ids            []string
	unconfirmed    map[string]bool // processes that haven't confirmed
	lastSent       fsm.Time
	firstSent      fsm.Time
	sentIndirectly bool // also sent through other processes
}

// queueUpdate queues a row to be sent. It goes out with the current input or, after many, at the
// next tick.
func (m *Machine) queueUpdate(id string) { m.queued[id] = true }

// flush sends all queued rows.
func (m *Machine) flush() {
	if len(m.queued) == 0 {
		return
	}
	m.flushPendingEnds()
	var regular, leaving []string
	for id := range m.queued {
		it := m.items[id]
		switch {
		case it == nil:
		case it.Phase >= Quiescing && !m.fullyConfirmed(id, it.Phase):
			leaving = append(leaving, id)
			m.startPropagation(id)
		case !m.complete:
			continue // what is new here may be known to all; the requested table shows it
		default:
			regular = append(regular, id)
		}
		delete(m.queued, id)
	}
	slices.Sort(regular)
	slices.Sort(leaving)
	if rows := m.rows(regular); len(rows) > 0 {
		for _, g := range m.relayRoutes() {
			m.send(g[0], Update{Rows: rows, ForwardTo: g[1:]})
		}
	}
	m.sendUntilConfirmed(m.relayRoutes(), leaving)
}

// rows returns the rows of the given servers.
func (m *Machine) rows(ids []string) []Row {
	rows := make([]Row, 0, len(ids))
	for _, id := range ids {
		if it := m.items[id]; it != nil {
			rows = append(rows, m.wireRow(it.Server))
		}
	}
	return rows
}

// wireRow returns a server's row, for an ended server without the fields that nobody needs.
func (m *Machine) wireRow(s Server) Row {
	r := s.row(m.now)
	if s.Phase == Ended {
		r.Epoch, r.Capacity, r.WarmMs = "", 0, 0
	}
	return r
}

// fullyConfirmed reports whether all have confirmed a phase of a leaving server, with no call
// waiting.
func (m *Machine) fullyConfirmed(id string, phase Phase) bool {
	p := m.propagations[id]
	return p != nil && p.phase == phase && p.done && len(p.unconfirmed) == 0
}

// startPropagation begins to tell all processes that a server leaves or has ended.
func (m *Machine) startPropagation(id string) {
	phase := m.items[id].Phase
	previous := m.propagations[id]
	if previous != nil && previous.phase == phase {
		return
	}
	next := &propagation{phase: phase, startedAt: m.now, unconfirmed: map[string]bool{}, confirmed: map[string]bool{}}
	if previous != nil {
		next.calls = previous.calls // a call that waits for an earlier phase waits for this one
	}
	for _, a := range m.peers {
		next.unconfirmed[a] = true
	}
	m.propagations[id], m.activePropagations[id] = next, true
}

// sendUntilConfirmed sends rows to the first of each group, to be forwarded to the rest, and
// repeats them until all have confirmed.
func (m *Machine) sendUntilConfirmed(groups [][]string, ids []string) {
	if len(ids) == 0 || len(groups) == 0 {
		return
	}
	m.lastNumber++
	u, rows := &unconfirmedUpdate{ids: ids, unconfirmed: map[string]bool{}, lastSent: m.now, firstSent: m.now}, m.rows(ids)
	m.unconfirmed[m.lastNumber] = u
	for _, g := range groups {
		for _, a := range g {
			u.unconfirmed[a] = true
		}
		m.send(g[0], Update{Number: m.lastNumber, Rows: rows, ForwardTo: g[1:]})
	}
}

// answerWhenConfirmed answers the call once all reachable processes know that the server leaves.
// Updates of another process about it may not have reached all, so this one sends them too.
func (m *Machine) answerWhenConfirmed(call uint64, id string) {
	it := m.items[id]
	p := m.propagations[id]
	if p == nil || p.phase != it.Phase {
		m.startPropagation(id)
		p = m.propagations[id]
		m.queueUpdate(id)
	}
	p.calls, m.activePropagations[id] = append(p.calls, waitingCall{call, m.now}), true
	m.answerIfConfirmed(id, p)
}

// confirm records an Ack.
func (m *Machine) confirm(number uint64, confirmers ...string) {
	u := m.unconfirmed[number]
	if u == nil {
		return
	}
	confirmers = slices.DeleteFunc(confirmers, func(a string) bool { return !u.unconfirmed[a] })
	for _, a := range confirmers {
		delete(u.unconfirmed, a)
	}
	if len(u.unconfirmed) == 0 {
		delete(m.unconfirmed, number)
	}
	for _, id := range u.ids {
		if p := m.propagations[id]; p != nil && len(confirmers) > 0 {
			for _, a := range confirmers {
				delete(p.unconfirmed, a)
				p.confirmed[a] = true
			}
			m.answerIfConfirmed(id, p)
		}
	}
}

// answerIfConfirmed answers the waiting calls if the propagation is done or they have timed out.
func (m *Machine) answerIfConfirmed(id string, p *propagation) {
	if p.done = p.done || m.confirmedByMajority(id, p) && (len(p.unconfirmed) == 0 || m.now-p.startedAt >= confirmTimeout); p.done {
		for _, w := range p.calls {
			m.answerCall(w.call, id)
		}
		p.calls = nil
		return
	}
	p.calls = slices.DeleteFunc(p.calls, func(w waitingCall) bool {
		expired := !m.majorityReachable() || m.now-w.since >= quiesceCallTimeout
		if expired {
			m.out.Answers = append(m.out.Answers, Answer{Call: w.call})
		}
		return expired
	})
}

// resendUnconfirmed repeats unconfirmed updates.
func (m *Machine) resendUnconfirmed() {
	for _, number := range m.sortedNumbers() {
		u := m.unconfirmed[number]
		interval := resendInterval
		if m.now-u.firstSent > 2e9 {
			interval *= 4
		}
		again, indirectly := m.now-u.lastSent >= interval, !u.sentIndirectly && m.now-u.firstSent >= indirectAfter
		if !again && !indirectly {
			continue
		}
		rows := m.rows(u.ids)
		for _, a := range slices.Sorted(maps.Keys(u.unconfirmed)) {
			if again {
				u.lastSent = m.now
				m.send(a, Update{Number: number, Rows: rows})
			}
			if indirectly {
				u.sentIndirectly = true
				m.sendIndirectly(number, u, a)
			}
		}
	}
	for _, id := range m.activeIDs() {
		m.answerIfConfirmed(id, m.propagations[id])
	}
}

// dropGonePeers stops waiting for processes that are gone: their tables are reconciled when they
// come back.
func (m *Machine) dropGonePeers() {
	for number, u := range m.unconfirmed {
		for a := range u.unconfirmed {
			if m.nodes[a] == nil {
				delete(u.unconfirmed, a)
			}
		}
		if len(u.unconfirmed) == 0 {
			delete(m.unconfirmed, number)
		}
	}
	for _, id := range m.activeIDs() {
		p := m.propagations[id]
		for a := range p.unconfirmed {
			if _, ok := m.nodes[a]; !ok {
				delete(p.unconfirmed, a)
			}
		}
		m.answerIfConfirmed(id, p)
	}
}

// sendRecent sends recent updates to a process that has just come up.
func (m *Machine) sendRecent(to string) {
	var ids []string
	for _, id := range m.activeIDs() {
		p := m.propagations[id]
		if p.done && m.now-p.startedAt > catchUpWindow || m.items[id] == nil {
			continue
		}
		ids = append(ids, id)
		if !p.done {
			p.unconfirmed[to] = true
		}
	}
	m.sendUntilConfirmed([][]string{{to}}, ids)
}

// activeIDs returns the propagations that are waiting or recent, and drops the others from the
// active set.
func (m *Machine) activeIDs() []string {
	var ids []string
	for id := range m.activePropagations {
		if p := m.propagations[id]; p != nil && (!p.done || len(p.calls) > 0 || m.now-p.startedAt <= catchUpWindow) {
			ids = append(ids, id)
		} else {
			delete(m.activePropagations, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// sortedNumbers returns the numbers of the unconfirmed updates.
func (m *Machine) sortedNumbers() []uint64 {
	numbers := make([]uint64, 0, len(m.unconfirmed))
	for number := range m.unconfirmed {
		numbers = append(numbers, number)
	}
	slices.Sort(numbers)
	return numbers
}
