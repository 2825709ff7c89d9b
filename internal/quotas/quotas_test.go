package quotas

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestBound lets some tenants send many times their rate while others stay below it, under the faults that
// the system must tolerate.
func TestBound(t *testing.T) {
	const cut, healed = "18 nodes 6 0 1\n18 there 5 6 7", "35 heal 6 7 8 9 10\n36 nodes 11 0 1"
	cases := []struct {
		name, script string
		calm         float64 // part of the requests within quotas that may be refused
	}{
		{"quiet", "", 0.0005},
		{"lossy", "0 loss 5", 0.001},
		{"holder killed", "15 kill 0\n18 nodes 10 1 2\n30 boot 0\n31 nodes 11 0 1", 0.003},
		{"both holders killed", "15 kill 0 1\n18 nodes 9 2 3\n30 boot 0 1\n31 nodes 11 0 1", 0.12},
		{"holder frozen", "15 freeze 0\n20 thaw 0\n25 freeze 0\n26 thaw 0", 0.003},
		{"cut off", "15 cut 5\n18 nodes 10 0 1\n18 there 1 5\n35 heal 5\n36 nodes 11 0 1", 0.03},
		{"holder cut off", "15 cut 0\n18 nodes 10 1 2\n18 there 1 0\n35 heal 0\n36 nodes 11 0 1", 0.005},
		{"cut in two", "15 cut 6 7 8 9 10\n" + cut + "\n" + healed, 0.12},
		{"frozen", "15 freeze 5\n16 thaw 5\n20 freeze 5 6\n25 thaw 5 6", 0.003},
		{"restarted", "15 kill 5\n15.5 boot 5\n17 kill 5\n17.5 boot 5\n19 kill 6\n19.5 boot 6", 0.001},
		{"in turn", "15 kill 1\n16 boot 1\n17 kill 2\n18 boot 2\n19 kill 0\n20 boot 0", 0.003},
		{"fewer, more", "15 kill 7 8 9 10\n17 nodes 7 0 1\n27 boot 7 8 9 10\n28 nodes 11 0 1", 0.08},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			for seed := range uint64(2) {
				hot := &tenantTraffic{tenant: "hot", limit: Limit{129, 129}, rate: 600, firstGatewayPart: 0.25}
				calm := &tenantTraffic{tenant: "calm", limit: Limit{129, 129}, rate: 116}
				f := newTestFleet(t, 11, seed, hot, calm,
					&tenantTraffic{tenant: "tiny", limit: Limit{13, 13}, rate: 100},
					&tenantTraffic{tenant: "late", limit: Limit{129, 129}, burst: 1200, burstInterval: 6 * time.Second},
					&tenantTraffic{tenant: "flood", limit: Limit{129, 129}, burst: 900, burstInterval: 9 * time.Second,
						burstSpread: 1500 * time.Millisecond},
					&tenantTraffic{tenant: "wide", limit: Limit{129, 129}, burst: 110, burstInterval: 3 * time.Second,
						burstSpread: 300 * time.Millisecond},
					&tenantTraffic{tenant: "one", limit: Limit{129, 129}, burst: 110, burstInterval: 3 * time.Second,
						burstSpread: 300 * time.Millisecond, burstToOne: true})
				f.run(45*time.Second, c.script)
				for _, l := range f.traffic {
					t.Logf("%-5s offered %5d passed %5d refused %.4f worst 5 s %d of %d", l.tenant,
						l.offered, len(l.passed), l.refusedPart(), l.maxInWindow(), l.bound())
					if l.maxInWindow() > l.bound() {
						t.Errorf("seed %d: %s passes %d in 5 s, bound %d", seed, l.tenant, l.maxInWindow(), l.bound())
					}
				}
				if calm.refusedPart() > c.calm {
					t.Errorf("seed %d: %.4f of the requests within quotas refused", seed, calm.refusedPart())
				}
				if len(hot.passed) < 129*40*9/10 {
					t.Errorf("seed %d: only %d requests of the overloaded tenant pass", seed, len(hot.passed))
				}
				t.Logf("%d messages a second", f.sends/45)
			}
		})
	}
}

// TestHunt runs random sequences of faults, also of holders.
func TestHunt(t *testing.T) {
	const n = 13
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 77))
		script := fmt.Sprintf("0 loss %d\n", max(0, rng.IntN(7)-3))
		for at := 10.0; at < 50; at += 2 + rng.Float64()*4 {
			x, last := rng.IntN([]int{2, n}[rng.IntN(2)]), 0.3+rng.Float64()*8
			fault := [][2]string{{"kill", "boot"}, {"freeze", "thaw"}, {"cut", "heal"}}[rng.IntN(3)]
			script += fmt.Sprintf("%f %s %d\n", at, fault[0], x)
			if last > 3 {
				holders := [][2]int{{1, 2}, {0, 2}, {0, 1}}[min(x, 2)]
				script += fmt.Sprintf("%f nodes %d %d %d\n", at+3, n-1, holders[0], holders[1])
				script += fmt.Sprintf("%f there 1 %d\n", at+3, x)
			}
			script += fmt.Sprintf("%f %s %d\n%f nodes %d 0 1\n", at+last, fault[1], x, at+last+1, n)
			at += last
		}
		calm := &tenantTraffic{tenant: "calm", limit: Limit{129, 129}, rate: 116}
		f := newTestFleet(t, n, seed, calm,
			&tenantTraffic{tenant: "hot", limit: Limit{129, 129}, rate: 900, firstGatewayPart: 0.2},
			&tenantTraffic{tenant: "tiny", limit: Limit{20, 20}, rate: 150})
		f.run(60*time.Second, script)
		for _, l := range f.traffic {
			t.Logf("%-4s refused %.4f worst 5 s %d of %d", l.tenant, l.refusedPart(), l.maxInWindow(), l.bound())
			if l.maxInWindow() > l.bound() || l == calm && l.refusedPart() > 0.01 {
				t.Errorf("seed %d: %s passes %d in 5 s, bound %d, refused %.4f\n%s",
					seed, l.tenant, l.maxInWindow(), l.bound(), l.refusedPart(), script)
			}
		}
	}
}

// TestTest follows TAT by hand: rate 10, burst 3, so T is 100 ms and tau 200 ms.
func TestTest(t *testing.T) {
	m := NewMeter("a", 1, 1)
	m.SetGateways(0, 1, []string{"a"})
	m.SetLimits(0, map[string]Limit{"t": {10, 3}})
	e := m.tenants["t"]
	e.levelRead, e.tat = true, time.Second
	for _, s := range []struct {
		ms    int
		units float64
		after int // 0: allowed
	}{
		{1000, 1, 0}, {1000, 1, 0}, {1000, 1, 0}, {1000, 1, 100}, {1050, 1, 50}, {1050, 2, 150},
		{1100, 1, 0}, {1100, 1, 100}, {1300, 2, 0}, {1350, 1, 50}, {1500, 3, 100}, {1600, 3, 0},
	} {
		m.tickAt = time.Duration(s.ms) * time.Millisecond
		e.cur.acked = e.cur.sum // only the test is checked here: nothing is unacknowledged, and there is no stall
		ok, after := m.Allow(time.Duration(s.ms)*time.Millisecond, "t", s.units)
		if want := time.Duration(s.after) * time.Millisecond; ok != (s.after == 0) || after != want {
			t.Fatalf("%v units at %d ms: %v, after %v, want %v", s.units, s.ms, ok, after, want)
		}
	}
	if ok, _ := m.Allow(2*time.Second, "unlimited", 1); !ok {
		t.Error("refused without a limit")
	}
}

// TestChange changes a limit in both directions: no change makes more units available.
func TestChange(t *testing.T) {
	m := NewMeter("a", 1, 1)
	now := time.Hour
	set := func(rate, burst float64) float64 {
		m.SetLimits(now, map[string]Limit{"t": {rate, burst}})
		return m.tenants["t"].available(now)
	}
	set(10, 10)
	m.tenants["t"].levelRead, m.tenants["t"].tat = true, now+400*time.Millisecond
	for _, l := range []struct{ rate, burst, room float64 }{
		{10, 10, 6}, {100, 100, 6}, {1, 100, 6}, {10, 4, 4}, {10, 10, 4}, {0.5, 1, 1}, {50, 500, 1},
	} {
		if room := set(l.rate, l.burst); room < l.room-1e-3 || room > l.room+1e-3 {
			t.Fatalf("%v a second, burst %v: %v units available, want %v", l.rate, l.burst, room, l.room)
		}
	}
}

// TestSums gives a counter adds that are late, duplicate, or from earlier incarnations.
func TestSums(t *testing.T) {
	c := NewCounter("h", 1)
	report := func(from string, incarnation, sum uint64) Total {
		p := c.highestPeriod
		out := c.Receive(time.Minute, from, Add{Incarnation: incarnation, Period: p, Read: true,
			Items: []Item{{Tenant: "t", Period: p, Sum: sum, Unreported: sum, Interval: 1000}}})
		got := out[0].Msg.(Answer).Totals[0]
		return Total{Others: got.Others, Own: got.Own}
	}
	report("a", 1, 0) // issues the period
	for i, s := range []struct {
		from      string
		life, sum uint64
		want      Total
	}{
		{"a", 1, 5000, Total{Own: 5000}},
		{"b", 1, 2000, Total{Others: 5000, Own: 2000}},
		{"a", 1, 5000, Total{Others: 2000, Own: 5000}}, // duplicate
		{"a", 1, 3000, Total{Others: 2000, Own: 5000}}, // late
		{"a", 2, 1000, Total{Others: 2000, Own: 1000}}, // restarted: the sum of its earlier incarnation is not others'
		{"a", 1, 6000, Total{Others: 2000, Own: 6000}}, // late, of the earlier incarnation
		{"b", 1, 2000, Total{Others: 7000, Own: 2000}},
	} {
		if diff := cmp.Diff(s.want, report(s.from, s.life, s.sum)); diff != "" {
			t.Fatalf("step %d: %s", i, diff)
		}
	}
	if l := c.tenants["t"].level; l < 8.9 || l > 9.1 {
		t.Errorf("level %v after 9 units passed", l)
	}
	c.Tick(2 * time.Minute)
	if len(c.tenants) > 0 {
		t.Error("periods are kept after their time")
	}
}

// TestPeriods checks that a new period is issued after 20 s, or where another holder's is in use.
func TestPeriods(t *testing.T) {
	one, two := NewCounter("one", 1), NewCounter("two", 1)
	var last uint64
	for _, s := range []struct {
		at  float64
		c   *Counter
		new bool
	}{
		{1, one, true}, {20, one, false}, {21, one, true}, {22, two, true}, {23, two, false}, {24, one, true},
		{24.2, two, true}, {24.4, one, false}, {25, one, true},
	} {
		out := s.c.Receive(time.Duration(s.at*1e9), "a", Add{Incarnation: 1, Period: last, Read: true})
		p := out[0].Msg.(Answer).Period
		if p < last || (p > last) != s.new {
			t.Fatalf("at %v s: period %x after %x", s.at, p, last)
		}
		last = p
	}
}

// TestLevel checks that units which a holder sees late, but which had been reported to others, don't raise
// its level.
func TestLevel(t *testing.T) {
	c := NewCounter("h", 1)
	level := func(it Item) float64 {
		it.Tenant, it.Period, it.Interval = "t", 7, 1e6
		c.Receive(time.Minute, "a", Add{Incarnation: 1, Period: 7, Items: []Item{it}})
		return c.tenants["t"].level
	}
	for i, s := range []struct {
		it   Item
		want float64
	}{
		{Item{Sum: 3000, Unreported: 3000}, 3},
		{Item{Sum: 90000, Unreported: 2000}, 5},
		{Item{Sum: 90000, Used: 20001}, 20},
		{Item{Sum: 91000, Unreported: 1000, Used: 5001}, 21},
	} {
		if got := level(s.it); got != s.want {
			t.Fatalf("step %d: level %v, want %v", i, got, s.want)
		}
	}
}

// TestLead checks that a gateway doesn't pass all available units before others learn of it, and that a
// tenant whose periods have ended is unread.
func TestLead(t *testing.T) {
	m := NewMeter("a", 1, 1)
	m.SetGateways(0, 10, []string{"b", "c"})
	m.SetLimits(0, map[string]Limit{"t": {100, 1000}})
	now, e := time.Minute, m.tenants["t"]
	m.tickAt = now
	e.levelRead, e.tat, e.readAt, e.availableAtRead = true, now, now, 1000
	passed := 0
	for ok := true; ok; passed++ {
		ok, _ = m.Allow(now, "t", 1)
	}
	if passed < 100 || passed > 125 {
		t.Errorf("%d of 1,000 pass at one of 10 gateways", passed)
	}
	for _, period := range []uint64{1, 2, 3} {
		m.prev, m.period = m.period, period
		m.refresh(now, e)
		if !e.levelRead {
			t.Fatalf("unread in period %d", period)
		}
	}
	m.prev, m.period = 4, 5
	if m.refresh(now, e); e.levelRead {
		t.Error("still read after two periods at once")
	}
}

// TestRest checks that nothing is sent for idle tenants once all has been reported.
func TestRest(t *testing.T) {
	f := newTestFleet(t, 3, 1, &tenantTraffic{tenant: "t", limit: Limit{10, 10}, burst: 20, burstInterval: 5 * time.Second})
	f.run(6*time.Second, "")
	before := f.sends
	f.traffic[0].burst = 0
	f.run(9*time.Second, "")
	settled := f.sends
	f.run(60*time.Second, "")
	if before == 0 || f.sends != settled {
		t.Errorf("%d messages, then %d more for an idle tenant", before, f.sends-settled)
	}
}

// BenchmarkFleet measures a second of 91 gateways and 85 tenants with 2,000 requests.
func BenchmarkFleet(b *testing.B) {
	var flows []*tenantTraffic
	for i := range 85 {
		flows = append(flows, &tenantTraffic{tenant: "tenant-" + string(rune('0'+i)), limit: Limit{30, 30}, rate: 23.5})
	}
	f := newTestFleet(nil, 91, 1, flows...)
	f.run(10*time.Second, "")
	sends := f.sends
	for _, l := range flows {
		l.offered, l.refused = 0, 0
	}
	for b.Loop() {
		f.run(f.now+time.Second, "")
	}
	b.ReportMetric(flows[7].refusedPart()*100, "%refused")
	b.ReportMetric(float64(f.sends-sends)/float64(b.N), "messages/s")
}

func BenchmarkPass(b *testing.B) {
	m := NewMeter("a", 1, 1)
	m.SetGateways(0, 11, []string{"b", "c"})
	m.SetLimits(0, map[string]Limit{"t": {1e6, 1e6}})
	now := time.Second
	for b.Loop() {
		now += 1500
		m.tickAt = now
		m.Allow(now, "t", 1)
	}
}
