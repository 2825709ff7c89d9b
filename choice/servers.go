package choice

// Servers: which there are, what is believed of them, and which is next.

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
	part            float64 // of it that this gateway uses; 0: none
	seat            stride.Position
	health.Server
	outs            []*attempt
	heard           time.Duration // last answer of any kind
	allowed, queue  float64       // requests it may get while cold; as reported
	allowedAt, told time.Duration
	looked          time.Duration // a probe went well then, and nothing was sent since; 0: none
	wait            float64       // how long it took past the quickest of its zone, in usual such times
}

// Roster takes news of the fleet.
func (b *Balancer) HandleRoster(now time.Duration, news RosterUpdate) {
	if news.Broken {
		if b.set.Subscribe {
			b.act.SetTimer(b.beat, "watch")
		}
		return
	}
	for _, be := range b.fleet {
		be.listed = be.listed && !news.Whole
	}
	for _, m := range news.Members {
		be := b.byID[m.ID]
		if be == nil {
			be = &backend{Server: health.Server{Slowness: 1}}
			b.byID[m.ID] = be
			b.fleet = append(b.fleet, be)
		}
		if m.Started > be.Started { // a new process owes nothing for the old one's faults
			be.Reset()
			be.allowed, be.allowedAt = b.rng.Float64(), now
		}
		if be.Member, be.listed = m, m.State == Up; b.zones[m.Zone] == nil {
			b.zones[m.Zone] = &health.Zone{}
		}
		be.Server.Zone = b.zones[m.Zone]
	}
	slices.SortFunc(b.fleet, func(x, y *backend) int { return int(int64(x.ID) - int64(y.ID)) })
	b.fleet = slices.DeleteFunc(b.fleet, func(be *backend) bool {
		gone := !be.listed && be.State != Draining && len(be.outs) == 0 && !be.probing
		if gone {
			delete(b.byID, be.ID)
		}
		return gone
	})
	n := 0.0
	for _, be := range b.fleet {
		if be.listed {
			n++
			b.weight += (be.Weight - b.weight) / n
		}
	}
	b.limit.ServersPerGateway = b.share(n)
	b.ring = aperture.Ring(b.fleet, func(be *backend) aperture.Node {
		return aperture.Node{Key: cmp.Or(be.Key, uint64(be.ID)*0x9e3779b97f4a7c15), Zone: be.Member.Zone}
	})
	b.survey(now)
	b.limit.Init(now)
}

// survey marks the backends that this gateway uses: so few that it meets each often enough to know it, and to
// find its connection still open. What looks dead is made up for, and what is cold by what it lacks.
func (b *Balancer) survey(now time.Duration) {
	want, has := max(leastReach, b.sends*meetWithin.Seconds()), float64(b.reach)
	if want > 1.25*has || want < 0.6*has {
		b.reach = int(math.Ceil(want))
	}
	weights := b.cover.Weights(len(b.ring))
	b.stuck, b.mass, b.whole = 0, 0, 0
	for i, be := range b.ring {
		if be.listed {
			b.whole += b.size(be)
			weights[i] = b.size(be) * b.warmth(now, be)
		}
	}
	part := b.cover.Cover(b.set.Index, func(i int) bool { return !b.ring[i].Ejected() }, float64(b.reach))
	for i, be := range b.ring {
		if be.part = part[i]; be.Ejected() {
			b.stuck += len(be.outs)
		}
		b.mass += b.size(be) * be.part
	}
}

// scout probes a backend drawn by weight. A recent probe tells more than statistics, all the more where
// a gateway rarely uses each backend. The better of two is far better than one, but probes have a price.
func (b *Balancer) scout(now time.Duration) {
	if !b.set.Probes {
		return
	}
	var best *backend
	least := math.MaxFloat64
	for _, be := range b.fleet {
		if be.part > 0 && be.listed && !be.probing && !be.Ejected() && !b.fresh(now, be) &&
			b.coldRoom(now, be) {
			if e := b.rng.ExpFloat64() / b.size(be); e < least {
				best, least = be, e
			}
		}
	}
	if best != nil {
		best.probing = true
		b.act.Probe(best.ID)
	}
}

// fresh reports whether a probe has just shown a backend well. One look serves one request.
func (b *Balancer) fresh(now time.Duration, be *backend) bool {
	return be.looked > 0 && now-be.looked < 8*b.beat // the shortest aim
}

// pick returns the eligible backend with the least expected delay.
func (b *Balancer) pick(now time.Duration, r *request) (*backend, time.Duration) {
	var best *backend
	bestAt, odds, life := math.MaxFloat64, 0.0, CounterNameTTL.Seconds()
	for _, be := range b.fleet {
		if !be.listed || !b.maySend(now, r, be) || !b.coldRoom(now, be) {
			continue
		}
		far := 0.0
		if be.part == 0 { // before those that look bad
			far = life / 2
		}
		e := b.expect(now, r.class, be)
		if cold := b.warmth(now-b.set.OverloadTime, be) < 1; !cold || e > r.class.Target.Seconds()/3 {
			ahead := b.turns.Distance(&be.seat, b.size(be)*max(be.part, 0.05), b.rng.Float64())
			e *= math.Exp(4 * b.spread * ahead)
		} else {
			e *= b.rng.Float64() / 8 // its turn, which may be long in coming again
		}
		if slices.ContainsFunc(r.tries, func(a *attempt) bool { return a.to == be }) {
			e += r.class.Target.Seconds() / 2
		}
		fault := be.FaultRate * r.class.Target.Seconds() // no delay, but as bad
		// Last of all, not never: when all look bad, this gateway may be at fault.
		if be.Ejected() {
			if b.set.Probes || now < be.EjectedUntil || len(be.outs) > 0 || r.class.Effect == NonRetryable {
				e += life
			} // else this is a trial: one request shows whether it is back
		}
		if d := b.expect(now, r.class, be); b.fresh(now, be) && !be.Ejected() && d < 1.5*r.class.Mean {
			e = d*(0.5+be.wait)/16 - life
		}
		if e += far + fault; e < bestAt {
			best, bestAt, odds = be, e, fault
		}
	}
	return best, seconds(math.Mod(bestAt-odds+life, life/2))
}

// size is a backend's roster weight against the mean.
func (b *Balancer) size(be *backend) float64 { return max(be.Weight, 0.1) / max(b.weight, 0.1) }

// quiet is how long a backend has said nothing to its oldest attempt.
func (be *backend) quiet(now time.Duration) time.Duration {
	if len(be.outs) > 0 && be.heard < be.outs[0].sent {
		return now - be.outs[0].sent
	}
	return 0
}

// expect is the delay in seconds that one more request should meet.
func (b *Balancer) expect(now time.Duration, cl *class, be *backend) float64 {
	w, q, warm := b.size(be), float64(len(be.outs)), b.warmth(now, be)
	e := max(cl.Baseline/warm, cl.Mean*be.Slowness) * (1 + q/(w*warm))
	if be.told > 0 && now-be.told < time.Second { // reported load says more than what this gateway sees
		e = cl.Baseline * max(1, be.Slowness) / warm * (1 + (be.queue+q)/w)
	}
	if quiet := be.quiet(now); quiet > seconds(cl.Mean) { // silent so far: maybe for good
		e += quiet.Seconds()
	}
	if be.Member.Zone != b.set.Zone {
		e += b.set.CrossZone * cl.Target.Seconds()
	}
	return e
}

// warmth is the least share of its capacity that a backend can have now.
func (b *Balancer) warmth(now time.Duration, be *backend) float64 {
	age := now - be.Started
	if be.Started <= 0 || age >= b.set.WarmupTime {
		return 1
	}
	from := max(b.set.ColdCapacity, 0.05)
	return from + (1-from)*max(0, age.Seconds())/b.set.WarmupTime.Seconds()
}

// coldRoom keeps a cold backend from being pushed over (rule 4): FallMultiple times its even part of what
// this gateway sends, by least capacity, half at a steady rate, half at once. It starts at random: gateways
// with far less than one request each take turns, and the sum stays right.
func (b *Balancer) coldRoom(now time.Duration, be *backend) bool {
	window := max(b.set.OverloadTime, b.beat)
	warm := b.warmth(now-window, be)
	if warm >= 1 || b.set.OverloadRatio <= 0 {
		return true
	}
	even := be.part / b.mass // what is not this gateway's own is all gateways': they share it evenly
	if be.part == 0 {
		even = 1 / b.whole
	}
	rate := b.set.OverloadRatio / 2 * b.sends * warm * b.size(be) * even
	be.allowed = min(be.allowed+rate*(now-be.allowedAt).Seconds(), max(1, rate*window.Seconds()))
	be.allowedAt = now
	return be.allowed >= 1
}

// learn updates what is believed of a backend by the end of an attempt.
func (b *Balancer) learn(now time.Duration, a *attempt, o Outcome) {
	be, cl := a.to, a.req.class
	took := o.Elapsed.Seconds()
	if l := o.Load; l != nil {
		be.queue, be.told = l.Queue+l.InFlight+l.Util, now
	}
	switch o.Status {
	case OK:
		be.heard = now
		be.ObserveSuccess(took / cl.Mean)
		b.faults -= b.faults * 0.02
		cl.Observe(took, b.limit.SampleWeight()*3/8)
		b.limit.Adjust(now, b.active(), now-a.sent > cl.Target*5/6 && cl.Queueing())
	case Overloaded, Error:
		be.heard = now
		be.ObserveFault()
		b.faults += (1 - b.faults) * 0.02
		b.limit.Adjust(now, b.active(), o.Status == Overloaded && b.faults > 0.1) // they look idle; few drain
	case ConnectFailed, Reset:
		b.broke(now, be, o)
	case Timeout, Cancelled:
		if be.heard < a.sent && cl.Unresponsive(o.Elapsed*3/2) {
			b.eject(now, be)
		}
	}
	if o.Status <= Overloaded {
		be.Server.Zone.Responded()
	}
}

// active is the attempts out, those at backends that look dead left out. busy is their mean.
func (b *Balancer) active() float64                { return float64(b.open - b.stuck) }
func (b *Balancer) busy(now time.Duration) float64 { return b.limit.UpdateLoad(now, b.active()) }

// eject takes a backend out of the choice for a time that doubles with each strike. It meets whatever makes a
// backend useless from here: dead, silent, cut off, restarted. It may hurt when the link at fault is ours.
// Several that fail in a row speak for their zone: what is left of it is not tried one by one.
func (b *Balancer) eject(now time.Duration, be *backend) {
	lost := be.Server.Zone.NoResponse(&be.Server, now)
	be.Eject(now, 2*b.beat)
	b.survey(now)
	for _, x := range b.fleet {
		if x == be || lost && x.Server.Zone == be.Server.Zone {
			b.strand(now, x)
		}
	}
}

// strand sends elsewhere what may go, of what waits for a backend that looks dead.
func (b *Balancer) strand(now time.Duration, be *backend) {
	for _, a := range slices.Clone(be.outs) {
		if r := a.req; r.out == 1 && !r.done && r.class.Effect == Retryable && b.set.Hedging {
			b.again(now, r)
		}
	}
}

func (b *Balancer) housekeep(now time.Duration) {
	for _, be := range b.fleet {
		be.Decay(b.beat, b.faults)
		if quiet := be.quiet(now); quiet > 0 && be.outs[0].req.class.Unresponsive(quiet) {
			b.eject(now, be)
		}
		if be.listed && !be.probing && b.set.Probes && be.ProbeDue(now, 4*b.beat) && b.coldRoom(now, be) {
			be.probing = true
			be.allowed--
			b.act.Probe(be.ID)
		}
	}
	b.beats++
	b.sends += (b.sent/b.beat.Seconds() - b.sends) * max(1/b.beats, b.beat.Seconds()/5)
	b.sent = 0
	b.survey(now)
	b.idlers = slices.DeleteFunc(b.idlers, func(c *customer) bool {
		b.sync(now, c, false) // what is owed: no request may come to carry it
		idle := c.out == 0 && c.call == "" && !c.asking && now-c.seen > CounterNameTTL/3 && now > c.tat
		if idle {
			delete(b.customers, c.key)
		}
		return idle
	})
}

// Probed takes the end of a probe.
func (b *Balancer) HandleProbe(now time.Duration, e ProbeResult) {
	be := b.byID[e.Backend]
	if be == nil {
		return
	}
	if be.probing = false; e.Status == NotExecuted { // spoilt: it lives, and tells nothing of itself
		return
	}
	be.EjectedUntil = 0
	if e.Status != OK {
		b.eject(now, be)
		return
	}
	be.Server.Zone.Responded()
	be.heard, be.looked = now, now
	if l := e.Load; l != nil {
		be.queue, be.told = l.Queue+l.InFlight+l.Util, now
	}
	took, least := e.Elapsed.Seconds(), b.quickest[be.Member.Zone]
	if least *= 1.002; least == 0 || took < least {
		least = took
	}
	b.quickest[be.Member.Zone] = least
	b.usual += (took - least - b.usual) * 0.05
	be.wait = (took - least) / max(b.usual, 1e-6)
}
