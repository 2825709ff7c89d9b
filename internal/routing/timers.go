package routing

import (
	"container/heap"
	"time"

	"asterwell/choice"
)

type timerKind int

const (
	balancerTimer timerKind = iota
	attemptTimer
	probeTimer
	gateTimer
)

type timer struct {
	at     time.Duration
	seq    uint64
	kind   timerKind
	token  string
	id     uint32
	number int
}

func (c *Core) schedule(d time.Duration, t timer) {
	c.timerSeq++
	if t.seq = c.timerSeq; c.replayTime > 0 {
		t.at = c.replayTime + d
	} else {
		t.at = c.now() + d
	}
	heap.Push(&c.timers, t)
}

func (t timer) fire(c *Core, now time.Duration) {
	switch t.kind {
	case balancerTimer:
		c.balancer.HandleTimer(now, t.token)
	case attemptTimer:
		if o := c.requests[t.id]; o != nil && t.number < len(o.attempts) && o.attempts[t.number].pending {
			c.abortAttempt(t.id, o, t.number, choice.Timeout)
		}
	case gateTimer:
		c.recheckGate(now)
	case probeTimer:
		if p, ok := c.probes[t.id]; ok && p.number == t.number {
			c.deps.Fleet.Cancel(t.id, Attempt{0, t.number})
			probeEnded{t.id, Attempt{0, t.number}, choice.Timeout, nil}.apply(c, now)
		}
	}
}

// timers is a heap, ordered by time.
type timers []timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *timers) Push(x any)   { *h = append(*h, x.(timer)) }
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = timer{}
	*h = old[:len(old)-1]
	return t
}
