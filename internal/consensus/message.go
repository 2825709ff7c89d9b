package consensus

import "time"

// Messages returns one value of each message type that a machine receives. The order is part of the
// wire format.
func Messages() []any {
	return []any{JoinRequest{}, FirstEpoch{}, ViewRequest{}, View{}, Heartbeat{}, HeartbeatReply{}, Resign{},
		PreVote{}, PreVoteReply{}, Prepare{},
		Promise{}, Reject{}, InstallState{}, StateInstalled{}, RecordEpoch{}, EpochRecorded{}, Append{}, Appended{},
		Confirm{}, Confirmed{},
		Forward{}, ForwardReply{}, Push{}, Pull{}, CommitAmendment{}, FenceNotice{}, Leave{}, LeaveGranted{},
		Handover{}, MemberLost{}}
}

// JoinRequest says that its sender is no member, or a member by a record that is not active yet.
type JoinRequest struct {
	Member Member `cbor:"1,keyasint"`
	// was never a member: may take part in founding, or enlarge the membership
	NeverMember bool        `cbor:"2,keyasint,omitempty"`
	Record      EpochRecord `cbor:"3,keyasint"`
}

// FirstEpoch gives a member the record of the first epoch.
type FirstEpoch struct {
	Record EpochRecord `cbor:"1,keyasint"`
}

// ViewRequest asks for a View.
type ViewRequest struct{}

// View reports the active epoch and the committed version, as far as the sender knows them.
type View struct {
	Record      EpochRecord `cbor:"1,keyasint"`
	Version     uint32      `cbor:"2,keyasint,omitempty"`
	Leading     bool        `cbor:"3,keyasint,omitempty"` // the sender is the primary of this epoch
	ReadsPacked bool        `cbor:"4,keyasint,omitempty"` // the sender reads packed documents
}

// Heartbeat shows that the primary is alive.
type Heartbeat struct {
	Ballot      Ballot       `cbor:"1,keyasint"`
	Version     uint32       `cbor:"2,keyasint,omitempty"`
	KnownTokens []KnownToken `cbor:"3,keyasint,omitempty"` // only for a member that knows other tokens
}

// HeartbeatReply answers a Heartbeat.
type HeartbeatReply struct {
	Ballot      Ballot `cbor:"1,keyasint"`
	DiskID      uint64 `cbor:"2,keyasint"`
	Promised    Ballot `cbor:"3,keyasint"`
	RecordKnown bool   `cbor:"4,keyasint,omitempty"` // the sender holds the epoch's record as active, on disk or not
	DiskSlow    bool   `cbor:"5,keyasint,omitempty"` // the disk has not synced for longer than DiskTolerance
	// DiskTolerance is how long a sync may take, if that is longer than stallTimeout.
	DiskTolerance time.Duration `cbor:"6,keyasint,omitempty"`
	Token         Token         `cbor:"7,keyasint,omitzero"`
	TokensHash    uint32        `cbor:"8,keyasint,omitempty"` // of the tokens that the member knows
	// RecordStored says that the record is on disk as an active one.
	RecordStored bool `cbor:"9,keyasint,omitempty"`
}

// Resign says that a primary can't go on, so a successor need not wait for a timeout.
type Resign struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// PreVote asks whether a Prepare would be granted. It changes no state, so a member that is cut off
// in one direction can't disturb the others.
type PreVote struct {
	Round  uint64      `cbor:"1,keyasint"`
	Record EpochRecord `cbor:"2,keyasint"`
}

// PreVoteReply answers a PreVote.
type PreVoteReply struct {
	Round    uint64      `cbor:"1,keyasint"`
	DiskID   uint64      `cbor:"2,keyasint"`
	Grant    bool        `cbor:"3,keyasint,omitempty"`
	Record   EpochRecord `cbor:"4,keyasint"`
	Promised Ballot      `cbor:"5,keyasint"`
}

// Prepare asks for a promise. In all requests DiskID is that of the member addressed.
type Prepare struct {
	Ballot     Ballot      `cbor:"1,keyasint"`
	DiskID     uint64      `cbor:"2,keyasint"`
	Record     EpochRecord `cbor:"3,keyasint"`
	Token      Token       `cbor:"4,keyasint,omitzero"`
	HandedOver bool        `cbor:"5,keyasint,omitempty"` // by the primary of that record, which has stepped down
	// OmitBodies says that the promise may refer to bodies by their digests. Those in WantedBodies
	// are sent all the same, if possible as deltas to the document of CommittedVersion.
	OmitBodies       bool     `cbor:"6,keyasint,omitempty"`
	WantedBodies     [][]byte `cbor:"7,keyasint,omitempty"`
	CommittedVersion uint32   `cbor:"8,keyasint,omitempty"`
}

// Promise carries the state of a member, without bodies that the candidate has or may ask for: see
// name.go.
type Promise struct {
	Ballot      Ballot       `cbor:"1,keyasint"`
	DiskID      uint64       `cbor:"2,keyasint"`
	Record      EpochRecord  `cbor:"3,keyasint"`
	StateBallot Ballot       `cbor:"4,keyasint"`
	Committed   Doc          `cbor:"5,keyasint"`
	Pending     Doc          `cbor:"6,keyasint"`
	Token       Token        `cbor:"7,keyasint,omitzero"`
	KnownTokens []KnownToken `cbor:"8,keyasint,omitempty"` // of all members whose token the sender knows
}

// Reject says that a ballot is too low, or that the sender grants no promise now.
type Reject struct {
	Ballot   Ballot      `cbor:"1,keyasint"`
	Promised Ballot      `cbor:"2,keyasint"`
	Record   EpochRecord `cbor:"3,keyasint"`
}

// InstallState gives a writer of a new epoch its initial state.
type InstallState struct {
	Ballot    Ballot `cbor:"1,keyasint"`
	DiskID    uint64 `cbor:"2,keyasint"`
	Committed Doc    `cbor:"3,keyasint"`
	Pending   Doc    `cbor:"4,keyasint"`
	resent    bool   // not on the wire
}

// StateInstalled says that the state is on disk.
type StateInstalled struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Token  Token  `cbor:"3,keyasint,omitzero"`
}

// RecordEpoch asks a member to record an epoch whose writers have installed the state.
type RecordEpoch struct {
	Record EpochRecord `cbor:"1,keyasint"`
	DiskID uint64      `cbor:"2,keyasint"`
}

// EpochRecorded says that the record is on disk.
type EpochRecorded struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Token  Token  `cbor:"3,keyasint,omitzero"`
}

// Append asks a writer to store a document.
type Append struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Doc    Doc    `cbor:"3,keyasint"`
	resent bool   // not on the wire
}

// Appended says that the document is on disk.
type Appended struct {
	Ballot  Ballot `cbor:"1,keyasint"`
	DiskID  uint64 `cbor:"2,keyasint"`
	Version uint32 `cbor:"3,keyasint"`
	Rev     uint32 `cbor:"4,keyasint,omitempty"`
	Token   Token  `cbor:"5,keyasint,omitzero"`
	// LedgerRev + 1; 0 comes from the previous release, which has no LedgerRev
	LedgerRevPlusOne uint32 `cbor:"6,keyasint,omitempty"`
}

// Confirm asks a writer whether it still follows this epoch.
type Confirm struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Round  uint64 `cbor:"3,keyasint"`
}

// Confirmed says that it does.
type Confirmed struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
	Round  uint64 `cbor:"3,keyasint"`
	Token  Token  `cbor:"4,keyasint,omitzero"`
}

// Forward carries an operator's call to the primary and may be repeated. CallerID distinguishes the
// runs of the calling process.
type Forward struct {
	ID       uint64 `cbor:"1,keyasint"`
	CallerID uint64 `cbor:"2,keyasint"`
	Read     bool   `cbor:"3,keyasint,omitempty"`
	Doc      Doc    `cbor:"4,keyasint"`
	// a read that only checks contact; a primary that doesn't know the field replies with the document
	ContactOnly bool `cbor:"5,keyasint,omitempty"`
	ReadsPacked bool `cbor:"6,keyasint,omitempty"` // the sender reads packed documents
	resent      bool // not on the wire
}

// ForwardReply answers a Forward.
type ForwardReply struct {
	ID       uint64 `cbor:"1,keyasint"`
	CallerID uint64 `cbor:"2,keyasint"`
	Result   Result `cbor:"3,keyasint"`
	Doc      *Doc   `cbor:"4,keyasint,omitempty"`
	Version  uint32 `cbor:"5,keyasint,omitempty"` // for ResultContact: the committed version
}

// Push carries a committed document.
type Push struct {
	Doc   Doc      `cbor:"1,keyasint"`           // empty if Deltas are given
	Relay []string `cbor:"2,keyasint,omitempty"` // where the receiver forwards it to
	// Deltas lead to the document from the version that the first one names. A release that doesn't
	// know the field takes no document from the message and asks for the whole one.
	Deltas []Delta `cbor:"3,keyasint,omitempty"`
}

// CommitAmendment commits an amendment without an attachment at those that hold the amended
// document. Sending the whole document would delay all later messages on a slow link.
type CommitAmendment struct {
	Version   uint32 `cbor:"1,keyasint"`
	Rev       uint32 `cbor:"2,keyasint"`
	CreatedIn Ballot `cbor:"3,keyasint,omitzero"`
	LedgerRev uint32 `cbor:"4,keyasint,omitempty"`
}

// Pull asks for a committed document newer than Version.
type Pull struct {
	Version       uint32 `cbor:"1,keyasint,omitempty"`
	AcceptsDeltas bool   `cbor:"2,keyasint,omitempty"` // the reply may consist of deltas
}

// Leave asks the primary to replace the sender as a member; with WhenSafe, also to remove it
// without a replacement.
type Leave struct {
	DiskID   uint64 `cbor:"1,keyasint"`
	WhenSafe bool   `cbor:"2,keyasint,omitempty"`
	Forced   bool   `cbor:"3,keyasint,omitempty"` // the sender will be stopped soon, whatever the state of the cluster
	// PrimarySilent is set in copies to members other than the primary: the sender misses its
	// heartbeats.
	PrimarySilent bool `cbor:"4,keyasint,omitempty"`
}

// LeaveGranted answers a Leave: the active epoch has no member with that disk ID, and a majority of
// its members have stored that it is active.
type LeaveGranted struct {
	DiskID uint64 `cbor:"1,keyasint"`
}

// Handover is the primary's last message in an epoch: a backup shall become a candidate at once.
// NextMembers is the next membership if it changes.
type Handover struct {
	Record      EpochRecord `cbor:"1,keyasint"`
	DiskID      uint64      `cbor:"2,keyasint"`
	NextMembers []Member    `cbor:"3,keyasint,omitempty"`
}

// MemberLost answers a Prepare: the member addressed is lost, as the disk here has another ID.
type MemberLost struct {
	Ballot Ballot `cbor:"1,keyasint"`
	DiskID uint64 `cbor:"2,keyasint"`
}
