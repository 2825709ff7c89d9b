package bane

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/plane"
)

// Request is what rules look at. Tenant is the one whose key was proved.
type Request struct{ ID, Tenant, Route, Method string }

// Strike is what befalls a request.
type Strike struct {
	Rule  string
	Kind  Kind
	Delay time.Duration
}

// Verdict on a request.
type Verdict uint8

// The verdicts. Short: drawn, but no strike of the budget is here. Whoever asked may wait
// until Due is no more and ask again; it says so by Wait.
const (
	Pass Verdict = iota
	Hit
	Short
)

// armed is a rule with what this process may do by it.
type armed struct {
	rule  Rule
	till  plane.Time
	part  int // strikes handed out to this life
	used  int
	waits int
	spent bool    // nothing of the budget is left to hand out
	room  float64 // doubles that may go now
	at    plane.Time
}

// Judge holds requests against the rules in force. Requests of all connections ask it; a
// Machine arms it. While there are no rules, it costs one look at a flag.
type Judge struct {
	on    atomic.Bool
	mu    sync.Mutex
	rules []*armed
	nodes int
	draw  func(string, *Rule) float64 // for mutants
}

// NewJudge returns one without rules.
func NewJudge() *Judge { return &Judge{draw: drawn} }

// drawn is alike on every process, and for every repeat of a request.
func drawn(id string, r *Rule) float64 { return unit(id, r.Name) }

func unit(id, salt string) float64 {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(salt)
	d.Write([]byte{0})
	d.WriteString(id)
	return float64(d.Sum64()>>11) / (1 << 53)
}

// Draws reports whether a request is in the rule's share.
func (r *Rule) Draws(id string) bool { return drawn(id, r) < r.Share }

func (r *Rule) fits(q Request) bool {
	return r.Tenant == q.Tenant && (len(r.Routes) == 0 || slices.Contains(r.Routes, q.Route)) &&
		(len(r.Methods) == 0 || slices.Contains(r.Methods, q.Method))
}

// On reports whether there are rules at all.
func (j *Judge) On() bool { return j.on.Load() }

// Strike judges a request, and takes a strike of the budget if it is hit.
func (j *Judge) Strike(now plane.Time, q Request) (Strike, Verdict) {
	if !j.on.Load() || q.Tenant == "" || q.ID == "" {
		return Strike{}, Pass
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.rules {
		r := &a.rule
		if !r.fits(q) || now >= a.till || j.draw(q.ID, r) >= r.Share {
			continue
		}
		if a.used >= a.part && a.spent || !a.allows(now, j.nodes) {
			continue
		}
		if a.used >= a.part {
			return Strike{Rule: r.Name}, Short
		}
		a.used++
		a.room--
		s := Strike{Rule: r.Name, Kind: r.Effect}
		if r.Effect == Delay {
			ms := r.DelayMs + max(0, r.ToMs-r.DelayMs)*unit(q.ID, "delay "+r.Name)
			s.Delay = time.Duration(ms * float64(time.Millisecond))
		}
		return s, Hit
	}
	return Strike{}, Pass
}

// allows keeps doubles below what the rule may add to a service: each process has its even
// share of the rate, and saves up one at the most.
func (a *armed) allows(now plane.Time, nodes int) bool {
	if a.rule.Effect != Double {
		return true
	}
	a.room = min(1, a.room+(now-a.at).Seconds()*a.rule.MostPerS/float64(max(nodes, 1)))
	a.at = now
	return a.room >= 1
}

// Wait says that so many more (or fewer) requests wait for a strike of a rule.
func (j *Judge) Wait(rule string, more int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.rules {
		if a.rule.Name == rule {
			a.waits = max(0, a.waits+more)
		}
	}
}

// Due reports whether somebody waits for a strike.
func (j *Judge) Due() bool {
	if !j.on.Load() {
		return false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	return slices.ContainsFunc(j.rules, func(a *armed) bool { return a.waits > 0 && a.used >= a.part && !a.spent })
}

// adopt takes other rules, none of which is in force yet.
func (j *Judge) adopt(now plane.Time, rules []Rule) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.rules = nil
	for _, r := range rules {
		j.rules = append(j.rules, &armed{rule: r, room: 1, at: now})
	}
	j.on.Store(len(rules) > 0)
}

// lease puts the rules in force, each until its time.
func (j *Judge) lease(till []plane.Time, parts []int, spent []bool, nodes int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.nodes = nodes
	for i, a := range j.rules {
		a.till = max(a.till, till[i])
		a.part, a.spent = max(a.part, parts[i]), spent[i]
	}
}

// tally is the strikes made and the requests that wait for one, of each rule.
func (j *Judge) tally() (used, want []int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, a := range j.rules {
		used, want = append(used, a.used), append(want, a.waits)
	}
	return used, want
}
