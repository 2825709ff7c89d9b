package policy

import (
	"fmt"
	"hash/maphash"
	"slices"
	"time"
)

// Bounds limits an exploration: the size of the model and the number of faults.
type Bounds struct {
	Members int // gateways
	Changes int // proposed one after another
	States  int // stop after this many states; 0: no limit
	Lost    int // messages lost, in total
	Doubled int // messages delivered twice, in total
	Deaths  int // restarts of gateways and replacements of the leader, in total
	Most    int // messages in flight; beyond that, time advances only after one is delivered or lost

	// Reads makes the voters' confirmation of a leader take time. Stalls is the number of
	// leaders that pause with an unread confirmation while another leader is elected.
	Reads  bool
	Stalls int
}

// Small has three members, two changes and one process restart.
var Small = Bounds{Members: 3, Changes: 2, Lost: 1, Doubled: 1, Deaths: 1, Most: 4}

const step = 10 * time.Millisecond

var modelTerms = Terms{Lease: 3 * step, Renew: step, CheckWithin: step, HoldWithin: step}

// Explore visits every state that the coordinator and the holders can reach within
// bounds. Messages may be reordered, delayed, duplicated or lost, time may pass at any
// point, and log entries may commit late or be lost with their leader. It returns the
// number of states, whether the search was exhaustive, and a description of the first
// state in which a gateway may decide by a version that is not in force ("": none).
func Explore(b Bounds) (states int, all bool, broken string) {
	e := &explorer{b: b, seen: map[uint64]struct{}{}, seed: maphash.MakeSeed()}
	s := &modelState{reg: NewRegister(), b: b}
	s.c = NewCoordinator(modelTerms, s.reg, 1, 0)
	s.now = modelTerms.leaseExpiry(0) // leases of an earlier leader have expired
	for i := range b.Members {
		s.join(i)
	}
	s.settle()
	e.addIfNew(s)
	for len(e.todo) > 0 && e.violation == "" && (b.States == 0 || len(e.seen) < b.States) {
		n := len(e.todo) - 1
		next := e.todo[n]
		e.todo[n] = nil
		e.todo = e.todo[:n]
		e.expand(next)
	}
	return len(e.seen), len(e.todo) == 0, e.violation
}

// explorer is a depth-first search over model states.
type explorer struct {
	b         Bounds
	seen      map[uint64]struct{}
	seed      maphash.Seed
	violation string
	todo      []*modelState

	text        []byte // buffer of hash, reused
	messageKeys [][8]int64
}

// modelState is one state of the model.
type modelState struct {
	b                   Bounds
	now                 time.Duration
	steps               int
	reg                 *Register
	c                   *Coordinator
	holders             []*Holder
	ids                 []uint64
	incarnations        uint64
	inFlight            []message
	entries             []Command    // proposed but not yet committed
	confirmationPending bool         // the voters have not yet confirmed the leader
	stalled             *Coordinator // a replaced leader that is paused with an unread confirmation
}

// message is a message in flight.
type message struct {
	member int
	id     uint64
	renew  *Renew // to the leader
	grant  *Grant // from it
}

func (s *modelState) join(i int) {
	s.incarnations++
	h := NewHolder(modelTerms, string(rune('a'+i)), "", "")
	if i == len(s.holders) {
		s.holders, s.ids = append(s.holders, h), append(s.ids, s.incarnations)
	} else {
		s.holders[i], s.ids[i] = h, s.incarnations
	}
}

func (s *modelState) clone() *modelState {
	n := *s
	reg := *s.reg
	reg.Changes = slices.Clone(s.reg.Changes)
	n.reg = &reg
	n.c = s.c.clone(n.reg)
	if s.stalled != nil {
		n.stalled = s.stalled.clone(s.stalled.reg) // a paused leader's register doesn't advance
	}
	n.holders = nil
	for _, h := range s.holders {
		x := *h
		n.holders = append(n.holders, &x)
	}
	n.ids, n.inFlight, n.entries = slices.Clone(s.ids), slices.Clone(s.inFlight), slices.Clone(s.entries)
	return &n
}

func (c *Coordinator) clone(reg *Register) *Coordinator {
	n := *c
	n.reg, n.members, n.confirming, n.unconfirmed, n.order = reg, map[uint64]*member{}, slices.Clone(c.confirming), slices.Clone(c.unconfirmed), slices.Clone(c.order)
	for id, m := range c.members {
		x := *m
		n.members[id] = &x
	}
	return &n
}

// stall pauses the leader and elects another.
func (s *modelState) stall() {
	s.b.Stalls--
	reg := *s.reg
	reg.Changes = slices.Clone(s.reg.Changes)
	s.stalled, s.confirmationPending = s.c.clone(&reg), false
	s.entries = nil
	s.c = NewCoordinator(modelTerms, s.reg, s.c.term+1, s.now)
}

// wake lets the paused leader read its confirmation. Its proposals are dropped.
func (s *modelState) wake() {
	s.stalled.Confirmed(s.now)
	s.enqueueGrants(s.stalled.Out())
	s.stalled = nil
}

func (s *modelState) enqueueGrants(o Out) {
	for _, g := range o.Grants {
		if i := slices.Index(s.ids, g.To); i >= 0 {
			s.inFlight = append(s.inFlight, message{member: i, id: g.To, grant: &g.Grant})
		}
	}
}

// settle carries out the coordinator's actions and proposes the next change.
func (s *modelState) settle() {
	for again := true; again; {
		if s.steps > 0 && s.reg.Pending() == nil && len(s.reg.Changes) < s.b.Changes && len(s.entries) == 0 {
			s.reg.Apply(Command{Kind: Propose, ID: uint64(len(s.reg.Changes) + 1), Base: s.reg.Version, Text: []byte("{}")})
			s.c.Applied(s.now)
		}
		o := s.c.Out()
		s.entries = append(s.entries, o.Propose...)
		if s.confirmationPending = s.confirmationPending || o.Read && s.b.Reads; o.Read && !s.b.Reads {
			again = true
			s.c.Confirmed(s.now)
		} else {
			again = false
		}
		s.enqueueGrants(o)
	}
}

// sendRenewal sends a gateway's renewal if one is due.
func (s *modelState) sendRenewal(i int) {
	if r := s.holders[i].Tick(s.now); r != nil {
		s.inFlight = append(s.inFlight, message{member: i, id: s.ids[i], renew: r})
	}
}

func (s *modelState) deliver(l message) {
	if l.id != s.ids[l.member] && l.renew == nil {
		return // the addressed process has been replaced
	}
	if l.renew != nil {
		s.c.Renew(s.now, l.id, *l.renew)
		return
	}
	h := s.holders[l.member]
	if w := h.Grant(s.now, *l.grant); w.Check {
		h.Checked(l.grant.Change, l.grant.Next, "")
	}
	s.sendRenewal(l.member)
}

// hash covers only what can affect later behaviour. Times are relative to now, and
// sequence numbers and rounds relative to the latest, so that the same situation at a
// later time is the same state.
func (e *explorer) hash(s *modelState) uint64 {
	h := e.text[:0]
	num := func(all ...int64) {
		for _, x := range all {
			h = append(h, byte(x), byte(x>>8))
		}
	}
	flag := func(x bool) int64 {
		if x {
			return 1
		}
		return 0
	}
	since := func(t time.Duration, most int64) int64 { return min(int64((s.now-t)/step), most) } // older times make no difference
	left := func(t time.Duration) int64 { return max(int64((t-s.now+step-1)/step), 0) }
	memberKey := func(id uint64) int64 { // live gateways by their index, replaced ones above
		if i := slices.Index(s.ids, id); i >= 0 {
			return int64(i)
		}
		return 100 + int64(id)
	}
	c := s.c
	round := func(r uint64) int64 {
		if r == 0 || r > c.round || c.round-r > 3 {
			return 9
		}
		return int64(c.round - r)
	}
	// Of a gateway's sequence numbers, only the order of those still referenced matters.
	ranks := make([][]uint64, len(s.holders))
	for i, x := range s.holders {
		ranks[i] = append(ranks[i], x.seq, x.minSeq)
		for _, c := range []*Coordinator{c, s.stalled} {
			if c == nil {
				continue
			}
			if m := c.members[s.ids[i]]; m != nil {
				ranks[i] = append(ranks[i], m.Seq)
			}
			for _, r := range c.confirming {
				if r.id == s.ids[i] {
					ranks[i] = append(ranks[i], r.seq)
				}
			}
		}
	}
	for _, l := range s.inFlight {
		if i := slices.Index(s.ids, l.id); i >= 0 && l.renew != nil {
			ranks[i] = append(ranks[i], l.renew.Seq)
		} else if i >= 0 {
			ranks[i] = append(ranks[i], l.grant.Seq)
		}
	}
	for i := range ranks {
		slices.Sort(ranks[i])
		ranks[i] = slices.Compact(ranks[i])
	}
	rank := func(i int, seq uint64) int64 { return int64(slices.Index(ranks[i], seq)) }
	num(int64(s.b.Lost), int64(s.b.Doubled), int64(s.b.Deaths), s.reg.Version, int64(s.reg.Under), int64(len(s.reg.Changes)), int64(len(s.entries)), flag(s.steps > 0))
	hashCoordinator := func(c *Coordinator) {
		num(int64(c.term), left(c.terms.leaseExpiry(c.leadingSince)), int64(c.stage), int64(c.change), since(c.stageSince, 2)*flag(c.stage == Holding), left(c.retryAfter), int64(min(c.holdAttempts, 1)))
		c.forEachMember(func(id uint64, m *member) {
			i := slices.Index(s.ids, id)
			if i < 0 && m.leaseUntil <= s.now {
				return // replaced and without a lease: has no effect
			}
			seq, sent, reads := int64(0), int64(0), int64(-9)
			if i >= 0 {
				seq, sent = rank(i, m.Seq), since(s.holders[i].sentAt[m.Seq%16], 3)*flag(m.awaitsAnswer)
				for _, r := range c.confirming {
					if r.id == id {
						reads = rank(i, r.seq)
					}
				}
			}
			num(memberKey(id), seq, sent, reads, m.Version, int64(m.Checked), round(m.Held), left(m.leaseUntil), flag(m.awaitsAnswer), flag(m.notifiedAt == 0), since(m.notifiedAt, 2)*flag(m.Checked != c.change), flag(m.fenced), flag(slices.Contains(c.unconfirmed, id)))
		})
	}
	num(flag(s.confirmationPending), flag(s.stalled != nil), int64(s.b.Stalls))
	if hashCoordinator(c); s.stalled != nil {
		hashCoordinator(s.stalled)
	}
	for i, x := range s.holders {
		num(x.version, since(x.lastCallAt, 1), rank(i, x.seq), rank(i, x.minSeq), flag(x.awaitsAnswer), flag(x.urgent), int64(x.checked), round(x.heldRound), x.lease.Version*flag(x.lease.Until > s.now), left(x.lease.Until))
	}
	messageKeys := e.messageKeys[:0]
	for _, l := range s.inFlight {
		var t [8]int64
		i := slices.Index(s.ids, l.id)
		t[0] = memberKey(l.id)
		rel := func(seq uint64) int64 {
			if seq == 0 || i < 0 {
				return -9
			}
			return rank(i, seq)
		}
		if r := l.renew; r != nil {
			t[1], t[2], t[3], t[4] = rel(r.Seq), int64(r.Checked), round(r.Held), r.Version
			if i >= 0 {
				t[5] = since(s.holders[i].sentAt[r.Seq%16], 3)
			}
		} else if g := l.grant; g != nil {
			t[7] = 1
			t[1], t[2], t[3], t[4], t[5] = rel(g.Seq), int64(g.Change), round(g.Hold), g.Version, flag(g.Text != nil)+2*flag(g.Made != 0)
			if t[6] = -9; g.Lease > 0 && i >= 0 {
				t[6] = left(s.holders[i].sentAt[g.Seq%16] + g.Lease)
			}
		}
		messageKeys = append(messageKeys, t)
	}
	slices.SortFunc(messageKeys, func(x, y [8]int64) int { return slices.Compare(x[:], y[:]) })
	for _, l := range messageKeys {
		num(l[:]...)
	}
	e.text, e.messageKeys = h, messageKeys
	return maphash.Bytes(e.seed, h)
}

// addIfNew checks a state that has not been seen and queues it.
func (e *explorer) addIfNew(s *modelState) {
	key := e.hash(s)
	if _, ok := e.seen[key]; ok {
		return
	}
	e.seen[key] = struct{}{}
	for i, h := range s.holders {
		if h.lease.Until > s.now && h.lease.Version != s.reg.Version {
			e.violation = fmt.Sprintf("after %v %c may decide by version %d, %d is in force", s.now, 'a'+i, h.lease.Version, s.reg.Version)
			return
		}
	}
	e.todo = append(e.todo, s)
}

// expand queues all successors of a state.
func (e *explorer) expand(s *modelState) {
	try := func(do func(n *modelState)) {
		n := s.clone()
		do(n)
		n.settle()
		e.addIfNew(n)
	}
	for i, l := range s.inFlight {
		if slices.IndexFunc(s.inFlight, func(x message) bool { return x == l }) < i {
			continue
		}
		try(func(n *modelState) { n.inFlight = slices.Delete(n.inFlight, i, i+1); n.deliver(l) })
		if s.stalled != nil && l.renew != nil { // it may reach the paused leader, which reads it before the confirmation
			try(func(n *modelState) {
				n.inFlight = slices.Delete(n.inFlight, i, i+1)
				n.stalled.Renew(n.now, l.id, *l.renew)
			})
		}
		if s.b.Lost > 0 {
			try(func(n *modelState) { n.b.Lost--; n.inFlight = slices.Delete(n.inFlight, i, i+1) })
		}
		if s.b.Doubled > 0 {
			try(func(n *modelState) { n.b.Doubled--; n.deliver(l) })
		}
	}
	if s.confirmationPending {
		try(func(n *modelState) { n.confirmationPending = false; n.c.Confirmed(n.now) })
	}
	if s.confirmationPending && s.b.Stalls > 0 && s.stalled == nil {
		try((*modelState).stall)
	}
	if s.stalled != nil {
		try((*modelState).wake)
	}
	if len(s.entries) > 0 {
		try(func(n *modelState) {
			n.reg.Apply(n.entries[0])
			n.entries = n.entries[1:]
			n.c.Applied(n.now)
		})
	}
	if len(s.inFlight) <= e.b.Most {
		try(func(n *modelState) {
			n.now += step
			n.steps++
			for i := range n.holders {
				n.sendRenewal(i)
			}
			n.c.Tick(n.now)
		})
	}
	if s.b.Deaths > 0 {
		for i := range s.holders {
			try(func(n *modelState) { n.b.Deaths--; n.join(i); n.sendRenewal(i) })
		}
		try(func(n *modelState) {
			n.b.Deaths--
			n.entries = nil // lost with the replaced leader
			n.c, n.confirmationPending = NewCoordinator(modelTerms, n.reg, n.c.term+1, n.now), false
		})
	}
}
