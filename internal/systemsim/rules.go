package systemsim

import (
	"slices"
	"time"
)

// rules is what the judge keeps between two looks.
type rules struct {
	lostLead   time.Duration // when the last primary was taken away; 0: one serves
	lostEpoch  uint64
	epoch      uint64        // the newest that served, and
	serves     *proc         // who does
	herd       bool          // most processes were away
	back       time.Duration // and all are back since; 0: not
	settledFor time.Duration // since when the core is settled, and no link is in trouble
}

const look = 100 * ms

// check judges what can be seen at any moment.
func (w *world) check() {
	w.mark()
	if max(w.touch.core, w.touch.links)+contact > w.now {
		w.rules.settledFor = w.now
	}
	w.checkConfig()
	w.checkCalls()
	w.checkQuota()
	w.countLeads()
	w.checkLead()
	w.checkService()
	w.checkReady()
	w.heed()
}

// checkConfig: who is in touch serves the newest acknowledged version, or a later one.
func (w *world) checkConfig() {
	var must, outer *order
	for _, o := range w.orders {
		if !o.acked {
			continue
		}
		if w.now > o.at+converge && (must == nil || o.version > must.version) {
			must = o
		}
		if w.now > o.at+converge+stretch && w.touch.minor < o.at && (outer == nil || o.version > outer.version) {
			outer = o
		}
	}
	calm := must != nil && w.calm(contact+5*time.Second)
	for _, p := range w.procs {
		switch {
		case must != nil && w.inTouch(p) && p.version < must.version:
			w.breaks("CONFIG", "%s serves version %d %v after %d was acknowledged", p.name, p.version, w.now-must.at, must.version)
		case outer != nil && p.up && !p.frozen() && w.now-w.since(p) >= contact && p.version < outer.version:
			w.breaks("CONFIG", "%s serves version %d %v after %d was acknowledged, the core unsettled", p.name, p.version,
				w.now-outer.at, outer.version)
		case calm && w.inTouch(p) && !p.leaving && !p.k.Ready():
			w.breaks("READY", "%s has all, and does not say that it is ready", p.name)
		}
	}
}

// checkCalls: what operators and leaving servers ask for is acknowledged in time.
func (w *world) checkCalls() {
	for _, v := range w.versions() {
		o := w.orders[v]
		if o.texts != nil {
			continue // answers are lost on purpose
		}
		if from := max(o.sent, w.rules.settledFor); !o.acked && w.now-from > commit {
			w.breaks("COMMIT", "version %d is not acknowledged after %v", v, w.now-from)
		}
	}
	for _, s := range w.servers {
		if from := max(s.leaves, s.mute, w.rules.settledFor); s.up && s.leaving && !s.acked && w.now-from > commit {
			w.breaks("LEAVE", "%s is not let go after %v", s.id, w.now-from)
		}
	}
}

func (w *world) versions() []uint32 {
	var all []uint32
	for v := range w.orders {
		all = append(all, v)
	}
	slices.Sort(all)
	return all
}

// checkQuota notes which lower limits bind, and whether tenants get what is theirs.
func (w *world) checkQuota() {
	for _, o := range w.orders {
		if o.acked && o.binds == 0 && w.now > o.at+converge && w.calm(contact) {
			o.binds = w.now
		}
	}
	quiet := w.calm(contact + 3*time.Second)
	for _, t := range w.tenants {
		if !quiet || t.hot != 1 || t.offer > 0.9*t.limit.Rate || w.now-max(w.newest(), t.cools) < 8*time.Second {
			t.offered, t.refused, t.since = 0, 0, w.now
			continue
		}
		if w.now-t.since < quotaSpan {
			continue
		}
		w.stats.Spared++
		if n := float64(t.offered); n > 50 && n < 0.88*t.limit.Rate*quotaSpan.Seconds() && t.refused*20 > t.offered {
			w.breaks("SPARED", "%s is refused %d of %d requests below its rate", t.name, t.refused, t.offered)
		}
		t.offered, t.refused, t.since = 0, 0, w.now
	}
}

// newest is when the last order was sent.
func (w *world) newest() time.Duration {
	at := time.Duration(0)
	for _, o := range w.orders {
		at = max(at, o.sent)
	}
	return at
}

// countLeads counts epochs and changes of primary.
func (w *world) countLeads() {
	r := &w.rules
	p := w.leader()
	if p == nil || p.k.ConsensusStatus().Epoch <= r.epoch {
		return
	}
	if v := p.k.ConsensusStatus().Version; v < w.acked {
		w.breaks("LED", "%s leads with version %d, and %d was acknowledged", p.name, v, w.acked)
	}
	if r.serves != nil {
		w.stats.Epochs++
		if p != r.serves {
			w.stats.Changes++
		}
	}
	r.epoch, r.serves = p.k.ConsensusStatus().Epoch, p
}

// checkLead measures takeovers.
func (w *world) checkLead() {
	if w.rules.lostLead == 0 {
		return
	}
	if w.touch.minor == w.now { // nobody can
		w.rules.lostLead = w.now
		return
	}
	p := w.leader()
	if p == nil || p.frozen() || !w.most(p) {
		return
	}
	if p.k.ConsensusStatus().Epoch > w.rules.lostEpoch {
		w.note("%s has taken over", p.name)
		w.stats.Takeovers.add(w.now - w.rules.lostLead)
	}
	w.rules.lostLead = 0
}

// checkService: after most were away, requests are served again.
func (w *world) checkService() {
	up, all := 0, 0
	for _, p := range w.procs {
		if !p.gone {
			all++
		}
		if p.up && !p.frozen() {
			up++
		}
	}
	r := &w.rules
	switch {
	case 2*up < all:
		r.herd, r.back = true, 0
	case r.herd && r.back == 0 && up == all:
		r.back = w.now
	}
	if w.now-w.window.since < 500*ms {
		return
	}
	win := w.window
	w.window = window{since: w.now}
	if r.herd && r.back > 0 && win.owed > 0 {
		switch {
		case 2*win.served >= win.owed:
			w.stats.Recoveries.add(w.now - r.back)
			w.note("served again")
			r.herd = false
		case w.now-r.back > recovery && 4*win.served < win.owed:
			w.breaks("RECOVER", "%d of %d requests served %v after all were back", win.served, win.owed, w.now-r.back)
		}
	}
	w.lastWindow = win
}

// checkList: once all is calm, everyone's list is the servers that live.
func (w *world) checkList() {
	var alive []string
	for _, s := range w.servers {
		if s.up && !s.leaving {
			alive = append(alive, s.id)
		}
	}
	slices.Sort(alive)
	for _, p := range w.procs {
		if !p.up || p.leaving {
			continue
		}
		var known []string
		for s := range p.serves {
			known = append(known, s.id)
		}
		slices.Sort(known)
		if !slices.Equal(known, alive) {
			w.breaks("LIST", "%s knows %v, there are %v", p.name, known, alive)
		}
	}
}
