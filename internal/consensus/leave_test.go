package consensus

import (
	"fmt"
	"testing"
	"time"
)

const leaveGrace = 5850 * ms // a leaving process is stopped after it, whatever the state of the cluster

// leaveNode tells a process to leave, stops it when it may exit, and then calls then.
func (w *simulation) leaveNode(n *simNode, then func()) {
	run, toldAt := n.run, w.now
	w.input(n, run, func() Out { return n.machine.Leave(w.now, LeaveWhenSafe) })
	w.after(leaveGrace-850*ms, func() {
		w.input(n, run, func() Out { return n.machine.Leave(w.now, LeaveForced) })
	})
	var poll func()
	poll = func() {
		switch {
		case !n.up || n.run != run:
		case n.frozenUntil <= w.now && n.machine.MayExit() || w.now-toldAt > leaveGrace:
			w.trace("%v %s exits %v after it was told to leave", w.now, n.config.Self, w.now-toldAt)
			w.kill(n, true)
			then()
		default:
			w.after(10*ms, poll)
		}
	}
	w.after(10*ms, poll)
}

// removeNode lets a process leave for good.
func (w *simulation) removeNode(n *simNode) {
	w.leaveNode(n, func() { n.removed, n.synced = true, nil })
}

// memberKinds selects a member by its role in the epoch.
var memberKinds = map[string]func(w *simulation) *simNode{"primary": (*simulation).primary,
	"backup": (*simulation).backup, "witness": (*simulation).witness}

// TestHandover checks, for each role and cluster size, that a record without a leaving member is
// active within one heartbeat interval. The process exits, comes back with its disk and becomes a
// member again.
func TestHandover(t *testing.T) {
	t.Parallel()
	for _, s := range [][3]int{{3, 2, 1}, {6, 8, 2}, {8, 8, 2}} {
		for kind, selectNode := range memberKinds {
			w := newSteadyCluster(t, s[0], s[1], s[2])
			n := selectNode(w)
			at, ended, sent := w.now, false, w.sentMessages
			w.leaveNode(n, func() { ended = true })
			for w.now < at+time.Second && w.newestActiveRecord().has(n.config.Self, n.machine.state.DiskID) {
				w.run(ms)
			}
			took, limit := w.now-at, heartbeatInterval
			for w.now < at+time.Second && !ended {
				w.run(ms)
			}
			t.Logf("%d members, %s: record after %v, exit after %v, %d messages", s[0], kind, took, w.now-at,
				w.sentMessages-sent)
			if took > limit || !ended || len(w.newestActiveRecord().Members) != s[0]-1 {
				t.Errorf("%d members, %s leaves: %v, exited %v, %d in the membership", s[0], kind, took, ended,
					len(w.newestActiveRecord().Members))
			}
			w.runUntilAccepted(t, 50*ms, w.primary())
			w.run(500 * ms)
			w.start(n)
			at = w.now
			for w.now < at+time.Second && !w.newestActiveRecord().has(n.config.Self, n.machine.state.DiskID) {
				w.run(ms)
			}
			t.Logf("%d members, %s: a member again after %v", s[0], kind, w.now-at)
			if len(w.newestActiveRecord().Members) != s[0] {
				t.Errorf("%d members, %s is back: %d in the membership", s[0], kind,
					len(w.newestActiveRecord().Members))
			}
			w.finishAndCheckProgress()
			w.checkNoFailure(t)
		}
	}
}

// TestLossAfterLeave wipes each other member at once, or later, after one has left for good, with
// or without a process that joins. Acknowledged documents remain, and puts are accepted once the
// wiped member is back. If leaving processes stay members (BugNoLeave), the cluster gets stuck.
func TestLossAfterLeave(t *testing.T) {
	t.Parallel()
	stuck := 0
	for _, bug := range []Bug{0, BugNoLeave} {
		for kind, selectNode := range memberKinds {
			for i := range 3 {
				for _, learner := range []bool{false, true} {
					for _, wait := range []time.Duration{0, 100 * ms, 300 * ms, time.Second} {
						w := newSteadyCluster(t, 3, 1, 1)
						w.bug = bug
						for _, n := range w.nodes {
							n.machine.bug = bug
						}
						if learner {
							w.start(w.add(true, false))
							w.run(200 * ms)
						}
						n := selectNode(w)
						n.config.Genesis = false
						ended := false
						w.leaveNode(n, func() { n.removed, n.synced, ended = true, nil, true })
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
						w.finishAndCheckProgress()
						if bug != 0 {
							if w.failure != nil {
								stuck++
							}
						} else if w.failure != nil {
							t.Errorf("%s left, n0%d wiped after %v, joining process %v: %v", kind, i, wait, learner,
								w.failure)
						}
					}
				}
			}
		}
	}
	if stuck == 0 {
		t.Error("BugNoLeave is not detected")
	}
}

// TestReplaceAllMembers replaces all members one by one. Each time the primary's disk is lost as soon
// as the membership is complete again, and the next member is replaced once that loss is repaired.
func TestReplaceAllMembers(t *testing.T) {
	t.Parallel()
	for _, s := range [][3]int{{3, 1, 1}, {6, 1, 2}, {8, 1, 2}} {
		w := newSteadyCluster(t, s[0], s[1], s[2])
		untilComplete := func(what string) {
			at := w.now
			for w.now < at+2*time.Second && (len(w.newestActiveRecord().Members) < s[0] ||
				len(w.lostMembers(w.newestActiveRecord().Members)) > 0) {
				w.run(ms)
			}
			if d := w.now - at; d > 1500*ms {
				t.Fatalf("%d members, %s: not complete after %v: %+v", s[0], what, d, w.newestActiveRecord())
			} else {
				t.Logf("%d members, %s: complete after %v", s[0], what, d)
			}
		}
		for _, n := range w.memberNodes()[:s[0]] {
			w.start(w.add(true, false))
			w.run(200 * ms)
			w.removeNode(n)
			for end := w.now + time.Second; !n.removed && w.now < end; {
				w.run(ms)
			}
			untilComplete("replaced")
			p := w.primary()
			w.put(p)
			w.run(15 * ms)
			w.wipe(p)
			w.start(p)
			w.runUntilAccepted(t, 1200*ms, w.nodes[s[0]])
			untilComplete("wiped")
		}
		w.finishAndCheckProgress()
		w.checkNoFailure(t)
	}
}

// TestLeaves runs random leaves with faults: the leaving process or its successor is killed or
// wiped at any moment, two leave at once, a joining process is wiped while it is admitted.
func TestLeaves(t *testing.T) {
	t.Parallel()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			if err := runLeaves(seed, 0); err != nil {
				t.Error(err)
			}
		})
	}
}

func runLeaves(seed uint64, bug Bug) *failure {
	shapes := [][3]int{{3, 1, 1}, {3, 1, 1}, {6, 1, 2}, {8, 1, 2}}
	shape := shapes[seed%uint64(len(shapes))]
	w := newSimulation(seed, shape[0], shape[1], shape[2])
	w.bug = bug
	w.startAll()
	w.run(2500 * ms)
	w.put(w.nodes[0])
	for range 6 {
		w.run(time.Duration(w.rng.Int64N(int64(400*ms))) + 600*ms)
		all := w.memberNodes()
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
		back := w.rng.IntN(2) == 0 || w.lostMemberCount() > 0
		w.leaveNode(n, func() {
			if back {
				w.after(300*ms, func() { w.start(n) })
			} else {
				n.removed, n.synced = true, nil
				w.start(w.add(true, false))
			}
		})
		switch w.rng.IntN(5) {
		case 0: // killed while it leaves, and restarted
			w.after(soon, func() { w.kill(n, false); w.after(500*ms, func() { w.start(n) }) })
		case 1:
			if o != n {
				w.leaveNode(o, func() { w.start(o) })
			}
		case 2:
			if o != n {
				w.after(soon, func() { w.kill(o, true); w.after(time.Second, func() { w.start(o) }) })
			}
		case 3: // a disk is lost if no other one is
			w.run(soon)
			if p := w.primary(); p != nil && p != n && w.lostMemberCount() == 0 {
				w.put(p)
				w.run(12 * ms)
				w.wipe(p)
				w.start(p)
			}
		}
		w.put(w.nodes[w.rng.IntN(len(w.nodes))])
		w.run(2 * time.Second)
	}
	for range 10 { // lets pending leaves finish
		w.run(time.Second)
	}
	w.finishAndCheckProgress()
	return w.failure
}

// TestExploreLeaves explores models with leaving and joining processes completely: the cluster
// makes progress from each state checked. Each disabled safeguard is detected.
func TestExploreLeaves(t *testing.T) {
	t.Parallel()
	for _, b := range []ModelBounds{{Leaves: 1, LivenessEvery: 1}, {Leaves: 2, LivenessEvery: 4},
		{Leaves: 1, Learner: true, LivenessEvery: 20},
		{Leaves: 1, Puts: 1}, {Leaves: 1, Crashes: 1, LivenessEvery: 40},
		{Leaves: 1, DiskWipes: 1, LivenessEvery: 40},
		{Leaves: 1, ForcedLeave: true, DiskWipes: 1, LivenessEvery: 40},
		{Leaves: 2, ForcedLeave: true, LivenessEvery: 4}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			f := Explore(b)
			t.Logf("%d states, %d checked for progress", f.States, f.LivenessChecked)
			if !f.Complete || f.Violation != "" || f.Epochs == 0 {
				t.Errorf("%+v", f)
			}
		})
	}
	for _, bug := range []Bug{BugNoLeave, BugEarlyExit, BugNoShrinkOnForcedLeave} {
		t.Run(fmt.Sprint("bug ", bug), func(t *testing.T) {
			t.Parallel()
			if f := Explore(ModelBounds{Leaves: 1, ForcedLeave: bug == BugNoShrinkOnForcedLeave, DiskWipes: 1,
				LivenessEvery: 5, Bug: bug}); f.Violation == "" {
				t.Errorf("the bug is not detected in %d states", f.States)
			}
		})
	}
}

// clusterAfterLeave returns a cluster of three which one member has left for good; the two others
// are the members.
func clusterAfterLeave(t *testing.T, bug Bug, learner func(w *simulation)) (w *simulation, p, b *simNode) {
	w = newSteadyCluster(t, 3, 1, 1)
	set := func() {
		w.bug = bug
		for _, n := range w.nodes {
			n.machine.bug = bug
		}
	}
	if learner != nil {
		set()
		learner(w)
	}
	n := w.witness()
	w.removeNode(n)
	for end := w.now + time.Second; !n.removed && w.now < end; {
		w.run(ms)
	}
	if !n.removed {
		t.Fatal("the leaving process does not exit")
	}
	set()
	return w, w.primary(), w.backup()
}

// TestLeaveSafeguards runs for each safeguard of leaving the situation that it is for, and checks
// that its absence is detected.
func TestLeaveSafeguards(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		bug  Bug
		play func(w *simulation, p, b *simNode)
	}{
		"an unanswered request proves no loss": {BugAssumeLost, func(w *simulation, p, b *simNode) {
			w.partition(p, 8*time.Second, func(n *simNode) bool { return n == b }, true)
			for range 80 {
				w.run(100 * ms)
				w.put(p)
				w.call(b, false, Doc{Version: w.highestAcked + 1, Body: []byte("b")})
				w.call(p, true, Doc{})
				w.call(b, true, Doc{})
			}
		}},
		"no put with one copy": {BugTooFewWriters, func(w *simulation, p, b *simNode) {
			w.wipe(b)
			w.run(1500 * ms)
			w.start(b)
			for end := w.now + 2*time.Second; w.now < end; {
				if o := w.put(p); o.doc.Version > w.highestAcked {
					w.run(10 * ms)
					if o.answer != nil && o.answer.Result == ResultAccepted && p.synced.Record.Writers != nil &&
						len(p.synced.Record.Writers) < 2 {
						w.fail("version %d is acknowledged with writers %v", o.doc.Version, p.synced.Record.Writers)
					}
				}
			}
		}},
	} {
		found := false
		for i := range 12 { // starts at a different moment each time
			for _, bug := range []Bug{0, c.bug} {
				w, p, b := clusterAfterLeave(t, bug, nil)
				w.run(time.Duration(i) * 37 * ms)
				c.play(w, p, b)
				if bug == 0 {
					w.finishAndCheckProgress()
				}
				if bug == 0 && w.failure != nil {
					t.Errorf("%s: %v", name, w.failure)
				}
				found = found || bug != 0 && w.failure != nil
			}
		}
		if !found {
			t.Errorf("%s: the disabled safeguard is not detected", name)
		}
	}
	for _, bug := range []Bug{0, BugSkipLearner} { // a joining process that has stopped again must not become a member
		w, p, b := clusterAfterLeave(t, bug, func(w *simulation) {
			r := w.add(true, false)
			w.start(r)
			w.run(400 * ms)
			w.wipe(r)
			r.removed = true
		})
		if n := len(w.newestActiveRecord().Members); n != 2 && bug == 0 {
			t.Errorf("%d members", n)
		}
		w.wipe(p)
		w.start(p)
		w.run(4 * time.Second)
		o := w.put(b)
		w.run(time.Second)
		if accepted := o.answer != nil && o.answer.Result == ResultAccepted; accepted != (bug == 0) {
			t.Errorf("bug %d: accepted %v: %+v", bug, accepted, w.newestActiveRecord())
		}
	}
}
