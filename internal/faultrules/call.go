package faultrules

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Outcome of an operator's call.
type Outcome uint8

// The outcomes.
const (
	Busy   Outcome = iota // nobody can take it now
	Done                  // it is kept
	Below                 // the version is not above the one held, or another text was accepted under it
	Read                  // State tells
	Absent                // a set that is to be stopped was never accepted: it may still come
)

// State is what operators see of the rules.
type State struct {
	Version uint32        `cbor:"1,keyasint,omitempty"`
	Turn    uint64        `cbor:"2,keyasint,omitempty"`
	Body    []byte        `cbor:"3,keyasint,omitempty" json:"-"`
	Stopped bool          `cbor:"4,keyasint,omitempty"`
	Active  bool          `cbor:"5,keyasint,omitempty"`
	Waits   []string      `cbor:"6,keyasint,omitempty"` // who has not confirmed
	Rules   []RuleState   `cbor:"7,keyasint,omitempty"`
	Primary string        `cbor:"8,keyasint,omitempty"`
	Lease   time.Duration `cbor:"9,keyasint,omitempty" json:"-"`
}

// RuleState is a rule's.
type RuleState struct {
	Name   string  `cbor:"1,keyasint"`
	LeftS  float64 `cbor:"2,keyasint"`
	Budget int     `cbor:"3,keyasint"`
	Given  int     `cbor:"4,keyasint"` // strikes handed out
	Used   int     `cbor:"5,keyasint"` // strikes on record
}

// Answer ends a call.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	State   State   `cbor:"2,keyasint"`
}

type call struct {
	f        Forward
	at, sent fsm.Time
	op       Op // that is wanted; f only reads, until it is known which turn the call is for
}

// Call makes an operator's call here; the answer comes once, in some Out.Answers. A stop is of
// doc.Version, and does nothing to another set; 0: of the one that is kept when the call comes.
func (m *Machine) Call(now fsm.Time, id uint64, op Op, doc Doc) Out {
	m.now = max(m.now, now)
	c := &call{f: Forward{ID: id, Salt: m.salt, Op: OpGet, Doc: doc}, at: m.now, sent: m.now, op: op}
	if m.bug == Unfenced {
		c.f.Op = op
	}
	m.calls = append(m.calls, c)
	m.send(m.primary(), c.f)
	return m.flush()
}

func (m *Machine) onAnswered(a Answered) {
	i := slices.IndexFunc(m.calls, func(c *call) bool { return c.f.ID == a.ID && c.f.Salt == a.Salt })
	if i < 0 {
		return
	}
	c := m.calls[i]
	if a.Ans.Outcome == Read && c.op == OpStop && m.bug != Numberless {
		a.Ans.Outcome = c.stopOutcome(a.Ans.State)
	}
	if a.Ans.Outcome == Read && c.op != OpGet {
		if fence := a.Ans.State.Turn + 1; fence > c.f.Fence {
			c.f.Op, c.f.Fence, c.sent = c.op, fence, m.now
			m.send(m.primary(), c.f)
		}
		return
	}
	m.calls = slices.Delete(m.calls, i, i+1)
	m.out.Answers = append(m.out.Answers, Reply{a.ID, a.Ans})
}

// stops is how a stop ends by what is kept, which most members have confirmed since it was
// called: a set that is not the newest is never in force again. Read: it has to be carried out.
func (c *call) stopOutcome(s State) Outcome {
	if c.f.Doc.Version == 0 { // whatever comes later is not what it was meant for
		c.f.Doc.Version = s.Version
	}
	switch {
	case s.Version < c.f.Doc.Version:
		return Absent
	case s.Version > c.f.Doc.Version || s.Stopped || s.Version == 0:
		return Done
	}
	return Read
}

// expire repeats calls, and ends those that took too long.
func (m *Machine) tickCalls() {
	m.calls = slices.DeleteFunc(m.calls, func(c *call) bool {
		if m.now-c.at >= callTimeout {
			m.out.Answers = append(m.out.Answers, Reply{c.f.ID, Answer{}})
			return true
		}
		if m.now-c.sent >= retryInterval {
			c.sent = m.now
			m.send(m.primary(), c.f)
		}
		return false
	})
}
