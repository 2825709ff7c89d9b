package faultrules

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Note reports a strike, or the outcome of one, for the record. A strike is applied only after its
// note is on the disks of a majority. So the strikes that a killed process did not apply can be
// taken back, and those that it applied are known.
type Note struct {
	Seq     uint64        `cbor:"1,keyasint"`           // within one incarnation of a process, from 1
	Of      uint64        `cbor:"2,keyasint,omitempty"` // Seq of the strike whose outcome this is; 0: this note is a strike
	Turn    uint64        `cbor:"3,keyasint,omitempty"`
	Rule    int           `cbor:"4,keyasint,omitempty"` // index in the turn's set
	K       int           `cbor:"5,keyasint,omitempty"` // the strike's ordinal for this rule and incarnation; in an outcome, the one given back
	Name    string        `cbor:"6,keyasint"`           // name of the rule
	Kind    Kind          `cbor:"7,keyasint"`
	Delay   time.Duration `cbor:"8,keyasint,omitempty"`
	Request Request       `cbor:"9,keyasint"`
	Outcome string        `cbor:"10,keyasint,omitempty"`
}

// Entry is a recorded note with its origin.
type Entry struct {
	Node string `cbor:"1,keyasint"` // name of the process
	Addr string `cbor:"2,keyasint"`
	Life uint64 `cbor:"3,keyasint"`
	Note Note   `cbor:"4,keyasint"`
}

const (
	maxPendingNotes    = 1000 // unrecorded notes; at this limit, rules are suspended
	maxNotesPerMessage = 64
)

// note queues a note for the record. The caller holds j.mu.
func (j *Judge) note(n Note) uint64 {
	j.seq++
	n.Seq = j.seq
	j.notes = append(j.notes, n)
	return n.Seq
}

// Made reports whether a strike may be applied to its request now. It returns Short while the
// strike is not recorded or its lease has expired, and Pass if the strike is void.
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

// Struck records the outcome of an applied strike.
func (j *Judge) Struck(s Strike, q Request, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if s.Seq > 0 {
		j.note(Note{Of: s.Seq, Name: s.Rule, Kind: s.Kind, Delay: s.Delay, Request: q, Outcome: outcome})
	}
}

// Unmade records that a strike will never be applied, and returns it to the budget.
func (j *Judge) Unmade(s Strike, q Request, outcome string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	n := Note{Of: s.Seq, Name: s.Rule, Kind: s.Kind, Delay: s.Delay, Request: q, Outcome: outcome}
	if a := s.of; a != nil && !a.superseded && !a.isRevoked(s) {
		n.Turn, n.Rule, n.K = j.turn, slices.Index(j.rules, a), s.k
	}
	j.note(n)
}

// revocation voids the strikes with an ordinal above k whose note is not after seq.
type revocation struct {
	seq uint64
	k   int
}

func (a *armed) isRevoked(s Strike) bool {
	return slices.ContainsFunc(a.revoked, func(v revocation) bool { return s.Seq <= v.seq && s.k > v.k })
}

// revokeAbove voids the strikes of a rule with an ordinal above k, which were taken back. Later
// strikes reuse these ordinals, so the voided ones are never applied and give nothing back to the
// budget. The caller holds j.mu.
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

// Backlog returns the number of notes that wait to be recorded.
func (j *Judge) Backlog() int {
	j.mu.Lock()
	defer j.mu.Unlock()
	return len(j.notes)
}

// settle drops the notes up to seq, which are recorded or rejected.
func (j *Judge) settle(seq uint64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.settledSeq = max(j.settledSeq, min(seq, j.seq))
	for len(j.notes) > 0 && j.notes[0].Seq <= j.settledSeq {
		j.notes = j.notes[1:]
	}
}

// appendNotes queues the notes of an Append for the member's log, except those that it already
// has.
func (m *Machine) appendNotes(a Append) {
	if a.Record.Term != m.logTerm {
		m.logTerm, m.logUpTo = a.Record.Term, 0
	}
	if skip := m.logUpTo - min(m.logUpTo, a.From); skip < uint64(len(a.Notes)) {
		m.unwrittenNotes, m.dirty = append(m.unwrittenNotes, a.Notes[skip:]...), true
		m.logUpTo = a.From + uint64(len(a.Notes))
	}
}

// maxRetainedNotes is how many notes the primary retains for members that lag behind. They miss
// older notes.
const maxRetainedNotes = 4000

// recordNotes adds the notes reported by processes to the record. Strikes that were not granted are
// rejected.
func (m *Machine) recordNotes(r *Record) (changed bool) {
	l := m.primaryState
	for _, addr := range sorted(l.noteSenders) {
		a := l.asks[addr]
		node := Node{addr, a.Life}
		for _, n := range a.Notes {
			if n.Seq <= l.recordedNotes[node] {
				continue
			}
			l.recordedNotes[node], changed = n.Seq, true
			if n.Of > 0 && n.K > 0 && n.Turn == r.Turn {
				r.giveBack(n.Rule, addr, a.Life, n.K, n.Seq)
			}
			if n.Of == 0 && !(n.Turn == r.Turn && r.recordUse(n.Rule, addr, a.Life, n.K)) {
				continue // not granted
			}
			l.notes = append(l.notes, Entry{a.Name, addr, a.Life, n})
		}
	}
	clear(l.noteSenders)
	if cut := len(l.notes) - maxRetainedNotes; cut > 0 {
		l.notes, l.noteBase = l.notes[cut:], l.noteBase+uint64(cut)
	}
	return changed
}

// missingNotes returns the notes that a member lacks, and how many of the term precede them.
func (l *primaryState) missingNotes(member string) (from uint64, notes []Entry) {
	from = max(l.noteBase, l.memberNotes[member])
	return from, l.notes[from-l.noteBase:]
}

// reclaimParts takes back the unused strikes granted to processes that have gone.
func (m *Machine) reclaimParts(r *Record) (changed bool) {
	if !m.currentRecord().live() {
		return false
	}
	var parts []Part
	for _, p := range r.Parts {
		if p.N > p.Used && !m.isLive(Node{p.Addr, p.Life}) {
			changed = true
			if p.N = p.Used; m.bug == Regrants {
				p.N = 0
			}
		}
		if p.N > 0 {
			parts = append(parts, p)
		}
	}
	if changed {
		r.Parts = parts
	}
	return changed
}
