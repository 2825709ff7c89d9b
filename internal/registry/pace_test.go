package registry

import (
	"testing"
	"time"
)

// TestPace: while news comes all the time, a gateway of a large fleet compares its table with others' once in a while
// and no more; one of a small fleet, or one that hears no news, at each difference it is told of, but for the pace.
func TestPace(t *testing.T) {
	for _, c := range []struct {
		gateways int
		news     bool
		least    int
		most     int
	}{{490, true, 4, 6}, {490, false, 25, 60}, {91, true, 6000, 6000}} {
		p := newPlan(t, c.gateways, 200)
		begun, row := 0, p.rows[0]
		for i := range 6000 { // 60 s
			p.now += 10 * time.Millisecond
			from := p.nodes[1+i%(c.gateways-1)].Addr
			if c.news {
				row.Seq++
				row.Capacity = 6 + i%2
				p.m.Receive(p.now, from, Update{Rows: []Row{row}})
			}
			for _, s := range p.m.Receive(p.now, from, TableDigest{Hash: p.m.sum + 1}).Send {
				if _, ok := s.Msg.(ServiceDigests); ok && s.To == from {
					begun++
				}
			}
		}
		if begun < c.least || begun > c.most {
			t.Errorf("%d gateways, news %v: %d comparisons in 60 s, wanted %d to %d", c.gateways, c.news, begun, c.least, c.most)
		}
	}
}
