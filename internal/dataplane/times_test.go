package dataplane

import (
	"net/http"
	"testing"
	"time"

	"asterwell/internal/faultrules"
	"asterwell/internal/protocol"
)

// A request that was served came to each stage, one after the other.
func TestTimes(t *testing.T) {
	got := make(chan [protocol.StageCount]int64, 1)
	g := newStage(t, faultrules.Strike{}, func(o *Options) {
		o.FaultInjector = nil // what a fault rule strikes goes another way
		o.OnRequestTimes = func(id string, times *protocol.StageTimes) {
			if id == "one" {
				got <- times.At()
			}
		}
	})
	if status, _, _ := g.ask(t, http.DefaultClient, "k1", "one", "x"); status != http.StatusOK {
		t.Fatal("answered ", status)
	}
	select {
	case at := <-got:
		for i, when := range at {
			if when == 0 || i > 0 && when < at[i-1] {
				t.Errorf("stage %d at %d, the one before at %v", i, when, at[:i])
			}
		}
	case <-time.After(10 * time.Second):
		t.Fatal("nothing was taken down")
	}
}
