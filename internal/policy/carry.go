package policy

import "math"

// Quota is what a plan allows over all gateways.
type Quota struct{ Rate, Burst float64 } // units a second, and at once

// Carry is how much of a new quota is free to a customer that had room units of its
// old one left (below 0: it owes; infinite: it had no quota). None gains by a
// change: no more is free than was, and no more than the new burst. What is owed
// stays owed, in units. A larger burst fills up at the new rate. Who had no quota
// begins with an even part of the burst at each of width gateways, since nobody
// knows what the others let pass.
func Carry(room float64, to Quota, width float64) float64 {
	if math.IsInf(room, 1) {
		return min(to.Burst, max(1, to.Burst/max(1, width)))
	}
	return min(room, to.Burst)
}
