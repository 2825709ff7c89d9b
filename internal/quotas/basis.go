package quotas

import "asterwell/internal/fsm"

// Basis is what a decision of a gateway relies on: the sums of one of the holders, or an allowance of its
// own.
type Basis uint8

const (
	FirstHolder  Basis = iota // the sums of the first holder
	SecondHolder              // the sums of the second holder, as the first doesn't answer
	Unread                    // a start allowance: the tenant's level has not been read yet
	OwnShare                  // the even share of the quota: no holder answers
	bases
)

// String returns the name in metrics and traces.
func (b Basis) String() string {
	return [bases]string{"first_holder", "second_holder", "unread", "own_share"}[b]
}

// Bases returns all values.
func Bases() []Basis { return []Basis{FirstHolder, SecondHolder, Unread, OwnShare} }

// basis is what the next decision about a tenant will rely on.
func (m *Meter) basis(now fsm.Time, state *tenantState) Basis {
	switch {
	case state.holdersSilent || m.reader < 0 && m.holdersSilent(now):
		return OwnShare
	case !state.levelRead:
		return Unread
	case m.reader == 1:
		return SecondHolder
	}
	return FirstHolder
}

// Decisions counts the decisions with one basis since the start.
type Decisions struct{ Passed, Refused uint64 }

// Stats shows what a meter's decisions relied on, and what it knows of the fleet.
type Stats struct {
	Decided       [bases]Decisions
	Holder        string // the one that is read; "": none answers
	HolderChanges uint64 // changes of that holder since the start
	Gateways      int    // among which quotas are shared
	Reachable     int    // of these, how many are in contact
	UnansweredMS  int64  // age of the oldest unanswered read

	// MaxBehind is the largest difference in units, within one answer, between a holder's level and the
	// lower one that this gateway assumed; AnswersBehind counts the answers with a difference of at least a
	// unit.
	MaxBehind     float64
	AnswersBehind uint64
}

// Stats returns the current statistics.
func (m *Meter) Stats(now fsm.Time) Stats {
	a := Stats{Decided: m.decided, HolderChanges: m.holderChanges, MaxBehind: m.maxBehind, AnswersBehind: m.answersBehind, Gateways: m.shareCount(now), Reachable: m.reachableGateways()}
	if m.reader >= 0 {
		holder := &m.holders[m.reader]
		a.Holder = holder.addr
		if holder.unansweredSince != 0 {
			a.UnansweredMS = (now - holder.unansweredSince).Milliseconds()
		}
	}
	return a
}

// BasisOf returns what the next decision about a tenant will rely on; false: the tenant has no limit here.
func (m *Meter) BasisOf(now fsm.Time, tenant string) (Basis, bool) {
	state := m.tenants[tenant]
	if state == nil {
		return 0, false
	}
	return m.basis(now, state), true
}

// noteBehind records by how much a holder's level exceeds the usage assumed here.
func (m *Meter) noteBehind(state *tenantState, t Total, timestamp fsm.Time) {
	if !state.levelRead || !t.LevelKnown {
		return
	}
	behind := float64(t.Level)/milliUnits + state.unacked() - float64(state.tat-timestamp)/state.interval
	if behind < 1 {
		return
	}
	m.maxBehind = max(m.maxBehind, behind)
	m.answersBehind++
}
