package choice

import "time"

// GiveUp gives a request its final answer now, as at its end: the process is ending.
func (b *Balancer) AnswerNow(now time.Duration, id uint32) {
	if r := b.reqs[id]; r != nil && !r.done && !r.stream {
		b.giveUp(now, r)
	}
}
