package world

import (
	"testing"
	"time"

	"asterwell/internal/rollout"
)

// A refusal by any node ends the rollout, whichever other nodes are missing; the next version becomes live.
func TestRefused(t *testing.T) {
	t.Parallel()
	for i, name := range []string{"n00", "n01", "n05", "n10"} {
		for _, down := range []bool{false, true} {
			w := startTogetherTraced(t, uint64(i), 0, 0, 0)
			if down {
				w.nodes[7].kill()
				w.nodes[8].freeze(3 * time.Second)
			}
			w.Put(w.nodes[4], 3, 0, 0, name)
			w.Run(3 * time.Second)
			if w.fates[3] != rollout.Withdrawn || w.newestDecided != 2 {
				t.Errorf("%s refuses: 3 is %v, requests are decided by %d", name, w.fates[3], w.newestDecided)
			}
			w.Put(w.nodes[4], 4, 0, 0, "")
			w.runUntilDecidedBy(t, 4, 3500*ms)
			w.endFaults()
			w.Run(SettleTime)
			w.checkSettled()
			for _, b := range w.result.Violations {
				t.Error(b)
			}
		}
	}
}

// A node is cut off in one direction at each step of the rollout, and receives or sends nothing for a
// while.
func TestCutAtEachStep(t *testing.T) {
	t.Parallel()
	for at := ms / 2; at < 60*ms; at += at/2 + ms {
		for who, x := range map[string]func(w *World) *Process{
			"the primary": func(w *World) *Process { return w.primary() },
			"one of the core": func(w *World) *Process {
				if w.nodes[0] == w.primary() {
					return w.nodes[1]
				}
				return w.nodes[0]
			},
			"another": func(w *World) *Process { return w.nodes[9] },
		} {
			for _, deaf := range []bool{false, true} {
				w := startTogetherTraced(t, uint64(at), 0, 0, 0)
				one := []*Process{x(w)}
				w.Put(w.nodes[4], 3, 0, 0, "")
				w.Run(at)
				from, to := one, w.nodes
				if deaf {
					from, to = to, from
				}
				w.setBlocked(from, to, true)
				for end := w.now + 7*time.Second; w.now < end && w.newestDecided < 3; w.Run(time.Second) {
					w.Put(w.nodes[4], 3, 0, 0, "") // an operator without an answer calls again
				}
				w.Run(time.Second)
				w.endFaults()
				w.Run(SettleTime)
				w.expectFate(t, rollout.Live)
				if t.Failed() {
					t.Fatalf("%s cut after %v, deaf: %v", who, at, deaf)
				}
			}
		}
	}
}

// Two seconds before a cutoff, at peak load, a rollout refuses no requests; if a node is lost in that
// moment, only those are refused that come while it has no lease.
func TestBeforeCutoff(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		for _, lost := range []bool{false, true} {
			w := startTraced(t, Options{Seed: seed, RequestInterval: ms / 2}, 0, 0) // 22 000 a second
			cutoff, refused, turned := w.now+2*time.Second, w.result.Refused, w.result.RefusedInTurn
			if lost {
				w.nodes[9].kill()
			}
			w.Put(w.nodes[4], 3, 0, 0, "")
			w.runUntilDecidedBy(t, 3, cutoff-w.now)
			w.Run(cutoff - w.now)
			if w.result.Refused != refused || w.result.RefusedInTurn != turned {
				t.Errorf("seed %d, one lost: %v: %d refused, %d of them in the hold", seed, lost, w.result.Refused-refused, w.result.RefusedInTurn-turned)
			}
			if w.result.LongestHold > 50*ms {
				t.Errorf("seed %d: requests waited for %v", seed, w.result.LongestHold)
			}
			w.endFaults()
			w.Run(SettleTime)
			w.expectFate(t, rollout.Live)
		}
	}
}

// 300 routes (60 kB) for 91 nodes on links of 2 Mbit/s, the core's 100 Mbit/s, cause no refusals. Documents
// requested before they can have arrived, or sent to nodes that have them, would delay lease requests until
// leases expire.
func TestLargeOnSlowLinks(t *testing.T) {
	t.Parallel()
	w := startTraced(t, Options{Seed: 1, Nodes: 91, RequestInterval: 200 * ms, Mbit: 2, CoreMbit: 100, Routes: 300}, 0, 0)
	refused := w.result.Refused
	w.Put(w.nodes[4], 3, 0, 0, "")
	w.runUntilDecidedBy(t, 3, 3*time.Second)
	w.Run(3 * time.Second)
	t.Logf("live after %v, at all nodes after %v, a message took %v at most", w.firstDecided[3]-w.putAt[3], w.result.ServedByAll[3], w.result.LongestQueue)
	if w.result.Refused != refused || w.result.ServedByAll[3] == 0 {
		t.Errorf("%d refused, at all nodes after %v", w.result.Refused-refused, w.result.ServedByAll[3])
	}
	w.expectFate(t, rollout.Live)
}
