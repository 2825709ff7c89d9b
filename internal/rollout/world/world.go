// Package world plays rollouts among whole processes (package controlplane) in a virtual time:
// a seed draws what goes wrong, and the same seed plays the same again. Links, disks,
// clocks and clients are this package's; so is the judge.
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

// Options of a play.
type Options struct {
	Seed            uint64
	Nodes           int // the first three are the core; default 11
	Bug             rollout.Bug
	RepeatOrders    bool // operators send the same orders again, at other processes
	CountBytes      bool // count what goes over the wire
	RequestInterval time.Duration
	Mbit            float64 // of each process's link, each way; 0: no bound
	CoreMbit        float64 // the same of the core's
	Routes          int     // routes of each configuration
	Trace           func(at time.Duration, text string)
}

// Result is what a play showed.
type Result struct {
	Violations                       []Violation
	Puts, Live, Withdrawn, Overtaken int
	Decided, Refused, RefusedInTurn  int
	Kills, Freezes, Cuts             int
	LiveAfter                        []time.Duration          // from the operator's call until all that can serve by it
	LongestQueue                     time.Duration            // the longest that a message took on slow links
	LongestHold                      time.Duration            // that a request waited in a turn
	ServedByAll                      map[uint32]time.Duration // until all that live serve by it
	PutAt                            map[uint32]time.Duration
	Decisions                        []Decision
	WithdrawReplies                  []WithdrawReply
	Acknowledged                     []Acknowledgement
}

// Acknowledgement is a version whose put was acknowledged, and where.
type Acknowledgement struct {
	At      time.Duration
	Node    string
	Version uint32
}

// WithdrawReply is what an operator was told of a version that was to be withdrawn.
type WithdrawReply struct {
	At      time.Duration
	Node    string
	Version uint32
	Outcome rollout.Outcome
}

// Decision is a request that was decided.
type Decision struct {
	At      time.Duration
	Version uint32
	Node    string
}

// Violation is a promise that did not hold.
type Violation struct {
	Rule   string // MIXED, DEAD, FEW, HELD, SPLIT, STUCK, TOLD, AGAIN, LOST, ALONE
	At     time.Duration
	Detail string
}

func (b Violation) String() string { return fmt.Sprintf("%s after %v: %s", b.Rule, b.At, b.Detail) }

// World is one play.
type World struct {
	opt    Options
	rng    *rand.Rand
	now    time.Duration
	queue  fsm.EventQueue
	order  uint64
	nodes  []*Process
	byAddr map[string]*Process
	cuts   map[[2]string]bool
	loss   float64
	twice  float64
	slow   time.Duration
	res    Result

	newest  uint32 // version decided by so far
	first   map[uint32]time.Duration
	puts    map[uint32]time.Duration
	bodies  map[uint32]string
	fates   map[uint32]rollout.Fate
	words   map[string]word // the newest word of each node that the primary has heard
	confirm map[uint32]int
	top     uint32
	open    map[uint32]map[*Process]bool
	bytes   int
	late    []rollout.WithdrawRequest // copies that the network holds up
	quiet   bool                      // no clients
	never   map[uint32]bool           // versions of which an operator was told so
	texts   map[uint32][]byte
	other   map[uint32]bool // versions that were put with another text too
	back    map[uint32]bool // versions that an operator was told to be withdrawn
}

// New makes processes in three zones, and starts them.
func New(o Options) *World {
	o.Nodes, o.RequestInterval = cmp.Or(o.Nodes, 11), cmp.Or(o.RequestInterval, 6*ms)
	w := &World{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 27)), byAddr: map[string]*Process{}, cuts: map[[2]string]bool{},
		first: map[uint32]time.Duration{}, puts: map[uint32]time.Duration{}, bodies: map[uint32]string{},
		fates: map[uint32]rollout.Fate{}, words: map[string]word{}, confirm: map[uint32]int{}}
	w.texts, w.other = map[uint32][]byte{}, map[uint32]bool{}
	w.never, w.back = map[uint32]bool{}, map[uint32]bool{}
	w.open, w.res.ServedByAll, w.res.PutAt = map[uint32]map[*Process]bool{}, map[uint32]time.Duration{}, w.puts
	for i := range o.Nodes {
		p := &Process{w: w, name: fmt.Sprintf("n%02d", i), addr: fmt.Sprintf("10.0.%d.%d:7000", i%3, i), zone: string(rune('a' + i%3)),
			core: i < 3, rate: 1 + (w.rng.Float64()-0.5)*0.04, base: time.Hour + time.Duration(w.rng.Int64N(int64(time.Hour)))}
		w.nodes, w.byAddr[p.addr] = append(w.nodes, p), p
	}
	for _, p := range w.nodes {
		p.boot()
	}
	return w
}

func (w *World) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, fsm.Event{At: w.now + d, Sequence: w.order, Run: do})
}

// Run lets time pass; it ends early once a rule broke.
func (w *World) Run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].At <= end && len(w.res.Violations) == 0 {
		e := heap.Pop(&w.queue).(fsm.Event)
		w.now = e.At
		e.Run()
	}
	w.now = end
}

func (w *World) breaks(rule, form string, args ...any) {
	w.note("%s: %s", rule, fmt.Sprintf(form, args...))
	w.res.Violations = append(w.res.Violations, Violation{rule, w.now, fmt.Sprintf(form, args...)})
}

func (w *World) note(form string, args ...any) {
	if w.opt.Trace != nil {
		w.opt.Trace(w.now, fmt.Sprintf(form, args...))
	}
}

func (w *World) upTo(d time.Duration) time.Duration { return time.Duration(w.rng.Int64N(int64(d) + 1)) }
