// Package links is a net of processes on simulated time, for tests: messages are
// encoded as on the wire, take their time, and are lost or held as a test wants.
package links

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/fsm"
)

// Actor is a process.
type Actor interface {
	Tick(now fsm.Time) []fsm.Send
	Receive(now fsm.Time, from string, msg any) []fsm.Send
}

const (
	pace  = 50 * time.Millisecond
	frame = 24 // bytes around each message
)

type event struct {
	at       fsm.Time
	from, to string
	msg      any // nil: a tick
	size     int
	life     int
	no       int
}

type host struct {
	actor  Actor
	life   int
	frozen bool
	held   []event
}

// Net is all links.
type Network struct {
	Now            fsm.Time
	Delay          time.Duration
	Jitter         time.Duration
	Loss           float64
	Blocked        func(from, to string) bool
	OnError        func(err error)
	BytesSent      map[string]int                      // sent, by process
	ExtraDelay     func(from, to string) time.Duration // beyond Delay; nil: none
	ProcessingTime func(bytes int) time.Duration       // of a message, 0 bytes for a tick, on a machine that all share; nil: none
	BytesReceived  map[string]int                      // bytes that came, by process

	rand   *rand.Rand
	hosts  map[string]*host
	queue  queue
	no     int
	kinds  map[string]int
	length map[string]int
}

// New is a net without processes.
func New(seed uint64, fail func(error)) *Network {
	return &Network{Delay: time.Millisecond, Jitter: time.Millisecond, OnError: fail, BytesSent: map[string]int{}, BytesReceived: map[string]int{},
		Blocked: func(string, string) bool { return false },
		rand:    rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{}, kinds: map[string]int{},
		length: map[string]int{}}
}

// Start runs a process, in place of an earlier one at the address.
func (n *Network) Start(addr string, a Actor) {
	life := 1
	if h := n.hosts[addr]; h != nil {
		life = h.life + 1
	}
	n.hosts[addr] = &host{actor: a, life: life}
	n.add(event{at: n.Now + time.Duration(n.rand.Int64N(int64(pace))), to: addr, life: life})
}

// Kill ends a process.
func (n *Network) Kill(addr string) { n.hosts[addr].actor = nil }

// Freeze stops a process; what comes for it waits.
func (n *Network) Pause(addr string) { n.hosts[addr].frozen = true }

// Thaw lets it go on.
func (n *Network) Resume(addr string) {
	h := n.hosts[addr]
	h.frozen = false
	for _, e := range h.held {
		e.at = n.Now
		n.add(e)
	}
	h.held = nil
}

// Post sends what an actor returned.
func (n *Network) Send(from string, sends []fsm.Send) {
	for _, s := range sends {
		b, err := cbor.Marshal(s.Msg)
		if err != nil {
			n.OnError(err)
			return
		}
		copied := reflect.New(reflect.TypeOf(s.Msg))
		if err := cbor.Unmarshal(b, copied.Interface()); err != nil {
			n.OnError(err)
			return
		}
		n.BytesSent[from] += len(b) + frame
		n.kinds[reflect.TypeOf(s.Msg).String()]++
		n.length[reflect.TypeOf(s.Msg).String()] += len(b) + frame
		if n.Blocked(from, s.To) || n.rand.Float64() < n.Loss {
			continue
		}
		at := n.Now + n.Delay + time.Duration(n.rand.Int64N(int64(n.Jitter)+1))
		if n.ExtraDelay != nil {
			at += n.ExtraDelay(from, s.To)
		}
		n.add(event{at: at, from: from, to: s.To, msg: copied.Elem().Interface(), size: len(b) + frame})
	}
}

// Kinds is how many messages and bytes of each type were sent; it starts anew.
func (n *Network) TakeMessageCounts() (count, length map[string]int) {
	count, length = n.kinds, n.length
	n.kinds, n.length = map[string]int{}, map[string]int{}
	return count, length
}

// Run lets time pass.
func (n *Network) Run(d time.Duration) {
	end := n.Now + d
	for len(n.queue) > 0 && n.queue[0].at <= end {
		e := heap.Pop(&n.queue).(event)
		n.Now = max(n.Now, e.at)
		n.step(e)
	}
	n.Now = max(n.Now, end)
}

func (n *Network) step(e event) {
	h := n.hosts[e.to]
	if n.ProcessingTime != nil {
		n.Now += n.ProcessingTime(e.size)
	}
	switch {
	case h == nil || h.actor == nil || e.msg == nil && e.life != h.life:
	case h.frozen:
		h.held = append(h.held, e)
	case e.msg == nil:
		n.Send(e.to, h.actor.Tick(n.Now))
		n.add(event{at: n.Now + pace, to: e.to, life: h.life})
	default:
		n.BytesReceived[e.to] += e.size
		n.Send(e.to, h.actor.Receive(n.Now, e.from, e.msg))
	}
}

func (n *Network) add(e event) {
	n.no++
	e.no = n.no
	heap.Push(&n.queue, e)
}

// queue is ordered by time, and by when it was added.
type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }

func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].no, q[j].no)) < 0
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
