package consensus

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

var seeds = flag.Uint64("seeds", 300, "worlds in trouble")

// runFaults runs one simulation with random faults and returns its failure. At most as many members
// as losses are tolerated are wiped or replaced at the same time; other faults are not limited.
func runFaults(seed uint64, bug Bug, trace func(string, ...any)) *failure {
	shapes := [][3]int{{3, 2, 1}, {3, 1, 1}, {4, 1, 1}, {6, 2, 2}, {5, 1, 2}, {8, 1, 1}, {8, 2, 2}}
	shape := shapes[seed%uint64(len(shapes))]
	w := newSimulation(seed, shape[0], shape[1], shape[2])
	w.bug = bug
	if trace != nil {
		w.trace = trace
	}
	w.startAll()
	w.run(2500 * ms)
	if w.primary() == nil {
		return &failure{"not founded in time", w.now, true}
	}
	for round := range 3 {
		if round == 2 && seed%3 == 0 {
			w.lossRate, w.duplicateRate = 0.05, 0.05
		}
		for range 25 {
			w.injectFault()
			w.run(time.Duration(w.rng.Int64N(int64(250 * ms))))
		}
		w.finishAndCheckProgress()
		if w.failure != nil {
			return w.failure
		}
	}
	return nil
}

// injectFault makes one call or injects one fault.
func (w *simulation) injectFault() {
	ms := w.memberNodes()
	n, o := ms[w.rng.IntN(len(ms))], ms[w.rng.IntN(len(ms))]
	any := w.nodes[w.rng.IntN(len(w.nodes))]
	if p := w.primary(); p != nil && w.rng.IntN(3) == 0 {
		n = p
	}
	if n.machine == nil {
		return
	}
	span := time.Duration(w.rng.Int64N(int64(3 * time.Second)))
	switch w.rng.IntN(26) {
	case 22, 23, 24, 25:
		w.faultDuringPut()
	case 0, 1:
		w.kill(n, true)
		w.after(span, func() { w.start(n) })
	case 2:
		w.trace("%v freeze %s %v", w.now, n.config.Self, span)
		n.frozenUntil = w.now + span
		n.freezes++
	case 3, 4, 5:
		w.trace("%v cut %s>%s", w.now, n.config.Self, o.config.Self)
		w.partition(n, span, func(x *simNode) bool { return x == o }, w.rng.IntN(2) == 0)
	case 6:
		w.trace("%v stall %s %v", w.now, n.config.Self, span)
		n.stalledUntil = w.now + span
	case 7:
		if w.rng.IntN(3) == 0 {
			power := w.rng.IntN(2) == 0
			for _, n := range w.nodes {
				w.kill(n, power)
				w.after(time.Duration(w.rng.Int64N(int64(span+1))), func() { w.start(n) })
			}
		}
	case 8, 9:
		if w.lostMemberCount() >= w.toleratedLosses {
			return
		}
		w.wipe(n)
		w.after(span/2, func() { w.start(n) })
	case 15:
		if len(ms) < 8 && w.rng.IntN(4) == 0 {
			w.start(w.add(true, true))
		}
	case 10:
		if w.lostMemberCount() >= w.toleratedLosses || len(w.nodes) > 14 {
			return
		}
		w.wipe(n)
		n.removed = true
		r := w.add(true, false)
		r.config.Zone = n.config.Zone
		w.trace("%v %s replaces %s", w.now, r.config.Self, n.config.Self)
		w.after(span, func() { w.start(r) })
	case 11, 12, 13, 14:
		w.call(any, true, Doc{})
	default:
		if any.up {
			if w.rng.IntN(3) == 0 {
				w.repeatPut(any, w.rng.IntN(3) == 0)
				return
			}
			o := w.put(any)
			if w.rng.IntN(2) == 0 { // another operator puts the same version
				b := w.nodes[w.rng.IntN(len(w.nodes))]
				w.call(b, false, Doc{Version: o.doc.Version, Body: []byte("other " + string(o.doc.Body))})
			}
		}
	}
}

// faultDuringPut injects a fault while a document is being replicated.
func (w *simulation) faultDuringPut() {
	p := w.primary()
	if p == nil {
		return
	}
	w.put(p)
	faultKind := w.rng.IntN(6)
	w.after(time.Duration(w.rng.Int64N(int64(12*ms))), func() {
		w.trace("%v fault %[3]d during a put at %[2]s", w.now, p.config.Self, faultKind)
		switch faultKind {
		case 0:
			for _, n := range w.nodes {
				w.kill(n, false)
				w.after(time.Duration(w.rng.Int64N(int64(500*ms))), func() { w.start(n) })
			}
		case 1:
			if w.lostMemberCount() < w.toleratedLosses {
				w.wipe(p)
				w.after(time.Second, func() { w.start(p) })
			}
		case 2: // resumes as an outdated primary, and is called before it hears from others
			p.frozenUntil, p.freezes = w.now+1500*ms, p.freezes+1
			w.partition(p, 1500*ms, func(*simNode) bool { return true }, true)
			w.after(1300*ms, func() { w.put(w.nodes[w.rng.IntN(len(w.nodes))]) })
			w.after(1501*ms, func() {
				w.put(p)
				w.call(p, true, Doc{})
				if n := w.primary(); n != nil {
					w.put(n)
				}
			})
		default: // alone on its side of a partition, or with a few others
			w.partition(p, 2*time.Second, func(*simNode) bool { return w.rng.IntN(4) > 0 }, faultKind > 3)
			w.after(1500*ms, func() { w.put(w.nodes[w.rng.IntN(len(w.nodes))]) })
		}
	})
}

// partition cuts a process off from some others for a while, at least in the outgoing direction.
func (w *simulation) partition(p *simNode, span time.Duration, from func(*simNode) bool, both bool) {
	for _, n := range w.nodes {
		if n == p || !from(n) {
			continue
		}
		a, b := p.config.Self, n.config.Self
		w.cutLinks[[2]string{a, b}], w.cutLinks[[2]string{b, a}] = true, both
		w.after(span, func() { delete(w.cutLinks, [2]string{a, b}); delete(w.cutLinks, [2]string{b, a}) })
	}
}

func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range *seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			var trace func(string, ...any)
			if testing.Verbose() {
				trace = t.Logf
			}
			if err := runFaults(seed, 0, trace); err != nil {
				t.Error(err)
			}
		})
	}
}

// TestMutants checks that each disabled safeguard is detected. TestWipedWitness and
// TestAllWritersLost cover two more.
func TestMutants(t *testing.T) {
	t.Parallel()
	for name, bug := range map[string]Bug{
		"acknowledged before the backups have it": BugAckEarly, "overtaken primaries are obeyed": BugNoPromise,
		"any body is acknowledged": BugAnyBody, "a takeover drops the ledger": BugDropLedger,
		"a candidate uses its own body for a missing one": BugOwnBody,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(400) {
				if err := runFaults(seed, bug, nil); err != nil && !err.liveness {
					t.Logf("seed %d: %v", seed, err)
					return
				}
			}
			t.Error("the bug is not detected")
		})
	}
}
