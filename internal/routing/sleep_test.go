package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	diff "github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"asterwell/choice"
)

// scenario is a test core whose servers and counter answer pseudo-randomly by a seed.
type scenario struct {
	testCore
	seed        uint64
	neverSleeps bool // runs each timer at its time, like a core that never sleeps
	events      []event
	wakeups     int
	total       float64
	adds        uint64
}

type event struct {
	at time.Duration
	do func()
}

func (p *scenario) in(d time.Duration, do func()) {
	p.events = append(p.events, event{p.clock + d, do})
	slices.SortStableFunc(p.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
}

// draw depends only on the seed and its purpose, so that both scenarios get the same.
func (p *scenario) draw(what uint32, more int) *rand.Rand {
	return rand.New(rand.NewPCG(p.seed, uint64(what)<<20+uint64(more)))
}

func (p *scenario) log(format string, args ...any) {
	p.record("%v %s", p.clock, fmt.Sprintf(format, args...))
}

func (p *scenario) Send(s uint32, a Attempt, _ any, left time.Duration) {
	p.log("send %v to %d in %v", a, s, left)
	r := p.draw(a.ID, a.Number)
	status := choice.OK
	if r.IntN(8) == 0 {
		status = choice.Status(r.IntN(int(choice.Reset) + 1))
	}
	took := time.Duration(r.ExpFloat64() * 20e6)
	if status == choice.Timeout { // no answer
		return
	}
	p.in(took, func() { p.AttemptEnded(s, a, status, "fine", nil) })
}

func (p *scenario) Probe(s uint32, a Attempt, _ time.Duration) {
	p.log("probe %v to %d", a, s)
	r := p.draw(s, a.Number)
	status := choose(r.IntN(3) == 0, choice.ConnectFailed, choice.OK)
	p.in(time.Duration(r.ExpFloat64()*3e6), func() { p.ProbeEnded(s, a, status, nil) })
}

func (p *scenario) Cancel(s uint32, a Attempt) { p.log("cancel %v to %d", a, s) }

func (p *scenario) Add(name string, n float64, _ time.Duration) {
	p.log("add %s %v", name, n)
	p.total, p.adds = p.total+n, p.adds+1
	r, total := p.draw(77, int(p.adds)), p.total
	status := choose(r.IntN(6) == 0, choice.Timeout, choice.OK)
	p.in(time.Duration(r.ExpFloat64()*2e6), func() { p.CounterEnded(name, status, total) })
}

func choose[T any](cond bool, a, b T) T {
	if cond {
		return a
	}
	return b
}

type scenarioReply struct {
	p  *scenario
	id int
}

func (r scenarioReply) Served(any) { r.p.log("%d served", r.id) }
func (r scenarioReply) Refused(after time.Duration, v Verdict) {
	r.p.log("%d refused %v %v", r.id, after, v)
}
func (r scenarioReply) Failed(timedOut bool) { r.p.log("%d failed %v", r.id, timedOut) }
func (r scenarioReply) Disallowed(error)     {}

// run advances the scenario until end.
func (p *scenario) run(end time.Duration) {
	for {
		next := end
		if len(p.events) > 0 {
			next = min(next, p.events[0].at)
		}
		if p.neverSleeps && len(p.timers) > 0 {
			next = min(next, p.timers[0].at)
		} else if !p.neverSleeps {
			next = min(next, p.clock+p.nextWake())
		}
		p.clock = max(p.clock, next)
		for len(p.events) > 0 && p.events[0].at <= p.clock {
			do := p.events[0].do
			p.events = p.events[1:]
			do()
		}
		p.runOnce(0)
		p.asleep = p.asleep && !p.neverSleeps
		p.wakeups++
		if p.clock >= end {
			return
		}
	}
}

func newScenario(t *rapid.T, set choice.Settings, seed uint64, awake bool) *scenario {
	p := &scenario{seed: seed, neverSleeps: awake}
	p.clock = 1000 * time.Second
	var err error
	p.Core, err = New(set, seed, func() time.Duration { return p.clock }, Dependencies{Fleet: p, Counter: p, Watcher: p})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A core that sleeps behaves exactly like one that runs all housekeeping on time: the same
// actions at the same times, and the same statistics in the end.
func TestSleepChangesNoDecision(t *testing.T) {
	asleep, awake := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		set := choice.Settings{Gateways: 2, MaxAttempts: 2, Cancels: true, RetryAfter: true, RefusesWhenBusy: true, Hedging: true, HeadroomSigmas: 2, Weighted: true,
			ConnectTimeout: 300 * time.Millisecond, TurnWeight: 0.03, ColdCapacity: 0.5, WarmupTime: 3 * time.Second, RetryRatio: 0.1, RetryBudget: 3, CrossZone: 0.1,
			OverloadRatio: rapid.SampledFrom([]float64{0, 3}).Draw(t, "fall"), OverloadTime: time.Second, CounterTimeout: 20 * time.Millisecond,
			Classes: []choice.Class{{Name: "read", Target: 300 * time.Millisecond, Deadline: 800 * time.Millisecond, Value: 1, LateValue: 0.3, MaxAttempts: 2},
				{Name: "write", Target: 300 * time.Millisecond, Deadline: time.Second, Value: 2, Effect: choice.NonRetryable}},
			Plans:  []choice.Plan{{Name: "plan", ValueFactor: 1, OverrunCost: 1, Rate: rapid.SampledFrom([]float64{0, 4}).Draw(t, "rate"), Burst: 8}},
			Probes: rapid.Bool().Draw(t, "probes"), Counter: rapid.Bool().Draw(t, "counter")}
		seed := rapid.Uint64().Draw(t, "seed")
		scenarios := []*scenario{newScenario(t, set, seed, false), newScenario(t, set, seed, true)}
		type step struct {
			at   time.Duration
			kind int
			x    uint64
		}
		var steps []step
		at, beat := time.Duration(0), 37500*time.Microsecond
		for range rapid.IntRange(1, 25).Draw(t, "steps") {
			gap := time.Duration(rapid.IntRange(0, 4e9).Draw(t, "gap"))
			switch rapid.IntRange(0, 3).Draw(t, "how soon") {
			case 0:
				gap /= 100
			case 1: // at the same time as housekeeping
				gap = (gap/20 + at).Round(beat) - at
			case 2:
				gap /= 8
			}
			at += max(0, gap)
			steps = append(steps, step{at, rapid.IntRange(0, 11).Draw(t, "kind"), rapid.Uint64().Draw(t, "x")})
		}
		servers := rapid.IntRange(1, 20).Draw(t, "servers")
		for _, p := range scenarios {
			list := func(x uint64) (news DiscoveryUpdate) {
				news.Whole = true
				for i := range servers {
					m := choice.Member{ID: uint32(i + 1), Weight: 1, Zone: string(rune('a' + i%2))}
					if x>>i&3 == 1 {
						m.Started = p.clock
					}
					if x>>(i+19)&7 != 1 {
						news.Members = append(news.Members, Member{Member: m})
					}
				}
				return news
			}
			p.HandleDiscovery(list(0))
			for i, s := range steps {
				p.in(s.at, func() {
					switch s.kind {
					case 0:
						p.HandleDiscovery(list(s.x))
					case 1:
						x := set
						x.Gateways = 1 + int(s.x%4)
						p.ApplyPolicy(0, x)
					case 2:
						p.SetProcesses(1 + int(s.x%2))
					default:
						r := &Request{Class: choose(s.x%3 == 0, "write", "read"), Plan: "plan", Customer: fmt.Sprint(s.x % 3), Units: 1,
							Gateways: 2, Deadline: p.clock + 800*time.Millisecond, Reply: scenarioReply{p, i}}
						p.Submit(r)
						if s.kind == 3 {
							p.in(5*time.Millisecond, func() { p.ClientGone(r) })
						}
					}
				})
			}
			end := p.clock + at + time.Duration(nonNegative(steps[0].x)%int64(40*time.Second))
			p.run(end)
			p.clock = end
		}
		a, b := scenarios[0], scenarios[1]
		if d := diff.Diff(b.actions, a.actions); d != "" {
			t.Fatal("(-awake +asleep)", d)
		}
		states := [2]choice.SavedState{}
		for i, p := range scenarios {
			p.replayMissed(p.clock + 1)
			p.runOnce(0)
			s := p.balancer.ExportState(p.clock)
			slices.SortFunc(s.Classes, func(x, y choice.ClassState) int { return cmp.Compare(x.Name, y.Name) })
			states[i] = s
		}
		if d := diff.Diff(states[1], states[0]); d != "" {
			t.Fatal("state (-awake +asleep)", d)
		}
		if d := diff.Diff(b.balancer.Totals(), a.balancer.Totals()); d != "" {
			t.Fatal("totals (-awake +asleep)", d)
		}
		asleep, awake = asleep+a.wakeups, awake+b.wakeups
		a.events = nil
		a.run(a.clock + 2*time.Second) // pending work ends
		if turns := a.wakeups; a.balancer.Idle() && len(a.requests)+len(a.counterCalls)+len(a.probes) == 0 {
			if a.run(a.clock + 10*time.Second); a.balancer.Idle() && a.wakeups-turns > 66 { // a quarter of its housekeeping runs
				t.Fatalf("with nothing to do it was woken %d times in 10 s", a.wakeups-turns)
			}
		}
	})
	t.Logf("woken %d times with sleep, %d without", asleep, awake)
}

func nonNegative(x uint64) int64 { return int64(x >> 1) }

// BenchmarkSleep measures one second of an idle core, by its number of servers.
func BenchmarkSleep(b *testing.B) {
	for _, n := range []int{1, 29} {
		b.Run(fmt.Sprint("servers ", n), func(b *testing.B) {
			set := testSet
			set.Classes = []choice.Class{{Name: "read", Target: 300 * time.Millisecond, Deadline: time.Second, Value: 1}}
			w := &testCore{clock: 1000 * time.Second}
			var err error
			if w.Core, err = New(set, 1, func() time.Duration { return w.clock }, Dependencies{Fleet: w, Counter: w, Watcher: w}); err != nil {
				b.Fatal(err)
			}
			var all []Member
			for i := range n {
				all = append(all, Member{Member: choice.Member{ID: uint32(i + 1), Weight: 1}})
			}
			w.HandleDiscovery(DiscoveryUpdate{Whole: true, Members: all})
			w.runOnce(0)
			b.ReportAllocs()
			for b.Loop() {
				for end := w.clock + time.Second; w.clock < end; {
					w.clock += max(w.nextWake(), time.Millisecond)
					w.runOnce(0)
				}
			}
		})
	}
}
