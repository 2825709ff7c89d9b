package consensus

import (
	"testing"
	"time"
)

// TestEpochHistory checks that a process sees the primary's role pass to another member, and that
// the history is limited.
func TestEpochHistory(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 5, 1)
	lost, survivor := w.primary(), w.nodes[len(w.nodes)-1]
	before := survivor.machine.EpochHistory()
	w.kill(lost, true)
	w.run(2 * time.Second)
	history := survivor.machine.EpochHistory()
	if len(before) == 0 || len(history) <= len(before) {
		t.Fatalf("%d epochs before, %d after", len(before), len(history))
	}
	last, newest := before[len(before)-1], history[len(history)-1]
	primary := func(c EpochChange) (addr string) {
		for _, s := range c.Members {
			if s.Role == "primary" {
				addr += s.Addr
			}
		}
		return addr
	}
	if primary(last) != lost.config.Self || primary(newest) != w.primary().config.Self || newest.At <= last.At ||
		len(newest.Members) != 3 {
		t.Errorf("%+v, then %+v", last, newest)
	}
	for range 2 * maxEpochHistory {
		survivor.machine.view.Ballot.N++
		survivor.machine.recordEpochHistory()
	}
	if n := len(survivor.machine.EpochHistory()); n != maxEpochHistory {
		t.Errorf("%d epochs in the history", n)
	}
}
