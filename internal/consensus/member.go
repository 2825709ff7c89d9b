package consensus

// mayGrant reports whether a candidate may be granted a promise: not while another primary or
// candidate is alive.
func (m *Machine) mayGrant(from string) bool {
	if m.diskStalled() {
		return false
	}
	if m.primary != nil {
		return from == m.config.Self
	}
	return m.primaryHeardFrom == "" || m.primaryHeardFrom == from || m.now-m.primaryHeardAt > primaryHold ||
		m.leaving == LeaveForced && m.missesHeartbeats()
}

func (m *Machine) notePrimaryHeard(from string) { m.primaryHeardAt, m.primaryHeardFrom = m.now, from }

// adoptFirstEpoch lets a member that knows no cluster take the first record from a candidate.
func (m *Machine) adoptFirstEpoch(r EpochRecord) {
	if r.Ballot.N == 1 {
		m.onFirstEpoch(r)
	}
}

// onFirstEpoch takes a first record. A member never replaces the record of one cluster by that of
// another, unless the other one is active, so that its own never was.
func (m *Machine) onFirstEpoch(r EpochRecord) {
	if !m.config.Member || !m.state.Record.isZero() || !r.has(m.config.Self, m.state.DiskID) ||
		m.state.Promised.higherThan(r.Ballot) {
		return
	}
	m.state.Record, m.state.Promised, m.state.StateBallot, m.dirty = r, r.Ballot, r.Ballot, true
	m.primaryHeardAt, m.primaryHeardFrom = m.now-primaryTimeout, ""
}

// learnRecord takes an active record.
func (m *Machine) learnRecord(r EpochRecord) {
	if !r.Active || r.isZero() {
		return
	}
	if r.newerThan(m.view) {
		m.view = r
		m.redirect()
	}
	if m.primary != nil && r.Ballot.higherThan(m.primary.record.Ballot) {
		m.primary = nil
		m.primaryHeardAt, m.primaryHeardFrom = m.now, ""
	}
	if m.candidate != nil && !m.candidate.ballot.higherThan(r.Ballot) && m.candidate.phase != preVoting {
		m.candidate = nil
	}
	m.highestBallot = max(m.highestBallot, r.Ballot.N)
	if !m.config.Member {
		return
	}
	other := m.otherCluster(r)
	if other && (m.state.Record.Active || m.state.Record.Ballot.N > 1) || !other && !r.newerThan(m.state.Record) {
		return
	}
	m.state.Record, m.dirty, m.activeRecordWrite = r, true, m.seq+1
	m.state.NeverMember = m.state.NeverMember && !m.isMember()
	if r.Ballot.higherThan(m.state.Promised) {
		m.state.Promised = r.Ballot
	}
}

// otherCluster reports whether a record belongs to another cluster than the one held.
func (m *Machine) otherCluster(r EpochRecord) bool {
	return !m.state.Record.isZero() && m.state.Record.ClusterID != r.ClusterID
}

func (m *Machine) reject(to string, b Ballot) {
	m.send(to, Reject{Ballot: b, Promised: m.state.Promised, Record: m.view})
}

func (m *Machine) onHeartbeat(from string, t Heartbeat) {
	m.mergeTokens(t.KnownTokens)
	m.noteReportedVersion(from, t.Version)
	if m.state.Record.Ballot.higherThan(t.Ballot) && m.state.Record.Active {
		m.reject(from, t.Ballot)
		return
	}
	if m.primary != nil && from != m.config.Self && t.Ballot.higherThan(m.primary.record.Ballot) {
		m.primary = nil
	}
	if m.candidate != nil && m.candidate.phase == preVoting {
		m.candidate = nil
	}
	if m.candidate == nil {
		m.notePrimaryHeard(from)
	}
	m.send(from, HeartbeatReply{Ballot: t.Ballot, DiskID: m.state.DiskID, Promised: m.state.Promised,
		DiskSlow: m.diskHangs(), DiskTolerance: m.diskLag.reportedTolerance(m.now),
		RecordKnown:  m.state.Record.Active && m.state.Record.Ballot == t.Ballot,
		RecordStored: m.recordStored(t.Ballot)})
}

func (m *Machine) onResign(from string, t Resign) {
	if m.primaryHeardFrom == from && !m.state.Record.Ballot.higherThan(t.Ballot) {
		m.primaryHeardAt, m.primaryHeardFrom = m.now-primaryTimeout, ""
	}
}

func (m *Machine) onPreVote(from string, t PreVote) {
	m.adoptFirstEpoch(t.Record)
	m.learnRecord(t.Record)
	grant := m.mayGrant(from) && (m.preVoteReservedUntil < m.now || m.preVoteReservedFor == from)
	if grant {
		m.preVoteReservedUntil, m.preVoteReservedFor = m.now+preVoteReservation, from
	}
	m.send(from, PreVoteReply{Round: t.Round, DiskID: m.state.DiskID, Grant: grant, Record: m.state.Record,
		Promised: m.state.Promised})
}

func (m *Machine) onPrepare(from string, t Prepare) {
	m.adoptFirstEpoch(t.Record)
	if t.DiskID != m.state.DiskID {
		m.sendAfterSave(from, MemberLost{Ballot: t.Ballot, DiskID: t.DiskID})
		return
	}
	if m.otherCluster(t.Record) {
		return
	}
	m.highestBallot = max(m.highestBallot, t.Ballot.N)
	above := t.Ballot.higherThan(m.state.Promised)
	if above && !m.mayGrant(from) && !m.skipsPrimaryHold(t) ||
		m.state.Promised.higherThan(t.Ballot) && m.bug != BugNoPromise {
		m.reject(from, t.Ballot)
		return
	}
	if above {
		m.state.Promised, m.dirty = t.Ballot, true
		m.stepDownFor(t.Ballot)
		m.notePrimaryHeard(from)
	}
	committed, pending := m.state.Committed, m.state.Pending
	if from != m.config.Self {
		committed, pending = m.promiseDoc(committed, t), m.promiseDoc(pending, t)
	}
	m.sendAfterSave(from, Promise{Ballot: t.Ballot, DiskID: m.state.DiskID, Record: m.state.Record,
		StateBallot: m.state.StateBallot, Committed: committed, Pending: pending})
}

// stepDownFor ends what this process does under a lower ballot.
func (m *Machine) stepDownFor(b Ballot) {
	if m.primary != nil && b.higherThan(m.primary.record.Ballot) {
		m.primary = nil
	}
	if m.candidate != nil && (m.candidate.phase == preVoting || b.higherThan(m.candidate.ballot)) {
		m.candidate = nil
	}
}

// acceptsRequest reports whether a candidate's or a primary's request is valid here.
func (m *Machine) acceptsRequest(from string, b Ballot, diskID uint64) bool {
	if diskID != m.state.DiskID {
		return false
	}
	if m.state.Promised.higherThan(b) && m.bug != BugNoPromise {
		m.reject(from, b)
		return false
	}
	if b.higherThan(m.state.Promised) {
		m.state.Promised, m.dirty = b, true
		m.stepDownFor(b)
	}
	m.notePrimaryHeard(from)
	return true
}

func (m *Machine) onInstallState(from string, t InstallState) {
	if !m.acceptsRequest(from, t.Ballot, t.DiskID) {
		return
	}
	if m.state.StateBallot != t.Ballot { // a late duplicate must not undo an append
		m.state.StateBallot, m.state.Pending, m.dirty = t.Ballot, t.Pending, true
		m.commit(t.Committed)
	}
	m.sendAfterSave(from, StateInstalled{Ballot: t.Ballot, DiskID: m.state.DiskID})
}

func (m *Machine) onRecordEpoch(from string, t RecordEpoch) {
	if m.otherCluster(t.Record) || !m.acceptsRequest(from, t.Record.Ballot, t.DiskID) {
		return
	}
	if m.state.Record.Ballot != t.Record.Ballot {
		m.state.Record, m.dirty = t.Record, true
		m.state.NeverMember = m.state.NeverMember && !m.isMember()
	}
	m.sendAfterSave(from, EpochRecorded{Ballot: t.Record.Ballot, DiskID: m.state.DiskID})
}

func (m *Machine) onAppend(from string, t Append) {
	if t.Ballot != m.state.StateBallot && m.bug != BugNoPromise || !m.acceptsRequest(from, t.Ballot, t.DiskID) {
		return
	}
	if t.Doc.Supersedes(newestDoc(m.state.Committed, m.state.Pending)) {
		m.state.Pending, m.dirty = t.Doc, true
	}
	m.sendAfterSave(from, Appended{Ballot: t.Ballot, DiskID: m.state.DiskID, Version: t.Doc.Version, Rev: t.Doc.Rev,
		LedgerRevPlusOne: t.Doc.LedgerRev + 1})
}

func (m *Machine) onConfirm(from string, t Confirm) {
	if (t.Ballot == m.state.StateBallot || m.bug == BugNoPromise) && m.acceptsRequest(from, t.Ballot, t.DiskID) {
		m.send(from, Confirmed{Ballot: t.Ballot, DiskID: t.DiskID, Round: t.Round})
	}
}
