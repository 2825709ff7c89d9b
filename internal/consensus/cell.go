package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// cell is a machine of the model with its disk, and what the judge knows of its life.
// Once it is met it never changes: each input makes another one.
type cell struct {
	m       *Machine
	lot     *lot
	synced  *DurableState
	old     *DurableState // a copy that was taken of it
	cache   []Write       // under way
	lost    uint64        // the memory that was wiped here
	adopted uint32        // in this life
	broken  string
}

func rngOf(l *lot) *rand.Rand { return rand.New(l) }

// lot stands for chance: every number once. Waits drawn of it are 0, unless it is mixed.
type lot struct {
	n, of uint64
	mixed bool
}

func (l *lot) Uint64() uint64 {
	l.n++
	x := l.n<<16 | l.of<<8
	if !l.mixed {
		return x
	}
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9 // splitmix64
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (m *Machine) clone() *Machine {
	n := *m
	n.writes, n.held, n.shun = slices.Clone(m.writes), slices.Clone(m.held), cloneMap(m.shun)
	n.given = cloneMap(m.given)
	n.calls, n.queue = nil, nil
	for _, c := range m.calls {
		x := *c
		n.calls = append(n.calls, &x)
	}
	for _, w := range m.queue {
		x := *w
		n.queue = append(n.queue, &x)
	}
	n.founder.hello = cloneMap(m.founder.hello)
	if m.bid != nil {
		b := *m.bid
		b.grants, b.promises, b.refused = cloneMap(b.grants), cloneMap(b.promises), cloneMap(b.refused)
		b.copied, b.enacted, b.void = cloneMap(b.copied), cloneMap(b.enacted), cloneMap(b.void)
		n.bid = &b
	}
	if m.lead != nil {
		l := *m.lead
		l.heard, l.slow, l.bears, l.appended = cloneMap(l.heard), cloneMap(l.slow), cloneMap(l.bears), cloneMap(l.appended)
		l.confirmed, l.joiners, l.sums = cloneMap(l.confirmed), cloneMap(l.joiners), cloneMap(l.sums)
		l.leavers, l.void, l.stored = cloneMap(l.leavers), cloneMap(l.void), cloneMap(l.stored)
		n.lead = &l
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

func (c *cell) clone() *cell {
	n := *c
	l := *c.lot
	n.lot, n.m, n.cache = &l, c.m.clone(), slices.Clone(c.cache)
	n.m.rng = rngOf(n.lot)
	return &n
}

type kind uint8

const (
	take    kind = iota
	sync         // the oldest write is on disk, and the process hears of it
	short        // time passes: enough to repeat what is not answered
	long         // enough, twice, to lose patience with a primary
	put          // an operator's, whose number is arg
	get          // reads
	die          // of the writes under way the first arg reach the disk all the same
	wipe         // the disk is lost with all on it
	steady       // an ordinary tick
	saveOff      // a copy is taken of the disk
	putBack      // and takes its place, while no process runs
	leave        // it is told to end, arg a Notice
)

var spans = map[kind]time.Duration{short: 110 * time.Millisecond, long: 350 * time.Millisecond, steady: 50 * time.Millisecond}

// input is all that can come to a cell.
type input struct {
	kind kind
	from uint8
	arg  uint32 // message, or as the kind says
}

// fact is what the judge learns by an input.
type fact struct {
	kind    factKind
	id      uint64 // of a read
	version uint32
	body    string
	ballot  Ballot
}

type factKind uint8

const (
	adopts    factKind = iota
	acks               // a primary says yes to a put
	reads              // a read is answered
	readsNone          // that there is nothing
	refuses            // a primary says that another text has the number
)

// readID is the number of a call that reads; puts have those from 1 on.
func readID(n uint32) uint64 { return 1000 + uint64(n) }

// course has the operator's puts by their number.
type course struct {
	bug  Bug
	puts []Doc
}

// play gives a copy of a cell an input.
func (o *course) play(old *cell, from string, msg any, in input) (*cell, []fsm.Send, []fact) {
	c := old.clone()
	m := c.m
	m.bug = o.bug
	var out Out
	switch in.kind {
	case take:
		out = m.Receive(m.now, from, msg)
	case sync:
		w := c.cache[0]
		c.synced, c.cache = &w.State, c.cache[1:]
		out = m.WriteDone(m.now, w.Seq)
	case put:
		out = m.Put(m.now, uint64(in.arg)+1, o.puts[in.arg])
	case get:
		out = m.Get(m.now, readID(in.arg))
	case saveOff:
		c.old = c.synced
	case leave:
		out = m.Leave(m.now, LeaveUrgency(in.arg))
	case die, wipe, putBack:
		out = c.restart(in, o.bug)
		m = c.m
	default:
		out = m.Tick(m.now + spans[in.kind])
	}
	var sends []fsm.Send
	var facts []fact
	for {
		sends = append(sends, out.Send...)
		facts = append(facts, c.judge(o, out)...)
		if out.Write == nil {
			break
		}
		c.cache = append(c.cache, *out.Write)
		if o.bug != BugEarlySync {
			break
		}
		out = m.WriteDone(m.now, out.Write.Seq)
	}
	return c, sends, facts
}

func (c *cell) restart(in input, bug Bug) Out {
	m := c.m
	cfg := m.c
	if in.kind == putBack {
		c.synced = c.old
	} else if in.kind == wipe {
		c.lost, c.synced, cfg.Genesis = m.d.DiskID, nil, false
	} else if in.arg > 0 {
		c.synced = &c.cache[in.arg-1].State
	}
	c.cache, c.adopted = nil, 0
	var d *DurableState
	if c.synced != nil {
		x := *c.synced
		d = &x
	}
	c.lot.n++
	n := New(cfg, d, m.now)
	n.rng = rngOf(c.lot)
	n.salt, n.jitter, n.bug = c.lot.Uint64(), 0, bug
	if d == nil {
		n.d.DiskID = c.lot.Uint64() | 1
		if bug == BugReuseDiskID {
			n.d.DiskID = c.lost
		}
	}
	c.m = n
	return n.Tick(m.now)
}

// judge notes what a machine let be seen, and what of it never may be.
func (c *cell) judge(o *course, out Out) []fact {
	var facts []fact
	if a := out.Apply; a != nil {
		if a.Version <= c.adopted {
			c.broken = fmt.Sprintf("%s puts version %d in force after %d", c.m.c.Self, a.Version, c.adopted)
		}
		c.adopted = a.Version
		facts = append(facts, fact{kind: adopts, version: a.Version, body: string(a.Body)})
	}
	for _, s := range out.Send {
		if t, ok := s.Msg.(ForwardReply); ok && (t.Result == ResultAccepted || t.Result == ResultConflict) {
			facts = append(facts, c.put(o, t.ID, t.Result))
		}
		if life, ok := vouches(s.Msg); ok && c.lost != 0 && life == c.lost {
			c.broken = fmt.Sprintf("%s lost its disk, and %T counts as of the memory lost", c.m.c.Self, s.Msg)
		}
	}
	for _, a := range out.Answers {
		switch a.Result {
		case ResultAccepted, ResultConflict:
			if c.m.lead != nil {
				facts = append(facts, c.put(o, a.ID, a.Result))
			}
		case ResultRead:
			facts = append(facts, fact{kind: reads, id: a.ID, version: a.Doc.Version, body: string(a.Doc.Body)})
		case ResultNone:
			facts = append(facts, fact{kind: readsNone})
		}
	}
	return facts
}

// put is what a primary says of one.
func (c *cell) put(o *course, id uint64, v Result) fact {
	d := o.puts[id-1]
	f := fact{kind: acks, version: d.Version, body: string(d.Body)}
	if v == ResultConflict {
		f.kind = refuses
	}
	if c.m.lead != nil {
		f.ballot = c.m.lead.rec.Ballot
	}
	return f
}

// vouches is the memory that a message speaks for.
func vouches(msg any) (uint64, bool) {
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
