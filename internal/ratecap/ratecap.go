// Package ratecap keeps a customer's requests under a ceiling that holds over all
// gateways together, without communication between them. Each gateway has an even
// share of it, empty at its start, since an earlier process may have used it up.
//
// Requests that the shared counter has just confirmed to be within the customer's
// quota need no share: the quota is below the ceiling, so all of it fits. Other
// requests then share what the ceiling has in excess of the quota. Proof, for any
// time t in which the counts are valid: confirmed requests use at most the quota's
// burst + rate*t, and shares of the excess at most the difference between that and
// the ceiling's burst + rate*t; together no more than the ceiling. While counts
// can't be trusted, all requests use full shares, which add up to the ceiling in any
// interleaving: each use is taken from the share, even below zero, and what refills
// beyond a full share is lost. No I/O, no clock.
package ratecap

import "time"

// Limits are a customer's limits over all gateways, in units and units a second.
type Limits struct {
	Rate, Burst           float64 // of the ceiling
	QuotaRate, QuotaBurst float64 // of the quota below it; 0: none
	Gateways              float64 // number of gateways that have a share
}

// Assurance is how far the counter confirms that a request is within its quota.
type Assurance int

// The assurances, from the weakest to the strongest.
const (
	CounterUnavailable Assurance = iota // it can't be called, or there is no quota
	NotAsked                            // it works, but was not called for this request
	Doubtful                            // it has confirmed the request, but may have lost counts recently
	Confirmed                           // it has confirmed the request
)

// Share is what one gateway may still send.
type Share struct {
	available, excess float64 // of the whole ceiling; of its excess over the quota
	filledAt          time.Duration
}

// New returns an empty share that refills from a time on.
func New(at time.Duration) Share { return Share{filledAt: at} }

func (s *Share) refill(now time.Duration, limits Limits) {
	elapsed := max(0, (now - s.filledAt).Seconds())
	s.filledAt = now
	s.available = min(limits.Burst/limits.Gateways, s.available+limits.Rate/limits.Gateways*elapsed)
	s.excess = min((limits.Burst-limits.QuotaBurst)/limits.Gateways, s.excess+(limits.Rate-limits.QuotaRate)/limits.Gateways*elapsed)
}

// Allows reports whether units would pass without the counter's confirmation.
func (s *Share) Allows(now time.Duration, limits Limits, units float64) bool {
	s.refill(now, limits)
	return s.available >= units && s.excess >= units
}

// Take takes units from the share if they stay under the ceiling, and reports whether they do.
func (s *Share) Take(now time.Duration, limits Limits, units float64, assurance Assurance) bool {
	s.refill(now, limits)
	if assurance != Confirmed && s.available < units || assurance == NotAsked && s.excess < units {
		return false
	}
	s.available -= units
	if assurance < Doubtful {
		s.excess -= units
	}
	return true
}

// SplitHalf takes half of the share away and returns it. A negative balance stays.
func (s *Share) SplitHalf() (room, spare float64) {
	room, spare = max(0, s.available/2), max(0, s.excess/2)
	s.available -= room
	s.excess -= spare
	return room, spare
}

// Restore starts the share with what SplitHalf returned elsewhere, refilling from now on.
func (s *Share) Restore(now time.Duration, room, spare float64) { *s = Share{room, spare, now} }

// DistrustPeriod is how long counts must have been complete, after they may have been
// lost, before confirmations suffice: in that time the ceiling refills beyond what the
// quota can use meanwhile.
func (limits Limits) DistrustPeriod() time.Duration {
	return time.Duration(limits.Burst / max(limits.Rate-limits.QuotaRate, 1e-3) * float64(time.Second))
}
