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

func (state *tenantState) setLimit(l Limit) {
	state.limit = l
	state.limit.Burst = max(l.Burst, 1)
	state.interval = 1e9 / l.Rate
	state.tau = state.duration(state.limit.Burst - 1)
}

// changeLimit carries TAT over: the units available afterwards are at most those available before, and at
// most the new burst. What a higher limit adds has to accrue.
func (state *tenantState) changeLimit(now fsm.Time, l Limit) {
	available, known := min(state.available(now), state.limit.Burst), float64(state.knownTAT-now)/state.interval
	state.setLimit(l)
	state.knownTAT = now + state.duration(min(known, state.limit.Burst))
	state.tat = now + state.tau - state.duration(min(available, state.limit.Burst)-1)
	state.availableAtRead = min(state.availableAtRead, state.limit.Burst)
}

func (state *tenantState) duration(units float64) fsm.Time { return fsm.Time(units * state.interval) }

// available is the number of units that would pass now.
func (state *tenantState) available(now fsm.Time) float64 {
	return float64(now+state.tau-state.tat)/state.interval + 1
}

// capAvailable raises TAT so that at most this many units are available.
func (state *tenantState) capAvailable(now fsm.Time, units float64) {
	state.tat = max(state.tat, now+state.tau-state.duration(units-1))
}

// resetToStartAllowance grants the even share of the burst to a tenant whose usage elsewhere is unknown.
func (state *tenantState) resetToStartAllowance(now fsm.Time, gateways int) {
	state.tat = now + state.tau - state.duration(state.evenShare(gateways)-1)
	state.markUnread(now)
}

// markUnread makes the next read set how much of the burst is in use.
func (state *tenantState) markUnread(now fsm.Time) {
	state.levelRead, state.unreadSince, state.assumedUntil, state.cur.hasBase, state.prev.hasBase, state.idleUnits = false, now, now, false, false, 0
}

// assumeOthers counts a part of the rate as used by others since the last call.
func (state *tenantState) assumeOthers(now fsm.Time, part float64) {
	state.tat += fsm.Time(float64(max(0, now-state.assumedUntil)) * part)
	state.assumedUntil = max(state.assumedUntil, now)
}

func (state *tenantState) evenShare(gateways int) float64 {
	return max(1, state.limit.Burst/float64(gateways))
}

// grantIdleAllowance grants an idle tenant one unit and its even share of the burst, as if the level had
// been read as 0. Fractions are rounded by roundingDraw: at an average of 1.4 units, two gateways in five
// get 2.
func (state *tenantState) grantIdleAllowance(now fsm.Time, gateways int) {
	state.idleUnits = math.Floor(1 + state.limit.Burst/float64(gateways) + state.roundingDraw)
	state.tat = now + state.tau - state.duration(state.idleUnits-1)
}

// toleratedPart is the part of the rate that unreachable gateways may pass without a reservation: a quarter
// of the quota's margin in 5 s, which is a tenth and 20 units. The other three quarters cover units not
// reported yet, at several changes of contact within 5 s.
func (state *tenantState) toleratedPart() float64 {
	return (0.1*(5*state.limit.Rate+state.limit.Burst) + 20) / 4 / (5 * state.limit.Rate)
}

// chargeMissing accounts for gateways that have become unreachable. Before that was noticed they passed
// their part of the rate, and each of them as much of a recent surge as a reachable one; an older surge has
// been reported. Of the rest, this side of the partition keeps its own part.
func (state *tenantState) chargeMissing(now fsm.Time, newlyMissing, reachable, peak int, reserve float64) {
	if newlyMissing <= 0 {
		return
	}
	recent, rate := (state.ownRecent+state.othersRecent)*decay(now-state.readAt), state.limit.Rate
	unreported := min(recent, rate)*detectionTime*float64(newlyMissing)/float64(peak) + max(0, recent-rate)*float64(newlyMissing)/float64(reachable)
	state.capAvailable(now, (state.available(now)-unreported)*(1-reserve))
}

// consume takes the units of a request that passes.
func (state *tenantState) consume(now fsm.Time, units float64) {
	state.tat = max(now, state.tat) + state.duration(units)
	state.knownTAT = max(now, state.knownTAT) + state.duration(units)
	added := uint64(math.Round(units * milliUnits))
	credited := min(added, state.credit)
	state.credit -= credited
	state.cur.sum += added - credited
}

// addOthers takes units passed by other gateways.
func (state *tenantState) addOthers(now fsm.Time, units float64) {
	state.tat = max(now-state.tau, state.tat) + state.duration(units)
}

// lowerToLevel corrects TAT down to the level. Units of others come in one sum for the whole time since the
// last read, though room accrued in that time, which this gateway discards when its own request raises TAT
// to now. The holder saw the units one by one.
func (state *tenantState) lowerToLevel(now fsm.Time, level float64) {
	state.tat = min(state.tat, now+state.duration(level+state.unacked()))
}

// raiseToLevel raises TAT to the level that a holder knew at a time, if TAT is lower.
func (state *tenantState) raiseToLevel(at fsm.Time, level float64) {
	state.knownTAT = max(state.knownTAT, at+state.duration(level+state.unacked()))
	state.tat = max(state.tat, state.knownTAT)
}

func (state *tenantState) unsent() float64 { return float64(state.cur.sum-state.sent) / milliUnits }

// unacked is the number of passed units that no holder is known to have counted.
func (state *tenantState) unacked() float64 {
	return float64(state.cur.sum-state.cur.acked+state.prev.sum-state.prev.acked) / milliUnits
}

// maxUnacked bounds unacked: slightly more than this gateway's part of the units that were available at the
// last read and have accrued since. Without it, eleven gateways that get requests at the same moment would
// pass eleven bursts.
func (state *tenantState) maxUnacked(now fsm.Time, gateways int) float64 {
	available := state.availableAtRead + (now-state.readAt).Seconds()*state.limit.Rate
	return 1 + leadFactor*state.trafficPart(gateways)*min(max(0, available), state.limit.Burst)
}

func (state *tenantState) trafficPart(gateways int) float64 {
	even := 1 / float64(gateways)
	return max(even, (state.ownRecent+evenPrior*even)/(state.ownRecent+state.othersRecent+evenPrior))
}

// noteTraffic records who passed the newest units; older ones decay within about a second.
func (state *tenantState) noteTraffic(now fsm.Time, own, others float64) {
	factor := decay(now - state.readAt)
	state.ownRecent, state.othersRecent = state.ownRecent*factor+own, state.othersRecent*factor+others
	state.readAt, state.availableAtRead = now, state.available(now)
}

func decay(age time.Duration) float64 { return 1 / (1 + age.Seconds()) }

// rollPeriod moves the state to a new period. Units that no holder has counted in a period that nobody
// reads any more are counted again in the new one. A tenant that was idle for longer than a period becomes
// unread.
func (state *tenantState) rollPeriod(now fsm.Time, period, prev uint64) {
	if state.cur.period == period {
		return
	}
	next := periodSum{period: period, hasBase: state.levelRead}
	next.sum = state.prev.sum - state.prev.acked
	switch state.cur.period {
	case 0: // holders don't count sums without a period
		next.sum += state.cur.sum
		state.prev = periodSum{}
	case prev:
		state.prev = state.cur
		if !state.cur.answered { // the period may be another holder's, of long ago: what is new in it came since the last read
			state.prev.maxNew = state.limit.Rate * (now - state.readAt + periodSettleTime).Seconds()
		}
	default:
		next.sum += state.cur.sum - state.cur.acked
		state.prev = periodSum{}
	}
	if state.prev.period != prev {
		state.markUnread(now)
		next.hasBase = false
	}
	state.cur, state.sent, state.reported, state.resend = next, 0, [2]uint64{}, [2]bool{}
}

// usedUnits is the part of the burst in use as messages encode it, plus 1; 0: unknown. A gateway that uses
// its own share reports what it knew before and has passed since: a later holder may have no other source.
func (state *tenantState) usedUnits(now fsm.Time) uint64 {
	tat := state.tat
	if !state.levelRead || state.holdersSilent {
		tat = state.knownTAT
	}
	if !state.levelRead && tat <= now {
		return 0
	}
	return 1 + uint64(min(max(0, float64(tat-now)/state.interval), state.limit.Burst)*milliUnits)
}

// retryAfter is the time until this many units pass if a part of the rate is reserved for others.
func (state *tenantState) retryAfter(now fsm.Time, units, part float64) time.Duration {
	return max(0, time.Duration(math.Ceil(float64(state.tat+state.duration(units-1)-state.tau-now)/(1-part))))
}
