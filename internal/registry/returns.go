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
	returnPart   = 16 // of the fleet that comes back: less is left to comparisons
	returnCalm   = 500 * time.Millisecond
	returnWithin = 3 * time.Second
	returnOver   = 2 * time.Second // after the word tables are compared again: some of it may be lost
)

// absent is a process that is gone, and since when.
type absent struct {
	life uint64
	at   fsm.Time
}

// returns are those that come back in the same life.
type returns struct {
	gone        map[string]absent
	n           int // that have, since the last word
	first, last fsm.Time
	due         fsm.Time // of the word, once they are many; 0: they are not
}

// leaves takes note of one that is gone, and comes of one that is there again.
func (r *returns) leaves(now fsm.Time, n *memberlist.Node) {
	if r.gone == nil {
		r.gone = map[string]absent{}
	}
	r.gone[n.Addr] = absent{n.Incarnation, now}
}

func (r *returns) comes(now fsm.Time, n *memberlist.Node, wait time.Duration) {
	was, known := r.gone[n.Addr]
	if delete(r.gone, n.Addr); !known || was.life != n.Incarnation || now-was.at < wait {
		return
	}
	if r.n++; r.n == 1 || now-r.last > returnWithin {
		r.n, r.first = 1, now
	}
	r.last = now
}

// returned says whether many have come back, and sees to the word of the homes. It goes out when no more come, or
// after a while; of many homes each at another moment.
func (m *Machine) returned() {
	r := &m.returns
	if r.n == 0 || m.pace() == 0 {
		return
	}
	m.calm = max(m.calm, m.now+returnCalm) // more may come
	if r.n*returnPart < len(m.peers) {
		return
	}
	if r.due == 0 {
		m.calm = max(m.calm, m.now+returnWithin)
	}
	r.due = min(m.now+returnCalm, r.first+returnWithin) + time.Duration(m.rand.Int64N(int64(m.pace())))
}

// retell is that word.
func (m *Machine) retell() {
	r := &m.returns
	if r.due == 0 || m.now < r.due {
		return
	}
	r.n, r.due = 0, 0
	m.calm = max(m.calm, m.now+returnOver)
	for _, it := range m.all {
		if it.Phase == Serving && m.mine(it) && it.heard && m.now-it.beat < m.wait {
			s := it.Server
			s.Seq = it.stand() // the same where a word of another has made it news already, when not all were there
			m.set(it, s)
			m.tell(it.ID)
		}
	}
}

// forgets those that are gone for good.
func (r *returns) forgets(now fsm.Time) {
	for addr, was := range r.gone {
		if now-was.at > giveUp {
			delete(r.gone, addr)
		}
	}
}
