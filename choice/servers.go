package choice

// The server list, what is known of each server, and the choice of the next one.

import (
	"cmp"
	"math"
	"slices"
	"time"

	"asterwell/internal/aperture"
	"asterwell/internal/health"
	"asterwell/internal/stride"
)

type backend struct {
	Member
	listed, probing bool
	use             float64 // share of its capacity that this gateway uses; 0: none
	position        stride.Position
	health.Server
	open                    []*attempt
	lastAnswer              time.Duration // last response of any kind
	allowance, reported     float64       // requests that it may get while cold; load that it reported
	allowanceAt, reportedAt time.Duration
	probedAt                time.Duration // last successful probe, if nothing was sent since; 0: none
	probeWait               float64       // its delay beyond the zone's fastest, relative to the mean
}

// HandleRoster updates the server list.
func (b *Balancer) HandleRoster(now time.Duration, update RosterUpdate) {
	if update.Broken {
		if b.cfg.Subscribe {
			b.host.SetTimer(b.interval, "watch")
		}
		return
	}
	for _, be := range b.backends {
		be.listed = be.listed && !update.Whole
	}
	for _, m := range update.Members {
		be := b.byID[m.ID]
		if be == nil {
			be = &backend{Server: health.Server{Slowness: 1}}
			b.byID[m.ID] = be
			b.backends = append(b.backends, be)
		}
		if m.Started > be.Started { // faults of the earlier process don't count
			be.Reset()
			be.allowance, be.allowanceAt = b.rng.Float64(), now
		}
		if be.Member, be.listed = m, m.State == Up; b.zones[m.Zone] == nil {
			b.zones[m.Zone] = &health.Zone{}
		}
		be.Server.Zone = b.zones[m.Zone]
	}
	slices.SortFunc(b.backends, func(x, y *backend) int { return int(int64(x.ID) - int64(y.ID)) })
	b.backends = slices.DeleteFunc(b.backends, func(be *backend) bool {
		gone := !be.listed && be.State != Draining && len(be.open) == 0 && !be.probing
		if gone {
			delete(b.byID, be.ID)
		}
		return gone
	})
	listed := 0.0
	for _, be := range b.backends {
		if be.listed {
			listed++
			b.meanWeight += (be.Weight - b.meanWeight) / listed
		}
	}
	b.limit.ServersPerGateway = b.serversPerGateway(listed)
	b.ring = aperture.Ring(b.backends, func(be *backend) aperture.Node {
		return aperture.Node{Key: cmp.Or(be.Key, uint64(be.ID)*0x9e3779b97f4a7c15), Zone: be.Member.Zone}
	})
	b.updateAperture(now)
	b.limit.Init(now)
}

// updateAperture selects the backends to use: few enough to use each often, so that statistics stay fresh and
// connections open. Others replace ejected ones and what cold ones lack in capacity.
func (b *Balancer) updateAperture(now time.Duration) {
	needed, current := max(minAperture, b.sendRate*contactGap.Seconds()), float64(b.wanted)
	if needed > 1.25*current || needed < 0.6*current {
		b.wanted = int(math.Ceil(needed))
	}
	weights := b.aperture.Weights(len(b.ring))
	b.lost, b.usedWeight, b.totalWeight = 0, 0, 0
	for i, be := range b.ring {
		if be.listed {
			b.totalWeight += b.weight(be)
			weights[i] = b.weight(be) * b.warmth(now, be)
		}
	}
	uses := b.aperture.Cover(b.cfg.Index, func(i int) bool { return !b.ring[i].Ejected() }, float64(b.wanted))
	for i, be := range b.ring {
		if be.use = uses[i]; be.Ejected() {
			b.lost += len(be.open)
		}
		b.usedWeight += b.weight(be) * be.use
	}
}

// probeOne probes a backend drawn by weight. Where a gateway rarely uses each backend, a recent probe tells
// more than statistics: it shows silent, stuck and overloaded ones; the better of two is far better than one.
// Probes have a price, and gateways may herd where a result is stale.
func (b *Balancer) probeOne(now time.Duration) {
	if !b.cfg.Probes {
		return
	}
	var best *backend
	least := math.MaxFloat64
	for _, be := range b.backends {
		if be.use > 0 && be.listed && !be.probing && !be.Ejected() && !b.fresh(now, be) && b.coldOK(now, be) {
			if draw := b.rng.ExpFloat64() / b.weight(be); draw < least {
				best, least = be, draw
			}
		}
	}
	if best != nil {
		best.probing = true
		b.host.Probe(best.ID)
	}
}

// fresh reports whether a recent probe succeeded. Each probe counts for one request.
func (b *Balancer) fresh(now time.Duration, be *backend) bool {
	return be.probedAt > 0 && now-be.probedAt < 8*b.interval // the shortest target
}

// pick returns the eligible backend with the least expected delay.
func (b *Balancer) pick(now time.Duration, r *request) (*backend, time.Duration) {
	var best *backend
	bestCost, bestPenalty, farAway := math.MaxFloat64, 0.0, CounterTTL.Seconds()
	for _, be := range b.backends {
		if !be.listed || !b.maySend(now, r, be) || !b.coldOK(now, be) {
			continue
		}
		unused := 0.0
		if be.use == 0 { // preferred only to backends that look bad
			unused = farAway / 2
		}
		cost := b.delay(now, r.class, be)
		if cold := b.warmth(now-b.cfg.OverloadTime, be) < 1; !cold || cost > r.class.Target.Seconds()/3 {
			distance := b.turns.Distance(&be.position, b.weight(be)*max(be.use, 0.05), b.rng.Float64())
			cost *= math.Exp(4 * b.turnWeight * distance)
		} else {
			cost *= b.rng.Float64() / 8 // take the chance: its allowance refills slowly
		}
		if slices.ContainsFunc(r.attempts, func(a *attempt) bool { return a.backend == be }) {
			cost += r.class.Target.Seconds() / 2
		}
		penalty := be.FaultRate * r.class.Target.Seconds() // a penalty, not a delay
		// Last, but not excluded: if all look bad, the fault may be at this gateway.
		if be.Ejected() {
			if b.cfg.Probes || now < be.EjectedUntil || len(be.open) > 0 || r.class.Effect == NonRetryable {
				cost += farAway
			} // else this request is a trial of whether it has recovered
		}
		if d := b.delay(now, r.class, be); b.fresh(now, be) && !be.Ejected() && d < 1.5*r.class.Mean {
			cost = d*(0.5+be.probeWait)/16 - farAway
		}
		if cost += unused + penalty; cost < bestCost {
			best, bestCost, bestPenalty = be, cost, penalty
		}
	}
	return best, seconds(math.Mod(bestCost-bestPenalty+farAway, farAway/2))
}

// weight is a backend's weight relative to the mean.
func (b *Balancer) weight(be *backend) float64 { return max(be.Weight, 0.1) / max(b.meanWeight, 0.1) }

// silence is how long a backend has sent nothing since its oldest pending attempt.
func (be *backend) silence(now time.Duration) time.Duration {
	if len(be.open) > 0 && be.lastAnswer < be.open[0].sentAt {
		return now - be.open[0].sentAt
	}
	return 0
}

// delay is the expected latency of one more request, in seconds.
func (b *Balancer) delay(now time.Duration, cl *class, be *backend) float64 {
	weight, open, warm := b.weight(be), float64(len(be.open)), b.warmth(now, be)
	delay := max(cl.Baseline/warm, cl.Mean*be.Slowness) * (1 + open/(weight*warm))
	if be.reportedAt > 0 && now-be.reportedAt < time.Second { // reported load includes other gateways
		delay = cl.Baseline * max(1, be.Slowness) / warm * (1 + (be.reported+open)/weight)
	}
	if silence := be.silence(now); silence > seconds(cl.Mean) { // it may be lost
		delay += silence.Seconds()
	}
	if be.Member.Zone != b.cfg.Zone {
		delay += b.cfg.CrossZone * cl.Target.Seconds()
	}
	return delay
}

// warmth is the least share of its full capacity that a backend may have while warming up.
func (b *Balancer) warmth(now time.Duration, be *backend) float64 {
	age := now - be.Started
	if be.Started <= 0 || age >= b.cfg.WarmupTime {
		return 1
	}
	from := max(b.cfg.ColdCapacity, 0.05)
	return from + (1-from)*max(0, age.Seconds())/b.cfg.WarmupTime.Seconds()
}

// coldOK limits what a cold backend gets (rule 4) to OverloadRatio times its even part at its least capacity:
// half as rate, half as burst. A random start makes parts far below one request add up over many gateways.
func (b *Balancer) coldOK(now time.Duration, be *backend) bool {
	window := max(b.cfg.OverloadTime, b.interval)
	warm := b.warmth(now-window, be)
	if warm >= 1 || b.cfg.OverloadRatio <= 0 {
		return true
	}
	even := be.use / b.usedWeight // backends outside the aperture are shared evenly by all gateways
	if be.use == 0 {
		even = 1 / b.totalWeight
	}
	rate := b.cfg.OverloadRatio / 2 * b.sendRate * warm * b.weight(be) * even
	be.allowance = min(be.allowance+rate*(now-be.allowanceAt).Seconds(), max(1, rate*window.Seconds()))
	be.allowanceAt = now
	return be.allowance >= 1
}

// observe updates a backend's statistics from the end of an attempt.
func (b *Balancer) observe(now time.Duration, a *attempt, o Outcome) {
	be, cl := a.backend, a.req.class
	took := o.Elapsed.Seconds()
	if l := o.Load; l != nil {
		be.reported, be.reportedAt = l.Queue+l.InFlight+l.Util, now
	}
	switch o.Status {
	case OK:
		be.lastAnswer = now
		be.ObserveSuccess(took / cl.Mean)
		b.faultRate -= b.faultRate * 0.02
		cl.Observe(took, b.limit.SampleWeight()*3/8)
		b.limit.Adjust(now, b.active(), now-a.sentAt > cl.Target*5/6 && cl.Queueing())
	case Overloaded, Error:
		be.lastAnswer = now
		be.ObserveFault()
		b.faultRate += (1 - b.faultRate) * 0.02
		// Servers that reject work answer fast and look idle, so rejections count as late responses too.
		b.limit.Adjust(now, b.active(), o.Status == Overloaded && b.faultRate > 0.1)
	case ConnectFailed, Reset:
		b.connectionBroke(now, be, o)
	case Timeout, Cancelled:
		if be.lastAnswer < a.sentAt && cl.Unresponsive(o.Elapsed*3/2) {
			b.eject(now, be)
		}
	}
	if o.Status <= Overloaded {
		be.Server.Zone.Responded()
	}
}

// active counts attempts in flight except at ejected backends. load is their moving mean.
func (b *Balancer) active() float64                { return float64(b.inFlight - b.lost) }
func (b *Balancer) load(now time.Duration) float64 { return b.limit.UpdateLoad(now, b.active()) }

// eject excludes a backend that looks dead, silent, unreachable or restarted, for a time that doubles with
// each ejection. It does harm if the fault is this gateway's own link. Several of a zone in a row stand for
// the whole zone: the rest of it is not tried one by one.
func (b *Balancer) eject(now time.Duration, be *backend) {
	zoneLost := be.Server.Zone.NoResponse(&be.Server, now)
	be.Eject(now, 2*b.interval)
	b.updateAperture(now)
	for _, x := range b.backends {
		if x == be || zoneLost && x.Server.Zone == be.Server.Zone {
			b.resendFrom(now, x)
		}
	}
}

// resendFrom retries at other backends the idempotent requests that wait for a lost one.
func (b *Balancer) resendFrom(now time.Duration, be *backend) {
	for _, a := range slices.Clone(be.open) {
		if r := a.req; r.inFlight == 1 && !r.done && r.class.Effect == Retryable && b.cfg.Hedging {
			b.retry(now, r)
		}
	}
}

func (b *Balancer) housekeep(now time.Duration) {
	for _, be := range b.backends {
		be.Decay(b.interval, b.faultRate)
		if silence := be.silence(now); silence > 0 && be.open[0].req.class.Unresponsive(silence) {
			b.eject(now, be)
		}
		if be.listed && !be.probing && b.cfg.Probes && be.ProbeDue(now, 4*b.interval) && b.coldOK(now, be) {
			be.probing = true
			be.allowance--
			b.host.Probe(be.ID)
		}
	}
	b.intervals++
	b.sendRate += (b.attempted/b.interval.Seconds() - b.sendRate) * max(1/b.intervals, b.interval.Seconds()/5)
	b.attempted = 0
	b.updateAperture(now)
	b.meters = slices.DeleteFunc(b.meters, func(c *customer) bool {
		b.syncCounter(now, c, false) // pending reports: there may be no further request
		idle := c.inFlight == 0 && c.call == "" && !c.claiming && now-c.seenAt > CounterTTL/3 && now > c.tat
		if idle {
			delete(b.customers, c.key)
		}
		return idle
	})
}

// HandleProbe processes the end of a probe.
func (b *Balancer) HandleProbe(now time.Duration, e ProbeResult) {
	be := b.byID[e.Backend]
	if be == nil {
		return
	}
	if be.probing = false; e.Status == NotExecuted { // unreadable response: it is alive, no more is known
		return
	}
	be.EjectedUntil = 0
	if e.Status != OK {
		b.eject(now, be)
		return
	}
	be.Server.Zone.Responded()
	be.lastAnswer, be.probedAt = now, now
	if l := e.Load; l != nil {
		be.reported, be.reportedAt = l.Queue+l.InFlight+l.Util, now
	}
	took, fastest := e.Elapsed.Seconds(), b.fastestProbe[be.Member.Zone]
	if fastest *= 1.002; fastest == 0 || took < fastest {
		fastest = took
	}
	b.fastestProbe[be.Member.Zone] = fastest
	b.probeDelay += (took - fastest - b.probeDelay) * 0.05
	be.probeWait = (took - fastest) / max(b.probeDelay, 1e-6)
}
