package registry

import (
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// Where a region is cut off, each side takes the servers of the other for silent: those who became their homes hear
// none of them. When it joins again, none of these words is older than that of the true home, which knows nothing of
// them; and if all tables were compared for it, two by two, each server would be carried many times over, and the
// last home might meet such a word after half a minute. So in a large fleet each home tells the servers that it hears itself
// once more, with the newest number that it heard, as soon as many have come back that were away for long enough; and
// tables are not compared until then.
const (
	rejoinShare      = 16 // of the fleet that comes back: less is left to comparisons
	rejoinQuietTime  = 500 * time.Millisecond
	rejoinWindow     = 3 * time.Second
	rejoinSettleTime = 2 * time.Second // after the word tables are compared again: some of it may be lost
)

// absent is a process that is gone, and since when.
type departure struct {
	incarnation uint64
	at          fsm.Time
}

// returns are those that come back in the same life.
type rejoinTracker struct {
	departed    map[string]departure
	count       int // that have, since the last word
	first, last fsm.Time
	announceAt  fsm.Time // of the word, once they are many; 0: they are not
}

// leaves takes note of one that is gone, and comes of one that is there again.
func (r *rejoinTracker) left(now fsm.Time, n *memberlist.Node) {
	if r.departed == nil {
		r.departed = map[string]departure{}
	}
	r.departed[n.Addr] = departure{n.Incarnation, now}
}

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

// returned says whether many have come back, and sees to the word of the homes. It goes out when no more come, or
// after a while; of many homes each at another moment.
func (m *Machine) scheduleReannounce() {
	r := &m.rejoins
	if r.count == 0 || m.comparisonInterval() == 0 {
		return
	}
	m.noComparisonUntil = max(m.noComparisonUntil, m.now+rejoinQuietTime) // more may come
	if r.count*rejoinShare < len(m.peers) {
		return
	}
	if r.announceAt == 0 {
		m.noComparisonUntil = max(m.noComparisonUntil, m.now+rejoinWindow)
	}
	r.announceAt = min(m.now+rejoinQuietTime, r.first+rejoinWindow) + time.Duration(m.rand.Int64N(int64(m.comparisonInterval())))
}

// retell is that word.
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
			s.Seq = it.latestSeq() // the same where a word of another has made it news already, when not all were there
			m.setServer(it, s)
			m.queueUpdate(it.ID)
		}
	}
}

// forgets those that are gone for good.
func (r *rejoinTracker) expire(now fsm.Time) {
	for addr, was := range r.departed {
		if now-was.at > endSilentAfter {
			delete(r.departed, addr)
		}
	}
}
