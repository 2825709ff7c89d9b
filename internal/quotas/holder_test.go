package quotas

import (
	"testing"
	"time"
)

// A partitioned gateway had counted by itself, and read the first holder again after its return. That
// holder reported 80 units in use, of a burst of 60, in each answer; the gateway assumed 9 units, its own,
// and added only what others passed from then on. It passed ten times its part for as long as the surge
// lasted (day 701089: level 81.0, 2.7 units available, TAT 23.7 units below the level). A holder's level
// must count from its first answer on.
func TestNewHolderLevelHolds(t *testing.T) {
	now := time.Minute
	m := NewMeter("a", 1, 1)
	m.SetGateways(0, 8, []string{"b", "c"})
	m.SetLimits(0, map[string]Limit{"t": {60, 60}})
	e := m.tenants["t"]
	m.tickAt = now
	m.Receive(now, "b", Answer{Incarnation: 1, Period: 1, Timestamp: now})
	m.refresh(now, e)
	e.levelRead, e.tat, e.assumedUntil, e.cur.hasBase = true, now+e.duration(9), now, true
	m.Receive(now, "b", Answer{Incarnation: 1, Period: 1, Timestamp: now - time.Millisecond, Totals: []Total{{Tenant: "t", Period: 1, Level: 80000, LevelKnown: true}}})
	if ok, after := m.Allow(now, "t", 1); ok || after < 300*time.Millisecond {
		t.Errorf("80 of 60 units are in use by its holder's answer: allowed %v, retry after %v", ok, after)
	}
}

// Both holders were killed while a tenant was at its limit. Before they were back all gateways had been
// without an answer for 200 ms, had dropped the usage they knew, and reported none to the new holders:
// these started with an unused burst, and the tenant got a second one (day 218 of gateways that lose
// contact: 28 and 18 requests at one gateway in two half seconds, six before). The usage that a gateway has
// read must outlive its holders.
func TestLevelOutlivesHolders(t *testing.T) {
	hot := &tenantTraffic{tenant: "t", limit: Limit{20, 100}, rate: 120}
	f := newTestFleet(t, 6, 3, hot)
	f.run(12*time.Second, "")
	f.run(18*time.Second, "12 kill 0 1\n12.7 boot 0 1")
	between := 0
	for _, at := range hot.passed {
		if at > 12*time.Second && at <= 16*time.Second {
			between++
		}
	}
	if most := int(4*hot.limit.Rate) + 25; between > most {
		t.Errorf("%d units in the 4 s after both holders were killed, at most %d allowed: a second burst", between, most)
	}
}
