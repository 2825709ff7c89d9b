package quotas

import (
	"testing"
	"time"
)

// lastOfThree kills two of three gateways at 13 s and lets the third learn of it; a tenant's requests come at its
// rate, with a burst at 8 s.
func lastOfThree(t *testing.T, l *tenantTraffic) (*testFleet, *Meter) {
	l.burstInterval = time.Hour
	f := newTestFleet(t, 3, 1, l)
	f.run(8*time.Second, "")
	for range l.burst {
		f.offer(l, f.machines[2])
		f.run(f.now+5*time.Millisecond, "")
	}
	f.run(14500*time.Millisecond, "13 kill 0 1\n14 nodes 1 2")
	return f, f.machines[2].meter
}

// TestRested checks that a burst that was passed seconds before a partition, for which units are available
// again, costs a tenant nothing; the same burst right before it may have come to the other gateways too.
func TestRested(t *testing.T) {
	for _, c := range []struct {
		ago     time.Duration
		refused bool
	}{{200 * time.Millisecond, true}, {6 * time.Second, false}} {
		m, now := NewMeter("a", 1, 1), 20*time.Second
		m.SetGateways(0, 3, []string{"b", "c"})
		m.SetLimits(0, map[string]Limit{"t": {5, 100}})
		e := m.tenants["t"]
		e.levelRead, e.tat, e.assumedUntil, e.readAt, e.ownRecent = true, now+6*time.Second, now, now-c.ago, 60
		m.SetGateways(now, 1, []string{"a"})
		m.tickAt = now
		if ok, after := m.Allow(now, "t", 1); ok == c.refused {
			t.Errorf("70 of 100 units are available, 60 came %v ago: %v, %v", c.ago, ok, after)
		}
	}
}

// TestReturn checks that a request refused by the last of three gateways is allowed after the retry time
// that it was told, and not before, however small the burst is. That time is at most what a unit takes at
// the gateway's part of the rate, and 2 s for units passed before the partition was detected (doc.go). An
// unread tenant is read, which takes no longer than the retry time.
func TestReturn(t *testing.T) {
	for _, l := range []*tenantTraffic{
		{tenant: "ten", limit: Limit{5, 10}, rate: 2},
		{tenant: "two", limit: Limit{5, 2}, rate: 2},
		{tenant: "one", limit: Limit{5, 1}, rate: 2},
		{tenant: "many", limit: Limit{60, 60}, rate: 40},
	} {
		t.Run(l.tenant, func(t *testing.T) {
			f, m := lastOfThree(t, l)
			f.run(17*time.Second, "")
			l.rate = 0
			refused := 0
			for range 90 {
				now := f.now
				ok, after := m.Allow(now, l.tenant, 1)
				if ok {
					continue
				}
				refused++
				if most := 2*time.Second + time.Duration(3e9/l.limit.Rate); after > most {
					t.Errorf("refused for %v, at most %v allowed", after, most)
				}
				e := m.tenants[l.tenant]
				seen := e.levelRead
				f.run(now+after-time.Millisecond, "")
				if ok, _ := m.Allow(now+after-10*time.Microsecond, l.tenant, 1); ok && seen && e.levelRead && after != minGap {
					t.Errorf("allowed before %v", after)
				}
				if ok, more := m.Allow(now+after, l.tenant, 1); !ok && seen && e.levelRead {
					t.Fatalf("refused for %v, then for %v", after, more)
				}
				f.run(now+after+time.Millisecond, "")
				if !seen && !e.levelRead {
					t.Errorf("still unread after %v", after)
				}
			}
			if refused < 10 {
				t.Errorf("only %d refused", refused)
			}
		})
	}
}
