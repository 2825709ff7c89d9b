package controlplane

import (
	"fmt"
	"hash/fnv"
	"time"

	"asterwell/internal/drainpermit"
	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// Drain takes an operator's call that clients go elsewhere, or come again, to be answered within
// a time by a drainpermit.Answer.
func (k *Knot) Drain(now fsm.Time, call uint64, op drainpermit.Op, within time.Duration) Out {
	k.cede.SetReady(k.fit(), k.leaving)
	k.ceded(k.cede.Call(now, call, op, within))
	return k.end()
}

// Draining tells whether clients should go elsewhere.
func (k *Knot) Draining() bool { return k.cede.Draining() }

// fit tells whether requests can be served here, whether clients are wanted or not.
func (k *Knot) fit() bool {
	return !k.leaving && k.version > 0 && k.lore.Complete() && k.met()
}

// peers tells whom a drain may count on. One that was seen lately and is not may be on the other
// side of a cut, or has not been seen again yet: nothing is refused for good for want of it.
func (k *Knot) peers(view []memberlist.Node) {
	var up []drainpermit.Peer
	missing := false
	for _, n := range view {
		missing = missing || n.State == memberlist.Gone
		if n.State == memberlist.Up && n.Addr != k.self {
			up = append(up, drainpermit.Peer{Addr: n.Addr, Ready: n.Ready})
		}
	}
	k.cede.SetPeers(up, missing)
}

// ceded carries out what drains want.
func (k *Knot) ceded(out drainpermit.Out) {
	for _, s := range out.Send {
		w := s.Msg.(drainpermit.Message)
		k.send([]fsm.Send{{To: s.To, Msg: Via{From: k.self, To: s.To, Drain: &w}}})
	}
	for _, r := range out.Replies {
		k.out.Replies = append(k.out.Replies, Reply{r.Call, r.Answer})
	}
	k.out.Drains = k.out.Drains || out.DrainingChanged
}

// cedeSalt is a number that no other start has.
func cedeSalt(c Config) uint64 {
	h := fnv.New64a()
	fmt.Fprint(h, c.Self, " ", c.Seed, " ", c.Life)
	return h.Sum64()
}
