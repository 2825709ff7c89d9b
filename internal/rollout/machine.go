package rollout

import (
	"math/rand/v2"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/policy"
	"asterwell/internal/sysconfig"
)

// Terms are the times of leases and turns, the same at every node.
var Terms = policy.Terms{Lease: 1500 * time.Millisecond, Drift: 0.05, Renew: 400 * time.Millisecond,
	CheckWithin: time.Second, HoldWithin: 150 * time.Millisecond}

// Config is what a process knows about itself.
type Config struct {
	Self, Name, Zone string
	Seed             uint64
}

// Out is what follows from an input.
type Out struct {
	Send            []fsm.Send
	Adopt           *consensus.Doc  // to be in force here
	Read            *consensus.Doc  // to be read, then tell Taken; a newer one takes its place
	Check           *consensus.Doc  // the same, then tell Checked
	Gate            bool            // Gate may have changed
	ConfirmLead     bool            // ask the writers whether this is the primary still, then tell Affirming
	WithdrawReplies []WithdrawReply // to those who made the calls
	Amend           *consensus.Doc  // to be kept by agreement; tell Dropped if it can't be
}

// Machine is one process's part.
type Machine struct {
	c       Config
	id      uint64 // of this life
	doc     consensus.Doc
	side    State
	rollout sysconfig.Rollout // of what is live
	synced  bool              // doc is on disk, where there is one
	adopted uint32
	reading uint32  // the newest that is to be read
	verdict verdict // on what is prepared
	primary string
	nodes   []Node

	holder *policy.Holder
	epoch  consensus.Ballot // whose round the holder holds
	pulled fsm.Time
	lacks  fsm.Time // since when the primary is known to have a newer document; 0: it has none
	sought fsm.Time // when another process was last asked who leads
	turns  int

	wishes []wish // to withdraw, made here

	lead *lead
	seen fsm.Time // when lead was last told the time
	bug  Bug
	out  Out
}

// Node is a process that lives, as membership sees it.
type Node struct {
	Name, Zone, Addr string
	Member           bool // has a disk
}

// Bug switches a guard off, to show that the judge misses it.
type Bug uint8

// The bugs.
const (
	BugOneConfirmationShort    Bug = iota + 1 // one confirmation short is enough
	BugTurnIgnoresLeases                      // the turn doesn't wait for leases
	BugConfirmBeforeHeld                      // confirmed before it is held
	BugCountEarlierIncarnation                // the word of a node's earlier life counts
	BugStaleLeaseCheck                        // a lease is looked at with the time before the freeze
	BugSuccessorSkipsWait                     // a new primary doesn't wait out the leases of the one before
	BugGrantUnconfirmed                       // leases are granted without asking the writers
	BugReplyBeforeKept                        // a withdrawal is told before it is kept
	BugAbsentUnconfirmed                      // that a version is not there is told without asking the writers
	BugForgetWithdrawn                        // what was withdrawn before the newest version is not remembered
	BugIgnoreFence                            // a wish withdraws what came after it
	BugEmptyHoldCounts                        // a hold in which all leases ran out counts as agreed
)

// verdict is what this process makes of a text that is prepared.
type verdict struct {
	version uint32 // that is looked at
	known   bool
	refusal string
	rollout sysconfig.Rollout
}

// New starts a process.
func New(c Config) *Machine {
	rng := rand.New(rand.NewPCG(c.Seed, 0xacc0))
	return &Machine{c: c, id: rng.Uint64() | 1, holder: policy.NewHolder(Terms, c.Name, c.Zone, "")}
}

// SetBug switches a guard off.
func (m *Machine) SetBug(b Bug) { m.bug = b }

// SetDocument takes the newest document that is kept. Synced says that no disk has to have it
// first; else Synced is called once it has.
func (m *Machine) SetDocument(now fsm.Time, d consensus.Doc, synced bool) Out {
	m.doc, m.side, m.synced, m.lacks = d, ReadState(d), synced, 0
	live := &consensus.Doc{Version: m.side.Version, Body: m.side.Body}
	switch {
	case live.Version <= m.adopted:
	case !m.rollout.Together: // each takes it up when it can, so it may be read first
		if live.Version > m.reading {
			m.reading, m.out.Read = live.Version, live
		}
	case m.verdict.known && m.verdict.version == live.Version:
		m.adopt(live, m.verdict.rollout)
	default: // missed while it was prepared
		m.adopt(live, sysconfig.RolloutOf(live.Body))
	}
	m.prepare(now)
	if m.lead != nil {
		m.turn(now)
	}
	return m.end()
}

func (m *Machine) adopt(live *consensus.Doc, r sysconfig.Rollout) {
	m.adopted, m.rollout = live.Version, r
	m.out.Adopt, m.out.Gate = live, true
	m.holder.Again()
}

// TextRead tells that a text has been read that was to be, and which rollout it wants. One that has been overtaken meanwhile is
// put in force as well, so that a row of changes holds up none of them, unless it was to be in force together.
func (m *Machine) TextRead(now fsm.Time, read consensus.Doc, r sysconfig.Rollout) Out {
	if read.Version > m.adopted && !m.rollout.Together && (read.Version == m.side.Version || !r.Together) {
		m.adopt(&read, r)
		m.prepare(now)
		if m.lead != nil {
			m.turn(now)
		}
	}
	return m.end()
}

// TextChecked tells what came of a text that was to be checked; refusal "" is that it can be taken.
func (m *Machine) TextChecked(now fsm.Time, version uint32, r sysconfig.Rollout, refusal string) Out {
	if version == m.verdict.version {
		m.verdict.known, m.verdict.rollout, m.verdict.refusal = true, r, refusal
		m.prepare(now)
	}
	return m.end()
}

// DocumentSynced says that the document is on this process's disk.
func (m *Machine) DocumentSynced(now fsm.Time) Out {
	m.synced = true
	m.prepare(now)
	return m.end()
}

// SetUnable says that what was to be in force here can't be.
func (m *Machine) SetUnable() { m.holder.Unable() }

// SetNodes takes the processes that live.
func (m *Machine) SetNodes(nodes []Node) { m.nodes = nodes }

// SetPrimary takes the address of the one that is thought to lead.
func (m *Machine) SetPrimary(addr string) {
	if addr != m.primary {
		m.primary = addr
		m.holder.Again()
	}
}

// SetLead says whether this process is the primary, and of which epoch.
func (m *Machine) SetLead(now fsm.Time, epoch consensus.Ballot, leads bool) Out {
	switch {
	case !leads:
		m.lead = nil
	case m.lead == nil || m.lead.epoch != epoch:
		m.lead = &lead{epoch: epoch, addrs: map[uint64]string{}}
		m.turn(now)
	}
	return m.end()
}

// Receive takes a message.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Out {
	switch t := msg.(type) {
	case LeaseRequest:
		m.asked(now, from, t)
	case LeaseGrant:
		m.granted(now, from, t)
	case WithdrawRequest:
		m.wished(now, from, t)
	case WithdrawReply:
		m.told(t)
	}
	return m.end()
}

// Tick lets time pass.
func (m *Machine) Tick(now fsm.Time) Out {
	if m.rollout.Together {
		m.ask(now)
	}
	m.urge(now)
	if m.lead != nil {
		m.tick(now)
	}
	return m.end()
}

func (m *Machine) send(to string, msg any) {
	if to != "" {
		m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
	}
}

func (m *Machine) end() Out {
	out := m.out
	m.out = Out{}
	return out
}
