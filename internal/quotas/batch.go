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
	maxItems           = 256                    // of an add
	maxItemsLargeFleet = 64                     // of hundreds of gateways: a holder counts 600,000 items a second, not 2.5 million
	prevPart           = 8                      // of these, where there are more than the bound, sums of the period before:
	maxPrevItems       = maxItems / prevPart    // so many
	maxBackoff         = 4                      // doublings of that
	retryPerGateway    = 400 * time.Microsecond // for each gateway: between repetitions, of which a holder gets 2,500 a second
)

// pendingItems is what there is to tell a holder, in order of tenants.
type pendingItems struct{ prev, cur []*tenantState }

// itemLimit is how many items an add has room for.
func itemLimit(gateways int) int {
	if gateways > largeFleet {
		return maxItemsLargeFleet
	}
	return maxItems
}

// trim is what an add has room for: what was passed and told to nobody, and what somebody waits for, goes before the
// rest; all of a kind go in turn.
func (t *pendingItems) trim(now fsm.Time, s *holderState, most int) {
	if t.len() <= most {
		return
	}
	untold, over := partition(t.prev, func(e *tenantState) bool { return e.prev.sum > e.prev.acked })
	urgent, rest := partition(t.cur, func(e *tenantState) bool { return e.readWanted || e.levelRead && e.available(now) < e.limit.Burst/4 })
	over, s.last[0] = rotate(over, s.last[0], most/prevPart)
	room := most - len(over)
	untold, s.last[1] = rotate(untold, s.last[1], max(room/2, room-len(t.cur)))
	room -= len(untold)
	urgent, s.last[2] = rotate(urgent, s.last[2], max(room/2, room-len(rest)))
	rest, s.last[3] = rotate(rest, s.last[3], room-len(urgent))
	t.prev, t.cur = mergeSorted(untold, over), mergeSorted(urgent, rest)
}

func partition(list []*tenantState, first func(e *tenantState) bool) (one, other []*tenantState) {
	for _, e := range list {
		if first(e) {
			one = append(one, e)
		} else {
			other = append(other, e)
		}
	}
	return one, other
}

func (t *pendingItems) len() int { return len(t.prev) + len(t.cur) }

// rotate is so many entries behind a tenant, and from the first on where there are no more; in order.
func rotate(list []*tenantState, after string, n int) (some []*tenantState, last string) {
	if len(list) <= n {
		return list, after
	}
	i, _ := slices.BinarySearchFunc(list, after, func(e *tenantState, t string) int { return strings.Compare(e.tenant, t+"\x00") })
	end := i + n
	if end <= len(list) {
		some = slices.Clone(list[i:end])
	} else {
		end -= len(list)
		some = append(slices.Clone(list[:end]), list[i:]...)
	}
	return some, list[end-1].tenant
}

// inFlight: what was told lately of a tenant can't have been answered yet. Only where there are many, and the way is
// long: elsewhere all that isn't answered goes with each add, so that a lost one costs less time.
func (m *Meter) inFlight(now fsm.Time, e *tenantState, s *holderState) bool {
	return len(m.ordered) > maxItems && s.far() && !s.retryDue(now) && now-e.reportedAt < s.rtt.extend(retryGap)
}

// retryBackoff is between two adds to a holder that doesn't answer, twice as long after each (exponential backoff): what
// many gateways repeat keeps a holder that fell behind from ever answering. In small fleets it is below any gap.
func (m *Meter) retryBackoff() fsm.Time {
	once := fsm.Time(m.gateways) * retryPerGateway
	if once <= minGap {
		return once
	}
	tries := max(m.holders[0].retries, m.holders[1].retries)
	if m.reader >= 0 {
		tries = m.holders[m.reader].retries
	}
	return once << min(tries, maxBackoff)
}
