package systemsim

import (
	"fmt"
	"slices"
	"time"
)

// kinds are the commands of troubles that sites list and that the others don't bring about.
func kinds() []verb {
	return []verb{
		{"burst TIMES for TIME", (*world).doBurst},
		{"mute S... for TIME", (*world).doMute},
		{"grey S... PART for TIME", (*world).doGrey},
		{"spot S TIME", (*world).doSpot},
		{"deaf P PART [for TIME]", (*world).doDeaf},
		{"reset P PART", (*world).doReset},
		{"remove P", (*world).doRemove},
		{"successor P TIME [ahead]", (*world).doSuccessor},
		{"reads EVERY for TIME", (*world).doReads},
		{"twins VERSION", (*world).doTwins},
		{"mend all", (*world).doMend},
	}
}

// chance draws whether what has such a chance happens; nothing is drawn for what has none.
func (w *world) chance(part float64) bool { return part > 0 && w.rng.Float64() < part }

// doBurst: all tenants send so many times their usual.
func (w *world) doBurst(a *args) error {
	d, x := a.span(), a.number()
	if a.err != nil || x <= 0 || d <= 0 {
		return firstOf(a.err, fmt.Errorf("how much, and for how long?"))
	}
	for _, t := range w.tenants {
		t.hot *= x
		w.after(d, func() { t.hot, t.cools = t.hot/x, w.now })
	}
	return nil
}

// theServers takes names up to the end, or so many words before it.
func (w *world) theServers(a *args, but int) []*server {
	var all []*server
	for len(a.words) > but {
		if s := w.byID[a.next()]; s != nil {
			all = append(all, s)
		} else {
			a.fail("no such server")
		}
	}
	return all
}

// doMute: servers are silent, and come back as they were.
func (w *world) doMute(a *args) error {
	d := a.span()
	all := w.theServers(a, 0)
	if a.err != nil || d <= 0 {
		return firstOf(a.err, fmt.Errorf("for how long?"))
	}
	for _, s := range all {
		if s.up {
			w.note("%s is silent", s.id)
			s.mute = max(s.mute, w.now+d)
		}
	}
	return nil
}

// doGrey: servers fail a part of their requests, and say that they are well.
func (w *world) doGrey(a *args) error {
	d := a.span()
	all := w.theServers(a, 1)
	part := a.number()
	if a.err != nil || d <= 0 {
		return firstOf(a.err, fmt.Errorf("for how long?"))
	}
	for _, s := range all {
		s.grey = part
		w.after(d, func() { s.grey = 0 })
	}
	return nil
}

// doSpot: a server leaves, and is gone after a time, whoever has heard of it.
func (w *world) doSpot(a *args) error {
	s, d := w.byID[a.next()], a.time()
	if s == nil {
		return fmt.Errorf("no such server")
	}
	s.leave()
	w.after(d, s.end)
	return a.err
}

// doDeaf: a part of a process's answers to operators and servers is lost.
func (w *world) doDeaf(a *args) error {
	b, part := a.lasting()
	return w.each(b, "loses answers", func(p *proc) { p.deaf = min(part, 0.95) }, func(p *proc) { p.deaf = 0 })
}

// doReset: a part of a process's connections is reset: what is under way on them is lost, calls
// and answers too.
func (w *world) doReset(a *args) error {
	names, part := a.next(), a.number()
	reset := func(p *proc) {
		w.hit(p)
		for _, o := range w.procs {
			if o != p && w.chance(part) {
				w.torn[link{p.addr, o.addr}], w.torn[link{o.addr, p.addr}] = w.now, w.now
			}
		}
		for id := uint64(1); id <= p.last; id++ {
			if p.calls[id] != nil && w.chance(part) {
				delete(p.calls, id)
			}
		}
	}
	return w.each(&args{words: []string{names}, err: a.err}, "has connections reset", reset, nil)
}

// doRemove: a machine without a disk ends in order, and does not come back.
func (w *world) doRemove(a *args) error {
	all := w.who(a)
	if a.err != nil {
		return a.err
	}
	for _, p := range all {
		if p.core {
			return fmt.Errorf("%s has a disk, and needs a successor", p.name)
		}
		w.term(p, func() { p.gone = true })
	}
	return nil
}

// doSuccessor puts an empty machine at another address in the place of one: ahead, at once, and
// that one is told to end so much later; else that one is gone at once, and it starts later.
func (w *world) doSuccessor(a *args) error {
	ahead, all, d := a.has("ahead"), w.who(a), a.time()
	if a.err != nil || len(all) != 1 {
		return firstOf(a.err, fmt.Errorf("which one?"))
	}
	old := all[0]
	p := w.add(old.name+"'", old.zone, old.core, false)
	w.seeds = slices.Clone(w.seeds)
	for i, s := range w.seeds {
		if s == old.addr {
			w.seeds[i] = p.addr
		}
	}
	remove := func() {
		w.change(func() {
			old.end()
			old.gone = true
			w.hit(p)
		})
	}
	start := func() { w.change(func() { p.boot(); w.hit(p) }) }
	if ahead {
		start()
		w.after(d, func() {
			if old.up && !old.leaving {
				w.term(old, remove)
			} else {
				remove()
			}
		})
	} else {
		remove()
		w.after(d, start)
	}
	w.reseed()
	return nil
}

// doReads: an operator asks for the configuration now and then.
func (w *world) doReads(a *args) error {
	d, gap := a.span(), a.time()
	if a.err != nil || gap <= 0 {
		return firstOf(a.err, fmt.Errorf("how often?"))
	}
	for at := time.Duration(0); at < d; at += gap {
		w.after(at, func() {
			all := w.listed()
			w.read(all[w.rng.IntN(len(all))])
		})
	}
	return nil
}

// doMend ends all troubles, and measures until everyone has what is acknowledged.
func (w *world) doMend(a *args) error {
	if a.next() != "all" {
		return fmt.Errorf("only all")
	}
	w.hook = ""
	w.mend()
	from, newest := w.now, w.acked
	var look func()
	look = func() {
		for _, p := range w.procs {
			if p.up && !p.leaving && p.version < newest {
				w.after(10*ms, look)
				return
			}
		}
		w.stats.Mends.add(w.now - from)
	}
	look()
	return nil
}

// doTwins: two operators send two texts under one number.
func (w *world) doTwins(a *args) error {
	v := a.version()
	if a.err != nil {
		return a.err
	}
	one := w.write(v)
	w.pad += routeSize
	two := w.write(v)
	w.pad -= routeSize
	one.rival, two.rival = two, one
	w.send(one, nil, 100*ms)
	w.send(two, nil, 100*ms)
	return nil
}
