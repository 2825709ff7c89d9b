package quotas

import "asterwell/internal/fsm"

// Basis is what a gateway goes by when it decides a request: whose sums it reads, or its own share.
type Basis uint8

const (
	FirstHolder  Basis = iota // the first holder's sums
	SecondHolder              // the second holder's, since the first doesn't answer
	Unread                    // it hasn't read the tenant yet: a start allowance
	OwnShare                  // no holder answers: its even share
	bases
)

// String names a basis as metrics and traces do.
func (b Basis) String() string {
	return [bases]string{"first_holder", "second_holder", "unread", "own_share"}[b]
}

// Bases are all there are.
func Bases() []Basis { return []Basis{FirstHolder, SecondHolder, Unread, OwnShare} }

// basis is what the next decision about a tenant goes by.
func (m *Meter) basis(now fsm.Time, e *tenantState) Basis {
	switch {
	case e.holdersSilent || m.reader < 0 && m.holdersSilent(now):
		return OwnShare
	case !e.levelRead:
		return Unread
	case m.reader == 1:
		return SecondHolder
	}
	return FirstHolder
}

// Decisions counts the requests decided by one basis since the start.
type Decisions struct{ Passed, Refused uint64 }

// Stats is what a meter shows of its quotas: which basis its decisions had, and what it knows of the fleet.
type Stats struct {
	Decided       [bases]Decisions
	Holder        string // the one that is read; "": none answers
	HolderChanges uint64 // of the holder that is read, since the start
	Gateways      int    // that shares are made for,
	Reachable     int    // of these, in sight
	UnansweredMS  int64  // since the oldest read that is not answered

	// Behind is by how many units a holder's level was above what this gateway reckoned with, at the most in
	// one answer; Answers is how many answers were a unit or more above it.
	MaxBehind     float64
	AnswersBehind uint64
}

// Stats tells them.
func (m *Meter) Stats(now fsm.Time) Stats {
	a := Stats{Decided: m.decided, HolderChanges: m.holderChanges, MaxBehind: m.maxBehind, AnswersBehind: m.answersBehind, Gateways: m.shareCount(now), Reachable: m.reachableGateways()}
	if m.reader >= 0 {
		s := &m.holders[m.reader]
		a.Holder = s.addr
		if s.unansweredSince != 0 {
			a.UnansweredMS = (now - s.unansweredSince).Milliseconds()
		}
	}
	return a
}

// BasisOf is what a tenant's next request would be decided by; false: it has no limit here.
func (m *Meter) BasisOf(now fsm.Time, tenant string) (Basis, bool) {
	e := m.tenants[tenant]
	if e == nil {
		return 0, false
	}
	return m.basis(now, e), true
}

// noteBehind notes by how much a holder's level is above what is reckoned with here.
func (m *Meter) noteBehind(e *tenantState, t Total, stamp fsm.Time) {
	if !e.levelRead || !t.LevelKnown {
		return
	}
	behind := float64(t.Level)/milliUnits + e.unacked() - float64(e.tat-stamp)/e.interval
	if behind < 1 {
		return
	}
	m.maxBehind = max(m.maxBehind, behind)
	m.answersBehind++
}
