package choice

import (
	"testing"
	"time"
)

// Servers that refuse connections while busy: an attempt without one reached nobody. It draws on no budget, takes none
// of the servers that a request may go to, and two in a row don't put their zone in doubt.
func TestShut(t *testing.T) {
	for _, shuts := range []bool{true, false} {
		b, rec := start(t, func(s *Settings) {
			s.RefusesWhenBusy, s.RetryBudget, s.RetryRatio, s.MaxAttempts, s.ConnectTimeout, s.Counter = shuts, 1, 0.01, 2, 300*msec, false
		})
		now := time.Second
		b.HandleRequest(now, Request{ID: 1, Class: "once", Plan: "free", Customer: "c", Deadline: now + 3*time.Second, Units: 1, Gateways: 1})
		for try := 0; try < 6 && len(rec.refused) == 0 && len(rec.sends) > try; try++ {
			now += msec
			b.HandleOutcome(now, Outcome{ID: 1, Attempt: try, Backend: rec.sends[try].to, Status: ConnectFailed, Elapsed: msec})
		}
		if want := map[bool]int{true: 2 + mostShut, false: 2}[shuts]; len(rec.sends) != want || len(rec.refused) != 1 {
			t.Errorf("shuts %v: %d attempts, want %d; refused %v", shuts, len(rec.sends), want, rec.refused)
		}
		if left := b.retries; shuts != (left >= 1) {
			t.Errorf("shuts %v: %v left in the budget", shuts, left)
		}
		lost := b.zones["a"].SuspectedDown || b.zones["b"].SuspectedDown
		if lost == shuts {
			t.Errorf("shuts %v: a zone in doubt: %v", shuts, lost)
		}
	}
}

// Shuts says nothing of silence: attempts that time out put the zone in doubt as ever.
func TestShutSilence(t *testing.T) {
	b, rec := start(t, func(s *Settings) { s.RefusesWhenBusy, s.ConnectTimeout, s.Counter = true, 300*msec, false })
	now := time.Second
	b.HandleRequest(now, Request{ID: 1, Class: "read", Plan: "free", Customer: "c", Deadline: now + 3*time.Second, Units: 1, Gateways: 1})
	for try := 0; try < 4 && len(rec.sends) > try; try++ {
		now += 300 * msec
		b.HandleOutcome(now, Outcome{ID: 1, Attempt: try, Backend: rec.sends[try].to, Status: ConnectFailed, Elapsed: 300 * msec})
	}
	if !b.zones["a"].SuspectedDown && !b.zones["b"].SuspectedDown {
		t.Errorf("%d attempts in silence, and no zone in doubt", len(rec.sends))
	}
}

// The limit on attempts has room for what chance does to a small share, and nearly none more for a large one.
func TestSpareRoom(t *testing.T) {
	for _, c := range []struct{ servers, least, most float64 }{{2, 1.9, 2.6}, {2000, 1.0, 1.06}} {
		b, _ := start(t, func(s *Settings) { s.ServerConcurrency = 2 })
		even := b.share(c.servers)
		b.set.HeadroomSigmas = 2
		if part := b.share(c.servers) / even; part < c.least || part > c.most {
			t.Errorf("%v servers: %v times the even share", c.servers, part)
		}
	}
}
