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
	maxSleep  = 8 * time.Second
	maxMissed = 512 // beats; a process that stood still for longer goes on with one, as one that is awake does
)

// rest is how a core sleeps.
type sleepState struct {
	asleep            bool
	wakeAt            time.Duration // then it gets up, whatever comes
	wakePhase         time.Duration // of a second, so that the lanes of a process don't get up together
	interval          time.Duration // between the module's beats
	replayTime        time.Duration // the time of the missed beat that is being played; 0: none
	needsHousekeeping bool          // the module has more to look through before it can say that it is still
}

func newSleepState(set choice.Settings, seed uint64) sleepState {
	return sleepState{wakePhase: time.Duration(seed % uint64(maxSleep)), needsHousekeeping: set.Counter || set.Probes}
}

// lapsed tells that a timer would do nothing: it is for a request or an attempt that has ended.
func (c *Core) expired(t timer) bool {
	switch t.kind {
	case moduleTimer:
		return t.id != 0 && c.requests[t.id] == nil
	case attemptTimer:
		o := c.requests[t.id]
		return o == nil || t.try >= len(o.attempts) || !o.attempts[t.try].pending
	}
	return false
}

// doze lets the core sleep if it may. beaten: a beat was played in this turn.
func (c *Core) trySleep(now time.Duration, beaten bool) {
	if c.asleep = false; len(c.requests)+len(c.probes)+len(c.counterCalls)+len(c.gateQueue) > 0 || c.needsHousekeeping && !beaten {
		return
	}
	if !c.discovered && now < c.trustSavedAt+viewPeriod || !c.balancer.Idle() {
		return
	}
	c.timers = slices.DeleteFunc(c.timers, c.expired)
	if heap.Init(&c.timers); len(c.timers) != 1 || c.timers[0].token != choice.HousekeepingTimer {
		return
	}
	c.asleep, c.wakeAt = true, now+maxSleep-(now-c.wakePhase)%maxSleep
	c.wakeAt = min(c.wakeAt, now+maxMissed*c.interval)
}

// catchUp plays the beats that were missed before now.
func (c *Core) replayMissed(now time.Duration) {
	for n := 0; c.asleep && n < maxMissed && c.timers[0].at < now; n++ {
		t := heap.Pop(&c.timers).(timer)
		c.replayTime = t.at
		t.fire(c, t.at)
		c.replayTime = 0
	}
	c.asleep = false
}

// of is the request that a timer of the module is for; 0: none.
func timerRequest(token string) uint32 {
	_, digits, _ := strings.Cut(token, " ")
	id, _ := strconv.ParseUint("0"+digits, 10, 32) // a beat has none, and no error is made of that
	return uint32(id)
}
