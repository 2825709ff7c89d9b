package routing

import (
	"time"

	"asterwell/choice"
)

// untilLease is when a client should come back to a gateway that may decide nothing.
const untilLease = time.Second

// Look tells that the gate may have changed.
func (c *Core) RecheckGate() { c.box.Put(looked{}) }

type looked struct{}

func (looked) apply(c *Core, now time.Duration) { c.look(now) }

// Adopt takes over a policy: what comes from now on goes by it, what is open keeps
// its rules. The settings have been checked.
func (c *Core) ApplyPolicy(version int64, set choice.Settings) { c.box.Put(adopted{version, set}) }

type adopted struct {
	version int64
	set     choice.Settings
}

func (m adopted) apply(c *Core, now time.Duration) {
	c.bal.ApplyPolicy(now, m.version, m.set)
	if c.version = m.version; c.hands.PolicyApplied != nil {
		c.hands.PolicyApplied(m.set)
	}
	c.look(now)
}

// pass lets a request through the gate, lets it wait, or refuses it.
func (c *Core) pass(now time.Duration, r *Request) bool {
	version, ok, soon := c.hands.Gate.Version(c.now)
	if ok && version == c.version {
		return true
	}
	if (soon || ok) && c.hands.MaxGateWait > 0 { // a turn is under way, or the module is just being told
		c.stats.WaitedAtGate++
		c.waiting = append(c.waiting, r.id)
		c.after(max(0, min(c.hands.MaxGateWait, r.Deadline-now)), timer{kind: gateTimer})
		return false
	}
	c.unleased(r.id)
	return false
}

// look decides what waits at the gate, once it is open; what has waited its time is
// refused.
func (c *Core) look(now time.Duration) {
	if len(c.waiting) == 0 {
		return
	}
	version, ok, soon := c.hands.Gate.Version(c.now)
	ready := c.waiting
	c.waiting = nil
	for _, id := range ready {
		o := c.open[id]
		switch {
		case o == nil || o.answered:
		case ok && version == c.version:
			c.decide(now, o.req)
		case (soon || ok) && now < min(o.came+c.hands.MaxGateWait, o.req.Deadline):
			c.waiting = append(c.waiting, id)
		default:
			c.unleased(id)
		}
	}
}

// unleased refuses a request by no policy at all.
func (c *Core) unleased(id uint32) {
	c.stats.RefusedUnleased++
	if r := c.final(id); r != nil {
		c.stats.Refused++
		r.Refused(untilLease, NotExecuted) // no fault of the customer's
	}
}
