package choice

import (
	"testing"
	"time"
)

// Servers that refuse connections while busy: a refused attempt has not run. It costs no retry budget, doesn't count
// toward a request's attempts, and two in a row don't make the zone suspect.
func TestRefusedConnectionIsNoRetry(t *testing.T) {
	for _, shuts := range []bool{true, false} {
		b, rec := newTestBalancer(t, func(s *Settings) {
			s.RefusesWhenBusy, s.RetryBudget, s.RetryRatio, s.MaxAttempts, s.ConnectTimeout, s.Counter = shuts, 1, 0.01, 2, 300*msec, false
		})
		now := time.Second
		b.HandleRequest(now, Request{ID: 1, Class: "once", Plan: "free", Customer: "c", Deadline: now + 3*time.Second, Units: 1, Gateways: 1})
		for try := 0; try < 6 && len(rec.refused) == 0 && len(rec.sends) > try; try++ {
			now += msec
			b.HandleOutcome(now, Outcome{ID: 1, Attempt: try, Backend: rec.sends[try].to, Status: ConnectFailed, Elapsed: msec})
		}
		if want := map[bool]int{true: 2 + maxUnconnected, false: 2}[shuts]; len(rec.sends) != want || len(rec.refused) != 1 {
			t.Errorf("refuses when busy %v: %d attempts, want %d; refused %v", shuts, len(rec.sends), want, rec.refused)
		}
		if left := b.tokens; shuts != (left >= 1) {
			t.Errorf("refuses when busy %v: %v left in the budget", shuts, left)
		}
		lost := b.zones["a"].SuspectedDown || b.zones["b"].SuspectedDown
		if lost == shuts {
			t.Errorf("refuses when busy %v: a zone is suspect: %v", shuts, lost)
		}
	}
}

// RefusesWhenBusy doesn't apply to timeouts: connections that time out make the zone suspect as usual.
func TestConnectTimeoutMakesZoneSuspect(t *testing.T) {
	b, rec := newTestBalancer(t, func(s *Settings) { s.RefusesWhenBusy, s.ConnectTimeout, s.Counter = true, 300*msec, false })
	now := time.Second
	b.HandleRequest(now, Request{ID: 1, Class: "read", Plan: "free", Customer: "c", Deadline: now + 3*time.Second, Units: 1, Gateways: 1})
	for try := 0; try < 4 && len(rec.sends) > try; try++ {
		now += 300 * msec
		b.HandleOutcome(now, Outcome{ID: 1, Attempt: try, Backend: rec.sends[try].to, Status: ConnectFailed, Elapsed: 300 * msec})
	}
	if !b.zones["a"].SuspectedDown && !b.zones["b"].SuspectedDown {
		t.Errorf("%d attempts timed out, and no zone is suspect", len(rec.sends))
	}
}

// The limit on attempts has headroom for random variation of a small share, and hardly any for a large one.
func TestHeadroomOfLimit(t *testing.T) {
	for _, c := range []struct{ servers, least, most float64 }{{2, 1.9, 2.6}, {2000, 1.0, 1.06}} {
		b, _ := newTestBalancer(t, func(s *Settings) { s.ServerConcurrency = 2 })
		even := b.serversPerGateway(c.servers)
		b.cfg.HeadroomSigmas = 2
		if part := b.serversPerGateway(c.servers) / even; part < c.least || part > c.most {
			t.Errorf("%v servers: %v times the even share", c.servers, part)
		}
	}
}
