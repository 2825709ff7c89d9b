package choice

import "time"

// Totals returns the counts since the start and the current load figures.
func (b *Balancer) Totals() Totals {
	b.totals.InFlight, b.totals.Limit, b.totals.SendRate = b.limit.Load, b.limit.Max, b.sendRate
	return b.totals
}

// EjectedServers counts the listed servers that this gateway sends nothing to now, except for trial requests.
func (b *Balancer) EjectedServers() int {
	n := 0
	for _, be := range b.backends {
		if be.listed && be.Ejected() {
			n++
		}
	}
	return n
}

// HandleBodyProgress records that a request's body is still being sent: its server's silence counts from now on.
func (b *Balancer) HandleBodyProgress(now time.Duration, id uint32, index int) {
	if r := b.requests[id]; r != nil && index < len(r.attempts) {
		r.attempts[index].sentAt = now
	}
}

func (b *Balancer) logOnce(text string) {
	if !b.logged[text] && len(b.logged) < 50 {
		b.logged[text] = true
		b.host.Log(text)
	}
}
