package faultrules

import "asterwell/internal/fsm"

// takeMember is what those with a disk do: they serve the highest term they promised.
func (m *Machine) takeMember(from string, msg any) {
	switch t := msg.(type) {
	case Claim:
		if t.Term.compare(m.d.Promised) < 0 {
			return
		}
		if t.Term != m.d.Promised {
			m.d.Promised, m.dirty = t.Term, true
		}
		age := m.now - m.since
		m.durable(from, Claimed{Term: t.Term, Record: m.d.Kept, Age: age, Sure: m.sure})
	case Append:
		r := t.Record
		if r.Term.compare(m.d.Promised) < 0 && m.bug != Obeys {
			return
		}
		if r.newer(m.d.Kept) || m.bug == Obeys {
			m.d.Promised, m.d.Kept, m.dirty = r.Term, r, true
			m.since, m.sure = m.now-t.Aged, true
		}
		m.age(r.Term, r.Seq, t.Aged)
		m.logged(t)
		m.durable(from, Appended{Term: r.Term, Seq: r.Seq, Stamp: t.Stamp, Notes: t.From + uint64(len(t.Notes))})
	case Beat:
		if t.Term == m.d.Promised {
			m.age(t.Term, t.Seq, t.Aged)
			m.send(from, Beaten{t.Term, t.Stamp})
		}
	}
}

// Forget makes of what is on disk nothing that counts: the disk had been put back to an older state.
func (m *Machine) Forget() {
	m.d, m.sure, m.dirty, m.held = Disk{}, false, true, nil
}

// age corrects what a late message made of the record's age.
func (m *Machine) age(term Term, seq uint64, by fsm.Time) {
	if term == m.d.Kept.Term && seq == m.d.Kept.Seq && m.sure {
		m.since = min(m.since, m.now-by)
	}
}
