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

// world is a core with a clock of its own, and what it did and answered.
type world struct {
	*Core
	at  time.Duration
	did []string
}

func (w *world) note(format string, args ...any) { w.did = append(w.did, fmt.Sprintf(format, args...)) }

func (w *world) Update(DiscoveryUpdate) {}
func (w *world) Send(s uint32, a Attempt, call any, left time.Duration) {
	w.note("send %v to %d with %v in %v", a, s, call, left)
}
func (w *world) Probe(s uint32, a Attempt, _ time.Duration)     { w.note("probe %v to %d", a, s) }
func (w *world) Cancel(s uint32, a Attempt)                     { w.note("cancel %v to %d", a, s) }
func (w *world) Add(name string, n float64, life time.Duration) { w.note("add %s %v", name, n) }
func (w *world) Watch(on bool)                                  { w.note("watch %v", on) }

type reply struct{ w *world }

func (r reply) Served(answer any) { r.w.note("served %v", answer) }
func (r reply) Refused(after time.Duration, verdict Verdict) {
	r.w.note("refused, after %v, tried %v", after, verdict != NotAttempted)
}
func (r reply) Failed(timedOut bool) { r.w.note("failed, timed out %v", timedOut) }
func (r reply) Disallowed(err error) { r.w.note("unfit: %v", err) }

var testSet = choice.Settings{Gateways: 1, MaxAttempts: 5, Cancels: true, RetryAfter: true, Tick: time.Millisecond,
	Classes: []choice.Class{
		{Name: "read", Target: 4 * time.Second, Deadline: 9 * time.Second, Value: 1},
		{Name: "submit", Target: 4 * time.Second, Deadline: 9 * time.Second, Value: 3, Effect: choice.NonRetryable}},
	Plans: []choice.Plan{{Name: "plan", Rate: 100, Burst: 100, ValueFactor: 1, OverrunCost: 1}}}

func newWorld(t *testing.T, set choice.Settings) *world {
	t.Helper()
	w := &world{at: 1000 * time.Second}
	var err error
	w.Core, err = New(set, 1, func() time.Duration { return w.at }, Dependencies{Fleet: w, Counter: w, Watcher: w})
	if err != nil {
		t.Fatal(err)
	}
	w.HandleDiscovery(DiscoveryUpdate{Whole: true, Members: []Member{{Member: choice.Member{ID: 7, Weight: 1}}}})
	return w
}

func (w *world) request(class string, patience time.Duration) *Request {
	return &Request{Class: class, Plan: "plan", Customer: "c", Deadline: w.at + patience, Units: 1, Gateways: 1,
		Call: "call", Reply: reply{w}}
}

// step lets time pass and the core do what is due.
func (w *world) step(d time.Duration) {
	for end := w.at + d; ; {
		w.turn(0)
		next := end
		if len(w.timers) > 0 {
			next = min(next, w.timers[0].at)
		}
		if w.at = max(w.at, next); w.at >= end {
			w.turn(0)
			return
		}
	}
}

func TestOneAnswerForEachRequest(t *testing.T) {
	for name, c := range map[string]struct {
		class string
		play  func(w *world, r *Request)
		want  []string
	}{
		"served": {"submit", func(w *world, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "fine", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "served fine"}},
		"a second end of the attempt is dropped": {"submit", func(w *world, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "fine", nil)
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "again", nil)
			w.AttemptEnded(7, Attempt{1, 5}, choice.OK, "odd", nil)
			w.AttemptEnded(7, Attempt{9, 0}, choice.OK, "odd", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "served fine"}},
		"a reset submission is failed": {"submit", func(w *world, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.Reset, nil, nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "failed, timed out false"}},
		"one that never ran goes out again": {"submit", func(w *world, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.ConnectFailed, nil, nil)
			w.step(time.Second)
			w.AttemptEnded(7, Attempt{1, 1}, choice.OK, "fine", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "send {1 1} to 7 with call in 5s", "served fine"}},
		"an end of the process: what may have run gets no promise": {"submit", func(w *world, r *Request) {
			w.AnswerOpen()
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "cancel {1 0} to 7", "failed, timed out false"}},
		"an end of the process: a read was tried, and may be repeated": {"read", func(w *world, r *Request) {
			w.AnswerOpen()
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "late", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "cancel {1 0} to 7", "refused, after 500ms, tried true"}},
		"silence is answered in time, and what comes late is dropped": {"submit", func(w *world, r *Request) {
			w.step(20 * time.Second)
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "late", nil)
			w.step(time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "cancel {1 0} to 7", "failed, timed out true"}},
		"a client that leaves is not answered": {"submit", func(w *world, r *Request) {
			w.ClientGone(r)
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "late", nil)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "cancel {1 0} to 7"}},
		"a client that leaves after its answer": {"submit", func(w *world, r *Request) {
			w.AttemptEnded(7, Attempt{1, 0}, choice.OK, "fine", nil)
			w.ClientGone(r)
			w.step(20 * time.Second)
		}, []string{"send {1 0} to 7 with call in 5s", "served fine"}},
		"unknown class": {"odd", func(w *world, r *Request) { w.step(time.Second) }, []string{"refused, after 0s, tried false"}},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, testSet)
			r := w.request(c.class, 5*time.Second)
			w.Submit(r)
			w.step(0)
			c.play(w, r)
			if d := cmp.Diff(c.want, w.did); d != "" {
				t.Error(d)
			}
			if len(w.open) != 0 {
				t.Errorf("%d requests are still open", len(w.open))
			}
		})
	}
}

// Where attempts can't be cancelled, one that is out after its request's end
// must still end, by the client's deadline at the latest.
func TestAttemptEndsWithoutCancel(t *testing.T) {
	set := testSet
	set.Cancels = false
	w := newWorld(t, set)
	w.Submit(w.request("submit", 5*time.Second))
	w.step(20 * time.Second)
	want := []string{"send {1 0} to 7 with call in 5s", "failed, timed out true", "cancel {1 0} to 7"}
	if d := cmp.Diff(want, w.did); d != "" || len(w.open) != 0 {
		t.Error(d, len(w.open))
	}
}

// An attempt for a request that is over must not go out: it would run for nobody.
func TestNothingIsSentAfterTheEnd(t *testing.T) {
	w := newWorld(t, testSet)
	w.Submit(w.request("read", 5*time.Second))
	w.step(0)
	w.did = nil
	w.open[1].answered = true
	(*actions)(w.Core).Send(1, 7, 0)
	want := []choice.Outcome{{ID: 1, Attempt: 1, Backend: 7, Status: choice.NotExecuted, Final: true}}
	if d := cmp.Diff(want, w.later); d != "" || len(w.did) != 0 {
		t.Error(d, w.did)
	}
}

func TestProbeEndsOnce(t *testing.T) {
	set := testSet
	set.Probes, set.ConnectTimeout = true, 250*time.Millisecond
	w := newWorld(t, set)
	w.step(0)
	(*actions)(w.Core).Probe(7)
	w.step(time.Second)
	w.ProbeEnded(7, Attempt{0, 1}, choice.OK, nil)
	w.step(0)
	if d := cmp.Diff([]string{"probe {0 1} to 7", "cancel {0 1} to 7"}, w.did); d != "" || len(w.probes) != 0 {
		t.Error(d, w.probes)
	}
}

// While discovery is down, the saved list makes a gateway ready all the same.
func TestReadyWithoutDiscovery(t *testing.T) {
	w := newWorld(t, testSet)
	w.box.Take(0)
	w.HandleDiscovery(DiscoveryUpdate{Whole: true, Saved: true, Members: []Member{{Member: choice.Member{ID: 7}}}})
	for _, want := range []int{0, 1} {
		ask := &asked{bell: hostenv.Real.NewNotifier()}
		w.box.Put(ask)
		w.step(0)
		if got := ask.stats.Ready; got != want {
			t.Errorf("ready %d, want %d", got, want)
		}
		w.step(savedAfter)
	}
}

// Until discovery has spoken the list is a saved one: the gateway is not ready.
func TestReadyOnceTold(t *testing.T) {
	w := newWorld(t, testSet)
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
			w.box.Take(0) // the list that newWorld gave
		}
		w.HandleDiscovery(c.news)
		ask := &asked{bell: hostenv.Real.NewNotifier()}
		w.box.Put(ask)
		w.step(0)
		if got := ask.stats.Ready; got != c.want {
			t.Errorf("news %d: ready %d, want %d", i, got, c.want)
		}
	}
}

func TestTimersOfOneMomentKeepTheirOrder(t *testing.T) {
	w := newWorld(t, testSet)
	w.timers = nil
	for i := range 20 {
		w.after(time.Duration(i%3)*time.Second, timer{kind: probeTimer, id: uint32(i)})
	}
	var got []uint32
	for len(w.timers) > 0 {
		got = append(got, w.timers[0].id)
		w.at = w.timers[0].at
		heap.Pop(&w.timers)
	}
	want := []uint32{0, 3, 6, 9, 12, 15, 18, 1, 4, 7, 10, 13, 16, 19, 2, 5, 8, 11, 14, 17}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
}
