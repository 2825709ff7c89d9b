package quotas

import (
	"time"

	"asterwell/internal/fsm"
)

// windowedMin is the minimum of recent measurements. Delayed or repeated messages don't affect it.
type windowedMin struct {
	known             bool
	current, previous time.Duration // of this window and of the one before
	since             fsm.Time
}

func (m *windowedMin) observe(now fsm.Time, v time.Duration) {
	switch {
	case !m.known || now-m.since > 2*minWindow:
		*m = windowedMin{known: true, current: v, previous: v, since: now}
	case now-m.since > minWindow:
		m.previous, m.current, m.since = m.current, v, now
	}
	m.current = min(m.current, v)
}

func (m windowedMin) value() time.Duration { return min(m.current, m.previous) }

// maxRoundTrip is the longest round trip that timeouts are extended for.
const maxRoundTrip = 250 * time.Millisecond

// roundTrip is the recent minimal round trip time to another process.
type roundTrip struct{ windowedMin }

// excess is by how much a timeout for near processes has to be extended: 0 for a round trip within it. A
// quarter is added for variation.
func (r roundTrip) excess(gap time.Duration) time.Duration {
	return 5 * max(0, min(r.value(), maxRoundTrip)-gap) / 4
}

func (r roundTrip) extend(gap time.Duration) time.Duration { return gap + r.excess(gap) }
