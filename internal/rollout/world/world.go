// Package world simulates rollouts among whole processes (package controlplane) in virtual time. A seed
// determines the faults, and the same seed repeats the same run. The package simulates links, disks, clocks
// and clients, and checks the guarantees.
package world

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/rollout"
)

const ms = time.Millisecond

// Options of a simulation.
type Options struct {
	Seed            uint64
	Nodes           int // the first three are the core; default 11
	Bug             rollout.Bug
	RepeatOrders    bool // operators repeat their orders at other processes
	CountBytes      bool // count the bytes of messages
	RequestInterval time.Duration
	Mbit            float64 // bandwidth of each process's link, each way; 0: unlimited
	CoreMbit        float64 // the same for the core
	Routes          int     // routes in each configuration
	Trace           func(at time.Duration, text string)
}

// Result is the result of a simulation.
type Result struct {
	Violations                       []Violation
	Puts, Live, Withdrawn, Overtaken int
	Decided, Refused, RefusedInTurn  int
	Kills, Freezes, Cuts             int
	LiveAfter                        []time.Duration          // from the operator's call to the first request decided by the version
	LongestQueue                     time.Duration            // the longest time that a message took on slow links
	LongestHold                      time.Duration            // the longest time that a request waited in a hold
	ServedByAll                      map[uint32]time.Duration // until all live processes can decide by it
	PutAt                            map[uint32]time.Duration
	Decisions                        []Decision
	WithdrawReplies                  []WithdrawReply
	Acknowledged                     []Acknowledgement
}

// Acknowledgement is an acknowledged put of a version.
type Acknowledgement struct {
	At      time.Duration
	Node    string
	Version uint32
}

// WithdrawReply is a reply to an operator's withdrawal of a version.
type WithdrawReply struct {
	At      time.Duration
	Node    string
	Version uint32
	Outcome rollout.Outcome
}

// Decision is a decided request.
type Decision struct {
	At      time.Duration
	Version uint32
	Node    string
}

// Violation is a guarantee that was violated.
type Violation struct {
	Rule   string // MIXED, DEAD, FEW, HELD, SPLIT, STUCK, TOLD, AGAIN, LOST, ALONE
	At     time.Duration
	Detail string
}

func (b Violation) String() string { return fmt.Sprintf("%s after %v: %s", b.Rule, b.At, b.Detail) }

// World is one simulation.
type World struct {
	opt         Options
	rng         *rand.Rand
	now         time.Duration
	queue       fsm.EventQueue
	eventCount  uint64
	nodes       []*Process
	byAddr      map[string]*Process
	blocked     map[[2]string]bool
	loss        float64
	duplication float64
	extraDelay  time.Duration
	result      Result

	newestDecided        uint32 // the highest version that a request was decided by
	firstDecided         map[uint32]time.Duration
	putAt                map[uint32]time.Duration
	bodies               map[uint32]string
	fates                map[uint32]rollout.Fate
	reports              map[string]receivedReport // the newest report of each node that has reached a primary
	confirmationsChecked map[uint32]int
	highestPut           uint32
	serving              map[uint32]map[*Process]bool
	bytes                int
	delayed              []rollout.WithdrawRequest // copies held back by the network
	quiet                bool                      // no clients
	toldNever            map[uint32]bool           // versions of which an operator was told that they never will be live
	texts                map[uint32][]byte
	conflicting          map[uint32]bool // versions that were put with different texts
	toldWithdrawn        map[uint32]bool // versions that an operator was told to be withdrawn
}

// New starts processes in three zones.
func New(o Options) *World {
	o.Nodes, o.RequestInterval = cmp.Or(o.Nodes, 11), cmp.Or(o.RequestInterval, 6*ms)
	w := &World{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 27)), byAddr: map[string]*Process{}, blocked: map[[2]string]bool{},
		firstDecided: map[uint32]time.Duration{}, putAt: map[uint32]time.Duration{}, bodies: map[uint32]string{},
		fates: map[uint32]rollout.Fate{}, reports: map[string]receivedReport{}, confirmationsChecked: map[uint32]int{}}
	w.texts, w.conflicting = map[uint32][]byte{}, map[uint32]bool{}
	w.toldNever, w.toldWithdrawn = map[uint32]bool{}, map[uint32]bool{}
	w.serving, w.result.ServedByAll, w.result.PutAt = map[uint32]map[*Process]bool{}, map[uint32]time.Duration{}, w.putAt
	for i := range o.Nodes {
		p := &Process{w: w, name: fmt.Sprintf("n%02d", i), addr: fmt.Sprintf("10.0.%d.%d:7000", i%3, i), zone: string(rune('a' + i%3)),
			core: i < 3, clockRate: 1 + (w.rng.Float64()-0.5)*0.04, clockBase: time.Hour + time.Duration(w.rng.Int64N(int64(time.Hour)))}
		w.nodes, w.byAddr[p.addr] = append(w.nodes, p), p
	}
	for _, p := range w.nodes {
		p.start()
	}
	return w
}

func (w *World) schedule(d time.Duration, do func()) {
	w.eventCount++
	heap.Push(&w.queue, fsm.Event{At: w.now + d, Sequence: w.eventCount, Run: do})
}

// Run runs the simulation for a time; it ends at the first violation.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].At <= end && len(w.result.Violations) == 0 {
		e := heap.Pop(&w.queue).(fsm.Event)
		w.now = e.At
		e.Run()
	}
	w.now = end
}

func (w *World) violate(rule, form string, args ...any) {
	w.trace("%s: %s", rule, fmt.Sprintf(form, args...))
	w.result.Violations = append(w.result.Violations, Violation{rule, w.now, fmt.Sprintf(form, args...)})
}

func (w *World) trace(form string, args ...any) {
	if w.opt.Trace != nil {
		w.opt.Trace(w.now, fmt.Sprintf(form, args...))
	}
}

func (w *World) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(w.rng.Int64N(int64(d) + 1))
}
