// Package mailbox has the mailbox that every actor of the gateway reads: one
// goroutine takes messages in the order they came, and nobody who sends waits.
package mailbox

import (
	"sync"
	"time"

	"asterwell/internal/hostenv"
)

// Box is an unbounded mailbox. A bounded one could lock two actors that write
// to each other; the number of messages is bounded by the open requests.
type Box[T any] struct {
	mu    sync.Mutex
	in    []T
	spare []T
	world hostenv.Host
	bell  hostenv.Notifier
}

// NewBox returns an empty mailbox in a world (nil: the real one).
func NewBox[T any](world hostenv.Host) *Box[T] {
	world = hostenv.OrReal(world)
	return &Box[T]{world: world, bell: world.NewNotifier()}
}

// Put adds a message.
func (b *Box[T]) Put(m T) {
	b.mu.Lock()
	b.in = append(b.in, m)
	first := len(b.in) == 1
	b.mu.Unlock()
	if first {
		b.bell.Notify()
	}
}

// Take returns the messages that have come, in order. It waits for the first
// one for as long as wait says (below 0: for good); with none it returns
// nothing. The slice is valid until the next call. Only the actor may call it.
func (b *Box[T]) Take(wait time.Duration) []T {
	got := b.swap()
	if len(got) > 0 || wait == 0 {
		return got
	}
	if wait < 0 {
		for len(got) == 0 { // a ring may be left from messages already taken
			b.bell.Wait(-1)
			got = b.swap()
		}
		return got
	}
	for end := b.world.Now().Add(wait); ; wait = end.Sub(b.world.Now()) {
		rung := wait > 0 && b.bell.Wait(wait)
		if got = b.swap(); len(got) > 0 || !rung {
			return got
		}
	}
}

func (b *Box[T]) swap() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	got := b.in
	clear(b.spare) // what the actor was given last time, and has done with
	b.in, b.spare = b.spare[:0], got
	return got
}
