package dedup

import (
	"fmt"
	"testing"
)

func text(n uint32) []byte  { return Digest(fmt.Append(nil, "text ", n)) }
func other(n uint32) []byte { return Digest(fmt.Append(nil, "other ", n)) }

// TestLedger: a full ledger forgets the lowest, says so of what is below, and changes no entry.
func TestLedger(t *testing.T) {
	l := New()
	if got := l.Lookup(5, text(5)); got != Unused {
		t.Errorf("a new one says %d", got)
	}
	for n := uint32(10); n < 10+3*MaxEntries; n += 2 {
		l = l.With(n, text(n))
	}
	for _, n := range []uint32{9, 10, 2100} {
		l = l.With(n, other(n))
	}
	if l.Len() != MaxEntries {
		t.Errorf("%d orders are kept", l.Len())
	}
	for _, c := range []struct {
		n      uint32
		digest []byte
		want   Verdict
	}{{2000, text(2000), Same}, {2000, other(2000), Conflicting}, {2001, text(2001), Unused}, {2100, text(2100), Same},
		{2100, other(2100), Conflicting}, {10, text(10), Unknown}, {9, other(9), Unknown}, {5000, text(5000), Unused}} {
		if got := l.Lookup(c.n, c.digest); got != c.want {
			t.Errorf("of %d it says %d, not %d", c.n, got, c.want)
		}
	}
	if l := NewFromLast(7, []byte("seven")); l.Lookup(7, Digest([]byte("seven"))) != Same || l.Lookup(6, text(6)) != Unknown || l.Lookup(8, text(8)) != Unused {
		t.Errorf("a ledger since 7 has %x", l)
	}
	if got := History(nil).Lookup(1, text(1)); got != Unknown {
		t.Errorf("none at all says %d", got)
	}
}
