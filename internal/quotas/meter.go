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
	relaxedGap            = 200 * time.Millisecond // between two adds for a tenant that is far from its limit
	minGap                = 50 * time.Millisecond  // between any two adds
	retryGap              = 60 * time.Millisecond  // after which an unanswered read is repeated
	silentAfter           = 200 * time.Millisecond // without an answer to a read, a holder counts as silent
	stallThreshold        = 400 * time.Millisecond // between ticks: a gateway frozen for longer missed what others passed
	standbyGap            = time.Second            // between adds to the holder that is not read
	rosterCheckGap        = 5 * time.Second        // between requests for the hash of a holder's roster
	earlyReadGap          = 10 * time.Millisecond  // before the first read of a tenant, after any add
	batchedReadGap        = 25 * time.Millisecond  // the same above earlyReadRate: message headers would dominate the traffic
	earlyReadRate         = 10.0                   // first reads a second that may follow after earlyReadGap,
	earlyReadBurst        = 10.0                   // and their burst
	batchedReadPerGateway = 100 * time.Microsecond // for each gateway in large fleets: a holder gets 10,000 batched reads a second at most,
	earlyReadFleetRate    = 2500.0                 // early reads a second,
	standbyPerGateway     = 200 * time.Microsecond // and 5,000 adds a second where it is not the one that is read

	lossSettleTime    = 2 * time.Second         // for units that gateways passed before their loss was noticed to drain
	freshAnswer       = 30 * time.Millisecond   // an answer within this round trip is not delayed
	trustAfter        = time.Second             // after which a new reader has received what it missed
	reportUsedFor     = 1500 * time.Millisecond // in which a new reader is also sent the usage known from other holders
	othersHeardWithin = 300 * time.Millisecond  // a holder that received no adds of others for longer may be partitioned
	periodSettleTime  = 300 * time.Millisecond  // after a change of period, before the last read of the previous one
	peakRetention     = time.Minute             // after which missing gateways count as removed
	startupWindow     = 3 * time.Second         // in which a gateway that has met no other one may be partitioned
	assumedGateways   = 32                      // number of gateways that a meter assumes, at least, during startupWindow
	nearLimitWindow   = 500 * time.Millisecond  // time after which holders are no longer told that a tenant was near its limit
)

// holderState is what a meter knows of one of the two holders.
type holderState struct {
	addr            string
	self            bool
	unansweredSince fsm.Time // when the oldest unanswered read was sent; 0: none is open
	lastAddAt       fsm.Time
	resendAll       bool   // the holder may be new: send it all sums again
	rosterHash      uint32 // the roster by whose places it is told tenants; 0: by names
	prevRosterHash  uint32 // the previous one, which applies to adds between prevRosterSince
	rosterSince     fsm.Time
	prevRosterSince fsm.Time // and rosterSince
	rosterCheckAt   fsm.Time // when its roster was last asked for without a read
	missing         uint32   // gateways that its failure detector misses, by its last answer
	readsCompact    bool     // it understands compact adds
	sendInterval    uint8    // the gap between adds that it asks for, in sendIntervalUnit
	retries         int      // repeated adds since its last answer

	last [4]string // the last tenant sent of each kind of items, where not all fitted
	rtt  roundTrip
}

// far reports whether answers take longer than freshAnswer even at the best.
func (holder *holderState) far() bool { return holder.rtt.excess(freshAnswer) > 0 }

// unreportedSpan is the time in which other gateways may have passed units that the answer doesn't have. It
// is 0 for a near holder, whose delay is within the margin of the quota.
func (holder *holderState) unreportedSpan(now, timestamp fsm.Time) fsm.Time {
	if holder.far() {
		return now - timestamp
	}
	return 0
}

// retryDue reports whether a read has gone unanswered for long enough to be repeated.
func (holder *holderState) retryDue(now fsm.Time) bool {
	return holder.unansweredSince != 0 && now-holder.unansweredSince >= holder.rtt.extend(retryGap)
}

// silent reports whether the holder counts as unreachable. The timeout leaves time for one lost repetition.
func (holder *holderState) silent(now fsm.Time) bool {
	return holder.unansweredSince != 0 && now-holder.unansweredSince >= silentAfter+holder.rtt.excess(retryGap)
}

// Meter decides at one gateway which requests are within their tenants' quotas.
type Meter struct {
	self        string
	incarnation uint64

	tenants map[string]*tenantState
	ordered []*tenantState // by name: messages must not depend on the order of a map
	active  activeSet

	holders     [2]holderState
	reader      int      // index of the holder that is read; -1: none answers
	readerSince fsm.Time // when it became the reader
	reachable   int      // gateways that are not missing, at the last count
	lostAt      fsm.Time // when more than an eighth of the gateways last became unreachable at once
	gateways    int      // members, as told by SetGateways
	peak        int      // the highest number of gateways within peakRetention
	peakAt      fsm.Time
	startedAt   fsm.Time

	period, prev  uint64
	periodAt      fsm.Time
	sentAt        fsm.Time
	relaxedAt     fsm.Time
	tickAt        fsm.Time
	othersHeardAt fsm.Time // when the counter of this process had last heard other gateways
	due           bool
	nearLimitAt   fsm.Time // when any tenant was last near its limit
	newDemand     bool     // a request came for a tenant whose level has not been read
	earlyReads    earlyReads
	rosters       rosters

	decided       [bases]Decisions
	holderChanges uint64 // how often the reader has changed

	maxBehind     float64 // see Stats
	answersBehind uint64
}

// NewMeter makes the meter of one incarnation of a gateway. The seed spreads the times of its adds against
// those of other gateways.
func NewMeter(self string, incarnation uint64, seed uint64) *Meter {
	rng := rand.New(rand.NewPCG(seed, incarnation))
	return &Meter{
		self: self, incarnation: incarnation, tenants: map[string]*tenantState{}, reader: -1,
		relaxedAt: fsm.Time(rng.Int64N(int64(relaxedGap))),
	}
}

// SetLimits sets the limits of the configuration. For a changed limit see tenantState.changeLimit; a new
// tenant starts as unread.
func (m *Meter) SetLimits(now fsm.Time, limits map[string]Limit) { m.SetRoster(now, NewRoster(limits)) }

// SetRoster is SetLimits with a roster that was made beforehand. Most configurations don't change the
// limits, and going through thousands of tenants would delay requests.
func (m *Meter) SetRoster(now fsm.Time, r *Roster) {
	if !m.rosters.update(r) {
		return
	}
	for tenant, state := range m.tenants {
		if l, ok := r.limits[tenant]; !ok || l.Rate <= 0 {
			delete(m.tenants, tenant)
		} else if l.Rate != state.limit.Rate || max(l.Burst, 1) != state.limit.Burst {
			state.changeLimit(now, l)
		}
	}
	m.ordered = m.ordered[:0]
	for place, tenant := range r.names {
		state := m.tenants[tenant]
		if state == nil {
			state = &tenantState{tenant: tenant, roundingDraw: roundingDraw(m.self, tenant), cur: periodSum{period: m.period}, assumedUntil: now}
			state.setLimit(r.limits[tenant])
			state.resetToStartAllowance(now, m.shareCount(now))
			m.tenants[tenant] = state
		}
		state.place = int32(place)
		m.ordered = append(m.ordered, state)
	}
	m.active = activeSet{}
}

func roundingDraw(gateway, tenant string) float64 {
	return float64(xxhash.Sum64String(gateway+" "+tenant)>>11) / (1 << 53)
}

// SetGateways sets the number of gateways and the addresses of the holders in the agreed order.
func (m *Meter) SetGateways(now fsm.Time, gateways int, holders []string) {
	if m.gateways == 0 {
		m.startedAt = now
	}
	m.gateways = max(gateways, 1)
	m.updatePeak(now)
	m.noteLosses(now)
	var next [2]holderState
	var previous [2]int
	for i := range next {
		previous[i] = -1
		if i >= len(holders) {
			continue
		}
		next[i].resendAll = true
		next[i].addr, next[i].self = holders[i], holders[i] == m.self
		if j := m.holderIndex(holders[i]); j >= 0 {
			next[i], previous[i] = m.holders[j], j
		}
	}
	if previous == [2]int{0, 1} {
		return
	}
	m.holders, m.reader = next, -1
	for _, state := range m.ordered {
		reported, resend := state.reported, state.resend
		state.reported, state.resend = [2]uint64{state.cur.sum, state.cur.sum}, [2]bool{} // nothing counts as unreported to a new holder
		for i, j := range previous {
			if j >= 0 {
				state.reported[i], state.resend[i] = reported[j], resend[j]
			}
		}
	}
	m.active.complete = false
}

// updatePeak tracks the highest number of gateways. Missing ones may only be unreachable, and go on passing
// their even share.
func (m *Meter) updatePeak(now fsm.Time) {
	if m.gateways >= m.peak || now-m.peakAt >= peakRetention {
		m.peak, m.peakAt = m.gateways, now
	}
}

// shareCount is the number of gateways among which quotas are shared.
func (m *Meter) shareCount(now fsm.Time) int {
	if m.gateways == 0 || m.peak == 1 && now-m.startedAt < startupWindow {
		return max(m.peak, assumedGateways)
	}
	return m.peak
}

// reachableGateways is the number of gateways that are in contact, by the membership or by the reader's
// failure detector, whichever notices a loss first.
func (m *Meter) reachableGateways() int {
	if m.reader < 0 {
		return m.gateways
	}
	return max(1, m.gateways-int(m.holders[m.reader].missing))
}

// noteLosses notes the time when many gateways become unreachable at once.
func (m *Meter) noteLosses(now fsm.Time) {
	n := m.reachableGateways()
	if 8*(m.reachable-n) > m.peak {
		m.lostAt = now
	}
	m.reachable = n
}

// reservedPart is the part of a tenant's rate and burst that is reserved for missing gateways. The margin
// of the quota covers a few of them, on the larger side of a partition.
func (m *Meter) reservedPart(state *tenantState) float64 {
	if m.peak == 0 {
		return 0
	}
	part := float64(m.peak-m.reachableGateways()) / float64(m.peak)
	if part < 0.5 {
		part -= state.toleratedPart()
	}
	return max(0, part)
}

func (m *Meter) holderIndex(addr string) int {
	return slices.IndexFunc(m.holders[:], func(holder holderState) bool { return holder.addr != "" && holder.addr == addr })
}

// Allow decides a request; a refusal comes with the time after which to retry.
func (m *Meter) Allow(now fsm.Time, tenant string, units float64) (bool, time.Duration) {
	state := m.tenants[tenant]
	if state == nil {
		return true, 0
	}
	m.refresh(now, state)
	ok, after := m.decide(now, state, units)
	if t := &m.decided[m.basis(now, state)]; ok {
		t.Passed++
	} else {
		t.Refused++
	}
	return ok, after
}

// decide tests a refreshed tenant state, and takes the units if they may pass.
func (m *Meter) decide(now fsm.Time, state *tenantState, units float64) (bool, time.Duration) {
	if !state.levelRead {
		state.readWanted = true
	}
	available := state.available(now)
	if state.levelRead && available < state.limit.Burst/2 {
		m.nearLimitAt = now
		if state.limit.Burst < 2*float64(m.shareCount(now)) {
			state.nearLimitAt = now
		}
	}
	if now < state.tat+state.duration(units-1)-state.tau {
		m.requestRead(state)
		m.due = m.due || !state.levelRead && !state.holdersSilent
		if !state.levelRead && !state.holdersSilent { // the first read may allow it
			return false, min(state.retryAfter(now, units, 0), 2*minGap)
		}
		reserved := 0.0
		if state.levelRead { // an unread tenant may be told of more units at any moment
			reserved = m.reservedPart(state)
		}
		return false, state.retryAfter(now, units, reserved)
	}
	if state.levelRead && state.unacked() > 0 && state.unacked()+units > state.maxUnacked(now, m.shareCount(now)) {
		m.due = true
		return false, minGap
	}
	state.consume(now, units)
	if m.urgent(now, state, available-units) {
		m.due = true
		m.requestRead(state)
	}
	return true, 0
}

// requestRead asks for an early read of an unread tenant, if a holder can answer it.
func (m *Meter) requestRead(state *tenantState) {
	m.newDemand = m.newDemand || !state.levelRead && !state.holdersSilent && !state.levelUnknown
}

// AdjustCost corrects TAT by the difference between the actual cost of a request and the units taken for
// it.
func (m *Meter) AdjustCost(now fsm.Time, tenant string, units float64) {
	state := m.tenants[tenant]
	if state == nil {
		return
	}
	m.refresh(now, state)
	if units >= 0 {
		state.consume(now, units)
		return
	}
	state.tat += state.duration(units)
	state.knownTAT += state.duration(units)
	state.credit += uint64(math.Round(-units * milliUnits))
}

// urgent reports whether the other gateways should learn of a tenant's usage at once.
func (m *Meter) urgent(now fsm.Time, state *tenantState, available float64) bool {
	if !state.levelRead {
		return available < state.evenShare(m.shareCount(now))*3/4
	}
	part, unsent := state.limit.Burst/float64(8*m.shareCount(now)), state.unsent()
	switch {
	case available < state.limit.Burst/4:
		return true
	case available < state.limit.Burst*3/4 && unsent >= max(1, part):
		return true
	}
	return unsent >= max(2, 2*part) || state.unacked() > state.maxUnacked(now, m.shareCount(now))/2
}

// refresh brings a tenant's state up to date before a decision.
func (m *Meter) refresh(now fsm.Time, state *tenantState) {
	m.active.add(state)
	state.rollPeriod(now, m.period, m.prev)
	switch silent := m.holdersSilent(now); {
	case silent && !state.holdersSilent: // units that no holder has counted are taken out of the share of the burst
		state.holdersSilent = true
		state.capAvailable(now, state.evenShare(m.shareCount(now))-state.unacked())
		state.markUnread(now)
	case !silent && state.holdersSilent:
		state.holdersSilent = false
		state.markUnread(now)
	case state.levelRead && now-m.tickAt > stallThreshold:
		state.resetToStartAllowance(now, m.shareCount(now))
	case state.levelRead && state.available(now) < -2*state.limit.Burst-state.limit.Rate:
		state.markUnread(now) // a debt this deep can't be right: the level was misread
	case state.levelRead && state.tat < now-state.tau:
		state.resetToStartAllowance(now, m.shareCount(now))
		if m.readerFar(now) {
			state.grantIdleAllowance(now, m.shareCount(now))
		}
	}
	state.tat = max(state.tat, state.knownTAT) // the start allowance is not a second burst
	if state.levelRead {
		reserved := m.reservedPart(state)
		state.assumeOthers(now, reserved)
		if missing := m.peak - m.reachableGateways(); missing != state.missing {
			state.chargeMissing(now, missing-state.missing, m.reachableGateways(), m.peak, reserved)
			state.missing = missing
		}
		if reserved > 0 {
			// With less than one unit nothing would pass for as long as the peak is kept.
			state.capAvailable(now, max(1, state.limit.Burst*(1-reserved)))
		}
		return
	}
	state.missing = m.peak - m.reachableGateways()
	share := m.shareCount(now)
	state.assumeOthers(now, 1-1/float64(share))
	state.capAvailable(now, max(state.evenShare(share), state.idleUnits))
}

// readerFar reports whether first reads take long, while no gateway is or was lately unreachable. Idle
// tenants get an allowance then.
func (m *Meter) readerFar(now fsm.Time) bool {
	return m.reader >= 0 && m.holders[m.reader].far() && m.readerTrusted(now) && m.reachableGateways() >= m.peak
}

// readerTrusted reports whether the reader has counted all that was passed lately.
func (m *Meter) readerTrusted(now fsm.Time) bool {
	return now-m.readerSince >= trustAfter && (m.lostAt == 0 || now-m.lostAt >= lossSettleTime)
}

// holdersSilent reports whether no holder answers, so that the gateway falls back to its even share. A
// holder that has not been asked yet is not silent.
func (m *Meter) holdersSilent(now fsm.Time) bool {
	for i := range m.holders {
		if m.holderAnswers(now, i) {
			return false
		}
	}
	return true
}

func (m *Meter) holderAnswers(now fsm.Time, i int) bool {
	holder := &m.holders[i]
	switch {
	case holder.addr == "" || holder.silent(now):
		return false
	case !holder.self || m.gateways == 1 || now-m.othersHeardAt < othersHeardWithin:
		return true
	}
	other := &m.holders[1-i]
	return other.addr != "" && !other.silent(now)
}

// isHolder reports whether this gateway's own process is a holder. It always answers itself, even when it
// is partitioned; so it needs answers of the other holder too, or adds of other gateways.
func (m *Meter) isHolder() bool { return m.holders[0].self || m.holders[1].self }
