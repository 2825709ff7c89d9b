package choice

import (
	"slices"
	"testing"
	"time"

	"asterwell/internal/ratecap"
)

// flood sends n requests of u units at once and returns how many were sent on.
func flood(b *Balancer, rec *recorder, from uint32, n int, plan string, u float64, width int, now time.Duration) int {
	before := len(rec.sends)
	for i := range n {
		q := ask(from+uint32(i), "read", plan, now)
		q.Units, q.Gateways = u, width
		b.HandleRequest(now, q)
		if len(rec.sends) > before && rec.sends[len(rec.sends)-1].id == q.ID { // answered at once: no load builds up
			rec.end(b, now, 0, OK)
		}
	}
	return len(rec.sends) - before
}

func TestBurstFromIdleIsExact(t *testing.T) {
	for _, tc := range []struct {
		units float64
		want  int
	}{{1, 10}, {2, 5}, {3, 3}, {4, 2}} {
		b, rec := start(t, nil)
		if got := flood(b, rec, 1, 20, "rated", tc.units, 1, 0); got != tc.want {
			t.Errorf("%v units: %d passed at once, want %d", tc.units, got, tc.want)
		}
	}
}

func TestRateOverThreeSeconds(t *testing.T) {
	b, rec := start(t, nil)
	passed := 0
	for i := range 300 { // 100 a second for 3 s against 10 a second and 10 at once
		passed += flood(b, rec, uint32(1+i), 1, "rated", 1, 1, time.Duration(i)*10*msec)
	}
	if passed < 39 || passed > 40 {
		t.Errorf("%d passed, want 39 or 40", passed)
	}
}

func TestRefusalTellsWhenToReturn(t *testing.T) {
	b, rec := start(t, nil)
	flood(b, rec, 1, 11, "rated", 1, 1, 0)
	if got := rec.refused[11]; got != 100*msec {
		t.Errorf("retry after %v, want one emission interval", got)
	}
}

func TestUnseenCustomerGetsItsShare(t *testing.T) {
	b, rec := start(t, func(s *Settings) { s.Counter = false })
	if got := flood(b, rec, 1, 20, "rated", 1, 2, 0); got != 5 {
		t.Errorf("%d passed, want burst / width = 5", got)
	}
	b, rec = start(t, nil) // nor may more pass while the counter can't be asked
	b.fails, b.callAfter = 1, time.Hour
	if got := flood(b, rec, 1, 20, "rated", 1, 2, 0); got != 5 {
		t.Errorf("%d passed unasked, want burst / width = 5", got)
	}
}

func TestSettlementMovesTATBothWays(t *testing.T) {
	for _, actual := range []float64{1, 3} {
		b, rec := start(t, nil)
		q := ask(1, "read", "rated", 0)
		q.Units = 2
		b.HandleRequest(0, q)
		b.HandleOutcome(msec, Outcome{ID: 1, Backend: rec.sends[0].to, Elapsed: msec, Final: true, ActualUnits: actual})
		if got, want := b.customers["c"].tat, time.Duration(actual*100)*msec; got != want {
			t.Errorf("actual %v: TAT %v, want %v", actual, got, want)
		}
	}
}

// spend makes the customer call the counter, and returns the call.
func spend(t *testing.T, b *Balancer, rec *recorder, plan string, id uint32, now time.Duration) count {
	t.Helper()
	before := len(rec.counts)
	for range 20 {
		flood(b, rec, id, 1, plan, 1, 2, now)
		id++
		if len(rec.counts) > before {
			return rec.counts[len(rec.counts)-1]
		}
	}
	t.Fatal("no counter call")
	return count{}
}

// answer ends the last counter call with a total, and returns the call.
func (r *recorder) answer(b *Balancer, now time.Duration, s Status, total float64) count {
	call := r.counts[len(r.counts)-1]
	b.HandleCounter(now, CounterResult{Name: call.name, Status: s, Total: total})
	return call
}

// The count, not what this gateway knows, decides about a customer that it has not heard of for a while.
func TestCountDecides(t *testing.T) {
	const now = 10 * time.Second
	for name, tc := range map[string]struct {
		status Status
		total  float64 // since the start of the name's period, the request's own unit included
		sent   bool
		after  []float64 // further adds
	}{
		"room":                       {OK, 101, true, nil},
		"last unit":                  {OK, 110, true, nil},
		"store empty: taken back":    {OK, 111, false, []float64{-1}},
		"idle time is written down":  {OK, 1, true, []float64{100}},
		"no answer: a share is free": {Timeout, 0, true, nil},
		"turned away: added later":   {Overloaded, 0, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b, rec := start(t, nil)
			q := ask(1, "read", "rated", now)
			q.Gateways = 2
			b.HandleRequest(now, q)
			if len(rec.counts) != 1 || rec.counts[0].add != 1 || len(rec.sends) != 0 {
				t.Fatalf("counts %v, sends %v, want the unit on the counter and nothing sent", rec.counts, rec.sends)
			}
			rec.answer(b, now, tc.status, tc.total)
			if sent := len(rec.sends) == 1; sent != tc.sent {
				t.Errorf("sent: %v, want %v", sent, tc.sent)
			}
			var after []float64
			for _, c := range rec.counts[1:] {
				after = append(after, c.add)
			}
			if !slices.Equal(after, tc.after) {
				t.Errorf("further adds %v, want %v", after, tc.after)
			}
		})
	}
}

// Two gateways that find the count behind write the same idle time down: the second takes its part back,
// also when it hears of it only after a call without an answer.
func TestIdleTimeIsWrittenDownOnce(t *testing.T) {
	const now = 10 * time.Second
	for _, lost := range []bool{false, true} {
		b, rec := start(t, nil)
		q := ask(1, "read", "rated", now)
		q.Gateways = 2
		b.HandleRequest(now, q)
		rec.answer(b, now, OK, 1)
		later := now
		if lost {
			rec.answer(b, now, Timeout, 0)
			later += time.Second
			flood(b, rec, 2, 1, "rated", 1, 2, later)
		}
		rec.answer(b, later, OK, 202)
		if back := rec.counts[len(rec.counts)-1].add; back > -99 || back < -101 {
			t.Errorf("call lost: %v: last add %v, want -100", lost, back)
		}
		if c := b.customers["c"]; c.tat > later+c.plan.span(3) {
			t.Errorf("call lost: %v: TAT %v at %v: idle time counted twice", lost, c.tat, later)
		}
	}
}

// A customer known to be beyond its quota is asked about ever more seldom.
func TestHotCustomerDoesNotCrowdTheCounter(t *testing.T) {
	b, rec := start(t, nil)
	asked := 0
	for i := range uint32(500) {
		now := 10*time.Second + time.Duration(i)*50*msec
		q := ask(1+i, "read", "rated", now)
		q.Gateways = 300
		before := len(rec.counts)
		b.floor = 1e-9 // calls are scarce
		b.HandleRequest(now, q)
		for len(b.calls) > 0 {
			if rec.counts[len(rec.counts)-1].add > 0 {
				asked++
			}
			rec.answer(b, now, OK, 10*now.Seconds()+20)
		}
		if len(rec.counts) == before && len(rec.sends) > 0 {
			t.Fatalf("request %d was granted unasked", q.ID)
		}
	}
	if asked > 60 || asked < 5 {
		t.Errorf("asked %d times in 25 s about a customer whose store stays empty", asked)
	}
}

func TestSilentCounterFallsBackToAnEvenShare(t *testing.T) {
	b, rec := start(t, nil)
	now, id := time.Duration(0), uint32(1)
	for range 3 {
		call := spend(t, b, rec, "rated", id, now)
		b.HandleCounter(now, CounterResult{Name: call.name, Status: Timeout})
		now, id = now+time.Second, id+100
	}
	flood(b, rec, 1000, 20, "rated", 1, 2, now) // empty the store
	passed := 0
	for i := range 400 {
		passed += flood(b, rec, 2000+uint32(i), 1, "rated", 1, 2, now+time.Duration(i)*10*msec)
	}
	if passed < 18 || passed > 22 {
		t.Errorf("%d passed in 4 s, want half of 40", passed)
	}
}

func TestOpenCap(t *testing.T) {
	b, rec := start(t, nil)
	for id := uint32(1); id <= 3; id++ {
		b.HandleRequest(0, ask(id, "read", "open", 0))
	}
	if _, ok := rec.refused[3]; !ok || len(rec.sends) != 2 {
		t.Errorf("sends %v, refused %v, want two sent and the third refused", rec.sends, rec.refused)
	}
}

// counterStand plays a counter that answers at once, for gateways that share it.
func counterStand(bs []*Balancer, recs []*recorder, totals map[string]float64, now time.Duration) {
	for i, rec := range recs {
		for len(rec.counts) > 0 {
			c := rec.counts[0]
			rec.counts = rec.counts[1:]
			totals[c.name] += c.add
			bs[i].HandleCounter(now, CounterResult{Name: c.name, Status: OK, Total: totals[c.name], Elapsed: msec})
		}
	}
}

// What the counter has put inside the quota stays under the ceiling by itself. Gateways that each have a small share
// of the ceiling, empty at their start, must not refuse it; nor may all of them together pass the ceiling.
func TestCeilingTakesTheCountersWordForTheQuota(t *testing.T) {
	const doors = 8
	bs, recs := make([]*Balancer, doors), make([]*recorder, doors)
	for i := range bs {
		bs[i], recs[i] = start(t, func(s *Settings) {
			s.Gateways = doors
			for i := range s.Plans {
				s.Plans[i].OverrunCost = 1 // worth a call
			}
		})
		bs[i].limit.Max, bs[i].doubtAt = 100, 1 // no load; started long ago
	}
	sent, store, totals := 0, 20.0, map[string]float64{}
	id, began := uint32(0), 40*time.Second+namePeriod/2 // well into a period
	for tick := range 400 {                             // 100 a second in all, ten times the quota
		now := began + time.Duration(tick)*10*msec
		i := tick % doors
		id++
		q := ask(id, "read", "capped", now)
		q.Gateways = doors
		n := len(recs[i].sends)
		bs[i].HandleRequest(now, q)
		counterStand(bs, recs, totals, now)
		if store = min(20, store+0.2); len(recs[i].sends) > n {
			recs[i].end(bs[i], now, 0, OK)
			sent++
			if store--; store < 0 {
				t.Fatalf("the ceiling is passed after %d", sent)
			}
		}
		if tick == 30 && sent < 9 { // the quota's burst is 10; a share of the ceiling is under one unit by now
			t.Errorf("%d sent in 0.3 s of a quota of 13", sent)
		}
	}
}

// A full store needs no call for the quota. Under a ceiling it does, where this gateway has no share of its own yet.
func TestCeilingIsWorthACall(t *testing.T) {
	for plan, want := range map[string]bool{"rated": false, "capped": true} {
		b, rec := start(t, func(s *Settings) { s.Plans[3].OverrunCost = 1 })
		b.limit.Max = 100
		now := 30 * time.Second
		q := ask(1, "read", plan, now)
		q.Gateways = 2
		c := b.customer(now, &request{Request: q, plan: b.plans[plan]})
		c.readAt, c.share = now-msec, ratecap.New(now) // just read, and full
		b.HandleRequest(now, q)
		if asked := len(rec.sends) == 0 && len(rec.counts) == 1; asked != want {
			t.Errorf("%s: sends %v, calls %v, want the call first: %v", plan, rec.sends, rec.counts, want)
		}
	}
}

// Under load a request of which the counter could tell more, and can't be asked, goes last: by the odds it is beyond.
func TestGuessesGoLastUnderLoad(t *testing.T) {
	for odds, want := range map[float64]bool{0: true, 0.5: false} {
		b, rec := start(t, nil)
		b.limit.Max, b.open, b.limit.Load, b.density, b.beyond = 10, 6, 6, 10, odds
		b.fails, b.callAfter = 1, time.Hour
		q := ask(1, "read", "rated", 0)
		q.Gateways = 2
		b.HandleRequest(0, q)
		if sent := len(rec.sends) == 1; sent != want {
			t.Errorf("odds %v of being beyond: sent %v, want %v", odds, sent, want)
		}
	}
}

// What comes too late for its aim is told apart from what the servers have no room for.
func TestReasonsOfRefusals(t *testing.T) {
	b, _ := start(t, nil)
	b.limit.Max, b.open, b.limit.Load = 10, 12, 12
	b.HandleRequest(0, ask(1, "read", "free", 0))
	q := ask(2, "read", "free", 0)
	b.classes["read"].votes, b.classes["read"].span = 50, q.Deadline-2*b.set.Tick
	q.Deadline = time.Second // of a deadline of 3 s: it has been asked for 2 s
	b.HandleRequest(0, q)
	if r := b.Totals().Refused; r[Shed] != 1 || r[TargetPassed] != 1 {
		t.Errorf("refused %v, want one for load and one past its aim", r)
	}
}

// A crowd at the counter is over soon, however few calls a gateway makes that could tell it.
func TestCrowdAgesByTime(t *testing.T) {
	b, _ := start(t, nil)
	b.stake, b.floor = 1, 8
	for i := range 4 {
		b.calls["n"] = func(time.Duration, CounterResult) {}
		b.HandleCounter(time.Duration(i+1)*time.Second, CounterResult{Name: "n", Status: OK, Elapsed: msec})
	}
	if b.floor > 0.25 {
		t.Errorf("worth of a call still %v after 4 s of good answers", b.floor)
	}
}

// A restarted gateway may have spent its share of the ceiling in an earlier life.
func TestCeilingStartsEmptyAndFillsByShare(t *testing.T) {
	b, rec := start(t, func(s *Settings) { s.Counter = false })
	if got := flood(b, rec, 1, 20, "capped", 1, 2, 0); got != 0 {
		t.Errorf("%d passed at the start, want none", got)
	}
	if got := flood(b, rec, 100, 40, "capped", 1, 2, time.Minute); got != 10 {
		t.Errorf("%d passed, want ceiling burst / width = 10", got)
	}
}

func TestIdleCustomersAreDropped(t *testing.T) {
	b, rec := start(t, nil)
	for i := range 1000 {
		q := ask(uint32(i+1), "read", "rated", 0)
		q.Customer = string(rune('a'+i%26)) + string(rune(i))
		b.HandleRequest(0, q)
		if _, no := rec.refused[q.ID]; !no {
			rec.end(b, 0, 0, OK)
		}
	}
	for _, c := range rec.counts {
		b.HandleCounter(msec, CounterResult{Name: c.name, Total: c.add})
	}
	b.HandleTimer(2*CounterNameTTL, "beat")
	if len(b.customers) != 0 || len(b.idlers) != 0 {
		t.Errorf("%d customers, %d in the ring, want none", len(b.customers), len(b.idlers))
	}
}

// Calls that nobody answers are no sign of a crowd: once the counter is back, it is asked as before.
func TestCallsAreNotScarceAfterSilence(t *testing.T) {
	b, rec := start(t, nil)
	now, id := 10*time.Second, uint32(1)
	for range 8 {
		spend(t, b, rec, "rated", id, now)
		rec.answer(b, now, Timeout, 0)
		now, id = now+3*time.Second, id+100
	}
	scarce := b.floor
	spend(t, b, rec, "rated", id, now)
	rec.answer(b, now, OK, 10*now.Seconds())
	if b.floor > b.stake/4 || scarce < 2*b.floor {
		t.Errorf("floor %v while silent, %v after, the mean loss is %v", scarce, b.floor, b.stake)
	}
}

// A spoilt answer of the counter tells no total, but no silence either: its units count as added, and it is asked on.
func TestSpoiltAnswersAreNoSilence(t *testing.T) {
	b, rec := start(t, nil)
	b.limit.Max = 100
	now, id := 10*time.Second, uint32(1)
	for range 8 {
		call := spend(t, b, rec, "rated", id, now)
		before := len(rec.counts)
		b.HandleCounter(now, CounterResult{Name: call.name, Status: Error})
		if len(rec.counts) > before && rec.counts[before].add > 0 {
			t.Errorf("%v added again", rec.counts[before])
		}
		now, id = now+3*time.Second, id+100
	}
	if b.silent(now) || !b.callable(now) || b.floor > 0 {
		t.Errorf("silent %v, callable %v, floor %v", b.silent(now), b.callable(now), b.floor)
	}
}

// One connection that falls silent takes all its calls along. That is one failure, not a silence of the counter.
func TestCallsFailTogether(t *testing.T) {
	b, rec := start(t, nil)
	now := 10 * time.Second
	for i := range uint32(20) {
		q := ask(1+i, "read", "rated", now)
		q.Gateways, q.Customer = 2, string(rune('a'+i))
		b.HandleRequest(now, q)
	}
	if len(rec.counts) != 20 {
		t.Fatalf("%d calls", len(rec.counts))
	}
	now += b.set.CounterTimeout
	for _, c := range slices.Clone(rec.counts) {
		b.HandleCounter(now, CounterResult{Name: c.name, Status: Timeout, Elapsed: b.set.CounterTimeout})
	}
	if now += b.set.CounterTimeout; !b.callable(now) {
		t.Errorf("the counter may not be called before %v, it is %v", b.callAfter, now)
	}
}
