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
		for _, l := range f.flows {
			beyond := float64(l.worst()) - 5*l.limit.Rate - l.limit.Burst
			t.Logf("%d gateways: %-10s worst 5 s %d of %d, %.0f beyond the quota; %.5f refused, %d messages a second", n, l.tenant,
				l.worst(), l.bound(), beyond, l.part(), f.sends/30)
			if l.worst() > l.bound() {
				t.Errorf("%s passes %d in 5 s, bound %d", l.tenant, l.worst(), l.bound())
			}
		}
	}
}

// TestRegionsServe: the same, and of each tenant below its rate at most 1% is refused, in the
// first play and over eight plays: one offers the small tenant 280 requests, of which three
// may be refused, so that one alone tells little.
func TestRegionsServe(t *testing.T) {
	for _, n := range []int{12, 30, 90} {
		sums := map[string]*flow{}
		for seed := range uint64(8) {
			for _, l := range regions(t, n, 1+seed).flows {
				if l.rate >= l.limit.Rate {
					continue
				}
				sum := sums[l.tenant]
				if sum == nil {
					sum = &flow{}
					sums[l.tenant] = sum
				}
				sum.offered, sum.refused = sum.offered+l.offered, sum.refused+l.refused
				t.Logf("%d gateways, seed %d: %-10s %d of %d refused, %.5f; over all %.5f", n, 1+seed, l.tenant, l.refused, l.offered, l.part(), sum.part())
				if (seed == 0 || seed == 7) && sum.part() > 0.01 {
					t.Errorf("%s is refused %.5f below its rate", l.tenant, sum.part())
				}
			}
		}
	}
}

// regions plays 10 s in quota, and 20 s more, of which the flows tell what is offered and refused.
func regions(t *testing.T, n int, seed uint64) *field {
	flows := []*flow{
		{tenant: "hot", limit: Limit{129, 129}, rate: 90},
		{tenant: "hot small", limit: Limit{30, 30}, rate: 20},
		{tenant: "back", limit: Limit{60, 60}, rate: 90, retry: 10},
		{tenant: "calm", limit: Limit{129, 129}, rate: 96},
		{tenant: "calm small", limit: Limit{30, 30}, rate: 15},
	}
	f := newField(t, n, seed, flows...)
	region := map[*box]int{}
	for i, b := range f.boxes {
		region[b] = i % 3
	}
	f.delay = func(from, to *box) time.Duration {
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
