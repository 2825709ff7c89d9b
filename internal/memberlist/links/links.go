// Package links simulates the network between processes on simulated time, for tests. Messages are
// encoded as on the wire, and can be delayed, lost or blocked.
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

// Actor is a process on the network.
type Actor interface {
	Tick(now fsm.Time) []fsm.Send
	Receive(now fsm.Time, from string, msg any) []fsm.Send
}

const (
	tickInterval  = 50 * time.Millisecond
	frameOverhead = 24 // bytes added to each message
)

type event struct {
	at          fsm.Time
	from, to    string
	msg         any // nil for a tick
	size        int
	incarnation int
	order       int
}

type host struct {
	actor       Actor
	incarnation int
	paused      bool
	queued      []event
}

// Network connects the processes.
type Network struct {
	Now            fsm.Time
	Delay          time.Duration
	Jitter         time.Duration
	Loss           float64
	Blocked        func(from, to string) bool
	OnError        func(err error)
	BytesSent      map[string]int                      // by process
	ExtraDelay     func(from, to string) time.Duration // added to Delay; nil: none
	ProcessingTime func(bytes int) time.Duration       // of a message, or of a tick with 0 bytes, on a machine shared by all processes; nil: none
	BytesReceived  map[string]int                      // by process

	rand          *rand.Rand
	hosts         map[string]*host
	queue         queue
	nextOrder     int
	messageCounts map[string]int
	messageBytes  map[string]int
}

// New returns a network without processes.
func New(seed uint64, fail func(error)) *Network {
	return &Network{Delay: time.Millisecond, Jitter: time.Millisecond, OnError: fail, BytesSent: map[string]int{}, BytesReceived: map[string]int{},
		Blocked: func(string, string) bool { return false },
		rand:    rand.New(rand.NewPCG(seed, 1)), hosts: map[string]*host{}, messageCounts: map[string]int{},
		messageBytes: map[string]int{}}
}

// Start runs a process, in place of an earlier one at the address.
func (n *Network) Start(addr string, a Actor) {
	incarnation := 1
	if h := n.hosts[addr]; h != nil {
		incarnation = h.incarnation + 1
	}
	n.hosts[addr] = &host{actor: a, incarnation: incarnation}
	n.add(event{at: n.Now + time.Duration(n.rand.Int64N(int64(tickInterval))), to: addr, incarnation: incarnation})
}

// Kill ends a process.
func (n *Network) Kill(addr string) { n.hosts[addr].actor = nil }

// Pause stops a process; messages to it are queued.
func (n *Network) Pause(addr string) { n.hosts[addr].paused = true }

// Resume lets a paused process go on.
func (n *Network) Resume(addr string) {
	h := n.hosts[addr]
	h.paused = false
	for _, e := range h.queued {
		e.at = n.Now
		n.add(e)
	}
	h.queued = nil
}

// Send transmits the messages that an actor returned.
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
		n.BytesSent[from] += len(b) + frameOverhead
		n.messageCounts[reflect.TypeOf(s.Msg).String()]++
		n.messageBytes[reflect.TypeOf(s.Msg).String()] += len(b) + frameOverhead
		if n.Blocked(from, s.To) || n.rand.Float64() < n.Loss {
			continue
		}
		at := n.Now + n.Delay + time.Duration(n.rand.Int64N(int64(n.Jitter)+1))
		if n.ExtraDelay != nil {
			at += n.ExtraDelay(from, s.To)
		}
		n.add(event{at: at, from: from, to: s.To, msg: copied.Elem().Interface(), size: len(b) + frameOverhead})
	}
}

// TakeMessageCounts returns how many messages and bytes of each type were sent since the last
// call.
func (n *Network) TakeMessageCounts() (count, length map[string]int) {
	count, length = n.messageCounts, n.messageBytes
	n.messageCounts, n.messageBytes = map[string]int{}, map[string]int{}
	return count, length
}

// Run advances the time.
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
	case h == nil || h.actor == nil || e.msg == nil && e.incarnation != h.incarnation:
	case h.paused:
		h.queued = append(h.queued, e)
	case e.msg == nil:
		n.Send(e.to, h.actor.Tick(n.Now))
		n.add(event{at: n.Now + tickInterval, to: e.to, incarnation: h.incarnation})
	default:
		n.BytesReceived[e.to] += e.size
		n.Send(e.to, h.actor.Receive(n.Now, e.from, e.msg))
	}
}

func (n *Network) add(e event) {
	n.nextOrder++
	e.order = n.nextOrder
	heap.Push(&n.queue, e)
}

// queue is a heap ordered by time, then by insertion.
type queue []event

func (q queue) Len() int      { return len(q) }
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(e any)   { *q = append(*q, e.(event)) }

func (q queue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].order, q[j].order)) < 0
}

func (q *queue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
