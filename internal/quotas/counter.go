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
	largeFleet      = 250                    // gateways, above which it is half of that,
	maxPeriods      = 4                      // and a tenant has no more of them: where gateways go to and fro between holders, each issues period after period
	issueInterval   = 500 * time.Millisecond // between periods, where holders disagree
	listenTime      = 500 * time.Millisecond // after which a holder knows the levels
	levelExpiry     = 5 * time.Second        // without any add, what is known of levels is void

	probeAfter         = 90 * time.Millisecond  // without a sign of a gateway, it is asked for one
	holderProbeTimeout = 40 * time.Millisecond  // without an answer of the other holder, all are asked
	probeTimeout       = 90 * time.Millisecond  // without an answer, a gateway is out of sight
	watchTime          = time.Second            // since a tenant was near its limit
	reportedWithin     = 2 * time.Second        // since gateways told anything
	scarceGap          = 40 * time.Millisecond  // between what a gateway is told unasked
	tickStall          = 200 * time.Millisecond // between ticks: this process stood still
)

// periodTotals is one name: what each life of a gateway has passed in it.
type periodTotals struct {
	period    uint64
	total     uint64
	sums      sumTable // by the life's number
	usedAt    fsm.Time
	startedAt fsm.Time
}

// tenantUsage is one tenant.
type tenantUsage struct {
	periods   []periodTotals // few, the newest last
	level     float64        // units of the burst in use, draining at the tenant's rate
	updatedAt fsm.Time
	interval  uint64 // of its limit, as last told

	levelSince fsm.Time // the counter's, when level began
}

// sender is when a gateway was heard.
type sender struct {
	gateway string
	at      fsm.Time
}

// Counter sums what the gateways say that they have passed.
//
// Periods are numbers that only grow, and each is issued by one holder, whose
// tag is in the lower bits: a holder that is read while a number of another is
// in use issues its own above it. So a name's sums start at nothing for all
// gateways at the holder that answers for it, and no sum of another holder is
// ever measured against them.
type Counter struct {
	tag     uint64
	tenants map[string]*tenantUsage

	highestPeriod, ownPeriod uint64
	issuedAt                 fsm.Time
	listeningSince           fsm.Time // listening without a gap
	heardAt                  fsm.Time
	sweptAt                  fsm.Time
	tickAt                   fsm.Time
	lastSenders              [2]sender // the last two gateways that were heard
	heard                    bool
	resumed                  bool // since then, it was frozen before
	detector                 failureDetector
	scarce                   scarceTenants
	offsets                  map[string]offset // of gateways
	rosters                  rosters
	byPlace                  []*tenantUsage // by their places in the newest roster, as far as they were told so
	incarnations             incarnations
	sendInterval             time.Duration // that it asks of gateways; 0: none
	intervalRaisedAt         fsm.Time      // when it was last raised
}

const tagBits = 16

// NewCounter makes the counter of one life of a process.
func NewCounter(self string, life uint64) *Counter {
	tag := (xxhash.Sum64String(self) ^ life*0x9e3779b97f4a7c15) >> (64 - tagBits)
	return &Counter{tag: tag, tenants: map[string]*tenantUsage{}, offsets: map[string]offset{}, detector: failureDetector{self: self, peers: map[string]peer{}}}
}

// SetGateways takes the gateways there are. A counter serves who asks; but it tells how many
// of these it doesn't hear.
func (c *Counter) SetGateways(gateways []string) { c.detector.setGateways(gateways) }

// SetLimits takes the limits of the configuration: gateways that have the same may say numbers
// in place of names.
func (c *Counter) SetLimits(limits map[string]Limit) { c.SetRoster(NewRoster(limits)) }

// SetRoster is Limits with the roster made already.
func (c *Counter) SetRoster(r *Roster) {
	if c.rosters.update(r) {
		c.byPlace = make([]*tenantUsage, len(r.names))
	}
}

// usageOf is a tenant's, by its place where an add has told that.
func (c *Counter) usageOf(now fsm.Time, tenant string, place int32) *tenantUsage {
	if place >= 0 && c.byPlace[place] != nil {
		return c.byPlace[place]
	}
	l := c.tenants[tenant]
	if l == nil {
		l = &tenantUsage{updatedAt: now}
		c.tenants[tenant] = l
	}
	if place >= 0 {
		c.byPlace[place] = l
	}
	return l
}

// periodOf is the tally of a period; nil: there is none.
func (l *tenantUsage) periodOf(period uint64) *periodTotals {
	for i := len(l.periods) - 1; i >= 0; i-- {
		if l.periods[i].period == period {
			return &l.periods[i]
		}
	}
	return nil
}

// ProbeOverdue reports whether a gateway leaves a question unanswered, so that another way to it
// should be tried.
func (c *Counter) ProbeOverdue(now fsm.Time, gateway string) bool {
	return c.detector.probeOverdue(now, gateway)
}

// Receive sums an add, and answers if it is to be answered.
func (c *Counter) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	if ask, ok := msg.(Answer); ok && ask.Probe {
		c.detector.heartbeat(now, from, true)
		return nil
	}
	a, ok := msg.(Add)
	if !ok {
		return nil
	}
	brief := len(a.Compact) > 0
	if brief {
		folded, there := a.foldedIncarnation()
		o, known := c.offsets[from]
		if a, ok = a.Expand(o.life); !there || !ok {
			return nil
		}
		if !known || foldIncarnation(o.life) != folded { // this process, or what it remembered, is gone since
			return []fsm.Send{{To: from, Msg: Answer{Period: c.highestPeriod, Timestamp: a.Timestamp}.unknownIncarnation(folded)}}
		}
	} else if a.Incarnation == 0 { // one that was shortened, by way of a process that doesn't know that
		return nil
	}
	roster := c.rosters.byHash(a.RosterHash)
	taken := len(a.Packed) == 0
	var places []int32 // of the first items and totals
	if roster != nil && !taken {
		var items []Item
		if items, places, taken = roster.items(a.Period, a.Packed); taken {
			a.Items = append(items, a.Items...)
		} else {
			places = nil
		}
	}
	newest := roster != nil && roster == c.rosters[0]
	thawed := c.tickAt != 0 && now-c.tickAt > listenTime
	if !c.heard || now-c.heardAt > levelExpiry || thawed {
		c.heard, c.listeningSince, c.resumed = true, now, thawed
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
		if item.Period == 0 { // the asker doesn't know the period yet: it gets the sums to start from
			item = Item{Tenant: item.Tenant, Period: c.highestPeriod, Interval: item.Interval}
		}
		usage.drain(now, c.listeningSince, item)
		level := usage.level
		others, mine := usage.add(now, incarnations, item)
		if len(usage.periods) > maxPeriods && len(c.detector.gateways) > largeFleet {
			usage.periods = slices.Delete(usage.periods, 0, 1)
		}
		if c.resumed && now-c.listeningSince < listenTime {
			usage.level = level // seconds of adds in a lump
		} else if late > 0 {
			usage.level = level + drained(usage.level-level, late, item.Interval)
		}
		if item.NearLimit {
			c.scarce.note(now, item.Tenant)
		}
		if item.Used > 0 && late == 0 { // a holder that is new or told at times only may have missed some
			usage.level = max(usage.level, float64(item.Used-1)/milliUnits)
		}
		out.Totals = append(out.Totals, Total{Tenant: item.Tenant, Period: item.Period, Others: others, Own: mine,
			Level: uint64(usage.level * milliUnits), LevelKnown: now-c.listeningSince >= listenTime && item.Interval > 0})
	}
	if a.Read {
		out.Totals = append(out.Totals, c.unrequestedTotals(now, from, a)...)
	}
	if a.Ping {
		out.Totals = nil
	} else if !a.Read && taken {
		return nil
	}
	if own := c.rosters.newestHash(); a.RosterHash != 0 && (len(a.Packed) == 0 || own != a.RosterHash) {
		out.RosterHash = own
	}
	if len(a.Packed) > 0 && taken {
		out.PackedAccepted = true
		out.Packed, out.Totals = roster.packTotals(out.Period, out.Totals, places)
	}
	if out.ReadsCompact = true; brief {
		out = out.compact()
	}
	return []fsm.Send{{To: from, Msg: out}}
}

// issuePeriod begins a period when the last one is over or is another holder's.
func (c *Counter) issuePeriod(now fsm.Time) {
	age := now - c.issuedAt
	if c.ownPeriod != 0 && (age < issueInterval || c.ownPeriod == c.highestPeriod && age < periodLength) {
		return
	}
	c.highestPeriod = (c.highestPeriod>>tagBits+1)<<tagBits | c.tag
	c.ownPeriod, c.issuedAt = c.highestPeriod, now
}

// drain brings the level up to now.
func (l *tenantUsage) drain(now, since fsm.Time, it Item) {
	if l.levelSince != since {
		l.levelSince, l.level = since, 0
	}
	if it.Interval > 0 {
		l.level = max(0, l.level-float64(now-l.updatedAt)/1e3/float64(it.Interval))
		l.updatedAt, l.interval = now, it.Interval
	}
}

// add takes in an item, and returns what others have in the name, and what this
// life of the gateway has. What is new to this holder need not be new: Fresh tells,
// and the rest was drained long ago.
func (l *tenantUsage) add(now fsm.Time, incarnations []incarnation, it Item) (others, mine uint64) {
	period := l.periodOf(it.Period)
	if period == nil {
		next := periodTotals{period: it.Period, startedAt: now}
		if k := len(l.periods); k > 0 && now-l.periods[k-1].startedAt >= periodLength/2 { // as many will have a sum as had
			next.sums = newSumTable(l.periods[k-1].sums.used)
		}
		l.periods = append(l.periods, next)
		period = &l.periods[len(l.periods)-1]
	}
	period.usedAt = now
	last := incarnations[len(incarnations)-1].number
	was, known := period.sums.get(last)
	if more := it.Sum - min(it.Sum, was); more > 0 || !known {
		l.level += float64(min(more, it.Unreported)) / milliUnits
		period.sums.set(last, was+more)
		period.total += more
	}
	mine = was + it.Sum - min(it.Sum, was)
	others = period.total - mine
	for _, v := range incarnations[:len(incarnations)-1] {
		units, _ := period.sums.get(v.number)
		others -= units
	}
	return others, mine
}

// others is the sum without all lives of a gateway.
func (n *periodTotals) others(incarnations []incarnation) uint64 {
	sum := n.total
	for _, v := range incarnations {
		units, _ := n.sums.get(v.number)
		sum -= units
	}
	return sum
}

// Tick asks for signs of life where they matter, and forgets names that nobody has
// used for two periods, or one.
func (c *Counter) Tick(now fsm.Time) []fsm.Send {
	c.tickAt = now
	c.sweep(now)
	return c.detector.tick(now)
}

// retention is how long a name that nobody uses is kept. The names of a period are most of a holder's memory where gateways
// are hundreds, and all have left one some seconds after its end. Who was cut off for longer and says what it had in it
// is told no others' sums of that time; it learns from the level.
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
	for gateway, o := range c.offsets {
		if now-o.since > 4*minWindow {
			delete(c.offsets, gateway)
		}
	}
	c.incarnations.sweep(now)
	for tenant, l := range c.tenants {
		l.periods = slices.DeleteFunc(l.periods, func(n periodTotals) bool { return now-n.usedAt > c.retention() })
		if len(l.periods) == 0 && now-l.updatedAt > periodRetention {
			delete(c.tenants, tenant)
			if i, ok := c.rosters.place(tenant); ok {
				c.byPlace[i] = nil
			}
		}
	}
}
