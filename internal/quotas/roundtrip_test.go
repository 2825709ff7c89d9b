package quotas

import (
	"testing"
	"time"
)

// TestGaps checks that a round trip within a timeout leaves it exactly unchanged, and that a longer one,
// the minimum of a while, extends it up to a bound.
func TestGaps(t *testing.T) {
	const ms = time.Millisecond
	var w roundTrip
	is := func(gap, want time.Duration) {
		t.Helper()
		if got := w.extend(gap); got != want {
			t.Errorf("round trip %v: timeout %v is %v, want %v", w.value(), gap, got, want)
		}
	}
	is(retryGap, retryGap) // nothing measured
	w.observe(0, 900*ms)
	is(retryGap, retryGap+(maxRoundTrip-retryGap)*5/4)
	w.observe(10*ms, 110*ms)
	w.observe(20*ms, 400*ms) // delayed
	is(retryGap, 60*ms+50*ms*5/4)
	is(probeTimeout, 90*ms+20*ms*5/4)
	is(silentAfter, silentAfter)
	w.observe(30*ms, 30*ms)
	is(freshAnswer, freshAnswer)
	w.observe(31*time.Second, 110*ms) // the round trip has become longer
	is(retryGap, retryGap)
	w.observe(62*time.Second, 110*ms)
	is(retryGap, 60*ms+50*ms*5/4)
}

// TestMute checks that a holder with a round trip of 110 ms isn't silent before its answer could have come,
// and is soon after.
func TestMute(t *testing.T) {
	const rtt = 110 * time.Millisecond
	now := time.Second
	m := NewMeter("a", 1, 1)
	m.SetLimits(now, map[string]Limit{"t": {30, 30}})
	m.SetGateways(now, 3, []string{"b", "c"})
	for i := range 5 {
		now += time.Second
		m.Allow(now, "t", 1)
		if sends := m.Tick(now); len(sends) == 0 || sends[0].To != "b" {
			t.Fatalf("%d: %v", i, sends)
		}
		if i == 4 {
			break
		}
		m.Receive(now+rtt, "b", Answer{Incarnation: 1, Timestamp: now})
	}
	// 60 ms more than a repetition waits: routes through other regions vary by more than those within one
	for after, overdue := range map[time.Duration]bool{retryGap: false, rtt: false, 182 * time.Millisecond: false, 183 * time.Millisecond: true} {
		if m.ReadOverdue(now+after, "b") != overdue {
			t.Errorf("overdue %v after %v", !overdue, after)
		}
	}
	if m.holdersSilent(now+silentAfter) || m.holderAnswers(now+silentAfter+63*time.Millisecond, 0) {
		t.Error("counts as silent too early, or never")
	}
}

// TestAsked checks that a gateway with a round trip of 110 ms is missing only after its answer could have
// come, if it echoes the timestamp of the probe; adds that answer no probe don't measure the round trip.
func TestAsked(t *testing.T) {
	for _, stamped := range []bool{true, false} {
		now := time.Second
		c := NewCounter("a", 1)
		c.SetGateways([]string{"a", "b", "c"})
		c.Receive(now, "c", Add{Incarnation: 1, AnswersProbes: true, NearLimit: true})
		c.Receive(now, "b", Add{Incarnation: 1, AnswersProbes: true})
		asked := time.Duration(0)
		for range 2 {
			asked = 0
			for asked == 0 {
				now += 50 * time.Millisecond
				c.Receive(now, "c", Add{Incarnation: 1, AnswersProbes: true, NearLimit: true})
				for _, s := range c.Tick(now) {
					if s.To == "b" {
						asked = s.Msg.(Answer).Timestamp
					}
				}
			}
			if c.detector.missing(asked+80*time.Millisecond) != 0 {
				t.Error("missing before the timeout")
			}
			if lost := c.detector.missing(asked+100*time.Millisecond) > 0; lost != (c.detector.peers["b"].rtt.value() == 0) {
				t.Errorf("echoed timestamp %v: missing after 100 ms: %v", stamped, lost)
			}
			if c.detector.missing(asked+120*time.Millisecond) != 1 {
				t.Error("not missing after 120 ms")
			}
			sign := Add{Incarnation: 1, AnswersProbes: true}
			if stamped {
				sign.ProbeTimestamp = asked
			}
			now = asked + 110*time.Millisecond
			c.Receive(now, "b", sign)
		}
		if known := c.detector.peers["b"].rtt.value() == 110*time.Millisecond; known != stamped {
			t.Errorf("echoed timestamp %v: the round trip is known: %v", stamped, known)
		}
	}
}
