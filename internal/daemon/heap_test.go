package daemon

import "testing"

// TestHeapGrowth: with a small configuration the heap stays small, with a large one it grows as far as the
// limit allows.
func TestHeapGrowth(t *testing.T) {
	for _, c := range []struct {
		text  int
		limit int64
		want  int
	}{{0, 1 << 40, minHeapPercent}, {62_000, 600 << 20, minHeapPercent}, {2_268_455, 600 << 20, maxHeapPercent}, {2_268_455, 256 << 20, 336}, {2_268_455, 80 << 20, 36}, {2_268_455, 32 << 20, minHeapPercent}} {
		got := heapPercentFor(c.text, c.limit)
		if got != c.want {
			t.Errorf("text of %d, %d bytes in all: %d%%, not %d%%", c.text, c.limit, got, c.want)
		}
		if live := int64(baseHeap + heapPerConfigByte*c.text); got > minHeapPercent && live+live*int64(got)/100 > c.limit/2 {
			t.Errorf("text of %d: the heap may grow to %d of %d", c.text, live+live*int64(got)/100, c.limit)
		}
	}
}
