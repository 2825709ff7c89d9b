package systemsim

import (
	"cmp"
	"maps"
	"reflect"
	"slices"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"golang.org/x/sys/unix"

	"asterwell/internal/controlplane"
)

// gauge measures what processes send and cost, and carries messages through links that
// have a rate. A world without one is as it was.
type gauge struct {
	w        *world
	since    time.Duration
	coreRate float64              // bytes a second of the core's links
	kinds    map[reflect.Type]int // bytes

	force map[uint32]map[*proc]bool // versions acknowledged, and who lacks them
	open  map[string]map[*proc]bool // servers that may leave, and who still sends to them
	turns Times                     // acknowledged to in force, each process
	alls  Times                     // the same, the last process
	drain Times                     // may leave to unused, the last process
}

// load is one process's.
type load struct {
	out, in, sent int
	cpu           time.Duration           // of its steps and of cbor, real
	outTill       map[*proc]time.Duration // until when its link is taken by what goes to that one
	inTill        map[*proc]time.Duration
}

// framing is what a message costs on the wire above its cbor: the frame's head, and
// its part of packets' heads.
const framing = 40

// Links of the grown sites, in bytes a second.
const (
	coreLink = 100e6 / 8
	edgeLink = 2e6 / 8
)

func newGauge(w *world) *gauge {
	g := &gauge{w: w, coreRate: coreLink, force: map[uint32]map[*proc]bool{}, open: map[string]map[*proc]bool{}}
	for _, p := range w.procs {
		p.load = &load{outTill: map[*proc]time.Duration{}, inTill: map[*proc]time.Duration{}}
	}
	w.gauge = g
	g.begin()
	return g
}

// begin begins a measured time.
func (g *gauge) begin() {
	g.since, g.kinds = g.w.now, map[reflect.Type]int{}
	for _, p := range g.w.procs {
		p.load.out, p.load.in, p.load.sent, p.load.cpu = 0, 0, 0, 0
	}
}

// spent is the processor time that this thread has had: other programs on the machine
// don't count, as they would by the clock.
func spent() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// step measures a process's step.
func (g *gauge) step(p *proc, do func() controlplane.Output) controlplane.Output {
	if g == nil {
		return do()
	}
	began := spent()
	out := do()
	p.load.cpu += spent() - began
	return out
}

// pass puts a message on its way: it returns what arrives, and what the links add.
func (g *gauge) pass(from, to *proc, msg any) (any, time.Duration) {
	began := spent()
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	packed := spent()
	got := reflect.New(reflect.TypeOf(msg))
	if err := cbor.Unmarshal(data, got.Interface()); err != nil {
		panic(err)
	}
	from.load.cpu += packed - began
	to.load.cpu += spent() - packed
	size := len(data) + framing
	from.load.out += size
	from.load.sent++
	to.load.in += size
	g.kinds[reflect.TypeOf(msg)] += size
	at := through(from.load.outTill, to, g.w.now, size, g.rate(from))
	at = through(to.load.inTill, from, at, size, g.rate(to))
	return got.Elem().Interface(), at - g.w.now
}

func (g *gauge) rate(p *proc) float64 {
	if p.core {
		return g.coreRate
	}
	return edgeLink
}

// through is when the last byte is through a machine's link, which the connections that
// have something on it share evenly.
func through(till map[*proc]time.Duration, peer *proc, now time.Duration, size int, rate float64) time.Duration {
	share := 1
	for p, t := range till {
		if t <= now {
			delete(till, p)
		} else if p != peer {
			share++
		}
	}
	till[peer] = max(till[peer], now) + time.Duration(float64(size*share)/rate*float64(time.Second))
	return till[peer]
}

// acked: whoever lacks the version has from now on.
func (g *gauge) acked(o *order) {
	if g == nil {
		return
	}
	lack := map[*proc]bool{}
	for _, p := range g.w.procs {
		if p.version >= o.version {
			g.turns.add(0)
		} else {
			lack[p] = true
		}
	}
	g.force[o.version] = lack
	g.whole(o.version)
}

func (g *gauge) adopted(p *proc) {
	if g == nil {
		return
	}
	for _, v := range slices.Sorted(maps.Keys(g.force)) {
		if v <= p.version && g.force[v][p] {
			delete(g.force[v], p)
			g.turns.add(g.w.now - g.w.orders[v].at)
			g.whole(v)
		}
	}
}

func (g *gauge) whole(v uint32) {
	if len(g.force[v]) == 0 {
		g.alls.add(g.w.now - g.w.orders[v].at)
		delete(g.force, v)
	}
}

// leaves: a server has been let go.
func (g *gauge) leaves(s *server) {
	if g == nil {
		return
	}
	use := map[*proc]bool{}
	for _, p := range g.w.procs {
		if p.uses(s.id) {
			use[p] = true
		}
	}
	g.open[s.id] = use
	g.unused(s)
}

// listed: a process has another list.
func (g *gauge) listed(p *proc) {
	if g == nil {
		return
	}
	for _, id := range slices.Sorted(maps.Keys(g.open)) {
		if g.open[id][p] && !p.uses(id) {
			delete(g.open[id], p)
			g.unused(g.w.byID[id])
		}
	}
}

func (g *gauge) unused(s *server) {
	if len(g.open[s.id]) == 0 {
		g.drain.add(g.w.now - s.ackedAt)
		delete(g.open, s.id)
	}
}

// uses tells whether a process may send to a server.
func (p *proc) uses(id string) bool { return p.serves[p.w.byID[id]] }

// Rates are what one process sends and costs, a second.
type Rates struct {
	Out, OutMost, EdgeMost, InMost float64 // bytes: mean, most, most of those without a disk; that come in there
	Sent                           float64 // messages, mean
	CPU, CPUMost                   float64 // share of a core
	Kinds                          string  // the messages that most of the bytes are
}

// rates are those since begin.
func (g *gauge) rates() Rates {
	var r Rates
	span, all := (g.w.now - g.since).Seconds(), 0.0
	for _, p := range g.w.procs {
		out, in, cpu := float64(p.load.out)/span, float64(p.load.in)/span, p.load.cpu.Seconds()/span
		all += out
		r.Sent += float64(p.load.sent) / span
		r.CPU += cpu
		r.OutMost, r.CPUMost = max(r.OutMost, out), max(r.CPUMost, cpu)
		if !p.core {
			r.EdgeMost, r.InMost = max(r.EdgeMost, out), max(r.InMost, in)
		}
	}
	n := float64(len(g.w.procs))
	r.Out, r.Sent, r.CPU = all/n, r.Sent/n, r.CPU/n
	kinds := slices.SortedFunc(maps.Keys(g.kinds), func(a, b reflect.Type) int {
		return cmp.Or(cmp.Compare(g.kinds[b], g.kinds[a]), cmp.Compare(a.String(), b.String()))
	})
	var words []string
	for _, k := range kinds[:min(3, len(kinds))] {
		words = append(words, k.String()+" "+percent(float64(g.kinds[k])/span/max(all, 1)))
	}
	r.Kinds = strings.Join(words, ", ")
	return r
}
