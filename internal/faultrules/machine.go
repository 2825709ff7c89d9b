package faultrules

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// LeaseFor is how long rules may strike at a process that hears nothing more.
const LeaseFor = time.Second

const (
	askInterval       = 250 * time.Millisecond
	urgentAskInterval = 10 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	retryInterval     = 100 * time.Millisecond // what is not answered goes out again
	pushInterval      = 300 * time.Millisecond
	callTimeout       = 800 * time.Millisecond // an operator's call ends within it
	recordAgeMargin   = 200 * time.Millisecond // on its way a record doesn't age
)

// Config is what a process knows about itself.
type Config struct {
	Self, Name string
	Life, Seed uint64
	Member     bool          // has a disk
	Longest    time.Duration // that rules may live; 0: this deployment has none
	Bug        Bug           // put in for tests
}

// Place is how agreement stands.
type Place struct {
	N       uint64 // epoch
	Primary string
	Leads   bool // it is this process
	Members []string
}

// Node is a process that membership holds for live.
type Node struct {
	Addr string
	Life uint64
}

// Write asks to sync a disk's whole content.
type Write struct {
	Seq   uint64
	Disk  Disk
	Notes []Entry // and what goes to the record's end; a Write that others overtake keeps these
}

// Out is what a machine wants done.
type Out struct {
	Send    []fsm.Send
	Write   *Write
	Answers []Reply
	News    string // worth a line in the log
}

// Reply ends an operator's call.
type Reply struct {
	ID     uint64
	Answer Answer
}

type heldSend struct {
	seq  uint64
	send fsm.Send
}

// Machine is one process's part.
type Machine struct {
	c         Config
	judge     *Judge
	rng       *rand.Rand
	salt      uint64
	now       fsm.Time
	place     Place
	nodes     []Node
	out       Out
	selfSends []fsm.Send // to itself
	bug       Bug

	// as any process: node.go
	term        Term
	turn        uint64
	doc         Doc
	rules       []Rule
	ends        []fsm.Time // at the latest, by this clock
	asked       fsm.Time
	leaseRecord Record // by which the newest lease went: its term and number
	confirm     bool   // the primary is to hear what is held
	refused     bool   // the set is not valid here

	// as a member: member.go
	d              Disk
	keptAt         fsm.Time // when Kept was taken
	ageKnown       bool     // and it was in this life
	dirty          bool
	seq            uint64
	written        uint64
	awaitingSync   []heldSend
	logTerm        Term // whose notes are here, so many of them
	logUpTo        uint64
	unwrittenNotes []Entry // to be written

	primaryState *primaryState
	termsStarted uint64
	calls        []*call
}

// New starts a process. A nil disk is an empty one, or none.
func New(c Config, j *Judge, d *Disk, now fsm.Time) *Machine {
	h := fnv.New64a()
	h.Write([]byte(c.Self))
	m := &Machine{c: c, judge: j, bug: c.Bug, rng: rand.New(rand.NewPCG(c.Seed^0xba9e, h.Sum64())), now: now}
	m.salt, j.early = m.rng.Uint64(), c.Bug == Early
	if c.Member && d != nil {
		m.d = *d
	}
	return m
}

// Awake reports whether anything is to be done here: if not, ticks do nothing.
func (m *Machine) Awake() bool {
	return len(m.rules) > 0 || m.confirm || m.primaryState != nil || len(m.calls) > 0 || m.judge.Backlog() > 0
}

// Place takes agreement's view. It must be told before any input while Awake.
func (m *Machine) Place(p Place) {
	m.place = p
	if m.primaryState != nil && (!p.Leads || p.N != m.primaryState.term.N || !slices.Equal(p.Members, m.primaryState.members)) {
		m.primaryState = nil
	}
}

// Nodes takes membership's view.
func (m *Machine) Nodes(nodes []Node) { m.nodes = slices.Clone(nodes) }

// Tick lets time pass.
func (m *Machine) Tick(now fsm.Time) Out {
	m.now = max(m.now, now)
	if m.Awake() {
		m.tickCalls()
		m.tickNode()
		m.tickPrimary()
	}
	return m.flush()
}

// Hurry asks for strikes at once if requests wait for them.
func (m *Machine) Hurry(now fsm.Time) Out {
	m.now = max(m.now, now)
	if m.now-m.asked >= urgentAskInterval && m.judge.Due() {
		m.ask()
	}
	return m.flush()
}

// Held is the set held here: the number of its turn, and its version.
func (m *Machine) Held() (turn uint64, version uint32) { return m.turn, m.doc.Version }

// Holds tells whether rules are held that may be in force.
func (m *Machine) Holds() bool { return len(m.rules) > 0 }

// Written says that a write, and all before it, are synced.
func (m *Machine) Written(now fsm.Time, seq uint64) Out {
	m.now, m.written = max(m.now, now), max(m.written, seq)
	var rest []heldSend
	for _, h := range m.awaitingSync {
		if h.seq <= m.written {
			m.send(h.send.To, h.send.Msg)
		} else {
			rest = append(rest, h)
		}
	}
	m.awaitingSync = rest
	return m.flush()
}

// Take takes a message.
func (m *Machine) Take(now fsm.Time, from string, msg any) Out {
	m.now = max(m.now, now)
	if m.c.Longest > 0 {
		m.dispatch(from, msg)
	}
	return m.flush()
}

func (m *Machine) dispatch(from string, msg any) {
	switch t := msg.(type) {
	case Push:
		m.onPush(t)
	case Lease:
		m.onLease(t)
	case Ask:
		m.onAsk(from, t)
	case Forward:
		m.onForward(from, t)
	case Answered:
		m.onAnswered(t)
	case Claimed:
		m.onClaimed(from, t)
	case Appended:
		m.onAppended(from, t)
	case Beaten:
		m.onBeaten(from, t)
	case Claim, Append, Beat:
		if m.c.Member {
			m.dispatchMember(from, msg)
		}
	}
}

func (m *Machine) send(to string, msg any) {
	if to == m.c.Self {
		m.selfSends = append(m.selfSends, fsm.Send{To: to, Msg: msg})
	} else if to != "" {
		m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
	}
}

// durable sends once what is known now is on disk.
func (m *Machine) sendAfterSync(to string, msg any) {
	if m.dirty {
		m.dirty = false
		m.seq++
		w := &Write{m.seq, m.d, m.unwrittenNotes}
		if m.out.Write != nil {
			w.Notes = append(m.out.Write.Notes, w.Notes...)
		}
		m.out.Write, m.unwrittenNotes = w, nil
	}
	if m.seq > m.written {
		m.awaitingSync = append(m.awaitingSync, heldSend{m.seq, fsm.Send{To: to, Msg: msg}})
	} else {
		m.send(to, msg)
	}
}

func (m *Machine) flush() Out {
	for len(m.selfSends) > 0 {
		s := m.selfSends[0]
		m.selfSends = m.selfSends[1:]
		m.dispatch(m.c.Self, s.Msg)
	}
	out := m.out
	m.out = Out{}
	return out
}
