package world

import (
	"slices"
	"time"

	"asterwell/internal/rollout"
)

// contact is a time that covers what is under way at the moment of a cut: syncs and answers.
const contact = 50 * ms

// cutOff cuts the primary off in one way.
type cutOff struct {
	name   string
	cut    func(w *World, p *Process) (side []*Process) // those that have no quorum any more
	inside func(w *World, p *Process)                   // after some seconds of it
}

func alone(w *World, p *Process) []*Process {
	w.apart([]*Process{p}, w.nodes)
	return []*Process{p}
}

func withHalf(w *World, p *Process) []*Process {
	side := append(w.nodes[5:8:8], p)
	w.apart(side, w.without(side...))
	return side
}

var cutOffs = []cutOff{
	{name: "from all", cut: alone},
	{name: "deaf", cut: func(w *World, p *Process) []*Process { w.cut(w.nodes, []*Process{p}, true); return []*Process{p} }},
	{name: "mute", cut: func(w *World, p *Process) []*Process { w.cut([]*Process{p}, w.nodes, true); return []*Process{p} }},
	{name: "from the core", cut: func(w *World, p *Process) []*Process { w.apart([]*Process{p}, w.nodes[:3]); return []*Process{p} }},
	{name: "with some of the rest", cut: withHalf},
	{name: "each of the core from the others", cut: func(w *World, _ *Process) []*Process { w.apart(w.nodes[:3], w.nodes[:3]); return w.nodes }},
	{name: "from all, and stands still", cut: alone, inside: func(_ *World, p *Process) { p.freeze(4 * time.Second) }},
	{name: "from all, and starts anew", cut: alone, inside: func(_ *World, p *Process) { p.kill(); p.boot() }},
	{name: "with some of the rest, and all start anew", cut: withHalf, inside: func(w *World, p *Process) {
		for _, n := range append(w.nodes[5:8:8], p) {
			n.kill()
			n.boot()
		}
	}},
}

// Partition is what a cut of 20 s has shown.
type Partition struct {
	Name           string
	Violations     []Violation
	RecoveredAfter time.Duration // from its end until all had the newest version
	Live           uint32        // the newest version that requests went by in it
}

// PartitionPrimary cuts the primary off for 20 s, in each way, at a moment after a version was put; operators
// on both sides put and withdraw, the same again and again. What an operator is told without a
// quorum breaks ALONE.
func PartitionPrimary(seed uint64, at time.Duration, bug rollout.Bug) (all []Partition) {
	for _, c := range cutOffs {
		all = append(all, c.play(stage(Options{Seed: seed, Bug: bug}, 0, 0), at))
	}
	return all
}

func (c cutOff) play(w *World, at time.Duration) Partition {
	p := w.primary()
	w.Put(w.nodes[4], 3, 0, 0, "")
	w.Run(at)
	side := c.cut(w, p)
	rest := w.without(side...)
	if len(rest) == 0 {
		rest = side
	}
	from, top := w.now, uint32(3)
	for d := 60 * ms; d < 600*ms; d += 60 * ms { // while it may still take itself for the primary
		w.after(d, func() { w.Withdraw(p, top+20); w.Put(p, top+1, 0, 0, "") })
	}
	for i := range 40 {
		if i == 12 && c.inside != nil {
			c.inside(w, p)
		}
		w.Withdraw(side[i%len(side)], top)
		w.Withdraw(side[i%len(side)], top+20) // which nobody keeps
		if i%8 == 5 {
			w.Withdraw(rest[i%len(rest)], top)
		}
		if i%4 == 1 {
			top++
			w.Put(rest[i%len(rest)], top, 0, 0, "")
		}
		w.Put(side[i%len(side)], top, 0, 0, "")
		w.Run(500 * ms)
	}
	r := Partition{Name: c.name, Live: w.newest}
	w.judgeAlone(side, from)
	r.RecoveredAfter = w.heal()
	r.Violations = w.res.Violations
	return r
}

// judgeAlone judges what processes without a quorum have said and done since a moment.
func (w *World) judgeAlone(side []*Process, from time.Duration) {
	in := func(name string) bool {
		return slices.ContainsFunc(side, func(p *Process) bool { return p.name == name })
	}
	for _, k := range w.res.Acknowledged {
		if in(k.Node) && k.At > from+contact {
			w.breaks("ALONE", "%s acknowledges %d, %v into the cut", k.Node, k.Version, k.At-from)
		}
	}
	for _, k := range w.res.WithdrawReplies {
		if in(k.Node) && k.At > from+contact && k.Outcome == rollout.OutcomeAbsent { // the others never change any more
			w.breaks("ALONE", "%s tells that %d is %v, %v into the cut", k.Node, k.Version, k.Outcome, k.At-from)
		}
	}
	longest := time.Duration(float64(rollout.Terms.Lease) * (1 + rollout.Terms.Drift)) // by the slowest clock
	for _, m := range w.res.Decisions {
		if in(m.Node) && m.At > from+longest {
			w.breaks("ALONE", "%s decides by %d, %v into the cut", m.Node, m.Version, m.At-from)
			return
		}
	}
}

// heal ends all that is wrong, and tells how long it took until all held the newest version.
func (w *World) heal() time.Duration {
	from := w.now
	w.calm()
	for end := w.now + SettleTime; w.now < end && !w.allHold(); {
		w.Run(10 * ms)
	}
	took := w.now - from
	w.Run(SettleTime)
	w.settled()
	return took
}

func (w *World) allHold() bool {
	return !slices.ContainsFunc(w.nodes, func(n *Process) bool { v, _ := n.k.RolloutMachine().Newest(); return v != w.maxFate() })
}

func (w *World) without(those ...*Process) []*Process {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *Process) bool { return slices.Contains(those, n) })
}

// apart cuts both ways between processes.
func (w *World) apart(one, all []*Process) {
	w.cut(one, all, true)
	w.cut(all, one, true)
}
