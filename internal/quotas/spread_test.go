package quotas

import (
	"testing"
	"time"
)

// TestSpread checks that a tenant below its rate is hardly refused when its requests are spread over many
// gateways: units that others passed while a gateway had no request are no debt.
func TestSpread(t *testing.T) {
	for _, n := range []int{11, 30, 91} {
		for seed := range uint64(2) {
			l := &tenantTraffic{tenant: "t", limit: Limit{60, 60}, rate: 51}
			f := newTestFleet(t, n, seed, l)
			f.run(10*time.Second, "")
			l.offered, l.refused = 0, 0 // the start is not measured
			f.run(45*time.Second, "")
			t.Logf("%d gateways: %d of %d refused, worst 5 s %d", n, l.refused, l.offered, l.maxInWindow())
			if l.refusedPart() > 0.01 {
				t.Errorf("%d gateways, seed %d: %.4f of the requests within quotas refused", n, seed, l.refusedPart())
			}
		}
	}
}
