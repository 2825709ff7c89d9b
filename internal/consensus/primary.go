package consensus

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// primaryState is what a primary knows of its epoch. None of it needs to survive a restart.
type primaryState struct {
	record          EpochRecord
	startedAt       fsm.Time
	heartbeatAt     fsm.Time
	heardAt         map[string]fsm.Time
	diskSlow        map[string]bool
	diskTolerance   map[string]lagDuration // as reported in heartbeat replies
	higherPromise   Ballot                 // a promise above the epoch that a member gave
	higherPromiseAt fsm.Time

	proposal     *Doc // being replicated to the writers
	proposedAt   fsm.Time
	appendSentAt fsm.Time
	appended     map[string]bool

	confirmRound   uint64
	confirmStarted fsm.Time
	confirmSent    fsm.Time
	confirmed      map[string]uint64

	joining      map[string]joinCandidate
	leaving      map[string]leavingMember
	recordStored map[string]bool   // members that have the record on disk as active
	recordKnown  map[string]bool   // members that hold it as active, on disk or not
	lost         map[string]bool   // members known to be lost
	tokenHashes  map[string]uint32 // of the tokens that the members know, as last reported
}

type joinCandidate struct {
	member      Member
	neverMember bool
	heardAt     fsm.Time
}

// waitingCall is a call that has arrived at the primary.
type waitingCall struct {
	from         string
	request      Forward
	arrivedAt    fsm.Time
	confirmRound uint64 // the round of confirmations that a read waits for
}

// activate starts to serve. The epoch's record is where each successor will find it.
func (m *Machine) activate() {
	b := m.candidate
	m.candidate = nil
	rec := b.record
	rec.Active = true
	m.state.Record, m.dirty, m.view = rec, true, rec
	m.primary = &primaryState{record: rec, startedAt: m.now, heardAt: map[string]fsm.Time{},
		diskSlow: map[string]bool{}, diskTolerance: map[string]lagDuration{},
		confirmed: map[string]uint64{}, joining: map[string]joinCandidate{}, tokenHashes: map[string]uint32{},
		leaving: map[string]leavingMember{},
		lost:    b.lost, recordStored: map[string]bool{}, recordKnown: map[string]bool{}}
	m.activeRecordWrite = m.seq + 1
	for _, s := range rec.Members {
		m.primary.heardAt[s.Addr] = m.now
	}
	for _, w := range m.waiting {
		w.confirmRound = 0
	}
	changed := b.pending.newerThan(m.state.Committed)
	m.commit(newestDoc(b.committed, b.pending))
	for _, to := range m.knownProcesses() {
		m.sendView(to)
	}
	if changed {
		m.push(m.state.Committed)
	}
	m.redirect()
	m.maintainEpoch()
	m.serveWaiting()
}

// maintainEpoch keeps the epoch going, or ends it for a better one.
func (m *Machine) maintainEpoch() {
	l := m.primary
	if l == nil {
		return
	}
	hears := m.isHeard
	if m.diskHangs() || m.lacksLedger() || !intersectsMajorities(l.record.Members, nil, hears,
		func(s Member) bool { return l.lost[s.mapKey()] }) {
		m.resign()
		return
	}
	if m.writersFailing(hears) {
		m.startNewEpoch(nil)
		return
	}
	if next := m.nextMembers(); next != nil {
		if hasMember(next, m.config.Self, m.state.DiskID) {
			m.startNewEpoch(next)
		} else {
			m.handOver()
		}
		if m.primary == nil {
			return
		}
	}
	if m.replaceLeavingWriters() {
		m.startNewEpoch(nil)
		return
	}
	if m.now-l.heartbeatAt >= heartbeatInterval || l.heartbeatAt == 0 {
		l.heartbeatAt = m.now
		for _, s := range l.record.Members {
			if s.Addr != m.config.Self {
				b := Heartbeat{Ballot: l.record.Ballot, Version: m.state.Committed.Version}
				if sum, ok := l.tokenHashes[s.Addr]; ok && sum != m.tokensHash(l.record) {
					b.KnownTokens = m.memberTokens(l.record)
				}
				m.send(s.Addr, b)
			}
		}
	}
	if l.proposal != nil && m.now-l.appendSentAt >= resendInterval+m.docTransferTime(*l.proposal) {
		m.append()
	}
	if l.confirmStarted != 0 && m.now-l.confirmSent >= resendInterval {
		m.confirm()
	}
}

// writersFailing reports whether the epoch's writers can't go on while other members could.
func (m *Machine) writersFailing(hears func(Member) bool) bool {
	l := m.primary
	if l.higherPromise.higherThan(l.record.Ballot) && m.now-l.higherPromiseAt > resendInterval*3 {
		return true
	}
	lost := false
	for _, s := range l.record.Members {
		if s.Addr == m.config.Self || !slices.Contains(l.record.Writers, s.Addr) {
			continue
		}
		stalled := l.proposal != nil && !l.appended[s.Addr] &&
			m.now-l.proposedAt > max(stallTimeout, time.Duration(l.diskTolerance[s.Addr])) ||
			l.confirmStarted != 0 && l.confirmed[s.Addr] < l.confirmRound && m.now-l.confirmStarted > stallTimeout
		if stalled || l.diskSlow[s.Addr] {
			m.avoidUntil[s.Addr] = m.now + 2*vacancyTimeout
		}
		lost = lost || stalled || l.diskSlow[s.Addr] || !hears(s)
	}
	if !m.hasAllCopies() && countMembers(l.record.Members, m.heardInEpoch) > m.config.ToleratedLosses {
		return true
	}
	usable := func(s Member) bool { return hears(s) && !l.diskSlow[s.Addr] && m.avoidUntil[s.Addr] <= m.now }
	return lost && countMembers(l.record.Members, usable) > m.config.ToleratedLosses
}

func (m *Machine) resign() {
	for _, s := range m.primary.record.Members {
		if s.Addr != m.config.Self {
			m.send(s.Addr, Resign{Ballot: m.primary.record.Ballot})
		}
	}
	m.primary = nil
	m.primaryHeardAt, m.primaryHeardFrom = m.now, ""
}

// nextMembers returns the next membership if a member is to be added, replaced or removed, or nil.
func (m *Machine) nextMembers() []Member {
	l := m.primary
	if m.now-l.startedAt < 2*joinInterval && m.hasAllCopies() && !m.hasForcedLeave() {
		return nil
	}
	var recent []joinCandidate
	for _, j := range l.joining {
		if m.now-j.heardAt < quietPeriod {
			recent = append(recent, j)
		}
	}
	slices.SortFunc(recent, func(a, b joinCandidate) int { return cmp.Compare(a.member.Addr, b.member.Addr) })
	set, changed := slices.Clone(l.record.Members), false
	maxMembers := max(2*m.config.ToleratedLosses+1, len(set)+l.record.Vacancies)
	var learners []Member
	for _, j := range recent {
		i := slices.IndexFunc(set, func(s Member) bool { return s.Addr == j.member.Addr })
		switch {
		case i >= 0:
		case j.neverMember:
			set = append(set, j.member)
			changed = true
			continue
		default:
			if i = m.vacantMember(set, j.member.Zone); i < 0 {
				learners = append(learners, j.member)
			}
		}
		if i >= 0 && set[i].Addr != m.config.Self {
			set[i], changed = j.member, true
		}
	}
	n := len(set)
	set = m.replaceLeaving(set, learners)
	learners = slices.DeleteFunc(learners, func(s Member) bool { return hasMember(set, s.Addr, s.DiskID) })
	for len(learners) > 0 && n == len(set) && len(set) < maxMembers {
		set, learners = append(set, learners[0]), learners[1:]
	}
	if !changed && slices.Equal(set, l.record.Members) {
		return nil
	}
	return set
}

// hasAllCopies reports whether the epoch has as many writers as required.
func (m *Machine) hasAllCopies() bool {
	return len(m.primary.record.Writers) > m.config.ToleratedLosses
}

// vacantMember returns the index of a member that was silent for long, preferably in the given
// zone, or -1.
func (m *Machine) vacantMember(set []Member, zone string) int {
	best := -1
	for i, s := range set {
		at, ok := m.primary.heardAt[s.Addr]
		if !ok || s.Addr == m.config.Self || m.now-at < vacancyTimeout {
			continue
		}
		if best < 0 || s.Zone == zone && set[best].Zone != zone {
			best = i
		}
	}
	return best
}

func (m *Machine) onHeartbeatReply(from string, t HeartbeatReply) {
	l := m.primary
	if l == nil || !l.record.has(from, t.DiskID) || t.Ballot != l.record.Ballot {
		return
	}
	l.heardAt[from], l.diskSlow[from], l.diskTolerance[from] = m.now, t.DiskSlow,
		min(lagDuration(t.DiskTolerance), lagDuration(maxDiskTolerance))
	l.recordStored[from], l.recordKnown[from] = t.RecordStored, t.RecordKnown
	if t.TokensHash != 0 {
		l.tokenHashes[from] = t.TokensHash
	}
	m.noteHigherPromise(t.Promised)
	if !t.RecordKnown {
		m.sendView(from)
	}
}

// noteHigherPromise records a promise above the epoch: that member can't serve the epoch any more.
func (m *Machine) noteHigherPromise(b Ballot) {
	if l := m.primary; b.higherThan(l.record.Ballot) && b != l.higherPromise {
		if !l.higherPromise.higherThan(l.record.Ballot) {
			l.higherPromiseAt = m.now
		}
		l.higherPromise = b
		m.highestBallot = max(m.highestBallot, b.N)
	}
}

// serveWaiting handles the waiting calls: one document at a time, and reads by confirmation rounds.
func (m *Machine) serveWaiting() {
	l := m.primary
	if l == nil {
		return
	}
	var remaining []*waitingCall
	newRound := false
	var next *Doc
	for _, w := range m.waiting {
		v := m.knownResult(w.request.Doc)
		switch {
		case w.request.Read && m.bug == BugUnconfirmed:
			m.answerRead(w)
		case w.request.Read:
			if w.confirmRound == 0 {
				w.confirmRound, newRound = l.confirmRound+1, true
			}
			remaining = append(remaining, w)
		case v != 0:
			m.reply(w, v, nil)
		default:
			if next == nil && w.request.Doc.Version > m.state.Committed.Version {
				next = &w.request.Doc
			}
			remaining = append(remaining, w)
		}
	}
	m.waiting = remaining
	// a new version doesn't wait for ledger additions but includes them
	free := l.proposal == nil || l.proposal.LedgerRev > 0 && next != nil
	if free && (m.hasAllCopies() || m.bug == BugTooFewWriters) {
		m.propose(next)
	}
	if newRound {
		l.confirmRound++
		if l.confirmStarted == 0 {
			l.confirmStarted = m.now
		}
		m.confirm()
	}
}

func (m *Machine) reply(w *waitingCall, v Result, d *Doc) {
	m.send(w.from, ForwardReply{ID: w.request.ID, CallerID: w.request.CallerID, Result: v, Doc: d})
}

func (m *Machine) append() {
	l := m.primary
	l.appendSentAt = m.now
	for _, s := range l.record.Members {
		if slices.Contains(l.record.Writers, s.Addr) && !l.appended[s.Addr] {
			m.send(s.Addr, Append{Ballot: l.record.Ballot, DiskID: s.DiskID, Doc: *l.proposal,
				resent: m.now > l.proposedAt})
		}
	}
}

func (m *Machine) onAppended(from string, t Appended) {
	l := m.primary
	if l == nil || t.Ballot != l.record.Ballot || !l.record.has(from, t.DiskID) || l.proposal == nil ||
		t.Version != l.proposal.Version || t.Rev != l.proposal.Rev ||
		t.LedgerRevPlusOne != 0 && t.LedgerRevPlusOne != l.proposal.LedgerRev+1 {
		return
	}
	l.appended[from] = true
	for _, w := range l.record.Writers {
		if !l.appended[w] && (m.bug != BugAckEarly || w == m.config.Self) {
			return
		}
	}
	doc := *l.proposal
	l.proposal = nil
	later := doc.newerThan(m.state.Committed)
	m.commit(doc)
	if later {
		m.push(doc)
	} else { // only the writers keep the ledger
		for _, w := range l.record.Writers[1:] {
			m.send(w, CommitAmendment{doc.Version, doc.Rev, doc.CreatedIn, doc.LedgerRev})
		}
	}
	m.serveWaiting()
}

func (m *Machine) confirm() {
	l := m.primary
	l.confirmSent = m.now
	for _, s := range l.record.Members {
		if slices.Contains(l.record.Writers, s.Addr) && l.confirmed[s.Addr] < l.confirmRound {
			m.send(s.Addr, Confirm{Ballot: l.record.Ballot, DiskID: s.DiskID, Round: l.confirmRound})
		}
	}
}

func (m *Machine) onConfirmed(from string, t Confirmed) {
	l := m.primary
	if l == nil || t.Ballot != l.record.Ballot || !l.record.has(from, t.DiskID) {
		return
	}
	l.confirmed[from] = max(l.confirmed[from], t.Round)
	least := l.confirmRound
	for _, w := range l.record.Writers {
		least = min(least, l.confirmed[w])
	}
	if least == l.confirmRound {
		l.confirmStarted = 0
	}
	m.out.ConfirmedRound = least
	var rest []*waitingCall
	for _, w := range m.waiting {
		switch {
		case !w.request.Read || w.confirmRound == 0 || w.confirmRound > least:
			rest = append(rest, w)
		default:
			m.answerRead(w)
		}
	}
	m.waiting = rest
}

// answerRead answers a read after the writers have confirmed the epoch.
func (m *Machine) answerRead(w *waitingCall) {
	switch {
	case w.request.ContactOnly:
		m.send(w.from, ForwardReply{ID: w.request.ID, CallerID: w.request.CallerID, Result: ResultContact,
			Version: m.state.Committed.Version})
	case m.state.Committed.Version == 0:
		m.reply(w, ResultNone, nil)
	default:
		m.reply(w, ResultRead, m.Committed())
	}
}

// onForward accepts a call, or tells the caller which process is the presumed primary.
func (m *Machine) onForward(from string, f Forward) {
	if m.primary == nil && (m.candidate == nil || m.candidate.phase == preVoting) {
		m.sendView(from)
		return
	}
	for _, w := range m.waiting {
		if w.from == from && w.request.ID == f.ID && w.request.CallerID == f.CallerID {
			return
		}
	}
	if !f.Read {
		f.Doc = f.Doc.withDigest()
	}
	m.waiting = append(m.waiting, &waitingCall{from: from, request: f, arrivedAt: m.now})
	m.serveWaiting()
}

// dropExpired drops calls that their callers have given up by now.
func (m *Machine) dropExpired() {
	m.waiting = slices.DeleteFunc(m.waiting, func(w *waitingCall) bool { return m.now-w.arrivedAt > time.Second })
}
