package consensus

import (
	"fmt"
	"testing"
)

// TestBlocks: those who agreed tell all that a set has decided just where no majority of it is without them.
func TestBlocks(t *testing.T) {
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
				t.Errorf("%d seats, %b agreed: %v", n, agreed, !without)
			}
		}
	}
}

// TestSettled: who holds a settled record asks its set alone; one that is not settled asks the old set too, and
// of an even new one half, to find out and no more.
func TestSettled(t *testing.T) {
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
