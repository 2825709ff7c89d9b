// Package cluster is how gateways that may talk to each other agree on a policy:
// a few of them vote (Raft, by go.etcd.io/raft), the others follow by leases.
//
// Voter is one replica with its log, free of sockets, goroutines and clocks, so
// that the virtual world plays it; what it keeps goes through a Disk. Node puts
// voter and follower on the wire.
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

// Peer is a voter, or one that may become one. ID is its disk's: made with the
// folder, so that a name with an empty disk is another peer.
type Peer struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"` // where its members' port is
	Zone    string `json:"zone,omitempty"`
}

// Saved is what a disk holds.
type Saved struct {
	Self     Peer
	Cluster  string
	Hard     *raftpb.HardState
	Snapshot *raftpb.Snapshot
	Entries  []*raftpb.Entry
}

// Disk keeps a voter's log. Save returns once all of it is safe: a word that rests
// on it may be given then. After an error nothing is known of what was kept.
type Disk interface {
	Load() (*Saved, error)
	// A snapshot here is another's and takes the place of all entries kept so far.
	Save(hard *raftpb.HardState, entries []*raftpb.Entry, snapshot *raftpb.Snapshot) error
	// Compact keeps a snapshot in the place of the entries that it stands for.
	Compact(snapshot *raftpb.Snapshot) error
}

// Raft's times. Its own ticks drive leaders only: when a follower gives a leader
// up and stands for election is drawn here, by the seam's random numbers, since
// Raft's own are of the process and could not be replayed.
const (
	heartbeatInterval = 40 * time.Millisecond             // a tick of a leader
	electionTicks     = 10                                // without a quorum's word: it steps down
	electionTimeout   = electionTicks * heartbeatInterval // and up to twice that: without a leader's word
	readInterval      = 25 * time.Millisecond             // between confirmations of a leader, for all calls that came since
	readIntervalBusy  = time.Millisecond                  // while a change is under way
	snapshotInterval  = 500                               // entries
	keptEntries       = 100                               // entries that a snapshot stands for, kept all the same
)

// state is what the log builds, and snapshots hold.
type state struct {
	Register *policy.Register `json:"register"`
	Peers    map[uint64]Peer  `json:"peers"`
}

// Voter is a replica.
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
	confIndex     uint64 // index of the last change of voters
	snapshotIndex uint64
	term          uint64
	vote          uint64
	leader        uint64

	nextTick      time.Duration
	leaderHeardAt time.Duration // of a leader
	campaignAt    time.Duration
	coordinator   *policy.Coordinator
	token         uint64
	reading       bool
	readIndex     uint64 // confirmed once that is applied; 0: not yet confirmed
	readWanted    bool   // a read
	readAt        time.Duration
	replace       *replacement
	snapshotsSent map[uint64]time.Duration // sent, and not yet known to have come

	err    error
	out    []*raftpb.Message
	grants []policy.Directed
}

type replacement struct {
	old uint64
	new Peer
}

// Bootstrap is the first state of a cluster: the same at all its first voters.
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

// NewVoter starts a replica from what its disk holds. One whose folder has never
// been given a cluster's state waits to be made a voter.
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

// recoverPanic turns a panic of the engine, which a disk that lost what it had sworn to
// keep can cause, into an error: this replica steps back, the gateway goes on.
func (v *Voter) recoverPanic(do func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("raft: %v", p)
		}
	}()
	return do()
}

// Err is why this replica has stepped back; nil: it has not.
func (v *Voter) Err() error { return v.err }

// fail ends the replica: it gives no word any more.
func (v *Voter) fail(err error) {
	if v.err == nil {
		v.err = err
	}
	v.coordinator, v.out, v.grants, v.leader = nil, nil, nil, 0
}

func (v *Voter) resetElectionTimer(now time.Duration) {
	v.campaignAt = now + electionTimeout + time.Duration(v.random()%uint64(electionTimeout))
}

// Leader is the leader as known here.
func (v *Voter) Leader() (Peer, bool) {
	p, ok := v.state.Peers[v.leader]
	return p, ok && v.err == nil
}

// Leads reports whether this one is the leader, as far as it knows.
func (v *Voter) Leads() bool { return v.coordinator != nil }

// Describe is the engine's state, for traces.
func (v *Voter) Describe() string {
	if v.rn == nil {
		return "no engine"
	}
	s := v.rn.Status()
	return fmt.Sprintf("%x %v applied %d conf %v replace %v progress %v", v.Self.ID, s.BasicStatus, v.applied, v.conf, v.replace, s.Progress)
}

// Peers are the voters and learners, in order of their names.
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

// Register is the state; it must not be changed.
func (v *Voter) Register() *policy.Register { return v.state.Register }

// Coordinator is the leader's part; nil: this one does not lead.
func (v *Voter) Coordinator() *policy.Coordinator { return v.coordinator }

// Term is the one that this replica is in.
func (v *Voter) Term() uint64 { return v.term }

// Out takes messages to voters and grants to gateways.
func (v *Voter) Out() (messages []*raftpb.Message, grants []policy.Directed) {
	messages, grants = v.out, v.grants
	v.out, v.grants = nil, nil
	return messages, grants
}

// Step takes a message of another voter.
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
		return // nobody here sends such
	}
	v.run(now, func() error {
		if err := v.rn.Step(m); err != nil && !errors.Is(err, raft.ErrStepPeerNotFound) && !errors.Is(err, raft.ErrProposalDropped) {
			return err
		}
		return nil
	})
}

// Renew takes a gateway's call. It reports whether this one leads; if not, the
// gateway has to call another.
func (v *Voter) Renew(now time.Duration, member uint64, r policy.Renew) bool {
	if v.coordinator == nil {
		return false
	}
	v.coordinator.Renew(now, member, r)
	v.processReady(now)
	return v.coordinator != nil
}

// ErrNotLeader is that only the leader takes proposals.
var ErrNotLeader = errors.New("not the leader")

// Propose puts a command into the log. Whether it comes to hold shows in the
// register.
func (v *Voter) Propose(now time.Duration, c policy.Command) error {
	if v.coordinator == nil {
		return ErrNotLeader
	}
	var err error
	v.run(now, func() error { err = v.rn.Propose(c.Encode()); return nil })
	return err
}

// Replace makes new a voter in the place of old, which may be lost for good: first
// it learns the log, then the two change places in one step. One at a time.
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

// continueReplacement goes on with a replacement once the new one has the log.
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

// retrySnapshots lets the engine try again where a snapshot may be lost, or an older one
// than the log goes back to by now: by itself it would wait for good.
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

// Tick lets time pass; it wants to be called every 10 ms or so.
func (v *Voter) Tick(now time.Duration) {
	if v.err != nil {
		return
	}
	if v.coordinator != nil {
		for ; v.nextTick <= now; v.nextTick += heartbeatInterval {
			if now-v.nextTick > electionTimeout { // this process stood still; so many beats at once would say nothing
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
		v.run(now, v.rn.ForgetLeader) // from now on it would vote for another
	}
	if now >= v.campaignAt && v.Votes(v.Self.ID) {
		v.resetElectionTimer(now)
		v.run(now, v.rn.Campaign)
	}
}

// Wait is the time until Tick has something to do.
func (v *Voter) Wait(now time.Duration) time.Duration {
	if v.coordinator != nil {
		if v.coordinator.Busy() {
			return 2 * time.Millisecond
		}
		return 12 * time.Millisecond
	}
	return heartbeatInterval / 2
}

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

// processReady carries out what the engine wants: first it is kept, then said.
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

// updateRole takes note of who leads.
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

// runCoordinator does what the leader's part wants. It reports whether the engine has more
// to do after that.
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
		v.snapshotIndex = 0 // a new one takes only a snapshot that knows it
	}
	v.applied = e.GetIndex()
	return nil
}

// takeSnapshot writes the state down once the log is long, and lets go of what it stands for.
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
	// A follower that is a little behind needs no snapshot.
	if first, err := v.mem.FirstIndex(); err != nil || v.applied <= first+keptEntries {
		return err
	}
	return v.mem.Compact(v.applied - keptEntries)
}

// discardLogger is a logger for the engine: what matters shows in the state. Its panics
// are caughtUp.
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
