package concurrency

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever answers show, the limit stays between its floor and its end, and a run
// of late answers brings it to the floor.
func TestLimitStaysInBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := New(100 * time.Millisecond)
		l.Share = rapid.Float64Range(0.05, 50).Draw(t, "share")
		now := time.Second
		l.Begin(now)
		for range rapid.IntRange(1, 200).Draw(t, "answers") {
			now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause"))
			l.Steer(now, rapid.Float64Range(0, 200).Draw(t, "out"), rapid.Bool().Draw(t, "late"))
			if l.Max < l.Floor()/2 || l.Max > mostOver*l.Floor()*1.3+0.1 {
				t.Fatalf("limit %v with a floor of %v", l.Max, l.Floor())
			}
		}
		for range 60 {
			l.Steer(now, 5, true)
		}
		if l.Max > l.Floor()*1.01 {
			t.Fatalf("limit %v after late answers alone, floor %v", l.Max, l.Floor())
		}
	})
}

// It grows only where it is used.
func TestLimitGrowsWhereItIsUsed(t *testing.T) {
	for used, grows := range map[float64]bool{1: false, 7: true} {
		l := New(100 * time.Millisecond)
		l.Share = 2
		l.Begin(0)
		before := l.Max
		for i := range 50 {
			l.Steer(time.Duration(i)*100*time.Millisecond, used, false)
		}
		if (l.Max > before) != grows {
			t.Errorf("%v out: limit from %v to %v", used, before, l.Max)
		}
	}
}

// Servers that become known one by one count as if all had been known at once, but
// not any more once answers have come late.
func TestLimitBeginsAnew(t *testing.T) {
	whole, one := New(100*time.Millisecond), New(100*time.Millisecond)
	whole.Share = 3
	whole.Begin(0)
	for _, share := range []float64{0.03, 1, 3} {
		one.Share = share
		one.Begin(0)
	}
	if one.Max != whole.Max {
		t.Errorf("limit %v, all at once %v", one.Max, whole.Max)
	}
	one.Steer(time.Second, 20, true)
	before := one.Max
	one.Share = 4
	if one.Begin(time.Second); one.Max != before {
		t.Errorf("limit from %v to %v after late answers", before, one.Max)
	}
}
