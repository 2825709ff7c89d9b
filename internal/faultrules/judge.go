package faultrules

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// Request holds the properties of a request that rules match. Tenant is the authenticated
// tenant. At is the wall-clock time in ms, used only for the record.
type Request struct {
	ID     string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
	Route  string `cbor:"3,keyasint"`
	Method string `cbor:"4,keyasint"`
	At     int64  `cbor:"5,keyasint,omitempty"`
}

// Strike is the effect chosen for a request. It may be applied once Made returns Hit.
type Strike struct {
	Rule  string
	Kind  Kind
	Delay time.Duration
	Seq   uint64 // of its note, within this incarnation
	of    *armed
	k     int // ordinal among the strikes of this rule and incarnation
}

// Verdict is the decision on a request or a strike.
type Verdict uint8

// The verdicts. Short means that the request was selected, but this process has no granted
// strike left, or that the strike is not recorded yet. The caller may wait, announce that with
// Queue, and ask again.
const (
	Pass Verdict = iota
	Hit
	Short
)

// armed is a rule with the budget and lease that this process holds for it.
type armed struct {
	rule         Rule
	until        fsm.Time
	granted      int // strikes granted to this incarnation
	used         int
	recorded     int          // used strikes that have been recorded
	revoked      []revocation // strikes that were taken back
	superseded   bool         // its set has been replaced
	waiting      int
	spent        bool    // the whole budget has been granted
	doubleTokens float64 // token bucket that limits the rate of doubles
	refilledAt   fsm.Time
}

// Judge matches requests against the rules in force. It is safe for concurrent use by all
// connections; a Machine supplies its rules and leases. Without rules, it costs one atomic load.
type Judge struct {
	on         atomic.Bool
	mu         sync.Mutex
	rules      []*armed
	turn       uint64
	nodes      int
	seq        uint64 // sequence number of the last note
	settledSeq uint64 // notes up to this one are recorded or rejected
	notes      []Note // notes after settledSeq
	early      bool   // injected bug StrikesUnrecorded
}

// NewJudge returns a Judge without rules.
func NewJudge() *Judge { return &Judge{} }

// draw maps a request and rule to [0, 1). It is equal on every process and for each retry of the
// request.
func draw(id string, r *Rule) float64 { return unit(id, r.Name) }

// unit hashes an ID and a salt to a number in [0, 1).
func unit(id, salt string) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(salt)
	d.Write([]byte{0})
	d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Draws reports whether the rule's share includes a request ID.
func (r *Rule) Draws(id string) bool { return draw(id, r) < r.Share }

func (r *Rule) matches(q Request) bool {
	return r.Tenant == q.Tenant && (len(r.Routes) == 0 || slices.Contains(r.Routes, q.Route)) &&
		(len(r.Methods) == 0 || slices.Contains(r.Methods, q.Method))
}

// On reports whether any rules are held.
func (j *Judge) On() bool { return j.on.Load() }

// Strike matches a request against the rules, and uses one granted strike if it returns Hit.
func (j *Judge) Strike(now fsm.Time, q Request) (Strike, Verdict) {
	if !j.on.Load() || q.Tenant == "" || q.ID == "" {
		return Strike{}, Pass
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.notes) >= maxPendingNotes { // notes are not being recorded: suspend the rules
		return Strike{}, Pass
	}
	for i, a := range j.rules {
		r := &a.rule
		if !r.matches(q) || now >= a.until || draw(q.ID, r) >= r.Share {
			continue
		}
		if a.used >= a.granted && a.spent || !a.allowsDouble(now, j.nodes) {
			continue
		}
		if a.used >= a.granted {
			return Strike{Rule: r.Name}, Short
		}
		a.used++
		a.doubleTokens--
		s := Strike{Rule: r.Name, Kind: r.Effect, of: a, k: a.used}
		if r.Effect == Delay {
			ms := r.DelayMs + max(0, r.ToMs-r.DelayMs)*unit(q.ID, "delay "+r.Name)
			s.Delay = time.Duration(ms * float64(time.Millisecond))
		}
		s.Seq = j.note(Note{Turn: j.turn, Rule: i, K: a.used, Name: r.Name, Kind: r.Effect, Delay: s.Delay, Request: q})
		return s, Hit
	}
	return Strike{}, Pass
}

// allowsDouble limits the rate of doubles that the rule may add to a service: each process gets
// an even share of the rate, with a burst of one.
func (a *armed) allowsDouble(now fsm.Time, nodes int) bool {
	if a.rule.Effect != Double {
		return true
	}
	a.doubleTokens = min(1, a.doubleTokens+(now-a.refilledAt).Seconds()*a.rule.MostPerS/float64(max(nodes, 1)))
	a.refilledAt = now
	return a.doubleTokens >= 1
}

// Queue counts one more request as waiting for a strike of a rule, until leave is called.
func (j *Judge) Queue(rule string) (leave func()) {
	add := func(a *armed, n int) {
		j.mu.Lock()
		a.waiting += n
		j.mu.Unlock()
	}
	j.mu.Lock()
	i := slices.IndexFunc(j.rules, func(a *armed) bool { return a.rule.Name == rule })
	if i < 0 {
		j.mu.Unlock()
		return func() {}
	}
	a := j.rules[i]
	j.mu.Unlock()
	add(a, 1)
	return func() { add(a, -1) }
}

// Due reports whether a request waits for a strike to be granted or recorded.
func (j *Judge) Due() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if slices.ContainsFunc(j.notes, func(n Note) bool { return n.Of == 0 }) {
		return true
	}
	return slices.ContainsFunc(j.rules, func(a *armed) bool { return a.waiting > 0 && a.used >= a.granted && !a.spent })
}

// setRules replaces the rules. None is in force before applyLease.
func (j *Judge) setRules(now fsm.Time, turn uint64, rules []Rule) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.rules {
		a.superseded = true
	}
	j.rules, j.turn = nil, turn
	for _, r := range rules {
		j.rules = append(j.rules, &armed{rule: r, doubleTokens: 1, refilledAt: now})
	}
	j.on.Store(len(rules) > 0)
}

// applyLease brings each rule into force until its expiry, and updates its granted strikes.
func (j *Judge) applyLease(until []fsm.Time, parts, noted []int, spent []bool, nodes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nodes = nodes
	for i, a := range j.rules {
		a.until = max(a.until, until[i])
		a.recorded, a.spent = max(a.recorded, noted[i]), spent[i]
		if a.granted = max(parts[i], a.recorded); a.granted < a.used { // the unrecorded strikes were taken back
			j.revokeAbove(i, a.granted)
		}
	}
}

// pendingReport returns the notes to record and, for each rule, the number of used strikes and of
// requests that wait for one.
func (j *Judge) pendingReport() (notes []Note, used, want []int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	notes = slices.Clone(j.notes[:min(len(j.notes), maxNotesPerMessage)])
	for _, a := range j.rules {
		used, want = append(used, a.used), append(want, a.waiting)
	}
	return notes, used, want
}
