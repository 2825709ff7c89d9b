// Package world plays fault rules in simulated time: processes with their disks, links that
// are cut, a primary that is lost or doesn't know that it is not one any more, a tenant that
// is struck and others that must not be. What it checks is in rules.go, what may befall the
// processes in day.go.
package world

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
)

const (
	ms       = time.Millisecond
	tick     = 50 * ms
	gone     = 1300 * ms // without a way there: membership holds it for gone
	Longest  = time.Hour
	patience = 300 * ms // of a drawn request for its strike
)

// World is one day.
type World struct {
	rng   *rand.Rand
	now   time.Duration
	queue fsm.EventQueue
	order uint64
	bug   faultrules.Bug

	procs   []*Proc
	by      map[string]*Proc
	members []string
	cuts    map[[2]string]time.Duration
	held    *hold
	epoch   uint64
	primary string
	version uint32
	changed time.Duration // when a way was cut or mended, or another became the primary

	Rules
}

// Proc is a machine and the process on it.
type Proc struct {
	w       *World
	Name    string
	addr    string
	member  bool
	m       *faultrules.Machine
	judge   *faultrules.Judge
	start   time.Duration
	life    int
	booted  time.Duration
	up      bool
	blind   bool // it hears nothing of agreement: an old primary goes on
	unaware bool // it started after the last election, and agreement has told it nothing
	old     bool // of a version that doesn't put strikes on record
	thaws   time.Duration
	disk    []byte
	log     []faultrules.Entry // beside it
	synced  time.Duration      // when the last write will be: they come in their order
	Strikes int
	calls   map[uint64]func(faultrules.Answer)
	last    uint64
}

// New starts so many processes, the first of which have disks and the very first is primary.
func New(seed uint64, bug faultrules.Bug, nodes, members int) *World {
	w := &World{Rules: Rules{meant: map[uint32]bool{}, ended: map[uint32]bool{}}, rng: rand.New(rand.NewPCG(seed, 0xfa17)), bug: bug, by: map[string]*Proc{}, cuts: map[[2]string]time.Duration{}}
	for i := range nodes {
		p := &Proc{w: w, Name: fmt.Sprintf("n%d", i+1), addr: fmt.Sprintf("10.1.0.%d:7000", i+1), member: i < members}
		w.procs, w.by[p.addr] = append(w.procs, p), p
		if p.member {
			w.members = append(w.members, p.addr)
		}
	}
	for _, p := range w.procs {
		p.boot()
	}
	w.Lead(w.procs[0])
	return w
}

// Now is the day's time.
func (w *World) Now() time.Duration { return w.now }

// Procs are the processes.
func (w *World) Procs() []*Proc { return w.procs }

func (w *World) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, fsm.Event{At: w.now + d, Sequence: w.order, Run: do})
}

func (w *World) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

// Run lets time pass, unless a rule is broken.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].At <= end && w.Broken == "" {
		e := heap.Pop(&w.queue).(fsm.Event)
		w.now = e.At
		e.Run()
	}
	w.now = end
}

func (p *Proc) clock() fsm.Time { return time.Hour + p.w.now - p.start }

func (p *Proc) frozen() bool { return p.thaws > p.w.now }

func (p *Proc) boot() {
	p.up, p.thaws, p.blind, p.unaware = true, 0, false, !p.member && p.life > 0
	p.life++
	p.booted = p.w.now
	p.start, p.calls = p.w.now-time.Duration(p.w.rng.Int64N(int64(time.Hour))), map[uint64]func(faultrules.Answer){}
	var d *faultrules.Disk
	if p.disk != nil {
		d = new(faultrules.Disk)
		if err := cbor.Unmarshal(p.disk, d); err != nil {
			panic(err)
		}
	}
	p.judge = faultrules.NewJudge()
	p.m = faultrules.New(faultrules.Config{Self: p.addr, Name: p.Name, Life: p.number(), Seed: p.w.rng.Uint64(), Member: p.member, Longest: Longest, Bug: p.w.bug},
		p.judge, d, p.clock())
	life := p.life
	p.w.after(0, func() { p.tick(life) })
}

func (p *Proc) number() uint64 { return uint64(1000 + p.life) }

func (p *Proc) tick(life int) {
	if !p.up || p.life != life {
		return
	}
	p.input(func() faultrules.Out { return p.m.Tick(p.clock()) })
	next := tick
	if p.frozen() {
		next = p.thaws - p.w.now
	}
	p.w.after(next, func() { p.tick(life) })
}

// input gives something to a process once it has thawed.
func (p *Proc) input(do func() faultrules.Out) {
	if !p.up {
		return
	}
	if life := p.life; p.frozen() {
		p.w.after(p.thaws-p.w.now, func() {
			if p.life == life {
				p.input(do)
			}
		})
		return
	}
	p.see()
	p.carry(do())
}

// see tells a process what membership and agreement know. Its own word goes first.
func (p *Proc) see() {
	w := p.w
	var nodes []faultrules.Node
	for _, o := range w.procs {
		if o.up && !w.apart(p, o, gone) {
			nodes = append(nodes, faultrules.Node{Addr: o.addr, Life: o.number()})
		}
	}
	p.m.Nodes(nodes)
	if leader := w.by[w.primary]; !p.blind && !p.unaware && (p == leader || !w.apart(p, leader, 0)) {
		p.m.Place(faultrules.Place{N: w.epoch, Primary: w.primary, Leads: p == leader, Members: w.members})
	}
}

func (p *Proc) carry(out faultrules.Out) {
	w, life := p.w, p.life
	if out.Write != nil {
		data, err := cbor.Marshal(out.Write.Disk)
		if err != nil {
			panic(err)
		}
		seq, notes := out.Write.Seq, out.Write.Notes
		p.synced = max(p.synced, w.now+2*ms+w.upTo(8*ms))
		w.after(p.synced-w.now, func() {
			if p.up && p.life == life {
				p.disk, p.log = data, append(p.log, notes...)
				p.input(func() faultrules.Out { return p.m.Written(p.clock(), seq) })
			}
		})
	}
	for _, s := range out.Send {
		w.Messages++
		to := w.by[s.To]
		if to == nil {
			panic("nobody at " + s.To)
		}
		reach := to.life
		d := 200*time.Microsecond + w.upTo(ms)
		if w.rng.IntN(50) == 0 {
			d += w.upTo(300 * ms)
		}
		msg := s.Msg
		if a, ok := msg.(faultrules.Ask); ok && p.old {
			a.Form = 0
			msg = a
		}
		deliver := func() {
			if to.life == reach && !w.severed(p, to) {
				to.input(func() faultrules.Out { return to.m.Take(to.clock(), p.addr, msg) })
			}
		}
		if h := w.held; h != nil && h.from == p && h.to == to && h.fits(msg) {
			h.ice = append(h.ice, deliver)
			continue
		}
		w.after(d, deliver)
	}
	for _, r := range out.Answers {
		if done := p.calls[r.ID]; done != nil {
			delete(p.calls, r.ID)
			done(r.Answer)
		}
	}
}

func (w *World) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d))) }

func (w *World) severed(from, to *Proc) bool {
	_, cut := w.cuts[[2]string{from.addr, to.addr}]
	return cut
}

// apart tells whether two have had no way both ways for so long.
func (w *World) apart(a, b *Proc, so time.Duration) bool {
	for _, link := range [][2]string{{a.addr, b.addr}, {b.addr, a.addr}} {
		if since, cut := w.cuts[link]; cut && w.now-since >= so {
			return true
		}
	}
	return false
}

// Cut cuts a process off from the others, so that it hears nothing of agreement either.
func (w *World) Cut(p *Proc) {
	for _, o := range w.procs {
		if o != p {
			w.cuts[[2]string{p.addr, o.addr}], w.cuts[[2]string{o.addr, p.addr}] = w.now, w.now
		}
	}
	p.blind, w.changed = true, w.now
}

// hold keeps messages from one to another, until they are released.
type hold struct {
	from, to *Proc
	fits     func(msg any) bool
	ice      []func()
}

func (w *World) hold(from, to *Proc, fits func(msg any) bool) {
	w.held = &hold{from: from, to: to, fits: fits}
}

func (w *World) release() {
	for _, do := range w.held.ice {
		w.after(ms, do)
	}
	w.held = nil
}

// Mend ends all cuts.
func (w *World) Mend() {
	clear(w.cuts)
	w.changed = w.now
	for _, p := range w.procs {
		p.blind = false
	}
}

// Kill ends a process; Boot starts it anew, Wipe without its disk.
func (w *World) Kill(p *Proc) { p.up = false }
func (w *World) Boot(p *Proc) {
	if !p.up {
		p.boot()
	}
}

// Freeze lets a process stand still.
func (w *World) Freeze(p *Proc, d time.Duration) { p.thaws = w.now + d }

// Lead makes a process the primary of the next epoch.
func (w *World) Lead(p *Proc) {
	w.epoch, w.primary, w.changed = w.epoch+1, p.addr, w.now
	for _, o := range w.procs {
		o.unaware = false
	}
}

// Leader is the primary.
func (w *World) Leader() *Proc { return w.by[w.primary] }
