package quotas

import (
	"testing"
	"time"
)

// TestGaps: a way within a gap leaves it as it is, to the bit; a longer one, measured by the
// least of a while, makes it longer, up to a bound.
func TestGaps(t *testing.T) {
	const ms = time.Millisecond
	var w roundTrip
	is := func(gap, want time.Duration) {
		t.Helper()
		if got := w.extend(gap); got != want {
			t.Errorf("way %v: gap %v is %v, want %v", w.value(), gap, got, want)
		}
	}
	is(retryGap, retryGap) // nothing measured
	w.observe(0, 900*ms)
	is(retryGap, retryGap+(maxRoundTrip-retryGap)*5/4)
	w.observe(10*ms, 110*ms)
	w.observe(20*ms, 400*ms) // held up
	is(retryGap, 60*ms+50*ms*5/4)
	is(probeTimeout, 90*ms+20*ms*5/4)
	is(silentAfter, silentAfter)
	w.observe(30*ms, 30*ms)
	is(freshAnswer, freshAnswer)
	w.observe(31*time.Second, 110*ms) // the way has become longer
	is(retryGap, retryGap)
	w.observe(62*time.Second, 110*ms)
	is(retryGap, 60*ms+50*ms*5/4)
}

// TestMute: a holder 110 ms away isn't mute before its answer can be back, and is soon after.
func TestMute(t *testing.T) {
	const way = 110 * time.Millisecond
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
		m.Receive(now+way, "b", Answer{Incarnation: 1, Timestamp: now})
	}
	// by 60 ms more than a repetition waits: what goes through other regions varies by more than what stays in one
	for after, mute := range map[time.Duration]bool{retryGap: false, way: false, 182 * time.Millisecond: false, 183 * time.Millisecond: true} {
		if m.ReadOverdue(now+after, "b") != mute {
			t.Errorf("mute %v after %v", !mute, after)
		}
	}
	if m.holdersSilent(now+silentAfter) || m.holderAnswers(now+silentAfter+63*time.Millisecond, 0) {
		t.Error("taken as silent too early, or never")
	}
}

// TestAsked: a gateway 110 ms away is out of sight only after its sign could have come, where
// it gives the question's stamp back; signs that nobody asked for tell nothing of the way.
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
				t.Error("out of sight before the gap is over")
			}
			if lost := c.detector.missing(asked+100*time.Millisecond) > 0; lost != (c.detector.peers["b"].rtt.value() == 0) {
				t.Errorf("stamped %v: out of sight after 100 ms: %v", stamped, lost)
			}
			if c.detector.missing(asked+120*time.Millisecond) != 1 {
				t.Error("in sight after 120 ms")
			}
			sign := Add{Incarnation: 1, AnswersProbes: true}
			if stamped {
				sign.ProbeTimestamp = asked
			}
			now = asked + 110*time.Millisecond
			c.Receive(now, "b", sign)
		}
		if known := c.detector.peers["b"].rtt.value() == 110*time.Millisecond; known != stamped {
			t.Errorf("stamped %v: the way is known: %v", stamped, known)
		}
	}
}
