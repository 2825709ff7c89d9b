package consensus

import (
	"cmp"
	"slices"
)

// Ballot orders epochs. DiskID keeps a member that has lost its ballots from using one twice.
type Ballot struct {
	N      uint64 `cbor:"1,keyasint,omitempty"`
	By     string `cbor:"2,keyasint,omitempty"`
	DiskID uint64 `cbor:"3,keyasint,omitempty"`
}

func (b Ballot) compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.N, o.N), cmp.Compare(b.By, o.By), cmp.Compare(b.DiskID, o.DiskID))
}

func (b Ballot) higherThan(o Ballot) bool { return b.compare(o) > 0 }

// Member is a process with its disk: after the disk is wiped the process is another member.
type Member struct {
	Addr   string `cbor:"1,keyasint,omitempty"`
	DiskID uint64 `cbor:"2,keyasint,omitempty"`
	Name   string `cbor:"3,keyasint,omitempty"`
	Zone   string `cbor:"4,keyasint,omitempty"`
}

func (s Member) matches(addr string, diskID uint64) bool { return s.Addr == addr && s.DiskID == diskID }

// EpochRecord describes an epoch. Until it is active, OldMembers decide as well.
type EpochRecord struct {
	ClusterID  uint64   `cbor:"1,keyasint,omitempty"`
	Ballot     Ballot   `cbor:"2,keyasint"`
	Members    []Member `cbor:"3,keyasint,omitempty"`
	OldMembers []Member `cbor:"4,keyasint,omitempty"`
	Writers    []string `cbor:"5,keyasint,omitempty"` // the primary first
	Active     bool     `cbor:"6,keyasint,omitempty"`
	Vacancies  int      `cbor:"7,keyasint,omitempty"` // places of members that left, for new ones
	// OldSetAgreed says that OldMembers have agreed. A candidate that needs a promise of theirs
	// will meet this record, so none can bypass it.
	OldSetAgreed bool `cbor:"8,keyasint,omitempty"`
}

func (r EpochRecord) isZero() bool { return r.ClusterID == 0 }

func (r EpochRecord) primary() string {
	if len(r.Writers) == 0 || !r.Active {
		return ""
	}
	return r.Writers[0]
}

// newerThan reports whether r carries more information than o.
func (r EpochRecord) newerThan(o EpochRecord) bool {
	c := r.Ballot.compare(o.Ballot)
	return !r.isZero() && (o.isZero() || c > 0 ||
		c == 0 && (r.Active && !o.Active || r.OldSetAgreed && !o.OldSetAgreed && !o.Active))
}

// membersDecide reports whether Members alone decide which epoch follows.
func (r EpochRecord) membersDecide() bool { return r.Active || r.OldSetAgreed }

// votingMembers returns all whose promises or records can matter.
func (r EpochRecord) votingMembers() []Member {
	if r.membersDecide() {
		return r.Members
	}
	return union(r.Members, r.OldMembers)
}

// hasQuorum reports whether those who agreed can decide what follows this epoch. After a founding
// record all members but the tolerated losses are needed, so that too few are left to found the
// cluster a second time.
func (r EpochRecord) hasQuorum(losses int, agreed, lost func(Member) bool) bool {
	if !r.Active && r.Ballot.N == 1 {
		return len(r.Members) > 0 && countMembers(r.Members, agreed) >= len(r.Members)-losses
	}
	if r.membersDecide() {
		return intersectsMajorities(r.Members, nil, agreed, lost)
	}
	return intersectsMajorities(r.OldMembers, r.Members, agreed, lost) &&
		(intersectsMajorities(r.Members, nil, agreed, lost) || blocksMajority(r.Members, agreed))
}

// blocksMajority reports whether each majority of a set includes one of those who agreed. That is
// enough to learn what the set has decided. It is not enough to decide: see intersectsMajorities.
func blocksMajority(set []Member, agreed func(Member) bool) bool {
	return 2*countMembers(set, agreed) >= len(set)
}

// intersectsMajorities reports whether those of a set who agreed intersect each majority of it that
// ever was or will be. A majority does. So do all that are left, if the lost ones were no majority
// by themselves.
//
// A member whose address has another disk ID in the set after it was lost before that set was
// proposed. If the proposal needed the promises of all others, no majority since then includes a
// member replaced like this, and so these don't count as lost.
func intersectsMajorities(set, newSet []Member, agreed, lost func(Member) bool) bool {
	if hasMajority(set, agreed) {
		return true
	}
	need, lostCount, replacedCount := len(set)/2+1, 0, 0
	for _, s := range set {
		switch {
		case agreed(s):
		case slices.ContainsFunc(newSet, func(o Member) bool { return o.Addr == s.Addr && o.DiskID != s.DiskID }):
			replacedCount++
		case lost(s):
			lostCount++
		default:
			return false
		}
	}
	if len(set)-replacedCount != need {
		lostCount += replacedCount
	}
	return lostCount < need && countMembers(set, agreed) > 0
}

func (r EpochRecord) has(addr string, diskID uint64) bool { return hasMember(r.Members, addr, diskID) }

func hasMember(set []Member, addr string, diskID uint64) bool {
	return slices.ContainsFunc(set, func(s Member) bool { return s.matches(addr, diskID) })
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

// spreadOverZones picks n members, from different zones as far as possible. The first one is always
// picked and stays first.
func spreadOverZones(members []Member, n int) []string {
	var picked []Member
	for len(picked) < n && len(picked) < len(members) {
		best, fewest := -1, 0
		for i, s := range members {
			if hasMember(picked, s.Addr, s.DiskID) {
				continue
			}
			inZone := countMembers(picked, func(p Member) bool { return p.Zone == s.Zone })
			if best < 0 || inZone < fewest {
				best, fewest = i, inZone
			}
		}
		picked = append(picked, members[best])
	}
	var addrs []string
	for _, s := range picked {
		addrs = append(addrs, s.Addr)
	}
	return addrs
}
