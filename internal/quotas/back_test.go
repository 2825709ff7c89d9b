package quotas

import (
	"testing"
	"time"
)

// TestBack: a gateway whose own process is a holder comes back from a cut. It is told a
// name of the other holder's, and that holder's sums, before its own next one: what
// the others passed under that is drained long since.
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
		t.Fatal("unseen")
	}
	hear(2) // told by the others' adds
	m.refresh(now, e)
	hear(3)
	hear(3, Total{Tenant: "t", Period: 3, LevelKnown: true}, Total{Tenant: "t", Period: 2, Others: 300000})
	if room := e.available(now); room < 50 {
		t.Errorf("room %.0f of 100 after 300 units of long ago", room)
	}
}
