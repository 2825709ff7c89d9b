package registry

import (
	"container/heap"
	"slices"
	"strings"

	"asterwell/internal/fsm"
)

// due is a server at home here, and when to look whether it has been silent for too long. A
// beat changes nothing here: the look finds that it came, and the next is put off by it.
type silenceCheck struct {
	at fsm.Time
	it *item
}

// dues are a heap for container/heap, the earliest first.
type checkHeap []silenceCheck

func (d checkHeap) Len() int           { return len(d) }
func (d checkHeap) Less(i, j int) bool { return d[i].at < d[j].at }
func (d checkHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

func (d *checkHeap) Push(x any) { *d = append(*d, x.(silenceCheck)) }

func (d *checkHeap) Pop() any {
	last := (*d)[len(*d)-1]
	(*d)[len(*d)-1] = silenceCheck{}
	*d = (*d)[:len(*d)-1]
	return last
}

// ends is when a server's time is over, if it stays silent.
func (m *Machine) silenceDeadline(it *item) fsm.Time {
	switch it.Phase {
	case Serving:
		return it.lastBeat + m.silenceTimeout
	case Silent:
		return it.phaseSince + endSilentAfter
	}
	return it.lastBeat + 4*m.silenceTimeout
}

// watched sees to it that a server at home here is looked at in time.
func (m *Machine) scheduleCheck(it *item) {
	if it.Phase == Ended || !m.isHome(it) {
		it.checkAt = 0
		return
	}
	if at := m.silenceDeadline(it); it.checkAt == 0 || at < it.checkAt {
		it.checkAt = at
		heap.Push(&m.checks, silenceCheck{at, it})
	}
}

// watch marks the servers at home here that have been silent too long.
func (m *Machine) checkSilence() {
	var over []*item
	for len(m.checks) > 0 && m.checks[0].at < m.now {
		d := heap.Pop(&m.checks).(silenceCheck)
		it := d.it
		if it.checkAt != d.at {
			continue // there is an earlier one, or it is gone
		}
		if it.checkAt = 0; it.Phase != Ended && m.isHome(it) && m.silenceDeadline(it) < m.now {
			over = append(over, it)
		} else {
			m.scheduleCheck(it)
		}
	}
	slices.SortFunc(over, func(a, b *item) int { return strings.Compare(a.ID, b.ID) })
	for _, it := range over {
		s := it.Server
		switch {
		case it.Phase == Serving:
			s.Phase = Silent
		case it.Phase == Quiescing, m.majorityReachable():
			s.Phase = Ended
		default: // who is cut off gives nobody up
			it.checkAt = m.now + silenceCheckInterval
			heap.Push(&m.checks, silenceCheck{it.checkAt, it})
			continue
		}
		s.Seq = max(s.Seq, it.lastSeq)
		m.apply(s)
		m.queueUpdate(s.ID)
	}
}
