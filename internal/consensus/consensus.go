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
	primaryHold         = 600 * time.Millisecond  // a primary heard within it lives
	primaryTimeout      = 700 * time.Millisecond  // and is lost after it
	stallTimeout        = 450 * time.Millisecond  // a disk or a writer that takes longer is left out
	vacancyTimeout      = 1500 * time.Millisecond // a member silent so long may lose its seat
	quietPeriod         = 600 * time.Millisecond  // no founding while members still come
	callTimeout         = 800 * time.Millisecond  // an operator's call, ticks included, ends within 900 ms
	rankDelay           = 70 * time.Millisecond
	preVoteReservation  = 150 * time.Millisecond // keeps candidates from meeting half-way
	latePromiseWait     = 25 * time.Millisecond
)

// Config is what a process knows about itself.
type Config struct {
	Self            string // mesh address
	Name, Zone      string
	Member          bool // has a disk
	Genesis         bool // the disk is empty because nothing was ever there
	ToleratedLosses int
	Seeds           []string
	Seed            uint64
	Transform       func(kept, next Doc) Doc // what a primary keeps of a new document; nil: it as it is
}

// Doc is the document. Version 0 is none. A primary may amend one: the same version
// and body with a higher Rev, and what its user keeps beside it.
type Doc struct {
	Version    uint32 `cbor:"1,keyasint,omitempty"`
	Body       []byte `cbor:"2,keyasint,omitempty"`
	Rev        uint32 `cbor:"3,keyasint,omitempty"`
	Attachment []byte `cbor:"4,keyasint,omitempty"`

	Digest    []byte        `cbor:"5,keyasint,omitempty"` // digest of Body
	CreatedIn Ballot        `cbor:"6,keyasint,omitzero"`  // the epoch that made it
	Ledger    dedup.History `cbor:"7,keyasint,omitempty"` // accepted up to this one
	LedgerRev uint32        `cbor:"8,keyasint,omitempty"` // how often others were added to them since
	// Past is of the versions before this one: it stays while the version does, amended or not.
	History []byte `cbor:"9,keyasint,omitempty"`

	Packed *delta.Delta `cbor:"10,keyasint,omitempty"` // the body, on the wire only: see pack.go
}

// Above says which of two documents takes the other's place.
func (d Doc) Supersedes(o Doc) bool {
	return cmp.Or(cmp.Compare(d.Version, o.Version), cmp.Compare(d.Rev, o.Rev), cmp.Compare(d.LedgerRev, o.LedgerRev)) > 0
}

// Disk is all that a member must not forget.
type DurableState struct {
	DiskID      uint64       `cbor:"1,keyasint"`
	NeverMember bool         `cbor:"2,keyasint,omitempty"` // never had a seat, so there is nothing forgotten
	Promised    Ballot       `cbor:"3,keyasint"`
	Record      EpochRecord  `cbor:"4,keyasint"`
	StateBallot Ballot       `cbor:"5,keyasint"`            // the epoch that Kept and Next were last copied or appended in
	Committed   Doc          `cbor:"6,keyasint"`            // committed
	Pending     Doc          `cbor:"7,keyasint"`            // perhaps not committed, above Kept
	Saves       uint64       `cbor:"8,keyasint,omitempty"`  // saves of this life, but for those of marks alone
	KnownTokens []KnownToken `cbor:"9,keyasint,omitempty"`  // what other seats have vouched for, see fence.go
	Format      uint32       `cbor:"10,keyasint,omitempty"` // see DiskFormat; of a write
}

// latest is the state that a writer vouches for.
func newestDoc(kept, next Doc) Doc {
	if next.Supersedes(kept) {
		return next
	}
	return kept
}

// Verdict is how an operator's call ended.
type Result uint8

// The verdicts.
const (
	ResultAccepted Result = iota + 1
	ResultBusy
	ResultRead
	ResultNone
	ResultConflict // another text was accepted under this number
	ResultContact
)

func (v Result) String() string {
	return [...]string{"?", "kept", "busy", "read", "none", "differs", "proved"}[min(int(v), 6)]
}

// Answer ends a Put, a Get or a Prove.
type Answer struct {
	ID      uint64
	Result  Result
	Doc     *Doc
	Primary string
	Version uint32 // Proved: what was kept then
}

// Write asks to sync a disk's whole content.
type Write struct {
	Seq   uint64
	State DurableState
}

// Out is what a machine wants done.
type Out struct {
	Send           []fsm.Send
	Write          *Write
	Answers        []Answer
	Apply          *Doc
	ConfirmedRound uint64 // the newest of Affirm's rounds that is confirmed
	Fenced         bool   // the disk was older than what it had vouched for: this member is a newcomer now
}

// Peer is a process as the membership sees it.
type Peer struct {
	Addr, Name, Zone string
	Member, Up       bool
	Version          uint32
}

// Status is for operators.
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
	seq   uint64
	at    fsm.Time
	life  uint64
	count uint64
}

// Machine is one process's part.
type Machine struct {
	config    Config
	state     DurableState
	rng       *rand.Rand
	runID     uint64
	now       fsm.Time
	startedAt fsm.Time
	lastTick  fsm.Time
	out       Out
	selfSends []fsm.Send // to itself

	dirty         bool
	seq           uint64
	written       uint64
	pendingWrites []pendingWrite
	diskLag       diskLagTracker
	afterSave     []fsm.Send // to go out once what this input wrote is synced
	deferred      []deferredSend

	seeds             []string
	peers             []Peer
	newestPeerVersion uint32      // the highest version that one of them has
	view              EpochRecord // the newest active one known
	reportedVersion   uint32      // highest committed version heard of
	reportedBy        string
	largeSentAt       map[string]fsm.Time // large documents that were asked for, and may be on their way still
	primaryViewAt     fsm.Time            // when the primary last told its view

	primaryHeardAt       fsm.Time // when a primary or a candidate promised to was heard
	primaryHeardFrom     string
	highestBallot        uint64 // highest ballot number seen
	jitter               fsm.Time
	preVoteReservedUntil fsm.Time // until when only bookedBy may be granted a probe
	preVoteReservedFor   string
	candidate            *candidateState
	primary              *primaryState
	avoidUntil           map[string]fsm.Time

	calls             []*call
	nextDocRetryAt    fsm.Time // when a document may be repeated again
	waiting           []*waitingCall
	joinSentAt        fsm.Time
	pulledAt          fsm.Time
	behindSince       fsm.Time // since when others are known to have more; 0: they haven't
	rotation          int
	founder           founder
	applied           Doc     // the newest handed out to be put in force
	recentDeltas      []Delta // that led to the document held, for those that were away; never changed in place
	packedWhole       Delta   // the document held, whole
	epochHistory      []EpochChange
	leaving           LeaveUrgency // 0: it does not leave
	leaveWhenSafeAt   fsm.Time     // when it first said that it ends as soon as it may
	leaveSentAt       fsm.Time     // when it last asked for that
	leaveGranted      bool         // it has been released
	activeRecordWrite uint64       // the write that had the record as an active one first; 0: it is on disk
	handedOverAt      fsm.Time     // when it handed its epoch over
	bug               Bug

	savesAtStart  uint64   // saves that the disk had when this process started
	savesSynced   uint64   // saves that are synced
	tokensNotedAt fsm.Time // since when marks wait to be written; 0: none do
	flushTokens   bool     // they wait no longer
	fenceCount    int

	packReaders  packReaderList // of packed documents
	packedBodies []packedBody   // what was packed last
}

// Bug switches a guard off, to show that the judges miss it.
type Bug uint8

// The bugs. Those of disks are the models'.
const (
	BugAckEarly              Bug = iota + 1 // answer before the backups have it
	BugNoPromise                            // obey primaries that were overtaken
	BugAnyState                             // take over with whatever data the promises bring
	BugNoQuorum                             // take over without the witnesses' promises and records
	BugEarlySync                            // a disk says that it has synced before it has
	BugReuseDiskID                          // an empty disk counts as the one that was there
	BugNoFencing                            // a disk put back to an older state counts as the newer one
	BugAnyBody                              // acknowledge any text under a number that is not above the one kept
	BugDropLedger                           // a takeover forgets which orders were accepted
	BugNoLeave                              // who leaves keeps its seat
	BugAssumeLost                           // who does not answer counts as lost
	BugSkipLearner                          // a newcomer has its seat before it has said that it is there
	BugEarlyExit                            // who leaves ends before the others know the epoch without it
	BugTooFewWriters                        // take puts with fewer writers than copies are wanted
	BugNoCatchUp                            // who has missed a document doesn't ask for it
	BugUnthrottledRetries                   // documents are repeated to whoever may lead, as often as small calls
	BugUnconfirmed                          // reads are answered without asking the writers
	BugNoPacking                            // large documents are not packed in promises, copies, appends and calls
	BugNoShrinkOnForcedLeave                // who is ended soon while another one is missing keeps its seat
	BugAnyCaller                            // answers to calls of a caller's earlier life count
	BugOwnBody                              // a candidate that lacks a text which a promise names goes on with its own
)

// SetBug switches a guard off.
func (m *Machine) SetBug(b Bug) { m.bug = b }

// New starts a process. A nil disk is an empty one, or none.
func New(c Config, d *DurableState, now fsm.Time) *Machine {
	h := fnv.New64a()
	h.Write([]byte(c.Self))
	m := &Machine{config: c, rng: rand.New(rand.NewPCG(c.Seed, h.Sum64())), now: now, startedAt: now, lastTick: now,
		primaryHeardAt: now, joinSentAt: now - joinInterval, pulledAt: now - pullInterval, avoidUntil: map[string]fsm.Time{},
		seeds: slices.Clone(c.Seeds)}
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

// Held is the newest committed document known here.
func (m *Machine) Committed() *Doc {
	if m.state.Committed.Version == 0 {
		return nil
	}
	d := m.state.Committed
	return &d
}

// Status tells operators how things stand.
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

// Peers takes the membership's view, which may be wrong, and keeps it.
func (m *Machine) SetPeers(now fsm.Time, peers []Peer) {
	m.now, m.peers, m.newestPeerVersion = max(m.now, now), peers, 0
	for _, p := range peers {
		m.newestPeerVersion = max(m.newestPeerVersion, p.Version)
	}
}

// Holds notes which version a process has.
func (m *Machine) NotePeerVersion(addr string, version uint32) {
	if i := slices.IndexFunc(m.peers, func(p Peer) bool { return p.Addr == addr }); i >= 0 {
		m.peers[i].Version = max(m.peers[i].Version, version)
		m.newestPeerVersion = max(m.newestPeerVersion, version)
	}
}

// Seeds replaces the addresses to turn to.
func (m *Machine) SetSeeds(now fsm.Time, seeds []string) {
	m.now, m.seeds = max(m.now, now), slices.Clone(seeds)
}

// Tick lets time pass.
func (m *Machine) Tick(now fsm.Time) Out {
	m.now = max(m.now, now)
	if m.now-m.lastTick > primaryHold && m.primary == nil { // frozen: what was not heard says nothing
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

// Written says that a write, and all before it, are synced.
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

// Take takes a message.
func (m *Machine) Receive(now fsm.Time, from string, msg any) Out {
	m.now = max(m.now, now)
	m.dispatch(from, msg)
	return m.finishInput()
}

func (m *Machine) dispatch(from string, msg any) {
	m.notePackReader(from, msg)
	msg, whole := m.unpack(msg)
	if !whole {
		if _, ok := msg.(Forward); ok { // the caller may have gone by an older one than leads
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
		kept := m.state.Committed
		doc := Doc{Version: t.Version, Rev: t.Rev, Body: kept.Body, Digest: kept.Digest, CreatedIn: t.CreatedIn, LedgerRev: t.LedgerRev, History: kept.History}
		if kept.Version == t.Version && (t.LedgerRev == 0 || doc.sameAs(m.state.Pending)) {
			m.commit(doc)
		}
	case Pull:
		if m.state.Committed.Version > t.Version {
			if t.AcceptsDeltas {
				m.sendDoc(from, m.committedPush(t.Version))
			} else { // what came as differences was damaged
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

// durable sends once all that is known here now is on disk.
func (m *Machine) sendAfterSave(to string, msg any) {
	m.afterSave = append(m.afterSave, fsm.Send{To: to, Msg: msg})
}

// end closes an input: what it wrote, and what may go out at once.
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

// slow says whether the disk has left a write unsynced for long.
func (m *Machine) diskStalled() bool {
	return len(m.pendingWrites) > 0 && m.now-m.pendingWrites[0].at > stallTimeout
}

// seated says whether the newest record held gives this very memory a seat.
func (m *Machine) isMember() bool {
	return m.config.Member && m.state.Record.has(m.config.Self, m.state.DiskID)
}
