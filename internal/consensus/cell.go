package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// modelNode is a machine in the model checker with its disk, and what the checks need to know of
// it. It is immutable once it is in the explorer: each input makes a copy.
type modelNode struct {
	machine        *Machine
	random         *modelRandom
	synced         *DurableState
	savedState     *DurableState // a saved copy of synced
	unsynced       []Write       // writes that are not synced yet, in order
	lostDiskID     uint64        // the ID of the disk that was wiped
	appliedVersion uint32        // since the process started
	violation      string
}

func newModelRand(l *modelRandom) *rand.Rand { return rand.New(l) }

// modelRandom is a deterministic source that returns each number once. Delays drawn from it are 0
// unless it is mixed.
type modelRandom struct {
	draws, stream uint64
	mixed         bool
}

func (l *modelRandom) Uint64() uint64 {
	l.draws++
	x := l.draws<<16 | l.stream<<8
	if !l.mixed {
		return x
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // splitmix64
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (m *Machine) clone() *Machine {
	n := *m
	n.pendingWrites, n.deferred, n.avoidUntil = slices.Clone(m.pendingWrites), slices.Clone(m.deferred),
		cloneMap(m.avoidUntil)
	n.largeSentAt = cloneMap(m.largeSentAt)
	n.calls, n.waiting = nil, nil
	for _, c := range m.calls {
		x := *c
		n.calls = append(n.calls, &x)
	}
	for _, w := range m.waiting {
		x := *w
		n.waiting = append(n.waiting, &x)
	}
	n.founder.joining = cloneMap(m.founder.joining)
	if m.candidate != nil {
		b := *m.candidate
		b.preVotes, b.promises, b.rejected = cloneMap(b.preVotes), cloneMap(b.promises), cloneMap(b.rejected)
		b.installed, b.recorded, b.lost = cloneMap(b.installed), cloneMap(b.recorded), cloneMap(b.lost)
		n.candidate = &b
	}
	if m.primary != nil {
		l := *m.primary
		l.heardAt, l.diskSlow, l.diskTolerance, l.appended = cloneMap(l.heardAt), cloneMap(l.diskSlow),
			cloneMap(l.diskTolerance), cloneMap(l.appended)
		l.confirmed, l.joining, l.tokenHashes = cloneMap(l.confirmed), cloneMap(l.joining), cloneMap(l.tokenHashes)
		l.leaving, l.lost, l.recordStored = cloneMap(l.leaving), cloneMap(l.lost), cloneMap(l.recordStored)
		n.primary = &l
	}
	return &n
}

func cloneMap[K comparable, V any](m map[K]V) map[K]V {
	if m == nil {
		return nil
	}
	n := make(map[K]V, len(m))
	for k, v := range m {
		n[k] = v
	}
	return n
}

func (c *modelNode) clone() *modelNode {
	n := *c
	l := *c.random
	n.random, n.machine, n.unsynced = &l, c.machine.clone(), slices.Clone(c.unsynced)
	n.machine.rng = newModelRand(n.random)
	return &n
}

type inputKind uint8

const (
	receive   inputKind = iota
	sync                // the oldest write reaches the disk, and the process is told
	shortWait           // enough time passes to repeat unanswered requests
	longWait            // half the time passes after which a primary counts as failed
	put                 // an operator puts the document with index arg
	read                // an operator reads
	// the process restarts; the first arg of the unsynced writes have reached the disk all the same
	crash
	wipe         // the process restarts with an empty disk
	tick         // one ordinary tick
	copyDisk     // the state on the disk is copied
	rollbackDisk // the process restarts with that copy
	leave        // the process is told to leave, with urgency arg
)

var waitDurations = map[inputKind]time.Duration{shortWait: 110 * time.Millisecond, longWait: 350 * time.Millisecond,
	tick: 50 * time.Millisecond}

// input is one event at a node.
type input struct {
	kind inputKind
	from uint8
	arg  uint32 // message, or as the kind says
}

// fact is an observation that the checks use.
type fact struct {
	kind    factKind
	id      uint64 // of a read
	version uint32
	body    string
	ballot  Ballot
}

type factKind uint8

const (
	factApplied  factKind = iota
	factAccepted          // a primary accepts a put
	factRead              // a read is answered
	factReadNone          // a read finds no document
	factConflict          // a primary says that another body has the version
)

// readCallID returns the ID of a read. Puts have those from 1 on.
func readCallID(n uint32) uint64 { return 1000 + uint64(n) }

// scenario holds the operator's puts by index.
type scenario struct {
	bug  Bug
	puts []Doc
}

// apply gives an input to a copy of a node.
func (o *scenario) apply(old *modelNode, from string, msg any, in input) (*modelNode, []fsm.Send, []fact) {
	c := old.clone()
	m := c.machine
	m.bug = o.bug
	var out Out
	switch in.kind {
	case receive:
		out = m.Receive(m.now, from, msg)
	case sync:
		w := c.unsynced[0]
		c.synced, c.unsynced = &w.State, c.unsynced[1:]
		out = m.WriteDone(m.now, w.Seq)
	case put:
		out = m.Put(m.now, uint64(in.arg)+1, o.puts[in.arg])
	case read:
		out = m.Get(m.now, readCallID(in.arg))
	case copyDisk:
		c.savedState = c.synced
	case leave:
		out = m.Leave(m.now, LeaveUrgency(in.arg))
	case crash, wipe, rollbackDisk:
		out = c.restart(in, o.bug)
		m = c.machine
	default:
		out = m.Tick(m.now + waitDurations[in.kind])
	}
	var sends []fsm.Send
	var facts []fact
	for {
		sends = append(sends, out.Send...)
		facts = append(facts, c.observe(o, out)...)
		if out.Write == nil {
			break
		}
		c.unsynced = append(c.unsynced, *out.Write)
		if o.bug != BugEarlySync {
			break
		}
		out = m.WriteDone(m.now, out.Write.Seq)
	}
	return c, sends, facts
}

func (c *modelNode) restart(in input, bug Bug) Out {
	m := c.machine
	cfg := m.config
	if in.kind == rollbackDisk {
		c.synced = c.savedState
	} else if in.kind == wipe {
		c.lostDiskID, c.synced, cfg.Genesis = m.state.DiskID, nil, false
	} else if in.arg > 0 {
		c.synced = &c.unsynced[in.arg-1].State
	}
	c.unsynced, c.appliedVersion = nil, 0
	var d *DurableState
	if c.synced != nil {
		x := *c.synced
		d = &x
	}
	c.random.draws++
	n := New(cfg, d, m.now)
	n.rng = newModelRand(c.random)
	n.runID, n.jitter, n.bug = c.random.Uint64(), 0, bug
	if d == nil {
		n.state.DiskID = c.random.Uint64() | 1
		if bug == BugReuseDiskID {
			n.state.DiskID = c.lostDiskID
		}
	}
	c.machine = n
	return n.Tick(m.now)
}

// observe collects the facts that a machine's output shows, and notes outputs that are never
// allowed.
func (c *modelNode) observe(o *scenario, out Out) []fact {
	var facts []fact
	if a := out.Apply; a != nil {
		if a.Version <= c.appliedVersion {
			c.violation = fmt.Sprintf("%s applies version %d after %d", c.machine.config.Self, a.Version,
				c.appliedVersion)
		}
		c.appliedVersion = a.Version
		facts = append(facts, fact{kind: factApplied, version: a.Version, body: string(a.Body)})
	}
	for _, s := range out.Send {
		if t, ok := s.Msg.(ForwardReply); ok && (t.Result == ResultAccepted || t.Result == ResultConflict) {
			facts = append(facts, c.putFact(o, t.ID, t.Result))
		}
		if diskID, ok := diskIDOf(s.Msg); ok && c.lostDiskID != 0 && diskID == c.lostDiskID {
			c.violation = fmt.Sprintf("%s lost its disk, but sends %T in the name of its former disk ID",
				c.machine.config.Self, s.Msg)
		}
	}
	for _, a := range out.Answers {
		switch a.Result {
		case ResultAccepted, ResultConflict:
			if c.machine.primary != nil {
				facts = append(facts, c.putFact(o, a.ID, a.Result))
			}
		case ResultRead:
			facts = append(facts, fact{kind: factRead, id: a.ID, version: a.Doc.Version, body: string(a.Doc.Body)})
		case ResultNone:
			facts = append(facts, fact{kind: factReadNone})
		}
	}
	return facts
}

// putFact is the primary's answer to a put.
func (c *modelNode) putFact(o *scenario, id uint64, v Result) fact {
	d := o.puts[id-1]
	f := fact{kind: factAccepted, version: d.Version, body: string(d.Body)}
	if v == ResultConflict {
		f.kind = factConflict
	}
	if c.machine.primary != nil {
		f.ballot = c.machine.primary.record.Ballot
	}
	return f
}

// diskIDOf returns the disk ID in whose name a message makes a promise or confirms a write.
func diskIDOf(msg any) (uint64, bool) {
	switch t := msg.(type) {
	case Promise:
		return t.DiskID, true
	case StateInstalled:
		return t.DiskID, true
	case EpochRecorded:
		return t.DiskID, true
	case Appended:
		return t.DiskID, true
	case Confirmed:
		return t.DiskID, true
	}
	return 0, false
}
