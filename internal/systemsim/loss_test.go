package systemsim

import (
	"testing"
	"time"
)

// TestRecover: each loss is recovered from within the bound, phase by phase, at all nodes.
// None is agreed upon at once: that would be the epoch from before.
func TestRecover(t *testing.T) {
	t.Parallel()
	for _, loss := range Losses {
		t.Run(string(loss), func(t *testing.T) {
			t.Parallel()
			f := FleetOf(7)
			f.Seed = 3
			r := Recover(f, loss)
			if late := r.Late(recovery); r.Stats.Broken != "" || late != "" {
				t.Fatalf("%v; late: %s; %v", r.Stats, late, r.Ends)
			}
			if r.Ends[0] < 50*time.Millisecond {
				t.Errorf("phases end after %v", r.Ends)
			}
		})
	}
}
