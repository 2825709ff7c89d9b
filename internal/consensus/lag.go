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
	maxDiskTolerance = 2500 * time.Millisecond
	lagMemory        = time.Minute
)

// lag is the worst that a disk did lately.
type diskLagTracker struct {
	worst   lagDuration
	worstAt fsm.Time // 0: nothing worth noting
}

// span is a time that passes, not a moment.
type lagDuration time.Duration

func (l *diskLagTracker) observe(now fsm.Time, took time.Duration) {
	if 2*took > stallTimeout && (l.worstAt == 0 || lagDuration(took) >= l.worst || now-l.worstAt > lagMemory) {
		l.worst, l.worstAt = lagDuration(took), now
	}
}

// bears is how long a write may take before the disk counts as lost.
func (l *diskLagTracker) tolerance(now fsm.Time) time.Duration {
	if l.worstAt == 0 || now-l.worstAt > lagMemory {
		return stallTimeout
	}
	return max(stallTimeout, min(2*time.Duration(l.worst), maxDiskTolerance))
}

// told is the same for the primary: 0 where there is nothing to tell.
func (l *diskLagTracker) reportedTolerance(now fsm.Time) time.Duration {
	if b := l.tolerance(now); b > stallTimeout {
		return b
	}
	return 0
}

// hangs says whether the disk keeps this member from serving.
func (m *Machine) diskHangs() bool {
	return len(m.pendingWrites) > 0 && m.now-m.pendingWrites[0].at > m.diskLag.tolerance(m.now)
}
