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
	lost, stays := w.primary(), w.nodes[len(w.nodes)-1]
	before := stays.machine.EpochHistory()
	w.kill(lost, true)
	w.run(2 * time.Second)
	past := stays.machine.EpochHistory()
	if len(before) == 0 || len(past) <= len(before) {
		t.Fatalf("%d epochs before, %d after", len(before), len(past))
	}
	was, is := before[len(before)-1], past[len(past)-1]
	primary := func(c EpochChange) (addr string) {
		for _, s := range c.Members {
			if s.Role == "primary" {
				addr += s.Addr
			}
		}
		return addr
	}
	if primary(was) != lost.config.Self || primary(is) != w.primary().config.Self || is.At <= was.At ||
		len(is.Members) != 3 {
		t.Errorf("%+v, then %+v", was, is)
	}
	for range 2 * maxEpochHistory {
		stays.machine.view.Ballot.N++
		stays.machine.recordEpochHistory()
	}
	if n := len(stays.machine.EpochHistory()); n != maxEpochHistory {
		t.Errorf("%d epochs in the history", n)
	}
}
