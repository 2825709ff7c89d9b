package consensus

import (
	"testing"
	"time"
)

// TestPast: who stays sees one duty pass to another, and the list of epochs is bounded.
func TestPast(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 5, 1)
	lost, stays := w.primary(), w.nodes[len(w.nodes)-1]
	before := stays.m.EpochHistory()
	w.kill(lost, true)
	w.run(2 * time.Second)
	past := stays.m.EpochHistory()
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
	if primary(was) != lost.cfg.Self || primary(is) != w.primary().cfg.Self || is.At <= was.At || len(is.Members) != 3 {
		t.Errorf("%+v, then %+v", was, is)
	}
	for range 2 * maxEpochHistory {
		stays.m.view.Ballot.N++
		stays.m.recordEpochHistory()
	}
	if n := len(stays.m.EpochHistory()); n != maxEpochHistory {
		t.Errorf("%d epochs are kept", n)
	}
}
