package policy

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Terms are the timing parameters, the same at all members.
type Terms struct {
	Lease       time.Duration // validity, counted from when the gateway sent its renewal
	Drift       float64       // largest relative difference between two clocks' rates
	Renew       time.Duration // interval between a gateway's renewals
	CheckWithin time.Duration // for a gateway to check a change; after that it is fenced
	HoldWithin  time.Duration // for all gateways to acknowledge a hold; after that serving resumes, and the hold is retried
}

// DefaultTerms apply where the operator's file sets none.
var DefaultTerms = Terms{Lease: 1500 * time.Millisecond, Drift: 0.05, Renew: 400 * time.Millisecond,
	CheckWithin: 500 * time.Millisecond, HoldWithin: 40 * time.Millisecond}

// leaseExpiry returns the time on the leader's clock at which a lease granted now has
// expired at every gateway, clock drift included.
func (t Terms) leaseExpiry(now time.Duration) time.Duration {
	return now + time.Duration(float64(t.Lease)*(1+t.Drift)) + time.Millisecond
}

// Renew is a gateway's request to the leader for a lease that starts when the request
// is sent. It also reports the gateway's progress with a change.
type Renew struct {
	Seq     uint64 `json:"seq"`
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Version int64  `json:"version"`           // adopted by the gateway; -1: none
	Checked uint64 `json:"checked,omitempty"` // ID of the last change that the gateway checked
	Refusal string `json:"refusal,omitempty"` // why the gateway rejects that change
	Held    uint64 `json:"held,omitempty"`    // round of the hold that the gateway acknowledges
	Digest  string `json:"digest,omitempty"`  // of the gateway's own file, which is version 0
	Format  int    `json:"format"`            // the highest format that this member knows
}

// Grant answers a Renew. With Seq 0 it is unsolicited and asks the gateway to renew at once.
type Grant struct {
	Seq     uint64        `json:"seq,omitempty"`
	Term    uint64        `json:"term"`
	Version int64         `json:"version"`
	Lease   time.Duration `json:"lease,omitempty"` // counted from when the gateway sent its renewal; 0: none
	Made    uint64        `json:"made,omitempty"`  // the change that became Version, if the gateway still has its text from the check
	Text    []byte        `json:"text,omitempty"`  // the policy of Version, if the gateway lacks it
	Change  uint64        `json:"change,omitempty"`
	Next    []byte        `json:"next,omitempty"` // text of Change, to be checked
	Hold    uint64        `json:"hold,omitempty"` // stop deciding requests, and acknowledge this round
	Fenced  string        `json:"fenced,omitempty"`
}

// Out lists the actions that the caller has to carry out for the coordinator.
type Out struct {
	Grants  []Directed
	Propose []Command
	Read    bool // confirm with the voters that this is still the leader, then call Confirmed
}

// Directed is a grant with its recipient.
type Directed struct {
	To uint64
	Grant
}

// Stage is the progress of the pending change.
type Stage int

// Stages of a change.
const (
	Idle     Stage = iota
	Checking       // all lease holders check the change; those that don't answer are fenced
	Holding        // all lease holders have been told to stop deciding
	Turning        // the turn is proposed: no leases are granted until it is applied
)

func (s Stage) String() string { return [...]string{"idle", "checking", "holding", "turning"}[s] }

// Coordinator is the leader's side of the protocol. Members are identified by the
// incarnation of their process: a restarted gateway is a new member.
type Coordinator struct {
	terms        Terms
	reg          *Register
	term         uint64
	leadingSince time.Duration // when this leader's term began
	stage        Stage
	change       uint64
	stageSince   time.Duration // when the stage began
	round        uint64
	holdAttempts int
	retryAfter   time.Duration // no new attempt before this time
	members      map[uint64]*member
	order        []uint64        // sorted ids of members, so that replays are deterministic
	confirming   []confirmedCall // renewals covered by the confirmation under way
	unconfirmed  []uint64        // members whose renewals arrived since
	turnEnded    bool            // a change has just ended: gateways wait for their leases
	out          Out

	// Enough reports whether enough members have checked the change. Until then no member
	// is fenced and the change is not put in force. Nil: the lease holders suffice.
	Enough func() bool
	// Still reports the same at the end of a hold. Leases may have expired meanwhile, and
	// members without a lease are not waited for. Nil: not checked.
	Still func() bool

	// Held is how long the last successful turn held decisions, for measurements.
	Held time.Duration
}

// confirmedCall is a renewal that arrived before the voters were asked to confirm the
// leader. A later renewal needs another confirmation, even if it arrives before the answer.
type confirmedCall struct{ id, seq uint64 }

type member struct {
	Renew
	lastSeen, leaseUntil time.Duration // last renewal; end of its lease; both on the leader's clock
	awaitsAnswer         bool          // its last renewal is unanswered
	notifiedAt           time.Duration // when it was first told of the change; 0: not yet
	fenced               bool          // gets no lease until it has checked the change
	holdSentRound        uint64        // last hold round that was sent to it
}

// NewCoordinator returns the coordinator of a leader elected at now. Leases granted by
// an earlier leader may still be valid.
func NewCoordinator(terms Terms, reg *Register, term uint64, now time.Duration) *Coordinator {
	c := &Coordinator{terms: terms, reg: reg, term: term, leadingSince: now, members: map[uint64]*member{}, round: term << 24}
	c.Applied(now)
	return c
}

// Out returns the pending actions and clears them.
func (c *Coordinator) Out() Out {
	o := c.out
	c.out = Out{}
	return o
}

// Renew processes a gateway's renewal.
func (c *Coordinator) Renew(now time.Duration, id uint64, r Renew) {
	m := c.members[id]
	if m == nil {
		m = &member{}
		c.members[id] = m
		i, _ := slices.BinarySearch(c.order, id)
		c.order = slices.Insert(c.order, i, id)
	}
	if r.Seq <= m.Seq { // delayed or duplicated
		return
	}
	if m.Renew, m.lastSeen, m.awaitsAnswer = r, now, true; !slices.Contains(c.unconfirmed, id) {
		c.unconfirmed = append(c.unconfirmed, id)
	}
	c.requestConfirmation() // the change itself advances at the next Tick, since hundreds of renewals may arrive together
}

// Confirmed reports that, after the last Out with Read, the voters confirmed this
// leader and that the log up to that point is applied.
func (c *Coordinator) Confirmed(now time.Duration) {
	ready := c.confirming
	c.confirming, c.turnEnded = nil, false
	for _, r := range ready {
		if m := c.members[r.id]; m != nil && m.awaitsAnswer {
			c.answer(now, r, m)
		}
	}
	c.step(now)
}

// Unconfirmed abandons a confirmation. Its renewals wait for the next one.
func (c *Coordinator) Unconfirmed() {
	for _, r := range c.confirming {
		if !slices.Contains(c.unconfirmed, r.id) {
			c.unconfirmed = append(c.unconfirmed, r.id)
		}
	}
	c.confirming = nil
}

// answer sends a member the grant for its confirmed renewal r. A later renewal of that
// member waits for its own confirmation.
func (c *Coordinator) answer(now time.Duration, r confirmedCall, m *member) {
	id := r.id
	g := Grant{Seq: r.seq, Term: c.term, Version: c.reg.Version}
	if p := c.reg.Pending(); p != nil && m.Checked != p.ID {
		g.Change, g.Next = p.ID, p.Text
	}
	if m.Version != g.Version {
		if made := c.reg.ChangeOf(g.Version); made != 0 && made == m.Checked && m.Refusal == "" {
			g.Made = made
		} else {
			g.Text, _ = c.reg.Text(g.Version)
		}
	}
	switch {
	case c.stage == Holding || c.stage == Turning:
		if m.Held == c.round {
			if !slices.Contains(c.unconfirmed, id) {
				c.unconfirmed = append(c.unconfirmed, id) // answered once the hold is over
			}
			return
		}
		g.Hold, m.holdSentRound = c.round, c.round
	case m.fenced && m.Checked != c.change:
		g.Fenced = fmt.Sprintf("said nothing on change %x for %v", c.change, c.terms.CheckWithin)
	default:
		m.fenced = false
		g.Lease, m.leaseUntil = c.terms.Lease, c.terms.leaseExpiry(now)
	}
	m.awaitsAnswer = m.Seq != r.seq
	c.out.Grants = append(c.out.Grants, Directed{id, g})
}

// Tick forgets members that are long gone and advances the change.
func (c *Coordinator) Tick(now time.Duration) {
	c.order = slices.DeleteFunc(c.order, func(id uint64) bool {
		m := c.members[id]
		gone := m.leaseUntil < now && now-m.lastSeen > 20*c.terms.Lease
		if gone {
			delete(c.members, id)
		}
		return gone
	})
	c.step(now)
}

// Applied reports that the register has changed.
func (c *Coordinator) Applied(now time.Duration) {
	p := c.reg.Pending()
	switch {
	case p == nil && c.stage != Idle:
		if c.stage == Turning {
			c.Held = now - c.stageSince
		}
		c.enter(Idle, now)
		c.change, c.turnEnded = 0, true
		for _, m := range c.members {
			m.fenced = false
		}
		c.requestRenewals()
	case p != nil && (c.stage == Idle || c.change != p.ID):
		c.enter(Checking, now)
		c.change, c.holdAttempts, c.retryAfter = p.ID, 0, 0
		for _, m := range c.members {
			m.notifiedAt, m.fenced = 0, false
		}
		c.requestRenewals()
	}
	c.step(now)
}

func (c *Coordinator) enter(s Stage, now time.Duration) { c.stage, c.stageSince = s, now }

// forEachMember calls do for each member, ordered by id.
func (c *Coordinator) forEachMember(do func(id uint64, m *member)) {
	for _, id := range c.order {
		do(id, c.members[id])
	}
}

// Stage returns the stage of the pending change.
func (c *Coordinator) Stage() Stage { return c.stage }

// Busy reports whether a change is pending or has just ended, so that the caller polls more often.
func (c *Coordinator) Busy() bool { return c.stage != Idle || c.turnEnded }

// requestRenewals asks all members to renew at once, and sends them the pending change.
func (c *Coordinator) requestRenewals() {
	c.forEachMember(func(id uint64, m *member) {
		g := Grant{Term: c.term, Version: c.reg.Version}
		if p := c.reg.Pending(); p != nil && m.Checked != p.ID {
			g.Change, g.Next = p.ID, p.Text
		}
		c.out.Grants = append(c.out.Grants, Directed{id, g})
	})
}

// step advances the pending change as far as possible.
func (c *Coordinator) step(now time.Duration) {
	switch c.stage {
	case Checking:
		c.check(now)
	case Holding:
		c.hold(now)
	}
	c.requestConfirmation()
}

// requestConfirmation asks for a confirmation of the leader if any renewal waits for one.
func (c *Coordinator) requestConfirmation() {
	if len(c.confirming) == 0 && !c.out.Read && slices.ContainsFunc(c.unconfirmed, c.answerable) {
		for _, id := range c.unconfirmed {
			if m := c.members[id]; m != nil {
				c.confirming = append(c.confirming, confirmedCall{id, m.Seq})
			}
		}
		c.unconfirmed, c.out.Read = nil, true
	}
}

// answerable reports whether a waiting renewal can be answered now.
func (c *Coordinator) answerable(id uint64) bool {
	m := c.members[id]
	return m != nil && m.awaitsAnswer && (c.stage != Holding && c.stage != Turning || m.Held != c.round)
}

// check waits until all lease holders have checked the change, then starts a hold.
// Members that don't answer in time are fenced: they get no new lease. The others keep
// serving meanwhile.
func (c *Coordinator) check(now time.Duration) {
	enough := c.Enough == nil || c.Enough()
	done := enough && now >= c.terms.leaseExpiry(c.leadingSince) // leases of an earlier leader have expired
	c.forEachMember(func(id uint64, m *member) {
		switch {
		case m.Checked == c.change && m.Refusal != "":
			if done = false; now >= c.retryAfter {
				c.retryAfter = now + c.terms.CheckWithin // propose again if this is not applied by then
				c.out.Propose = append(c.out.Propose, Command{Kind: Withdraw, ID: c.change, By: m.Name,
					Why: m.Name + " can't take it: " + m.Refusal})
			}
		case m.Checked == c.change:
		case m.leaseUntil <= now && m.fenced:
		case m.leaseUntil <= now && m.notifiedAt == 0 && now-m.lastSeen > c.terms.Lease: // gone before the change was proposed
		default:
			done = false
			if m.notifiedAt == 0 {
				m.notifiedAt = now
			}
			m.fenced = m.fenced || enough && now-m.notifiedAt > c.terms.CheckWithin
		}
	})
	if done && now >= c.retryAfter {
		c.round++
		c.holdAttempts++
		c.enter(Holding, now)
		c.forEachMember(func(id uint64, m *member) {
			if m.leaseUntil > now {
				m.holdSentRound = c.round
				c.out.Grants = append(c.out.Grants, Directed{id, Grant{Term: c.term, Version: c.reg.Version, Hold: c.round}})
			}
		})
		c.hold(now)
	}
}

// Dropped reports that a proposal of Out did not enter the log and never will.
func (c *Coordinator) Dropped(now time.Duration) {
	if c.stage == Turning {
		c.enter(Checking, now)
		c.retryAfter = now + c.terms.HoldWithin
		c.requestRenewals()
	}
}

// hold waits for all lease holders to acknowledge that they decide no requests. After a
// pause of the leader's process all leases may have expired: no acknowledgement is missing
// then, though none was given, so Still is asked too.
func (c *Coordinator) hold(now time.Duration) {
	missing, late := false, now-c.stageSince > c.terms.HoldWithin
	c.forEachMember(func(id uint64, m *member) {
		missing = missing || m.leaseUntil > now && m.Held != c.round
	})
	switch {
	case !missing && (c.Still == nil || !late && c.Still()):
		c.stage = Turning // stageSince stays: Held covers the hold and the turn
		c.out.Propose = append(c.out.Propose, Command{Kind: Turn, ID: c.change})
	case !missing || late:
		// Serving continues by the old version. Members that didn't acknowledge have to check the change again.
		c.forEachMember(func(id uint64, m *member) {
			if m.leaseUntil > now && m.Held != c.round {
				m.Checked, m.notifiedAt = 0, now-c.terms.CheckWithin/2
			}
		})
		c.enter(Checking, now)
		c.retryAfter = now + min(100*time.Millisecond<<min(c.holdAttempts, 5), c.terms.Lease)
		c.requestRenewals()
	}
}

// MemberStatus is the state of a member as shown to operators.
type MemberStatus struct {
	Name    string        `json:"name"`
	Zone    string        `json:"zone,omitempty"`
	ID      uint64        `json:"incarnation"`
	Version int64         `json:"version"`
	Checked uint64        `json:"checked,omitempty"`
	Refusal string        `json:"refusal,omitempty"`
	Ago     time.Duration `json:"heard_ago"`
	Leased  bool          `json:"leased"`
	Fenced  string        `json:"fenced,omitempty"`
	Digest  string        `json:"digest,omitempty"`
}

// Status returns the stage of the change and the state of all members, sorted by name.
func (c *Coordinator) Status(now time.Duration) (stage Stage, all []MemberStatus) {
	c.forEachMember(func(id uint64, m *member) {
		s := MemberStatus{Name: m.Name, Zone: m.Zone, ID: id, Version: m.Version, Checked: m.Checked, Refusal: m.Refusal, Ago: now - m.lastSeen, Leased: m.leaseUntil > now, Digest: m.Digest}
		switch {
		case m.Refusal != "" && m.Checked == c.change:
			s.Fenced = m.Refusal
		case m.fenced:
			s.Fenced = fmt.Sprintf("said nothing on change %x", c.change)
		case !s.Leased && s.Ago > c.terms.Lease:
			s.Fenced = "not heard of"
		}
		all = append(all, s)
	})
	slices.SortFunc(all, func(x, y MemberStatus) int { return cmp.Or(cmp.Compare(x.Name, y.Name), cmp.Compare(x.ID, y.ID)) })
	return c.stage, all
}
