package choice

import "math"

// share is what of the servers is this gateway's, as the limit on attempts counts it. Where
// there is little of it, chance alone passes it again and again while servers stand idle:
// Settings.Spare allows for that.
func (b *Balancer) share(servers float64) float64 {
	even := servers / float64(b.set.Gateways*b.twins) * max(1, b.set.ServerConcurrency/2)
	return even + b.set.HeadroomSigmas*math.Sqrt(even/2)
}
