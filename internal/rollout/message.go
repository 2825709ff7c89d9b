package rollout

import (
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/policy"
)

// LeaseRequest is a node's call to the primary for a lease, with what it says of the change.
type LeaseRequest struct {
	ID        uint64           `cbor:"1,keyasint"` // of this life
	Seq       uint64           `cbor:"2,keyasint"`
	Version   int64            `cbor:"3,keyasint"`
	Checked   uint64           `cbor:"4,keyasint,omitempty"`
	Refusal   string           `cbor:"5,keyasint,omitempty"`
	HeldRound uint64           `cbor:"6,keyasint,omitempty"`
	Epoch     consensus.Ballot `cbor:"7,keyasint"` // that Held is a round of
	Name      string           `cbor:"8,keyasint,omitempty"`
	Zone      string           `cbor:"9,keyasint,omitempty"`
}

// LeaseGrant is the primary's answer, or with Seq 0 its call. Texts come by consensus.
type LeaseGrant struct {
	ID        uint64           `cbor:"1,keyasint"`
	Seq       uint64           `cbor:"2,keyasint,omitempty"`
	Epoch     consensus.Ballot `cbor:"3,keyasint"`
	Version   int64            `cbor:"4,keyasint"` // live
	Lease     time.Duration    `cbor:"5,keyasint,omitempty"`
	Change    uint64           `cbor:"6,keyasint,omitempty"` // to be checked
	HoldRound uint64           `cbor:"7,keyasint,omitempty"`
	Fenced    string           `cbor:"8,keyasint,omitempty"`
	Newest    uint32           `cbor:"9,keyasint,omitempty"` // the newest document, and
	Rev       uint32           `cbor:"10,keyasint,omitempty"`
}

// WithdrawRequest asks the primary to withdraw a version that is not live yet.
type WithdrawRequest struct {
	Version uint32 `cbor:"1,keyasint"`
	By      string `cbor:"2,keyasint,omitempty"`
	ID      uint64 `cbor:"3,keyasint,omitempty"` // of the life that asks
	Call    uint64 `cbor:"4,keyasint,omitempty"` // that the answer is for
	// Fence is the newest version that the caller knew to be kept, and 1: a copy that comes late
	// withdraws none that came since. 0: from one of the version before.
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

// Messages lists what a Machine takes; the order stays.
func Messages() []any { return []any{LeaseRequest{}, LeaseGrant{}, WithdrawRequest{}, WithdrawReply{}} }

func (a LeaseRequest) renew() policy.Renew {
	return policy.Renew{Seq: a.Seq, Name: a.Name, Zone: a.Zone, Version: a.Version, Checked: a.Checked, Refusal: a.Refusal,
		Held: a.HeldRound, Format: policy.Format}
}

func (g LeaseGrant) grant() policy.Grant {
	return policy.Grant{Seq: g.Seq, Version: g.Version, Lease: g.Lease, Change: g.Change, Hold: g.HoldRound, Fenced: g.Fenced}
}
