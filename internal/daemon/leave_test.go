package daemon

import (
	"slices"
	"testing"
	"time"

	"asterwell/internal/consensus"
)

// What is open near the end of the grace is answered once, and in time to be sent.
func TestLeave(t *testing.T) {
	for _, grace := range []time.Duration{6 * time.Second, 2 * time.Second} {
		var l leave
		var steps []step
		var called time.Duration
		for gone := time.Duration(0); gone < grace; gone += 50 * time.Millisecond {
			s := l.next(gone, grace)
			if s == reply {
				called = gone
			}
			if len(steps) == 0 || steps[len(steps)-1] != s {
				steps = append(steps, s)
			}
		}
		if want := []step{stay, empty, reply, empty, quit}; !slices.Equal(steps, want) {
			t.Errorf("grace %v: steps %v, want %v", grace, steps, want)
		}
		if left := grace - called; left < 300*time.Millisecond || left > 500*time.Millisecond {
			t.Errorf("grace %v: called with %v left", grace, left)
		}
	}
}

// A process ends once it is idle and its seat is given away, or at the end of its grace.
func TestEnds(t *testing.T) {
	var l leave
	for _, c := range []struct {
		s          step
		idle, left bool
		ends       bool
	}{{stay, true, true, false}, {empty, true, false, false}, {empty, false, true, false}, {empty, true, true, true},
		{reply, true, true, true}, {quit, false, false, true}} {
		if l.ends(c.s, c.idle, c.left) != c.ends {
			t.Errorf("%+v", c)
		}
	}
}

// TestNotice: the others are told once that nothing is open any more, and once that the end is near.
func TestNotice(t *testing.T) {
	for _, idle := range []time.Duration{3 * time.Second, 5500 * time.Millisecond} {
		var l leave
		var told []consensus.LeaveUrgency
		for gone := time.Duration(0); gone < 6*time.Second; gone += 50 * time.Millisecond {
			if n := l.notice(gone, 6*time.Second, gone >= idle); n != 0 {
				told = append(told, n)
			}
		}
		want := []consensus.LeaveUrgency{consensus.LeaveWhenSafe, consensus.LeaveForced}
		if idle > 5*time.Second {
			want = want[1:]
		}
		if !slices.Equal(told, want) {
			t.Errorf("idle after %v: told %v", idle, told)
		}
	}
}
