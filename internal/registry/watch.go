package registry

import (
	"container/heap"
	"slices"
	"strings"

	"asterwell/internal/fsm"
)

// due is a server at home here, and when to look whether it has been silent for too long. A
// beat changes nothing here: the look finds that it came, and the next is put off by it.
type due struct {
	at fsm.Time
	it *item
}

// dues are a heap for container/heap, the earliest first.
type dues []due

func (d dues) Len() int           { return len(d) }
func (d dues) Less(i, j int) bool { return d[i].at < d[j].at }
func (d dues) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

func (d *dues) Push(x any) { *d = append(*d, x.(due)) }

func (d *dues) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = due{}
	*d = (*d)[:len(*d)-1]
	return last
}

// ends is when a server's time is over, if it stays silent.
func (m *Machine) ends(it *item) fsm.Time {
	switch it.Phase {
	case Serving:
		return it.beat + m.wait
	case Silent:
		return it.ended + giveUp
	}
	return it.beat + 4*m.wait
}

// watched sees to it that a server at home here is looked at in time.
func (m *Machine) watched(it *item) {
	if it.Phase == Ended || !m.mine(it) {
		it.due = 0
		return
	}
	if at := m.ends(it); it.due == 0 || at < it.due {
		it.due = at
		heap.Push(&m.dues, due{at, it})
	}
}

// watch marks the servers at home here that have been silent too long.
func (m *Machine) watch() {
	var over []*item
	for len(m.dues) > 0 && m.dues[0].at < m.now {
		d := heap.Pop(&m.dues).(due)
		it := d.it
		if it.due != d.at {
			continue // there is an earlier one, or it is gone
		}
		if it.due = 0; it.Phase != Ended && m.mine(it) && m.ends(it) < m.now {
			over = append(over, it)
		} else {
			m.watched(it)
		}
	}
	slices.SortFunc(over, func(a, b *item) int { return strings.Compare(a.ID, b.ID) })
	for _, it := range over {
		s := it.Server
		switch {
		case it.Phase == Serving:
			s.Phase = Silent
		case it.Phase == Quiescing, m.reaches():
			s.Phase = Ended
		default: // who is cut off gives nobody up
			it.due = m.now + lookIn
			heap.Push(&m.dues, due{it.due, it})
			continue
		}
		s.Seq = max(s.Seq, it.last)
		m.put(s)
		m.tell(s.ID)
	}
}
