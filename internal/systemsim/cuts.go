package systemsim

import (
	"slices"
	"time"
)

// cut is one interruption, of one link or many. Several may lie on a link, and it carries messages again once the
// last of them has ended.
type cut struct{ since time.Duration }

// sever puts a cut on the way from one machine to another.
func (w *world) sever(c *cut, from, to *proc) {
	l := link{from.addr, to.addr}
	w.cuts[l] = append(w.cuts[l], c)
	w.recut(from, to)
}

// rejoin takes it away.
func (w *world) rejoin(c *cut, from, to *proc) {
	l := link{from.addr, to.addr}
	if w.cuts[l] = slices.DeleteFunc(w.cuts[l], func(o *cut) bool { return o == c }); len(w.cuts[l]) == 0 {
		delete(w.cuts, l)
	}
	w.recut(from, to)
}

// recut notes that the core is not settled, where a link within it changes.
func (w *world) recut(from, to *proc) {
	if from.core && to.core {
		w.touch.core = w.now
	}
}

// darken parts a machine from all others, and from clients, servers and operators.
func (w *world) darken(c *cut, p *proc) {
	p.darkBy = append(p.darkBy, c)
	w.isolate(p, func(o *proc) { w.sever(c, p, o); w.sever(c, o, p) })
}

// lighten ends that.
func (w *world) lighten(c *cut, p *proc) {
	p.darkBy = slices.DeleteFunc(p.darkBy, func(o *cut) bool { return o == c })
	w.isolate(p, func(o *proc) { w.rejoin(c, p, o); w.rejoin(c, o, p) })
}

func (w *world) isolate(p *proc, each func(o *proc)) {
	for _, o := range w.procs {
		if o != p {
			each(o)
		}
	}
}

// dark tells whether nothing at all reaches the machine.
func (p *proc) dark() bool { return len(p.darkBy) > 0 }
