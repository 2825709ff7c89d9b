package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// A delayed add reports units that have drained since. When a partition or a freeze ends, the units of
// several seconds arrive at once, and counted as new they would block the tenant for as long again. The
// delay of an add is its timestamp against the smallest recent offset between the two clocks.
const (
	lateAdd   = time.Second      // a lossy link delays by less
	minWindow = 30 * time.Second // clocks drift: a minimum counts for this long, and as long again
)

// offset is the difference between the clock of the counter and that of a gateway.
type offset struct {
	incarnation uint64
	windowedMin
}

// lateness is how much longer an add was under way than others of the gateway; 0 below lateAdd.
func (c *Counter) lateness(now fsm.Time, from string, a Add) time.Duration {
	delta := now - a.Timestamp
	off := c.offsets[from]
	if off.incarnation != a.Incarnation {
		off = offset{incarnation: a.Incarnation}
	}
	off.observe(now, delta)
	c.offsets[from] = off
	if late := delta - off.value(); late > lateAdd {
		return late
	}
	return 0
}

// drained is what is left of this many units after a time.
func drained(units float64, after time.Duration, gap uint64) float64 {
	if gap == 0 {
		return units
	}
	return max(0, units-float64(after)/1e3/float64(gap))
}
