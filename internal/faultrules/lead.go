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

// lead is the primary's, while there is something to do.
type lead struct {
	term    Term
	members []string
	born    fsm.Time
	claimed map[string]Claimed
	serving bool // rec goes on from what a majority had

	rec    Record // the newest, and whether it is kept
	done   bool
	kept   Record
	rules  []Rule // of kept
	left   []time.Duration
	leftAt fsm.Time
	acked  map[string]uint64
	heard  map[string]fsm.Time // newest stamp that each member answered
	sent   fsm.Time

	ops    []op // waiting
	doing  []op // to be answered when rec is kept
	asks   map[string]Ask
	wants  map[string]bool   // whose requests wait for strikes
	tells  map[string]bool   // who told of strikes
	served []string          // whose strikes are in rec
	seen   map[Node]uint64   // their notes up to here are in rec
	safe   map[Node]uint64   // and in kept
	notes  []Entry           // of the term, after so many
	noted  map[string]uint64 // so many has each member
	holds  map[Node]uint64   // confirmed turns
	active uint64            // the turn in force
	rest   fsm.Time          // a lease of another turn may run until then
	leased fsm.Time          // any lease may
	pushed fsm.Time

	noteBase uint64
}

type op struct {
	from string
	f    Forward
	at   fsm.Time
}

// ample is how many strikes for each process are so many that some may lie idle.
const ample = 8

func majority(members []string) int { return len(members)/2 + 1 }

func sorted(of map[string]bool) []string { return slices.Sorted(maps.Keys(of)) }

// trim drops the notes that all members have.
func (l *lead) trim() {
	low := l.noteBase + uint64(len(l.notes))
	for _, to := range l.members {
		low = min(low, l.noted[to])
	}
	if low > l.noteBase {
		l.notes, l.noteBase = l.notes[low-l.noteBase:], low
	}
}

// among reports whether a life of a process is among the live ones.
func (m *Machine) among(n Node) bool { return slices.Contains(m.nodes, n) }

// rise begins a term if this process is the primary.
func (m *Machine) rise() *lead {
	if m.lead != nil || !m.place.Leads || len(m.place.Members) == 0 {
		return m.lead
	}
	m.rises++
	l := &lead{term: Term{m.place.N, m.c.Self, m.c.Life<<16 | m.rises}, members: slices.Clone(m.place.Members), born: m.now,
		claimed: map[string]Claimed{}, acked: map[string]uint64{}, heard: map[string]fsm.Time{}, asks: map[string]Ask{},
		wants: map[string]bool{}, tells: map[string]bool{}, seen: map[Node]uint64{}, safe: map[Node]uint64{},
		noted: map[string]uint64{}, holds: map[Node]uint64{}, rest: m.now + LeaseFor}
	m.lead = l
	m.steer()
	return l
}

// steer does what is due.
func (m *Machine) steer() {
	l := m.lead
	if l == nil {
		return
	}
	if !l.serving {
		if l.sent == 0 || m.now-l.sent >= againEvery {
			l.sent = m.now
			for _, to := range l.members {
				if _, ok := l.claimed[to]; !ok {
					m.send(to, Claim{l.term})
				}
			}
		}
		return
	}
	if l.done {
		m.next()
	}
	if m.now-l.sent >= beatEvery || !l.done && m.now-l.sent >= againEvery {
		m.replicate()
	}
	if l.kept.Turn > 0 && m.now-l.pushed >= pushEvery {
		l.pushed = m.now
		for _, n := range m.nodes {
			if l.holds[n] != l.kept.Turn {
				m.push(n.Addr)
			}
		}
	}
	m.activate()
	if l.done && len(l.ops) == 0 && !m.kept().live() && len(m.waits()) == 0 && m.now-l.born > LeaseFor {
		m.lead = nil // asleep until somebody asks
	}
}

// replicate sends the record to members that lack it, and asks the others whether the
// term stands.
func (m *Machine) replicate() {
	l := m.lead
	l.sent = m.now
	for _, to := range l.members {
		if l.acked[to] == l.rec.Seq {
			m.send(to, Beat{l.term, m.now, m.now - l.leftAt + slack, l.rec.Seq})
		} else {
			from, notes := l.news(to)
			m.send(to, Append{l.rec, m.now, m.now - l.leftAt + slack, from, notes})
		}
	}
}

func (m *Machine) onClaimed(from string, c Claimed) {
	l := m.lead
	if l == nil || c.Term != l.term || l.serving || !slices.Contains(l.members, from) {
		return
	}
	l.claimed[from] = c
	sound := 0
	for _, c := range l.claimed {
		if !c.Record.Term.none() {
			sound++
		}
	}
	if sound < majority(l.members) && len(l.claimed) < len(l.members) {
		return
	}
	for _, c := range l.claimed {
		if c.Record.newer(l.rec) {
			l.rec = c.Record
		}
	}
	l.leftAt = l.born
	l.left = make([]time.Duration, len(l.rec.Left)) // nobody knows: ended
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

// write makes a record the newest, and sends it to the members.
func (m *Machine) write(r Record) {
	l := m.lead
	r.Term, r.Seq = l.term, l.rec.Seq+1
	if l.rec.Term != l.term {
		r.Seq = 1
	}
	l.left = aged(l.left, m.now-l.leftAt)
	l.leftAt = m.now
	r.Left = slices.Clone(l.left)
	l.rec, l.done = r, false
	m.replicate()
}

func (m *Machine) onAppended(from string, a Appended) {
	l := m.lead
	if l == nil || a.Term != l.term || !slices.Contains(l.members, from) {
		return
	}
	l.heard[from] = max(l.heard[from], a.Stamp)
	defer m.heed()
	l.acked[from] = max(l.acked[from], a.Seq)
	l.noted[from] = min(max(l.noted[from], a.Notes), l.noteBase+uint64(len(l.notes)))
	l.trim()
	if l.done || !l.serving {
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

func (m *Machine) onBeaten(from string, b Beaten) {
	if l := m.lead; l != nil && b.Term == l.term && slices.Contains(l.members, from) {
		l.heard[from] = max(l.heard[from], b.Stamp)
		m.heed()
	}
}

// heed takes up calls that wait for the members' word.
func (m *Machine) heed() {
	if l := m.lead; l != nil && l.done && len(l.ops) > 0 {
		m.next()
	}
}

// commit: the record is kept, and may be told.
func (m *Machine) commit() {
	l := m.lead
	other := l.kept.Turn != l.rec.Turn || l.rules == nil
	l.done, l.kept, l.safe = true, l.rec, maps.Clone(l.seen)
	if other {
		l.rest = max(l.rest, l.leased)
		l.rules, l.pushed = []Rule{}, m.now
		if set, err := Parse(l.kept.Doc.Body, m.c.Longest); err == nil {
			l.rules = set.Rules
		}
		if l.kept.Turn > 0 {
			for _, n := range m.nodes {
				m.push(n.Addr)
			}
		}
	}
	for _, o := range l.doing {
		m.answer(o, Done)
	}
	l.doing = nil
	m.tell(l.served)
	l.served = nil
	m.next()
}

// tell answers asks again that had to wait.
func (m *Machine) tell(who []string) {
	for _, addr := range lo.Uniq(who) {
		m.respond(addr, m.lead.asks[addr])
	}
}

// next begins the next change if one waits.
func (m *Machine) next() {
	l := m.lead
	for len(l.ops) > 0 && l.done {
		o := l.ops[0]
		r := l.kept
		if out, ends := m.idle(o.f, r); ends {
			if !m.confirmed(o) {
				break // those behind it are as young
			}
			l.ops = l.ops[1:]
			m.answer(o, out)
			continue
		}
		l.ops = l.ops[1:]
		switch o.f.Op {
		case OpStop:
			r.Turn, r.Stopped, r.Parts = r.Turn+1, true, nil
			l.doing = append(l.doing, o)
			m.write(r)
		case OpPut:
			set, err := Parse(o.f.Doc.Body, m.c.Longest)
			if err != nil { // checked where it came in; this process's bounds differ
				m.answer(o, Busy)
				continue
			}
			r.Sets = r.sets().With(o.f.Doc.Version, dedup.Digest(o.f.Doc.Body))
			r.Turn, r.Doc, r.Stopped, r.Parts = r.Turn+1, o.f.Doc, false, nil
			l.left, l.leftAt = nil, m.now
			for i := range set.Rules {
				l.left = append(l.left, set.Rules[i].Ends())
			}
			l.doing = append(l.doing, o)
			m.write(r)
		}
	}
	if l.done {
		m.allot()
	}
}

// idle is how a call ends that changes nothing, if it does.
func (m *Machine) idle(f Forward, r Record) (out Outcome, ends bool) {
	switch f.Op {
	case OpStop:
		if r.Turn == 0 || r.Stopped {
			return Done, true
		}
	case OpPut:
		digest := dedup.Digest(f.Doc.Body)
		known := r.sets().Lookup(f.Doc.Version, digest)
		switch {
		case m.bug == Refuses && f.Doc.Version <= r.Doc.Version:
			known = dedup.Conflicting
		case m.bug == Confuses && f.Doc.Version == r.Doc.Version:
			known = dedup.Same
		}
		switch {
		case known == dedup.Same: // another copy: as the rules stand by now, also stopped or replaced
			return Done, true
		case known == dedup.Unknown: // it may have been accepted long ago
			return Busy, true
		case known == dedup.Conflicting || f.Doc.Version <= r.Doc.Version:
			return Below, true
		}
	default:
		return Read, true
	}
	if f.Fence != 0 && f.Fence != r.Turn+1 {
		return Read, true // it was meant for what stood before: the caller decides anew
	}
	return 0, false
}

// confirmed tells whether most members have said since a call came that the term stands: what
// is kept here then is the newest. Until they have, they are asked.
func (m *Machine) confirmed(o op) bool {
	l := m.lead
	if m.authority() >= o.at || m.bug == Unconfirmed {
		return true
	}
	if l.sent < o.at || m.now-l.sent >= againEvery {
		m.replicate()
	}
	return false
}

// allot puts strikes on record, takes back what nobody can use any more, and hands out strikes
// to those whose requests wait for them.
func (m *Machine) allot() {
	l := m.lead
	if l.active != l.kept.Turn || !m.kept().live() {
		clear(l.wants)
	}
	r, told, who := l.kept, sorted(l.tells), sorted(l.wants)
	more := m.book(&r)
	more = m.takenBack(&r) || more
	if len(told) == 0 && len(who) == 0 && !more {
		return
	}
	clear(l.wants)
	for _, addr := range who {
		a := l.asks[addr]
		for i := range l.rules {
			if i >= len(a.Want) || i >= len(a.Used) {
				continue
			}
			one, all := r.given(i, addr, a.Life)
			want := a.Want[i]
			if one == 0 && l.rules[i].Budget >= ample*len(m.nodes) {
				want = max(want, 1)
			}
			if m.bug == PerNode {
				all = one
			}
			free := l.rules[i].Budget - all
			n := want - max(0, one-a.Used[i])
			if n > 0 && free > ample*n*max(1, len(m.nodes)) {
				n += free / (2 * ample * max(1, len(m.nodes))) // much is left
			}
			if n = min(n, free); n > 0 {
				r.grant(i, addr, a.Life, n)
				more = true
			}
		}
	}
	who = append(who, told...)
	switch {
	case !more: // there is nothing left, or it was a late word
		m.tell(who)
	case m.bug == Forgets:
		l.kept.Parts, l.safe = r.Parts, maps.Clone(l.seen)
		m.tell(who)
	default:
		l.served = who
		m.write(r)
		if m.bug == Unkept {
			l.safe, l.kept.Parts = maps.Clone(l.seen), r.Parts
			m.tell(who)
		}
	}
}

// kept is the record with what is left by now.
func (m *Machine) kept() Record {
	r := m.lead.kept
	r.Left = aged(m.lead.left, m.now-m.lead.leftAt)
	return r
}

// waits are the live processes that have not confirmed.
func (m *Machine) waits() (who []string) {
	for _, n := range m.nodes {
		if m.lead.kept.Turn > 0 && m.lead.holds[n] != m.lead.kept.Turn {
			who = append(who, n.Addr)
		}
	}
	return who
}

// activate puts the set in force once nothing speaks against it.
func (m *Machine) activate() {
	l := m.lead
	if l.active == l.kept.Turn || !l.done {
		return
	}
	if m.bug == Hasty || len(m.waits()) == 0 && len(m.nodes) > 0 && m.now >= l.rest {
		l.active = l.kept.Turn
		m.tell(slices.Sorted(maps.Keys(l.asks)))
		for addr := range l.asks { // some strikes for those to come, if the budget is large
			l.wants[addr] = true
		}
		m.allot()
	}
}

// authority is when a majority last said that the term stands.
func (m *Machine) authority() fsm.Time {
	l := m.lead
	var at []fsm.Time
	for _, addr := range l.members {
		at = append(at, l.heard[addr])
	}
	slices.SortFunc(at, func(a, b fsm.Time) int { return cmp.Compare(b, a) })
	return at[majority(l.members)-1]
}

func (m *Machine) push(to string) {
	k := m.lead.kept
	m.send(to, Push{Term: k.Term, Turn: k.Turn, Doc: k.Doc, Stopped: k.Stopped || k.Turn == 0})
}

func (m *Machine) onAsk(from string, a Ask) {
	l := m.rise()
	if l == nil || a.Form < puts {
		return
	}
	l.asks[from] = a
	if !l.serving || l.rules == nil { // nothing is kept in this term yet
		return
	}
	if a.Turn != l.kept.Turn || a.Body != xxhash.Sum64(l.kept.Doc.Body) {
		m.push(from)
		return
	}
	l.holds[Node{from, a.Life}] = a.Turn
	m.activate()
	if slices.ContainsFunc(a.Want, func(n int) bool { return n > 0 }) {
		l.wants[from] = true
	}
	if len(a.Notes) > 0 {
		l.tells[from] = true
	}
	if l.done {
		m.allot()
	}
	m.respond(from, a)
}

// respond gives a lease on what is kept. While another set or a stop is on its way to
// being kept, nothing is renewed.
func (m *Machine) respond(to string, a Ask) {
	l, k := m.lead, m.kept()
	if a.Turn != k.Turn {
		return
	}
	out := Lease{Turn: k.Turn, Stamp: a.Stamp, Life: a.Life, Left: k.Left, Nodes: len(m.nodes), Over: !k.live(),
		Heard: l.safe[Node{to, a.Life}], Term: k.Term, Seq: k.Seq}
	if l.active == k.Turn && l.rec.Turn == k.Turn {
		out.For = max(0, min(LeaseFor, m.authority()+LeaseFor-m.now))
		l.leased = max(l.leased, m.now+out.For)
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
	l := m.rise()
	same := func(o op) bool { return o.f.ID == f.ID && o.f.Salt == f.Salt }
	if l == nil || slices.ContainsFunc(l.ops, same) || slices.ContainsFunc(l.doing, same) {
		return
	}
	l.ops = append(l.ops, op{from, f, m.now})
	if l.done {
		m.next()
	}
}

// answer ends an operator's call, unless this process may be the primary no more.
func (m *Machine) answer(o op, out Outcome) {
	l := m.lead
	if m.authority()+LeaseFor <= m.now {
		return
	}
	k := m.kept()
	s := State{Version: k.Doc.Version, Turn: k.Turn, Body: k.Doc.Body, Stopped: k.Stopped, Waits: m.waits(),
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
	m.send(o.from, Answered{o.f.ID, o.f.Salt, Answer{out, s}})
}
