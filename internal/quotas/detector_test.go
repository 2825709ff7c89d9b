package quotas

import (
	"fmt"
	"testing"
	"time"
)

// TestSight: who answers questions and falls silent is missed, and who was never heard by this counter; a process that
// knows no questions is not, and nobody is after the counter itself stood still.
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
		t.Errorf("%d missing, asked %v", n, asked)
	}
	now += time.Second
	if n := c.Receive(now, "d", Add{Incarnation: 1, Read: true, NearLimit: true, AnswersProbes: true})[0].Msg.(Answer).Missing; n != 0 {
		t.Errorf("%d missing after a freeze", n)
	}
}

// TestBlind: one near by that leaves a question unanswered is asked round at the next tick, as ever; one that is 110 ms away
// not before its sign could have come.
func TestBlind(t *testing.T) {
	for _, way := range []time.Duration{2 * time.Millisecond, 40 * time.Millisecond, 110 * time.Millisecond} {
		c := NewCounter("a", 1)
		c.SetGateways([]string{"a", "b", "c"})
		now := time.Minute
		c.Tick(now)
		c.Receive(now, "b", Add{Incarnation: 1, AnswersProbes: true, ProbeTimestamp: now - way})
		var asked, blind time.Duration
		for end := now + time.Second; now < end && blind == 0; {
			now += 50 * time.Millisecond
			c.Receive(now, "c", Add{Incarnation: 1, AnswersProbes: true, NearLimit: true})
			for _, s := range c.Tick(now) {
				if s.To == "b" && asked == 0 {
					asked = now
				}
			}
			if c.ProbeOverdue(now, "b") {
				blind = now - asked
			}
		}
		if want := map[bool]time.Duration{false: 50 * time.Millisecond, true: 150 * time.Millisecond}[way > 50*time.Millisecond]; blind != want {
			t.Errorf("%v there and back: asked round after %v, not %v", way, blind, want)
		}
	}
}

// TestAsksBounded: what a holder asks doesn't grow with the fleet beyond some 2,800 questions a second; at sites as they
// are nothing differs.
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
			t.Errorf("%d silent gateways are asked %d times a second, %d at the most", gateways, asks, most)
		}
	}
}
