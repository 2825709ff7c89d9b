package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// least is the least of what was measured lately: what was held up, or lost and repeated,
// doesn't count.
type least struct {
	known     bool
	now, then time.Duration // of this span and of the one before
	since     fsm.Time
}

func (l *least) note(now fsm.Time, v time.Duration) {
	switch {
	case !l.known || now-l.since > 2*offsetFor:
		*l = least{known: true, now: v, then: v, since: now}
	case now-l.since > offsetFor:
		l.then, l.now, l.since = l.now, v, now
	}
	l.now = min(l.now, v)
}

func (l least) lately() time.Duration { return min(l.now, l.then) }

// farthest is the longest way there and back that is reckoned with.
const farthest = 250 * time.Millisecond

// roundTrip is the way to another process and back, from asked to answered.
type roundTrip struct{ least }

// beyond is by how much a wait for an answer is longer than the gap that near ones have:
// nothing where the way is within the gap. A quarter is for what is late.
func (r roundTrip) beyond(gap time.Duration) time.Duration {
	return 5 * max(0, min(r.lately(), farthest)-gap) / 4
}

func (r roundTrip) stretch(gap time.Duration) time.Duration { return gap + r.beyond(gap) }
