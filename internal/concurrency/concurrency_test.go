package concurrency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the responses, the limit stays between its bounds, and a series of late
// responses lowers it to the minimum.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(100 * time.Millisecond)
		l.ServersPerGateway = rapid.Float64Range(0.05, 50).Draw(t, "share")
		now := time.Second
		l.Init(now)
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			l.Adjust(now, rapid.Float64Range(0, 200).Draw(t, "out"), rapid.Bool().Draw(t, "late"))
			if l.Max < l.Min()/2 || l.Max > maxFactor*l.Min()*1.3+0.1 {
				t.Fatalf("limit %v with a minimum of %v", l.Max, l.Min())
			}
		}
		for range 60 {
			l.Adjust(now, 5, true)
		}
		if l.Max > l.Min()*1.01 {
			t.Fatalf("limit %v after only late responses, minimum %v", l.Max, l.Min())
		}
	})
}

// The limit grows only while it is used.
func TestLimitGrowsWhereItIsUsed(t *testing.T) {
	for used, grows := range map[float64]bool{1: false, 7: true} {
		l := New(100 * time.Millisecond)
		l.ServersPerGateway = 2
		l.Init(0)
		before := l.Max
		for i := range 50 {
			l.Adjust(time.Duration(i)*100*time.Millisecond, used, false)
		}
		if (l.Max > before) != grows {
			t.Errorf("%v out: limit from %v to %v", used, before, l.Max)
		}
	}
}

// Servers that become known one by one give the same limit as all at once, but not
// after a late response.
func TestInitialLimitFollowsServers(t *testing.T) {
	whole, one := New(100*time.Millisecond), New(100*time.Millisecond)
	whole.ServersPerGateway = 3
	whole.Init(0)
	for _, share := range []float64{0.03, 1, 3} {
		one.ServersPerGateway = share
		one.Init(0)
	}
	if one.Max != whole.Max {
		t.Errorf("limit %v, all at once %v", one.Max, whole.Max)
	}
	one.Adjust(time.Second, 20, true)
	before := one.Max
	one.ServersPerGateway = 4
	if one.Init(time.Second); one.Max != before {
		t.Errorf("limit from %v to %v after late responses", before, one.Max)
	}
}
