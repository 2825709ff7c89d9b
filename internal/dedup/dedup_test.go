package dedup

import (
	"fmt"
	"testing"
)

func digestOf(n uint32) []byte      { return Digest(fmt.Append(nil, "text ", n)) }
func otherDigestOf(n uint32) []byte { return Digest(fmt.Append(nil, "other ", n)) }

// TestHistory: a full history forgets the lowest entries, reports numbers below it as unknown, and never
// changes an entry.
func TestHistory(t *testing.T) {
	h := New()
	if got := h.Lookup(5, digestOf(5)); got != Unused {
		t.Errorf("verdict of a new history: %d", got)
	}
	for n := uint32(10); n < 10+3*MaxEntries; n += 2 {
		h = h.With(n, digestOf(n))
	}
	for _, n := range []uint32{9, 10, 2100} {
		h = h.With(n, otherDigestOf(n))
	}
	if h.Len() != MaxEntries {
		t.Errorf("%d entries", h.Len())
	}
	for _, c := range []struct {
		n      uint32
		digest []byte
		want   Verdict
	}{{2000, digestOf(2000), Same}, {2000, otherDigestOf(2000), Conflicting}, {2001, digestOf(2001), Unused}, {2100, digestOf(2100), Same},
		{2100, otherDigestOf(2100), Conflicting}, {10, digestOf(10), Unknown}, {9, otherDigestOf(9), Unknown}, {5000, digestOf(5000), Unused}} {
		if got := h.Lookup(c.n, c.digest); got != c.want {
			t.Errorf("verdict on %d: %d, want %d", c.n, got, c.want)
		}
	}
	if h := NewFromLast(7, []byte("seven")); h.Lookup(7, Digest([]byte("seven"))) != Same || h.Lookup(6, digestOf(6)) != Unknown || h.Lookup(8, digestOf(8)) != Unused {
		t.Errorf("history from command 7: %x", h)
	}
	if got := History(nil).Lookup(1, digestOf(1)); got != Unknown {
		t.Errorf("verdict of an empty history: %d", got)
	}
}
