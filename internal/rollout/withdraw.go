package rollout

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Outcome is the result of an operator's call to withdraw a version.
type Outcome uint8

// The outcomes. The last three are final, except that a withdrawn version counts as overtaken once
// maxWithdrawnVersions later ones have been withdrawn; an absent version may still come.
const (
	OutcomeUndecided Outcome = iota
	OutcomeAbsent            // no such version is kept
	OutcomeWithdrawn         // it was not live, and never will be
	OutcomeLive              // it is live
	OutcomeOvertaken         // a higher one is kept: if it has not been live, it never will be
)

func (o Outcome) String() string {
	return [...]string{"", "absent", "withdrawn", "live", "overtaken"}[min(o, OutcomeOvertaken)]
}

// withdrawCall is a call made at this process, which is sent to the primary until that answers.
type withdrawCall struct {
	WithdrawRequest
	madeAt, sentAt fsm.Time
}

// receivedWithdrawal is a call received by the primary.
type receivedWithdrawal struct {
	from string
	WithdrawRequest
	receivedAt   fsm.Time
	confirmRound uint64 // of the confirmation requested after the call; 0: none yet
	confirmed    bool   // the writers have confirmed it
}

const (
	withdrawTimeout       = time.Second
	withdrawRetryInterval = 150 * time.Millisecond
	maxWithdrawals        = 32 // calls waiting at the primary; others are repeated by their callers
)

// Withdraw asks the primary to withdraw a version that is not live yet. The reply comes in
// Out.WithdrawReplies; without one the outcome is unknown.
func (m *Machine) Withdraw(now fsm.Time, call uint64, version uint32, by string) Out {
	m.withdrawCalls = append(m.withdrawCalls, withdrawCall{WithdrawRequest{version, by, m.incarnation, call, m.doc.Version + 1}, now, now - withdrawRetryInterval})
	m.sendWithdrawCalls(now)
	return m.takeOut()
}

// sendWithdrawCalls sends the unanswered calls, and drops those that have timed out.
func (m *Machine) sendWithdrawCalls(now fsm.Time) {
	m.withdrawCalls = slices.DeleteFunc(m.withdrawCalls, func(w withdrawCall) bool { return now-w.madeAt > withdrawTimeout })
	for i := range m.withdrawCalls {
		w := &m.withdrawCalls[i]
		switch {
		case now-w.sentAt < withdrawRetryInterval:
		case m.primary == "":
			m.seekPrimary(now)
		default:
			w.sentAt = now
			m.send(m.primary, w.WithdrawRequest)
		}
	}
}

func (m *Machine) handleWithdrawReply(t WithdrawReply) {
	i := slices.IndexFunc(m.withdrawCalls, func(w withdrawCall) bool { return t.ID == m.incarnation && t.Call == w.Call })
	if i >= 0 && t.Outcome == OutcomeUndecided { // the version has come: the repeated call refers to it
		if w := &m.withdrawCalls[i]; t.Newest >= w.Fence {
			w.Fence, w.sentAt = t.Newest+1, w.sentAt-withdrawRetryInterval
		}
	} else if i >= 0 {
		m.withdrawCalls = slices.Delete(m.withdrawCalls, i, i+1)
		m.out.WithdrawReplies = append(m.out.WithdrawReplies, t)
	}
}

// handleWithdraw receives a call at the primary. It waits until the document shows the outcome.
func (m *Machine) handleWithdraw(now fsm.Time, from string, t WithdrawRequest) {
	l := m.lead
	if l == nil {
		return
	}
	if t.Fence != 0 && m.doc.Version >= t.Fence && m.outcome(t.Version) == OutcomeUndecided && m.bug != BugIgnoreFence {
		m.send(from, WithdrawReply{t.ID, t.Call, OutcomeUndecided, m.state.Version, m.doc.Version}) // the caller decides whether to repeat it
		return
	}
	if !slices.Contains(l.answered, t) { // a delayed copy of a call that was told "absent" must not withdraw a version that came later
		m.withdraw(t.Version, "by "+t.By)
	}
	same := func(a receivedWithdrawal) bool {
		return a.from == from && a.ID == t.ID && a.Call == t.Call && a.Version == t.Version
	}
	if !slices.ContainsFunc(l.withdrawals, same) && len(l.withdrawals) < maxWithdrawals {
		l.withdrawals = append(l.withdrawals, receivedWithdrawal{from: from, WithdrawRequest: t, receivedAt: now})
	}
	m.answerWithdrawals()
}

// answerWithdrawals answers the calls whose outcome the document shows. All writers of this epoch keep the
// document, so the outcome is true, though a successor may know more. A version absent here may be known to
// a successor: the writers have to confirm this primary before "absent" is replied.
func (m *Machine) answerWithdrawals() {
	l := m.lead
	l.withdrawals = slices.DeleteFunc(l.withdrawals, func(a receivedWithdrawal) bool {
		o := m.outcome(a.Version)
		if o == OutcomeAbsent && !a.confirmed && m.bug != BugAbsentUnconfirmed {
			m.out.ConfirmLead = m.out.ConfirmLead || a.confirmRound == 0
			return false
		}
		if o != OutcomeUndecided && a.ID != 0 {
			if l.answered = append(l.answered, a.WithdrawRequest); len(l.answered) > 2*maxWithdrawals {
				l.answered = l.answered[maxWithdrawals:]
			}
			m.send(a.from, WithdrawReply{a.ID, a.Call, o, m.state.Version, m.doc.Version})
		}
		return o != OutcomeUndecided
	})
}

// expireWithdrawals drops calls that have timed out at their callers.
func (l *leadership) expireWithdrawals(now fsm.Time) {
	l.withdrawals = slices.DeleteFunc(l.withdrawals, func(a receivedWithdrawal) bool { return now-a.receivedAt > 2*withdrawTimeout })
}

func (m *Machine) outcome(version uint32) Outcome {
	switch {
	case version == m.state.Version && version != 0:
		return OutcomeLive
	case version < m.doc.Version && slices.Contains(withdrawnBefore(m.doc), version) && m.bug != BugForgetWithdrawn:
		return OutcomeWithdrawn
	case version < m.doc.Version:
		return OutcomeOvertaken
	case version > m.doc.Version:
		return OutcomeAbsent
	case m.state.Fate == Withdrawn || m.bug == BugReplyBeforeKept:
		return OutcomeWithdrawn
	}
	return OutcomeUndecided
}

func (m *Machine) withdraw(version uint32, why string) {
	if m.lead != nil && m.state.Fate == Prepared && m.doc.Version == version && m.out.Amend == nil {
		d := withdrawn(m.doc, why)
		m.out.Amend = &d
	}
}
