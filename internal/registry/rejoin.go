package registry

import (
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// When a region is cut off, each side regards the other's servers as silent, since the processes
// that became their homes don't hear them. After the region rejoins, these rows are not older than
// those of the right home, which doesn't know of them. Comparing all tables pairwise would send each
// server many times over, and the last home might see such a row only after half a minute. So in a
// large fleet, as soon as many processes are back that were away long enough, each home announces
// again the servers that it hears, with their newest sequence numbers. Tables are not compared until
// then.
const (
	rejoinShare      = 16 // 1/n of the fleet that is back; fewer are left to comparisons
	rejoinQuietTime  = 500 * time.Millisecond
	rejoinWindow     = 3 * time.Second
	rejoinSettleTime = 2 * time.Second // after the announcement tables are compared again, as parts of it may be lost
)

// departure records when a process went away, and its incarnation.
type departure struct {
	incarnation uint64
	at          fsm.Time
}

// rejoinTracker counts processes that come back in the same incarnation.
type rejoinTracker struct {
	departed    map[string]departure
	count       int // since the last announcement
	first, last fsm.Time
	announceAt  fsm.Time // once there are many; 0: there are not
}

// left records that a process is gone.
func (r *rejoinTracker) left(now fsm.Time, n *memberlist.Node) {
	if r.departed == nil {
		r.departed = map[string]departure{}
	}
	r.departed[n.Addr] = departure{n.Incarnation, now}
}

// joined records that a process is present, and counts it if it was away long enough.
func (r *rejoinTracker) joined(now fsm.Time, n *memberlist.Node, wait time.Duration) {
	was, known := r.departed[n.Addr]
	if delete(r.departed, n.Addr); !known || was.incarnation != n.Incarnation || now-was.at < wait {
		return
	}
	if r.count++; r.count == 1 || now-r.last > rejoinWindow {
		r.count, r.first = 1, now
	}
	r.last = now
}

// scheduleReannounce schedules the announcement if many processes have come back: when no more come
// or after a while, at a random time for each home.
func (m *Machine) scheduleReannounce() {
	r := &m.rejoins
	if r.count == 0 || m.comparisonInterval() == 0 {
		return
	}
	m.noComparisonUntil = max(m.noComparisonUntil, m.now+rejoinQuietTime) // more may come back
	if r.count*rejoinShare < len(m.peers) {
		return
	}
	if r.announceAt == 0 {
		m.noComparisonUntil = max(m.noComparisonUntil, m.now+rejoinWindow)
	}
	r.announceAt = min(m.now+rejoinQuietTime, r.first+rejoinWindow) + time.Duration(m.rand.Int64N(int64(m.comparisonInterval())))
}

// reannounce announces again the servers that this process hears as their home.
func (m *Machine) reannounce() {
	r := &m.rejoins
	if r.announceAt == 0 || m.now < r.announceAt {
		return
	}
	r.count, r.announceAt = 0, 0
	m.noComparisonUntil = max(m.noComparisonUntil, m.now+rejoinSettleTime)
	for _, it := range m.sorted {
		if it.Phase == Serving && m.isHome(it) && it.heardHere && m.now-it.lastBeat < m.silenceTimeout {
			s := it.Server
			s.Seq = it.latestSeq() // unchanged if another process's row has made it an update already, before all were back
			m.setServer(it, s)
			m.queueUpdate(it.ID)
		}
	}
}

// expire forgets processes that have been gone for too long.
func (r *rejoinTracker) expire(now fsm.Time) {
	for addr, was := range r.departed {
		if now-was.at > endSilentAfter {
			delete(r.departed, addr)
		}
	}
}
