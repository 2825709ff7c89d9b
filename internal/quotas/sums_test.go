package quotas

import (
	"fmt"
	"math"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// TestSumsTable compares the table with a map, for few and many incarnations, also with sparse numbers.
func TestSumsTable(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var s sumTable
		model := map[uint32]uint64{}
		most := uint32(1 + rng.IntN(2000))
		for range rng.IntN(3000) {
			number := 1 + rng.Uint32N(most)
			if rng.IntN(4) == 0 {
				number = max(1, rng.Uint32())
			}
			units, known := s.get(number)
			if want, there := model[number]; want != units || there != known {
				t.Fatalf("seed %d: incarnation %d has %d %v, want %d %v", seed, number, units, known, want, there)
			}
			units = rng.Uint64() >> rng.IntN(64)
			s.set(number, units)
			model[number] = units
		}
		for number, units := range model {
			if got, known := s.get(number); !known || got != units {
				t.Fatalf("seed %d: incarnation %d has %d %v, want %d", seed, number, got, known, units)
			}
		}
		if s.used != len(model) || 4*s.used > 3*len(s.cells) {
			t.Fatalf("seed %d: %d of %d in %d cells", seed, s.used, len(model), len(s.cells))
		}
	}
}

// TestNamesSize checks that the sums of the largest supported fleet, 0.93 million in each of two periods,
// take at most 42 MB, so that a holder with all its other data stays below its memory limit. Nothing is
// left of the period before the previous one.
func TestNamesSize(t *testing.T) {
	var c *Counter
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	const gateways, tenants = 490, 12000
	limits := map[string]Limit{}
	for i := range tenants {
		limits[fmt.Sprintf("tenant-%05d", i)] = Limit{10, 10}
	}
	r := NewRoster(limits)
	names := make([]string, gateways)
	for g := range names {
		names[g] = fmt.Sprintf("10.0.%d.%d:7", g/250, g%250)
	}
	before := heap()
	c = NewCounter(names[0], 1)
	c.SetGateways(names)
	c.SetRoster(r)
	rng, now := rand.New(rand.NewPCG(1, 1)), time.Hour
	sums := 0
	for period := uint64(1); period <= 3; period++ {
		sums = 0
		for g, from := range names {
			var items []Item
			for i, tenant := range r.names {
				if rng.Float64() > math.Exp(-531/float64(i+1)) { // the part of the tenants that a gateway sees within 20 s at the planned peak
					items = append(items, Item{Tenant: tenant, Period: period << tagBits, Sum: milliUnits, Unreported: milliUnits, Interval: r.intervals[i]})
				}
			}
			sums += len(items)
			c.Receive(now, from, Add{Incarnation: uint64(g + 1), Period: period << tagBits, Timestamp: now, Items: items})
			now += periodLength / gateways
			c.Tick(now)
		}
	}
	used := float64(heap()-before) / 1e6
	if t.Logf("%d sums in a period, %.1f MB", sums, used); sums < 900_000 || used > 42 {
		t.Errorf("%.1f MB for %d sums in a period", used, sums)
	}
	now += periodLength * 3 / 2
	if c.Tick(now); len(c.tenants) > 0 && len(c.tenants[r.names[0]].periods) > 0 {
		t.Errorf("%d periods are left after a period and a half without traffic", len(c.tenants[r.names[0]].periods))
	}
	runtime.KeepAlive(c)
}

// BenchmarkCount measures a holder's work for an add of ten items, with 12,000 tenants and 490 gateways: by
// places in a roster, and far from any cache.
func BenchmarkCount(b *testing.B) {
	f := newTestFleet(nil, 2, 1, fleetSize{490, 12000, 265, 2}.flows()...)
	c, roster := f.machines[0].counter, f.machines[0].counter.rosters[0]
	rng := rand.New(rand.NewPCG(1, 1))
	adds := make([]Add, 200_000)
	gateways := make([]string, len(adds))
	passed := map[[2]int]uint64{}
	for i := range adds {
		g := rng.IntN(490)
		gateways[i] = f.machines[0].addr + string(rune('a'+g))
		var items []Item
		for at := rng.IntN(1200); at < 12000 && len(items) < 10; at += 1 + rng.IntN(2400) {
			passed[[2]int{g, at}] += milliUnits
			items = append(items, Item{Tenant: roster.names[at], Period: 1, Sum: passed[[2]int{g, at}], Unreported: milliUnits, Interval: roster.intervals[at]})
		}
		adds[i] = Add{Incarnation: uint64(g + 1), Period: 1, Timestamp: 1, Read: true, AnswersProbes: true, RosterHash: roster.hash}
		adds[i].Packed, _ = roster.pack(1, items, nil)
	}
	now := f.now
	b.ResetTimer()
	for i := 0; b.Loop(); i++ {
		now += 1000
		c.Receive(now, gateways[i%len(adds)], adds[i%len(adds)])
	}
}
