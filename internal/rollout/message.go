package rollout

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/policy"
)

// LeaseRequest asks the primary for a lease, and reports the node's view of the prepared version.
type LeaseRequest struct {
	ID        uint64           `cbor:"1,keyasint"` // incarnation of the node
	Seq       uint64           `cbor:"2,keyasint"`
	Version   int64            `cbor:"3,keyasint"`
	Checked   uint64           `cbor:"4,keyasint,omitempty"`
	Refusal   string           `cbor:"5,keyasint,omitempty"`
	HeldRound uint64           `cbor:"6,keyasint,omitempty"`
	Epoch     consensus.Ballot `cbor:"7,keyasint"` // to which HeldRound belongs
	Name      string           `cbor:"8,keyasint,omitempty"`
	Zone      string           `cbor:"9,keyasint,omitempty"`
}

// LeaseGrant answers a LeaseRequest; with Seq 0 the primary sends it unrequested. Texts are sent by package
// consensus.
type LeaseGrant struct {
	ID        uint64           `cbor:"1,keyasint"`
	Seq       uint64           `cbor:"2,keyasint,omitempty"`
	Epoch     consensus.Ballot `cbor:"3,keyasint"`
	Version   int64            `cbor:"4,keyasint"` // the live version
	Lease     time.Duration    `cbor:"5,keyasint,omitempty"`
	Change    uint64           `cbor:"6,keyasint,omitempty"` // the prepared version, to be checked
	HoldRound uint64           `cbor:"7,keyasint,omitempty"`
	Fenced    string           `cbor:"8,keyasint,omitempty"`
	Newest    uint32           `cbor:"9,keyasint,omitempty"` // the newest version of the document, with Rev
	Rev       uint32           `cbor:"10,keyasint,omitempty"`
}

// WithdrawRequest asks the primary to withdraw a version that is not live yet.
type WithdrawRequest struct {
	Version uint32 `cbor:"1,keyasint"`
	By      string `cbor:"2,keyasint,omitempty"`
	ID      uint64 `cbor:"3,keyasint,omitempty"` // incarnation of the caller
	Call    uint64 `cbor:"4,keyasint,omitempty"` // identifies the call in the reply
	// Fence is the newest version that the caller knew, plus 1: a delayed copy withdraws no version that
	// came later. 0: the caller runs the previous version of the program.
	Fence uint32 `cbor:"5,keyasint,omitempty"`
}

// WithdrawReply is the primary's answer.
type WithdrawReply struct {
	ID      uint64  `cbor:"1,keyasint"`
	Call    uint64  `cbor:"2,keyasint"`
	Outcome Outcome `cbor:"3,keyasint"`
	Live    uint32  `cbor:"4,keyasint"`
	Newest  uint32  `cbor:"5,keyasint"`
}

// Messages lists the messages that a Machine receives. The wire numbers them by position, so the order must
// not change.
func Messages() []any { return []any{LeaseRequest{}, LeaseGrant{}, WithdrawRequest{}, WithdrawReply{}} }

func (r LeaseRequest) policyRenew() policy.Renew {
	return policy.Renew{Seq: r.Seq, Name: r.Name, Zone: r.Zone, Version: r.Version, Checked: r.Checked, Refusal: r.Refusal,
		Held: r.HeldRound, Format: policy.Format}
}

func (g LeaseGrant) policyGrant() policy.Grant {
	return policy.Grant{Seq: g.Seq, Version: g.Version, Lease: g.Lease, Change: g.Change, Hold: g.HoldRound, Fenced: g.Fenced}
}
