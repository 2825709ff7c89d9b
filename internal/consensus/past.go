package consensus

import (
	"slices"

	"asterwell/internal/fsm"
)

// EpochChange is the start of an epoch, as this process learned of it.
type EpochChange struct {
	At      fsm.Time
	Ballot  Ballot
	Members []MemberRole
}

// MemberRole is a member's role in an epoch.
type MemberRole struct {
	Member
	Role string // primary, backup, witness
}

const maxEpochHistory = 64

// recordEpochHistory appends the current epoch if it is new.
func (m *Machine) recordEpochHistory() {
	if n := len(m.epochHistory); m.view.isZero() || n > 0 && m.epochHistory[n-1].Ballot == m.view.Ballot {
		return
	}
	c := EpochChange{At: m.now, Ballot: m.view.Ballot}
	for _, s := range m.view.Members {
		d := MemberRole{s, "witness"}
		switch slices.Index(m.view.Writers, s.Addr) {
		case -1:
		case 0:
			d.Role = "primary"
		default:
			d.Role = "backup"
		}
		c.Members = append(c.Members, d)
	}
	if len(m.epochHistory) == maxEpochHistory {
		m.epochHistory = slices.Delete(m.epochHistory, 0, 1)
	}
	m.epochHistory = append(m.epochHistory, c)
}

// EpochHistory returns the epochs that this process has seen, the newest last.
func (m *Machine) EpochHistory() []EpochChange { return slices.Clone(m.epochHistory) }
