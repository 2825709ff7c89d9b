package daemon

import "runtime/debug"

// On a machine with one processor the marking phase of a garbage collection delays requests by up to 10 ms
// at a time, and it marks all that was built from a large configuration, after as little as a quarter of
// that size was allocated. So a process with a large configuration lets its heap grow further. With a
// small one there is little to mark, and saving memory comes first.
const (
	minHeapPercent    = 25 // percent that the heap grows between collections
	maxHeapPercent    = 400
	largeConfig       = 256 << 10
	heapPerConfigByte = 8        // bytes of live heap per byte of the configuration
	baseHeap          = 12 << 20 // bytes of live heap without a configuration
)

// heapPercentFor returns by how many percent the heap may grow between collections, for a configuration of
// text bytes in a process limited to limit bytes. Half of the limit is left for memory outside the heap.
func heapPercentFor(text int, limit int64) int {
	if text < largeConfig {
		return minHeapPercent
	}
	live := int64(baseHeap + heapPerConfigByte*text)
	return int(min(max((limit/2-live)*100/live, minHeapPercent), maxHeapPercent))
}

// adjustHeap adapts the growth of the heap to the size of the configuration in force, unless the process
// shares its runtime.
func (p *Process) adjustHeap(text int) {
	if next := heapPercentFor(text, p.heapLimit); p.heapLimit > 0 && next != p.heapPercent {
		p.heapPercent = next
		debug.SetGCPercent(next)
	}
}
