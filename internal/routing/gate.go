package routing

import (
	"time"

	"asterwell/choice"
)

// leaseRetryAfter is what clients are told by a gateway without a lease on the policy.
const leaseRetryAfter = time.Second

// RecheckGate tells the core that the gate's answer may have changed.
func (c *Core) RecheckGate() { c.inbox.Put(gateChanged{}) }

type gateChanged struct{}

func (gateChanged) apply(c *Core, now time.Duration) { c.recheckGate(now) }

// ApplyPolicy puts a policy in force for new requests. Open requests keep their rules.
// The settings must be valid.
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

// passGate reports whether a request may be decided now. If not, it queues or refuses it.
func (c *Core) passGate(now time.Duration, r *Request) bool {
	version, ok, soon := c.deps.Gate.Version(c.now)
	if ok && version == c.policyVersion {
		return true
	}
	if (soon || ok) && c.deps.MaxGateWait > 0 { // the policy is being replaced, or not yet in the balancer
		c.stats.WaitedAtGate++
		c.gateQueue = append(c.gateQueue, r.id)
		c.schedule(max(0, min(c.deps.MaxGateWait, r.Deadline-now)), timer{kind: gateTimer})
		return false
	}
	c.refuseUnleased(r.id)
	return false
}

// recheckGate decides the queued requests if the gate is open, and refuses those that
// have waited too long.
func (c *Core) recheckGate(now time.Duration) {
	if len(c.gateQueue) == 0 {
		return
	}
	version, ok, soon := c.deps.Gate.Version(c.now)
	queued := c.gateQueue
	c.gateQueue = nil
	for _, id := range queued {
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

// refuseUnleased refuses a request because no policy is in force.
func (c *Core) refuseUnleased(id uint32) {
	c.stats.RefusedUnleased++
	if r := c.takeReply(id); r != nil {
		c.stats.Refused++
		r.Refused(leaseRetryAfter, NotExecuted) // a server-side fault, not an exceeded quota
	}
}
