package daemon

import (
	"sync/atomic"
	"time"

	"asterwell/internal/controlplane"
	"asterwell/internal/quotas"
)

// Load shedding: what gateways tell the counters of a holder is most of what comes to it, and the only thing that a
// large fleet can send more of than one process takes in. It must not hold up what else the loop does:
// a holder is a member of the core, and one whose agreement and signs of life are late is gone for all.
// So adds wait by themselves and are counted when all else has been taken, a few milliseconds' worth at a
// time. Where more come than are counted, those that have waited too long for their answers to be of use
// are dropped: sums are cumulative, so that the next add tells what the dropped one did, and a gateway
// that gets no answer keeps to its share.

const (
	countFor   = 5 * time.Millisecond  // at a time
	staleAdd   = 45 * time.Millisecond // its gateway is about to repeat it
	fewAdds    = 128                   // as many wait for as long as it takes
	mostAdds   = 2048                  // beyond it they aren't even decoded
	countBatch = 16                    // between two looks at the clock
)

// queued is an add that waits.
type queued struct {
	frame *frame
	at    time.Time
}

// adds wait to be counted, the oldest first.
type adds struct {
	all     []queued
	head    int          // of those that wait
	waiting atomic.Int64 // how many, and how many are on their way to the loop
	dropped atomic.Int64
	waited  time.Duration // the longest lately, of one among many
}

func (a *adds) len() int { return len(a.all) - a.head }

// full says that another one would be dropped anyway.
func (a *adds) full() bool { return a.waiting.Load() >= mostAdds }

// tells: it is an add, or takes one round to a holder or its answer back.
func (f *frame) tells() bool {
	switch m := f.Msg.(type) {
	case quotas.Add:
		return true
	case controlplane.Relay:
		return m.Add != nil || m.Answer != nil
	}
	return false
}

// hand gives a frame to the loop.
func (p *Process) hand(f *frame) {
	if f.tells() {
		p.adds.waiting.Add(1)
	}
	p.box.Put(f)
}

// put takes in a frame if it is an add.
func (a *adds) put(f *frame, now time.Time) bool {
	if !f.tells() {
		return false
	}
	if a.head > 0 && len(a.all) == cap(a.all) {
		n := copy(a.all, a.all[a.head:])
		clear(a.all[n:])
		a.all, a.head = a.all[:n], 0
	}
	a.all = append(a.all, queued{f, now})
	return true
}

// next is the oldest that is still of use, or nil.
func (a *adds) next(now time.Time) *frame {
	for a.len() > 0 {
		q := a.all[a.head]
		a.all[a.head] = queued{}
		a.waiting.Add(-1)
		if a.head++; a.head == len(a.all) {
			a.all, a.head = a.all[:0], 0
		}
		if a.len() >= fewAdds {
			a.waited = max(a.waited, now.Sub(q.at))
		}
		if a.len() < fewAdds || now.Sub(q.at) <= staleAdd {
			return q.frame
		}
		a.dropped.Add(1)
	}
	return nil
}

// count takes what waits, for a few milliseconds, and says whether that was all.
func (p *Process) count() bool {
	began := time.Now()
	for n := 0; p.adds.len() > 0; n++ {
		now := began
		if n%countBatch == countBatch-1 {
			if now = time.Now(); now.Sub(began) > countFor {
				break
			}
		}
		if f := p.adds.next(now); f != nil {
			p.take(f)
		}
	}
	return p.adds.len() == 0
}
