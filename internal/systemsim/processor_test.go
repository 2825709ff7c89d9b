package systemsim

import (
	"fmt"
	"testing"
	"time"
)

// TestLeave: how long a leaving server waits hardly grows with the gateways, nor does what one process sends for it,
// also on processors that have little left.
func TestLeave(t *testing.T) {
	for _, fleet := range []struct {
		gateways int
		besides  float64
		within   time.Duration
	}{{30, 0.285, 60 * ms}, {100, 0.285, 60 * ms}, {300, 0.05, 60 * ms}, {300, 0.285, 200 * ms}} {
		t.Run(fmt.Sprint(fleet.gateways, " ", fleet.besides), func(t *testing.T) {
			t.Parallel()
			l := Leave(fleet.gateways, 4, fleet.besides, 1)
			t.Logf("%d gateways, %.1f%% besides: acknowledged after %v, at most %v; for each %.0f news, %.0f acks, %.0f bytes; of one process %.0f frames, %.0f bytes",
				fleet.gateways, 100*fleet.besides, l.Took.Of(0.5), l.Took.Of(1), l.News, l.Acks, l.BytesOut, l.Most, l.BytesMost)
			if l.Stats.Broken != "" || len(l.Took) != 4 || l.Took.Of(1) > fleet.within || l.Most > 100 {
				t.Errorf("%d gateways: %v, %d acknowledged", fleet.gateways, l.Stats, len(l.Took))
			}
		})
		if testing.Short() && fleet.gateways >= 100 {
			break
		}
	}
}
