package consensus

import (
	"fmt"
	"testing"
)

// TestExplore explores small models completely, and checks that a disabled safeguard is detected.
func TestExplore(t *testing.T) {
	t.Parallel()
	for _, b := range []ModelBounds{{Puts: 2, Reads: 1}, {StartSilent: true, Puts: 2, SameVersion: true},
		{StartSilent: true, Puts: 1, LateMessages: 1},
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
		t.Errorf("BugReuseDiskID is not detected in %d states", f.States)
	}
}

// TestRandomWalk lets two machines of a larger cluster fail at once, and checks that it detects
// bugs that small models are too small for.
func TestRandomWalk(t *testing.T) {
	t.Parallel()
	b := ModelBounds{Members: 6, ToleratedLosses: 2, StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3,
		LateMessages: 3, DuplicatedMessages: 3, ShortWaits: 30, LongWaits: 60}
	for pair := BothKilled; pair <= BothWiped; pair++ {
		w := Walk(b, pair, 1, 15, 220)
		if w.Violation != "" || w.Acked == 0 || w.Epochs == 0 {
			t.Errorf("pair fault %d: %+v", pair, w)
		}
		if again := Walk(b, pair, 1, 15, 220); again.Steps != w.Steps || again.Acked != w.Acked {
			t.Errorf("pair fault %d: %d steps, then %d", pair, w.Steps, again.Steps)
		}
	}
	b = ModelBounds{Members: 3, ToleratedLosses: 1, StartSilent: true, Puts: 4, LostMessages: 1, LateMessages: 1,
		DuplicatedMessages: 1, ShortWaits: 20, LongWaits: 30, Crashes: 2,
		DiskWipes: 1, Bug: BugAckEarly}
	if w := Walk(b, NoPair, 1, 300, 160); w.Violation == "" {
		t.Error("BugAckEarly is not detected")
	}
	b = ModelBounds{Members: 3, ToleratedLosses: 1, StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3,
		LateMessages: 3, DuplicatedMessages: 1, ShortWaits: 30, LongWaits: 60, Bug: BugOwnBody}
	if w := Walk(b, BothKilled, 1, 300, 220); w.Violation == "" {
		t.Error("BugOwnBody is not detected")
	}
}
