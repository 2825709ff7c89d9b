// Package invariants checks the rules that gateways must keep by what crosses the
// wires between them and all others, not by what they believe. The virtual world
// and the field of real processes have one judge. No I/O, no clock: times are the
// caller's, on one clock. A Judge is not safe for concurrent use.
package invariants

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Terms are the rules' figures, with what a world allows for its own lateness.
type Terms struct {
	DrainGrace time.Duration // nothing new is sent to a server so long after a gateway was told that it drains or is gone
	AnswerLate time.Duration // an answer may come so long after its client's time
	MostTries  int           // attempts of a request
	FallTimes  float64       // a cold server may be sent so many times its capacity
	TipAfter   time.Duration // within this
}

// Judge has seen what has happened so far.
type Judge struct {
	terms  Terms
	broke  func(rule, detail string)
	tries  map[string]*Try
	told   map[toldKey]time.Duration
	stores map[string]*store
	cold   map[string][]arrived
}

// toldKey is a server's id, at a gateway.
type toldKey struct {
	gateway int
	server  string
}

// Try is what is known of a client's try.
type Try struct {
	Once     bool // it must not run twice
	Arrivals int  // attempts that came whole to a server
	MayRun   int  // of these, the ones without proof that they did not run
	Runs     int
	Answers  int
	bodies   []uint64
}

// store is a customer's ceiling, filled as the rule allows at the most.
type store struct {
	room float64
	at   time.Duration
}

type arrived struct {
	at   time.Duration
	work float64
}

// New returns a judge that tells of each broken rule.
func New(t Terms, broke func(rule, detail string)) *Judge {
	return &Judge{terms: t, broke: broke, tries: map[string]*Try{}, told: map[toldKey]time.Duration{},
		stores: map[string]*store{}, cold: map[string][]arrived{}}
}

// Breaks tells that a rule is broken.
func (j *Judge) Breaks(rule, format string, args ...any) { j.broke(rule, fmt.Sprintf(format, args...)) }

// Try is the one with this id.
func (j *Judge) Try(id string) *Try {
	t := j.tries[id]
	if t == nil {
		t = &Try{}
		j.tries[id] = t
	}
	return t
}

// Tells: a gateway counts as told that a server drains or is gone, or that it is up.
func (j *Judge) Tells(gateway int, server string, up bool, now time.Duration) {
	k := toldKey{gateway, server}
	if up {
		delete(j.told, k)
	} else if _, ok := j.told[k]; !ok {
		j.told[k] = now
	}
}

// Held reports whether a gateway counts as told that a server wants nothing new.
func (j *Judge) Held(gateway int, server string) bool {
	_, ok := j.told[toldKey{gateway, server}]
	return ok
}

// Arrives: the last byte of an attempt has come to a server. begun is when its
// first one was sent.
func (j *Judge) Arrives(id string, gateway int, server string, begun time.Duration) *Try {
	t := j.Try(id)
	if t.Arrivals++; t.Arrivals > j.terms.MostTries {
		j.Breaks("attempts", "%s came to a server %d times", id, t.Arrivals)
	}
	if at, ok := j.told[toldKey{gateway, server}]; ok && begun > at+j.terms.DrainGrace {
		j.Breaks("drain", "g%d sent %s to %s %v after it was told that it drains or is gone", gateway, id, server, begun-at)
	}
	return t
}

// Units: a customer's try was sent on for the first time. most is the most that
// its ceiling's store can hold, the slack included, rate what fills it. It
// returns what is left.
func (j *Judge) Units(customer string, units, most, rate float64, now time.Duration) float64 {
	s := j.stores[customer]
	if s == nil {
		s = &store{room: most, at: now}
		j.stores[customer] = s
	}
	s.room = min(most, s.room+(now-s.at).Seconds()*rate)
	s.at = now
	if s.room -= units; s.room < 0 {
		j.Breaks("ceiling", "customer %s: %.2f units over its ceiling", customer, -s.room)
	}
	return s.room
}

// MayRun: an attempt was not turned away with proof.
func (j *Judge) MayRun(id string) {
	t := j.Try(id)
	if t.MayRun++; t.Once && t.MayRun > 1 {
		j.Breaks("twice", "submission %s may have run %d times", id, t.MayRun)
	}
}

// Runs: an attempt has begun to run.
func (j *Judge) Runs(id string) {
	t := j.Try(id)
	if t.Runs++; t.Once && t.Runs > 1 {
		j.Breaks("twice", "submission %s ran %d times", id, t.Runs)
	}
}

// Cold: work, in seconds of a core, has come to a server that has just started
// and that all gateways know of. capacity is what it can do now, in cores. It
// returns what came within the time that counts, over the most that the server bears.
func (j *Judge) Cold(server string, work, capacity float64, now time.Duration) float64 {
	window := append(j.cold[server], arrived{now, work})
	for window[0].at <= now-j.terms.TipAfter {
		window = window[1:]
	}
	j.cold[server] = window
	sum := 0.0
	for _, a := range window {
		sum += a.work
	}
	// A single request more than fits is no push: work comes in whole requests.
	most := j.terms.FallTimes * capacity * j.terms.TipAfter.Seconds()
	if sum-work > most {
		j.Breaks("cold", "%s got %.2f s of work within %v, and falls over at %.2f", server, sum, j.terms.TipAfter, most)
	}
	return (sum - work) / most
}

// Warm forgets what came to a server: it is warm, or a new process.
func (j *Judge) Warm(server string) { delete(j.cold, server) }

// Made: a server has made this answer for a try.
func (j *Judge) Made(id string, body []byte) {
	t := j.Try(id)
	t.bodies = append(t.bodies, xxhash.Sum64(body))
}

// Answered: a client has a whole answer, so late after its time.
func (j *Judge) Answered(id string, status int, body []byte, late time.Duration) {
	t := j.Try(id)
	if t.Answers++; t.Answers > 1 {
		j.Breaks("answers", "%s was answered %d times", id, t.Answers)
	}
	if late > j.terms.AnswerLate {
		j.Breaks("late", "%s was answered %v after its client had given up", id, late)
	}
	if status != 200 {
		return
	}
	sum := xxhash.Sum64(body)
	for _, b := range t.bodies {
		if b == sum {
			return
		}
	}
	j.Breaks("bytes", "%s was answered with %d bytes that no server made for it", id, len(body))
}

// Lost: a request was taken, and its connection ended without a whole answer.
func (j *Judge) Lost(id string, gateway int, how string) {
	j.Breaks("lost", "%s was taken by g%d and %s", id, gateway, how)
}
