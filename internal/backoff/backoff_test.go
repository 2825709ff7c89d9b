package backoff

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// News of an agent on this machine counts as known. Whatever fails, a gateway asks at once and
// twice within the 500 ms that drains allow, however many gateways there are. Guards against
// the 15 s that gateways of a fleet of 300 once waited.
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

// A shared service is asked before its news counts as known, however many gateways there
// are, and less often the more calls it rejects.
func TestSharedIsAskedInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := Options{Shared: true, Gateways: rapid.IntRange(1, 5000).Draw(t, "gateways"),
			MaxNewsAge: time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "within"))}
		p := New(options)
		if wait := p.InitialDelay(rapid.Float64Range(0, 1).Draw(t, "odds")); wait > options.MaxNewsAge/2 {
			t.Fatalf("first call after %v", wait)
		}
		for range rapid.IntRange(1, 30).Draw(t, "failures") {
			busy := rapid.Bool().Draw(t, "busy")
			wait := p.NextDelay(busy, rapid.Float64Range(0, 1).Draw(t, "odds"))
			if wait > max(480*time.Millisecond, 4*options.MaxNewsAge*2/3) || !busy && wait > 480*time.Millisecond {
				t.Fatalf("busy %v: waits %v of %v", busy, wait, options.MaxNewsAge)
			}
		}
	})
}

// Delays after calls that an overloaded service rejected grow with the number of gateways,
// and start over after a successful call.
func TestBacksOffFromOverloadedService(t *testing.T) {
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
		t.Error("a successful call did not reset the delay")
	}
}
