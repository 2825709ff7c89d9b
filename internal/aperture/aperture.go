// Package aperture selects the servers that a gateway should use, for systems with
// so many gateways and servers that each gateway would use each server too rarely to
// have statistics of it or an open connection. Each gateway computes its part from
// its index alone, without communication, so that all servers are used by about the
// same number of gateways. No I/O, no clock.
package aperture

import (
	"cmp"
	"math"
	"slices"
)

// Node is a server. Key is the same at every gateway; its value has no meaning.
type Node struct {
	Key  uint64
	Zone string
}

// Ring returns the items in an order that is the same at every gateway. Zones are
// interleaved, so that any contiguous part has about the same zone proportions as the
// whole. Adding or removing a node moves the others by at most a place or two.
func Ring[T any](items []T, node func(T) Node) []T {
	type place struct {
		item T
		Node
		rank float64 // within its zone
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

// StartOffset is where a gateway's part begins on a ring of length 1. Consecutive
// gateways are a golden section apart, so that any range of gateways, such as those
// that one customer's requests arrive at, covers the ring evenly.
func StartOffset(gateway int) float64 {
	_, part := math.Modf(float64(gateway) * math.Phi)
	return part
}

// Cover returns the share of each node, from 0 to 1, that belongs to a gateway's part
// of a ring. Nodes take space on the ring by weight. The part begins at the gateway's
// offset, possibly within a node, and covers a weight of wanted among usable nodes;
// unusable ones are replaced by the next. If parts began and ended only between nodes,
// some nodes would be used by one gateway more than others: with a dozen gateways for
// each node, that is a tenth of its load.
func Cover(gateway int, weights []float64, usable func(i int) bool, wanted float64) []float64 {
	share, total := make([]float64, len(weights)), 0.0
	for _, w := range weights {
		total += w
	}
	if total <= 0 || wanted <= 0 {
		return share
	}
	offset, first := StartOffset(gateway)*total, 0
	for first < len(weights)-1 && offset >= weights[first] {
		offset -= weights[first]
		first++
	}
	skipped := min(offset, weights[first]) // weight of the first node before the part
	for n := range weights {
		i := (first + n) % len(weights)
		if w := weights[i]; w > 0 && usable(i) {
			take := min(w-skipped, wanted)
			share[i] = take / w
			wanted -= take
		}
		skipped = 0
	}
	if i := first; wanted > 1e-9 && weights[i] > 0 && usable(i) { // wrapped around the whole ring
		share[i] = min(1, share[i]+wanted/weights[i])
	}
	return share
}

// CachedCover computes Cover and keeps the last result. Housekeeping of each service asks again and again
// for the same weights, and then gets the cached result.
type CachedCover struct {
	gateway       int
	wanted        float64
	weights, next []float64
	usable        []bool
	share         []float64
}

// Weights returns n zero weights that the caller fills in before calling Cover.
func (p *CachedCover) Weights(n int) []float64 {
	p.next = slices.Grow(p.next[:0], n)[:n]
	clear(p.next)
	return p.next
}

// Cover returns what the function Cover does for the weights that the caller has filled in. The result must
// not be modified and is valid until the next call.
func (p *CachedCover) Cover(gateway int, usable func(i int) bool, wanted float64) []float64 {
	same := p.share != nil && gateway == p.gateway && wanted == p.wanted && slices.Equal(p.weights, p.next)
	for i := 0; same && i < len(p.next); i++ {
		same = usable(i) == p.usable[i]
	}
	if same {
		return p.share
	}
	p.gateway, p.wanted, p.usable = gateway, wanted, p.usable[:0]
	p.share = Cover(gateway, p.next, usable, wanted)
	for i := range p.next {
		p.usable = append(p.usable, usable(i))
	}
	p.weights, p.next = p.next, p.weights
	return p.share
}
