package consensus

import "time"

// Messages has one of each message that a machine takes; the order is the wire's.
func Messages() []any {
	return []any{Hello{}, Found{}, Ask{}, View{}, Beat{}, Beaten{}, Resign{}, Probe{}, Probed{}, Prepare{},
		Promise{}, Refuse{}, Copy{}, Copied{}, Enact{}, Enacted{}, Append{}, Appended{}, Confirm{}, Confirmed{},
		Forward{}, Answered{}, Push{}, Pull{}, Amended{}, Fenced{}, Leave{}, Released{}, Handover{}, Void{}}
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
	Packs   bool   `cbor:"4,keyasint,omitempty"` // it reads packed documents
}

// Beat is the primary's sign of life.
type Beat struct {
	Ballot  Ballot `cbor:"1,keyasint"`
	Version uint32 `cbor:"2,keyasint,omitempty"`
	Marks   []Mark `cbor:"3,keyasint,omitempty"` // for a member that remembers others
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
	Token Token         `cbor:"7,keyasint,omitzero"`
	Sum   uint32        `cbor:"8,keyasint,omitempty"` // of the marks that the member remembers
	// Stored says that the record is on disk as an active one.
	Stored bool `cbor:"9,keyasint,omitempty"`
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
	Token  Token  `cbor:"4,keyasint,omitzero"`
	Handed bool   `cbor:"5,keyasint,omitempty"` // by the primary of that record, which leads no more
	// Names says that the promise may name texts by their digests; those in Want come along all the same, and
	// as a difference to the committed one of version Held where they can.
	Names bool     `cbor:"6,keyasint,omitempty"`
	Want  [][]byte `cbor:"7,keyasint,omitempty"`
	Held  uint32   `cbor:"8,keyasint,omitempty"`
}

// Promise carries all that the member knows, but for texts that the candidate has or may ask for: see name.go.
type Promise struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Record Record `cbor:"3,keyasint"`
	Stamp  Ballot `cbor:"4,keyasint"`
	Kept   Doc    `cbor:"5,keyasint"`
	Next   Doc    `cbor:"6,keyasint"`
	Token  Token  `cbor:"7,keyasint,omitzero"`
	Marks  []Mark `cbor:"8,keyasint,omitempty"` // of all seats that the member remembers
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
	again  bool   // it is repeated: not on the wire
}

// Copied says that a Copy is on disk.
type Copied struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Token  Token  `cbor:"3,keyasint,omitzero"`
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
	Token  Token  `cbor:"3,keyasint,omitzero"`
}

// Append asks a writer to keep a document.
type Append struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Doc    Doc    `cbor:"3,keyasint"`
	again  bool   // it is repeated: not on the wire
}

// Appended says that the document is on disk.
type Appended struct {
	Ballot  Ballot `cbor:"1,keyasint"`
	Life    uint64 `cbor:"2,keyasint"`
	Version uint32 `cbor:"3,keyasint"`
	Rev     uint32 `cbor:"4,keyasint,omitempty"`
	Token   Token  `cbor:"5,keyasint,omitzero"`
	Noted   uint32 `cbor:"6,keyasint,omitempty"` // Notes + 1; 0: from the version before, which knows no notes
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
	Token  Token  `cbor:"4,keyasint,omitzero"`
}

// Forward carries an operator's call to the primary; it may be repeated. Salt
// tells the lives of a caller apart.
type Forward struct {
	ID    uint64 `cbor:"1,keyasint"`
	Salt  uint64 `cbor:"2,keyasint"`
	Read  bool   `cbor:"3,keyasint,omitempty"`
	Doc   Doc    `cbor:"4,keyasint"`
	Bare  bool   `cbor:"5,keyasint,omitempty"` // a Read that only wants proof; who doesn't know it answers with the document
	Packs bool   `cbor:"6,keyasint,omitempty"` // the sender reads packed documents
	again bool   // it is repeated: not on the wire
}

// Answered answers a Forward.
type Answered struct {
	ID      uint64  `cbor:"1,keyasint"`
	Salt    uint64  `cbor:"2,keyasint"`
	Verdict Verdict `cbor:"3,keyasint"`
	Doc     *Doc    `cbor:"4,keyasint,omitempty"`
	Version uint32  `cbor:"5,keyasint,omitempty"` // Proved: what is kept
}

// Push carries a committed document.
type Push struct {
	Doc Doc      `cbor:"1,keyasint"`           // none, where it comes as differences
	On  []string `cbor:"2,keyasint,omitempty"` // whom the taker passes it on to
	// Deltas make it of the version that the first one names. A program that doesn't know them takes
	// no document from it, and asks for the whole one.
	Deltas []Delta `cbor:"3,keyasint,omitempty"`
}

// Amended carries a committed amendment that has nothing beside it, for those that hold
// what it amends: on a slow link the whole document would hold up all behind it.
type Amended struct {
	Version uint32 `cbor:"1,keyasint"`
	Rev     uint32 `cbor:"2,keyasint"`
	By      Ballot `cbor:"3,keyasint,omitzero"`
	Notes   uint32 `cbor:"4,keyasint,omitempty"`
}

// Pull asks for a committed document newer than the one held.
type Pull struct {
	Held   uint32 `cbor:"1,keyasint,omitempty"`
	Deltas bool   `cbor:"2,keyasint,omitempty"` // it may come as differences
}

// Leave asks the primary to give the sender's seat to somebody else; Last, even to nobody.
type Leave struct {
	Life uint64 `cbor:"1,keyasint"`
	Last bool   `cbor:"2,keyasint,omitempty"`
	Ends bool   `cbor:"3,keyasint,omitempty"` // the sender is ended soon, whatever stands elsewhere
	// Missed goes to others than the primary: the sender has missed that.
	Missed bool `cbor:"4,keyasint,omitempty"`
}

// Released answers a Leave: the epoch in force has no seat for that life, and most of its
// members have it on disk that it is in force.
type Released struct {
	Life uint64 `cbor:"1,keyasint"`
}

// Handover makes a backup the candidate for what follows an epoch, at once: it is the
// primary's last word in it. Plan is the set to come, if it is another one.
type Handover struct {
	Record Record `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
	Plan   []Seat `cbor:"3,keyasint,omitempty"`
}

// Void answers a Prepare: the seat that it names is lost, another memory is here.
type Void struct {
	Ballot Ballot `cbor:"1,keyasint"`
	Life   uint64 `cbor:"2,keyasint"`
}
