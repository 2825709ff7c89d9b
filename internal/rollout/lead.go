package rollout

import (
	"fmt"
	"slices"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/policy"
)

// lead is the primary's part in one epoch. All of it may be lost: a successor finds in
// the document whether a version is live, and asks the nodes anew for the rest.
type lead struct {
	epoch   consensus.Ballot
	c       *policy.Conduct // nil: what is live is taken up by each
	reg     policy.Register
	addrs   map[uint64]string // of the nodes' lives
	reads   bool              // the conduct wants the writers' confirmation, which is not asked for yet
	round   uint64            // of the one that it waits for
	pending uint32
	since   fsm.Time          // of pending, here
	asks    []asks            // to withdraw, that wait for the document
	ended   []WithdrawRequest // the last of them that have been answered
}

// turn takes over what is kept.
func (m *Machine) turn(now fsm.Time) {
	l := m.lead
	m.settle()
	if !m.rollout.Together || m.side.Version == 0 {
		l.c, l.addrs = nil, map[uint64]string{}
		return
	}
	live := int64(m.side.Version)
	l.reg = policy.Register{Format: policy.Format, Version: live,
		Changes: []policy.Change{{ID: uint64(live), Version: live, Fate: policy.Committed}}}
	if m.side.Fate == Prepared {
		l.reg.Under = uint64(m.doc.Version)
		l.reg.Changes = append(l.reg.Changes, policy.Change{ID: l.reg.Under, Base: live, Fate: policy.UnderWay})
		if l.pending != m.doc.Version {
			l.pending, l.since = m.doc.Version, now
		}
	}
	if l.c == nil {
		since := now
		if m.bug == BugSuccessorSkipsWait {
			since -= 2 * Terms.Lease
		}
		l.c = policy.Lead(m.terms(), &l.reg, l.epoch.N, since)
		l.c.Enough = func() bool { return m.enough(m.seen) }
		if m.bug != BugEmptyHoldCounts {
			l.c.Still = l.c.Enough
		}
	}
	m.seen = now
	l.c.Applied(now)
	m.carry(now)
}

func (m *Machine) asked(now fsm.Time, from string, a LeaseRequest) {
	l := m.lead
	if l == nil || l.c == nil {
		return
	}
	l.addrs[a.ID] = from
	a.HeldRound = l.held(a)
	m.seen = now
	l.c.Renew(now, a.ID, a.renew())
	if l.c.Stage() == policy.Holding { // everybody waits for the last one's word
		l.c.Tick(now)
	}
	m.carry(now)
}

// held is the round in which a node decides nothing. Another primary's may have the same
// number.
func (l *lead) held(a LeaseRequest) uint64 {
	if a.Epoch != l.epoch {
		return 0
	}
	return a.HeldRound
}

func (m *Machine) tick(now fsm.Time) {
	l := m.lead
	l.lapse(now)
	if l.c == nil {
		return
	}
	m.seen = now
	l.c.Tick(now)
	m.carry(now)
	if m.side.Fate == Prepared && m.rollout.Within > 0 && now-l.since > m.rollout.Within {
		if l.c.Stage() == policy.Checking {
			m.withdraw(m.doc.Version, fmt.Sprintf("not enough have confirmed within %v", m.rollout.Within))
		}
	}
}

// ConfirmationStarted tells the round of the writers' confirmation that was asked for; 0: this is
// no primary any more.
func (m *Machine) ConfirmationStarted(round uint64) {
	l := m.lead
	if l == nil {
		return
	}
	if l.c != nil && l.reads {
		if l.round = round; round == 0 {
			l.c.Unconfirmed()
		}
	}
	l.reads = false
	for i := range l.asks {
		if a := &l.asks[i]; a.round == 0 {
			a.round = round
		}
	}
}

// LeadConfirmed tells that the writers have confirmed that round.
func (m *Machine) LeadConfirmed(now fsm.Time, round uint64) Out {
	l := m.lead
	if l != nil && l.c != nil && l.round != 0 && round >= l.round {
		l.round = 0
		m.seen = now
		l.c.Confirmed(now)
		m.carry(now)
	}
	if l != nil {
		for i := range l.asks {
			a := &l.asks[i]
			a.sure = a.sure || a.round != 0 && round >= a.round
		}
		m.settle()
	}
	return m.end()
}

// AmendmentRejected tells that an amendment could not be made, as another document is on its way.
func (m *Machine) AmendmentRejected(now fsm.Time, d consensus.Doc) Out {
	if l := m.lead; l != nil && l.c != nil && ReadState(d).Fate == Live {
		l.c.Dropped(now)
		m.carry(now)
	}
	return m.end()
}

// carry carries out what the conduct wants.
func (m *Machine) carry(now fsm.Time) {
	l := m.lead
	for again := true; again; {
		o := l.c.Out()
		again = false
		for _, p := range o.Propose {
			switch {
			case p.ID != uint64(m.doc.Version) || m.side.Fate != Prepared:
			case p.Kind == policy.Turn:
				d := turned(m.doc)
				m.out.Amend = &d
			case p.Kind == policy.Withdraw:
				m.withdraw(m.doc.Version, p.Why)
			}
		}
		if o.Read && m.bug == BugGrantUnconfirmed {
			l.c.Confirmed(now)
			again = true
		} else if o.Read {
			m.out.ConfirmLead, l.reads = true, true
		}
		for _, g := range o.Grants {
			if m.bug == BugTurnIgnoresLeases && g.Seq != 0 && g.Hold == 0 && g.Fenced == "" {
				g.Lease = Terms.Lease
			}
			m.send(l.addrs[g.To], LeaseGrant{ID: g.To, Seq: g.Seq, Epoch: l.epoch, Version: g.Version, Lease: g.Lease,
				Change: g.Change, HoldRound: g.Hold, Fenced: g.Fenced, Newest: m.doc.Version, Rev: m.doc.Rev})
		}
	}
}

// enough says whether as many nodes hold the version as it needs: the number that is
// asked for, and most of those that live in each zone. A node has confirmed if all
// lives of it have that may still go by anything: an earlier one's word is not this one's.
// A word counts only with a lease, so only if the writers took this one for the primary
// after it; and in a hold only if it was said again in that round, as who has a lease must.
func (m *Machine) enough(now fsm.Time) bool {
	_, all := m.lead.c.Status(now)
	held := map[string]bool{}
	for _, s := range all {
		has := s.Checked == uint64(m.doc.Version) && s.Refusal == ""
		if !s.Leased && (has || s.Ago > Terms.Lease) {
			continue
		}
		ok, known := held[s.Name]
		held[s.Name] = has && (ok || !known) || m.bug == BugCountEarlierIncarnation && (has || ok)
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
	need := max(m.rollout.Confirm, 1)
	if m.bug == BugOneConfirmationShort {
		sum++
	}
	for _, z := range zones {
		if z[1]*2 <= z[0] && m.bug != BugOneConfirmationShort {
			return false
		}
	}
	return sum >= need
}

func (m *Machine) terms() policy.Terms {
	t := Terms
	if m.bug == BugTurnIgnoresLeases {
		t.Lease = Terms.Lease / 8 // none at all would count no word, and nothing would turn
	}
	return t
}

// names are sorted, so that what is shown stays in its place.
func names(all []string) []string {
	slices.Sort(all)
	return slices.Compact(all)
}
