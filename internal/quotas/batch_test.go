package quotas

import (
	"fmt"
	"testing"
	"time"

	"asterwell/internal/fsm"
)

// newCrowdedMeter returns the meter of one of many gateways with many tenants.
func newCrowdedMeter(tenants, gateways int) (*Meter, []string, map[string]Limit) {
	limits, names := map[string]Limit{}, make([]string, tenants)
	for i := range names {
		names[i] = fmt.Sprintf("t%05d", i)
		limits[names[i]] = Limit{50, 50}
	}
	m := NewMeter("g", 7, 1)
	m.SetLimits(time.Hour, limits)
	m.SetGateways(time.Hour, gateways, []string{"h", "i"})
	return m, names, limits
}

// itemsOf returns the items of an add in any encoding.
func itemsOf(t *testing.T, m *Meter, a Add) []Item {
	t.Helper()
	a, ok := a.Expand(m.incarnation)
	if !ok {
		t.Fatal("the add can't be decoded")
	}
	if len(a.Packed) == 0 {
		return a.Items
	}
	items, _, ok := m.rosters.byHash(a.RosterHash).items(a.Period, a.Packed)
	if !ok {
		t.Fatal("the items of the add can't be unpacked")
	}
	return append(items, a.Items...)
}

// TestAddsHaveBound checks that adds to a holder that doesn't answer cover all tenants without exceeding
// the bound, and that the holder knows all once it answers. A second holder that takes over is told all
// again, and its levels don't include units of long ago.
func TestAddsHaveBound(t *testing.T) {
	m, names, limits := newCrowdedMeter(3000, 23)
	c := NewCounter("h", 1)
	c.SetLimits(limits)
	now, reported, maxInAdd := time.Hour, map[string]bool{}, 0
	run := func(span time.Duration, holders map[string]*Counter) {
		for end := now + span; now < end; now += 10 * time.Millisecond {
			for _, s := range m.Tick(now) {
				items := itemsOf(t, m, s.Msg.(Add))
				maxInAdd = max(maxInAdd, len(items))
				for _, it := range items {
					reported[it.Tenant] = true
				}
				if to := holders[s.To]; to != nil {
					for _, back := range to.Receive(now, "g", s.Msg) {
						m.Receive(now+time.Millisecond, s.To, back.Msg)
					}
				}
			}
			for _, h := range holders {
				h.Tick(now)
			}
		}
	}
	pass := func() {
		for _, n := range names {
			m.Allow(now, n, 1)
		}
	}
	pass()
	run(4*time.Second, nil) // five adds a second to a silent holder
	if maxInAdd > maxItems || len(reported) != len(names) {
		t.Errorf("%d items in an add, %d of %d tenants reported", maxInAdd, len(reported), len(names))
	}
	run(3*time.Second, map[string]*Counter{"h": c})
	pass()
	run(3*time.Second, map[string]*Counter{"h": c})
	uncounted := func() (n int) {
		for _, e := range m.ordered {
			if e.unacked() > 0 {
				n++
			}
		}
		return n
	}
	if n := uncounted(); n > 0 {
		t.Errorf("a holder that answers has not counted %d tenants", n)
	}
	run(20*time.Second, map[string]*Counter{"h": c}) // a period later, all units have drained
	for range 10 {
		pass()
		run(time.Second, map[string]*Counter{"h": c})
	}
	run(3*time.Second, map[string]*Counter{"h": c})
	other := NewCounter("i", 2)
	other.SetLimits(limits)
	run(4*time.Second, map[string]*Counter{"i": other})
	pass()
	run(3*time.Second, map[string]*Counter{"i": other})
	if n := uncounted(); n > 0 {
		t.Errorf("the second holder has not counted %d tenants", n)
	}
	for _, n := range names {
		if l := other.tenants[n]; l == nil || l.level > 1.5 { // one unit was passed seconds ago
			t.Fatalf("the second holder's usage is %+v for %s", l, n)
		}
	}
	if maxInAdd > maxItems {
		t.Errorf("%d items in an add", maxInAdd)
	}
}

// TestOldInTurns checks that with many tenants the sums of an ended period are sent a few at a time, and
// that all are sent.
func TestOldInTurns(t *testing.T) {
	m, names, limits := newCrowdedMeter(3000, 23)
	c := NewCounter("h", 1)
	c.SetLimits(limits)
	now, most, lumps := time.Hour, 0, 0
	for end := now + 40*time.Second; now < end; now += 10 * time.Millisecond {
		if now < end-20*time.Second {
			m.Allow(now, names[int(now/(10*time.Millisecond))%len(names)], 1)
			m.Allow(now, names[int(now/(10*time.Millisecond))*7%len(names)], 1)
		}
		for _, s := range m.Tick(now) {
			old := 0
			for _, it := range itemsOf(t, m, s.Msg.(Add)) {
				if it.Period != m.period {
					old++
				}
			}
			if s.To == "h" {
				if now > end-20*time.Second { // all had been counted before the period ended
					if most = max(most, old); old > maxPrevItems {
						lumps++
					}
				}
				for _, back := range c.Receive(now, "g", s.Msg) {
					m.Receive(now+time.Millisecond, "h", back.Msg)
				}
			}
		}
		c.Tick(now)
	}
	left := 0
	for _, e := range m.ordered {
		if e.prev.period != 0 {
			left++
		}
	}
	if most == 0 || most > maxItems || lumps > 1 || left > 0 { // the last ones that fit in an add go at once
		t.Errorf("%d sums of an earlier period in an add, more than %d in %d adds, %d left at the end", most, maxPrevItems, lumps, left)
	}
}

// TestPatience checks that an unanswered gateway repeats its adds at the usual rate in a small fleet, and
// ever more rarely in a large one.
func TestPatience(t *testing.T) {
	for gateways, bounds := range map[int][2]int{23: {55, 75}, 125: {55, 75}, 490: {8, 16}} {
		m, names, _ := newCrowdedMeter(20, gateways)
		now, adds := time.Hour, 0
		for end := now + 10*time.Second; now < end; now += 10 * time.Millisecond {
			m.Allow(now, names[int(now/time.Millisecond)%20], 1)
			for _, s := range m.Tick(now) {
				if s.To == "h" {
					adds++
				}
			}
		}
		if adds < bounds[0] || adds > bounds[1] {
			t.Errorf("%d gateways: one sends %d adds in 10 s without an answer, want %v", gateways, adds, bounds)
		}
	}
}

// TestRestsIdle checks that a tick without new requests visits no tenants.
func TestRestsIdle(t *testing.T) {
	m, _, _ := newCrowdedMeter(12000, 490)
	now := time.Hour
	for range 100 {
		now += 50 * time.Millisecond
		m.Tick(now)
	}
	if n := len(m.activeTenants()); n > 0 || m.holders[0].resendAll || m.holders[1].resendAll {
		t.Errorf("%d tenants are visited without requests", n)
	}
}

// TestOnItsWay checks that with many tenants and a holder 55 ms away an unanswered unit isn't sent again
// and again, but a lost one is.
func TestOnItsWay(t *testing.T) {
	for _, far := range []bool{false, true} {
		m, names, limits := newCrowdedMeter(600, 23)
		c := NewCounter("h", 1)
		c.SetLimits(limits)
		type letter struct {
			at  fsm.Time
			msg any
		}
		var there, back []letter
		way := time.Millisecond
		if far {
			way = 55 * time.Millisecond
		}
		now, passed, reported, adds := time.Hour, 0, 0, 0
		step := func(lose bool) {
			now += 5 * time.Millisecond
			for _, s := range m.Tick(now) {
				if s.To != "h" {
					continue
				}
				adds++
				reported += len(itemsOf(t, m, s.Msg.(Add)))
				if !lose || adds%10 > 0 {
					there = append(there, letter{now + way, s.Msg})
				}
			}
			for len(there) > 0 && there[0].at <= now {
				for _, s := range c.Receive(now, "g", there[0].msg) {
					back = append(back, letter{now + way, s.Msg})
				}
				there = there[1:]
			}
			for len(back) > 0 && back[0].at <= now {
				m.Receive(now, "h", back[0].msg)
				back = back[1:]
			}
			if now%(50*time.Millisecond) == 0 {
				c.Tick(now)
			}
		}
		measure := func(steps int, lose bool) float64 {
			passed, reported = 0, 0
			for i := range steps {
				m.Allow(now, names[(i*7)%len(names)], 1)
				m.Allow(now, "t00000", 1) // at four times its rate: adds don't wait for each other
				passed++
				step(lose)
			}
			return float64(reported) / float64(passed)
		}
		measure(800, false)
		if often := measure(800, false); often > 1.6 {
			t.Errorf("far %v: a unit is reported %.2f times", far, often)
		}
		measure(800, true)
		for range 200 {
			step(false)
		}
		for _, e := range m.ordered {
			if e.unacked() > 0 {
				t.Fatalf("far %v: of %s %.0f units were never counted", far, e.tenant, e.unacked())
			}
		}
	}
}

// TestAfterStandstill checks that a holder that was frozen for five seconds catches up with forty gateways
// and 2,000 tenants. Its capacity is bounded: 50 µs for an add, 8 µs for an item, and half of that for adds
// that it only reads and drops. Without a bound on adds it would drop them forever, as each is larger than
// the one before.
func TestAfterStandstill(t *testing.T) {
	t.Parallel()
	const gateways, tenants = 40, 2000
	meters := make([]*Meter, gateways)
	c := NewCounter("h", 1)
	var names []string
	for i := range meters {
		var limits map[string]Limit
		meters[i], names, limits = newCrowdedMeter(tenants, gateways)
		c.SetLimits(limits)
	}
	type letter struct {
		at   fsm.Time
		from int
		add  Add
		n    int
	}
	var wait []letter
	now, spare, waited, dropped, stands := time.Hour, 0.0, time.Duration(0), 0, false
	step := func(pass bool) {
		now += 10 * time.Millisecond
		for g, m := range meters {
			for k := range 4 {
				if pass { // 400 a second at each gateway
					m.Allow(now, names[(int(now/(10*time.Millisecond))*4+k+g*37)%tenants], 1)
				}
			}
			for _, s := range m.Tick(now) {
				if s.To == "h" {
					wait = append(wait, letter{now, g, s.Msg.(Add), len(itemsOf(t, m, s.Msg.(Add)))})
				}
			}
		}
		for spare = min(spare+10e-3, 10e-3); spare > 0 && len(wait) > 0 && !stands; {
			l := wait[0]
			wait = wait[1:]
			cost := 50e-6 + 8e-6*float64(l.n)
			if len(wait) > 20 {
				if waited = max(waited, now-l.at); now-l.at > 45*time.Millisecond {
					spare -= cost / 2
					dropped++
					continue
				}
			}
			spare -= cost
			for _, s := range c.Receive(now, fmt.Sprint("g", l.from), l.add) {
				meters[l.from].Receive(now, "h", s.Msg)
			}
		}
		if now%(50*time.Millisecond) == 0 && !stands {
			c.Tick(now)
			c.ReportQueueDelay(now, waited)
			waited = 0
		}
	}
	uncounted := func() (n int) {
		for _, m := range meters {
			for _, e := range m.ordered {
				if e.unacked() > 2 {
					n++
				}
			}
		}
		return n
	}
	for range 500 {
		step(true)
	}
	if n := uncounted(); n > 0 || dropped > 0 {
		t.Errorf("without a fault %d tenants are not counted, %d adds are dropped", n, dropped)
	}
	stands = true
	for range 500 {
		step(true)
	}
	stands = false
	began := now
	for now-began < 10*time.Second {
		step(true)
		if now%(100*time.Millisecond) == 0 && len(wait) < 100 && uncounted() == 0 {
			break
		}
	}
	if t.Logf("all is counted %v after the freeze, %d adds dropped", now-began, dropped); now-began > 6*time.Second {
		t.Errorf("%d tenants are not counted %v after the freeze, %d adds wait", uncounted(), now-began, len(wait))
	}
}

// TestWayRound checks when another route to a holder is tried: for a near one after the usual time, for one
// in another region when an answer is later than the round trip varies, for an overloaded one only after a
// second.
func TestWayRound(t *testing.T) {
	for _, c := range []struct {
		paced uint8
		way   time.Duration
		after time.Duration
	}{{0, 0, retryGap}, {0, 2 * time.Millisecond, retryGap}, {0, 110 * time.Millisecond, 185 * time.Millisecond}, {25, 0, time.Second}} {
		m, names, _ := newCrowdedMeter(20, 490)
		now := time.Hour
		if c.way > 0 {
			m.holders[0].rtt.observe(now, c.way)
		}
		m.Allow(now, names[0], 1)
		m.Tick(now + relaxedGap)
		m.holders[0].sendInterval = c.paced
		began := m.holders[0].unansweredSince
		if m.ReadOverdue(began+c.after-3*time.Millisecond, "h") || !m.ReadOverdue(began+c.after, "h") {
			t.Errorf("%+v: the read is not overdue from then on", c)
		}
	}
}

// TestCrowdGap checks that first reads above the early rate are sent together: with many gateways over up
// to the shortest gap between adds, with up to 250 over the usual time. Rare first reads are not delayed in
// large fleets.
func TestCrowdGap(t *testing.T) {
	for gateways, want := range map[int]fsm.Time{1: 25, 91: 25, 250: 25, 300: 30, 490: 49, 1000: 50} {
		var q earlyReads
		now := time.Hour
		for range int(earlyReadBurst) {
			if got := q.gap(now, gateways); got != earlyReadGap {
				t.Errorf("%d gateways: a rare first read waits %v", gateways, got)
			}
			q.left--
		}
		if got := q.gap(now, gateways); got != want*time.Millisecond {
			t.Errorf("%d gateways: first reads are sent together over %v, want %d ms", gateways, got, want)
		}
	}
}

// TestBackoff checks that unanswered gateways of a large fleet repeat ever more rarely, so that an
// overloaded holder gets less than it can count, and that they return to the usual rate after one answer.
// In a small fleet nothing changes.
func TestBackoff(t *testing.T) {
	for gateways, most := range map[int]int{11: 200, 125: 200, 490: 10} {
		m := NewMeter("g", 1, 1)
		now := time.Hour
		m.SetGateways(now, gateways, []string{"h", "i"})
		m.SetLimits(now, map[string]Limit{"t": {100, 100}})
		spend := func(span time.Duration, answered bool) (adds int) {
			for end := now + span; now < end; now += 10 * time.Millisecond {
				m.Allow(now, "t", 1)
				for _, s := range m.Tick(now) {
					if s.To != "h" {
						continue
					}
					adds++
					if a := s.Msg.(Add); answered {
						m.Receive(now, "h", Answer{Incarnation: 1, Timestamp: a.Timestamp, Period: 1 << tagBits})
					}
				}
			}
			return adds
		}
		before := spend(2*time.Second, true)
		spend(10*time.Second, false)
		if n := spend(10*time.Second, false); n > most {
			t.Errorf("%d gateways: %d adds in 10 s to a holder that hasn't answered for as long, at most %d allowed", gateways, n, most)
		}
		spend(4*time.Second, true)
		if after := spend(2*time.Second, true); after < before/2 {
			t.Errorf("%d gateways: %d adds in 2 s after an answer, %d before", gateways, after, before)
		}
	}
}
