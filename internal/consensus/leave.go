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
type leavingMember struct {
	diskID  uint64
	urgency LeaveUrgency
	askedAt fsm.Time
}

// Leave says that this process will end.
func (m *Machine) Leave(now fsm.Time, n LeaveUrgency) Out {
	m.now = max(m.now, now)
	if m.leaving < LeaveWhenSafe && n >= LeaveWhenSafe {
		m.leaveWhenSafeAt = m.now
	}
	m.leaving = max(m.leaving, n)
	m.leaveSentAt = 0
	m.requestLeave()
	return m.finishInput()
}

// Left reports whether the others can go on without this process: an epoch in force has no
// seat for it, so its writers have all, and whoever follows will find it in force. Nothing can
// be left where nobody else has a seat. Nor can who leads by the version before, which takes no Leave: it
// is left as that version leaves.
func (m *Machine) MayExit() bool {
	early := m.bug == BugEarlyExit && !m.view.has(m.config.Self, m.state.DiskID)
	if !m.config.Member || m.leaveGranted || early || m.bug == BugNoLeave || m.view.isZero() && m.state.Record.isZero() {
		return true
	}
	if p := m.view.primary(); m.leaving >= LeaveWhenSafe && p != "" && p != m.config.Self && !m.supportsLeave(p) && m.now-m.leaveWhenSafeAt > stallTimeout {
		return true
	}
	return len(m.view.Members) == 1 && m.view.Members[0].Addr == m.config.Self
}

// knowsLeave says whether a process has shown that it is not of the version before: packed documents came
// with the handing over of seats.
func (m *Machine) supportsLeave(addr string) bool { return slices.Contains(m.packReaders, addr) }

// depart asks for that, until it is so.
func (m *Machine) requestLeave() {
	if m.leaving == 0 || m.bug == BugNoLeave || m.leaveSentAt != 0 && m.now-m.leaveSentAt < resendInterval || m.MayExit() {
		return
	}
	m.leaveSentAt = m.now
	if m.primary != nil {
		m.handOver()
		return
	}
	p := m.view.primary()
	switch {
	case p == "":
	case p != m.config.Self:
		m.send(p, Leave{DiskID: m.state.DiskID, WhenSafe: m.leaving >= LeaveWhenSafe, Forced: m.leaving == LeaveForced})
	case m.handedOverAt != 0 && m.now-m.handedOverAt > 2*resendInterval: // whom it was handed to does not come
		m.handedOverAt = 0
		for _, s := range m.view.Members {
			if s.Addr != m.config.Self {
				m.send(s.Addr, Resign{Ballot: m.view.Ballot})
			}
		}
	}
	if m.leaving == LeaveForced && m.missesHeartbeats() {
		for _, s := range m.view.Members {
			if s.Addr != m.config.Self && s.Addr != p {
				m.send(s.Addr, Leave{DiskID: m.state.DiskID, WhenSafe: true, Forced: true, PrimarySilent: true})
			}
		}
	}
}

func (m *Machine) onLeave(from string, t Leave) {
	l := m.primary
	if l == nil {
		if t.PrimarySilent && m.missesHeartbeats() && m.candidate == nil { // both do: there is no time for the usual patience
			m.primaryHeardAt, m.primaryHeardFrom = m.now-primaryTimeout, ""
		}
		m.sendView(from)
		return
	}
	if !l.record.has(from, t.DiskID) {
		delete(l.joining, from)
		if hasMajority(l.record.Members, m.recordStoredAt) {
			m.send(from, LeaveGranted{DiskID: t.DiskID})
		}
		return
	}
	if _, ok := l.leaving[from]; !ok {
		m.sendView(from) // so that it knows who it asks
	}
	l.leaving[from] = leavingMember{t.DiskID, t.urgency(), m.now}
	m.maintainEpoch()
}

func (t Leave) urgency() LeaveUrgency {
	switch {
	case t.Forced:
		return LeaveForced
	case t.WhenSafe:
		return LeaveWhenSafe
	}
	return LeaveEventually
}

// misses says whether two beats have not come.
func (m *Machine) missesHeartbeats() bool {
	return m.primary == nil && m.now-m.primaryHeardAt > 2*heartbeatInterval
}

// goes says whether a seat is one that is given away.
func (l *primaryState) leavingMember(s Member, now fsm.Time) (leavingMember, bool) {
	g, ok := l.leaving[s.Addr]
	return g, ok && g.diskID == s.DiskID && now-g.askedAt < quietPeriod
}

// give puts learners in the place of those that leave; a seat that nobody wants is given up if
// its holder is about to end, and the rest is as many as copies are wanted, and heard by most.
// Who is ended soon has its vote for that long only: see remnant.
func (m *Machine) replaceLeaving(set []Member, learners []Member) []Member {
	l := m.primary
	for _, s := range slices.Clone(set) {
		g, ok := l.leavingMember(s, m.now)
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
		case g.urgency >= LeaveWhenSafe && len(rest) > m.config.ToleratedLosses && hasMajority(rest, m.heardInEpoch):
			set = rest
		case g.urgency == LeaveForced && m.bug != BugNoShrinkOnForcedLeave:
			set = m.shrinkForForcedLeave(set, rest)
		}
	}
	return set
}

// hasty says whether somebody has no time left for an epoch to come to rest first.
func (m *Machine) hasForcedLeave() bool {
	return slices.ContainsFunc(m.primary.record.Members, func(s Member) bool {
		g, ok := m.primary.leavingMember(s, m.now)
		return ok && g.urgency == LeaveForced
	})
}

// remnant is what is left of a set by one that is ended soon, while another one is missing: with its seat
// and that of the missing one the others could never go on if that one comes back with its memory lost.
// Most of the set is there now for the last time, so it leaves both out; also where fewer are left than copies
// are wanted: such an epoch takes no documents before somebody has joined. Not if who is left leaves as well:
// then all are stopped, and come back.
func (m *Machine) shrinkForForcedLeave(set, rest []Member) []Member {
	left := countMembers(rest, m.heardInEpoch)
	i := slices.IndexFunc(rest, func(s Member) bool {
		return s.Addr != m.config.Self && !m.heardInEpoch(s) && m.now-m.primary.startedAt > resendInterval
	})
	if left == 0 || i < 0 || 2*left != len(rest) ||
		countMembers(rest, func(s Member) bool { _, goes := m.primary.leavingMember(s, m.now); return goes && m.heardInEpoch(s) }) > 0 {
		return set
	}
	return slices.Delete(rest, i, i+1)
}

// answers says whether a seat has been heard in this epoch, and lately.
func (m *Machine) heardInEpoch(s Member) bool {
	return s.Addr == m.config.Self || m.isHeard(s) && m.primary.heardAt[s.Addr] > m.primary.startedAt
}

// stores says whether the record of an epoch is on disk here, as an active one.
func (m *Machine) recordStored(b Ballot) bool {
	return m.state.Record.Active && m.state.Record.Ballot == b && m.activeRecordWrite == 0
}

// storedAt says it of a seat, to a primary. One of the version before doesn't tell, but that it holds the record.
func (m *Machine) recordStoredAt(s Member) bool {
	if s.Addr != m.config.Self && !m.supportsLeave(s.Addr) && m.primary.recordKnown[s.Addr] && m.now-m.primary.startedAt > stallTimeout {
		return true
	}
	return m.primary.recordStored[s.Addr] || s.Addr == m.config.Self && m.recordStored(m.primary.record.Ballot)
}

func (m *Machine) isHeard(s Member) bool {
	return s.Addr == m.config.Self || m.now-m.primary.heardAt[s.Addr] < primaryTimeout
}

// hand lets a backup lead at once. What is under way ends first.
func (m *Machine) handOver() {
	l := m.primary
	l.leaving[m.config.Self] = leavingMember{m.state.DiskID, m.leaving, m.now}
	if l.proposal != nil && m.now-l.proposedAt < stallTimeout {
		return
	}
	plan := m.nextMembers()
	i := slices.IndexFunc(l.record.Members, func(s Member) bool {
		_, goes := l.leavingMember(s, m.now)
		return !goes && s.Addr != m.config.Self && slices.Contains(l.record.Writers, s.Addr) && m.heardInEpoch(s) && !l.diskSlow[s.Addr] && m.avoidUntil[s.Addr] <= m.now
	})
	if i < 0 {
		return
	}
	m.send(l.record.Members[i].Addr, Handover{Record: l.record, DiskID: l.record.Members[i].DiskID, NextMembers: plan})
	m.primary, m.handedOverAt = nil, m.now
	m.primaryHeardAt, m.primaryHeardFrom = m.now, ""
}

// relieve says whether a backup that leaves should write no more, as others can.
func (m *Machine) replaceLeavingWriters() bool {
	l := m.primary
	if m.now-l.startedAt < 2*joinInterval {
		return false
	}
	var going []string
	fit := func(s Member) bool {
		if _, ok := l.leavingMember(s, m.now); ok {
			if s.Addr != m.config.Self && slices.Contains(l.record.Writers, s.Addr) {
				going = append(going, s.Addr)
			}
			return s.Addr == m.config.Self
		}
		return m.heardInEpoch(s) && !l.diskSlow[s.Addr] && m.avoidUntil[s.Addr] <= m.now
	}
	if countMembers(l.record.Members, fit) <= m.config.ToleratedLosses {
		return false
	}
	for _, a := range going {
		m.avoidUntil[a] = m.now + 2*vacancyTimeout
	}
	return len(going) > 0
}

// onHandover makes a candidate of a backup, without the patience of others.
func (m *Machine) onHandover(from string, t Handover) {
	if t.DiskID != m.state.DiskID || m.primary != nil || m.candidate != nil && m.candidate.phase != preVoting {
		return
	}
	m.learnRecord(t.Record)
	if !m.isMember() || !m.state.Record.Active || m.state.Record.Ballot != t.Record.Ballot || m.diskStalled() {
		return
	}
	m.avoidUntil[from] = m.now + 2*vacancyTimeout
	m.candidate = &candidateState{startedAt: m.now, baseRecord: m.state.Record, nextMembers: t.NextMembers, nextMembersFor: t.Record.Ballot, handedOver: true,
		promises: map[string]Promise{}, lost: map[string]bool{}}
	m.prepare()
}

// excused says whether a candidate need not wait until the primary is missed: it was handed
// the epoch that is held here, by that primary.
func (m *Machine) skipsPrimaryHold(t Prepare) bool {
	return t.HandedOver && !m.diskStalled() && m.primary == nil && m.state.Record.Ballot == t.Record.Ballot
}

// key tells seats apart.
func (s Member) mapKey() string { return fmt.Sprintf("%s %x", s.Addr, s.DiskID) }

// onVoid notes that a seat's memory is lost for good. The question named its life, so that
// life is older than the answer; and an address has one life after the other.
func (m *Machine) onMemberLost(from string, t MemberLost) {
	if b := m.candidate; b != nil && b.phase == preparing && b.ballot == t.Ballot {
		b.lost[Member{Addr: from, DiskID: t.DiskID}.mapKey()] = true
		m.evaluatePromises()
	}
}

// lost says of which seats the bid knows that.
func (m *Machine) isLost(s Member) bool {
	return m.candidate.lost[s.mapKey()] || m.bug == BugAssumeLost && s.Addr != m.config.Self && m.candidate.promises[s.Addr].DiskID != s.DiskID
}
