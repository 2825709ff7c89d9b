package consensus

import (
	"fmt"
	"slices"

	"asterwell/internal/fsm"
)

// A member that leaves gives its seat away while it still can vouch for what it holds: to a
// learner, or, when it is about to end and nobody has come, back to the set, which shrinks. A
// seat kept by one that never comes back would weigh like a lost one.

// Notice is how near its end a process is that leaves.
type Notice uint8

// The notices.
const (
	Leaves Notice = iota + 1 // it will end
	Last                     // it ends as soon as it may
	Ends                     // it is ended soon, whatever stands elsewhere
)

// leaver is a seat that its holder wants to give away.
type leaver struct {
	life   uint64
	notice Notice
	at     fsm.Time
}

// Leave says that this process will end.
func (m *Machine) Leave(now fsm.Time, n Notice) Out {
	m.now = max(m.now, now)
	if m.notice < Last && n >= Last {
		m.parted = m.now
	}
	m.notice = max(m.notice, n)
	m.left = 0
	m.depart()
	return m.end()
}

// Left reports whether the others can go on without this process: an epoch in force has no
// seat for it, so its writers have all, and whoever follows will find it in force. Nothing can
// be left where nobody else has a seat. Nor can who leads by the version before, which takes no Leave: it
// is left as that version leaves.
func (m *Machine) Left() bool {
	early := m.bug == BugReleased && !m.view.has(m.c.Self, m.d.Life)
	if !m.c.Member || m.free || early || m.bug == BugStay || m.view.none() && m.d.Record.none() {
		return true
	}
	if p := m.view.primary(); m.notice >= Last && p != "" && p != m.c.Self && !m.knowsLeave(p) && m.now-m.parted > stall {
		return true
	}
	return len(m.view.Set) == 1 && m.view.Set[0].Addr == m.c.Self
}

// knowsLeave says whether a process has shown that it is not of the version before: packed documents came
// with the handing over of seats.
func (m *Machine) knowsLeave(addr string) bool { return slices.Contains(m.readers, addr) }

// depart asks for that, until it is so.
func (m *Machine) depart() {
	if m.notice == 0 || m.bug == BugStay || m.left != 0 && m.now-m.left < resendEvery || m.Left() {
		return
	}
	m.left = m.now
	if m.lead != nil {
		m.hand()
		return
	}
	p := m.view.primary()
	switch {
	case p == "":
	case p != m.c.Self:
		m.send(p, Leave{Life: m.d.Life, Last: m.notice >= Last, Ends: m.notice == Ends})
	case m.handed != 0 && m.now-m.handed > 2*resendEvery: // whom it was handed to does not come
		m.handed = 0
		for _, s := range m.view.Set {
			if s.Addr != m.c.Self {
				m.send(s.Addr, Resign{Ballot: m.view.Ballot})
			}
		}
	}
	if m.notice == Ends && m.misses() {
		for _, s := range m.view.Set {
			if s.Addr != m.c.Self && s.Addr != p {
				m.send(s.Addr, Leave{Life: m.d.Life, Last: true, Ends: true, Missed: true})
			}
		}
	}
}

func (m *Machine) onLeave(from string, t Leave) {
	l := m.lead
	if l == nil {
		if t.Missed && m.misses() && m.bid == nil { // both do: there is no time for the usual patience
			m.alive, m.aliveBy = m.now-silence, ""
		}
		m.tell(from)
		return
	}
	if !l.rec.has(from, t.Life) {
		delete(l.joiners, from)
		if most(l.rec.Set, m.storedAt) {
			m.send(from, Released{Life: t.Life})
		}
		return
	}
	if _, ok := l.leavers[from]; !ok {
		m.tell(from) // so that it knows who it asks
	}
	l.leavers[from] = leaver{t.Life, t.notice(), m.now}
	m.steer()
}

func (t Leave) notice() Notice {
	switch {
	case t.Ends:
		return Ends
	case t.Last:
		return Last
	}
	return Leaves
}

// misses says whether two beats have not come.
func (m *Machine) misses() bool { return m.lead == nil && m.now-m.alive > 2*beatEvery }

// goes says whether a seat is one that is given away.
func (l *lead) goes(s Seat, now fsm.Time) (leaver, bool) {
	g, ok := l.leavers[s.Addr]
	return g, ok && g.life == s.Life && now-g.at < settle
}

// give puts learners in the place of those that leave; a seat that nobody wants is given up if
// its holder is about to end, and the rest is as many as copies are wanted, and heard by most.
// Who is ended soon has its vote for that long only: see remnant.
func (m *Machine) give(set []Seat, learners []Seat) []Seat {
	l := m.lead
	for _, s := range slices.Clone(set) {
		g, ok := l.goes(s, m.now)
		i := slices.Index(set, s)
		if !ok || i < 0 {
			continue
		}
		if len(learners) > 0 {
			set[i], learners = learners[0], learners[1:]
			continue
		}
		rest := slices.Delete(slices.Clone(set), i, i+1)
		switch {
		case g.notice >= Last && len(rest) > m.c.Losses && most(rest, m.answers):
			set = rest
		case g.notice == Ends && m.bug != BugRemnant:
			set = m.remnant(set, rest)
		}
	}
	return set
}

// hasty says whether somebody has no time left for an epoch to come to rest first.
func (m *Machine) hasty() bool {
	return slices.ContainsFunc(m.lead.rec.Set, func(s Seat) bool {
		g, ok := m.lead.goes(s, m.now)
		return ok && g.notice == Ends
	})
}

// remnant is what is left of a set by one that is ended soon, while another one is missing: with its seat
// and that of the missing one the others could never go on if that one comes back with its memory lost.
// Most of the set is there now for the last time, so it leaves both out; also where fewer are left than copies
// are wanted: such an epoch takes no documents before somebody has joined. Not if who is left leaves as well:
// then all are stopped, and come back.
func (m *Machine) remnant(set, rest []Seat) []Seat {
	left := count(rest, m.answers)
	i := slices.IndexFunc(rest, func(s Seat) bool { return s.Addr != m.c.Self && !m.answers(s) && m.now-m.lead.since > resendEvery })
	if left == 0 || i < 0 || 2*left != len(rest) ||
		count(rest, func(s Seat) bool { _, goes := m.lead.goes(s, m.now); return goes && m.answers(s) }) > 0 {
		return set
	}
	return slices.Delete(rest, i, i+1)
}

// answers says whether a seat has been heard in this epoch, and lately.
func (m *Machine) answers(s Seat) bool {
	return s.Addr == m.c.Self || m.hears(s) && m.lead.heard[s.Addr] > m.lead.since
}

// stores says whether the record of an epoch is on disk here, as an active one.
func (m *Machine) stores(b Ballot) bool {
	return m.d.Record.Active && m.d.Record.Ballot == b && m.active == 0
}

// storedAt says it of a seat, to a primary. One of the version before doesn't tell, but that it holds the record.
func (m *Machine) storedAt(s Seat) bool {
	if s.Addr != m.c.Self && !m.knowsLeave(s.Addr) && m.lead.known[s.Addr] && m.now-m.lead.since > stall {
		return true
	}
	return m.lead.stored[s.Addr] || s.Addr == m.c.Self && m.stores(m.lead.rec.Ballot)
}

func (m *Machine) hears(s Seat) bool {
	return s.Addr == m.c.Self || m.now-m.lead.heard[s.Addr] < silence
}

// hand lets a backup lead at once. What is under way ends first.
func (m *Machine) hand() {
	l := m.lead
	l.leavers[m.c.Self] = leaver{m.d.Life, m.notice, m.now}
	if l.doc != nil && m.now-l.docAt < stall {
		return
	}
	plan := m.plan()
	i := slices.IndexFunc(l.rec.Set, func(s Seat) bool {
		_, goes := l.goes(s, m.now)
		return !goes && s.Addr != m.c.Self && slices.Contains(l.rec.Writers, s.Addr) && m.answers(s) && !l.slow[s.Addr] && m.shun[s.Addr] <= m.now
	})
	if i < 0 {
		return
	}
	m.send(l.rec.Set[i].Addr, Handover{Record: l.rec, Life: l.rec.Set[i].Life, Plan: plan})
	m.lead, m.handed = nil, m.now
	m.alive, m.aliveBy = m.now, ""
}

// relieve says whether a backup that leaves should write no more, as others can.
func (m *Machine) relieve() bool {
	l := m.lead
	if m.now-l.since < 2*helloEvery {
		return false
	}
	var going []string
	fit := func(s Seat) bool {
		if _, ok := l.goes(s, m.now); ok {
			if s.Addr != m.c.Self && slices.Contains(l.rec.Writers, s.Addr) {
				going = append(going, s.Addr)
			}
			return s.Addr == m.c.Self
		}
		return m.answers(s) && !l.slow[s.Addr] && m.shun[s.Addr] <= m.now
	}
	if count(l.rec.Set, fit) <= m.c.Losses {
		return false
	}
	for _, a := range going {
		m.shun[a] = m.now + 2*vacant
	}
	return len(going) > 0
}

// onHandover makes a candidate of a backup, without the patience of others.
func (m *Machine) onHandover(from string, t Handover) {
	if t.Life != m.d.Life || m.lead != nil || m.bid != nil && m.bid.phase != probing {
		return
	}
	m.learn(t.Record)
	if !m.seated() || !m.d.Record.Active || m.d.Record.Ballot != t.Record.Ballot || m.slow() {
		return
	}
	m.shun[from] = m.now + 2*vacant
	m.bid = &bid{begun: m.now, base: m.d.Record, plan: t.Plan, planned: t.Record.Ballot, handed: true,
		promises: map[string]Promise{}, void: map[string]bool{}}
	m.prepare()
}

// excused says whether a candidate need not wait until the primary is missed: it was handed
// the epoch that is held here, by that primary.
func (m *Machine) excused(t Prepare) bool {
	return t.Handed && !m.slow() && m.lead == nil && m.d.Record.Ballot == t.Record.Ballot
}

// key tells seats apart.
func (s Seat) key() string { return fmt.Sprintf("%s %x", s.Addr, s.Life) }

// onVoid notes that a seat's memory is lost for good. The question named its life, so that
// life is older than the answer; and an address has one life after the other.
func (m *Machine) onVoid(from string, t Void) {
	if b := m.bid; b != nil && b.phase == preparing && b.ballot == t.Ballot {
		b.void[Seat{Addr: from, Life: t.Life}.key()] = true
		m.tally()
	}
}

// lost says of which seats the bid knows that.
func (m *Machine) lost(s Seat) bool {
	return m.bid.void[s.key()] || m.bug == BugUnproven && s.Addr != m.c.Self && m.bid.promises[s.Addr].Life != s.Life
}
