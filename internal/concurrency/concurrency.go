// Package concurrency limits a gateway's attempts in flight, adapting to how many
// responses are late. The limit starts low, because overloaded servers take long to
// recover, gateways with a small part of the traffic can't correct each other, and
// after a start all customers have their full burst. No I/O, no clock.
package concurrency

import (
	"math"
	"time"
)

const (
	targetLateShare = 0.05 // of responses near or past their target: what the limit settles at
	startFactor     = 2    // initial limit, as a multiple of Min
	maxFactor       = 4    // highest limit, as a multiple of Min
)

// Limit is the adaptive limit of one gateway.
type Limit struct {
	Max               float64 // attempts in flight, above which requests are shed
	Load              float64 // moving mean of attempts in flight
	ServersPerGateway float64 // servers that are up, divided by gateways
	interval          time.Duration
	loadAt            time.Duration // last update of Load
	initialMax        float64       // initial Max; 0: it has been lowered since
}

// New returns an unlimited one, until Init. interval is an eighth of the shortest target.
func New(interval time.Duration) Limit { return Limit{Max: math.Inf(1), interval: interval} }

// Init sets the initial limit once servers are known. Load starts at one attempt, to avoid a rush of
// first requests. Servers may become known one by one: the initial limit rises with them until the
// first late response.
func (l *Limit) Init(now time.Duration) {
	start := startFactor * l.Min() * min(1, (1+l.ServersPerGateway)/2)
	switch {
	case l.ServersPerGateway <= 0:
	case math.IsInf(l.Max, 1):
		l.Max, l.initialMax = start, start
		l.Load, l.loadAt = min(l.Max, 1), now
	case l.initialMax > 0 && start > l.initialMax:
		l.Max, l.initialMax = max(l.Max, start), start
	}
}

// UpdateLoad returns the moving mean of attempts in flight. It spans six targets where
// there are few attempts: below one, the current number tells nothing, and a mean over
// one target still refused requests by chance. It lags if load doubles within that time.
func (l *Limit) UpdateLoad(now time.Duration, inFlight float64) float64 {
	rate := (1 + l.Load*l.Load) / float64(48*l.interval)
	l.Load += (max(0, inFlight) - l.Load) * (1 - math.Exp(-rate*float64(now-l.loadAt)))
	l.loadAt = now
	return l.Load
}

// SampleWeight is the weight of one response in moving means: the lower the load, the higher.
func (l *Limit) SampleWeight() float64 { return max(0.08, min(0.8/l.Load, 0.3)) }

// Min is the lowest limit: two attempts per server.
func (l *Limit) Min() float64 { return 2 * l.ServersPerGateway }

// Adjust moves the limit so that few responses are late, whether because of overload,
// lost servers or slow servers. Min ensures that there are responses to adapt to. It
// does harm where lateness isn't caused by load.
func (l *Limit) Adjust(now time.Duration, inFlight float64, late bool) {
	load, step, minimum := l.UpdateLoad(now, inFlight), l.SampleWeight(), l.Min()
	if l.Max = min(l.Max, maxFactor*minimum); late {
		l.initialMax = 0
		l.Max = max(minimum, l.Max*(1-step))
	} else if load > l.Max/2 {
		l.Max = l.Max*(1+step*targetLateShare/(1-targetLateShare)) + min(1, l.ServersPerGateway)*step/4
	}
}
