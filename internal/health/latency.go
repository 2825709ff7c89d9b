package health

import (
	"math"
	"time"
)

// Latency is what is known of the time that answers of one kind take, in seconds.
type Latency struct {
	Mean, Deviation float64
	Baseline        float64 // lowest lasting mean: what work takes without queues

	n    int
	calm float64 // more than that can't be calm
}

// NewLatency returns a guess for answers that should come within aim.
func NewLatency(aim time.Duration) Latency {
	guess := aim.Seconds() / 8
	return Latency{Mean: guess, Baseline: guess, Deviation: guess / 2, calm: aim.Seconds() / 4}
}

// Took takes one in, at a weight between 0 and 1.
func (l *Latency) Observe(took, weight float64) {
	l.Deviation += (math.Abs(took-l.Mean) - l.Deviation) * weight
	l.Mean += (took - l.Mean) * weight
	if l.n++; l.n < 50 || l.Mean < l.Baseline {
		l.Baseline = min(l.Mean, l.calm) // a start under load must not pass for calm
	} else {
		l.Baseline += (l.Mean - l.Baseline) * 0.0003
	}
}

// Tardy is how long an answer takes only rarely.
func (l *Latency) Slow() time.Duration {
	return time.Duration((l.Mean + 4*l.Deviation) * float64(time.Second))
}

// Pressed reports whether answers show queues: then lateness comes of load, and tells nothing of one server.
func (l *Latency) Queueing() bool { return l.Mean > 1.5*l.Baseline }

// Gone reports whether so long a silence means more than load.
func (l *Latency) Unresponsive(quiet time.Duration) bool {
	return quiet > l.Slow()*3/2 && !l.Queueing()
}
