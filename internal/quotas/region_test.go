package quotas

import (
	"testing"
	"time"
)

// TestRegions: three regions 55 ms apart, the holders in two of them. What is passed beyond a
// quota within 5 s stays within its margin, with tenants at ten times their rate from one
// moment to the next and clients that come back at once.
func TestRegions(t *testing.T) {
	for _, n := range []int{12, 30, 90} {
		f := regions(t, n, 1)
		for _, l := range f.traffic {
			beyond := float64(l.maxInWindow()) - 5*l.limit.Rate - l.limit.Burst
			t.Logf("%d gateways: %-10s worst 5 s %d of %d, %.0f beyond the quota; %.5f refused, %d messages a second", n, l.tenant,
				l.maxInWindow(), l.bound(), beyond, l.refusedPart(), f.sends/30)
			if l.maxInWindow() > l.bound() {
				t.Errorf("%s passes %d in 5 s, bound %d", l.tenant, l.maxInWindow(), l.bound())
			}
		}
	}
}

// TestRegionsServe: the same, and of each tenant below its rate at most 1% is refused, in the
// first play and over eight plays: one offers the small tenant 280 requests, of which three
// may be refused, so that one alone tells little.
func TestRegionsServe(t *testing.T) {
	for _, n := range []int{12, 30, 90} {
		sums := map[string]*tenantTraffic{}
		for seed := range uint64(8) {
			for _, l := range regions(t, n, 1+seed).traffic {
				if l.rate >= l.limit.Rate {
					continue
				}
				sum := sums[l.tenant]
				if sum == nil {
					sum = &tenantTraffic{}
					sums[l.tenant] = sum
				}
				sum.offered, sum.refused = sum.offered+l.offered, sum.refused+l.refused
				t.Logf("%d gateways, seed %d: %-10s %d of %d refused, %.5f; over all %.5f", n, 1+seed, l.tenant, l.refused, l.offered, l.refusedPart(), sum.refusedPart())
				if (seed == 0 || seed == 7) && sum.refusedPart() > 0.01 {
					t.Errorf("%s is refused %.5f below its rate", l.tenant, sum.refusedPart())
				}
			}
		}
	}
}

// regions plays 10 s in quota, and 20 s more, of which the flows tell what is offered and refused.
func regions(t *testing.T, n int, seed uint64) *testFleet {
	flows := []*tenantTraffic{
		{tenant: "hot", limit: Limit{129, 129}, rate: 90},
		{tenant: "hot small", limit: Limit{30, 30}, rate: 20},
		{tenant: "back", limit: Limit{60, 60}, rate: 90, clientRetries: 10},
		{tenant: "calm", limit: Limit{129, 129}, rate: 96},
		{tenant: "calm small", limit: Limit{30, 30}, rate: 15},
	}
	f := newTestFleet(t, n, seed, flows...)
	region := map[*testMachine]int{}
	for i, b := range f.machines {
		region[b] = i % 3
	}
	f.delay = func(from, to *testMachine) time.Duration {
		if region[from] == region[to] {
			return 0
		}
		return 55 * time.Millisecond
	}
	f.run(10*time.Second, "")
	for i, l := range flows {
		if i < 2 {
			l.rate = 10 * l.limit.Rate
		}
		l.offered, l.refused = 0, 0
	}
	f.run(30*time.Second, "")
	return f
}
