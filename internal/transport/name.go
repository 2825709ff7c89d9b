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
type Named interface {
	Owns(answer *fasthttp.Response) bool
	Trips() *Trips
}

// Trips are the connections that exchanges of one name have gone by. A name tells requests
// apart, but not the attempts of one: a second copy of the first one's answer would be taken
// for the next one's. So a name goes by a connection once.
type Trips struct {
	mu    sync.Mutex
	conns []uint64 // by their numbers; as many as attempts
}

var lastConn atomic.Uint64

var errForeign = fmt.Errorf("%w: the answer to another request", errSpoilt)

func owns(note any, answer *fasthttp.Response) bool {
	n, ok := note.(Named)
	return !ok || n.Owns(answer)
}

func tripsOf(note any) *Trips {
	if n, ok := note.(Named); ok {
		return n.Trips()
	}
	return nil
}

func (t *Trips) has(conn uint64) bool {
	if t == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Contains(t.conns, conn)
}

func (t *Trips) add(conn uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conns = append(t.conns, conn)
}
