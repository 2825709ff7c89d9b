// Package stride lets a gateway's servers take turns by weight, by stride
// scheduling (Waldspurger and Weihl, 1995). Hundreds of gateways that each draw
// servers by chance send a server as unevenly as chance is, however even the odds
// are: the spread of a sum of draws. Where each gateway takes its servers in turn,
// from a place that chance gives it, a gateway adds no more to a server's sum than
// the rest of one turn. No I/O, no clock: time is counted in requests.
package stride

// Clock is a gateway's: it goes on by one for each round over all its servers.
type Scheduler struct{ now float64 }

// Seat is a server's place among the turns.
type Position struct {
	due   float64 // its next turn
	taken bool
}

const (
	mostAhead  = 1.5 // a server that is used out of turn does not pay for long
	mostBehind = 1.5 // nor is one that was left out made up to
)

// Ahead is how far a server is from its next turn, in its own intervals: 0 and
// below, it is due; 1, it has just had it. weight is its share of a round against
// the mean; odds, from 0 to 1, give a server that is new its place.
func (c *Scheduler) Distance(s *Position, weight, odds float64) float64 {
	if !s.taken {
		s.due, s.taken = c.now+odds/weight, true
	}
	return min(max((s.due-c.now)*weight, -mostBehind), mostAhead)
}

// Took gives a server a turn. total is the weight of all that take turns.
func (c *Scheduler) Advance(s *Position, weight, total float64) {
	if total > 0 {
		c.now += 1 / total
	}
	s.due = min(max(s.due, c.now-mostBehind/weight)+1/weight, c.now+mostAhead/weight)
	s.taken = true
}
