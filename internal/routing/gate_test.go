package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
)

// door is a gate that a test opens and closes.
type door struct {
	version int64
	until   time.Duration
	soon    bool
}

func (d *door) Version(now func() time.Duration) (int64, bool, bool) {
	return d.version, now() < d.until, d.soon
}

func (w *world) expect(t *testing.T, want ...string) {
	t.Helper()
	if d := cmp.Diff(want, w.did); d != "" {
		t.Fatal(d)
	}
}

func gated(t *testing.T, d *door) *world {
	w := newWorld(t, testSet)
	if d.until > 0 { // as of the world's clock
		d.until += w.at
	}
	w.Core.hands.Gate, w.Core.hands.MaxGateWait = d, 100*time.Millisecond
	w.step(0)
	return w
}

// Without a lease a request is refused at once, and the servers hear nothing.
func TestNoLease(t *testing.T) {
	w := gated(t, &door{until: -1})
	w.Submit(w.request("read", time.Second))
	w.step(time.Millisecond)
	w.expect(t, "refused, after 1s, tried true")
}

// A lease that runs out while the process stands still is not decided by: the clock
// is read after the request has come.
func TestLeaseRunsOut(t *testing.T) {
	d := &door{until: 50 * time.Millisecond}
	w := gated(t, d)
	w.at += 60 * time.Millisecond // stopped in between
	w.Submit(w.request("read", time.Second))
	w.step(time.Millisecond)
	w.expect(t, "refused, after 1s, tried true")
}

// In a turn a request waits, and is decided by what comes; one that waits too long
// is refused, and one whose client has left is forgotten.
func TestTurnIsWaitedFor(t *testing.T) {
	d := &door{until: time.Hour}
	w := gated(t, d)
	d.until, d.soon = -1, true
	waits, left := w.request("new", time.Second), w.request("new", time.Second)
	w.Submit(waits)
	w.Submit(left)
	w.step(30 * time.Millisecond)
	w.ClientGone(left)
	w.step(30 * time.Millisecond)
	w.expect(t)
	d.version, d.until, d.soon = 1, w.at+time.Hour, false
	w.RecheckGate()
	w.step(time.Millisecond)
	w.expect(t) // the lease is there, the policy not yet in the module
	set := testSet
	set.Classes = []choice.Class{{Name: "new", Target: 100 * time.Millisecond, Deadline: time.Second, Value: 1}}
	w.ApplyPolicy(1, set)
	w.step(time.Millisecond)
	w.expect(t, "send {1 0} to 7 with call in 939ms")
	w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "fine", nil)
	w.step(0)
	w.did = nil
	d.until, d.soon = -1, true
	w.Submit(w.request("new", time.Second))
	w.step(99 * time.Millisecond)
	w.expect(t)
	w.step(3 * time.Millisecond)
	w.expect(t, "refused, after 1s, tried true")
}

// What the policy in force does not allow is told only once that is known, and counts
// as decided by it.
func TestFit(t *testing.T) {
	d := &door{until: -1, soon: true}
	w := gated(t, d)
	r, fits := w.request("read", time.Second), 0
	r.ResolveTerms = func() error { fits++; return errors.New("unknown class") }
	w.Submit(r)
	w.step(10 * time.Millisecond)
	if w.expect(t); fits != 0 {
		t.Error("a request is fitted to a policy that is not in force")
	}
	d.until = w.at + time.Hour
	w.RecheckGate()
	w.step(time.Millisecond)
	w.expect(t, "unfit: unknown class")
}
