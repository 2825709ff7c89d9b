package consensus

import "asterwell/internal/fsm"

// Leading returns the epoch whose primary this process is, if it is one.
func (m *Machine) Leading() (Ballot, bool) {
	if m.primary == nil {
		return Ballot{}, false
	}
	return m.primary.record.Ballot, true
}

// Primary returns the address of the presumed primary, or an empty string.
func (m *Machine) Primary() string { return m.view.primary() }

// Members returns the newest membership known to be active, and its epoch.
func (m *Machine) Members() (Ballot, []Member) { return m.view.Ballot, m.view.Members }

// ConfirmLeadership asks all writers whether this process is still the primary. Out.ConfirmedRound
// later reports the returned round, unless another primary has taken over by then. Round 0 means
// that this process is no primary.
func (m *Machine) ConfirmLeadership(now fsm.Time) (round uint64, out Out) {
	m.now = max(m.now, now)
	if l := m.primary; l != nil {
		l.confirmRound++
		if l.confirmStarted == 0 {
			l.confirmStarted = m.now
		}
		round = l.confirmRound
		m.confirm()
	}
	return round, m.finishInput()
}

// Amend replaces the committed document by the same version with the next Rev. It reports whether
// the amendment is under way. It then either commits or ends with this primary: it never commits
// later under another primary that has committed something else.
func (m *Machine) Amend(now fsm.Time, doc Doc) (ok bool, out Out) {
	m.now = max(m.now, now)
	l, committed := m.primary, m.state.Committed
	if ok = l != nil && (l.proposal == nil || l.proposal.LedgerRev > 0) && m.hasAllCopies() &&
		doc.Version == committed.Version && doc.Rev == committed.Rev+1; ok {
		doc.Digest, doc.Ledger, doc.LedgerRev, doc.CreatedIn, doc.History = committed.Digest, committed.Ledger, 0,
			l.record.Ballot, committed.History
		if l.proposal != nil { // ledger entries that were to be added are added by the amendment
			doc.Ledger = l.proposal.Ledger
		}
		l.proposal, l.proposedAt, l.appended = &doc, m.now, map[string]bool{}
		m.append()
	}
	return ok, m.finishInput()
}
