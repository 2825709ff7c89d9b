package registry

import (
	"testing"
	"time"
)

// TestComparisonPacing checks how often tables are compared. Under constant updates a gateway of a
// large fleet compares rarely; without updates it compares as often as the interval allows, and in
// a small fleet at each difference.
func TestComparisonPacing(t *testing.T) {
	for _, c := range []struct {
		gateways int
		news     bool
		least    int
		most     int
	}{{490, true, 4, 6}, {490, false, 25, 60}, {91, true, 6000, 6000}} {
		p := newFixture(t, c.gateways, 200)
		started, row := 0, p.rows[0]
		for i := range 6000 { // 60 s
			p.now += 10 * time.Millisecond
			from := p.nodes[1+i%(c.gateways-1)].Addr
			if c.news {
				row.Seq++
				row.Capacity = 6 + i%2
				p.m.Receive(p.now, from, Update{Rows: []Row{row}})
			}
			for _, s := range p.m.Receive(p.now, from, TableDigest{Hash: p.m.tableDigest + 1}).Send {
				if _, ok := s.Msg.(ServiceDigests); ok && s.To == from {
					started++
				}
			}
		}
		if started < c.least || started > c.most {
			t.Errorf("%d gateways, updates %v: %d comparisons in 60 s, want %d to %d", c.gateways, c.news, started, c.least, c.most)
		}
	}
}
