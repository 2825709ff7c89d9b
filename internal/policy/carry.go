package policy

import "math"

// Quota is the rate limit of a plan, summed over all gateways.
type Quota struct{ Rate, Burst float64 } // units per second; bucket size in units

// Carry converts a customer's remaining units when its quota changes. room is what
// was left of the old quota: negative if the customer is in debt, infinite if it had
// no quota. A change never adds units: the result is at most room and at most the new
// burst, and a debt is kept in full. A larger burst fills up at the new rate. A
// customer without an earlier quota starts with burst/width at each of width gateways,
// because no gateway knows what the others have admitted.
func Carry(room float64, to Quota, width float64) float64 {
	if math.IsInf(room, 1) {
		return min(to.Burst, max(1, to.Burst/max(1, width)))
	}
	return min(room, to.Burst)
}
