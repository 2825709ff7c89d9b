package quotas

import (
	"fmt"
	"testing"
	"time"

	"asterwell/internal/fsm"
)

// crowded is a gateway before many tenants, of so many gateways.
func crowded(tenants, gateways int) (*Meter, []string, map[string]Limit) {
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

// itemsOf is what an add tells, whatever its form.
func itemsOf(t *testing.T, m *Meter, a Add) []Item {
	t.Helper()
	a, ok := a.Expand(m.incarnation)
	if !ok {
		t.Fatal("an add can't be read")
	}
	if len(a.Packed) == 0 {
		return a.Items
	}
	items, _, ok := m.rosters.byHash(a.RosterHash).items(a.Period, a.Packed)
	if !ok {
		t.Fatal("an add can't be unpacked")
	}
	return append(items, a.Items...)
}

// TestAddsHaveBound: a holder that answers nothing is told of all tenants, but of no more at once than an add has room
// for; once it answers it knows all. Another one that takes its place is told all again, and what was passed
// long ago counts for nothing of its levels.
func TestAddsHaveBound(t *testing.T) {
	m, names, limits := crowded(3000, 23)
	c := NewCounter("h", 1)
	c.SetLimits(limits)
	now, told, most := time.Hour, map[string]bool{}, 0
	run := func(span time.Duration, holders map[string]*Counter) {
		for end := now + span; now < end; now += 10 * time.Millisecond {
			for _, s := range m.Tick(now) {
				items := itemsOf(t, m, s.Msg.(Add))
				most = max(most, len(items))
				for _, it := range items {
					told[it.Tenant] = true
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
	run(4*time.Second, nil) // who is silent is told five times a second
	if most > maxItems || len(told) != len(names) {
		t.Errorf("%d items in an add, %d of %d tenants told", most, len(told), len(names))
	}
	run(3*time.Second, map[string]*Counter{"h": c})
	pass()
	run(3*time.Second, map[string]*Counter{"h": c})
	unheard := func() (n int) {
		for _, e := range m.ordered {
			if e.unacked() > 0 {
				n++
			}
		}
		return n
	}
	if n := unheard(); n > 0 {
		t.Errorf("a holder that answers has not heard of %d tenants", n)
	}
	run(20*time.Second, map[string]*Counter{"h": c}) // a period later, all have drained
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
	if n := unheard(); n > 0 {
		t.Errorf("the second holder has not heard of %d tenants", n)
	}
	for _, n := range names {
		if l := other.tenants[n]; l == nil || l.level > 1.5 { // one unit was passed seconds ago
			t.Fatalf("the second holder takes %+v of %s for in use", l, n)
		}
	}
	if most > maxItems {
		t.Errorf("%d items in an add", most)
	}
}

// TestOldInTurns: the sums of a period that is over go a few at a time where there are many, and all go.
func TestOldInTurns(t *testing.T) {
	m, names, limits := crowded(3000, 23)
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
				if now > end-20*time.Second { // all had been heard before the period ended
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
	if most == 0 || most > maxItems || lumps > 1 || left > 0 { // the last of them that an add has room for go at once
		t.Errorf("%d sums of a period before in an add, more than %d in %d, %d left in the end", most, maxPrevItems, lumps, left)
	}
}

// TestPatience: who gets no answer repeats as often as ever in a small fleet, and ever more seldom in a large one.
func TestPatience(t *testing.T) {
	for gateways, bounds := range map[int][2]int{23: {55, 75}, 125: {55, 75}, 490: {8, 16}} {
		m, names, _ := crowded(20, gateways)
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
			t.Errorf("%d gateways: one sends %d adds in 10 s without an answer, not %v", gateways, adds, bounds)
		}
	}
}

// TestRestsIdle: a gateway that no request comes to goes through none of its tenants at a tick.
func TestRestsIdle(t *testing.T) {
	m, _, _ := crowded(12000, 490)
	now := time.Hour
	for range 100 {
		now += 50 * time.Millisecond
		m.Tick(now)
	}
	if n := len(m.activeTenants()); n > 0 || m.holders[0].resendAll || m.holders[1].resendAll {
		t.Errorf("%d tenants are gone through at rest", n)
	}
}

// TestOnItsWay: where there are many tenants and the holder is 55 ms away, what is on its way isn't sent again and again;
// one that is lost is.
func TestOnItsWay(t *testing.T) {
	for _, far := range []bool{false, true} {
		m, names, limits := crowded(600, 23)
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
		now, passed, told, adds := time.Hour, 0, 0, 0
		step := func(lose bool) {
			now += 5 * time.Millisecond
			for _, s := range m.Tick(now) {
				if s.To != "h" {
					continue
				}
				adds++
				told += len(itemsOf(t, m, s.Msg.(Add)))
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
		play := func(steps int, lose bool) float64 {
			passed, told = 0, 0
			for i := range steps {
				m.Allow(now, names[(i*7)%len(names)], 1)
				m.Allow(now, "t00000", 1) // four times its rate: adds don't wait for each other
				passed++
				step(lose)
			}
			return float64(told) / float64(passed)
		}
		play(800, false)
		if often := play(800, false); often > 1.6 {
			t.Errorf("far %v: a unit is told %.2f times", far, often)
		}
		play(800, true)
		for range 200 {
			step(false)
		}
		for _, e := range m.ordered {
			if e.unacked() > 0 {
				t.Fatalf("far %v: of %s %.0f units were never heard", far, e.tenant, e.unacked())
			}
		}
	}
}

// TestAfterStandstill: a holder that stood still for five seconds is told of all that was passed meanwhile by forty
// gateways before 2,000 tenants. What it can count is bounded: 50 µs an add, 8 µs an item, and half of that for those that it only
// reads and drops. All is heard soon after; adds without a bound would be dropped for ever, each larger than the one before.
func TestAfterStandstill(t *testing.T) {
	t.Parallel()
	const gateways, tenants = 40, 2000
	meters := make([]*Meter, gateways)
	c := NewCounter("h", 1)
	var names []string
	for i := range meters {
		var limits map[string]Limit
		meters[i], names, limits = crowded(tenants, gateways)
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
				if pass { // 400 a second at each
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
	unheard := func() (n int) {
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
	if n := unheard(); n > 0 || dropped > 0 {
		t.Errorf("in ordinary traffic %d tenants are not heard of, %d adds are dropped", n, dropped)
	}
	stands = true
	for range 500 {
		step(true)
	}
	stands = false
	began := now
	for now-began < 10*time.Second {
		step(true)
		if now%(100*time.Millisecond) == 0 && len(wait) < 100 && unheard() == 0 {
			break
		}
	}
	if t.Logf("all is heard %v after the standstill, %d adds dropped", now-began, dropped); now-began > 6*time.Second {
		t.Errorf("%d tenants are not heard of %v after the standstill, %d adds wait", unheard(), now-began, len(wait))
	}
}

// TestWayRound: ways round are looked for after the usual time; to a holder in another region when an answer is later than
// its ways vary; to one that has said that it is under strain only after a second.
func TestWayRound(t *testing.T) {
	for _, c := range []struct {
		paced uint8
		way   time.Duration
		after time.Duration
	}{{0, 0, retryGap}, {0, 2 * time.Millisecond, retryGap}, {0, 110 * time.Millisecond, 185 * time.Millisecond}, {25, 0, time.Second}} {
		m, names, _ := crowded(20, 490)
		now := time.Hour
		if c.way > 0 {
			m.holders[0].rtt.observe(now, c.way)
		}
		m.Allow(now, names[0], 1)
		m.Tick(now + relaxedGap)
		m.holders[0].sendInterval = c.paced
		began := m.holders[0].unansweredSince
		if m.ReadOverdue(began+c.after-3*time.Millisecond, "h") || !m.ReadOverdue(began+c.after, "h") {
			t.Errorf("%+v: not mute from then on", c)
		}
	}
}

// TestCrowdGap: first reads beyond some a second go together, of many gateways over as long as lies between any two adds;
// of up to 250 as ever, and those that are few aren't held up by the size of the fleet.
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
			t.Errorf("%d gateways: first reads go together over %v, not %d ms", gateways, got, want)
		}
	}
}

// TestBackoff: gateways of a large fleet that get no answer repeat ever more seldom, so that a holder that fell behind
// is told less than it can count; one answer, and they tell it as often as before. In a small fleet nothing differs.
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
			t.Errorf("%d gateways: %d adds in 10 s to a holder that hasn't answered for as long, %d at the most", gateways, n, most)
		}
		spend(4*time.Second, true)
		if after := spend(2*time.Second, true); after < before/2 {
			t.Errorf("%d gateways: %d adds in 2 s after an answer, %d before", gateways, after, before)
		}
	}
}
