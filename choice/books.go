package choice

import "time"

// Books tells what it has counted, and what it goes by now.
func (b *Balancer) Totals() Totals {
	b.books.InFlight, b.books.Limit, b.books.SendRate = b.limit.Load, b.limit.Max, b.sends
	return b.books
}

// Avoided are the servers in the list that this gateway would send nothing now but a trial.
func (b *Balancer) EjectedServers() int {
	n := 0
	for _, be := range b.fleet {
		if be.listed && be.Ejected() {
			n++
		}
	}
	return n
}

// Sent tells that a request's body still goes out: its server's silence counts from now on.
func (b *Balancer) HandleBodyProgress(now time.Duration, id uint32, try int) {
	if r := b.reqs[id]; r != nil && try < len(r.tries) {
		r.tries[try].sent = now
	}
}

func (b *Balancer) logOnce(text string) {
	if !b.logged[text] && len(b.logged) < 50 {
		b.logged[text] = true
		b.act.Log(text)
	}
}
