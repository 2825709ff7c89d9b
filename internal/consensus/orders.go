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
func (d Doc) withDigest() Doc {
	if len(d.Digest) == 0 {
		d.Digest = dedup.Digest(d.Body)
	}
	return d
}

// bare is what others than writers are given: they have no use for the orders. It still tells
// which document it is: an epoch makes one of each Version, Rev and Notes.
func (d Doc) withoutLedger() Doc {
	d.Ledger, d.LedgerRev = nil, 0
	return d
}

// full is a document with its orders, gathered where the version before has kept none.
func (d Doc) withLedger() Doc {
	if len(d.Ledger) == 0 && d.Version > 0 {
		d = d.withDigest()
		d.Ledger = dedup.NewFromLast(d.Version, d.Body)
	}
	return d
}

// Forgetful is a document that knows of no order but its own, and takes all others for new: what
// fault injection makes of one.
func (d Doc) ResetLedger() Doc {
	if d.Ledger = nil; d.Version > 0 {
		d.Ledger = dedup.New().With(d.Version, d.withDigest().Digest)
	}
	return d
}

// is says whether both are one document, with or without its orders. The version before drops
// By, so that the text has to tell.
func (d Doc) sameAs(o Doc) bool {
	if d.Version != o.Version || d.Rev != o.Rev || d.LedgerRev != o.LedgerRev {
		return false
	}
	return d.CreatedIn == o.CreatedIn || (d.CreatedIn == Ballot{} || o.CreatedIn == Ballot{}) && bytes.Equal(d.withDigest().Digest, o.withDigest().Digest)
}

// later says which of two documents tells more to those who go by it.
func (d Doc) newerThan(o Doc) bool {
	return cmp.Or(cmp.Compare(d.Version, o.Version), cmp.Compare(d.Rev, o.Rev)) > 0
}

// overtaken says whether this primary holds a document that it has not made, and no ledger with
// it: another one serves, and judges.
func (m *Machine) lacksLedger() bool {
	return m.state.Committed.Version > 0 && len(m.state.Committed.Ledger) == 0
}

// knows is the verdict on an order that came to the primary, or 0.
func (m *Machine) knownResult(d Doc) Result {
	switch {
	case m.lacksLedger():
		return 0
	case d.Version > m.state.Committed.Version:
		return 0
	case d.Version == 0: // stands for none
		return ResultAccepted
	case m.bug == BugAnyBody:
		return ResultAccepted
	}
	switch m.state.Committed.Ledger.Lookup(d.Version, d.Digest) {
	case dedup.Unused: // overtaken before it was accepted: its text is noted first
		return 0
	case dedup.Conflicting:
		return ResultConflict
	case dedup.Unknown: // it may have been accepted long ago, with this text or another: neither is said
		return ResultBusy
	}
	return ResultAccepted
}

// offer begins what the primary is to keep next: a higher order, or just the numbers and texts
// of those that were overtaken before they were accepted. next may be nil.
func (m *Machine) propose(next *Doc) {
	l, kept := m.primary, m.state.Committed
	if m.lacksLedger() {
		return
	}
	d := kept
	if next == nil {
		d.LedgerRev++
	} else {
		if d = *next; m.config.Transform != nil {
			d = m.config.Transform(kept, d)
		}
		if d.Ledger, d.LedgerRev = kept.Ledger, 0; kept.Version == 0 {
			d.Ledger = dedup.New()
		}
		d.Ledger = d.Ledger.With(d.Version, d.Digest)
	}
	d.CreatedIn = l.record.Ballot
	before := d.Ledger
	for _, w := range m.waiting {
		if !w.request.Read && w.request.Doc.Version < d.Version {
			d.Ledger = d.Ledger.With(w.request.Doc.Version, w.request.Doc.Digest)
		}
	}
	if next == nil && bytes.Equal(d.Ledger, before) { // a full ledger's length stays as it is
		return
	}
	l.proposal, l.proposedAt, l.appended = &d, m.now, map[string]bool{}
	m.append()
}
