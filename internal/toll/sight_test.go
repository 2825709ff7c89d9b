package toll

import (
	"testing"
	"time"
)

// TestSight: who answers questions and falls silent is missed, a process that knows none is
// not, and nobody is after the counter itself stood still.
func TestSight(t *testing.T) {
	c := NewCounter("a", 1)
	c.Nodes([]string{"a", "b", "c", "d"})
	now, asked := time.Minute, map[string]bool{}
	pass := func(d time.Duration) uint32 {
		for end := now + d; now < end; now += 50 * time.Millisecond {
			for _, s := range c.Tick(now) {
				asked[s.To] = true
			}
			c.Take(now, "d", Add{Life: 1, Near: true, Signs: true})
		}
		return c.Take(now, "d", Add{Life: 1, Read: true, Signs: true})[0].Msg.(Answer).Missing
	}
	c.Tick(now)
	c.Take(now, "b", Add{Life: 1, Signs: true})
	c.Take(now, "c", Add{Life: 1})
	if n := pass(400 * time.Millisecond); n != 1 || !asked["b"] || asked["c"] || asked["d"] {
		t.Errorf("%d missing, asked %v", n, asked)
	}
	now += time.Second
	if n := c.Take(now, "d", Add{Life: 1, Read: true, Near: true, Signs: true})[0].Msg.(Answer).Missing; n != 0 {
		t.Errorf("%d missing after a freeze", n)
	}
}
