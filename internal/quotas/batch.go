package quotas

import (
	"slices"
	"strings"
	"time"

	"asterwell/internal/fsm"
)

// Bounds on the size of adds. A gateway with 12,000 tenants has thousands of items to send when a holder is
// new, a period begins or answers are missing. All of them in each add, repeated until it is answered, is
// more than a holder can read: its answers are delayed further, and the adds grow with what is unanswered.
// So an add has a bounded number of items, and the rest goes in turn with the following adds. Below the
// bound nothing changes.

const (
	maxItems           = 256                    // in an add
	maxItemsLargeFleet = 64                     // above largeFleet gateways: a holder counts 600,000 items a second, not 2.5 million
	prevPart           = 8                      // above the bound, one item in 8 may be a sum of the previous period:
	maxPrevItems       = maxItems / prevPart    // at most this many
	maxBackoff         = 4                      // highest number of doublings of the gap between repetitions
	retryPerGateway    = 400 * time.Microsecond // base of that gap for each gateway: a holder gets 2,500 repetitions a second
)

// pendingItems holds the tenants to report to a holder, from the previous and the current period, by name.
type pendingItems struct{ prev, cur []*tenantState }

// itemLimit is the highest number of items in an add.
func itemLimit(gateways int) int {
	if gateways > largeFleet {
		return maxItemsLargeFleet
	}
	return maxItems
}

// trim selects the tenants that fit in an add. Sums that no holder has and tenants with a pending decision
// go first; within each kind tenants go in turn.
func (pending *pendingItems) trim(now fsm.Time, holder *holderState, limit int) {
	if pending.len() <= limit {
		return
	}
	untold, acked := partition(pending.prev, func(state *tenantState) bool { return state.prev.sum > state.prev.acked })
	urgent, rest := partition(pending.cur, func(state *tenantState) bool {
		return state.readWanted || state.levelRead && state.available(now) < state.limit.Burst/4
	})
	acked, holder.last[0] = rotate(acked, holder.last[0], limit/prevPart)
	left := limit - len(acked)
	untold, holder.last[1] = rotate(untold, holder.last[1], max(left/2, left-len(pending.cur)))
	left -= len(untold)
	urgent, holder.last[2] = rotate(urgent, holder.last[2], max(left/2, left-len(rest)))
	rest, holder.last[3] = rotate(rest, holder.last[3], left-len(urgent))
	pending.prev, pending.cur = mergeSorted(untold, acked), mergeSorted(urgent, rest)
}

func partition(list []*tenantState, first func(state *tenantState) bool) (matching, rest []*tenantState) {
	for _, state := range list {
		if first(state) {
			matching = append(matching, state)
		} else {
			rest = append(rest, state)
		}
	}
	return matching, rest
}

func (pending *pendingItems) len() int { return len(pending.prev) + len(pending.cur) }

// rotate returns the n tenants that follow the given one, wrapping around, in order.
func rotate(list []*tenantState, after string, n int) (selected []*tenantState, last string) {
	if len(list) <= n {
		return list, after
	}
	i, _ := slices.BinarySearchFunc(list, after, func(state *tenantState, t string) int { return strings.Compare(state.tenant, t+"\x00") })
	end := i + n
	if end <= len(list) {
		selected = slices.Clone(list[i:end])
	} else {
		end -= len(list)
		selected = append(slices.Clone(list[:end]), list[i:]...)
	}
	return selected, list[end-1].tenant
}

// inFlight reports whether the tenant was reported so recently that there can't be an answer yet. It only
// applies to many tenants and a far holder. Otherwise each add repeats all that is unanswered, so that a
// lost one costs less time.
func (m *Meter) inFlight(now fsm.Time, state *tenantState, holder *holderState) bool {
	return len(m.ordered) > maxItems && holder.far() && !holder.retryDue(now) && now-state.reportedAt < holder.rtt.extend(retryGap)
}

// retryBackoff is the gap between two adds to a holder that doesn't answer; it doubles with each
// (exponential backoff). Repetitions of many gateways keep an overloaded holder from ever answering. In
// small fleets it is below any other gap.
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
