package quotas

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

const (
	periodGap = 20 * time.Second
	nameLife  = 2 * periodGap
	hundreds  = 250                    // gateways, above which it is half of that,
	mostNames = 4                      // and a tenant has no more of them: where gateways go to and fro between holders, each issues period after period
	issueGap  = 500 * time.Millisecond // between periods, where holders disagree
	listenGap = 500 * time.Millisecond // after which a holder knows the levels
	lapse     = 5 * time.Second        // without any add, what is known of levels is void

	askGap   = 90 * time.Millisecond  // without a sign of a gateway, it is asked for one
	tornGap  = 40 * time.Millisecond  // without an answer of the other holder, all are asked
	lostGap  = 90 * time.Millisecond  // without an answer, a gateway is out of sight
	watchGap = time.Second            // since a tenant was near its limit
	usedGap  = 2 * time.Second        // since gateways told anything
	crowdGap = 40 * time.Millisecond  // between what a gateway is told unasked
	lateGap  = 200 * time.Millisecond // between ticks: this process stood still
)

// tally is one name: what each life of a gateway has passed in it.
type tally struct {
	period uint64
	total  uint64
	sums   sums // by the life's number
	at     fsm.Time
	began  fsm.Time
}

// ledger is one tenant.
type ledger struct {
	names []tally // few, the newest last
	level float64 // units of the burst in use, draining at the tenant's rate
	at    fsm.Time
	gap   uint64 // of its limit, as last told

	since fsm.Time // the counter's, when level began
}

// heardFrom is when a gateway was heard.
type heardFrom struct {
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
	ledgers map[string]*ledger

	high, own uint64
	issuedAt  fsm.Time
	since     fsm.Time // listening without a gap
	heardAt   fsm.Time
	sweptAt   fsm.Time
	tickAt    fsm.Time
	lastFrom  [2]heardFrom // the last two gateways that were heard
	heard     bool
	thawed    bool // since then, it was frozen before
	sights    sights
	crowds    crowds
	offsets   map[string]offset // of gateways
	rosters   rosters
	placed    []*ledger // by their places in the newest roster, as far as they were told so
	lives     lives
	pace      time.Duration // that it asks of gateways; 0: none
	pacedAt   fsm.Time      // when it was last raised
}

const tagBits = 16

// NewCounter makes the counter of one life of a process.
func NewCounter(self string, life uint64) *Counter {
	tag := (xxhash.Sum64String(self) ^ life*0x9e3779b97f4a7c15) >> (64 - tagBits)
	return &Counter{tag: tag, ledgers: map[string]*ledger{}, offsets: map[string]offset{}, sights: sights{self: self, seen: map[string]sight{}}}
}

// SetGateways takes the gateways there are. A counter serves who asks; but it tells how many
// of these it doesn't hear.
func (c *Counter) SetGateways(gateways []string) { c.sights.names(gateways) }

// SetLimits takes the limits of the configuration: gateways that have the same may say numbers
// in place of names.
func (c *Counter) SetLimits(limits map[string]Limit) { c.SetRoster(NewRoster(limits)) }

// SetRoster is Limits with the roster made already.
func (c *Counter) SetRoster(r *Roster) {
	if c.rosters.renew(r) {
		c.placed = make([]*ledger, len(r.names))
	}
}

// ledger is a tenant's, by its place where an add has told that.
func (c *Counter) ledger(now fsm.Time, tenant string, place int32) *ledger {
	if place >= 0 && c.placed[place] != nil {
		return c.placed[place]
	}
	l := c.ledgers[tenant]
	if l == nil {
		l = &ledger{at: now}
		c.ledgers[tenant] = l
	}
	if place >= 0 {
		c.placed[place] = l
	}
	return l
}

// name is the tally of a period; nil: there is none.
func (l *ledger) name(period uint64) *tally {
	for i := len(l.names) - 1; i >= 0; i-- {
		if l.names[i].period == period {
			return &l.names[i]
		}
	}
	return nil
}

// ProbeOverdue reports whether a gateway leaves a question unanswered, so that another way to it
// should be tried.
func (c *Counter) ProbeOverdue(now fsm.Time, gateway string) bool {
	return c.sights.blind(now, gateway)
}

// Receive sums an add, and answers if it is to be answered.
func (c *Counter) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	if ask, ok := msg.(Answer); ok && ask.Probe {
		c.sights.sign(now, from, true)
		return nil
	}
	a, ok := msg.(Add)
	if !ok {
		return nil
	}
	brief := len(a.Compact) > 0
	if brief {
		folded, there := a.briefLife()
		o, known := c.offsets[from]
		if a, ok = a.Expand(o.life); !there || !ok {
			return nil
		}
		if !known || fold(o.life) != folded { // this process, or what it remembered, is gone since
			return []fsm.Send{{To: from, Msg: Answer{Period: c.high, Timestamp: a.Timestamp}.lost(folded)}}
		}
	} else if a.Incarnation == 0 { // one that was shortened, by way of a process that doesn't know that
		return nil
	}
	roster := c.rosters.find(a.RosterHash)
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
	thawed := c.tickAt != 0 && now-c.tickAt > listenGap
	if !c.heard || now-c.heardAt > lapse || thawed {
		c.heard, c.since, c.thawed = true, now, thawed
		c.sights.begin(now)
	}
	c.heardAt = now
	c.sights.hear(now, from, a)
	late := c.lateness(now, from, a)
	if c.lastFrom[0].gateway != from {
		c.lastFrom[1] = c.lastFrom[0]
	}
	c.lastFrom[0] = heardFrom{from, now}
	c.high = max(c.high, a.Period)
	if a.Read {
		c.issue(now)
	}
	out := Answer{Incarnation: a.Incarnation, Period: c.high, Timestamp: a.Timestamp, Missing: c.sights.missing(now), SendInterval: c.paced()}
	if other := c.lastFrom[1]; other.gateway != "" && other.gateway != from {
		out.HeardOthers = now-other.at < companyGap
	}
	who := c.lives.of(now, from, a.Incarnation)
	if len(a.Items) > 0 {
		out.Totals = make([]Total, 0, len(a.Items))
	}
	for i, it := range a.Items {
		place := int32(-1)
		if newest && i < len(places) {
			place = places[i]
		}
		l := c.ledger(now, it.Tenant, place)
		if it.Period == 0 { // the asker doesn't know the period yet: it gets the sums to start from
			it = Item{Tenant: it.Tenant, Period: c.high, Interval: it.Interval}
		}
		l.refresh(now, c.since, it)
		level := l.level
		others, mine := l.add(now, who, it)
		if len(l.names) > mostNames && len(c.sights.nodes) > hundreds {
			l.names = slices.Delete(l.names, 0, 1)
		}
		if c.thawed && now-c.since < listenGap {
			l.level = level // seconds of adds in a lump
		} else if late > 0 {
			l.level = level + drained(l.level-level, late, it.Interval)
		}
		if it.NearLimit {
			c.crowds.note(now, it.Tenant)
		}
		if it.Used > 0 && late == 0 { // a holder that is new or told at times only may have missed some
			l.level = max(l.level, float64(it.Used-1)/milli)
		}
		out.Totals = append(out.Totals, Total{Tenant: it.Tenant, Period: it.Period, Others: others, Own: mine,
			Level: uint64(l.level * milli), LevelKnown: now-c.since >= listenGap && it.Interval > 0})
	}
	if a.Read {
		out.Totals = append(out.Totals, c.unasked(now, from, a)...)
	}
	if a.Ping {
		out.Totals = nil
	} else if !a.Read && taken {
		return nil
	}
	if own := c.rosters.newest(); a.RosterHash != 0 && (len(a.Packed) == 0 || own != a.RosterHash) {
		out.RosterHash = own
	}
	if len(a.Packed) > 0 && taken {
		out.PackedAccepted = true
		out.Packed, out.Totals = roster.packTotals(out.Period, out.Totals, places)
	}
	if out.ReadsCompact = true; brief {
		out = out.shorten()
	}
	return []fsm.Send{{To: from, Msg: out}}
}

// issue begins a period when the last one is over or is another holder's.
func (c *Counter) issue(now fsm.Time) {
	age := now - c.issuedAt
	if c.own != 0 && (age < issueGap || c.own == c.high && age < periodGap) {
		return
	}
	c.high = (c.high>>tagBits+1)<<tagBits | c.tag
	c.own, c.issuedAt = c.high, now
}

// refresh brings the level up to now.
func (l *ledger) refresh(now, since fsm.Time, it Item) {
	if l.since != since {
		l.since, l.level = since, 0
	}
	if it.Interval > 0 {
		l.level = max(0, l.level-float64(now-l.at)/1e3/float64(it.Interval))
		l.at, l.gap = now, it.Interval
	}
}

// add takes in an item, and returns what others have in the name, and what this
// life of the gateway has. What is new to this holder need not be new: Fresh tells,
// and the rest was drained long ago.
func (l *ledger) add(now fsm.Time, who []one, it Item) (others, mine uint64) {
	n := l.name(it.Period)
	if n == nil {
		next := tally{period: it.Period, began: now}
		if k := len(l.names); k > 0 && now-l.names[k-1].began >= periodGap/2 { // as many will have a sum as had
			next.sums = room(l.names[k-1].sums.n)
		}
		l.names = append(l.names, next)
		n = &l.names[len(l.names)-1]
	}
	n.at = now
	last := who[len(who)-1].number
	was, known := n.sums.of(last)
	if more := it.Sum - min(it.Sum, was); more > 0 || !known {
		l.level += float64(min(more, it.Unreported)) / milli
		n.sums.set(last, was+more)
		n.total += more
	}
	mine = was + it.Sum - min(it.Sum, was)
	others = n.total - mine
	for _, v := range who[:len(who)-1] {
		units, _ := n.sums.of(v.number)
		others -= units
	}
	return others, mine
}

// others is the sum without all lives of a gateway.
func (n *tally) others(who []one) uint64 {
	sum := n.total
	for _, v := range who {
		units, _ := n.sums.of(v.number)
		sum -= units
	}
	return sum
}

// Tick asks for signs of life where they matter, and forgets names that nobody has
// used for two periods, or one.
func (c *Counter) Tick(now fsm.Time) []fsm.Send {
	c.tickAt = now
	c.sweep(now)
	return c.sights.tick(now)
}

// keeps is how long a name that nobody uses is kept. The names of a period are most of a holder's memory where gateways
// are hundreds, and all have left one some seconds after its end. Who was cut off for longer and says what it had in it
// is told no others' sums of that time; it learns from the level.
func (c *Counter) keeps() fsm.Time {
	if len(c.sights.nodes) > hundreds {
		return periodGap
	}
	return nameLife
}

func (c *Counter) sweep(now fsm.Time) {
	if now-c.sweptAt < periodGap/2 {
		return
	}
	c.sweptAt = now
	for gateway, o := range c.offsets {
		if now-o.since > 4*offsetFor {
			delete(c.offsets, gateway)
		}
	}
	c.lives.sweep(now)
	for tenant, l := range c.ledgers {
		l.names = slices.DeleteFunc(l.names, func(n tally) bool { return now-n.at > c.keeps() })
		if len(l.names) == 0 && now-l.at > nameLife {
			delete(c.ledgers, tenant)
			if i, ok := c.rosters.place(tenant); ok {
				c.placed[i] = nil
			}
		}
	}
}
