package systemsim

import (
	"os"
	"sync/atomic"
	"testing"
)

// TestKeeps: where nobody hands its seat over, the scripts of second losses are not played to their ends. Without most of the
// core nobody has a proof of contact either, so who starts is not ready.
func TestKeeps(t *testing.T) {
	t.Parallel()
	text, err := os.ReadFile("testdata/second-loss.txt")
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(3) {
		if s := Run(string(text), seed, Keeps, nil); s.Broken != "COMMIT" && s.Broken != "EXPECT" && s.Broken != "READY" {
			t.Error(s)
		}
	}
}

// TestMoments has the primary's disk lost at many moments of a replacement, in both orders of start; at 4 and 5 s
// the old machine is ended by its grace while the lost one is not back. Those find a leaver that keeps its seat then.
func TestMoments(t *testing.T) {
	t.Parallel()
	for _, who := range []string{"core1", "core2", "core3"} {
		for _, how := range []string{"planned", "planned first 1s"} {
			t.Run(who+" "+how, func(t *testing.T) {
				t.Parallel()
				for i, at := range []string{"200ms", "1s", "2s", "3s", "4s", "4600ms", "5s", "5400ms", "6s", "6500ms", "7s", "9s"} {
					if s := Run(SecondLoss(who, how, at), uint64(i)+1, Sound, nil); s.Broken != "" {
						t.Errorf("at %s: %v", at, s)
					}
				}
			})
		}
	}
	t.Run("kept seat", func(t *testing.T) {
		t.Parallel()
		for seed := range uint64(8) {
			if Run(SecondLoss("core2", "planned", "4s"), seed, Remnant, nil).Broken != "" {
				return
			}
		}
		t.Error("a seat that is kept to the end is not found")
	})
}

// TestGoneAgain: a newcomer that is gone before its seat is agreed on gets none, and the mutant is found.
func TestGoneAgain(t *testing.T) {
	t.Parallel()
	found := 0
	for seed := range uint64(8) {
		if s := Run(GoneAgain, seed, Sound, nil); s.Broken != "" {
			t.Error(s)
		}
		if Run(GoneAgain, seed, Unheard, nil).Broken != "" {
			found++
		}
	}
	if found == 0 {
		t.Error("a seat for one that has gone is not found")
	}
}

// TestSeatDays: drawn days with the next loss 0 ms after the count allows it; and they find seats that are kept.
func TestSeatDays(t *testing.T) {
	t.Parallel()
	var found atomic.Int32
	side(16, func(i int) {
		seed := uint64(i)
		s := Run(DrawSeats(seed), seed, Sound, nil)
		if s.Broken != "" || s.Restored.Of(1) > syncFor {
			t.Errorf("%v; restored within %v\n%s", s, s.Restored.Of(1), s.Script)
		}
		if Run(DrawSeats(seed), seed, Keeps, nil).Broken != "" {
			found.Add(1)
		}
	})
	if found.Load() == 0 {
		t.Error("seats that are kept are not found")
	}
}
