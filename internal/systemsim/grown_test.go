package systemsim

import (
	"testing"
	"time"
)

// TestGrow plays a small fleet for a short time: bounds and rules hold, and the figures
// are of things that happened.
func TestGrow(t *testing.T) {
	t.Parallel()
	f := FleetOf(11)
	f.Seed, f.Rest, f.Traffic, f.Storm = 1, 2*time.Second, 2*time.Second, 6*time.Second
	g := Grow(f)
	switch {
	case g.Stats.Broken != "":
		t.Fatal(g.Stats)
	case g.AtRest.Out < 100 || g.AtRest.EdgeMost > 1000:
		t.Errorf("at rest %.0f bytes a second, at most %.0f", g.AtRest.Out, g.AtRest.EdgeMost)
	case len(g.Alls) < 10 || g.Alls.Of(1) > converge || len(g.Turns) < 11*len(g.Alls):
		t.Errorf("%d configurations, in force after %v", len(g.Alls), g.Alls.Of(1))
	case len(g.Drains) == 0 || g.Drains.Of(1) > drainTime || g.Recover <= 0 || g.Recover > recovery:
		t.Errorf("%d drains, at most %v; ready after %v", len(g.Drains), g.Drains.Of(1), g.Recover)
	case g.Stormy.EdgeMost > edgeLink/2:
		t.Errorf("%.0f bytes a second in the storm", g.Stormy.EdgeMost)
	}
}
