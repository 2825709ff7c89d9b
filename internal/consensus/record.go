package consensus

import (
	"cmp"
	"slices"
)

// Ballot orders epochs. Life keeps a member that forgot its ballots from using one twice.
type Ballot struct {
	N      uint64 `cbor:"1,keyasint,omitempty"`
	By     string `cbor:"2,keyasint,omitempty"`
	DiskID uint64 `cbor:"3,keyasint,omitempty"`
}

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.By, o.By), cmp.Compare(b.DiskID, o.DiskID))
}

func (b Ballot) higherThan(o Ballot) bool { return b.compare(o) > 0 }

// Seat is a member with one memory: a wiped disk makes another seat of it.
type Member struct {
	Addr   string `cbor:"1,keyasint,omitempty"`
	DiskID uint64 `cbor:"2,keyasint,omitempty"`
	Name   string `cbor:"3,keyasint,omitempty"`
	Zone   string `cbor:"4,keyasint,omitempty"`
}

func (s Member) matches(addr string, life uint64) bool { return s.Addr == addr && s.DiskID == life }

// Record is an epoch. Until it is active, the set it came from has a say as well.
type EpochRecord struct {
	ClusterID  uint64   `cbor:"1,keyasint,omitempty"`
	Ballot     Ballot   `cbor:"2,keyasint"`
	Members    []Member `cbor:"3,keyasint,omitempty"`
	OldMembers []Member `cbor:"4,keyasint,omitempty"`
	Writers    []string `cbor:"5,keyasint,omitempty"` // the primary first
	Active     bool     `cbor:"6,keyasint,omitempty"`
	Vacancies  int      `cbor:"7,keyasint,omitempty"` // seats given up, for newcomers
	// Settled says that the old set has agreed: no candidate that it has a say for can pass this record by.
	OldSetAgreed bool `cbor:"8,keyasint,omitempty"`
}

func (r EpochRecord) isZero() bool { return r.ClusterID == 0 }

func (r EpochRecord) primary() string {
	if len(r.Writers) == 0 || !r.Active {
		return ""
	}
	return r.Writers[0]
}

// newer says whether r tells more than o.
func (r EpochRecord) newerThan(o EpochRecord) bool {
	c := r.Ballot.compare(o.Ballot)
	return !r.isZero() && (o.isZero() || c > 0 || c == 0 && (r.Active && !o.Active || r.OldSetAgreed && !o.OldSetAgreed && !o.Active))
}

// single says whether the set alone decides what follows.
func (r EpochRecord) membersDecide() bool { return r.Active || r.OldSetAgreed }

// voters are all whose promises or records can matter.
func (r EpochRecord) votingMembers() []Member {
	if r.membersDecide() {
		return r.Members
	}
	return union(r.Members, r.OldMembers)
}

// carried says whether those who agreed can decide what follows this epoch. What
// follows a founding needs all but the losses: then too few are left to found again.
func (r EpochRecord) hasQuorum(losses int, agreed, lost func(Member) bool) bool {
	if !r.Active && r.Ballot.N == 1 {
		return len(r.Members) > 0 && countMembers(r.Members, agreed) >= len(r.Members)-losses
	}
	if r.membersDecide() {
		return intersectsMajorities(r.Members, nil, agreed, lost)
	}
	return intersectsMajorities(r.OldMembers, r.Members, agreed, lost) && (intersectsMajorities(r.Members, nil, agreed, lost) || blocksMajority(r.Members, agreed))
}

// blocks says whether no majority of a set is without one of those who agreed. That is enough to
// know what it has decided, and, unlike decides, not to decide.
func blocksMajority(set []Member, agreed func(Member) bool) bool {
	return 2*countMembers(set, agreed) >= len(set)
}

// decides says whether those of a set who agreed meet every majority of it that ever was or
// will be. Most do; so do all that are left, if the lost ones were no majority by themselves.
// Seats that another memory at the same address has taken in the set after it were lost before
// that was begun. Where it needed the promise of all others, no majority since has one of them.
func intersectsMajorities(set, after []Member, agreed, lost func(Member) bool) bool {
	if hasMajority(set, agreed) {
		return true
	}
	need, gone, taken := len(set)/2+1, 0, 0
	for _, s := range set {
		switch {
		case agreed(s):
		case slices.ContainsFunc(after, func(o Member) bool { return o.Addr == s.Addr && o.DiskID != s.DiskID }):
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
	return gone < need && countMembers(set, agreed) > 0
}

func (r EpochRecord) has(addr string, life uint64) bool { return hasMember(r.Members, addr, life) }

func hasMember(set []Member, addr string, life uint64) bool {
	return slices.ContainsFunc(set, func(s Member) bool { return s.matches(addr, life) })
}

func countMembers(set []Member, agreed func(Member) bool) int {
	n := 0
	for _, s := range set {
		if agreed(s) {
			n++
		}
	}
	return n
}

func hasMajority(set []Member, agreed func(Member) bool) bool {
	return len(set) > 0 && countMembers(set, agreed) > len(set)/2
}

func union(a, b []Member) []Member {
	all := slices.Clone(a)
	for _, s := range b {
		if !hasMember(all, s.Addr, s.DiskID) {
			all = append(all, s)
		}
	}
	return all
}

// spread picks n seats, in other zones as far as there are some; the first stays first.
func spreadOverZones(seats []Member, n int) []string {
	var picked []Member
	for len(picked) < n && len(picked) < len(seats) {
		best, least := -1, 0
		for i, s := range seats {
			if hasMember(picked, s.Addr, s.DiskID) {
				continue
			}
			same := countMembers(picked, func(p Member) bool { return p.Zone == s.Zone })
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
