package rollout

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Outcome is what has come of an operator's wish that a version never be live.
type Outcome uint8

// The outcomes. None of the last three changes any more, except that a withdrawn version, once
// pastMost later ones have been withdrawn, counts as overtaken; one that is not there may still come.
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

// withdrawCall is a call made here, which goes to the primary until that answers.
type withdrawCall struct {
	WithdrawRequest
	madeAt, sentAt fsm.Time
}

// receivedWithdrawal is a call that the primary has taken.
type receivedWithdrawal struct {
	from string
	WithdrawRequest
	receivedAt   fsm.Time
	confirmRound uint64 // of the writers' confirmation that was asked for since; 0: none yet
	confirmed    bool   // they have confirmed it
}

const (
	withdrawTimeout       = time.Second
	withdrawRetryInterval = 150 * time.Millisecond
	maxWithdrawals        = 32 // that wait at the primary; others come again
)

// Withdraw asks that a version which is not live yet never be. The answer comes in some
// Out.Told; without one nothing can be said.
func (m *Machine) Withdraw(now fsm.Time, call uint64, version uint32, by string) Out {
	m.withdrawCalls = append(m.withdrawCalls, withdrawCall{WithdrawRequest{version, by, m.incarnation, call, m.doc.Version + 1}, now, now - withdrawRetryInterval})
	m.sendWithdrawCalls(now)
	return m.takeOut()
}

// sendWithdrawCalls sends what has no answer yet, and forgets what nobody waits for any more.
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
	if i >= 0 && t.Outcome == OutcomeUndecided { // the version is there: now it is meant
		if w := &m.withdrawCalls[i]; t.Newest >= w.Fence {
			w.Fence, w.sentAt = t.Newest+1, w.sentAt-withdrawRetryInterval
		}
	} else if i >= 0 {
		m.withdrawCalls = slices.Delete(m.withdrawCalls, i, i+1)
		m.out.WithdrawReplies = append(m.out.WithdrawReplies, t)
	}
}

// handleWithdraw takes a call at the primary. Until the document tells the outcome it waits.
func (m *Machine) handleWithdraw(now fsm.Time, from string, t WithdrawRequest) {
	l := m.lead
	if l == nil {
		return
	}
	if t.Fence != 0 && m.doc.Version >= t.Fence && m.outcome(t.Version) == OutcomeUndecided && m.bug != BugIgnoreFence {
		m.send(from, WithdrawReply{t.ID, t.Call, OutcomeUndecided, m.state.Version, m.doc.Version}) // the caller decides anew
		return
	}
	if !slices.Contains(l.answered, t) { // a late copy of one that was told "absent" does nothing to what came since
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

// answerWithdrawals answers the calls whose outcome the document tells. It is kept by all writers of
// this epoch: what it tells is true, though a successor may know more. That a version is not
// there is what a successor may know better: the writers are asked before it is said.
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

// expireWithdrawals forgets calls that nobody waits for any more.
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
