package quotas

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

const (
	periodLength    = 20 * time.Second
	periodRetention = 2 * periodLength
	largeFleet      = 250                    // gateways; in larger fleets periods are kept for half the time
	maxPeriods      = 4                      // periods of a tenant in larger fleets: gateways that alternate make holders issue many
	issueInterval   = 500 * time.Millisecond // between two periods where holders disagree
	listenTime      = 500 * time.Millisecond // after which a holder knows the levels
	levelExpiry     = 5 * time.Second        // without any add, levels are unknown again

	probeAfter         = 90 * time.Millisecond  // without a message, a gateway is probed
	holderProbeTimeout = 40 * time.Millisecond  // without an answer of the other holder, all gateways are probed
	probeTimeout       = 90 * time.Millisecond  // without an answer to a probe, a gateway counts as missing
	watchTime          = time.Second            // for which all are probed after a tenant was near its limit
	reportedWithin     = 2 * time.Second        // for which the holders probe each other after an add
	scarceGap          = 40 * time.Millisecond  // between unrequested totals to one gateway
	tickStall          = 200 * time.Millisecond // between ticks: this process was frozen
)

// periodTotals holds the sums of one tenant in one period, by gateway incarnation.
type periodTotals struct {
	period    uint64
	total     uint64
	sums      sumTable // by number of the incarnation
	usedAt    fsm.Time
	startedAt fsm.Time
}

// tenantUsage is what a counter knows of one tenant.
type tenantUsage struct {
	periods   []periodTotals // few, the newest last
	level     float64        // units of the burst in use, draining at the tenant's rate
	updatedAt fsm.Time
	interval  uint64 // emission interval of its limit in microseconds, as last told

	levelSince fsm.Time // listeningSince of the counter when level was last reset
}

// sender is a gateway and when its last add came.
type sender struct {
	gateway string
	at      fsm.Time
}

// Counter sums the units that gateways report as passed.
//
// Periods are increasing numbers. Each is issued by one holder, whose tag is in the lower bits: a holder
// that is read while another holder's period is in use issues a higher one. So the sums of a period start
// at 0 for all gateways at the holder that answers for it, and are never compared with sums of another
// holder.
type Counter struct {
	tag     uint64
	tenants map[string]*tenantUsage

	highestPeriod, ownPeriod uint64
	issuedAt                 fsm.Time
	listeningSince           fsm.Time // since when adds have come without a gap of levelExpiry
	heardAt                  fsm.Time
	sweptAt                  fsm.Time
	tickAt                   fsm.Time
	lastSenders              [2]sender // the last two different gateways
	heard                    bool
	resumed                  bool // at listeningSince the process had been frozen
	detector                 failureDetector
	scarce                   scarceTenants
	offsets                  map[string]offset // by gateway
	rosters                  rosters
	byPlace                  []*tenantUsage // tenants by their places in the newest roster, as far as adds have named them so
	incarnations             incarnations
	sendInterval             time.Duration // the gap between adds that gateways are asked for; 0: none
	intervalRaisedAt         fsm.Time      // when it was last raised
}

const tagBits = 16

// NewCounter makes the counter of one incarnation of a process.
func NewCounter(self string, incarnation uint64) *Counter {
	tag := (xxhash.Sum64String(self) ^ incarnation*0x9e3779b97f4a7c15) >> (64 - tagBits)
	return &Counter{tag: tag, tenants: map[string]*tenantUsage{}, offsets: map[string]offset{}, detector: failureDetector{self: self, peers: map[string]peer{}}}
}

// SetGateways sets the known gateways. A counter serves any gateway; its answers say how many of these are
// missing.
func (c *Counter) SetGateways(gateways []string) { c.detector.setGateways(gateways) }

// SetLimits sets the limits of the configuration. Gateways with the same limits may send places in the
// roster in place of names.
func (c *Counter) SetLimits(limits map[string]Limit) { c.SetRoster(NewRoster(limits)) }

// SetRoster is SetLimits with a roster that was made beforehand.
func (c *Counter) SetRoster(r *Roster) {
	if c.rosters.update(r) {
		c.byPlace = make([]*tenantUsage, len(r.names))
	}
}

// usageOf returns a tenant's usage, by its place in the newest roster if that is known (-1: it isn't).
func (c *Counter) usageOf(now fsm.Time, tenant string, place int32) *tenantUsage {
	if place >= 0 && c.byPlace[place] != nil {
		return c.byPlace[place]
	}
	usage := c.tenants[tenant]
	if usage == nil {
		usage = &tenantUsage{updatedAt: now}
		c.tenants[tenant] = usage
	}
	if place >= 0 {
		c.byPlace[place] = usage
	}
	return usage
}

// periodOf returns the totals of a period, or nil.
func (usage *tenantUsage) periodOf(period uint64) *periodTotals {
	for i := len(usage.periods) - 1; i >= 0; i-- {
		if usage.periods[i].period == period {
			return &usage.periods[i]
		}
	}
	return nil
}

// ProbeOverdue reports whether a gateway leaves a probe unanswered, so that another route to it should be
// tried.
func (c *Counter) ProbeOverdue(now fsm.Time, gateway string) bool {
	return c.detector.probeOverdue(now, gateway)
}

// Receive takes an add into the sums, and returns the answer to it, if it wants one.
func (c *Counter) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	if probe, ok := msg.(Answer); ok && probe.Probe {
		c.detector.heartbeat(now, from, true)
		return nil
	}
	a, ok := msg.(Add)
	if !ok {
		return nil
	}
	compact := len(a.Compact) > 0
	if compact {
		folded, valid := a.foldedIncarnation()
		off, known := c.offsets[from]
		if a, ok = a.Expand(off.incarnation); !valid || !ok {
			return nil
		}
		// This process has restarted, or forgotten the gateway, since it answered a full add.
		if !known || foldIncarnation(off.incarnation) != folded {
			return []fsm.Send{{To: from, Msg: Answer{Period: c.highestPeriod, Timestamp: a.Timestamp}.unknownIncarnation(folded)}}
		}
	} else if a.Incarnation == 0 { // a compact add that was relayed by a process of a version without them
		return nil
	}
	roster := c.rosters.byHash(a.RosterHash)
	accepted := len(a.Packed) == 0
	var places []int32 // of the first items and totals in the roster
	if roster != nil && !accepted {
		var items []Item
		if items, places, accepted = roster.items(a.Period, a.Packed); accepted {
			a.Items = append(items, a.Items...)
		} else {
			places = nil
		}
	}
	newest := roster != nil && roster == c.rosters[0]
	resumed := c.tickAt != 0 && now-c.tickAt > listenTime
	if !c.heard || now-c.heardAt > levelExpiry || resumed {
		c.heard, c.listeningSince, c.resumed = true, now, resumed
		c.detector.watch(now)
	}
	c.heardAt = now
	c.detector.receive(now, from, a)
	late := c.lateness(now, from, a)
	if c.lastSenders[0].gateway != from {
		c.lastSenders[1] = c.lastSenders[0]
	}
	c.lastSenders[0] = sender{from, now}
	c.highestPeriod = max(c.highestPeriod, a.Period)
	if a.Read {
		c.issuePeriod(now)
	}
	out := Answer{Incarnation: a.Incarnation, Period: c.highestPeriod, Timestamp: a.Timestamp, Missing: c.detector.missing(now), SendInterval: c.encodedInterval()}
	if other := c.lastSenders[1]; other.gateway != "" && other.gateway != from {
		out.HeardOthers = now-other.at < othersHeardWithin
	}
	incarnations := c.incarnations.observe(now, from, a.Incarnation)
	if len(a.Items) > 0 {
		out.Totals = make([]Total, 0, len(a.Items))
	}
	for i, item := range a.Items {
		place := int32(-1)
		if newest && i < len(places) {
			place = places[i]
		}
		usage := c.usageOf(now, item.Tenant, place)
		if item.Period == 0 { // the gateway doesn't know the period yet: the answer has the sums to start from
			item = Item{Tenant: item.Tenant, Period: c.highestPeriod, Interval: item.Interval}
		}
		usage.drain(now, c.listeningSince, item)
		level := usage.level
		others, own := usage.add(now, incarnations, item)
		if len(usage.periods) > maxPeriods && len(c.detector.gateways) > largeFleet {
			usage.periods = slices.Delete(usage.periods, 0, 1)
		}
		if c.resumed && now-c.listeningSince < listenTime {
			usage.level = level // adds of several seconds arrive at once
		} else if late > 0 {
			usage.level = level + drained(usage.level-level, late, item.Interval)
		}
		if item.NearLimit {
			c.scarce.note(now, item.Tenant)
		}
		if item.Used > 0 && late == 0 { // a new holder, or one that is told only now and then, may have missed some usage
			usage.level = max(usage.level, float64(item.Used-1)/milliUnits)
		}
		out.Totals = append(out.Totals, Total{Tenant: item.Tenant, Period: item.Period, Others: others, Own: own,
			Level: uint64(usage.level * milliUnits), LevelKnown: now-c.listeningSince >= listenTime && item.Interval > 0})
	}
	if a.Read {
		out.Totals = append(out.Totals, c.unrequestedTotals(now, from, a)...)
	}
	if a.Ping {
		out.Totals = nil
	} else if !a.Read && accepted {
		return nil
	}
	if own := c.rosters.newestHash(); a.RosterHash != 0 && (len(a.Packed) == 0 || own != a.RosterHash) {
		out.RosterHash = own
	}
	if len(a.Packed) > 0 && accepted {
		out.PackedAccepted = true
		out.Packed, out.Totals = roster.packTotals(out.Period, out.Totals, places)
	}
	if out.ReadsCompact = true; compact {
		out = out.compact()
	}
	return []fsm.Send{{To: from, Msg: out}}
}

// issuePeriod starts a period when the last one has ended or is another holder's.
func (c *Counter) issuePeriod(now fsm.Time) {
	age := now - c.issuedAt
	if c.ownPeriod != 0 && (age < issueInterval || c.ownPeriod == c.highestPeriod && age < periodLength) {
		return
	}
	c.highestPeriod = (c.highestPeriod>>tagBits+1)<<tagBits | c.tag
	c.ownPeriod, c.issuedAt = c.highestPeriod, now
}

// drain lowers the level by what has drained since the last item.
func (usage *tenantUsage) drain(now, since fsm.Time, item Item) {
	if usage.levelSince != since {
		usage.levelSince, usage.level = since, 0
	}
	if item.Interval > 0 {
		usage.level = max(0, usage.level-float64(now-usage.updatedAt)/1e3/float64(item.Interval))
		usage.updatedAt, usage.interval = now, item.Interval
	}
}

// add takes an item into its period, and returns the sum of the other gateways and that of this
// incarnation. Units that this holder sees for the first time need not be recent: only Unreported is added
// to the level, the rest has drained long ago.
func (usage *tenantUsage) add(now fsm.Time, incarnations []incarnation, item Item) (others, own uint64) {
	period := usage.periodOf(item.Period)
	if period == nil {
		next := periodTotals{period: item.Period, startedAt: now}
		// As many gateways as in the period before are expected.
		if k := len(usage.periods); k > 0 && now-usage.periods[k-1].startedAt >= periodLength/2 {
			next.sums = newSumTable(usage.periods[k-1].sums.used)
		}
		usage.periods = append(usage.periods, next)
		period = &usage.periods[len(usage.periods)-1]
	}
	period.usedAt = now
	last := incarnations[len(incarnations)-1].number
	old, known := period.sums.get(last)
	if increase := item.Sum - min(item.Sum, old); increase > 0 || !known {
		usage.level += float64(min(increase, item.Unreported)) / milliUnits
		period.sums.set(last, old+increase)
		period.total += increase
	}
	own = old + item.Sum - min(item.Sum, old)
	others = period.total - own
	for _, in := range incarnations[:len(incarnations)-1] {
		units, _ := period.sums.get(in.number)
		others -= units
	}
	return others, own
}

// others is the sum without any incarnation of a gateway.
func (period *periodTotals) others(incarnations []incarnation) uint64 {
	sum := period.total
	for _, in := range incarnations {
		units, _ := period.sums.get(in.number)
		sum -= units
	}
	return sum
}

// Tick probes gateways where that is necessary, and forgets periods that have not been used for retention.
func (c *Counter) Tick(now fsm.Time) []fsm.Send {
	c.tickAt = now
	c.sweep(now)
	return c.detector.tick(now)
}

// retention is how long an unused period is kept. With hundreds of gateways the periods take most of a
// holder's memory, and all gateways have left one some seconds after its end. A gateway that was
// partitioned for longer gets no sums of that time; it learns from the level.
func (c *Counter) retention() fsm.Time {
	if len(c.detector.gateways) > largeFleet {
		return periodLength
	}
	return periodRetention
}

func (c *Counter) sweep(now fsm.Time) {
	if now-c.sweptAt < periodLength/2 {
		return
	}
	c.sweptAt = now
	for gateway, off := range c.offsets {
		if now-off.since > 4*minWindow {
			delete(c.offsets, gateway)
		}
	}
	c.incarnations.sweep(now)
	for tenant, usage := range c.tenants {
		usage.periods = slices.DeleteFunc(usage.periods, func(period periodTotals) bool { return now-period.usedAt > c.retention() })
		if len(usage.periods) == 0 && now-usage.updatedAt > periodRetention {
			delete(c.tenants, tenant)
			if i, ok := c.rosters.place(tenant); ok {
				c.byPlace[i] = nil
			}
		}
	}
}
