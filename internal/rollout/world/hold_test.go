package world

import (
	"testing"
	"time"

	"asterwell/internal/rollout"
)

// Once nobody has a lease any more nobody is missing in a hold. That is no confirmation: the
// version waits until the two are there again.
func TestHoldOutlivesLeases(t *testing.T) {
	t.Parallel()
	for _, still := range []time.Duration{200 * ms, time.Second, 1700 * ms, 3 * time.Second, 6 * time.Second} {
		for seed := range uint64(10) {
			w := stilled(seed, 0, still)
			if w.newest != 2 || w.fates[3] != rollout.Prepared {
				t.Errorf("seed %d, still for %v: goes by %d, 3 is %v", seed, still, w.newest, w.fates[3])
			}
			w.calm()
			w.Run(SettleTime)
			w.want(t, rollout.Live)
		}
	}
	for seed := range uint64(10) {
		if w := stilled(seed, rollout.BugEmptyHoldCounts, 3*time.Second); len(w.res.Violations) > 0 && w.res.Violations[0].Rule == "FEW" {
			t.Logf("seed %d: %v", seed, w.res.Violations[0])
			return
		}
	}
	t.Error("the mutant is not found")
}
