package world

import (
	"strings"
	"testing"
	"time"

	"asterwell/internal/rollout"
)

// A primary that is cut off for 20 s confirms nothing, makes nothing live and reports no version as absent;
// nor does it after a restart during the cut. The other side goes on meanwhile, and all processes have the
// newest version soon after the cut.
func TestCutOff(t *testing.T) {
	t.Parallel()
	for i, at := range []time.Duration{0, 7 * ms, 13 * ms, time.Second} {
		for _, c := range PartitionPrimary(uint64(i), at, 0) {
			for _, b := range c.Violations {
				t.Errorf("%s at %v: %v", c.Name, at, b)
			}
			if c.RecoveredAfter > 2*time.Second {
				t.Errorf("%s at %v: %v from the end of the cut to the newest version at all processes", c.Name, at, c.RecoveredAfter)
			}
			if quorum := !strings.HasPrefix(c.Name, "each"); quorum && c.Live < 10 || !quorum && c.Live > 3 {
				t.Errorf("%s at %v: requests are decided by %d at its end", c.Name, at, c.Live)
			}
		}
	}
}

func TestCutOffMutants(t *testing.T) {
	t.Parallel()
	for name, bug := range map[string]rollout.Bug{"unaffirmed": rollout.BugGrantUnconfirmed, "cocksure": rollout.BugAbsentUnconfirmed} {
		found := ""
		for seed := uint64(0); seed < 10 && found == ""; seed++ {
			for _, c := range PartitionPrimary(seed, 11*ms, bug) {
				if len(c.Violations) > 0 {
					found = c.Name + ": " + c.Violations[0].String()
				}
			}
		}
		if t.Log(name, found); found == "" {
			t.Errorf("%s is not found", name)
		}
	}
}

// The status shown to operators guarantees nothing, but a primary that is cut off from all must soon stop
// claiming to be the primary.
func TestAloneStatus(t *testing.T) {
	t.Parallel()
	worst := time.Duration(0)
	for seed := range uint64(20) {
		w := startTraced(t, Options{Seed: seed}, 0, 0)
		p, from := w.primary(), w.now
		isolate(w, p)
		for p.control.RolloutStatus(p.clock()).Leads && w.now < from+5*time.Second {
			w.Run(10 * ms)
		}
		worst = max(worst, w.now-from)
	}
	if t.Logf("%v", worst); worst > time.Second {
		t.Errorf("it claims so for %v", worst)
	}
}
