// Package aperture tells which servers of a fleet a gateway should use, where
// there are so many gateways and servers that each gateway would meet each
// server too seldom to know it or to find its connection still open. All
// gateways work it out alike from their own number, without a word to each
// other, so that every server is used by about as many of them. No I/O, no clock.
package aperture

import (
	"cmp"
	"math"
	"slices"
)

// Node is a server: Key is the same at every gateway and has no meaning.
type Node struct {
	Key  uint64
	Zone string
}

// Ring returns items, each a node, in an order that is the same at every
// gateway. Zones take turns in it, so that any part of it in a row holds about
// as much of each zone as the whole does. One node more or less moves the
// others by at most a place or two.
func Ring[T any](items []T, node func(T) Node) []T {
	type place struct {
		item T
		Node
		rank float64 // in its zone
	}
	ring, size := make([]place, len(items)), map[string]float64{}
	for i, it := range items {
		ring[i] = place{item: it, Node: node(it)}
	}
	slices.SortFunc(ring, func(x, y place) int { return cmp.Compare(x.Key, y.Key) })
	for i, p := range ring {
		ring[i].rank = size[p.Zone] + 0.5
		size[p.Zone]++
	}
	slices.SortStableFunc(ring, func(x, y place) int {
		return cmp.Compare(x.rank/size[x.Zone], y.rank/size[y.Zone])
	})
	order := make([]T, len(ring))
	for i, p := range ring {
		order[i] = p.item
	}
	return order
}

// Start is where on a ring of length 1 a gateway's own part begins. Numbers that
// follow each other lie a golden section apart: any row of gateways, such as
// those that one customer's requests come in through, covers the ring evenly.
func StartOffset(gateway int) float64 {
	_, part := math.Modf(float64(gateway) * math.Phi)
	return part
}

// Cover is a gateway's part of a ring: what share of each node is its own, from 0
// to 1. Nodes take as much of the ring as they weigh; weight 0 is none. The part
// begins at the gateway's place, within a node if need be, and holds want of
// weight, of all that can be used. Parts that began and ended only between nodes
// would meet some by a gateway more than others: with a dozen gateways for a node
// that is a tenth of its load. What can't be used is made up for by the next.
func Cover(gateway int, weights []float64, usable func(i int) bool, want float64) []float64 {
	share, total := make([]float64, len(weights)), 0.0
	for _, w := range weights {
		total += w
	}
	if total <= 0 || want <= 0 {
		return share
	}
	at, first := StartOffset(gateway)*total, 0
	for first < len(weights)-1 && at >= weights[first] {
		at -= weights[first]
		first++
	}
	skip := min(at, weights[first]) // what of the first node lies before the part
	for n := range weights {
		i := (first + n) % len(weights)
		if w := weights[i]; w > 0 && usable(i) {
			take := min(w-skip, want)
			share[i] = take / w
			want -= take
		}
		skip = 0
	}
	if i := first; want > 1e-9 && weights[i] > 0 && usable(i) { // all the way round
		share[i] = min(1, share[i]+want/weights[i])
	}
	return share
}

// Part is a gateway's part of a ring as it was last worked out. Without news of its nodes it is worked
// out from the same weights again and again, at each beat of each service: what is the same is not redone.
type CachedCover struct {
	gateway       int
	want          float64
	weights, next []float64
	usable        []bool
	share         []float64
}

// Weights are n of no weight, for the caller to fill in and give to Cover.
func (p *CachedCover) Weights(n int) []float64 {
	p.next = slices.Grow(p.next[:0], n)[:n]
	clear(p.next)
	return p.next
}

// Cover is what the function of that name says of the weights that the caller has filled in. It is not to
// be changed, and good until the next call.
func (p *CachedCover) Cover(gateway int, usable func(i int) bool, want float64) []float64 {
	same := p.share != nil && gateway == p.gateway && want == p.want && slices.Equal(p.weights, p.next)
	for i := 0; same && i < len(p.next); i++ {
		same = usable(i) == p.usable[i]
	}
	if same {
		return p.share
	}
	p.gateway, p.want, p.usable = gateway, want, p.usable[:0]
	p.share = Cover(gateway, p.next, usable, want)
	for i := range p.next {
		p.usable = append(p.usable, usable(i))
	}
	p.weights, p.next = p.next, p.weights
	return p.share
}
