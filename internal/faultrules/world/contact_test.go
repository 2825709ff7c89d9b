package world

import (
	"testing"
	"time"

	"asterwell/internal/faultrules"
)

// TestDeposedReads checks that a replaced primary answers no reads.
func TestDeposedReads(t *testing.T) {
	t.Parallel()
	if w, ok := Deposed(faultrules.NoBug); !ok || w.Broken != "" || w.Reads != 0 {
		t.Errorf("taken: %v; %d reads; %s %s", ok, w.Reads, w.Broken, w.Detail)
	}
	if w, ok := Deposed(faultrules.Unconfirmed); !ok || w.Broken != "STALE" {
		t.Errorf("the injected bug is not detected: %v, %s", ok, w.Broken)
	}
}

// delayedStop delays a stop on its way to the primary until its caller has been answered Busy and
// another set has been put.
func delayedStop(t *testing.T, bug faultrules.Bug) faultrules.State {
	w := New(1, bug, 5, 3)
	w.Run(time.Second)
	w.Put(w.procs[1], longRule("a"), nil)
	w.Run(3 * time.Second)
	w.holdMessages(w.procs[4], w.procs[0], func(msg any) bool {
		f, ok := msg.(faultrules.Forward)
		return ok && f.Op == faultrules.OpStop
	})
	var first faultrules.Answer
	w.Stop(w.procs[4], func(a faultrules.Answer) { first = a })
	w.Run(2 * time.Second)
	if first.Outcome != faultrules.Busy {
		t.Fatal("the delayed call is not answered with Busy:", first)
	}
	w.Stop(w.procs[3], nil)
	w.Run(2 * time.Second)
	w.Put(w.procs[1], longRule("b"), nil)
	w.Run(4 * time.Second)
	w.releaseMessages()
	w.Run(2 * time.Second)
	var last faultrules.State
	w.Read(w.procs[1], func(a faultrules.Answer) { last = a.State })
	w.Run(time.Second)
	return last
}

// TestLateStop checks that a delayed stop does not affect a set that was put after the call.
func TestLateStop(t *testing.T) {
	t.Parallel()
	if s := delayedStop(t, faultrules.NoBug); s.Version != 2 || s.Stopped || !s.Active {
		t.Errorf("a stop sent before the put has stopped the set: %+v", s)
	}
	if s := delayedStop(t, faultrules.Unfenced); !s.Stopped {
		t.Errorf("the injected bug is not detected: %+v", s)
	}
}

// TestStopAgain checks that a repeated stop ends only the set that it names, even if the primary has
// changed, and that a stop of a set that was never accepted is not acknowledged.
func TestStopAgain(t *testing.T) {
	again := func(bug faultrules.Bug, between func(w *World)) (*World, faultrules.Answer, faultrules.State) {
		w := New(1, bug, 5, 3)
		w.Run(time.Second)
		w.Put(w.procs[1], longRule("a"), nil)
		w.Run(3 * time.Second)
		var first, last faultrules.Answer
		w.StopOf(w.procs[4], 1, func(a faultrules.Answer) { first = a })
		between(w)
		w.Run(3 * time.Second)
		w.Put(w.procs[2], longRule("b"), nil)
		w.Run(4 * time.Second)
		w.StopOf(w.procs[3], 1, func(a faultrules.Answer) { last = a })
		w.Run(2 * time.Second)
		var s faultrules.State
		w.Read(w.procs[1], func(a faultrules.Answer) { s = a.State })
		w.Run(time.Second)
		if first.Outcome != faultrules.Done && first.Outcome != faultrules.Busy {
			t.Errorf("the first copy gets %d", first.Outcome)
		}
		return w, last, s
	}
	for at := time.Duration(0); at < 40*ms; at += 4 * ms {
		for name, between := range map[string]func(w *World){
			"calm":   func(*World) {},
			"killed": func(w *World) { w.Run(at); w.Kill(w.procs[0]); w.Lead(w.procs[1]) },
			"cut":    func(w *World) { w.Run(at); w.Cut(w.procs[0]); w.Lead(w.procs[1]); w.Run(5 * time.Second); w.Mend() },
		} {
			w, a, s := again(faultrules.NoBug, between)
			if w.Broken != "" || a.Outcome != faultrules.Done || s.Version != 2 || s.Stopped || !s.Active {
				t.Errorf("%s after %v: the second copy gets %d, then %+v; %s %s", name, at, a.Outcome, s, w.Broken, w.Detail)
			}
		}
	}
	if w, _, _ := again(faultrules.IgnoresStopVersion, func(*World) {}); w.Broken != "SPARED" {
		t.Errorf("the injected bug is not detected: %s", w.Broken)
	}
	w := New(1, faultrules.NoBug, 5, 3)
	var early faultrules.Answer
	w.Run(time.Second)
	w.StopOf(w.procs[3], 1, func(a faultrules.Answer) { early = a })
	w.Run(time.Second)
	if put(t, w, w.procs[1], longRule("a")); early.Outcome != faultrules.Absent {
		t.Errorf("a stop of a set that was not put yet gets %d", early.Outcome)
	}
}
