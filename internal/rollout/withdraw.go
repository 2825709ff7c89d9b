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

// wish is a call made here, which goes to the primary until that answers.
type wish struct {
	WithdrawRequest
	at, sent fsm.Time
}

// asks is a call that the primary has taken.
type asks struct {
	from string
	WithdrawRequest
	at    fsm.Time
	round uint64 // of the writers' confirmation that was asked for since; 0: none yet
	sure  bool   // they have confirmed it
}

const (
	wishFor   = time.Second
	wishAgain = 150 * time.Millisecond
	wishMost  = 32 // that wait at the primary; others come again
)

// Withdraw asks that a version which is not live yet never be. The answer comes in some
// Out.Told; without one nothing can be said.
func (m *Machine) Withdraw(now fsm.Time, call uint64, version uint32, by string) Out {
	m.wishes = append(m.wishes, wish{WithdrawRequest{version, by, m.id, call, m.doc.Version + 1}, now, now - wishAgain})
	m.urge(now)
	return m.end()
}

// urge sends what has no answer yet, and forgets what nobody waits for any more.
func (m *Machine) urge(now fsm.Time) {
	m.wishes = slices.DeleteFunc(m.wishes, func(w wish) bool { return now-w.at > wishFor })
	for i := range m.wishes {
		w := &m.wishes[i]
		switch {
		case now-w.sent < wishAgain:
		case m.primary == "":
			m.seek(now)
		default:
			w.sent = now
			m.send(m.primary, w.WithdrawRequest)
		}
	}
}

func (m *Machine) told(t WithdrawReply) {
	i := slices.IndexFunc(m.wishes, func(w wish) bool { return t.ID == m.id && t.Call == w.Call })
	if i >= 0 && t.Outcome == OutcomeUndecided { // the version is there: now it is meant
		if w := &m.wishes[i]; t.Newest >= w.Fence {
			w.Fence, w.sent = t.Newest+1, w.sent-wishAgain
		}
	} else if i >= 0 {
		m.wishes = slices.Delete(m.wishes, i, i+1)
		m.out.WithdrawReplies = append(m.out.WithdrawReplies, t)
	}
}

// wished takes a call at the primary. Until the document tells the outcome it waits.
func (m *Machine) wished(now fsm.Time, from string, t WithdrawRequest) {
	l := m.lead
	if l == nil {
		return
	}
	if t.Fence != 0 && m.doc.Version >= t.Fence && m.outcome(t.Version) == OutcomeUndecided && m.bug != BugIgnoreFence {
		m.send(from, WithdrawReply{t.ID, t.Call, OutcomeUndecided, m.side.Version, m.doc.Version}) // the caller decides anew
		return
	}
	if !slices.Contains(l.ended, t) { // a late copy of one that was told "absent" does nothing to what came since
		m.withdraw(t.Version, "by "+t.By)
	}
	same := func(a asks) bool { return a.from == from && a.ID == t.ID && a.Call == t.Call && a.Version == t.Version }
	if !slices.ContainsFunc(l.asks, same) && len(l.asks) < wishMost {
		l.asks = append(l.asks, asks{from: from, WithdrawRequest: t, at: now})
	}
	m.settle()
}

// settle answers the calls whose outcome the document tells. It is kept by all writers of
// this epoch: what it tells is true, though a successor may know more. That a version is not
// there is what a successor may know better: the writers are asked before it is said.
func (m *Machine) settle() {
	l := m.lead
	l.asks = slices.DeleteFunc(l.asks, func(a asks) bool {
		o := m.outcome(a.Version)
		if o == OutcomeAbsent && !a.sure && m.bug != BugAbsentUnconfirmed {
			m.out.ConfirmLead = m.out.ConfirmLead || a.round == 0
			return false
		}
		if o != OutcomeUndecided && a.ID != 0 {
			if l.ended = append(l.ended, a.WithdrawRequest); len(l.ended) > 2*wishMost {
				l.ended = l.ended[wishMost:]
			}
			m.send(a.from, WithdrawReply{a.ID, a.Call, o, m.side.Version, m.doc.Version})
		}
		return o != OutcomeUndecided
	})
}

// lapse forgets calls that nobody waits for any more.
func (l *lead) lapse(now fsm.Time) {
	l.asks = slices.DeleteFunc(l.asks, func(a asks) bool { return now-a.at > 2*wishFor })
}

func (m *Machine) outcome(version uint32) Outcome {
	switch {
	case version == m.side.Version && version != 0:
		return OutcomeLive
	case version < m.doc.Version && slices.Contains(withdrawnBefore(m.doc), version) && m.bug != BugForgetWithdrawn:
		return OutcomeWithdrawn
	case version < m.doc.Version:
		return OutcomeOvertaken
	case version > m.doc.Version:
		return OutcomeAbsent
	case m.side.Fate == Withdrawn || m.bug == BugReplyBeforeKept:
		return OutcomeWithdrawn
	}
	return OutcomeUndecided
}

func (m *Machine) withdraw(version uint32, why string) {
	if m.lead != nil && m.side.Fate == Prepared && m.doc.Version == version && m.out.Amend == nil {
		d := withdrawn(m.doc, why)
		m.out.Amend = &d
	}
}
