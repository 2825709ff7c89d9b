package world

import (
	"testing"
	"time"

	"asterwell/internal/rollout"
)

// A node that refuses ends it, wherever it is and whoever else is away; the next goes through.
func TestRefused(t *testing.T) {
	t.Parallel()
	for i, name := range []string{"n00", "n01", "n05", "n10"} {
		for _, down := range []bool{false, true} {
			w := stageOf(t, uint64(i), 0, 0, 0)
			if down {
				w.nodes[7].kill()
				w.nodes[8].freeze(3 * time.Second)
			}
			w.Put(w.nodes[4], 3, 0, 0, name)
			w.Run(3 * time.Second)
			if w.fates[3] != rollout.Withdrawn || w.newest != 2 {
				t.Errorf("%s refuses: 3 is %v, requests go by %d", name, w.fates[3], w.newest)
			}
			w.Put(w.nodes[4], 4, 0, 0, "")
			w.within(t, 4, 3500*ms)
			w.calm()
			w.Run(SettleTime)
			w.settled()
			for _, b := range w.res.Violations {
				t.Error(b)
			}
		}
	}
}

// A node is cut one way at each step of the change, and hears or says nothing for a while.
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
				w := stageOf(t, uint64(at), 0, 0, 0)
				one := []*Process{x(w)}
				w.Put(w.nodes[4], 3, 0, 0, "")
				w.Run(at)
				from, to := one, w.nodes
				if deaf {
					from, to = to, from
				}
				w.cut(from, to, true)
				for end := w.now + 7*time.Second; w.now < end && w.newest < 3; w.Run(time.Second) {
					w.Put(w.nodes[4], 3, 0, 0, "") // an operator without an answer calls again
				}
				w.Run(time.Second)
				w.calm()
				w.Run(SettleTime)
				w.want(t, rollout.Live)
				if t.Failed() {
					t.Fatalf("%s cut after %v, deaf: %v", who, at, deaf)
				}
			}
		}
	}
}

// Two seconds before a cutoff, with requests at their peak, a change refuses nobody; with a
// node lost in that moment only those are refused that its silence leaves without a lease.
func TestBeforeCutoff(t *testing.T) {
	t.Parallel()
	for seed := range uint64(2) {
		for _, lost := range []bool{false, true} {
			w := open(t, Options{Seed: seed, RequestInterval: ms / 2}, 0, 0) // 22 000 a second
			cutoff, refused, turned := w.now+2*time.Second, w.res.Refused, w.res.RefusedInTurn
			if lost {
				w.nodes[9].kill()
			}
			w.Put(w.nodes[4], 3, 0, 0, "")
			w.within(t, 3, cutoff-w.now)
			w.Run(cutoff - w.now)
			if w.res.Refused != refused || w.res.RefusedInTurn != turned {
				t.Errorf("seed %d, one lost: %v: %d refused, %d of them in the turn", seed, lost, w.res.Refused-refused, w.res.RefusedInTurn-turned)
			}
			if w.res.LongestHold > 50*ms {
				t.Errorf("seed %d: held for %v", seed, w.res.LongestHold)
			}
			w.calm()
			w.Run(SettleTime)
			w.want(t, rollout.Live)
		}
	}
}

// 300 routes (60 kB) for 91 nodes on links of 2 Mbit/s, the core's 100: nobody is refused for
// it. What is asked for before it can have come, or sent where it is held, costs leases.
func TestLargeOnSlowLinks(t *testing.T) {
	t.Parallel()
	w := open(t, Options{Seed: 1, Nodes: 91, RequestInterval: 200 * ms, Mbit: 2, CoreMbit: 100, Routes: 300}, 0, 0)
	refused := w.res.Refused
	w.Put(w.nodes[4], 3, 0, 0, "")
	w.within(t, 3, 3*time.Second)
	w.Run(3 * time.Second)
	t.Logf("live after %v, at all after %v, a message took %v at most", w.first[3]-w.puts[3], w.res.ServedByAll[3], w.res.LongestQueue)
	if w.res.Refused != refused || w.res.ServedByAll[3] == 0 {
		t.Errorf("%d refused, at all nodes after %v", w.res.Refused-refused, w.res.ServedByAll[3])
	}
	w.want(t, rollout.Live)
}
