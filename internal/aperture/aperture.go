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

// Ring returns the places of nodes in an order that is the same at every
// gateway. Zones take turns in it, so that any part of it in a row holds about
// as much of each zone as the whole does. One node more or less moves the
// others by at most a place or two.
func Ring(nodes []Node) []int {
	ring := make([]int, len(nodes))
	for i := range ring {
		ring[i] = i
	}
	slices.SortFunc(ring, func(x, y int) int { return cmp.Compare(nodes[x].Key, nodes[y].Key) })
	size, rank := map[string]float64{}, make([]float64, len(nodes))
	for _, i := range ring {
		rank[i] = size[nodes[i].Zone] + 0.5
		size[nodes[i].Zone]++
	}
	slices.SortStableFunc(ring, func(x, y int) int {
		return cmp.Compare(rank[x]/size[nodes[x].Zone], rank[y]/size[nodes[y].Zone])
	})
	return ring
}

// Start is where on a ring of n nodes a gateway's own part begins. Numbers that
// follow each other lie a golden section apart: any row of gateways, such as
// those that one customer's requests come in through, covers the ring evenly.
func Start(gateway, n int) int {
	_, part := math.Modf(float64(gateway) * math.Phi)
	return int(part * float64(n))
}
