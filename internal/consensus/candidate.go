package consensus

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

type phase uint8

const (
	preVoting phase = iota
	preparing
	installing
	recording
)

const (
	candidacyTimeout = 600 * time.Millisecond
	preVoteTimeout   = 200 * time.Millisecond
	installTimeout   = 300 * time.Millisecond
)

// candidateState is the progress of a candidate towards an epoch of its own.
type candidateState struct {
	phase                phase
	phaseStart, lastSent fsm.Time
	startedAt            fsm.Time
	round                uint64
	ballot               Ballot
	baseRecord           EpochRecord // the newest record met
	nextMembers          []Member    // the next membership, if baseRecord still is of epoch nextMembersFor
	nextMembersFor       Ballot
	preVotes             map[string]uint64 // address to disk ID
	promises             map[string]Promise
	rejected             map[string]bool
	quorumAt             fsm.Time    // since when the promises are a quorum, or 0
	record               EpochRecord // of the new epoch
	committed            Doc
	pending              Doc
	installed            map[string]bool
	recorded             map[string]uint64
	handedOver           bool            // by the previous primary
	lost                 map[string]bool // members whose disk is lost
	bodiesAskedAt        fsm.Time        // when a missing body was last requested; 0: request it
	bodyRequests         uint32          // number of such requests
	stateSent            bool            // InstallState has been sent before
}

// candidateRank staggers candidates. The last epoch's writers come first, as they have the data.
func (m *Machine) candidateRank() int {
	r := m.state.Record
	if i := slices.Index(r.Writers, m.config.Self); i >= 0 {
		if r.Ballot.N == 1 {
			return i
		}
		return max(0, i-1)
	}
	n := max(0, len(r.Writers)-1)
	for _, s := range r.Members {
		if s.Addr == m.config.Self {
			break
		}
		if !slices.Contains(r.Writers, s.Addr) {
			n++
		}
	}
	return n
}

// campaign makes a member that has not heard a primary for long enough a candidate.
func (m *Machine) campaign() {
	if !m.isMember() || m.primary != nil {
		m.candidate = nil
		return
	}
	if m.diskStalled() {
		m.candidate = nil
		m.primaryHeardAt, m.primaryHeardFrom = m.now, ""
		return
	}
	if m.candidate != nil {
		m.continueCandidacy()
		return
	}
	if m.now-m.primaryHeardAt < primaryTimeout+time.Duration(m.candidateRank())*rankDelay+m.jitter {
		return
	}
	m.candidate = &candidateState{phase: preVoting, phaseStart: m.now, startedAt: m.now, round: m.rng.Uint64(),
		baseRecord: m.state.Record,
		preVotes:   map[string]uint64{}, promises: map[string]Promise{}, lost: map[string]bool{}}
	m.resendPhase()
}

// abandonCandidacy ends an attempt. The next one follows after a random delay.
func (m *Machine) abandonCandidacy() {
	m.candidate = nil
	m.jitter = time.Duration(m.rng.Int64N(int64(150 * time.Millisecond)))
	m.primaryHeardAt, m.primaryHeardFrom = m.now-primaryTimeout+100*time.Millisecond, ""
}

func (m *Machine) continueCandidacy() {
	b := m.candidate
	state := m.stateTransferTime(b)
	if m.now-b.startedAt > candidacyTimeout+2*state || b.phase == preVoting && m.now-b.phaseStart > preVoteTimeout ||
		b.phase == installing && m.now-b.phaseStart > installTimeout+state {
		if b.phase == installing {
			for _, w := range b.record.Writers {
				if !b.installed[w] {
					m.avoidUntil[w] = m.now + 2*vacancyTimeout
				}
			}
		}
		m.abandonCandidacy()
		return
	}
	if b.phase == preparing {
		m.evaluatePromises()
	}
	every := resendInterval
	if b.phase == preparing || b.phase == installing { // the reply carries the state, or the request does
		every += state
	}
	if m.candidate == b && m.now-b.lastSent >= every {
		m.resendPhase()
	}
}

// maxStateTransfer limits how much longer a candidate waits because of the size of the state: a
// member that doesn't answer must not delay it further.
const maxStateTransfer = 400 * time.Millisecond

// stateTransferTime returns how long a member's state may take on a slow link.
func (m *Machine) stateTransferTime(b *candidateState) time.Duration {
	transfer := m.docTransferTime(m.state.Committed) + m.docTransferTime(m.state.Pending) +
		TransferTime(len(m.state.Committed.Ledger)+len(m.state.Pending.Ledger))
	return min(max(transfer, m.docTransferTime(b.committed)+m.docTransferTime(b.pending)), maxStateTransfer)
}

// resendPhase sends the requests of this phase that are still unanswered.
func (m *Machine) resendPhase() {
	b := m.candidate
	b.lastSent = m.now
	switch b.phase {
	case preVoting:
		for _, s := range b.baseRecord.votingMembers() {
			if b.preVotes[s.Addr] != s.DiskID {
				m.send(s.Addr, PreVote{Round: b.round, Record: b.baseRecord})
			}
		}
	case preparing:
		for _, s := range union(b.baseRecord.votingMembers(), b.nextMembers) {
			if b.promises[s.Addr].DiskID != s.DiskID {
				m.sendAfterSave(s.Addr, Prepare{Ballot: b.ballot, DiskID: s.DiskID, Record: b.baseRecord,
					HandedOver: b.handedOver, OmitBodies: m.bug != BugNoPacking})
			}
		}
	case installing:
		for _, s := range b.record.Members {
			if slices.Contains(b.record.Writers, s.Addr) && !b.installed[s.Addr] {
				m.send(s.Addr, InstallState{Ballot: b.ballot, DiskID: s.DiskID, Committed: b.committed,
					Pending: b.pending, resent: b.stateSent})
			}
		}
		b.stateSent = true
	case recording:
		for _, s := range b.record.votingMembers() {
			if b.recorded[s.Addr] != s.DiskID {
				m.send(s.Addr, RecordEpoch{Record: b.record, DiskID: s.DiskID})
			}
		}
	}
}

func (m *Machine) enterPhase(p phase) {
	m.candidate.phase, m.candidate.phaseStart = p, m.now
	m.resendPhase()
}

func (m *Machine) onPreVoteReply(from string, t PreVoteReply) {
	m.highestBallot = max(m.highestBallot, t.Promised.N)
	m.learnRecord(t.Record)
	b := m.candidate
	if b == nil || b.phase != preVoting || b.round != t.Round {
		return
	}
	if !m.isMember() {
		m.abandonCandidacy()
		return
	}
	if t.Grant {
		b.preVotes[from] = t.DiskID
	}
	for _, s := range b.baseRecord.votingMembers() { // only a hint: the promises decide
		if s.Addr == from && s.DiskID != t.DiskID {
			b.lost[s.mapKey()] = true
		}
	}
	if t.Record.newerThan(b.baseRecord) && t.Record.ClusterID == b.baseRecord.ClusterID {
		b.baseRecord = t.Record
		m.resendPhase()
	}
	if m.hasQuorum(b.baseRecord, func(s Member) bool { return b.preVotes[s.Addr] == s.DiskID }) {
		m.prepare()
	}
}

func (m *Machine) hasQuorum(r EpochRecord, agreed func(Member) bool) bool {
	return m.bug == BugNoQuorum || r.hasQuorum(m.config.ToleratedLosses, agreed, m.isLost)
}

// startNewEpoch makes a primary a candidate again, to have other writers or other members.
func (m *Machine) startNewEpoch(nextMembers []Member) {
	rec := m.primary.record
	m.primary = nil
	m.candidate = &candidateState{startedAt: m.now, baseRecord: rec, nextMembers: nextMembers,
		nextMembersFor: rec.Ballot, promises: map[string]Promise{},
		lost: map[string]bool{}}
	m.prepare()
}

// prepare chooses a ballot. It is on disk before it is sent, so it is used only once.
func (m *Machine) prepare() {
	b := m.candidate
	m.highestBallot = max(m.highestBallot, m.state.Promised.N) + 1
	b.rejected, b.lost = map[string]bool{}, map[string]bool{}
	b.ballot = Ballot{N: m.highestBallot, By: m.config.Self, DiskID: m.state.DiskID}
	m.state.Promised, m.dirty = b.ballot, true
	m.notePrimaryHeard(m.config.Self)
	m.enterPhase(preparing)
}

func (m *Machine) onPromise(from string, t Promise) {
	b := m.candidate
	if b == nil || b.phase != preparing || b.ballot != t.Ballot {
		return
	}
	if !t.Record.isZero() && t.Record.ClusterID != b.baseRecord.ClusterID {
		return
	}
	// a repeated promise may lack bodies that the first one brought, or bring requested ones
	if _, ok := b.promises[from]; ok {
		t.Committed, t.Pending, b.bodiesAskedAt = b.withBody(t.Committed), b.withBody(t.Pending), 0
	}
	b.promises[from] = t
	if m.mergeTokens(t.KnownTokens); m.candidate != b {
		return
	}
	if t.Record.newerThan(b.baseRecord) {
		b.baseRecord, b.quorumAt = t.Record, 0
		m.resendPhase()
	}
	m.evaluatePromises()
}

// evaluatePromises goes on to installing once the promises suffice and late ones have had
// latePromiseWait to arrive.
func (m *Machine) evaluatePromises() {
	b := m.candidate
	// a membership change is under way, and only its members may complete it
	if !b.baseRecord.has(m.config.Self, m.state.DiskID) {
		m.learnRecord(b.baseRecord)
		for _, s := range b.baseRecord.Members {
			m.send(s.Addr, Resign{Ballot: b.ballot})
		}
		m.abandonCandidacy()
		m.primaryHeardAt = m.now + primaryTimeout
		return
	}
	promised := func(s Member) bool { p, ok := b.promises[s.Addr]; return ok && p.DiskID == s.DiskID }
	m.noteOldSetAgreed(promised)
	data, ok := m.newestWriterState(promised)
	if !ok || !m.hasQuorum(b.baseRecord, promised) {
		return
	}
	all := union(b.baseRecord.votingMembers(), b.nextMembers)
	committed, pending := m.chooseState(all, data)
	complete := !committed.lacksBody() && !pending.lacksBody()
	if !complete && m.bug == BugOwnBody {
		committed, pending, complete = m.state.Committed, Doc{}, true
	}
	if !complete {
		m.requestBodies(committed, pending)
	}
	if b.quorumAt == 0 {
		b.quorumAt = m.now
	}
	if !complete ||
		countMembers(all, func(s Member) bool { return promised(s) || m.isLost(s) }) < len(all) && m.now-b.quorumAt < latePromiseWait {
		return
	}
	// A new member that was lost meanwhile is not added, as it would weaken the membership from the
	// start. Nor does a member leave if the remaining ones could not go on.
	unreachableNew := func(s Member) bool {
		return !b.baseRecord.has(s.Addr, s.DiskID) && !promised(s) && m.bug != BugSkipLearner
	}
	rec := EpochRecord{ClusterID: b.baseRecord.ClusterID, Ballot: b.ballot, Members: b.baseRecord.Members,
		OldMembers: b.baseRecord.OldMembers, Vacancies: b.baseRecord.Vacancies}
	if b.baseRecord.membersDecide() {
		rec.OldMembers = b.baseRecord.Members
	}
	if b.baseRecord.Active { // one change at a time: a change under way is completed first
		if b.nextMembers != nil && b.nextMembersFor == b.baseRecord.Ballot &&
			countMembers(b.nextMembers, unreachableNew) == 0 && hasMajority(b.nextMembers, promised) {
			rec.Members, rec.Vacancies = b.nextMembers,
				max(0, len(b.baseRecord.Members)+b.baseRecord.Vacancies-len(b.nextMembers))
		}
	}
	// otherwise the old members agree, and no more is decided
	decided := b.baseRecord.membersDecide() || intersectsMajorities(b.baseRecord.Members, nil, promised, m.isLost)
	if rec.Writers = m.chooseWriters(rec.Members, promised, decided); rec.Writers == nil {
		return
	}
	b.record, b.committed, b.pending = rec, committed.withLedger(), pending.withLedger()
	if m.bug == BugDropLedger {
		b.committed, b.pending = b.committed.ResetLedger(), b.pending.ResetLedger()
	}
	b.installed = map[string]bool{}
	m.enterPhase(installing)
}

// noteOldSetAgreed records that the old members of an incomplete change have agreed to it.
func (m *Machine) noteOldSetAgreed(promised func(Member) bool) {
	b := m.candidate
	holds := func(s Member) bool { return promised(s) && b.promises[s.Addr].Record.Ballot == b.baseRecord.Ballot }
	if m.bug == BugNoShrinkOnForcedLeave || b.baseRecord.membersDecide() || b.baseRecord.Ballot.N == 1 ||
		!intersectsMajorities(b.baseRecord.OldMembers, b.baseRecord.Members, holds, m.isLost) {
		return
	}
	b.baseRecord.OldSetAgreed = true
	m.markOldSetAgreed(b.baseRecord.Ballot)
}

func (m *Machine) markOldSetAgreed(b Ballot) {
	if r := &m.state.Record; r.Ballot == b && !r.membersDecide() {
		r.OldSetAgreed, m.dirty = true, true
	}
}

// chooseState returns the initial state of the new epoch: the newest committed document of any
// promise, and what supersedes it in the state of the last epoch. A document whose body is not here
// yet lacks it.
func (m *Machine) chooseState(all []Member, data Doc) (committed, pending Doc) {
	b := m.candidate
	committed = m.state.Committed
	for _, s := range all {
		if doc := b.promises[s.Addr].Committed; doc.Supersedes(committed) {
			committed = doc
		}
	}
	switch {
	case data.Supersedes(committed):
		pending = data
	case data.sameAs(committed) && len(data.Ledger) > 0:
		committed = data
	}
	return b.withBody(committed), b.withBody(pending)
}

// newestWriterState returns the state of the last epoch from one of its writers that has not lost
// its disk. A writer in which a later candidate has installed a state has all of that epoch's too.
func (m *Machine) newestWriterState(promised func(Member) bool) (Doc, bool) {
	b := m.candidate
	var doc Doc
	var stamp Ballot
	found := false
	for _, s := range b.baseRecord.Members {
		p := b.promises[s.Addr]
		if !promised(s) {
			continue
		}
		if m.bug != BugAnyState &&
			(b.baseRecord.Ballot.higherThan(p.StateBallot) || !slices.Contains(b.baseRecord.Writers, s.Addr)) {
			continue
		}
		l := newestDoc(p.Committed, p.Pending)
		if c := p.StateBallot.compare(stamp); !found || c > 0 || c == 0 && l.Supersedes(doc) {
			doc, stamp, found = l, p.StateBallot, true
		}
	}
	return doc, found
}

// chooseWriters returns this process and as many backups as losses are tolerated, or nil. If too
// few members are left it takes all of them: such an epoch accepts no documents and only admits new
// members.
func (m *Machine) chooseWriters(set []Member, promised func(Member) bool, decided bool) []string {
	var self, preferred, avoided []Member
	for _, s := range set {
		switch {
		case s.Addr == m.config.Self:
			self = append(self, s)
		case !promised(s):
		case m.avoidUntil[s.Addr] > m.now:
			avoided = append(avoided, s)
		default:
			preferred = append(preferred, s)
		}
	}
	need := min(m.config.ToleratedLosses+1, len(set)-countMembers(set, m.isLost))
	if !decided {
		need = min(need, len(self)+len(preferred)+len(avoided))
	}
	chosen := append(self, preferred...)
	if missing := need - len(chosen); missing > 0 {
		chosen = append(chosen, avoided[:min(missing, len(avoided))]...)
	}
	if len(self) == 0 || len(chosen) < need {
		return nil
	}
	return spreadOverZones(chosen, need)
}

func (m *Machine) onReject(from string, t Reject) {
	m.highestBallot = max(m.highestBallot, t.Promised.N)
	m.learnRecord(t.Record)
	if m.primary != nil && t.Ballot == m.primary.record.Ballot {
		m.noteHigherPromise(t.Promised)
	}
	b := m.candidate
	if b == nil || b.phase == preVoting || b.ballot != t.Ballot {
		return
	}
	if b.rejected[from] = true; t.Promised.higherThan(t.Ballot) || 2*len(b.rejected) >= len(b.baseRecord.Members) {
		m.abandonCandidacy()
	}
}

func (m *Machine) onStateInstalled(from string, t StateInstalled) {
	b := m.candidate
	if b == nil || b.phase != installing || b.ballot != t.Ballot || !b.record.has(from, t.DiskID) {
		return
	}
	b.installed[from] = true
	for _, w := range b.record.Writers {
		if !b.installed[w] {
			return
		}
	}
	b.recorded = map[string]uint64{}
	m.enterPhase(recording)
}

func (m *Machine) onEpochRecorded(from string, t EpochRecorded) {
	b := m.candidate
	if b == nil || b.phase != recording || b.ballot != t.Ballot {
		return
	}
	b.recorded[from] = t.DiskID
	yes := func(s Member) bool { return b.recorded[s.Addr] == s.DiskID || m.bug == BugNoQuorum }
	switch {
	case !intersectsMajorities(b.record.OldMembers, b.record.Members, yes, m.isLost):
	case intersectsMajorities(b.record.Members, nil, yes, m.isLost):
		m.activate()
	case m.bug != BugNoShrinkOnForcedLeave:
		m.markOldSetAgreed(b.ballot)
	}
}
