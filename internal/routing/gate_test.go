package routing

import (
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
)

// fakeGate is a gate that a test opens and closes.
type fakeGate struct {
	version int64
	until   time.Duration
	soon    bool
}

func (d *fakeGate) Version(now func() time.Duration) (int64, bool, bool) {
	return d.version, now() < d.until, d.soon
}

func (w *testCore) expect(t *testing.T, want ...string) {
	t.Helper()
	if d := cmp.Diff(want, w.actions); d != "" {
		t.Fatal(d)
	}
}

func newGatedCore(t *testing.T, d *fakeGate) *testCore {
	w := newTestCore(t, testSet)
	if d.until > 0 { // relative to the test's clock
		d.until += w.clock
	}
	w.Core.deps.Gate, w.Core.deps.MaxGateWait = d, 100*time.Millisecond
	w.step(0)
	return w
}

// Without a lease a request is refused at once, and nothing is sent to the servers.
func TestRefusesWithoutLease(t *testing.T) {
	w := newGatedCore(t, &fakeGate{until: -1})
	w.Submit(w.request("read", time.Second))
	w.step(time.Millisecond)
	w.expect(t, "refused, after 1s, tried true")
}

// A lease that expires while the process is suspended must not be used: the clock is
// read after the request has arrived.
func TestExpiredLeaseIsNotUsed(t *testing.T) {
	d := &fakeGate{until: 50 * time.Millisecond}
	w := newGatedCore(t, d)
	w.clock += 60 * time.Millisecond // suspended
	w.Submit(w.request("read", time.Second))
	w.step(time.Millisecond)
	w.expect(t, "refused, after 1s, tried true")
}

// While the policy changes, a request waits and is decided by the new one. One that waits
// too long is refused, and one whose client has disconnected is dropped.
func TestRequestWaitsForPolicyChange(t *testing.T) {
	d := &fakeGate{until: time.Hour}
	w := newGatedCore(t, d)
	d.until, d.soon = -1, true
	waits, left := w.request("new", time.Second), w.request("new", time.Second)
	w.Submit(waits)
	w.Submit(left)
	w.step(30 * time.Millisecond)
	w.ClientGone(left)
	w.step(30 * time.Millisecond)
	w.expect(t)
	d.version, d.until, d.soon = 1, w.clock+time.Hour, false
	w.RecheckGate()
	w.step(time.Millisecond)
	w.expect(t) // the lease is valid, but the policy is not yet in the balancer
	set := testSet
	set.Classes = []choice.Class{{Name: "new", Target: 100 * time.Millisecond, Deadline: time.Second, Value: 1}}
	w.ApplyPolicy(1, set)
	w.step(time.Millisecond)
	w.expect(t, "send {1 0} to 7 with call in 939ms")
	w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "fine", nil)
	w.step(0)
	w.actions = nil
	d.until, d.soon = -1, true
	w.Submit(w.request("new", time.Second))
	w.step(99 * time.Millisecond)
	w.expect(t)
	w.step(3 * time.Millisecond)
	w.expect(t, "refused, after 1s, tried true")
}

// A request is resolved only once a policy is in force. If the policy doesn't allow it,
// the client gets the reason.
func TestResolveTermsByPolicyInForce(t *testing.T) {
	d := &fakeGate{until: -1, soon: true}
	w := newGatedCore(t, d)
	r, fits := w.request("read", time.Second), 0
	r.ResolveTerms = func() error { fits++; return errors.New("unknown class") }
	w.Submit(r)
	w.step(10 * time.Millisecond)
	if w.expect(t); fits != 0 {
		t.Error("a request was resolved by a policy that is not in force")
	}
	d.until = w.clock + time.Hour
	w.RecheckGate()
	w.step(time.Millisecond)
	w.expect(t, "unfit: unknown class")
}
