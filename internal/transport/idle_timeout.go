package transport

import (
	"math/bits"
	"sync"
	"time"
)

// Keep learns how long idle connections are worth keeping. Servers, or what is
// between, may drop them far sooner than they say, without a word, and a request
// written to one of those is lost: nobody could tell whether it ran. All peers
// share what one has met.
type IdleTimeout struct {
	mu        sync.Mutex
	max       time.Duration
	lossRate  [24]float64 // of late, by idle time: the share that broke under the next request
	limit     time.Duration
	loweredAt time.Time // of limit
}

const (
	minIdleTimeout = 32 * time.Millisecond
	maxLossRate    = 0.1              // of requests lost; a new connection costs little more than a round trip
	lossWindow     = 16               // requests, for what is of late
	resetInterval  = 30 * time.Second // then longer times are tried again
	immediateLoss  = 20 * time.Millisecond
)

// NewIdleTimeout returns a Keep that trusts idle connections for most, until it knows better.
func NewIdleTimeout(most time.Duration) *IdleTimeout { return &IdleTimeout{max: most, limit: most} }

// Limit is how long an idle connection may be used again.
func (k *IdleTimeout) Limit(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit < k.max && now.Sub(k.loweredAt) > resetInterval {
		clear(k.lossRate[:])
		k.limit = k.max
	}
	return k.limit
}

// used tells whether a connection that had been idle broke right under the next
// request. Idle times are taken together up to each power of two milliseconds.
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
