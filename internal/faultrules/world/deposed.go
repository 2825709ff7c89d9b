package world

import (
	"time"

	"asterwell/internal/faultrules"
)

// longRule returns a rule that strikes every request for ten minutes.
func longRule(name string) []faultrules.Rule {
	return []faultrules.Rule{{Name: name, Tenant: Struck, Share: 1, Effect: faultrules.VanishBefore, EndsS: 600, Budget: 1000}}
}

// Deposed simulates a primary that is partitioned from the others and doesn't know of its successor.
// The successor acknowledges a stop; then the old primary is read while its last majority
// acknowledgement is still recent. taken reports whether the successor acknowledged the stop.
func Deposed(bug faultrules.Bug) (w *World, taken bool) {
	w = New(1, bug, 5, 3)
	w.Run(time.Second)
	w.Put(w.procs[3], longRule("r"), nil)
	w.Run(3 * time.Second)
	w.Cut(w.procs[0])
	w.Lead(w.procs[1])
	w.Stop(w.procs[4], func(a faultrules.Answer) { taken = a.Outcome == faultrules.Done })
	w.Run(400 * ms)
	w.Read(w.procs[0], nil)
	w.Run(2 * time.Second)
	return w, taken
}
