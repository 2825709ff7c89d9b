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
	mostDirect = 16
	relayFor   = 40 * time.Millisecond // then a relay says whom it has heard so far
)

// passage is news that goes on: from whom, and its number there.
type passage struct {
	from string
	no   uint64
}

// relay is such news, while not all have confirmed it.
type relay struct {
	left  map[string]bool
	by    []string
	since fsm.Time
}

// grouped are the groups, neighbours by zone, each time with another relay.
func (m *Machine) grouped() [][]string {
	n := len(m.peers)
	if m.groups == nil && n > 0 {
		size := 1
		if n > mostDirect {
			size = int(math.Ceil(float64(n) / max(mostDirect, math.Sqrt(float64(n)))))
		}
		all := slices.Clone(m.peers)
		slices.SortStableFunc(all, func(a, b string) int { return cmp.Compare(m.nodes[a].Zone, m.nodes[b].Zone) })
		m.groups = slices.Collect(slices.Chunk(all, size))
	}
	out := make([][]string, 0, len(m.groups))
	for _, g := range m.groups {
		first := m.rand.IntN(len(g))
		out = append(out, append(slices.Clone(g[first:]), g[:first]...))
	}
	return out
}

// passOn is a relay's part.
func (m *Machine) passOn(from string, x Update) {
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
	r := &relay{left: map[string]bool{}, since: m.now}
	for _, a := range x.ForwardTo {
		r.left[a] = true
	}
	m.relays[passage{from, x.Number}] = r
}

// passBack takes an Ack that is for another.
func (m *Machine) passBack(from string, x Ack) {
	to := passage{x.Origin, x.Number}
	r := m.relays[to]
	switch {
	case r == nil || !r.left[from]:
		m.send(x.Origin, Ack{Number: x.Number, Confirmer: from})
		return
	case len(r.left) > 1:
		delete(r.left, from)
		r.by = append(r.by, from)
		return
	}
	delete(m.relays, to)
	m.send(x.Origin, Ack{Number: x.Number, ConfirmedBy: append(r.by, from)})
}

// relayed ends the wait of relays: what comes later is passed back by itself.
func (m *Machine) relayed() {
	var over []passage
	for to, r := range m.relays {
		if m.now-r.since >= relayFor {
			over = append(over, to)
		}
	}
	slices.SortFunc(over, func(a, b passage) int { return cmp.Or(cmp.Compare(a.from, b.from), cmp.Compare(a.no, b.no)) })
	for _, to := range over {
		m.send(to.from, Ack{Number: to.no, ConfirmedBy: m.relays[to].by})
		delete(m.relays, to)
	}
}

// unused tells whether all know that a server leaves, by us: nobody sends to it any more.
func (m *Machine) unused(id string) bool { return m.settled(id, Quiescing) }

// finished is the end of those that have waited for other news.
func (m *Machine) finished() {
	for _, id := range slices.Sorted(maps.Keys(m.ending)) {
		delete(m.ending, id)
		if it := m.items[id]; it != nil && it.Phase != Ended {
			m.end(id)
			if m.unused(id) {
				m.spreads[id].phase = Ended // nothing waits for it
			}
		}
	}
}
