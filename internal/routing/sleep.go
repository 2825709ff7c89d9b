package routing

import (
	"container/heap"
	"slices"
	"strconv"
	"strings"
	"time"

	"asterwell/choice"
)

// An idle core sleeps through the balancer's housekeeping, which then only decays
// statistics. When it wakes, it first replays the housekeeping runs that it missed, each
// with its own time, so that the balancer decides as if the core had been awake.

const (
	maxSleep  = 8 * time.Second
	maxMissed = 512 // housekeeping runs; after a longer stop of the process one run has to do, as when awake
)

// sleepState is the state of a core's sleep.
type sleepState struct {
	asleep            bool
	wakeAt            time.Duration // latest time to wake up
	wakePhase         time.Duration // offset of wakeAt, so that the cores of a process don't wake together
	interval          time.Duration // of the balancer's housekeeping
	replayTime        time.Duration // of the missed housekeeping being replayed; 0: none
	needsHousekeeping bool          // the balancer may be idle only after housekeeping
}

func newSleepState(set choice.Settings, seed uint64) sleepState {
	return sleepState{wakePhase: time.Duration(seed % uint64(maxSleep)), needsHousekeeping: set.Counter || set.Probes}
}

// expired reports whether a timer's request or attempt has ended, so that it would do nothing.
func (c *Core) expired(t timer) bool {
	switch t.kind {
	case balancerTimer:
		return t.id != 0 && c.requests[t.id] == nil
	case attemptTimer:
		o := c.requests[t.id]
		return o == nil || t.number >= len(o.attempts) || !o.attempts[t.number].pending
	}
	return false
}

// trySleep puts the core to sleep if it is idle. housekept: housekeeping ran in this turn.
func (c *Core) trySleep(now time.Duration, housekept bool) {
	if c.asleep = false; len(c.requests)+len(c.probes)+len(c.counterCalls)+len(c.gateQueue) > 0 || c.needsHousekeeping && !housekept {
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

// replayMissed replays the housekeeping that was missed before now.
func (c *Core) replayMissed(now time.Duration) {
	for n := 0; c.asleep && n < maxMissed && c.timers[0].at < now; n++ {
		t := heap.Pop(&c.timers).(timer)
		c.replayTime = t.at
		t.fire(c, t.at)
		c.replayTime = 0
	}
	c.asleep = false
}

// timerRequest returns the id of the request that a balancer timer is for, or 0.
func timerRequest(token string) uint32 {
	_, digits, _ := strings.Cut(token, " ")
	id, _ := strconv.ParseUint("0"+digits, 10, 32) // the housekeeping timer has no id
	return uint32(id)
}
