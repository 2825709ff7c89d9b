package quotas

import (
	"testing"
	"time"
)

// TestSpread: a tenant below its rate whose requests come in at many gateways, few at
// each, is hardly refused: what the others passed while a gateway had none to pass is
// no debt.
func TestSpread(t *testing.T) {
	for _, n := range []int{11, 30, 91} {
		for seed := range uint64(2) {
			l := &tenantTraffic{tenant: "t", limit: Limit{60, 60}, rate: 51}
			f := newTestFleet(t, n, seed, l)
			f.run(10*time.Second, "")
			l.offered, l.refused = 0, 0 // the start is another matter
			f.run(45*time.Second, "")
			t.Logf("%d gateways: %d of %d refused, worst 5 s %d", n, l.refused, l.offered, l.maxInWindow())
			if l.refusedPart() > 0.01 {
				t.Errorf("%d gateways, seed %d: %.4f of the requests in quota refused", n, seed, l.refusedPart())
			}
		}
	}
}
