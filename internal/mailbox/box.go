// Package mailbox provides the message queue of the gateway's actors: one goroutine
// takes messages in order of arrival, and senders never block.
package mailbox

import (
	"sync"
	"time"

	"asterwell/internal/hostenv"
)

// Box is an unbounded mailbox. A bounded one could deadlock two actors that send
// to each other; the number of open requests bounds the number of messages.
type Box[T any] struct {
	mu       sync.Mutex
	queued   []T
	spare    []T
	host     hostenv.Host
	notifier hostenv.Notifier
}

// NewBox returns an empty mailbox on a host (nil: hostenv.Real).
func NewBox[T any](host hostenv.Host) *Box[T] {
	host = hostenv.OrReal(host)
	return &Box[T]{host: host, notifier: host.NewNotifier()}
}

// Put adds a message.
func (b *Box[T]) Put(m T) {
	b.mu.Lock()
	b.queued = append(b.queued, m)
	first := len(b.queued) == 1
	b.mu.Unlock()
	if first {
		b.notifier.Notify()
	}
}

// Take returns the queued messages in order. If there are none it waits up to wait
// for the first one (negative: no timeout), and returns an empty slice on timeout.
// The slice is valid until the next call. Only the owning actor may call it.
func (b *Box[T]) Take(wait time.Duration) []T {
	got := b.swap()
	if len(got) > 0 || wait == 0 {
		return got
	}
	if wait < 0 {
		for len(got) == 0 { // a notification may be left from messages already taken
			b.notifier.Wait(-1)
			got = b.swap()
		}
		return got
	}
	for end := b.host.Now().Add(wait); ; wait = end.Sub(b.host.Now()) {
		rung := wait > 0 && b.notifier.Wait(wait)
		if got = b.swap(); len(got) > 0 || !rung {
			return got
		}
	}
}

func (b *Box[T]) swap() []T {
	b.mu.Lock()
	defer b.mu.Unlock()
	got := b.queued
	clear(b.spare) // the previous batch, which the actor has processed
	b.queued, b.spare = b.spare[:0], got
	return got
}
