// Package invariants checks the rules that gateways must keep. It relies on the
// observed traffic between them and their clients and servers, not on what the
// gateways report. The simulator and the tests with real processes share this
// checker. It does no I/O and reads no clock: the caller passes all times, from one
// clock. A Checker is not safe for concurrent use.
package invariants

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Limits are the bounds of the rules. The durations include what the test environment
// itself may add to a delay.
type Limits struct {
	DrainGrace     time.Duration // after it, a gateway told that a server drains or is gone sends it no new attempts
	MaxAnswerDelay time.Duration // how long after its client's timeout an answer may arrive
	MaxAttempts    int           // per request
	OverloadFactor float64       // a cold server may be sent this many times its capacity
	OverloadWindow time.Duration // over this window
}

// Checker records what has been observed so far and reports violations.
type Checker struct {
	limits   Limits
	report   func(rule, detail string)
	requests map[string]*Request
	drains   map[gatewayServer]time.Duration // since when a gateway has known that a server drains or is gone
	buckets  map[string]*bucket              // by customer
	coldWork map[string][]arrival            // by server, the work within the overload window
}

// gatewayServer identifies a server as one gateway sees it.
type gatewayServer struct {
	gateway int
	server  string
}

// Request is what has been observed of a client's request.
type Request struct {
	Once          bool // it must not run twice
	Arrivals      int  // attempts that reached a server in full
	PossibleRuns  int  // of these, the attempts not proven to have been refused
	Runs          int
	Answers       int      // complete answers to the client
	serverAnswers []uint64 // hashes of the bodies that servers sent
}

// bucket is a customer's token bucket, refilled at the highest rate that the rule allows.
type bucket struct {
	available  float64
	refilledAt time.Duration
}

// arrival is work that reached a cold server.
type arrival struct {
	at   time.Duration
	work float64 // seconds of a core
}

// New returns a checker that calls report for each violation.
func New(limits Limits, report func(rule, detail string)) *Checker {
	return &Checker{limits: limits, report: report, requests: map[string]*Request{}, drains: map[gatewayServer]time.Duration{},
		buckets: map[string]*bucket{}, coldWork: map[string][]arrival{}}
}

// Violation reports that a rule is broken.
func (c *Checker) Violation(rule, format string, args ...any) {
	c.report(rule, fmt.Sprintf(format, args...))
}

// Request returns the record of the request with this id, and creates it if needed.
func (c *Checker) Request(id string) *Request {
	r := c.requests[id]
	if r == nil {
		r = &Request{}
		c.requests[id] = r
	}
	return r
}

// ServerState records that a gateway has been told that a server is up, or that it drains
// or is gone. Repeated news of a drain keep the time of the first.
func (c *Checker) ServerState(gateway int, server string, up bool, now time.Duration) {
	k := gatewayServer{gateway, server}
	if up {
		delete(c.drains, k)
	} else if _, ok := c.drains[k]; !ok {
		c.drains[k] = now
	}
}

// KnowsDrain reports whether a gateway has been told that a server drains or is gone.
func (c *Checker) KnowsDrain(gateway int, server string) bool {
	_, ok := c.drains[gatewayServer{gateway, server}]
	return ok
}

// DrainKnownSince returns since when a gateway has been told that a server drains or is gone.
func (c *Checker) DrainKnownSince(gateway int, server string) (since time.Duration, ok bool) {
	since, ok = c.drains[gatewayServer{gateway, server}]
	return since, ok
}

// AttemptArrived records that the last byte of an attempt has reached a server. begun is
// when its first byte was sent.
func (c *Checker) AttemptArrived(id string, gateway int, server string, begun time.Duration) *Request {
	r := c.Request(id)
	if r.Arrivals++; r.Arrivals > c.limits.MaxAttempts {
		c.Violation("attempts", "%s came to a server %d times", id, r.Arrivals)
	}
	if at, ok := c.drains[gatewayServer{gateway, server}]; ok && begun > at+c.limits.DrainGrace {
		c.Violation("drain", "g%d sent %s to %s %v after it was told that it drains or is gone", gateway, id, server, begun-at)
	}
	return r
}

// UnitsUsed records the first attempt of a customer's request. capacity is the size of the
// customer's token bucket, with the slack, and rate its refill per second. It returns the
// tokens that are left.
func (c *Checker) UnitsUsed(customer string, units, capacity, rate float64, now time.Duration) float64 {
	b := c.buckets[customer]
	if b == nil {
		b = &bucket{available: capacity, refilledAt: now}
		c.buckets[customer] = b
	}
	b.available = min(capacity, b.available+(now-b.refilledAt).Seconds()*rate)
	b.refilledAt = now
	if b.available -= units; b.available < 0 {
		c.Violation("ceiling", "customer %s: %.2f units over its ceiling", customer, -b.available)
	}
	return b.available
}

// AttemptMayRun records an attempt that was not provably refused.
func (c *Checker) AttemptMayRun(id string) {
	r := c.Request(id)
	if r.PossibleRuns++; r.Once && r.PossibleRuns > 1 {
		c.Violation("twice", "submission %s may have run %d times", id, r.PossibleRuns)
	}
}

// AttemptRuns records that a server has begun to run an attempt.
func (c *Checker) AttemptRuns(id string) {
	r := c.Request(id)
	if r.Runs++; r.Once && r.Runs > 1 {
		c.Violation("twice", "submission %s ran %d times", id, r.Runs)
	}
}

// ColdWork records work, in seconds of a core, that reached a server that has just started
// and that all gateways know of. capacity is what the server can do now, in cores. It
// returns the earlier work within the overload window as a share of what the server bears.
func (c *Checker) ColdWork(server string, work, capacity float64, now time.Duration) float64 {
	window := append(c.coldWork[server], arrival{now, work})
	for window[0].at <= now-c.limits.OverloadWindow {
		window = window[1:]
	}
	c.coldWork[server] = window
	sum := 0.0
	for _, a := range window {
		sum += a.work
	}
	// Work comes in whole requests, so the last one may exceed the limit.
	most := c.limits.OverloadFactor * capacity * c.limits.OverloadWindow.Seconds()
	if sum-work > most {
		c.Violation("cold", "%s got %.2f s of work within %v, and falls over at %.2f", server, sum, c.limits.OverloadWindow, most)
	}
	return (sum - work) / most
}

// ServerWarm forgets the work sent to a server that is warm or has restarted.
func (c *Checker) ServerWarm(server string) { delete(c.coldWork, server) }

// ServerAnswered records the body of an answer that a server sent for a request.
func (c *Checker) ServerAnswered(id string, body []byte) {
	r := c.Request(id)
	r.serverAnswers = append(r.serverAnswers, xxhash.Sum64(body))
}

// ClientAnswered records a complete answer to a client, late after the client's timeout.
func (c *Checker) ClientAnswered(id string, status int, body []byte, late time.Duration) {
	r := c.Request(id)
	if r.Answers++; r.Answers > 1 {
		c.Violation("answers", "%s was answered %d times", id, r.Answers)
	}
	if late > c.limits.MaxAnswerDelay {
		c.Violation("late", "%s was answered %v after its client had given up", id, late)
	}
	if status != 200 {
		return
	}
	sum := xxhash.Sum64(body)
	for _, b := range r.serverAnswers {
		if b == sum {
			return
		}
	}
	c.Violation("bytes", "%s was answered with %d bytes that no server made for it", id, len(body))
}

// RequestLost reports a request that a gateway accepted but never answered in full.
func (c *Checker) RequestLost(id string, gateway int, how string) {
	c.Violation("lost", "%s was taken by g%d and %s", id, gateway, how)
}
