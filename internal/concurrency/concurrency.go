// Package concurrency steers how many attempts a gateway may have out, by whether
// answers come late. Servers that once hold too much stay jammed for long, so it
// starts low: gateways that see a sliver of the traffic each cannot even it out,
// and at a start all their customers' stores are full. No I/O, no clock.
package concurrency

import (
	"math"
	"time"
)

const (
	lateShare = 0.05 // of answers near or past their aim: what it steers for
	startOver = 2    // where it starts, in its floor
	mostOver  = 4    // where it ends
)

// Limit is a gateway's.
type Limit struct {
	Max               float64 // attempts that may be out before requests are shed
	Load              float64 // mean of those that are
	ServersPerGateway float64 // servers up, for each gateway
	beat              time.Duration
	at                time.Duration // of Load
	from              float64       // what Max began at; 0: it has been lowered since
}

// New returns one that has not begun. beat is an eighth of the shortest aim.
func New(beat time.Duration) Limit { return Limit{Max: math.Inf(1), beat: beat} }

// Begin sets the start once servers are known, as with one attempt out: no rush of first requests.
// They may become known one by one: until answers have come late, the start moves up with them.
func (l *Limit) Init(now time.Duration) {
	start := startOver * l.Min() * min(1, (1+l.ServersPerGateway)/2)
	switch {
	case l.ServersPerGateway <= 0:
	case math.IsInf(l.Max, 1):
		l.Max, l.from = start, start
		l.Load, l.at = min(l.Max, 1), now
	case l.from > 0 && start > l.from:
		l.Max, l.from = max(l.Max, start), start
	}
}

// Busy is the mean of attempts out, over six aims where they are few: below one,
// the number of the moment says nothing, and a mean over one aim still refused by
// chance. It may hurt when load doubles within those.
func (l *Limit) UpdateLoad(now time.Duration, out float64) float64 {
	rate := (1 + l.Load*l.Load) / float64(48*l.beat)
	l.Load += (max(0, out) - l.Load) * (1 - math.Exp(-rate*float64(now-l.at)))
	l.at = now
	return l.Load
}

// Pace is the weight of one answer in what is learnt of load: the more, the fewer there are.
func (l *Limit) SampleWeight() float64 { return max(0.08, min(0.8/l.Load, 0.3)) }

// Floor is the least that it may be: two attempts a server.
func (l *Limit) Min() float64 { return 2 * l.ServersPerGateway }

// Steer moves the limit, so that few answers come late, be it of overload, a
// shrunken fleet or slow servers. Its floor keeps answers to learn from. It may
// hurt where lateness does not come of load.
func (l *Limit) Adjust(now time.Duration, out float64, late bool) {
	load, step, least := l.UpdateLoad(now, out), l.SampleWeight(), l.Min()
	if l.Max = min(l.Max, mostOver*least); late {
		l.from = 0
		l.Max = max(least, l.Max*(1-step))
	} else if load > l.Max/2 {
		l.Max = l.Max*(1+step*lateShare/(1-lateShare)) + min(1, l.ServersPerGateway)*step/4
	}
}
