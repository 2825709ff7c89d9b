package consensus

import (
	"testing"
	"time"
)

// nameless is a message as the version before sends and reads it, which knows packed documents but no named ones.
func nameless(msg any) any {
	if t, ok := msg.(Prepare); ok {
		t.OmitBodies, t.WantedBodies, t.CommittedVersion = false, nil, 0
		return t
	}
	return msg
}

// lagging is a core that has taken a change of one route in 160 kB which its last witness has not heard of, the moment
// after its primary is killed, and where that witness is the next to try.
func lagging(t *testing.T, members, losses int) (w *world, c *node) {
	w = newWorld(uint64(members), members, 0, losses)
	w.startAll()
	w.run(2 * time.Second)
	w.change(t, routes(11, 0))
	c = w.other()
	w.part(c, 300*ms, func(*node) bool { return true }, true)
	w.part(w.primary(), 300*ms, func(n *node) bool { return n == c }, true)
	o := w.call(w.primary(), false, routes(12, 7))
	w.run(200 * ms)
	if o.done == nil || o.done.Result != ResultAccepted || c.m.Committed().Version != 11 {
		t.Fatalf("%+v, %d is held", o.done, c.m.Committed().Version)
	}
	w.kill(w.primary(), true)
	w.cut = map[[2]string]bool{}
	for _, n := range w.nodes {
		n.m.primaryHeardAt, n.m.primaryHeardFrom = w.now+5*time.Second, ""
	}
	c.m.primaryHeardAt = w.now - 2*primaryTimeout
	return w, c
}

// docBytes are those that a message's documents take.
func docBytes(msg any) (n int) {
	mapDocs(msg, func(d Doc) Doc {
		if n += len(d.Body); d.Packed != nil {
			n += len(d.Packed.Ops)
		}
		return d
	})
	return n
}

// TestNamed: a witness that lacks the newest text takes over: promises name it, it comes once, as a difference, and the
// backup, which has it, is not sent it.
func TestNamed(t *testing.T) {
	w, c := lagging(t, 3, 1)
	wants, promised, copied := 0, 0, 0
	w.seen = func(to string, msg any) {
		switch p := msg.(type) {
		case Prepare:
			wants += len(p.WantedBodies)
		case Promise:
			promised += docBytes(p)
		case InstallState:
			copied += docBytes(p)
		}
	}
	w.run(700 * ms)
	if w.primary() != c || c.m.Committed().Version != 12 || wants != 1 || promised == 0 || promised > 500 || copied == 0 || copied > 100 {
		t.Errorf("%+v: asked for %d texts, %d bytes promised, %d copied", c.m.Status(), wants, promised, copied)
	}
	w.settled()
	w.sane(t)
}

// TestNamedGone: who has named the text goes before it gives it. The candidate stands back, and asks the next one where
// there is one; the mutant that goes on with its own is caught.
func TestNamedGone(t *testing.T) {
	for _, s := range []struct {
		members, losses int
		bug             Bug
	}{{3, 1, 0}, {5, 2, 0}, {3, 1, BugOwnBody}} {
		w, c := lagging(t, s.members, s.losses)
		w.setBug(s.bug)
		asked := map[string]bool{}
		w.seen = func(to string, msg any) {
			if p, ok := msg.(Prepare); ok && len(p.WantedBodies) > 0 {
				if len(asked) == 0 {
					w.kill(w.byAddr[to], true)
				}
				asked[to] = true
			}
		}
		w.run(time.Duration(s.losses) * 900 * ms) // of five, the writer that is gone is waited for
		switch {
		case s.bug != 0:
		case s.members == 3 && (w.primary() != nil || len(asked) != 1):
			t.Errorf("%d of 3: serves, or asked %v", s.losses, asked)
		case s.members == 5 && (w.primary() == nil || c.m.Committed().Version != 12 || len(asked) != 2):
			t.Errorf("%d of 5: %+v, asked %v", s.losses, c.m.Status(), asked)
		}
		w.call(c, true, Doc{})
		w.run(time.Second)
		if s.bug == 0 {
			w.settled()
		}
		if (w.broken != nil) != (s.bug != 0) {
			t.Errorf("%+v: %v", s, w.broken)
		}
	}
}

// TestNamedBefore: with the version before on one side of a takeover, texts go whole and all goes on.
func TestNamedBefore(t *testing.T) {
	for i := range 3 {
		w := newWorld(uint64(i), 3, 1, 1)
		w.old, w.was = w.nodes[i].cfg.Self, nameless
		w.startAll()
		w.run(2500 * ms)
		version := 11
		for range 3 {
			w.change(t, routes(version, 0))
			w.kill(w.primary(), true)
			w.run(2500 * ms)
			w.change(t, routes(version+1, 7))
			w.settled()
			version = int(w.acked) + 1
		}
		w.sane(t)
	}
}
