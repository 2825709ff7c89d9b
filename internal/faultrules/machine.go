package faultrules

import (
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/fsm"
)

// LeaseFor is how long rules stay in force on a process that loses contact.
const LeaseFor = time.Second

const (
	askInterval       = 250 * time.Millisecond
	urgentAskInterval = 10 * time.Millisecond
	heartbeatInterval = 200 * time.Millisecond
	retryInterval     = 100 * time.Millisecond // for unanswered messages
	pushInterval      = 300 * time.Millisecond
	callTimeout       = 800 * time.Millisecond // for an operator's call
	recordAgeMargin   = 200 * time.Millisecond // upper bound on the transit time of a record, during which its age isn't counted
)

// Config describes this process.
type Config struct {
	Self, Name string
	Life, Seed uint64
	Member     bool          // a core member, with a disk
	Longest    time.Duration // longest lifetime of a rule; 0 disables fault rules
	Bug        Bug           // injected by tests
}

// Place is the consensus layer's current view.
type Place struct {
	N       uint64 // epoch
	Primary string
	Leads   bool // this process is the primary
	Members []string
}

// Node is one incarnation of a process that membership considers live.
type Node struct {
	Addr string
	Life uint64
}

// Write asks the caller to replace and sync a member's stored state.
type Write struct {
	Seq   uint64
	Disk  Disk
	Notes []Entry // to append to the strike log, even if a later Write supersedes Disk
}

// Out holds the actions that the machine asks its caller to perform.
type Out struct {
	Send    []fsm.Send
	Write   *Write
	Answers []Reply
	News    string // a log line; empty for none
}

// Reply carries the answer to the operator's call with this ID.
type Reply struct {
	ID     uint64
	Answer Answer
}

// heldSend is a message that waits for the write seq to be synced.
type heldSend struct {
	seq  uint64
	send fsm.Send
}

// Machine is the fault-rule state machine of one process. It does no I/O: the caller passes in
// time and messages and performs the actions in Out.
type Machine struct {
	c         Config
	judge     *Judge
	rng       *rand.Rand
	salt      uint64
	now       fsm.Time
	place     Place
	nodes     []Node
	out       Out
	selfSends []fsm.Send // messages from this process to itself
	bug       Bug

	// State of every process, see node.go.
	term        Term
	turn        uint64
	doc         Doc
	rules       []Rule
	ends        []fsm.Time // latest expiry of each rule, on the local clock
	asked       fsm.Time
	leaseRecord Record // term and sequence number of the record behind the newest lease
	mustConfirm bool   // the held set must still be confirmed to the primary
	setInvalid  bool   // the set is not valid on this process

	// State of members, see member.go.
	d              Disk
	keptAt         fsm.Time // when d.Kept was written by the primary, on the local clock
	ageKnown       bool     // keptAt is valid: the record arrived in this incarnation
	dirty          bool
	seq            uint64
	written        uint64
	awaitingSync   []heldSend
	logTerm        Term // logUpTo counts the notes of this term that are stored
	logUpTo        uint64
	unwrittenNotes []Entry // for the next Write

	primaryState *primaryState
	termsStarted uint64
	calls        []*call
}

// New returns a Machine. A nil disk stands for an empty one or for none.
func New(c Config, j *Judge, d *Disk, now fsm.Time) *Machine {
	h := fnv.New64a()
	h.Write([]byte(c.Self))
	m := &Machine{c: c, judge: j, bug: c.Bug, rng: rand.New(rand.NewPCG(c.Seed^0xba9e, h.Sum64())), now: now}
	m.salt, j.early = m.rng.Uint64(), c.Bug == StrikesUnrecorded
	if c.Member && d != nil {
		m.d = *d
	}
	return m
}

// Awake reports whether there is work to do. If not, Tick does nothing.
func (m *Machine) Awake() bool {
	return len(m.rules) > 0 || m.mustConfirm || m.primaryState != nil || len(m.calls) > 0 || m.judge.Backlog() > 0
}

// Place sets the consensus layer's view. While Awake, it must be called before any other input.
func (m *Machine) Place(p Place) {
	m.place = p
	if m.primaryState != nil && (!p.Leads || p.N != m.primaryState.term.N || !slices.Equal(p.Members, m.primaryState.members)) {
		m.primaryState = nil
	}
}

// Nodes sets the live processes according to membership.
func (m *Machine) Nodes(nodes []Node) { m.nodes = slices.Clone(nodes) }

// Tick advances the clock and performs periodic work.
func (m *Machine) Tick(now fsm.Time) Out {
	m.now = max(m.now, now)
	if m.Awake() {
		m.tickCalls()
		m.tickNode()
		m.tickPrimary()
	}
	return m.flush()
}

// Hurry asks the primary for strikes immediately if requests wait for them.
func (m *Machine) Hurry(now fsm.Time) Out {
	m.now = max(m.now, now)
	if m.now-m.asked >= urgentAskInterval && m.judge.Due() {
		m.ask()
	}
	return m.flush()
}

// Held returns the turn and version of the set held by this process.
func (m *Machine) Held() (turn uint64, version uint32) { return m.turn, m.doc.Version }

// Holds reports whether this process holds rules that may be in force.
func (m *Machine) Holds() bool { return len(m.rules) > 0 }

// Written reports that the write seq and all earlier ones are synced.
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

// Take handles a message from another process.
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
	case ForwardReply:
		m.onForwardReply(t)
	case ClaimReply:
		m.onClaimReply(from, t)
	case AppendReply:
		m.onAppendReply(from, t)
	case HeartbeatReply:
		m.onHeartbeatReply(from, t)
	case Claim, Append, Heartbeat:
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

// sendAfterSync sends a message once the current state is synced.
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

// flush handles the messages to itself and returns the collected actions.
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
