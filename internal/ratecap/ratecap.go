// Package ratecap keeps a customer's requests under a ceiling that holds over
// all gateways together, without a word among them. Each gateway has an even
// share of it, empty at its start, since an earlier life may have spent it.
//
// What the shared counter has just put inside the customer's quota needs no
// share: the quota is below the ceiling, so that all of it fits. The rest then
// shares what the ceiling has beyond the quota. Proof, for any time t in which
// the counter's counts hold: by its word go at most burst + rate*t units of the
// quota, by spare shares at most what the ceiling's burst and rate are more than
// that; together no more than the ceiling's own burst and rate*t. Where the
// counts can't be trusted all goes by full shares, which sum up to the ceiling
// in any interleaving: each use is taken from the share, below nothing if need
// be, and what a full one loses is lost. No I/O, no clock.
package ratecap

import "time"

// Terms are a customer's, in units and units a second, over all gateways.
type Limits struct {
	Rate, Burst           float64 // of the ceiling
	QuotaRate, QuotaBurst float64 // of the quota below it; 0: none
	Gateways              float64 // gateways that have a share
}

// Word is how far the counter vouches for a request.
type Assurance int

// The words.
const (
	CounterUnavailable Assurance = iota // it can't be asked, or there is no quota
	NotAsked                            // it counts, but has not been asked for this request
	Doubtful                            // it has put the request inside, and may have lost counts of late
	Confirmed                           // it has put the request inside
)

// Share is what one gateway may still send on.
type Share struct {
	room, spare float64 // of the whole ceiling; of what it has beyond the quota
	at          time.Duration
}

// New returns an empty share that fills from a time on.
func New(at time.Duration) Share { return Share{at: at} }

func (s *Share) fill(now time.Duration, t Limits) {
	past := max(0, (now - s.at).Seconds())
	s.at = now
	s.room = min(t.Burst/t.Gateways, s.room+t.Rate/t.Gateways*past)
	s.spare = min((t.Burst-t.QuotaBurst)/t.Gateways, s.spare+(t.Rate-t.QuotaRate)/t.Gateways*past)
}

// Has reports whether units would pass without the counter's word.
func (s *Share) Allows(now time.Duration, t Limits, units float64) bool {
	s.fill(now, t)
	return s.room >= units && s.spare >= units
}

// Take takes units if they stay under the ceiling.
func (s *Share) Take(now time.Duration, t Limits, units float64, w Assurance) bool {
	s.fill(now, t)
	if w != Confirmed && s.room < units || w == NotAsked && s.spare < units {
		return false
	}
	s.room -= units
	if w < Doubtful {
		s.spare -= units
	}
	return true
}

// Halve gives half of a share away, and returns what is given. Debts stay.
func (s *Share) SplitHalf() (room, spare float64) {
	room, spare = max(0, s.room/2), max(0, s.spare/2)
	s.room -= room
	s.spare -= spare
	return room, spare
}

// Give adds what Halve took elsewhere to an empty share that fills from now on.
func (s *Share) Restore(now time.Duration, room, spare float64) { *s = Share{room, spare, now} }

// Trusted is how long counts have to be sound, after they may have been lost,
// before the word counts for all: in that time the ceiling fills up beyond what
// the quota can take meanwhile.
func (t Limits) DistrustPeriod() time.Duration {
	return time.Duration(t.Burst / max(t.Rate-t.QuotaRate, 1e-3) * float64(time.Second))
}
