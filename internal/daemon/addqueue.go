package daemon

import (
	"sync/atomic"
	"time"

	"asterwell/internal/controlplane"
	"asterwell/internal/quotas"
)

// Load shedding: adds from gateways are most of the messages that a counter's holder gets, and the only
// kind that a large fleet can send faster than one process handles them. They must not delay the other
// work of the control loop: a holder is a member of the core, and if its consensus messages and heartbeats
// are late, all processes take it for failed. So adds wait in a queue of their own, and are counted after
// all other messages, for a few milliseconds at a time. If more come than can be counted, those that have
// waited too long for their answers to be of use are dropped: sums are cumulative, so the next add
// includes what a dropped one reported, and a gateway that gets no answer keeps to its share.

const (
	countSlice         = 5 * time.Millisecond  // time spent on adds before other messages get their turn
	staleAddAge        = 45 * time.Millisecond // after this time the gateway is about to send it again
	smallQueue         = 128                   // up to this length nothing is dropped
	maxQueuedAdds      = 2048                  // beyond it adds aren't even decoded
	clockCheckInterval = 16                    // adds between two readings of the clock
)

// queuedAdd is an add in the queue.
type queuedAdd struct {
	frame    *frame
	queuedAt time.Time
}

// addQueue holds the adds that wait to be counted, the oldest first.
type addQueue struct {
	entries     []queuedAdd
	head        int          // index of the oldest entry
	pending     atomic.Int64 // adds in the queue and on their way to it
	dropped     atomic.Int64
	longestWait time.Duration // longest wait since the last tick, while the queue was not small
}

func (q *addQueue) len() int { return len(q.entries) - q.head }

// full reports whether another add would be dropped anyway.
func (q *addQueue) full() bool { return q.pending.Load() >= maxQueuedAdds }

// isAdd reports whether the frame carries an add, or a relayed add or its answer.
func (f *frame) isAdd() bool {
	switch m := f.Msg.(type) {
	case quotas.Add:
		return true
	case controlplane.Relay:
		return m.Add != nil || m.Answer != nil
	}
	return false
}

// enqueue passes a frame to the control loop.
func (p *Process) enqueue(f *frame) {
	if f.isAdd() {
		p.addQueue.pending.Add(1)
	}
	p.inbox.Put(f)
}

// push appends the frame if it is an add, and reports whether it is.
func (q *addQueue) push(f *frame, now time.Time) bool {
	if !f.isAdd() {
		return false
	}
	if q.head > 0 && len(q.entries) == cap(q.entries) {
		n := copy(q.entries, q.entries[q.head:])
		clear(q.entries[n:])
		q.entries, q.head = q.entries[:n], 0
	}
	q.entries = append(q.entries, queuedAdd{f, now})
	return true
}

// pop returns the oldest add that is still of use, or nil.
func (q *addQueue) pop(now time.Time) *frame {
	for q.len() > 0 {
		oldest := q.entries[q.head]
		q.entries[q.head] = queuedAdd{}
		q.pending.Add(-1)
		if q.head++; q.head == len(q.entries) {
			q.entries, q.head = q.entries[:0], 0
		}
		if q.len() >= smallQueue {
			q.longestWait = max(q.longestWait, now.Sub(oldest.queuedAt))
		}
		if q.len() < smallQueue || now.Sub(oldest.queuedAt) <= staleAddAge {
			return oldest.frame
		}
		q.dropped.Add(1)
	}
	return nil
}

// countAdds handles queued adds for a few milliseconds, and reports whether the queue is empty.
func (p *Process) countAdds() bool {
	began := time.Now()
	for n := 0; p.addQueue.len() > 0; n++ {
		now := began
		if n%clockCheckInterval == clockCheckInterval-1 {
			if now = time.Now(); now.Sub(began) > countSlice {
				break
			}
		}
		if f := p.addQueue.pop(now); f != nil {
			p.handle(f)
		}
	}
	return p.addQueue.len() == 0
}
