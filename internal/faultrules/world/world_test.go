package world

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"asterwell/internal/faultrules"
)

func rule(share, ends float64, budget int) []faultrules.Rule {
	return []faultrules.Rule{{Name: "r", Tenant: Struck, Share: share, Effect: faultrules.VanishBefore, EndsS: ends, Budget: budget}}
}

// put puts a set that must be kept.
func put(t *testing.T, w *World, p *Proc, rules []faultrules.Rule) {
	t.Helper()
	kept := false
	w.Put(p, rules, func(a faultrules.Answer) { kept = a.Outcome == faultrules.Done })
	w.Run(500 * ms)
	if !kept {
		t.Fatal("not kept")
	}
}

func sound(t *testing.T, w *World) {
	t.Helper()
	if w.Broken != "" {
		t.Fatalf("%s at %v: %s", w.Broken, w.At, w.Detail)
	}
}

func TestIdle(t *testing.T) {
	t.Parallel()
	w := New(1, faultrules.Sound, 10, 3)
	w.Traffic(10*ms, nil)
	w.Run(time.Minute)
	if w.Messages != 0 || w.Strikes != 0 {
		t.Error("without rules:", w.Messages, "messages,", w.Strikes, "strikes")
	}
	put(t, w, w.procs[7], rule(1, 2, 1000))
	w.Run(10 * time.Second)
	before := w.Messages
	w.Run(time.Minute)
	if w.Messages != before {
		t.Error("after the end:", w.Messages-before, "messages")
	}
	sound(t, w)
}

// TestEveryNode: thirty processes at once, a share of 30% and 100 strikes.
func TestEveryNode(t *testing.T) {
	t.Parallel()
	w := New(2, faultrules.Sound, 30, 3)
	w.Traffic(50*ms, nil)
	put(t, w, w.procs[20], rule(0.3, 60, 100))
	w.Run(20 * time.Second)
	sound(t, w)
	if w.StruckBy() != 100 || w.Missed > 0 {
		t.Error(w.StruckBy(), "struck,", w.Missed, "missed")
	}
	put(t, w, w.procs[20], rule(0.3, 60, 100000))
	w.Run(5 * time.Second)
	for _, p := range w.procs {
		if p.Strikes < 10 {
			t.Error(p.Name, "struck", p.Strikes)
		}
	}
	sound(t, w)
}

// TestCut: one that is cut off keeps a set from being in force until it is gone, and is left
// with a lease at the most.
func TestCut(t *testing.T) {
	t.Parallel()
	w := New(3, faultrules.Sound, 6, 3)
	w.Traffic(10*ms, nil)
	w.Cut(w.procs[5])
	put(t, w, w.procs[1], rule(1, 60, 100000))
	if w.Strikes != 0 {
		t.Error("in force before the one that is cut off is gone")
	}
	w.Run(3 * time.Second)
	if w.Strikes == 0 {
		t.Error("not in force when it is gone")
	}
	if w.procs[5].Strikes != 0 {
		t.Error("strikes where it never came")
	}
	w.Mend()
	w.Run(2 * time.Second)
	if w.procs[5].Strikes == 0 {
		t.Error("not there after the cut")
	}
	w.Cut(w.procs[4])
	w.Stop(w.procs[2], nil)
	w.Run(5 * time.Second)
	sound(t, w)
	if w.Stops != 1 || w.AfterStop > faultrules.LeaseFor {
		t.Error(w.Stops, "stops,", w.AfterStop)
	}
	w.Mend()
	before := w.Strikes
	w.Run(5 * time.Second)
	if w.Strikes != before {
		t.Error("strikes after the cut by rules that were stopped")
	}
}

// TestEnd: the end passes while a process is cut off, and while another primary comes.
func TestEnd(t *testing.T) {
	t.Parallel()
	w := New(4, faultrules.Sound, 6, 3)
	w.Traffic(10*ms, nil)
	put(t, w, w.procs[1], rule(1, 4, 100000))
	w.Run(2 * time.Second)
	w.Cut(w.procs[5])
	w.Kill(w.procs[0])
	w.Lead(w.procs[1])
	w.Run(time.Second)
	if w.procs[2].Strikes < 50 {
		t.Error("struck", w.procs[2].Strikes)
	}
	w.Run(10 * time.Second)
	w.Mend()
	w.Run(3 * time.Second)
	sound(t, w)
}

// TestPrimary: the primary is lost at each moment of a put; the old one doesn't know.
func TestPrimary(t *testing.T) {
	t.Parallel()
	for at := time.Duration(0); at < 60*ms; at += 3 * ms {
		for _, kill := range []bool{true, false} {
			t.Run(fmt.Sprint(at, " ", kill), func(t *testing.T) { primaryLost(t, at, kill) })
		}
	}
}

func primaryLost(t *testing.T, at time.Duration, kill bool) {
	t.Parallel()
	w := New(uint64(at), faultrules.Sound, 6, 3)
	w.Traffic(10*ms, nil)
	put(t, w, w.procs[1], rule(1, 1, 1)) // the first ever needs all that have a disk
	acks := 0
	w.Put(w.procs[4], rule(0.5, 20, 200), func(a faultrules.Answer) {
		if a.Outcome == faultrules.Done {
			acks++
		}
	})
	w.Run(at)
	if kill {
		w.Kill(w.procs[0])
	} else {
		w.Cut(w.procs[0])
	}
	w.Lead(w.procs[1])
	w.Run(2500 * ms)
	w.Put(w.procs[3], rule(0.5, 20, 200), nil)
	w.Run(10 * time.Second)
	w.Mend()
	w.Boot(w.procs[0])
	w.Run(3 * time.Second)
	sound(t, w)
	if acks != 1 || w.StruckBy() != 200 {
		t.Error("acknowledged", acks, "struck", w.StruckBy())
	}
}

// TestRestart: processes that start anew have none of the budget that their last life had.
func TestRestart(t *testing.T) {
	t.Parallel()
	w := New(5, faultrules.Sound, 5, 3)
	w.Traffic(10*ms, nil)
	put(t, w, w.procs[1], rule(0.2, 60, 150))
	for i := range 40 {
		p := w.procs[i%5]
		w.Kill(p)
		if p == w.Leader() {
			w.Lead(w.procs[(i+1)%3])
		}
		w.Run(300 * ms)
		w.Boot(p)
		w.Run(200 * ms)
	}
	w.Run(10 * time.Second)
	sound(t, w)
	if n := w.StruckBy(); n < 100 || n > 150 {
		t.Error("struck", n)
	}
}

func play(from, to uint64, bug faultrules.Bug) []*World {
	all := make([]*World, to-from)
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for i := range all {
		wg.Go(func() {
			slots <- struct{}{}
			all[i] = Play(from+uint64(i)+1, bug)
			<-slots
		})
	}
	wg.Wait()
	return all
}

func TestDays(t *testing.T) {
	t.Parallel()
	strikes, missed := 0, 0
	for i, w := range play(0, 200, faultrules.Sound) {
		if w.Broken != "" {
			t.Errorf("seed %d: %s at %v: %s", i+1, w.Broken, w.At, w.Detail)
		}
		strikes += w.Strikes
		missed += w.Missed
	}
	if strikes < 1000 {
		t.Error("hardly anything was struck:", strikes)
	}
	t.Log(strikes, "struck,", missed, "missed")
}

// TestBugs: each fault put in is found.
func TestBugs(t *testing.T) {
	t.Parallel()
	for bug, rule := range map[faultrules.Bug]string{faultrules.Outlives: "END", faultrules.PerNode: "BUDGET", faultrules.Hasty: "ACTIVE",
		faultrules.Forgets: "RECORD", faultrules.Early: "RECORD", faultrules.Regrants: "BUDGET", faultrules.Unkept: "RECORD",
		faultrules.Refuses: "REFUSED", faultrules.Confuses: "TEXTS", faultrules.Numberless: "SPARED"} {
		by, days := map[string]int{}, 0
		for ; days < 300 && by[rule] == 0; days += 25 {
			for _, w := range play(uint64(days), uint64(days+25), bug) {
				by[w.Broken]++
			}
		}
		t.Log(bug, by)
		if by[rule] == 0 {
			t.Errorf("bug %d is not found by %s: %v", bug, rule, by)
		}
	}
}

// TestMoments: whatever befalls a process in the middle of a step, nobody is struck who must not
// be, and what was handed out and not used comes back.
func TestMoments(t *testing.T) {
	t.Parallel()
	troubles := map[string]func(*World){
		"killed":      func(w *World) { w.Kill(w.procs[4]) },
		"restarted":   func(w *World) { w.Kill(w.procs[4]); w.Boot(w.procs[4]) },
		"cut off":     func(w *World) { w.Cut(w.procs[4]) },
		"frozen":      func(w *World) { w.Freeze(w.procs[4], 2*time.Second) },
		"joining":     func(w *World) { w.Boot(w.procs[6]) },
		"the primary": func(w *World) { w.Kill(w.procs[0]); w.Lead(w.procs[1]) },
		"deposed":     func(w *World) { w.Cut(w.procs[0]); w.Lead(w.procs[1]) },
	}
	steps := map[string]func(w *World){
		"put":  func(w *World) { w.Put(w.procs[3], rule(0.5, 30, 200), nil) },
		"hand": func(w *World) { w.Put(w.procs[3], rule(0.5, 30, 200), nil); w.Run(1050 * ms) },
		"stop": func(w *World) {
			w.Put(w.procs[3], rule(0.5, 30, 1e5), nil)
			w.Run(2 * time.Second)
			w.Stop(w.procs[2], nil)
		},
		"end": func(w *World) { w.Put(w.procs[3], rule(0.5, 2, 1e5), nil); w.Run(1970 * ms) },
	}
	var wg sync.WaitGroup
	slots := make(chan struct{}, 8)
	for step, begin := range steps {
		for trouble, befall := range troubles {
			for at := time.Duration(0); at < 60*ms; at += 12 * ms {
				wg.Go(func() {
					slots <- struct{}{}
					defer func() { <-slots }()
					w := New(uint64(at)+7, faultrules.Sound, 7, 3)
					w.Kill(w.procs[6])
					w.Traffic(10*ms, nil)
					put(t, w, w.procs[1], rule(1, 1, 1)) // the first ever needs all that have a disk
					begin(w)
					w.Run(at)
					befall(w)
					w.Run(2500 * ms)
					w.Mend()
					for _, p := range w.procs {
						w.Boot(p)
					}
					w.Run(4 * time.Second)
					if w.Broken != "" {
						t.Errorf("%s, %s after %v: %s at %v: %s", step, trouble, at, w.Broken, w.At, w.Detail)
					}
					switch n := w.StruckBy(); {
					case step == "stop" || step == "end":
						if step == "stop" && w.Stops == 0 { // the primary had it, and nobody else
							w.Stop(w.procs[2], nil)
							w.Run(2 * time.Second)
						}
						before := w.Strikes
						if w.Run(2 * time.Second); w.Strikes != before || step == "stop" && w.Stops != 1 {
							t.Errorf("%s, %s after %v: %d strikes, %d stops", step, trouble, at, w.Strikes-before, w.Stops)
						}
					case step == "put" && n == 0 && (trouble == "the primary" || trouble == "deposed"): // the primary had it, and nobody else
					case n < 198: // two at the most were on record when their process was killed
						t.Errorf("%s, %s after %v: %d of 200", step, trouble, at, n)
					}
				})
			}
		}
	}
	wg.Wait()
}

// TestGivenBack: a process is killed again and again right after a strike. What it was handed
// besides goes to others.
func TestGivenBack(t *testing.T) {
	t.Parallel()
	w := New(8, faultrules.Sound, 6, 3)
	w.Traffic(5*ms, nil)
	kills := 0
	w.afterStrike = func(p *Proc) {
		if p == w.procs[5] && kills < 5 {
			kills++
			w.after(0, func() { w.Kill(p) })
			w.after(2*time.Second, func() { w.Boot(p) })
		}
	}
	put(t, w, w.procs[1], rule(0.05, 600, 600))
	w.Run(60 * time.Second)
	sound(t, w)
	if n := w.StruckBy(); kills < 5 || n < 600-kills || n > 600 {
		t.Error(kills, "killed,", n, "struck of 600")
	}
}

// TestOlder: while a process is up that doesn't put strikes on record, no set is in force.
func TestOlder(t *testing.T) {
	t.Parallel()
	w := New(9, faultrules.Sound, 5, 3)
	w.Traffic(10*ms, nil)
	w.procs[4].old = true
	put(t, w, w.procs[1], rule(1, 60, 100000))
	if w.Run(3 * time.Second); w.Strikes > 0 {
		t.Error(w.Strikes, "strikes beside an older process")
	}
	w.Kill(w.procs[4])
	w.Boot(w.procs[4])
	w.procs[4].old = false
	if w.Run(3 * time.Second); w.procs[4].Strikes == 0 {
		t.Error("not in force once it is newer")
	}
	sound(t, w)
}
