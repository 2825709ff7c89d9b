package aperture

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func drawNodes(t *rapid.T) []Node {
	zones := rapid.IntRange(1, 4).Draw(t, "zones")
	keys := rapid.SliceOfNDistinct(rapid.Uint64(), 1, 90, rapid.ID[uint64]).Draw(t, "keys")
	nodes := make([]Node, len(keys))
	for i, k := range keys {
		nodes[i] = Node{k, string(rune('a' + rapid.IntRange(0, zones-1).Draw(t, "zone")))}
	}
	return nodes
}

// The order doesn't depend on the order of the list, and any contiguous part has the zone proportions of the whole.
func TestRing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := drawNodes(t)
		self := func(n Node) Node { return n }
		ring := Ring(nodes, self)
		for at, n := range Ring(rapid.Permutation(nodes).Draw(t, "other list"), self) {
			if n != ring[at] {
				t.Fatalf("place %d holds %v here and %v there", at, ring[at], n)
			}
		}
		whole := map[string]int{}
		for _, n := range nodes {
			whole[n.Zone]++
		}
		from, long := rapid.IntRange(0, len(ring)-1).Draw(t, "from"), rapid.IntRange(1, len(ring)).Draw(t, "long")
		part := map[string]int{}
		for i := range long {
			part[ring[(from+i)%len(ring)].Zone]++
		}
		for zone, all := range whole {
			even := float64(all*long) / float64(len(ring))
			if d := float64(part[zone]) - even; d > 2 || d < -2 {
				t.Fatalf("%d of %d from %d: zone %s %d times, even would be %.1f", long, len(ring), from, zone, part[zone], even)
			}
		}
	})
}

// Any range of gateways covers the ring evenly.
func TestStart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, row := rapid.IntRange(0, 500).Draw(t, "first"), rapid.IntRange(8, 200).Draw(t, "row")
		const n = 1 << 16
		starts := []int{}
		for i := range row {
			starts = append(starts, int(n*StartOffset(first+i)))
		}
		slices.Sort(starts)
		for i, s := range starts {
			next := starts[(i+1)%row]
			if gap := (next - s + n) % n; gap*row > 3*n { // a golden section leaves gaps of at most three lengths
				t.Fatalf("a gap of %.2f mean ones among %d gateways from %d", float64(gap*row)/n, row, first)
			}
		}
	})
}

// A part covers the wanted weight, or all usable nodes, and nothing else.
func TestCoverHoldsWhatIsWanted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0, 0.5, 1, 2, 4}), 1, 60).Draw(t, "weights")
		out := rapid.SliceOfN(rapid.Bool(), len(weights), len(weights)).Draw(t, "out")
		want := rapid.Float64Range(0.1, 150).Draw(t, "want")
		all, got := 0.0, 0.0
		for i, w := range weights {
			if !out[i] {
				all += w
			}
		}
		for i, share := range Cover(rapid.IntRange(0, 5000).Draw(t, "gateway"), weights, func(i int) bool { return !out[i] }, want) {
			if share < 0 || share > 1+1e-9 || share > 0 && (out[i] || weights[i] == 0) {
				t.Fatalf("share %v of node %d, out %v, weight %v", share, i, out[i], weights[i])
			}
			got += share * weights[i]
		}
		if d := got - min(want, all); d > 1e-6 || d < -1e-6 {
			t.Fatalf("%.3f of weight, want %.3f of %.3f", got, want, all)
		}
	})
}

// If each gateway spreads its requests over its part, all nodes get load by weight:
// with a dozen gateways for each node within a tenth, mostly far less. The check allows a fifth.
func TestCoverIsEvenOverAllGateways(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := rapid.IntRange(20, 200).Draw(t, "nodes")
		gateways := rapid.IntRange(nodes, 400).Draw(t, "gateways")
		weights, load := make([]float64, nodes), make([]float64, nodes)
		total := 0.0
		for i := range weights {
			weights[i] = rapid.Float64Range(0.7, 3).Draw(t, "weight")
			total += weights[i]
		}
		want := 12 * total / float64(gateways)
		want = max(want, 6*total/float64(nodes))
		for g := range gateways {
			for i, share := range Cover(g, weights, func(int) bool { return true }, want) {
				load[i] += share / want
			}
		}
		even := float64(gateways) / total
		for i, l := range load {
			if l < 0.8*even || l > 1.2*even {
				t.Fatalf("node %d of %d at %d gateways gets %.3f of its even part", i, nodes, gateways, l/even)
			}
		}
	})
}
