package registry

import (
	"container/heap"
	"slices"
	"strings"

	"asterwell/internal/fsm"
)

// silenceCheck is the next time to check a server, whose home is this process, for silence. A
// heartbeat does not change it: the check finds that one came, and is postponed.
type silenceCheck struct {
	at fsm.Time
	it *item
}

// checkHeap is a heap for container/heap, ordered by time.
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

// silenceDeadline is when a server's time is over if it stays silent.
func (m *Machine) silenceDeadline(it *item) fsm.Time {
	switch it.Phase {
	case Serving:
		return it.lastBeat + m.silenceTimeout
	case Silent:
		return it.phaseSince + endSilentAfter
	}
	return it.lastBeat + 4*m.silenceTimeout
}

// scheduleCheck ensures that a server is checked in time if this process is its home.
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

// checkSilence marks the servers of this home that have been silent for too long.
func (m *Machine) checkSilence() {
	var silent []*item
	for len(m.checks) > 0 && m.checks[0].at < m.now {
		d := heap.Pop(&m.checks).(silenceCheck)
		it := d.it
		if it.checkAt != d.at {
			continue // there is an earlier check, or the server is gone
		}
		if it.checkAt = 0; it.Phase != Ended && m.isHome(it) && m.silenceDeadline(it) < m.now {
			silent = append(silent, it)
		} else {
			m.scheduleCheck(it)
		}
	}
	slices.SortFunc(silent, func(a, b *item) int { return strings.Compare(a.ID, b.ID) })
	for _, it := range silent {
		s := it.Server
		switch {
		case it.Phase == Serving:
			s.Phase = Silent
		case it.Phase == Quiescing, m.majorityReachable():
			s.Phase = Ended
		default: // a process that is cut off ends no server
			it.checkAt = m.now + silenceCheckInterval
			heap.Push(&m.checks, silenceCheck{it.checkAt, it})
			continue
		}
		s.Seq = max(s.Seq, it.lastSeq)
		m.apply(s)
		m.queueUpdate(s.ID)
	}
}
