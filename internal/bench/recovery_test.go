package bench

import (
	"testing"
	"time"
)

// TestServed: what counts is the last span that served too little; one without requests
// tells nothing, and requests that hang count when they end.
func TestServed(t *testing.T) {
	at := func(ms, took, status int) sentOne {
		return sentOne{at: time.Unix(0, 0).Add(time.Duration(ms) * time.Millisecond), took: time.Duration(took) * time.Millisecond, status: status}
	}
	for name, c := range map[string]struct {
		sent []sentOne
		want time.Duration
	}{
		"at once":             {[]sentOne{at(-100, 1, 0), at(10, 1, 200), at(900, 1, 200)}, realSpan},
		"a quarter is enough": {[]sentOne{at(10, 1, 503), at(10, 1, 503), at(10, 1, 503), at(10, 1, 200)}, realSpan},
		"less is not":         {[]sentOne{at(10, 1, 503), at(10, 1, 503), at(10, 1, 503), at(10, 1, 503), at(10, 1, 200), at(300, 1, 200)}, 2 * realSpan},
		"it goes bad again":   {[]sentOne{at(10, 1, 200), at(1010, 1, 504), at(1300, 1, 200)}, 6 * realSpan},
		"a hang":              {[]sentOne{at(10, 800, 504), at(1100, 1, 200)}, 5 * realSpan},
		"never":               {[]sentOne{at(10, 1, 200), at(1010, 1, 504)}, -1},
		"nothing was sent":    {nil, -1},
	} {
		if got := (&realRun{zero: time.Unix(0, 0), sent: c.sent}).served(); got != c.want {
			t.Errorf("%s: %v, not %v", name, got, c.want)
		}
	}
}
