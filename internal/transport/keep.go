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
type Keep struct {
	mu    sync.Mutex
	most  time.Duration
	broke [24]float64 // of late, by idle time: the share that broke under the next request
	limit time.Duration
	since time.Time // of limit
}

const (
	leastKeep = 32 * time.Millisecond
	tooMany   = 0.1              // of requests lost; a new connection costs little more than a round trip
	recent    = 16               // requests, for what is of late
	relearn   = 30 * time.Second // then longer times are tried again
	atOnce    = 20 * time.Millisecond
)

// NewKeep returns a Keep that trusts idle connections for most, until it knows better.
func NewKeep(most time.Duration) *Keep { return &Keep{most: most, limit: most} }

// Limit is how long an idle connection may be used again.
func (k *Keep) Limit(now time.Time) time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.limit < k.most && now.Sub(k.since) > relearn {
		clear(k.broke[:])
		k.limit = k.most
	}
	return k.limit
}

// used tells whether a connection that had been idle broke right under the next
// request. Idle times are taken together up to each power of two milliseconds.
func (k *Keep) used(idle time.Duration, broke bool, now time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	i := min(bits.Len64(uint64(idle.Milliseconds())), len(k.broke)-1)
	if k.broke[i] -= k.broke[i] / recent; broke {
		k.broke[i] += 1.0 / recent
	}
	if from := time.Millisecond << i / 2; k.broke[i] > tooMany && from < k.limit {
		k.limit, k.since = max(from, leastKeep), now
	}
}
