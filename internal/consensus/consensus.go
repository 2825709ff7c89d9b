package consensus

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/dedup"
	"asterwell/internal/delta"
	"asterwell/internal/fsm"
)

const (
	heartbeatInterval   = 200 * time.Millisecond
	joinInterval        = 150 * time.Millisecond
	pullInterval        = 300 * time.Millisecond
	viewRequestInterval = 500 * time.Millisecond
	resendInterval      = 100 * time.Millisecond
	primaryHold         = 600 * time.Millisecond  // members grant no promise while they heard a primary this recently
	primaryTimeout      = 700 * time.Millisecond  // after this the primary counts as failed
	stallTimeout        = 450 * time.Millisecond  // a disk or a writer that takes longer is replaced
	vacancyTimeout      = 1500 * time.Millisecond // a member silent this long may lose its place to a joining one
	quietPeriod         = 600 * time.Millisecond  // the cluster is not founded while members are still arriving
	callTimeout         = 800 * time.Millisecond  // with the tick interval added, an operator's call ends within 900 ms
	rankDelay           = 70 * time.Millisecond
	preVoteReservation  = 150 * time.Millisecond // keeps two candidates from each winning half of the pre-votes
	latePromiseWait     = 25 * time.Millisecond
)

// Config is what a process knows about itself.
type Config struct {
	Self            string // mesh address
	Name, Zone      string
	Member          bool // has a disk
	Genesis         bool // the disk is empty because it was never used, not because it was lost
	ToleratedLosses int
	Seeds           []string
	Seed            uint64
	// maps a proposed document, given the committed one, to what the primary stores; nil stores it unchanged
	Transform func(committed, proposed Doc) Doc
}

// Doc is the replicated document. Version 0 means that there is none. A primary may amend it: the
// amendment has the same version and body, a higher Rev and another Attachment.
type Doc struct {
	Version    uint32 `cbor:"1,keyasint,omitempty"`
	Body       []byte `cbor:"2,keyasint,omitempty"`
	Rev        uint32 `cbor:"3,keyasint,omitempty"`
	Attachment []byte `cbor:"4,keyasint,omitempty"`

	Digest    []byte        `cbor:"5,keyasint,omitempty"` // of Body
	CreatedIn Ballot        `cbor:"6,keyasint,omitzero"`  // the epoch whose primary created it
	Ledger    dedup.History `cbor:"7,keyasint,omitempty"` // requests accepted up to this version
	// how often entries were added to Ledger since this Rev was created
	LedgerRev uint32 `cbor:"8,keyasint,omitempty"`
	// History concerns earlier versions. It is kept as long as the version is, amended or not.
	History []byte `cbor:"9,keyasint,omitempty"`

	Packed *delta.Delta `cbor:"10,keyasint,omitempty"` // the packed body, only on the wire: see pack.go
}

// Supersedes reports whether d replaces o.
func (d Doc) Supersedes(o Doc) bool {
	return cmp.Or(cmp.Compare(d.Version, o.Version), cmp.Compare(d.Rev, o.Rev),
		cmp.Compare(d.LedgerRev, o.LedgerRev)) > 0
}

// DurableState is all that a member must keep on disk.
type DurableState struct {
	DiskID uint64 `cbor:"1,keyasint"`
	// the disk was never part of a membership, so it has forgotten nothing
	NeverMember bool        `cbor:"2,keyasint,omitempty"`
	Promised    Ballot      `cbor:"3,keyasint"`
	Record      EpochRecord `cbor:"4,keyasint"`
	// the epoch in which Committed and Pending were last installed or appended
	StateBallot Ballot `cbor:"5,keyasint"`
	Committed   Doc    `cbor:"6,keyasint"`
	Pending     Doc    `cbor:"7,keyasint"` // possibly not committed; supersedes Committed
	// saves with this disk ID, without those that only update KnownTokens
	Saves       uint64       `cbor:"8,keyasint,omitempty"`
	KnownTokens []KnownToken `cbor:"9,keyasint,omitempty"`  // fencing tokens of the other members, see fence.go
	Format      uint32       `cbor:"10,keyasint,omitempty"` // StateFormat of the program that wrote it
}

// newestDoc returns the document that a writer vouches for.
func newestDoc(committed, pending Doc) Doc {
	if pending.Supersedes(committed) {
		return pending
	}
	return committed
}

// Result is how an operator's call ended.
type Result uint8

// The results of calls.
const (
	ResultAccepted Result = iota + 1 // the request was accepted, now or earlier
	ResultBusy                       // no clear answer in time
	ResultRead                       // the document follows in Answer.Doc
	ResultNone                       // there is no document
	ResultConflict                   // another body was accepted under this version
	ResultContact                    // the primary was reachable, and its epoch valid
)

func (v Result) String() string {
	return [...]string{"?", "kept", "busy", "read", "none", "differs", "proved"}[min(int(v), 6)]
}

// Answer ends a Put, a Get or a CheckContact.
type Answer struct {
	ID      uint64
	Result  Result
	Doc     *Doc
	Primary string
	Version uint32 // for ResultContact: the version committed at that time
}

// Write asks for a durable write of the whole state.
type Write struct {
	Seq   uint64
	State DurableState
}

// Out holds the actions that a machine asks its host to perform.
type Out struct {
	Send           []fsm.Send
	Write          *Write
	Answers        []Answer
	Apply          *Doc   // a committed document to put in force
	ConfirmedRound uint64 // the newest round of ConfirmLeadership that is confirmed
	Fenced         bool   // the disk was older than what it had vouched for, and this member rejoins as a new one
}

// Peer is a process as the cluster membership protocol sees it.
type Peer struct {
	Addr, Name, Zone string
	Member, Up       bool
	Version          uint32
}

// Status describes a machine for operators.
type Status struct {
	Role     string // follower, member, candidate, primary
	Epoch    uint64
	Primary  string
	Members  []string
	Writers  []string
	Founding uint64
	Version  uint32
}

type deferredSend struct {
	seq  uint64
	send fsm.Send
}

type pendingWrite struct {
	seq    uint64
	at     fsm.Time
	diskID uint64
	count  uint64
}

// Machine is the consensus state machine of one process.
type Machine struct {
	config    Config
	state     DurableState
	rng       *rand.Rand
	runID     uint64
	now       fsm.Time
	startedAt fsm.Time
	lastTick  fsm.Time
	out       Out
	selfSends []fsm.Send // messages to this process itself

	dirty         bool
	seq           uint64
	written       uint64
	pendingWrites []pendingWrite
	diskLag       diskLagTracker
	afterSave     []fsm.Send // sent once the writes of this input are synced
	deferred      []deferredSend

	seeds             []string
	peers             []Peer
	newestPeerVersion uint32      // the highest version that a peer has
	view              EpochRecord // the newest active record known
	reportedVersion   uint32      // the highest committed version that was reported
	reportedBy        string
	// when each process was last sent a large document, which may still be in transit
	largeSentAt   map[string]fsm.Time
	primaryViewAt fsm.Time // when the primary last sent its view

	primaryHeardAt       fsm.Time // when a primary, or a candidate that has our promise, was last heard
	primaryHeardFrom     string
	highestBallot        uint64 // highest ballot number seen
	jitter               fsm.Time
	preVoteReservedUntil fsm.Time // until then only preVoteReservedFor may be granted a pre-vote
	preVoteReservedFor   string
	candidate            *candidateState
	primary              *primaryState
	avoidUntil           map[string]fsm.Time

	calls          []*call
	nextDocRetryAt fsm.Time // when a document may be sent again
	waiting        []*waitingCall
	joinSentAt     fsm.Time
	pulledAt       fsm.Time
	behindSince    fsm.Time // since when others are known to be ahead; 0: they are not
	rotation       int
	founder        founder
	applied        Doc // the newest document handed out in Out.Apply
	// the deltas that led to the committed document, for processes that missed some; never changed in place
	recentDeltas      []Delta
	packedWhole       Delta // the committed document, packed without a base
	epochHistory      []EpochChange
	leaving           LeaveUrgency // 0: this process is not leaving
	leaveWhenSafeAt   fsm.Time     // when LeaveWhenSafe or LeaveForced was first requested
	leaveSentAt       fsm.Time     // when Leave was last sent
	leaveGranted      bool         // LeaveGranted has arrived
	activeRecordWrite uint64       // the write that first holds the current record as active; 0: it is on disk
	handedOverAt      fsm.Time     // when it handed its epoch over
	bug               Bug

	savesAtStart  uint64   // saves that were on the disk when this process started
	savesSynced   uint64   // saves that are synced
	tokensNotedAt fsm.Time // since when tokens wait to be written; 0: none do
	flushTokens   bool     // write the waiting tokens now
	fenceCount    int

	packReaders  packReaderList // processes that read packed documents
	packedBodies []packedBody   // the bodies packed last
}

// Bug disables a safeguard, to show that the tests notice its absence.
type Bug uint8

// The bugs. Those that concern disks are simulated by the model checker.
const (
	BugAckEarly  Bug = iota + 1 // accept before the backups have the document
	BugNoPromise                // obey primaries of older epochs
	// take over with the state of any promise, not only of the last epoch's writers
	BugAnyState
	BugNoQuorum           // take over without promises and records of a majority
	BugEarlySync          // report a write as synced before it is
	BugReuseDiskID        // give a wiped disk its former ID
	BugNoFencing          // accept a disk that was restored to an older state
	BugAnyBody            // accept any body under a version that is not above the committed one
	BugDropLedger         // forget at a takeover which requests were accepted
	BugNoLeave            // keep the membership of a process that leaves
	BugAssumeLost         // count a member that does not answer as lost
	BugSkipLearner        // add a new member before it has answered
	BugEarlyExit          // let a leaving process exit before the others know the epoch without it
	BugTooFewWriters      // accept documents with fewer writers than required
	BugNoCatchUp          // do not ask for missed documents
	BugUnthrottledRetries // repeat documents as often as small calls, and to any likely primary
	BugUnconfirmed        // answer reads without asking the writers
	// do not pack large documents in promises, state transfers, appends and calls
	BugNoPacking
	// keep the membership of a process that is stopped soon while another member is missing
	BugNoShrinkOnForcedLeave
	BugAnyCaller // accept replies to calls of an earlier run of the caller
	// use the candidate's own state where it lacks a body that a promise refers to
	BugOwnBody
)

// SetBug disables a safeguard.
func (m *Machine) SetBug(b Bug) { m.bug = b }

// New returns the machine of a process that starts. A nil state means an empty disk, or none.
func New(c Config, d *DurableState, now fsm.Time) *Machine {
	h := fnv.New64a()
	h.Write([]byte(c.Self))
	m := &Machine{config: c, rng: rand.New(rand.NewPCG(c.Seed, h.Sum64())), now: now, startedAt: now, lastTick: now,
		primaryHeardAt: now, joinSentAt: now - joinInterval, pulledAt: now - pullInterval,
		avoidUntil: map[string]fsm.Time{},
		seeds:      slices.Clone(c.Seeds)}
	m.runID = m.rng.Uint64()
	m.jitter = time.Duration(m.rng.Int64N(int64(60 * time.Millisecond)))
	m.founder = newFounder(c, now)
	if !c.Member {
		return m
	}
	if d != nil && d.DiskID != 0 {
		m.state = *d
	} else {
		m.state = DurableState{DiskID: m.rng.Uint64() | 1, NeverMember: c.Genesis}
		m.dirty = true
	}
	m.savesAtStart, m.savesSynced = m.state.Saves, m.state.Saves
	m.highestBallot = m.state.Promised.N
	if m.state.Record.Active {
		m.view = m.state.Record
	}
	if w := m.state.Record.Writers; len(w) > 0 && w[0] == c.Self {
		m.primaryHeardAt = now - primaryTimeout + 150*time.Millisecond
	}
	return m
}

// Committed returns the newest committed document known here, or nil.
func (m *Machine) Committed() *Doc {
	if m.state.Committed.Version == 0 {
		return nil
	}
	d := m.state.Committed
	return &d
}

// Status describes this machine for operators.
func (m *Machine) Status() Status {
	s := Status{Role: "follower", Epoch: m.view.Ballot.N, Primary: m.view.primary(), Founding: m.view.ClusterID,
		Writers: slices.Clone(m.view.Writers), Version: m.state.Committed.Version}
	for _, seat := range m.view.Members {
		s.Members = append(s.Members, seat.Addr)
	}
	switch {
	case m.primary != nil:
		s.Role = "primary"
	case m.candidate != nil:
		s.Role = "candidate"
	case m.isMember():
		s.Role = "member"
	}
	return s
}

// SetPeers takes the peers as the membership protocol sees them, which may be wrong. It keeps the
// slice.
func (m *Machine) SetPeers(now fsm.Time, peers []Peer) {
	m.now, m.peers, m.newestPeerVersion = max(m.now, now), peers, 0
	for _, p := range peers {
		m.newestPeerVersion = max(m.newestPeerVersion, p.Version)
	}
}

// NotePeerVersion records that a process has a version.
func (m *Machine) NotePeerVersion(addr string, version uint32) {
	if i := slices.IndexFunc(m.peers, func(p Peer) bool { return p.Addr == addr }); i >= 0 {
		m.peers[i].Version = max(m.peers[i].Version, version)
		m.newestPeerVersion = max(m.newestPeerVersion, version)
	}
}

// SetSeeds replaces the addresses to contact first.
func (m *Machine) SetSeeds(now fsm.Time, seeds []string) {
	m.now, m.seeds = max(m.now, now), slices.Clone(seeds)
}

// Tick advances the time and does what is due.
func (m *Machine) Tick(now fsm.Time) Out {
	m.now = max(m.now, now)
	// after a pause of this process, a missing heartbeat proves nothing
	if m.now-m.lastTick > primaryHold && m.primary == nil {
		m.primaryHeardAt = m.now
		m.candidate = nil
	}
	m.lastTick = m.now
	m.retryCalls()
	m.requestJoin()
	m.foundCluster()
	m.maintainEpoch()
	m.requestLeave()
	m.campaign()
	m.catchUp()
	m.flushTokensWhenDue()
	return m.finishInput()
}

// WriteDone reports that a write and all before it are synced.
func (m *Machine) WriteDone(now fsm.Time, seq uint64) Out {
	m.now = max(m.now, now)
	m.written = max(m.written, seq)
	if m.activeRecordWrite <= m.written {
		m.activeRecordWrite = 0
	}
	if len(m.pendingWrites) > 0 && m.pendingWrites[0].seq <= seq {
		m.diskLag.observe(m.now, m.now-m.pendingWrites[0].at)
	}
	for _, w := range m.pendingWrites {
		if w.seq <= m.written {
			m.noteSaved(w)
		}
	}
	m.pendingWrites = slices.DeleteFunc(m.pendingWrites, func(w pendingWrite) bool { return w.seq <= m.written })
	rest := m.deferred[:0:0]
	for _, h := range m.deferred {
		if h.seq <= m.written {
			m.send(h.send.To, h.send.Msg)
		} else {
			rest = append(rest, h)
		}
	}
	m.deferred = rest
	return m.finishInput()
}

// Receive handles a message.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Out {
	m.now = max(m.now, now)
	m.dispatch(from, msg)
	return m.finishInput()
}

func (m *Machine) dispatch(from string, msg any) {
	m.notePackReader(from, msg)
	msg, complete := m.unpack(msg)
	if !complete {
		if _, ok := msg.(Forward); ok { // the caller may have made its delta against a base that an earlier primary had
			m.sendView(from)
		}
		return
	}
	switch t := msg.(type) {
	case JoinRequest:
		m.onJoinRequest(from, t)
	case FirstEpoch:
		m.onFirstEpoch(t.Record)
	case ViewRequest:
		m.sendView(from)
	case View:
		m.learnRecord(t.Record)
		if t.Leading && from == m.view.primary() {
			m.primaryViewAt = m.now
			if m.candidate == nil && m.primary == nil {
				m.notePrimaryHeard(from)
			}
		}
		m.noteReportedVersion(from, t.Version)
	case Push:
		if len(t.Deltas) > 0 {
			m.onDeltas(from, t.Deltas)
		} else {
			m.commit(t.Doc)
		}
		for _, to := range t.Relay {
			m.send(to, Push{Doc: t.Doc.withoutLedger(), Deltas: t.Deltas})
		}
	case CommitAmendment:
		committed := m.state.Committed
		doc := Doc{Version: t.Version, Rev: t.Rev, Body: committed.Body, Digest: committed.Digest,
			CreatedIn: t.CreatedIn, LedgerRev: t.LedgerRev, History: committed.History}
		if committed.Version == t.Version && (t.LedgerRev == 0 || doc.sameAs(m.state.Pending)) {
			m.commit(doc)
		}
	case Pull:
		if m.state.Committed.Version > t.Version {
			if t.AcceptsDeltas {
				m.sendDoc(from, m.committedPush(t.Version))
			} else { // a delta was damaged: send the whole document
				m.send(from, Push{Doc: m.state.Committed.withoutLedger()})
			}
		}
	case Forward:
		m.onForward(from, t)
	case ForwardReply:
		m.onForwardReply(t)
	default:
		if m.config.Member {
			m.dispatchMember(from, msg)
		}
	}
}

func (m *Machine) dispatchMember(from string, msg any) {
	if !m.acceptsToken(from, msg) {
		return
	}
	switch t := msg.(type) {
	case Heartbeat:
		m.onHeartbeat(from, t)
	case Resign:
		m.onResign(from, t)
	case PreVote:
		m.onPreVote(from, t)
	case Prepare:
		m.onPrepare(from, t)
	case InstallState:
		m.onInstallState(from, t)
	case RecordEpoch:
		m.onRecordEpoch(from, t)
	case Append:
		m.onAppend(from, t)
	case Confirm:
		m.onConfirm(from, t)
	case PreVoteReply:
		m.onPreVoteReply(from, t)
	case Promise:
		m.onPromise(from, t)
	case Reject:
		m.onReject(from, t)
	case StateInstalled:
		m.onStateInstalled(from, t)
	case EpochRecorded:
		m.onEpochRecorded(from, t)
	case Leave:
		m.onLeave(from, t)
	case LeaveGranted:
		m.leaveGranted = m.leaveGranted || m.leaving != 0 && t.DiskID == m.state.DiskID
	case Handover:
		m.onHandover(from, t)
	case MemberLost:
		m.onMemberLost(from, t)
	case HeartbeatReply:
		m.onHeartbeatReply(from, t)
	case Appended:
		m.onAppended(from, t)
	case Confirmed:
		m.onConfirmed(from, t)
	case FenceNotice:
		m.onFenceNotice(t)
	}
}

func (m *Machine) send(to string, msg any) {
	msg = m.packedFor(to, m.withToken(msg))
	if to == m.config.Self {
		m.selfSends = append(m.selfSends, fsm.Send{To: to, Msg: msg})
		return
	}
	m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
}

// sendAfterSave sends a message once all that is known here now is on disk.
func (m *Machine) sendAfterSave(to string, msg any) {
	m.afterSave = append(m.afterSave, fsm.Send{To: to, Msg: msg})
}

// finishInput ends the handling of an input: it collects the write and the messages that may go out
// at once.
func (m *Machine) finishInput() Out {
	for {
		for len(m.selfSends) > 0 {
			s := m.selfSends[0]
			m.selfSends = m.selfSends[1:]
			m.dispatch(m.config.Self, s.Msg)
		}
		if (m.dirty || m.flushTokens) && m.config.Member {
			if m.dirty {
				m.state.Saves++
			}
			m.seq++
			m.pendingWrites = append(m.pendingWrites, pendingWrite{m.seq, m.now, m.state.DiskID, m.state.Saves})
			m.tokensNotedAt = 0
			m.state.Format = StateFormat
			m.out.Write = &Write{Seq: m.seq, State: m.state}
		}
		m.dirty, m.flushTokens = false, false
		fresh := m.afterSave
		m.afterSave = nil
		for _, s := range fresh {
			if m.seq > m.written {
				m.deferred = append(m.deferred, deferredSend{m.seq, s})
			} else {
				m.send(s.To, s.Msg)
			}
		}
		if len(m.selfSends) == 0 {
			m.recordEpochHistory()
			if m.state.Committed.newerThan(m.applied) {
				m.applied, m.out.Apply = m.state.Committed, m.Committed()
			}
			out := m.out
			m.out = Out{}
			return out
		}
	}
}

// diskStalled reports whether a write has been unsynced for longer than stallTimeout.
func (m *Machine) diskStalled() bool {
	return len(m.pendingWrites) > 0 && m.now-m.pendingWrites[0].at > stallTimeout
}

// isMember reports whether the newest record has this process, with this disk ID, as a member.
func (m *Machine) isMember() bool {
	return m.config.Member && m.state.Record.has(m.config.Self, m.state.DiskID)
}
