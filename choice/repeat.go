package choice

import "time"

// Servers that refuse connections while they are busy (Settings.RefusesWhenBusy): a refused
// attempt has not run, so the next one is no retry, and it doesn't make the zone suspect.

const maxUnconnected = 4 // attempts without a connection, per request

// countedAttempts counts the attempts that use up a request's maximum.
func (b *Balancer) countedAttempts(r *request) int {
	n, shut := len(r.attempts), 0
	for _, a := range r.attempts {
		if b.cfg.RefusesWhenBusy && !a.pending && a.status == ConnectFailed && shut < maxUnconnected {
			shut++
		}
	}
	return n - shut
}

// price is what one more attempt costs in the retry budget.
func (b *Balancer) price(r *request) float64 {
	if last := r.attempts[len(r.attempts)-1]; b.cfg.RefusesWhenBusy && !last.pending && last.status == ConnectFailed {
		return 0
	}
	return 1
}

// connectionBroke handles an attempt whose connection failed.
func (b *Balancer) connectionBroke(now time.Duration, be *backend, o Outcome) {
	if b.cfg.RefusesWhenBusy && o.Status == ConnectFailed && o.Elapsed < b.cfg.ConnectTimeout/2 {
		be.Eject(now, 2*b.interval)
		b.updateAperture(now)
		return
	}
	b.eject(now, be)
}
