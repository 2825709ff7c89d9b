package world

import (
	"slices"
	"time"

	"asterwell/internal/rollout"
)

// cutSettleTime covers what is in progress at the moment of a cut: syncs and answers.
const cutSettleTime = 50 * ms

// partitionCase cuts the primary off in one way.
type partitionCase struct {
	name   string
	cut    func(w *World, p *Process) (side []*Process) // returns the processes without a quorum
	inside func(w *World, p *Process)                   // called after some seconds of the cut
}

func isolate(w *World, p *Process) []*Process {
	w.separate([]*Process{p}, w.nodes)
	return []*Process{p}
}

func isolateWithThree(w *World, p *Process) []*Process {
	side := append(w.nodes[5:8:8], p)
	w.separate(side, w.except(side...))
	return side
}

var partitionCases = []partitionCase{
	{name: "from all", cut: isolate},
	{name: "deaf", cut: func(w *World, p *Process) []*Process {
		w.setBlocked(w.nodes, []*Process{p}, true)
		return []*Process{p}
	}},
	{name: "mute", cut: func(w *World, p *Process) []*Process {
		w.setBlocked([]*Process{p}, w.nodes, true)
		return []*Process{p}
	}},
	{name: "from the core", cut: func(w *World, p *Process) []*Process { w.separate([]*Process{p}, w.nodes[:3]); return []*Process{p} }},
	{name: "with some of the rest", cut: isolateWithThree},
	{name: "each of the core from the others", cut: func(w *World, _ *Process) []*Process { w.separate(w.nodes[:3], w.nodes[:3]); return w.nodes }},
	{name: "from all, and stands still", cut: isolate, inside: func(_ *World, p *Process) { p.freeze(4 * time.Second) }},
	{name: "from all, and starts anew", cut: isolate, inside: func(_ *World, p *Process) { p.kill(); p.start() }},
	{name: "with some of the rest, and all start anew", cut: isolateWithThree, inside: func(w *World, p *Process) {
		for _, n := range append(w.nodes[5:8:8], p) {
			n.kill()
			n.start()
		}
	}},
}

// Partition is the result of a cut of 20 s.
type Partition struct {
	Name           string
	Violations     []Violation
	RecoveredAfter time.Duration // from its end until all processes hold the newest version
	Live           uint32        // the newest version that requests were decided by during the cut
}

// PartitionPrimary cuts the primary off for 20 s, in each way, at a given time after a version was put,
// while operators on both sides put and withdraw versions repeatedly. What they are told on the side
// without a quorum must not violate ALONE.
func PartitionPrimary(seed uint64, at time.Duration, bug rollout.Bug) (all []Partition) {
	for _, c := range partitionCases {
		all = append(all, c.run(startTogether(Options{Seed: seed, Bug: bug}, 0, 0), at))
	}
	return all
}

func (c partitionCase) run(w *World, at time.Duration) Partition {
	p := w.primary()
	w.Put(w.nodes[4], 3, 0, 0, "")
	w.Run(at)
	side := c.cut(w, p)
	rest := w.except(side...)
	if len(rest) == 0 {
		rest = side
	}
	from, top := w.now, uint32(3)
	for d := 60 * ms; d < 600*ms; d += 60 * ms { // while it may still consider itself the primary
		w.schedule(d, func() { w.Withdraw(p, top+20); w.Put(p, top+1, 0, 0, "") })
	}
	for i := range 40 {
		if i == 12 && c.inside != nil {
			c.inside(w, p)
		}
		w.Withdraw(side[i%len(side)], top)
		w.Withdraw(side[i%len(side)], top+20) // which does not exist
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
	r := Partition{Name: c.name, Live: w.newestDecided}
	w.checkWithoutQuorum(side, from)
	r.RecoveredAfter = w.recover()
	r.Violations = w.result.Violations
	return r
}

// checkWithoutQuorum checks what processes without a quorum have replied and decided since a moment.
func (w *World) checkWithoutQuorum(side []*Process, from time.Duration) {
	within := func(name string) bool {
		return slices.ContainsFunc(side, func(p *Process) bool { return p.name == name })
	}
	for _, reply := range w.result.Acknowledged {
		if within(reply.Node) && reply.At > from+cutSettleTime {
			w.violate("ALONE", "%s acknowledges %d, %v into the cut", reply.Node, reply.Version, reply.At-from)
		}
	}
	for _, reply := range w.result.WithdrawReplies {
		// The other outcomes are final.
		if within(reply.Node) && reply.At > from+cutSettleTime && reply.Outcome == rollout.OutcomeAbsent {
			w.violate("ALONE", "%s reports %d as %v, %v into the cut", reply.Node, reply.Version, reply.Outcome, reply.At-from)
		}
	}
	longest := time.Duration(float64(rollout.Terms.Lease) * (1 + rollout.Terms.Drift)) // by the slowest clock
	for _, m := range w.result.Decisions {
		if within(m.Node) && m.At > from+longest {
			w.violate("ALONE", "%s decides by %d, %v into the cut", m.Node, m.Version, m.At-from)
			return
		}
	}
}

// recover ends all faults, and returns the time until all processes hold the newest version.
func (w *World) recover() time.Duration {
	from := w.now
	w.endFaults()
	for end := w.now + SettleTime; w.now < end && !w.allHoldNewest(); {
		w.Run(10 * ms)
	}
	duration := w.now - from
	w.Run(SettleTime)
	w.checkSettled()
	return duration
}

func (w *World) allHoldNewest() bool {
	return !slices.ContainsFunc(w.nodes, func(n *Process) bool { v, _ := n.control.RolloutMachine().Newest(); return v != w.newestVersion() })
}

func (w *World) except(those ...*Process) []*Process {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *Process) bool { return slices.Contains(those, n) })
}

// separate cuts the links between processes in both directions.
func (w *World) separate(side, others []*Process) {
	w.setBlocked(side, others, true)
	w.setBlocked(others, side, true)
}
