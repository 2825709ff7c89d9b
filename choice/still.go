package choice

// HousekeepingTimer is the token of the timer for housekeeping.
const HousekeepingTimer = "beat"

// Idle reports whether housekeeping calls no action until the next event and only decays
// statistics. A host may then run it later, with the original time of each run.
func (b *Balancer) Idle() bool {
	if len(b.requests) > 0 || len(b.counterCalls) > 0 || b.cfg.Probes && b.EjectedServers() > 0 { // ejected servers are probed
		return false
	}
	for _, c := range b.meters {
		if b.cfg.Counter && (len(c.awaiting) > 0 || c.idleUnits != 0 || c.owesUnits) { // units have to be reported
			return false
		}
	}
	return true
}
