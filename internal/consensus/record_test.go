package consensus

import (
	"fmt"
	"testing"
)

// TestBlocks: those who agreed tell all that a set has decided just where no majority of it is without them.
func TestBlocks(t *testing.T) {
	for n := 1; n <= 8; n++ {
		var set []Seat
		for i := range n {
			set = append(set, Seat{Addr: fmt.Sprint(i), Life: 1})
		}
		of := func(bits int) func(Seat) bool {
			return func(s Seat) bool { return bits>>(s.Addr[0]-'0')&1 == 1 }
		}
		for agreed := range 1 << n {
			without := false
			for other := range 1 << n {
				without = without || other&agreed == 0 && most(set, of(other))
			}
			if blocks(set, of(agreed)) == without {
				t.Errorf("%d seats, %b agreed: %v", n, agreed, !without)
			}
		}
	}
}

// TestSettled: who holds a settled record asks its set alone; one that is not settled asks the old set too, and
// of an even new one half, to find out and no more.
func TestSettled(t *testing.T) {
	a, b, c := Seat{Addr: "a", Life: 1}, Seat{Addr: "b", Life: 2}, Seat{Addr: "c", Life: 3}
	r := Record{Founding: 1, Ballot: Ballot{N: 5}, Set: []Seat{b, c}, Old: []Seat{a, b, c}}
	is := func(all ...Seat) func(Seat) bool { return func(s Seat) bool { return has(all, s.Addr, s.Life) } }
	for i, k := range []struct {
		settled      bool
		agreed, lost []Seat
		want         bool
	}{
		{false, []Seat{a, b}, nil, true},
		{false, []Seat{b}, []Seat{c}, false},
		{false, []Seat{a}, nil, false},
		{false, []Seat{a}, []Seat{b}, false},
		{true, []Seat{b}, []Seat{c}, true},
		{true, []Seat{b}, nil, false},
		{true, []Seat{a, b}, nil, false},
		{true, []Seat{b, c}, nil, true},
	} {
		r.Settled = k.settled
		if got := r.carried(1, is(k.agreed...), is(k.lost...)); got != k.want {
			t.Errorf("%d: %+v: %v", i, k, got)
		}
	}
}
