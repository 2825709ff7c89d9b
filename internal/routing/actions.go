package routing

import (
	"log"
	"time"

	"asterwell/choice"
)

// actions implements choice.Actions for the balancer.
type actions Core

func (x *actions) Send(id, backend uint32, limit time.Duration) {
	c := (*Core)(x)
	o := c.requests[id]
	if o == nil {
		log.Printf("event=bug what=%q request=%d", "send for an unknown request", id)
		return
	}
	now := c.now()
	number := len(o.attempts)
	o.attempts = append(o.attempts, attempt{server: backend, sent: now, pending: true})
	o.inFlight++
	left := o.req.Deadline - now
	if limit > 0 {
		left = min(left, limit)
	}
	again := number > 0 && o.req.BodyConsumed != nil && o.req.BodyConsumed()
	if o.answered || left <= 0 || again { // the request is finished: don't send it
		o.attempts[number].pending, o.attempts[number].status = false, choice.NotExecuted
		o.inFlight--
		c.pendingOutcomes = append(c.pendingOutcomes, choice.Outcome{ID: id, Attempt: number, Backend: backend, Status: choice.NotExecuted, Final: o.answered})
		return
	}
	c.stats.Attempts++
	c.schedule(left, timer{kind: attemptTimer, id: id, number: number})
	c.deps.Fleet.Send(backend, Attempt{id, number}, o.req.Call, left)
}

func (x *actions) Refuse(id uint32, retryAfter time.Duration) {
	o := x.requests[id]
	if r := (*Core)(x).takeReply(id); r != nil {
		x.stats.Refused++
		r.Refused(retryAfter, o.verdict())
	}
}

func (x *actions) Fail(id uint32) {
	c := (*Core)(x)
	o := c.requests[id]
	if r := c.takeReply(id); r != nil {
		x.stats.Failed++
		// The balancer fails requests shortly before their deadline, so that the answer arrives in time.
		r.Failed(c.now()+20*time.Millisecond >= o.req.Deadline)
	}
}

// takeReply marks a request as answered and returns its Reply, or nil if it was answered before.
func (c *Core) takeReply(id uint32) Reply {
	o := c.requests[id]
	if o == nil || o.answered {
		return nil
	}
	o.answered = true
	c.removeIfDone(id, o)
	return o.req.Reply
}

func (x *actions) Cancel(id uint32, number int) {
	c := (*Core)(x)
	if o := c.requests[id]; o != nil && number < len(o.attempts) && o.attempts[number].pending {
		c.abortAttempt(id, o, number, choice.Cancelled)
	}
}

// abortAttempt ends a pending attempt.
func (c *Core) abortAttempt(id uint32, o *openRequest, number int, status choice.Status) {
	a := &o.attempts[number]
	a.pending, a.status = false, status
	o.inFlight--
	c.stats.Outcomes[status]++
	c.observe(a.server, status)
	c.deps.Fleet.Cancel(a.server, Attempt{id, number})
	c.pendingOutcomes = append(c.pendingOutcomes, choice.Outcome{ID: id, Attempt: number, Backend: a.server, Status: status,
		Elapsed: c.now() - a.sent, Final: o.answered})
	c.removeIfDone(id, o)
}

func (x *actions) Probe(backend uint32) {
	c := (*Core)(x)
	c.probeCount++
	c.stats.Probes++
	c.probes[backend] = probe{number: c.probeCount, sent: c.now()}
	c.schedule(c.probeTimeout, timer{kind: probeTimer, id: backend, number: c.probeCount})
	c.deps.Fleet.Probe(backend, Attempt{0, c.probeCount}, c.probeTimeout)
}

func (x *actions) AddToCounter(name string, add float64, life time.Duration) {
	c := (*Core)(x)
	c.stats.CounterCalls++
	c.counterCalls[name] = c.now()
	c.deps.Counter.Add(name, add, life)
}

func (x *actions) SetTimer(delay time.Duration, token string) {
	c := (*Core)(x)
	if token == choice.HousekeepingTimer {
		c.interval = delay
	}
	c.schedule(delay, timer{kind: balancerTimer, token: token, id: timerRequest(token)})
}

func (x *actions) Watch(on bool) { x.deps.Watcher.Watch(on) }

func (x *actions) Log(text string) { log.Printf("event=module text=%q", text) }
