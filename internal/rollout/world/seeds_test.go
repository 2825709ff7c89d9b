package world

import (
	"sync"
	"testing"

	"asterwell/internal/rollout"
)

// runSeeds runs simulations of seeds in parallel; it ends once each returns true.
func runSeeds(bug rollout.Bug, count int, each func(seed uint64, r Result) (end bool)) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	next, over := uint64(0), false
	for range 8 {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				done := over || seed >= uint64(count)
				mu.Unlock()
				if done {
					return
				}
				r := Simulate(Options{Seed: seed, Bug: bug})
				mu.Lock()
				over = each(seed, r) || over
				mu.Unlock()
			}
		})
	}
	wg.Wait()
}

func TestSeeds(t *testing.T) {
	t.Parallel()
	count, live, withdrawn := 300, 0, 0
	if testing.Short() {
		count = 30
	}
	runSeeds(0, count, func(seed uint64, r Result) bool {
		for _, b := range r.Violations {
			t.Errorf("seed %d: %v", seed, b)
		}
		live, withdrawn = live+r.Live, withdrawn+r.Withdrawn
		return false
	})
	t.Logf("%d live, %d withdrawn", live, withdrawn)
	if live < count || withdrawn < count/10 {
		t.Errorf("%d live and %d withdrawn: the seeds show too little", live, withdrawn)
	}
}

// TestMutants checks that the simulator finds the absence of each safeguard; package rollout's own test
// covers one more.
func TestMutants(t *testing.T) {
	t.Parallel()
	for name, bug := range map[string]rollout.Bug{"one confirmation short": rollout.BugOneConfirmationShort, "turn ignores leases": rollout.BugTurnIgnoresLeases, "confirmed before held": rollout.BugConfirmBeforeHeld,
		"stale lease check": rollout.BugStaleLeaseCheck, "successor skips wait": rollout.BugSuccessorSkipsWait, "reply before kept": rollout.BugReplyBeforeKept} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			found := false
			runSeeds(bug, 400, func(seed uint64, r Result) bool {
				if len(r.Violations) > 0 && r.Violations[0].Rule != "STUCK" {
					found = true
					t.Logf("seed %d: %v", seed, r.Violations[0])
				}
				return found
			})
			if !found {
				t.Error("not found")
			}
		})
	}
	t.Run("empty hold counts", func(t *testing.T) { // one random run in some hundreds meets it, so it has a scenario
		t.Parallel()
		for seed := range uint64(10) {
			if all := FreezeDuringHold(seed, rollout.BugEmptyHoldCounts); len(all) > 0 && all[0].Rule == "FEW" {
				t.Logf("seed %d: %v", seed, all[0])
				return
			}
		}
		t.Error("not found")
	})
	t.Run("grant unconfirmed", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(100) {
			if w := oldPrimary(t, seed, rollout.BugGrantUnconfirmed); len(w.result.Violations) > 0 {
				t.Logf("seed %d: %v", seed, w.result.Violations[0])
				return
			}
		}
		t.Error("not found")
	})
}
