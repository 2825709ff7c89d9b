package transport

import (
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/valyala/fasthttp"
)

// Named is a note of an exchange that has a name on the wire, which its answer repeats. An
// answer with another name, or with none, is somebody else's: it came late, or twice. It
// proves nothing of the request that it meets, not even where it says that it has not run,
// and what follows it on its connection can't be told apart either.
type Identified interface {
	Matches(answer *fasthttp.Response) bool
	UsedConns() *ConnHistory
}

// ConnHistory are the connections that exchanges of one name have gone by. A name tells requests
// apart, but not the attempts of one: a second copy of the first one's answer would be taken
// for the next one's. So a name goes by a connection once.
type ConnHistory struct {
	mu      sync.Mutex
	numbers []uint64 // by their numbers; as many as attempts
}

var lastConnNumber atomic.Uint64

var errForeignResponse = fmt.Errorf("%w: the answer to another request", errInvalidResponse)

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
