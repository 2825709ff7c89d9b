package policy

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Terms are the times that all members go by.
type Terms struct {
	Lease       time.Duration // for which a gateway may decide by a version, from when it asked
	Drift       float64       // most that one clock runs faster than another, as a share
	Renew       time.Duration // between a gateway's calls
	CheckWithin time.Duration // for a gateway's word on a change; then it is fenced
	HoldWithin  time.Duration // for all to say that they hold; then serving goes on, and it is tried again
}

// DefaultTerms are those where the operator's file names none.
var DefaultTerms = Terms{Lease: 1500 * time.Millisecond, Drift: 0.05, Renew: 400 * time.Millisecond,
	CheckWithin: 500 * time.Millisecond, HoldWithin: 40 * time.Millisecond}

// past is the leader's time after which a lease granted now has run out at any
// gateway.
func (t Terms) leaseExpiry(now time.Duration) time.Duration {
	return now + time.Duration(float64(t.Lease)*(1+t.Drift)) + time.Millisecond
}

// Renew is what a gateway says to the leader: it asks for a lease from the moment
// in which it sends this.
type Renew struct {
	Seq     uint64 `json:"seq"`
	Name    string `json:"name"`
	Zone    string `json:"zone,omitempty"`
	Version int64  `json:"version"`           // that it has; -1: none
	Checked uint64 `json:"checked,omitempty"` // the change that it has checked
	Refusal string `json:"refusal,omitempty"` // why it can't take that one
	Held    uint64 `json:"held,omitempty"`    // the round in which it decides nothing
	Digest  string `json:"digest,omitempty"`  // of its own file, which is version 0
	Format  int    `json:"format"`            // that this member knows
}

// Grant is the answer, and with Seq 0 a call to renew at once.
type Grant struct {
	Seq     uint64        `json:"seq,omitempty"`
	Term    uint64        `json:"term"`
	Version int64         `json:"version"`
	Lease   time.Duration `json:"lease,omitempty"` // from when the gateway asked; 0: none
	Made    uint64        `json:"made,omitempty"`  // the change that has become the version: the gateway has its text from the check
	Text    []byte        `json:"text,omitempty"`  // of the version, if it has neither
	Change  uint64        `json:"change,omitempty"`
	Next    []byte        `json:"next,omitempty"` // the change to check
	Hold    uint64        `json:"hold,omitempty"` // decide nothing, and say so with this round
	Fenced  string        `json:"fenced,omitempty"`
}

// Out is what the leader wants done.
type Out struct {
	Grants  []Directed
	Propose []Command
	Read    bool // confirm that this is still the leader, then call Confirmed
}

// Directed is a grant and the member it is for.
type Directed struct {
	To uint64
	Grant
}

// Stage of a change.
type Stage int

// The stages.
const (
	Idle     Stage = iota
	Checking       // by all that hold leases; those that say nothing are fenced
	Holding        // all have been told to decide nothing
	Turning        // the turn is proposed: until it is applied there are no leases
)

func (s Stage) String() string { return [...]string{"idle", "checking", "holding", "turning"}[s] }

// Coordinator is the leader's part. Members are named by the incarnation of their
// process: one that starts anew is another member.
type Coordinator struct {
	terms        Terms
	reg          *Register
	term         uint64
	leadingSince time.Duration // leads since
	stage        Stage
	change       uint64
	stageSince   time.Duration // of the stage
	round        uint64
	holdAttempts int
	retryAfter   time.Duration // no new round before
	members      map[uint64]*member
	order        []uint64        // their ids, sorted: a replay is the same
	confirming   []confirmedCall // the calls that the read under way confirms
	unconfirmed  []uint64        // those that came since
	turnEnded    bool            // a turn is over: gateways wait for their leases
	out          Out

	// Enough says whether as many have checked the change as it needs; until then nobody
	// is fenced for it and nothing turns. Nil: all that hold a lease are.
	Enough func() bool
	// Still says the same at the end of a hold: leases may have run out meanwhile, and who has
	// none is not waited for. Nil: it is not asked.
	Still func() bool

	// What the last turn took, for those that measure.
	Held time.Duration
}

// confirmedCall is a call that was there before the voters were asked whether this still is the
// leader: one that came after that needs another confirmedCall, though they answer later.
type confirmedCall struct{ id, seq uint64 }

type member struct {
	Renew
	lastSeen, leaseUntil time.Duration // last call; end of its lease, by this clock
	awaitsAnswer         bool          // its last call has no answer yet
	notifiedAt           time.Duration // told of the change, for the first time
	fenced               bool          // gets no lease before it has checked the change
	holdSentRound        uint64        // round of the hold it has been told of
}

// NewCoordinator begins a leader's part. Leases that a leader before it has granted may
// still run.
func NewCoordinator(terms Terms, reg *Register, term uint64, now time.Duration) *Coordinator {
	c := &Coordinator{terms: terms, reg: reg, term: term, leadingSince: now, members: map[uint64]*member{}, round: term << 24}
	c.Applied(now)
	return c
}

// Out takes what is to be done.
func (c *Coordinator) Out() Out {
	o := c.out
	c.out = Out{}
	return o
}

// Renew takes a gateway's call.
func (c *Coordinator) Renew(now time.Duration, id uint64, r Renew) {
	m := c.members[id]
	if m == nil {
		m = &member{}
		c.members[id] = m
		i, _ := slices.BinarySearch(c.order, id)
		c.order = slices.Insert(c.order, i, id)
	}
	if r.Seq <= m.Seq { // late, or twice
		return
	}
	if m.Renew, m.lastSeen, m.awaitsAnswer = r, now, true; !slices.Contains(c.unconfirmed, id) {
		c.unconfirmed = append(c.unconfirmed, id)
	}
	c.requestConfirmation() // what it says of a change counts at the next Tick: hundreds may come together
}

// Confirmed tells that after the last Out with Read the voters still took this
// one for the leader, and that all of the log until then is applied.
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

// Unconfirmed gives a read up: those that wait are asked for with the next.
func (c *Coordinator) Unconfirmed() {
	for _, r := range c.confirming {
		if !slices.Contains(c.unconfirmed, r.id) {
			c.unconfirmed = append(c.unconfirmed, r.id)
		}
	}
	c.confirming = nil
}

// answer gives a member what it may have now, from the call that has been confirmed: a
// later one of it waits for its own.
func (c *Coordinator) answer(now time.Duration, r confirmedCall, m *member) {
	id := r.id
	g := Grant{Seq: r.seq, Term: c.term, Version: c.reg.Version}
	if p := c.reg.Pending(); p != nil && m.Checked != p.ID {
		g.Change, g.Next = p.ID, p.Text
	}
	if m.Version != g.Version {
		if made := c.reg.Made(g.Version); made != 0 && made == m.Checked && m.Refusal == "" {
			g.Made = made
		} else {
			g.Text, _ = c.reg.Text(g.Version)
		}
	}
	switch {
	case c.stage == Holding || c.stage == Turning:
		if m.Held == c.round {
			if !slices.Contains(c.unconfirmed, id) {
				c.unconfirmed = append(c.unconfirmed, id) // it has its answer once the hold is over
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

// Tick lets time pass.
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

// Applied tells that the register has changed.
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

// forEachMember calls do for the members in order of their ids.
func (c *Coordinator) forEachMember(do func(id uint64, m *member)) {
	for _, id := range c.order {
		do(id, c.members[id])
	}
}

// Stage of the change under way.
func (c *Coordinator) Stage() Stage { return c.stage }

// Busy reports whether a change is under way, so that every moment counts.
func (c *Coordinator) Busy() bool { return c.stage != Idle || c.turnEnded }

// requestRenewals asks all members to renew at once.
func (c *Coordinator) requestRenewals() {
	c.forEachMember(func(id uint64, m *member) {
		g := Grant{Term: c.term, Version: c.reg.Version}
		if p := c.reg.Pending(); p != nil && m.Checked != p.ID {
			g.Change, g.Next = p.ID, p.Text
		}
		c.out.Grants = append(c.out.Grants, Directed{id, g})
	})
}

// step goes on as far as it can.
func (c *Coordinator) step(now time.Duration) {
	switch c.stage {
	case Checking:
		c.check(now)
	case Holding:
		c.hold(now)
	}
	c.requestConfirmation()
}

// requestConfirmation asks for a confirmation, if any call waits for one.
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

// answerable reports whether a call that waits can be answered now.
func (c *Coordinator) answerable(id uint64) bool {
	m := c.members[id]
	return m != nil && m.awaitsAnswer && (c.stage != Holding && c.stage != Turning || m.Held != c.round)
}

// check waits until all that hold a lease have checked the change. Those that say
// nothing get no more leases; the rest goes on meanwhile.
func (c *Coordinator) check(now time.Duration) {
	enough := c.Enough == nil || c.Enough()
	done := enough && now >= c.terms.leaseExpiry(c.leadingSince) // what a leader before this one has granted has run out
	c.forEachMember(func(id uint64, m *member) {
		switch {
		case m.Checked == c.change && m.Refusal != "":
			if done = false; now >= c.retryAfter {
				c.retryAfter = now + c.terms.CheckWithin // until it is applied; or again
				c.out.Propose = append(c.out.Propose, Command{Kind: Withdraw, ID: c.change, By: m.Name,
					Why: m.Name + " can't take it: " + m.Refusal})
			}
		case m.Checked == c.change:
		case m.leaseUntil <= now && m.fenced:
		case m.leaseUntil <= now && m.notifiedAt == 0 && now-m.lastSeen > c.terms.Lease: // gone long ago
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

// Dropped tells that what Out proposed has not come into the log, and never will.
func (c *Coordinator) Dropped(now time.Duration) {
	if c.stage == Turning {
		c.enter(Checking, now)
		c.retryAfter = now + c.terms.HoldWithin
		c.requestRenewals()
	}
}

// hold waits for all that hold a lease to say that they decide nothing. A leader that stood
// still finds that nobody has one any more: nobody is missing then, and nobody has said a word.
func (c *Coordinator) hold(now time.Duration) {
	missing, late := false, now-c.stageSince > c.terms.HoldWithin
	c.forEachMember(func(id uint64, m *member) {
		missing = missing || m.leaseUntil > now && m.Held != c.round
	})
	switch {
	case !missing && (c.Still == nil || !late && c.Still()):
		c.stage = Turning // at stays: all of it is held
		c.out.Propose = append(c.out.Propose, Command{Kind: Turn, ID: c.change})
	case !missing || late:
		// Serving goes on by the old version. Who said nothing has to say anew that it is there.
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

// MemberStatus is a member as operators see it.
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

// Status tells who has what.
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
