package consensus

import (
	"math/rand/v2"
	"slices"
)

// Walks is what drawn schedules came to.
type RandomWalks struct {
	Count, Steps  int
	Epochs        int // schedules in which another primary served
	Acked         int // puts acknowledged
	DiskRollbacks int // disks put back to an older state
	Violation     string
	Seed          uint64 // that broke
	Trace         []string
}

// Pair is how two machines are lost at one moment.
type PairFault uint8

// The pairs.
const (
	NoPair     PairFault = iota
	BothKilled           // for the rest of the schedule; their disks are kept
	OneWiped
	BothWiped
	OneRolledBack // one's disk is put back to a copy, and another one is killed as above; see Bounds.Backs
)

// Walk draws schedules of so many steps within bounds, and loses two machines in each at a
// drawn moment. Then all is mended, and the core has to give what was acknowledged.
func Walk(b ModelBounds, pair PairFault, from uint64, count, steps int) RandomWalks {
	var sum RandomWalks
	var x *explorer
	var begin *modelState
	for seed := from; seed < from+uint64(count) && sum.Violation == ""; seed++ {
		if x == nil || len(x.nodes) > 30000 {
			x = newExplorer(b)
			begin = x.initialState()
		}
		x.result = Exploration{}
		sum.Count++
		w := &randomWalk{explorer: x, state: begin.clone(), rng: rand.New(rand.NewPCG(seed, 0xa9)), pairFault: pair}
		w.run(steps)
		sum.Steps += len(w.history)
		sum.Acked += x.result.Acked
		sum.Epochs += min(x.result.Epochs, 1)
		sum.DiskRollbacks += w.diskRollbacks
		if sum.Violation = x.result.Violation; sum.Violation != "" {
			sum.Seed = seed
			for _, v := range w.history {
				sum.Trace = append(sum.Trace, x.describe(v))
			}
		}
	}
	return sum
}

type randomWalk struct {
	explorer      *explorer
	state         *modelState
	rng           *rand.Rand
	pairFault     PairFault
	stopped       uint16 // machines that don't run
	cutLinks      map[int16]bool
	stalled       uint16 // disks that sync nothing
	history       []transition
	diskRollbacks int
}

func (s *modelState) clone() *modelState {
	n := *s
	n.nodes, n.links, n.delayed = slices.Clone(s.nodes), slices.Clone(s.links), slices.Clone(s.delayed)
	return &n
}

func (w *randomWalk) run(steps int) {
	at := steps/8 + w.rng.IntN(steps/2)
	for i := 0; i < steps && w.explorer.result.Violation == ""; i++ {
		switch {
		case w.pairFault == OneRolledBack && i == at/2:
			w.copyDisks()
		case w.pairFault == OneRolledBack && i >= at && w.diskRollbacks == 0:
			w.rollbackOneDisk()
		case i == at && w.pairFault != NoPair && w.pairFault != OneRolledBack:
			w.losePair()
		}
		if w.rng.IntN(30) == 0 {
			w.partition()
		}
		if v, ok := w.drawTransition(); ok {
			w.spendAndApply(v)
		}
	}
	w.stopped = 0
	w.checkRecovery()
}

// draw picks what goes on by itself, or now and then what an operator, time or a fault brings.
func (w *randomWalk) drawTransition() (transition, bool) {
	var kinds [5][]transition
	for _, v := range w.explorer.transitions(w.state) {
		switch k := v.input.kind; {
		case w.stopped&(1<<v.node) != 0 || w.cutLinks[v.link]:
		case k == sync && w.stalled&(1<<v.node) != 0:
		case v.fate != delivered || k == crash || k == wipe || k == copyDisk || k == rollbackDisk:
			kinds[4] = append(kinds[4], v)
		case k == receive || k == sync:
			kinds[0] = append(kinds[0], v)
		case k == put:
			kinds[1] = append(kinds[1], v)
		case k == read:
			kinds[2] = append(kinds[2], v)
		default:
			kinds[3] = append(kinds[3], v)
		}
	}
	from := kinds[0]
	if len(from) == 0 || w.rng.IntN(5) == 0 {
		from = kinds[[]int{1, 1, 2, 3, 3, 3, 3, 4}[w.rng.IntN(8)]]
	}
	if len(from) == 0 {
		return transition{}, false
	}
	return from[w.rng.IntN(len(from))], true
}

func (w *randomWalk) spendAndApply(v transition) {
	w.history = append(w.history, v)
	w.state.spend(v)
	w.explorer.step(w.state, v)
}

// part cuts some machines off from the others for a while, both ways or one, and lets disks stall; or ends that.
func (w *randomWalk) partition() {
	w.cutLinks, w.stalled = map[int16]bool{}, uint16(w.rng.Uint32()&w.rng.Uint32())
	way, n := w.rng.IntN(3), w.explorer.nodeCount
	side := w.rng.Uint32()
	if lead := w.explorer.primaryNode(w.state); lead >= 0 && w.rng.IntN(2) == 0 {
		side = 1 << lead
	}
	if w.rng.IntN(4) == 0 {
		return
	}
	for i := range n * n {
		if a, b := side>>(i/n)&1, side>>(i%n)&1; a != b {
			w.cutLinks[int16(i)] = way == 0 || uint32(way) == 1+a
		}
	}
}

// lose takes two machines away at once.
func (w *randomWalk) losePair() {
	a := w.rng.IntN(w.explorer.nodeCount)
	b := (a + 1 + w.rng.IntN(w.explorer.nodeCount-1)) % w.explorer.nodeCount
	for i, at := range []int{a, b} {
		in := input{kind: crash}
		if w.pairFault == BothWiped || w.pairFault == OneWiped && i == 0 {
			in.kind = wipe
		} else {
			in.arg = uint32(w.rng.IntN(len(w.explorer.nodes[w.state.nodes[at]].unsynced) + 1))
		}
		if w.rng.IntN(2) == 0 || w.pairFault == BothKilled {
			w.stopped |= 1 << at // comes back when all is mended
		}
		v := transition{node: uint8(at), input: in, dropsMessages: true, link: noLink}
		w.history = append(w.history, v)
		w.explorer.step(w.state, v)
	}
}

// saveOff takes a copy of each disk.
func (w *randomWalk) copyDisks() {
	for i := range w.state.nodes {
		w.applyFree(transition{node: uint8(i), input: input{kind: copyDisk}, link: noLink})
	}
}

// putBack lets the first machine of which all others remember enough start on its copy, and kills another one.
func (w *randomWalk) rollbackOneDisk() {
	first := w.rng.IntN(w.explorer.nodeCount)
	for i := range w.explorer.nodeCount {
		a := (first + i) % w.explorer.nodeCount
		if w.stopped&(1<<a) != 0 || !w.explorer.rollbackDetectable(w.state, a) {
			continue
		}
		b := w.explorer.primaryNode(w.state)
		if b < 0 || b == a || w.rng.IntN(4) == 0 {
			b = (a + 1 + w.rng.IntN(w.explorer.nodeCount-1)) % w.explorer.nodeCount
		}
		w.diskRollbacks++
		w.applyFree(transition{node: uint8(a), input: input{kind: rollbackDisk}, dropsMessages: true, link: noLink})
		w.stopped |= 1 << b
		w.applyFree(transition{node: uint8(b), input: input{kind: crash}, dropsMessages: true, link: noLink})
		return
	}
}

// goesFree goes a way that is none of the bounds'.
func (w *randomWalk) applyFree(v transition) {
	w.history = append(w.history, v)
	w.explorer.step(w.state, v)
}

const recoveryTicks = 240 // of 50 ms

// mended lets the ordinary happen until the machines answer a read.
func (w *randomWalk) checkRecovery() {
	x, s := w.explorer, w.state
	for i, id := range s.nodes { // without jitter two candidates could meet again and again
		c := x.nodes[id].clone()
		c.random.mixed = true
		s.nodes[i] = x.nodeID(c)
	}
	for i := range recoveryTicks {
		if x.result.Violation != "" {
			return
		}
		if i%20 == 10 {
			x.readsAnswered = 0
			for c := range s.nodes {
				x.step(s, transition{node: uint8(c), input: input{kind: read, arg: uint32(100 + i)}, link: noLink})
			}
		}
		x.settleAll(s, tick)
		if x.readsAnswered == x.nodeCount {
			return
		}
	}
	x.fail("nothing is read when all is well again")
}
