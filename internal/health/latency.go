package health

import (
	"math"
	"time"
)

// Latency is what is known of the time that answers of one kind take, in seconds.
type Latency struct {
	Mean, Dev float64
	Base      float64 // lowest lasting mean: what work takes without queues

	n    int
	calm float64 // more than that can't be calm
}

// NewLatency returns a guess for answers that should come within aim.
func NewLatency(aim time.Duration) Latency {
	guess := aim.Seconds() / 8
	return Latency{Mean: guess, Base: guess, Dev: guess / 2, calm: aim.Seconds() / 4}
}

// Took takes one in, at a weight between 0 and 1.
func (l *Latency) Took(took, weight float64) {
	l.Dev += (math.Abs(took-l.Mean) - l.Dev) * weight
	l.Mean += (took - l.Mean) * weight
	if l.n++; l.n < 50 || l.Mean < l.Base {
		l.Base = min(l.Mean, l.calm) // a start under load must not pass for calm
	} else {
		l.Base += (l.Mean - l.Base) * 0.0003
	}
}

// Tardy is how long an answer takes only rarely.
func (l *Latency) Tardy() time.Duration {
	return time.Duration((l.Mean + 4*l.Dev) * float64(time.Second))
}

// Pressed reports whether answers show queues: then lateness comes of load, and tells nothing of one server.
func (l *Latency) Pressed() bool { return l.Mean > 1.5*l.Base }

// Gone reports whether so long a silence means more than load.
func (l *Latency) Gone(quiet time.Duration) bool { return quiet > l.Tardy()*3/2 && !l.Pressed() }
