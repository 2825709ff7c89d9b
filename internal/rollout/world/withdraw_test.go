package world

import (
	"slices"
	"testing"
	"time"

	"asterwell/internal/rollout"
)

// A successful withdrawal succeeds again when it is repeated, whatever has happened since its first reply,
// which may have been lost.
func TestWithdrawAgain(t *testing.T) {
	t.Parallel()
	for name, since := range map[string]func(w *World){
		"nothing":                  func(*World) {},
		"a higher one":             func(w *World) { w.Put(w.nodes[5], 4, 0, 0, ""); w.Run(3 * time.Second) },
		"a higher one in progress": func(w *World) { w.Put(w.nodes[5], 4, 11, 0, ""); w.Run(10 * ms) },
		"another primary":          func(w *World) { w.primary().kill(); w.Run(4 * time.Second) },
		"all restarted":            func(w *World) { w.restartAll() },
		"six more, then all restarted": func(w *World) {
			for v := uint32(4); v < 10; v++ {
				w.Put(w.nodes[v], v, 0, 0, "")
				w.Run(2 * time.Second)
			}
			w.restartAll()
		},
		"a higher one withdrawn, one live": func(w *World) {
			w.Put(w.nodes[5], 4, 0, 0, "n01")
			w.Run(2 * time.Second)
			w.Put(w.nodes[5], 5, 0, 0, "")
			w.Run(2 * time.Second)
		},
	} {
		for _, bug := range []rollout.Bug{0, rollout.BugForgetWithdrawn} {
			w := waitingForNode(3, bug)
			w.Withdraw(w.nodes[7], 3)
			w.Run(time.Second)
			w.nodes[8].start()
			w.Run(time.Second)
			since(w)
			w.Withdraw(w.nodes[9], 3)
			w.Withdraw(w.nodes[4], 3)
			w.Run(1500 * ms)
			met := slices.ContainsFunc(w.result.Violations, func(b Violation) bool { return b.Rule == "AGAIN" })
			if higher := w.highestPut > 3; bug != 0 && met != higher {
				t.Errorf("%s: the injected bug is found: %v", name, met)
			}
			if bug == 0 && (len(w.result.WithdrawReplies) != 3 || slices.ContainsFunc(w.result.WithdrawReplies, notWithdrawn)) {
				t.Errorf("%s: told %v", name, w.result.WithdrawReplies)
			}
			for _, b := range w.result.Violations {
				if bug == 0 {
					t.Errorf("%s: %v", name, b)
				}
			}
		}
	}
}

func notWithdrawn(x WithdrawReply) bool {
	return x.Version != 3 || x.Outcome != rollout.OutcomeWithdrawn
}

// Eight callers send the same withdrawal at once, each through another gateway, and repeat it until they
// have an answer; the primary is killed or frozen at any moment of it.
func TestWithdrawAtOnce(t *testing.T) {
	t.Parallel()
	for at := time.Duration(0); at < 16*ms; at += 1500 * time.Microsecond {
		for name, strike := range map[string]func(p *Process){
			"nothing": func(*Process) {}, "killed": (*Process).kill, "frozen": func(p *Process) { p.freeze(3 * time.Second) },
		} {
			w := waitingForNode(uint64(at), 0)
			round := func() {
				for i, n := range w.nodes {
					if n != w.nodes[8] && i < 9 {
						w.Withdraw(n, 3)
					}
				}
			}
			round()
			w.Run(at)
			strike(w.primary())
			for range 6 {
				w.Run(time.Second)
				round()
			}
			w.Run(time.Second)
			if len(w.result.WithdrawReplies) < 8 || slices.ContainsFunc(w.result.WithdrawReplies, notWithdrawn) {
				t.Errorf("%s after %v: told %v", name, at, w.result.WithdrawReplies)
			}
			w.endFaults()
			w.Run(SettleTime)
			w.expectFate(t, rollout.Withdrawn)
		}
	}
}

// The same version put again, through any process and at any moment of its rollout, is acknowledged or gets
// no definite answer; in the end each caller has been told that it is kept.
func TestPutAgain(t *testing.T) {
	t.Parallel()
	for at := time.Duration(0); at < 20*ms; at += 2 * ms {
		for name, strike := range map[string]func(p *Process){
			"nothing": func(*Process) {}, "killed": (*Process).kill, "frozen": func(p *Process) { p.freeze(3 * time.Second) },
		} {
			w := startTogetherTraced(t, uint64(at), 0, 0, 0)
			puts := func() {
				for _, n := range w.nodes[3:] {
					w.Put(n, 3, 0, 0, "")
				}
			}
			puts()
			w.Run(at)
			strike(w.primary())
			for range 6 {
				w.Run(time.Second)
				puts()
			}
			w.endFaults()
			w.Run(SettleTime)
			w.expectFate(t, rollout.Live)
			acknowledged := map[string]bool{}
			for _, k := range w.result.Acknowledged {
				acknowledged[k.Node] = acknowledged[k.Node] || k.Version == 3
			}
			if len(acknowledged) < 8 {
				t.Errorf("%s after %v: only %v were told", name, at, acknowledged)
			}
		}
	}
}

// A primary that has been replaced must not report a version as absent: it asks its writers first.
func TestWithdrawAtOldPrimary(t *testing.T) {
	t.Parallel()
	found := false
	for seed := range uint64(20) {
		for _, bug := range []rollout.Bug{0, rollout.BugAbsentUnconfirmed} {
			w := startTogetherTraced(t, seed, bug, 0, 0)
			p, x := w.primary(), w.nodes[9]
			rest := slices.DeleteFunc(slices.Clone(w.nodes), func(n *Process) bool { return n == p || n == x })
			w.setBlocked(rest, []*Process{p, x}, true)
			w.setBlocked([]*Process{p, x}, rest, true)
			p.freeze(3 * time.Second)
			w.Run(1500 * ms)
			w.Put(w.nodes[4], 3, 0, 0, "")
			w.Run(1400 * ms)
			w.Withdraw(x, 3)
			w.Run(2 * time.Second)
			met := len(w.result.Violations) > 0 && w.result.Violations[0].Rule == "TOLD"
			if found = found || met && bug != 0; bug != 0 {
				continue
			}
			w.endFaults()
			w.Run(SettleTime)
			w.expectFate(t, rollout.Live)
			if len(w.result.WithdrawReplies) > 0 {
				t.Errorf("seed %d: told %v", seed, w.result.WithdrawReplies)
			}
		}
	}
	if !found {
		t.Error("the injected bug is not found")
	}
}

// Delayed copies of a withdrawal withdraw no version that came later, at any primary.
func TestLateWish(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		if all := DelayedWithdrawal(seed, 0); len(all) > 0 {
			t.Errorf("seed %d: %v", seed, all)
		}
	}
	if all := DelayedWithdrawal(1, rollout.BugIgnoreFence); len(all) == 0 || all[0].Rule != "LATE" {
		t.Errorf("the absence of the fence is not found: %v", all)
	}
}
