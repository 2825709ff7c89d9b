package world

import (
	"slices"
	"testing"
	"time"

	"asterwell/internal/rollout"
)

// The wish that was granted is granted again, whatever has come since its first answer, which
// may have been lost.
func TestWithdrawAgain(t *testing.T) {
	t.Parallel()
	for name, since := range map[string]func(w *World){
		"nothing":        func(*World) {},
		"a higher one":   func(w *World) { w.Put(w.nodes[5], 4, 0, 0, ""); w.Run(3 * time.Second) },
		"one under way":  func(w *World) { w.Put(w.nodes[5], 4, 11, 0, ""); w.Run(10 * ms) },
		"another taken":  func(w *World) { w.primary().kill(); w.Run(4 * time.Second) },
		"all start anew": func(w *World) { w.restart() },
		"six more, and then all start anew": func(w *World) {
			for v := uint32(4); v < 10; v++ {
				w.Put(w.nodes[v], v, 0, 0, "")
				w.Run(2 * time.Second)
			}
			w.restart()
		},
		"a higher one withdrawn, one live": func(w *World) {
			w.Put(w.nodes[5], 4, 0, 0, "n01")
			w.Run(2 * time.Second)
			w.Put(w.nodes[5], 5, 0, 0, "")
			w.Run(2 * time.Second)
		},
	} {
		for _, bug := range []rollout.Bug{0, rollout.BugForgetWithdrawn} {
			w := waits(3, bug)
			w.Withdraw(w.nodes[7], 3)
			w.Run(time.Second)
			w.nodes[8].boot()
			w.Run(time.Second)
			since(w)
			w.Withdraw(w.nodes[9], 3)
			w.Withdraw(w.nodes[4], 3)
			w.Run(1500 * ms)
			met := slices.ContainsFunc(w.res.Violations, func(b Violation) bool { return b.Rule == "AGAIN" })
			if higher := w.top > 3; bug != 0 && met != higher {
				t.Errorf("%s: the mutant is found: %v", name, met)
			}
			if bug == 0 && (len(w.res.WithdrawReplies) != 3 || slices.ContainsFunc(w.res.WithdrawReplies, notBack)) {
				t.Errorf("%s: told %v", name, w.res.WithdrawReplies)
			}
			for _, b := range w.res.Violations {
				if bug == 0 {
					t.Errorf("%s: %v", name, b)
				}
			}
		}
	}
}

func notBack(x WithdrawReply) bool { return x.Version != 3 || x.Outcome != rollout.OutcomeWithdrawn }

// Eight send the same wish at once, each through another gateway, and again until they have an
// answer; the primary is killed or stands still at any moment of it.
func TestWithdrawAtOnce(t *testing.T) {
	t.Parallel()
	for at := time.Duration(0); at < 16*ms; at += 1500 * time.Microsecond {
		for name, strike := range map[string]func(p *Process){
			"nothing": func(*Process) {}, "killed": (*Process).kill, "frozen": func(p *Process) { p.freeze(3 * time.Second) },
		} {
			w := waits(uint64(at), 0)
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
			if len(w.res.WithdrawReplies) < 8 || slices.ContainsFunc(w.res.WithdrawReplies, notBack) {
				t.Errorf("%s after %v: told %v", name, at, w.res.WithdrawReplies)
			}
			w.calm()
			w.Run(SettleTime)
			w.want(t, rollout.Withdrawn)
		}
	}
}

// The same version put again, through any process and at any moment of its rollout, is acknowledged
// or gets no clear answer; in the end each that asked has been told that it is kept.
func TestPutAgain(t *testing.T) {
	t.Parallel()
	for at := time.Duration(0); at < 20*ms; at += 2 * ms {
		for name, strike := range map[string]func(p *Process){
			"nothing": func(*Process) {}, "killed": (*Process).kill, "frozen": func(p *Process) { p.freeze(3 * time.Second) },
		} {
			w := stageOf(t, uint64(at), 0, 0, 0)
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
			w.calm()
			w.Run(SettleTime)
			w.want(t, rollout.Live)
			told := map[string]bool{}
			for _, k := range w.res.Acknowledged {
				told[k.Node] = told[k.Node] || k.Version == 3
			}
			if len(told) < 8 {
				t.Errorf("%s after %v: only %v were told", name, at, told)
			}
		}
	}
}

// A primary that has been replaced does not say that there is no such version: it asks its
// writers first.
func TestWithdrawAtOldPrimary(t *testing.T) {
	t.Parallel()
	found := false
	for seed := range uint64(20) {
		for _, bug := range []rollout.Bug{0, rollout.BugAbsentUnconfirmed} {
			w := stageOf(t, seed, bug, 0, 0)
			p, x := w.primary(), w.nodes[9]
			rest := slices.DeleteFunc(slices.Clone(w.nodes), func(n *Process) bool { return n == p || n == x })
			w.cut(rest, []*Process{p, x}, true)
			w.cut([]*Process{p, x}, rest, true)
			p.freeze(3 * time.Second)
			w.Run(1500 * ms)
			w.Put(w.nodes[4], 3, 0, 0, "")
			w.Run(1400 * ms)
			w.Withdraw(x, 3)
			w.Run(2 * time.Second)
			met := len(w.res.Violations) > 0 && w.res.Violations[0].Rule == "TOLD"
			if found = found || met && bug != 0; bug != 0 {
				continue
			}
			w.calm()
			w.Run(SettleTime)
			w.want(t, rollout.Live)
			if len(w.res.WithdrawReplies) > 0 {
				t.Errorf("seed %d: told %v", seed, w.res.WithdrawReplies)
			}
		}
	}
	if !found {
		t.Error("the mutant is not found")
	}
}

// Copies of a wish that the network has held up withdraw nothing that came after it, whoever leads.
func TestLateWish(t *testing.T) {
	t.Parallel()
	for seed := range uint64(5) {
		if all := DelayedWithdrawal(seed, 0); len(all) > 0 {
			t.Errorf("seed %d: %v", seed, all)
		}
	}
	if all := DelayedWithdrawal(1, rollout.BugIgnoreFence); len(all) == 0 || all[0].Rule != "LATE" {
		t.Errorf("the guard taken out is not met: %v", all)
	}
}
