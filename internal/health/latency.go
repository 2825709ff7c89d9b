package health

import (
	"math"
	"time"
)

// Latency holds the latency statistics of one request class, in seconds.
type Latency struct {
	Mean, Deviation float64
	Baseline        float64 // lowest lasting mean: service time without queueing

	samples     int
	maxBaseline float64 // highest Baseline
}

// NewLatency returns an initial estimate for a class with this target latency.
func NewLatency(aim time.Duration) Latency {
	guess := aim.Seconds() / 8
	return Latency{Mean: guess, Baseline: guess, Deviation: guess / 2, maxBaseline: aim.Seconds() / 4}
}

// Observe records the latency of a response, with a weight between 0 and 1.
func (l *Latency) Observe(latency, weight float64) {
	l.Deviation += (math.Abs(latency-l.Mean) - l.Deviation) * weight
	l.Mean += (latency - l.Mean) * weight
	if l.samples++; l.samples < 50 || l.Mean < l.Baseline {
		l.Baseline = min(l.Mean, l.maxBaseline) // latency of a start under load must not become the baseline
	} else {
		l.Baseline += (l.Mean - l.Baseline) * 0.0003
	}
}

// Slow is a latency that responses rarely exceed.
func (l *Latency) Slow() time.Duration {
	return time.Duration((l.Mean + 4*l.Deviation) * float64(time.Second))
}

// Queueing reports whether latencies show queueing. Late responses are then due to load, not to one server.
func (l *Latency) Queueing() bool { return l.Mean > 1.5*l.Baseline }

// Unresponsive reports whether so long a silence can't be explained by load.
func (l *Latency) Unresponsive(silence time.Duration) bool {
	return silence > l.Slow()*3/2 && !l.Queueing()
}
