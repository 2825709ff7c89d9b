package quotas

import (
	"testing"
	"time"
)

// A gateway that was cut off had counted for itself, and after its return it read the first holder again. That holder
// knew of 80 units in use, of a burst of 60, and said so in each answer; the gateway had 9 units of its own in mind,
// and added to these only what others passed from then on. It passed ten times its part for as long as the crowd
// lasted (day 701089: "level 81.0 room 2.7 tat-level -23.7"). What a holder knows must hold here from its first answer on.
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
		t.Errorf("80 of 60 units are in use, as its holder says: passes %v, told to come back after %v", ok, after)
	}
}

// Both holders were killed while a tenant was at its limit. By the time they were back all gateways had gone 200 ms
// without an answer, had forgotten what was in use, and told the new holders nothing: these began at an empty burst, and the tenant
// got a second one (day 218 of gateways that lose each other: 28 and 18 requests at one gateway in two half seconds,
// six before). What a gateway has been told must outlive its holders.
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
		t.Errorf("%d units in the 4 s after both holders were killed, %d at most: a second burst", between, most)
	}
}
