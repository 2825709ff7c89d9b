package choice

import "time"

// Servers that refuse connections while they are busy (Settings.Shuts): an attempt that got
// none has reached nobody, so that the next one is no repeat, and it says nothing of the zone.

const mostShut = 4 // attempts without a connection, for one request

// reached counts the attempts at servers that a request may go to.
func (b *Balancer) reached(r *request) int {
	n, shut := len(r.tries), 0
	for _, a := range r.tries {
		if b.set.RefusesWhenBusy && !a.out && a.status == ConnectFailed && shut < mostShut {
			shut++
		}
	}
	return n - shut
}

// price is what one more attempt takes from the budget of repeats.
func (b *Balancer) price(r *request) float64 {
	if last := r.tries[len(r.tries)-1]; b.set.RefusesWhenBusy && !last.out && last.status == ConnectFailed {
		return 0
	}
	return 1
}

// broke takes an attempt that ended with its connection.
func (b *Balancer) broke(now time.Duration, be *backend, o Outcome) {
	if b.set.RefusesWhenBusy && o.Status == ConnectFailed && o.Elapsed < b.set.ConnectTimeout/2 {
		be.Eject(now, 2*b.beat)
		b.survey(now)
		return
	}
	b.eject(now, be)
}
