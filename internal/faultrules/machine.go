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
	askEvery   = 250 * time.Millisecond
	hurryEvery = 10 * time.Millisecond
	beatEvery  = 200 * time.Millisecond
	againEvery = 100 * time.Millisecond // what is not answered goes out again
	pushEvery  = 300 * time.Millisecond
	patience   = 800 * time.Millisecond // an operator's call ends within it
	slack      = 200 * time.Millisecond // on its way a record doesn't age
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

type held struct {
	seq  uint64
	send fsm.Send
}

// Machine is one process's part.
type Machine struct {
	c     Config
	judge *Judge
	rng   *rand.Rand
	salt  uint64
	now   fsm.Time
	place Place
	nodes []Node
	out   Out
	loop  []fsm.Send // to itself
	bug   Bug

	// as any process: node.go
	term    Term
	turn    uint64
	doc     Doc
	rules   []Rule
	ends    []fsm.Time // at the latest, by this clock
	asked   fsm.Time
	leased  Record // by which the newest lease went: its term and number
	confirm bool   // the primary is to hear what is held
	refused bool   // the set is not valid here

	// as a member: member.go
	d       Disk
	since   fsm.Time // when Kept was taken
	sure    bool     // and it was in this life
	dirty   bool
	seq     uint64
	written uint64
	held    []held
	logTerm Term // whose notes are here, so many of them
	logUpTo uint64
	fresh   []Entry // to be written

	lead  *lead
	rises uint64
	calls []*call
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
	return len(m.rules) > 0 || m.confirm || m.lead != nil || len(m.calls) > 0 || m.judge.Backlog() > 0
}

// Place takes agreement's view. It must be told before any input while Awake.
func (m *Machine) Place(p Place) {
	m.place = p
	if m.lead != nil && (!p.Leads || p.N != m.lead.term.N || !slices.Equal(p.Members, m.lead.members)) {
		m.lead = nil
	}
}

// Nodes takes membership's view.
func (m *Machine) Nodes(nodes []Node) { m.nodes = slices.Clone(nodes) }

// Tick lets time pass.
func (m *Machine) Tick(now fsm.Time) Out {
	m.now = max(m.now, now)
	if m.Awake() {
		m.expire()
		m.tend()
		m.steer()
	}
	return m.end()
}

// Hurry asks for strikes at once if requests wait for them.
func (m *Machine) Hurry(now fsm.Time) Out {
	m.now = max(m.now, now)
	if m.now-m.asked >= hurryEvery && m.judge.Due() {
		m.ask()
	}
	return m.end()
}

// Held is the set held here: the number of its turn, and its version.
func (m *Machine) Held() (turn uint64, version uint32) { return m.turn, m.doc.Version }

// Holds tells whether rules are held that may be in force.
func (m *Machine) Holds() bool { return len(m.rules) > 0 }

// Written says that a write, and all before it, are synced.
func (m *Machine) Written(now fsm.Time, seq uint64) Out {
	m.now, m.written = max(m.now, now), max(m.written, seq)
	var rest []held
	for _, h := range m.held {
		if h.seq <= m.written {
			m.send(h.send.To, h.send.Msg)
		} else {
			rest = append(rest, h)
		}
	}
	m.held = rest
	return m.end()
}

// Take takes a message.
func (m *Machine) Take(now fsm.Time, from string, msg any) Out {
	m.now = max(m.now, now)
	if m.c.Longest > 0 {
		m.take(from, msg)
	}
	return m.end()
}

func (m *Machine) take(from string, msg any) {
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
			m.takeMember(from, msg)
		}
	}
}

func (m *Machine) send(to string, msg any) {
	if to == m.c.Self {
		m.loop = append(m.loop, fsm.Send{To: to, Msg: msg})
	} else if to != "" {
		m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
	}
}

// durable sends once what is known now is on disk.
func (m *Machine) durable(to string, msg any) {
	if m.dirty {
		m.dirty = false
		m.seq++
		w := &Write{m.seq, m.d, m.fresh}
		if m.out.Write != nil {
			w.Notes = append(m.out.Write.Notes, w.Notes...)
		}
		m.out.Write, m.fresh = w, nil
	}
	if m.seq > m.written {
		m.held = append(m.held, held{m.seq, fsm.Send{To: to, Msg: msg}})
	} else {
		m.send(to, msg)
	}
}

func (m *Machine) end() Out {
	for len(m.loop) > 0 {
		s := m.loop[0]
		m.loop = m.loop[1:]
		m.take(m.c.Self, s.Msg)
	}
	out := m.out
	m.out = Out{}
	return out
}
