package transport

import (
	"math/bits"
	"sync"
	"time"
)

// IdleTimeout adapts how long idle connections are reused. Servers or middleboxes
// may drop them silently and far sooner than announced. A request written to such
// a connection is lost, and it is unknown whether it ran. All peers share one
// IdleTimeout and what it has observed.
type IdleTimeout struct {
	mu        sync.Mutex
	max       time.Duration
	lossRate  [24]float64 // recent share of connections lost on the next request, by idle time
	limit     time.Duration
	loweredAt time.Time // when limit was lowered
}

const (
	minIdleTimeout = 32 * time.Millisecond
	maxLossRate    = 0.1              // share of requests lost; a new connection costs little more than a round trip
	lossWindow     = 16               // requests in the moving average
	resetInterval  = 30 * time.Second // after which longer idle times are tried again
	immediateLoss  = 20 * time.Millisecond
)

// NewIdleTimeout returns an IdleTimeout that starts at the given limit.
func NewIdleTimeout(limit time.Duration) *IdleTimeout { return &IdleTimeout{max: limit, limit: limit} }

// Limit returns how long an idle connection may be used again.
func (k *IdleTimeout) Limit(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit < k.max && now.Sub(k.loweredAt) > resetInterval {
		clear(k.lossRate[:])
		k.limit = k.max
	}
	return k.limit
}

// observe records whether a connection that had been idle was lost on the next
// request. Idle times are grouped into buckets by powers of two milliseconds.
func (k *IdleTimeout) observe(idle time.Duration, broke bool, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := min(bits.Len64(uint64(idle.Milliseconds())), len(k.lossRate)-1)
	if k.lossRate[i] -= k.lossRate[i] / lossWindow; broke {
		k.lossRate[i] += 1.0 / lossWindow
	}
	if from := time.Millisecond << i / 2; k.lossRate[i] > maxLossRate && from < k.limit {
		k.limit, k.loweredAt = max(from, minIdleTimeout), now
	}
}
