package systemsim

import (
	"asterwell/internal/controlplane"
	"asterwell/internal/drainpermit"
)

// drain calls one gateway to send clients elsewhere, or to take them again.
func (w *world) drain(p *proc, op drainpermit.Op) {
	w.call(p, far, func(id uint64) controlplane.Output { return p.k.Drain(p.clock(), id, op, drainWithin) }, func(v any) {
		a, ok := v.(drainpermit.Answer)
		w.note("%s is told %v, %d of its drain, and drains: %v", p.name, ok, a, p.k.Draining())
		if ok && a == drainpermit.Done {
			w.stats.Drains++
		}
	})
}

// drainWithin is how long one that is called to drain looks for another that stays.
const drainWithin = 800 * ms

// stayed: of the gateways that run, drains alone take away all but one.
func (w *world) stayed() {
	drains := 0
	for _, p := range w.procs {
		if p.up && !p.leaving && !p.k.Draining() {
			return
		}
		if p.up && !p.leaving {
			drains++
		}
	}
	if drains > 0 {
		w.breaks("STAYED", "all %d gateways drain", drains)
	}
}
