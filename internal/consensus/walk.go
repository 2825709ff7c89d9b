package consensus

import (
	"math/rand/v2"
	"slices"
)

// RandomWalks is the result of random schedules.
type RandomWalks struct {
	Count, Steps  int
	Epochs        int // schedules in which another primary served
	Acked         int // puts acknowledged
	DiskRollbacks int // disks restored to an older state
	Violation     string
	Seed          uint64 // of the schedule with the violation
	Trace         []string
}

// PairFault is how two machines fail at the same moment.
type PairFault uint8

// The pair faults.
const (
	NoPair     PairFault = iota
	BothKilled           // until the end of the schedule; their disks are kept
	OneWiped
	BothWiped
	// one's disk is restored from a copy, and another one is killed as above; see ModelBounds.DiskRollbacks
	OneRolledBack
)

// Walk runs random schedules of so many steps within bounds, and in each lets two machines fail at
// a random moment. Then all faults end, and the cluster must still have what it acknowledged.
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
	stopped       uint16 // a bit for each machine that doesn't run
	cutLinks      map[int16]bool
	stalled       uint16 // a bit for each disk that doesn't sync
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

// drawTransition picks a delivery or a sync, or now and then a call, a timeout or a fault.
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

// partition cuts some machines off from the others for a while, in both directions or one, and lets
// disks stall; or it ends that.
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

// losePair lets two machines fail at once.
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
			w.stopped |= 1 << at // comes back when all faults end
		}
		v := transition{node: uint8(at), input: in, dropsMessages: true, link: noLink}
		w.history = append(w.history, v)
		w.explorer.step(w.state, v)
	}
}

// copyDisks takes a copy of each disk.
func (w *randomWalk) copyDisks() {
	for i := range w.state.nodes {
		w.applyFree(transition{node: uint8(i), input: input{kind: copyDisk}, link: noLink})
	}
}

// rollbackOneDisk restarts a machine, whose latest token all others know, on its copy, and kills
// another one.
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

// applyFree applies a transition that uses up no bounds.
func (w *randomWalk) applyFree(v transition) {
	w.history = append(w.history, v)
	w.explorer.step(w.state, v)
}

const recoveryTicks = 240 // of 50 ms

// checkRecovery runs without faults until all machines have answered a read.
func (w *randomWalk) checkRecovery() {
	x, s := w.explorer, w.state
	for i, id := range s.nodes { // without jitter two candidates could collide again and again
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
	x.fail("reads are not answered after all faults have ended")
}
