package quotas

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

const (
	easeGap   = 200 * time.Millisecond // between adds of a tenant far from its limit
	leastGap  = 50 * time.Millisecond  // between any two adds
	retryGap  = 60 * time.Millisecond  // an unanswered read is repeated
	mutedGap  = 200 * time.Millisecond // a holder that leaves reads unanswered is silent
	stallGap  = 400 * time.Millisecond // between ticks: a gateway that froze doesn't know what others did
	spareGap  = time.Second            // between adds to the holder that is not read
	proveGap  = 5 * time.Second        // between questions which roster it has
	firstGap  = 10 * time.Millisecond  // before the first read of a tenant, after any add
	crowdRead = 25 * time.Millisecond  // the same, where first reads would fill the wire with heads of messages:
	quickRate = 10.0                   // so many a second may come after firstGap,
	quickMost = 10.0                   // and so many at once
	crowdEach = 100 * time.Microsecond // for each gateway, of many: a holder gets no more than 10,000 of them a second,
	quickAll  = 2500.0                 // so many of those that follow closely,
	spareEach = 200 * time.Microsecond // and the one that is not read 5,000 adds

	chargeGap  = 2 * time.Second         // after which what gateways passed while they were lost unknown is worked off
	freshGap   = 30 * time.Millisecond   // within which an answer is back that is not late
	trustGap   = time.Second             // after which a holder that is read anew has been told what it missed
	vouchGap   = 1500 * time.Millisecond // in which a holder that is read anew is told what others' holders knew
	companyGap = 300 * time.Millisecond  // without adds of others a holder may be cut off
	settle     = 300 * time.Millisecond  // after a change of period, before the old name is reread
	believe    = time.Minute             // after which gateways that are missing are taken as gone
	young      = 3 * time.Second         // in which one that has met no other gateway may be cut off
	unknown    = 32                      // gateways, at least, that a young meter reckons with
	nearGap    = 500 * time.Millisecond  // so long after it, holders are told that a tenant was near its limit
)

// slot is one of the two holders.
type slot struct {
	addr    string
	self    bool
	pending fsm.Time // the first read without an answer; 0: none
	spareAt fsm.Time
	refill  bool   // it may be new: it is told all sums again
	list    uint32 // the roster that it is told numbers of; 0: it is told names
	former  uint32 // the one before, in adds before listAt,
	listAt  fsm.Time
	sinceAt fsm.Time // and since then
	proveAt fsm.Time // when it was last asked which it has, without a read
	missing uint32   // gateways out of its sight, as it last said
	brief   bool     // it reads adds that are shortened
	paced   uint8    // how far apart it wants adds
	tries   int      // adds repeated since its last answer

	last [4]string // tenants that it was told of last, of each kind, where not all had room
	way  roundTrip
}

// far: what it tells is older than what near ones tell ever is.
func (s *slot) far() bool { return s.way.beyond(freshGap) > 0 }

// unheard is for how long others may have passed units that aren't in an answer: nothing
// where it is near, since what the quota's margin bears is reckoned with that.
func (s *slot) unheard(now, stamp fsm.Time) fsm.Time {
	if s.far() {
		return now - stamp
	}
	return 0
}

// late: a read of it has been without an answer for so long that it is repeated.
func (s *slot) late(now fsm.Time) bool {
	return s.pending != 0 && now-s.pending >= s.way.stretch(retryGap)
}

// mute: so long that the holder is silent. One repetition may be lost, as near by.
func (s *slot) mute(now fsm.Time) bool {
	return s.pending != 0 && now-s.pending >= mutedGap+s.way.beyond(retryGap)
}

// Meter decides at one gateway which requests of which tenants pass.
type Meter struct {
	self string
	life uint64

	entries map[string]*entry
	order   []*entry // by tenant: messages must not depend on a map's order
	active  active

	slots    [2]slot
	reader   int      // the slot that is read; -1: none answers
	readAt   fsm.Time // since when
	counted  int      // gateways in touch
	lostAt   fsm.Time // when many were last lost
	gateways int      // as told
	peak     int      // the most that were told, until the others are taken as gone
	fellAt   fsm.Time
	bornAt   fsm.Time

	period, prev uint64
	periodAt     fsm.Time
	sentAt       fsm.Time
	easeAt       fsm.Time
	tickAt       fsm.Time
	companyAt    fsm.Time // when the counter here had heard others lately
	due          bool
	nearAt       fsm.Time // when a tenant was near its limit
	novel        bool     // a tenant that is not seen is in demand
	quick        quick
	rosters      rosters

	decided [bases]Decisions
	changes uint64 // of the reader

	behind        float64 // see Account
	behindAnswers uint64
}

// NewMeter makes the meter of one life of a gateway. The seed shifts its adds
// against those of the others.
func NewMeter(self string, life uint64, seed uint64) *Meter {
	rng := rand.New(rand.NewPCG(seed, life))
	return &Meter{
		self: self, life: life, entries: map[string]*entry{}, reader: -1,
		easeAt: fsm.Time(rng.Int64N(int64(easeGap))),
	}
}

// SetLimits takes the limits of the configuration. See entry.change for what a
// change leaves; a tenant that had no limit starts as one that was not seen.
func (m *Meter) SetLimits(now fsm.Time, limits map[string]Limit) { m.SetRoster(now, NewRoster(limits)) }

// SetRoster is Limits with the roster made already: most configurations change none of them, and to go
// through thousands of tenants would hold requests up.
func (m *Meter) SetRoster(now fsm.Time, r *Roster) {
	if !m.rosters.renew(r) {
		return
	}
	for tenant, e := range m.entries {
		if l, ok := r.limits[tenant]; !ok || l.Rate <= 0 {
			delete(m.entries, tenant)
		} else if l.Rate != e.limit.Rate || max(l.Burst, 1) != e.limit.Burst {
			e.change(now, l)
		}
	}
	m.order = m.order[:0]
	for place, tenant := range r.names {
		e := m.entries[tenant]
		if e == nil {
			e = &entry{tenant: tenant, lot: lot(m.self, tenant), cur: name{period: m.period}, pushed: now}
			e.set(r.limits[tenant])
			e.start(now, m.even(now))
			m.entries[tenant] = e
		}
		e.place = int32(place)
		m.order = append(m.order, e)
	}
	m.active = active{}
}

func lot(gateway, tenant string) float64 {
	return float64(xxhash.Sum64String(gateway+" "+tenant)>>11) / (1 << 53)
}

// SetGateways takes the number of gateways and the holders in the agreed order.
func (m *Meter) SetGateways(now fsm.Time, gateways int, holders []string) {
	if m.gateways == 0 {
		m.bornAt = now
	}
	m.gateways = max(gateways, 1)
	m.believe(now)
	m.count(now)
	var next [2]slot
	var from [2]int
	for i := range next {
		from[i] = -1
		if i >= len(holders) {
			continue
		}
		next[i].refill = true
		next[i].addr, next[i].self = holders[i], holders[i] == m.self
		if j := m.slot(holders[i]); j >= 0 {
			next[i], from[i] = m.slots[j], j
		}
	}
	if from == [2]int{0, 1} {
		return
	}
	m.slots, m.reader = next, -1
	for _, e := range m.order {
		told, again := e.told, e.again
		e.told, e.again = [2]uint64{e.cur.sum, e.cur.sum}, [2]bool{} // for a new holder, nothing of it is fresh
		for i, j := range from {
			if j >= 0 {
				e.told[i], e.again[i] = told[j], again[j]
			}
		}
	}
	m.active.known = false
}

// believe keeps the peak: gateways that are missing may only be out of reach, and
// go on passing their even share.
func (m *Meter) believe(now fsm.Time) {
	if m.gateways >= m.peak || now-m.fellAt >= believe {
		m.peak, m.fellAt = m.gateways, now
	}
}

// even is the number of gateways that shares are made for.
func (m *Meter) even(now fsm.Time) int {
	if m.gateways == 0 || m.peak == 1 && now-m.bornAt < young {
		return max(m.peak, unknown)
	}
	return m.peak
}

// present is how many gateways are in touch, by the members or by the holder that is
// read: whoever of both knows sooner.
func (m *Meter) present() int {
	if m.reader < 0 {
		return m.gateways
	}
	return max(1, m.gateways-int(m.slots[m.reader].missing))
}

// count notes when many go out of touch at once.
func (m *Meter) count(now fsm.Time) {
	n := m.present()
	if 8*(m.counted-n) > m.peak {
		m.lostAt = now
	}
	m.counted = n
}

// reserve is the part of a tenant's rate and burst that is kept for gateways that are
// missing. The margin of the quota bears a few of them, on one side of a cut.
func (m *Meter) reserve(e *entry) float64 {
	if m.peak == 0 {
		return 0
	}
	part := float64(m.peak-m.present()) / float64(m.peak)
	if part < 0.5 {
		part -= e.bears()
	}
	return max(0, part)
}

func (m *Meter) slot(addr string) int {
	return slices.IndexFunc(m.slots[:], func(s slot) bool { return s.addr != "" && s.addr == addr })
}

// Allow decides a request; a refusal says after which time to come back.
func (m *Meter) Allow(now fsm.Time, tenant string, units float64) (bool, time.Duration) {
	e := m.entries[tenant]
	if e == nil {
		return true, 0
	}
	m.touch(now, e)
	ok, after := m.decide(now, e, units)
	if t := &m.decided[m.basis(now, e)]; ok {
		t.Passed++
	} else {
		t.Refused++
	}
	return ok, after
}

// decide tests an entry that is up to date, and takes the units if they may pass.
func (m *Meter) decide(now fsm.Time, e *entry, units float64) (bool, time.Duration) {
	if !e.seen {
		e.asked = true
	}
	room := e.room(now)
	if e.seen && room < e.limit.Burst/2 {
		m.nearAt = now
		if e.limit.Burst < 2*float64(m.even(now)) {
			e.nearAt = now
		}
	}
	if now < e.tat+e.span(units-1)-e.tau {
		m.hurry(e)
		m.due = m.due || !e.seen && !e.mute
		if !e.seen && !e.mute { // what the counter says may let it pass at once
			return false, min(e.wait(now, units, 0), 2*leastGap)
		}
		part := 0.0
		if e.seen { // one that isn't may be told more of any moment
			part = m.reserve(e)
		}
		return false, e.wait(now, units, part)
	}
	if e.seen && e.unheard() > 0 && e.unheard()+units > e.lead(now, m.even(now)) {
		m.due = true
		return false, leastGap
	}
	e.use(now, units)
	if m.urgent(now, e, room-units) {
		m.due = true
		m.hurry(e)
	}
	return true, 0
}

// hurry asks at once for a tenant that is not seen, if there is someone who knows.
func (m *Meter) hurry(e *entry) { m.novel = m.novel || !e.seen && !e.mute && !e.vague }

// AdjustCost moves TAT by what an answer cost more, or less, than was taken.
func (m *Meter) AdjustCost(now fsm.Time, tenant string, units float64) {
	e := m.entries[tenant]
	if e == nil {
		return
	}
	m.touch(now, e)
	if units >= 0 {
		e.use(now, units)
		return
	}
	e.tat += e.span(units)
	e.known += e.span(units)
	e.credit += uint64(math.Round(-units * milli))
}

// urgent says whether the others should hear of a tenant at once.
func (m *Meter) urgent(now fsm.Time, e *entry, room float64) bool {
	if !e.seen {
		return room < e.share(m.even(now))*3/4
	}
	part, unsent := e.limit.Burst/float64(8*m.even(now)), e.unsent()
	switch {
	case room < e.limit.Burst/4:
		return true
	case room < e.limit.Burst*3/4 && unsent >= max(1, part):
		return true
	}
	return unsent >= max(2, 2*part) || e.unheard() > e.lead(now, m.even(now))/2
}

// touch brings an entry up to now before it is judged.
func (m *Meter) touch(now fsm.Time, e *entry) {
	m.active.stir(e)
	e.roll(now, m.period, m.prev)
	switch silent := m.silent(now); {
	case silent && !e.mute: // what was passed unheard comes out of the share of the burst
		e.mute = true
		e.leave(now, e.share(m.even(now))-e.unheard())
		e.forget(now)
	case !silent && e.mute:
		e.mute = false
		e.forget(now)
	case e.seen && now-m.tickAt > stallGap:
		e.start(now, m.even(now))
	case e.seen && e.room(now) < -2*e.limit.Burst-e.limit.Rate:
		e.forget(now) // so deep in debt that what was read can hardly be true
	case e.seen && e.tat < now-e.tau:
		e.start(now, m.even(now))
		if m.far(now) {
			e.rest(now, m.even(now))
		}
	}
	e.tat = max(e.tat, e.known) // a start allowance is no second burst
	if e.seen {
		part := m.reserve(e)
		e.assume(now, part)
		if away := m.peak - m.present(); away != e.away {
			e.miss(now, away-e.away, m.present(), m.peak, part)
			e.away = away
		}
		if part > 0 {
			e.leave(now, max(1, e.limit.Burst*(1-part))) // less than one unit would be none, for a minute
		}
		return
	}
	e.away = m.peak - m.present()
	even := m.even(now)
	e.assume(now, 1-1/float64(even))
	e.leave(now, max(e.share(even), e.rested))
}

// far says that a first read takes long where a tenant has only rested, and that nobody is
// or was just out of touch.
func (m *Meter) far(now fsm.Time) bool {
	return m.reader >= 0 && m.slots[m.reader].far() && m.trusts(now) && m.present() >= m.peak
}

// trusts: the holder that is read has heard of all that was passed lately.
func (m *Meter) trusts(now fsm.Time) bool {
	return now-m.readAt >= trustGap && (m.lostAt == 0 || now-m.lostAt >= chargeGap)
}

// silent says that no holder answers: the gateway has its even share. A holder is
// not silent before it was asked.
func (m *Meter) silent(now fsm.Time) bool {
	for i := range m.slots {
		if m.answers(now, i) {
			return false
		}
	}
	return true
}

func (m *Meter) answers(now fsm.Time, i int) bool {
	s := &m.slots[i]
	switch {
	case s.addr == "" || s.mute(now):
		return false
	case !s.self || m.gateways == 1 || now-m.companyAt < companyGap:
		return true
	}
	other := &m.slots[1-i]
	return other.addr != "" && !other.mute(now)
}

// holds says that this gateway's own process is a holder. It always answers, even
// when it is cut off; so the other holder is asked as well, or others must be heard.
func (m *Meter) holds() bool { return m.slots[0].self || m.slots[1].self }
