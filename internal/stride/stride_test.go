package stride

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// gateway is a gateway that always uses the server that is due first.
type gateway struct {
	Scheduler
	seats   []Position
	weights []float64
	total   float64
	rng     *rand.Rand
}

func newGateway(weights []float64, seed uint64) *gateway {
	g := &gateway{seats: make([]Position, len(weights)), weights: weights, rng: rand.New(rand.NewPCG(seed, 1))}
	for _, w := range weights {
		g.total += w
	}
	return g
}

func (g *gateway) send(skip int) int {
	best, least := -1, math.Inf(1)
	for i := range g.seats {
		if a := g.Distance(&g.seats[i], g.weights[i], g.rng.Float64()); i != skip && a < least {
			best, least = i, a
		}
	}
	g.Advance(&g.seats[best], g.weights[best], g.total)
	return best
}

// Each server gets its share by weight, within two turns.
func TestTurnsGoByWeight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.5, 4), 2, 40).Draw(t, "weights")
		g := newGateway(weights, rapid.Uint64().Draw(t, "seed"))
		n, count := rapid.IntRange(1, 400).Draw(t, "requests"), make([]float64, len(weights))
		for range n {
			count[g.send(-1)]++
		}
		for i, c := range count {
			if want := float64(n) * weights[i] / g.total; math.Abs(c-want) > 2 {
				t.Fatalf("server %d of weight %.2f got %v of %d, its share is %.1f", i, weights[i], c, n, want)
			}
		}
	})
}

// A server that was left out for long doesn't catch up: no herd when it returns.
func TestNoHerdOnReturningServer(t *testing.T) {
	g := newGateway([]float64{1, 1, 1, 1, 1}, 7)
	for range 200 {
		g.send(3)
	}
	got := 0
	for range 20 {
		if g.send(-1) == 3 {
			got++
		}
	}
	if got < 4 || got > 4+int(math.Ceil(2*maxBehind)) {
		t.Errorf("%d of 20 requests go to the returning server, want 4 to %d", got, 4+int(math.Ceil(2*maxBehind)))
	}
}

// Hundreds of gateways that use servers in turn spread requests more evenly than random choice,
// which is the purpose of this package. The bound is over six standard errors away.
func TestStridesOfManyGatewaysBeatRandomChoice(t *testing.T) {
	const gateways, servers, each = 300, 40, 7
	spread := func(choose func(g *gateway) int) float64 {
		sum := 0.0
		for round := range 30 {
			count := make([]float64, servers)
			for i := range gateways {
				g := newGateway(equalWeights(), uint64(round*gateways+i))
				first := i * 13 % servers
				for range 20 { // warm up
					g.send(-1)
				}
				for range each {
					count[(first+choose(g))%servers]++
				}
			}
			mean, dev := float64(gateways*each)/servers, 0.0
			for _, c := range count {
				dev += (c - mean) * (c - mean)
			}
			sum += math.Sqrt(dev/servers) / mean
		}
		return sum / 30
	}
	turns := spread(func(g *gateway) int { return g.send(-1) })
	chance := spread(func(g *gateway) int { return g.rng.IntN(len(g.seats)) })
	if turns > 0.9*chance {
		t.Errorf("spread %.3f by strides, %.3f by random choice", turns, chance)
	}
}

func equalWeights() []float64 {
	w := make([]float64, 20)
	for i := range w {
		w[i] = 1
	}
	return w
}
