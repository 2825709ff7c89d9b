package controlplane

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/drainpermit"
	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
	"asterwell/internal/registry"
)

// contact records the proofs that this process has been in contact with a majority of the core since its
// start. A start proves nothing: the state on disk may be old, and membership counts any node that
// answers. So a process reports ready only after its first proof, and once it holds the configuration that
// was current then. A process that has had a proof continues to serve its configuration through a
// partition.
type contact struct {
	provenAt        fsm.Time            // when the newest proof was requested; 0: there is none yet
	requiredVersion uint32              // version of the configuration at the first proof
	askedAt         map[uint64]fsm.Time // when each pending call was made
	lastOwnCall     uint64              // the last internal call, and whether it is pending
	pending         bool
	nextAttempt     fsm.Time // earliest time of the next attempt
	retryPause      time.Duration
	primary         string // the primary at the last attempt
}

// ownCallFlag marks the IDs of internal calls, which no client waits for.
const ownCallFlag = 1 << 63

const (
	minProvePause = 100 * time.Millisecond
	maxProvePause = 2 * time.Second // upper bound of the backoff, so that a failed core isn't flooded
)

// Bugs disables safeguards of the machines, for tests.
type Bugs struct {
	Consensus           consensus.Bug
	FaultRules          faultrules.Bug
	Registry            registry.Bug
	Drain               drainpermit.Bug
	ReadyWithoutContact bool // report ready without contact with the core
}

// ProveContact requests a proof of contact with a majority of the core that is no older than the call. Its
// Reply is a consensus.Answer: ResultContact or ResultBusy.
func (m *Machine) ProveContact(now fsm.Time, call uint64) Output {
	m.contact.askedAt[call] = now
	m.applyConsensus(now, m.consensus.CheckContact(now, call))
	return m.takeOutput()
}

// LastContact returns the time since the last proven contact; false: none since the start.
func (m *Machine) LastContact(now fsm.Time) (time.Duration, bool) {
	return now - m.contact.provenAt, m.contact.provenAt != 0
}

// hasContact reports whether this process has been in contact since its start, and holds at least the
// configuration that was current then.
func (m *Machine) hasContact() bool {
	held := uint32(0)
	if d := m.consensus.Committed(); d != nil {
		held = d.Version
	}
	return m.bugs.ReadyWithoutContact || m.contact.provenAt != 0 && held >= m.contact.requiredVersion
}

// seekContact requests a proof until there is a first one, at once when the primary changes.
func (m *Machine) seekContact(now fsm.Time) {
	c := &m.contact
	if primary := m.consensus.Primary(); primary != c.primary {
		c.primary, c.nextAttempt, c.retryPause = primary, now, minProvePause
	}
	if c.provenAt != 0 || c.pending || now < c.nextAttempt {
		return
	}
	c.lastOwnCall, c.pending = c.lastOwnCall+1, true
	c.askedAt[ownCallFlag|c.lastOwnCall] = now
	m.applyConsensus(now, m.consensus.CheckContact(now, ownCallFlag|c.lastOwnCall))
}

// takeProof records the answer if it belongs to a contact proof. It reports whether a client waits for the
// answer.
func (m *Machine) takeProof(now fsm.Time, answer consensus.Answer) bool {
	c := &m.contact
	askedAt, ok := c.askedAt[answer.ID]
	if !ok {
		return true
	}
	delete(c.askedAt, answer.ID)
	if answer.Result == consensus.ResultContact {
		if c.provenAt == 0 {
			c.requiredVersion = answer.Version
		}
		c.provenAt = max(c.provenAt, askedAt)
	}
	if answer.ID&ownCallFlag == 0 {
		return true
	}
	c.pending, c.nextAttempt, c.retryPause = false, now+c.retryPause, min(max(2*c.retryPause, minProvePause), maxProvePause)
	return false
}

// updateCore tells the registry which processes are members of the core.
func (m *Machine) updateCore() {
	ballot, members := m.consensus.Members()
	if ballot == m.coreBallot && m.coreKnown {
		return
	}
	addrs := make([]string, 0, len(members))
	for _, s := range members {
		addrs = append(addrs, s.Addr)
	}
	m.coreBallot, m.coreKnown = ballot, true
	m.registry.SetVoters(addrs)
}
