package consensus

import (
	"fmt"
	"testing"
)

// TestBlocksMajority compares blocksMajority with all majorities of small sets.
func TestBlocksMajority(t *testing.T) {
	for n := 1; n <= 8; n++ {
		var set []Member
		for i := range n {
			set = append(set, Member{Addr: fmt.Sprint(i), DiskID: 1})
		}
		of := func(bits int) func(Member) bool {
			return func(s Member) bool { return bits>>(s.Addr[0]-'0')&1 == 1 }
		}
		for agreed := range 1 << n {
			without := false
			for other := range 1 << n {
				without = without || other&agreed == 0 && hasMajority(set, of(other))
			}
			if blocksMajority(set, of(agreed)) == without {
				t.Errorf("%d members, %b agreed: %v", n, agreed, !without)
			}
		}
	}
}

// TestOldSetAgreed checks that a record to which the old members have agreed is decided by the new
// members alone. Otherwise the old ones are needed as well, and of an even new set one half, which
// is enough to learn what it has decided.
func TestOldSetAgreed(t *testing.T) {
	a, b, c := Member{Addr: "a", DiskID: 1}, Member{Addr: "b", DiskID: 2}, Member{Addr: "c", DiskID: 3}
	r := EpochRecord{ClusterID: 1, Ballot: Ballot{N: 5}, Members: []Member{b, c}, OldMembers: []Member{a, b, c}}
	is := func(all ...Member) func(Member) bool {
		return func(s Member) bool { return hasMember(all, s.Addr, s.DiskID) }
	}
	for i, k := range []struct {
		settled      bool
		agreed, lost []Member
		want         bool
	}{
		{false, []Member{a, b}, nil, true},
		{false, []Member{b}, []Member{c}, false},
		{false, []Member{a}, nil, false},
		{false, []Member{a}, []Member{b}, false},
		{true, []Member{b}, []Member{c}, true},
		{true, []Member{b}, nil, false},
		{true, []Member{a, b}, nil, false},
		{true, []Member{b, c}, nil, true},
	} {
		r.OldSetAgreed = k.settled
		if got := r.hasQuorum(1, is(k.agreed...), is(k.lost...)); got != k.want {
			t.Errorf("%d: %+v: %v", i, k, got)
		}
	}
}
