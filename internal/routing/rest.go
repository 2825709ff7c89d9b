package routing

import (
	"container/heap"
	"slices"
	"strconv"
	"strings"
	"time"

	"asterwell/choice"
)

// A core with nothing under way sleeps: it does not get up for the module's beats, in which
// what is known only ages. Whatever wakes it, the beats that it has missed are played first,
// each at its own time, so that the module decides as if it had been awake.

const (
	mostAsleep = 8 * time.Second
	mostMissed = 512 // beats; a process that stood still for longer goes on with one, as one that is awake does
)

// rest is how a core sleeps.
type rest struct {
	asleep bool
	until  time.Duration // then it gets up, whatever comes
	phase  time.Duration // of a second, so that the lanes of a process don't get up together
	beat   time.Duration // between the module's beats
	played time.Duration // the time of the missed beat that is being played; 0: none
	asks   bool          // the module has more to look through before it can say that it is still
}

func newRest(set choice.Settings, seed uint64) rest {
	return rest{phase: time.Duration(seed % uint64(mostAsleep)), asks: set.Counter || set.Probes}
}

// lapsed tells that a timer would do nothing: it is for a request or an attempt that has ended.
func (c *Core) lapsed(t timer) bool {
	switch t.kind {
	case moduleTimer:
		return t.id != 0 && c.open[t.id] == nil
	case attemptTimer:
		o := c.open[t.id]
		return o == nil || t.try >= len(o.attempts) || !o.attempts[t.try].out
	}
	return false
}

// doze lets the core sleep if it may. beaten: a beat was played in this turn.
func (c *Core) doze(now time.Duration, beaten bool) {
	if c.asleep = false; len(c.open)+len(c.probes)+len(c.counts)+len(c.waiting) > 0 || c.asks && !beaten {
		return
	}
	if !c.told && now < c.trust+viewEvery || !c.bal.Idle() {
		return
	}
	c.timers = slices.DeleteFunc(c.timers, c.lapsed)
	if heap.Init(&c.timers); len(c.timers) != 1 || c.timers[0].token != choice.HousekeepingTimer {
		return
	}
	c.asleep, c.until = true, now+mostAsleep-(now-c.phase)%mostAsleep
	c.until = min(c.until, now+mostMissed*c.beat)
}

// catchUp plays the beats that were missed before now.
func (c *Core) catchUp(now time.Duration) {
	for n := 0; c.asleep && n < mostMissed && c.timers[0].at < now; n++ {
		t := heap.Pop(&c.timers).(timer)
		c.played = t.at
		t.fire(c, t.at)
		c.played = 0
	}
	c.asleep = false
}

// of is the request that a timer of the module is for; 0: none.
func of(token string) uint32 {
	_, digits, _ := strings.Cut(token, " ")
	id, _ := strconv.ParseUint("0"+digits, 10, 32) // a beat has none, and no error is made of that
	return uint32(id)
}
