package daemon

import (
	"slices"
	"testing"
	"time"

	"asterwell/internal/consensus"
)

// TestDepartureSteps: requests that are open near the end of the grace period are answered once, and early
// enough for the answers to be sent.
func TestDepartureSteps(t *testing.T) {
	for _, grace := range []time.Duration{6 * time.Second, 2 * time.Second} {
		var l departure
		var steps []departureStep
		var called time.Duration
		for gone := time.Duration(0); gone < grace; gone += 50 * time.Millisecond {
			s := l.next(gone, grace)
			if s == answerAll {
				called = gone
			}
			if len(steps) == 0 || steps[len(steps)-1] != s {
				steps = append(steps, s)
			}
		}
		if want := []departureStep{keepServing, drainConns, answerAll, drainConns, endNow}; !slices.Equal(steps, want) {
			t.Errorf("grace %v: steps %v, want %v", grace, steps, want)
		}
		if left := grace - called; left < 300*time.Millisecond || left > 500*time.Millisecond {
			t.Errorf("grace %v: called with %v left", grace, left)
		}
	}
}

// TestDepartureEnds: a process ends once it is idle and its state is stored elsewhere, or at the end of
// the grace period.
func TestDepartureEnds(t *testing.T) {
	var l departure
	for _, c := range []struct {
		s          departureStep
		idle, left bool
		ends       bool
	}{{keepServing, true, true, false}, {drainConns, true, false, false}, {drainConns, false, true, false}, {drainConns, true, true, true},
		{answerAll, true, true, true}, {endNow, false, false, true}} {
		if l.ends(c.s, c.idle, c.left) != c.ends {
			t.Errorf("%+v", c)
		}
	}
}

// TestDepartureNotices: the other processes are told once that no request is open any more, and once that
// the end is near.
func TestDepartureNotices(t *testing.T) {
	for _, idle := range []time.Duration{3 * time.Second, 5500 * time.Millisecond} {
		var l departure
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
