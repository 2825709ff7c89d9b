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

// ApplyPolicy puts another policy in force: the classes, plans, prices and limits on
// attempts of set, which has been validated. The version is the same at all gateways.
// Open requests keep the rules that they arrived under. If version is 0 and the plans
// are equal, quotas stay as they are.
//
// Quotas are converted by policy.Carry. Units of the earlier policy stay under its own
// counter names, since under other rates the same units stand for another time. What
// this gateway knows of them moves with its customers' meters, as at the start of each
// counter period. As there, ceilings use even shares until the new counts are complete.
func (b *Balancer) ApplyPolicy(now time.Duration, version int64, set Settings) {
	if version > 0 || !slices.Equal(b.cfg.Plans, set.Plans) {
		b.replacePlans(now, version, set.Plans)
	}
	classes := b.classes
	b.classes, b.interval, b.claimPeriod = map[string]*class{}, set.Classes[0].Target, 0
	for _, c := range set.Classes {
		n := &class{Class: c, Latency: health.NewLatency(c.Target)}
		if was := classes[c.Name]; was != nil && was.Target == c.Target { // latency does not depend on the policy
			n.Latency, n.usualWait, n.votes = was.Latency, was.usualWait, was.votes
		}
		b.classes[c.Name] = n
		b.interval = min(b.interval, c.Target)
		b.claimPeriod = max(b.claimPeriod, c.Target, c.Deadline)
	}
	b.interval = max(b.interval/8, b.cfg.Tick)
	b.valueRate = 0
	b.limit.ServersPerGateway *= float64(b.cfg.Gateways) / float64(set.Gateways) * max(1, set.ServerConcurrency/2) / max(1, b.cfg.ServerConcurrency/2)
	if b.cfg.Gateways, b.cfg.Index, b.cfg.ServerConcurrency = set.Gateways, set.Index, set.ServerConcurrency; set.RetryBudget > 0 {
		b.cfg.RetryRatio, b.cfg.RetryBudget = set.RetryRatio, set.RetryBudget
		b.tokens = min(b.tokens, set.RetryBudget)
	}
	b.limit.Init(now)
	b.turnWeight = cmp.Or(set.TurnWeight, 1) * math.Sqrt(float64(set.Gateways)) / 20
	b.cfg.Classes, b.cfg.Plans, b.cfg.MaxAttempts = set.Classes, set.Plans, max(set.MaxAttempts, 1)
	b.cfg.CrossZone, b.cfg.CounterPrice, b.cfg.ProbePrice = set.CrossZone, set.CounterPrice, set.ProbePrice
	b.cfg.WastePrice, b.cfg.LateFailPrice, b.cfg.MaxUnits = set.WastePrice, set.LateFailPrice, set.MaxUnits
}

// replacePlans replaces the plans and moves the customers' meters to the new ones.
func (b *Balancer) replacePlans(now time.Duration, version int64, plans []Plan) {
	for name, handle := range b.counterCalls { // unanswered calls count as added, like timeouts
		delete(b.counterCalls, name)
		handle(now, CounterResult{Name: name, Status: Timeout})
	}
	old := b.plans
	b.plans, b.oldPlans = map[string]*Plan{}, map[*Plan]bool{}
	for _, p := range plans {
		b.plans[p.Name] = &p
	}
	b.counterSuffix = ""
	if version > 0 {
		b.counterSuffix = ".p" + strconv.FormatInt(version, 36)
	}
	for _, p := range old {
		b.oldPlans[p] = true
	}
	for _, c := range b.meters {
		b.oldPlans[c.plan] = true // includes plans of earlier policies
		if to := b.plans[c.plan.Name]; to != nil {
			b.transfer(now, c, to)
		}
	}
	b.doubtedAt = now
}

// transfer moves a customer's meter to another plan.
func (b *Balancer) transfer(now time.Duration, c *customer, to *Plan) {
	from := c.plan
	room := math.Inf(1)
	if from.Rate > 0 {
		b.assumeOthers(now, c)
		room = from.Burst - max(0, (c.tat-now).Seconds())*from.Rate
	}
	if c.tat = now; to.Rate > 0 {
		room = policy.Carry(room, policy.Quota{Rate: to.Rate, Burst: to.Burst}, float64(c.gateways))
		c.tat = now + to.span(to.Burst-room)
	}
	switch terms := (ratecap.Limits{Rate: from.CeilingRate, Burst: from.CeilingBurst, QuotaRate: from.Rate, QuotaBurst: from.Burst, Gateways: float64(c.gateways)}); {
	case to.CeilingRate == 0:
	case from.CeilingRate == 0: // earlier use is unknown
		c.ceiling = ratecap.New(now)
	default: // refill by the old limits until now; the next use cuts it to the new ones
		c.ceiling.Allows(now, terms, 0)
	}
	c.plan, c.unreported, c.idleUnits, c.owesUnits, c.readAt, c.assumedUntil = to, 0, 0, false, 0, now
}
