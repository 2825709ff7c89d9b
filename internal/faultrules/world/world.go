// Package world simulates fault rules in virtual time: processes with disks, cut links, a primary
// that fails or doesn't know that it has been replaced, a tenant that rules strike and another that
// they must not. The checked invariants are in rules.go, the injected faults in day.go.
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
	ms             = time.Millisecond
	tickInterval   = 50 * ms
	failureTimeout = 1300 * ms // after which membership considers an unreachable process gone
	Longest        = time.Hour
	strikeTimeout  = 300 * ms // how long a selected request waits for its strike
)

// World is one simulation.
type World struct {
	rng           *rand.Rand
	now           time.Duration
	queue         fsm.EventQueue
	eventSequence uint64
	bug           faultrules.Bug

	procs             []*Proc
	byAddr            map[string]*Proc
	members           []string
	cuts              map[[2]string]time.Duration
	heldLink          *heldLink
	epoch             uint64
	primary           string
	version           uint32
	topologyChangedAt time.Duration // last change of a link or of the primary

	Rules
}

// Proc is a simulated process with its disk.
type Proc struct {
	w              *World
	Name           string
	addr           string
	member         bool
	m              *faultrules.Machine
	judge          *faultrules.Judge
	start          time.Duration
	life           int
	booted         time.Duration
	up             bool
	consensusBlind bool // gets no consensus updates: an old primary carries on
	epochUnknown   bool // started after the last election and does not know its result
	noRecording    bool // runs a software version that doesn't record strikes
	frozenUntil    time.Duration
	disk           []byte
	log            []faultrules.Entry // strike log, stored beside disk
	synced         time.Duration      // when the last write completes: writes complete in order
	Strikes        int
	calls          map[uint64]func(faultrules.Answer)
	lastCall       uint64
}

// New starts a simulation. The first processes are members with disks, and the first is the primary.
func New(seed uint64, bug faultrules.Bug, nodes, members int) *World {
	w := &World{Rules: Rules{stopAllowed: map[uint32]bool{}, ackedStops: map[uint32]bool{}}, rng: rand.New(rand.NewPCG(seed, 0xfa17)), bug: bug, byAddr: map[string]*Proc{}, cuts: map[[2]string]time.Duration{}}
	for i := range nodes {
		p := &Proc{w: w, Name: fmt.Sprintf("n%d", i+1), addr: fmt.Sprintf("10.1.0.%d:7000", i+1), member: i < members}
		w.procs, w.byAddr[p.addr] = append(w.procs, p), p
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

// Now returns the simulated time since the start.
func (w *World) Now() time.Duration { return w.now }

// Procs returns all processes.
func (w *World) Procs() []*Proc { return w.procs }

func (w *World) after(d time.Duration, do func()) {
	w.eventSequence++
	heap.Push(&w.queue, fsm.Event{At: w.now + d, Sequence: w.eventSequence, Run: do})
}

func (w *World) every(d time.Duration, do func()) {
	w.after(d, func() { do(); w.every(d, do) })
}

// Run advances the time by d. It stops processing events at the first violation.
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

func (p *Proc) frozen() bool { return p.frozenUntil > p.w.now }

func (p *Proc) boot() {
	p.up, p.frozenUntil, p.consensusBlind, p.epochUnknown = true, 0, false, !p.member && p.life > 0
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
	p.m = faultrules.New(faultrules.Config{Self: p.addr, Name: p.Name, Life: p.incarnation(), Seed: p.w.rng.Uint64(), Member: p.member, Longest: Longest, Bug: p.w.bug},
		p.judge, d, p.clock())
	life := p.life
	p.w.after(0, func() { p.tick(life) })
}

func (p *Proc) incarnation() uint64 { return uint64(1000 + p.life) }

func (p *Proc) tick(life int) {
	if !p.up || p.life != life {
		return
	}
	p.input(func() faultrules.Out { return p.m.Tick(p.clock()) })
	next := tickInterval
	if p.frozen() {
		next = p.frozenUntil - p.w.now
	}
	p.w.after(next, func() { p.tick(life) })
}

// input runs a step of a process, or defers it while the process is frozen.
func (p *Proc) input(do func() faultrules.Out) {
	if !p.up {
		return
	}
	if life := p.life; p.frozen() {
		p.w.after(p.frozenUntil-p.w.now, func() {
			if p.life == life {
				p.input(do)
			}
		})
		return
	}
	p.updateViews()
	p.perform(do())
}

// updateViews passes the current views of membership and consensus to a process.
func (p *Proc) updateViews() {
	w := p.w
	var nodes []faultrules.Node
	for _, o := range w.procs {
		if o.up && !w.disconnected(p, o, failureTimeout) {
			nodes = append(nodes, faultrules.Node{Addr: o.addr, Life: o.incarnation()})
		}
	}
	p.m.Nodes(nodes)
	if leader := w.byAddr[w.primary]; !p.consensusBlind && !p.epochUnknown && (p == leader || !w.disconnected(p, leader, 0)) {
		p.m.Place(faultrules.Place{N: w.epoch, Primary: w.primary, Leads: p == leader, Members: w.members})
	}
}

// perform carries out the actions that a machine asked for.
func (p *Proc) perform(out faultrules.Out) {
	w, life := p.w, p.life
	if out.Write != nil {
		data, err := cbor.Marshal(out.Write.Disk)
		if err != nil {
			panic(err)
		}
		seq, notes := out.Write.Seq, out.Write.Notes
		p.synced = max(p.synced, w.now+2*ms+w.randomDuration(8*ms))
		w.after(p.synced-w.now, func() {
			if p.up && p.life == life {
				p.disk, p.log = data, append(p.log, notes...)
				p.input(func() faultrules.Out { return p.m.Written(p.clock(), seq) })
			}
		})
	}
	for _, s := range out.Send {
		w.Messages++
		to := w.byAddr[s.To]
		if to == nil {
			panic("nobody at " + s.To)
		}
		reach := to.life
		d := 200*time.Microsecond + w.randomDuration(ms)
		if w.rng.IntN(50) == 0 {
			d += w.randomDuration(300 * ms)
		}
		msg := s.Msg
		if a, ok := msg.(faultrules.Ask); ok && p.noRecording {
			a.Form = 0
			msg = a
		}
		deliver := func() {
			if to.life == reach && !w.linkCut(p, to) {
				to.input(func() faultrules.Out { return to.m.Take(to.clock(), p.addr, msg) })
			}
		}
		if h := w.heldLink; h != nil && h.from == p && h.to == to && h.matches(msg) {
			h.messages = append(h.messages, deliver)
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

func (w *World) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d)))
}

func (w *World) linkCut(from, to *Proc) bool {
	_, cut := w.cuts[[2]string{from.addr, to.addr}]
	return cut
}

// disconnected reports whether a link between two processes has been cut, in either direction, for at
// least so long.
func (w *World) disconnected(a, b *Proc, so time.Duration) bool {
	for _, link := range [][2]string{{a.addr, b.addr}, {b.addr, a.addr}} {
		if since, cut := w.cuts[link]; cut && w.now-since >= so {
			return true
		}
	}
	return false
}

// Cut partitions a process from all others, and from consensus updates.
func (w *World) Cut(p *Proc) {
	for _, o := range w.procs {
		if o != p {
			w.cuts[[2]string{p.addr, o.addr}], w.cuts[[2]string{o.addr, p.addr}] = w.now, w.now
		}
	}
	p.consensusBlind, w.topologyChangedAt = true, w.now
}

// heldLink holds back matching messages between two processes until they are released.
type heldLink struct {
	from, to *Proc
	matches  func(msg any) bool
	messages []func()
}

func (w *World) holdMessages(from, to *Proc, matches func(msg any) bool) {
	w.heldLink = &heldLink{from: from, to: to, matches: matches}
}

func (w *World) releaseMessages() {
	for _, do := range w.heldLink.messages {
		w.after(ms, do)
	}
	w.heldLink = nil
}

// Mend restores all links.
func (w *World) Mend() {
	clear(w.cuts)
	w.topologyChangedAt = w.now
	for _, p := range w.procs {
		p.consensusBlind = false
	}
}

// Kill stops a process. Its disk is kept.
func (w *World) Kill(p *Proc) { p.up = false }

// Boot restarts a process that is down.
func (w *World) Boot(p *Proc) {
	if !p.up {
		p.boot()
	}
}

// Freeze pauses a process for a duration.
func (w *World) Freeze(p *Proc, d time.Duration) { p.frozenUntil = w.now + d }

// Lead makes a process the primary of a new epoch.
func (w *World) Lead(p *Proc) {
	w.epoch, w.primary, w.topologyChangedAt = w.epoch+1, p.addr, w.now
	for _, o := range w.procs {
		o.epochUnknown = false
	}
}

// Leader returns the current primary.
func (w *World) Leader() *Proc { return w.byAddr[w.primary] }
