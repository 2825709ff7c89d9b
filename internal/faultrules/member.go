package faultrules

import "asterwell/internal/fsm"

// dispatchMember handles messages to a member with a disk. It serves only the highest term that it
// has promised.
func (m *Machine) dispatchMember(from string, msg any) {
	switch t := msg.(type) {
	case Claim:
		if t.Term.compare(m.d.Promised) < 0 {
			return
		}
		if t.Term != m.d.Promised {
			m.d.Promised, m.dirty = t.Term, true
		}
		age := m.now - m.keptAt
		m.sendAfterSync(from, ClaimReply{Term: t.Term, Record: m.d.Kept, Age: age, Sure: m.ageKnown})
	case Append:
		r := t.Record
		if r.Term.compare(m.d.Promised) < 0 && m.bug != AcceptsLowerTerms {
			return
		}
		if r.newer(m.d.Kept) || m.bug == AcceptsLowerTerms {
			m.d.Promised, m.d.Kept, m.dirty = r.Term, r, true
			m.keptAt, m.ageKnown = m.now-t.Aged, true
		}
		m.correctAge(r.Term, r.Seq, t.Aged)
		m.appendNotes(t)
		m.sendAfterSync(from, AppendReply{Term: r.Term, Seq: r.Seq, Stamp: t.Stamp, Notes: t.From + uint64(len(t.Notes))})
	case Heartbeat:
		if t.Term == m.d.Promised {
			m.correctAge(t.Term, t.Seq, t.Aged)
			m.send(from, HeartbeatReply{t.Term, t.Stamp})
		}
	}
}

// Forget discards the stored state, for a disk that was restored to an older state.
func (m *Machine) Forget() {
	m.d, m.ageKnown, m.dirty, m.awaitingSync = Disk{}, false, true, nil
}

// correctAge moves keptAt back if a message shows that the record is older than assumed, as after a
// delayed Append.
func (m *Machine) correctAge(term Term, seq uint64, by fsm.Time) {
	if term == m.d.Kept.Term && seq == m.d.Kept.Seq && m.ageKnown {
		m.keptAt = min(m.keptAt, m.now-by)
	}
}
