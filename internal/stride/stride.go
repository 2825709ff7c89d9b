// Package stride schedules a gateway's servers by weight, using stride scheduling
// (Waldspurger and Weihl, 1995). If hundreds of gateways choose servers at random, a
// server's load has the variance of a sum of random draws. If each gateway uses its
// servers in turn, from a random start, it adds at most the remainder of one turn to
// a server's deviation. No I/O, no clock: time is counted in requests.
package stride

// Scheduler is the virtual time of one gateway. It advances by one for each round over all servers.
type Scheduler struct{ round float64 }

// Position is a server's position in the schedule.
type Position struct {
	due    float64 // virtual time of its next turn
	placed bool
}

const (
	maxAhead  = 1.5 // a server that is used out of turn isn't delayed for long
	maxBehind = 1.5 // a server that was left out doesn't catch up
)

// Distance is how far a server is from its next turn, in its own intervals: at 0 or
// below it is due, at 1 it has just had its turn. weight is its weight relative to the
// mean. odds, random from 0 to 1, is the initial position of a new server.
func (c *Scheduler) Distance(s *Position, weight, odds float64) float64 {
	if !s.placed {
		s.due, s.placed = c.round+odds/weight, true
	}
	return min(max((s.due-c.round)*weight, -maxBehind), maxAhead)
}

// Advance records a turn of a server. total is the weight of all servers.
func (c *Scheduler) Advance(s *Position, weight, total float64) {
	if total > 0 {
		c.round += 1 / total
	}
	s.due = min(max(s.due, c.round-maxBehind/weight)+1/weight, c.round+maxAhead/weight)
	s.placed = true
}
