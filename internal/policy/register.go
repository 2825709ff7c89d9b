// Package policy decides how one policy takes the place of another at many
// gateways at once: everywhere or nowhere, and never two of them at the same
// time. No I/O and no clock.
//
// Three parts work on it. Register is the state that the voters' log builds,
// the same at each of them: versions, what has become of each change. Coordinator is
// what the leader of the voters does besides: it grants leases, has a change
// checked by all that hold one, waits for the leases of those that say nothing,
// holds all others for a moment and turns. Holder is a gateway's side: it decides
// by a version only within a lease for it.
//
// Why no request is decided by an old version once any has been by the new:
// the turn is an entry of the log that a leader proposes only while no lease can
// still run, by its own clock, and it grants none from then on until the entry
// is applied. A lease runs from before a gateway asked for it, and is granted
// only if the voters have confirmed the leader after it was asked; so a leader
// that has been replaced since grants nothing that its successor would have to
// know of, except what was asked before the successor's election, and for that
// the successor waits out one lease.
package policy

import (
	"encoding/json"
	"fmt"
)

// Format numbers what the log and its snapshots hold. A voter that meets a
// higher one steps back: it can't tell what the others make of it.
const Format = 1

// Command is an entry of the log.
type Command struct {
	Format int    `json:"format"`
	Kind   Kind   `json:"kind"`
	ID     uint64 `json:"id"`             // of the change; its proposer draws it, so that a repeat is the same change
	Base   int64  `json:"base,omitempty"` // the version that a proposal is to take the place of
	Text   []byte `json:"text,omitempty"`
	By     string `json:"by,omitempty"`    // who proposes or withdraws it
	Why    string `json:"why,omitempty"`   // of a withdrawal
	AtMs   int64  `json:"at_ms,omitempty"` // the proposer's clock, Unix ms; shown, never decided by
}

// Kind of a command.
type Kind string

// The kinds.
const (
	Propose  Kind = "propose"
	Turn     Kind = "turn"
	Withdraw Kind = "withdraw"
)

// Fate is what has become of a change.
type Fate string

// The fates. Each change ends with one of the last three, once.
const (
	UnderWay  Fate = "under way"
	Committed Fate = "committed"
	Withdrawn Fate = "withdrawn"
	Refused   Fate = "refused" // at its proposal: another base, or another change under way
)

// Change is one in the register's history.
type Change struct {
	ID      uint64 `json:"id"`
	Base    int64  `json:"base"`
	Version int64  `json:"version,omitempty"` // that it has become
	Text    []byte `json:"text,omitempty"`    // of the last keep versions
	By      string `json:"by,omitempty"`
	Why     string `json:"why,omitempty"`
	AtMs    int64  `json:"at_ms,omitempty"`
	Fate    Fate   `json:"fate"`
}

// Register is the replicated state.
type Register struct {
	Format  int      `json:"format"`
	Version int64    `json:"version"`         // 0: each gateway's own file
	Under   uint64   `json:"under,omitempty"` // the change under way; 0: none
	Changes []Change `json:"changes"`         // the last keepChanges, oldest first
}

const (
	keepChanges = 1000
	keepTexts   = 50 // of committed versions
)

// NewRegister returns the register before any change.
func NewRegister() *Register { return &Register{Format: Format} }

// Restore reads what Snapshot wrote.
func Restore(data []byte) (*Register, error) {
	r := NewRegister()
	if err := json.Unmarshal(data, r); err != nil {
		return nil, fmt.Errorf("snapshot: %w", err)
	}
	if r.Format > Format {
		return nil, fmt.Errorf("snapshot: format %d, this program knows %d", r.Format, Format)
	}
	return r, nil
}

// Snapshot is the state in a form that Restore reads.
func (r *Register) Snapshot() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // nothing in it can fail to be written
	}
	return data
}

// Encode is a command as the log holds it.
func (c Command) Encode() []byte {
	c.Format = Format
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// Decode reads a command. One of a later format is an error.
func Decode(data []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(data, &c); err != nil {
		return c, fmt.Errorf("command: %w", err)
	}
	if c.Format > Format {
		return c, fmt.Errorf("command: format %d, this program knows %d", c.Format, Format)
	}
	return c, nil
}

// Pending is the change under way; nil: none.
func (r *Register) Pending() *Change {
	if r.Under == 0 {
		return nil
	}
	return r.Find(r.Under)
}

// Find is a change by its id; nil: unknown, or long ago.
func (r *Register) Find(id uint64) *Change {
	for i := len(r.Changes) - 1; i >= 0; i-- {
		if r.Changes[i].ID == id {
			return &r.Changes[i]
		}
	}
	return nil
}

// Text is the policy of a version; false: it is no longer kept, or never was.
// That of version 0 is empty.
func (r *Register) Text(version int64) ([]byte, bool) {
	if version == 0 {
		return nil, true
	}
	for i := len(r.Changes) - 1; i >= 0; i-- {
		if c := &r.Changes[i]; c.Version == version && c.Fate == Committed {
			return c.Text, c.Text != nil
		}
	}
	return nil, false
}

// Made is the change that has become a version; 0: it is not kept.
func (r *Register) Made(version int64) uint64 {
	for i := len(r.Changes) - 1; i >= 0 && version > 0; i-- {
		if c := &r.Changes[i]; c.Version == version && c.Fate == Committed {
			return c.ID
		}
	}
	return 0
}

// Apply takes the next command of the log. It is the same at all voters: what
// does not fit the state changes nothing.
func (r *Register) Apply(c Command) {
	switch pending := r.Pending(); c.Kind {
	case Propose:
		if r.Find(c.ID) != nil { // a repeat
			return
		}
		n := Change{ID: c.ID, Base: c.Base, Text: c.Text, By: c.By, AtMs: c.AtMs, Fate: UnderWay}
		switch {
		case pending != nil:
			n.Fate, n.Why = Refused, fmt.Sprintf("change %x by %s is under way", pending.ID, pending.By)
		case c.Base != r.Version:
			n.Fate, n.Why = Refused, fmt.Sprintf("made for version %d, the present one is %d", c.Base, r.Version)
		}
		if n.Fate == Refused {
			n.Text = nil
		} else {
			r.Under = n.ID
		}
		r.Changes = append(r.Changes, n)
		r.trim()
	case Turn:
		if pending != nil && pending.ID == c.ID {
			r.Version++
			pending.Version, pending.Fate, r.Under = r.Version, Committed, 0
			r.trim()
		}
	case Withdraw:
		if pending != nil && pending.ID == c.ID {
			pending.Fate, pending.Why, pending.Text, r.Under = Withdrawn, c.Why, nil, 0
		}
	}
}

func (r *Register) trim() {
	for i := range r.Changes {
		if c := &r.Changes[i]; c.Fate == Committed && c.Version <= r.Version-keepTexts {
			c.Text = nil
		}
	}
	if over := len(r.Changes) - keepChanges; over > 0 {
		for i := 0; i < over; i++ {
			if r.Changes[i].Fate == UnderWay || r.Changes[i].Version == r.Version {
				return // not these, however many came after
			}
		}
		r.Changes = append([]Change(nil), r.Changes[over:]...)
	}
}
