// Package policy replaces one policy by another atomically at many gateways: at all
// of them or none, and with never more than one version in use at a time. It does no
// I/O and reads no clock.
//
// It has three parts. Register is the replicated state that every voter builds from
// the log: the versions and the outcome of each change. Coordinator runs at the
// voters' leader: it grants leases, has each change checked by all lease holders,
// waits until the leases of silent members have expired, makes the others hold
// decisions for a moment, and proposes the turn, the log entry that puts the new
// version in force. Holder runs at each gateway, which decides requests by a version
// only while it has a lease for it.
//
// No request is decided by an old version after one was decided by the new version:
// a leader proposes the turn only while no lease can be in use by its own clock, and
// grants none until that entry is applied. A lease starts when the gateway sends its
// renewal, and is granted only if the voters confirmed the leader after the renewal
// arrived. A replaced leader can therefore grant only leases that were requested
// before its successor's election, and the successor waits for one lease to expire
// before its first turn.
package policy

import (
	"encoding/json"
	"fmt"
)

// Format is the version of the encoding of log entries and snapshots. A voter that
// reads a higher one stops voting, since it can't apply the entry as the others do.
const Format = 1

// Command is a log entry.
type Command struct {
	Format int    `json:"format"`
	Kind   Kind   `json:"kind"`
	ID     uint64 `json:"id"`             // of the change; drawn by the proposer, so that a retry is the same change
	Base   int64  `json:"base,omitempty"` // the version that a proposal replaces
	Text   []byte `json:"text,omitempty"`
	By     string `json:"by,omitempty"`    // who proposes or withdraws the change
	Why    string `json:"why,omitempty"`   // reason for a withdrawal
	AtMs   int64  `json:"at_ms,omitempty"` // the proposer's clock, Unix ms; informational only
}

// Kind is the kind of a command.
type Kind string

// Kinds of commands.
const (
	Propose  Kind = "propose"
	Turn     Kind = "turn"
	Withdraw Kind = "withdraw"
)

// Fate is the state or outcome of a change.
type Fate string

// Fates of a change. Each change reaches exactly one of the last three, once.
const (
	UnderWay  Fate = "under way"
	Committed Fate = "committed"
	Withdrawn Fate = "withdrawn"
	Refused   Fate = "refused" // when proposed: the base was outdated, or another change was pending
)

// Change is an entry of the register's history.
type Change struct {
	ID      uint64 `json:"id"`
	Base    int64  `json:"base"`
	Version int64  `json:"version,omitempty"` // assigned when it is committed
	Text    []byte `json:"text,omitempty"`    // kept for the last keepTexts committed versions
	By      string `json:"by,omitempty"`
	Why     string `json:"why,omitempty"`
	AtMs    int64  `json:"at_ms,omitempty"`
	Fate    Fate   `json:"fate"`
}

// Register is the replicated state.
type Register struct {
	Format  int      `json:"format"`
	Version int64    `json:"version"`         // 0: each gateway's own file
	Under   uint64   `json:"under,omitempty"` // the pending change; 0: none
	Changes []Change `json:"changes"`         // the last keepChanges, oldest first
}

const (
	keepChanges = 1000
	keepTexts   = 50 // of committed versions
)

// NewRegister returns the register before any change.
func NewRegister() *Register { return &Register{Format: Format} }

// Restore decodes a register that Snapshot encoded.
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

// Snapshot encodes the register for Restore.
func (r *Register) Snapshot() []byte {
	data, err := json.Marshal(r)
	if err != nil {
		panic(err) // every field can be marshaled
	}
	return data
}

// Encode returns the command as stored in the log.
func (c Command) Encode() []byte {
	c.Format = Format
	data, err := json.Marshal(c)
	if err != nil {
		panic(err)
	}
	return data
}

// Decode decodes a log entry. A later format is an error.
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

// Pending returns the pending change, or nil.
func (r *Register) Pending() *Change {
	if r.Under == 0 {
		return nil
	}
	return r.Find(r.Under)
}

// Find returns the change with an id, or nil if it is unknown or no longer kept.
func (r *Register) Find(id uint64) *Change {
	for i := len(r.Changes) - 1; i >= 0; i-- {
		if r.Changes[i].ID == id {
			return &r.Changes[i]
		}
	}
	return nil
}

// Text returns the policy of a version, or false if it is unknown or no longer kept.
// Version 0 has an empty text.
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

// ChangeOf returns the ID of the change that became a version, or 0 if it is not kept.
func (r *Register) ChangeOf(version int64) uint64 {
	for i := len(r.Changes) - 1; i >= 0 && version > 0; i-- {
		if c := &r.Changes[i]; c.Version == version && c.Fate == Committed {
			return c.ID
		}
	}
	return 0
}

// Apply applies the next command of the log. It is deterministic; a command that
// doesn't fit the state has no effect.
func (r *Register) Apply(c Command) {
	switch pending := r.Pending(); c.Kind {
	case Propose:
		if r.Find(c.ID) != nil { // a retried proposal
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
				return // the pending and the current change are always kept
			}
		}
		r.Changes = append([]Change(nil), r.Changes[over:]...)
	}
}
