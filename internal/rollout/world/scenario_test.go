package world

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"asterwell/internal/rollout"
)

func stageOf(t *testing.T, seed uint64, bug rollout.Bug, confirm, within int) *World {
	t.Helper()
	return open(t, Options{Seed: seed, Bug: bug}, confirm, within)
}

func open(t *testing.T, o Options, confirm, within int) *World {
	t.Helper()
	if testing.Verbose() {
		o.Trace = func(at time.Duration, text string) { t.Logf("%12v %s", at, text) }
	}
	w := stage(o, confirm, within)
	if w.newest != 2 {
		t.Fatalf("goes by %d", w.newest)
	}
	return w
}

// want runs until all is calm, and holds what came of version 3 against what should have.
func (w *World) want(t *testing.T, fate rollout.Fate) {
	t.Helper()
	w.settled()
	for _, b := range w.res.Violations {
		t.Error(b)
	}
	if got := w.fates[3]; got != fate {
		t.Errorf("3 is %v, want %v", got, fate)
	}
	if (fate == rollout.Live) != (w.newest >= 3) {
		t.Errorf("requests go by %d", w.newest)
	}
}

// within runs until a request went by a version.
func (w *World) within(t *testing.T, version uint32, d time.Duration) {
	t.Helper()
	for end := w.now + d; w.now < end && w.newest < version && len(w.res.Violations) == 0; {
		w.Run(10 * ms)
	}
	if w.newest < version {
		t.Errorf("after %v requests go by %d, want %d", d, w.newest, version)
	}
}

// The primary is killed in each phase, and so is its backup a bit later.
func TestPrimaryKilled(t *testing.T) {
	t.Parallel()
	for at := ms / 2; at < 80*ms; at += at/3 + ms/2 {
		for _, both := range []bool{false, true} {
			t.Run(fmt.Sprint(at, " ", both), func(t *testing.T) {
				t.Parallel()
				w := stageOf(t, uint64(at), 0, 0, 0)
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
				w.calm()
				w.Run(SettleTime)
				w.settled()
				for _, b := range w.res.Violations {
					t.Errorf("killed after %v, the backup too: %v: %v", at, both, b)
				}
			})
		}
	}
}

// Whoever can't take part is waited for by nobody, and refuses until it holds what is live.
func TestLeftOut(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]func(w *World, x *Process){
		"cut off":                  func(w *World, x *Process) { w.cut(w.nodes, []*Process{x}, true); w.cut([]*Process{x}, w.nodes, true) },
		"hears nothing":            func(w *World, x *Process) { w.cut(w.nodes, []*Process{x}, true) },
		"says nothing":             func(w *World, x *Process) { w.cut([]*Process{x}, w.nodes, true) },
		"stands still":             func(w *World, x *Process) { x.freeze(4 * time.Second) },
		"killed":                   func(w *World, x *Process) { x.kill() },
		"restarted":                func(w *World, x *Process) { w.after(5*ms, func() { x.kill(); x.boot() }) },
		"stands still in the turn": func(w *World, x *Process) { w.after(15*ms, func() { x.freeze(4 * time.Second) }) },
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
			w := stageOf(t, 5, 0, 0, 0)
			x := w.nodes[10]
			c(w, x)
			w.Put(w.primary(), 3, 0, 0, "")
			w.within(t, 3, 3500*ms)
			mark := len(w.res.Decisions)
			w.Run(time.Second)
			if strings.HasSuffix(name, "nothing") || name == "cut off" {
				if slices.ContainsFunc(w.res.Decisions[mark:], func(m Decision) bool { return m.Node == x.name }) {
					t.Error("it decides")
				}
			}
			w.calm()
			w.Run(SettleTime)
			w.want(t, rollout.Live)
		})
	}
}

// Without enough nothing changes; then it goes on, or is withdrawn, once.
func TestNotEnough(t *testing.T) {
	t.Parallel()
	w := stageOf(t, 1, 0, 11, 0)
	x := w.nodes[8]
	x.kill()
	w.Put(w.primary(), 3, 0, 0, "")
	w.Run(5 * time.Second)
	if w.newest != 2 || w.fates[3] != rollout.Prepared {
		t.Fatalf("goes by %d, 3 is %v", w.newest, w.fates[3])
	}
	s := w.primary().k.RolloutStatus(w.primary().clock())
	if s.Enough || len(s.Prepared) != 10 || s.Newest != 3 || s.Live != 2 {
		t.Errorf("%+v", s)
	}
	x.boot()
	w.within(t, 3, 2*time.Second)
	w.Run(SettleTime)
	w.want(t, rollout.Live)

	for name, back := range map[string]func(w *World){
		"after its time":  func(*World) {},
		"by its operator": func(w *World) { w.Withdraw(w.nodes[7], 3) },
		"one refuses":     func(*World) {},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			within, refused := 0, ""
			switch name {
			case "after its time":
				within = 2000
			case "one refuses":
				refused = "n06"
			}
			w := stageOf(t, 1, 0, 11, within)
			w.nodes[8].kill()
			w.Put(w.primary(), 3, 0, 0, refused)
			w.Run(time.Second)
			back(w)
			w.Run(3 * time.Second)
			w.calm()
			w.Run(SettleTime)
			w.want(t, rollout.Withdrawn)
			w.Put(w.nodes[3], 4, 0, 0, "") // the next one goes through
			w.within(t, 4, 2*time.Second)
		})
	}
}

// Two operators at once, overtaking, and all killed in the middle.
func TestOneOrder(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			w := stageOf(t, seed, 0, 0, 0)
			w.Put(w.nodes[5], 3, 0, 0, "")
			w.Put(w.nodes[6], 3, 5, 0, "")
			w.Run(w.upTo(20 * ms))
			w.Put(w.nodes[7], 5, 0, 0, "")
			w.Put(w.nodes[8], 4, 0, 0, "")
			w.Run(w.upTo(30 * ms))
			for _, n := range w.nodes {
				n.kill()
			}
			w.Run(time.Second)
			w.calm()
			w.Run(SettleTime)
			w.settled()
			for _, b := range w.res.Violations {
				t.Error(b)
			}
		})
	}
}

// An old primary thaws and is asked by a node that sees nobody else.
func oldPrimary(t *testing.T, seed uint64, bug rollout.Bug) *World {
	w := stageOf(t, seed, bug, 0, 0)
	p, x := w.primary(), w.nodes[9]
	rest := slices.DeleteFunc(slices.Clone(w.nodes), func(n *Process) bool { return n == p || n == x })
	w.cut(rest, []*Process{x}, true)
	w.cut([]*Process{x}, rest, true)
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
			w.calm()
			w.Run(SettleTime)
			w.want(t, rollout.Live)
		})
	}
}

// An operator hears how its wish has ended, whatever befalls the primary meanwhile.
func TestWithdrawTold(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		before  func(w *World)
		version uint32
		want    rollout.Outcome
	}{
		"prepared":    {func(w *World) { w.nodes[8].kill(); w.Put(w.primary(), 3, 0, 0, ""); w.Run(time.Second) }, 3, rollout.OutcomeWithdrawn},
		"live":        {func(w *World) { w.Put(w.nodes[4], 3, 0, 0, ""); w.Run(3 * time.Second) }, 3, rollout.OutcomeLive},
		"not there":   {func(w *World) { w.Run(time.Second) }, 3, rollout.OutcomeAbsent},
		"overtaken":   {func(w *World) { w.Put(w.nodes[4], 3, 0, 0, ""); w.Put(w.nodes[4], 4, 0, 0, ""); w.Run(3 * time.Second) }, 3, rollout.OutcomeOvertaken},
		"the old one": {func(w *World) { w.nodes[8].kill(); w.Put(w.primary(), 3, 0, 0, ""); w.Run(time.Second) }, 2, rollout.OutcomeLive},
		"the primary stands still": {func(w *World) {
			w.nodes[8].kill()
			w.Put(w.primary(), 3, 0, 0, "")
			w.Run(time.Second)
			w.primary().freeze(2 * time.Second)
			w.Run(1900 * ms)
		}, 3, rollout.OutcomeWithdrawn},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := stageOf(t, 1, 0, 11, 0)
			c.before(w)
			w.Withdraw(w.nodes[7], c.version)
			w.Run(1500 * ms)
			if len(w.res.WithdrawReplies) != 1 || w.res.WithdrawReplies[0].Version != c.version || w.res.WithdrawReplies[0].Outcome != c.want {
				t.Errorf("told %v, want %v", w.res.WithdrawReplies, c.want)
			}
			w.calm()
			w.Run(SettleTime)
			for _, b := range w.res.Violations {
				t.Error(b)
			}
		})
	}
}
