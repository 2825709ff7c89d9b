package choice

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"time"

	"asterwell/internal/health"
	"asterwell/internal/policy"
	"asterwell/internal/ratecap"
)

// Adopt puts another policy in force: classes, plans, prices and the attempts that a
// request may have, of set, which has been validated. Version names it, the same at all
// gateways. Requests that are open keep the rules that they came under. Where version is
// 0 and the plans are the same, quotas stay as they are.
//
// How quotas go over is policy.Carry's rule. The units of the policy before stay on
// its own names of the counter: under other rates the same units stand for another
// time. What this gateway knows of them goes over with its customers' meters, as it
// does at each new period of names; and as there, ceilings go by even shares until
// the new counts are sound.
func (b *Balancer) ApplyPolicy(now time.Duration, version int64, set Settings) {
	if version > 0 || !slices.Equal(b.set.Plans, set.Plans) {
		b.exchange(now, version, set.Plans)
	}
	classes := b.classes
	b.classes, b.beat, b.slotPeriod = map[string]*class{}, set.Classes[0].Target, 0
	for _, c := range set.Classes {
		n := &class{Class: c, Latency: health.NewLatency(c.Target)}
		if was := classes[c.Name]; was != nil && was.Target == c.Target { // servers are as they were
			n.Latency, n.span, n.votes = was.Latency, was.span, was.votes
		}
		b.classes[c.Name] = n
		b.beat = min(b.beat, c.Target)
		b.slotPeriod = max(b.slotPeriod, c.Target, c.Deadline)
	}
	b.beat = max(b.beat/8, b.set.Tick)
	b.density = 0
	b.limit.ServersPerGateway *= float64(b.set.Gateways) / float64(set.Gateways) * max(1, set.ServerConcurrency/2) / max(1, b.set.ServerConcurrency/2)
	if b.set.Gateways, b.set.Index, b.set.ServerConcurrency = set.Gateways, set.Index, set.ServerConcurrency; set.RetryBudget > 0 {
		b.set.RetryRatio, b.set.RetryBudget = set.RetryRatio, set.RetryBudget
		b.retries = min(b.retries, set.RetryBudget)
	}
	b.limit.Init(now)
	b.spread = cmp.Or(set.TurnWeight, 1) * math.Sqrt(float64(set.Gateways)) / 20
	b.set.Classes, b.set.Plans, b.set.MaxAttempts = set.Classes, set.Plans, max(set.MaxAttempts, 1)
	b.set.CrossZone, b.set.CounterPrice, b.set.ProbePrice = set.CrossZone, set.CounterPrice, set.ProbePrice
	b.set.WastePrice, b.set.LateFailPrice, b.set.MaxUnits = set.WastePrice, set.LateFailPrice, set.MaxUnits
}

// exchange puts other plans in the place of those in force.
func (b *Balancer) exchange(now time.Duration, version int64, plans []Plan) {
	for name, then := range b.calls { // what has not been answered is taken as landed, as with any that is late
		delete(b.calls, name)
		then(now, CounterResult{Name: name, Status: Timeout})
	}
	old := b.plans
	b.plans, b.ended = map[string]*Plan{}, map[*Plan]bool{}
	for _, p := range plans {
		b.plans[p.Name] = &p
	}
	b.names = ""
	if version > 0 {
		b.names = ".p" + strconv.FormatInt(version, 36)
	}
	for _, p := range old {
		b.ended[p] = true
	}
	for _, c := range b.idlers {
		b.ended[c.plan] = true // those of earlier policies too
		if to := b.plans[c.plan.Name]; to != nil {
			b.carry(now, c, to)
		}
	}
	b.doubtAt = now
}

// carry takes a customer's meter over to another plan.
func (b *Balancer) carry(now time.Duration, c *customer, to *Plan) {
	from := c.plan
	room := math.Inf(1)
	if from.Rate > 0 {
		b.assume(now, c)
		room = from.Burst - max(0, (c.tat-now).Seconds())*from.Rate
	}
	if c.tat = now; to.Rate > 0 {
		room = policy.Carry(room, policy.Quota{Rate: to.Rate, Burst: to.Burst}, float64(c.width))
		c.tat = now + to.span(to.Burst-room)
	}
	switch terms := (ratecap.Limits{Rate: from.CeilingRate, Burst: from.CeilingBurst, QuotaRate: from.Rate, QuotaBurst: from.Burst, Gateways: float64(c.width)}); {
	case to.CeilingRate == 0:
	case from.CeilingRate == 0: // nobody knows what has gone by
		c.share = ratecap.New(now)
	default: // filled by the old terms until now, and cut to what the new ones hold when it is next used
		c.share.Allows(now, terms, 0)
	}
	c.plan, c.unsent, c.fix, c.owes, c.readAt, c.assumeAt = to, 0, 0, false, 0, now
}
