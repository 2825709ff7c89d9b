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

// play is a world whose servers and counter answer by a plan that is drawn from a seed.
type play struct {
	world
	seed  uint64
	awake bool // it is woken for each timer at its time, as a core that never sleeps is
	due   []happening
	turns int
	total float64
	n     uint64
}

type happening struct {
	at time.Duration
	do func()
}

func (p *play) in(d time.Duration, do func()) {
	p.due = append(p.due, happening{p.at + d, do})
	slices.SortStableFunc(p.due, func(a, b happening) int { return cmp.Compare(a.at, b.at) })
}

// draw is by the seed and by what it is for, so that both plays have the same.
func (p *play) draw(what uint32, more int) *rand.Rand {
	return rand.New(rand.NewPCG(p.seed, uint64(what)<<20+uint64(more)))
}

func (p *play) log(format string, args ...any) {
	p.note("%v %s", p.at, fmt.Sprintf(format, args...))
}

func (p *play) Send(s uint32, a Attempt, _ any, left time.Duration) {
	p.log("send %v to %d in %v", a, s, left)
	r := p.draw(a.ID, a.Number)
	status := choice.OK
	if r.IntN(8) == 0 {
		status = choice.Status(r.IntN(int(choice.Reset) + 1))
	}
	took := time.Duration(r.ExpFloat64() * 20e6)
	if status == choice.Timeout { // silence
		return
	}
	p.in(took, func() { p.AttemptEnded(s, a, status, "fine", nil) })
}

func (p *play) Probe(s uint32, a Attempt, _ time.Duration) {
	p.log("probe %v to %d", a, s)
	r := p.draw(s, a.Number)
	status := lo(r.IntN(3) == 0, choice.ConnectFailed, choice.OK)
	p.in(time.Duration(r.ExpFloat64()*3e6), func() { p.ProbeEnded(s, a, status, nil) })
}

func (p *play) Cancel(s uint32, a Attempt) { p.log("cancel %v to %d", a, s) }

func (p *play) Add(name string, n float64, _ time.Duration) {
	p.log("add %s %v", name, n)
	p.total, p.n = p.total+n, p.n+1
	r, total := p.draw(77, int(p.n)), p.total
	status := lo(r.IntN(6) == 0, choice.Timeout, choice.OK)
	p.in(time.Duration(r.ExpFloat64()*2e6), func() { p.CounterEnded(name, status, total) })
}

func lo[T any](cond bool, a, b T) T {
	if cond {
		return a
	}
	return b
}

type playReply struct {
	p  *play
	id int
}

func (r playReply) Served(any) { r.p.log("%d served", r.id) }
func (r playReply) Refused(after time.Duration, v Verdict) {
	r.p.log("%d refused %v %v", r.id, after, v)
}
func (r playReply) Failed(timedOut bool) { r.p.log("%d failed %v", r.id, timedOut) }
func (r playReply) Disallowed(error)     {}

// run plays until end.
func (p *play) run(end time.Duration) {
	for {
		next := end
		if len(p.due) > 0 {
			next = min(next, p.due[0].at)
		}
		if p.awake && len(p.timers) > 0 {
			next = min(next, p.timers[0].at)
		} else if !p.awake {
			next = min(next, p.at+p.wait())
		}
		p.at = max(p.at, next)
		for len(p.due) > 0 && p.due[0].at <= p.at {
			do := p.due[0].do
			p.due = p.due[1:]
			do()
		}
		p.turn(0)
		p.asleep = p.asleep && !p.awake
		p.turns++
		if p.at >= end {
			return
		}
	}
}

func newPlay(t *rapid.T, set choice.Settings, seed uint64, awake bool) *play {
	p := &play{seed: seed, awake: awake}
	p.at = 1000 * time.Second
	var err error
	p.Core, err = New(set, seed, func() time.Duration { return p.at }, Dependencies{Fleet: p, Counter: p, Watcher: p})
	if err != nil {
		t.Fatal(err)
	}
	return p
}

// A core that sleeps decides to the bit as one that is woken for each beat: what it does,
// when, and all that it has learnt in the end.
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
		plays := []*play{newPlay(t, set, seed, false), newPlay(t, set, seed, true)}
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
			case 1: // with a beat
				gap = (gap/20 + at).Round(beat) - at
			case 2:
				gap /= 8
			}
			at += max(0, gap)
			steps = append(steps, step{at, rapid.IntRange(0, 11).Draw(t, "kind"), rapid.Uint64().Draw(t, "x")})
		}
		servers := rapid.IntRange(1, 20).Draw(t, "servers")
		for _, p := range plays {
			list := func(x uint64) (news DiscoveryUpdate) {
				news.Whole = true
				for i := range servers {
					m := choice.Member{ID: uint32(i + 1), Weight: 1, Zone: string(rune('a' + i%2))}
					if x>>i&3 == 1 {
						m.Started = p.at
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
						r := &Request{Class: lo(s.x%3 == 0, "write", "read"), Plan: "plan", Customer: fmt.Sprint(s.x % 3), Units: 1,
							Gateways: 2, Deadline: p.at + 800*time.Millisecond, Reply: playReply{p, i}}
						p.Submit(r)
						if s.kind == 3 {
							p.in(5*time.Millisecond, func() { p.ClientGone(r) })
						}
					}
				})
			}
			end := p.at + at + time.Duration(s64(steps[0].x)%int64(40*time.Second))
			p.run(end)
			p.at = end
		}
		a, b := plays[0], plays[1]
		if d := diff.Diff(b.did, a.did); d != "" {
			t.Fatal("(-awake +asleep)", d)
		}
		states := [2]choice.SavedState{}
		for i, p := range plays {
			p.catchUp(p.at + 1)
			p.turn(0)
			s := p.bal.ExportState(p.at)
			slices.SortFunc(s.Classes, func(x, y choice.ClassState) int { return cmp.Compare(x.Name, y.Name) })
			states[i] = s
		}
		if d := diff.Diff(states[1], states[0]); d != "" {
			t.Fatal("what was learnt (-awake +asleep)", d)
		}
		if d := diff.Diff(b.bal.Totals(), a.bal.Totals()); d != "" {
			t.Fatal("books (-awake +asleep)", d)
		}
		asleep, awake = asleep+a.turns, awake+b.turns
		a.due = nil
		a.run(a.at + 2*time.Second) // what was under way ends
		if turns := a.turns; a.bal.Idle() && len(a.open)+len(a.counts)+len(a.probes) == 0 {
			if a.run(a.at + 10*time.Second); a.bal.Idle() && a.turns-turns > 66 { // a quarter of its beats
				t.Fatalf("with nothing to do it was woken %d times in 10 s", a.turns-turns)
			}
		}
	})
	t.Logf("woken %d times with sleep, %d without", asleep, awake)
}

func s64(x uint64) int64 { return int64(x >> 1) }

// BenchmarkSleep is a second of a core without requests, by its servers.
func BenchmarkSleep(b *testing.B) {
	for _, n := range []int{1, 29} {
		b.Run(fmt.Sprint("servers ", n), func(b *testing.B) {
			set := testSet
			set.Classes = []choice.Class{{Name: "read", Target: 300 * time.Millisecond, Deadline: time.Second, Value: 1}}
			w := &world{at: 1000 * time.Second}
			var err error
			if w.Core, err = New(set, 1, func() time.Duration { return w.at }, Dependencies{Fleet: w, Counter: w, Watcher: w}); err != nil {
				b.Fatal(err)
			}
			var all []Member
			for i := range n {
				all = append(all, Member{Member: choice.Member{ID: uint32(i + 1), Weight: 1}})
			}
			w.HandleDiscovery(DiscoveryUpdate{Whole: true, Members: all})
			w.turn(0)
			b.ReportAllocs()
			for b.Loop() {
				for end := w.at + time.Second; w.at < end; {
					w.at += max(w.wait(), time.Millisecond)
					w.turn(0)
				}
			}
		})
	}
}
