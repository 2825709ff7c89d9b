package consensus

import (
	"testing"
	"time"
)

// withoutBodyRefs changes a message to what the previous release sends and reads: it knows packed
// documents, but no promises without bodies.
func withoutBodyRefs(msg any) any {
	if t, ok := msg.(Prepare); ok {
		t.OmitBodies, t.WantedBodies, t.CommittedVersion = false, nil, 0
		return t
	}
	return msg
}

// newLaggingCluster returns a cluster that has accepted a change of one route in 160 kB, of which
// the last witness has not heard. The primary has just been killed, and that witness is the next
// candidate.
func newLaggingCluster(t *testing.T, members, losses int) (w *simulation, c *simNode) {
	w = newSimulation(uint64(members), members, 0, losses)
	w.startAll()
	w.run(2 * time.Second)
	w.putAndCheck(t, docWithRoutes(11, 0))
	c = w.witness()
	w.partition(c, 300*ms, func(*simNode) bool { return true }, true)
	w.partition(w.primary(), 300*ms, func(n *simNode) bool { return n == c }, true)
	o := w.call(w.primary(), false, docWithRoutes(12, 7))
	w.run(200 * ms)
	if o.answer == nil || o.answer.Result != ResultAccepted || c.machine.Committed().Version != 11 {
		t.Fatalf("%+v, version %d is committed", o.answer, c.machine.Committed().Version)
	}
	w.kill(w.primary(), true)
	w.cutLinks = map[[2]string]bool{}
	for _, n := range w.nodes {
		n.machine.primaryHeardAt, n.machine.primaryHeardFrom = w.now+5*time.Second, ""
	}
	c.machine.primaryHeardAt = w.now - 2*primaryTimeout
	return w, c
}

// docBytes returns the size of a message's documents.
func docBytes(msg any) (n int) {
	mapDocs(msg, func(d Doc) Doc {
		if n += len(d.Body); d.Packed != nil {
			n += len(d.Packed.Ops)
		}
		return d
	})
	return n
}

// TestPromiseOmitsBodies lets a witness take over that lacks the newest body. Promises refer to the
// body, it is sent once as a delta, and it is not sent to the backup, which has it.
func TestPromiseOmitsBodies(t *testing.T) {
	w, c := newLaggingCluster(t, 3, 1)
	wants, promised, copied := 0, 0, 0
	w.onSend = func(to string, msg any) {
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
	if w.primary() != c || c.machine.Committed().Version != 12 || wants != 1 || promised == 0 || promised > 500 ||
		copied == 0 || copied > 100 {
		t.Errorf("%+v: %d bodies requested, %d bytes in promises, %d bytes installed", c.machine.Status(), wants,
			promised, copied)
	}
	w.finishAndCheckProgress()
	w.checkNoFailure(t)
}

// TestBodyHolderFails stops a member that has referred to a body before it sends it. The candidate
// gives up, or requests the body from the next member if there is one. A candidate that goes on
// with its own state (BugOwnBody) is detected.
func TestBodyHolderFails(t *testing.T) {
	for _, s := range []struct {
		members, losses int
		bug             Bug
	}{{3, 1, 0}, {5, 2, 0}, {3, 1, BugOwnBody}} {
		w, c := newLaggingCluster(t, s.members, s.losses)
		w.setBug(s.bug)
		asked := map[string]bool{}
		w.onSend = func(to string, msg any) {
			if p, ok := msg.(Prepare); ok && len(p.WantedBodies) > 0 {
				if len(asked) == 0 {
					w.kill(w.byAddr[to], true)
				}
				asked[to] = true
			}
		}
		w.run(time.Duration(s.losses) * 900 * ms) // with five members, the stopped writer is waited for
		switch {
		case s.bug != 0:
		case s.members == 3 && (w.primary() != nil || len(asked) != 1):
			t.Errorf("%d of 3: a primary serves, or requests went to %v", s.losses, asked)
		case s.members == 5 && (w.primary() == nil || c.machine.Committed().Version != 12 || len(asked) != 2):
			t.Errorf("%d of 5: %+v, requests went to %v", s.losses, c.machine.Status(), asked)
		}
		w.call(c, true, Doc{})
		w.run(time.Second)
		if s.bug == 0 {
			w.finishAndCheckProgress()
		}
		if (w.failure != nil) != (s.bug != 0) {
			t.Errorf("%+v: %v", s, w.failure)
		}
	}
}

// TestPromisesOfPreviousRelease runs a takeover with one member of the previous release: bodies are
// sent whole, and calls are served.
func TestPromisesOfPreviousRelease(t *testing.T) {
	for i := range 3 {
		w := newSimulation(uint64(i), 3, 1, 1)
		w.olderNode, w.olderMessage = w.nodes[i].config.Self, withoutBodyRefs
		w.startAll()
		w.run(2500 * ms)
		version := 11
		for range 3 {
			w.putAndCheck(t, docWithRoutes(version, 0))
			w.kill(w.primary(), true)
			w.run(2500 * ms)
			w.putAndCheck(t, docWithRoutes(version+1, 7))
			w.finishAndCheckProgress()
			version = int(w.highestAcked) + 1
		}
		w.checkNoFailure(t)
	}
}
