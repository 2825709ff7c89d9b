package world

import (
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/consensus"
	"asterwell/internal/rollout"
)

func diskVersion(data []byte) uint32 {
	var d consensus.DurableState
	if err := cbor.Unmarshal(data, &d); err != nil {
		panic(err)
	}
	return d.Committed.Version
}

// Bootstrap puts version 1 in force. It asks for mode "together", so version 2 is the first one rolled out that way.
func (w *World) Bootstrap() {
	w.Run(3 * time.Second)
	w.Put(w.nodes[0], 1, 0, 0, "")
	w.Run(3 * time.Second)
}

// startTogether returns a fleet with version 2 in force, whose successor is rolled out with mode "together"
// and the given number of confirmations.
func startTogether(o Options, confirm, within int) *World {
	w := New(o)
	w.Bootstrap()
	w.Put(w.nodes[4], 2, confirm, within, "")
	w.Run(4 * time.Second)
	return w
}

// Simulate runs random faults and operators from a seed, then ends the faults, and checks that the newest
// version has its outcome at all processes.
func Simulate(o Options) Result {
	w := New(o)
	w.loss, w.duplication = 0.01, 0.02
	w.Bootstrap()
	until := w.now + 14*time.Second
	w.injectFaults(until)
	w.operators(until)
	w.Run(until - w.now)
	w.endFaults()
	w.Run(SettleTime)
	w.checkSettled()
	return w.Finish()
}

// SettleTime is the time after which, without faults, all processes have the outcome of the newest version,
// and serve: it covers an election, the leases granted by the previous primary, and the lease of a fenced
// node.
const SettleTime = 7 * time.Second

// Finish returns the result of the run.
func (w *World) Finish() Result {
	for v := range w.putAt {
		switch at, lived := w.firstDecided[v]; {
		case lived:
			w.result.Live++
			w.result.LiveAfter = append(w.result.LiveAfter, at-w.putAt[v])
		case w.fates[v] == rollout.Withdrawn:
			w.result.Withdrawn++
		default:
			w.result.Overtaken++
		}
	}
	slices.Sort(w.result.LiveAfter)
	return w.result
}

func (w *World) endFaults() {
	clear(w.blocked)
	w.loss, w.duplication, w.extraDelay = 0, 0, 0
	for _, p := range w.nodes {
		p.start()
	}
}

// checkSettled checks that no process is stuck.
func (w *World) checkSettled() {
	if len(w.result.Violations) > 0 {
		return
	}
	for _, p := range w.nodes {
		switch v, fate := p.control.RolloutMachine().Newest(); {
		case p.frozen():
		case fate == rollout.Prepared:
			w.violate("STUCK", "%s still has %d as prepared", p.name, v)
		case v != w.newestVersion():
			w.violate("STUCK", "%s holds %d, the newest is %d", p.name, v, w.newestVersion())
		case !p.gate.Allows(p.clock(), p.gate.Version):
			w.violate("STUCK", "%s decides nothing: %+v at %v", p.name, p.gate, p.clock())
		}
	}
}

func (w *World) newestVersion() (top uint32) {
	for v := range w.fates {
		top = max(top, v)
	}
	return top
}

// operators puts versions, at times two at once, some of which a node refuses, and withdraws some.
func (w *World) operators(until time.Duration) {
	if w.now >= until {
		return
	}
	n := w.highestPut + 1
	refused := ""
	if w.rng.IntN(5) == 0 {
		refused = w.randomNode().name
	}
	confirm, within := 0, 0
	if w.rng.IntN(2) == 0 {
		confirm = 1 + w.rng.IntN(len(w.nodes))
	}
	if confirm > 0 || w.rng.IntN(3) == 0 {
		within = 1000 + w.rng.IntN(3000)
	}
	w.Put(w.randomNode(), n, confirm, within, refused)
	if w.opt.RepeatOrders && w.rng.IntN(2) == 0 {
		w.repeatOrders(n, func(p *Process) { w.Put(p, n, confirm, within, refused) })
	}
	switch w.rng.IntN(5) {
	case 0: // two at once
		w.Put(w.randomNode(), n+1, 0, 0, "")
	case 1:
		p := w.randomNode()
		w.schedule(w.randomUpTo(300*ms), func() { w.Withdraw(p, n) })
	}
	w.schedule(200*ms+w.randomUpTo(2500*ms), func() { w.operators(until) })
}

// repeatOrders sends the same orders again, like an operator who got no answer, or doubts it.
func (w *World) repeatOrders(n uint32, put func(p *Process)) {
	for range 3 {
		w.schedule(w.randomUpTo(5*time.Second), func() { w.Withdraw(w.randomNode(), n) })
		w.schedule(w.randomUpTo(5*time.Second), func() { put(w.randomNode()) })
	}
}

func (w *World) randomNode() *Process { return w.nodes[w.rng.IntN(len(w.nodes))] }

// injectFaults causes one failure, and schedules the next.
func (w *World) injectFaults(until time.Duration) {
	if w.now >= until {
		return
	}
	p := w.randomNode()
	if primary := w.primary(); primary != nil && w.rng.IntN(3) == 0 {
		p = primary
	}
	switch w.rng.IntN(7) {
	case 0, 1:
		w.result.Kills++
		p.kill()
		w.schedule(100*ms+w.randomUpTo(3*time.Second), p.start)
	case 2, 3:
		w.result.Freezes++
		p.freeze(100*ms + w.randomUpTo(4*time.Second))
	case 4:
		w.result.Cuts++
		all, one := w.randomNodes(), []*Process{p}
		w.setBlocked(one, all, true)
		w.schedule(200*ms+w.randomUpTo(3*time.Second), func() { w.setBlocked(one, all, false) })
	case 5:
		w.result.Cuts++
		all, one := w.randomNodes(), []*Process{p}
		w.setBlocked(all, one, true)
		w.schedule(200*ms+w.randomUpTo(3*time.Second), func() { w.setBlocked(all, one, false) })
	case 6:
		w.result.Cuts++
		all, one := w.randomNodes(), w.randomNodes()
		w.setBlocked(all, one, true)
		w.setBlocked(one, all, true)
		w.schedule(200*ms+w.randomUpTo(3*time.Second), func() { w.setBlocked(all, one, false); w.setBlocked(one, all, false) })
	}
	if w.rng.IntN(4) == 0 {
		w.extraDelay = w.randomUpTo(80 * ms)
	}
	w.schedule(50*ms+w.randomUpTo(1500*ms), func() { w.injectFaults(until) })
}

// randomNodes returns all processes, or about half of them.
func (w *World) randomNodes() []*Process {
	if w.rng.IntN(3) == 0 {
		return w.nodes
	}
	var half []*Process
	for _, p := range w.nodes {
		if w.rng.IntN(2) == 0 {
			half = append(half, p)
		}
	}
	return half
}
