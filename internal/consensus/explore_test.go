package consensus

import (
	"fmt"
	"testing"
)

// TestExplore visits small models as a whole, and finds guards that are taken out.
func TestExplore(t *testing.T) {
	t.Parallel()
	for _, b := range []Bounds{{Puts: 2, Reads: 1}, {Silent: true, Puts: 2, Same: true}, {Silent: true, Puts: 1, Late: 1},
		{Silent: true, Shorts: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			f := Explore(b)
			if !f.All || f.Broken != "" || b.Shorts > 0 && f.Epochs == 0 {
				t.Errorf("%+v", f)
			}
			if again := Explore(b); again.States != f.States || again.Steps != f.Steps {
				t.Errorf("%d states, then %d", f.States, again.States)
			}
		})
	}
	b := Bounds{Silent: true, Wipes: 1, Bug: BugAmnesia}
	if f := Explore(b); f.Broken == "" || len(f.Trace) == 0 {
		t.Errorf("an empty disk that counts is not found in %d states", f.States)
	}
}

// TestWalk loses two machines at once of a larger core, and finds what small models are too small for.
func TestWalk(t *testing.T) {
	t.Parallel()
	b := Bounds{Members: 6, Losses: 2, Silent: true, Puts: 4, Reads: 2, Lost: 3, Late: 3, Doubled: 3, Shorts: 30, Longs: 60}
	for pair := BothKilled; pair <= BothWiped; pair++ {
		w := Walk(b, pair, 1, 15, 220)
		if w.Broken != "" || w.Acked == 0 || w.Epochs == 0 {
			t.Errorf("pair %d: %+v", pair, w)
		}
		if again := Walk(b, pair, 1, 15, 220); again.Steps != w.Steps || again.Acked != w.Acked {
			t.Errorf("pair %d: %d steps, then %d", pair, w.Steps, again.Steps)
		}
	}
	b = Bounds{Members: 3, Losses: 1, Silent: true, Puts: 4, Lost: 1, Late: 1, Doubled: 1, Shorts: 20, Longs: 30, Deaths: 2,
		Wipes: 1, Bug: BugAckEarly}
	if w := Walk(b, NoPair, 1, 300, 160); w.Broken == "" {
		t.Error("an early acknowledgement is not found")
	}
	b = Bounds{Members: 3, Losses: 1, Silent: true, Puts: 4, Reads: 2, Lost: 3, Late: 3, Doubled: 1, Shorts: 30, Longs: 60, Bug: BugOwnText}
	if w := Walk(b, BothKilled, 1, 300, 220); w.Broken == "" {
		t.Error("a candidate that goes on with its own text is not found")
	}
}
