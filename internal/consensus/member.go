package consensus

// willing says whether a candidate may have a promise: not while another one lives.
func (m *Machine) willing(from string) bool {
	if m.slow() {
		return false
	}
	if m.lead != nil {
		return from == m.c.Self
	}
	return m.aliveBy == "" || m.aliveBy == from || m.now-m.alive > sticky || m.notice == LeaveForced && m.misses()
}

func (m *Machine) hear(from string) { m.alive, m.aliveBy = m.now, from }

// infant lets a member that holds no founding take the one of whoever has a seat for it.
func (m *Machine) infant(r EpochRecord) {
	if r.Ballot.N == 1 {
		m.onFound(r)
	}
}

// onFound takes a first record. A founding held is never changed for another one,
// unless that one is in force, and so this one never was.
func (m *Machine) onFound(r EpochRecord) {
	if !m.c.Member || !m.d.Record.none() || !r.has(m.c.Self, m.d.DiskID) || m.d.Promised.above(r.Ballot) {
		return
	}
	m.d.Record, m.d.Promised, m.d.StateBallot, m.dirty = r, r.Ballot, r.Ballot, true
	m.alive, m.aliveBy = m.now-silence, ""
}

// learn takes a record that is in force.
func (m *Machine) learn(r EpochRecord) {
	if !r.Active || r.none() {
		return
	}
	if r.newer(m.view) {
		m.view = r
		m.redirect()
	}
	if m.lead != nil && r.Ballot.above(m.lead.rec.Ballot) {
		m.lead = nil
		m.alive, m.aliveBy = m.now, ""
	}
	if m.bid != nil && !m.bid.ballot.above(r.Ballot) && m.bid.phase != probing {
		m.bid = nil
	}
	m.top = max(m.top, r.Ballot.N)
	if !m.c.Member {
		return
	}
	other := m.foreign(r)
	if other && (m.d.Record.Active || m.d.Record.Ballot.N > 1) || !other && !r.newer(m.d.Record) {
		return
	}
	m.d.Record, m.dirty, m.active = r, true, m.seq+1
	m.d.NeverMember = m.d.NeverMember && !m.seated()
	if r.Ballot.above(m.d.Promised) {
		m.d.Promised = r.Ballot
	}
}

// foreign says whether a record is of another founding than the one held.
func (m *Machine) foreign(r EpochRecord) bool {
	return !m.d.Record.none() && m.d.Record.ClusterID != r.ClusterID
}

func (m *Machine) refuse(to string, b Ballot) {
	m.send(to, Reject{Ballot: b, Promised: m.d.Promised, Record: m.view})
}

func (m *Machine) onBeat(from string, t Heartbeat) {
	m.merge(t.KnownTokens)
	m.heardOf(from, t.Version)
	if m.d.Record.Ballot.above(t.Ballot) && m.d.Record.Active {
		m.refuse(from, t.Ballot)
		return
	}
	if m.lead != nil && from != m.c.Self && t.Ballot.above(m.lead.rec.Ballot) {
		m.lead = nil
	}
	if m.bid != nil && m.bid.phase == probing {
		m.bid = nil
	}
	if m.bid == nil {
		m.hear(from)
	}
	m.send(from, HeartbeatReply{Ballot: t.Ballot, DiskID: m.d.DiskID, Promised: m.d.Promised, DiskSlow: m.hangs(), DiskTolerance: m.lag.told(m.now),
		RecordKnown: m.d.Record.Active && m.d.Record.Ballot == t.Ballot, RecordStored: m.stores(t.Ballot)})
}

func (m *Machine) onResign(from string, t Resign) {
	if m.aliveBy == from && !m.d.Record.Ballot.above(t.Ballot) {
		m.alive, m.aliveBy = m.now-silence, ""
	}
}

func (m *Machine) onProbe(from string, t PreVote) {
	m.infant(t.Record)
	m.learn(t.Record)
	grant := m.willing(from) && (m.booked < m.now || m.bookedBy == from)
	if grant {
		m.booked, m.bookedBy = m.now+booking, from
	}
	m.send(from, PreVoteReply{Round: t.Round, DiskID: m.d.DiskID, Grant: grant, Record: m.d.Record,
		Promised: m.d.Promised})
}

func (m *Machine) onPrepare(from string, t Prepare) {
	m.infant(t.Record)
	if t.DiskID != m.d.DiskID {
		m.durable(from, MemberLost{Ballot: t.Ballot, DiskID: t.DiskID})
		return
	}
	if m.foreign(t.Record) {
		return
	}
	m.top = max(m.top, t.Ballot.N)
	above := t.Ballot.above(m.d.Promised)
	if above && !m.willing(from) && !m.excused(t) || m.d.Promised.above(t.Ballot) && m.bug != BugNoPromise {
		m.refuse(from, t.Ballot)
		return
	}
	if above {
		m.d.Promised, m.dirty = t.Ballot, true
		m.yield(t.Ballot)
		m.hear(from)
	}
	kept, next := m.d.Committed, m.d.Pending
	if from != m.c.Self {
		kept, next = m.named(kept, t), m.named(next, t)
	}
	m.durable(from, Promise{Ballot: t.Ballot, DiskID: m.d.DiskID, Record: m.d.Record, StateBallot: m.d.StateBallot, Committed: kept, Pending: next})
}

// yield ends what this process does under a lower ballot.
func (m *Machine) yield(b Ballot) {
	if m.lead != nil && b.above(m.lead.rec.Ballot) {
		m.lead = nil
	}
	if m.bid != nil && (m.bid.phase == probing || b.above(m.bid.ballot)) {
		m.bid = nil
	}
}

// obeys says whether a candidate's or a primary's order holds here.
func (m *Machine) obeys(from string, b Ballot, life uint64) bool {
	if life != m.d.DiskID {
		return false
	}
	if m.d.Promised.above(b) && m.bug != BugNoPromise {
		m.refuse(from, b)
		return false
	}
	if b.above(m.d.Promised) {
		m.d.Promised, m.dirty = b, true
		m.yield(b)
	}
	m.hear(from)
	return true
}

func (m *Machine) onCopy(from string, t InstallState) {
	if !m.obeys(from, t.Ballot, t.DiskID) {
		return
	}
	if m.d.StateBallot != t.Ballot { // a late double must not undo an append
		m.d.StateBallot, m.d.Pending, m.dirty = t.Ballot, t.Pending, true
		m.commit(t.Committed)
	}
	m.durable(from, StateInstalled{Ballot: t.Ballot, DiskID: m.d.DiskID})
}

func (m *Machine) onEnact(from string, t RecordEpoch) {
	if m.foreign(t.Record) || !m.obeys(from, t.Record.Ballot, t.DiskID) {
		return
	}
	if m.d.Record.Ballot != t.Record.Ballot {
		m.d.Record, m.dirty = t.Record, true
		m.d.NeverMember = m.d.NeverMember && !m.seated()
	}
	m.durable(from, EpochRecorded{Ballot: t.Record.Ballot, DiskID: m.d.DiskID})
}

func (m *Machine) onAppend(from string, t Append) {
	if t.Ballot != m.d.StateBallot && m.bug != BugNoPromise || !m.obeys(from, t.Ballot, t.DiskID) {
		return
	}
	if t.Doc.Supersedes(latest(m.d.Committed, m.d.Pending)) {
		m.d.Pending, m.dirty = t.Doc, true
	}
	m.durable(from, Appended{Ballot: t.Ballot, DiskID: m.d.DiskID, Version: t.Doc.Version, Rev: t.Doc.Rev, LedgerRevPlusOne: t.Doc.LedgerRev + 1})
}

func (m *Machine) onConfirm(from string, t Confirm) {
	if (t.Ballot == m.d.StateBallot || m.bug == BugNoPromise) && m.obeys(from, t.Ballot, t.DiskID) {
		m.send(from, Confirmed{Ballot: t.Ballot, DiskID: t.DiskID, Round: t.Round})
	}
}
