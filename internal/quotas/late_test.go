package quotas

import (
	"testing"
	"time"

	"asterwell/internal/fsm"
)

// Adds delayed by twenty seconds report units that have drained; units of the last moments, and all in adds
// without delay, must count.
func TestLate(t *testing.T) {
	c := NewCounter("h", 1)
	const begin, gap = time.Hour, 20000 // 50 units a second
	clock := func(i int) fsm.Time { return time.Minute + time.Duration(i)*100*time.Millisecond }
	at := func(i int) fsm.Time { return begin + time.Duration(i)*100*time.Millisecond }
	add := func(now fsm.Time, i int, sum uint64) float64 {
		c.Tick(now)
		out := c.Receive(now, "g", Add{Incarnation: 7, Timestamp: clock(i), Read: true,
			Items: []Item{{Tenant: "t", Period: c.highestPeriod, Sum: sum, Unreported: 4 * milliUnits, Interval: gap}}})
		return float64(out[0].Msg.(Answer).Totals[0].Level) / milliUnits
	}
	sum := uint64(0)
	for i := range 30 {
		sum += 4 * milliUnits
		if l := add(at(i), i, sum); i > 5 && l < 3 {
			t.Fatalf("add %d without delay: level %.1f", i, l)
		}
	}
	most := 0.0
	for i := 30; i < 230; i++ { // all at once
		sum += 4 * milliUnits
		most = max(most, add(at(230), i, sum))
	}
	if most < 4 || most > 60 {
		t.Errorf("800 units that arrive 20 s late raise the level to %.1f", most)
	}
	sum += 4 * milliUnits
	if before := most; add(at(231), 231, sum) < min(before, 3) {
		t.Error("adds without delay don't count again")
	}
}
