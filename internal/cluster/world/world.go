// Package world simulates the voters and gateways of a cluster deterministically. A seed
// determines all faults, and the same seed replays the same run. The voters, their log
// and the coordination of a change are production code; links, disks, clocks and
// processes are simulated.
package world

import (
	"container/heap"
	"errors"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"asterwell/internal/cluster"
	"asterwell/internal/policy"
)

// Options configures a simulation.
type Options struct {
	Seed          uint64
	Voters        int           // default: 5
	NonVoters     int           // gateways without a vote; default: 4
	FaultDuration time.Duration // phase with faults; default: 12 s
	Trace         func(at time.Duration, text string)
	NoFault       bool
}

// Result is the outcome of a simulation.
type Result struct {
	Broken                                   []Violation
	Changes, Committed, Withdrawn, Refused   int
	Decided, Turned                          int
	Kills, Stops, Cuts, Disks, Lost, Elected int
	Hash                                     uint64 // of all events in order, to compare replays
	HeldMost                                 time.Duration
}

// Violation is a violated invariant.
type Violation struct {
	Rule string // start, leaders, outcome, mixed, refused, liveness
	At   time.Duration
	What string
}

func (b Violation) String() string { return fmt.Sprintf("%s after %v: %s", b.Rule, b.At, b.What) }

// World is the state of one simulation.
type World struct {
	opt    Options
	rng    *rand.Rand
	now    time.Duration
	events events
	seq    uint64
	nodes  []*node
	links  map[[2]int]*link
	res    Result

	newest   int64 // highest version that any gateway has decided by
	fates    map[uint64]policy.Change
	texts    map[int64]string
	healed   bool
	proposed int
	leaders  map[uint64]int // node index by term
}

// node is a process, with the state that survives a crash.
type node struct {
	index        int
	name         string
	votes        bool // has a disk
	disk         *disk
	peer         cluster.Peer
	voter        *cluster.Voter
	holder       *policy.Holder
	id           uint64 // of this incarnation of the process
	up           bool
	paused       bool
	incarnation  int
	clockRate    float64 // of its clock, relative to simulated time
	clockBase    time.Duration
	startedAt    time.Duration
	lease        policy.Lease
	target       int
	inbox        []func() // events that arrived while it was paused
	refuses      bool
	pauseAtGrant time.Duration // how long it pauses when the leader's next lease arrives; 0: not at all
	text         string
}

type link struct {
	cut   bool
	delay time.Duration
	loss  float64
}

type event struct {
	at  time.Duration
	seq uint64
	do  func()
}

type events []event

func (h events) Len() int { return len(h) }
func (h events) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h events) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *events) Push(x any)   { *h = append(*h, x.(event)) }
func (h *events) Pop() any {
	old := *h
	e := old[len(old)-1]
	old[len(old)-1] = event{}
	*h = old[:len(old)-1]
	return e
}

// Terms are the timing parameters of all simulations.
var Terms = policy.DefaultTerms

// Simulate runs the simulation of a seed.
func Simulate(o Options) Result {
	if o.Voters == 0 {
		o.Voters, o.NonVoters = 5, 4
	}
	if o.FaultDuration == 0 {
		o.FaultDuration = 12 * time.Second
	}
	w := &World{opt: o, rng: rand.New(rand.NewPCG(o.Seed, 0xc1)), links: map[[2]int]*link{}, fates: map[uint64]policy.Change{},
		texts: map[int64]string{}, leaders: map[uint64]int{}}
	var peers []cluster.Peer
	for i := range o.Voters + o.NonVoters {
		n := &node{index: i, name: fmt.Sprint("g-", i), votes: i < o.Voters, target: w.rng.IntN(o.Voters)}
		if n.votes {
			n.peer = cluster.Peer{ID: w.rng.Uint64() | 1, Name: n.name, Address: n.name}
			peers = append(peers, n.peer)
		}
		w.nodes = append(w.nodes, n)
	}
	first := cluster.Bootstrap(peers)
	for _, n := range w.nodes {
		if n.votes {
			n.disk = &disk{w: w, self: n.peer}
			n.disk.write(&raftpb.HardState{Term: new(uint64(1)), Vote: new(uint64(0)), Commit: new(uint64(1))}, nil, first)
		}
		w.start(n)
	}
	w.startLoad()
	if !o.NoFault {
		for at := 800 * time.Millisecond; at < o.FaultDuration; at += time.Duration(w.rng.ExpFloat64() * float64(500*time.Millisecond)) {
			w.schedule(at, w.injectFault)
		}
	}
	w.schedule(o.FaultDuration, w.heal)
	end := o.FaultDuration + 12*time.Second
	for len(w.events) > 0 && w.events[0].at <= end && len(w.res.Broken) == 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.finish()
	return w.res
}

func (w *World) schedule(when time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{max(when, w.now), w.seq, do})
}

func (w *World) trace(format string, args ...any) {
	if w.opt.Trace != nil {
		w.opt.Trace(w.now, fmt.Sprintf(format, args...))
	}
}

func (w *World) updateHash(x uint64) { w.res.Hash = (w.res.Hash ^ x) * 0x100000001b3 }

func (w *World) violation(rule, format string, args ...any) {
	w.res.Broken = append(w.res.Broken, Violation{rule, w.now, fmt.Sprintf(format, args...)})
}

// clock returns the time on a node's own, drifting clock.
func (w *World) clock(n *node) time.Duration {
	return n.clockBase + time.Duration(float64(w.now-n.startedAt)*n.clockRate)
}

func (w *World) start(n *node) {
	n.incarnation++
	n.up, n.paused, n.inbox, n.lease, n.text = true, false, nil, policy.Lease{}, ""
	n.id = w.rng.Uint64() | 1
	n.startedAt, n.clockBase = w.now, time.Duration(w.rng.Int64N(int64(time.Hour)))
	n.clockRate = 1 + (w.rng.Float64()-0.5)*Terms.Drift*0.95
	now := w.clock(n)
	n.holder = policy.NewHolder(Terms, n.name, "", "")
	n.voter = nil
	if n.disk != nil {
		n.disk.fails, n.disk.crash = false, nil
		v, err := cluster.NewVoter(n.disk, Terms, w.rng.Uint64, now)
		switch {
		case err != nil && !n.disk.damaged:
			w.violation("start", "%s does not start: %v", n.name, err)
		case err == nil:
			n.voter = v
		}
	}
	w.trace("%s starts, %x", n.name, n.id)
	w.tick(n, n.incarnation)
}

func (w *World) kill(n *node) {
	if n.up {
		w.trace("%s is killed", n.name)
		w.res.Kills++
		n.up = false
		n.incarnation++
	}
}

// runOnNode runs do if this incarnation of the node is alive, or once it resumes after a
// pause.
func (w *World) runOnNode(n *node, incarnation int, do func()) {
	switch {
	case !n.up || n.incarnation != incarnation:
	case n.paused:
		n.inbox = append(n.inbox, func() { w.runOnNode(n, incarnation, do) })
	default:
		do()
		w.flush(n)
	}
}

func (w *World) tick(n *node, incarnation int) {
	w.runOnNode(n, incarnation, func() {
		now := w.clock(n)
		if n.voter != nil {
			n.voter.Tick(now)
		}
		if n.up {
			w.sendRenewal(n)
		}
		w.schedule(w.now+10*time.Millisecond+time.Duration(w.rng.Int64N(int64(time.Millisecond))), func() { w.tick(n, incarnation) })
	})
}

// sendRenewal sends a gateway's due renewal, to another voter if the present one doesn't
// answer.
func (w *World) sendRenewal(n *node) {
	now := w.clock(n)
	r := n.holder.Tick(now)
	if r == nil {
		return
	}
	if n.holder.Missed() > 1 {
		n.target = w.rng.IntN(w.opt.Voters)
	}
	to, id := w.nodes[n.target], n.id
	w.send(n, to, func() {
		if to.voter == nil {
			return
		}
		if !to.voter.Renew(w.clock(to), id, *r) {
			if p, ok := to.voter.Leader(); ok {
				w.send(to, n, func() {
					for i, x := range w.nodes {
						if x.peer.ID == p.ID && x.peer.ID != 0 && n.id == id && n.target != i {
							n.target = i
						}
					}
				})
			}
		}
	})
}

// flush sends a voter's messages and grants, and checks its state.
func (w *World) flush(n *node) {
	v := n.voter
	if v == nil || !n.up {
		return
	}
	if err := v.Err(); err != nil {
		if !errors.Is(err, errDisk) {
			w.violation("start", "%s: %v", n.name, err)
		}
		n.voter = nil // the voter has stopped; the gateway continues
		w.trace("%s steps back: %v", n.name, err)
		return
	}
	messages, grants := v.Out()
	for _, m := range messages {
		i := slices.IndexFunc(w.nodes, func(x *node) bool { return x.peer.ID == m.GetTo() })
		if i < 0 {
			continue
		}
		c := proto.Clone(m).(*raftpb.Message)
		to := w.nodes[i]
		w.send(n, to, func() {
			if to.voter != nil {
				to.voter.Step(w.clock(to), c)
			}
		})
	}
	for _, g := range grants {
		i := slices.IndexFunc(w.nodes, func(x *node) bool { return x.id == g.To })
		if i < 0 {
			continue
		}
		to := w.nodes[i]
		w.send(n, to, func() {
			if to.id == g.To {
				w.deliverGrant(to, g.Grant)
			}
		})
	}
	if v.Leads() {
		if was, ok := w.leaders[v.Term()]; !ok {
			w.leaders[v.Term()] = n.index
			w.res.Elected++
			w.trace("%s leads in term %d", n.name, v.Term())
		} else if was != n.index {
			w.violation("leaders", "%s and %s lead in term %d", n.name, w.nodes[was].name, v.Term())
		}
		if c := v.Coordinator(); c.Held > 0 {
			w.res.HeldMost, c.Held = max(w.res.HeldMost, c.Held), 0
		}
	}
	w.checkRegister(v.Register(), n)
}

// checkRegister compares a replica's register with those seen before: each change has one
// outcome and each version one text.
func (w *World) checkRegister(r *policy.Register, n *node) {
	for _, c := range r.Changes {
		if c.Fate == policy.UnderWay {
			continue
		}
		was, ok := w.fates[c.ID]
		if !ok {
			w.fates[c.ID] = c
			w.trace("change %x: %s %d %s", c.ID, c.Fate, c.Version, c.Why)
			w.updateHash(c.ID ^ uint64(w.now))
		} else if was.Fate != c.Fate || was.Version != c.Version {
			w.violation("outcome", "change %x is %s as version %d, and at %s %s as %d", c.ID, was.Fate, was.Version, n.name, c.Fate, c.Version)
		}
		if c.Fate == policy.Committed && c.Text != nil {
			if text, ok := w.texts[c.Version]; ok && text != string(c.Text) {
				w.violation("outcome", "version %d has two texts", c.Version)
			}
			w.texts[c.Version] = string(c.Text)
		}
	}
}

// deliverGrant passes a grant to a gateway.
func (w *World) deliverGrant(n *node, g policy.Grant) {
	if n.pauseAtGrant > 0 && g.Lease > 0 { // the process pauses before it reads the answer
		w.pause(n, n.pauseAtGrant)
		n.pauseAtGrant = 0
		incarnation := n.incarnation
		n.inbox = append(n.inbox, func() { w.runOnNode(n, incarnation, func() { w.deliverGrant(n, g) }) })
		return
	}
	now := w.clock(n)
	result := n.holder.Grant(now, g)
	if result.Adopt {
		n.text = string(result.Grant.Text)
	}
	n.lease = result.Leased
	if result.Check {
		incarnation := n.incarnation
		w.schedule(w.now+time.Duration(w.rng.Int64N(int64(5*time.Millisecond))), func() {
			w.runOnNode(n, incarnation, func() {
				refusal := ""
				if n.refuses || string(g.Next) == "bad" {
					refusal = "can't"
				}
				n.holder.Checked(g.Change, g.Next, refusal)
				w.sendRenewal(n)
			})
		})
		return
	}
	w.sendRenewal(n)
}

// send delivers a message over a link, which may lose, delay or duplicate it.
func (w *World) send(from, to *node, do func()) {
	incarnation := to.incarnation
	if from == to {
		w.schedule(w.now+time.Microsecond, func() { w.runOnNode(to, incarnation, do) })
		return
	}
	l := w.links[[2]int{from.index, to.index}]
	wait := 200*time.Microsecond + time.Duration(w.rng.ExpFloat64()*float64(300*time.Microsecond))
	copies := 1
	if l != nil {
		if l.cut || w.rng.Float64() < l.loss {
			return
		}
		if l.delay > 0 {
			wait += time.Duration(w.rng.Int64N(int64(l.delay)))
		}
		if l.loss > 0 && w.rng.Float64() < 0.2 {
			copies = 2
		}
	}
	for range copies {
		w.schedule(w.now+wait, func() {
			if to.incarnation != incarnation { // connections end with their process
				return
			}
			w.runOnNode(to, incarnation, do)
		})
		wait += time.Duration(w.rng.Int64N(int64(20 * time.Millisecond)))
	}
}

// startLoad schedules requests at all gateways and operators' proposals.
func (w *World) startLoad() {
	for _, n := range w.nodes {
		var next func()
		next = func() {
			if n.up && !n.paused {
				w.decide(n)
			}
			w.schedule(w.now+time.Duration(w.rng.ExpFloat64()*float64(8*time.Millisecond)), next)
		}
		w.schedule(0, next)
	}
	var propose func()
	propose = func() {
		w.propose()
		if w.now < w.opt.FaultDuration {
			w.schedule(w.now+time.Duration(w.rng.ExpFloat64()*float64(900*time.Millisecond)), propose)
		}
	}
	w.schedule(600*time.Millisecond, propose)
}

// decide handles a request at a gateway if its lease is valid by its own clock, and checks
// the version that it decides by.
func (w *World) decide(n *node) {
	if n.lease.Until <= w.clock(n) {
		return
	}
	w.res.Decided++
	v := n.lease.Version
	w.updateHash(uint64(v)<<32 ^ uint64(n.index) ^ uint64(w.now))
	if v < w.newest {
		w.violation("mixed", "%s decides by version %d, %d has been decided by", n.name, v, w.newest)
	}
	w.newest = max(w.newest, v)
	if v > 0 && n.text != w.texts[v] {
		w.violation("mixed", "%s decides by %q in version %d", n.name, n.text, v)
	}
	if n.text == "bad" {
		w.violation("refused", "%s decides by a policy that gateways refused", n.name)
	}
}

func (w *World) propose() {
	for _, n := range w.nodes {
		if n.up && !n.paused && n.voter != nil && n.voter.Leads() {
			w.proposed++
			text := fmt.Sprint("policy ", w.proposed)
			if w.rng.IntN(8) == 0 {
				text = "bad"
			}
			c := policy.Command{Kind: policy.Propose, ID: w.rng.Uint64() | 1, Base: n.voter.Register().Version, Text: []byte(text), By: n.name}
			if w.rng.IntN(10) == 0 && c.Base > 0 {
				c.Base--
			}
			w.res.Changes++
			incarnation := n.incarnation
			w.runOnNode(n, incarnation, func() { n.voter.Propose(w.clock(n), c) })
			if w.rng.IntN(10) == 0 {
				w.schedule(w.now+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() {
					w.runOnNode(n, incarnation, func() {
						if n.voter != nil {
							n.voter.Propose(w.clock(n), policy.Command{Kind: policy.Withdraw, ID: c.ID, Why: "operator"})
						}
					})
				})
			}
			return
		}
	}
}

func (w *World) pick(ok func(n *node) bool) *node {
	var all []*node
	for _, n := range w.nodes {
		if ok(n) {
			all = append(all, n)
		}
	}
	if len(all) == 0 {
		return nil
	}
	return all[w.rng.IntN(len(all))]
}

// finish checks liveness: no change is pending, and every gateway serves by the newest
// version.
func (w *World) finish() {
	for _, id := range slices.Sorted(maps.Keys(w.fates)) {
		switch w.fates[id].Fate {
		case policy.Committed:
			w.res.Committed++
		case policy.Withdrawn:
			w.res.Withdrawn++
		case policy.Refused:
			w.res.Refused++
		}
	}
	if len(w.res.Broken) > 0 {
		return
	}
	w.res.Turned = w.res.Committed
	var newest int64
	for _, n := range w.nodes {
		if n.voter != nil {
			newest = max(newest, n.voter.Register().Version)
		}
	}
	for _, n := range w.nodes {
		if n.voter != nil && n.voter.Leads() {
			stage, seen := n.voter.Coordinator().Status(w.clock(n))
			w.trace("%s leads, %v, %+v", n.name, stage, seen)
		}
		w.trace("%s calls g-%d, %d missed", n.name, n.target, n.holder.Missed())
		if n.voter != nil {
			w.trace("%s: %s", n.name, n.voter.Describe())
		}
	}
	for _, n := range w.nodes {
		if n.lease.Until <= w.clock(n) || n.lease.Version != newest {
			v, state := n.holder.State(w.clock(n))
			w.violation("liveness", "%s does not serve by version %d in the end: version %d, %s", n.name, newest, v, state)
		}
		if n.voter != nil && n.voter.Register().Pending() != nil {
			w.violation("liveness", "%s: a change is under way for good", n.name)
		}
	}
	w.updateHash(math.Float64bits(float64(w.res.Decided)))
}
