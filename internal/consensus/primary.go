package consensus

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// lead is what a primary knows of its epoch. All of it may be lost.
type lead struct {
	rec    EpochRecord
	since  fsm.Time
	beat   fsm.Time
	heard  map[string]fsm.Time
	slow   map[string]bool
	bears  map[string]span // what a member bears of its disk
	rival  Ballot          // a promise above the epoch that some member gave
	rivals fsm.Time

	doc      *Doc // on its way to the writers
	docAt    fsm.Time
	docSent  fsm.Time
	appended map[string]bool

	round     uint64
	roundAt   fsm.Time
	roundSent fsm.Time
	confirmed map[string]uint64

	joiners map[string]joiner
	leavers map[string]leaver
	stored  map[string]bool   // who has the record on disk as an active one
	known   map[string]bool   // who holds it as such, on disk or not
	void    map[string]bool   // seats known to be lost
	sums    map[string]uint32 // of the marks that members told last
}

type joiner struct {
	seat Member
	grow bool
	at   fsm.Time
}

// wait is a call that came to the primary.
type wait struct {
	from  string
	f     Forward
	at    fsm.Time
	round uint64 // of confirmations that a read needs
}

// activate begins to serve: the epoch's record is where no successor can miss it.
func (m *Machine) activate() {
	b := m.bid
	m.bid = nil
	rec := b.rec
	rec.Active = true
	m.d.Record, m.dirty, m.view = rec, true, rec
	m.lead = &lead{rec: rec, since: m.now, heard: map[string]fsm.Time{}, slow: map[string]bool{}, bears: map[string]span{},
		confirmed: map[string]uint64{}, joiners: map[string]joiner{}, sums: map[string]uint32{}, leavers: map[string]leaver{},
		void: b.void, stored: map[string]bool{}, known: map[string]bool{}}
	m.active = m.seq + 1
	for _, s := range rec.Members {
		m.lead.heard[s.Addr] = m.now
	}
	for _, w := range m.queue {
		w.round = 0
	}
	fresh := b.next.later(m.d.Committed)
	m.commit(latest(b.kept, b.next))
	for _, to := range m.everyone() {
		m.tell(to)
	}
	if fresh {
		m.push(m.d.Committed)
	}
	m.redirect()
	m.steer()
	m.serve()
}

// steer keeps the epoch going, or ends it for a better one.
func (m *Machine) steer() {
	l := m.lead
	if l == nil {
		return
	}
	hears := m.hears
	if m.hangs() || m.overtaken() || !decides(l.rec.Members, nil, hears, func(s Member) bool { return l.void[s.key()] }) {
		m.resign()
		return
	}
	if m.ails(hears) {
		m.reshape(nil)
		return
	}
	if plan := m.plan(); plan != nil {
		if has(plan, m.c.Self, m.d.DiskID) {
			m.reshape(plan)
		} else {
			m.hand()
		}
		if m.lead == nil {
			return
		}
	}
	if m.relieve() {
		m.reshape(nil)
		return
	}
	if m.now-l.beat >= beatEvery || l.beat == 0 {
		l.beat = m.now
		for _, s := range l.rec.Members {
			if s.Addr != m.c.Self {
				b := Heartbeat{Ballot: l.rec.Ballot, Version: m.d.Committed.Version}
				if sum, ok := l.sums[s.Addr]; ok && sum != m.sum(l.rec) {
					b.KnownTokens = m.marks(l.rec)
				}
				m.send(s.Addr, b)
			}
		}
	}
	if l.doc != nil && m.now-l.docSent >= resendEvery+m.onWay(*l.doc) {
		m.append()
	}
	if l.roundAt != 0 && m.now-l.roundSent >= resendEvery {
		m.confirm()
	}
}

// ails says whether the epoch's writers cannot go on while others could.
func (m *Machine) ails(hears func(Member) bool) bool {
	l := m.lead
	if l.rival.above(l.rec.Ballot) && m.now-l.rivals > resendEvery*3 {
		return true
	}
	lost := false
	for _, s := range l.rec.Members {
		if s.Addr == m.c.Self || !slices.Contains(l.rec.Writers, s.Addr) {
			continue
		}
		late := l.doc != nil && !l.appended[s.Addr] && m.now-l.docAt > max(stall, time.Duration(l.bears[s.Addr])) ||
			l.roundAt != 0 && l.confirmed[s.Addr] < l.round && m.now-l.roundAt > stall
		if late || l.slow[s.Addr] {
			m.shun[s.Addr] = m.now + 2*vacant
		}
		lost = lost || late || l.slow[s.Addr] || !hears(s)
	}
	if !m.enough() && count(l.rec.Members, m.answers) > m.c.ToleratedLosses {
		return true
	}
	fit := func(s Member) bool { return hears(s) && !l.slow[s.Addr] && m.shun[s.Addr] <= m.now }
	return lost && count(l.rec.Members, fit) > m.c.ToleratedLosses
}

func (m *Machine) resign() {
	for _, s := range m.lead.rec.Members {
		if s.Addr != m.c.Self {
			m.send(s.Addr, Resign{Ballot: m.lead.rec.Ballot})
		}
	}
	m.lead = nil
	m.alive, m.aliveBy = m.now, ""
}

// plan is the set to come if somebody is to have a seat, or nil.
func (m *Machine) plan() []Member {
	l := m.lead
	if m.now-l.since < 2*helloEvery && m.enough() && !m.hasty() {
		return nil
	}
	var who []joiner
	for _, j := range l.joiners {
		if m.now-j.at < settle {
			who = append(who, j)
		}
	}
	slices.SortFunc(who, func(a, b joiner) int { return cmp.Compare(a.seat.Addr, b.seat.Addr) })
	set, changed := slices.Clone(l.rec.Members), false
	room := max(2*m.c.ToleratedLosses+1, len(set)+l.rec.Vacancies)
	var learners []Member
	for _, j := range who {
		i := slices.IndexFunc(set, func(s Member) bool { return s.Addr == j.seat.Addr })
		switch {
		case i >= 0:
		case j.grow:
			set = append(set, j.seat)
			changed = true
			continue
		default:
			if i = m.vacancy(set, j.seat.Zone); i < 0 {
				learners = append(learners, j.seat)
			}
		}
		if i >= 0 && set[i].Addr != m.c.Self {
			set[i], changed = j.seat, true
		}
	}
	n := len(set)
	set = m.give(set, learners)
	learners = slices.DeleteFunc(learners, func(s Member) bool { return has(set, s.Addr, s.DiskID) })
	for len(learners) > 0 && n == len(set) && len(set) < room {
		set, learners = append(set, learners[0]), learners[1:]
	}
	if !changed && slices.Equal(set, l.rec.Members) {
		return nil
	}
	return set
}

// enough says whether the epoch has as many copies as it is meant to.
func (m *Machine) enough() bool { return len(m.lead.rec.Writers) > m.c.ToleratedLosses }

// vacancy is the seat of a member silent for long, rather in that zone, or -1.
func (m *Machine) vacancy(set []Member, zone string) int {
	best := -1
	for i, s := range set {
		at, ok := m.lead.heard[s.Addr]
		if !ok || s.Addr == m.c.Self || m.now-at < vacant {
			continue
		}
		if best < 0 || s.Zone == zone && set[best].Zone != zone {
			best = i
		}
	}
	return best
}

func (m *Machine) onBeaten(from string, t HeartbeatReply) {
	l := m.lead
	if l == nil || !l.rec.has(from, t.DiskID) || t.Ballot != l.rec.Ballot {
		return
	}
	l.heard[from], l.slow[from], l.bears[from] = m.now, t.DiskSlow, min(span(t.DiskTolerance), span(bearable))
	l.stored[from], l.known[from] = t.RecordStored, t.RecordKnown
	if t.TokensHash != 0 {
		l.sums[from] = t.TokensHash
	}
	m.rival(t.Promised)
	if !t.RecordKnown {
		m.tell(from)
	}
}

// rival notes a promise above the epoch: that member can't serve it any more.
func (m *Machine) rival(b Ballot) {
	if l := m.lead; b.above(l.rec.Ballot) && b != l.rival {
		if !l.rival.above(l.rec.Ballot) {
			l.rivals = m.now
		}
		l.rival = b
		m.top = max(m.top, b.N)
	}
}

// serve takes up what waits: one document at a time, reads by rounds.
func (m *Machine) serve() {
	l := m.lead
	if l == nil {
		return
	}
	var rest []*wait
	ask := false
	var next *Doc
	for _, w := range m.queue {
		v := m.knows(w.f.Doc)
		switch {
		case w.f.Read && m.bug == BugUnconfirmed:
			m.read(w)
		case w.f.Read:
			if w.round == 0 {
				w.round, ask = l.round+1, true
			}
			rest = append(rest, w)
		case v != 0:
			m.reply(w, v, nil)
		default:
			if next == nil && w.f.Doc.Version > m.d.Committed.Version {
				next = &w.f.Doc
			}
			rest = append(rest, w)
		}
	}
	m.queue = rest
	free := l.doc == nil || l.doc.LedgerRev > 0 && next != nil // a change doesn't wait for notes: it takes them along
	if free && (m.enough() || m.bug == BugTooFewWriters) {
		m.offer(next)
	}
	if ask {
		l.round++
		if l.roundAt == 0 {
			l.roundAt = m.now
		}
		m.confirm()
	}
}

func (m *Machine) reply(w *wait, v Result, d *Doc) {
	m.send(w.from, ForwardReply{ID: w.f.ID, CallerID: w.f.CallerID, Result: v, Doc: d})
}

func (m *Machine) append() {
	l := m.lead
	l.docSent = m.now
	for _, s := range l.rec.Members {
		if slices.Contains(l.rec.Writers, s.Addr) && !l.appended[s.Addr] {
			m.send(s.Addr, Append{Ballot: l.rec.Ballot, DiskID: s.DiskID, Doc: *l.doc, again: m.now > l.docAt})
		}
	}
}

func (m *Machine) onAppended(from string, t Appended) {
	l := m.lead
	if l == nil || t.Ballot != l.rec.Ballot || !l.rec.has(from, t.DiskID) || l.doc == nil ||
		t.Version != l.doc.Version || t.Rev != l.doc.Rev || t.LedgerRevPlusOne != 0 && t.LedgerRevPlusOne != l.doc.LedgerRev+1 {
		return
	}
	l.appended[from] = true
	for _, w := range l.rec.Writers {
		if !l.appended[w] && (m.bug != BugAckEarly || w == m.c.Self) {
			return
		}
	}
	doc := *l.doc
	l.doc = nil
	later := doc.later(m.d.Committed)
	m.commit(doc)
	if later {
		m.push(doc)
	} else { // none but the writers keep notes
		for _, w := range l.rec.Writers[1:] {
			m.send(w, CommitAmendment{doc.Version, doc.Rev, doc.CreatedIn, doc.LedgerRev})
		}
	}
	m.serve()
}

func (m *Machine) confirm() {
	l := m.lead
	l.roundSent = m.now
	for _, s := range l.rec.Members {
		if slices.Contains(l.rec.Writers, s.Addr) && l.confirmed[s.Addr] < l.round {
			m.send(s.Addr, Confirm{Ballot: l.rec.Ballot, DiskID: s.DiskID, Round: l.round})
		}
	}
}

func (m *Machine) onConfirmed(from string, t Confirmed) {
	l := m.lead
	if l == nil || t.Ballot != l.rec.Ballot || !l.rec.has(from, t.DiskID) {
		return
	}
	l.confirmed[from] = max(l.confirmed[from], t.Round)
	least := l.round
	for _, w := range l.rec.Writers {
		least = min(least, l.confirmed[w])
	}
	if least == l.round {
		l.roundAt = 0
	}
	m.out.ConfirmedRound = least
	var rest []*wait
	for _, w := range m.queue {
		switch {
		case !w.f.Read || w.round == 0 || w.round > least:
			rest = append(rest, w)
		default:
			m.read(w)
		}
	}
	m.queue = rest
}

// read answers one that the writers have confirmed.
func (m *Machine) read(w *wait) {
	switch {
	case w.f.ContactOnly:
		m.send(w.from, ForwardReply{ID: w.f.ID, CallerID: w.f.CallerID, Result: ResultContact, Version: m.d.Committed.Version})
	case m.d.Committed.Version == 0:
		m.reply(w, ResultNone, nil)
	default:
		m.reply(w, ResultRead, m.Committed())
	}
}

// onForward takes a call in, or says who is thought to be the primary.
func (m *Machine) onForward(from string, f Forward) {
	if m.lead == nil && (m.bid == nil || m.bid.phase == probing) {
		m.tell(from)
		return
	}
	for _, w := range m.queue {
		if w.from == from && w.f.ID == f.ID && w.f.CallerID == f.CallerID {
			return
		}
	}
	if !f.Read {
		f.Doc = f.Doc.summed()
	}
	m.queue = append(m.queue, &wait{from: from, f: f, at: m.now})
	m.serve()
}

// lapse forgets calls whose callers have gone elsewhere.
func (m *Machine) lapse() {
	m.queue = slices.DeleteFunc(m.queue, func(w *wait) bool { return m.now-w.at > time.Second })
}
