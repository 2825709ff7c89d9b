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
		p := New(Options{Gateways: rapid.IntRange(1, 5000).Draw(t, "gateways"),
			MaxNewsAge: rapid.Custom(func(t *rapid.T) time.Duration {
				return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "ns"))
			}).Draw(t, "within")})
		if wait := p.InitialDelay(rapid.Float64Range(0, 1).Draw(t, "odds")); wait != 0 {
			t.Fatalf("first call after %v", wait)
		}
		for range rapid.IntRange(1, 30).Draw(t, "failures") {
			if wait := p.NextDelay(rapid.Bool().Draw(t, "busy"), rapid.Float64Range(0, 1).Draw(t, "odds")); wait > 250*time.Millisecond {
				t.Fatalf("waits %v", wait)
			}
		}
	})
}

// A shared discovery is asked before its news counts as told, however many
// gateways there are, and with fewer calls the more of them are turned away.
func TestSharedIsAskedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Options{Shared: true, Gateways: rapid.IntRange(1, 5000).Draw(t, "gateways"),
			MaxNewsAge: time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "within"))}
		p := New(terms)
		if wait := p.InitialDelay(rapid.Float64Range(0, 1).Draw(t, "odds")); wait > terms.MaxNewsAge/2 {
			t.Fatalf("first call after %v", wait)
		}
		for range rapid.IntRange(1, 30).Draw(t, "failures") {
			busy := rapid.Bool().Draw(t, "busy")
			wait := p.NextDelay(busy, rapid.Float64Range(0, 1).Draw(t, "odds"))
			if wait > max(480*time.Millisecond, 4*terms.MaxNewsAge*2/3) || !busy && wait > 480*time.Millisecond {
				t.Fatalf("busy %v: waits %v of %v", busy, wait, terms.MaxNewsAge)
			}
		}
	})
}

// Waits after answers of a crowded discovery grow with those who share it; after
// a good answer they start anew.
func TestCrowdIsLeftAlone(t *testing.T) {
	p := New(Options{Shared: true, MaxNewsAge: 10 * time.Second, Gateways: 80})
	if first := p.InitialDelay(1); first != 4*time.Second {
		t.Errorf("first calls spread over %v, want 4s", first)
	}
	for i, want := range []time.Duration{4 * time.Second, 8 * time.Second, 10 * time.Second, 10 * time.Second} {
		if wait := p.NextDelay(true, 0.5); wait != want {
			t.Errorf("failure %d: waits %v, want %v", i, wait, want)
		}
	}
	if p.Reset(); p.NextDelay(false, 0.5) != 20*time.Millisecond {
		t.Error("a good answer did not count")
	}
}
