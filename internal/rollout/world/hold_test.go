package world

import (
	"testing"
	"time"

	"asterwell/internal/rollout"
)

// Once all leases have expired in a hold, no node is missing in it. That is no confirmation: the version
// waits until the two stopped nodes are back.
func TestHoldOutlivesLeases(t *testing.T) {
	t.Parallel()
	for _, still := range []time.Duration{200 * ms, time.Second, 1700 * ms, 3 * time.Second, 6 * time.Second} {
		for seed := range uint64(10) {
			w := frozenCore(seed, 0, still)
			if w.newestDecided != 2 || w.fates[3] != rollout.Prepared {
				t.Errorf("seed %d, frozen for %v: requests are decided by %d, 3 is %v", seed, still, w.newestDecided, w.fates[3])
			}
			w.endFaults()
			w.Run(SettleTime)
			w.expectFate(t, rollout.Live)
		}
	}
	for seed := range uint64(10) {
		if w := frozenCore(seed, rollout.BugEmptyHoldCounts, 3*time.Second); len(w.result.Violations) > 0 && w.result.Violations[0].Rule == "FEW" {
			t.Logf("seed %d: %v", seed, w.result.Violations[0])
			return
		}
	}
	t.Error("the injected bug is not found")
}
