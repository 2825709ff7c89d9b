package routing

import (
	"time"

	"asterwell/choice"
)

// untilLease is when a client should come back to a gateway that may decide nothing.
const leaseRetryAfter = time.Second

// Look tells that the gate may have changed.
func (c *Core) RecheckGate() { c.inbox.Put(gateChanged{}) }

type gateChanged struct{}

func (gateChanged) apply(c *Core, now time.Duration) { c.recheckGate(now) }

// Adopt takes over a policy: what comes from now on goes by it, what is open keeps
// its rules. The settings have been checked.
func (c *Core) ApplyPolicy(version int64, set choice.Settings) {
	c.inbox.Put(policyReceived{version, set})
}

type policyReceived struct {
	version int64
	set     choice.Settings
}

func (m policyReceived) apply(c *Core, now time.Duration) {
	c.balancer.ApplyPolicy(now, m.version, m.set)
	if c.policyVersion = m.version; c.deps.PolicyApplied != nil {
		c.deps.PolicyApplied(m.set)
	}
	c.recheckGate(now)
}

// pass lets a request through the gate, lets it wait, or refuses it.
func (c *Core) passGate(now time.Duration, r *Request) bool {
	version, ok, soon := c.deps.Gate.Version(c.now)
	if ok && version == c.policyVersion {
		return true
	}
	if (soon || ok) && c.deps.MaxGateWait > 0 { // a turn is under way, or the module is just being told
		c.stats.WaitedAtGate++
		c.gateQueue = append(c.gateQueue, r.id)
		c.schedule(max(0, min(c.deps.MaxGateWait, r.Deadline-now)), timer{kind: gateTimer})
		return false
	}
	c.refuseUnleased(r.id)
	return false
}

// look decides what waits at the gate, once it is open; what has waited its time is
// refused.
func (c *Core) recheckGate(now time.Duration) {
	if len(c.gateQueue) == 0 {
		return
	}
	version, ok, soon := c.deps.Gate.Version(c.now)
	ready := c.gateQueue
	c.gateQueue = nil
	for _, id := range ready {
		o := c.requests[id]
		switch {
		case o == nil || o.answered:
		case ok && version == c.policyVersion:
			c.decide(now, o.req)
		case (soon || ok) && now < min(o.arrivedAt+c.deps.MaxGateWait, o.req.Deadline):
			c.gateQueue = append(c.gateQueue, id)
		default:
			c.refuseUnleased(id)
		}
	}
}

// unleased refuses a request by no policy at all.
func (c *Core) refuseUnleased(id uint32) {
	c.stats.RefusedUnleased++
	if r := c.takeReply(id); r != nil {
		c.stats.Refused++
		r.Refused(leaseRetryAfter, NotExecuted) // no fault of the customer's
	}
}
