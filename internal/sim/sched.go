// Package sim runs gateways, with their own code, in a virtual world: one goroutine
// at a time, in an order drawn from a seed, on a clock that jumps when all wait.
// Whatever happens is a function of the seed, so that what has gone wrong once can be
// played again.
package sim

import (
	"container/heap"
	"iter"
	"math/rand/v2"
	"time"

	"asterwell/internal/hostenv"
)

// epoch is where virtual clocks begin. A core's clock is the Unix time.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// Sched hands the baton from task to task. Tasks are coroutines: none runs unless it
// has been handed it, and none loses it but where it waits.
type Sched struct {
	now    time.Duration // since the epoch
	ready  []*task
	timers timers
	seq    uint64
	rng    *rand.Rand
	cur    *task
	steps  uint64
	live   int // tasks that have not ended
	fault  any // a panic in a task
}

type task struct {
	proc  *Proc
	next  func() (struct{}, bool)
	stop  func()
	yield func(struct{}) bool
	ready bool
	done  bool
}

// killed unwinds a task whose process has been killed.
type killed struct{}

// Proc is a process: what is killed, paused or counted together.
type Proc struct {
	Name  string
	s     *Sched
	tasks map[uint64]*task
	last  uint64
	dead  bool
	until time.Duration // paused
	held  []*task
	conns map[*conn]bool
	lns   map[*listener]bool
}

// NewSched returns a scheduler without tasks.
func NewSched(seed uint64) *Sched {
	return &Sched{rng: rand.New(rand.NewPCG(seed, 0xba704))}
}

// NewProc adds a process.
func (s *Sched) NewProc(name string) *Proc {
	return &Proc{Name: name, s: s, tasks: map[uint64]*task{}, conns: map[*conn]bool{}, lns: map[*listener]bool{}}
}

// Go starts a task of the process.
func (p *Proc) Go(f func()) {
	if p.dead {
		return
	}
	t := &task{proc: p}
	p.last++
	id := p.last
	p.tasks[id] = t
	p.s.live++
	t.next, t.stop = iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		defer func() {
			switch v := recover().(type) {
			case nil, killed:
			default:
				if p.s.fault == nil {
					p.s.fault = v
				}
			}
		}()
		f()
	})
	end := t.next
	t.next = func() (struct{}, bool) {
		v, ok := end()
		if !ok && !t.done {
			t.done = true
			p.s.live--
			delete(p.tasks, id)
		}
		return v, ok
	}
	p.s.wake(t)
}

// Kill ends a process at once. Its connections are reset.
func (p *Proc) Kill() {
	if p.dead {
		return
	}
	p.dead = true
	for _, ln := range p.listeners() {
		ln.Close()
	}
	for _, c := range p.connections() {
		c.abort()
	}
	for id := uint64(1); id <= p.last; id++ {
		t := p.tasks[id]
		if t == nil || t == p.s.cur {
			continue
		}
		t.done = true
		p.s.live--
		delete(p.tasks, id)
		was := p.s.cur
		p.s.cur = t
		t.stop()
		p.s.cur = was
	}
}

// Pause holds all of a process up.
func (p *Proc) Pause(d time.Duration) {
	until := p.s.now + d
	if until <= p.until {
		return
	}
	p.until = until
	p.s.after(d, func() {
		if p.until > p.s.now {
			return
		}
		for _, t := range p.held {
			p.s.wake(t)
		}
		p.held = nil
	})
}

// Tasks is the number of those that have not ended.
func (p *Proc) Tasks() int { return len(p.tasks) }

func (s *Sched) wake(t *task) {
	if !t.ready && !t.done {
		t.ready = true
		s.ready = append(s.ready, t)
	}
}

// park gives the baton back until the task is woken.
func (s *Sched) park() {
	if t := s.cur; t.done || !t.yield(struct{}{}) {
		panic(killed{})
	}
}

// Run goes on until the time, or until nothing is left to do. It reports false if a
// task has panicked.
func (s *Sched) Run(until time.Duration) bool {
	for s.fault == nil {
		if len(s.ready) == 0 {
			if len(s.timers) == 0 || s.timers[0].at > until {
				s.now = until
				return true
			}
			t := heap.Pop(&s.timers).(*timer)
			s.now = max(s.now, t.at)
			t.fire()
			continue
		}
		i := s.rng.IntN(len(s.ready))
		t := s.ready[i]
		last := len(s.ready) - 1
		s.ready[i] = s.ready[last]
		s.ready[last] = nil
		s.ready = s.ready[:last]
		t.ready = false
		if t.done {
			continue
		}
		if t.proc.until > s.now {
			t.proc.held = append(t.proc.held, t)
			continue
		}
		s.steps++
		s.cur = t
		t.next()
		s.cur = nil
	}
	return false
}

type timer struct {
	at   time.Duration
	seq  uint64
	fire func()
	s    *Sched
	i    int // in the heap; -1: no longer
}

// stop puts a timer off.
func (t *timer) stop() {
	if t.i >= 0 {
		heap.Remove(&t.s.timers, t.i)
	}
}

// after calls f on no task once d has passed. What it returns can be stopped.
func (s *Sched) after(d time.Duration, f func()) *timer {
	s.seq++
	t := &timer{at: s.now + max(d, 0), seq: s.seq, fire: f, s: s}
	heap.Push(&s.timers, t)
	return t
}

type timers []*timer

func (h timers) Len() int { return len(h) }
func (h timers) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h timers) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i, j
}
func (h *timers) Push(x any) {
	t := x.(*timer)
	t.i = len(*h)
	*h = append(*h, t)
}
func (h *timers) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.i = -1
	return t
}

// bell is a hostenv.Notifier.
type bell struct {
	s      *Sched
	rung   bool
	waiter *task
}

var _ hostenv.Notifier = (*bell)(nil)

func (b *bell) Notify() {
	b.rung = true
	if t := b.waiter; t != nil {
		b.waiter = nil
		b.s.wake(t)
	}
}

func (b *bell) Wait(d time.Duration) bool {
	if b.rung {
		b.rung = false
		return true
	}
	if d == 0 {
		return false
	}
	t := b.s.cur
	b.waiter = t
	if d > 0 {
		late := b.s.after(d, func() {
			if b.waiter == t {
				b.waiter = nil
				b.s.wake(t)
			}
		})
		defer late.stop()
	}
	b.s.park()
	rung := b.rung
	b.rung = false
	return rung
}

func (s *Sched) sleep(d time.Duration) {
	t := s.cur
	s.after(d, func() { s.wake(t) })
	s.park()
}
