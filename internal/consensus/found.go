package consensus

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// founder is used by the process that the first seed names. It gives out the first record once, and
// only if the process knows of no cluster yet.
type founder struct {
	isSelf     bool
	joining    map[string]joinCandidate
	lastJoinAt fsm.Time
	askedAt    fsm.Time
	record     EpochRecord
}

func newFounder(c Config, now fsm.Time) founder {
	return founder{isSelf: len(c.Seeds) > 0 && c.Seeds[0] == c.Self, joining: map[string]joinCandidate{},
		lastJoinAt: now, askedAt: now}
}

// requestJoin announces a process that is no member of an active epoch.
func (m *Machine) requestJoin() {
	if !m.config.Member {
		m.requestView()
		return
	}
	if m.isMember() && m.state.Record.Active || m.leaving != 0 {
		return
	}
	every := joinInterval
	if !m.view.isZero() {
		every *= 2
	}
	if m.now-m.joinSentAt < every {
		return
	}
	m.joinSentAt = m.now
	h := JoinRequest{Member: Member{Addr: m.config.Self, DiskID: m.state.DiskID, Name: m.config.Name,
		Zone: m.config.Zone},
		NeverMember: m.state.NeverMember}
	if !m.state.Record.Active {
		h.Record = m.state.Record
	}
	targets := m.likelyMembers()
	if p := m.view.primary(); p != "" && m.now-m.primaryViewAt < vacancyTimeout {
		targets = []string{p}
	}
	if slices.Contains(m.seeds, m.config.Self) {
		m.sendAfterSave(m.config.Self, h)
	}
	for _, to := range targets {
		m.sendAfterSave(to, h)
	}
}

func (m *Machine) onJoinRequest(from string, t JoinRequest) {
	if t.Member.Addr != from {
		return
	}
	if l := m.primary; l != nil {
		if !l.record.has(from, t.Member.DiskID) {
			l.joining[from] = joinCandidate{member: t.Member, neverMember: t.NeverMember && m.hasNoMemberAt(t.Member),
				heardAt: m.now}
		}
		m.sendView(from)
		return
	}
	if !m.view.isZero() {
		m.sendView(from)
		return
	}
	if !m.founder.isSelf {
		return
	}
	f := &m.founder
	if !t.Record.isZero() && f.record.isZero() {
		f.record = t.Record
	}
	if !f.record.isZero() {
		if t.Record.isZero() && f.record.has(from, t.Member.DiskID) {
			m.send(from, FirstEpoch{Record: f.record})
		}
		return
	}
	if old, ok := f.joining[from]; t.NeverMember && (!ok || old.member.DiskID != t.Member.DiskID) {
		f.lastJoinAt = m.now
	}
	f.joining[from] = joinCandidate{member: t.Member, neverMember: t.NeverMember, heardAt: m.now}
}

// hasNoMemberAt reports whether no member has this address, so that one with a wiped disk is not
// added a second time.
func (m *Machine) hasNoMemberAt(s Member) bool {
	return !slices.ContainsFunc(m.primary.record.Members, func(o Member) bool { return o.Addr == s.Addr })
}

// foundCluster gives out the first record once no more members arrive.
func (m *Machine) foundCluster() {
	f := &m.founder
	if !f.isSelf || !f.record.isZero() || !m.view.isZero() || !m.state.Record.isZero() {
		return
	}
	if m.now-f.askedAt >= joinInterval {
		f.askedAt = m.now
		for _, to := range m.likelyMembers() {
			m.send(to, ViewRequest{})
		}
	}
	var set []Member
	for _, j := range f.joining {
		if j.neverMember && m.now-j.heardAt < time.Second {
			set = append(set, j.member)
		}
	}
	if len(set) < 2*m.config.ToleratedLosses+1 || m.now-f.lastJoinAt < quietPeriod || m.now-m.startedAt < quietPeriod {
		return
	}
	slices.SortFunc(set, func(a, b Member) int { return cmp.Compare(a.Addr, b.Addr) })
	f.record = EpochRecord{ClusterID: m.rng.Uint64() | 1, Ballot: Ballot{N: 1}, Members: set, OldMembers: set,
		Writers: spreadOverZones(set, m.config.ToleratedLosses+1)}
	for _, s := range set {
		m.send(s.Addr, FirstEpoch{Record: f.record})
	}
}

// requestView asks for the current epoch. A process without a disk that started after the last
// change of epoch has not been told of it.
func (m *Machine) requestView() {
	if !m.view.isZero() || m.now-m.joinSentAt < viewRequestInterval {
		return
	}
	m.joinSentAt = m.now
	if targets := m.likelyMembers(); len(targets) > 0 {
		m.rotation++
		m.send(targets[m.rotation%len(targets)], ViewRequest{})
	}
}
