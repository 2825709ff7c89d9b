package choice

// Beat is the token of the timer for housekeeping.
const HousekeepingTimer = "beat"

// Still reports whether beats ask for nothing as long as nothing else comes: they only let
// what is known age. A host may then play them later, each at its own time.
func (b *Balancer) Idle() bool {
	if len(b.reqs) > 0 || len(b.calls) > 0 || b.set.Probes && b.EjectedServers() > 0 { // what is left out is looked at
		return false
	}
	for _, c := range b.idlers {
		if b.set.Counter && (len(c.queue) > 0 || c.fix != 0 || c.owes) { // what is owed is told
			return false
		}
	}
	return true
}
