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

// Bootstrap brings the first versions into force: the second is the first that is taken up
// together.
func (w *World) Bootstrap() {
	w.Run(3 * time.Second)
	w.Put(w.nodes[0], 1, 0, 0, "")
	w.Run(3 * time.Second)
}

// stage is a fleet that goes by version 2, whose change is taken up together, with so many to
// confirm it.
func stage(o Options, confirm, within int) *World {
	w := New(o)
	w.Bootstrap()
	w.Put(w.nodes[4], 2, confirm, within, "")
	w.Run(4 * time.Second)
	return w
}

// Simulate draws faults and operators from a seed, then lets all come back, and judges that
// the newest version has had its outcome everywhere.
func Simulate(o Options) Result {
	w := New(o)
	w.loss, w.twice = 0.01, 0.02
	w.Bootstrap()
	until := w.now + 14*time.Second
	w.trouble(until)
	w.operators(until)
	w.Run(until - w.now)
	w.calm()
	w.Run(SettleTime)
	w.settled()
	return w.Finish()
}

// SettleTime is the time after which, without faults, all have the outcome of the newest
// version, and serve: an election, what a primary before granted, a fenced node's lease.
const SettleTime = 7 * time.Second

// Finish is what the play has shown.
func (w *World) Finish() Result {
	for v := range w.puts {
		switch at, lived := w.first[v]; {
		case lived:
			w.res.Live++
			w.res.LiveAfter = append(w.res.LiveAfter, at-w.puts[v])
		case w.fates[v] == rollout.Withdrawn:
			w.res.Withdrawn++
		default:
			w.res.Overtaken++
		}
	}
	slices.Sort(w.res.LiveAfter)
	return w.res
}

func (w *World) calm() {
	clear(w.cuts)
	w.loss, w.twice, w.slow = 0, 0, 0
	for _, p := range w.nodes {
		p.boot()
	}
}

// settled judges that nobody is stuck.
func (w *World) settled() {
	if len(w.res.Violations) > 0 {
		return
	}
	for _, p := range w.nodes {
		switch v, fate := p.k.RolloutMachine().Newest(); {
		case p.frozen():
		case fate == rollout.Prepared:
			w.breaks("STUCK", "%s has %d as prepared", p.name, v)
		case v != w.maxFate():
			w.breaks("STUCK", "%s holds %d, the newest is %d", p.name, v, w.maxFate())
		case !p.gate.Allows(p.clock(), p.gate.Version):
			w.breaks("STUCK", "%s decides nothing: %+v at %v", p.name, p.gate, p.clock())
		}
	}
}

func (w *World) maxFate() (top uint32) {
	for v := range w.fates {
		top = max(top, v)
	}
	return top
}

// operators put versions, at times two at once, some of which a node refuses, and
// withdraw some.
func (w *World) operators(until time.Duration) {
	if w.now >= until {
		return
	}
	n := w.top + 1
	refused := ""
	if w.rng.IntN(5) == 0 {
		refused = w.any().name
	}
	confirm, within := 0, 0
	if w.rng.IntN(2) == 0 {
		confirm = 1 + w.rng.IntN(len(w.nodes))
	}
	if confirm > 0 || w.rng.IntN(3) == 0 {
		within = 1000 + w.rng.IntN(3000)
	}
	w.Put(w.any(), n, confirm, within, refused)
	if w.opt.RepeatOrders && w.rng.IntN(2) == 0 {
		w.again(n, func(p *Process) { w.Put(p, n, confirm, within, refused) })
	}
	switch w.rng.IntN(5) {
	case 0: // two at once
		w.Put(w.any(), n+1, 0, 0, "")
	case 1:
		p := w.any()
		w.after(w.upTo(300*ms), func() { w.Withdraw(p, n) })
	}
	w.after(200*ms+w.upTo(2500*ms), func() { w.operators(until) })
}

// again has an operator without an answer, or who mistrusts it, send the same orders once more.
func (w *World) again(n uint32, put func(p *Process)) {
	for range 3 {
		w.after(w.upTo(5*time.Second), func() { w.Withdraw(w.any(), n) })
		w.after(w.upTo(5*time.Second), func() { put(w.any()) })
	}
}

func (w *World) any() *Process { return w.nodes[w.rng.IntN(len(w.nodes))] }

// trouble brings one failure about, and the next one later.
func (w *World) trouble(until time.Duration) {
	if w.now >= until {
		return
	}
	p := w.any()
	if lead := w.primary(); lead != nil && w.rng.IntN(3) == 0 {
		p = lead
	}
	switch w.rng.IntN(7) {
	case 0, 1:
		w.res.Kills++
		p.kill()
		w.after(100*ms+w.upTo(3*time.Second), p.boot)
	case 2, 3:
		w.res.Freezes++
		p.freeze(100*ms + w.upTo(4*time.Second))
	case 4:
		w.res.Cuts++
		all, one := w.some(), []*Process{p}
		w.cut(one, all, true)
		w.after(200*ms+w.upTo(3*time.Second), func() { w.cut(one, all, false) })
	case 5:
		w.res.Cuts++
		all, one := w.some(), []*Process{p}
		w.cut(all, one, true)
		w.after(200*ms+w.upTo(3*time.Second), func() { w.cut(all, one, false) })
	case 6:
		w.res.Cuts++
		all, one := w.some(), w.some()
		w.cut(all, one, true)
		w.cut(one, all, true)
		w.after(200*ms+w.upTo(3*time.Second), func() { w.cut(all, one, false); w.cut(one, all, false) })
	}
	if w.rng.IntN(4) == 0 {
		w.slow = w.upTo(80 * ms)
	}
	w.after(50*ms+w.upTo(1500*ms), func() { w.trouble(until) })
}

// some are all processes, or about half.
func (w *World) some() []*Process {
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
