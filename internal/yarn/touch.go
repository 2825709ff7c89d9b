package yarn

import "time"

// touch notes when each condition last failed under which the rules bind a machine.
type touch struct {
	hurt  map[*proc]time.Duration // trouble on it, or on its links
	lone  map[*proc]time.Duration // no path to some core machine that counts
	core  time.Duration           // it was not settled
	minor time.Duration           // less than most of it ran, connected
	links time.Duration           // some link was in trouble
}

// hit notes trouble on a machine.
func (w *world) hit(p *proc) {
	w.touch.hurt[p] = w.now
	if p.core {
		w.touch.core = w.now
	}
}

// mark notes what fails now. It is called round each change, and often between them.
func (w *world) mark() {
	t := &w.touch
	if t.hurt == nil {
		t.hurt, t.lone = map[*proc]time.Duration{}, map[*proc]time.Duration{}
	}
	core := w.core()
	runs := func(p *proc) bool { return p.up && !p.frozen() }
	counts := map[*proc]bool{}
	for _, c := range core {
		n := 0
		for _, o := range core {
			if runs(c) && runs(o) && !w.apart(c, o) && !c.dark && !o.dark {
				n++
			}
		}
		counts[c] = 2*n > len(core)
	}
	if len(counts) == 0 || !anyOf(counts) {
		t.minor, t.core = w.now, w.now
	}
	for _, p := range w.procs {
		if p.gone {
			continue
		}
		slow := p.disk != nil && p.disk.pace > 5*ms
		if !runs(p) || p.leaving || p.lossy > 0 || p.dark || slow {
			w.hit(p)
		}
		if p.lossy > 0 || p.dark {
			t.links = w.now
		}
		for c, ok := range counts {
			if ok && w.apart(p, c) {
				t.lone[p] = w.now
			}
		}
	}
	if len(w.cuts) > 0 {
		t.links = w.now
	}
}

func anyOf(m map[*proc]bool) bool {
	for _, ok := range m {
		if ok {
			return true
		}
	}
	return false
}

// since is when the machine's own conditions last failed.
func (w *world) since(p *proc) time.Duration { return max(w.touch.hurt[p], w.touch.lone[p]) }

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
