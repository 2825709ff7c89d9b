package consensus

import (
	"bytes"
	"cmp"

	"asterwell/internal/dedup"
)

// A request to change the configuration is identified by its version and the digest of its body, as
// the operator sent it. The writers keep a ledger of accepted requests beside the document, with
// those that a higher version overtook. So the same request is acknowledged as often as it is
// repeated, and another body under the same version never is.

// withDigest returns a document with its digest, which the previous release doesn't send.
func (d Doc) withDigest() Doc {
	if len(d.Digest) == 0 {
		d.Digest = dedup.Digest(d.Body)
	}
	return d
}

// withoutLedger returns a document as it is sent to processes that are no writers, which don't need
// the ledger. It is still identified: an epoch creates one document of each Version, Rev and
// LedgerRev.
func (d Doc) withoutLedger() Doc {
	d.Ledger, d.LedgerRev = nil, 0
	return d
}

// withLedger returns a document with a ledger. For a document of the previous release, which has
// none, the ledger is derived from the version and the body.
func (d Doc) withLedger() Doc {
	if len(d.Ledger) == 0 && d.Version > 0 {
		d = d.withDigest()
		d.Ledger = dedup.NewFromLast(d.Version, d.Body)
	}
	return d
}

// ResetLedger returns a document whose ledger holds only its own request, so that all others count
// as new. Fault injection uses it.
func (d Doc) ResetLedger() Doc {
	if d.Ledger = nil; d.Version > 0 {
		d.Ledger = dedup.New().With(d.Version, d.withDigest().Digest)
	}
	return d
}

// sameAs reports whether both are the same document, with or without a ledger. The previous release
// drops CreatedIn, and then the digests decide.
func (d Doc) sameAs(o Doc) bool {
	if d.Version != o.Version || d.Rev != o.Rev || d.LedgerRev != o.LedgerRev {
		return false
	}
	return d.CreatedIn == o.CreatedIn ||
		(d.CreatedIn == Ballot{} || o.CreatedIn == Ballot{}) && bytes.Equal(d.withDigest().Digest, o.withDigest().Digest)
}

// newerThan reports whether d is newer than o for those that apply it. The ledger doesn't matter.
func (d Doc) newerThan(o Doc) bool {
	return cmp.Or(cmp.Compare(d.Version, o.Version), cmp.Compare(d.Rev, o.Rev)) > 0
}

// lacksLedger reports whether this primary holds a document without a ledger, which it has not
// created. Another primary must have taken over, and that one answers.
func (m *Machine) lacksLedger() bool {
	return m.state.Committed.Version > 0 && len(m.state.Committed.Ledger) == 0
}

// knownResult returns the result of a request that needs no new document, or 0.
func (m *Machine) knownResult(d Doc) Result {
	switch {
	case m.lacksLedger():
		return 0
	case d.Version > m.state.Committed.Version:
		return 0
	case d.Version == 0: // the absence of a document, which a previous release sends on: nothing can be kept
		return ResultBusy
	case m.bug == BugAnyBody:
		return ResultAccepted
	}
	switch m.state.Committed.Ledger.Lookup(d.Version, d.Digest) {
	case dedup.Unused: // overtaken before it was accepted: it is added to the ledger first
		return 0
	case dedup.Conflicting:
		return ResultConflict
	case dedup.Unknown: // it may have been accepted long ago with this body or with another one, so neither is claimed
		return ResultBusy
	}
	return ResultAccepted
}

// propose starts replicating the next document: a higher version or, if next is nil, the committed
// one with ledger entries for requests that were overtaken before they were accepted.
func (m *Machine) propose(next *Doc) {
	l, committed := m.primary, m.state.Committed
	if m.lacksLedger() {
		return
	}
	d := committed
	if next == nil {
		d.LedgerRev++
	} else {
		if d = *next; m.config.Transform != nil {
			d = m.config.Transform(committed, d)
		}
		if d.Ledger, d.LedgerRev = committed.Ledger, 0; committed.Version == 0 {
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
	if next == nil && bytes.Equal(d.Ledger, before) { // the ledger is full: old entries don't change
		return
	}
	l.proposal, l.proposedAt, l.appended = &d, m.now, map[string]bool{}
	m.append()
}
