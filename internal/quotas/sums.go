package quotas

import "math/bits"

// sumTable maps numbers of incarnations to the sums of one period. It is an open-addressed hash table: a
// holder of a large fleet looks up a sum for each item it receives, among millions that are far from any
// cache. A look-up mostly reads one cache line, and the garbage collector has no pointers to follow. A cell
// takes eight bytes, since the tables are most of a holder's memory, and near its memory limit a process
// spends its CPU time on collections. The high bits of sums from 4.3 million units on are in a second
// array.
type sumTable struct {
	cells []sumCell // the length is 0 or a power of two; at most three quarters are in use
	high  []uint32  // high bits by cell; nil: all are 0
	used  int
}

// sumCell is one cell; owner is 0 if it is free.
type sumCell struct {
	owner, low uint32
}

const minCells = 4

// newSumTable makes a table with room for n sums.
func newSumTable(n int) sumTable {
	return sumTable{cells: make([]sumCell, max(minCells, 1<<bits.Len(uint(4*n/3))))}
}

// slot is the index of the incarnation's cell, or of the free one where it would go.
func (s *sumTable) slot(number uint32) uint32 {
	mask := uint32(len(s.cells) - 1)
	i := number * 0x9e3779b1
	for i = (i ^ i>>15) & mask; s.cells[i].owner != number && s.cells[i].owner != 0; i = (i + 1) & mask {
	}
	return i
}

// value is the sum in a cell.
func (s *sumTable) value(i uint32) uint64 {
	if s.high != nil {
		return uint64(s.high[i])<<32 | uint64(s.cells[i].low)
	}
	return uint64(s.cells[i].low)
}

// get returns the incarnation's sum, and whether there is one.
func (s *sumTable) get(number uint32) (units uint64, known bool) {
	if len(s.cells) == 0 {
		return 0, false
	}
	i := s.slot(number)
	return s.value(i), s.cells[i].owner != 0
}

// set stores the incarnation's sum.
func (s *sumTable) set(number uint32, units uint64) {
	if 4*(s.used+1) > 3*len(s.cells) {
		old := *s
		*s = sumTable{cells: make([]sumCell, max(minCells, 2*len(old.cells)))}
		for i, c := range old.cells {
			if c.owner != 0 {
				s.put(c.owner, old.value(uint32(i)))
			}
		}
	}
	s.put(number, units)
}

func (s *sumTable) put(number uint32, units uint64) {
	i := s.slot(number)
	if s.cells[i].owner == 0 {
		s.used++
	}
	if s.high == nil && units>>32 != 0 {
		s.high = make([]uint32, len(s.cells))
	}
	if s.cells[i] = (sumCell{number, uint32(units)}); s.high != nil {
		s.high[i] = uint32(units >> 32)
	}
}
