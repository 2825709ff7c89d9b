package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// An add that was held up tells of units that have drained since: where a cut or a standstill
// ends, seconds of them come in a lump, and a tenant would be refused for as long again. How
// late one is shows by its stamp, against the least that lay between the two clocks lately.
const (
	lateAdd   = time.Second      // what a lossy link does is below it
	minWindow = 30 * time.Second // clocks drift apart: an offset counts for so long, and as long again
)

// offset is between a gateway's clock and the counter's.
type offset struct {
	life uint64
	windowedMin
}

// lateness is how much later than its fellows an add has come; 0: it is in time.
func (c *Counter) lateness(now fsm.Time, from string, a Add) time.Duration {
	by := now - a.Timestamp
	o := c.offsets[from]
	if o.life != a.Incarnation {
		o = offset{life: a.Incarnation}
	}
	o.observe(now, by)
	c.offsets[from] = o
	if late := by - o.value(); late > lateAdd {
		return late
	}
	return 0
}

// drained is what is left of so many units after a time.
func drained(units float64, after time.Duration, gap uint64) float64 {
	if gap == 0 {
		return units
	}
	return max(0, units-float64(after)/1e3/float64(gap))
}
