package drainpermit

import (
	"maps"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Kind is the kind of a message.
type Kind uint8

// The kinds of messages. Deferred: the sender has a request of its own, and the lower address.
const (
	Request Kind = iota + 1
	Granted
	Denied
	Deferred
)

// Message is a request or an answer to one.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"` // of the request; unique across starts
}

// Answer is the result of an operator's call.
type Answer uint8

// The results of an operator's call.
const (
	NoPermission  Answer = iota // no process has granted the request: this one does not drain
	Done                        // the requested state is in effect
	NoOtherReady                // no other gateway is ready
	ProcessEnding               // the process is ending
	Superseded                  // another call has replaced this one
)

// Op is an operation that an operator requests.
type Op uint8

// The operations.
const (
	Start      Op = iota
	StartAlone    // without a permission
	Stop
)

// Peer is another process that is up.
type Peer struct {
	Addr  string
	Ready bool
}

// Reply ends a call.
type Reply struct {
	Call   uint64
	Answer Answer
}

// Out is the result of one input.
type Out struct {
	Send            []fsm.Send // Msg is a Message
	Replies         []Reply
	DrainingChanged bool
}

// Bug disables a safeguard, to show that the tests notice its absence.
type Bug uint8

// The safeguards that can be disabled.
const (
	NoBug                   Bug = iota
	BugNoPermission             // a drain needs no permission
	BugStalePermission          // a permission counts for any request
	BugGrantWhileRequesting     // a process with a request grants another, and keeps its own
)

const (
	retryInterval = 100 * time.Millisecond
	firstPeers    = 3 // that are asked before all others
)

// Machine is the state machine of one process.
type Machine struct {
	self string
	bug  Bug
	out  Out

	peers       []Peer
	peerMissing bool // a recently seen process is missing: it may be on the other side of a network partition
	canGrant    bool // this process is ready and not leaving
	leaving     bool

	draining     bool
	waitingCalls []uint64 // calls that wait for the request; empty: there is no request
	requestID    uint64   // of the current or the next request
	deadline     fsm.Time
	lastSent     fsm.Time
	attempts     int
	denials      map[string]bool // peers that drain or are not ready
}

// New returns a machine. The salt must be different at each start.
func New(self string, salt uint64, bug Bug) *Machine {
	return &Machine{self: self, requestID: salt, bug: bug, denials: map[string]bool{}}
}

// Draining reports whether clients should use other gateways.
func (m *Machine) Draining() bool { return m.draining }

// SetPeers sets the other processes that are up, and whether one seen recently is missing.
func (m *Machine) SetPeers(peers []Peer, missing bool) {
	m.peers, m.peerMissing = slices.Clone(peers), missing
}

// SetReady sets whether this process is ready apart from a drain, and whether it is leaving.
func (m *Machine) SetReady(ready, leaves bool) { m.canGrant, m.leaving = ready && !leaves, leaves }

// Call handles an operator's call, which is answered within the given time. Repeating it changes
// nothing.
func (m *Machine) Call(now fsm.Time, call uint64, op Op, within time.Duration) Out {
	requesting := len(m.waitingCalls) > 0
	switch {
	case op == Stop && !m.draining && !requesting, op != Stop && m.draining:
		m.reply(call, Done)
	case m.leaving:
		m.reply(call, ProcessEnding)
	case op != Start || m.bug == BugNoPermission:
		m.endRequest(Superseded)
		m.setDraining(op != Stop)
		m.reply(call, Done)
	default:
		m.waitingCalls, m.deadline = append(m.waitingCalls, call), max(m.deadline, now+within)
		if !requesting {
			m.sendRequest(now)
		}
		m.failIfAllDenied()
	}
	return m.takeOutput()
}

// Tick repeats the request, and ends it at its deadline.
func (m *Machine) Tick(now fsm.Time) Out {
	if len(m.waitingCalls) > 0 {
		switch {
		case m.leaving:
			m.endRequest(ProcessEnding)
		case now >= m.deadline:
			m.endRequest(NoPermission)
		case now-m.lastSent >= retryInterval:
			m.sendRequest(now)
		}
		m.failIfAllDenied()
	}
	return m.takeOutput()
}

// Receive handles a message.
func (m *Machine) Receive(now fsm.Time, from string, msg Message) Out {
	requesting := len(m.waitingCalls) > 0
	switch {
	case msg.Kind == Request:
		m.answerRequest(now, from, msg.ID)
	case !requesting, msg.ID != m.requestID && m.bug != BugStalePermission:
	case msg.Kind == Granted:
		m.setDraining(true)
		m.endRequest(Done)
	case msg.Kind == Denied:
		m.denials[from] = true
		m.failIfAllDenied()
	default:
		delete(m.denials, from)
	}
	return m.takeOutput()
}

// answerRequest answers a request. Of two processes that ask each other, the one with the lower
// address goes first: the other gives up its request and begins a new one.
func (m *Machine) answerRequest(now fsm.Time, from string, id uint64) {
	kind := Granted
	switch requesting := len(m.waitingCalls) > 0; {
	case m.draining || !m.canGrant:
		kind = Denied
	case requesting && m.bug == BugGrantWhileRequesting:
	case requesting && m.self < from:
		kind = Deferred
	case requesting:
		m.newRequestID()
		m.lastSent = now
	}
	m.send(from, Message{kind, id})
}

// sendRequest sends the request to a few peers that report themselves ready, and from the second
// attempt on to all.
func (m *Machine) sendRequest(now fsm.Time) {
	m.lastSent = now
	n := 0
	for _, ready := range []bool{true, false} {
		for _, p := range m.peers {
			if p.Ready == ready && (m.attempts > 0 || n < firstPeers) {
				n++
				m.send(p.Addr, Message{Request, m.requestID})
			}
		}
	}
	m.attempts++
}

// failIfAllDenied ends a request that all others have denied.
func (m *Machine) failIfAllDenied() {
	if len(m.waitingCalls) == 0 || slices.ContainsFunc(m.peers, func(p Peer) bool { return !m.denials[p.Addr] }) {
		return
	}
	if m.peerMissing {
		m.endRequest(NoPermission)
	} else {
		m.endRequest(NoOtherReady)
	}
}

// endRequest answers the waiting calls and ends the request: no message counts for it any more.
func (m *Machine) endRequest(a Answer) {
	for _, call := range m.waitingCalls {
		m.reply(call, a)
	}
	m.waitingCalls, m.deadline = nil, 0
	m.newRequestID()
}

func (m *Machine) newRequestID() {
	m.requestID, m.attempts = m.requestID+1, 0
	clear(m.denials)
}

func (m *Machine) setDraining(on bool) {
	m.out.DrainingChanged = m.out.DrainingChanged || m.draining != on
	m.draining = on
}

func (m *Machine) reply(call uint64, a Answer) { m.out.Replies = append(m.out.Replies, Reply{call, a}) }

func (m *Machine) send(to string, w Message) {
	m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: w})
}

func (m *Machine) takeOutput() Out {
	out := m.out
	m.out = Out{}
	return out
}

// Clone returns an independent copy.
func (m *Machine) Clone() *Machine {
	c := *m
	c.peers, c.waitingCalls, c.denials = slices.Clone(m.peers), slices.Clone(m.waitingCalls), maps.Clone(m.denials)
	return &c
}
