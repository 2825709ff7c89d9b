package toll

// sums is what each life has passed in one name, by the lives' numbers: an open-addressed table, since a holder of a large
// fleet looks one up for each item that it is told, and millions of them lie far from any cache. One look is
// mostly one line of memory, and there is nothing in it that a collection has to follow.
type sums struct {
	cells []sum // a power of two of them, or none; at most three quarters are in use
	n     int
}

// sum is one; of is never 0 in one that is in use.
type sum struct {
	of    uint32
	units uint64
}

const leastCells = 4

// at is the cell of a life, or the free one where it would be.
func (s *sums) at(life uint32) *sum {
	mask := uint32(len(s.cells) - 1)
	i := life * 0x9e3779b1
	for i = (i ^ i>>15) & mask; s.cells[i].of != life && s.cells[i].of != 0; i = (i + 1) & mask {
	}
	return &s.cells[i]
}

// of is a life's sum, and whether there is one.
func (s *sums) of(life uint32) (units uint64, known bool) {
	if len(s.cells) == 0 {
		return 0, false
	}
	c := s.at(life)
	return c.units, c.of != 0
}

// set keeps a life's sum.
func (s *sums) set(life uint32, units uint64) {
	if 4*(s.n+1) > 3*len(s.cells) {
		was := s.cells
		s.cells = make([]sum, max(leastCells, 2*len(was)))
		for _, c := range was {
			if c.of != 0 {
				*s.at(c.of) = c
			}
		}
	}
	c := s.at(life)
	if c.of == 0 {
		c.of = life
		s.n++
	}
	c.units = units
}
