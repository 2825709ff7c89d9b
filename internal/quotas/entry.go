package quotas

import (
	"math"
	"time"

	"asterwell/internal/fsm"
)

// Limit is what a tenant may pass: units a second, and a burst on top.
type Limit struct{ Rate, Burst float64 }

// milli is the grain of sums on the wire: whole numbers add up exactly.
const milli = 1000

// slack is by how much a gateway may outrun its part before the others hear of it.
const slack = 1.2

// blindTime is for about how long, in seconds, gateways may be out of sight unknown.
const blindTime = 0.4

// prior is how many units an even spread weighs against what was seen.
const prior = 8

// name is a gateway's view of one counter name.
type name struct {
	period uint64
	sum    uint64  // passed here
	acked  uint64  // of that, known to a holder
	others uint64  // the most that any holder has said
	based  bool    // others can be measured from here
	read   bool    // a holder has answered for it
	most   float64 // of a name that none answered for, as much can be new; 0: all
}

// entry is one tenant at one gateway.
type entry struct {
	tenant string
	place  int32 // in the meter's order, which is that of its newest roster
	limit  Limit
	gap    float64 // T, in nanoseconds
	tau    fsm.Time
	tat    fsm.Time

	seen   bool     // the counter has said how much of the burst is in use
	since  fsm.Time // when it became unseen
	asked  bool     // a request came while unseen: there is something to read
	vague  bool     // the counter doesn't know yet
	mute   bool     // the counter was silent
	pushed fsm.Time // up to when use by others was assumed
	known  fsm.Time // TAT as a holder told it last, and by what was passed here since: nothing is assumed in it
	nearAt fsm.Time // when it was near its limit, if others should hear of it who don't ask
	away   int      // gateways out of sight, as was taken in
	rested float64  // units that may pass unread, where it has only rested and the holder is far; 0: its share
	lot    float64  // below 1, drawn by gateway and tenant: who has the parts of a unit

	active bool // it is in the meter's list of those that may have something to say

	cur, old name
	sent     uint64    // of cur, told to any holder
	told     [2]uint64 // of cur, told to each holder
	again    [2]bool   // it is to be told once more: it may be new
	saidAt   fsm.Time  // when the holder that is read was last told, or asked
	credit   uint64    // units settled back, not yet used up

	readAt       fsm.Time
	readRoom     float64
	mine, theirs float64 // recent units, fading: which part of the fleet's is ours
}

func (e *entry) set(l Limit) {
	e.limit = l
	e.limit.Burst = max(l.Burst, 1)
	e.gap = 1e9 / l.Rate
	e.tau = e.span(e.limit.Burst - 1)
}

// change carries TAT over: the room left afterwards is at most the room left
// before, and at most the new burst. What a higher limit adds has to accrue.
func (e *entry) change(now fsm.Time, l Limit) {
	room, known := min(e.room(now), e.limit.Burst), float64(e.known-now)/e.gap
	e.set(l)
	e.known = now + e.span(min(known, e.limit.Burst))
	e.tat = now + e.tau - e.span(min(room, e.limit.Burst)-1)
	e.readRoom = min(e.readRoom, e.limit.Burst)
}

func (e *entry) span(units float64) fsm.Time { return fsm.Time(units * e.gap) }

// room is the number of units that the test lets through now.
func (e *entry) room(now fsm.Time) float64 {
	return float64(now+e.tau-e.tat)/e.gap + 1
}

// leave sets TAT so that so many units are left, if there are more.
func (e *entry) leave(now fsm.Time, units float64) {
	e.tat = max(e.tat, now+e.tau-e.span(units-1))
}

// start is the allowance of a tenant whose use elsewhere is not known.
func (e *entry) start(now fsm.Time, gateways int) {
	e.tat = now + e.tau - e.span(e.share(gateways)-1)
	e.forget(now)
}

// forget makes the tenant unseen: the next read says how much of the burst is in use.
func (e *entry) forget(now fsm.Time) {
	e.seen, e.since, e.pushed, e.cur.based, e.old.based, e.rested = false, now, now, false, false, 0
}

// assume takes a part of the rate as used by others since the last time.
func (e *entry) assume(now fsm.Time, part float64) {
	e.tat += fsm.Time(float64(max(0, now-e.pushed)) * part)
	e.pushed = max(e.pushed, now)
}

func (e *entry) share(gateways int) float64 {
	return max(1, e.limit.Burst/float64(gateways))
}

// rest gives a tenant that has only rested a unit and its even share of the burst, as if it were
// seen and all of it free, in whole units: of gateways that have 1.4 each, two in five have 2.
func (e *entry) rest(now fsm.Time, gateways int) {
	e.rested = math.Floor(1 + e.limit.Burst/float64(gateways) + e.lot)
	e.tat = now + e.tau - e.span(e.rested-1)
}

// bears is the part of the rate that gateways out of touch may pass without a reserve
// for them: a quarter of what the quota's margin is worth in 5 s, a tenth and 20 units. The rest bears what nobody has heard
// of yet, at each of several changes of contact within 5 s.
func (e *entry) bears() float64 {
	return (0.1*(5*e.limit.Rate+e.limit.Burst) + 20) / 4 / (5 * e.limit.Rate)
}

// miss takes in that so many gateways have gone out of sight. Before that was known
// they passed their part of the rate, and as much of a crowd as those that are in sight,
// to each; a crowd of long ago has been heard of. What is left here is this side's part of
// what is left in all.
func (e *entry) miss(now fsm.Time, gone, present, peak int, reserve float64) {
	if gone <= 0 {
		return
	}
	recent, rate := (e.mine+e.theirs)*faded(now-e.readAt), e.limit.Rate
	unknown := min(recent, rate)*blindTime*float64(gone)/float64(peak) + max(0, recent-rate)*float64(gone)/float64(present)
	e.leave(now, (e.room(now)-unknown)*(1-reserve))
}

// use is the update of a pass.
func (e *entry) use(now fsm.Time, units float64) {
	e.tat = max(now, e.tat) + e.span(units)
	e.known = max(now, e.known) + e.span(units)
	add := uint64(math.Round(units * milli))
	back := min(add, e.credit)
	e.credit -= back
	e.cur.sum += add - back
}

// learn takes in units that others have added.
func (e *entry) learn(now fsm.Time, units float64) {
	e.tat = max(now-e.tau, e.tat) + e.span(units)
}

// ease takes back what a lump of others' units has made too much: they came over the
// time since the last read, in which room accrued that this gateway had forgotten at
// its own pass. The holder saw them come one by one.
func (e *entry) ease(now fsm.Time, level float64) {
	e.tat = min(e.tat, now+e.span(level+e.unheard()))
}

// lift takes in what a holder knew to be in use at a time, where that is more than is reckoned with here.
func (e *entry) lift(at fsm.Time, level float64) {
	e.known = max(e.known, at+e.span(level+e.unheard()))
	e.tat = max(e.tat, e.known)
}

func (e *entry) unsent() float64 { return float64(e.cur.sum-e.sent) / milli }

// unheard is what was passed and no holder is known to have counted.
func (e *entry) unheard() float64 {
	return float64(e.cur.sum-e.cur.acked+e.old.sum-e.old.acked) / milli
}

// lead is how much may be unheard: a bit more than this gateway's part of the
// room at the last read, and of what has accrued since. It keeps eleven
// gateways that are open at the same moment from passing eleven bursts.
func (e *entry) lead(now fsm.Time, gateways int) float64 {
	room := e.readRoom + (now-e.readAt).Seconds()*e.limit.Rate
	return 1 + slack*e.part(gateways)*min(max(0, room), e.limit.Burst)
}

func (e *entry) part(gateways int) float64 {
	even := 1 / float64(gateways)
	return max(even, (e.mine+prior*even)/(e.mine+e.theirs+prior))
}

// weigh notes whose the newest units are; older ones fade within about a second.
func (e *entry) weigh(now fsm.Time, mine, theirs float64) {
	fade := faded(now - e.readAt)
	e.mine, e.theirs = e.mine*fade+mine, e.theirs*fade+theirs
	e.readAt, e.readRoom = now, e.room(now)
}

func faded(age time.Duration) float64 { return 1 / (1 + age.Seconds()) }

// roll moves on to a new period. What no holder has counted under a name that
// nobody reads any more is counted again under the new one. A tenant that has
// rested for longer than a period is unseen.
func (e *entry) roll(now fsm.Time, period, prev uint64) {
	if e.cur.period == period {
		return
	}
	next := name{period: period, based: e.seen}
	next.sum = e.old.sum - e.old.acked
	switch e.cur.period {
	case 0: // no holder counts the name without a period
		next.sum += e.cur.sum
		e.old = name{}
	case prev:
		e.old = e.cur
		if !e.cur.read { // maybe another holder's, of long ago: what is new of it came since the last read
			e.old.most = e.limit.Rate * (now - e.readAt + settle).Seconds()
		}
	default:
		next.sum += e.cur.sum - e.cur.acked
		e.old = name{}
	}
	if e.old.period != prev {
		e.forget(now)
		next.based = false
	}
	e.cur, e.sent, e.told, e.again = next, 0, [2]uint64{}, [2]bool{}
}

// used is the part of the burst in use, as messages say it. One that goes by its own share says what it knew before, and
// has passed since: the holders that come after may have been told by nobody else.
func (e *entry) used(now fsm.Time) uint64 {
	tat := e.tat
	if !e.seen || e.mute {
		tat = e.known
	}
	if !e.seen && tat <= now {
		return 0
	}
	return 1 + uint64(min(max(0, float64(tat-now)/e.gap), e.limit.Burst)*milli)
}

// wait is how long until so many units pass where a part of the rate is kept for others.
func (e *entry) wait(now fsm.Time, units, part float64) time.Duration {
	return max(0, time.Duration(math.Ceil(float64(e.tat+e.span(units-1)-e.tau-now)/(1-part))))
}
