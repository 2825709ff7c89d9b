package consensus

import "time"

// Messages has one of each message that a machine takes; the order is the wire's.
func Messages() []any {
	return []any{JoinRequest{}, FirstEpoch{}, ViewRequest{}, View{}, Heartbeat{}, HeartbeatReply{}, Resign{}, PreVote{}, PreVoteReply{}, Prepare{},
		Promise{}, Reject{}, InstallState{}, StateInstalled{}, RecordEpoch{}, EpochRecorded{}, Append{}, Appended{}, Confirm{}, Confirmed{},
		Forward{}, ForwardReply{}, Push{}, Pull{}, CommitAmendment{}, FenceNotice{}, Leave{}, LeaveGranted{}, Handover{}, MemberLost{}}
}

// Hello says that a member has no seat, or one that is not in force yet.
type JoinRequest struct {
	Member      Member      `cbor:"1,keyasint"`
	NeverMember bool        `cbor:"2,keyasint,omitempty"` // has never been lost: may found, or enlarge the set
	Record      EpochRecord `cbor:"3,keyasint"`
}

// Found gives a member the first record.
type FirstEpoch struct {
	Record EpochRecord `cbor:"1,keyasint"`
}

// Ask asks for a View.
type ViewRequest struct{}

// View tells the epoch in force and the version committed, as far as known.
type View struct {
	Record      EpochRecord `cbor:"1,keyasint"`
	Version     uint32      `cbor:"2,keyasint,omitempty"`
	Leading     bool        `cbor:"3,keyasint,omitempty"` // the sender serves this epoch
	ReadsPacked bool        `cbor:"4,keyasint,omitempty"` // it reads packed documents
}

// Beat is the primary's sign of life.
type Heartbeat struct {
	Ballot      Ballot       `cbor:"1,keyasint"`
	Version     uint32       `cbor:"2,keyasint,omitempty"`
	KnownTokens []KnownToken `cbor:"3,keyasint,omitempty"` // for a member that remembers others
}

// Beaten answers a Beat.
type HeartbeatReply struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	DiskID      uint64 `cbor:"2,keyasint"`
	Promised    Ballot `cbor:"3,keyasint"`
	RecordKnown bool   `cbor:"4,keyasint,omitempty"` // the epoch's record is held, and as active
	DiskSlow    bool   `cbor:"5,keyasint,omitempty"` // the disk has not synced for longer than Bears
	// Bears is how long it may take, if that is longer than usual.
	DiskTolerance time.Duration `cbor:"6,keyasint,omitempty"`
	Token         Token         `cbor:"7,keyasint,omitzero"`
	TokensHash    uint32        `cbor:"8,keyasint,omitempty"` // of the marks that the member remembers
	// Stored says that the record is on disk as an active one.
	RecordStored bool `cbor:"9,keyasint,omitempty"`
}

// Resign says that a primary cannot go on: whoever hears it needs no patience.
type Resign struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// Probe asks whether a Prepare would be granted; it changes nothing, so who is
// cut off one way cannot disturb the others.
type PreVote struct {
	Round  uint64      `cbor:"1,keyasint"`
	Record EpochRecord `cbor:"2,keyasint"`
}

// Probed answers a Probe.
type PreVoteReply struct {
	Round    uint64      `cbor:"1,keyasint"`
	DiskID   uint64      `cbor:"2,keyasint"`
	Grant    bool        `cbor:"3,keyasint,omitempty"`
	Record   EpochRecord `cbor:"4,keyasint"`
	Promised Ballot      `cbor:"5,keyasint"`
}

// Prepare asks for a promise. Life is that of the seat asked, here and below.
type Prepare struct {
	Ballot     Ballot      `cbor:"1,keyasint"`
	DiskID     uint64      `cbor:"2,keyasint"`
	Record     EpochRecord `cbor:"3,keyasint"`
	Token      Token       `cbor:"4,keyasint,omitzero"`
	HandedOver bool        `cbor:"5,keyasint,omitempty"` // by the primary of that record, which leads no more
	// Names says that the promise may name texts by their digests; those in Want come along all the same, and
	// as a difference to the committed one of version Held where they can.
	OmitBodies       bool     `cbor:"6,keyasint,omitempty"`
	WantedBodies     [][]byte `cbor:"7,keyasint,omitempty"`
	CommittedVersion uint32   `cbor:"8,keyasint,omitempty"`
}

// Promise carries all that the member knows, but for texts that the candidate has or may ask for: see name.go.
type Promise struct {
	Ballot      Ballot       `cbor:"1,keyasint"`
	DiskID      uint64       `cbor:"2,keyasint"`
	Record      EpochRecord  `cbor:"3,keyasint"`
	StateBallot Ballot       `cbor:"4,keyasint"`
	Committed   Doc          `cbor:"5,keyasint"`
	Pending     Doc          `cbor:"6,keyasint"`
	Token       Token        `cbor:"7,keyasint,omitzero"`
	KnownTokens []KnownToken `cbor:"8,keyasint,omitempty"` // of all seats that the member remembers
}

// Refuse says that a ballot is too low, or comes at the wrong moment.
type Reject struct {
	Ballot   Ballot      `cbor:"1,keyasint"`
	Promised Ballot      `cbor:"2,keyasint"`
	Record   EpochRecord `cbor:"3,keyasint"`
}

// Copy gives a writer of a new epoch the state that it begins with.
type InstallState struct {
	Ballot    Ballot `cbor:"1,keyasint"`
	DiskID    uint64 `cbor:"2,keyasint"`
	Committed Doc    `cbor:"3,keyasint"`
	Pending   Doc    `cbor:"4,keyasint"`
	resent    bool   // it is repeated: not on the wire
}

// Copied says that a Copy is on disk.
type StateInstalled struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Token  Token  `cbor:"3,keyasint,omitzero"`
}

// Enact asks a member to record an epoch whose writers have the state.
type RecordEpoch struct {
	Record EpochRecord `cbor:"1,keyasint"`
	DiskID uint64      `cbor:"2,keyasint"`
}

// Enacted says that the record is on disk.
type EpochRecorded struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Token  Token  `cbor:"3,keyasint,omitzero"`
}

// Append asks a writer to keep a document.
type Append struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Doc    Doc    `cbor:"3,keyasint"`
	resent bool   // it is repeated: not on the wire
}

// Appended says that the document is on disk.
type Appended struct {
	Ballot           Ballot `cbor:"1,keyasint"`
	DiskID           uint64 `cbor:"2,keyasint"`
	Version          uint32 `cbor:"3,keyasint"`
	Rev              uint32 `cbor:"4,keyasint,omitempty"`
	Token            Token  `cbor:"5,keyasint,omitzero"`
	LedgerRevPlusOne uint32 `cbor:"6,keyasint,omitempty"` // Notes + 1; 0: from the version before, which knows no notes
}

// Confirm asks a writer whether the epoch still is the one it serves.
type Confirm struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Round  uint64 `cbor:"3,keyasint"`
}

// Confirmed says that it is.
type Confirmed struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Round  uint64 `cbor:"3,keyasint"`
	Token  Token  `cbor:"4,keyasint,omitzero"`
}

// Forward carries an operator's call to the primary; it may be repeated. Salt
// tells the lives of a caller apart.
type Forward struct {
	ID          uint64 `cbor:"1,keyasint"`
	CallerID    uint64 `cbor:"2,keyasint"`
	Read        bool   `cbor:"3,keyasint,omitempty"`
	Doc         Doc    `cbor:"4,keyasint"`
	ContactOnly bool   `cbor:"5,keyasint,omitempty"` // a Read that only wants proof; who doesn't know it answers with the document
	ReadsPacked bool   `cbor:"6,keyasint,omitempty"` // the sender reads packed documents
	resent      bool   // it is repeated: not on the wire
}

// Answered answers a Forward.
type ForwardReply struct {
	ID       uint64 `cbor:"1,keyasint"`
	CallerID uint64 `cbor:"2,keyasint"`
	Result   Result `cbor:"3,keyasint"`
	Doc      *Doc   `cbor:"4,keyasint,omitempty"`
	Version  uint32 `cbor:"5,keyasint,omitempty"` // Proved: what is kept
}

// Push carries a committed document.
type Push struct {
	Doc   Doc      `cbor:"1,keyasint"`           // none, where it comes as differences
	Relay []string `cbor:"2,keyasint,omitempty"` // whom the taker passes it on to
	// Deltas make it of the version that the first one names. A program that doesn't know them takes
	// no document from it, and asks for the whole one.
	Deltas []Delta `cbor:"3,keyasint,omitempty"`
}

// Amended carries a committed amendment that has nothing beside it, for those that hold
// what it amends: on a slow link the whole document would hold up all behind it.
type CommitAmendment struct {
	Version   uint32 `cbor:"1,keyasint"`
	Rev       uint32 `cbor:"2,keyasint"`
	CreatedIn Ballot `cbor:"3,keyasint,omitzero"`
	LedgerRev uint32 `cbor:"4,keyasint,omitempty"`
}

// Pull asks for a committed document newer than the one held.
type Pull struct {
	Version       uint32 `cbor:"1,keyasint,omitempty"`
	AcceptsDeltas bool   `cbor:"2,keyasint,omitempty"` // it may come as differences
}

// Leave asks the primary to give the sender's seat to somebody else; Last, even to nobody.
type Leave struct {
	DiskID   uint64 `cbor:"1,keyasint"`
	WhenSafe bool   `cbor:"2,keyasint,omitempty"`
	Forced   bool   `cbor:"3,keyasint,omitempty"` // the sender is ended soon, whatever stands elsewhere
	// Missed goes to others than the primary: the sender has missed that.
	PrimarySilent bool `cbor:"4,keyasint,omitempty"`
}

// Released answers a Leave: the epoch in force has no seat for that life, and most of its
// members have it on disk that it is in force.
type LeaveGranted struct {
	DiskID uint64 `cbor:"1,keyasint"`
}

// Handover makes a backup the candidate for what follows an epoch, at once: it is the
// primary's last word in it. Plan is the set to come, if it is another one.
type Handover struct {
	Record      EpochRecord `cbor:"1,keyasint"`
	DiskID      uint64      `cbor:"2,keyasint"`
	NextMembers []Member    `cbor:"3,keyasint,omitempty"`
}

// Void answers a Prepare: the seat that it names is lost, another memory is here.
type MemberLost struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
}
