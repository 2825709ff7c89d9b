package quotas

import (
	"cmp"
	"slices"
)

// active is the entries that may have something to tell or to ask, by tenant. Of thousands of
// tenants few have at any moment, and a tick walks only these. All are gone through again where
// a holder is to be told all sums, and with a new period, to which each entry that counts has to move.
type active struct {
	list    []*entry
	stirred []*entry // touched since the last tick, not in the list
	period  uint64   // that the list was made in
	known   bool     // the list has all that it must have
}

// stir notes an entry that may have something to say now.
func (a *active) stir(e *entry) {
	if !e.active {
		e.active = true
		a.stirred = append(a.stirred, e)
	}
}

// gather brings the list up to date before a tick's messages are made.
func (m *Meter) gather() []*entry {
	a := &m.active
	if a.known && a.period == m.period && !m.slots[0].refill && !m.slots[1].refill {
		slices.SortFunc(a.stirred, byTenant)
		a.list = merge(a.list, a.stirred)
	} else {
		a.list = append(a.list[:0], m.order...)
		for _, e := range a.list {
			e.active = true
		}
	}
	clear(a.stirred)
	a.stirred, a.period, a.known = a.stirred[:0], m.period, true
	return a.list
}

// settled drops what has been told, after a tick's messages are made.
func (m *Meter) settled() {
	m.active.list = slices.DeleteFunc(m.active.list, func(e *entry) bool {
		e.active = m.speaks(e)
		return !e.active
	})
}

// speaks says that an add may have to name the entry, though nothing happens to it.
func (m *Meter) speaks(e *entry) bool {
	if e.asked || e.old.period != 0 || e.cur.sum > e.cur.acked || e.cur.sum > 0 && e.cur.period != m.period {
		return true
	}
	for i, told := range e.told {
		if m.slots[i].addr != "" && (told != e.cur.sum || e.again[i]) {
			return true
		}
	}
	return false
}

// byTenant is the order of names, in which places are.
func byTenant(a, b *entry) int { return cmp.Compare(a.place, b.place) }

// merge joins two lists that are in order, and have no entry in common.
func merge(list, more []*entry) []*entry {
	i, j := len(list)-1, len(more)-1
	list = append(list, more...)
	for k := len(list) - 1; j >= 0; k-- {
		if i >= 0 && byTenant(list[i], more[j]) > 0 {
			list[k], i = list[i], i-1
		} else {
			list[k], j = more[j], j-1
		}
	}
	return list
}
