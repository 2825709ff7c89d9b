package daemon

import "runtime/debug"

// On a machine of one processor a collection holds requests up, by ten milliseconds at a time, for as
// long as it marks; and it marks all that a large configuration has made of itself, with as few
// as a quarter of these bytes allocated in between. So a process with a large text lets its heap grow
// further. With a small one there is little to mark, and memory goes first.
const (
	frugal     = 25  // percent that the heap grows between collections
	generous   = 400 // at the most
	largeText  = 256 << 10
	heapOfText = 8        // bytes of the live heap for each byte of a text
	heapElse   = 12 << 20 // and without any
)

// heapGrowth is by how many percent the heap may grow between collections, where the process may have
// so many bytes in all: half of them are left to what is not the heap.
func heapGrowth(text int, limit int64) int {
	if text < largeText {
		return frugal
	}
	live := int64(heapElse + heapOfText*text)
	return int(min(max((limit/2-live)*100/live, frugal), generous))
}

// grow follows the text in force, where the process has the runtime for itself.
func (p *Process) grow(text int) {
	if next := heapGrowth(text, p.heapLimit); p.heapLimit > 0 && next != p.growth {
		p.growth = next
		debug.SetGCPercent(next)
	}
}
