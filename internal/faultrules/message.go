package faultrules

import "time"

// Claim asks a member to promise a term and to return its record.
type Claim struct {
	Term Term `cbor:"1,keyasint"`
}

// ClaimReply answers a Claim. Age is the record's age, valid if Sure.
type ClaimReply struct {
	Term   Term          `cbor:"1,keyasint"`
	Record Record        `cbor:"2,keyasint"`
	Age    time.Duration `cbor:"3,keyasint,omitempty"`
	Sure   bool          `cbor:"4,keyasint,omitempty"`
}

// Append replicates the record to a member.
type Append struct {
	Record Record        `cbor:"1,keyasint"`
	Stamp  time.Duration `cbor:"2,keyasint"`
	Aged   time.Duration `cbor:"3,keyasint,omitempty"` // time since Record.Left was computed
	From   uint64        `cbor:"4,keyasint,omitempty"` // number of the term's notes before Notes
	Notes  []Entry       `cbor:"5,keyasint,omitempty"`
}

// AppendReply acknowledges that the record is synced.
type AppendReply struct {
	Term  Term          `cbor:"1,keyasint"`
	Seq   uint64        `cbor:"2,keyasint"`
	Stamp time.Duration `cbor:"3,keyasint"`
	Notes uint64        `cbor:"4,keyasint,omitempty"` // number of the term's notes that are stored or not needed
}

// Heartbeat asks a member that has the record whether the term is still current.
type Heartbeat struct {
	Term  Term          `cbor:"1,keyasint"`
	Stamp time.Duration `cbor:"2,keyasint"`
	Aged  time.Duration `cbor:"3,keyasint,omitempty"`
	Seq   uint64        `cbor:"4,keyasint"`
}

// HeartbeatReply acknowledges a Heartbeat.
type HeartbeatReply struct {
	Term  Term          `cbor:"1,keyasint"`
	Stamp time.Duration `cbor:"2,keyasint"`
}

// Push sends a committed rule set to a process.
type Push struct {
	Term    Term   `cbor:"1,keyasint"`
	Turn    uint64 `cbor:"2,keyasint"`
	Doc     Doc    `cbor:"3,keyasint"`
	Stopped bool   `cbor:"4,keyasint,omitempty"`
}

// Ask confirms the set that a process holds and requests a lease. Want is the number of requests
// that wait for a strike, for each rule.
type Ask struct {
	Turn  uint64        `cbor:"1,keyasint"`
	Life  uint64        `cbor:"2,keyasint"`
	Stamp time.Duration `cbor:"3,keyasint"`
	Used  []int         `cbor:"4,keyasint,omitempty"`
	Want  []int         `cbor:"5,keyasint,omitempty"`
	Body  uint64        `cbor:"6,keyasint,omitempty"` // hash of the set's body
	Notes []Note        `cbor:"7,keyasint,omitempty"` // not yet known to be recorded
	Name  string        `cbor:"8,keyasint,omitempty"`
	Form  uint8         `cbor:"9,keyasint,omitempty"`
}

// formRecordsFirst is the Ask.Form of processes that record strikes before applying them. An Ask
// of a lower form never confirms a set, because strikes granted to such a process couldn't be
// taken back.
const formRecordsFirst = 1

// Lease brings the rules of a turn into force from Stamp on: each for its remaining time, but none
// for longer than For. Parts are the total strikes ever granted to the incarnation that asked.
type Lease struct {
	Turn  uint64          `cbor:"1,keyasint"`
	Stamp time.Duration   `cbor:"2,keyasint"`
	Life  uint64          `cbor:"3,keyasint"`
	For   time.Duration   `cbor:"4,keyasint,omitempty"`
	Left  []time.Duration `cbor:"5,keyasint,omitempty"`
	Parts []int           `cbor:"6,keyasint,omitempty"`
	Spent []bool          `cbor:"7,keyasint,omitempty"`
	Nodes int             `cbor:"8,keyasint,omitempty"`
	Over  bool            `cbor:"9,keyasint,omitempty"`  // no rule of the turn will be in force again
	Heard uint64          `cbor:"10,keyasint,omitempty"` // notes up to this one are recorded or rejected
	Noted []int           `cbor:"11,keyasint,omitempty"` // recorded strikes of each rule
	Term  Term            `cbor:"12,keyasint"`           // of the record that the lease is based on
	Seq   uint64          `cbor:"13,keyasint"`
}

// Op is the kind of an operator's call.
type Op uint8

// The operators' calls.
const (
	OpPut Op = iota + 1
	OpStop
	OpGet
)

// Forward carries an operator's call to the primary. It may be retried.
type Forward struct {
	ID   uint64 `cbor:"1,keyasint"`
	Salt uint64 `cbor:"2,keyasint"`
	Op   Op     `cbor:"3,keyasint"`
	Doc  Doc    `cbor:"4,keyasint"`
	// Fence is one more than the turn that the caller saw, so that a call delayed past a later
	// change has no effect. 0 means that the caller doesn't know the turn.
	Fence uint64 `cbor:"5,keyasint,omitempty"`
}

// ForwardReply returns the answer to a Forward.
type ForwardReply struct {
	ID   uint64 `cbor:"1,keyasint"`
	Salt uint64 `cbor:"2,keyasint"`
	Ans  Answer `cbor:"3,keyasint"`
}

// Messages lists the message types that a Machine handles. Their order must not change.
func Messages() []any {
	return []any{Claim{}, ClaimReply{}, Append{}, AppendReply{}, Heartbeat{}, HeartbeatReply{}, Push{}, Ask{}, Lease{}, Forward{}, ForwardReply{}}
}
