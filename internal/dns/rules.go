package dns

import (
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Life bounds how long answers are used. What it decides is free of I/O and clocks.
type Life struct {
	Min, Max time.Duration // of an answer
	NegMax   time.Duration // of a negative one (RFC 2308, section 5)
	Stale    time.Duration // beyond that, while name servers fail (RFC 8767, section 4)
	Retry    time.Duration // after the first failure; doubled with each, up to 16 times
}

// Bound is the time for which an answer counts.
func (l Life) Bound(ttl time.Duration, none bool) time.Duration {
	most := l.Max
	if none {
		most = min(most, l.NegMax)
	}
	return max(l.Min, min(ttl, most))
}

// Refresh is when to ask again for an answer with that much life: ahead of its
// end, and not when everybody else does.
func (l Life) Refresh(life time.Duration, rng *rand.Rand) time.Duration {
	return time.Duration(float64(life) * (0.8 + 0.1*rng.Float64()))
}

// Again is the wait after so many failures in a row.
func (l Life) Again(fails int, rng *rand.Rand) time.Duration {
	wait := l.Retry << min(max(fails-1, 0), 4)
	return time.Duration(float64(wait) * (0.8 + 0.4*rng.Float64()))
}

// Guard decides what becomes of an answer that drops much of the list at once: a
// server that has lost half of a zone sends well-formed answers too. What is
// dropped stays until a second answer lacks it as well: one of another server, or
// one that comes Hold later. What is new counts at once.
type Guard struct {
	Share float64 // an answer that drops no more than this passes
	Least int     // nor one that drops fewer targets
	Hold  time.Duration

	missing map[key]bool // not in the answer that waits for a second one
	from    string       // its server
	since   time.Time
}

type key struct {
	host string
	port uint16
}

// Verdict is what the guard makes of an answer.
type Verdict struct {
	List  []Target
	Sure  bool // no second answer is wanted
	Held  int  // targets kept though the answer lacks them
	Stood bool // a shrink that a second answer has refuted
}

// Judge takes an answer of a server; last is the list that counts.
func (g *Guard) Judge(now time.Time, server string, last, answer []Target) Verdict {
	has := make(map[key]bool, len(answer))
	for _, t := range answer {
		has[key{t.Host, t.Port}] = true
	}
	missing := map[key]bool{}
	for _, t := range last {
		if k := (key{t.Host, t.Port}); !has[k] {
			missing[k] = true
		}
	}
	// What the answer before lacked as well is confirmed by another server, or by time.
	second := g.missing != nil && (server != g.from || now.Sub(g.since) >= g.Hold)
	held, confirmed, fresh := map[key]bool{}, 0, 0
	for k := range missing {
		switch {
		case !g.missing[k]:
			fresh++
		case second:
			confirmed++
		default:
			held[k] = true
		}
	}
	refuted := g.missing != nil && len(held)+confirmed == 0
	// To lose the whole list is a shrink, however short it is.
	if of := len(last) - confirmed; fresh > 0 && (fresh == of || fresh >= g.Least && float64(fresh) > g.Share*float64(of)) {
		for k := range missing {
			if !g.missing[k] {
				held[k] = true
			}
		}
		g.from, g.since = server, now // all of them wait from now on
	}
	if g.missing = held; len(held) == 0 {
		g.missing = nil
	}
	v := Verdict{List: answer, Sure: g.missing == nil, Held: len(held), Stood: refuted}
	if len(held) > 0 {
		v.List = slices.Clone(answer)
		for _, t := range last {
			if held[key{t.Host, t.Port}] {
				v.List = append(v.List, t)
			}
		}
		slices.SortFunc(v.List, compareTargets)
	}
	return v
}

func compareTargets(a, b Target) int {
	if c := strings.Compare(a.Host, b.Host); c != 0 {
		return c
	}
	return int(a.Port) - int(b.Port)
}

// Due is when an answer that waits for a second one may confirm itself.
func (g *Guard) Due() time.Time { return g.since.Add(g.Hold) }

// Servers chooses among the name servers. One that fails is left alone for a
// while, twice as long with each failure; the others take turns.
type Servers struct {
	Back time.Duration // after the first failure
	Most time.Duration
	list []nameServer
	turn int
}

type nameServer struct {
	addr  string
	fails int
	until time.Time
	bare  bool // it does not know EDNS
}

// Set names the servers; what is known of those that stay is kept.
func (s *Servers) Set(addrs []string) {
	var list []nameServer
	for _, a := range addrs {
		if i := slices.IndexFunc(s.list, func(n nameServer) bool { return n.addr == a }); i >= 0 {
			list = append(list, s.list[i])
		} else {
			list = append(list, nameServer{addr: a})
		}
	}
	s.list, s.turn = list, 0
}

// Pick returns the next server: one that has not failed of late, if there is one,
// and none of avoid if there is another. With all of them failing it is the one
// whose time is up first.
func (s *Servers) Pick(now time.Time, avoid ...string) (addr string, bare bool) {
	best := -1
	rank := func(i int) (bool, bool, time.Time) {
		n := &s.list[i]
		return n.until.After(now), slices.Contains(avoid, n.addr), n.until
	}
	for off := range s.list {
		i := (s.turn + off) % len(s.list)
		if best < 0 {
			best = i
			continue
		}
		down, shun, until := rank(i)
		bdown, bshun, buntil := rank(best)
		switch {
		case down != bdown:
			if bdown {
				best = i
			}
		case shun != bshun:
			if bshun {
				best = i
			}
		case down && until.Before(buntil):
			best = i
		}
	}
	s.turn = (best + 1) % len(s.list)
	return s.list[best].addr, s.list[best].bare
}

// Others reports whether a server other than that one has not failed of late.
func (s *Servers) Others(now time.Time, addr string) bool {
	return slices.ContainsFunc(s.list, func(n nameServer) bool { return n.addr != addr && !n.until.After(now) })
}

// Answered notes that a server is well.
func (s *Servers) Answered(addr string) {
	if n := s.find(addr); n != nil {
		n.fails, n.until = 0, time.Time{}
	}
}

// Failed notes that a server is not.
func (s *Servers) Failed(now time.Time, addr string) {
	if n := s.find(addr); n != nil && !n.until.After(now) { // failures of one moment are one
		n.until = now.Add(min(s.Back<<min(n.fails, 16), s.Most))
		n.fails++
	}
}

// Bare notes that a server does not know EDNS (RFC 6891, section 6.2.2).
func (s *Servers) Bare(addr string) {
	if n := s.find(addr); n != nil {
		n.bare = true
	}
}

func (s *Servers) find(addr string) *nameServer {
	for i := range s.list {
		if s.list[i].addr == addr {
			return &s.list[i]
		}
	}
	return nil
}
