package quotas

import (
	"testing"
	"time"
)

// TestPace runs a holder that can count a third of what it is told. Adds wait, and too old ones are
// dropped, as in package daemon. With back-pressure the gateways send as much as it can count, hardly any
// add is dropped, and the quota holds; without it most are dropped. Once the holder can count everything
// again, adds are as frequent as before.
func TestPace(t *testing.T) {
	const gateways, few = 60, 20
	run := func(t *testing.T, backPressure bool) (dropped, taken float64) {
		hot := &tenantTraffic{tenant: "hot", limit: Limit{129, 129}, rate: 300}
		calm := &tenantTraffic{tenant: "calm", limit: Limit{129, 129}, rate: 90}
		flows := []*tenantTraffic{hot, calm}
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			flows = append(flows, &tenantTraffic{tenant: name, limit: Limit{400, 400}, rate: 300})
		}
		f := newTestFleet(t, gateways, 1, flows...)
		slow := false
		var wait []delivery
		most, waited := 0.0, time.Duration(0)
		f.holdBack = func(to *testMachine, l delivery) bool {
			if _, ok := l.msg.(Add); !ok || to != f.machines[0] || !slow {
				return false
			}
			l.at = f.now
			wait = append(wait, l)
			return true
		}
		f.eachStep = func() {
			for most = min(most+0.5, 5); most >= 1 && len(wait) > 0; { // 500 a second
				l := wait[0]
				wait = wait[1:]
				if len(wait) >= few {
					waited = max(waited, f.now-l.at)
					if f.now-l.at > 45*time.Millisecond {
						dropped++
						continue
					}
				}
				most--
				taken++
				f.deliver(f.machines[0], l)
			}
			if f.now%(50*time.Millisecond) == 0 {
				if backPressure {
					f.machines[0].counter.ReportQueueDelay(f.now, waited)
				}
				waited = 0
			}
		}
		f.run(10*time.Second, "")
		slow = true
		f.run(20*time.Second, "") // until the gap is stable
		dropped, taken = 0, 0
		for _, l := range f.traffic {
			l.offered, l.refused = 0, 0
		}
		f.run(40*time.Second, "")
		for _, l := range []*tenantTraffic{hot, calm} {
			t.Logf("back-pressure %v: %-4s worst 5 s %d of %d, %.4f refused", backPressure, l.tenant, l.maxInWindow(), l.bound(), l.refusedPart())
			if backPressure && l.maxInWindow() > l.bound() {
				t.Errorf("%s passes %d in 5 s, bound %d", l.tenant, l.maxInWindow(), l.bound())
			}
		}
		t.Logf("back-pressure %v: %.0f of %.0f adds dropped; the gap is %v", backPressure, dropped, dropped+taken, f.machines[0].counter.sendInterval)
		if backPressure {
			if calm.refusedPart() > 0.05 {
				t.Errorf("%.4f of the requests of tenant calm are refused", calm.refusedPart())
			}
			slow = false
			for _, l := range wait {
				f.deliver(f.machines[0], l)
			}
			wait = nil
			f.run(50*time.Second, "")
			if p := f.machines[0].counter.sendInterval; p != 0 {
				t.Errorf("the gap is still %v", p)
			}
		}
		return dropped, taken
	}
	dropped, taken := run(t, true)
	if dropped > 0.1*taken {
		t.Errorf("%.0f dropped, %.0f counted", dropped, taken)
	}
	if dropped, taken := run(t, false); dropped < taken/2 {
		t.Errorf("without back-pressure %.0f dropped, %.0f counted: the holder is not overloaded", dropped, taken)
	}
}
