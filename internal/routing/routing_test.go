package routing

import (
	"container/heap"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/choice"
	"asterwell/internal/hostenv"
)

// testCore is a core with a simulated clock that records its actions and answers.
type testCore struct {
	*Core
	clock   time.Duration
	actions []string
}

func (w *testCore) record(format string, args ...any) {
	w.actions = append(w.actions, fmt.Sprintf(format, args...))
}

func (w *testCore) Update(DiscoveryUpdate) {}
func (w *testCore) Send(s uint32, a Attempt, call any, left time.Duration) {
	w.record("send %v to %d with %v in %v", a, s, call, left)
}
func (w *testCore) Probe(s uint32, a Attempt, _ time.Duration)     { w.record("probe %v to %d", a, s) }
func (w *testCore) Cancel(s uint32, a Attempt)                     { w.record("cancel %v to %d", a, s) }
func (w *testCore) Add(name string, n float64, life time.Duration) { w.record("add %s %v", name, n) }
func (w *testCore) Watch(on bool)                                  { w.record("watch %v", on) }

type reply struct{ w *testCore }

func (r reply) Served(answer any) { r.w.record("served %v", answer) }
func (r reply) Refused(after time.Duration, verdict Verdict) {
	r.w.record("refused, after %v, tried %v", after, verdict != NotAttempted)
}
func (r reply) Failed(timedOut bool) { r.w.record("failed, timed out %v", timedOut) }
func (r reply) Disallowed(err error) { r.w.record("unfit: %v", err) }

var testSet = choice.Settings{Gateways: 1, MaxAttempts: 5, Cancels: true, RetryAfter: true, Tick: time.Millisecond,
	Classes: []choice.Class{
		{Name: "read", Target: 4 * time.Second, Deadline: 9 * time.Second, Value: 1},
		{Name: "submit", Target: 4 * time.Second, Deadline: 9 * time.Second, Value: 3, Effect: choice.NonRetryable}},
	Plans: []choice.Plan{{Name: "plan", Rate: 100, Burst: 100, ValueFactor: 1, OverrunCost: 1}}}

func newTestCore(t *testing.T, set choice.Settings) *testCore {
	t.Helper()
	w := &testCore{clock: 1000 * time.Second}
	var err error
	w.Core, err = New(set, 1, func() time.Duration { return w.clock }, Dependencies{Fleet: w, Counter: w, Watcher: w})
	if err != nil {
		t.Fatal(err)
	}
	w.HandleDiscovery(DiscoveryUpdate{Whole: true, Members: []Member{{Member: choice.Member{ID: 7, Weight: 1}}}})
	return w
}

func (w *testCore) request(class string, patience time.Duration) *Request {
	return &Request{Class: class, Plan: "plan", Customer: "c", Deadline: w.clock + patience, Units: 1, Gateways: 1,
		Call: "call", Reply: reply{w}}
}

// step advances the clock and runs everything that is due.
func (w *testCore) step(d time.Duration) {
	for end := w.clock + d; ; {
		w.runOnce(0)
		next := end
		if len(w.timers) > 0 {
			next = min(next, w.timers[0].at)
		}
		if w.clock = max(w.clock, next); w.clock >= end {
			w.runOnce(0)
			return
		}
	}
}

func TestOneAnswerForEachRequest(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		play  func(w *testCore, r *Request)
		want  []string
	}{
		"served": {"submit", func(w *testCore, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "fine", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "served fine"}},
		"a second end of an attempt is ignored": {"submit", func(w *testCore, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "fine", nil)
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "again", nil)
			w.AttemptEnded(7, Attempt{1, 5}, choice.OK, "odd", nil)
			w.AttemptEnded(7, Attempt{9, 0}, choice.OK, "odd", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "served fine"}},
		"a connection reset fails a non-retryable request": {"submit", func(w *testCore, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.Reset, nil, nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "failed, timed out false"}},
		"a request that never ran is retried": {"submit", func(w *testCore, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.ConnectFailed, nil, nil)
			w.step(time.Second)
			w.AttemptEnded(7, Attempt{1, 1}, choice.OK, "fine", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "send {1 1} to 7 with call in 5s", "served fine"}},
		"shutdown: a request that may have run fails": {"submit", func(w *testCore, r *Request) {
			w.AnswerOpen()
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "cancel {1 0} to 7", "failed, timed out false"}},
		"shutdown: an attempted read may be retried": {"read", func(w *testCore, r *Request) {
			w.AnswerOpen()
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "late", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "cancel {1 0} to 7", "refused, after 500ms, tried true"}},
		"a silent server: the client gets its answer in time, and a late response is ignored": {"submit", func(w *testCore, r *Request) {
			w.step(20 * time.Second)
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "late", nil)
			w.step(time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "cancel {1 0} to 7", "failed, timed out true"}},
		"a client that disconnects gets no answer": {"submit", func(w *testCore, r *Request) {
			w.ClientGone(r)
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "late", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "cancel {1 0} to 7"}},
		"a client that disconnects after its answer": {"submit", func(w *testCore, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "fine", nil)
			w.ClientGone(r)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "served fine"}},
		"unknown class": {"odd", func(w *testCore, r *Request) { w.step(time.Second) }, []string{"refused, after 0s, tried false"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestCore(t, testSet)
			r := w.request(c.class, 5*time.Second)
			w.Submit(r)
			w.step(0)
			c.play(w, r)
			if d := cmp.Diff(c.want, w.actions); d != "" {
				t.Error(d)
			}
			if len(w.requests) != 0 {
				t.Errorf("%d requests are still open", len(w.requests))
			}
		})
	}
}

// Where attempts can't be cancelled, a pending attempt of a finished request must end
// by the client's deadline at the latest.
func TestAttemptEndsWithoutCancel(t *testing.T) {
	set := testSet
	set.Cancels = false
	w := newTestCore(t, set)
	w.Submit(w.request("submit", 5*time.Second))
	w.step(20 * time.Second)
	want := []string{"send {1 0} to 7 with call in 5s", "failed, timed out true", "cancel {1 0} to 7"}
	if d := cmp.Diff(want, w.actions); d != "" || len(w.requests) != 0 {
		t.Error(d, len(w.requests))
	}
}

// No attempt may be sent for a finished request: it would run for nobody.
func TestNothingIsSentForFinishedRequest(t *testing.T) {
	w := newTestCore(t, testSet)
	w.Submit(w.request("read", 5*time.Second))
	w.step(0)
	w.actions = nil
	w.requests[1].answered = true
	(*actions)(w.Core).Send(1, 7, 0)
	want := []choice.Outcome{{ID: 1, Attempt: 1, Backend: 7, Status: choice.NotExecuted, Final: true}}
	if d := cmp.Diff(want, w.pendingOutcomes); d != "" || len(w.actions) != 0 {
		t.Error(d, w.actions)
	}
}

func TestProbeEndsOnce(t *testing.T) {
	set := testSet
	set.Probes, set.ConnectTimeout = true, 250*time.Millisecond
	w := newTestCore(t, set)
	w.step(0)
	(*actions)(w.Core).Probe(7)
	w.step(time.Second)
	w.ProbeEnded(7, Attempt{0, 1}, choice.OK, nil)
	w.step(0)
	if d := cmp.Diff([]string{"probe {0 1} to 7", "cancel {0 1} to 7"}, w.actions); d != "" || len(w.probes) != 0 {
		t.Error(d, w.probes)
	}
}

// While discovery is down, the saved list makes a gateway ready after savedListDelay.
func TestReadyWithoutDiscovery(t *testing.T) {
	w := newTestCore(t, testSet)
	w.inbox.Take(0)
	w.HandleDiscovery(DiscoveryUpdate{Whole: true, Saved: true, Members: []Member{{Member: choice.Member{ID: 7}}}})
	for _, want := range []int{0, 1} {
		ask := &statsRequest{bell: hostenv.Real.NewNotifier()}
		w.inbox.Put(ask)
		w.step(0)
		if got := ask.stats.Ready; got != want {
			t.Errorf("ready %d, want %d", got, want)
		}
		w.step(savedListDelay)
	}
}

// With only a saved list, the gateway is not ready until discovery has answered.
func TestReadyOnceDiscoveryAnswers(t *testing.T) {
	w := newTestCore(t, testSet)
	up := []Member{{Member: choice.Member{ID: 7}}}
	for i, c := range []struct {
		news DiscoveryUpdate
		want int
	}{
		{DiscoveryUpdate{Whole: true, Saved: true, Members: up}, 0},
		{DiscoveryUpdate{Broken: true}, 0},
		{DiscoveryUpdate{Whole: true, Members: up}, 1},
		{DiscoveryUpdate{Members: []Member{{Member: choice.Member{ID: 8}}}}, 2},
		{DiscoveryUpdate{Broken: true}, 2},
		{DiscoveryUpdate{Members: []Member{{Member: choice.Member{ID: 7, State: choice.Draining}}}}, 1},
		{DiscoveryUpdate{Whole: true}, 0},
	} {

		if i == 0 {
			w.inbox.Take(0) // the list of newTestCore
		}
		w.HandleDiscovery(c.news)
		ask := &statsRequest{bell: hostenv.Real.NewNotifier()}
		w.inbox.Put(ask)
		w.step(0)
		if got := ask.stats.Ready; got != c.want {
			t.Errorf("news %d: ready %d, want %d", i, got, c.want)
		}
	}
}

func TestTimersOfSameTimeKeepTheirOrder(t *testing.T) {
	w := newTestCore(t, testSet)
	w.timers = nil
	for i := range 20 {
		w.schedule(time.Duration(i%3)*time.Second, timer{kind: probeTimer, id: uint32(i)})
	}
	var got []uint32
	for len(w.timers) > 0 {
		got = append(got, w.timers[0].id)
		w.clock = w.timers[0].at
		heap.Pop(&w.timers)
	}
	want := []uint32{0, 3, 6, 9, 12, 15, 18, 1, 4, 7, 10, 13, 16, 19, 2, 5, 8, 11, 14, 17}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
