package rollout

import (
	"math/rand/v2"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/policy"
	"asterwell/internal/sysconfig"
)

// Terms are the times of leases and holds, the same at every node.
var Terms = policy.Terms{Lease: 1500 * time.Millisecond, Drift: 0.05, Renew: 400 * time.Millisecond,
	CheckWithin: time.Second, HoldWithin: 150 * time.Millisecond}

// Config identifies the process.
type Config struct {
	Self, Name, Zone string
	Seed             uint64
}

// Out is the result of an input: what the caller has to do.
type Out struct {
	Send            []fsm.Send
	Adopt           *consensus.Doc  // to put in force here
	Read            *consensus.Doc  // to read, then call TextRead; replaces an earlier one
	Check           *consensus.Doc  // to check, then call TextChecked; replaces an earlier one
	Gate            bool            // Gate may have changed
	ConfirmLead     bool            // have the writers confirm this primary, then call ConfirmationStarted
	WithdrawReplies []WithdrawReply // for calls made at this process
	Amend           *consensus.Doc  // to agree on; call AmendmentRejected if it can't be proposed
}

// Machine is the state machine of one process.
type Machine struct {
	config      Config
	incarnation uint64 // random, of this process
	doc         consensus.Doc
	state       State
	rollout     sysconfig.Rollout // of the live version
	synced      bool              // doc is on disk, or needn't be
	adopted     uint32
	reading     uint32  // the newest version that is being read
	verdict     verdict // on the prepared version
	primary     string
	nodes       []Node

	holder      *policy.Holder
	holdEpoch   consensus.Ballot // to which the hold of holder belongs
	pulledAt    fsm.Time
	behindSince fsm.Time // since when the primary is known to have a newer document; 0: it has none
	soughtAt    fsm.Time // when another process was last asked for the primary
	seekIndex   int

	withdrawCalls []withdrawCall // made at this process

	lead       *leadership
	leadSeenAt fsm.Time // the time of the last input to lead
	bug        Bug
	out        Out
}

// Node is a live process, as membership sees it.
type Node struct {
	Name, Zone, Addr string
	Member           bool // has a disk
}

// Bug disables a safeguard, to check that the simulator finds its absence.
type Bug uint8

// The bugs.
const (
	BugOneConfirmationShort    Bug = iota + 1 // one confirmation less than required is enough
	BugTurnIgnoresLeases                      // a version becomes live without waiting for leases
	BugConfirmBeforeHeld                      // a node confirms a version before it holds it
	BugCountEarlierIncarnation                // confirmations of a node's earlier incarnation count
	BugStaleLeaseCheck                        // a lease is checked against the time before a freeze
	BugSuccessorSkipsWait                     // a new primary doesn't wait for the leases of the one before to expire
	BugGrantUnconfirmed                       // leases are granted without confirmation by the writers
	BugReplyBeforeKept                        // a withdrawal is reported before it is kept
	BugAbsentUnconfirmed                      // a version is reported absent without confirmation by the writers
	BugForgetWithdrawn                        // versions withdrawn before the newest one are forgotten
	BugIgnoreFence                            // a delayed call withdraws a version that came after it
	BugEmptyHoldCounts                        // a hold counts as agreed although all leases expired in it
)

// verdict is the result of checking a prepared version.
type verdict struct {
	version uint32 // being checked
	known   bool
	refusal string
	rollout sysconfig.Rollout
}

// New returns the state machine of a starting process.
func New(c Config) *Machine {
	rng := rand.New(rand.NewPCG(c.Seed, 0xacc0))
	return &Machine{config: c, incarnation: rng.Uint64() | 1, holder: policy.NewHolder(Terms, c.Name, c.Zone, "")}
}

// SetBug disables a safeguard.
func (m *Machine) SetBug(b Bug) { m.bug = b }

// SetDocument sets the newest agreed document. synced: it is on disk, or needn't be; else DocumentSynced
// follows once it is.
func (m *Machine) SetDocument(now fsm.Time, d consensus.Doc, synced bool) Out {
	m.doc, m.state, m.synced, m.behindSince = d, ReadState(d), synced, 0
	live := &consensus.Doc{Version: m.state.Version, Body: m.state.Body}
	switch {
	case live.Version <= m.adopted:
	case !m.rollout.Together: // nodes put versions in force separately, so this one may be read first
		if live.Version > m.reading {
			m.reading, m.out.Read = live.Version, live
		}
	case m.verdict.known && m.verdict.version == live.Version:
		m.adopt(live, m.verdict.rollout)
	default: // this process never saw it as prepared
		m.adopt(live, sysconfig.RolloutOf(live.Body))
	}
	m.confirmPrepared(now)
	if m.lead != nil {
		m.updateLead(now)
	}
	return m.takeOut()
}

func (m *Machine) adopt(live *consensus.Doc, r sysconfig.Rollout) {
	m.adopted, m.rollout = live.Version, r
	m.out.Adopt, m.out.Gate = live, true
	m.holder.RenewNow()
}

// TextRead reports that a text has been read, and its rollout. A version that has been overtaken meanwhile
// is put in force as well, so that a series of changes delays none of them, unless it asks for mode
// "together".
func (m *Machine) TextRead(now fsm.Time, read consensus.Doc, r sysconfig.Rollout) Out {
	if read.Version > m.adopted && !m.rollout.Together && (read.Version == m.state.Version || !r.Together) {
		m.adopt(&read, r)
		m.confirmPrepared(now)
		if m.lead != nil {
			m.updateLead(now)
		}
	}
	return m.takeOut()
}

// TextChecked reports the result of checking a text; an empty refusal means that it can be put in force.
func (m *Machine) TextChecked(now fsm.Time, version uint32, r sysconfig.Rollout, refusal string) Out {
	if version == m.verdict.version {
		m.verdict.known, m.verdict.rollout, m.verdict.refusal = true, r, refusal
		m.confirmPrepared(now)
	}
	return m.takeOut()
}

// DocumentSynced reports that the document is on this process's disk.
func (m *Machine) DocumentSynced(now fsm.Time) Out {
	m.synced = true
	m.confirmPrepared(now)
	return m.takeOut()
}

// SetUnable reports that this process can't put the live version in force.
func (m *Machine) SetUnable() { m.holder.AdoptFailed() }

// SetNodes sets the live processes.
func (m *Machine) SetNodes(nodes []Node) { m.nodes = nodes }

// SetPrimary sets the address of the process that is believed to be the primary.
func (m *Machine) SetPrimary(addr string) {
	if addr != m.primary {
		m.primary = addr
		m.holder.RenewNow()
	}
}

// SetLead reports whether this process is the primary, and of which epoch.
func (m *Machine) SetLead(now fsm.Time, epoch consensus.Ballot, leads bool) Out {
	switch {
	case !leads:
		m.lead = nil
	case m.lead == nil || m.lead.epoch != epoch:
		m.lead = &leadership{epoch: epoch, addrs: map[uint64]string{}}
		m.updateLead(now)
	}
	return m.takeOut()
}

// Receive handles a message.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Out {
	switch t := msg.(type) {
	case LeaseRequest:
		m.handleLeaseRequest(now, from, t)
	case LeaseGrant:
		m.handleGrant(now, from, t)
	case WithdrawRequest:
		m.handleWithdraw(now, from, t)
	case WithdrawReply:
		m.handleWithdrawReply(t)
	}
	return m.takeOut()
}

// Tick does what is due: lease requests, repeated calls, the primary's steps.
func (m *Machine) Tick(now fsm.Time) Out {
	if m.rollout.Together {
		m.requestLease(now)
	}
	m.sendWithdrawCalls(now)
	if m.lead != nil {
		m.tickLead(now)
	}
	return m.takeOut()
}

func (m *Machine) send(to string, msg any) {
	if to != "" {
		m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
	}
}

func (m *Machine) takeOut() Out {
	out := m.out
	m.out = Out{}
	return out
}
