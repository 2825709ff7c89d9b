package dataplane

import (
	"net/http"
	"testing"
	"time"

	"asterwell/internal/faultrules"
	"asterwell/internal/protocol"
)

// TestRequestTimes: a request that was served passes all stages in order.
func TestRequestTimes(t *testing.T) {
	got := make(chan [protocol.StageCount]int64, 1)
	g := newTestGateway(t, faultrules.Strike{}, func(o *Options) {
		o.FaultInjector = nil // struck requests take another path
		o.OnRequestTimes = func(id string, times *protocol.StageTimes) {
			if id == "one" {
				got <- times.At()
			}
		}
	})
	if status, _, _ := g.request(t, http.DefaultClient, "k1", "one", "x"); status != http.StatusOK {
		t.Fatal("answered ", status)
	}
	select {
	case marks := <-got:
		for i, mark := range marks {
			if mark == 0 || i > 0 && mark < marks[i-1] {
				t.Errorf("stage %d at %d, the one before at %v", i, mark, marks[:i])
			}
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was taken down")
	}
}
