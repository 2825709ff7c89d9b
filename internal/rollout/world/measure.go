package world

import "time"

// Summary is what rollouts without drawn faults cost.
type Summary struct {
	Live, ServedByAll      []time.Duration // until the first request goes by a version; until all nodes do
	Refused, RefusedInTurn int
	LongestHold            time.Duration
	Bytes, IdleBytes       float64 // of a rollout at each node, and of a second of rest
	Violations             []Violation
	Decisions              []Decision
	Puts                   map[uint32]time.Duration
}

const span = 4 * time.Second // in which a version has to be live

// Measure takes versions up one after the other. With down, every so many-th node is
// killed just before the first, and before each of the others one more.
func Measure(o Options, versions, down int) Summary {
	o.CountBytes = true
	w := New(o)
	w.Bootstrap()
	w.Run(span)
	up, at := len(w.nodes), w.bytes
	w.Run(span)
	var s Summary
	s.IdleBytes = float64(w.bytes-at) / float64(up) / span.Seconds()
	refused, turn, began := w.res.Refused, w.res.RefusedInTurn, w.now
	at = w.bytes
	first := w.top + 1
	for n := range versions {
		for i, p := range w.nodes[3:] {
			if down > 0 && (n == 0 && i%down == 0 || n > 0 && i == n%(len(w.nodes)-3)) {
				p.kill()
			}
			if down > 0 && n > 0 && i == (n+1)%(len(w.nodes)-3) {
				p.boot()
			}
		}
		w.Put(w.nodes[w.rng.IntN(3)], w.top+1, 0, 0, "")
		if down > 0 {
			w.Run(span)
		} else {
			w.settle(span)
		}
		w.Run(w.upTo(time.Second))
	}
	s.Bytes = (float64(w.bytes-at)/float64(up) - s.IdleBytes*(w.now-began).Seconds()) / float64(max(versions, 1))
	for v := first; v <= w.top; v++ {
		if f, ok := w.first[v]; ok {
			s.Live = append(s.Live, f-w.puts[v])
		} else {
			w.breaks("STUCK", "%d is not live after %v", v, span)
		}
		if a := w.res.ServedByAll[v]; a != 0 {
			s.ServedByAll = append(s.ServedByAll, a)
		}
	}
	s.Refused, s.RefusedInTurn, s.LongestHold = w.res.Refused-refused, w.res.RefusedInTurn-turn, w.res.LongestHold
	s.Violations, s.Decisions, s.Puts = w.res.Violations, w.res.Decisions, w.puts
	return s
}

// settle runs until all that live serve by the newest version, and a bit longer.
func (w *World) settle(most time.Duration) {
	for end := w.now + most; w.now < end && w.res.ServedByAll[w.top] == 0 && len(w.res.Violations) == 0; {
		w.Run(10 * ms)
	}
	w.Run(500 * ms)
}
