package consensus

import (
	"time"

	"asterwell/internal/fsm"
)

// A disk that has stalled once will stall again. Changing the primary each time costs more than
// waiting, since the next one has to sync as well, perhaps on the same disk. So a machine tolerates
// twice the longest sync it has seen lately. A disk that never stalled counts as failed after
// stallTimeout, and any disk after maxDiskTolerance.
const (
	maxDiskTolerance = 2500 * time.Millisecond
	lagMemory        = time.Minute
)

// diskLagTracker holds the longest sync of the last minute.
type diskLagTracker struct {
	worst   lagDuration
	worstAt fsm.Time // 0: no sync took long
}

// lagDuration is a duration that the model checker's encoder must not take for a time of the clock.
type lagDuration time.Duration

func (l *diskLagTracker) observe(now fsm.Time, took time.Duration) {
	if 2*took > stallTimeout && (l.worstAt == 0 || lagDuration(took) >= l.worst || now-l.worstAt > lagMemory) {
		l.worst, l.worstAt = lagDuration(took), now
	}
}

// tolerance returns how long a write may take before the disk counts as failed.
func (l *diskLagTracker) tolerance(now fsm.Time) time.Duration {
	if l.worstAt == 0 || now-l.worstAt > lagMemory {
		return stallTimeout
	}
	return max(stallTimeout, min(2*time.Duration(l.worst), maxDiskTolerance))
}

// reportedTolerance returns the same for the primary, or 0 if it is the default.
func (l *diskLagTracker) reportedTolerance(now fsm.Time) time.Duration {
	if b := l.tolerance(now); b > stallTimeout {
		return b
	}
	return 0
}

// diskHangs reports whether the disk keeps this member from serving.
func (m *Machine) diskHangs() bool {
	return len(m.pendingWrites) > 0 && m.now-m.pendingWrites[0].at > m.diskLag.tolerance(m.now)
}
