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
type LeaveUrgency uint8

// The notices.
const (
	LeaveEventually LeaveUrgency = iota + 1 // it will end
	LeaveWhenSafe                           // it ends as soon as it may
	LeaveForced                             // it is ended soon, whatever stands elsewhere
)

// leaver is a seat that its holder wants to give away.
type leaver struct {
	life   uint64
	notice LeaveUrgency
	at     fsm.Time
}

// Leave says that this process will end.
func (m *Machine) Leave(now fsm.Time, n LeaveUrgency) Out {
	m.now = max(m.now, now)
	if m.notice < LeaveWhenSafe && n >= LeaveWhenSafe {
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
func (m *Machine) MayExit() bool {
	early := m.bug == BugEarlyExit && !m.view.has(m.c.Self, m.d.DiskID)
	if !m.c.Member || m.free || early || m.bug == BugNoLeave || m.view.none() && m.d.Record.none() {
		return true
	}
	if p := m.view.primary(); m.notice >= LeaveWhenSafe && p != "" && p != m.c.Self && !m.knowsLeave(p) && m.now-m.parted > stall {
		return true
	}
	return len(m.view.Members) == 1 && m.view.Members[0].Addr == m.c.Self
}

// knowsLeave says whether a process has shown that it is not of the version before: packed documents came
// with the handing over of seats.
func (m *Machine) knowsLeave(addr string) bool { return slices.Contains(m.readers, addr) }

// depart asks for that, until it is so.
func (m *Machine) depart() {
	if m.notice == 0 || m.bug == BugNoLeave || m.left != 0 && m.now-m.left < resendEvery || m.MayExit() {
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
		m.send(p, Leave{DiskID: m.d.DiskID, WhenSafe: m.notice >= LeaveWhenSafe, Forced: m.notice == LeaveForced})
	case m.handed != 0 && m.now-m.handed > 2*resendEvery: // whom it was handed to does not come
		m.handed = 0
		for _, s := range m.view.Members {
			if s.Addr != m.c.Self {
				m.send(s.Addr, Resign{Ballot: m.view.Ballot})
			}
		}
	}
	if m.notice == LeaveForced && m.misses() {
		for _, s := range m.view.Members {
			if s.Addr != m.c.Self && s.Addr != p {
				m.send(s.Addr, Leave{DiskID: m.d.DiskID, WhenSafe: true, Forced: true, PrimarySilent: true})
			}
		}
	}
}

func (m *Machine) onLeave(from string, t Leave) {
	l := m.lead
	if l == nil {
		if t.PrimarySilent && m.misses() && m.bid == nil { // both do: there is no time for the usual patience
			m.alive, m.aliveBy = m.now-silence, ""
		}
		m.tell(from)
		return
	}
	if !l.rec.has(from, t.DiskID) {
		delete(l.joiners, from)
		if most(l.rec.Members, m.storedAt) {
			m.send(from, LeaveGranted{DiskID: t.DiskID})
		}
		return
	}
	if _, ok := l.leavers[from]; !ok {
		m.tell(from) // so that it knows who it asks
	}
	l.leavers[from] = leaver{t.DiskID, t.notice(), m.now}
	m.steer()
}

func (t Leave) notice() LeaveUrgency {
	switch {
	case t.Forced:
		return LeaveForced
	case t.WhenSafe:
		return LeaveWhenSafe
	}
	return LeaveEventually
}

// misses says whether two beats have not come.
func (m *Machine) misses() bool { return m.lead == nil && m.now-m.alive > 2*beatEvery }

// goes says whether a seat is one that is given away.
func (l *lead) goes(s Member, now fsm.Time) (leaver, bool) {
	g, ok := l.leavers[s.Addr]
	return g, ok && g.life == s.DiskID && now-g.at < settle
}

// give puts learners in the place of those that leave; a seat that nobody wants is given up if
// its holder is about to end, and the rest is as many as copies are wanted, and heard by most.
// Who is ended soon has its vote for that long only: see remnant.
func (m *Machine) give(set []Member, learners []Member) []Member {
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
		case g.notice >= LeaveWhenSafe && len(rest) > m.c.ToleratedLosses && most(rest, m.answers):
			set = rest
		case g.notice == LeaveForced && m.bug != BugNoShrinkOnForcedLeave:
			set = m.remnant(set, rest)
		}
	}
	return set
}

// hasty says whether somebody has no time left for an epoch to come to rest first.
func (m *Machine) hasty() bool {
	return slices.ContainsFunc(m.lead.rec.Members, func(s Member) bool {
		g, ok := m.lead.goes(s, m.now)
		return ok && g.notice == LeaveForced
	})
}

// remnant is what is left of a set by one that is ended soon, while another one is missing: with its seat
// and that of the missing one the others could never go on if that one comes back with its memory lost.
// Most of the set is there now for the last time, so it leaves both out; also where fewer are left than copies
// are wanted: such an epoch takes no documents before somebody has joined. Not if who is left leaves as well:
// then all are stopped, and come back.
func (m *Machine) remnant(set, rest []Member) []Member {
	left := count(rest, m.answers)
	i := slices.IndexFunc(rest, func(s Member) bool { return s.Addr != m.c.Self && !m.answers(s) && m.now-m.lead.since > resendEvery })
	if left == 0 || i < 0 || 2*left != len(rest) ||
		count(rest, func(s Member) bool { _, goes := m.lead.goes(s, m.now); return goes && m.answers(s) }) > 0 {
		return set
	}
	return slices.Delete(rest, i, i+1)
}

// answers says whether a seat has been heard in this epoch, and lately.
func (m *Machine) answers(s Member) bool {
	return s.Addr == m.c.Self || m.hears(s) && m.lead.heard[s.Addr] > m.lead.since
}

// stores says whether the record of an epoch is on disk here, as an active one.
func (m *Machine) stores(b Ballot) bool {
	return m.d.Record.Active && m.d.Record.Ballot == b && m.active == 0
}

// storedAt says it of a seat, to a primary. One of the version before doesn't tell, but that it holds the record.
func (m *Machine) storedAt(s Member) bool {
	if s.Addr != m.c.Self && !m.knowsLeave(s.Addr) && m.lead.known[s.Addr] && m.now-m.lead.since > stall {
		return true
	}
	return m.lead.stored[s.Addr] || s.Addr == m.c.Self && m.stores(m.lead.rec.Ballot)
}

func (m *Machine) hears(s Member) bool {
	return s.Addr == m.c.Self || m.now-m.lead.heard[s.Addr] < silence
}

// hand lets a backup lead at once. What is under way ends first.
func (m *Machine) hand() {
	l := m.lead
	l.leavers[m.c.Self] = leaver{m.d.DiskID, m.notice, m.now}
	if l.doc != nil && m.now-l.docAt < stall {
		return
	}
	plan := m.plan()
	i := slices.IndexFunc(l.rec.Members, func(s Member) bool {
		_, goes := l.goes(s, m.now)
		return !goes && s.Addr != m.c.Self && slices.Contains(l.rec.Writers, s.Addr) && m.answers(s) && !l.slow[s.Addr] && m.shun[s.Addr] <= m.now
	})
	if i < 0 {
		return
	}
	m.send(l.rec.Members[i].Addr, Handover{Record: l.rec, DiskID: l.rec.Members[i].DiskID, NextMembers: plan})
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
	fit := func(s Member) bool {
		if _, ok := l.goes(s, m.now); ok {
			if s.Addr != m.c.Self && slices.Contains(l.rec.Writers, s.Addr) {
				going = append(going, s.Addr)
			}
			return s.Addr == m.c.Self
		}
		return m.answers(s) && !l.slow[s.Addr] && m.shun[s.Addr] <= m.now
	}
	if count(l.rec.Members, fit) <= m.c.ToleratedLosses {
		return false
	}
	for _, a := range going {
		m.shun[a] = m.now + 2*vacant
	}
	return len(going) > 0
}

// onHandover makes a candidate of a backup, without the patience of others.
func (m *Machine) onHandover(from string, t Handover) {
	if t.DiskID != m.d.DiskID || m.lead != nil || m.bid != nil && m.bid.phase != probing {
		return
	}
	m.learn(t.Record)
	if !m.seated() || !m.d.Record.Active || m.d.Record.Ballot != t.Record.Ballot || m.slow() {
		return
	}
	m.shun[from] = m.now + 2*vacant
	m.bid = &bid{begun: m.now, base: m.d.Record, plan: t.NextMembers, planned: t.Record.Ballot, handed: true,
		promises: map[string]Promise{}, void: map[string]bool{}}
	m.prepare()
}

// excused says whether a candidate need not wait until the primary is missed: it was handed
// the epoch that is held here, by that primary.
func (m *Machine) excused(t Prepare) bool {
	return t.HandedOver && !m.slow() && m.lead == nil && m.d.Record.Ballot == t.Record.Ballot
}

// key tells seats apart.
func (s Member) key() string { return fmt.Sprintf("%s %x", s.Addr, s.DiskID) }

// onVoid notes that a seat's memory is lost for good. The question named its life, so that
// life is older than the answer; and an address has one life after the other.
func (m *Machine) onVoid(from string, t MemberLost) {
	if b := m.bid; b != nil && b.phase == preparing && b.ballot == t.Ballot {
		b.void[Member{Addr: from, DiskID: t.DiskID}.key()] = true
		m.tally()
	}
}

// lost says of which seats the bid knows that.
func (m *Machine) lost(s Member) bool {
	return m.bid.void[s.key()] || m.bug == BugAssumeLost && s.Addr != m.c.Self && m.bid.promises[s.Addr].DiskID != s.DiskID
}
