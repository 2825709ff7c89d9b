package world

import (
	"testing"
	"time"

	"asterwell/internal/faultrules"
)

// TestDeposedReads: a primary that was followed says nothing of the rules, from its first moment.
func TestDeposedReads(t *testing.T) {
	t.Parallel()
	if w, ok := Deposed(faultrules.Sound); !ok || w.Broken != "" || w.Reads != 0 {
		t.Errorf("taken: %v; %d reads; %s %s", ok, w.Reads, w.Broken, w.Detail)
	}
	if w, ok := Deposed(faultrules.Unconfirmed); !ok || w.Broken != "STALE" {
		t.Errorf("the guard taken out is not met: %v, %s", ok, w.Broken)
	}
}

// late plays a stop whose way to the primary is held up until its caller has long been told
// that nobody could take it, and another set has been put.
func late(t *testing.T, bug faultrules.Bug) faultrules.State {
	w := New(1, bug, 5, 3)
	w.Run(time.Second)
	w.Put(w.procs[1], long("a"), nil)
	w.Run(3 * time.Second)
	w.hold(w.procs[4], w.procs[0], func(msg any) bool {
		f, ok := msg.(faultrules.Forward)
		return ok && f.Op == faultrules.OpStop
	})
	var first faultrules.Answer
	w.Stop(w.procs[4], func(a faultrules.Answer) { first = a })
	w.Run(2 * time.Second)
	if first.Outcome != faultrules.Busy {
		t.Fatal("the call that is held up gets an answer:", first)
	}
	w.Stop(w.procs[3], nil)
	w.Run(2 * time.Second)
	w.Put(w.procs[1], long("b"), nil)
	w.Run(4 * time.Second)
	w.release()
	w.Run(2 * time.Second)
	var last faultrules.State
	w.Read(w.procs[1], func(a faultrules.Answer) { last = a.State })
	w.Run(time.Second)
	return last
}

// TestLateStop: a call changes what stood when it was made, and nothing that came since.
func TestLateStop(t *testing.T) {
	t.Parallel()
	if s := late(t, faultrules.Sound); s.Version != 2 || s.Stopped || !s.Active {
		t.Errorf("a stop from before has stopped it: %+v", s)
	}
	if s := late(t, faultrules.Unfenced); !s.Stopped {
		t.Errorf("the guard taken out is not met: %+v", s)
	}
}

// TestStopAgain: a stop ends the set that it names, and no other, whenever a copy of it comes and
// whoever leads by then; one for a set that was never accepted is not acknowledged.
func TestStopAgain(t *testing.T) {
	again := func(bug faultrules.Bug, between func(w *World)) (*World, faultrules.Answer, faultrules.State) {
		w := New(1, bug, 5, 3)
		w.Run(time.Second)
		w.Put(w.procs[1], long("a"), nil)
		w.Run(3 * time.Second)
		var first, last faultrules.Answer
		w.StopOf(w.procs[4], 1, func(a faultrules.Answer) { first = a })
		between(w)
		w.Run(3 * time.Second)
		w.Put(w.procs[2], long("b"), nil)
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
			w, a, s := again(faultrules.Sound, between)
			if w.Broken != "" || a.Outcome != faultrules.Done || s.Version != 2 || s.Stopped || !s.Active {
				t.Errorf("%s after %v: the second copy gets %d, then %+v; %s %s", name, at, a.Outcome, s, w.Broken, w.Detail)
			}
		}
	}
	if w, _, _ := again(faultrules.Numberless, func(*World) {}); w.Broken != "SPARED" {
		t.Errorf("the guard taken out is not met: %s", w.Broken)
	}
	w := New(1, faultrules.Sound, 5, 3)
	var early faultrules.Answer
	w.Run(time.Second)
	w.StopOf(w.procs[3], 1, func(a faultrules.Answer) { early = a })
	w.Run(time.Second)
	if put(t, w, w.procs[1], long("a")); early.Outcome != faultrules.Absent {
		t.Errorf("a stop of what has not come gets %d", early.Outcome)
	}
}
