package quotas

import "math/bits"

// sumTable is what each life has passed in one name, by the lives' numbers: an open-addressed table, since a holder of a large
// fleet looks one up for each item that it is told, and millions of them lie far from any cache. One look is
// mostly one line of memory, and there is nothing in it that a collection has to follow. A cell has eight bytes: the
// table is most of the memory of a holder, and one that comes near its bound spends its processor on collections. A
// sum of 4.3 million units and more has the rest of it in another table.
type sumTable struct {
	cells []sumCell // a power of two of them, or none; at most three quarters are in use
	high  []uint32  // of the same; nil: all are 0
	used  int
}

// sumCell is one; of is never 0 in one that is in use.
type sumCell struct {
	owner, low uint32
}

const minCells = 4

// newSumTable makes a table for so many sums.
func newSumTable(n int) sumTable {
	return sumTable{cells: make([]sumCell, max(minCells, 1<<bits.Len(uint(4*n/3))))}
}

// slot is the place of a life, or the free one where it would be.
func (s *sumTable) slot(life uint32) uint32 {
	mask := uint32(len(s.cells) - 1)
	i := life * 0x9e3779b1
	for i = (i ^ i>>15) & mask; s.cells[i].owner != life && s.cells[i].owner != 0; i = (i + 1) & mask {
	}
	return i
}

// value at a place.
func (s *sumTable) value(i uint32) uint64 {
	if s.high != nil {
		return uint64(s.high[i])<<32 | uint64(s.cells[i].low)
	}
	return uint64(s.cells[i].low)
}

// get is a life's sum, and whether there is one.
func (s *sumTable) get(life uint32) (units uint64, known bool) {
	if len(s.cells) == 0 {
		return 0, false
	}
	i := s.slot(life)
	return s.value(i), s.cells[i].owner != 0
}

// set keeps a life's sum.
func (s *sumTable) set(life uint32, units uint64) {
	if 4*(s.used+1) > 3*len(s.cells) {
		was := *s
		*s = sumTable{cells: make([]sumCell, max(minCells, 2*len(was.cells)))}
		for i, c := range was.cells {
			if c.owner != 0 {
				s.put(c.owner, was.value(uint32(i)))
			}
		}
	}
	s.put(life, units)
}

func (s *sumTable) put(life uint32, units uint64) {
	i := s.slot(life)
	if s.cells[i].owner == 0 {
		s.used++
	}
	if s.high == nil && units>>32 != 0 {
		s.high = make([]uint32, len(s.cells))
	}
	if s.cells[i] = (sumCell{life, uint32(units)}); s.high != nil {
		s.high[i] = uint32(units >> 32)
	}
}
