package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// windowedMin is the least of what was measured lately: what was held up, or lost and repeated,
// doesn't count.
type windowedMin struct {
	known             bool
	current, previous time.Duration // of this span and of the one before
	since             fsm.Time
}

func (l *windowedMin) observe(now fsm.Time, v time.Duration) {
	switch {
	case !l.known || now-l.since > 2*minWindow:
		*l = windowedMin{known: true, current: v, previous: v, since: now}
	case now-l.since > minWindow:
		l.previous, l.current, l.since = l.current, v, now
	}
	l.current = min(l.current, v)
}

func (l windowedMin) value() time.Duration { return min(l.current, l.previous) }

// maxRoundTrip is the longest way there and back that is reckoned with.
const maxRoundTrip = 250 * time.Millisecond

// roundTrip is the way to another process and back, from asked to answered.
type roundTrip struct{ windowedMin }

// excess is by how much a wait for an answer is longer than the gap that near ones have:
// nothing where the way is within the gap. A quarter is for what is late.
func (r roundTrip) excess(gap time.Duration) time.Duration {
	return 5 * max(0, min(r.value(), maxRoundTrip)-gap) / 4
}

func (r roundTrip) extend(gap time.Duration) time.Duration { return gap + r.excess(gap) }
