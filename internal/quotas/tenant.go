package quotas

import (
	"math"
	"time"

	"asterwell/internal/fsm"
)

// Limit is what a tenant may pass: units a second, and a burst on top.
type Limit struct{ Rate, Burst float64 }

// milliUnits is the grain of sums on the wire: whole numbers add up exactly.
const milliUnits = 1000

// leadFactor is by how much a gateway may outrun its part before the others hear of it.
const leadFactor = 1.2

// detectionTime is for about how long, in seconds, gateways may be out of sight unknown.
const detectionTime = 0.4

// evenPrior is how many units an even spread weighs against what was seen.
const evenPrior = 8

// periodSum is a gateway's view of one counter name.
type periodSum struct {
	period   uint64
	sum      uint64  // passed here
	acked    uint64  // of that, known to a holder
	others   uint64  // the most that any holder has said
	hasBase  bool    // others can be measured from here
	answered bool    // a holder has answered for it
	maxNew   float64 // of a name that none answered for, as much can be new; 0: all
}

// tenantState is one tenant at one gateway.
type tenantState struct {
	tenant   string
	place    int32 // in the meter's order, which is that of its newest roster
	limit    Limit
	interval float64 // T, in nanoseconds
	tau      fsm.Time
	tat      fsm.Time

	levelRead     bool     // the counter has said how much of the burst is in use
	unreadSince   fsm.Time // when it became unseen
	readWanted    bool     // a request came while unseen: there is something to read
	levelUnknown  bool     // the counter doesn't know yet
	holdersSilent bool     // the counter was silent
	assumedUntil  fsm.Time // up to when use by others was assumed
	knownTAT      fsm.Time // TAT as a holder told it last, and by what was passed here since: nothing is assumed in it
	nearLimitAt   fsm.Time // when it was near its limit, if others should hear of it who don't ask
	missing       int      // gateways out of sight, as was taken in
	idleUnits     float64  // units that may pass unread, where it has only rested and the holder is far; 0: its share
	roundingDraw  float64  // below 1, drawn by gateway and tenant: who has the parts of a unit

	active bool // it is in the meter's list of those that may have something to say

	cur, prev  periodSum
	sent       uint64    // of cur, told to any holder
	reported   [2]uint64 // of cur, told to each holder
	resend     [2]bool   // it is to be told once more: it may be new
	reportedAt fsm.Time  // when the holder that is read was last told, or asked
	credit     uint64    // units settled back, not yet used up

	readAt                  fsm.Time
	availableAtRead         float64
	ownRecent, othersRecent float64 // recent units, fading: which part of the fleet's is ours
}

func (e *tenantState) setLimit(l Limit) {
	e.limit = l
	e.limit.Burst = max(l.Burst, 1)
	e.interval = 1e9 / l.Rate
	e.tau = e.duration(e.limit.Burst - 1)
}

// changeLimit carries TAT over: the room left afterwards is at most the room left
// before, and at most the new burst. What a higher limit adds has to accrue.
func (e *tenantState) changeLimit(now fsm.Time, l Limit) {
	room, known := min(e.available(now), e.limit.Burst), float64(e.knownTAT-now)/e.interval
	e.setLimit(l)
	e.knownTAT = now + e.duration(min(known, e.limit.Burst))
	e.tat = now + e.tau - e.duration(min(room, e.limit.Burst)-1)
	e.availableAtRead = min(e.availableAtRead, e.limit.Burst)
}

func (e *tenantState) duration(units float64) fsm.Time { return fsm.Time(units * e.interval) }

// available is the number of units that the test lets through now.
func (e *tenantState) available(now fsm.Time) float64 {
	return float64(now+e.tau-e.tat)/e.interval + 1
}

// capAvailable sets TAT so that so many units are left, if there are more.
func (e *tenantState) capAvailable(now fsm.Time, units float64) {
	e.tat = max(e.tat, now+e.tau-e.duration(units-1))
}

// resetToStartAllowance is the allowance of a tenant whose use elsewhere is not known.
func (e *tenantState) resetToStartAllowance(now fsm.Time, gateways int) {
	e.tat = now + e.tau - e.duration(e.evenShare(gateways)-1)
	e.markUnread(now)
}

// markUnread makes the tenant unseen: the next read says how much of the burst is in use.
func (e *tenantState) markUnread(now fsm.Time) {
	e.levelRead, e.unreadSince, e.assumedUntil, e.cur.hasBase, e.prev.hasBase, e.idleUnits = false, now, now, false, false, 0
}

// assumeOthers takes a part of the rate as used by others since the last time.
func (e *tenantState) assumeOthers(now fsm.Time, part float64) {
	e.tat += fsm.Time(float64(max(0, now-e.assumedUntil)) * part)
	e.assumedUntil = max(e.assumedUntil, now)
}

func (e *tenantState) evenShare(gateways int) float64 {
	return max(1, e.limit.Burst/float64(gateways))
}

// grantIdleAllowance gives a tenant that has only rested a unit and its even share of the burst, as if it were
// seen and all of it free, in whole units: of gateways that have 1.4 each, two in five have 2.
func (e *tenantState) grantIdleAllowance(now fsm.Time, gateways int) {
	e.idleUnits = math.Floor(1 + e.limit.Burst/float64(gateways) + e.roundingDraw)
	e.tat = now + e.tau - e.duration(e.idleUnits-1)
}

// toleratedPart is the part of the rate that gateways out of touch may pass without a reserve
// for them: a quarter of what the quota's margin is worth in 5 s, a tenth and 20 units. The rest bears what nobody has heard
// of yet, at each of several changes of contact within 5 s.
func (e *tenantState) toleratedPart() float64 {
	return (0.1*(5*e.limit.Rate+e.limit.Burst) + 20) / 4 / (5 * e.limit.Rate)
}

// chargeMissing takes in that so many gateways have gone out of sight. Before that was known
// they passed their part of the rate, and as much of a crowd as those that are in sight,
// to each; a crowd of long ago has been heard of. What is left here is this side's part of
// what is left in all.
func (e *tenantState) chargeMissing(now fsm.Time, gone, present, peak int, reserve float64) {
	if gone <= 0 {
		return
	}
	recent, rate := (e.ownRecent+e.othersRecent)*decay(now-e.readAt), e.limit.Rate
	unknown := min(recent, rate)*detectionTime*float64(gone)/float64(peak) + max(0, recent-rate)*float64(gone)/float64(present)
	e.capAvailable(now, (e.available(now)-unknown)*(1-reserve))
}

// consume is the update of a pass.
func (e *tenantState) consume(now fsm.Time, units float64) {
	e.tat = max(now, e.tat) + e.duration(units)
	e.knownTAT = max(now, e.knownTAT) + e.duration(units)
	add := uint64(math.Round(units * milliUnits))
	back := min(add, e.credit)
	e.credit -= back
	e.cur.sum += add - back
}

// addOthers takes in units that others have added.
func (e *tenantState) addOthers(now fsm.Time, units float64) {
	e.tat = max(now-e.tau, e.tat) + e.duration(units)
}

// lowerToLevel takes back what a lump of others' units has made too much: they came over the
// time since the last read, in which room accrued that this gateway had forgotten at
// its own pass. The holder saw them come one by one.
func (e *tenantState) lowerToLevel(now fsm.Time, level float64) {
	e.tat = min(e.tat, now+e.duration(level+e.unacked()))
}

// raiseToLevel takes in what a holder knew to be in use at a time, where that is more than is reckoned with here.
func (e *tenantState) raiseToLevel(at fsm.Time, level float64) {
	e.knownTAT = max(e.knownTAT, at+e.duration(level+e.unacked()))
	e.tat = max(e.tat, e.knownTAT)
}

func (e *tenantState) unsent() float64 { return float64(e.cur.sum-e.sent) / milliUnits }

// unacked is what was passed and no holder is known to have counted.
func (e *tenantState) unacked() float64 {
	return float64(e.cur.sum-e.cur.acked+e.prev.sum-e.prev.acked) / milliUnits
}

// maxUnacked is how much may be unheard: a bit more than this gateway's part of the
// room at the last read, and of what has accrued since. It keeps eleven
// gateways that are open at the same moment from passing eleven bursts.
func (e *tenantState) maxUnacked(now fsm.Time, gateways int) float64 {
	room := e.availableAtRead + (now-e.readAt).Seconds()*e.limit.Rate
	return 1 + leadFactor*e.trafficPart(gateways)*min(max(0, room), e.limit.Burst)
}

func (e *tenantState) trafficPart(gateways int) float64 {
	even := 1 / float64(gateways)
	return max(even, (e.ownRecent+evenPrior*even)/(e.ownRecent+e.othersRecent+evenPrior))
}

// noteTraffic notes whose the newest units are; older ones fade within about a second.
func (e *tenantState) noteTraffic(now fsm.Time, mine, theirs float64) {
	fade := decay(now - e.readAt)
	e.ownRecent, e.othersRecent = e.ownRecent*fade+mine, e.othersRecent*fade+theirs
	e.readAt, e.availableAtRead = now, e.available(now)
}

func decay(age time.Duration) float64 { return 1 / (1 + age.Seconds()) }

// rollPeriod moves on to a new period. What no holder has counted under a name that
// nobody reads any more is counted again under the new one. A tenant that has
// rested for longer than a period is unseen.
func (e *tenantState) rollPeriod(now fsm.Time, period, prev uint64) {
	if e.cur.period == period {
		return
	}
	next := periodSum{period: period, hasBase: e.levelRead}
	next.sum = e.prev.sum - e.prev.acked
	switch e.cur.period {
	case 0: // no holder counts the name without a period
		next.sum += e.cur.sum
		e.prev = periodSum{}
	case prev:
		e.prev = e.cur
		if !e.cur.answered { // maybe another holder's, of long ago: what is new of it came since the last read
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

// usedUnits is the part of the burst in use, as messages say it. One that goes by its own share says what it knew before, and
// has passed since: the holders that come after may have been told by nobody else.
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

// retryAfter is how long until so many units pass where a part of the rate is kept for others.
func (e *tenantState) retryAfter(now fsm.Time, units, part float64) time.Duration {
	return max(0, time.Duration(math.Ceil(float64(e.tat+e.duration(units-1)-e.tau-now)/(1-part))))
}
