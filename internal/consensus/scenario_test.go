package consensus

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// newSteadyCluster returns a founded cluster that has committed one document.
func newSteadyCluster(t *testing.T, members, followers, losses int) *simulation {
	t.Helper()
	w := newSimulation(uint64(members), members, followers, losses)
	w.startAll()
	w.run(2 * time.Second)
	if w.primary() == nil {
		t.Fatal("not founded within 2 s")
	}
	w.put(w.nodes[0])
	w.run(time.Second)
	w.checkNoFailure(t)
	return w
}

func (w *simulation) checkNoFailure(t *testing.T) {
	t.Helper()
	if w.failure != nil {
		t.Fatal(w.failure)
	}
}

// runUntilAccepted puts documents until one is accepted, at most for limit.
func (w *simulation) runUntilAccepted(t *testing.T, limit time.Duration, n *simNode) {
	t.Helper()
	for end := w.now + limit; w.now < end; {
		o := w.put(n)
		w.run(50 * ms)
		if o.answer != nil && o.answer.Result == ResultAccepted {
			return
		}
	}
	t.Fatalf("no put is accepted after %v; %+v", limit, n.machine.Status())
}

// backup returns a writer that is not the primary; witness returns a member that is no writer.
func (w *simulation) backup() *simNode { return w.byAddr[w.newestActiveRecord().Writers[1]] }

func (w *simulation) witness() *simNode {
	for _, n := range w.memberNodes() {
		if !slices.Contains(w.newestActiveRecord().Writers, n.config.Self) {
			return n
		}
	}
	return nil
}

func TestSteadyCluster(t *testing.T) {
	t.Parallel()
	for _, s := range [][3]int{{3, 8, 1}, {6, 30, 2}, {8, 75, 2}} {
		w := newSteadyCluster(t, s[0], s[1], s[2])
		if n := len(w.newestActiveRecord().Members); n != s[0] {
			t.Errorf("%d members, want %d", n, s[0])
		}
		for _, n := range w.nodes {
			for _, read := range []bool{false, true} {
				o := w.call(n, read, Doc{Version: w.highestAcked + 1, Body: []byte(n.config.Self)})
				w.run(40 * ms)
				if o.answer == nil || o.answer.Result == ResultBusy {
					t.Fatalf("%s read %v: not answered in 40 ms: %+v", n.config.Self, read, o.answer)
				}
			}
			w.run(60 * ms)
			for _, n := range w.nodes {
				if h := n.machine.Committed(); h.Version != w.highestAcked {
					t.Fatalf("%s has version %d, want %d", n.config.Self, h.Version, w.highestAcked)
				}
			}
		}
		before := w.sentMessages
		w.run(10 * time.Second)
		if at := (w.sentMessages - before) / 10; at > 10*s[0] {
			t.Errorf("%d messages per second in a steady cluster", at)
		}
		w.checkNoFailure(t)
	}
}

// TestTakeoverTimes limits the time until calls are accepted again after each kind of failure.
func TestTakeoverTimes(t *testing.T) {
	t.Parallel()
	cutOff := func(w *simulation, n *simNode) {
		w.partition(n, time.Minute, func(*simNode) bool { return true }, true)
	}
	lastNode := func(w *simulation) *simNode { return w.nodes[len(w.nodes)-1] }
	for name, c := range map[string]struct {
		limit time.Duration
		loss  func(w *simulation) *simNode // returns the process to call
	}{
		"primary killed": {1200 * ms, func(w *simulation) *simNode { w.kill(w.primary(), true); return lastNode(w) }},
		"primary cut": {1200 * ms, func(w *simulation) *simNode {
			b := w.backup()
			cutOff(w,
				w.primary())
			return b
		}},
		"primary frozen":  {1200 * ms, func(w *simulation) *simNode { w.primary().frozenUntil = time.Hour; return w.backup() }},
		"primary stalled": {1200 * ms, func(w *simulation) *simNode { w.primary().stalledUntil = time.Hour; return lastNode(w) }},
		"primary wiped": {1200 * ms, func(w *simulation) *simNode {
			p := w.primary()
			w.wipe(p)
			w.start(p)
			return lastNode(w)
		}},
		"backup killed":  {800 * ms, func(w *simulation) *simNode { w.kill(w.backup(), true); return lastNode(w) }},
		"backup stalled": {800 * ms, func(w *simulation) *simNode { w.backup().stalledUntil = time.Hour; return lastNode(w) }},
		"witness killed": {50 * ms, func(w *simulation) *simNode { w.kill(w.witness(), true); return w.primary() }},
		"all killed": {1000 * ms, func(w *simulation) *simNode {
			for _, n := range w.memberNodes() {
				w.kill(n, true)
				w.start(n)
			}
			return lastNode(w)
		}},
		"power lost": {1500 * ms, func(w *simulation) *simNode {
			for _, n := range w.nodes {
				w.kill(n, false)
			}
			w.run(3 * time.Second)
			w.startAll()
			w.run(300 * ms)
			return lastNode(w)
		}},
	} {
		for _, s := range [][3]int{{3, 2, 1}, {6, 2, 2}} {
			t.Run(name, func(t *testing.T) {
				w := newSteadyCluster(t, s[0], s[1], s[2])
				w.runUntilAccepted(t, c.limit, c.loss(w))
				w.finishAndCheckProgress()
				w.checkNoFailure(t)
			})
		}
	}
}

// TestOneWayPartitions checks that an epoch continues through one-way partitions in which the
// primary is still heard.
func TestOneWayPartitions(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 1, 1)
	p, o := w.primary(), w.witness()
	before := w.newestActiveRecord().Ballot
	w.partition(o, time.Minute, func(*simNode) bool { return true }, false)
	w.run(2 * time.Second)
	w.cutLinks = map[[2]string]bool{{p.config.Self, o.config.Self}: true}
	w.run(5 * time.Second)
	w.runUntilAccepted(t, 50*ms, p)
	if now := w.newestActiveRecord().Ballot; now != before {
		t.Errorf("epoch changed from %v to %v", before, now)
	}
	w.cutLinks = map[[2]string]bool{} // the primary is heard, but hears nobody
	for _, n := range w.nodes {
		w.cutLinks[[2]string{n.config.Self, p.config.Self}] = true
	}
	w.runUntilAccepted(t, 2*time.Second, w.backup())
	now := w.newestActiveRecord().Ballot
	w.run(5 * time.Second)
	if w.newestActiveRecord().Ballot != now {
		t.Errorf("epochs keep changing: %v, %v", now, w.newestActiveRecord().Ballot)
	}
	w.finishAndCheckProgress()
	w.checkNoFailure(t)
}

// TestMembershipChanges replaces and wipes members and enlarges the membership.
func TestMembershipChanges(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 1, 1)
	for _, n := range []*simNode{w.primary(), w.witness(), w.backup()} {
		w.wipe(n)
		n.removed = true
		r := w.add(true, false)
		w.start(r)
		w.run(4 * time.Second)
		if !r.machine.isMember() || len(w.newestActiveRecord().Members) != 3 {
			t.Fatalf("%s did not become a member: %+v", r.config.Self, w.newestActiveRecord())
		}
	}
	out := w.witness()
	w.kill(out, true)
	spare := w.add(true, false)
	w.start(spare)
	w.run(3 * time.Second)
	w.start(out) // its place is taken until another one becomes vacant
	w.run(time.Second)
	if spare.machine.Status().Role == "follower" || out.machine.Status().Role != "follower" {
		t.Fatalf("%+v, %+v", spare.machine.Status(), out.machine.Status())
	}
	w.kill(spare, true)
	w.run(3 * time.Second)
	if out.machine.Status().Role != "member" {
		t.Fatalf("not readmitted: %+v", out.machine.Status())
	}
	for range 3 {
		w.start(w.add(true, true))
	}
	w.run(2 * time.Second)
	if n := len(w.newestActiveRecord().Members); n != 6 {
		t.Fatalf("%d members after growth", n)
	}
	w.kill(spare, true)
	w.runUntilAccepted(t, 100*ms, out)
	w.checkNoFailure(t)
}

// TestFounding kills the founder, which may be a member, or all processes, at any moment of the
// founding.
func TestFounding(t *testing.T) {
	t.Parallel()
	for at := 500 * ms; at < 1100*ms; at += 3 * ms {
		w := newSimulation(uint64(at), 4, 1, 1)
		if at%2 == 0 { // the founder need not be a member
			w.nodes[0].config.Member, w.nodes[0].config.Genesis = false, false
		}
		for _, n := range w.nodes {
			w.start(n)
		}
		w.run(at)
		w.kill(w.nodes[0], false)
		if at%3 == 0 {
			for _, n := range w.nodes {
				w.kill(n, false)
			}
		}
		w.run(200 * ms)
		for _, n := range w.nodes {
			w.start(n)
		}
		w.runUntilAccepted(t, 2500*ms, w.nodes[1])
		w.finishAndCheckProgress()
		w.checkNoFailure(t)
		for _, n := range w.memberNodes() {
			if f := w.newestActiveRecord().ClusterID; n.machine.state.Record.ClusterID != f || !n.machine.isMember() {
				t.Fatalf("killed at %v: %s has cluster ID %d, want %d; member %v", at, n.config.Self,
					n.machine.state.Record.ClusterID, f, n.machine.isMember())
			}
		}
	}
}

// TestNoQuorum checks that nothing changes without a quorum, and that calls are served when it is
// back.
func TestNoQuorum(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 0, 1)
	p, b, o := w.primary(), w.backup(), w.witness()
	w.kill(b, true)
	w.kill(o, true)
	w.run(time.Second)
	put, get := w.put(p), w.call(p, true, Doc{})
	w.run(time.Second)
	for _, c := range []*operatorCall{put, get} {
		if c.answer == nil || c.answer.Result != ResultBusy || c.took > 900*ms {
			t.Errorf("%+v after %v", c.answer, c.took)
		}
	}
	w.start(o)
	w.runUntilAccepted(t, 2*time.Second, o)
	w.checkNoFailure(t)
}

// TestMessages encodes and decodes each message and a state.
func TestMessages(t *testing.T) {
	t.Parallel()
	for _, m := range Messages() {
		raw, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		back := reflect.New(reflect.TypeOf(m))
		err = cbor.Unmarshal(raw, back.Interface())
		if err != nil || !reflect.DeepEqual(back.Elem().Interface(), m) {
			t.Errorf("%T: %v, %+v", m, err, back.Elem())
		}
	}
	w := newSteadyCluster(t, 3, 1, 1)
	raw, err := cbor.Marshal(w.primary().machine.state)
	if err != nil {
		t.Fatal(err)
	}
	var d DurableState
	if err := cbor.Unmarshal(raw, &d); err != nil || !reflect.DeepEqual(d, w.primary().machine.state) {
		t.Errorf("state: %v, %+v", err, d)
	}
}

// TestWipedWitness lets one member miss an epoch and another one lose its disk, and with it the
// record of that epoch: these two may not serve. If the wiped member claims its former disk ID,
// that is detected. With fencing, which shows that the disk lacks what the member has vouched for,
// even this claim does no harm.
func TestWipedWitness(t *testing.T) {
	t.Parallel()
	for _, amnesia := range []struct{ claims, unfenced bool }{{false, false}, {true, false}, {true, true}} {
		w := newSteadyCluster(t, 3, 0, 1)
		w.reuseDiskID = amnesia.claims
		if amnesia.unfenced {
			w.setBug(BugNoFencing)
		}
		p, missed, forgot := w.primary(), w.backup(), w.witness()
		w.kill(missed, true)
		w.run(1200 * ms)
		w.runUntilAccepted(t, 100*ms, p)
		w.partition(p, 4*time.Second, func(*simNode) bool { return true }, true)
		w.start(missed)
		w.wipe(forgot)
		w.start(forgot)
		w.run(3 * time.Second)
		w.call(missed, true, Doc{})
		w.run(time.Second)
		if !amnesia.unfenced {
			w.finishAndCheckProgress()
		}
		if (w.failure != nil) != amnesia.unfenced {
			t.Errorf("%+v: %v", amnesia, w.failure)
		}
	}
}

// TestAllWritersLost stops all writers of an epoch right after they accepted a document that no
// other member has: the remaining majority may not serve. A candidate that uses any state
// (BugAnyState) is detected.
func TestAllWritersLost(t *testing.T) {
	t.Parallel()
	for _, bug := range []Bug{0, BugAnyState} {
		w := newSteadyCluster(t, 5, 0, 1)
		w.setBug(bug)
		p, b, o := w.primary(), w.backup(), w.witness()
		w.partition(p, 3*time.Second, func(n *simNode) bool { return n != b }, true)
		w.partition(b, 3*time.Second, func(n *simNode) bool { return n != p }, true)
		w.runUntilAccepted(t, 100*ms, p)
		w.kill(p, true)
		w.kill(b, true)
		w.run(2 * time.Second)
		w.call(o, true, Doc{})
		w.run(time.Second)
		if bug == 0 {
			w.finishAndCheckProgress()
		}
		if (w.failure != nil) != (bug != 0) {
			t.Errorf("bug %d: %v", bug, w.failure)
		}
	}
}
