package quotas

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestPack checks that packed items decode to the original; only the units in use may be lower, and a level
// higher, by less than their resolution. Corrupt bytes are rejected without harm.
func TestPack(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	limits := map[string]Limit{}
	for i := range 300 {
		limits[fmt.Sprintf("t%d", i)] = Limit{1 + rng.Float64()*100, 10}
	}
	r := NewRoster(limits)
	units := func() uint64 {
		u := uint64(rng.IntN(3000))
		if rng.IntN(3) > 0 {
			u *= milliUnits
		}
		return u
	}
	for range 300 {
		var items, back []Item
		var totals, sums []Total
		guesses := make([]int32, rng.IntN(20)) // right or wrong, as places in another roster
		for i := range guesses {
			guesses[i] = rng.Int32N(400)
		}
		for range rng.IntN(20) {
			name, period := fmt.Sprintf("t%d", rng.IntN(300)), 7+uint64(rng.IntN(2))
			it := Item{Tenant: name, Period: period, Sum: units(), Unreported: units(), Interval: intervalOf(limits[name].Rate), NearLimit: rng.IntN(2) == 0}
			if rng.IntN(2) == 0 {
				it.Interval, it.Used, it.Unreported = uint64(rng.IntN(2e6)), uint64(rng.IntN(5000)), it.Sum
			}
			want := it
			if want.Used = (max(it.Used, 1) - 1) / milliUnits * milliUnits; want.Used > 0 {
				want.Used++
			}
			items, back = append(items, it), append(back, want)
			tot := Total{Tenant: name, Period: period, Others: units(), Own: units(), Level: uint64(rng.IntN(9000)), LevelKnown: rng.IntN(2) == 0}
			totals = append(totals, tot)
			tot.Level = (tot.Level + levelUnit - 1) / levelUnit * levelUnit
			sums = append(sums, tot)
		}
		packed, rest := r.pack(7, append(items, Item{Tenant: "another"}), guesses)
		got, places, ok := r.items(7, packed)
		for i, at := range places {
			if r.names[at] != back[i].Tenant {
				t.Fatal(at, "is not the place of", back[i].Tenant)
			}
		}
		if diff := cmp.Diff(back, got); diff != "" || !ok || len(rest) != 1 {
			t.Fatal(diff, ok, rest)
		}
		packedTotals, _ := r.packTotals(7, totals, guesses)
		gotTotals, ok := r.totals(7, packedTotals)
		if diff := cmp.Diff(sums, gotTotals); diff != "" || !ok {
			t.Fatal(diff, ok)
		}
		for i := range packed {
			packed[i] ^= byte(rng.IntN(256))
			r.items(7, packed[:rng.IntN(len(packed)+1)])
			r.totals(7, packed)
		}
	}
}

// asPreviousVersion reduces a message to what the previous version of the program understands of it.
func asPreviousVersion(msg any) any {
	switch m := msg.(type) {
	case Add:
		m.Packed, m.RosterHash, m.ProbeTimestamp, m.Compact = nil, 0, 0, nil
		return m
	case Answer:
		m.Packed, m.PackedAccepted, m.RosterHash, m.ReadsCompact, m.Compact, m.SendInterval = nil, false, 0, false, nil, 0
		return m
	}
	return msg
}

// TestMixed runs gateways and holders of the previous version among new ones, downgrades, and gateways with
// an earlier configuration than the holders: all units count, and requests within quotas pass.
func TestMixed(t *testing.T) {
	for name, c := range map[string]struct {
		olds   []int // machines
		script string
		later  bool // the holders get the configuration late, and then another one
		byName float64
	}{
		"all new":             {nil, "", false, 0.05},
		"old gateways":        {[]int{3, 4, 5}, "", false, 1},
		"old first holder":    {[]int{0}, "", false, 1},
		"old second holder":   {[]int{1}, "15 kill 0\n18 nodes 6 1 2\n30 boot 0\n31 nodes 7 0 1", false, 1},
		"holders put back":    {nil, "15 old 0 1\n25 new 0 1", false, 1},
		"holder killed":       {nil, "15 kill 0\n18 nodes 6 1 2\n30 boot 0\n31 nodes 7 0 1", false, 0.1},
		"configurations late": {nil, "", true, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			hot := &tenantTraffic{tenant: "hot", limit: Limit{129, 129}, rate: 600}
			calm := &tenantTraffic{tenant: "calm", limit: Limit{129, 129}, rate: 100}
			f := newTestFleet(t, 7, 1, hot, calm, &tenantTraffic{tenant: "tiny", limit: Limit{13, 13}, rate: 100})
			for _, i := range c.olds {
				f.machines[i].oldVersion = true
			}
			named, packed, compact := 0, 0, 0
			f.onSend = func(from, to *testMachine, msg any) {
				if a, ok := msg.(Add); ok && from != to {
					if len(a.Items) > 0 {
						named++
					}
					if len(a.Packed)+len(a.Compact) > 0 {
						packed++
					}
					if len(a.Compact) > 0 {
						compact++
					}
				}
			}
			for until, n := 10*time.Second, 0; until <= 40*time.Second; until, n = until+time.Second, n+1 {
				f.run(until, c.script)
				c.script = scriptFrom(c.script, until)
				if c.later {
					more := f.limits()
					more[fmt.Sprintf("a%d", n)] = Limit{1 + float64(n), 5} // all places change
					for i, b := range f.machines {
						b.meter.SetLimits(f.now, more)
						if i > 1 || n%3 == 0 {
							b.counter.SetLimits(more)
						}
					}
				}
			}
			for _, l := range f.traffic {
				t.Logf("%-4s passed %d refused %.4f worst 5 s %d of %d", l.tenant, len(l.passed), l.refusedPart(), l.maxInWindow(), l.bound())
				if l.maxInWindow() > l.bound() {
					t.Errorf("%s passes %d in 5 s, bound %d", l.tenant, l.maxInWindow(), l.bound())
				}
			}
			if calm.refusedPart() > 0.01 || len(hot.passed) < 129*35*9/10 {
				t.Errorf("%.4f of tenant calm refused, %d of tenant hot passed", calm.refusedPart(), len(hot.passed))
			}
			if by := float64(named) / float64(named+packed); by > c.byName {
				t.Errorf("%.3f of the adds name tenants", by)
			}
			if name == "all new" && compact < packed*9/10 {
				t.Errorf("%d of %d packed adds are compact", compact, packed)
			}
		})
	}
}
