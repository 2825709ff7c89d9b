package transport

import (
	"fmt"
	"testing"
	"time"
)

// connRules are the transitions that the model plays; a mutant replaces one of them.
type connRules struct {
	received    func(*connState, time.Time) bool
	starved     func(*connState, time.Time) bool
	begun       func(*connState, time.Time)
	served      func(*connState, time.Time)
	answered    func(*connState, time.Time)
	nothingOwed func(*connState) bool
	drainable   func(*connState, time.Time) bool
	expendable  func(*connState, time.Time) int
}

func realConnRules() connRules {
	return connRules{(*connState).received, (*connState).starved, (*connState).begun, (*connState).served, (*connState).answered,
		(*connState).nothingOwed, (*connState).drainable, (*connState).expendable}
}

type libraryStep uint8

const (
	libraryBetween libraryStep = iota // before the first byte of a request
	libraryReading
	libraryHandling
)

// modelConn is a connection with all that is round it. Requests have two halves, and the counters count halves.
type modelConn struct {
	state                       connState
	library                     libraryStep
	draining                    bool
	sent, pumped, taken, parsed int // by the client, the pump, the library, and by handlers
	answered                    int // requests whose response has been sent
}

const modelRequests = 3

// connModel explores every order of events, up to modelRequests requests.
type connModel struct {
	rules connRules
	seen  map[modelConn]bool
	fault string
}

var (
	modelStart = time.Unix(1000, 0)
	modelLater = modelStart.Add(2 * max(pressureGrace, firstRequestGrace))
)

// explore visits the states that can be reached from m.
func (m *connModel) explore(c modelConn) {
	if m.fault != "" || m.seen[c] {
		return
	}
	m.seen[c] = true
	for _, now := range []time.Time{modelStart, modelLater} {
		if now.Before(c.state.since) {
			continue
		}
		m.client(c, now)
		m.step(c, now)
		m.listener(c, now)
	}
}

// client plays bytes that are sent, and that the pump reads.
func (m *connModel) client(c modelConn, now time.Time) {
	if c.sent < 2*modelRequests {
		next := c
		next.sent++
		m.explore(next)
	}
	for pumped := c.pumped + 1; pumped <= c.sent && c.pumped == c.taken; pumped++ { // while the pump's buffer is free
		next := c
		if next.pumped = pumped; m.rules.received(&next.state, now) {
			m.explore(next)
		} else if c.state.phase != phaseClosed {
			m.fault = fmt.Sprintf("bytes are dropped: %+v", c)
		}
	}
	if c.state.phase == phaseClosed && m.rules.received(&c.state, now) {
		m.fault = fmt.Sprintf("bytes are taken by a closed connection: %+v", c)
	}
}

// step plays the next step of the HTTP library. A handler may run as soon as a half of its request is there, and read the
// other one itself.
func (m *connModel) step(c modelConn, now time.Time) {
	inBuffer, rest := c.taken-c.parsed, c.parsed-2*c.answered
	switch {
	case c.state.phase == phaseClosed:
		return
	case c.library == libraryBetween && inBuffer > 0:
		m.rules.begun(&c.state, now)
		c.library = libraryReading
		m.explore(c)
		return
	case c.library == libraryHandling && rest == 2:
		m.rules.answered(&c.state, now)
		c.library, c.answered = libraryBetween, c.answered+1
		m.explore(c)
		return
	case c.library == libraryReading && inBuffer > 0:
		next := c
		m.rules.served(&next.state, now)
		next.library, next.parsed = libraryHandling, c.parsed+1
		m.explore(next)
	case c.library == libraryHandling && inBuffer > 0:
		c.parsed++
		m.explore(c)
		return
	}
	if c.library == libraryReading && inBuffer > 1 {
		return
	}
	if c.pumped > c.taken {
		c.taken = c.pumped
		m.explore(c)
	} else {
		m.wait(c, now)
	}
}

// wait plays a Read of the library that finds nothing: it may wait for long, or run into its deadline.
func (m *connModel) wait(c modelConn, now time.Time) {
	if m.rules.starved(&c.state, now) && c.draining {
		m.end(c, now, "drained on becoming idle", false)
		return
	}
	m.explore(c)
	if owes := c.pumped > 2*c.answered; owes && c.state.waiting && m.rules.nothingOwed(&c.state) {
		m.fault = fmt.Sprintf("ended at its deadline without a response: %+v", c)
	}
	if idle := c.pumped == 2*c.answered; idle && c.draining && c.answered > 0 && !m.rules.drainable(&c.state, now) {
		m.fault = fmt.Sprintf("not closed by a drain: %+v", c)
	}
}

// listener plays a drain, its end, and a lack of connections.
func (m *connModel) listener(c modelConn, now time.Time) {
	if m.rules.drainable(&c.state, now) {
		if c.state.phase == phaseConnected && now == modelStart {
			m.fault = fmt.Sprintf("closed as it has just connected: %+v", c)
		}
		m.end(c, now, "drained", false)
	}
	if c.state.phase != phaseClosed && m.rules.expendable(&c.state, now) != rankProtected {
		m.end(c, now, "closed to make room", true)
	}
	c.draining = !c.draining
	m.explore(c)
}

// end closes the connection. No response may be owed: not for a whole request, and unless others need
// the room, not for one of which a part has arrived.
func (m *connModel) end(c modelConn, now time.Time, why string, room bool) {
	owed := c.pumped - 2*c.answered
	if owed >= 2 || owed > 0 && !room || c.library == libraryHandling {
		m.fault = fmt.Sprintf("%s: %+v", why, c)
		return
	}
	c.state.enter(phaseClosed, now)
	m.explore(c)
}

// explored returns the number of states that rules lead to, and the first fault.
func explored(rules connRules) (int, string) {
	m := &connModel{rules: rules, seen: map[modelConn]bool{}}
	m.explore(modelConn{state: connState{since: modelStart}})
	return len(m.seen), m.fault
}

// TestConnStateExplored: in every order of a few requests' bytes, reads, responses, drains and timeouts, a connection
// is closed only if no response is owed on it, and a drain closes it once none is.
func TestConnStateExplored(t *testing.T) {
	states, fault := explored(realConnRules())
	if fault != "" {
		t.Error(fault)
	}
	t.Logf("%d states", states)
	if states < 500 {
		t.Errorf("only %d states", states)
	}
}

// TestConnStateMutants: the model finds each of these faults.
func TestConnStateMutants(t *testing.T) {
	for name, change := range map[string]func(*connRules){
		"idle once answered, whatever the library holds": func(r *connRules) {
			r.answered = func(s *connState, now time.Time) { s.enter(phaseIdle, now) }
		},
		"idle whenever the library waits": func(r *connRules) {
			r.starved = func(s *connState, now time.Time) bool { s.waiting = true; s.enter(phaseIdle, now); return true }
		},
		"never idle": func(r *connRules) {
			r.starved = func(*connState, time.Time) bool { return false }
		},
		"a begun request is not seen": func(r *connRules) {
			r.begun = func(*connState, time.Time) {}
		},
		"a request that arrives on a closed connection is served": func(r *connRules) {
			r.received = func(s *connState, now time.Time) bool { s.received(now); return true }
		},
		"bytes that arrive while idle are not seen": func(r *connRules) {
			r.received = func(s *connState, _ time.Time) bool { s.waiting = false; return s.phase != phaseClosed }
		},
		"a complete request that is not yet parsed doesn't protect": func(r *connRules) {
			r.expendable = func(s *connState, now time.Time) int { seen := *s; seen.waiting = true; return seen.expendable(now) }
		},
		"a request being served doesn't protect": func(r *connRules) {
			r.served = func(s *connState, now time.Time) { s.enter(phaseReceiving, now) }
		},
		"an answered connection counts as idle": func(r *connRules) {
			r.drainable = func(s *connState, now time.Time) bool { return s.drainable(now) || s.phase == phaseAnswered }
		},
		"a new connection counts as idle": func(r *connRules) {
			r.drainable = func(s *connState, _ time.Time) bool { return s.nothingOwed() }
		},
		"no response to a request that stays incomplete": func(r *connRules) {
			r.nothingOwed = func(s *connState) bool { return s.nothingOwed() || s.phase == phaseReceiving }
		},
	} {
		rules := realConnRules()
		change(&rules)
		if states, fault := explored(rules); fault == "" {
			t.Errorf("%s: not found in %d states", name, states)
		}
	}
}
