package choice

import (
	"slices"
	"testing"
	"time"

	"asterwell/internal/ratecap"
)

// submitMany submits n requests of some units at once and returns how many were sent to a server.
func submitMany(b *Balancer, rec *recorder, from uint32, n int, plan string, units float64, width int, now time.Duration) int {
	before := len(rec.sends)
	for i := range n {
		q := newRequest(from+uint32(i), "read", plan, now)
		q.Units, q.Gateways = units, width
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
		b, rec := newTestBalancer(t, nil)
		if got := submitMany(b, rec, 1, 20, "rated", tc.units, 1, 0); got != tc.want {
			t.Errorf("%v units: %d passed at once, want %d", tc.units, got, tc.want)
		}
	}
}

func TestRateOverThreeSeconds(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	passed := 0
	for i := range 300 { // 100 a second for 3 s against 10 a second and 10 at once
		passed += submitMany(b, rec, uint32(1+i), 1, "rated", 1, 1, time.Duration(i)*10*msec)
	}
	if passed < 39 || passed > 40 {
		t.Errorf("%d passed, want 39 or 40", passed)
	}
}

func TestRefusalTellsWhenToReturn(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	submitMany(b, rec, 1, 11, "rated", 1, 1, 0)
	if got := rec.refused[11]; got != 100*msec {
		t.Errorf("retry after %v, want one emission interval", got)
	}
}

func TestNewCustomerGetsItsShare(t *testing.T) {
	b, rec := newTestBalancer(t, func(s *Settings) { s.Counter = false })
	if got := submitMany(b, rec, 1, 20, "rated", 1, 2, 0); got != 5 {
		t.Errorf("%d passed, want burst / gateways = 5", got)
	}
	b, rec = newTestBalancer(t, nil) // nor may more pass while the counter can't be called
	b.counterFails, b.nextCallAt = 1, time.Hour
	if got := submitMany(b, rec, 1, 20, "rated", 1, 2, 0); got != 5 {
		t.Errorf("%d passed without a counter call, want burst / gateways = 5", got)
	}
}

func TestSettlementMovesTATBothWays(t *testing.T) {
	for _, actual := range []float64{1, 3} {
		b, rec := newTestBalancer(t, nil)
		q := newRequest(1, "read", "rated", 0)
		q.Units = 2
		b.HandleRequest(0, q)
		b.HandleOutcome(msec, Outcome{ID: 1, Backend: rec.sends[0].to, Elapsed: msec, Final: true, ActualUnits: actual})
		if got, want := b.customers["c"].tat, time.Duration(actual*100)*msec; got != want {
			t.Errorf("actual %v: TAT %v, want %v", actual, got, want)
		}
	}
}

// submitUntilCall submits requests until the customer's meter calls the counter, and returns the call.
func submitUntilCall(t *testing.T, b *Balancer, rec *recorder, plan string, id uint32, now time.Duration) counterCall {
	t.Helper()
	before := len(rec.counts)
	for range 20 {
		submitMany(b, rec, id, 1, plan, 1, 2, now)
		id++
		if len(rec.counts) > before {
			return rec.counts[len(rec.counts)-1]
		}
	}
	t.Fatal("no counter call")
	return counterCall{}
}

// answer ends the last counter call with a total, and returns it.
func (r *recorder) answer(b *Balancer, now time.Duration, s Status, total float64) counterCall {
	call := r.counts[len(r.counts)-1]
	b.HandleCounter(now, CounterResult{Name: call.name, Status: s, Total: total})
	return call
}

// For a customer whose count was not read recently, the count decides, not the local meter.
func TestCountDecides(t *testing.T) {
	const now = 10 * time.Second
	for name, tc := range map[string]struct {
		status Status
		total  float64 // since the start of the counter period, including the request's own unit
		sent   bool
		after  []float64 // further adds
	}{
		"room":                         {OK, 101, true, nil},
		"last unit":                    {OK, 110, true, nil},
		"no quota left: taken back":    {OK, 111, false, []float64{-1}},
		"idle time is added":           {OK, 1, true, []float64{100}},
		"no response: a share is free": {Timeout, 0, true, nil},
		"rejected: added later":        {Overloaded, 0, true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			b, rec := newTestBalancer(t, nil)
			q := newRequest(1, "read", "rated", now)
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

// Two gateways that find the count behind add the same idle time. The second takes its part back, also if it
// notices only after a call without a response.
func TestIdleTimeIsAddedOnce(t *testing.T) {
	const now = 10 * time.Second
	for _, lost := range []bool{false, true} {
		b, rec := newTestBalancer(t, nil)
		q := newRequest(1, "read", "rated", now)
		q.Gateways = 2
		b.HandleRequest(now, q)
		rec.answer(b, now, OK, 1)
		later := now
		if lost {
			rec.answer(b, now, Timeout, 0)
			later += time.Second
			submitMany(b, rec, 2, 1, "rated", 1, 2, later)
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

// Counter calls for a customer that is known to be beyond its quota become ever rarer.
func TestHotCustomerDoesNotOverloadTheCounter(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	asked := 0
	for i := range uint32(500) {
		now := 10*time.Second + time.Duration(i)*50*msec
		q := newRequest(1+i, "read", "rated", now)
		q.Gateways = 300
		before := len(rec.counts)
		b.minLoss = 1e-9 // calls are limited
		b.HandleRequest(now, q)
		for len(b.counterCalls) > 0 {
			if rec.counts[len(rec.counts)-1].add > 0 {
				asked++
			}
			rec.answer(b, now, OK, 10*now.Seconds()+20)
		}
		if len(rec.counts) == before && len(rec.sends) > 0 {
			t.Fatalf("request %d was granted without a counter call", q.ID)
		}
	}
	if asked > 60 || asked < 5 {
		t.Errorf("%d calls in 25 s for a customer that stays beyond its quota", asked)
	}
}

func TestCounterOutageFallsBackToAnEvenShare(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	now, id := time.Duration(0), uint32(1)
	for range 3 {
		call := submitUntilCall(t, b, rec, "rated", id, now)
		b.HandleCounter(now, CounterResult{Name: call.name, Status: Timeout})
		now, id = now+time.Second, id+100
	}
	submitMany(b, rec, 1000, 20, "rated", 1, 2, now) // use up the quota
	passed := 0
	for i := range 400 {
		passed += submitMany(b, rec, 2000+uint32(i), 1, "rated", 1, 2, now+time.Duration(i)*10*msec)
	}
	if passed < 18 || passed > 22 {
		t.Errorf("%d passed in 4 s, want half of 40", passed)
	}
}

func TestConcurrencyCap(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	for id := uint32(1); id <= 3; id++ {
		b.HandleRequest(0, newRequest(id, "read", "open", 0))
	}
	if _, ok := rec.refused[3]; !ok || len(rec.sends) != 2 {
		t.Errorf("sends %v, refused %v, want two sent and the third refused", rec.sends, rec.refused)
	}
}

// serveCounter simulates a counter that gateways share and that responds at once.
func serveCounter(bs []*Balancer, recs []*recorder, totals map[string]float64, now time.Duration) {
	for i, rec := range recs {
		for len(rec.counts) > 0 {
			c := rec.counts[0]
			rec.counts = rec.counts[1:]
			totals[c.name] += c.add
			bs[i].HandleCounter(now, CounterResult{Name: c.name, Status: OK, Total: totals[c.name], Elapsed: msec})
		}
	}
}

// Requests that the counter confirmed to be within the quota are under the ceiling. Gateways that each have a small
// share of the ceiling, empty at their start, must not refuse them, and together they must not exceed the ceiling.
func TestConfirmedRequestsNeedNoShareOfTheCeiling(t *testing.T) {
	const gatewayCount = 8
	bs, recs := make([]*Balancer, gatewayCount), make([]*recorder, gatewayCount)
	for i := range bs {
		bs[i], recs[i] = newTestBalancer(t, func(s *Settings) {
			s.Gateways = gatewayCount
			for i := range s.Plans {
				s.Plans[i].OverrunCost = 1 // worth a call
			}
		})
		bs[i].limit.Max, bs[i].doubtedAt = 100, 1 // no load limit; started long ago
	}
	sent, bucket, totals := 0, 20.0, map[string]float64{}
	id, began := uint32(0), 40*time.Second+counterPeriod/2 // well into a period
	for tick := range 400 {                                // 100 a second in total, ten times the quota
		now := began + time.Duration(tick)*10*msec
		i := tick % gatewayCount
		id++
		q := newRequest(id, "read", "capped", now)
		q.Gateways = gatewayCount
		n := len(recs[i].sends)
		bs[i].HandleRequest(now, q)
		serveCounter(bs, recs, totals, now)
		if bucket = min(20, bucket+0.2); len(recs[i].sends) > n {
			recs[i].end(bs[i], now, 0, OK)
			sent++
			if bucket--; bucket < 0 {
				t.Fatalf("the ceiling is exceeded after %d", sent)
			}
		}
		if tick == 30 && sent < 9 { // the quota's burst is 10; a share of the ceiling is under one unit by now
			t.Errorf("%d sent in 0.3 s of a quota of 13", sent)
		}
	}
}

// An unused quota needs no counter call, except under a ceiling of which this gateway has no share yet.
func TestCeilingIsWorthACall(t *testing.T) {
	for plan, want := range map[string]bool{"rated": false, "capped": true} {
		b, rec := newTestBalancer(t, func(s *Settings) { s.Plans[3].OverrunCost = 1 })
		b.limit.Max = 100
		now := 30 * time.Second
		q := newRequest(1, "read", plan, now)
		q.Gateways = 2
		c := b.customer(now, &request{Request: q, plan: b.plans[plan]})
		c.readAt, c.ceiling = now-msec, ratecap.New(now) // just read, and unused
		b.HandleRequest(now, q)
		if asked := len(rec.sends) == 0 && len(rec.counts) == 1; asked != want {
			t.Errorf("%s: sends %v, calls %v, want the call first: %v", plan, rec.sends, rec.counts, want)
		}
	}
}

// Under load, requests that the counter can't confirm are shed first, by the probability that they are beyond quota.
func TestUnconfirmedRequestsAreShedFirst(t *testing.T) {
	for odds, want := range map[float64]bool{0: true, 0.5: false} {
		b, rec := newTestBalancer(t, nil)
		b.limit.Max, b.inFlight, b.limit.Load, b.valueRate, b.overQuota = 10, 6, 6, 10, odds
		b.counterFails, b.nextCallAt = 1, time.Hour
		q := newRequest(1, "read", "rated", 0)
		q.Gateways = 2
		b.HandleRequest(0, q)
		if sent := len(rec.sends) == 1; sent != want {
			t.Errorf("probability %v of being beyond quota: sent %v, want %v", odds, sent, want)
		}
	}
}

// Requests past their target are counted separately from requests shed for load.
func TestReasonsOfRefusals(t *testing.T) {
	b, _ := newTestBalancer(t, nil)
	b.limit.Max, b.inFlight, b.limit.Load = 10, 12, 12
	b.HandleRequest(0, newRequest(1, "read", "free", 0))
	q := newRequest(2, "read", "free", 0)
	b.classes["read"].votes, b.classes["read"].usualWait = 50, q.Deadline-2*b.cfg.Tick
	q.Deadline = time.Second // of a deadline of 3 s: 2 s have passed
	b.HandleRequest(0, q)
	if r := b.Totals().Refused; r[Shed] != 1 || r[TargetPassed] != 1 {
		t.Errorf("refused %v, want one for load and one past its target", r)
	}
}

// An overload of the counter is forgotten soon, however few calls a gateway makes.
func TestCounterOverloadDecaysByTime(t *testing.T) {
	b, _ := newTestBalancer(t, nil)
	b.meanLoss, b.minLoss = 1, 8
	for i := range 4 {
		b.counterCalls["n"] = func(time.Duration, CounterResult) {}
		b.HandleCounter(time.Duration(i+1)*time.Second, CounterResult{Name: "n", Status: OK, Elapsed: msec})
	}
	if b.minLoss > 0.25 {
		t.Errorf("calls still limited to losses above %v after 4 s of good responses", b.minLoss)
	}
}

// A restarted gateway may have used up its share of the ceiling before the restart.
func TestCeilingStartsEmptyAndFillsByShare(t *testing.T) {
	b, rec := newTestBalancer(t, func(s *Settings) { s.Counter = false })
	if got := submitMany(b, rec, 1, 20, "capped", 1, 2, 0); got != 0 {
		t.Errorf("%d passed at the start, want none", got)
	}
	if got := submitMany(b, rec, 100, 40, "capped", 1, 2, time.Minute); got != 10 {
		t.Errorf("%d passed, want ceiling burst / gateways = 10", got)
	}
}

func TestIdleCustomersAreDropped(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	for i := range 1000 {
		q := newRequest(uint32(i+1), "read", "rated", 0)
		q.Customer = string(rune('a'+i%26)) + string(rune(i))
		b.HandleRequest(0, q)
		if _, no := rec.refused[q.ID]; !no {
			rec.end(b, 0, 0, OK)
		}
	}
	for _, c := range rec.counts {
		b.HandleCounter(msec, CounterResult{Name: c.name, Total: c.add})
	}
	b.HandleTimer(2*CounterTTL, "beat")
	if len(b.customers) != 0 || len(b.meters) != 0 {
		t.Errorf("%d customers, %d meters, want none", len(b.customers), len(b.meters))
	}
}

// Calls without a response are no sign of overload: once the counter is back, it is called as before.
func TestCallsAreNotLimitedAfterOutage(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	now, id := 10*time.Second, uint32(1)
	for range 8 {
		submitUntilCall(t, b, rec, "rated", id, now)
		rec.answer(b, now, Timeout, 0)
		now, id = now+3*time.Second, id+100
	}
	before := b.minLoss
	submitUntilCall(t, b, rec, "rated", id, now)
	rec.answer(b, now, OK, 10*now.Seconds())
	if b.minLoss > b.meanLoss/4 || before < 2*b.minLoss {
		t.Errorf("limit %v during the outage, %v after it, the mean loss is %v", before, b.minLoss, b.meanLoss)
	}
}

// An unreadable response has no total, but is no outage: its units count as added, and calls go on.
func TestUnreadableResponsesAreNoOutage(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	b.limit.Max = 100
	now, id := 10*time.Second, uint32(1)
	for range 8 {
		call := submitUntilCall(t, b, rec, "rated", id, now)
		before := len(rec.counts)
		b.HandleCounter(now, CounterResult{Name: call.name, Status: Error})
		if len(rec.counts) > before && rec.counts[before].add > 0 {
			t.Errorf("%v added again", rec.counts[before])
		}
		now, id = now+3*time.Second, id+100
	}
	if b.counterDown(now) || !b.mayCall(now) || b.minLoss > 0 {
		t.Errorf("counter down %v, may call %v, limit %v", b.counterDown(now), b.mayCall(now), b.minLoss)
	}
}

// One connection that stalls fails all its calls. That is one failure, not an outage of the counter.
func TestConcurrentFailuresCountOnce(t *testing.T) {
	b, rec := newTestBalancer(t, nil)
	now := 10 * time.Second
	for i := range uint32(20) {
		q := newRequest(1+i, "read", "rated", now)
		q.Gateways, q.Customer = 2, string(rune('a'+i))
		b.HandleRequest(now, q)
	}
	if len(rec.counts) != 20 {
		t.Fatalf("%d calls", len(rec.counts))
	}
	now += b.cfg.CounterTimeout
	for _, c := range slices.Clone(rec.counts) {
		b.HandleCounter(now, CounterResult{Name: c.name, Status: Timeout, Elapsed: b.cfg.CounterTimeout})
	}
	if now += b.cfg.CounterTimeout; !b.mayCall(now) {
		t.Errorf("the counter may not be called before %v, it is %v", b.nextCallAt, now)
	}
}
