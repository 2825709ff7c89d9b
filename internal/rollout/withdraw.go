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

func (m *Machine) handleWithdrawReply(reply WithdrawReply) {
	i := slices.IndexFunc(m.withdrawCalls, func(w withdrawCall) bool { return reply.ID == m.incarnation && reply.Call == w.Call })
	if i >= 0 && reply.Outcome == OutcomeUndecided { // the version has come: the repeated call refers to it
		if w := &m.withdrawCalls[i]; reply.Newest >= w.Fence {
			w.Fence, w.sentAt = reply.Newest+1, w.sentAt-withdrawRetryInterval
		}
	} else if i >= 0 {
		m.withdrawCalls = slices.Delete(m.withdrawCalls, i, i+1)
		m.out.WithdrawReplies = append(m.out.WithdrawReplies, reply)
	}
}

// handleWithdraw receives a call at the primary. It waits until the document shows the outcome.
func (m *Machine) handleWithdraw(now fsm.Time, from string, request WithdrawRequest) {
	lead := m.lead
	if lead == nil {
		return
	}
	if request.Fence != 0 && m.doc.Version >= request.Fence && m.outcome(request.Version) == OutcomeUndecided && m.bug != BugIgnoreFence {
		// The caller decides whether to repeat it.
		m.send(from, WithdrawReply{request.ID, request.Call, OutcomeUndecided, m.state.Version, m.doc.Version})
		return
	}
	// A delayed copy of a call that was told "absent" must not withdraw a version that came later.
	if !slices.Contains(lead.answered, request) {
		m.withdraw(request.Version, "by "+request.By)
	}
	same := func(w receivedWithdrawal) bool {
		return w.from == from && w.ID == request.ID && w.Call == request.Call && w.Version == request.Version
	}
	if !slices.ContainsFunc(lead.withdrawals, same) && len(lead.withdrawals) < maxWithdrawals {
		lead.withdrawals = append(lead.withdrawals, receivedWithdrawal{from: from, WithdrawRequest: request, receivedAt: now})
	}
	m.answerWithdrawals()
}

// answerWithdrawals answers the calls whose outcome the document shows. All writers of this epoch keep the
// document, so the outcome is true, though a successor may know more. A version absent here may be known to
// a successor: the writers have to confirm this primary before "absent" is replied.
func (m *Machine) answerWithdrawals() {
	lead := m.lead
	lead.withdrawals = slices.DeleteFunc(lead.withdrawals, func(w receivedWithdrawal) bool {
		outcome := m.outcome(w.Version)
		if outcome == OutcomeAbsent && !w.confirmed && m.bug != BugAbsentUnconfirmed {
			m.out.ConfirmLead = m.out.ConfirmLead || w.confirmRound == 0
			return false
		}
		if outcome != OutcomeUndecided && w.ID != 0 {
			if lead.answered = append(lead.answered, w.WithdrawRequest); len(lead.answered) > 2*maxWithdrawals {
				lead.answered = lead.answered[maxWithdrawals:]
			}
			m.send(w.from, WithdrawReply{w.ID, w.Call, outcome, m.state.Version, m.doc.Version})
		}
		return outcome != OutcomeUndecided
	})
}

// expireWithdrawals drops calls that have timed out at their callers.
func (l *leadership) expireWithdrawals(now fsm.Time) {
	l.withdrawals = slices.DeleteFunc(l.withdrawals, func(w receivedWithdrawal) bool { return now-w.receivedAt > 2*withdrawTimeout })
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
