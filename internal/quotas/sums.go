package quotas

import "math/bits"

// sums is what each life has passed in one name, by the lives' numbers: an open-addressed table, since a holder of a large
// fleet looks one up for each item that it is told, and millions of them lie far from any cache. One look is
// mostly one line of memory, and there is nothing in it that a collection has to follow. A cell has eight bytes: the
// table is most of the memory of a holder, and one that comes near its bound spends its processor on collections. A
// sum of 4.3 million units and more has the rest of it in another table.
type sums struct {
	cells []sum    // a power of two of them, or none; at most three quarters are in use
	high  []uint32 // of the same; nil: all are 0
	n     int
}

// sum is one; of is never 0 in one that is in use.
type sum struct {
	of, low uint32
}

const leastCells = 4

// room makes a table for so many sums.
func room(n int) sums {
	return sums{cells: make([]sum, max(leastCells, 1<<bits.Len(uint(4*n/3))))}
}

// at is the place of a life, or the free one where it would be.
func (s *sums) at(life uint32) uint32 {
	mask := uint32(len(s.cells) - 1)
	i := life * 0x9e3779b1
	for i = (i ^ i>>15) & mask; s.cells[i].of != life && s.cells[i].of != 0; i = (i + 1) & mask {
	}
	return i
}

// units at a place.
func (s *sums) units(i uint32) uint64 {
	if s.high != nil {
		return uint64(s.high[i])<<32 | uint64(s.cells[i].low)
	}
	return uint64(s.cells[i].low)
}

// of is a life's sum, and whether there is one.
func (s *sums) of(life uint32) (units uint64, known bool) {
	if len(s.cells) == 0 {
		return 0, false
	}
	i := s.at(life)
	return s.units(i), s.cells[i].of != 0
}

// set keeps a life's sum.
func (s *sums) set(life uint32, units uint64) {
	if 4*(s.n+1) > 3*len(s.cells) {
		was := *s
		*s = sums{cells: make([]sum, max(leastCells, 2*len(was.cells)))}
		for i, c := range was.cells {
			if c.of != 0 {
				s.put(c.of, was.units(uint32(i)))
			}
		}
	}
	s.put(life, units)
}

func (s *sums) put(life uint32, units uint64) {
	i := s.at(life)
	if s.cells[i].of == 0 {
		s.n++
	}
	if s.high == nil && units>>32 != 0 {
		s.high = make([]uint32, len(s.cells))
	}
	if s.cells[i] = (sum{life, uint32(units)}); s.high != nil {
		s.high[i] = uint32(units >> 32)
	}
}
