package registry

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// News goes to all by way of a few: the first of each group passes it on to the rest, and its
// Ack tells who has confirmed. So neither what a home sends nor the connections it has to make
// grow with the gateways but with their root; up to mostDirect, each is a group of one.
const (
	maxDirect       = 16
	relayAckTimeout = 40 * time.Millisecond // then a relay says whom it has heard so far
)

// passage is news that goes on: from whom, and its number there.
type relayKey struct {
	from   string
	number uint64
}

// relay is such news, while not all have confirmed it.
type relay struct {
	unconfirmed map[string]bool
	confirmed   []string
	since       fsm.Time
}

// grouped are the groups, neighbours by zone, each time with another relay.
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

// passOn is a relay's part.
func (m *Machine) forward(from string, x Update) {
	for _, a := range x.ForwardTo {
		on := Update{Number: x.Number, Rows: x.Rows}
		if x.Number != 0 {
			on.Origin = from
		}
		m.send(a, on)
	}
	if x.Number == 0 {
		return
	}
	r := &relay{unconfirmed: map[string]bool{}, since: m.now}
	for _, a := range x.ForwardTo {
		r.unconfirmed[a] = true
	}
	m.pendingRelays[relayKey{from, x.Number}] = r
}

// passBack takes an Ack that is for another.
func (m *Machine) forwardAck(from string, x Ack) {
	to := relayKey{x.Origin, x.Number}
	r := m.pendingRelays[to]
	switch {
	case r == nil || !r.unconfirmed[from]:
		m.send(x.Origin, Ack{Number: x.Number, Confirmer: from})
		return
	case len(r.unconfirmed) > 1:
		delete(r.unconfirmed, from)
		r.confirmed = append(r.confirmed, from)
		return
	}
	delete(m.pendingRelays, to)
	m.send(x.Origin, Ack{Number: x.Number, ConfirmedBy: append(r.confirmed, from)})
}

// relayed ends the wait of relays: what comes later is passed back by itself.
func (m *Machine) expireRelays() {
	var over []relayKey
	for to, r := range m.pendingRelays {
		if m.now-r.since >= relayAckTimeout {
			over = append(over, to)
		}
	}
	slices.SortFunc(over, func(a, b relayKey) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.number, b.number)) })
	for _, to := range over {
		m.send(to.from, Ack{Number: to.number, ConfirmedBy: m.pendingRelays[to].confirmed})
		delete(m.pendingRelays, to)
	}
}

// unused tells whether all know that a server leaves, by us: nobody sends to it any more.
func (m *Machine) quiesceConfirmed(id string) bool { return m.fullyConfirmed(id, Quiescing) }

// finished is the end of those that have waited for other news.
func (m *Machine) flushPendingEnds() {
	for _, id := range slices.Sorted(maps.Keys(m.pendingEnds)) {
		delete(m.pendingEnds, id)
		if it := m.items[id]; it != nil && it.Phase != Ended {
			m.endServer(id)
			if m.quiesceConfirmed(id) {
				m.propagations[id].phase = Ended // nothing waits for it
			}
		}
	}
}
