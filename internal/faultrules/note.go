package faultrules

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Note is a strike, or what became of one, on its way to the record. A strike befalls nobody
// before its note is on the disks of a majority: so what a killed process was handed and has not
// made can be taken back, and what it did is known.
type Note struct {
	Seq     uint64        `cbor:"1,keyasint"`           // of one life of a process, from 1
	Of      uint64        `cbor:"2,keyasint,omitempty"` // the strike that came out so; 0: this is one
	Turn    uint64        `cbor:"3,keyasint,omitempty"`
	Rule    int           `cbor:"4,keyasint,omitempty"` // of the turn's, by place
	K       int           `cbor:"5,keyasint,omitempty"` // the life's strikes by that rule, up to this; in an outcome: given back
	Name    string        `cbor:"6,keyasint"`           // of the rule
	Kind    Kind          `cbor:"7,keyasint"`
	Delay   time.Duration `cbor:"8,keyasint,omitempty"`
	Request Request       `cbor:"9,keyasint"`
	Outcome string        `cbor:"10,keyasint,omitempty"`
}

// Entry is a note on record.
type Entry struct {
	Node string `cbor:"1,keyasint"` // its name
	Addr string `cbor:"2,keyasint"`
	Life uint64 `cbor:"3,keyasint"`
	Note Note   `cbor:"4,keyasint"`
}

const (
	maxPendingNotes    = 1000 // that wait here to be on record; beyond that, rules rest
	maxNotesPerMessage = 64   // in a message
)

// note puts one on its way. The lock is held.
func (j *Judge) note(n Note) uint64 {
	j.seq++
	n.Seq = j.seq
	j.notes = append(j.notes, n)
	return n.Seq
}

// Made reports whether a strike may befall its request now: Short, as long as it is not on
// record; Pass, if it never will be. Its lease must last, too.
func (j *Judge) Made(now fsm.Time, s Strike) Verdict {
	j.mu.Lock()
	defer j.mu.Unlock()
	a := s.of
	switch {
	case j.early:
		return Hit
	case a == nil || a.superseded || a.isRevoked(s) || s.k > a.recorded && s.Seq <= j.settledSeq:
		return Pass
	case s.Seq > j.settledSeq || now >= a.until:
		return Short
	}
	return Hit
}

// Struck says what became of a strike.
func (j *Judge) Struck(s Strike, q Request, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s.Seq > 0 {
		j.note(Note{Of: s.Seq, Name: s.Rule, Kind: s.Kind, Delay: s.Delay, Request: q, Outcome: outcome})
	}
}

// Unmade says that a strike will never be made, so that the budget has it back.
func (j *Judge) Unmade(s Strike, q Request, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := Note{Of: s.Seq, Name: s.Rule, Kind: s.Kind, Delay: s.Delay, Request: q, Outcome: outcome}
	if a := s.of; a != nil && !a.superseded && !a.isRevoked(s) {
		n.Turn, n.Rule, n.K = j.turn, slices.Index(j.rules, a), s.k
	}
	j.note(n)
}

// void is of the strikes above k that had been taken by the note seq.
type revocation struct {
	seq uint64
	k   int
}

func (a *armed) isRevoked(s Strike) bool {
	return slices.ContainsFunc(a.revoked, func(v revocation) bool { return s.Seq <= v.seq && s.k > v.k })
}

// renumber is for when strikes above k were taken back: others get their numbers, so that those
// that had them are never made, and give nothing back. The lock is held.
func (j *Judge) revokeAbove(rule, k int) {
	a := j.rules[rule]
	a.used = k
	a.revoked = append(slices.DeleteFunc(a.revoked, func(v revocation) bool { return v.k >= k }), revocation{j.seq, k})
	for i, n := range j.notes {
		if n.Of > 0 && n.Turn == j.turn && n.Rule == rule && n.K > k {
			j.notes[i].K = 0
		}
	}
}

// Backlog is how many notes wait to be on record.
func (j *Judge) Backlog() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.notes)
}

// hear drops what is on record.
func (j *Judge) settle(seq uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.settledSeq = max(j.settledSeq, min(seq, j.seq))
	for len(j.notes) > 0 && j.notes[0].Seq <= j.settledSeq {
		j.notes = j.notes[1:]
	}
}

// logged takes what a member is to keep of the notes that come with a record, and leaves out what
// it has.
func (m *Machine) appendNotes(a Append) {
	if a.Record.Term != m.logTerm {
		m.logTerm, m.logUpTo = a.Record.Term, 0
	}
	if skip := m.logUpTo - min(m.logUpTo, a.From); skip < uint64(len(a.Notes)) {
		m.unwrittenNotes, m.dirty = append(m.unwrittenNotes, a.Notes[skip:]...), true
		m.logUpTo = a.From + uint64(len(a.Notes))
	}
}

// mostLog is how many notes a primary holds for members that are behind; they go without those
// before.
const maxRetainedNotes = 4000

// book puts on record what processes told of strikes, as far as they were handed out.
func (m *Machine) recordNotes(r *Record) (more bool) {
	l := m.primaryState
	for _, addr := range sorted(l.noteSenders) {
		a := l.asks[addr]
		node := Node{addr, a.Life}
		for _, n := range a.Notes {
			if n.Seq <= l.recordedNotes[node] {
				continue
			}
			l.recordedNotes[node], more = n.Seq, true
			if n.Of > 0 && n.K > 0 && n.Turn == r.Turn {
				r.giveBack(n.Rule, addr, a.Life, n.K, n.Seq)
			}
			if n.Of == 0 && !(n.Turn == r.Turn && r.recordUse(n.Rule, addr, a.Life, n.K)) {
				continue // refused
			}
			l.notes = append(l.notes, Entry{a.Name, addr, a.Life, n})
		}
	}
	clear(l.noteSenders)
	if cut := len(l.notes) - maxRetainedNotes; cut > 0 {
		l.notes, l.noteBase = l.notes[cut:], l.noteBase+uint64(cut)
	}
	return more
}

// news are the notes that a member lacks, and the number before the first.
func (l *primaryState) missingNotes(member string) (from uint64, notes []Entry) {
	from = max(l.noteBase, l.memberNotes[member])
	return from, l.notes[from-l.noteBase:]
}

// takenBack takes what was handed out to processes that are gone, and was not used.
func (m *Machine) reclaimParts(r *Record) (more bool) {
	if !m.currentRecord().live() {
		return false
	}
	var parts []Part
	for _, p := range r.Parts {
		if p.N > p.Used && !m.isLive(Node{p.Addr, p.Life}) {
			more = true
			if p.N = p.Used; m.bug == Regrants {
				p.N = 0
			}
		}
		if p.N > 0 {
			parts = append(parts, p)
		}
	}
	if more {
		r.Parts = parts
	}
	return more
}
