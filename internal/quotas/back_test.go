package quotas

import (
	"testing"
	"time"
)

// TestBack guards against a second count of old units. A gateway whose own process is a holder comes back
// from a partition, and reads a period of the other holder, with its sums, before its own next one: what
// the others passed in that period has long drained.
func TestBack(t *testing.T) {
	m := NewMeter("a", 1, 1)
	m.SetGateways(0, 10, []string{"a", "b"})
	m.SetLimits(0, map[string]Limit{"t": {100, 100}})
	now, e := time.Minute, m.tenants["t"]
	hear := func(period uint64, totals ...Total) {
		now += 50 * time.Millisecond
		m.tickAt, m.othersHeardAt = now, now
		m.Receive(now, "a", Answer{Incarnation: 1, Period: period, Timestamp: now, Totals: totals})
	}
	hear(1)
	hear(1, Total{Tenant: "t", Period: 1, Others: 500000, LevelKnown: true})
	hear(1, Total{Tenant: "t", Period: 1, Others: 500000, LevelKnown: true})
	if !e.levelRead {
		t.Fatal("the tenant is unread")
	}
	hear(2) // by adds of the others
	m.refresh(now, e)
	hear(3)
	hear(3, Total{Tenant: "t", Period: 3, LevelKnown: true}, Total{Tenant: "t", Period: 2, Others: 300000})
	if room := e.available(now); room < 50 {
		t.Errorf("%.0f of 100 units are available after 300 units of long ago", room)
	}
}
