package systemsim

import (
	"fmt"
	"slices"
	"time"

	"asterwell/internal/controlplane"
)

func (w *world) doServers(a *args) error {
	service, n := a.next(), int(a.number())
	for range n {
		w.serve(service, "")
	}
	return a.err
}

// doReplace puts an empty machine in the place of one, at another address: when that one has
// ended, or, if it is planned, so long before it is told to end.
func (w *world) doReplace(a *args) error {
	ahead, first := a.after("first")
	planned, all := a.has("planned"), w.who(a)
	if a.err != nil || len(all) != 1 {
		return firstOf(a.err, fmt.Errorf("which one?"))
	}
	old := all[0]
	succeed := func() {
		w.change(func() {
			p := w.add(fmt.Sprintf("%s'", old.name), old.zone, old.core, false)
			w.seeds = slices.Clone(w.seeds)
			for i, s := range w.seeds {
				if s == old.addr {
					w.seeds[i] = p.addr
				}
			}
			p.boot()
			w.hit(p)
			if p.core && old.gone {
				w.watchSeat(p)
			}
		})
		w.reseed()
	}
	remove := func() { w.change(func() { old.end(); old.gone = true }) }
	switch {
	case first:
		d := a.parse(ahead)
		succeed()
		w.after(d, func() { w.term(old, remove) })
	case planned:
		w.term(old, func() { remove(); succeed() })
	default:
		remove()
		succeed()
	}
	return a.err
}

// reseed has all processes read their settings anew, within a second.
func (w *world) reseed() {
	for _, p := range w.procs {
		life := p.life
		w.after(w.upTo(time.Second), func() {
			if p.up && p.life == life {
				p.input(func() controlplane.Output { p.k.SetSeeds(p.clock(), w.seeds); return controlplane.Output{} })
			}
		})
	}
}

func (w *world) doSeeds(a *args) error {
	all := w.who(a)
	if a.err != nil || len(all) == 0 {
		return a.err
	}
	w.seeds = nil
	for _, p := range all {
		w.seeds = append(w.seeds, p.addr)
	}
	w.reseed()
	return nil
}

func (w *world) servant(a *args, do func(*server)) error {
	for len(a.words) > 0 {
		name := a.next()
		s := w.byID[name]
		if s == nil {
			return fmt.Errorf("no server %q", name)
		}
		do(s)
	}
	return a.err
}

// doReuse ends a server, and gives its address to one of another service.
func (w *world) doReuse(a *args) error {
	s, service := w.byID[a.next()], a.next()
	if s == nil {
		return fmt.Errorf("no such server")
	}
	if !s.up || s.leaving {
		return a.err
	}
	s.leave()
	var again func()
	again = func() {
		if s.up || w.now-s.ended < reuseIn {
			w.after(100*ms, again)
			return
		}
		w.serve(service, s.addr)
	}
	again()
	return a.err
}

// doRelease replaces the servers of a service one after the other.
func (w *world) doRelease(a *args) error {
	service, gap := a.next(), a.time()
	at := time.Duration(0)
	for _, s := range slices.Clone(w.servers) {
		if s.service != service || !s.up || s.leaving {
			continue
		}
		w.after(at, func() { w.serve(service, "") })
		w.after(at+gap/2, s.leave)
		at += gap
	}
	return a.err
}
