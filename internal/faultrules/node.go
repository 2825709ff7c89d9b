package faultrules

import (
	"bytes"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// onPush takes a set that the primary says is kept, and confirms it.
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
	if m.confirm = !m.refused; m.confirm {
		m.ask()
	}
}

// adopt takes another set. It strikes nobody before there is a lease.
func (m *Machine) adopt(p Push) {
	m.turn, m.doc, m.rules, m.ends = p.Turn, p.Doc, nil, nil
	m.out.News, m.refused = "fault rules stopped", false
	if !p.Stopped {
		set, err := Parse(p.Doc.Body, m.c.Longest)
		if m.refused = err != nil; m.refused { // never confirmed, so never in force anywhere
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

// tend asks for the next lease, and drops rules that have ended whatever anybody says.
func (m *Machine) tickNode() {
	if len(m.rules) == 0 && !m.confirm && m.judge.Backlog() == 0 {
		return
	}
	over := true
	for _, end := range m.ends {
		over = over && m.now >= end
	}
	if over && len(m.rules) > 0 && m.bug != Outlives {
		m.endRules()
	}
	if wait := m.now - m.asked; wait >= askInterval || wait >= urgentAskInterval && m.judge.Due() {
		m.ask()
	}
}

// drop ends the rules here; the turn is remembered.
func (m *Machine) endRules() {
	m.rules, m.ends = nil, nil
	m.judge.setRules(m.now, m.turn, nil)
	m.out.News = "fault rules ended"
}

// primary is who is to be asked. One that started since the last election may not have heard of it
// from agreement, and goes by who brought the rules.
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
	defer m.judge.settle(l.Heard) // who looks in between waits a little longer
	m.confirm = false             // it has heard what is held
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
	if r := (Record{Term: l.Term, Seq: l.Seq}); m.leaseRecord.newer(r) { // overtaken: it may not know of the newest parts
		return
	} else {
		m.leaseRecord = r
	}
	till := make([]fsm.Time, len(m.rules))
	for i := range till {
		till[i] = min(l.Stamp+min(l.For, l.Left[i]), m.ends[i])
		if m.bug == Outlives {
			till[i] = l.Stamp + time.Hour
		}
	}
	m.judge.applyLease(till, l.Parts, l.Noted, l.Spent, l.Nodes)
}
