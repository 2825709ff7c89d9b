package consensus

import (
	"bytes"
	"cmp"

	"asterwell/internal/dedup"
)

// An order is known by its number and a digest of its text, as the operator sent it. Beside
// the document its writers keep which orders were accepted, also those that a higher number
// had overtaken, so that the same text is acknowledged as often as it comes, and another one
// under its number never is.

// summed is the document with its digest; the version before sends none.
func (d Doc) summed() Doc {
	if len(d.Sum) == 0 {
		d.Sum = dedup.Digest(d.Body)
	}
	return d
}

// bare is what others than writers are given: they have no use for the orders. It still tells
// which document it is: an epoch makes one of each Version, Rev and Notes.
func (d Doc) bare() Doc {
	d.Orders, d.Notes = nil, 0
	return d
}

// full is a document with its orders, gathered where the version before has kept none.
func (d Doc) full() Doc {
	if len(d.Orders) == 0 && d.Version > 0 {
		d = d.summed()
		d.Orders = dedup.NewFromLast(d.Version, d.Body)
	}
	return d
}

// Forgetful is a document that knows of no order but its own, and takes all others for new: what
// fault injection makes of one.
func (d Doc) Forgetful() Doc {
	if d.Orders = nil; d.Version > 0 {
		d.Orders = dedup.New().With(d.Version, d.summed().Sum)
	}
	return d
}

// is says whether both are one document, with or without its orders. The version before drops
// By, so that the text has to tell.
func (d Doc) is(o Doc) bool {
	if d.Version != o.Version || d.Rev != o.Rev || d.Notes != o.Notes {
		return false
	}
	return d.By == o.By || (d.By == Ballot{} || o.By == Ballot{}) && bytes.Equal(d.summed().Sum, o.summed().Sum)
}

// later says which of two documents tells more to those who go by it.
func (d Doc) later(o Doc) bool {
	return cmp.Or(cmp.Compare(d.Version, o.Version), cmp.Compare(d.Rev, o.Rev)) > 0
}

// overtaken says whether this primary holds a document that it has not made, and no ledger with
// it: another one serves, and judges.
func (m *Machine) overtaken() bool { return m.d.Kept.Version > 0 && len(m.d.Kept.Orders) == 0 }

// knows is the verdict on an order that came to the primary, or 0.
func (m *Machine) knows(d Doc) Verdict {
	switch {
	case m.overtaken():
		return 0
	case d.Version > m.d.Kept.Version:
		return 0
	case d.Version == 0: // stands for none
		return Kept
	case m.bug == BugAnyText:
		return Kept
	}
	switch m.d.Kept.Orders.Lookup(d.Version, d.Sum) {
	case dedup.Unused: // overtaken before it was accepted: its text is noted first
		return 0
	case dedup.Conflicting:
		return Differs
	case dedup.Unknown: // it may have been accepted long ago, with this text or another: neither is said
		return Busy
	}
	return Kept
}

// offer begins what the primary is to keep next: a higher order, or just the numbers and texts
// of those that were overtaken before they were accepted. next may be nil.
func (m *Machine) offer(next *Doc) {
	l, kept := m.lead, m.d.Kept
	if m.overtaken() {
		return
	}
	d := kept
	if next == nil {
		d.Notes++
	} else {
		if d = *next; m.c.Enter != nil {
			d = m.c.Enter(kept, d)
		}
		if d.Orders, d.Notes = kept.Orders, 0; kept.Version == 0 {
			d.Orders = dedup.New()
		}
		d.Orders = d.Orders.With(d.Version, d.Sum)
	}
	d.By = l.rec.Ballot
	before := d.Orders
	for _, w := range m.queue {
		if !w.f.Read && w.f.Doc.Version < d.Version {
			d.Orders = d.Orders.With(w.f.Doc.Version, w.f.Doc.Sum)
		}
	}
	if next == nil && bytes.Equal(d.Orders, before) { // a full ledger's length stays as it is
		return
	}
	l.doc, l.docAt, l.appended = &d, m.now, map[string]bool{}
	m.append()
}
