package systemsim

import "time"

// touch notes when each condition last failed under which the rules bind a machine. Of
// one machine: hurt is trouble on it, or on its links; lone is no path to some core
// machine that counts.
type touch struct {
	core  time.Duration // it was not settled
	minor time.Duration // less than most of it ran, connected
	links time.Duration // some link was in trouble
}

// hit notes trouble on a machine.
func (w *world) hit(p *proc) {
	p.hurt = w.now
	if p.core {
		w.touch.core = w.now
	}
}

// mark notes what fails now. It is called round each change, and often between them.
func (w *world) mark() {
	t := &w.touch
	runs := func(p *proc) bool { return p.up && !p.frozen() }
	var counts []*proc
	for _, c := range w.core() {
		if w.most(c) {
			counts = append(counts, c)
		}
	}
	if len(counts) == 0 {
		t.minor, t.core = w.now, w.now
	}
	for _, p := range w.procs {
		if p.gone {
			continue
		}
		slow := p.disk != nil && p.disk.pace > w.pace
		if !runs(p) || p.lossy > 0 || p.dark() || slow {
			w.hit(p)
		}
		if p.lossy > 0 || p.deaf > 0 || p.dark() {
			t.links = w.now
		}
		for _, c := range counts {
			if w.apart(p, c) {
				p.lone = w.now
			} else if runs(p) && !c.dark() && (!p.dark() || p == c) {
				p.met = w.now
			}
		}
	}
	if len(w.cuts)+len(w.holds) > 0 {
		t.links = w.now
	}
}

// most tells whether a core machine runs and reaches more than half of the core.
func (w *world) most(c *proc) bool {
	n, core := 0, w.core()
	for _, o := range core {
		if c.up && !c.frozen() && o.up && !o.frozen() && !w.apart(c, o) && !c.dark() && !o.dark() {
			n++
		}
	}
	return 2*n > len(core)
}

// since is when the machine's own conditions last failed.
func (w *world) since(p *proc) time.Duration { return max(p.hurt, p.lone) }

// inTouch tells whether the rules bind a machine now.
func (w *world) inTouch(p *proc) bool {
	return p.up && !p.frozen() && w.now-max(w.since(p), w.touch.core) >= contact
}

// calm tells whether no machine has had trouble for so long.
func (w *world) calm(d time.Duration) bool {
	for _, p := range w.procs {
		if !p.gone && w.now-w.since(p) < d {
			return false
		}
	}
	return w.now-w.touch.core >= d
}
