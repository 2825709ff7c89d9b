package pact

import (
	"cmp"
	"slices"
	"time"
)

// near are the processes that may be members, or know them.
func (m *Machine) near() []string {
	var who []string
	for _, s := range m.view.Set {
		who = append(who, s.Addr)
	}
	for _, p := range m.peers {
		if p.Up && p.Member {
			who = append(who, p.Addr)
		}
	}
	return m.others(append(who, m.seeds...))
}

// everyone are the processes that a primary tells news.
func (m *Machine) everyone() []string {
	who := m.near()
	for _, p := range m.peers {
		if p.Up {
			who = append(who, p.Addr)
		}
	}
	return m.others(who)
}

func (m *Machine) others(who []string) []string {
	slices.Sort(who)
	who = slices.Compact(who)
	return slices.DeleteFunc(who, func(a string) bool { return a == m.c.Self || a == "" })
}

func (m *Machine) tell(to string) {
	if !m.view.none() {
		m.send(to, View{Record: m.view, Version: m.d.Kept.Version, Leads: m.lead != nil})
	}
}

// commit takes a document that is committed for certain. One that is not is never
// adopted: it may be lost, and another one take its version.
func (m *Machine) commit(doc Doc) {
	if !doc.Above(m.d.Kept) {
		return
	}
	m.d.Kept, m.dirty = doc, true
	if !m.d.Next.Above(doc) {
		m.d.Next = Doc{}
	}
}

// heardOf notes a committed version; the document itself mostly comes by a push.
func (m *Machine) heardOf(from string, version uint32) {
	if version <= m.d.Kept.Version || version <= m.told {
		return
	}
	m.told, m.teller = version, from
	if m.now-m.pulled >= pullEvery {
		m.pulled = m.now - pullEvery + 100*time.Millisecond
	}
}

// catchUp asks for a newer document if somebody has one.
func (m *Machine) catchUp() {
	if m.now-m.pulled < pullEvery {
		return
	}
	held := m.d.Kept.Version
	var who []string
	if m.told > held {
		who = append(who, m.teller, m.view.primary())
	}
	ahead := slices.Clone(m.peers)
	ahead = slices.DeleteFunc(ahead, func(p Peer) bool { return p.Held <= held || !p.Up })
	slices.SortFunc(ahead, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(b.Held, a.Held), cmp.Compare(a.Addr, b.Addr))
	})
	for _, p := range ahead[:min(len(ahead), 8)] {
		who = append(who, p.Addr)
	}
	if who = m.others(who); len(who) > 0 {
		m.pulled = m.now
		m.turn++
		m.send(who[m.turn%len(who)], Pull{Held: held})
	}
}
