package consensus

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

type phase uint8

const (
	probing phase = iota
	preparing
	copying
	enacting
)

const (
	bidLimit   = 600 * time.Millisecond
	probeLimit = 200 * time.Millisecond
	copyLimit  = 300 * time.Millisecond
)

// bid is the way of a candidate to an epoch of its own.
type bid struct {
	phase    phase
	at, sent fsm.Time // of the phase, of the last sending
	begun    fsm.Time
	round    uint64
	ballot   Ballot
	base     EpochRecord // the newest record met
	plan     []Member    // the set to come, if base still is the epoch it was made for
	planned  Ballot
	grants   map[string]uint64 // address to life
	promises map[string]Promise
	refused  map[string]bool
	enough   fsm.Time    // since when the promises do, or 0
	rec      EpochRecord // the epoch to be
	kept     Doc
	next     Doc
	copied   map[string]bool
	enacted  map[string]uint64
	handed   bool            // by the primary before
	void     map[string]bool // seats whose memory is lost
	wanted   fsm.Time        // when a text that is named was last asked for; 0: ask
	asked    uint32          // how often one was
	copies   bool            // the state has been sent
}

// rank staggers candidates: the last epoch's writers first, they have the data.
func (m *Machine) rank() int {
	r := m.d.Record
	if i := slices.Index(r.Writers, m.c.Self); i >= 0 {
		if r.Ballot.N == 1 {
			return i
		}
		return max(0, i-1)
	}
	n := max(0, len(r.Writers)-1)
	for _, s := range r.Members {
		if s.Addr == m.c.Self {
			break
		}
		if !slices.Contains(r.Writers, s.Addr) {
			n++
		}
	}
	return n
}

// rise makes a candidate of a member that has heard of no primary for long.
func (m *Machine) rise() {
	if !m.seated() || m.lead != nil {
		m.bid = nil
		return
	}
	if m.slow() {
		m.bid = nil
		m.alive, m.aliveBy = m.now, ""
		return
	}
	if m.bid != nil {
		m.press()
		return
	}
	if m.now-m.alive < silence+time.Duration(m.rank())*perRank+m.jitter {
		return
	}
	m.bid = &bid{phase: probing, at: m.now, begun: m.now, round: m.rng.Uint64(), base: m.d.Record,
		grants: map[string]uint64{}, promises: map[string]Promise{}, void: map[string]bool{}}
	m.again()
}

// drop gives a bid up, and tries again after a while that is never the same.
func (m *Machine) drop() {
	m.bid = nil
	m.jitter = time.Duration(m.rng.Int64N(int64(150 * time.Millisecond)))
	m.alive, m.aliveBy = m.now-silence+100*time.Millisecond, ""
}

func (m *Machine) press() {
	b := m.bid
	state := m.stateWay(b)
	if m.now-b.begun > bidLimit+2*state || b.phase == probing && m.now-b.at > probeLimit ||
		b.phase == copying && m.now-b.at > copyLimit+state {
		if b.phase == copying {
			for _, w := range b.rec.Writers {
				if !b.copied[w] {
					m.shun[w] = m.now + 2*vacant
				}
			}
		}
		m.drop()
		return
	}
	if b.phase == preparing {
		m.tally()
	}
	every := resendEvery
	if b.phase == preparing || b.phase == copying { // what is asked for brings the state, or takes it along
		every += state
	}
	if m.bid == b && m.now-b.sent >= every {
		m.again()
	}
}

// mostState is how long the state may hold up a candidate beyond what it takes without: a member that does
// not answer must not be waited for that much longer.
const mostState = 400 * time.Millisecond

// stateWay is how long the state of a member may be on a slow link.
func (m *Machine) stateWay(b *bid) time.Duration {
	way := m.onWay(m.d.Committed) + m.onWay(m.d.Pending) + TransferTime(len(m.d.Committed.Ledger)+len(m.d.Pending.Ledger))
	return min(max(way, m.onWay(b.kept)+m.onWay(b.next)), mostState)
}

// again sends what the phase still waits for.
func (m *Machine) again() {
	b := m.bid
	b.sent = m.now
	switch b.phase {
	case probing:
		for _, s := range b.base.voters() {
			if b.grants[s.Addr] != s.DiskID {
				m.send(s.Addr, PreVote{Round: b.round, Record: b.base})
			}
		}
	case preparing:
		for _, s := range union(b.base.voters(), b.plan) {
			if b.promises[s.Addr].DiskID != s.DiskID {
				m.durable(s.Addr, Prepare{Ballot: b.ballot, DiskID: s.DiskID, Record: b.base, HandedOver: b.handed, OmitBodies: m.bug != BugNoPacking})
			}
		}
	case copying:
		for _, s := range b.rec.Members {
			if slices.Contains(b.rec.Writers, s.Addr) && !b.copied[s.Addr] {
				m.send(s.Addr, InstallState{Ballot: b.ballot, DiskID: s.DiskID, Committed: b.kept, Pending: b.next, again: b.copies})
			}
		}
		b.copies = true
	case enacting:
		for _, s := range b.rec.voters() {
			if b.enacted[s.Addr] != s.DiskID {
				m.send(s.Addr, RecordEpoch{Record: b.rec, DiskID: s.DiskID})
			}
		}
	}
}

func (m *Machine) enter(p phase) {
	m.bid.phase, m.bid.at = p, m.now
	m.again()
}

func (m *Machine) onProbed(from string, t PreVoteReply) {
	m.top = max(m.top, t.Promised.N)
	m.learn(t.Record)
	b := m.bid
	if b == nil || b.phase != probing || b.round != t.Round {
		return
	}
	if !m.seated() {
		m.drop()
		return
	}
	if t.Grant {
		b.grants[from] = t.DiskID
	}
	for _, s := range b.base.voters() { // a hint: the promises decide
		if s.Addr == from && s.DiskID != t.DiskID {
			b.void[s.key()] = true
		}
	}
	if t.Record.newer(b.base) && t.Record.ClusterID == b.base.ClusterID {
		b.base = t.Record
		m.again()
	}
	if m.carries(b.base, func(s Member) bool { return b.grants[s.Addr] == s.DiskID }) {
		m.prepare()
	}
}

func (m *Machine) carries(r EpochRecord, agreed func(Member) bool) bool {
	return m.bug == BugNoQuorum || r.carried(m.c.ToleratedLosses, agreed, m.lost)
}

// reshape makes a primary ask for a fresh epoch, to have other writers or another set.
func (m *Machine) reshape(plan []Member) {
	rec := m.lead.rec
	m.lead = nil
	m.bid = &bid{begun: m.now, base: rec, plan: plan, planned: rec.Ballot, promises: map[string]Promise{},
		void: map[string]bool{}}
	m.prepare()
}

// prepare takes a ballot. It is on disk before anybody hears of it, so it is used once.
func (m *Machine) prepare() {
	b := m.bid
	m.top = max(m.top, m.d.Promised.N) + 1
	b.refused, b.void = map[string]bool{}, map[string]bool{}
	b.ballot = Ballot{N: m.top, By: m.c.Self, DiskID: m.d.DiskID}
	m.d.Promised, m.dirty = b.ballot, true
	m.hear(m.c.Self)
	m.enter(preparing)
}

func (m *Machine) onPromise(from string, t Promise) {
	b := m.bid
	if b == nil || b.phase != preparing || b.ballot != t.Ballot {
		return
	}
	if !t.Record.none() && t.Record.ClusterID != b.base.ClusterID {
		return
	}
	if _, ok := b.promises[from]; ok { // a second one may have lost what the first brought, or bring what was asked for
		t.Committed, t.Pending, b.wanted = b.found(t.Committed), b.found(t.Pending), 0
	}
	b.promises[from] = t
	if m.merge(t.KnownTokens); m.bid != b {
		return
	}
	if t.Record.newer(b.base) {
		b.base, b.enough = t.Record, 0
		m.again()
	}
	m.tally()
}

// tally goes on to copying once the promises decide, and those that are late had a moment.
func (m *Machine) tally() {
	b := m.bid
	if !b.base.has(m.c.Self, m.d.DiskID) { // a change of the set is half done: its members may end it
		m.learn(b.base)
		for _, s := range b.base.Members {
			m.send(s.Addr, Resign{Ballot: b.ballot})
		}
		m.drop()
		m.alive = m.now + silence
		return
	}
	promised := func(s Member) bool { p, ok := b.promises[s.Addr]; return ok && p.DiskID == s.DiskID }
	m.settles(promised)
	data, ok := m.data(promised)
	if !ok || !m.carries(b.base, promised) {
		return
	}
	all := union(b.base.voters(), b.plan)
	kept, next := m.chosen(all, data)
	here := !kept.lacks() && !next.lacks()
	if !here && m.bug == BugOwnBody {
		kept, next, here = m.d.Committed, Doc{}, true
	}
	if !here {
		m.want(kept, next)
	}
	if b.enough == 0 {
		b.enough = m.now
	}
	if !here || count(all, func(s Member) bool { return promised(s) || m.lost(s) }) < len(all) && m.now-b.enough < gather {
		return
	}
	// a newcomer lost meanwhile gets no seat, it would weaken the set from the start; nor is one
	// given up for a set that could not go on
	fresh := func(s Member) bool { return !b.base.has(s.Addr, s.DiskID) && !promised(s) && m.bug != BugSkipLearner }
	rec := EpochRecord{ClusterID: b.base.ClusterID, Ballot: b.ballot, Members: b.base.Members, OldMembers: b.base.OldMembers, Vacancies: b.base.Vacancies}
	if b.base.single() {
		rec.OldMembers = b.base.Members
	}
	if b.base.Active { // one change at a time: what is under way ends first
		if b.plan != nil && b.planned == b.base.Ballot && count(b.plan, fresh) == 0 && most(b.plan, promised) {
			rec.Members, rec.Vacancies = b.plan, max(0, len(b.base.Members)+b.base.Vacancies-len(b.plan))
		}
	}
	whole := b.base.single() || decides(b.base.Members, nil, promised, m.lost) // else the old set agrees, and no more
	if rec.Writers = m.writers(rec.Members, promised, whole); rec.Writers == nil {
		return
	}
	b.rec, b.kept, b.next = rec, kept.full(), next.full()
	if m.bug == BugDropLedger {
		b.kept, b.next = b.kept.ResetLedger(), b.next.ResetLedger()
	}
	b.copied = map[string]bool{}
	m.enter(copying)
}

// settles notes that the old set of a change that is half done has agreed to it.
func (m *Machine) settles(promised func(Member) bool) {
	b := m.bid
	holds := func(s Member) bool { return promised(s) && b.promises[s.Addr].Record.Ballot == b.base.Ballot }
	if m.bug == BugNoShrinkOnForcedLeave || b.base.single() || b.base.Ballot.N == 1 || !decides(b.base.OldMembers, b.base.Members, holds, m.lost) {
		return
	}
	b.base.OldSetAgreed = true
	m.settled(b.base.Ballot)
}

func (m *Machine) settled(b Ballot) {
	if r := &m.d.Record; r.Ballot == b && !r.single() {
		r.OldSetAgreed, m.dirty = true, true
	}
}

// chosen is what the epoch to be begins with: the newest committed document of any promise, and what is above it
// in the state of the last epoch. One whose text is not here yet lacks it.
func (m *Machine) chosen(all []Member, data Doc) (kept, next Doc) {
	b := m.bid
	kept = m.d.Committed
	for _, s := range all {
		if k := b.promises[s.Addr].Committed; k.Supersedes(kept) {
			kept = k
		}
	}
	switch {
	case data.Supersedes(kept):
		next = data
	case data.is(kept) && len(data.Ledger) > 0:
		kept = data
	}
	return b.found(kept), b.found(next)
}

// data is the state of the last epoch, from one of its writers that remembers. One that
// was given the state by a later candidate has all of it too.
func (m *Machine) data(promised func(Member) bool) (Doc, bool) {
	b := m.bid
	var doc Doc
	var stamp Ballot
	found := false
	for _, s := range b.base.Members {
		p := b.promises[s.Addr]
		if !promised(s) {
			continue
		}
		if m.bug != BugAnyState && (b.base.Ballot.above(p.StateBallot) || !slices.Contains(b.base.Writers, s.Addr)) {
			continue
		}
		l := latest(p.Committed, p.Pending)
		if c := p.StateBallot.compare(stamp); !found || c > 0 || c == 0 && l.Supersedes(doc) {
			doc, stamp, found = l, p.StateBallot, true
		}
	}
	return doc, found
}

// writers picks self and as many backups as may be lost, or nil. Where too few seats are left
// it takes them all: such an epoch serves nothing new, it only lets newcomers in.
func (m *Machine) writers(set []Member, promised func(Member) bool, whole bool) []string {
	var me, good, bad []Member
	for _, s := range set {
		switch {
		case s.Addr == m.c.Self:
			me = append(me, s)
		case !promised(s):
		case m.shun[s.Addr] > m.now:
			bad = append(bad, s)
		default:
			good = append(good, s)
		}
	}
	need := min(m.c.ToleratedLosses+1, len(set)-count(set, m.lost))
	if !whole {
		need = min(need, len(me)+len(good)+len(bad))
	}
	seats := append(me, good...)
	if lack := need - len(seats); lack > 0 {
		seats = append(seats, bad[:min(lack, len(bad))]...)
	}
	if len(me) == 0 || len(seats) < need {
		return nil
	}
	return spread(seats, need)
}

func (m *Machine) onRefuse(from string, t Reject) {
	m.top = max(m.top, t.Promised.N)
	m.learn(t.Record)
	if m.lead != nil && t.Ballot == m.lead.rec.Ballot {
		m.rival(t.Promised)
	}
	b := m.bid
	if b == nil || b.phase == probing || b.ballot != t.Ballot {
		return
	}
	if b.refused[from] = true; t.Promised.above(t.Ballot) || 2*len(b.refused) >= len(b.base.Members) {
		m.drop()
	}
}

func (m *Machine) onCopied(from string, t StateInstalled) {
	b := m.bid
	if b == nil || b.phase != copying || b.ballot != t.Ballot || !b.rec.has(from, t.DiskID) {
		return
	}
	b.copied[from] = true
	for _, w := range b.rec.Writers {
		if !b.copied[w] {
			return
		}
	}
	b.enacted = map[string]uint64{}
	m.enter(enacting)
}

func (m *Machine) onEnacted(from string, t EpochRecorded) {
	b := m.bid
	if b == nil || b.phase != enacting || b.ballot != t.Ballot {
		return
	}
	b.enacted[from] = t.DiskID
	yes := func(s Member) bool { return b.enacted[s.Addr] == s.DiskID || m.bug == BugNoQuorum }
	switch {
	case !decides(b.rec.OldMembers, b.rec.Members, yes, m.lost):
	case decides(b.rec.Members, nil, yes, m.lost):
		m.activate()
	case m.bug != BugNoShrinkOnForcedLeave:
		m.settled(b.ballot)
	}
}
