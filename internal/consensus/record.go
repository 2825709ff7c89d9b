package consensus

import (
	"cmp"
	"slices"
)

// Ballot orders epochs. Life keeps a member that forgot its ballots from using one twice.
type Ballot struct {
	N    uint64 `cbor:"1,keyasint,omitempty"`
	By   string `cbor:"2,keyasint,omitempty"`
	Life uint64 `cbor:"3,keyasint,omitempty"`
}

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.By, o.By), cmp.Compare(b.Life, o.Life))
}

func (b Ballot) above(o Ballot) bool { return b.compare(o) > 0 }

// Seat is a member with one memory: a wiped disk makes another seat of it.
type Seat struct {
	Addr string `cbor:"1,keyasint,omitempty"`
	Life uint64 `cbor:"2,keyasint,omitempty"`
	Name string `cbor:"3,keyasint,omitempty"`
	Zone string `cbor:"4,keyasint,omitempty"`
}

func (s Seat) is(addr string, life uint64) bool { return s.Addr == addr && s.Life == life }

// Record is an epoch. Until it is active, the set it came from has a say as well.
type Record struct {
	Founding uint64   `cbor:"1,keyasint,omitempty"`
	Ballot   Ballot   `cbor:"2,keyasint"`
	Set      []Seat   `cbor:"3,keyasint,omitempty"`
	Old      []Seat   `cbor:"4,keyasint,omitempty"`
	Writers  []string `cbor:"5,keyasint,omitempty"` // the primary first
	Active   bool     `cbor:"6,keyasint,omitempty"`
	Free     int      `cbor:"7,keyasint,omitempty"` // seats given up, for newcomers
	// Settled says that the old set has agreed: no candidate that it has a say for can pass this record by.
	Settled bool `cbor:"8,keyasint,omitempty"`
}

func (r Record) none() bool { return r.Founding == 0 }

func (r Record) primary() string {
	if len(r.Writers) == 0 || !r.Active {
		return ""
	}
	return r.Writers[0]
}

// newer says whether r tells more than o.
func (r Record) newer(o Record) bool {
	c := r.Ballot.compare(o.Ballot)
	return !r.none() && (o.none() || c > 0 || c == 0 && (r.Active && !o.Active || r.Settled && !o.Settled && !o.Active))
}

// single says whether the set alone decides what follows.
func (r Record) single() bool { return r.Active || r.Settled }

// voters are all whose promises or records can matter.
func (r Record) voters() []Seat {
	if r.single() {
		return r.Set
	}
	return union(r.Set, r.Old)
}

// carried says whether those who agreed can decide what follows this epoch. What
// follows a founding needs all but the losses: then too few are left to found again.
func (r Record) carried(losses int, agreed, lost func(Seat) bool) bool {
	if !r.Active && r.Ballot.N == 1 {
		return len(r.Set) > 0 && count(r.Set, agreed) >= len(r.Set)-losses
	}
	if r.single() {
		return decides(r.Set, nil, agreed, lost)
	}
	return decides(r.Old, r.Set, agreed, lost) && (decides(r.Set, nil, agreed, lost) || blocks(r.Set, agreed))
}

// blocks says whether no majority of a set is without one of those who agreed. That is enough to
// know what it has decided, and, unlike decides, not to decide.
func blocks(set []Seat, agreed func(Seat) bool) bool { return 2*count(set, agreed) >= len(set) }

// decides says whether those of a set who agreed meet every majority of it that ever was or
// will be. Most do; so do all that are left, if the lost ones were no majority by themselves.
// Seats that another memory at the same address has taken in the set after it were lost before
// that was begun. Where it needed the promise of all others, no majority since has one of them.
func decides(set, after []Seat, agreed, lost func(Seat) bool) bool {
	if most(set, agreed) {
		return true
	}
	need, gone, taken := len(set)/2+1, 0, 0
	for _, s := range set {
		switch {
		case agreed(s):
		case slices.ContainsFunc(after, func(o Seat) bool { return o.Addr == s.Addr && o.Life != s.Life }):
			taken++
		case lost(s):
			gone++
		default:
			return false
		}
	}
	if len(set)-taken != need {
		gone += taken
	}
	return gone < need && count(set, agreed) > 0
}

func (r Record) has(addr string, life uint64) bool { return has(r.Set, addr, life) }

func has(set []Seat, addr string, life uint64) bool {
	return slices.ContainsFunc(set, func(s Seat) bool { return s.is(addr, life) })
}

func count(set []Seat, agreed func(Seat) bool) int {
	n := 0
	for _, s := range set {
		if agreed(s) {
			n++
		}
	}
	return n
}

func most(set []Seat, agreed func(Seat) bool) bool {
	return len(set) > 0 && count(set, agreed) > len(set)/2
}

func union(a, b []Seat) []Seat {
	all := slices.Clone(a)
	for _, s := range b {
		if !has(all, s.Addr, s.Life) {
			all = append(all, s)
		}
	}
	return all
}

// spread picks n seats, in other zones as far as there are some; the first stays first.
func spread(seats []Seat, n int) []string {
	var picked []Seat
	for len(picked) < n && len(picked) < len(seats) {
		best, least := -1, 0
		for i, s := range seats {
			if has(picked, s.Addr, s.Life) {
				continue
			}
			same := count(picked, func(p Seat) bool { return p.Zone == s.Zone })
			if best < 0 || same < least {
				best, least = i, same
			}
		}
		picked = append(picked, seats[best])
	}
	var addrs []string
	for _, s := range picked {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}
