package quotas

import (
	"cmp"
	"slices"
)

// activeSet is the entries that may have something to tell or to ask, by tenant. Of thousands of
// tenants few have at any moment, and a tick walks only these. All are gone through again where
// a holder is to be told all sums, and with a new period, to which each entry that counts has to move.
type activeSet struct {
	list     []*tenantState
	added    []*tenantState // touched since the last tick, not in the list
	period   uint64         // that the list was made in
	complete bool           // the list has all that it must have
}

// add notes an entry that may have something to say now.
func (a *activeSet) add(e *tenantState) {
	if !e.active {
		e.active = true
		a.added = append(a.added, e)
	}
}

// activeTenants brings the list up to date before a tick's messages are made.
func (m *Meter) activeTenants() []*tenantState {
	a := &m.active
	if a.complete && a.period == m.period && !m.holders[0].resendAll && !m.holders[1].resendAll {
		slices.SortFunc(a.added, byPlace)
		a.list = mergeSorted(a.list, a.added)
	} else {
		a.list = append(a.list[:0], m.ordered...)
		for _, e := range a.list {
			e.active = true
		}
	}
	clear(a.added)
	a.added, a.period, a.complete = a.added[:0], m.period, true
	return a.list
}

// dropSettled drops what has been told, after a tick's messages are made.
func (m *Meter) dropSettled() {
	m.active.list = slices.DeleteFunc(m.active.list, func(e *tenantState) bool {
		e.active = m.hasPending(e)
		return !e.active
	})
}

// hasPending says that an add may have to name the entry, though nothing happens to it.
func (m *Meter) hasPending(e *tenantState) bool {
	if e.readWanted || e.prev.period != 0 || e.cur.sum > e.cur.acked || e.cur.sum > 0 && e.cur.period != m.period {
		return true
	}
	for i, told := range e.reported {
		if m.holders[i].addr != "" && (told != e.cur.sum || e.resend[i]) {
			return true
		}
	}
	return false
}

// byPlace is the order of names, in which places are.
func byPlace(a, b *tenantState) int { return cmp.Compare(a.place, b.place) }

// mergeSorted joins two lists that are in order, and have no entry in common.
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
