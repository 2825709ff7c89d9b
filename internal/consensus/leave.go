package consensus

import (
	"fmt"
	"slices"

	"asterwell/internal/fsm"
)

// A member that leaves gives up its membership while it still can vouch for its state. It is
// replaced by a joining process, or removed if it is about to stop and none has come. A member that
// never comes back would count like a failed one.

// LeaveUrgency tells how soon a leaving process stops.
type LeaveUrgency uint8

// The urgencies.
const (
	LeaveEventually LeaveUrgency = iota + 1 // it will stop at some time
	LeaveWhenSafe                           // it stops as soon as MayExit allows
	LeaveForced                             // it will be stopped soon, whatever the state of the cluster
)

// leavingMember is a member that has sent Leave.
type leavingMember struct {
	diskID  uint64
	urgency LeaveUrgency
	askedAt fsm.Time
}

// Leave says that this process will stop.
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

// MayExit reports whether the others can go on without this process: an active epoch doesn't
// include it, so its writers have the whole state, and any successor will find it active. A process
// that is the only member may always exit. So may one whose primary runs the previous release,
// which doesn't handle Leave.
func (m *Machine) MayExit() bool {
	early := m.bug == BugEarlyExit && !m.view.has(m.config.Self, m.state.DiskID)
	if !m.config.Member || m.leaveGranted || early || m.bug == BugNoLeave ||
		m.view.isZero() && m.state.Record.isZero() {
		return true
	}
	if p := m.view.primary(); m.leaving >= LeaveWhenSafe && p != "" && p != m.config.Self && !m.supportsLeave(p) &&
		m.now-m.leaveWhenSafeAt > stallTimeout {
		return true
	}
	return len(m.view.Members) == 1 && m.view.Members[0].Addr == m.config.Self
}

// supportsLeave reports whether a process has shown that it does not run the previous release:
// reading packed documents came in the same release as Leave.
func (m *Machine) supportsLeave(addr string) bool { return slices.Contains(m.packReaders, addr) }

// requestLeave repeats the request until this process may exit.
func (m *Machine) requestLeave() {
	if m.leaving == 0 || m.bug == BugNoLeave || m.leaveSentAt != 0 && m.now-m.leaveSentAt < resendInterval ||
		m.MayExit() {
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
	case m.handedOverAt != 0 && m.now-m.handedOverAt > 2*resendInterval: // the new candidate doesn't take over
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
		// both miss the primary, and there is no time to wait for the timeout
		if t.PrimarySilent && m.missesHeartbeats() && m.candidate == nil {
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
		m.sendView(from) // the sender learns which epoch it asks
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

// missesHeartbeats reports whether two heartbeats are missing.
func (m *Machine) missesHeartbeats() bool {
	return m.primary == nil && m.now-m.primaryHeardAt > 2*heartbeatInterval
}

// leavingMember returns the recent Leave of a member.
func (l *primaryState) leavingMember(s Member, now fsm.Time) (leavingMember, bool) {
	g, ok := l.leaving[s.Addr]
	return g, ok && g.diskID == s.DiskID && now-g.askedAt < quietPeriod
}

// replaceLeaving puts joining processes in the place of members that leave. Without one, a member
// that is about to stop is removed if the rest is enough for all copies and a majority of it
// answers. One that will be stopped soon can vote only until then: see shrinkForForcedLeave.
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

// hasForcedLeave reports whether a member has no time to wait until the epoch is stable.
func (m *Machine) hasForcedLeave() bool {
	return slices.ContainsFunc(m.primary.record.Members, func(s Member) bool {
		g, ok := m.primary.leavingMember(s, m.now)
		return ok && g.urgency == LeaveForced
	})
}

// shrinkForForcedLeave returns the membership without a member that will be stopped soon and one
// that is missing. If both stayed members, the others could never go on if the missing one comes
// back with an empty disk. A majority is present for the last time, so it removes both, even if
// fewer members are left than copies are required: such an epoch accepts no documents before
// another process has joined. If a remaining member leaves as well nothing is removed: then all are
// being stopped and will come back.
func (m *Machine) shrinkForForcedLeave(set, rest []Member) []Member {
	heard := countMembers(rest, m.heardInEpoch)
	i := slices.IndexFunc(rest, func(s Member) bool {
		return s.Addr != m.config.Self && !m.heardInEpoch(s) && m.now-m.primary.startedAt > resendInterval
	})
	if heard == 0 || i < 0 || 2*heard != len(rest) ||
		countMembers(rest, func(s Member) bool {
			_, leaves := m.primary.leavingMember(s, m.now)
			return leaves && m.heardInEpoch(s)
		}) > 0 {
		return set
	}
	return slices.Delete(rest, i, i+1)
}

// heardInEpoch reports whether a member has answered in this epoch, and recently.
func (m *Machine) heardInEpoch(s Member) bool {
	return s.Addr == m.config.Self || m.isHeard(s) && m.primary.heardAt[s.Addr] > m.primary.startedAt
}

// recordStored reports whether the record of an epoch is on disk here as an active one.
func (m *Machine) recordStored(b Ballot) bool {
	return m.state.Record.Active && m.state.Record.Ballot == b && m.activeRecordWrite == 0
}

// recordStoredAt reports the same of a member, at the primary. The previous release only reports
// that it holds the record.
func (m *Machine) recordStoredAt(s Member) bool {
	if s.Addr != m.config.Self && !m.supportsLeave(s.Addr) && m.primary.recordKnown[s.Addr] &&
		m.now-m.primary.startedAt > stallTimeout {
		return true
	}
	return m.primary.recordStored[s.Addr] || s.Addr == m.config.Self && m.recordStored(m.primary.record.Ballot)
}

func (m *Machine) isHeard(s Member) bool {
	return s.Addr == m.config.Self || m.now-m.primary.heardAt[s.Addr] < primaryTimeout
}

// handOver makes a backup the candidate at once. A proposal under way is completed first.
func (m *Machine) handOver() {
	l := m.primary
	l.leaving[m.config.Self] = leavingMember{m.state.DiskID, m.leaving, m.now}
	if l.proposal != nil && m.now-l.proposedAt < stallTimeout {
		return
	}
	next := m.nextMembers()
	i := slices.IndexFunc(l.record.Members, func(s Member) bool {
		_, leaves := l.leavingMember(s, m.now)
		return !leaves && s.Addr != m.config.Self && slices.Contains(l.record.Writers, s.Addr) && m.heardInEpoch(s) &&
			!l.diskSlow[s.Addr] && m.avoidUntil[s.Addr] <= m.now
	})
	if i < 0 {
		return
	}
	m.send(l.record.Members[i].Addr, Handover{Record: l.record, DiskID: l.record.Members[i].DiskID, NextMembers: next})
	m.primary, m.handedOverAt = nil, m.now
	m.primaryHeardAt, m.primaryHeardFrom = m.now, ""
}

// replaceLeavingWriters reports whether a leaving backup should not be a writer any more, as others
// can take its place.
func (m *Machine) replaceLeavingWriters() bool {
	l := m.primary
	if m.now-l.startedAt < 2*joinInterval {
		return false
	}
	var leaving []string
	usable := func(s Member) bool {
		if _, ok := l.leavingMember(s, m.now); ok {
			if s.Addr != m.config.Self && slices.Contains(l.record.Writers, s.Addr) {
				leaving = append(leaving, s.Addr)
			}
			return s.Addr == m.config.Self
		}
		return m.heardInEpoch(s) && !l.diskSlow[s.Addr] && m.avoidUntil[s.Addr] <= m.now
	}
	if countMembers(l.record.Members, usable) <= m.config.ToleratedLosses {
		return false
	}
	for _, a := range leaving {
		m.avoidUntil[a] = m.now + 2*vacancyTimeout
	}
	return len(leaving) > 0
}

// onHandover makes a backup a candidate without waiting for the primary's timeout.
func (m *Machine) onHandover(from string, t Handover) {
	if t.DiskID != m.state.DiskID || m.primary != nil || m.candidate != nil && m.candidate.phase != preVoting {
		return
	}
	m.learnRecord(t.Record)
	if !m.isMember() || !m.state.Record.Active || m.state.Record.Ballot != t.Record.Ballot || m.diskStalled() {
		return
	}
	m.avoidUntil[from] = m.now + 2*vacancyTimeout
	m.candidate = &candidateState{startedAt: m.now, baseRecord: m.state.Record, nextMembers: t.NextMembers,
		nextMembersFor: t.Record.Ballot, handedOver: true,
		promises: map[string]Promise{}, lost: map[string]bool{}}
	m.prepare()
}

// skipsPrimaryHold reports whether a candidate need not wait until the primary is missed: that
// primary has handed it the epoch that is recorded here.
func (m *Machine) skipsPrimaryHold(t Prepare) bool {
	return t.HandedOver && !m.diskStalled() && m.primary == nil && m.state.Record.Ballot == t.Record.Ballot
}

// mapKey identifies a member in maps.
func (s Member) mapKey() string { return fmt.Sprintf("%s %x", s.Addr, s.DiskID) }

// onMemberLost notes that a member's disk is lost for good. The request named its disk ID, so that
// ID is older than the reply's, and an address never returns to an earlier one.
func (m *Machine) onMemberLost(from string, t MemberLost) {
	if b := m.candidate; b != nil && b.phase == preparing && b.ballot == t.Ballot {
		b.lost[Member{Addr: from, DiskID: t.DiskID}.mapKey()] = true
		m.evaluatePromises()
	}
}

// isLost reports whether the candidate knows that a member's disk is lost.
func (m *Machine) isLost(s Member) bool {
	return m.candidate.lost[s.mapKey()] ||
		m.bug == BugAssumeLost && s.Addr != m.config.Self && m.candidate.promises[s.Addr].DiskID != s.DiskID
}
