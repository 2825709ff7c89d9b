package controlplane

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/drainpermit"
	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
	"asterwell/internal/registry"
)

// contact is what this life of the process has of proofs that it was in touch with the core.
// A start proves nothing: what the disk holds may be old, and membership counts whoever
// answers. So a process calls itself ready only after a first proof, and with what was kept
// then. One that has had it goes on through a cut: it serves by what was in force.
type contact struct {
	at      fsm.Time            // the newest was asked for then; 0: there was none
	need    uint32              // what was kept at the first, at least
	asked   map[uint64]fsm.Time // calls under way
	own     uint64              // the last of our own, and whether it is under way
	waits   bool
	next    fsm.Time // when to ask again
	pause   time.Duration
	primary string // who was asked
}

// ownCalls are numbers of calls that no caller waits for.
const ownCalls = 1 << 63

const (
	proveAgain = 100 * time.Millisecond
	provePause = 2 * time.Second // at the longest: a core that is down is not stormed
)

// Bugs switches guards of the machines off, for tests.
type Bugs struct {
	Pact  consensus.Bug
	Bane  faultrules.Bug
	Lore  registry.Bug
	Cede  drainpermit.Bug
	Unmet bool // ready without contact
}

// Prove asks for a proof of contact with most of the core that is as young as the call. Its
// Reply is a consensus.Answer: Proved, or Busy.
func (k *Knot) Prove(now fsm.Time, call uint64) Out {
	k.contact.asked[call] = now
	k.agreed(now, k.pact.Prove(now, call))
	return k.end()
}

// Contact is how long ago there was contact for certain; false: not in this life.
func (k *Knot) Contact(now fsm.Time) (time.Duration, bool) {
	return now - k.contact.at, k.contact.at != 0
}

// met tells whether this life has been in touch, and holds what was kept then.
func (k *Knot) met() bool {
	held := uint32(0)
	if d := k.pact.Held(); d != nil {
		held = d.Version
	}
	return k.bugs.Unmet || k.contact.at != 0 && held >= k.contact.need
}

// meet asks until there is a first proof, at once where another leads.
func (k *Knot) meet(now fsm.Time) {
	c := &k.contact
	if p := k.pact.Primary(); p != c.primary {
		c.primary, c.next, c.pause = p, now, proveAgain
	}
	if c.at != 0 || c.waits || now < c.next {
		return
	}
	c.own, c.waits = c.own+1, true
	c.asked[ownCalls|c.own] = now
	k.agreed(now, k.pact.Prove(now, ownCalls|c.own))
}

// proof takes the answer of a call that may be one, and says whether a caller waits for it.
func (k *Knot) proof(now fsm.Time, a consensus.Answer) bool {
	c := &k.contact
	asked, ok := c.asked[a.ID]
	if !ok {
		return true
	}
	delete(c.asked, a.ID)
	if a.Verdict == consensus.Proved {
		if c.at == 0 {
			c.need = a.Version
		}
		c.at = max(c.at, asked)
	}
	if a.ID&ownCalls == 0 {
		return true
	}
	c.waits, c.next, c.pause = false, now+c.pause, min(max(2*c.pause, proveAgain), provePause)
	return false
}

// seats tells the list of servers who has a say in agreement.
func (k *Knot) seats() {
	b, set := k.pact.Seats()
	if b == k.seated && k.seatsTold {
		return
	}
	addrs := make([]string, 0, len(set))
	for _, s := range set {
		addrs = append(addrs, s.Addr)
	}
	k.seated, k.seatsTold = b, true
	k.lore.SetVoters(addrs)
}
