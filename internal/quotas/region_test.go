package quotas

import (
	"testing"
	"time"
)

// TestRegions checks the bound with three regions 55 ms apart and the holders in two of them, tenants that
// start to send ten times their rate in an instant, and clients that retry at once.
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

// TestRegionsServe checks in the same runs that at most 1% of the requests of each tenant below its rate
// are refused, in the first run and over eight runs together: in one the small tenant sends 280 requests,
// of which three may be refused, which alone tells little.
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
					t.Errorf("%s is below its rate, and %.5f of its requests are refused", l.tenant, sum.refusedPart())
				}
			}
		}
	}
}

// regions runs 10 s within quotas, and 20 s more, for which the traffic has the counts of offered and
// refused requests.
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
