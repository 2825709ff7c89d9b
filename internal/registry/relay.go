package registry

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Updates reach all processes through relays: the first process of each group forwards them to the
// rest, and its Ack lists who has confirmed. So the traffic and connections of a home grow with the
// square root of the number of processes. Up to maxDirect processes, each is a group of its own.
const (
	maxDirect       = 16
	relayAckTimeout = 40 * time.Millisecond // then a relay reports the confirmations that it has
)

// relayKey identifies a forwarded update by its sender and its number there.
type relayKey struct {
	from   string
	number uint64
}

// relay is a forwarded update that not all have confirmed.
type relay struct {
	unconfirmed map[string]bool
	confirmed   []string
	since       fsm.Time
}

// relayRoutes returns the groups, which are formed by zone, each with another first member at each
// call.
func (m *Machine) relayRoutes() [][]string {
	n := len(m.peers)
	if m.relayGroups == nil && n > 0 {
		size := 1
		if n > maxDirect {
			size = int(math.Ceil(float64(n) / max(maxDirect, math.Sqrt(float64(n)))))
		}
		all := slices.Clone(m.peers)
		slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(m.nodes[a].Zone, m.nodes[b].Zone) })
		m.relayGroups = slices.Collect(slices.Chunk(all, size))
	}
	out := make([][]string, 0, len(m.relayGroups))
	for _, g := range m.relayGroups {
		first := m.rand.IntN(len(g))
		out = append(out, append(slices.Clone(g[first:]), g[:first]...))
	}
	return out
}

// forward forwards an update as a relay.
func (m *Machine) forward(from string, x Update) {
	for _, a := range x.ForwardTo {
		forwarded := Update{Number: x.Number, Rows: x.Rows}
		if x.Number != 0 {
			forwarded.Origin = from
		}
		m.send(a, forwarded)
	}
	if x.Number == 0 {
		return
	}
	r := &relay{unconfirmed: map[string]bool{}, since: m.now}
	for _, a := range x.ForwardTo {
		r.unconfirmed[a] = true
	}
	r.unconfirmed[m.self] = true
	m.pendingRelays[relayKey{from, x.Number}] = r
	m.confirmWhenStored(x.Rows, deferredAck{to: from, relay: true, ack: Ack{Number: x.Number, Origin: from}})
}

// forwardAck handles an Ack that is for another process.
func (m *Machine) forwardAck(from string, x Ack) {
	key := relayKey{x.Origin, x.Number}
	r := m.pendingRelays[key]
	switch {
	case r == nil || !r.unconfirmed[from]:
		m.send(x.Origin, Ack{Number: x.Number, Confirmer: from})
		return
	}
	delete(r.unconfirmed, from)
	if from != m.self {
		r.confirmed = append(r.confirmed, from)
	}
	if len(r.unconfirmed) == 0 {
		delete(m.pendingRelays, key)
		m.send(x.Origin, Ack{Number: x.Number, ConfirmedBy: r.confirmed})
	}
}

// expireRelays ends the wait of relays; later Acks are forwarded one by one.
func (m *Machine) expireRelays() {
	var expired []relayKey
	for key, r := range m.pendingRelays {
		if m.now-r.since >= relayAckTimeout {
			expired = append(expired, key)
		}
	}
	slices.SortFunc(expired, func(a, b relayKey) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.number, b.number)) })
	for _, key := range expired {
		r := m.pendingRelays[key]
		delete(m.pendingRelays, key)
		if !r.unconfirmed[m.self] {
			m.send(key.from, Ack{Number: key.number, ConfirmedBy: r.confirmed})
			continue
		}
		for _, a := range r.confirmed { // an Ack with ConfirmedBy would confirm for this process, too
			m.send(key.from, Ack{Number: key.number, Confirmer: a})
		}
	}
}

// quiesceConfirmed reports whether all have confirmed to this process that a server leaves, so that
// none sends requests to it any more.
func (m *Machine) quiesceConfirmed(id string) bool { return m.fullyConfirmed(id, Quiescing) }

// flushPendingEnds ends the servers whose end waited for another update.
func (m *Machine) flushPendingEnds() {
	for _, id := range slices.Sorted(maps.Keys(m.pendingEnds)) {
		delete(m.pendingEnds, id)
		if it := m.items[id]; it != nil && it.Phase != Ended {
			m.endServer(id)
			if m.quiesceConfirmed(id) {
				m.propagations[id].phase = Ended // no call waits for it
			}
		}
	}
}
