// Package controlplane connects the state machines of one process: changes of membership go to the
// registry, to consensus and to the quota counters; agreed configurations go to the meter. It is a state
// machine itself: its caller owns the sockets, the disk, the clock and the data plane.
package controlplane

import (
	"reflect"
	"slices"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/consensus"
	"asterwell/internal/drainpermit"
	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
	"asterwell/internal/quotas"
	"asterwell/internal/registry"
	"asterwell/internal/rollout"
	"asterwell/internal/sysconfig"
)

// Config is the static configuration of a process.
type Config struct {
	Self              string // mesh address
	Name, Zone        string
	ControlAddr       string // address of its HTTP API
	Member            bool   // has a disk, and may be a member of the core
	Genesis           bool   // the empty disk belongs to a new cluster: no state was lost
	ToleratedLosses   int
	HeartbeatInterval time.Duration // interval of the servers' heartbeats
	Seeds             []string
	Incarnation, Seed uint64
	FaultRules        FaultRulesConfig
	CheckConfig       func(text []byte) error // validates a configuration that parses; nil: accepts all
	Bugs              Bugs
}

// Meter is the part of *quotas.Meter that a Machine uses. Requests are metered concurrently with the
// control loop, so an implementation may guard it by a lock.
type Meter interface {
	SetGateways(now fsm.Time, gateways int, holders []string)
	SetRoster(now fsm.Time, r *quotas.Roster)
	Receive(now fsm.Time, from string, msg any) []fsm.Send
	Tick(now fsm.Time) []fsm.Send
	ReadOverdue(now fsm.Time, holder string) bool // the holder doesn't answer adds
}

// Reply completes a call. Value is the answer type of the machine that handled it, such as registry.Answer
// or consensus.Answer.
type Reply struct {
	CallID uint64
	Value  any
}

// Gateways is the number of gateways that share the traffic, and the index of this one (-1: it is none of
// them).
type Gateways struct{ Count, Index int }

// Output is what the caller has to do after an input.
type Output struct {
	Send            []fsm.Send // may include messages to this process itself
	Write           *consensus.Write
	Replies         []Reply
	Adopt           *sysconfig.Table // the configuration to put in force here
	Parse           *ConfigText      // to be parsed outside the control loop; the result goes to ConfigParsed
	AdoptError      error            // why a stored configuration can't be put in force here
	Doc             *consensus.Doc   // the document of Adopt or AdoptError
	GateChanged     bool
	ServersChanged  bool
	ServerChanges   []registry.Server
	MembersChanged  bool
	Gateways        Gateways // valid if MembersChanged
	LeavingWrite    *registry.LeavingWrite
	FaultRulesWrite *faultrules.Write
	FaultRulesLog   string // log message about fault rules; empty: none
	Fenced          bool   // the disk was restored to an older state than this process has confirmed
	DrainChanged    bool   // Draining has changed; the next tick announces it
}

// Machine combines the state machines of one process.
type Machine struct {
	self              string
	members           *memberlist.Machine
	registry          *registry.Machine
	consensus         *consensus.Machine
	rollout           *rollout.Machine
	prepareWrite      uint64 // sequence number of the write that stores the prepared configuration; 0: stored
	meter             Meter
	counter           *quotas.Counter
	faultRules        *faultrules.Machine
	drain             *drainpermit.Machine
	detours           map[string]*detour // by address of the counter's holder
	nextRelay         int                // next candidate in relays
	nextAsked         int                // next gateway to ask for a sign of life, of those that don't answer
	membershipRuns    int                // membership changes applied since the last tick
	membershipPending bool               // a membership change waits to be applied
	membershipAt      fsm.Time           // when membership was last applied, and the number of nodes then
	nodeCount         int
	lastTick          fsm.Time
	stalled           bool // the process was stalled before this tick: silence is its own fault, not the others'

	contact    contact
	coreBallot consensus.Ballot // ballot of the core members that the registry was told of
	coreKnown  bool
	bugs       Bugs

	parser      parser
	adopting    *ParsedConfig // while it is being put in force
	checkConfig func(text []byte) error
	version     uint32
	leaving     bool
	ready       bool
	out         Output
}

// New starts the machines of a process. A nil disk stands for an empty disk, or for none.
func New(c Config, meter Meter, disk *consensus.DurableState, now fsm.Time) *Machine {
	m := &Machine{
		self: c.Self, meter: meter, faultRules: c.newFaultRules(now), counter: quotas.NewCounter(c.Self, c.Incarnation), detours: map[string]*detour{},
		members: memberlist.New(memberlist.Node{Addr: c.Self, Name: c.Name, Zone: c.Zone, Control: c.ControlAddr, Member: c.Member,
			Incarnation: c.Incarnation}, c.Seeds, c.Seed, now),
		registry: registry.New(c.Self, c.Zone, c.HeartbeatInterval, c.Seed, now),
		rollout:  rollout.New(rollout.Config{Self: c.Self, Name: c.Name, Zone: c.Zone, Seed: c.Seed}), checkConfig: c.CheckConfig,
		drain: drainpermit.New(c.Self, startID(c), c.Bugs.Drain),
		bugs:  c.Bugs, contact: contact{askedAt: map[uint64]fsm.Time{}, retryPause: minProvePause},
	}
	m.consensus = consensus.New(consensus.Config{Self: c.Self, Name: c.Name, Zone: c.Zone, Member: c.Member, Genesis: c.Genesis,
		ToleratedLosses: c.ToleratedLosses, Seeds: c.Seeds, Seed: c.Seed, Transform: m.rollout.PrepareDocument}, disk, now)
	m.consensus.SetBug(c.Bugs.Consensus)
	m.registry.SetBug(c.Bugs.Registry)
	m.updateCore()
	return m
}

// Receive handles a message from a process, possibly from this one.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Output {
	switch group, ok := messageGroups[reflect.TypeOf(msg)]; {
	case !ok:
	case group == memberlistMessages:
		m.applyMembership(now, m.members.Receive(now, from, msg))
	case group == registryMessages:
		m.applyRegistry(m.registry.Receive(now, from, msg))
	case group == consensusMessages:
		m.applyConsensus(now, m.consensus.Receive(now, from, msg))
	case group == faultRuleMessages:
		m.applyFaultRules(func() faultrules.Out { return m.faultRules.Take(now, from, msg) })
	case group == rolloutMessages:
		m.applyRollout(now, m.rollout.Receive(now, from, msg))
	case group == relayMessages:
		m.receiveRelay(now, from, msg.(Relay))
	case group == quotaMessages:
		if a, ok := msg.(quotas.Answer); ok && !a.Probe {
			if d := m.detours[from]; d != nil {
				d.answeredDirectly(a)
			}
		}
		m.send(m.counter.Receive(now, from, msg))
		m.send(m.meter.Receive(now, from, msg))
	}
	return m.takeOutput()
}

// Tick advances the time.
func (m *Machine) Tick(now fsm.Time) Output {
	m.membershipRuns = 0
	m.stalled = m.nodeCount > largeFleet && now-m.lastTick > stallThreshold
	m.lastTick = now
	out := m.members.Tick(now)
	out.Changed = out.Changed || m.membershipPending
	m.applyMembership(now, out)
	m.applyRegistry(m.registry.Tick(now))
	m.applyConsensus(now, m.consensus.Tick(now))
	m.applyRollout(now, m.rollout.Tick(now))
	m.sendLivenessRequests(now, m.counter.Tick(now))
	m.sendAdds(now)
	m.seekContact(now)
	if m.faultRules.Awake() {
		m.applyFaultRules(func() faultrules.Out { return m.faultRules.Tick(now) })
	}
	m.drain.SetReady(m.servable(), m.leaving)
	m.applyDrain(m.drain.Tick(now))
	if ready := m.servable() && !m.drain.Draining(); ready != m.ready {
		m.ready = ready
		m.members.SetReady(ready)
	}
	return m.takeOutput()
}

// ReportAddDelay tells the quota counter here how long an add lately waited in the process's queue behind
// many others.
func (m *Machine) ReportAddDelay(now fsm.Time, waited time.Duration) {
	m.counter.ReportQueueDelay(now, waited)
}

// FlushAdds sends the adds that should not wait for the next tick.
func (m *Machine) FlushAdds(now fsm.Time) Output {
	m.sendAdds(now)
	return m.takeOutput()
}

// ServerHeartbeat handles a heartbeat call of a server.
func (m *Machine) ServerHeartbeat(now fsm.Time, call uint64, b registry.Heartbeat) Output {
	m.applyRegistry(m.registry.Heartbeat(now, call, b))
	return m.takeOutput()
}

// RemoveServer handles a server's call that it has ended.
func (m *Machine) RemoveServer(now fsm.Time, call uint64, id string) Output {
	m.applyRegistry(m.registry.Deregister(now, call, id))
	return m.takeOutput()
}

// PutConfig proposes an operator's configuration, which the caller has validated.
func (m *Machine) PutConfig(now fsm.Time, call uint64, doc consensus.Doc) Output {
	m.applyConsensus(now, m.consensus.Put(now, call, doc))
	return m.takeOutput()
}

// GetConfig reads the newest configuration.
func (m *Machine) GetConfig(now fsm.Time, call uint64) Output {
	m.applyConsensus(now, m.consensus.Get(now, call))
	return m.takeOutput()
}

// Written reports that the write with this sequence number, and all before it, are synced to disk.
func (m *Machine) Written(now fsm.Time, seq uint64) Output {
	m.applyConsensus(now, m.consensus.WriteDone(now, seq))
	if m.prepareWrite != 0 && seq >= m.prepareWrite {
		m.prepareWrite = 0
		m.applyRollout(now, m.rollout.DocumentSynced(now))
	}
	return m.takeOutput()
}

// Leave announces that this process will end.
func (m *Machine) Leave(now fsm.Time) Output {
	m.leaving, m.ready = true, false
	m.drain.SetReady(false, true)
	m.applyMembership(now, m.members.Leave(now))
	m.applyConsensus(now, m.consensus.Leave(now, consensus.LeaveEventually))
	return m.takeOutput()
}

// AnnounceExit tells the core that this process ends as soon as the others can do without it, or soon in
// any case.
func (m *Machine) AnnounceExit(now fsm.Time, urgency consensus.LeaveUrgency) Output {
	m.applyConsensus(now, m.consensus.Leave(now, urgency))
	return m.takeOutput()
}

// CanExit reports whether the others can do without this process.
func (m *Machine) CanExit() bool { return m.consensus.MayExit() }

// SetSeeds replaces the seed addresses.
func (m *Machine) SetSeeds(now fsm.Time, seeds []string) {
	m.members.SetSeeds(now, seeds)
	m.consensus.SetSeeds(now, seeds)
}

// Ready reports whether this process should get requests.
func (m *Machine) Ready() bool { return m.ready }

// Alone reports whether no other process is up as far as this one knows.
func (m *Machine) Alone() bool { return m.members.Alone() }

// ConfigVersion returns the version of the configuration in force here; 0: none.
func (m *Machine) ConfigVersion() uint32 { return m.version }

// Nodes returns every known process.
func (m *Machine) Nodes() []memberlist.Node { return m.members.View() }

// Servers returns every known server.
func (m *Machine) Servers() []registry.Server { return m.registry.Servers() }

// GatewaySights returns every known process with the details that operators are shown.
func (m *Machine) GatewayStatuses(now fsm.Time) []memberlist.NodeStatus {
	return m.members.NodeStatuses(now)
}

// ServerSights returns every known server with the details that operators are shown.
func (m *Machine) ServerStatuses(now fsm.Time) []registry.ServerStatus {
	return m.registry.ServerStatuses(now)
}

// Epochs returns the consensus epochs seen by this process, the newest last.
func (m *Machine) Epochs() []consensus.EpochChange { return m.consensus.EpochHistory() }

// ConsensusStatus returns the state of consensus.
func (m *Machine) ConsensusStatus() consensus.Status { return m.consensus.Status() }

func (m *Machine) takeOutput() Output {
	out := m.out
	m.out = Output{}
	return out
}

func (m *Machine) send(out []fsm.Send) { m.out.Send = append(m.out.Send, out...) }

// Each application of a membership change looks at all nodes. So no more than maxMembershipRuns are made
// between two ticks, and beyond largeFleet nodes there is a pause between two; changes that come
// meanwhile, as when all processes start, are applied together.
const (
	maxMembershipRuns      = 2
	membershipPausePerNode = 500 * time.Microsecond // for each node above largeFleet
	largeFleet             = 100                    // nodes

	stallThreshold = 100 * time.Millisecond // between two ticks; in a large fleet each stalled process would otherwise search for relays
)

// applyMembership carries out the output of membership.
func (m *Machine) applyMembership(now fsm.Time, out memberlist.Out) {
	m.send(out.Send)
	for _, held := range out.HeldVersions {
		m.consensus.NotePeerVersion(held.Addr, held.Version)
	}
	if !out.Changed {
		return
	}
	if m.membershipRuns++; m.membershipRuns > maxMembershipRuns || now-m.membershipAt < time.Duration(max(0, m.nodeCount-largeFleet))*membershipPausePerNode {
		m.membershipPending = true
		return
	}
	nodes := m.members.View()
	m.membershipPending, m.membershipAt, m.nodeCount = false, now, len(nodes)
	up := lo.Filter(nodes, func(n memberlist.Node, _ int) bool { return n.State == memberlist.Up })
	m.applyRegistry(m.registry.SetNodes(now, nodes)) // a leaving process still serves, and needs to know the servers
	m.consensus.SetPeers(now, lo.Map(nodes, func(n memberlist.Node, _ int) consensus.Peer {
		return consensus.Peer{Addr: n.Addr, Name: n.Name, Zone: n.Zone, Member: n.Member, Up: n.State == memberlist.Up, Version: n.ConfigVersion}
	}))
	m.rollout.SetNodes(lo.Map(up, func(n memberlist.Node, _ int) rollout.Node {
		return rollout.Node{Name: n.Name, Zone: n.Zone, Addr: n.Addr, Member: n.Member}
	}))
	m.updateDrainPeers(nodes)
	m.out.MembersChanged = true
	m.faultRules.Nodes(lo.FilterMap(nodes, func(n memberlist.Node, _ int) (faultrules.Node, bool) {
		return faultrules.Node{Addr: n.Addr, Life: n.Incarnation}, n.State != memberlist.Gone
	}))
	m.out.Gateways = Gateways{len(up), slices.IndexFunc(up, func(n memberlist.Node) bool { return n.Addr == m.self })}
	holders := dutyOrder(up)
	m.counter.SetGateways(holders)
	m.meter.SetGateways(now, len(up), holders)
}

// dutyOrder returns the addresses of the processes in the order in which duties that one process does are
// assigned. Processes with a disk come first: they have more processor time, and are the last to be
// removed.
func dutyOrder(up []memberlist.Node) []string {
	all := make([]string, 0, len(up))
	for _, members := range []bool{true, false} {
		for i := range up {
			if up[i].Member == members {
				all = append(all, up[i].Addr)
			}
		}
	}
	return all
}

// applyConsensus carries out the output of consensus.
func (m *Machine) applyConsensus(now fsm.Time, out consensus.Out) {
	if out.Write != nil {
		m.out.Write = out.Write
	}
	if out.Fenced {
		m.out.Fenced = true
		m.faultRules.Forget()
	}
	m.send(out.Send)
	for _, a := range out.Answers {
		if m.takeProof(now, a) {
			m.out.Replies = append(m.out.Replies, Reply{a.ID, a})
		}
	}
	m.updateCore()
	m.feedRollout(now, out)
}

// applyRegistry carries out the output of the registry.
func (m *Machine) applyRegistry(out registry.Out) {
	m.send(out.Send)
	if out.Write != nil {
		m.out.LeavingWrite = out.Write
	}
	for _, a := range out.Answers {
		m.out.Replies = append(m.out.Replies, Reply{a.Call, a})
	}
	m.out.ServersChanged = m.out.ServersChanged || len(out.Changes) > 0
	m.out.ServerChanges = append(m.out.ServerChanges, out.Changes...)
}
