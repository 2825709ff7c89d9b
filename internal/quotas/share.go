package quotas

import (
	"slices"
	"strings"
	"time"

	"asterwell/internal/fsm"
)

// What one add may hold. A gateway before 12,000 tenants has thousands of them to tell where a holder is new, a period
// begins or answers stay out. All of that in each add, repeated until it is answered, is more than a holder reads: its
// answers stay out the longer, and the adds grow with what hasn't been answered. So an add has a bound, and what
// it has no room for goes with the next ones, in turn. Up to the bound nothing differs.

const (
	mostItems   = 256                    // of an add
	fewItems    = 64                     // of hundreds of gateways: a holder counts 600,000 items a second, not 2.5 million
	oldPart     = 8                      // of these, where there are more than the bound, sums of the period before:
	mostOld     = mostItems / oldPart    // so many
	mostBackoff = 4                      // doublings of that
	seldom      = 400 * time.Microsecond // for each gateway: between repetitions, of which a holder gets 2,500 a second
)

// talks is what there is to tell a holder, in order of tenants.
type talks struct{ old, cur []*entry }

// bound is how many items an add has room for.
func bound(gateways int) int {
	if gateways > hundreds {
		return fewItems
	}
	return mostItems
}

// some is what an add has room for: what was passed and told to nobody, and what somebody waits for, goes before the
// rest; all of a kind go in turn.
func (t *talks) some(now fsm.Time, s *slot, most int) {
	if t.len() <= most {
		return
	}
	untold, over := split(t.old, func(e *entry) bool { return e.old.sum > e.old.acked })
	urgent, rest := split(t.cur, func(e *entry) bool { return e.asked || e.seen && e.room(now) < e.limit.Burst/4 })
	over, s.last[0] = next(over, s.last[0], most/oldPart)
	room := most - len(over)
	untold, s.last[1] = next(untold, s.last[1], max(room/2, room-len(t.cur)))
	room -= len(untold)
	urgent, s.last[2] = next(urgent, s.last[2], max(room/2, room-len(rest)))
	rest, s.last[3] = next(rest, s.last[3], room-len(urgent))
	t.old, t.cur = merge(untold, over), merge(urgent, rest)
}

func split(list []*entry, first func(e *entry) bool) (one, other []*entry) {
	for _, e := range list {
		if first(e) {
			one = append(one, e)
		} else {
			other = append(other, e)
		}
	}
	return one, other
}

func (t *talks) len() int { return len(t.old) + len(t.cur) }

// next is so many entries behind a tenant, and from the first on where there are no more; in order.
func next(list []*entry, after string, n int) (some []*entry, last string) {
	if len(list) <= n {
		return list, after
	}
	i, _ := slices.BinarySearchFunc(list, after, func(e *entry, t string) int { return strings.Compare(e.tenant, t+"\x00") })
	end := i + n
	if end <= len(list) {
		some = slices.Clone(list[i:end])
	} else {
		end -= len(list)
		some = append(slices.Clone(list[:end]), list[i:]...)
	}
	return some, list[end-1].tenant
}

// onItsWay: what was told lately of a tenant can't have been answered yet. Only where there are many, and the way is
// long: elsewhere all that isn't answered goes with each add, so that a lost one costs less time.
func (m *Meter) onItsWay(now fsm.Time, e *entry, s *slot) bool {
	return len(m.order) > mostItems && s.far() && !s.late(now) && now-e.saidAt < s.way.stretch(retryGap)
}

// patience is between two adds to a holder that doesn't answer, twice as long after each (exponential backoff): what
// many gateways repeat keeps a holder that fell behind from ever answering. In small fleets it is below any gap.
func (m *Meter) patience() fsm.Time {
	once := fsm.Time(m.gateways) * seldom
	if once <= leastGap {
		return once
	}
	tries := max(m.slots[0].tries, m.slots[1].tries)
	if m.reader >= 0 {
		tries = m.slots[m.reader].tries
	}
	return once << min(tries, mostBackoff)
}
