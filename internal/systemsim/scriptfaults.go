package systemsim

import (
	"fmt"
	"slices"
	"time"
)

func (w *world) down(a *args, wipe bool) error {
	return w.each(a, "", func(p *proc) {
		p.end()
		if wipe && p.disk != nil {
			w.note("%s is wiped", p.name)
			p.disk.wipe()
		}
	}, func(p *proc) {
		p.boot()
		if wipe && p.core {
			w.watchSeat(p)
		}
	})
}

// doPutBack: a process ends, and the next one starts on the copy of its disk.
func (w *world) doPutBack(a *args) error {
	return w.each(a, "has its disk put back", func(p *proc) {
		p.end()
		if p.disk != nil {
			p.disk.putBack()
		}
	}, func(p *proc) { p.boot() })
}

func (w *world) doFreeze(a *args) error {
	d, ok := a.after("for")
	if !ok {
		return fmt.Errorf("for how long?")
	}
	till := w.now + a.parse(d)
	all := w.who(a)
	if a.err != nil {
		return a.err
	}
	w.takeLead(all)
	for _, p := range all {
		p.thaws = till
		life := p.life
		w.after(till-w.now, func() { w.change(func() { p.thaw(life); w.hit(p) }) })
	}
	return nil
}

func (w *world) doCut(a *args) error {
	d, oneway := a.span(), a.has("oneway")
	from, to := w.sides(a)
	if a.err != nil {
		return a.err
	}
	w.takeLead(from)
	c := &cut{since: w.now}
	each := func(do func(c *cut, from, to *proc)) {
		for _, p := range from {
			for _, q := range to {
				if p == q {
					continue
				}
				do(c, p, q)
				if !oneway {
					do(c, q, p)
				}
			}
		}
	}
	each(w.sever)
	if d > 0 {
		w.after(d, func() { w.change(func() { each(w.rejoin); w.healed(append(slices.Clone(from), to...)) }) })
	}
	return nil
}

// doHold is a cut after which all that was sent in it arrives.
func (w *world) doHold(a *args) error {
	d, oneway := a.span(), a.has("oneway")
	from, to := w.sides(a)
	if a.err != nil || d <= 0 {
		return firstOf(a.err, fmt.Errorf("for how long?"))
	}
	w.takeLead(from)
	each := func(do func(p, q *proc)) {
		for _, p := range from {
			for _, q := range to {
				if p != q {
					do(p, q)
					if !oneway {
						do(q, p)
					}
				}
			}
		}
	}
	each(w.hold)
	w.after(d, func() { w.change(func() { each(w.release); w.healed(append(slices.Clone(from), to...)) }) })
	return nil
}

// sides are the two of a cut.
func (w *world) sides(a *args) (from, to []*proc) {
	from = w.who(a)
	if !a.has("rest") {
		return from, w.who(a)
	}
	for _, p := range w.procs {
		if !slices.Contains(from, p) {
			to = append(to, p)
		}
	}
	return from, to
}

// parted are those that some link is cut or held of, in order.
func (w *world) parted() []*proc {
	return slices.DeleteFunc(slices.Clone(w.procs), func(p *proc) bool {
		return p.gone || !slices.ContainsFunc(w.procs, func(o *proc) bool { return o != p && w.apart(p, o) })
	})
}

func (w *world) doLossy(a *args) error {
	b, part := a.lasting()
	return w.each(b, "loses packets", func(p *proc) { p.lossy = min(part, 0.9) }, func(p *proc) { p.lossy = 0 })
}

func (w *world) doSlow(a *args) error {
	b, x := a.lasting()
	set := func(pace time.Duration) func(p *proc) {
		return func(p *proc) {
			if p.disk != nil {
				p.disk.pace = pace
			}
		}
	}
	return w.each(b, "has a slow disk", set(time.Duration(x*float64(w.pace))), set(w.pace))
}

// doBusy: a disk shared with other work. A record takes four syncs, and so many times a
// minute all on the disk stands still for 0.3 to 2 s; shared: at the same moments on all.
func (w *world) doBusy(a *args) error {
	d, names, pace, times := a.span(), a.next(), a.time(), a.number()
	shared := len(a.words) > 0 && a.words[0] == "shared"
	a.words = nil
	all := w.who(&args{words: []string{names}})
	if a.err != nil || times <= 0 {
		return a.err
	}
	end := w.now + d
	var stall func(who []*proc)
	stall = func(who []*proc) {
		if d > 0 && w.now >= end {
			return
		}
		until := w.now + 300*ms + w.upTo(1700*ms)
		for _, p := range who {
			if p.disk != nil {
				p.disk.stalled = until
			}
		}
		w.after(until-w.now+w.upTo(time.Duration(2*float64(time.Minute)/times)), func() { stall(who) })
	}
	first := func() time.Duration { return w.upTo(time.Duration(float64(time.Minute) / times)) }
	if shared {
		w.after(first(), func() { stall(all) })
	} else {
		for _, p := range all {
			w.after(first(), func() { stall([]*proc{p}) })
		}
	}
	b := lasting(names, d)
	set := func(pace time.Duration) func(p *proc) {
		return func(p *proc) {
			if p.disk != nil {
				p.disk.pace = pace
			}
		}
	}
	return w.each(b, "has a busy disk", set(4*pace), set(w.pace))
}

func (w *world) doStep(a *args) error {
	names, d := a.next(), a.time()
	return w.each(&args{words: []string{names}, err: a.err}, "", func(p *proc) { p.wall += d; w.hit(p) }, nil)
}
