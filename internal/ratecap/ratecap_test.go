package ratecap

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A model of the ceiling, of the quota below it as the counter keeps it, and of gateways that send in any order: the
// ceiling is never passed, whatever the counter vouches for, as long as it vouches for no more than the quota.
func TestNeverOver(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Limits{QuotaRate: rapid.Float64Range(0.5, 8).Draw(t, "rate"),
			QuotaBurst: rapid.Float64Range(1, 20).Draw(t, "burst"), Gateways: float64(rapid.IntRange(1, 12).Draw(t, "width"))}
		over := rapid.Float64Range(1.01, 3).Draw(t, "ceiling over quota")
		terms.Rate, terms.Burst = terms.QuotaRate*over, terms.QuotaBurst*over
		shares := make([]Share, int(terms.Gateways))
		quota, store := terms.QuotaBurst, terms.Burst
		var now, blind time.Duration
		blind = -1
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			past := time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond
			now += past
			quota = min(terms.QuotaBurst, quota+terms.QuotaRate*past.Seconds())
			store = min(terms.Burst, store+terms.Rate*past.Seconds())
			if rapid.IntRange(0, 60).Draw(t, "the counter goes or comes") == 0 {
				if blind >= 0 {
					blind = -1 - now // counts are sound from now on, not trusted yet
				} else {
					blind = now
				}
			}
			w := Assurance(rapid.IntRange(0, 3).Draw(t, "word"))
			switch {
			case blind >= 0:
				w = CounterUnavailable
			case blind < -1 && now-(-1-blind) < terms.DistrustPeriod():
				w = min(w, Doubtful)
			}
			if w == CounterUnavailable && blind < 0 {
				w = NotAsked
			}
			units := 1.0
			if w >= Doubtful && quota < units {
				continue // the counter would not have put it inside
			}
			if shares[rapid.IntRange(0, len(shares)-1).Draw(t, "gateway")].Take(now, terms, units, w) {
				if store -= units; w >= Doubtful {
					quota -= units
				}
			}
			if store < -1e-6 {
				t.Fatalf("at %v the ceiling is passed by %v", now, -store)
			}
		}
	})
}

// A share is empty at its start, and no word of the counter's makes it wait.
func TestShare(t *testing.T) {
	terms := Limits{Rate: 20, Burst: 20, QuotaRate: 10, QuotaBurst: 10, Gateways: 2}
	s := New(0)
	if s.Take(0, terms, 1, CounterUnavailable) || s.Take(0, terms, 1, NotAsked) || s.Take(0, terms, 1, Doubtful) || !s.Take(0, terms, 1, Confirmed) {
		t.Error("an empty share let something through but by the counter's word, or not even that")
	}
	s = New(0)
	if s.Allows(50*time.Millisecond, terms, 1) || !s.Allows(time.Second, terms, 1) {
		t.Error("a share fills at rate over width, its spare part at what the ceiling has beyond the quota")
	}
	n := 0
	for s.Take(time.Minute, terms, 1, NotAsked) {
		n++
	}
	if n != 5 {
		t.Errorf("%d units of a full spare share, want 5", n)
	}
}
