package faultrules

import "time"

// Claim asks a member to serve a term, and what it has.
type Claim struct {
	Term Term `cbor:"1,keyasint"`
}

// Claimed answers: the time that the record is here, if Sure.
type Claimed struct {
	Term   Term          `cbor:"1,keyasint"`
	Record Record        `cbor:"2,keyasint"`
	Age    time.Duration `cbor:"3,keyasint,omitempty"`
	Sure   bool          `cbor:"4,keyasint,omitempty"`
}

// Append gives a member the record.
type Append struct {
	Record Record        `cbor:"1,keyasint"`
	Stamp  time.Duration `cbor:"2,keyasint"`
	Aged   time.Duration `cbor:"3,keyasint,omitempty"` // since the record told what is left
	From   uint64        `cbor:"4,keyasint,omitempty"` // so many of the term's notes came before
	Notes  []Entry       `cbor:"5,keyasint,omitempty"`
}

// Appended says that it is synced.
type Appended struct {
	Term  Term          `cbor:"1,keyasint"`
	Seq   uint64        `cbor:"2,keyasint"`
	Stamp time.Duration `cbor:"3,keyasint"`
	Notes uint64        `cbor:"4,keyasint,omitempty"` // so many of the term's are here, or not needed
}

// Beat asks a member that has the record whether the term still stands.
type Beat struct {
	Term  Term          `cbor:"1,keyasint"`
	Stamp time.Duration `cbor:"2,keyasint"`
	Aged  time.Duration `cbor:"3,keyasint,omitempty"`
	Seq   uint64        `cbor:"4,keyasint"`
}

// Beaten says that it does.
type Beaten struct {
	Term  Term          `cbor:"1,keyasint"`
	Stamp time.Duration `cbor:"2,keyasint"`
}

// Push brings a set that is kept.
type Push struct {
	Term    Term   `cbor:"1,keyasint"`
	Turn    uint64 `cbor:"2,keyasint"`
	Doc     Doc    `cbor:"3,keyasint"`
	Stopped bool   `cbor:"4,keyasint,omitempty"`
}

// Ask confirms the set that a process holds, and asks for a lease. Want is how many requests
// wait for a strike of each rule.
type Ask struct {
	Turn  uint64        `cbor:"1,keyasint"`
	Life  uint64        `cbor:"2,keyasint"`
	Stamp time.Duration `cbor:"3,keyasint"`
	Used  []int         `cbor:"4,keyasint,omitempty"`
	Want  []int         `cbor:"5,keyasint,omitempty"`
	Body  uint64        `cbor:"6,keyasint,omitempty"` // a hash of it
	Notes []Note        `cbor:"7,keyasint,omitempty"` // that aren't known to be on record
	Name  string        `cbor:"8,keyasint,omitempty"`
	Form  uint8         `cbor:"9,keyasint,omitempty"`
}

// puts is the form of processes that put strikes on record before they make them. One that doesn't
// never confirms a set: what was handed out to it couldn't be taken back.
const formRecordsFirst = 1

// Lease puts the rules of a turn in force from the stamp on: each for what it has left, none
// for longer than For. Parts are what was ever handed out to the life that asked.
type Lease struct {
	Turn  uint64          `cbor:"1,keyasint"`
	Stamp time.Duration   `cbor:"2,keyasint"`
	Life  uint64          `cbor:"3,keyasint"`
	For   time.Duration   `cbor:"4,keyasint,omitempty"`
	Left  []time.Duration `cbor:"5,keyasint,omitempty"`
	Parts []int           `cbor:"6,keyasint,omitempty"`
	Spent []bool          `cbor:"7,keyasint,omitempty"`
	Nodes int             `cbor:"8,keyasint,omitempty"`
	Over  bool            `cbor:"9,keyasint,omitempty"`  // nothing of it will come into force again
	Heard uint64          `cbor:"10,keyasint,omitempty"` // notes up to this one are on record, or refused
	Noted []int           `cbor:"11,keyasint,omitempty"` // strikes on record, of each rule
	Term  Term            `cbor:"12,keyasint"`           // of the record that this goes by
	Seq   uint64          `cbor:"13,keyasint"`
}

// Op is what an operator wants.
type Op uint8

// The operators' calls.
const (
	OpPut Op = iota + 1
	OpStop
	OpGet
)

// Forward is an operator's call on its way to the primary. It may be repeated.
type Forward struct {
	ID   uint64 `cbor:"1,keyasint"`
	Salt uint64 `cbor:"2,keyasint"`
	Op   Op     `cbor:"3,keyasint"`
	Doc  Doc    `cbor:"4,keyasint"`
	// Fence is the turn that the caller knew, and 1: a call that comes later than what followed
	// it changes nothing. 0: from one that doesn't know.
	Fence uint64 `cbor:"5,keyasint,omitempty"`
}

// Answered answers it.
type Answered struct {
	ID   uint64 `cbor:"1,keyasint"`
	Salt uint64 `cbor:"2,keyasint"`
	Ans  Answer `cbor:"3,keyasint"`
}

// Messages lists what a Machine takes; the order stays.
func Messages() []any {
	return []any{Claim{}, Claimed{}, Append{}, Appended{}, Beat{}, Beaten{}, Push{}, Ask{}, Lease{}, Forward{}, Answered{}}
}
