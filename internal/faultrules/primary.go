package faultrules

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"asterwell/internal/dedup"
	"asterwell/internal/fsm"
)

// primaryState is the primary's state for one term. It exists only while there is work to do.
type primaryState struct {
	term      Term
	members   []string
	startedAt fsm.Time
	claimed   map[string]ClaimReply
	serving   bool // the claim succeeded: rec continues the newest record of a majority

	rec             Record // newest record, being replicated unless committed
	committed       bool
	committedRecord Record
	rules           []Rule // of committedRecord
	left            []time.Duration
	leftAt          fsm.Time
	acked           map[string]uint64
	ackStamps       map[string]fsm.Time // newest send time that each member has acknowledged
	sent            fsm.Time

	ops            []pendingOp // queued
	committing     []pendingOp // answered once rec is committed
	asks           map[string]Ask
	strikeWaiters  map[string]bool   // processes with requests that wait for strikes
	noteSenders    map[string]bool   // processes with unrecorded notes
	awaitingCommit []string          // processes to answer once rec is committed
	recordedNotes  map[Node]uint64   // highest note of each process in rec
	committedNotes map[Node]uint64   // the same for committedRecord
	notes          []Entry           // of the term, after the first noteBase
	memberNotes    map[string]uint64 // number of notes that each member has
	confirmedTurns map[Node]uint64   // newest turn that each process has confirmed
	active         uint64            // the turn in force
	activateAfter  fsm.Time          // leases of an earlier turn may be valid until then
	leasesUntil    fsm.Time          // latest expiry of any granted lease
	pushed         fsm.Time

	noteBase uint64
}

// pendingOp is an operator's call that the primary has not answered yet.
type pendingOp struct {
	from string
	f    Forward
	at   fsm.Time
}

// ampleFactor is the number of remaining strikes for each process from which on the primary grants
// some in advance, though they may stay unused.
const ampleFactor = 8

func majority(members []string) int { return len(members)/2 + 1 }

func sorted(of map[string]bool) []string { return slices.Sorted(maps.Keys(of)) }

// trim discards the notes that all members have stored.
func (l *primaryState) trim() {
	low := l.noteBase + uint64(len(l.notes))
	for _, to := range l.members {
		low = min(low, l.memberNotes[to])
	}
	if low > l.noteBase {
		l.notes, l.noteBase = l.notes[low-l.noteBase:], low
	}
}

// isLive reports whether membership considers this incarnation live.
func (m *Machine) isLive(n Node) bool { return slices.Contains(m.nodes, n) }

// startTerm begins a term if this process is the primary and has none. It returns the current
// state, or nil on other processes.
func (m *Machine) startTerm() *primaryState {
	if m.primaryState != nil || !m.place.Leads || len(m.place.Members) == 0 {
		return m.primaryState
	}
	m.termsStarted++
	l := &primaryState{term: Term{m.place.N, m.c.Self, m.c.Life<<16 | m.termsStarted}, members: slices.Clone(m.place.Members), startedAt: m.now,
		claimed: map[string]ClaimReply{}, acked: map[string]uint64{}, ackStamps: map[string]fsm.Time{}, asks: map[string]Ask{},
		strikeWaiters: map[string]bool{}, noteSenders: map[string]bool{}, recordedNotes: map[Node]uint64{}, committedNotes: map[Node]uint64{},
		memberNotes: map[string]uint64{}, confirmedTurns: map[Node]uint64{}, activateAfter: m.now + LeaseFor}
	m.primaryState = l
	m.tickPrimary()
	return l
}

// tickPrimary performs the primary's periodic work.
func (m *Machine) tickPrimary() {
	l := m.primaryState
	if l == nil {
		return
	}
	if !l.serving {
		if l.sent == 0 || m.now-l.sent >= retryInterval {
			l.sent = m.now
			for _, to := range l.members {
				if _, ok := l.claimed[to]; !ok {
					m.send(to, Claim{l.term})
				}
			}
		}
		return
	}
	if l.committed {
		m.startNextOp()
	}
	if m.now-l.sent >= heartbeatInterval || !l.committed && m.now-l.sent >= retryInterval {
		m.replicate()
	}
	if l.committedRecord.Turn > 0 && m.now-l.pushed >= pushInterval {
		l.pushed = m.now
		for _, n := range m.nodes {
			if l.confirmedTurns[n] != l.committedRecord.Turn {
				m.push(n.Addr)
			}
		}
	}
	m.activate()
	if l.committed && len(l.ops) == 0 && !m.currentRecord().live() && len(m.unconfirmedNodes()) == 0 && m.now-l.startedAt > LeaseFor {
		m.primaryState = nil // idle until the next request
	}
}

// replicate sends the record to members that lack it, and a heartbeat to the others to confirm
// the term.
func (m *Machine) replicate() {
	l := m.primaryState
	l.sent = m.now
	for _, to := range l.members {
		if l.acked[to] == l.rec.Seq {
			m.send(to, Heartbeat{l.term, m.now, m.now - l.leftAt + recordAgeMargin, l.rec.Seq})
		} else {
			from, notes := l.missingNotes(to)
			m.send(to, Append{l.rec, m.now, m.now - l.leftAt + recordAgeMargin, from, notes})
		}
	}
}

func (m *Machine) onClaimReply(from string, c ClaimReply) {
	l := m.primaryState
	if l == nil || c.Term != l.term || l.serving || !slices.Contains(l.members, from) {
		return
	}
	l.claimed[from] = c
	withRecord := 0
	for _, c := range l.claimed {
		if !c.Record.Term.isZero() {
			withRecord++
		}
	}
	if withRecord < majority(l.members) && len(l.claimed) < len(l.members) {
		return
	}
	for _, c := range l.claimed {
		if c.Record.newer(l.rec) {
			l.rec = c.Record
		}
	}
	l.leftAt = l.startedAt
	l.left = make([]time.Duration, len(l.rec.Left)) // zero: rules whose age no member knows have ended
	first := true
	for _, c := range l.claimed {
		if r := c.Record; r.Turn != l.rec.Turn || !c.Sure || len(r.Left) != len(l.left) {
			continue
		}
		for i, left := range aged(c.Record.Left, c.Age) {
			if first {
				l.left[i] = left
			}
			l.left[i] = min(l.left[i], left)
		}
		first = false
	}
	l.serving = true
	m.write(l.rec)
}

// write makes r the newest record and replicates it.
func (m *Machine) write(r Record) {
	l := m.primaryState
	r.Term, r.Seq = l.term, l.rec.Seq+1
	if l.rec.Term != l.term {
		r.Seq = 1
	}
	l.left = aged(l.left, m.now-l.leftAt)
	l.leftAt = m.now
	r.Left = slices.Clone(l.left)
	l.rec, l.committed = r, false
	m.replicate()
}

func (m *Machine) onAppendReply(from string, a AppendReply) {
	l := m.primaryState
	if l == nil || a.Term != l.term || !slices.Contains(l.members, from) {
		return
	}
	l.ackStamps[from] = max(l.ackStamps[from], a.Stamp)
	defer m.resumeOps()
	l.acked[from] = max(l.acked[from], a.Seq)
	l.memberNotes[from] = min(max(l.memberNotes[from], a.Notes), l.noteBase+uint64(len(l.notes)))
	l.trim()
	if l.committed || !l.serving {
		return
	}
	n := 0
	for _, seq := range l.acked {
		if seq == l.rec.Seq {
			n++
		}
	}
	if n >= majority(l.members) {
		m.commit()
	}
}

func (m *Machine) onHeartbeatReply(from string, b HeartbeatReply) {
	if l := m.primaryState; l != nil && b.Term == l.term && slices.Contains(l.members, from) {
		l.ackStamps[from] = max(l.ackStamps[from], b.Stamp)
		m.resumeOps()
	}
}

// resumeOps continues with calls that wait for a majority's confirmation.
func (m *Machine) resumeOps() {
	if l := m.primaryState; l != nil && l.committed && len(l.ops) > 0 {
		m.startNextOp()
	}
}

// commit marks the record as committed, and answers the requests that wait for it.
func (m *Machine) commit() {
	l := m.primaryState
	newTurn := l.committedRecord.Turn != l.rec.Turn || l.rules == nil
	l.committed, l.committedRecord, l.committedNotes = true, l.rec, maps.Clone(l.recordedNotes)
	if newTurn {
		l.activateAfter = max(l.activateAfter, l.leasesUntil)
		l.rules, l.pushed = []Rule{}, m.now
		if set, err := Parse(l.committedRecord.Doc.Body, m.c.Longest); err == nil {
			l.rules = set.Rules
		}
		if l.committedRecord.Turn > 0 {
			for _, n := range m.nodes {
				m.push(n.Addr)
			}
		}
	}
	for _, o := range l.committing {
		m.answer(o, Done)
	}
	l.committing = nil
	m.respondAll(l.awaitingCommit)
	l.awaitingCommit = nil
	m.startNextOp()
}

// respondAll answers the latest Ask of each process.
func (m *Machine) respondAll(addrs []string) {
	for _, addr := range lo.Uniq(addrs) {
		m.respond(addr, m.primaryState.asks[addr])
	}
}

// startNextOp starts the next queued change, after answering the calls that change nothing.
func (m *Machine) startNextOp() {
	l := m.primaryState
	for len(l.ops) > 0 && l.committed {
		o := l.ops[0]
		r := l.committedRecord
		if out, ends := m.outcomeWithoutChange(o.f, r); ends {
			if !m.confirmed(o) {
				break // later calls are not confirmed either
			}
			l.ops = l.ops[1:]
			m.answer(o, out)
			continue
		}
		l.ops = l.ops[1:]
		switch o.f.Op {
		case OpStop:
			r.Turn, r.Stopped, r.Parts = r.Turn+1, true, nil
			l.committing = append(l.committing, o)
			m.write(r)
		case OpPut:
			set, err := Parse(o.f.Doc.Body, m.c.Longest)
			if err != nil { // validated by the process that accepted it; the limits here differ
				m.answer(o, Busy)
				continue
			}
			r.Sets = r.acceptedSets().With(o.f.Doc.Version, dedup.Digest(o.f.Doc.Body))
			r.Turn, r.Doc, r.Stopped, r.Parts = r.Turn+1, o.f.Doc, false, nil
			l.left, l.leftAt = nil, m.now
			for i := range set.Rules {
				l.left = append(l.left, set.Rules[i].Ends())
			}
			l.committing = append(l.committing, o)
			m.write(r)
		}
	}
	if l.committed {
		m.updateBudgets()
	}
}

// outcomeWithoutChange returns the outcome of a call that changes nothing; ends is false for a call
// that does.
func (m *Machine) outcomeWithoutChange(f Forward, r Record) (out Outcome, ends bool) {
	switch f.Op {
	case OpStop:
		if r.Turn == 0 || r.Stopped {
			return Done, true
		}
	case OpPut:
		digest := dedup.Digest(f.Doc.Body)
		known := r.acceptedSets().Lookup(f.Doc.Version, digest)
		switch {
		case m.bug == RejectsRetries && f.Doc.Version <= r.Doc.Version:
			known = dedup.Conflicting
		case m.bug == IgnoresBody && f.Doc.Version == r.Doc.Version:
			known = dedup.Same
		}
		switch {
		case known == dedup.Same: // a retry: Done even if the set has been stopped or replaced since
			return Done, true
		case known == dedup.Unknown: // too old for the history: it may have been accepted
			return Busy, true
		case known == dedup.Conflicting || f.Doc.Version <= r.Doc.Version:
			return Below, true
		}
	default:
		return Read, true
	}
	if f.Fence != 0 && f.Fence != r.Turn+1 {
		return Read, true // the turn has changed since the caller read it; the caller decides again
	}
	return 0, false
}

// confirmed reports whether a majority has acknowledged the term since the call arrived, so that
// the committed record is the newest. If not, it sends heartbeats.
func (m *Machine) confirmed(o pendingOp) bool {
	l := m.primaryState
	if m.lastMajorityAck() >= o.at || m.bug == Unconfirmed {
		return true
	}
	if l.sent < o.at || m.now-l.sent >= retryInterval {
		m.replicate()
	}
	return false
}

// updateBudgets records reported strikes, takes back those granted to processes that have gone, and
// grants strikes to processes whose requests wait for them.
func (m *Machine) updateBudgets() {
	l := m.primaryState
	if l.active != l.committedRecord.Turn || !m.currentRecord().live() {
		clear(l.strikeWaiters)
	}
	r, reporters, addrs := l.committedRecord, sorted(l.noteSenders), sorted(l.strikeWaiters)
	changed := m.recordNotes(&r)
	changed = m.reclaimParts(&r) || changed
	if len(reporters) == 0 && len(addrs) == 0 && !changed {
		return
	}
	clear(l.strikeWaiters)
	for _, addr := range addrs {
		a := l.asks[addr]
		for i := range l.rules {
			if i >= len(a.Want) || i >= len(a.Used) {
				continue
			}
			one, all := r.given(i, addr, a.Life)
			want := a.Want[i]
			if one == 0 && l.rules[i].Budget >= ampleFactor*len(m.nodes) {
				want = max(want, 1)
			}
			if m.bug == PerNode {
				all = one
			}
			free := l.rules[i].Budget - all
			n := want - max(0, one-a.Used[i])
			if n > 0 && free > ampleFactor*n*max(1, len(m.nodes)) {
				n += free / (2 * ampleFactor * max(1, len(m.nodes))) // grant some in advance
			}
			if n = min(n, free); n > 0 {
				r.grant(i, addr, a.Life, n)
				changed = true
			}
		}
	}
	addrs = append(addrs, reporters...)
	switch {
	case !changed: // the budget is spent, or the reports were stale
		m.respondAll(addrs)
	case m.bug == SkipsRecord:
		l.committedRecord.Parts, l.committedNotes = r.Parts, maps.Clone(l.recordedNotes)
		m.respondAll(addrs)
	default:
		l.awaitingCommit = addrs
		m.write(r)
		if m.bug == AcksUncommitted {
			l.committedNotes, l.committedRecord.Parts = maps.Clone(l.recordedNotes), r.Parts
			m.respondAll(addrs)
		}
	}
}

// currentRecord returns the committed record with the remaining times as of now.
func (m *Machine) currentRecord() Record {
	r := m.primaryState.committedRecord
	r.Left = aged(m.primaryState.left, m.now-m.primaryState.leftAt)
	return r
}

// unconfirmedNodes returns the live processes that have not confirmed the committed turn.
func (m *Machine) unconfirmedNodes() (addrs []string) {
	for _, n := range m.nodes {
		if m.primaryState.committedRecord.Turn > 0 && m.primaryState.confirmedTurns[n] != m.primaryState.committedRecord.Turn {
			addrs = append(addrs, n.Addr)
		}
	}
	return addrs
}

// activate brings the committed set into force once every live process has confirmed it and earlier
// leases have expired.
func (m *Machine) activate() {
	l := m.primaryState
	if l.active == l.committedRecord.Turn || !l.committed {
		return
	}
	if m.bug == ActivatesEarly || len(m.unconfirmedNodes()) == 0 && len(m.nodes) > 0 && m.now >= l.activateAfter {
		l.active = l.committedRecord.Turn
		m.respondAll(slices.Sorted(maps.Keys(l.asks)))
		for addr := range l.asks { // grant strikes in advance, if the budget is large
			l.strikeWaiters[addr] = true
		}
		m.updateBudgets()
	}
}

// lastMajorityAck returns the latest send time that a majority has acknowledged in this term.
func (m *Machine) lastMajorityAck() fsm.Time {
	l := m.primaryState
	var at []fsm.Time
	for _, addr := range l.members {
		at = append(at, l.ackStamps[addr])
	}
	slices.SortFunc(at, func(a, b fsm.Time) int { return cmp.Compare(b, a) })
	return at[majority(l.members)-1]
}

func (m *Machine) push(to string) {
	k := m.primaryState.committedRecord
	m.send(to, Push{Term: k.Term, Turn: k.Turn, Doc: k.Doc, Stopped: k.Stopped || k.Turn == 0})
}

func (m *Machine) onAsk(from string, a Ask) {
	l := m.startTerm()
	if l == nil || a.Form < formRecordsFirst {
		return
	}
	l.asks[from] = a
	if !l.serving || l.rules == nil { // nothing is committed in this term yet
		return
	}
	if a.Turn != l.committedRecord.Turn || a.Body != xxhash.Sum64(l.committedRecord.Doc.Body) {
		m.push(from)
		return
	}
	l.confirmedTurns[Node{from, a.Life}] = a.Turn
	m.activate()
	if slices.ContainsFunc(a.Want, func(n int) bool { return n > 0 }) {
		l.strikeWaiters[from] = true
	}
	if len(a.Notes) > 0 {
		l.noteSenders[from] = true
	}
	if l.committed {
		m.updateBudgets()
	}
	m.respond(from, a)
}

// respond grants a lease on the committed set. No lease is renewed while another set or a stop is
// being replicated.
func (m *Machine) respond(to string, a Ask) {
	l, k := m.primaryState, m.currentRecord()
	if a.Turn != k.Turn {
		return
	}
	out := Lease{Turn: k.Turn, Stamp: a.Stamp, Life: a.Life, Left: k.Left, Nodes: len(m.nodes), Over: !k.live(),
		Heard: l.committedNotes[Node{to, a.Life}], Term: k.Term, Seq: k.Seq}
	if l.active == k.Turn && l.rec.Turn == k.Turn {
		out.For = max(0, min(LeaseFor, m.lastMajorityAck()+LeaseFor-m.now))
		l.leasesUntil = max(l.leasesUntil, m.now+out.For)
	}
	for i := range l.rules {
		one, all := k.given(i, to, a.Life)
		used, _ := k.used(i, to, a.Life)
		out.Parts, out.Noted = append(out.Parts, one), append(out.Noted, used)
		out.Spent = append(out.Spent, all >= l.rules[i].Budget && m.bug != PerNode)
	}
	m.send(to, out)
}

func (m *Machine) onForward(from string, f Forward) {
	l := m.startTerm()
	same := func(o pendingOp) bool { return o.f.ID == f.ID && o.f.Salt == f.Salt }
	if l == nil || slices.ContainsFunc(l.ops, same) || slices.ContainsFunc(l.committing, same) {
		return
	}
	l.ops = append(l.ops, pendingOp{from, f, m.now})
	if l.committed {
		m.startNextOp()
	}
}

// answer completes an operator's call, unless this process may have been replaced as primary.
func (m *Machine) answer(o pendingOp, out Outcome) {
	l := m.primaryState
	if m.lastMajorityAck()+LeaseFor <= m.now {
		return
	}
	k := m.currentRecord()
	s := State{Version: k.Doc.Version, Turn: k.Turn, Body: k.Doc.Body, Stopped: k.Stopped, Waits: m.unconfirmedNodes(),
		Active: l.active == k.Turn && k.live(), Primary: m.c.Self, Lease: LeaseFor}
	for i := range l.rules {
		_, all := k.given(i, "", 0)
		r := RuleState{Name: l.rules[i].Name, Budget: l.rules[i].Budget, Given: all}
		if i < len(k.Left) && !k.Stopped {
			r.LeftS = k.Left[i].Seconds()
		}
		_, r.Used = k.used(i, "", 0)
		s.Rules = append(s.Rules, r)
	}
	m.send(o.from, ForwardReply{o.f.ID, o.f.Salt, Answer{out, s}})
}
