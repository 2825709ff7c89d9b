package consensus

import (
	"time"

	"asterwell/internal/fsm"
)

// A disk that has stalled and come back will stall again: to change the primary each time
// costs more than to wait, since another one has to sync as well, maybe on the same disk.
// So a machine bears of its disk twice what it has lately seen; one that never stalled is
// taken for lost after stall, as is the one that was worse than most.
const (
	bearable = 2500 * time.Millisecond
	recent   = time.Minute
)

// lag is the worst that a disk did lately.
type lag struct {
	worst span
	at    fsm.Time // 0: nothing worth noting
}

// span is a time that passes, not a moment.
type span time.Duration

func (l *lag) note(now fsm.Time, took time.Duration) {
	if 2*took > stall && (l.at == 0 || span(took) >= l.worst || now-l.at > recent) {
		l.worst, l.at = span(took), now
	}
}

// bears is how long a write may take before the disk counts as lost.
func (l *lag) bears(now fsm.Time) time.Duration {
	if l.at == 0 || now-l.at > recent {
		return stall
	}
	return max(stall, min(2*time.Duration(l.worst), bearable))
}

// told is the same for the primary: 0 where there is nothing to tell.
func (l *lag) told(now fsm.Time) time.Duration {
	if b := l.bears(now); b > stall {
		return b
	}
	return 0
}

// hangs says whether the disk keeps this member from serving.
func (m *Machine) hangs() bool {
	return len(m.writes) > 0 && m.now-m.writes[0].at > m.lag.bears(m.now)
}
