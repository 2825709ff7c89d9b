package faultrules

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// onPush adopts a committed set sent by the primary, and confirms it.
func (m *Machine) onPush(p Push) {
	c := p.Term.compare(m.term)
	if c < 0 {
		return
	}
	same := p.Turn == m.turn && bytes.Equal(p.Doc.Body, m.doc.Body)
	if c == 0 && p.Turn < m.turn {
		return
	}
	m.term = p.Term
	if !same || p.Stopped && len(m.rules) > 0 {
		m.adopt(p)
	}
	if m.mustConfirm = !m.setInvalid; m.mustConfirm {
		m.ask()
	}
}

// adopt replaces the held set. Its rules strike only once there is a lease.
func (m *Machine) adopt(p Push) {
	m.turn, m.doc, m.rules, m.ends = p.Turn, p.Doc, nil, nil
	m.out.News, m.setInvalid = "fault rules stopped", false
	if !p.Stopped {
		set, err := Parse(p.Doc.Body, m.c.Longest)
		if m.setInvalid = err != nil; m.setInvalid { // without this confirmation the set comes into force nowhere
			m.out.News = "fault rules are not valid here: " + err.Error()
		} else {
			m.rules, m.out.News = set.Rules, "fault rules held"
			for _, r := range set.Rules {
				m.ends = append(m.ends, m.now+r.Ends())
			}
		}
	}
	m.judge.setRules(m.now, m.turn, m.rules)
}

// tickNode renews the lease, and ends rules whose local expiry has passed.
func (m *Machine) tickNode() {
	if len(m.rules) == 0 && !m.mustConfirm && m.judge.Backlog() == 0 {
		return
	}
	allEnded := true
	for _, end := range m.ends {
		allEnded = allEnded && m.now >= end
	}
	if allEnded && len(m.rules) > 0 && m.bug != IgnoresExpiry {
		m.endRules()
	}
	if wait := m.now - m.asked; wait >= askInterval || wait >= urgentAskInterval && m.judge.Due() {
		m.ask()
	}
}

// endRules drops the rules of this process but remembers their turn.
func (m *Machine) endRules() {
	m.rules, m.ends = nil, nil
	m.judge.setRules(m.now, m.turn, nil)
	m.out.News = "fault rules ended"
}

// primary returns the address of the primary. A process that started after the last election may
// not know its result from consensus, and uses the sender of the rules instead.
func (m *Machine) primary() string {
	if m.place.Primary == "" || m.term.N > m.place.N {
		return m.term.By
	}
	return m.place.Primary
}

func (m *Machine) ask() {
	m.asked = m.now
	if m.turn == 0 {
		return
	}
	notes, used, want := m.judge.pendingReport()
	m.send(m.primary(), Ask{Turn: m.turn, Life: m.c.Life, Stamp: m.now, Used: used, Want: want, Body: xxhash.Sum64(m.doc.Body),
		Notes: notes, Name: m.c.Name, Form: formRecordsFirst})
}

func (m *Machine) onLease(l Lease) {
	if l.Life != m.c.Life {
		return
	}
	if l.Turn != m.turn {
		m.judge.settle(l.Heard)
		return
	}
	defer m.judge.settle(l.Heard) // after the lease: a concurrent Made may return Short, but not a false Pass
	m.mustConfirm = false         // the primary has the confirmation
	if len(m.rules) == 0 {
		return
	}
	if l.Over {
		m.endRules()
		return
	}
	if n := len(m.rules); l.For <= 0 || len(l.Left) != n || len(l.Parts) != n || len(l.Spent) != n || len(l.Noted) != n {
		return
	}
	if r := (Record{Term: l.Term, Seq: l.Seq}); m.leaseRecord.newer(r) { // out of order: it may lack the newest parts
		return
	} else {
		m.leaseRecord = r
	}
	until := make([]fsm.Time, len(m.rules))
	for i := range until {
		until[i] = min(l.Stamp+min(l.For, l.Left[i]), m.ends[i])
		if m.bug == IgnoresExpiry {
			until[i] = l.Stamp + time.Hour
		}
	}
	m.judge.applyLease(until, l.Parts, l.Noted, l.Spent, l.Nodes)
}
