// Package backoff paces a gateway's calls to discovery: when it makes the first
// one after a start, and how long it waits after one that failed. Two things
// pull against each other. What discovery has to tell counts as told to a gateway
// that does not ask, so that waiting may break the rule on drains; and a
// discovery that many gateways share can be kept from answering anybody by their
// calls alone. Which of them binds is told by the settings and by what the calls
// show, not by the number of gateways: an agent on the gateway's own machine
// bears any number of calls, and all that it has is told; a shared discovery
// leaves time until a stated age of the news. No I/O, no clock.
package backoff

import "time"

// Terms tell what discovery is like.
type Options struct {
	Shared     bool          // calls of all gateways go to one service; else an agent on this machine answers
	MaxNewsAge time.Duration // of a shared one: what is listed counts as told to a gateway that has not asked for so long; 0: not known
	Gateways   int           // that share it
}

const (
	first = 20 * time.Millisecond // after the first failure
	// News may be waiting, so a failure that says nothing of a crowd is followed up soon.
	mostAlone = 320 * time.Millisecond
	// An agent's news is told when the agent has it: with half as much again by
	// chance and a call's time, two tries fit into the 500 ms that drains leave.
	mostLocal = 160 * time.Millisecond

	each     = 50 * time.Millisecond  // of a shared discovery's time, for each gateway's first call
	eachBusy = 125 * time.Millisecond // and for each call, once it has turned some away
	// Shares of the age at which news counts as told: the first call's latest time,
	// and that of the next one after a failure, which may be four times as old.
	shareFirst = 0.4
	shareBusy  = 4 * 0.4
	unknown    = 10 * time.Second // for Within
)

// Pace is where a gateway stands.
type Backoff struct {
	terms Options
	pause time.Duration // after the next failure, on the mean
}

// New returns the pace of a gateway that has just started.
func New(t Options) *Backoff {
	if t.MaxNewsAge <= 0 {
		t.MaxNewsAge = unknown
	}
	return &Backoff{terms: t, pause: first}
}

// share is a time for each gateway, up to a share of the news' age.
func (p *Backoff) share(each time.Duration, part float64) time.Duration {
	return min(time.Duration(p.terms.Gateways)*each, time.Duration(part*float64(p.terms.MaxNewsAge)))
}

// First is the wait before the first call after a start. odds is drawn from 0 to 1.
func (p *Backoff) InitialDelay(odds float64) time.Duration {
	if !p.terms.Shared {
		return 0
	}
	return time.Duration(odds * float64(p.share(each, shareFirst)))
}

// Failed is the wait after a call that failed: from half the pause to half as
// much again by odds, so that gateways which failed together do not come back
// together. busy: discovery said that it has too much to do.
func (p *Backoff) NextDelay(busy bool, odds float64) time.Duration {
	most := mostLocal
	switch {
	case p.terms.Shared && busy:
		p.pause = max(p.pause, p.share(each, shareFirst))
		most = max(mostAlone, p.share(eachBusy, shareBusy))
	case p.terms.Shared:
		most = mostAlone
	}
	p.pause = min(p.pause, most)
	wait := p.pause/2 + time.Duration(odds*float64(p.pause))
	p.pause = min(2*p.pause, most)
	return wait
}

// Heard tells of a call that went well, or of a move to another discovery.
func (p *Backoff) Reset() { p.pause = first }
