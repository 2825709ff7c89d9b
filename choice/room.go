package choice

import "math"

// serversPerGateway is this gateway's part of the servers for the limit on attempts. If it is
// small, random variation alone exceeds it again and again while servers are idle, so
// Settings.HeadroomSigmas adds headroom.
func (b *Balancer) serversPerGateway(servers float64) float64 {
	even := servers / float64(b.cfg.Gateways*b.processes) * max(1, b.cfg.ServerConcurrency/2)
	return even + b.cfg.HeadroomSigmas*math.Sqrt(even/2)
}
