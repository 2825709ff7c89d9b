package toll

import (
	"math/rand/v2"
	"testing"
)

// TestSumsTable: the table says what a map would, with few lives and many, also where their numbers lie apart.
func TestSumsTable(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var s sums
		like := map[uint32]uint64{}
		most := uint32(1 + rng.IntN(2000))
		for range rng.IntN(3000) {
			life := 1 + rng.Uint32N(most)
			if rng.IntN(4) == 0 {
				life = max(1, rng.Uint32())
			}
			units, known := s.of(life)
			if was, there := like[life]; was != units || there != known {
				t.Fatalf("seed %d: life %d has %d %v, not %d %v", seed, life, units, known, was, there)
			}
			units = rng.Uint64()
			s.set(life, units)
			like[life] = units
		}
		for life, units := range like {
			if is, known := s.of(life); !known || is != units {
				t.Fatalf("seed %d: life %d has %d %v, not %d", seed, life, is, known, units)
			}
		}
		if s.n != len(like) || 4*s.n > 3*len(s.cells) {
			t.Fatalf("seed %d: %d of %d in %d cells", seed, s.n, len(like), len(s.cells))
		}
	}
}

// BenchmarkCount is what a holder does for an add of ten items, of 12,000 tenants and 490 gateways: by index of a
// roster, and far from any cache.
func BenchmarkCount(b *testing.B) {
	f := newField(nil, 2, 1, size{490, 12000, 265, 2}.flows()...)
	c, roster := f.boxes[0].counter, f.boxes[0].counter.rosters[0]
	rng := rand.New(rand.NewPCG(1, 1))
	adds := make([]Add, 200_000)
	gateways := make([]string, len(adds))
	passed := map[[2]int]uint64{}
	for i := range adds {
		g := rng.IntN(490)
		gateways[i] = f.boxes[0].addr + string(rune('a'+g))
		var items []Item
		for at := rng.IntN(1200); at < 12000 && len(items) < 10; at += 1 + rng.IntN(2400) {
			passed[[2]int{g, at}] += milli
			items = append(items, Item{Tenant: roster.names[at], Period: 1, Sum: passed[[2]int{g, at}], Fresh: milli, Gap: roster.gaps[at]})
		}
		adds[i] = Add{Life: uint64(g + 1), Period: 1, Stamp: 1, Read: true, Signs: true, List: roster.hash}
		adds[i].Packed, _ = roster.pack(1, items, nil)
	}
	now := f.now
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		now += 1000
		c.Take(now, gateways[i%len(adds)], adds[i%len(adds)])
	}
}
