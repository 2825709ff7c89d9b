package faultrules

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// Request is what rules look at. Tenant is the one whose key was proved. At is the time of
// day in ms, for the record alone.
type Request struct {
	ID     string `cbor:"1,keyasint"`
	Tenant string `cbor:"2,keyasint"`
	Route  string `cbor:"3,keyasint"`
	Method string `cbor:"4,keyasint"`
	At     int64  `cbor:"5,keyasint,omitempty"`
}

// Strike is what shall befall a request, once it is Made.
type Strike struct {
	Rule  string
	Kind  Kind
	Delay time.Duration
	Seq   uint64 // among the notes of this life
	of    *armed
	k     int // by this rule, of this life
}

// Verdict on a request.
type Verdict uint8

// The verdicts. Short: drawn, but no strike of the budget is here, or the strike is not on
// record yet. Whoever asked may wait, and says so by Queue, and ask again.
const (
	Pass Verdict = iota
	Hit
	Short
)

// armed is a rule with what this process may do by it.
type armed struct {
	rule         Rule
	until        fsm.Time
	granted      int // strikes handed out to this life
	used         int
	recorded     int          // of them are on record
	revoked      []revocation // what was taken back
	superseded   bool         // it belongs to a set that is held no more
	waiting      int
	spent        bool    // nothing of the budget is left to hand out
	doubleTokens float64 // doubles that may go now
	refilledAt   fsm.Time
}

// Judge holds requests against the rules in force. Requests of all connections ask it; a
// Machine arms it. While there are no rules, it costs one look at a flag.
type Judge struct {
	on         atomic.Bool
	mu         sync.Mutex
	rules      []*armed
	turn       uint64
	nodes      int
	seq        uint64 // of the last note
	settledSeq uint64 // notes up to it are on record, or refused
	notes      []Note // above that
	early      bool   // for mutants
}

// NewJudge returns one without rules.
func NewJudge() *Judge { return &Judge{} }

// drawn is alike on every process, and for every repeat of a request.
func draw(id string, r *Rule) float64 { return unit(id, r.Name) }

func unit(id, salt string) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(salt)
	d.Write([]byte{0})
	d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Draws reports whether a request is in the rule's share.
func (r *Rule) Draws(id string) bool { return draw(id, r) < r.Share }

func (r *Rule) matches(q Request) bool {
	return r.Tenant == q.Tenant && (len(r.Routes) == 0 || slices.Contains(r.Routes, q.Route)) &&
		(len(r.Methods) == 0 || slices.Contains(r.Methods, q.Method))
}

// On reports whether there are rules at all.
func (j *Judge) On() bool { return j.on.Load() }

// Strike judges a request, and takes a strike of the budget if it is hit.
func (j *Judge) Strike(now fsm.Time, q Request) (Strike, Verdict) {
	if !j.on.Load() || q.Tenant == "" || q.ID == "" {
		return Strike{}, Pass
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.notes) >= maxPendingNotes { // nobody takes them: rules rest
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

// allows keeps doubles below what the rule may add to a service: each process has its even
// share of the rate, and saves up one at the most.
func (a *armed) allowsDouble(now fsm.Time, nodes int) bool {
	if a.rule.Effect != Double {
		return true
	}
	a.doubleTokens = min(1, a.doubleTokens+(now-a.refilledAt).Seconds()*a.rule.MostPerS/float64(max(nodes, 1)))
	a.refilledAt = now
	return a.doubleTokens >= 1
}

// Queue says that one more request waits for a strike of a rule, until leave is called.
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

// Due reports whether somebody waits for a strike, or for one to be on record.
func (j *Judge) Due() bool {
	j.mu.Lock()
	defer j.mu.Unlock()
	if slices.ContainsFunc(j.notes, func(n Note) bool { return n.Of == 0 }) {
		return true
	}
	return slices.ContainsFunc(j.rules, func(a *armed) bool { return a.waiting > 0 && a.used >= a.granted && !a.spent })
}

// adopt takes other rules, none of which is in force yet.
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

// lease puts the rules in force, each until its time.
func (j *Judge) applyLease(till []fsm.Time, parts, noted []int, spent []bool, nodes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nodes = nodes
	for i, a := range j.rules {
		a.until = max(a.until, till[i])
		a.recorded, a.spent = max(a.recorded, noted[i]), spent[i]
		if a.granted = max(parts[i], a.recorded); a.granted < a.used { // the rest was taken back
			j.revokeAbove(i, a.granted)
		}
	}
}

// tally is what is to be on record, and the strikes taken and the requests that wait for one, of
// each rule.
func (j *Judge) pendingReport() (notes []Note, used, want []int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	notes = slices.Clone(j.notes[:min(len(j.notes), maxNotesPerMessage)])
	for _, a := range j.rules {
		used, want = append(used, a.used), append(want, a.waiting)
	}
	return notes, used, want
}
