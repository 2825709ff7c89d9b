// Package cluster lets gateways that communicate agree on a policy. A few of them are
// voters of a Raft group (go.etcd.io/raft); all of them follow the leader by leases.
//
// Voter is one replica with its log. It uses no sockets, goroutines or clocks, so that
// package world can simulate it, and stores its state through a Disk. Node connects the
// voter and the gateway's lease holder to the network.
package cluster

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"

	"asterwell/internal/policy"
)

// Peer is a voter or a candidate for one. ID is created with the folder, so a member that
// restarts under the same name with an empty disk is another peer.
type Peer struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"` // address of its port for other members
	Zone    string `json:"zone,omitempty"`
}

// Saved is the state that a disk holds.
type Saved struct {
	Self     Peer
	Cluster  string
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
}

// Disk stores a voter's log. Save returns once everything is durable; only then may
// messages that depend on it be sent. After an error, what was stored is unknown.
type Disk interface {
	Load() (*Saved, error)
	// Save's snapshot comes from another voter and replaces all stored entries.
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
	// Compact stores an own snapshot and deletes the entries that it covers.
	Compact(snapshot *raftpb.Snapshot) error
}

// Raft timing. Only leaders use Raft's own ticks. Election timeouts of followers are
// drawn here from the injected random numbers, since Raft's own source is global to the
// process and a simulation could not replay it.
const (
	heartbeatInterval = 40 * time.Millisecond             // between a leader's Raft ticks
	electionTicks     = 10                                // a leader without contact to a quorum for so many ticks steps down
	electionTimeout   = electionTicks * heartbeatInterval // minimum; the actual timeout is up to twice that
	readInterval      = 25 * time.Millisecond             // between confirmations of the leader, each for all renewals received since the last
	readIntervalBusy  = time.Millisecond                  // while a change is pending
	snapshotInterval  = 500                               // entries
	keptEntries       = 100                               // entries kept although a snapshot covers them, for followers slightly behind
)

// state is the replicated state, as stored in snapshots.
type state struct {
	Register *policy.Register `json:"register"`
	Peers    map[uint64]Peer  `json:"peers"`
}

// Voter is one replica of the Raft group.
type Voter struct {
	Self   Peer
	terms  policy.Terms
	disk   Disk
	random func() uint64

	rn            *raft.RawNode
	mem           *raft.MemoryStorage
	state         state
	conf          *raftpb.ConfState
	applied       uint64
	confIndex     uint64 // log index of the last membership change
	snapshotIndex uint64
	term          uint64
	vote          uint64
	leader        uint64

	nextTick      time.Duration
	leaderHeardAt time.Duration // last message from the leader
	campaignAt    time.Duration
	coordinator   *policy.Coordinator
	token         uint64
	reading       bool
	readIndex     uint64 // the read completes once this index is applied; 0: not yet confirmed
	readWanted    bool   // the coordinator wants a confirmation
	readAt        time.Duration
	replace       *replacement
	snapshotsSent map[uint64]time.Duration // when a snapshot was sent to a peer that has not acknowledged it

	err    error
	out    []*raftpb.Message
	grants []policy.Directed
}

// replacement is a voter change under way.
type replacement struct {
	old uint64
	new Peer
}

// Bootstrap returns the initial state of a cluster, the same at all initial voters.
func Bootstrap(voters []Peer) *raftpb.Snapshot {
	s := state{Register: policy.NewRegister(), Peers: map[uint64]Peer{}}
	conf := &raftpb.ConfState{}
	for _, p := range voters {
		s.Peers[p.ID] = p
		conf.Voters = append(conf.Voters, p.ID)
	}
	slices.Sort(conf.Voters)
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return &raftpb.Snapshot{Data: data, Metadata: &raftpb.SnapshotMetadata{Index: new(uint64(1)), Term: new(uint64(1)), ConfState: conf}}
}

// NewVoter starts a replica from its disk. A replica whose folder has no cluster state
// waits until it is made a voter.
func NewVoter(disk Disk, terms policy.Terms, random func() uint64, now time.Duration) (*Voter, error) {
	saved, err := disk.Load()
	if err != nil {
		return nil, err
	}
	v := &Voter{Self: saved.Self, terms: terms, disk: disk, random: random, snapshotsSent: map[uint64]time.Duration{}, mem: raft.NewMemoryStorage(), leaderHeardAt: now, nextTick: now,
		state: state{Register: policy.NewRegister(), Peers: map[uint64]Peer{}}, conf: &raftpb.ConfState{}}
	if s := saved.Snapshot; s != nil {
		if err := v.mem.ApplySnapshot(s); err != nil {
			return nil, err
		}
		if err := v.restore(s); err != nil {
			return nil, err
		}
	}
	if saved.Hard != nil {
		if err := v.mem.SetHardState(saved.Hard); err != nil {
			return nil, err
		}
		v.term, v.vote = saved.Hard.GetTerm(), saved.Hard.GetVote()
	}
	if err := v.mem.Append(saved.Entries); err != nil {
		return nil, err
	}
	if err := v.recoverPanic(func() error {
		v.rn, err = raft.NewRawNode(&raft.Config{ID: v.Self.ID, ElectionTick: electionTicks, HeartbeatTick: 2, Storage: v.mem, Applied: v.applied,
			MaxSizePerMsg: 1 << 20, MaxInflightMsgs: 64, MaxUncommittedEntriesSize: 16 << 20, CheckQuorum: true, PreVote: true, StepDownOnRemoval: true,
			DisableProposalForwarding: true, Logger: discardLogger{}})
		return err
	}); err != nil {
		return nil, err
	}
	v.resetElectionTimer(now)
	v.processReady(now)
	return v, v.err
}

// recoverPanic turns a panic of the Raft library into an error. A disk that lost synced
// data can cause one. The replica then stops voting, while the gateway keeps running.
func (v *Voter) recoverPanic(do func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("raft: %v", p)
		}
	}()
	return do()
}

// Err returns why this replica has stopped voting, or nil.
func (v *Voter) Err() error { return v.err }

// fail stops the replica: it sends nothing any more.
func (v *Voter) fail(err error) {
	if v.err == nil {
		v.err = err
	}
	v.coordinator, v.out, v.grants, v.leader = nil, nil, nil, 0
}

// resetElectionTimer draws a new time for the next campaign.
func (v *Voter) resetElectionTimer(now time.Duration) {
	v.campaignAt = now + electionTimeout + time.Duration(v.random()%uint64(electionTimeout))
}

// Leader returns the leader as known to this replica.
func (v *Voter) Leader() (Peer, bool) {
	p, ok := v.state.Peers[v.leader]
	return p, ok && v.err == nil
}

// Leads reports whether this replica considers itself the leader.
func (v *Voter) Leads() bool { return v.coordinator != nil }

// Describe returns Raft's state as text, for traces.
func (v *Voter) Describe() string {
	if v.rn == nil {
		return "no engine"
	}
	s := v.rn.Status()
	return fmt.Sprintf("%x %v applied %d conf %v replace %v progress %v", v.Self.ID, s.BasicStatus, v.applied, v.conf, v.replace, s.Progress)
}

// Peers returns the voters and learners, sorted by name.
func (v *Voter) Peers() []Peer {
	return slices.SortedFunc(maps.Values(v.state.Peers), func(x, y Peer) int {
		if x.Name != y.Name {
			return map[bool]int{true: -1, false: 1}[x.Name < y.Name]
		}
		return map[bool]int{true: -1, false: 1}[x.ID < y.ID]
	})
}

// Votes reports whether a peer is a voter.
func (v *Voter) Votes(id uint64) bool {
	return slices.Contains(v.conf.Voters, id) || slices.Contains(v.conf.VotersOutgoing, id)
}

// Register returns the replicated register. The caller must not modify it.
func (v *Voter) Register() *policy.Register { return v.state.Register }

// Coordinator returns the leader's coordinator, or nil if this replica doesn't lead.
func (v *Voter) Coordinator() *policy.Coordinator { return v.coordinator }

// Term returns the replica's current term.
func (v *Voter) Term() uint64 { return v.term }

// Out returns and clears the pending messages to voters and grants to gateways.
func (v *Voter) Out() (messages []*raftpb.Message, grants []policy.Directed) {
	messages, grants = v.out, v.grants
	v.out, v.grants = nil, nil
	return messages, grants
}

// Step processes a message from another voter.
func (v *Voter) Step(now time.Duration, m *raftpb.Message) {
	if v.err != nil || m.GetTo() != v.Self.ID || raft.IsLocalMsg(m.GetType()) {
		return
	}
	switch m.GetType() {
	case raftpb.MsgApp, raftpb.MsgHeartbeat, raftpb.MsgSnap:
		if m.GetTerm() >= v.term {
			v.leaderHeardAt = now
			v.resetElectionTimer(now)
		}
	case raftpb.MsgProp, raftpb.MsgTimeoutNow:
		return // voters never send these
	}
	v.run(now, func() error {
		if err := v.rn.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
			return err
		}
		return nil
	})
}

// Renew processes a gateway's renewal. It reports whether this replica leads; if not, the
// gateway has to try another voter.
func (v *Voter) Renew(now time.Duration, member uint64, r policy.Renew) bool {
	if v.coordinator == nil {
		return false
	}
	v.coordinator.Renew(now, member, r)
	v.processReady(now)
	return v.coordinator != nil
}

// ErrNotLeader means that the request must go to the leader.
var ErrNotLeader = errors.New("not the leader")

// Propose proposes a command for the log. The register shows whether it is committed.
func (v *Voter) Propose(now time.Duration, c policy.Command) error {
	if v.coordinator == nil {
		return ErrNotLeader
	}
	var err error
	v.run(now, func() error { err = v.rn.Propose(c.Encode()); return nil })
	return err
}

// Replace replaces the voter old, which may be lost permanently, by new. new joins as a
// learner, and once it has the log both swap in one joint change. Only one replacement
// runs at a time.
func (v *Voter) Replace(now time.Duration, old uint64, new Peer) error {
	switch {
	case v.coordinator == nil:
		return ErrNotLeader
	case v.replace != nil:
		return fmt.Errorf("%s is being made a voter", v.replace.new.Name)
	case !v.Votes(old):
		return errors.New("the one to go is no voter")
	case v.Votes(new.ID):
		return fmt.Errorf("%s is a voter already", new.Name)
	}
	if err := v.proposeConfChange(now, new, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddLearnerNode.Enum(), NodeId: &new.ID}); err != nil {
		return err
	}
	v.replace = &replacement{old, new}
	return nil
}

func (v *Voter) proposeConfChange(now time.Duration, p Peer, changes ...*raftpb.ConfChangeSingle) error {
	about, err := json.Marshal(p)
	if err != nil {
		return err
	}
	v.run(now, func() error {
		err = v.rn.ProposeConfChange(&raftpb.ConfChangeV2{Transition: raftpb.ConfChangeTransitionAuto.Enum(), Changes: changes, Context: about})
		return nil
	})
	return err
}

// continueReplacement promotes the new voter once it has caught up with the log.
func (v *Voter) continueReplacement(now time.Duration) {
	r := v.replace
	if r == nil || v.coordinator == nil {
		return
	}
	if v.Votes(r.new.ID) {
		v.replace = nil
		return
	}
	caughtUp := false
	for id, p := range v.rn.Status().Progress {
		caughtUp = caughtUp || id == r.new.ID && p.Match+5 >= v.applied
	}
	if caughtUp && len(v.conf.VotersOutgoing) == 0 {
		v.proposeConfChange(now, r.new, &raftpb.ConfChangeSingle{Type: raftpb.ConfChangeAddNode.Enum(), NodeId: &r.new.ID},
			&raftpb.ConfChangeSingle{Type: raftpb.ConfChangeRemoveNode.Enum(), NodeId: &r.old})
	}
}

// retrySnapshots reports unacknowledged snapshots to Raft as failed, so that it sends
// another. A snapshot may have been lost or be older than the log's start by now, and
// without the report Raft would wait for it forever.
func (v *Voter) retrySnapshots(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(v.snapshotsSent)) {
		if now-v.snapshotsSent[id] < 2*electionTimeout {
			continue
		}
		delete(v.snapshotsSent, id)
		if v.rn.Status().Progress[id].State == tracker.StateSnapshot {
			v.run(now, func() error { v.rn.ReportSnapshot(id, raft.SnapshotFailure); return nil })
		}
	}
}

// Tick processes the passing of time. It should be called about every 10 ms.
func (v *Voter) Tick(now time.Duration) {
	if v.err != nil {
		return
	}
	if v.coordinator != nil {
		for ; v.nextTick <= now; v.nextTick += heartbeatInterval {
			if now-v.nextTick > electionTimeout { // the process was paused: skip the missed heartbeats
				v.nextTick = now
			}
			v.run(now, func() error { v.rn.Tick(); return nil })
			if v.coordinator == nil {
				return
			}
			v.continueReplacement(now)
			v.retrySnapshots(now)
		}
		if v.coordinator != nil {
			v.coordinator.Tick(now)
		}
		v.processReady(now)
		return
	}
	v.nextTick = now
	if v.leader != 0 && now-v.leaderHeardAt >= electionTimeout {
		v.run(now, v.rn.ForgetLeader) // so that this replica grants votes to other candidates
	}
	if now >= v.campaignAt && v.Votes(v.Self.ID) {
		v.resetElectionTimer(now)
		v.run(now, v.rn.Campaign)
	}
}

// Wait returns the time until the next Tick is due.
func (v *Voter) Wait(now time.Duration) time.Duration {
	if v.coordinator != nil {
		if v.coordinator.Busy() {
			return 2 * time.Millisecond
		}
		return 12 * time.Millisecond
	}
	return heartbeatInterval / 2
}

// run executes a Raft operation and processes its results.
func (v *Voter) run(now time.Duration, what func() error) {
	if v.err != nil {
		return
	}
	if err := v.recoverPanic(what); err != nil {
		v.fail(err)
		return
	}
	v.processReady(now)
}

// processReady stores and applies Raft's output. It saves to disk before messages go out.
func (v *Voter) processReady(now time.Duration) {
	if v.err == nil && v.rn != nil {
		if err := v.recoverPanic(func() error { return v.drainReady(now) }); err != nil {
			v.fail(err)
		}
	}
}

func (v *Voter) drainReady(now time.Duration) error {
	for again := true; again; {
		for v.rn.HasReady() {
			rd := v.rn.Ready()
			if rd.HardState != nil || len(rd.Entries) > 0 || !raft.IsEmptySnap(rd.Snapshot) {
				snap := rd.Snapshot
				if raft.IsEmptySnap(snap) {
					snap = nil
				}
				hard := rd.HardState
				if raft.IsEmptyHardState(hard) {
					hard = nil
				}
				if err := v.disk.Save(hard, rd.Entries, snap); err != nil {
					return fmt.Errorf("disk: %w", err)
				}
				if snap != nil {
					if err := v.mem.ApplySnapshot(snap); err != nil {
						return err
					}
					if err := v.restore(snap); err != nil {
						return err
					}
				}
				if hard != nil {
					if err := v.mem.SetHardState(hard); err != nil {
						return err
					}
					if v.term, v.vote = hard.GetTerm(), hard.GetVote(); v.vote != 0 && v.coordinator == nil {
						v.resetElectionTimer(now)
					}
				}
				if err := v.mem.Append(rd.Entries); err != nil {
					return err
				}
			}
			for _, m := range rd.Messages {
				if m.GetType() == raftpb.MsgSnap {
					v.snapshotsSent[m.GetTo()] = now
				}
			}
			v.out = append(v.out, rd.Messages...)
			for _, e := range rd.CommittedEntries {
				if err := v.apply(now, e); err != nil {
					return err
				}
			}
			if rd.SoftState != nil {
				v.updateRole(now, rd.SoftState)
			}
			for _, r := range rd.ReadStates {
				if v.reading && len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == v.token {
					v.readIndex = r.Index
				}
			}
			v.rn.Advance(rd)
		}
		if v.reading && v.readIndex != 0 && v.applied >= v.readIndex && v.coordinator != nil {
			v.reading, v.readIndex = false, 0
			v.coordinator.Confirmed(now)
		}
		var err error
		if again, err = v.runCoordinator(now); err != nil {
			return err
		}
	}
	return v.takeSnapshot()
}

// updateRole records the leader, and starts or ends the coordinator.
func (v *Voter) updateRole(now time.Duration, s *raft.SoftState) {
	v.leader = s.Lead
	switch leads := s.RaftState == raft.StateLeader; {
	case leads && v.coordinator == nil:
		v.coordinator = policy.NewCoordinator(v.terms, v.state.Register, v.term, now)
		v.reading, v.readIndex, v.readWanted, v.replace, v.nextTick, v.snapshotsSent = false, 0, false, nil, now, map[uint64]time.Duration{}
	case !leads && v.coordinator != nil:
		v.coordinator = nil
		v.leaderHeardAt = now
		v.resetElectionTimer(now)
	}
}

// runCoordinator carries out the coordinator's actions. It reports whether Raft may have
// new output.
func (v *Voter) runCoordinator(now time.Duration) (again bool, err error) {
	if v.coordinator == nil {
		return false, nil
	}
	o := v.coordinator.Out()
	v.grants = append(v.grants, o.Grants...)
	v.readWanted = v.readWanted || o.Read
	for _, c := range o.Propose {
		switch err := v.rn.Propose(c.Encode()); {
		case errors.Is(err, raft.ErrProposalDropped):
			v.coordinator.Dropped(now)
		case err != nil:
			return false, err
		}
		again = true
	}
	every := readInterval
	if v.coordinator.Busy() {
		every = readIntervalBusy
	}
	if v.readWanted && !v.reading && (now-v.readAt >= every || now < v.readAt) {
		v.token++
		v.reading, v.readIndex, v.readWanted, v.readAt = true, 0, false, now
		v.rn.ReadIndex(binary.BigEndian.AppendUint64(nil, v.token))
		again = true
	}
	return again, nil
}

func (v *Voter) restore(s *raftpb.Snapshot) error {
	var st state
	if err := json.Unmarshal(s.GetData(), &st); err != nil {
		return fmt.Errorf("snapshot: %w", err)
	}
	if st.Register == nil || st.Register.Format > policy.Format {
		return errors.New("snapshot: of a later format than this program knows")
	}
	v.state, v.conf = st, s.GetMetadata().GetConfState()
	v.applied = s.GetMetadata().GetIndex()
	v.snapshotIndex, v.confIndex = v.applied, v.applied
	return nil
}

func (v *Voter) apply(now time.Duration, e *raftpb.Entry) error {
	switch e.GetType() {
	case raftpb.EntryNormal:
		if len(e.GetData()) > 0 {
			c, err := policy.Decode(e.GetData())
			if err != nil {
				return err
			}
			v.state.Register.Apply(c)
			if v.coordinator != nil {
				v.coordinator.Applied(now)
			}
		}
	case raftpb.EntryConfChangeV2:
		var cc raftpb.ConfChangeV2
		if err := unmarshal(e.GetData(), &cc); err != nil {
			return err
		}
		v.conf = v.rn.ApplyConfChange(&cc)
		var p Peer
		if json.Unmarshal(cc.GetContext(), &p) == nil && p.ID != 0 {
			v.state.Peers[p.ID] = p
		}
		known := slices.Concat(v.conf.Voters, v.conf.VotersOutgoing, v.conf.Learners, v.conf.LearnersNext)
		maps.DeleteFunc(v.state.Peers, func(id uint64, _ Peer) bool { return !slices.Contains(known, id) })
		v.confIndex = e.GetIndex()
		v.snapshotIndex = 0 // take a snapshot now: a new member accepts only one whose configuration includes it
	}
	v.applied = e.GetIndex()
	return nil
}

// takeSnapshot stores a snapshot once the log is long enough, and compacts the log.
func (v *Voter) takeSnapshot() error {
	if v.snapshotIndex != 0 && v.applied < v.snapshotIndex+snapshotInterval || v.applied == 0 {
		return nil
	}
	data, err := json.Marshal(v.state)
	if err != nil {
		return err
	}
	s, err := v.mem.CreateSnapshot(v.applied, v.conf, data)
	if err != nil {
		return err
	}
	if err := v.disk.Compact(s); err != nil {
		return fmt.Errorf("disk: %w", err)
	}
	v.snapshotIndex = v.applied
	// Recent entries stay, so that a follower slightly behind needs no snapshot.
	if first, err := v.mem.FirstIndex(); err != nil || v.applied <= first+keptEntries {
		return err
	}
	return v.mem.Compact(v.applied - keptEntries)
}

// discardLogger drops Raft's log lines, since the relevant state is reported elsewhere.
// recoverPanic catches its panics.
type discardLogger struct{}

func (discardLogger) Debug(...any)            {}
func (discardLogger) Debugf(string, ...any)   {}
func (discardLogger) Error(...any)            {}
func (discardLogger) Errorf(string, ...any)   {}
func (discardLogger) Info(...any)             {}
func (discardLogger) Infof(string, ...any)    {}
func (discardLogger) Warning(...any)          {}
func (discardLogger) Warningf(string, ...any) {}
func (discardLogger) Fatal(v ...any)          { panic(fmt.Sprint(v...)) }
func (discardLogger) Fatalf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
func (discardLogger) Panic(v ...any) { panic(fmt.Sprint(v...)) }
func (discardLogger) Panicf(f string, v ...any) {
	panic(fmt.Sprintf(f, v...))
}
