package ratecap

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Models the ceiling, the quota as the counter keeps it, and gateways that send in any order. The ceiling is never
// exceeded, whatever the counter confirms, as long as it confirms no more than the quota.
func TestCeilingIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{QuotaRate: rapid.Float64Range(0.5, 8).Draw(t, "rate"),
			QuotaBurst: rapid.Float64Range(1, 20).Draw(t, "burst"), Gateways: float64(rapid.IntRange(1, 12).Draw(t, "width"))}
		over := rapid.Float64Range(1.01, 3).Draw(t, "ceiling over quota")
		limits.Rate, limits.Burst = limits.QuotaRate*over, limits.QuotaBurst*over
		shares := make([]Share, int(limits.Gateways))
		quota, bucket := limits.QuotaBurst, limits.Burst
		var now, downSince time.Duration
		downSince = -1
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			elapsed := time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			now += elapsed
			quota = min(limits.QuotaBurst, quota+limits.QuotaRate*elapsed.Seconds())
			bucket = min(limits.Burst, bucket+limits.Rate*elapsed.Seconds())
			if rapid.IntRange(0, 60).Draw(t, "counter changes state") == 0 {
				if downSince >= 0 {
					downSince = -1 - now // counts are complete from now on, but not trusted yet
				} else {
					downSince = now
				}
			}
			assurance := Assurance(rapid.IntRange(0, 3).Draw(t, "word"))
			switch {
			case downSince >= 0:
				assurance = CounterUnavailable
			case downSince < -1 && now-(-1-downSince) < limits.DistrustPeriod():
				assurance = min(assurance, Doubtful)
			}
			if assurance == CounterUnavailable && downSince < 0 {
				assurance = NotAsked
			}
			units := 1.0
			if assurance >= Doubtful && quota < units {
				continue // the counter would not have confirmed it
			}
			if shares[rapid.IntRange(0, len(shares)-1).Draw(t, "gateway")].Take(now, limits, units, assurance) {
				if bucket -= units; assurance >= Doubtful {
					quota -= units
				}
			}
			if bucket < -1e-6 {
				t.Fatalf("at %v the ceiling is exceeded by %v", now, -bucket)
			}
		}
	})
}

// A share is empty at its start, but requests that the counter confirmed don't need it.
func TestShare(t *testing.T) {
	limits := Limits{Rate: 20, Burst: 20, QuotaRate: 10, QuotaBurst: 10, Gateways: 2}
	s := New(0)
	if s.Take(0, limits, 1, CounterUnavailable) || s.Take(0, limits, 1, NotAsked) || s.Take(0, limits, 1, Doubtful) || !s.Take(0, limits, 1, Confirmed) {
		t.Error("an empty share must pass confirmed requests, and nothing else")
	}
	s = New(0)
	if s.Allows(50*time.Millisecond, limits, 1) || !s.Allows(time.Second, limits, 1) {
		t.Error("a share refills at rate / gateways, its excess at the difference between ceiling and quota")
	}
	n := 0
	for s.Take(time.Minute, limits, 1, NotAsked) {
		n++
	}
	if n != 5 {
		t.Errorf("%d units of a full excess share, want 5", n)
	}
}
