package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// Back-pressure: an overloaded holder says in its answers how far apart a gateway's adds should be.
// Otherwise its answers would come too late to be used, and all gateways would repeat what it hasn't
// answered and send the same load to the second holder. Units that stay unacknowledged for longer are
// bounded by maxUnacked of each gateway. Without overload nothing changes.

const (
	maxQueueDelay    = 20 * time.Millisecond  // of an add, above which the counter is overloaded
	maxSendInterval  = 400 * time.Millisecond // longest gap that gateways are asked for
	sendIntervalUnit = 4 * time.Millisecond   // resolution on the wire

	overloadedTimeout = time.Second // after which a holder that had asked for fewer adds counts as unreachable
)

// ReportQueueDelay tells the counter how long, lately, an add had to wait in the queue. It is called about
// every 50 ms.
func (c *Counter) ReportQueueDelay(now fsm.Time, waited time.Duration) {
	switch {
	case waited >= maxQueueDelay && now-c.intervalRaisedAt > 2*c.sendInterval: // the last change has to take effect first
		c.sendInterval, c.intervalRaisedAt = min(max(c.sendInterval, minGap)*5/4, maxSendInterval), now
	case waited < maxQueueDelay:
		if c.sendInterval -= c.sendInterval / 64; c.sendInterval <= minGap {
			c.sendInterval = 0
		}
	}
}

// encodedInterval is sendInterval as answers encode it.
func (c *Counter) encodedInterval() uint8 { return uint8(c.sendInterval / sendIntervalUnit) }

// sendGap is the gap between adds that the holder asks for, at least the given one.
func (holder *holderState) sendGap(least time.Duration) time.Duration {
	return max(least, time.Duration(holder.sendInterval)*sendIntervalUnit)
}
