package controlplane

import (
	"fmt"
	"hash/fnv"
	"time"

	"asterwell/internal/drainpermit"
	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// Drain handles an operator's call that starts or stops a drain. It is answered by a drainpermit.Answer
// within the given time.
func (m *Machine) Drain(now fsm.Time, call uint64, op drainpermit.Op, within time.Duration) Output {
	m.drain.SetReady(m.servable(), m.leaving)
	m.applyDrain(m.drain.Call(now, call, op, within))
	return m.takeOutput()
}

// Draining reports whether clients should use other gateways.
func (m *Machine) Draining() bool { return m.drain.Draining() }

// servable reports whether requests can be served here, regardless of a drain.
func (m *Machine) servable() bool {
	return !m.leaving && m.version > 0 && m.registry.Complete() && m.hasContact()
}

// updateDrainPeers tells the drain permit which gateways could take over. A node that was seen lately and
// is missing now may be on the other side of a partition, or not be rediscovered yet; so a drain isn't
// refused for good while nodes are missing.
func (m *Machine) updateDrainPeers(view []memberlist.Node) {
	var up []drainpermit.Peer
	missing := false
	for _, n := range view {
		missing = missing || n.State == memberlist.Gone
		if n.State == memberlist.Up && n.Addr != m.self {
			up = append(up, drainpermit.Peer{Addr: n.Addr, Ready: n.Ready})
		}
	}
	m.drain.SetPeers(up, missing)
}

// applyDrain carries out the output of the drain permit.
func (m *Machine) applyDrain(out drainpermit.Out) {
	for _, s := range out.Send {
		message := s.Msg.(drainpermit.Message)
		m.send([]fsm.Send{{To: s.To, Msg: Relay{From: m.self, To: s.To, Drain: &message}}})
	}
	for _, r := range out.Replies {
		m.out.Replies = append(m.out.Replies, Reply{r.Call, r.Answer})
	}
	m.out.DrainChanged = m.out.DrainChanged || out.DrainingChanged
}

// startID returns a number that identifies this start of the process.
func startID(c Config) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, c.Self, " ", c.Seed, " ", c.Incarnation)
	return h.Sum64()
}
