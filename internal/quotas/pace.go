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
	maxQueueDelay    = 20 * time.Millisecond  // adds that have waited for so long are too many
	maxSendInterval  = 400 * time.Millisecond // between adds of a gateway, at the most
	sendIntervalUnit = 4 * time.Millisecond   // on the wire

	overloadedTimeout = time.Second // after which one that was under strain is taken as out of reach
)

// ReportQueueDelay tells the counter how long, lately, an add had to wait among many others: every 50 ms or so.
func (c *Counter) ReportQueueDelay(now fsm.Time, waited time.Duration) {
	switch {
	case waited >= maxQueueDelay && now-c.intervalRaisedAt > 2*c.sendInterval: // what was asked for has to be heard first
		c.sendInterval, c.intervalRaisedAt = min(max(c.sendInterval, minGap)*5/4, maxSendInterval), now
	case waited < maxQueueDelay:
		if c.sendInterval -= c.sendInterval / 64; c.sendInterval <= minGap {
			c.sendInterval = 0
		}
	}
}

// encodedInterval is the gap as an answer says it.
func (c *Counter) encodedInterval() uint8 { return uint8(c.sendInterval / sendIntervalUnit) }

// sendGap is how far apart adds to a holder should be.
func (s *holderState) sendGap(least time.Duration) time.Duration {
	return max(least, time.Duration(s.sendInterval)*sendIntervalUnit)
}
