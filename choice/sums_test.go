package choice

import (
	"math/rand/v2"
	"testing"
	"time"
)

// gatewaySet is a set of gateways that share only a counter, which responds at once.
type gatewaySet struct {
	t           *testing.T
	change      func(*Settings)
	balancers   []*Balancer
	recorders   []*recorder
	counts      map[string]float64
	counterDown bool // counter calls time out and add nothing
	lastID      uint32
}

func newGatewaySet(t *testing.T, gatewayCount int, change func(*Settings)) *gatewaySet {
	s := &gatewaySet{t: t, counts: map[string]float64{}, balancers: make([]*Balancer, gatewayCount), recorders: make([]*recorder, gatewayCount)}
	s.change = func(set *Settings) {
		set.Gateways = gatewayCount
		if change != nil {
			change(set)
		}
	}
	for i := range gatewayCount {
		s.restart(i)
	}
	return s
}

func (s *gatewaySet) restart(i int) { s.balancers[i], s.recorders[i] = newTestBalancer(s.t, s.change) }

// ask submits a request of one unit to gateway i, answers its counter calls, and reports whether it was sent.
func (s *gatewaySet) ask(now time.Duration, i int, plan string) bool {
	return s.askFor(now, i, plan, "c")
}

func (s *gatewaySet) askFor(now time.Duration, i int, plan, customer string) bool {
	b, rec := s.balancers[i], s.recorders[i]
	s.lastID++
	q := newRequest(s.lastID, "read", plan, now)
	q.Gateways, q.Customer = len(s.balancers), customer
	sends := len(rec.sends)
	b.HandleRequest(now, q)
	for len(b.counterCalls) > 0 {
		for _, c := range rec.counts {
			status := Timeout
			if !s.counterDown {
				s.counts[c.name] += c.add
				status = OK
			}
			total := s.counts[c.name]
			if b.counterCalls[c.name] != nil {
				rec.counts = rec.counts[1:]
				b.HandleCounter(now, CounterResult{Name: c.name, Status: status, Total: total})
				break
			}
		}
	}
	if len(rec.sends) == sends {
		return false
	}
	rec.end(b, now, 0, OK)
	return true
}

// A customer that sends five times its rate gets its quota, no more and not much less, from 1, 3 or 300 gateways,
// although half of them restart and the counter loses its counts.
func TestQuotaHoldsOverAllGateways(t *testing.T) {
	for _, gatewayCount := range []int{1, 3, 300} {
		s, sent := newGatewaySet(t, gatewayCount, nil), 0
		const seconds, rate = 18, 50
		for tick := range seconds * rate {
			now := time.Minute + time.Duration(tick)*time.Second/rate // within one counter period
			if tick == seconds*rate/3 {
				for i := 0; i < gatewayCount && gatewayCount > 1; i += 2 {
					s.restart(i)
				}
			}
			if tick == seconds*rate*2/3 {
				clear(s.counts)
			}
			if s.ask(now, tick*7919%gatewayCount, "rated") {
				sent++
			}
		}
		if quota := 10 + 10*seconds; sent > quota+12 || sent < quota*8/10 {
			t.Errorf("%d gateways sent %d, the quota is %d", gatewayCount, sent, quota)
		}
	}
}

// After an outage of the counter, with or without its counts, customers far below their quota are not refused for
// units that have been refilled meanwhile, and one far above it gets no more than its quota.
func TestQuotaAfterCounterOutage(t *testing.T) {
	for _, empty := range []bool{false, true} {
		s := newGatewaySet(t, 3, nil)
		refused, asked, sent := 0, 0, 0
		for tick := range 24 * 50 {
			now := 2*time.Minute + time.Duration(tick)*20*msec
			if s.counterDown = tick > 6*50 && tick < 14*50; tick == 13*50 && empty {
				clear(s.counts)
			}
			for c := range 6 { // six a second of each, by one gateway at a time
				if tick%8 == c {
					pass := s.askFor(now, (tick/100+c)%3, "rated", string(rune('a'+c)))
					if tick > 14*50+25 {
						if asked++; !pass {
							refused++
						}
					}
				}
			}
			if s.askFor(now, tick%3, "rated", "hot") && tick > 14*50+25 {
				sent++
			}
		}
		if refused > asked/20 {
			t.Errorf("empty %v: %d of %d refused within the quota", empty, refused, asked)
		}
		if quota := 10 + 10*10; sent > quota+12 {
			t.Errorf("empty %v: sent %d in 10 s, the quota is %d", empty, sent, quota)
		}
	}
}

// The ceiling holds over all gateways, although all restart and the counter loses its counts.
func TestCeilingHoldsOverAllGateways(t *testing.T) {
	for _, gatewayCount := range []int{1, 3, 20} {
		s, sent := newGatewaySet(t, gatewayCount, nil), 0
		for tick := range 10 * 100 {
			now := time.Minute + time.Duration(tick)*10*msec
			if tick == 500 {
				clear(s.counts)
				for i := range gatewayCount {
					s.restart(i)
				}
			}
			if s.ask(now, tick%gatewayCount, "capped") {
				sent++
			}
		}
		if ceiling := 20 + 20*10 + 4; sent > ceiling {
			t.Errorf("%d gateways sent %d, the ceiling with its slack allows %d", gatewayCount, sent, ceiling)
		}
	}
}

// After a start all quotas are unused and nothing is known of load: the gateways together must not send a rush.
func TestNoRushAfterStart(t *testing.T) {
	for _, size := range []struct{ gatewayCount, backends int }{{1, 4}, {3, 10}, {364, 76}} {
		sent := 0
		for door := range size.gatewayCount {
			set, rec := settings(), &recorder{refused: map[uint32]time.Duration{}, failed: map[uint32]bool{}}
			set.Gateways = size.gatewayCount
			b, err := New(set, uint64(door), rec)
			if err != nil {
				t.Fatal(err)
			}
			var all []Member
			for id := range uint32(size.backends) {
				all = append(all, Member{ID: id + 1, Zone: "a", Weight: 1})
			}
			b.HandleRoster(0, RosterUpdate{Whole: true, Members: all})
			for i := range 20 * max(1, size.backends/size.gatewayCount) {
				now := time.Duration(i) * 100 * msec
				b.HandleRequest(now, newRequest(uint32(i), "once", "free", now))
			}
			sent += len(rec.sends)
		}
		if least, most := size.backends, 8*size.backends; sent < least || sent > most {
			t.Errorf("%d gateways sent %d to %d backends within seconds, without a response, want %d to %d", size.gatewayCount, sent,
				size.backends, least, most)
		}
	}
}

// While calls are limited most requests make none. The counter must still get exactly the units that were sent, or
// all gateways refuse a customer that is within its quota.
func TestLimitedCallsReportAllUnits(t *testing.T) {
	s, sent := newGatewaySet(t, 3, nil), 0.0
	const asked = 90.0
	for i := range int(asked) { // six a second, the quota is ten
		for _, b := range s.balancers {
			b.minLoss = 5 // one call in five
		}
		if s.ask(2*time.Minute+time.Duration(i)*time.Second/6, i%3, "rated") {
			sent++
		}
	}
	counted := 0.0
	for _, n := range s.counts {
		counted += n
	}
	for _, b := range s.balancers {
		counted += b.customers["c"].unreported
	}
	if sent < asked*6/10 {
		t.Errorf("%v of %v requests sent", sent, asked)
	}
	// The count starts with the units that stand for idle time.
	if idle := 100.0; counted > sent+idle {
		t.Errorf("%v units counted for %v sent", counted, sent)
	}
}

// A ceiling holds over many gateways whatever happens to the counter that confirms the quota: outages, recovery with
// or without its counts, restarts of gateways, new periods. The customer sends ten times its quota throughout.
func TestCeilingHoldsWhateverTheCounterDoes(t *testing.T) {
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		gatewayCount := 2 + rng.IntN(7)
		gateway := func(i int, now time.Duration) (*Balancer, *recorder) {
			b, rec := newTestBalancer(t, func(s *Settings) {
				s.Gateways, s.Index = gatewayCount, i
				p := &s.Plans[3]
				p.OverrunCost, p.CeilingRate, p.CeilingBurst = 1, 11, 12 // slightly above the quota
			})
			b.limit.Max, b.startedAt = 1000, now
			return b, rec
		}
		var bs []*Balancer
		var recs []*recorder
		began := time.Duration(20+rng.IntN(20)) * time.Second
		for i := range gatewayCount {
			b, rec := gateway(i, began)
			bs, recs = append(bs, b), append(recs, rec)
		}
		totals, bucket, sent := map[string]float64{}, 12.0, 0
		type late struct {
			door int
			name string
			at   time.Duration
		}
		var unanswered []late
		silent := began + time.Duration(rng.IntN(8000))*msec
		back, empty := silent+time.Duration(500+rng.IntN(8000))*msec, rng.IntN(2) == 0
		for tick := range 3000 { // 30 s
			now := began + time.Duration(tick)*10*msec
			if empty && now >= back && now < back+10*msec {
				clear(totals)
			}
			if tick%500 == 250 && rng.IntN(2) == 0 {
				i := rng.IntN(gatewayCount)
				bs[i], recs[i] = gateway(i, now)
			}
			i := rng.IntN(gatewayCount)
			q := newRequest(uint32(tick+1), "read", "capped", now)
			q.Gateways = gatewayCount
			n := len(recs[i].sends)
			bs[i].HandleRequest(now, q)
			for i, rec := range recs {
				for len(rec.counts) > 0 {
					c := rec.counts[0]
					rec.counts = rec.counts[1:]
					if now >= silent && now < back {
						unanswered = append(unanswered, late{i, c.name, now + 40*msec})
						continue
					}
					totals[c.name] += c.add
					bs[i].HandleCounter(now, CounterResult{Name: c.name, Status: OK, Total: totals[c.name], Elapsed: msec})
				}
			}
			for len(unanswered) > 0 && unanswered[0].at <= now {
				u := unanswered[0]
				unanswered = unanswered[1:]
				bs[u.door].HandleCounter(now, CounterResult{Name: u.name, Status: Timeout, Elapsed: 40 * msec})
			}
			bucket = min(12, bucket+0.11)
			if got := len(recs[i].sends); got > n {
				bucket -= float64(got - n)
				sent += got - n
				recs[i].end(bs[i], now, 0, OK)
			}
			if bucket < -4 { // its slack
				t.Fatalf("seed %d: ceiling exceeded by %.1f after %v (counter down from %v to %v, empty %v)", seed, -bucket,
					now-began, silent-began, back-began, empty)
			}
		}
		if sent < 150 {
			t.Errorf("seed %d: %d sent in 30 s of a quota of 310", seed, sent)
		}
	}
}
