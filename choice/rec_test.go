package choice

import (
	"fmt"
	"testing"
	"time"
)

const msec = time.Millisecond

// recorder is a host that records the actions.
type recorder struct {
	log     []string
	sends   []sentAttempt
	refused map[uint32]time.Duration
	failed  map[uint32]bool
	cancels []sentAttempt
	probes  []uint32
	counts  []counterCall
	timers  []timerCall
}

type sentAttempt struct {
	id, to uint32
	try    int
}

type counterCall struct {
	name string
	add  float64
}

type timerCall struct {
	after time.Duration
	token string
}

func (r *recorder) note(format string, args ...any) {
	r.log = append(r.log, fmt.Sprintf(format, args...))
}

func (r *recorder) Send(id, to uint32, limit time.Duration) {
	r.note("send %d %d %v", id, to, limit)
	r.sends = append(r.sends, sentAttempt{id: id, to: to})
}

func (r *recorder) Refuse(id uint32, after time.Duration) {
	r.note("refuse %d %v", id, after)
	r.refused[id] = after
}

func (r *recorder) Fail(id uint32) { r.note("fail %d", id); r.failed[id] = true }

func (r *recorder) Cancel(id uint32, index int) {
	r.note("cancel %d %d", id, index)
	r.cancels = append(r.cancels, sentAttempt{id: id, try: index})
}

func (r *recorder) Probe(to uint32) { r.note("probe %d", to); r.probes = append(r.probes, to) }

func (r *recorder) AddToCounter(name string, add float64, life time.Duration) {
	r.note("count %s %v %v", name, add, life)
	r.counts = append(r.counts, counterCall{name, add})
}

func (r *recorder) SetTimer(after time.Duration, token string) {
	r.note("timer %v %s", after, token)
	r.timers = append(r.timers, timerCall{after, token})
}

func (r *recorder) Watch(on bool)   { r.note("watch %v", on) }
func (r *recorder) Log(text string) { r.note("log %s", text) }

func settings() Settings {
	return Settings{Gateways: 2, Zone: "a", Tick: 2 * msec, MaxAttempts: 3, Hedging: true, Cancels: true,
		RetryAfter: true, MaxRetryAfter: time.Second, Counter: true, CounterTimeout: 40 * msec, MaxUnits: 4,
		PostPaid: true, AnswerSlack: 10 * msec, DrainGrace: time.Second, ColdCapacity: 0.2, WarmupTime: 10 * time.Second,
		OverloadRatio: 2, OverloadTime: time.Second,
		Classes: []Class{
			{Name: "read", Target: 800 * msec, Deadline: 3 * time.Second, Value: 1, Effect: Retryable},
			{Name: "key", Target: 800 * msec, Deadline: 3 * time.Second, Value: 1, Effect: Keyed, Group: SameZone,
				KeyTTL: 500 * msec},
			{Name: "once", Target: 800 * msec, Deadline: 3 * time.Second, Value: 1, Effect: NonRetryable}},
		Plans: []Plan{
			{Name: "rated", Rate: 10, Burst: 10, ValueFactor: 1, OverrunCost: 1},
			{Name: "extra", Rate: 10, Burst: 10, ValueFactor: 1, ExcessWorth: 0.3},
			{Name: "open", MaxOut: 2, ValueFactor: 1, OverrunCost: 1},
			{Name: "capped", Rate: 10, Burst: 10, CeilingRate: 20, CeilingBurst: 20, CeilingSlack: 4, ValueFactor: 1,
				ExcessWorth: 0.3},
			{Name: "free", ValueFactor: 1}}}
}

// newTestBalancer returns a Balancer that knows four backends, two in each of zones a and b.
func newTestBalancer(t *testing.T, change func(*Settings)) (*Balancer, *recorder) {
	t.Helper()
	set, rec := settings(), &recorder{refused: map[uint32]time.Duration{}, failed: map[uint32]bool{}}
	if change != nil {
		change(&set)
	}
	b, err := New(set, 1, rec)
	if err != nil {
		t.Fatal(err)
	}
	b.HandleRoster(0, RosterUpdate{Whole: true, Members: []Member{{ID: 1, Zone: "a", Weight: 1}, {ID: 2, Zone: "a", Cell: 1, Weight: 1},
		{ID: 3, Zone: "b", Cell: 2, Weight: 1}, {ID: 4, Zone: "b", Cell: 3, Weight: 1}}})
	return b, rec
}

func newRequest(id uint32, class, plan string, now time.Duration) Request {
	return Request{ID: id, Class: class, Plan: plan, Customer: "c", Deadline: now + 3*time.Second, Units: 1, Gateways: 1}
}

// end finishes the last attempt with a status.
func (r *recorder) end(b *Balancer, now time.Duration, try int, s Status) {
	last := r.sends[len(r.sends)-1]
	b.HandleOutcome(now, Outcome{ID: last.id, Attempt: try, Backend: last.to, Status: s, Elapsed: 50 * msec, Final: s == OK})
}
