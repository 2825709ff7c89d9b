package daemon

import "testing"

// TestHeapGrowth: a small text leaves the heap small, a large one lets it grow as far as the limit bears.
func TestHeapGrowth(t *testing.T) {
	for _, c := range []struct {
		text  int
		limit int64
		want  int
	}{{0, 1 << 40, frugal}, {62_000, 600 << 20, frugal}, {2_268_455, 600 << 20, generous}, {2_268_455, 256 << 20, 336}, {2_268_455, 80 << 20, 36}, {2_268_455, 32 << 20, frugal}} {
		got := heapGrowth(c.text, c.limit)
		if got != c.want {
			t.Errorf("text of %d, %d bytes in all: %d%%, not %d%%", c.text, c.limit, got, c.want)
		}
		if live := int64(heapElse + heapOfText*c.text); got > frugal && live+live*int64(got)/100 > c.limit/2 {
			t.Errorf("text of %d: the heap may grow to %d of %d", c.text, live+live*int64(got)/100, c.limit)
		}
	}
}
