package pact

import "time"

// Messages has one of each message that a machine takes; the order is the wire's.
func Messages() []any {
	return []any{Hello{}, Found{}, Ask{}, View{}, Beat{}, Beaten{}, Resign{}, Probe{}, Probed{}, Prepare{},
		Promise{}, Refuse{}, Copy{}, Copied{}, Enact{}, Enacted{}, Append{}, Appended{}, Confirm{}, Confirmed{},
		Forward{}, Answered{}, Push{}, Pull{}, Amended{}}
}

// Hello says that a member has no seat, or one that is not in force yet.
type Hello struct {
	Seat   Seat   `cbor:"1,keyasint"`
	Grow   bool   `cbor:"2,keyasint,omitempty"` // has never been lost: may found, or enlarge the set
	Record Record `cbor:"3,keyasint"`
}

// Found gives a member the first record.
type Found struct {
	Record Record `cbor:"1,keyasint"`
}

// Ask asks for a View.
type Ask struct{}

// View tells the epoch in force and the version committed, as far as known.
type View struct {
	Record  Record `cbor:"1,keyasint"`
	Version uint32 `cbor:"2,keyasint,omitempty"`
	Leads   bool   `cbor:"3,keyasint,omitempty"` // the sender serves this epoch
}

// Beat is the primary's sign of life.
type Beat struct {
	Ballot  Ballot `cbor:"1,keyasint"`
	Version uint32 `cbor:"2,keyasint,omitempty"`
}

// Beaten answers a Beat.
type Beaten struct {
	Ballot   Ballot `cbor:"1,keyasint"`
	Life     uint64 `cbor:"2,keyasint"`
	Promised Ballot `cbor:"3,keyasint"`
	Known    bool   `cbor:"4,keyasint,omitempty"` // the epoch's record is held, and as active
	Slow     bool   `cbor:"5,keyasint,omitempty"` // the disk has not synced for longer than Bears
	// Bears is how long it may take, if that is longer than usual.
	Bears time.Duration `cbor:"6,keyasint,omitempty"`
}

// Resign says that a primary cannot go on: whoever hears it needs no patience.
type Resign struct {
	Ballot Ballot `cbor:"1,keyasint"`
}

// Probe asks whether a Prepare would be granted; it changes nothing, so who is
// cut off one way cannot disturb the others.
type Probe struct {
	Round  uint64 `cbor:"1,keyasint"`
	Record Record `cbor:"2,keyasint"`
}

// Probed answers a Probe.
type Probed struct {
	Round    uint64 `cbor:"1,keyasint"`
	Life     uint64 `cbor:"2,keyasint"`
	Grant    bool   `cbor:"3,keyasint,omitempty"`
	Record   Record `cbor:"4,keyasint"`
	Promised Ballot `cbor:"5,keyasint"`
}

// Prepare asks for a promise. Life is that of the seat asked, here and below.
type Prepare struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Record Record `cbor:"3,keyasint"`
}

// Promise carries all that the member knows.
type Promise struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Record Record `cbor:"3,keyasint"`
	Stamp  Ballot `cbor:"4,keyasint"`
	Kept   Doc    `cbor:"5,keyasint"`
	Next   Doc    `cbor:"6,keyasint"`
}

// Refuse says that a ballot is too low, or comes at the wrong moment.
type Refuse struct {
	Ballot   Ballot `cbor:"1,keyasint"`
	Promised Ballot `cbor:"2,keyasint"`
	Record   Record `cbor:"3,keyasint"`
}

// Copy gives a writer of a new epoch the state that it begins with.
type Copy struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Kept   Doc    `cbor:"3,keyasint"`
	Next   Doc    `cbor:"4,keyasint"`
}

// Copied says that a Copy is on disk.
type Copied struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
}

// Enact asks a member to record an epoch whose writers have the state.
type Enact struct {
	Record Record `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
}

// Enacted says that the record is on disk.
type Enacted struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
}

// Append asks a writer to keep a document.
type Append struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Doc    Doc    `cbor:"3,keyasint"`
}

// Appended says that the document is on disk.
type Appended struct {
	Ballot  Ballot `cbor:"1,keyasint"`
	Life    uint64 `cbor:"2,keyasint"`
	Version uint32 `cbor:"3,keyasint"`
	Rev     uint32 `cbor:"4,keyasint,omitempty"`
}

// Confirm asks a writer whether the epoch still is the one it serves.
type Confirm struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Round  uint64 `cbor:"3,keyasint"`
}

// Confirmed says that it is.
type Confirmed struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Round  uint64 `cbor:"3,keyasint"`
}

// Forward carries an operator's call to the primary; it may be repeated. Salt
// tells the lives of a caller apart.
type Forward struct {
	ID   uint64 `cbor:"1,keyasint"`
	Salt uint64 `cbor:"2,keyasint"`
	Read bool   `cbor:"3,keyasint,omitempty"`
	Doc  Doc    `cbor:"4,keyasint"`
}

// Answered answers a Forward.
type Answered struct {
	ID      uint64  `cbor:"1,keyasint"`
	Salt    uint64  `cbor:"2,keyasint"`
	Verdict Verdict `cbor:"3,keyasint"`
	Doc     *Doc    `cbor:"4,keyasint,omitempty"`
}

// Push carries a committed document.
type Push struct {
	Doc Doc      `cbor:"1,keyasint"`
	On  []string `cbor:"2,keyasint,omitempty"` // whom the taker passes it on to
}

// Amended carries a committed amendment that has nothing beside it, for those that hold
// what it amends: on a slow link the whole document would hold up all behind it.
type Amended struct {
	Version uint32 `cbor:"1,keyasint"`
	Rev     uint32 `cbor:"2,keyasint"`
}

// Pull asks for a committed document newer than the one held.
type Pull struct {
	Held uint32 `cbor:"1,keyasint,omitempty"`
}
