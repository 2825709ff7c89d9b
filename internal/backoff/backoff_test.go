package backoff

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// What an agent on this machine has counts as told: whatever fails there, a
// gateway of however large a fleet asks at once, and twice in the 500 ms that
// drains leave. This guards against the 15 s that gateways of a fleet of 300 once waited.
func TestAgentIsAskedAtOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := New(Terms{Gateways: rapid.IntRange(1, 5000).Draw(t, "gateways"),
			Within: rapid.Custom(func(t *rapid.T) time.Duration {
				return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "ns"))
			}).Draw(t, "within")})
		if wait := p.First(rapid.Float64Range(0, 1).Draw(t, "odds")); wait != 0 {
			t.Fatalf("first call after %v", wait)
		}
		for range rapid.IntRange(1, 30).Draw(t, "failures") {
			if wait := p.Failed(rapid.Bool().Draw(t, "busy"), rapid.Float64Range(0, 1).Draw(t, "odds")); wait > 250*time.Millisecond {
				t.Fatalf("waits %v", wait)
			}
		}
	})
}

// A shared discovery is asked before its news counts as told, however many
// gateways there are, and with fewer calls the more of them are turned away.
func TestSharedIsAskedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Terms{Shared: true, Gateways: rapid.IntRange(1, 5000).Draw(t, "gateways"),
			Within: time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "within"))}
		p := New(terms)
		if wait := p.First(rapid.Float64Range(0, 1).Draw(t, "odds")); wait > terms.Within/2 {
			t.Fatalf("first call after %v", wait)
		}
		for range rapid.IntRange(1, 30).Draw(t, "failures") {
			busy := rapid.Bool().Draw(t, "busy")
			wait := p.Failed(busy, rapid.Float64Range(0, 1).Draw(t, "odds"))
			if wait > max(480*time.Millisecond, 4*terms.Within*2/3) || !busy && wait > 480*time.Millisecond {
				t.Fatalf("busy %v: waits %v of %v", busy, wait, terms.Within)
			}
		}
	})
}

// Waits after answers of a crowded discovery grow with those who share it; after
// a good answer they start anew.
func TestCrowdIsLeftAlone(t *testing.T) {
	p := New(Terms{Shared: true, Within: 10 * time.Second, Gateways: 80})
	if first := p.First(1); first != 4*time.Second {
		t.Errorf("first calls spread over %v, want 4s", first)
	}
	for i, want := range []time.Duration{4 * time.Second, 8 * time.Second, 10 * time.Second, 10 * time.Second} {
		if wait := p.Failed(true, 0.5); wait != want {
			t.Errorf("failure %d: waits %v, want %v", i, wait, want)
		}
	}
	if p.Heard(); p.Failed(false, 0.5) != 20*time.Millisecond {
		t.Error("a good answer did not count")
	}
}
