package consensus

import "asterwell/internal/fsm"

// Leads is the epoch that this process serves as its primary, if it does.
func (m *Machine) Leading() (Ballot, bool) {
	if m.primary == nil {
		return Ballot{}, false
	}
	return m.primary.record.Ballot, true
}

// Primary is the address of the one that is thought to lead; empty: nobody known.
func (m *Machine) Primary() string { return m.view.primary() }

// Seats is the newest set of the core that is known to be in force, and its epoch.
func (m *Machine) Members() (Ballot, []Member) { return m.view.Ballot, m.view.Members }

// Affirm asks all writers whether this still is the primary. Out.Affirmed tells the
// answer later, by the number returned; never, if another one leads by then. 0: it
// isn't one.
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

// Amend puts a document in the place of the one that is kept: the same version with
// the next Rev. It reports whether that is on its way; then it ends as kept, or with
// this primary: never later under another one that has kept something else.
func (m *Machine) Amend(now fsm.Time, doc Doc) (ok bool, out Out) {
	m.now = max(m.now, now)
	l, kept := m.primary, m.state.Committed
	if ok = l != nil && (l.proposal == nil || l.proposal.LedgerRev > 0) && m.hasAllCopies() && doc.Version == kept.Version && doc.Rev == kept.Rev+1; ok {
		doc.Digest, doc.Ledger, doc.LedgerRev, doc.CreatedIn, doc.History = kept.Digest, kept.Ledger, 0, l.record.Ballot, kept.History
		if l.proposal != nil { // numbers that were to be noted go with it
			doc.Ledger = l.proposal.Ledger
		}
		l.proposal, l.proposedAt, l.appended = &doc, m.now, map[string]bool{}
		m.append()
	}
	return ok, m.finishInput()
}
