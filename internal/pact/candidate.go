package pact

import (
	"slices"
	"time"

	"asterwell/internal/plane"
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
	at, sent plane.Time // of the phase, of the last sending
	begun    plane.Time
	round    uint64
	ballot   Ballot
	base     Record // the newest record met
	plan     []Seat // the set to come, if base still is the epoch it was made for
	planned  Ballot
	grants   map[string]uint64 // address to life
	promises map[string]Promise
	refused  map[string]bool
	enough   plane.Time // since when the promises do, or 0
	rec      Record     // the epoch to be
	kept     Doc
	next     Doc
	copied   map[string]bool
	enacted  map[string]uint64
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
	for _, s := range r.Set {
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
		grants: map[string]uint64{}, promises: map[string]Promise{}}
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
	if m.now-b.begun > bidLimit || b.phase == probing && m.now-b.at > probeLimit ||
		b.phase == copying && m.now-b.at > copyLimit {
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
	if m.bid == b && m.now-b.sent >= resendEvery {
		m.again()
	}
}

// again sends what the phase still waits for.
func (m *Machine) again() {
	b := m.bid
	b.sent = m.now
	switch b.phase {
	case probing:
		for _, s := range b.base.voters() {
			if b.grants[s.Addr] != s.Life {
				m.send(s.Addr, Probe{Round: b.round, Record: b.base})
			}
		}
	case preparing:
		for _, s := range union(b.base.voters(), b.plan) {
			if b.promises[s.Addr].Life != s.Life {
				m.durable(s.Addr, Prepare{Ballot: b.ballot, Life: s.Life, Record: b.base})
			}
		}
	case copying:
		for _, s := range b.rec.Set {
			if slices.Contains(b.rec.Writers, s.Addr) && !b.copied[s.Addr] {
				m.send(s.Addr, Copy{Ballot: b.ballot, Life: s.Life, Kept: b.kept, Next: b.next})
			}
		}
	case enacting:
		for _, s := range b.rec.voters() {
			if b.enacted[s.Addr] != s.Life {
				m.send(s.Addr, Enact{Record: b.rec, Life: s.Life})
			}
		}
	}
}

func (m *Machine) enter(p phase) {
	m.bid.phase, m.bid.at = p, m.now
	m.again()
}

func (m *Machine) onProbed(from string, t Probed) {
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
		b.grants[from] = t.Life
	}
	if t.Record.newer(b.base) && t.Record.Founding == b.base.Founding {
		b.base = t.Record
		m.again()
		return
	}
	if m.carries(b.base, func(s Seat) bool { return b.grants[s.Addr] == s.Life }) {
		m.prepare()
	}
}

func (m *Machine) carries(r Record, agreed func(Seat) bool) bool {
	return m.bug == BugAlone || r.carried(m.c.Losses, agreed)
}

// reshape makes a primary ask for a fresh epoch, to have other writers or another set.
func (m *Machine) reshape(plan []Seat) {
	rec := m.lead.rec
	m.lead = nil
	m.bid = &bid{begun: m.now, base: rec, plan: plan, planned: rec.Ballot, promises: map[string]Promise{}}
	m.prepare()
}

// prepare takes a ballot. It is on disk before anybody hears of it, so it is used once.
func (m *Machine) prepare() {
	b := m.bid
	m.top = max(m.top, m.d.Promised.N) + 1
	b.refused = map[string]bool{}
	b.ballot = Ballot{N: m.top, By: m.c.Self, Life: m.d.Life}
	m.d.Promised, m.dirty = b.ballot, true
	m.hear(m.c.Self)
	m.enter(preparing)
}

func (m *Machine) onPromise(from string, t Promise) {
	b := m.bid
	if b == nil || b.phase != preparing || b.ballot != t.Ballot {
		return
	}
	if !t.Record.none() && t.Record.Founding != b.base.Founding {
		return
	}
	b.promises[from] = t
	if t.Record.newer(b.base) {
		b.base, b.enough = t.Record, 0
		m.again()
	}
	m.tally()
}

// tally goes on to copying once the promises decide, and those that are late had a moment.
func (m *Machine) tally() {
	b := m.bid
	if !b.base.has(m.c.Self, m.d.Life) {
		m.learn(b.base)
		m.drop()
		return
	}
	promised := func(s Seat) bool { p, ok := b.promises[s.Addr]; return ok && p.Life == s.Life }
	data, ok := m.data(promised)
	if !ok || !m.carries(b.base, promised) {
		return
	}
	all := union(b.base.voters(), b.plan)
	if b.enough == 0 {
		b.enough = m.now
	}
	if count(all, promised) < len(all) && m.now-b.enough < gather {
		return
	}
	// a newcomer lost meanwhile gets no seat, it would weaken the set from the start
	fresh := func(s Seat) bool { return !b.base.has(s.Addr, s.Life) && !promised(s) }
	rec := Record{Founding: b.base.Founding, Ballot: b.ballot, Set: b.base.Set, Old: b.base.Old}
	if b.base.Active { // one change at a time: what is under way ends first
		rec.Old = b.base.Set
		if b.plan != nil && b.planned == b.base.Ballot && count(b.plan, fresh) == 0 {
			rec.Set = b.plan
		}
	}
	if rec.Writers = m.writers(rec.Set, promised); rec.Writers == nil {
		return
	}
	b.rec, b.next, b.kept = rec, Doc{}, m.d.Kept
	for _, s := range all {
		if k := b.promises[s.Addr].Kept; k.Above(b.kept) {
			b.kept = k
		}
	}
	if data.Above(b.kept) {
		b.next = data
	}
	b.copied = map[string]bool{}
	m.enter(copying)
}

// data is the state of the last epoch, from one of its writers that remembers. One that
// was given the state by a later candidate has all of it too.
func (m *Machine) data(promised func(Seat) bool) (Doc, bool) {
	b := m.bid
	var doc Doc
	var stamp Ballot
	found := false
	for _, s := range b.base.Set {
		p := b.promises[s.Addr]
		if !promised(s) {
			continue
		}
		if m.bug != BugAnyData && (b.base.Ballot.above(p.Stamp) || !slices.Contains(b.base.Writers, s.Addr)) {
			continue
		}
		l := latest(p.Kept, p.Next)
		if c := p.Stamp.compare(stamp); !found || c > 0 || c == 0 && l.Above(doc) {
			doc, stamp, found = l, p.Stamp, true
		}
	}
	return doc, found
}

// writers picks self and as many backups as may be lost, or nil.
func (m *Machine) writers(set []Seat, promised func(Seat) bool) []string {
	var me, good, bad []Seat
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
	need := m.c.Losses + 1
	seats := append(me, good...)
	if lack := need - len(seats); lack > 0 {
		seats = append(seats, bad[:min(lack, len(bad))]...)
	}
	if len(me) == 0 || len(seats) < need {
		return nil
	}
	return spread(seats, need)
}

func (m *Machine) onRefuse(from string, t Refuse) {
	m.top = max(m.top, t.Promised.N)
	m.learn(t.Record)
	if m.lead != nil && t.Ballot == m.lead.rec.Ballot {
		m.rival(t.Promised)
	}
	b := m.bid
	if b == nil || b.phase == probing || b.ballot != t.Ballot {
		return
	}
	if b.refused[from] = true; t.Promised.above(t.Ballot) || 2*len(b.refused) >= len(b.base.Set) {
		m.drop()
	}
}

func (m *Machine) onCopied(from string, t Copied) {
	b := m.bid
	if b == nil || b.phase != copying || b.ballot != t.Ballot || !b.rec.has(from, t.Life) {
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

func (m *Machine) onEnacted(from string, t Enacted) {
	b := m.bid
	if b == nil || b.phase != enacting || b.ballot != t.Ballot {
		return
	}
	b.enacted[from] = t.Life
	yes := func(s Seat) bool { return b.enacted[s.Addr] == s.Life || m.bug == BugAlone }
	if most(b.rec.Set, yes) && most(b.rec.Old, yes) {
		m.activate()
	}
}
