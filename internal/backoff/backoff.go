// Package backoff computes the delays of a gateway's calls to discovery: before the
// first one after a start, and after a failed one. There are two conflicting risks. A
// change in discovery counts as known to a gateway that doesn't ask for it, so that
// waiting may violate the rule on drains; and the calls of many gateways alone may
// overload a shared discovery service. Which one matters depends on the settings and
// on responses, not on the number of gateways: an agent on the gateway's own machine
// handles any number of calls, and its news counts as known at once; news of a shared
// service counts as known only from a configured age on. No I/O, no clock.
package backoff

import "time"

// Options describe the discovery service.
type Options struct {
	Shared     bool          // all gateways call one service; otherwise an agent on this machine answers
	MaxNewsAge time.Duration // of a shared service: age from which news counts as known to a gateway that has not asked; 0: unknown
	Gateways   int           // that share the service
}

const (
	initialPause = 20 * time.Millisecond // after the first failure
	// There may be news, so the call is repeated soon unless the service is overloaded.
	maxPauseShared = 320 * time.Millisecond
	// An agent's news counts as known when the agent has it. With 50 % jitter and the
	// time of a call, two attempts fit into the 500 ms that drains allow.
	maxPauseLocal = 160 * time.Millisecond

	perGateway     = 50 * time.Millisecond  // spreads the first calls to a shared service
	perGatewayBusy = 125 * time.Millisecond // spreads all calls, once the service has rejected some
	// Limits of the spread, as shares of the age at which news counts as known: of the
	// first call, and of the one after a failure, for which it may be four times as old.
	firstCallShare = 0.4
	busyPauseShare = 4 * 0.4
	defaultNewsAge = 10 * time.Second // for Options.MaxNewsAge
)

// Backoff is the backoff state of one gateway.
type Backoff struct {
	options Options
	pause   time.Duration // mean delay after the next failure
}

// New returns the state of a gateway that has just started.
func New(options Options) *Backoff {
	if options.MaxNewsAge <= 0 {
		options.MaxNewsAge = defaultNewsAge
	}
	return &Backoff{options: options, pause: initialPause}
}

// spreadOver is a time for each gateway, limited to a share of the news age.
func (p *Backoff) spreadOver(delay time.Duration, share float64) time.Duration {
	return min(time.Duration(p.options.Gateways)*delay, time.Duration(share*float64(p.options.MaxNewsAge)))
}

// InitialDelay is the delay before the first call after a start. odds is random from 0 to 1.
func (p *Backoff) InitialDelay(odds float64) time.Duration {
	if !p.options.Shared {
		return 0
	}
	return time.Duration(odds * float64(p.spreadOver(perGateway, firstCallShare)))
}

// NextDelay is the delay after a failed call: the pause with 50 % jitter by odds, so
// that gateways which failed together don't retry together. busy tells that discovery
// reported overload.
func (p *Backoff) NextDelay(busy bool, odds float64) time.Duration {
	maxPause := maxPauseLocal
	switch {
	case p.options.Shared && busy:
		p.pause = max(p.pause, p.spreadOver(perGateway, firstCallShare))
		maxPause = max(maxPauseShared, p.spreadOver(perGatewayBusy, busyPauseShare))
	case p.options.Shared:
		maxPause = maxPauseShared
	}
	p.pause = min(p.pause, maxPause)
	wait := p.pause/2 + time.Duration(odds*float64(p.pause))
	p.pause = min(2*p.pause, maxPause)
	return wait
}

// Reset starts over after a successful call or a move to another discovery service.
func (p *Backoff) Reset() { p.pause = initialPause }
