package world

import (
	"time"

	"asterwell/internal/faultrules"
)

// Play plays the day of a seed: rules come and are stopped, and what can go wrong does.
func Play(seed uint64, bug faultrules.Bug) *World {
	w := New(seed, bug, 5, 3)
	w.Traffic(20*ms, nil)
	w.reads(70 * ms)
	for range 25 {
		w.trouble()
		w.Run(100*ms + w.upTo(1500*ms))
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
	if w.Broken == "" && w.stopped == 0 {
		w.breaks("STUCK", "all is well, and a stop is not acknowledged")
	}
	return w
}

func (w *World) trouble() {
	p := w.procs[w.rng.IntN(len(w.procs))]
	switch w.rng.IntN(16) {
	case 14, 15: // also of one that has been replaced, or has not come yet
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
	case 7: // a member at a time
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
		w.Freeze(p, w.upTo(4*time.Second))
	default: // agreement names another, who mostly can be reached
		if p.member && p.up && !p.blind {
			old := w.Leader()
			w.Lead(p)
			if w.rng.IntN(2) == 0 {
				old.blind = true // and goes on as before
			}
		}
	}
}
