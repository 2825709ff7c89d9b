package quotas

import (
	"math"
	"time"

	"asterwell/internal/fsm"
)

// Limit is a tenant's quota: a rate in units a second, and a burst.
type Limit struct{ Rate, Burst float64 }

// milliUnits is the resolution of sums on the wire: integers add up exactly.
const milliUnits = 1000

// leadFactor is by how much a gateway may exceed its part of the quota before others learn of it.
const leadFactor = 1.2

// detectionTime is roughly how long, in seconds, gateways can be unreachable before it is noticed.
const detectionTime = 0.4

// evenPrior is the weight, in units, of an even distribution of traffic against the observed one.
const evenPrior = 8

// periodSum is a gateway's view of one tenant in one period.
type periodSum struct {
	period   uint64
	sum      uint64  // passed by this gateway
	acked    uint64  // part of sum that a holder has counted
	others   uint64  // the highest sum of others that any holder has answered
	hasBase  bool    // increases of others are measured from here on
	answered bool    // a holder has answered for this period
	maxNew   float64 // bound on units of others that are still new, for a period without an answer; 0: none
}

// tenantState is the GCRA state of one tenant at one gateway.
type tenantState struct {
	tenant   string
	place    int32 // index in Meter.ordered and in the newest roster
	limit    Limit
	interval float64 // emission interval T, in nanoseconds
	tau      fsm.Time
	tat      fsm.Time

	levelRead     bool     // the level has been read from a holder
	unreadSince   fsm.Time // when it became unread
	readWanted    bool     // a request came while unread
	levelUnknown  bool     // the holder doesn't know the level yet
	holdersSilent bool     // no holder answered at the last refresh
	assumedUntil  fsm.Time // time up to which usage by others has been assumed
	knownTAT      fsm.Time // TAT by the last answer of a holder and the units passed since, without assumed usage
	nearLimitAt   fsm.Time // when it was last near its limit, if gateways that don't ask should learn of it
	missing       int      // number of missing gateways that has been taken into account
	idleUnits     float64  // units that may pass before a read, for an idle tenant with a far holder; 0: its even share
	roundingDraw  float64  // from 0 to 1 by gateway and tenant: rounds fractions of units

	active bool // in the meter's list of tenants with something to send

	cur, prev  periodSum
	sent       uint64    // part of cur that any holder was told
	reported   [2]uint64 // part of cur that each holder was told
	resend     [2]bool   // each holder is to be told again, as it may be new
	reportedAt fsm.Time  // when the reader was last told, or asked
	credit     uint64    // units given back by AdjustCost, not used up yet

	readAt                  fsm.Time
	availableAtRead         float64
	ownRecent, othersRecent float64 // recent units, decaying: they give this gateway's part of the traffic
}

func (e *tenantState) setLimit(l Limit) {
	e.limit = l
	e.limit.Burst = max(l.Burst, 1)
	e.interval = 1e9 / l.Rate
	e.tau = e.duration(e.limit.Burst - 1)
}

// changeLimit carries TAT over: the units available afterwards are at most those available before, and at
// most the new burst. What a higher limit adds has to accrue.
func (e *tenantState) changeLimit(now fsm.Time, l Limit) {
	available, known := min(e.available(now), e.limit.Burst), float64(e.knownTAT-now)/e.interval
	e.setLimit(l)
	e.knownTAT = now + e.duration(min(known, e.limit.Burst))
	e.tat = now + e.tau - e.duration(min(available, e.limit.Burst)-1)
	e.availableAtRead = min(e.availableAtRead, e.limit.Burst)
}

func (e *tenantState) duration(units float64) fsm.Time { return fsm.Time(units * e.interval) }

// available is the number of units that would pass now.
func (e *tenantState) available(now fsm.Time) float64 {
	return float64(now+e.tau-e.tat)/e.interval + 1
}

// capAvailable raises TAT so that at most this many units are available.
func (e *tenantState) capAvailable(now fsm.Time, units float64) {
	e.tat = max(e.tat, now+e.tau-e.duration(units-1))
}

// resetToStartAllowance grants the even share of the burst to a tenant whose usage elsewhere is unknown.
func (e *tenantState) resetToStartAllowance(now fsm.Time, gateways int) {
	e.tat = now + e.tau - e.duration(e.evenShare(gateways)-1)
	e.markUnread(now)
}

// markUnread makes the next read set how much of the burst is in use.
func (e *tenantState) markUnread(now fsm.Time) {
	e.levelRead, e.unreadSince, e.assumedUntil, e.cur.hasBase, e.prev.hasBase, e.idleUnits = false, now, now, false, false, 0
}

// assumeOthers counts a part of the rate as used by others since the last call.
func (e *tenantState) assumeOthers(now fsm.Time, part float64) {
	e.tat += fsm.Time(float64(max(0, now-e.assumedUntil)) * part)
	e.assumedUntil = max(e.assumedUntil, now)
}

func (e *tenantState) evenShare(gateways int) float64 {
	return max(1, e.limit.Burst/float64(gateways))
}

// grantIdleAllowance grants an idle tenant one unit and its even share of the burst, as if the level had
// been read as 0. Fractions are rounded by roundingDraw: at an average of 1.4 units, two gateways in five
// get 2.
func (e *tenantState) grantIdleAllowance(now fsm.Time, gateways int) {
	e.idleUnits = math.Floor(1 + e.limit.Burst/float64(gateways) + e.roundingDraw)
	e.tat = now + e.tau - e.duration(e.idleUnits-1)
}

// toleratedPart is the part of the rate that unreachable gateways may pass without a reservation: a quarter
// of the quota's margin in 5 s, which is a tenth and 20 units. The other three quarters cover units not
// reported yet, at several changes of contact within 5 s.
func (e *tenantState) toleratedPart() float64 {
	return (0.1*(5*e.limit.Rate+e.limit.Burst) + 20) / 4 / (5 * e.limit.Rate)
}

// chargeMissing accounts for gateways that have become unreachable. Before that was noticed they passed
// their part of the rate, and each of them as much of a recent surge as a reachable one; an older surge has
// been reported. Of the rest, this side of the partition keeps its own part.
func (e *tenantState) chargeMissing(now fsm.Time, newlyMissing, reachable, peak int, reserve float64) {
	if newlyMissing <= 0 {
		return
	}
	recent, rate := (e.ownRecent+e.othersRecent)*decay(now-e.readAt), e.limit.Rate
	unreported := min(recent, rate)*detectionTime*float64(newlyMissing)/float64(peak) + max(0, recent-rate)*float64(newlyMissing)/float64(reachable)
	e.capAvailable(now, (e.available(now)-unreported)*(1-reserve))
}

// consume takes the units of a request that passes.
func (e *tenantState) consume(now fsm.Time, units float64) {
	e.tat = max(now, e.tat) + e.duration(units)
	e.knownTAT = max(now, e.knownTAT) + e.duration(units)
	added := uint64(math.Round(units * milliUnits))
	credited := min(added, e.credit)
	e.credit -= credited
	e.cur.sum += added - credited
}

// addOthers takes units passed by other gateways.
func (e *tenantState) addOthers(now fsm.Time, units float64) {
	e.tat = max(now-e.tau, e.tat) + e.duration(units)
}

// lowerToLevel corrects TAT down to the level. Units of others come in one sum for the whole time since the
// last read, though room accrued in that time, which this gateway discards when its own request raises TAT
// to now. The holder saw the units one by one.
func (e *tenantState) lowerToLevel(now fsm.Time, level float64) {
	e.tat = min(e.tat, now+e.duration(level+e.unacked()))
}

// raiseToLevel raises TAT to the level that a holder knew at a time, if TAT is lower.
func (e *tenantState) raiseToLevel(at fsm.Time, level float64) {
	e.knownTAT = max(e.knownTAT, at+e.duration(level+e.unacked()))
	e.tat = max(e.tat, e.knownTAT)
}

func (e *tenantState) unsent() float64 { return float64(e.cur.sum-e.sent) / milliUnits }

// unacked is the number of passed units that no holder is known to have counted.
func (e *tenantState) unacked() float64 {
	return float64(e.cur.sum-e.cur.acked+e.prev.sum-e.prev.acked) / milliUnits
}

// maxUnacked bounds unacked: slightly more than this gateway's part of the units that were available at the
// last read and have accrued since. Without it, eleven gateways that get requests at the same moment would
// pass eleven bursts.
func (e *tenantState) maxUnacked(now fsm.Time, gateways int) float64 {
	available := e.availableAtRead + (now-e.readAt).Seconds()*e.limit.Rate
	return 1 + leadFactor*e.trafficPart(gateways)*min(max(0, available), e.limit.Burst)
}

func (e *tenantState) trafficPart(gateways int) float64 {
	even := 1 / float64(gateways)
	return max(even, (e.ownRecent+evenPrior*even)/(e.ownRecent+e.othersRecent+evenPrior))
}

// noteTraffic records who passed the newest units; older ones decay within about a second.
func (e *tenantState) noteTraffic(now fsm.Time, own, others float64) {
	factor := decay(now - e.readAt)
	e.ownRecent, e.othersRecent = e.ownRecent*factor+own, e.othersRecent*factor+others
	e.readAt, e.availableAtRead = now, e.available(now)
}

func decay(age time.Duration) float64 { return 1 / (1 + age.Seconds()) }

// rollPeriod moves the state to a new period. Units that no holder has counted in a period that nobody
// reads any more are counted again in the new one. A tenant that was idle for longer than a period becomes
// unread.
func (e *tenantState) rollPeriod(now fsm.Time, period, prev uint64) {
	if e.cur.period == period {
		return
	}
	next := periodSum{period: period, hasBase: e.levelRead}
	next.sum = e.prev.sum - e.prev.acked
	switch e.cur.period {
	case 0: // holders don't count sums without a period
		next.sum += e.cur.sum
		e.prev = periodSum{}
	case prev:
		e.prev = e.cur
		if !e.cur.answered { // the period may be another holder's, of long ago: what is new in it came since the last read
			e.prev.maxNew = e.limit.Rate * (now - e.readAt + periodSettleTime).Seconds()
		}
	default:
		next.sum += e.cur.sum - e.cur.acked
		e.prev = periodSum{}
	}
	if e.prev.period != prev {
		e.markUnread(now)
		next.hasBase = false
	}
	e.cur, e.sent, e.reported, e.resend = next, 0, [2]uint64{}, [2]bool{}
}

// usedUnits is the part of the burst in use as messages encode it, plus 1; 0: unknown. A gateway that uses
// its own share reports what it knew before and has passed since: a later holder may have no other source.
func (e *tenantState) usedUnits(now fsm.Time) uint64 {
	tat := e.tat
	if !e.levelRead || e.holdersSilent {
		tat = e.knownTAT
	}
	if !e.levelRead && tat <= now {
		return 0
	}
	return 1 + uint64(min(max(0, float64(tat-now)/e.interval), e.limit.Burst)*milliUnits)
}

// retryAfter is the time until this many units pass if a part of the rate is reserved for others.
func (e *tenantState) retryAfter(now fsm.Time, units, part float64) time.Duration {
	return max(0, time.Duration(math.Ceil(float64(e.tat+e.duration(units-1)-e.tau-now)/(1-part))))
}
