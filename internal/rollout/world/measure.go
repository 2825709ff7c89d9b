package world

import "time"

// Summary has the cost of rollouts without random faults.
type Summary struct {
	Live, ServedByAll      []time.Duration // until the first request is decided by a version; until all nodes can decide by it
	Refused, RefusedInTurn int
	LongestHold            time.Duration
	Bytes, IdleBytes       float64 // of a rollout, and of a second without one; for each node
	Violations             []Violation
	Decisions              []Decision
	Puts                   map[uint32]time.Duration
}

const liveWithin = 4 * time.Second // time in which a version has to become live

// Measure rolls out versions one after the other. With down, every down-th node is killed before the first
// one, and one more before each of the others.
func Measure(o Options, versions, down int) Summary {
	o.CountBytes = true
	w := New(o)
	w.Bootstrap()
	w.Run(liveWithin)
	up, at := len(w.nodes), w.bytes
	w.Run(liveWithin)
	var summary Summary
	summary.IdleBytes = float64(w.bytes-at) / float64(up) / liveWithin.Seconds()
	refused, refusedInTurn, began := w.result.Refused, w.result.RefusedInTurn, w.now
	at = w.bytes
	first := w.highestPut + 1
	for n := range versions {
		for i, p := range w.nodes[3:] {
			if down > 0 && (n == 0 && i%down == 0 || n > 0 && i == n%(len(w.nodes)-3)) {
				p.kill()
			}
			if down > 0 && n > 0 && i == (n+1)%(len(w.nodes)-3) {
				p.start()
			}
		}
		w.Put(w.nodes[w.rng.IntN(3)], w.highestPut+1, 0, 0, "")
		if down > 0 {
			w.Run(liveWithin)
		} else {
			w.runUntilServed(liveWithin)
		}
		w.Run(w.randomUpTo(time.Second))
	}
	summary.Bytes = (float64(w.bytes-at)/float64(up) - summary.IdleBytes*(w.now-began).Seconds()) / float64(max(versions, 1))
	for v := first; v <= w.highestPut; v++ {
		if f, ok := w.firstDecided[v]; ok {
			summary.Live = append(summary.Live, f-w.putAt[v])
		} else {
			w.violate("STUCK", "%d is not live after %v", v, liveWithin)
		}
		if a := w.result.ServedByAll[v]; a != 0 {
			summary.ServedByAll = append(summary.ServedByAll, a)
		}
	}
	summary.Refused, summary.RefusedInTurn, summary.LongestHold = w.result.Refused-refused, w.result.RefusedInTurn-refusedInTurn, w.result.LongestHold
	summary.Violations, summary.Decisions, summary.Puts = w.result.Violations, w.result.Decisions, w.putAt
	return summary
}

// runUntilServed runs until all live processes can decide by the newest version, and for half a second
// more.
func (w *World) runUntilServed(limit time.Duration) {
	for end := w.now + limit; w.now < end && w.result.ServedByAll[w.highestPut] == 0 && len(w.result.Violations) == 0; {
		w.Run(10 * ms)
	}
	w.Run(500 * ms)
}
