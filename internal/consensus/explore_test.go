package consensus

import (
	"fmt"
	"testing"
)

// TestExplore visits small models as a whole, and finds guards that are taken out.
func TestExplore(t *testing.T) {
	t.Parallel()
	for _, b := range []ModelBounds{{Puts: 2, Reads: 1}, {StartSilent: true, Puts: 2, SameVersion: true}, {StartSilent: true, Puts: 1, LateMessages: 1},
		{StartSilent: true, ShortWaits: 1}} {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			f := Explore(b)
			if !f.Complete || f.Violation != "" || b.ShortWaits > 0 && f.Epochs == 0 {
				t.Errorf("%+v", f)
			}
			if again := Explore(b); again.States != f.States || again.Steps != f.Steps {
				t.Errorf("%d states, then %d", f.States, again.States)
			}
		})
	}
	b := ModelBounds{StartSilent: true, DiskWipes: 1, Bug: BugReuseDiskID}
	if f := Explore(b); f.Violation == "" || len(f.Trace) == 0 {
		t.Errorf("an empty disk that counts is not found in %d states", f.States)
	}
}

// TestWalk loses two machines at once of a larger core, and finds what small models are too small for.
func TestWalk(t *testing.T) {
	t.Parallel()
	b := ModelBounds{Members: 6, ToleratedLosses: 2, StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3, LateMessages: 3, DuplicatedMessages: 3, ShortWaits: 30, LongWaits: 60}
	for pair := BothKilled; pair <= BothWiped; pair++ {
		w := Walk(b, pair, 1, 15, 220)
		if w.Violation != "" || w.Acked == 0 || w.Epochs == 0 {
			t.Errorf("pair %d: %+v", pair, w)
		}
		if again := Walk(b, pair, 1, 15, 220); again.Steps != w.Steps || again.Acked != w.Acked {
			t.Errorf("pair %d: %d steps, then %d", pair, w.Steps, again.Steps)
		}
	}
	b = ModelBounds{Members: 3, ToleratedLosses: 1, StartSilent: true, Puts: 4, LostMessages: 1, LateMessages: 1, DuplicatedMessages: 1, ShortWaits: 20, LongWaits: 30, Crashes: 2,
		DiskWipes: 1, Bug: BugAckEarly}
	if w := Walk(b, NoPair, 1, 300, 160); w.Violation == "" {
		t.Error("an early acknowledgement is not found")
	}
	b = ModelBounds{Members: 3, ToleratedLosses: 1, StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3, LateMessages: 3, DuplicatedMessages: 1, ShortWaits: 30, LongWaits: 60, Bug: BugOwnBody}
	if w := Walk(b, BothKilled, 1, 300, 220); w.Violation == "" {
		t.Error("a candidate that goes on with its own text is not found")
	}
}
