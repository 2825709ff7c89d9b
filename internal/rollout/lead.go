package rollout

import (
	"fmt"
	"slices"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/policy"
)

// leadership is the state of the primary in one epoch. It may be lost at any time: a successor finds in the
// document whether a version is live, and asks the nodes again for the rest.
type leadership struct {
	epoch         consensus.Ballot
	conduct       *policy.Coordinator // nil: each node puts what is live in force by itself
	register      policy.Register
	addrs         map[uint64]string // by incarnation of the node
	confirmWanted bool              // the conduct needs a confirmation of the writers that has not been started yet
	confirmRound  uint64            // the round of confirmation that the conduct waits for
	pending       uint32
	pendingSince  fsm.Time             // when this process first saw pending
	withdrawals   []receivedWithdrawal // waiting for their outcome in the document
	answered      []WithdrawRequest    // the latest of those that were answered
}

// updateLead applies the current document to the primary's state.
func (m *Machine) updateLead(now fsm.Time) {
	lead := m.lead
	m.answerWithdrawals()
	if !m.rollout.Together || m.state.Version == 0 {
		lead.conduct, lead.addrs = nil, map[uint64]string{}
		return
	}
	live := int64(m.state.Version)
	lead.register = policy.Register{Format: policy.Format, Version: live,
		Changes: []policy.Change{{ID: uint64(live), Version: live, Fate: policy.Committed}}}
	if m.state.Fate == Prepared {
		lead.register.Under = uint64(m.doc.Version)
		lead.register.Changes = append(lead.register.Changes, policy.Change{ID: lead.register.Under, Base: live, Fate: policy.UnderWay})
		if lead.pending != m.doc.Version {
			lead.pending, lead.pendingSince = m.doc.Version, now
		}
	}
	if lead.conduct == nil {
		since := now
		if m.bug == BugSuccessorSkipsWait {
			since -= 2 * Terms.Lease
		}
		lead.conduct = policy.NewCoordinator(m.terms(), &lead.register, lead.epoch.N, since)
		lead.conduct.Enough = func() bool { return m.enoughConfirmed(m.leadSeenAt) }
		if m.bug != BugEmptyHoldCounts {
			lead.conduct.Still = lead.conduct.Enough
		}
	}
	m.leadSeenAt = now
	lead.conduct.Applied(now)
	m.applyConduct(now)
}

func (m *Machine) handleLeaseRequest(now fsm.Time, from string, request LeaseRequest) {
	lead := m.lead
	if lead == nil || lead.conduct == nil {
		return
	}
	lead.addrs[request.ID] = from
	request.HeldRound = lead.heldRound(request)
	m.leadSeenAt = now
	lead.conduct.Renew(now, request.ID, request.policyRenew())
	if lead.conduct.Stage() == policy.Holding { // nodes wait for the last confirmation of the hold
		lead.conduct.Tick(now)
	}
	m.applyConduct(now)
}

// heldRound is the round of the hold in which the node decides nothing, or 0: a hold of another primary may
// have the same number.
func (l *leadership) heldRound(request LeaseRequest) uint64 {
	if request.Epoch != l.epoch {
		return 0
	}
	return request.HeldRound
}

func (m *Machine) tickLead(now fsm.Time) {
	lead := m.lead
	lead.expireWithdrawals(now)
	if lead.conduct == nil {
		return
	}
	m.leadSeenAt = now
	lead.conduct.Tick(now)
	m.applyConduct(now)
	if m.state.Fate == Prepared && m.rollout.Within > 0 && now-lead.pendingSince > m.rollout.Within {
		if lead.conduct.Stage() == policy.Checking {
			m.withdraw(m.doc.Version, fmt.Sprintf("not enough have confirmed within %v", m.rollout.Within))
		}
	}
}

// ConfirmationStarted reports the round of the writers' confirmation that was requested; 0: this process is
// no longer the primary.
func (m *Machine) ConfirmationStarted(round uint64) {
	lead := m.lead
	if lead == nil {
		return
	}
	if lead.conduct != nil && lead.confirmWanted {
		if lead.confirmRound = round; round == 0 {
			lead.conduct.Unconfirmed()
		}
	}
	lead.confirmWanted = false
	for i := range lead.withdrawals {
		if withdrawal := &lead.withdrawals[i]; withdrawal.confirmRound == 0 {
			withdrawal.confirmRound = round
		}
	}
}

// LeadConfirmed reports that the writers have confirmed this process as primary in that round.
func (m *Machine) LeadConfirmed(now fsm.Time, round uint64) Out {
	lead := m.lead
	if lead != nil && lead.conduct != nil && lead.confirmRound != 0 && round >= lead.confirmRound {
		lead.confirmRound = 0
		m.leadSeenAt = now
		lead.conduct.Confirmed(now)
		m.applyConduct(now)
	}
	if lead != nil {
		for i := range lead.withdrawals {
			withdrawal := &lead.withdrawals[i]
			withdrawal.confirmed = withdrawal.confirmed || withdrawal.confirmRound != 0 && round >= withdrawal.confirmRound
		}
		m.answerWithdrawals()
	}
	return m.takeOut()
}

// AmendmentRejected reports that an amendment could not be proposed, because another document is being
// agreed on.
func (m *Machine) AmendmentRejected(now fsm.Time, d consensus.Doc) Out {
	if lead := m.lead; lead != nil && lead.conduct != nil && ReadState(d).Fate == Live {
		lead.conduct.Dropped(now)
		m.applyConduct(now)
	}
	return m.takeOut()
}

// applyConduct carries out the requests of the conduct.
func (m *Machine) applyConduct(now fsm.Time) {
	lead := m.lead
	for again := true; again; {
		o := lead.conduct.Out()
		again = false
		for _, p := range o.Propose {
			switch {
			case p.ID != uint64(m.doc.Version) || m.state.Fate != Prepared:
			case p.Kind == policy.Turn:
				d := madeLive(m.doc)
				m.out.Amend = &d
			case p.Kind == policy.Withdraw:
				m.withdraw(m.doc.Version, p.Why)
			}
		}
		if o.Read && m.bug == BugGrantUnconfirmed {
			lead.conduct.Confirmed(now)
			again = true
		} else if o.Read {
			m.out.ConfirmLead, lead.confirmWanted = true, true
		}
		for _, g := range o.Grants {
			if m.bug == BugTurnIgnoresLeases && g.Seq != 0 && g.Hold == 0 && g.Fenced == "" {
				g.Lease = Terms.Lease
			}
			m.send(lead.addrs[g.To], LeaseGrant{ID: g.To, Seq: g.Seq, Epoch: lead.epoch, Version: g.Version, Lease: g.Lease,
				Change: g.Change, HoldRound: g.Hold, Fenced: g.Fenced, Newest: m.doc.Version, Rev: m.doc.Rev})
		}
	}
}

// enoughConfirmed reports whether enough nodes hold the version: the required number, and the majority of
// the live ones in each zone. A node has confirmed if all of its incarnations have that may still decide by
// any version: a confirmation of an earlier incarnation doesn't count for the current one. A confirmation
// only counts with a lease, so only if the writers took this process for the primary after it; and during a
// hold only if it was repeated in that round, as nodes with a lease must.
func (m *Machine) enoughConfirmed(now fsm.Time) bool {
	_, all := m.lead.conduct.Status(now)
	held := map[string]bool{}
	for _, s := range all {
		confirmed := s.Checked == uint64(m.doc.Version) && s.Refusal == ""
		if !s.Leased && (confirmed || s.Ago > Terms.Lease) {
			continue
		}
		ok, known := held[s.Name]
		held[s.Name] = confirmed && (ok || !known) || m.bug == BugCountEarlierIncarnation && (confirmed || ok)
	}
	zones, sum := map[string][2]int{}, 0
	for _, n := range m.nodes {
		z := zones[n.Zone]
		z[0]++
		if held[n.Name] {
			z[1]++
			sum++
		}
		zones[n.Zone] = z
	}
	required := max(m.rollout.Confirm, 1)
	if m.bug == BugOneConfirmationShort {
		sum++
	}
	for _, z := range zones {
		if z[1]*2 <= z[0] && m.bug != BugOneConfirmationShort {
			return false
		}
	}
	return sum >= required
}

func (m *Machine) terms() policy.Terms {
	t := Terms
	if m.bug == BugTurnIgnoresLeases {
		t.Lease = Terms.Lease / 8 // without any lease no confirmation would count, and no version would become live
	}
	return t
}

// sortedUnique keeps the order of names in the status stable.
func sortedUnique(all []string) []string {
	slices.Sort(all)
	return slices.Compact(all)
}
