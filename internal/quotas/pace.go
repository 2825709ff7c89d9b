package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// Back-pressure: a holder that is told more than it can count says in its answers how far apart adds should be. Those who
// are told so do; else its answers would come too late to be believed, all would repeat what it hasn't
// answered, and turn to the second holder with as much. What is passed unheard for longer is bounded by
// each gateway's lead; below the strain nothing differs.

const (
	strained = 20 * time.Millisecond  // adds that have waited for so long are too many
	mostPace = 400 * time.Millisecond // between adds of a gateway, at the most
	paceUnit = 4 * time.Millisecond   // on the wire

	strainedMute = time.Second // after which one that was under strain is taken as out of reach
)

// ReportQueueDelay tells the counter how long, lately, an add had to wait among many others: every 50 ms or so.
func (c *Counter) ReportQueueDelay(now fsm.Time, waited time.Duration) {
	switch {
	case waited >= strained && now-c.pacedAt > 2*c.pace: // what was asked for has to be heard first
		c.pace, c.pacedAt = min(max(c.pace, leastGap)*5/4, mostPace), now
	case waited < strained:
		if c.pace -= c.pace / 64; c.pace <= leastGap {
			c.pace = 0
		}
	}
}

// paced is the gap as an answer says it.
func (c *Counter) paced() uint8 { return uint8(c.pace / paceUnit) }

// pace is how far apart adds to a holder should be.
func (s *slot) pace(least time.Duration) time.Duration {
	return max(least, time.Duration(s.paced)*paceUnit)
}
