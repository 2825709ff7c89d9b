package choice

import "time"

// AnswerNow gives a request its final answer before its deadline, because the process is shutting down.
func (b *Balancer) AnswerNow(now time.Duration, id uint32) {
	if r := b.requests[id]; r != nil && !r.done && !r.streaming {
		b.answerUnserved(now, r)
	}
}
