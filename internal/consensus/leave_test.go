package consensus

import (
	"fmt"
	"testing"
	"time"
)

const graceOf = 5850 * ms // a leaver ends after it, whatever stands elsewhere

// leave tells a process to end, and ends it when it may; then is what comes after that.
func (w *world) leave(n *node, then func()) {
	life, told := n.life, w.now
	w.input(n, life, func() Out { return n.m.Leave(w.now, LeaveWhenSafe) })
	w.after(graceOf-850*ms, func() {
		w.input(n, life, func() Out { return n.m.Leave(w.now, LeaveForced) })
	})
	var look func()
	look = func() {
		switch {
		case !n.up || n.life != life:
		case n.frozen <= w.now && n.m.MayExit() || w.now-told > graceOf:
			w.trace("%v %s ends %v after it was told to", w.now, n.cfg.Self, w.now-told)
			w.kill(n, true)
			then()
		default:
			w.after(10*ms, look)
		}
	}
	w.after(10*ms, look)
}

// remove lets a process end for good.
func (w *world) remove(n *node) {
	w.leave(n, func() { n.gone, n.synced = true, nil })
}

// kinds of members, by what an epoch has them do.
var kinds = map[string]func(w *world) *node{"primary": (*world).primary, "backup": (*world).backup, "witness": (*world).other}

// TestHandover has the record without a leaver in force within a beat, for each kind of member
// and size; it ends, comes back with its disk, and has a seat again.
func TestHandover(t *testing.T) {
	t.Parallel()
	for _, s := range [][3]int{{3, 2, 1}, {6, 8, 2}, {8, 8, 2}} {
		for kind, of := range kinds {
			w := calm(t, s[0], s[1], s[2])
			n := of(w)
			at, ended, sent := w.now, false, w.sent
			w.leave(n, func() { ended = true })
			for w.now < at+time.Second && w.record().has(n.cfg.Self, n.m.state.DiskID) {
				w.run(ms)
			}
			took, most := w.now-at, heartbeatInterval
			for w.now < at+time.Second && !ended {
				w.run(ms)
			}
			t.Logf("%d members, %s: %v to the record, %v to its end, %d messages", s[0], kind, took, w.now-at, w.sent-sent)
			if took > most || !ended || len(w.record().Members) != s[0]-1 {
				t.Errorf("%d members, %s leaves: %v, ended %v, %d seats", s[0], kind, took, ended, len(w.record().Members))
			}
			w.until(t, 50*ms, w.primary())
			w.run(500 * ms)
			w.start(n)
			at = w.now
			for w.now < at+time.Second && !w.record().has(n.cfg.Self, n.m.state.DiskID) {
				w.run(ms)
			}
			t.Logf("%d members, %s: %v to its seat", s[0], kind, w.now-at)
			if len(w.record().Members) != s[0] {
				t.Errorf("%d members, %s is back: %d seats", s[0], kind, len(w.record().Members))
			}
			w.settled()
			w.sane(t)
		}
	}
}

// TestSecondLoss wipes each other member at once, or later, after one has left for good, with a
// learner there or none. What was acknowledged is there, and puts are taken when the wiped one is
// back. The mutant, whose leavers keep their seats, is stuck.
func TestSecondLoss(t *testing.T) {
	t.Parallel()
	stuck := 0
	for _, bug := range []Bug{0, BugNoLeave} {
		for kind, of := range kinds {
			for i := range 3 {
				for _, learner := range []bool{false, true} {
					for _, wait := range []time.Duration{0, 100 * ms, 300 * ms, time.Second} {
						w := calm(t, 3, 1, 1)
						w.bug = bug
						for _, n := range w.nodes {
							n.m.bug = bug
						}
						if learner {
							w.start(w.add(true, false))
							w.run(200 * ms)
						}
						n := of(w)
						n.cfg.Genesis = false
						ended := false
						w.leave(n, func() { n.gone, n.synced, ended = true, nil, true })
						for end := w.now + 2*time.Second; !ended && w.now < end; {
							w.run(ms)
						}
						w.run(wait)
						if v := w.nodes[i]; v != n {
							w.put(v)
							w.run(20 * ms)
							w.wipe(v)
							w.run(500 * ms)
							w.start(v)
						}
						if !learner && wait > 0 {
							w.start(w.add(true, false))
						}
						w.settled()
						if bug != 0 {
							if w.broken != nil {
								stuck++
							}
						} else if w.broken != nil {
							t.Errorf("%s left, n0%d wiped after %v, learner %v: %v", kind, i, wait, learner, w.broken)
						}
					}
				}
			}
		}
	}
	if stuck == 0 {
		t.Error("seats that stay with those that left are not found")
	}
}

// TestOneByOne replaces all members one after the other, each with a loss of a disk right after
// the seats are whole again; and loses three disks in turn, each when the one before is whole.
func TestOneByOne(t *testing.T) {
	t.Parallel()
	for _, s := range [][3]int{{3, 1, 1}, {6, 1, 2}, {8, 1, 2}} {
		w := calm(t, s[0], s[1], s[2])
		whole := func(what string) {
			at := w.now
			for w.now < at+2*time.Second && (len(w.record().Members) < s[0] || len(w.lost(w.record().Members)) > 0) {
				w.run(ms)
			}
			if d := w.now - at; d > 1500*ms {
				t.Fatalf("%d members, %s: not whole after %v: %+v", s[0], what, d, w.record())
			} else {
				t.Logf("%d members, %s: whole after %v", s[0], what, d)
			}
		}
		for _, n := range w.members()[:s[0]] {
			w.start(w.add(true, false))
			w.run(200 * ms)
			w.remove(n)
			for end := w.now + time.Second; !n.gone && w.now < end; {
				w.run(ms)
			}
			whole("left")
			p := w.primary()
			w.put(p)
			w.run(15 * ms)
			w.wipe(p)
			w.start(p)
			w.until(t, 1200*ms, w.nodes[s[0]])
			whole("wiped")
		}
		w.settled()
		w.sane(t)
	}
}

// TestLeaves plays drawn leaves at bad moments: the leaver or its successor killed or wiped at
// any moment of it, two that leave at once, a learner wiped while it is taken in, one put back.
func TestLeaves(t *testing.T) {
	t.Parallel()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if err := leaves(seed, 0); err != nil {
				t.Error(err)
			}
		})
	}
}

func leaves(seed uint64, bug Bug) *verdict {
	shapes := [][3]int{{3, 1, 1}, {3, 1, 1}, {6, 1, 2}, {8, 1, 2}}
	s := shapes[seed%uint64(len(shapes))]
	w := newWorld(seed, s[0], s[1], s[2])
	w.bug = bug
	w.startAll()
	w.run(2500 * ms)
	w.put(w.nodes[0])
	for range 6 {
		w.run(time.Duration(w.rng.Int64N(int64(400*ms))) + 600*ms)
		all := w.members()
		n, o := all[w.rng.IntN(len(all))], all[w.rng.IntN(len(all))]
		soon := time.Duration(w.rng.Int64N(int64(150 * ms)))
		if w.rng.IntN(3) > 0 && len(w.nodes) < 14 {
			r := w.add(true, false)
			w.start(r)
			w.run(time.Duration(w.rng.Int64N(int64(400 * ms))))
			if w.rng.IntN(3) == 0 {
				w.after(soon, func() { w.wipe(r); w.start(r) })
			}
		}
		back := w.rng.IntN(2) == 0 || w.missing() > 0
		w.leave(n, func() {
			if back {
				w.after(300*ms, func() { w.start(n) })
			} else {
				n.gone, n.synced = true, nil
				w.start(w.add(true, false))
			}
		})
		switch w.rng.IntN(5) {
		case 0: // killed in the midst, and is back
			w.after(soon, func() { w.kill(n, false); w.after(500*ms, func() { w.start(n) }) })
		case 1:
			if o != n {
				w.leave(o, func() { w.start(o) })
			}
		case 2:
			if o != n {
				w.after(soon, func() { w.kill(o, true); w.after(time.Second, func() { w.start(o) }) })
			}
		case 3: // a disk is lost when the count allows it
			w.run(soon)
			if p := w.primary(); p != nil && p != n && w.missing() == 0 {
				w.put(p)
				w.run(12 * ms)
				w.wipe(p)
				w.start(p)
			}
		}
		w.put(w.nodes[w.rng.IntN(len(w.nodes))])
		w.run(2 * time.Second)
	}
	for range 10 { // those that are on their way out come to their end
		w.run(time.Second)
	}
	w.settled()
	return w.broken
}

// TestExploreLeaves visits models with leaves and a learner as a whole: from every state that was
// looked at the core goes on. Each guard that is taken out is found.
func TestExploreLeaves(t *testing.T) {
	t.Parallel()
	for _, b := range []ModelBounds{{Leaves: 1, LivenessEvery: 1}, {Leaves: 2, LivenessEvery: 4}, {Leaves: 1, Learner: true, LivenessEvery: 20},
		{Leaves: 1, Puts: 1}, {Leaves: 1, Crashes: 1, LivenessEvery: 40}, {Leaves: 1, DiskWipes: 1, LivenessEvery: 40}, {Leaves: 1, ForcedLeave: true, DiskWipes: 1, LivenessEvery: 40}, {Leaves: 2, ForcedLeave: true, LivenessEvery: 4}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			f := Explore(b)
			t.Logf("%d states, %d asked", f.States, f.LivenessChecked)
			if !f.Complete || f.Violation != "" || f.Epochs == 0 {
				t.Errorf("%+v", f)
			}
		})
	}
	for _, bug := range []Bug{BugNoLeave, BugEarlyExit, BugNoShrinkOnForcedLeave} {
		t.Run(fmt.Sprint("bug ", bug), func(t *testing.T) {
			t.Parallel()
			if f := Explore(ModelBounds{Leaves: 1, ForcedLeave: bug == BugNoShrinkOnForcedLeave, DiskWipes: 1, LivenessEvery: 5, Bug: bug}); f.Violation == "" {
				t.Errorf("it is not found in %d states", f.States)
			}
		})
	}
}

// left is a core of three that one has left for good; the two others have the seats.
func left(t *testing.T, bug Bug, learner func(w *world)) (w *world, p, b *node) {
	w = calm(t, 3, 1, 1)
	set := func() {
		w.bug = bug
		for _, n := range w.nodes {
			n.m.bug = bug
		}
	}
	if learner != nil {
		set()
		learner(w)
	}
	n := w.other()
	w.remove(n)
	for end := w.now + time.Second; !n.gone && w.now < end; {
		w.run(ms)
	}
	if !n.gone {
		t.Fatal("it does not end")
	}
	set()
	return w, w.primary(), w.backup()
}

// TestGuards has for each guard of leaving the one thing that it prevents, and finds it taken out.
func TestGuards(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		bug  Bug
		play func(w *world, p, b *node)
	}{
		"silence is no loss": {BugAssumeLost, func(w *world, p, b *node) {
			w.part(p, 8*time.Second, func(n *node) bool { return n == b }, true)
			for range 80 {
				w.run(100 * ms)
				w.put(p)
				w.call(b, false, Doc{Version: w.acked + 1, Body: []byte("b")})
				w.call(p, true, Doc{})
				w.call(b, true, Doc{})
			}
		}},
		"no copy alone": {BugTooFewWriters, func(w *world, p, b *node) {
			w.wipe(b)
			w.run(1500 * ms)
			w.start(b)
			for end := w.now + 2*time.Second; w.now < end; {
				if o := w.put(p); o.doc.Version > w.acked {
					w.run(10 * ms)
					if o.done != nil && o.done.Result == ResultAccepted && p.synced.Record.Writers != nil && len(p.synced.Record.Writers) < 2 {
						w.fail("version %d is acknowledged with %v", o.doc.Version, p.synced.Record.Writers)
					}
				}
			}
		}},
	} {
		found := false
		for i := range 12 { // the moment at which it begins is another one each time
			for _, bug := range []Bug{0, c.bug} {
				w, p, b := left(t, bug, nil)
				w.run(time.Duration(i) * 37 * ms)
				c.play(w, p, b)
				if bug == 0 {
					w.settled()
				}
				if bug == 0 && w.broken != nil {
					t.Errorf("%s: %v", name, w.broken)
				}
				found = found || bug != 0 && w.broken != nil
			}
		}
		if !found {
			t.Errorf("%s: the guard taken out is not met", name)
		}
	}
	for _, bug := range []Bug{0, BugSkipLearner} { // a learner that has gone again gets no seat
		w, p, b := left(t, bug, func(w *world) {
			r := w.add(true, false)
			w.start(r)
			w.run(400 * ms)
			w.wipe(r)
			r.gone = true
		})
		if n := len(w.record().Members); n != 2 && bug == 0 {
			t.Errorf("%d seats", n)
		}
		w.wipe(p)
		w.start(p)
		w.run(4 * time.Second)
		o := w.put(b)
		w.run(time.Second)
		if kept := o.done != nil && o.done.Result == ResultAccepted; kept != (bug == 0) {
			t.Errorf("bug %d: kept %v: %+v", bug, kept, w.record())
		}
	}
}
