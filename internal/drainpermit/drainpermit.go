package drainpermit

import (
	"maps"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Kind of a word.
type Kind uint8

// The kinds. Waits: the sender asks itself, and its address is the lower one.
const (
	Request Kind = iota + 1
	Granted
	Denied
	Deferred
)

// Word is a message: an ask, or an answer to one.
type Message struct {
	Kind Kind   `cbor:"1,keyasint"`
	ID   uint64 `cbor:"2,keyasint"` // of the ask, which no other start has
}

// Answer ends an operator's call.
type Answer uint8

// The answers.
const (
	NoPermission  Answer = iota // nobody has said that it stays: this one goes on
	Done                        // it holds
	NoOtherReady                // no other gateway is ready
	ProcessEnding               // the process is ending
	Superseded                  // another order has come since
)

// Op is what an operator wants.
type Op uint8

// The operators' calls.
const (
	Start      Op = iota
	StartAlone    // whoever stays
	Stop
)

// Peer is another process that is up, and whether it calls itself ready.
type Peer struct {
	Addr  string
	Ready bool
}

// Reply ends a call.
type Reply struct {
	Call   uint64
	Answer Answer
}

// Out is what a machine wants done.
type Out struct {
	Send            []fsm.Send // of Words
	Replies         []Reply
	DrainingChanged bool // Draining has changed
}

// Bug is a guard taken out, to show that the tests find it.
type Bug uint8

// The bugs.
const (
	NoBug                   Bug = iota
	BugNoPermission             // a drain needs nobody's word
	BugStalePermission          // a word counts for any ask
	BugGrantWhileRequesting     // who asks says that it stays, and asks on
)

const (
	againEvery = 100 * time.Millisecond // asks without an answer go out again
	first      = 3                      // are asked first, then all
)

// Machine is one process's part.
type Machine struct {
	self string
	bug  Bug
	out  Out

	peers   []Peer
	missing bool // one that was seen lately is not: it may be on the other side of a cut
	fit     bool // this one is ready, and doesn't leave
	leaves  bool

	drains bool
	calls  []uint64 // that wait for the ask; none: nothing is asked
	id     uint64   // of the ask, or the next one
	till   fsm.Time
	sent   fsm.Time
	rounds int
	noes   map[string]bool // drain, or are not ready
}

// New starts a process, with a number that no other start has.
func New(self string, salt uint64, bug Bug) *Machine {
	return &Machine{self: self, id: salt, bug: bug, noes: map[string]bool{}}
}

// Draining tells whether clients should go elsewhere.
func (m *Machine) Draining() bool { return m.drains }

// Peers takes membership's view.
func (m *Machine) SetPeers(peers []Peer, missing bool) {
	m.peers, m.missing = slices.Clone(peers), missing
}

// Fit takes whether this process is ready but for a drain, and whether it leaves.
func (m *Machine) SetReady(ready, leaves bool) { m.fit, m.leaves = ready && !leaves, leaves }

// Call takes an operator's call, that is answered within a time. A second copy changes nothing.
func (m *Machine) Call(now fsm.Time, call uint64, op Op, within time.Duration) Out {
	asks := len(m.calls) > 0
	switch {
	case op == Stop && !m.drains && !asks, op != Stop && m.drains:
		m.reply(call, Done)
	case m.leaves:
		m.reply(call, ProcessEnding)
	case op != Start || m.bug == BugNoPermission:
		m.over(Superseded)
		m.turn(op != Stop)
		m.reply(call, Done)
	default:
		m.calls, m.till = append(m.calls, call), max(m.till, now+within)
		if !asks {
			m.ask(now)
		}
		m.settle()
	}
	return m.end()
}

// Tick lets time pass.
func (m *Machine) Tick(now fsm.Time) Out {
	if len(m.calls) > 0 {
		switch {
		case m.leaves:
			m.over(ProcessEnding)
		case now >= m.till:
			m.over(NoPermission)
		case now-m.sent >= againEvery:
			m.ask(now)
		}
		m.settle()
	}
	return m.end()
}

// Take takes a word.
func (m *Machine) Receive(now fsm.Time, from string, w Message) Out {
	asks := len(m.calls) > 0
	switch {
	case w.Kind == Request:
		m.answer(now, from, w.ID)
	case !asks, w.ID != m.id && m.bug != BugStalePermission:
	case w.Kind == Granted:
		m.turn(true)
		m.over(Done)
	case w.Kind == Denied:
		m.noes[from] = true
		m.settle()
	default:
		delete(m.noes, from)
	}
	return m.end()
}

// answer says whether this one stays. Of two that ask each other the one of the lower address
// goes first: the other gives its ask up, and begins a new one.
func (m *Machine) answer(now fsm.Time, from string, id uint64) {
	kind := Granted
	switch asks := len(m.calls) > 0; {
	case m.drains || !m.fit:
		kind = Denied
	case asks && m.bug == BugGrantWhileRequesting:
	case asks && m.self < from:
		kind = Deferred
	case asks:
		m.renew()
		m.sent = now
	}
	m.send(from, Message{kind, id})
}

// ask sends the ask: to a few that call themselves ready, and if that was in vain to all.
func (m *Machine) ask(now fsm.Time) {
	m.sent = now
	n := 0
	for _, ready := range []bool{true, false} {
		for _, p := range m.peers {
			if p.Ready == ready && (m.rounds > 0 || n < first) {
				n++
				m.send(p.Addr, Message{Request, m.id})
			}
		}
	}
	m.rounds++
}

// settle ends an ask that can't be granted: all others have said no.
func (m *Machine) settle() {
	if len(m.calls) == 0 || slices.ContainsFunc(m.peers, func(p Peer) bool { return !m.noes[p.Addr] }) {
		return
	}
	if m.missing {
		m.over(NoPermission)
	} else {
		m.over(NoOtherReady)
	}
}

// over ends the ask: no word counts for it any more.
func (m *Machine) over(a Answer) {
	for _, call := range m.calls {
		m.reply(call, a)
	}
	m.calls, m.till = nil, 0
	m.renew()
}

func (m *Machine) renew() {
	m.id, m.rounds = m.id+1, 0
	clear(m.noes)
}

func (m *Machine) turn(on bool) {
	m.out.DrainingChanged = m.out.DrainingChanged || m.drains != on
	m.drains = on
}

func (m *Machine) reply(call uint64, a Answer) { m.out.Replies = append(m.out.Replies, Reply{call, a}) }

func (m *Machine) send(to string, w Message) {
	m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: w})
}

func (m *Machine) end() Out {
	out := m.out
	m.out = Out{}
	return out
}

// Clone is another one that stands where this one does.
func (m *Machine) Clone() *Machine {
	c := *m
	c.peers, c.calls, c.noes = slices.Clone(m.peers), slices.Clone(m.calls), maps.Clone(m.noes)
	return &c
}
