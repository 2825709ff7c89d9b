package quotas

import (
	"cmp"
	"slices"
)

// activeSet holds the tenants that may have something to send, by name. Of thousands of tenants only a few
// do at any moment, and a tick visits only these. All are visited when a holder is to be told all sums, and
// at a new period, to which every tenant with a sum has to move.
type activeSet struct {
	list     []*tenantState
	added    []*tenantState // active since the last tick, not in list yet
	period   uint64         // the period in which list was made
	complete bool           // list has every active tenant that is not in added
}

// add marks a tenant as active.
func (a *activeSet) add(state *tenantState) {
	if !state.active {
		state.active = true
		a.added = append(a.added, state)
	}
}

// activeTenants updates the list before a tick's messages are made.
func (m *Meter) activeTenants() []*tenantState {
	a := &m.active
	if a.complete && a.period == m.period && !m.holders[0].resendAll && !m.holders[1].resendAll {
		slices.SortFunc(a.added, byPlace)
		a.list = mergeSorted(a.list, a.added)
	} else {
		a.list = append(a.list[:0], m.ordered...)
		for _, state := range a.list {
			state.active = true
		}
	}
	clear(a.added)
	a.added, a.period, a.complete = a.added[:0], m.period, true
	return a.list
}

// dropSettled removes tenants with nothing left to send, after a tick's messages are made.
func (m *Meter) dropSettled() {
	m.active.list = slices.DeleteFunc(m.active.list, func(state *tenantState) bool {
		state.active = m.hasPending(state)
		return !state.active
	})
}

// hasPending reports whether an add may have to include the tenant even without new requests.
func (m *Meter) hasPending(state *tenantState) bool {
	if state.readWanted || state.prev.period != 0 || state.cur.sum > state.cur.acked || state.cur.sum > 0 && state.cur.period != m.period {
		return true
	}
	for i, told := range state.reported {
		if m.holders[i].addr != "" && (told != state.cur.sum || state.resend[i]) {
			return true
		}
	}
	return false
}

// byPlace orders tenants by place, which is their order by name.
func byPlace(a, b *tenantState) int { return cmp.Compare(a.place, b.place) }

// mergeSorted merges two sorted lists without common elements.
func mergeSorted(list, more []*tenantState) []*tenantState {
	i, j := len(list)-1, len(more)-1
	list = append(list, more...)
	for k := len(list) - 1; j >= 0; k-- {
		if i >= 0 && byPlace(list[i], more[j]) > 0 {
			list[k], i = list[i], i-1
		} else {
			list[k], j = more[j], j-1
		}
	}
	return list
}
