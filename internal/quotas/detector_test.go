package quotas

import (
	"fmt"
	"testing"
	"time"
)

// TestSight checks which gateways count as missing: those that answered probes and fall silent, and those
// that were never heard; not those that don't know probes, and none after the counter itself was frozen.
func TestSight(t *testing.T) {
	c := NewCounter("a", 1)
	c.SetGateways([]string{"a", "b", "c", "d", "e"})
	now, asked := time.Minute, map[string]bool{}
	pass := func(d time.Duration) uint32 {
		for end := now + d; now < end; now += 50 * time.Millisecond {
			for _, s := range c.Tick(now) {
				asked[s.To] = true
			}
			c.Receive(now, "d", Add{Incarnation: 1, NearLimit: true, AnswersProbes: true})
		}
		return c.Receive(now, "d", Add{Incarnation: 1, Read: true, AnswersProbes: true})[0].Msg.(Answer).Missing
	}
	c.Tick(now)
	c.Receive(now, "b", Add{Incarnation: 1, AnswersProbes: true})
	c.Receive(now, "c", Add{Incarnation: 1})
	c.Receive(now, "d", Add{Incarnation: 1, AnswersProbes: true})
	if n := pass(400 * time.Millisecond); n != 2 || !asked["b"] || asked["c"] || asked["d"] || !asked["e"] {
		t.Errorf("%d missing, probed %v", n, asked)
	}
	now += time.Second
	if n := c.Receive(now, "d", Add{Incarnation: 1, Read: true, NearLimit: true, AnswersProbes: true})[0].Msg.(Answer).Missing; n != 0 {
		t.Errorf("%d missing after a freeze", n)
	}
}

// TestBlind checks when another route to a gateway is tried: for a near one that leaves a probe unanswered
// at the next tick, for one with a round trip of 110 ms not before its answer could have come.
func TestBlind(t *testing.T) {
	for _, rtt := range []time.Duration{2 * time.Millisecond, 40 * time.Millisecond, 110 * time.Millisecond} {
		c := NewCounter("a", 1)
		c.SetGateways([]string{"a", "b", "c"})
		now := time.Minute
		c.Tick(now)
		c.Receive(now, "b", Add{Incarnation: 1, AnswersProbes: true, ProbeTimestamp: now - rtt})
		var probed, overdue time.Duration
		for end := now + time.Second; now < end && overdue == 0; {
			now += 50 * time.Millisecond
			c.Receive(now, "c", Add{Incarnation: 1, AnswersProbes: true, NearLimit: true})
			for _, s := range c.Tick(now) {
				if s.To == "b" && probed == 0 {
					probed = now
				}
			}
			if c.ProbeOverdue(now, "b") {
				overdue = now - probed
			}
		}
		if want := map[bool]time.Duration{false: 50 * time.Millisecond, true: 150 * time.Millisecond}[rtt > 50*time.Millisecond]; overdue != want {
			t.Errorf("round trip %v: overdue after %v, want %v", rtt, overdue, want)
		}
	}
}

// TestAsksBounded checks that a holder sends about 2,800 probes a second at most in large fleets, and at
// the usual rate in small ones.
func TestAsksBounded(t *testing.T) {
	for gateways, most := range map[int]int{11: 11 * 10, 91: 91 * 10, 490: 2800, 1000: 2800} {
		c := NewCounter("a", 1)
		nodes := []string{"a"}
		for i := range gateways {
			nodes = append(nodes, fmt.Sprintf("g%04d", i))
		}
		c.SetGateways(nodes)
		now := time.Minute
		c.Tick(now)
		for _, n := range nodes[1:] {
			c.Receive(now, n, Add{Incarnation: 1, AnswersProbes: true, NearLimit: true})
		}
		asks := 0
		for end := now + 4*time.Second; now < end; {
			now += 50 * time.Millisecond
			c.Receive(now, "z", Add{Incarnation: 1, NearLimit: true})
			asks += len(c.Tick(now))
		}
		if asks /= 4; asks > most || asks < most/3 {
			t.Errorf("%d silent gateways are probed %d times a second, at most %d allowed", gateways, asks, most)
		}
	}
}
