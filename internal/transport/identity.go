package transport

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Identified is a note of an exchange whose request has a correlation ID that its response
// repeats. A response with another ID, or with none, belongs to another request: it is late
// or duplicated. It proves nothing about the pending request, not even if it says that it has
// not run, and later responses on the connection can't be attributed either.
type Identified interface {
	Matches(answer *fasthttp.Response) bool
	UsedConns() *ConnHistory
}

// ConnHistory holds the connections that attempts with one ID have used. The ID distinguishes
// requests, but not attempts of the same request: a duplicate of the first attempt's response
// would be taken for the next one's. So each ID uses a connection at most once.
type ConnHistory struct {
	mu      sync.Mutex
	numbers []uint64 // connection numbers, at most one for each attempt
}

var lastConnNumber atomic.Uint64

var errForeignResponse = fmt.Errorf("%w: response to another request", errInvalidResponse)

func matches(note any, answer *fasthttp.Response) bool {
	n, ok := note.(Identified)
	return !ok || n.Matches(answer)
}

func historyOf(note any) *ConnHistory {
	if n, ok := note.(Identified); ok {
		return n.UsedConns()
	}
	return nil
}

func (t *ConnHistory) contains(conn uint64) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.numbers, conn)
}

func (t *ConnHistory) add(conn uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.numbers = append(t.numbers, conn)
}
