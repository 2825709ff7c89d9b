package world

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"asterwell/internal/rollout"
)

func startTogetherTraced(t *testing.T, seed uint64, bug rollout.Bug, confirm, within int) *World {
	t.Helper()
	return startTraced(t, Options{Seed: seed, Bug: bug}, confirm, within)
}

func startTraced(t *testing.T, o Options, confirm, within int) *World {
	t.Helper()
	if testing.Verbose() {
		o.Trace = func(at time.Duration, text string) { t.Logf("%12v %s", at, text) }
	}
	w := startTogether(o, confirm, within)
	if w.newestDecided != 2 {
		t.Fatalf("requests are decided by %d", w.newestDecided)
	}
	return w
}

// expectFate runs until the faults have ended and everything is settled, and checks the fate of version 3.
func (w *World) expectFate(t *testing.T, fate rollout.Fate) {
	t.Helper()
	w.checkSettled()
	for _, b := range w.result.Violations {
		t.Error(b)
	}
	if got := w.fates[3]; got != fate {
		t.Errorf("3 is %v, want %v", got, fate)
	}
	if (fate == rollout.Live) != (w.newestDecided >= 3) {
		t.Errorf("requests are decided by %d", w.newestDecided)
	}
}

// runUntilDecidedBy runs until a request was decided by a version.
func (w *World) runUntilDecidedBy(t *testing.T, version uint32, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end && w.newestDecided < version && len(w.result.Violations) == 0; {
		w.Run(10 * ms)
	}
	if w.newestDecided < version {
		t.Errorf("after %v requests are decided by %d, want %d", d, w.newestDecided, version)
	}
}

// The primary is killed in each phase of a rollout, and in some runs its backup a bit later.
func TestPrimaryKilled(t *testing.T) {
	t.Parallel()
	for at := ms / 2; at < 80*ms; at += at/3 + ms/2 {
		for _, both := range []bool{false, true} {
			t.Run(fmt.Sprint(at, " ", both), func(t *testing.T) {
				t.Parallel()
				w := startTogetherTraced(t, uint64(at), 0, 0, 0)
				p := w.primary()
				w.Put(p, 3, 0, 0, "")
				w.Run(at)
				p.kill()
				w.Run(20 * ms)
				if both {
					for _, n := range w.nodes[:3] {
						n.kill()
					}
				}
				w.Run(2 * time.Second)
				w.endFaults()
				w.Run(SettleTime)
				w.checkSettled()
				for _, b := range w.result.Violations {
					t.Errorf("killed after %v, the backup too: %v: %v", at, both, b)
				}
			})
		}
	}
}

// A rollout doesn't wait for a node that can't take part, and that node refuses requests until it holds the
// live version.
func TestLeftOut(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]func(w *World, x *Process){
		"cut off": func(w *World, x *Process) {
			w.setBlocked(w.nodes, []*Process{x}, true)
			w.setBlocked([]*Process{x}, w.nodes, true)
		},
		"receives nothing":   func(w *World, x *Process) { w.setBlocked(w.nodes, []*Process{x}, true) },
		"sends nothing":      func(w *World, x *Process) { w.setBlocked([]*Process{x}, w.nodes, true) },
		"frozen":             func(w *World, x *Process) { x.freeze(4 * time.Second) },
		"killed":             func(w *World, x *Process) { x.kill() },
		"restarted":          func(w *World, x *Process) { w.schedule(5*ms, func() { x.kill(); x.start() }) },
		"frozen in the hold": func(w *World, x *Process) { w.schedule(15*ms, func() { x.freeze(4 * time.Second) }) },
		"a third": func(w *World, x *Process) {
			w.nodes[5].kill()
			w.nodes[7].kill()
			w.nodes[9].freeze(4 * time.Second)
			x.kill()
		},
		"a zone": func(w *World, x *Process) { w.nodes[5].kill(); w.nodes[8].kill(); w.nodes[2].kill() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startTogetherTraced(t, 5, 0, 0, 0)
			x := w.nodes[10]
			c(w, x)
			w.Put(w.primary(), 3, 0, 0, "")
			w.runUntilDecidedBy(t, 3, 3500*ms)
			mark := len(w.result.Decisions)
			w.Run(time.Second)
			if strings.HasSuffix(name, "nothing") || name == "cut off" {
				if slices.ContainsFunc(w.result.Decisions[mark:], func(m Decision) bool { return m.Node == x.name }) {
					t.Error("it decides")
				}
			}
			w.endFaults()
			w.Run(SettleTime)
			w.expectFate(t, rollout.Live)
		})
	}
}

// Without enough confirmations nothing changes; later the version becomes live or is withdrawn, once.
func TestNotEnough(t *testing.T) {
	t.Parallel()
	w := startTogetherTraced(t, 1, 0, 11, 0)
	x := w.nodes[8]
	x.kill()
	w.Put(w.primary(), 3, 0, 0, "")
	w.Run(5 * time.Second)
	if w.newestDecided != 2 || w.fates[3] != rollout.Prepared {
		t.Fatalf("requests are decided by %d, 3 is %v", w.newestDecided, w.fates[3])
	}
	s := w.primary().control.RolloutStatus(w.primary().clock())
	if s.Enough || len(s.Prepared) != 10 || s.Newest != 3 || s.Live != 2 {
		t.Errorf("%+v", s)
	}
	x.start()
	w.runUntilDecidedBy(t, 3, 2*time.Second)
	w.Run(SettleTime)
	w.expectFate(t, rollout.Live)

	for name, back := range map[string]func(w *World){
		"timed out":       func(*World) {},
		"by its operator": func(w *World) { w.Withdraw(w.nodes[7], 3) },
		"one refuses":     func(*World) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			within, refused := 0, ""
			switch name {
			case "timed out":
				within = 2000
			case "one refuses":
				refused = "n06"
			}
			w := startTogetherTraced(t, 1, 0, 11, within)
			w.nodes[8].kill()
			w.Put(w.primary(), 3, 0, 0, refused)
			w.Run(time.Second)
			back(w)
			w.Run(3 * time.Second)
			w.endFaults()
			w.Run(SettleTime)
			w.expectFate(t, rollout.Withdrawn)
			w.Put(w.nodes[3], 4, 0, 0, "") // the next version becomes live
			w.runUntilDecidedBy(t, 4, 2*time.Second)
		})
	}
}

// Two operators at once, overtaking versions, and a kill of all processes in between.
func TestOneOrder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := startTogetherTraced(t, seed, 0, 0, 0)
			w.Put(w.nodes[5], 3, 0, 0, "")
			w.Put(w.nodes[6], 3, 5, 0, "")
			w.Run(w.randomUpTo(20 * ms))
			w.Put(w.nodes[7], 5, 0, 0, "")
			w.Put(w.nodes[8], 4, 0, 0, "")
			w.Run(w.randomUpTo(30 * ms))
			for _, n := range w.nodes {
				n.kill()
			}
			w.Run(time.Second)
			w.endFaults()
			w.Run(SettleTime)
			w.checkSettled()
			for _, b := range w.result.Violations {
				t.Error(b)
			}
		})
	}
}

// An old primary resumes after a freeze, and gets requests of a node that reaches no other process.
func oldPrimary(t *testing.T, seed uint64, bug rollout.Bug) *World {
	w := startTogetherTraced(t, seed, bug, 0, 0)
	p, x := w.primary(), w.nodes[9]
	rest := slices.DeleteFunc(slices.Clone(w.nodes), func(n *Process) bool { return n == p || n == x })
	w.setBlocked(rest, []*Process{x}, true)
	w.setBlocked([]*Process{x}, rest, true)
	p.freeze(5 * time.Second)
	w.Run(1500 * ms)
	w.Put(w.nodes[4], 3, 0, 0, "")
	w.Run(6 * time.Second)
	return w
}

func TestOldPrimary(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := oldPrimary(t, seed, 0)
			w.endFaults()
			w.Run(SettleTime)
			w.expectFate(t, rollout.Live)
		})
	}
}

// An operator is told the outcome of a withdrawal, whatever happens to the primary meanwhile.
func TestWithdrawTold(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		before  func(w *World)
		version uint32
		want    rollout.Outcome
	}{
		"prepared":           {func(w *World) { w.nodes[8].kill(); w.Put(w.primary(), 3, 0, 0, ""); w.Run(time.Second) }, 3, rollout.OutcomeWithdrawn},
		"live":               {func(w *World) { w.Put(w.nodes[4], 3, 0, 0, ""); w.Run(3 * time.Second) }, 3, rollout.OutcomeLive},
		"absent":             {func(w *World) { w.Run(time.Second) }, 3, rollout.OutcomeAbsent},
		"overtaken":          {func(w *World) { w.Put(w.nodes[4], 3, 0, 0, ""); w.Put(w.nodes[4], 4, 0, 0, ""); w.Run(3 * time.Second) }, 3, rollout.OutcomeOvertaken},
		"the version before": {func(w *World) { w.nodes[8].kill(); w.Put(w.primary(), 3, 0, 0, ""); w.Run(time.Second) }, 2, rollout.OutcomeLive},
		"the primary frozen": {func(w *World) {
			w.nodes[8].kill()
			w.Put(w.primary(), 3, 0, 0, "")
			w.Run(time.Second)
			w.primary().freeze(2 * time.Second)
			w.Run(1900 * ms)
		}, 3, rollout.OutcomeWithdrawn},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startTogetherTraced(t, 1, 0, 11, 0)
			c.before(w)
			w.Withdraw(w.nodes[7], c.version)
			w.Run(1500 * ms)
			if len(w.result.WithdrawReplies) != 1 || w.result.WithdrawReplies[0].Version != c.version || w.result.WithdrawReplies[0].Outcome != c.want {
				t.Errorf("told %v, want %v", w.result.WithdrawReplies, c.want)
			}
			w.endFaults()
			w.Run(SettleTime)
			for _, b := range w.result.Violations {
				t.Error(b)
			}
		})
	}
}
