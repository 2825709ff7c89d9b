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
	relaxedGap            = 200 * time.Millisecond // between adds of a tenant far from its limit
	minGap                = 50 * time.Millisecond  // between any two adds
	retryGap              = 60 * time.Millisecond  // an unanswered read is repeated
	silentAfter           = 200 * time.Millisecond // a holder that leaves reads unanswered is silent
	stallThreshold        = 400 * time.Millisecond // between ticks: a gateway that froze doesn't know what others did
	standbyGap            = time.Second            // between adds to the holder that is not read
	rosterCheckGap        = 5 * time.Second        // between questions which roster it has
	earlyReadGap          = 10 * time.Millisecond  // before the first read of a tenant, after any add
	batchedReadGap        = 25 * time.Millisecond  // the same, where first reads would fill the wire with heads of messages:
	earlyReadRate         = 10.0                   // so many a second may come after firstGap,
	earlyReadBurst        = 10.0                   // and so many at once
	batchedReadPerGateway = 100 * time.Microsecond // for each gateway, of many: a holder gets no more than 10,000 of them a second,
	earlyReadFleetRate    = 2500.0                 // so many of those that follow closely,
	standbyPerGateway     = 200 * time.Microsecond // and the one that is not read 5,000 adds

	lossSettleTime    = 2 * time.Second         // after which what gateways passed while they were lost unknown is worked off
	freshAnswer       = 30 * time.Millisecond   // within which an answer is back that is not late
	trustAfter        = time.Second             // after which a holder that is read anew has been told what it missed
	reportUsedFor     = 1500 * time.Millisecond // in which a holder that is read anew is told what others' holders knew
	othersHeardWithin = 300 * time.Millisecond  // without adds of others a holder may be cut off
	periodSettleTime  = 300 * time.Millisecond  // after a change of period, before the old name is reread
	peakRetention     = time.Minute             // after which gateways that are missing are taken as gone
	startupWindow     = 3 * time.Second         // in which one that has met no other gateway may be cut off
	assumedGateways   = 32                      // gateways, at least, that a young meter reckons with
	nearLimitWindow   = 500 * time.Millisecond  // so long after it, holders are told that a tenant was near its limit
)

// holderState is one of the two holders.
type holderState struct {
	addr            string
	self            bool
	unansweredSince fsm.Time // the first read without an answer; 0: none
	lastAddAt       fsm.Time
	resendAll       bool   // it may be new: it is told all sums again
	rosterHash      uint32 // the roster that it is told numbers of; 0: it is told names
	prevRosterHash  uint32 // the one before, in adds before listAt,
	rosterSince     fsm.Time
	prevRosterSince fsm.Time // and since then
	rosterCheckAt   fsm.Time // when it was last asked which it has, without a read
	missing         uint32   // gateways out of its sight, as it last said
	readsCompact    bool     // it reads adds that are shortened
	sendInterval    uint8    // how far apart it wants adds
	retries         int      // adds repeated since its last answer

	last [4]string // tenants that it was told of last, of each kind, where not all had room
	rtt  roundTrip
}

// far: what it tells is older than what near ones tell ever is.
func (s *holderState) far() bool { return s.rtt.excess(freshAnswer) > 0 }

// unreportedSpan is for how long others may have passed units that aren't in an answer: nothing
// where it is near, since what the quota's margin bears is reckoned with that.
func (s *holderState) unreportedSpan(now, stamp fsm.Time) fsm.Time {
	if s.far() {
		return now - stamp
	}
	return 0
}

// retryDue: a read of it has been without an answer for so long that it is repeated.
func (s *holderState) retryDue(now fsm.Time) bool {
	return s.unansweredSince != 0 && now-s.unansweredSince >= s.rtt.extend(retryGap)
}

// silent: so long that the holder is silent. One repetition may be lost, as near by.
func (s *holderState) silent(now fsm.Time) bool {
	return s.unansweredSince != 0 && now-s.unansweredSince >= silentAfter+s.rtt.excess(retryGap)
}

// Meter decides at one gateway which requests of which tenants pass.
type Meter struct {
	self        string
	incarnation uint64

	tenants map[string]*tenantState
	ordered []*tenantState // by tenant: messages must not depend on a map's order
	active  activeSet

	holders     [2]holderState
	reader      int      // the slot that is read; -1: none answers
	readerSince fsm.Time // since when
	reachable   int      // gateways in touch
	lostAt      fsm.Time // when many were last lost
	gateways    int      // as told
	peak        int      // the most that were told, until the others are taken as gone
	peakAt      fsm.Time
	startedAt   fsm.Time

	period, prev  uint64
	periodAt      fsm.Time
	sentAt        fsm.Time
	relaxedAt     fsm.Time
	tickAt        fsm.Time
	othersHeardAt fsm.Time // when the counter here had heard others lately
	due           bool
	nearLimitAt   fsm.Time // when a tenant was near its limit
	newDemand     bool     // a tenant that is not seen is in demand
	earlyReads    earlyReads
	rosters       rosters

	decided       [bases]Decisions
	holderChanges uint64 // of the reader

	maxBehind     float64 // see Account
	answersBehind uint64
}

// NewMeter makes the meter of one life of a gateway. The seed shifts its adds
// against those of the others.
func NewMeter(self string, life uint64, seed uint64) *Meter {
	rng := rand.New(rand.NewPCG(seed, life))
	return &Meter{
		self: self, incarnation: life, tenants: map[string]*tenantState{}, reader: -1,
		relaxedAt: fsm.Time(rng.Int64N(int64(relaxedGap))),
	}
}

// SetLimits takes the limits of the configuration. See entry.change for what a
// change leaves; a tenant that had no limit starts as one that was not seen.
func (m *Meter) SetLimits(now fsm.Time, limits map[string]Limit) { m.SetRoster(now, NewRoster(limits)) }

// SetRoster is Limits with the roster made already: most configurations change none of them, and to go
// through thousands of tenants would hold requests up.
func (m *Meter) SetRoster(now fsm.Time, r *Roster) {
	if !m.rosters.update(r) {
		return
	}
	for tenant, e := range m.tenants {
		if l, ok := r.limits[tenant]; !ok || l.Rate <= 0 {
			delete(m.tenants, tenant)
		} else if l.Rate != e.limit.Rate || max(l.Burst, 1) != e.limit.Burst {
			e.changeLimit(now, l)
		}
	}
	m.ordered = m.ordered[:0]
	for place, tenant := range r.names {
		e := m.tenants[tenant]
		if e == nil {
			e = &tenantState{tenant: tenant, roundingDraw: roundingDraw(m.self, tenant), cur: periodSum{period: m.period}, assumedUntil: now}
			e.setLimit(r.limits[tenant])
			e.resetToStartAllowance(now, m.shareCount(now))
			m.tenants[tenant] = e
		}
		e.place = int32(place)
		m.ordered = append(m.ordered, e)
	}
	m.active = activeSet{}
}

func roundingDraw(gateway, tenant string) float64 {
	return float64(xxhash.Sum64String(gateway+" "+tenant)>>11) / (1 << 53)
}

// SetGateways takes the number of gateways and the holders in the agreed order.
func (m *Meter) SetGateways(now fsm.Time, gateways int, holders []string) {
	if m.gateways == 0 {
		m.startedAt = now
	}
	m.gateways = max(gateways, 1)
	m.updatePeak(now)
	m.noteLosses(now)
	var next [2]holderState
	var from [2]int
	for i := range next {
		from[i] = -1
		if i >= len(holders) {
			continue
		}
		next[i].resendAll = true
		next[i].addr, next[i].self = holders[i], holders[i] == m.self
		if j := m.holderIndex(holders[i]); j >= 0 {
			next[i], from[i] = m.holders[j], j
		}
	}
	if from == [2]int{0, 1} {
		return
	}
	m.holders, m.reader = next, -1
	for _, e := range m.ordered {
		told, again := e.reported, e.resend
		e.reported, e.resend = [2]uint64{e.cur.sum, e.cur.sum}, [2]bool{} // for a new holder, nothing of it is fresh
		for i, j := range from {
			if j >= 0 {
				e.reported[i], e.resend[i] = told[j], again[j]
			}
		}
	}
	m.active.complete = false
}

// updatePeak keeps the peak: gateways that are missing may only be out of reach, and
// go on passing their even share.
func (m *Meter) updatePeak(now fsm.Time) {
	if m.gateways >= m.peak || now-m.peakAt >= peakRetention {
		m.peak, m.peakAt = m.gateways, now
	}
}

// shareCount is the number of gateways that shares are made for.
func (m *Meter) shareCount(now fsm.Time) int {
	if m.gateways == 0 || m.peak == 1 && now-m.startedAt < startupWindow {
		return max(m.peak, assumedGateways)
	}
	return m.peak
}

// reachableGateways is how many gateways are in touch, by the members or by the holder that is
// read: whoever of both knows sooner.
func (m *Meter) reachableGateways() int {
	if m.reader < 0 {
		return m.gateways
	}
	return max(1, m.gateways-int(m.holders[m.reader].missing))
}

// noteLosses notes when many go out of touch at once.
func (m *Meter) noteLosses(now fsm.Time) {
	n := m.reachableGateways()
	if 8*(m.reachable-n) > m.peak {
		m.lostAt = now
	}
	m.reachable = n
}

// reservedPart is the part of a tenant's rate and burst that is kept for gateways that are
// missing. The margin of the quota bears a few of them, on one side of a cut.
func (m *Meter) reservedPart(e *tenantState) float64 {
	if m.peak == 0 {
		return 0
	}
	part := float64(m.peak-m.reachableGateways()) / float64(m.peak)
	if part < 0.5 {
		part -= e.toleratedPart()
	}
	return max(0, part)
}

func (m *Meter) holderIndex(addr string) int {
	return slices.IndexFunc(m.holders[:], func(s holderState) bool { return s.addr != "" && s.addr == addr })
}

// Allow decides a request; a refusal says after which time to come back.
func (m *Meter) Allow(now fsm.Time, tenant string, units float64) (bool, time.Duration) {
	e := m.tenants[tenant]
	if e == nil {
		return true, 0
	}
	m.refresh(now, e)
	ok, after := m.decide(now, e, units)
	if t := &m.decided[m.basis(now, e)]; ok {
		t.Passed++
	} else {
		t.Refused++
	}
	return ok, after
}

// decide tests an entry that is up to date, and takes the units if they may pass.
func (m *Meter) decide(now fsm.Time, e *tenantState, units float64) (bool, time.Duration) {
	if !e.levelRead {
		e.readWanted = true
	}
	room := e.available(now)
	if e.levelRead && room < e.limit.Burst/2 {
		m.nearLimitAt = now
		if e.limit.Burst < 2*float64(m.shareCount(now)) {
			e.nearLimitAt = now
		}
	}
	if now < e.tat+e.duration(units-1)-e.tau {
		m.requestRead(e)
		m.due = m.due || !e.levelRead && !e.holdersSilent
		if !e.levelRead && !e.holdersSilent { // what the counter says may let it pass at once
			return false, min(e.retryAfter(now, units, 0), 2*minGap)
		}
		part := 0.0
		if e.levelRead { // one that isn't may be told more of any moment
			part = m.reservedPart(e)
		}
		return false, e.retryAfter(now, units, part)
	}
	if e.levelRead && e.unacked() > 0 && e.unacked()+units > e.maxUnacked(now, m.shareCount(now)) {
		m.due = true
		return false, minGap
	}
	e.consume(now, units)
	if m.urgent(now, e, room-units) {
		m.due = true
		m.requestRead(e)
	}
	return true, 0
}

// requestRead asks at once for a tenant that is not seen, if there is someone who knows.
func (m *Meter) requestRead(e *tenantState) {
	m.newDemand = m.newDemand || !e.levelRead && !e.holdersSilent && !e.levelUnknown
}

// AdjustCost moves TAT by what an answer cost more, or less, than was taken.
func (m *Meter) AdjustCost(now fsm.Time, tenant string, units float64) {
	e := m.tenants[tenant]
	if e == nil {
		return
	}
	m.refresh(now, e)
	if units >= 0 {
		e.consume(now, units)
		return
	}
	e.tat += e.duration(units)
	e.knownTAT += e.duration(units)
	e.credit += uint64(math.Round(-units * milliUnits))
}

// urgent says whether the others should hear of a tenant at once.
func (m *Meter) urgent(now fsm.Time, e *tenantState, room float64) bool {
	if !e.levelRead {
		return room < e.evenShare(m.shareCount(now))*3/4
	}
	part, unsent := e.limit.Burst/float64(8*m.shareCount(now)), e.unsent()
	switch {
	case room < e.limit.Burst/4:
		return true
	case room < e.limit.Burst*3/4 && unsent >= max(1, part):
		return true
	}
	return unsent >= max(2, 2*part) || e.unacked() > e.maxUnacked(now, m.shareCount(now))/2
}

// refresh brings an entry up to now before it is judged.
func (m *Meter) refresh(now fsm.Time, e *tenantState) {
	m.active.add(e)
	e.rollPeriod(now, m.period, m.prev)
	switch silent := m.holdersSilent(now); {
	case silent && !e.holdersSilent: // what was passed unheard comes out of the share of the burst
		e.holdersSilent = true
		e.capAvailable(now, e.evenShare(m.shareCount(now))-e.unacked())
		e.markUnread(now)
	case !silent && e.holdersSilent:
		e.holdersSilent = false
		e.markUnread(now)
	case e.levelRead && now-m.tickAt > stallThreshold:
		e.resetToStartAllowance(now, m.shareCount(now))
	case e.levelRead && e.available(now) < -2*e.limit.Burst-e.limit.Rate:
		e.markUnread(now) // so deep in debt that what was read can hardly be true
	case e.levelRead && e.tat < now-e.tau:
		e.resetToStartAllowance(now, m.shareCount(now))
		if m.readerFar(now) {
			e.grantIdleAllowance(now, m.shareCount(now))
		}
	}
	e.tat = max(e.tat, e.knownTAT) // a start allowance is no second burst
	if e.levelRead {
		part := m.reservedPart(e)
		e.assumeOthers(now, part)
		if away := m.peak - m.reachableGateways(); away != e.missing {
			e.chargeMissing(now, away-e.missing, m.reachableGateways(), m.peak, part)
			e.missing = away
		}
		if part > 0 {
			e.capAvailable(now, max(1, e.limit.Burst*(1-part))) // less than one unit would be none, for a minute
		}
		return
	}
	e.missing = m.peak - m.reachableGateways()
	even := m.shareCount(now)
	e.assumeOthers(now, 1-1/float64(even))
	e.capAvailable(now, max(e.evenShare(even), e.idleUnits))
}

// readerFar says that a first read takes long where a tenant has only rested, and that nobody is
// or was just out of touch.
func (m *Meter) readerFar(now fsm.Time) bool {
	return m.reader >= 0 && m.holders[m.reader].far() && m.readerTrusted(now) && m.reachableGateways() >= m.peak
}

// readerTrusted: the holder that is read has heard of all that was passed lately.
func (m *Meter) readerTrusted(now fsm.Time) bool {
	return now-m.readerSince >= trustAfter && (m.lostAt == 0 || now-m.lostAt >= lossSettleTime)
}

// holdersSilent says that no holder answers: the gateway has its even share. A holder is
// not silent before it was asked.
func (m *Meter) holdersSilent(now fsm.Time) bool {
	for i := range m.holders {
		if m.holderAnswers(now, i) {
			return false
		}
	}
	return true
}

func (m *Meter) holderAnswers(now fsm.Time, i int) bool {
	s := &m.holders[i]
	switch {
	case s.addr == "" || s.silent(now):
		return false
	case !s.self || m.gateways == 1 || now-m.othersHeardAt < othersHeardWithin:
		return true
	}
	other := &m.holders[1-i]
	return other.addr != "" && !other.silent(now)
}

// isHolder says that this gateway's own process is a holder. It always answers, even
// when it is cut off; so the other holder is asked as well, or others must be heard.
func (m *Meter) isHolder() bool { return m.holders[0].self || m.holders[1].self }
