package quotas

import (
	"fmt"
	"testing"
	"time"
)

// TestFewItems checks that hundreds of gateways that turn to a holder that may be new report some of their
// tenants in each add, and all of them soon. With full adds from each gateway that holder would be late as
// well, and the gateways would turn back.
func TestFewItems(t *testing.T) {
	for gateways, want := range map[int]int{250: maxItems, 490: maxItemsLargeFleet} {
		m, names, limits := newCrowdedMeter(2000, gateways)
		now, most, heard := time.Hour, 0, map[string]bool{}
		run := func(d time.Duration, holder string, c *Counter) {
			for end := now + d; now < end; now += 10 * time.Millisecond {
				m.Allow(now, names[int(now/(10*time.Millisecond))%len(names)], 1)
				for _, s := range m.Tick(now) {
					if s.To != holder {
						continue
					}
					items := itemsOf(t, m, s.Msg.(Add))
					for _, it := range items {
						if most = max(most, len(items)); holder == "i" {
							heard[it.Tenant] = true
						}
					}
					for _, back := range c.Receive(now, "g", s.Msg) {
						m.Receive(now+time.Millisecond, holder, back.Msg)
					}
				}
				c.Tick(now)
			}
		}
		c, other := NewCounter("h", 1), NewCounter("i", 2)
		c.SetLimits(limits)
		other.SetLimits(limits)
		run(18*time.Second, "h", c)
		run(10*time.Second, "i", other)
		if most != want {
			t.Errorf("%d gateways: up to %d items in an add, want %d", gateways, most, want)
		}
		if len(heard) < 1700 { // of more than 1,800 that were passed in this period
			t.Errorf("%d gateways: the new holder has counted %d tenants", gateways, len(heard))
		}
	}
}

// TestNamesToAndFro checks that the number of periods at a holder is bounded when hundreds of gateways
// alternate between two holders, each of which issues a period above the other's, and that the sums of the
// newest are right. In a small fleet all periods are kept for their time.
func TestNamesToAndFro(t *testing.T) {
	for gateways, most := range map[int]int{91: 100, 490: maxPeriods} {
		names := make([]string, gateways)
		for g := range names {
			names[g] = fmt.Sprintf("10.0.%d.%d:7", g/250, g%250)
		}
		holders := []*Counter{NewCounter(names[0], 1), NewCounter(names[1], 1)}
		for _, c := range holders {
			c.SetGateways(names)
			c.SetLimits(map[string]Limit{"t": {100, 100}})
		}
		now, period, had := time.Hour, uint64(0), 0
		for turn := range 40 {
			c := holders[turn%2]
			now += 510 * time.Millisecond
			for again := range 2 { // then all report their sums in the period that was issued for the first of them
				for g, from := range names[2:] {
					for _, s := range c.Receive(now, from, Add{Incarnation: uint64(g + 1), Period: period, Timestamp: now, Read: true,
						Items: []Item{{Tenant: "t", Period: period, Sum: milliUnits, Unreported: milliUnits, Interval: 1e4}}}) {
						a := s.Msg.(Answer)
						if period = max(period, a.Period); again == 1 && g == gateways-3 && a.Totals[0].Others != uint64(gateways-3)*milliUnits {
							t.Errorf("%d gateways, turn %d: others have %d", gateways, turn, a.Totals[0].Others)
						}
					}
				}
			}
			c.Tick(now)
			had = max(had, len(c.tenants["t"].periods))
		}
		if had > most || had < min(most, 20) {
			t.Errorf("%d gateways: a tenant has %d periods at a holder", gateways, had)
		}
	}
}
