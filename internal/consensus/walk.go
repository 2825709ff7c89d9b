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
	var begin *state
	for seed := from; seed < from+uint64(count) && sum.Violation == ""; seed++ {
		if x == nil || len(x.cells) > 30000 {
			x = newExplorer(b)
			begin = x.first()
		}
		x.found = Exploration{}
		sum.Count++
		w := &walk{x: x, s: begin.clone(), rng: rand.New(rand.NewPCG(seed, 0xa9)), pair: pair}
		w.run(steps)
		sum.Steps += len(w.went)
		sum.Acked += x.found.Acked
		sum.Epochs += min(x.found.Epochs, 1)
		sum.DiskRollbacks += w.backs
		if sum.Violation = x.found.Violation; sum.Violation != "" {
			sum.Seed = seed
			for _, v := range w.went {
				sum.Trace = append(sum.Trace, x.say(v))
			}
		}
	}
	return sum
}

type walk struct {
	x       *explorer
	s       *state
	rng     *rand.Rand
	pair    PairFault
	out     uint16 // machines that don't run
	cut     map[int16]bool
	stalled uint16 // disks that sync nothing
	went    []move
	backs   int
}

func (s *state) clone() *state {
	n := *s
	n.cells, n.links, n.stray = slices.Clone(s.cells), slices.Clone(s.links), slices.Clone(s.stray)
	return &n
}

func (w *walk) run(steps int) {
	at := steps/8 + w.rng.IntN(steps/2)
	for i := 0; i < steps && w.x.found.Violation == ""; i++ {
		switch {
		case w.pair == OneRolledBack && i == at/2:
			w.saveOff()
		case w.pair == OneRolledBack && i >= at && w.backs == 0:
			w.putBack()
		case i == at && w.pair != NoPair && w.pair != OneRolledBack:
			w.lose()
		}
		if w.rng.IntN(30) == 0 {
			w.part()
		}
		if v, ok := w.draw(); ok {
			w.goes(v)
		}
	}
	w.out = 0
	w.mended()
}

// draw picks what goes on by itself, or now and then what an operator, time or a fault brings.
func (w *walk) draw() (move, bool) {
	var kinds [5][]move
	for _, v := range w.x.moves(w.s) {
		switch k := v.in.kind; {
		case w.out&(1<<v.at) != 0 || w.cut[v.link]:
		case k == sync && w.stalled&(1<<v.at) != 0:
		case v.fate != comes || k == die || k == wipe || k == saveOff || k == putBack:
			kinds[4] = append(kinds[4], v)
		case k == take || k == sync:
			kinds[0] = append(kinds[0], v)
		case k == put:
			kinds[1] = append(kinds[1], v)
		case k == get:
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
		return move{}, false
	}
	return from[w.rng.IntN(len(from))], true
}

func (w *walk) goes(v move) {
	w.went = append(w.went, v)
	w.s.pay(v)
	w.x.step(w.s, v)
}

// part cuts some machines off from the others for a while, both ways or one, and lets disks stall; or ends that.
func (w *walk) part() {
	w.cut, w.stalled = map[int16]bool{}, uint16(w.rng.Uint32()&w.rng.Uint32())
	way, n := w.rng.IntN(3), w.x.n
	side := w.rng.Uint32()
	if lead := w.x.primary(w.s); lead >= 0 && w.rng.IntN(2) == 0 {
		side = 1 << lead
	}
	if w.rng.IntN(4) == 0 {
		return
	}
	for i := range n * n {
		if a, b := side>>(i/n)&1, side>>(i%n)&1; a != b {
			w.cut[int16(i)] = way == 0 || uint32(way) == 1+a
		}
	}
}

// lose takes two machines away at once.
func (w *walk) lose() {
	a := w.rng.IntN(w.x.n)
	b := (a + 1 + w.rng.IntN(w.x.n-1)) % w.x.n
	for i, at := range []int{a, b} {
		in := input{kind: die}
		if w.pair == BothWiped || w.pair == OneWiped && i == 0 {
			in.kind = wipe
		} else {
			in.arg = uint32(w.rng.IntN(len(w.x.cells[w.s.cells[at]].cache) + 1))
		}
		if w.rng.IntN(2) == 0 || w.pair == BothKilled {
			w.out |= 1 << at // comes back when all is mended
		}
		v := move{at: uint8(at), in: in, loses: true, link: none}
		w.went = append(w.went, v)
		w.x.step(w.s, v)
	}
}

// saveOff takes a copy of each disk.
func (w *walk) saveOff() {
	for i := range w.s.cells {
		w.goesFree(move{at: uint8(i), in: input{kind: saveOff}, link: none})
	}
}

// putBack lets the first machine of which all others remember enough start on its copy, and kills another one.
func (w *walk) putBack() {
	first := w.rng.IntN(w.x.n)
	for i := range w.x.n {
		a := (first + i) % w.x.n
		if w.out&(1<<a) != 0 || !w.x.remembered(w.s, a) {
			continue
		}
		b := w.x.primary(w.s)
		if b < 0 || b == a || w.rng.IntN(4) == 0 {
			b = (a + 1 + w.rng.IntN(w.x.n-1)) % w.x.n
		}
		w.backs++
		w.goesFree(move{at: uint8(a), in: input{kind: putBack}, loses: true, link: none})
		w.out |= 1 << b
		w.goesFree(move{at: uint8(b), in: input{kind: die}, loses: true, link: none})
		return
	}
}

// goesFree goes a way that is none of the bounds'.
func (w *walk) goesFree(v move) {
	w.went = append(w.went, v)
	w.x.step(w.s, v)
}

const mendTicks = 240 // of 50 ms

// mended lets the ordinary happen until the machines answer a read.
func (w *walk) mended() {
	x, s := w.x, w.s
	for i, id := range s.cells { // without jitter two candidates could meet again and again
		c := x.cells[id].clone()
		c.lot.mixed = true
		s.cells[i] = x.cell(c)
	}
	for i := range mendTicks {
		if x.found.Violation != "" {
			return
		}
		if i%20 == 10 {
			x.read = 0
			for c := range s.cells {
				x.step(s, move{at: uint8(c), in: input{kind: get, arg: uint32(100 + i)}, link: none})
			}
		}
		x.settle(s, steady)
		if x.read == x.n {
			return
		}
	}
	x.fail("nothing is read when all is well again")
}
