package consensus

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var seeds = flag.Uint64("seeds", 300, "worlds in trouble")

// trouble lets one world suffer, and says what broke. Up to the losses are wiped or replaced
// at once; all else may befall any number.
func trouble(seed uint64, bug Bug, trace func(string, ...any)) *verdict {
	shapes := [][3]int{{3, 2, 1}, {3, 1, 1}, {4, 1, 1}, {6, 2, 2}, {5, 1, 2}, {8, 1, 1}, {8, 2, 2}}
	s := shapes[seed%uint64(len(shapes))]
	w := newWorld(seed, s[0], s[1], s[2])
	w.bug = bug
	if trace != nil {
		w.trace = trace
	}
	w.startAll()
	w.run(2500 * ms)
	if w.primary() == nil {
		return &verdict{"not founded in time", w.now, true}
	}
	for round := range 3 {
		if round == 2 && seed%3 == 0 {
			w.loss, w.twice = 0.05, 0.05
		}
		for range 25 {
			w.strike()
			w.run(time.Duration(w.rng.Int64N(int64(250 * ms))))
		}
		w.settled()
		if w.broken != nil {
			return w.broken
		}
	}
	return nil
}

// strike does one thing, bad or ordinary.
func (w *world) strike() {
	ms := w.members()
	n, o := ms[w.rng.IntN(len(ms))], ms[w.rng.IntN(len(ms))]
	any := w.nodes[w.rng.IntN(len(w.nodes))]
	if p := w.primary(); p != nil && w.rng.IntN(3) == 0 {
		n = p
	}
	if n.m == nil {
		return
	}
	span := time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	switch w.rng.IntN(26) {
	case 22, 23, 24, 25:
		w.midst()
	case 0, 1:
		w.kill(n, true)
		w.after(span, func() { w.start(n) })
	case 2:
		w.trace("%v freeze %s %v", w.now, n.cfg.Self, span)
		n.frozen = w.now + span
		n.ice++
	case 3, 4, 5:
		w.trace("%v cut %s>%s", w.now, n.cfg.Self, o.cfg.Self)
		w.part(n, span, func(x *node) bool { return x == o }, w.rng.IntN(2) == 0)
	case 6:
		w.trace("%v stall %s %v", w.now, n.cfg.Self, span)
		n.stalled = w.now + span
	case 7:
		if w.rng.IntN(3) == 0 {
			power := w.rng.IntN(2) == 0
			for _, n := range w.nodes {
				w.kill(n, power)
				w.after(time.Duration(w.rng.Int64N(int64(span+1))), func() { w.start(n) })
			}
		}
	case 8, 9:
		if w.missing() >= w.losses {
			return
		}
		w.wipe(n)
		w.after(span/2, func() { w.start(n) })
	case 15:
		if len(ms) < 8 && w.rng.IntN(4) == 0 {
			w.start(w.add(true, true))
		}
	case 10:
		if w.missing() >= w.losses || len(w.nodes) > 14 {
			return
		}
		w.wipe(n)
		n.gone = true
		r := w.add(true, false)
		r.cfg.Zone = n.cfg.Zone
		w.trace("%v %s replaces %s", w.now, r.cfg.Self, n.cfg.Self)
		w.after(span, func() { w.start(r) })
	case 11, 12, 13, 14:
		w.call(any, true, Doc{})
	default:
		if any.up {
			if w.rng.IntN(3) == 0 {
				w.again(any, w.rng.IntN(3) == 0)
				return
			}
			o := w.put(any)
			if w.rng.IntN(2) == 0 { // another operator, with the same version
				b := w.nodes[w.rng.IntN(len(w.nodes))]
				w.call(b, false, Doc{Version: o.doc.Version, Body: []byte("other " + string(o.doc.Body))})
			}
		}
	}
}

// midst strikes while a document is on its way.
func (w *world) midst() {
	p := w.primary()
	if p == nil {
		return
	}
	w.put(p)
	kind := w.rng.IntN(6)
	w.after(time.Duration(w.rng.Int64N(int64(12*ms))), func() {
		w.trace("%v in the midst at %s: %d", w.now, p.cfg.Self, kind)
		switch kind {
		case 0:
			for _, n := range w.nodes {
				w.kill(n, false)
				w.after(time.Duration(w.rng.Int64N(int64(500*ms))), func() { w.start(n) })
			}
		case 1:
			if w.missing() < w.losses {
				w.wipe(p)
				w.after(time.Second, func() { w.start(p) })
			}
		case 2: // thaws as a primary of long ago, and is asked before it can look around
			p.frozen, p.ice = w.now+1500*ms, p.ice+1
			w.part(p, 1500*ms, func(*node) bool { return true }, true)
			w.after(1300*ms, func() { w.put(w.nodes[w.rng.IntN(len(w.nodes))]) })
			w.after(1501*ms, func() {
				w.put(p)
				w.call(p, true, Doc{})
				if n := w.primary(); n != nil {
					w.put(n)
				}
			})
		default: // on its own side of a cut, with some chance not alone
			w.part(p, 2*time.Second, func(*node) bool { return w.rng.IntN(4) > 0 }, kind > 3)
			w.after(1500*ms, func() { w.put(w.nodes[w.rng.IntN(len(w.nodes))]) })
		}
	})
}

// part cuts a process from some for a while, at least its way out.
func (w *world) part(p *node, span time.Duration, from func(*node) bool, both bool) {
	for _, n := range w.nodes {
		if n == p || !from(n) {
			continue
		}
		a, b := p.cfg.Self, n.cfg.Self
		w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = true, both
		w.after(span, func() { delete(w.cut, [2]string{a, b}); delete(w.cut, [2]string{b, a}) })
	}
}

func TestTrouble(t *testing.T) {
	t.Parallel()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var trace func(string, ...any)
			if testing.Verbose() {
				trace = t.Logf
			}
			if err := trouble(seed, 0, trace); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestMutants shows that the judge misses none of the guards; TestForgotten and
// TestNoWriter have two more.
func TestMutants(t *testing.T) {
	t.Parallel()
	for name, bug := range map[string]Bug{
		"ack before backups": BugAckEarly, "overtaken primaries obeyed": BugNoPromise,
		"any text acknowledged": BugAnyBody, "orders forgotten by a takeover": BugDropLedger,
		"own text for a newer one that is named": BugOwnBody,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				if err := trouble(seed, bug, nil); err != nil && !err.late {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("not found")
		})
	}
}
