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

// Start is where on a ring of n nodes a gateway's own part begins. Numbers that
// follow each other lie a golden section apart: any row of gateways, such as
// those that one customer's requests come in through, covers the ring evenly.
func Start(gateway, n int) int {
	_, part := math.Modf(float64(gateway) * math.Phi)
	return int(part * float64(n))
}
