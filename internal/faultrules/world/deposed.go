package world

import (
	"time"

	"asterwell/internal/faultrules"
)

func long(name string) []faultrules.Rule {
	return []faultrules.Rule{{Name: name, Tenant: Struck, Share: 1, Effect: faultrules.VanishBefore, EndsS: 600, Budget: 1000}}
}

// Deposed plays a primary that is cut off from the others and knows nothing of its successor,
// which takes a stop; then it is asked itself, while its last majority is young. False: the
// successor took none.
func Deposed(bug faultrules.Bug) (w *World, taken bool) {
	w = New(1, bug, 5, 3)
	w.Run(time.Second)
	w.Put(w.procs[3], long("r"), nil)
	w.Run(3 * time.Second)
	w.Cut(w.procs[0])
	w.Lead(w.procs[1])
	w.Stop(w.procs[4], func(a faultrules.Answer) { taken = a.Outcome == faultrules.Done })
	w.Run(400 * ms)
	w.Read(w.procs[0], nil)
	w.Run(2 * time.Second)
	return w, taken
}
