package bench

import (
	"math/rand/v2"
	"testing"
)

// TestPaired: what both columns share cancels out, and what one has alone is seen.
func TestPaired(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	column := func(factor float64) (pairs [][2]float64) {
		for range 60 {
			both := 5 + 30*rng.Float64() // the machine's weather
			pairs = append(pairs, [2]float64{factor * both * (1 + 0.01*rng.Float64()), both * (1 + 0.01*rng.Float64())})
		}
		return pairs
	}
	for _, c := range []struct {
		factor float64
		within bool
	}{{1, true}, {1.5, false}} {
		r := paired(column(c.factor), 7)
		if within := r.Low <= 1 && r.High >= 1; within != c.within || r.At < c.factor*0.95 || r.At > c.factor*1.05 {
			t.Error(c.factor, r)
		}
	}
}
