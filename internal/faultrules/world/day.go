package world

import (
	"time"

	"asterwell/internal/faultrules"
)

// Play runs the random scenario of a seed: rules are put and stopped while faults are injected.
func Play(seed uint64, bug faultrules.Bug) *World {
	w := New(seed, bug, 5, 3)
	w.Traffic(20*ms, nil)
	w.scheduleReads(70 * ms)
	for range 25 {
		w.injectFault()
		w.Run(100*ms + w.randomDuration(1500*ms))
		if w.Broken != "" {
			return w
		}
	}
	w.Mend()
	for _, p := range w.procs {
		w.Boot(p)
	}
	w.Run(3 * time.Second)
	w.Stop(w.Leader(), nil)
	w.Run(3 * time.Second)
	if w.Broken == "" && w.stopAckedAt == 0 {
		w.violate("STUCK", "all is well, and a stop is not acknowledged")
	}
	return w
}

// injectFault performs a random operator call or fault.
func (w *World) injectFault() {
	p := w.procs[w.rng.IntN(len(w.procs))]
	switch w.rng.IntN(16) {
	case 14, 15: // possibly of a set that was replaced or not put yet
		if p.up {
			w.StopOf(p, 1+w.rng.Uint32N(w.version+2), nil)
		}
	case 12, 13:
		if w.version > 0 && p.up {
			w.Again(p, 1+w.rng.Uint32N(w.version), w.rng.IntN(3) == 0)
		}
	case 0, 1, 2, 3:
		if budget := 1 + w.rng.IntN(60); p.up {
			if w.rng.IntN(2) == 0 {
				budget *= 100
			}
			w.Put(p, []faultrules.Rule{{Name: "r", Tenant: Struck, Share: 0.2 + 0.8*w.rng.Float64(), Effect: faultrules.VanishBefore,
				EndsS: 0.5 + 6*w.rng.Float64(), Budget: budget}}, nil)
		}
	case 4:
		if p.up {
			w.Stop(p, nil)
		}
	case 5:
		w.Cut(p)
	case 6:
		w.Mend()
	case 7: // at most one member is down at a time
		down := false
		for _, o := range w.procs {
			down = down || o.member && !o.up
		}
		if !p.member || !down {
			w.Kill(p)
		}
	case 8:
		for _, o := range w.procs {
			w.Boot(o)
		}
	case 9:
		w.Freeze(p, w.randomDuration(4*time.Second))
	default: // consensus elects another primary
		if p.member && p.up && !p.consensusBlind {
			old := w.Leader()
			w.Lead(p)
			if w.rng.IntN(2) == 0 {
				old.consensusBlind = true // the old primary does not learn of it and carries on
			}
		}
	}
}
