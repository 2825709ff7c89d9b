package consensus

import (
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// calm is a founded world that has taken one document.
func calm(t *testing.T, members, followers, losses int) *world {
	t.Helper()
	w := newWorld(uint64(members), members, followers, losses)
	w.startAll()
	w.run(2 * time.Second)
	if w.primary() == nil {
		t.Fatal("not founded within 2 s")
	}
	w.put(w.nodes[0])
	w.run(time.Second)
	w.sane(t)
	return w
}

func (w *world) sane(t *testing.T) {
	t.Helper()
	if w.broken != nil {
		t.Fatal(w.broken)
	}
}

// until runs until a call of some member succeeds, and says how long it took.
func (w *world) until(t *testing.T, limit time.Duration, n *node) {
	t.Helper()
	for end := w.now + limit; w.now < end; {
		o := w.put(n)
		w.run(50 * ms)
		if o.done != nil && o.done.Result == ResultAccepted {
			return
		}
	}
	t.Fatalf("nothing is taken after %v; %+v", limit, n.m.Status())
}

// backup is a writer that is not the primary, other a member that is no writer.
func (w *world) backup() *node { return w.byAddr[w.record().Writers[1]] }

func (w *world) other() *node {
	for _, n := range w.members() {
		if !slices.Contains(w.record().Writers, n.cfg.Self) {
			return n
		}
	}
	return nil
}

func TestCalm(t *testing.T) {
	t.Parallel()
	for _, s := range [][3]int{{3, 8, 1}, {6, 30, 2}, {8, 75, 2}} {
		w := calm(t, s[0], s[1], s[2])
		if n := len(w.record().Members); n != s[0] {
			t.Errorf("%d members in the set, not %d", n, s[0])
		}
		for _, n := range w.nodes {
			for _, read := range []bool{false, true} {
				o := w.call(n, read, Doc{Version: w.acked + 1, Body: []byte(n.cfg.Self)})
				w.run(40 * ms)
				if o.done == nil || o.done.Result == ResultBusy {
					t.Fatalf("%s read %v: not answered in 40 ms: %+v", n.cfg.Self, read, o.done)
				}
			}
			w.run(60 * ms)
			for _, n := range w.nodes {
				if h := n.m.Committed(); h.Version != w.acked {
					t.Fatalf("%s holds %d, not %d", n.cfg.Self, h.Version, w.acked)
				}
			}
		}
		before := w.sent
		w.run(10 * time.Second)
		if at := (w.sent - before) / 10; at > 10*s[0] {
			t.Errorf("%d messages a second at rest", at)
		}
		w.sane(t)
	}
}

// TestLosses has a time in which calls are taken again, after each kind of loss.
func TestLosses(t *testing.T) {
	t.Parallel()
	both := func(w *world, n *node) { w.part(n, time.Minute, func(*node) bool { return true }, true) }
	last := func(w *world) *node { return w.nodes[len(w.nodes)-1] }
	for name, c := range map[string]struct {
		limit time.Duration
		loss  func(w *world) *node // gives whom to ask
	}{
		"primary killed":  {1200 * ms, func(w *world) *node { w.kill(w.primary(), true); return last(w) }},
		"primary cut":     {1200 * ms, func(w *world) *node { b := w.backup(); both(w, w.primary()); return b }},
		"primary frozen":  {1200 * ms, func(w *world) *node { w.primary().frozen = time.Hour; return w.backup() }},
		"primary stalled": {1200 * ms, func(w *world) *node { w.primary().stalled = time.Hour; return last(w) }},
		"primary wiped": {1200 * ms, func(w *world) *node {
			p := w.primary()
			w.wipe(p)
			w.start(p)
			return last(w)
		}},
		"backup killed":  {800 * ms, func(w *world) *node { w.kill(w.backup(), true); return last(w) }},
		"backup stalled": {800 * ms, func(w *world) *node { w.backup().stalled = time.Hour; return last(w) }},
		"witness killed": {50 * ms, func(w *world) *node { w.kill(w.other(), true); return w.primary() }},
		"all killed": {1000 * ms, func(w *world) *node {
			for _, n := range w.members() {
				w.kill(n, true)
				w.start(n)
			}
			return last(w)
		}},
		"power lost": {1500 * ms, func(w *world) *node {
			for _, n := range w.nodes {
				w.kill(n, false)
			}
			w.run(3 * time.Second)
			w.startAll()
			w.run(300 * ms)
			return last(w)
		}},
	} {
		for _, s := range [][3]int{{3, 2, 1}, {6, 2, 2}} {
			t.Run(name, func(t *testing.T) {
				w := calm(t, s[0], s[1], s[2])
				w.until(t, c.limit, c.loss(w))
				w.settled()
				w.sane(t)
			})
		}
	}
}

// TestOneWay holds epochs through cuts that leave the primary heard.
func TestOneWay(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 1, 1)
	p, o := w.primary(), w.other()
	before := w.record().Ballot
	w.part(o, time.Minute, func(*node) bool { return true }, false)
	w.run(2 * time.Second)
	w.cut = map[[2]string]bool{{p.cfg.Self, o.cfg.Self}: true}
	w.run(5 * time.Second)
	w.until(t, 50*ms, p)
	if now := w.record().Ballot; now != before {
		t.Errorf("from epoch %v to %v", before, now)
	}
	w.cut = map[[2]string]bool{} // the primary is heard, and hears nobody
	for _, n := range w.nodes {
		w.cut[[2]string{n.cfg.Self, p.cfg.Self}] = true
	}
	w.until(t, 2*time.Second, w.backup())
	now := w.record().Ballot
	w.run(5 * time.Second)
	if w.record().Ballot != now {
		t.Errorf("epochs go on changing: %v, %v", now, w.record().Ballot)
	}
	w.settled()
	w.sane(t)
}

// TestSeats follows seats through replacing, wiping and growing.
func TestSeats(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 1, 1)
	for _, n := range []*node{w.primary(), w.other(), w.backup()} {
		w.wipe(n)
		n.gone = true
		r := w.add(true, false)
		w.start(r)
		w.run(4 * time.Second)
		if !r.m.isMember() || len(w.record().Members) != 3 {
			t.Fatalf("%s was not seated: %+v", r.cfg.Self, w.record())
		}
	}
	out := w.other()
	w.kill(out, true)
	spare := w.add(true, false)
	w.start(spare)
	w.run(3 * time.Second)
	w.start(out) // its seat is taken; another one becomes free
	w.run(time.Second)
	if spare.m.Status().Role == "follower" || out.m.Status().Role != "follower" {
		t.Fatalf("%+v, %+v", spare.m.Status(), out.m.Status())
	}
	w.kill(spare, true)
	w.run(3 * time.Second)
	if out.m.Status().Role != "member" {
		t.Fatalf("not readmitted: %+v", out.m.Status())
	}
	for range 3 {
		w.start(w.add(true, true))
	}
	w.run(2 * time.Second)
	if n := len(w.record().Members); n != 6 {
		t.Fatalf("%d members after growth", n)
	}
	w.kill(spare, true)
	w.until(t, 100*ms, out)
	w.sane(t)
}

// TestFounding loses the founder, a member or all of them at any moment of the founding.
func TestFounding(t *testing.T) {
	t.Parallel()
	for at := 500 * ms; at < 1100*ms; at += 3 * ms {
		w := newWorld(uint64(at), 4, 1, 1)
		if at%2 == 0 { // the founder need not be a member
			w.nodes[0].cfg.Member, w.nodes[0].cfg.Genesis = false, false
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
		w.until(t, 2500*ms, w.nodes[1])
		w.settled()
		w.sane(t)
		for _, n := range w.members() {
			if f := w.record().ClusterID; n.m.state.Record.ClusterID != f || !n.m.isMember() {
				t.Fatalf("killed at %v: %s has founding %d, not %d; seated %v", at, n.cfg.Self,
					n.m.state.Record.ClusterID, f, n.m.isMember())
			}
		}
	}
}

// TestTooFew changes nothing while too few are there, and goes on when they are back.
func TestTooFew(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 0, 1)
	p, b, o := w.primary(), w.backup(), w.other()
	w.kill(b, true)
	w.kill(o, true)
	w.run(time.Second)
	put, get := w.put(p), w.call(p, true, Doc{})
	w.run(time.Second)
	for _, c := range []*op{put, get} {
		if c.done == nil || c.done.Result != ResultBusy || c.took > 900*ms {
			t.Errorf("%+v after %v", c.done, c.took)
		}
	}
	w.start(o)
	w.until(t, 2*time.Second, o)
	w.sane(t)
}

// TestMessages carries each message over the wire's encoding.
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
	w := calm(t, 3, 1, 1)
	raw, err := cbor.Marshal(w.primary().m.state)
	if err != nil {
		t.Fatal(err)
	}
	var d DurableState
	if err := cbor.Unmarshal(raw, &d); err != nil || !reflect.DeepEqual(d, w.primary().m.state) {
		t.Errorf("disk: %v, %+v", err, d)
	}
}

// TestForgotten has one member miss an epoch, and another one lose its memory of it: the two
// may not serve. The mutant, in which the latter claims its seat, is caught; and with fencing in place, which shows that
// the disk lacks what the seat has vouched for, even that claim does no harm.
func TestForgotten(t *testing.T) {
	t.Parallel()
	for _, amnesia := range []struct{ claims, unfenced bool }{{false, false}, {true, false}, {true, true}} {
		w := calm(t, 3, 0, 1)
		w.amnesia = amnesia.claims
		if amnesia.unfenced {
			w.setBug(BugNoFencing)
		}
		p, missed, forgot := w.primary(), w.backup(), w.other()
		w.kill(missed, true)
		w.run(1200 * ms)
		w.until(t, 100*ms, p)
		w.part(p, 4*time.Second, func(*node) bool { return true }, true)
		w.start(missed)
		w.wipe(forgot)
		w.start(forgot)
		w.run(3 * time.Second)
		w.call(missed, true, Doc{})
		w.run(time.Second)
		if !amnesia.unfenced {
			w.settled()
		}
		if (w.broken != nil) != amnesia.unfenced {
			t.Errorf("amnesia %+v: %v", amnesia, w.broken)
		}
	}
}

// TestNoWriter has all writers of an epoch lost right after they took a document that nobody
// else saw: the majority that is left may not serve. The mutant that takes any data is caught.
func TestNoWriter(t *testing.T) {
	t.Parallel()
	for _, bug := range []Bug{0, BugAnyState} {
		w := calm(t, 5, 0, 1)
		w.setBug(bug)
		p, b, o := w.primary(), w.backup(), w.other()
		w.part(p, 3*time.Second, func(n *node) bool { return n != b }, true)
		w.part(b, 3*time.Second, func(n *node) bool { return n != p }, true)
		w.until(t, 100*ms, p)
		w.kill(p, true)
		w.kill(b, true)
		w.run(2 * time.Second)
		w.call(o, true, Doc{})
		w.run(time.Second)
		if bug == 0 {
			w.settled()
		}
		if (w.broken != nil) != (bug != 0) {
			t.Errorf("bug %d: %v", bug, w.broken)
		}
	}
}
