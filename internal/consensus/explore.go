package consensus

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ModelBounds limits an exploration: which faults occur, how often time passes, and where it ends.
type ModelBounds struct {
	Members            int  // 3 if it is 0
	ToleratedLosses    int  // 1 if Members is 0
	StartSilent        bool // start when all but the primary are about to time out
	SameVersion        bool // the puts are of one version
	Overtaken          bool // the first put is of version 3, the others of 2
	Puts               int
	Reads              int
	LostMessages       int // in total
	LateMessages       int // messages overtaken by later ones on their link
	DuplicatedMessages int
	// each process crashes at most once, with any number of its unsynced writes on the disk or lost
	Crashes   int
	DiskWipes int // crashes that lose the disk as well
	Leaves    int // processes told to leave, which then ask until they may exit
	// they leave with LeaveForced, and a process with a wiped disk comes back after they have stopped
	ForcedLeave   bool
	Learner       bool // one more process, which is no member, from the start
	DiskCopies    int  // copies taken of disks
	DiskRollbacks int  // restarts from such a copy, once all others know the latest token
	ShortWaits    int  // waits after which a process repeats unanswered requests
	LongWaits     int  // waits of half the time after which a primary counts as failed
	MaxStates     int  // 0: no limit
	DepthFirst    bool // newest state first; otherwise oldest first
	CountStalls   bool // count states without progress instead of ending there
	LivenessEvery int  // check each state of so many for progress; 0: none
	Bug           Bug
}

// Exploration is the result of an exploration.
type Exploration struct {
	States, Steps          int // visited; transitions taken
	Depth                  int // steps from the first state to the last one visited
	Complete               bool
	MachineStates          int // distinct states of single machines
	Acked, Epochs          int // the most puts acknowledged, and epochs begun after the first, in any state
	LivenessChecked, Stuck int // states checked for progress; those without
	StuckWithChange        int // of those, states where a remaining member has the record of a membership change
	Violation              string
	Trace                  []string // transitions that lead to the violation
}

// Explore visits the states that a running cluster can reach within bounds. Each process has its
// own clock; links keep the order of messages other than late ones; and a disk, a link or a process
// may take any time for its next step, which covers partitions, pauses and slowness. The machines
// are the real implementation.
func Explore(b ModelBounds) Exploration {
	x := newExplorer(b)
	x.enqueue(x.initialState(), 0, transition{})
	for x.queueHead < len(x.queue) && x.result.Violation == "" && (b.MaxStates == 0 || len(x.arrivals) <= b.MaxStates) {
		var next queuedState
		if b.DepthFirst {
			next = x.queue[len(x.queue)-1]
			x.queue = x.queue[:len(x.queue)-1]
		} else {
			next = x.queue[x.queueHead]
			x.queue[x.queueHead] = queuedState{}
			x.queueHead++
		}
		x.visit(next)
	}
	f := x.result
	f.States, f.Complete, f.MachineStates = len(x.arrivals), x.queueHead == len(x.queue), len(x.nodes)
	return f
}

// transition leads from one state to another.
type transition struct {
	node          uint8 // its index
	input         input
	dropsMessages bool  // with a crash, all messages in transit from and to the node are lost
	link          int16 // the link whose first message is delivered; -1 - i: the i-th delayed message
	fate          messageFate
}

type messageFate uint8

const (
	delivered messageFate = iota
	dropped
	delayed
	duplicated
)

// message is one that has left its link.
type message struct {
	from, to uint8
	msg      uint32
}

// modelState is the state of the whole cluster. Nodes and messages are referred to by their IDs.
type modelState struct {
	nodes      []uint32
	links      [][]uint32 // by from*n+to
	delayed    []message
	budgets    [11]uint8 // faults and calls that are left
	nextPut    uint8     // puts made so far
	crashed    uint8     // a bit for each node that has crashed
	checkState uint32
}

// Indexes of modelState.budgets. Those of message fates are in the order of messageFate.
const (
	budgetReads = iota
	budgetDropped
	budgetDelayed
	budgetDuplicated
	budgetCrashes
	budgetWipes
	budgetShortWaits
	budgetLongWaits
	budgetCopies
	budgetRollbacks
	budgetLeaves
)

// checkState is what the checks know: the body in force by version, the lowest epoch that
// acknowledged each version, the highest acknowledged version, that version at the start of each
// pending read, the acknowledged body of each version, and the requests answered with a conflict.
type checkState struct {
	inForce      map[uint32]string
	ackedIn      map[uint32]Ballot
	readFloors   map[uint64]uint32
	highestAcked uint32
	ackedBodies  map[uint32]string
	conflicts    map[string]bool
}

type queuedState struct {
	encoded string
	depth   int
}

type arrivalStep struct {
	parent     uint32
	transition transition
}

type explorer struct {
	bounds    ModelBounds
	nodeCount int
	scenario  scenario
	addrs     []string

	nodes         []*modelNode
	nodeIDs       map[uint64]uint32
	messages      []any
	messageIDs    map[uint64]uint32
	checkStates   []checkState
	checkStateIDs map[string]uint32
	outcomes      map[uint64]outcome
	stateIDs      map[uint64]uint32 // index in arrivals
	arrivals      []arrivalStep
	queue         []queuedState
	queueHead     int
	buf           []byte
	result        Exploration
	firstBallot   Ballot
	readsAnswered int
}

// outcome is the result of an input at a node.
type outcome struct {
	node     uint32
	messages []message
	facts    []fact
}

func newExplorer(b ModelBounds) *explorer {
	if b.Members == 0 {
		b.Members, b.ToleratedLosses = 3, 1
	}
	if b.Learner {
		b.Members++
	}
	x := &explorer{bounds: b, nodeCount: b.Members, scenario: scenario{bug: b.Bug}, nodeIDs: map[uint64]uint32{},
		messageIDs:    map[uint64]uint32{},
		checkStateIDs: map[string]uint32{}, outcomes: map[uint64]outcome{}, stateIDs: map[uint64]uint32{}}
	for i := range b.Puts {
		v := uint32(2 + i)
		if b.SameVersion || b.Overtaken {
			v = 2
		}
		if b.Overtaken && i == 0 {
			v = 3
		}
		x.scenario.puts = append(x.scenario.puts, Doc{Version: v, Body: []byte{byte('a' + i)}})
	}
	for i := range uint32(recoveryTicks / putIntervalTicks) { // for canProgress
		x.scenario.puts = append(x.scenario.puts, Doc{Version: 1000 + i, Body: []byte("z")})
	}
	return x
}

// initialState founds a cluster, has it commit version 1, and waits until it is steady.
func (x *explorer) initialState() *modelState {
	const start = time.Hour
	var nodes []*modelNode
	for i := range x.nodeCount {
		x.addrs = append(x.addrs, fmt.Sprintf("n%d", i))
	}
	for i, name := range x.addrs {
		m := New(Config{Self: name, Name: name, Zone: string(rune('a' + i%3)), Member: true,
			Genesis: !x.bounds.Learner || i < x.nodeCount-1, ToleratedLosses: x.bounds.ToleratedLosses,
			Seeds: x.addrs[:3]}, nil, start)
		l := &modelRandom{stream: uint64(i + 1)}
		m.rng, m.runID, m.jitter, m.state.DiskID = newModelRand(l), l.Uint64(), 0, l.Uint64()|1
		nodes = append(nodes, &modelNode{machine: m, random: l})
	}
	s := &modelState{nodes: make([]uint32, x.nodeCount), links: make([][]uint32, x.nodeCount*x.nodeCount)}
	for i, c := range nodes {
		s.nodes[i] = x.nodeID(c)
	}
	s.checkState = x.checkStateID(checkState{inForce: map[uint32]string{}, ackedIn: map[uint32]Ballot{},
		readFloors:  map[uint64]uint32{},
		ackedBodies: map[uint32]string{}, conflicts: map[string]bool{}})
	bug, puts := x.scenario.bug, x.scenario.puts
	x.scenario.bug, x.scenario.puts = 0, append([]Doc{{Version: 1, Body: []byte("0")}}, puts...)
	primary := -1
	for range 200 {
		x.settleAll(s, tick)
		primary = x.primaryNode(s)
		if x.isSteady(s) && (x.bounds.DiskRollbacks == 0 || x.rollbackDetectable(s, primary)) {
			break
		}
		if primary >= 0 && s.nextPut == 0 {
			s.nextPut = 1
			for i := range s.nodes {
				if x.bounds.DiskRollbacks > 0 {
					x.step(s, transition{node: uint8(i), input: input{kind: copyDisk}, link: noLink})
				}
			}
			x.step(s, transition{node: uint8(primary), input: input{kind: put}, link: noLink})
		}
	}
	if !x.isSteady(s) || x.bounds.DiskRollbacks > 0 && !x.rollbackDetectable(s, primary) {
		panic("the model's cluster was not founded") // a bug
	}
	x.firstBallot = x.nodes[s.nodes[primary]].machine.primary.record.Ballot
	for i := range s.nodes { // the calls made so far are not part of the exploration
		c := x.nodes[s.nodes[i]].clone()
		c.machine.calls, c.machine.waiting = nil, nil
		s.nodes[i] = x.nodeID(c)
	}
	// the membership may change, and a learner become a member
	for i := 0; (x.bounds.Learner || x.bounds.Leaves+x.bounds.LivenessEvery > 0) && i < 12; i++ {
		x.settleAll(s, tick)
	}
	x.scenario.bug, x.scenario.puts = bug, puts
	x.outcomes = map[uint64]outcome{}
	if x.bounds.StartSilent {
		for i := range s.nodes {
			for range 2 {
				if i != primary {
					x.step(s, transition{node: uint8(i), input: input{kind: longWait}, link: noLink})
				}
			}
		}
	}
	s.nextPut, x.result = 0, Exploration{}
	s.budgets = [11]uint8{uint8(x.bounds.Reads), uint8(x.bounds.LostMessages), uint8(x.bounds.LateMessages),
		uint8(x.bounds.DuplicatedMessages), uint8(x.bounds.Crashes),
		uint8(x.bounds.DiskWipes), uint8(x.bounds.ShortWaits), uint8(x.bounds.LongWaits), uint8(x.bounds.DiskCopies),
		uint8(x.bounds.DiskRollbacks),
		uint8(x.bounds.Leaves)}
	return s
}

const noLink int16 = 1 << 14

// primaryNode returns the index of a node that serves as primary, or -1.
func (x *explorer) primaryNode(s *modelState) int {
	return slices.IndexFunc(s.nodes, func(id uint32) bool { return x.nodes[id].machine.primary != nil })
}

// isSteady reports whether all nodes have committed version 1, follow an active epoch, and nothing
// is in transit.
func (x *explorer) isSteady(s *modelState) bool {
	for _, id := range s.nodes {
		if m := x.nodes[id].machine; m.state.Committed.Version != 1 || !m.state.Record.Active || m.seq != m.written {
			return false
		}
	}
	for _, l := range s.links {
		if len(l) > 0 {
			return false
		}
	}
	return true
}

// settleAll lets all messages arrive, all disks sync and all clocks tick.
func (x *explorer) settleAll(s *modelState, k inputKind) { x.settleExcept(s, k, 0) }

// settleExcept leaves out machines that have stopped; messages to them are lost.
func (x *explorer) settleExcept(s *modelState, k inputKind, stopped uint16) {
	for i := range s.nodes {
		if stopped&(1<<i) == 0 {
			x.step(s, transition{node: uint8(i), input: input{kind: k}, link: noLink})
		}
	}
	for progress, rounds := true, 0; progress && rounds < 10000; rounds++ {
		progress = false
		for i, l := range s.links {
			switch {
			case stopped&(1<<(i%x.nodeCount)) != 0:
				s.links[i] = nil
			case len(l) > 0:
				x.step(s, x.delivery(s, int16(i), delivered))
				progress = true
			}
		}
		for len(s.delayed) > 0 {
			x.step(s, x.delivery(s, -1, delivered))
		}
		for i, id := range s.nodes {
			if len(x.nodes[id].unsynced) > 0 && stopped&(1<<i) == 0 {
				x.step(s, transition{node: uint8(i), input: input{kind: sync}, link: noLink})
				progress = true
			}
		}
	}
}

func (x *explorer) delivery(s *modelState, link int16, f messageFate) transition {
	if link < 0 {
		p := s.delayed[-1-link]
		return transition{node: p.to, input: input{receive, p.from, p.msg}, link: link}
	}
	return transition{node: uint8(int(link) % x.nodeCount),
		input: input{receive, uint8(int(link) / x.nodeCount), s.links[link][0]}, link: link, fate: f}
}

// step applies a transition to s.
func (x *explorer) step(s *modelState, v transition) {
	switch {
	case v.link == noLink:
	case v.link < 0:
		s.delayed = slices.Delete(slices.Clone(s.delayed), int(-1-v.link), int(-v.link))
	default:
		head := message{uint8(int(v.link) / x.nodeCount), v.node, s.links[v.link][0]}
		s.links[v.link] = s.links[v.link][1:]
		if v.fate == delayed || v.fate == duplicated {
			s.delayed = append(slices.Clone(s.delayed), head)
			slices.SortFunc(s.delayed, func(a, b message) int {
				return int(int64(a.msg)<<16+int64(a.from)<<8+int64(a.to)) - int(int64(b.msg)<<16+int64(b.from)<<8+int64(b.to))
			})
		}
		if v.fate == dropped || v.fate == delayed {
			return
		}
	}
	if v.dropsMessages {
		for i := range s.links {
			if i%x.nodeCount == int(v.node) || i/x.nodeCount == int(v.node) {
				s.links[i] = nil
			}
		}
	}
	o := x.outcome(s.nodes[v.node], v.node, v.input)
	s.nodes[v.node] = o.node
	for _, p := range o.messages {
		i := int(p.from)*x.nodeCount + int(p.to)
		s.links[i] = append(slices.Clip(s.links[i]), p.msg)
	}
	if len(o.facts) > 0 || v.input.kind == read {
		x.checkFacts(s, v.input, o.facts)
	}
	x.checkNode(s, int(v.node))
}

// transitions returns all transitions from a state.
func (x *explorer) transitions(s *modelState) []transition {
	var all []transition
	for i, l := range s.links {
		if len(l) == 0 {
			continue
		}
		all = append(all, x.delivery(s, int16(i), delivered))
		for f := dropped; f <= duplicated; f++ {
			if s.budgets[budgetDropped+int(f-dropped)] > 0 {
				all = append(all, x.delivery(s, int16(i), f))
			}
		}
	}
	for i := range s.delayed {
		all = append(all, x.delivery(s, int16(-1-i), delivered))
	}
	for i, id := range s.nodes {
		c, at := x.nodes[id], uint8(i)
		add := func(k inputKind, arg int, loses bool) {
			all = append(all, transition{node: at, input: input{kind: k, arg: uint32(arg)}, dropsMessages: loses,
				link: noLink})
		}
		if len(c.unsynced) > 0 {
			add(sync, 0, false)
		}
		if s.budgets[budgetShortWaits] > 0 {
			add(shortWait, 0, false)
		}
		if s.budgets[budgetLongWaits] > 0 {
			add(longWait, 0, false)
		}
		if int(s.nextPut) < x.bounds.Puts {
			add(put, int(s.nextPut), false)
		}
		if s.budgets[budgetReads] > 0 {
			add(read, x.bounds.Reads-int(s.budgets[budgetReads]), false)
		}
		if s.budgets[budgetLeaves] > 0 && c.machine.leaving == 0 && !c.machine.MayExit() {
			n := LeaveWhenSafe
			if x.bounds.ForcedLeave {
				n = LeaveForced
			}
			add(leave, int(n), false)
		}
		if s.budgets[budgetCopies] > 0 && c.savedState != c.synced {
			add(copyDisk, 0, false)
		}
		if s.crashed&(1<<at) != 0 {
			continue
		}
		if s.budgets[budgetRollbacks] > 0 && x.rollbackDetectable(s, i) {
			add(rollbackDisk, 0, true)
		}
		for _, loses := range []bool{false, true} {
			if s.budgets[budgetCrashes] > 0 {
				for kept := range len(c.unsynced) + 1 {
					add(crash, kept, loses)
				}
			}
			if s.budgets[budgetWipes] > 0 {
				add(wipe, 0, loses)
			}
		}
	}
	return all
}

// rollbackDetectable reports whether the copy of a node's disk is out of date and the disks of all
// other members hold the newest token that the node has sent. Otherwise the rollback can't be
// detected.
func (x *explorer) rollbackDetectable(s *modelState, at int) bool {
	c := x.nodes[s.nodes[at]]
	if c.savedState == nil || c.savedState.DiskID != c.machine.state.DiskID ||
		c.savedState.Saves >= c.machine.savesSynced || !c.machine.isMember() {
		return false
	}
	for _, seat := range c.machine.state.Record.votingMembers() {
		i := slices.Index(x.addrs, seat.Addr)
		if i == at {
			continue
		}
		d := x.nodes[s.nodes[i]].synced
		if d == nil || !slices.ContainsFunc(d.KnownTokens, func(k KnownToken) bool {
			return k.Addr == x.addrs[at] && k.DiskID == c.machine.state.DiskID && k.Saves >= c.machine.savesSynced
		}) {
			return false
		}
	}
	return true
}

// spend takes a transition from the budgets.
func (s *modelState) spend(v transition) {
	switch v.fate {
	case dropped:
		s.budgets[budgetDropped]--
	case delayed:
		s.budgets[budgetDelayed]--
	case duplicated:
		s.budgets[budgetDuplicated]--
	}
	switch v.input.kind {
	case shortWait:
		s.budgets[budgetShortWaits]--
	case longWait:
		s.budgets[budgetLongWaits]--
	case put:
		s.nextPut++
	case read:
		s.budgets[budgetReads]--
	case leave:
		s.budgets[budgetLeaves]--
	case crash:
		s.budgets[budgetCrashes]--
		s.crashed |= 1 << v.node
	case wipe:
		s.budgets[budgetWipes]--
		s.crashed |= 1 << v.node
	case copyDisk:
		s.budgets[budgetCopies]--
	case rollbackDisk:
		s.budgets[budgetRollbacks]--
		s.crashed |= 1 << v.node
	}
}

func (x *explorer) visit(p queuedState) {
	s := x.decode(p.encoded)
	from := x.stateIDs[xxhash.Sum64String(p.encoded)]
	x.result.Depth = max(x.result.Depth, p.depth)
	for _, v := range x.transitions(s) {
		n := *s
		n.nodes, n.links = slices.Clone(s.nodes), slices.Clone(s.links)
		n.spend(v)
		x.step(&n, v)
		x.result.Steps++
		x.enqueueFrom(&n, from, v, p.depth+1)
		if x.result.Violation != "" {
			return
		}
	}
}

func (x *explorer) enqueue(s *modelState, from uint32, v transition) { x.enqueueFrom(s, from, v, 0) }

func (x *explorer) enqueueFrom(s *modelState, from uint32, v transition, depth int) {
	code := x.encode(s)
	key := xxhash.Sum64(code)
	if _, ok := x.stateIDs[key]; ok && x.result.Violation == "" {
		return
	}
	next := queuedState{string(code), depth} // a copy, as the buffer is reused
	x.stateIDs[key] = uint32(len(x.arrivals))
	x.arrivals = append(x.arrivals, arrivalStep{from, v})
	if x.bounds.LivenessEvery > 0 && len(x.arrivals)%x.bounds.LivenessEvery == 0 && x.result.Violation == "" {
		x.checkLiveness(s, uint32(len(x.arrivals)-1))
	}
	if x.result.Violation != "" {
		x.result.Depth = depth
		x.result.Trace = x.trace(uint32(len(x.arrivals) - 1))
		return
	}
	x.queue = append(x.queue, next)
}
