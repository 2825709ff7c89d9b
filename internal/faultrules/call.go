package faultrules

import (
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// Outcome is the result of an operator's call.
type Outcome uint8

// The outcomes.
const (
	Busy   Outcome = iota // no primary can serve the call now
	Done                  // the change is committed
	Below                 // the version is not above the current one, or was accepted with a different body
	Read                  // nothing was changed: the answer is the State
	Absent                // the set to stop was never accepted; its put may still arrive
)

// State is the status of the fault rules as shown to operators.
type State struct {
	Version uint32        `cbor:"1,keyasint,omitempty"`
	Turn    uint64        `cbor:"2,keyasint,omitempty"`
	Body    []byte        `cbor:"3,keyasint,omitempty" json:"-"`
	Stopped bool          `cbor:"4,keyasint,omitempty"`
	Active  bool          `cbor:"5,keyasint,omitempty"`
	Waits   []string      `cbor:"6,keyasint,omitempty"` // addresses of live processes that have not confirmed the set
	Rules   []RuleState   `cbor:"7,keyasint,omitempty"`
	Primary string        `cbor:"8,keyasint,omitempty"`
	Lease   time.Duration `cbor:"9,keyasint,omitempty" json:"-"`
}

// RuleState is the status of one rule.
type RuleState struct {
	Name   string  `cbor:"1,keyasint"`
	LeftS  float64 `cbor:"2,keyasint"`
	Budget int     `cbor:"3,keyasint"`
	Given  int     `cbor:"4,keyasint"` // strikes granted to processes
	Used   int     `cbor:"5,keyasint"` // strikes recorded as used
}

// Answer is the final response to an operator's call.
type Answer struct {
	Outcome Outcome `cbor:"1,keyasint,omitempty"`
	State   State   `cbor:"2,keyasint"`
}

// call is an operator's call that waits for its answer.
type call struct {
	f        Forward
	at, sent fsm.Time
	op       Op // requested; f.Op stays OpGet until the turn for its fence is known
}

// Call starts an operator's call at this process. Its answer is delivered exactly once, in the
// Answers of a later Out. A stop applies to doc.Version only; with version 0, to the set that is
// committed when the call arrives.
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

func (m *Machine) onForwardReply(a ForwardReply) {
	i := slices.IndexFunc(m.calls, func(c *call) bool { return c.f.ID == a.ID && c.f.Salt == a.Salt })
	if i < 0 {
		return
	}
	c := m.calls[i]
	if a.Ans.Outcome == Read && c.op == OpStop && m.bug != IgnoresStopVersion {
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

// stopOutcome decides a stop from the committed state, which a majority has confirmed since the
// call was made. A set that is not the newest is never in force again, so stopping it is Done.
// Read means that the stop still has to be carried out.
func (c *call) stopOutcome(s State) Outcome {
	if c.f.Doc.Version == 0 { // pin the current set: the stop must not apply to a later one
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

// tickCalls retries pending calls and answers those that timed out with Busy.
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
