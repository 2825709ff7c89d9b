package world

import "time"

// Sum is what rollouts without drawn faults cost.
type Sum struct {
	Live, All        []time.Duration // until the first request goes by a version; until all nodes do
	Refused, InTurn  int
	HeldMost         time.Duration
	Bytes, RestBytes float64 // of a rollout at each node, and of a second of rest
	Broken           []Broken
	Marks            []Mark
	Puts             map[uint32]time.Duration
}

const span = 4 * time.Second // in which a version has to be live

// Measure takes versions up one after the other. With down, every so many-th node is
// killed just before the first, and before each of the others one more.
func Measure(o Options, versions, down int) Sum {
	o.Bytes = true
	w := New(o)
	w.Begin()
	w.Run(span)
	up, at := len(w.nodes), w.bytes
	w.Run(span)
	var s Sum
	s.RestBytes = float64(w.bytes-at) / float64(up) / span.Seconds()
	refused, turn, began := w.res.Refused, w.res.InTurn, w.now
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
	s.Bytes = (float64(w.bytes-at)/float64(up) - s.RestBytes*(w.now-began).Seconds()) / float64(max(versions, 1))
	for v := first; v <= w.top; v++ {
		if f, ok := w.first[v]; ok {
			s.Live = append(s.Live, f-w.puts[v])
		} else {
			w.breaks("STUCK", "%d is not live after %v", v, span)
		}
		if a := w.res.All[v]; a != 0 {
			s.All = append(s.All, a)
		}
	}
	s.Refused, s.InTurn, s.HeldMost = w.res.Refused-refused, w.res.InTurn-turn, w.res.HeldMost
	s.Broken, s.Marks, s.Puts = w.res.Broken, w.res.Marks, w.puts
	return s
}

// settle runs until all that live serve by the newest version, and a bit longer.
func (w *World) settle(most time.Duration) {
	for end := w.now + most; w.now < end && w.res.All[w.top] == 0 && len(w.res.Broken) == 0; {
		w.Run(10 * ms)
	}
	w.Run(500 * ms)
}
