package choice

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"
)

func TestNonRetryableIsRetriedOnlyIfItNeverRan(t *testing.T) {
	for s, want := range map[Status]int{Overloaded: 2, ConnectFailed: 2, Error: 1, Reset: 1, Timeout: 1, Cancelled: 1} {
		b, rec := newTestBalancer(t, nil)
		b.HandleRequest(0, newRequest(1, "once", "free", 0))
		rec.end(b, 50*msec, 0, s)
		if len(rec.sends) != want || want == 1 && !rec.failed[1] {
			t.Errorf("status %d: sends %v, failed %v, want %d sends", s, rec.sends, rec.failed, want)
		}
	}
}

func TestKeyedStaysInItsGroupAndTime(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	b.HandleRequest(0, newRequest(1, "key", "free", 0))
	rec.end(b, 50*msec, 0, Reset)
	zone := func(s sentAttempt) string { return b.byID[s.to].Member.Zone }
	if len(rec.sends) != 2 || zone(rec.sends[0]) != zone(rec.sends[1]) {
		t.Errorf("sends %v, want a second in the same zone", rec.sends)
	}
	b, rec = newTestBalancer(t, nil)
	b.HandleRequest(0, newRequest(1, "key", "free", 0))
	rec.end(b, 499*msec, 0, Reset)
	if len(rec.sends) != 1 || !rec.failed[1] {
		t.Errorf("sends %v, failed %v, want no second send at the end of the key's time", rec.sends, rec.failed)
	}
}

func TestNothingGoesToADrainingBackend(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	b.HandleRoster(0, RosterUpdate{Members: []Member{{ID: 1, Zone: "a", State: Draining}, {ID: 2, Zone: "a", State: Down}}})
	for id := uint32(1); id <= 30; id++ {
		b.HandleRequest(0, newRequest(id, "read", "free", 0))
	}
	for _, s := range rec.sends {
		if s.to <= 2 {
			t.Fatalf("sent to %d", s.to)
		}
	}
}

// However many gateways share the traffic, servers that have just restarted get no more than OverloadRatio times
// their capacity, also if the part of each gateway is below one request.
func TestColdBackendsAreNotOverloaded(t *testing.T) {
	const rate, second = 300, time.Second // traffic of all gateways, taken as the warm capacity of the servers
	for _, gatewayCount := range []int{1, 3, 300} {
		bs, recs := make([]*Balancer, gatewayCount), make([]*recorder, gatewayCount)
		for i := range bs {
			bs[i], recs[i] = newTestBalancer(t, func(s *Settings) { s.Gateways = gatewayCount })
			bs[i].rng = rand.New(rand.NewPCG(uint64(i), 1))
		}
		id, cold := uint32(0), 0
		for tick := range 25 * rate {
			now := time.Duration(tick) * second / rate
			i := tick % gatewayCount
			b, rec := bs[i], recs[i]
			if tick == 20*rate {
				for _, b := range bs {
					fleet := []Member{}
					for _, be := range b.backends {
						be.Member.Started = now
						fleet = append(fleet, be.Member)
					}
					for _, be := range b.backends {
						be.Member.Started = 0
					}
					b.HandleRoster(now, RosterUpdate{Members: fleet})
				}
			}
			if tick%(rate/10) == 0 {
				for _, b := range bs {
					b.HandleTimer(now, "beat")
				}
			}
			before := len(rec.sends)
			id++
			b.HandleRequest(now, newRequest(id, "read", "free", now))
			if len(rec.sends) > before {
				rec.end(b, now, 0, OK)
				if tick >= 20*rate && tick < 21*rate {
					cold++
				}
			}
		}
		// OverloadRatio 2 × ColdCapacity 0.2 of 300 a second for OverloadTime, and a margin for random variation.
		if cold > 120*5/4 || cold < 10 {
			t.Errorf("%d gateways sent %d in the first second to cold servers, at most 120", gatewayCount, cold)
		}
	}
}

func TestSilentBackendIsHedgedAndEjected(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	b.HandleRequest(msec, newRequest(1, "read", "free", 0))
	lost := rec.sends[0].to
	late := msec + b.classes["read"].Slow()
	b.HandleTimer(late, "tardy 1")
	if len(rec.sends) != 2 || rec.sends[1].to == lost {
		t.Fatalf("sends %v, want a second copy elsewhere", rec.sends)
	}
	b.HandleTimer(2*late, "beat")
	if be := b.byID[lost]; be.EjectedUntil <= 2*late {
		t.Errorf("backend %d was silent and not ejected", lost)
	}
}

func TestWithoutHedgingTheFirstAttemptIsCancelled(t *testing.T) {
	b, rec := newTestBalancer(t, func(s *Settings) { s.Hedging = false })
	b.HandleRequest(msec, newRequest(1, "read", "free", 0))
	b.HandleTimer(msec+b.classes["read"].Slow(), "tardy 1")
	if len(rec.sends) != 1 || len(rec.cancels) != 1 {
		t.Fatalf("sends %v, cancels %v", rec.sends, rec.cancels)
	}
	b.HandleOutcome(500*msec, Outcome{ID: 1, Backend: rec.sends[0].to, Status: Cancelled, Elapsed: 500 * msec})
	if len(rec.sends) != 2 {
		t.Errorf("sends %v, want another once the first is cancelled", rec.sends)
	}
}

func TestUnknownThingsAreSafe(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	b.HandleRequest(0, newRequest(1, "nonesuch", "free", 0))
	b.HandleRequest(0, newRequest(2, "read", "nonesuch", 0))
	b.HandleOutcome(0, Outcome{ID: 9})
	b.HandleProbe(0, ProbeResult{Backend: 99})
	b.HandleCounter(0, CounterResult{Name: "x"})
	b.HandleStreamStart(0, 9, 3)
	b.HandleClientGone(0, 9)
	b.HandleTimer(0, "end 9")
	b.HandleTimer(0, "")
	if len(rec.refused) != 2 || len(rec.sends) != 0 {
		t.Errorf("refused %v, sends %v", rec.refused, rec.sends)
	}
}

func TestInvalidSettings(t *testing.T) {
	for field, change := range map[string]func(*Settings){
		"Gateways":              func(s *Settings) { s.Gateways = 0 },
		"Classes":               func(s *Settings) { s.Classes = nil },
		"Classes[0].Effect":     func(s *Settings) { s.Classes[0].Effect = 7 },
		"Plans[0].Burst":        func(s *Settings) { s.Plans[0].Burst = 0 },
		"Plans[0].Rate":         func(s *Settings) { s.Plans[0].Rate = -1 },
		"Plans[2].MaxOut":       func(s *Settings) { s.Plans[2].MaxOut = -1 },
		"Plans[3].CeilingBurst": func(s *Settings) { s.Plans[3].CeilingBurst = 0.5 },
	} {
		set := settings()
		change(&set)
		if _, err := New(set, 1, &recorder{}); err == nil || !strings.HasPrefix(err.Error(), field) {
			t.Errorf("%s: error %v does not name it", field, err)
		}
	}
}

// eventFuzzer feeds valid events in random order to a Balancer and checks the rules on every action.
type eventFuzzer struct {
	t             *testing.T
	rng           *rand.Rand
	b             *Balancer
	rec           *recorder
	now           time.Duration
	set           Settings
	requests      map[uint32]*trackedRequest
	pending       []*trackedAttempt
	timers        []timerCall // with absolute times in after
	state         map[uint32]State
	stateSince    map[uint32]time.Duration
	calls         []counterCall
	counterTotals map[string]float64
	ceilingUnits  float64
	startedAt     time.Duration
	stats         struct{ sends, refused, failed, counts int }
}

type trackedRequest struct {
	request  Request
	class    Class
	attempts []*trackedAttempt
	finished bool
}

type trackedAttempt struct {
	id     uint32
	n      int
	to     uint32
	sent   time.Duration
	out    bool
	status Status
}

func (w *eventFuzzer) cell(id uint32) (string, int) { return string('a' + rune((id-1)/2)), int(id) - 1 }

// check applies the rules to the actions since the last check.
func (w *eventFuzzer) check() {
	for _, line := range w.rec.log {
		var id, to uint32
		var n int
		switch {
		case scanf(line, "send %d %d", &id, &to):
			w.send(id, to)
		case scanf(line, "refuse %d", &id):
			w.stats.refused++
			j := w.finish(id, line)
			for _, a := range j.attempts {
				if a.ran() && j.class.Effect != Retryable && (j.class.Effect == NonRetryable || j.class.Group != AllBackends) {
					w.t.Fatalf("%v: %s: an attempt may have run", w.now, line)
				}
			}
		case scanf(line, "fail %d", &id):
			w.stats.failed++
			w.finish(id, line)
		case scanf(line, "cancel %d %d", &id, &n):
			if j := w.requests[id]; j == nil || n >= len(j.attempts) {
				w.t.Fatalf("%v: %s: no such attempt", w.now, line)
			}
		}
	}
	w.rec.log = nil
	for _, tm := range w.rec.timers {
		w.timers = append(w.timers, timerCall{w.now + max(tm.after, w.set.Tick), tm.token})
	}
	w.calls = append(w.calls, w.rec.counts...)
	w.stats.counts += len(w.rec.counts)
	w.rec.timers, w.rec.counts = nil, nil
	for id, j := range w.requests {
		if !j.finished && w.now > j.request.Deadline {
			w.t.Fatalf("%v: request %d has no answer", w.now, id)
		}
	}
}

func (a *trackedAttempt) ran() bool {
	return a.out || a.status != Overloaded && a.status != ConnectFailed && a.status != NotExecuted
}

func scanf(line, format string, args ...any) bool {
	n, _ := fmt.Sscanf(line, format, args...)
	return n == len(args)
}

func (w *eventFuzzer) finish(id uint32, line string) *trackedRequest {
	j := w.requests[id]
	if j == nil || j.finished {
		w.t.Fatalf("%v: %s: already over", w.now, line)
	}
	j.finished = true
	return j
}

func (w *eventFuzzer) send(id, to uint32) {
	w.stats.sends++
	j := w.requests[id]
	if j == nil || j.finished {
		w.t.Fatalf("%v: sent request %d, which is over", w.now, id)
	}
	if w.state[to] != Up && w.now > w.stateSince[to] {
		w.t.Fatalf("%v: sent to %d, which was not up since %v", w.now, to, w.stateSince[to])
	}
	for _, a := range j.attempts {
		if a.out && !w.set.Hedging {
			w.t.Fatalf("%v: two attempts of %d out at once", w.now, id)
		}
		if !a.ran() {
			continue
		}
		z1, c1 := w.cell(a.to)
		z2, c2 := w.cell(to)
		same := j.class.Group == AllBackends || z1 == z2 && (j.class.Group == SameZone || c1 == c2)
		if j.class.Effect == NonRetryable || j.class.Effect == Keyed && (!same || w.now-a.sent > j.class.KeyTTL) {
			w.t.Fatalf("%v: request %d may have run on %d and goes to %d", w.now, id, a.to, to)
		}
	}
	if len(j.attempts) == 0 && j.request.Plan == "capped" {
		w.ceilingUnits += j.request.Units
		if most := (20 + 20*(w.now-w.startedAt).Seconds()) / 2; w.ceilingUnits > most+1e-6 {
			w.t.Fatalf("%v: %v units sent on under the ceiling, share allows %v", w.now, w.ceilingUnits, most)
		}
	}
	a := &trackedAttempt{id: id, n: len(j.attempts), to: to, sent: w.now, out: true}
	j.attempts = append(j.attempts, a)
	w.pending = append(w.pending, a)
}

// step advances the clock and feeds one event.
func (w *eventFuzzer) step(next uint32) {
	w.now += time.Duration(w.rng.IntN(20)) * msec
	for { // due timers, in order
		i := -1
		for k, tm := range w.timers {
			if tm.after <= w.now && (i < 0 || tm.after < w.timers[i].after) {
				i = k
			}
		}
		if i < 0 {
			break
		}
		tm := w.timers[i]
		w.timers = slices.Delete(w.timers, i, i+1)
		at := w.now
		w.now = max(tm.after, w.now-20*msec)
		w.b.HandleTimer(w.now, tm.token)
		w.check()
		w.now = at
	}
	switch w.rng.IntN(8) {
	case 0, 1, 2:
		cl := w.set.Classes[w.rng.IntN(len(w.set.Classes))]
		q := Request{ID: next, Class: cl.Name, Plan: w.set.Plans[w.rng.IntN(len(w.set.Plans))].Name,
			Deadline: w.now + time.Duration(100+w.rng.IntN(3000))*msec, Units: float64(1 + w.rng.IntN(3)), Gateways: 2}
		q.Customer = q.Plan
		if w.rng.IntN(2) == 0 && q.Plan != "capped" {
			q.Customer += fmt.Sprint(w.rng.IntN(4))
		}
		w.requests[next] = &trackedRequest{request: q, class: cl}
		w.b.HandleRequest(w.now, q)
	case 3, 4, 5:
		if len(w.pending) == 0 {
			return
		}
		i := w.rng.IntN(len(w.pending))
		a := w.pending[i]
		w.pending = slices.Delete(w.pending, i, i+1)
		a.out, a.status = false, OK
		if w.rng.IntN(2) == 0 {
			a.status = Status(w.rng.IntN(int(NotExecuted) + 1))
		}
		j := w.requests[a.id]
		if a.status == OK {
			j.finished = true
		}
		w.b.HandleOutcome(w.now, Outcome{ID: a.id, Attempt: a.n, Backend: a.to, Status: a.status, Elapsed: w.now - a.sent,
			Final: j.finished, ActualUnits: float64(w.rng.IntN(5))})
	case 6:
		id := uint32(1 + w.rng.IntN(4))
		z, c := w.cell(id)
		m := Member{ID: id, Zone: z, Cell: c, Weight: 1, State: State(w.rng.IntN(3))}
		if w.rng.IntN(2) == 0 {
			m.State = Up
			m.Started = w.now
		}
		w.state[id], w.stateSince[id] = m.State, w.now
		w.b.HandleRoster(w.now, RosterUpdate{Members: []Member{m}})
	case 7:
		if len(w.calls) == 0 {
			return
		}
		c := w.calls[0]
		w.calls = w.calls[1:]
		e := CounterResult{Name: c.name, Elapsed: 5 * msec}
		if w.rng.IntN(4) == 0 {
			e.Status = []Status{Overloaded, Timeout, ConnectFailed}[w.rng.IntN(3)]
		}
		if e.Status == OK || e.Status == Timeout && w.rng.IntN(2) == 0 {
			w.counterTotals[c.name] += c.add + float64(w.rng.IntN(2))
		}
		if w.rng.IntN(30) == 0 {
			w.counterTotals[c.name] = 0
		}
		e.Total = w.counterTotals[c.name]
		w.b.HandleCounter(w.now, e)
	}
	w.check()
}

func runFuzzer(t *testing.T, seed uint64) (string, *eventFuzzer) {
	w := &eventFuzzer{t: t, rng: rand.New(rand.NewPCG(seed, 7)), requests: map[uint32]*trackedRequest{}, state: map[uint32]State{},
		stateSince: map[uint32]time.Duration{}, counterTotals: map[string]float64{}}
	w.b, w.rec = newTestBalancer(t, func(s *Settings) {
		s.Hedging = seed%2 == 0
		s.Classes[1].Group = Group(seed % 3)
		w.set = *s
	})
	w.check()
	all := ""
	for i := range 1500 {
		w.step(uint32(i + 1))
	}
	for _, a := range w.rec.sends {
		all += fmt.Sprint(a, " ")
	}
	return all + fmt.Sprint(w.rec.refused, w.rec.failed, w.rec.cancels), w
}

func TestRandomEventsKeepTheRules(t *testing.T) {
	var sends, refused, failed, counts int
	for seed := range uint64(40) {
		one, w := runFuzzer(t, seed)
		if two, _ := runFuzzer(t, seed); one != two {
			t.Fatalf("seed %d: equal events gave different actions", seed)
		}
		sends, refused, failed, counts = sends+w.stats.sends, refused+w.stats.refused, failed+w.stats.failed, counts+w.stats.counts
	}
	if sends < 1000 || refused < 100 || failed < 100 || counts < 100 {
		t.Errorf("too few actions: %d sends, %d refused, %d failed, %d counts", sends, refused, failed, counts)
	}
}

func TestProbesPerRequestDependOnTheirPrice(t *testing.T) {
	for _, tc := range []struct {
		price float64
		want  int
	}{{0, 2}, {0.01, 2}, {0.02, 1}, {0.08, 0}} {
		b, rec := newTestBalancer(t, func(s *Settings) { s.Probes, s.ProbePrice = true, tc.price })
		b.HandleRequest(0, newRequest(1, "read", "free", 0))
		if got := len(rec.probes); got != tc.want {
			t.Errorf("price %v: %d probes for a request, want %d", tc.price, got, tc.want)
		}
	}
	set := settings()
	set.ProbePrice = -1
	if err := set.Validate(); err == nil {
		t.Error("a negative price was accepted")
	}
}

// A gateway with little traffic uses a part of the backends, and all gateways together use all of them about
// equally. With much traffic it uses all.
func TestGatewaysUseOverlappingApertures(t *testing.T) {
	const gatewayCount, size = 80, 60
	used := map[uint32]float64{}
	for i := range gatewayCount {
		b, _ := newTestBalancer(t, func(s *Settings) { s.Gateways, s.Index = gatewayCount, i })
		fleet := RosterUpdate{Whole: true}
		for id := range uint32(size) {
			fleet.Members = append(fleet.Members, Member{ID: 100 + id, Zone: string(rune('a' + id%3)), Weight: 1})
		}
		b.HandleRoster(0, fleet)
		b.sendRate, b.attempted, b.intervals = 4, 4*b.interval.Seconds(), 100
		b.housekeep(0)
		for _, be := range b.backends {
			used[be.ID] += be.use
		}
		if b.sendRate, b.attempted = 100, 100*b.interval.Seconds(); i == 0 {
			b.housekeep(0)
			if n := slices.IndexFunc(b.backends, func(be *backend) bool { return be.use == 0 }); n >= 0 {
				t.Errorf("at 100 requests a second backend %d is not used", b.backends[n].ID)
			}
		}
	}
	for id := range uint32(size) { // each gateway uses 8 of 60, so each backend is used by 10.7 gateways
		if n := used[100+id]; n < 9.5 || n > 12 {
			t.Errorf("backend %d is used by %.1f gateways, want about 10.7", id, n)
		}
	}
}
