package quotas

import "asterwell/internal/fsm"

// Add tells a holder what a gateway has passed. Sums are cumulative within a
// name, so that a lost, late or doubled add does no harm.
type Add struct {
	Incarnation   uint64   `cbor:"1,keyasint,omitempty"`
	Period        uint64   `cbor:"2,keyasint,omitempty"` // the newest that the gateway knows
	Timestamp     fsm.Time `cbor:"3,keyasint,omitempty"` // the gateway's clock, given back
	Read          bool     `cbor:"4,keyasint,omitempty"` // an answer is wanted
	Items         []Item   `cbor:"5,keyasint,omitempty"`
	Ping          bool     `cbor:"6,keyasint,omitempty"` // only a sign of life is wanted
	NearLimit     bool     `cbor:"7,keyasint,omitempty"` // a tenant is near its limit: who is out of sight matters
	AnswersProbes bool     `cbor:"8,keyasint,omitempty"` // the gateway answers where it is asked for a sign of life
	// Packed has the items of tenants in the roster whose hash List is. A holder that doesn't
	// know the roster, or of packing, doesn't say Taken. Where nothing is packed, List is the
	// gateway's own roster; 0: it packs none.
	Packed     []byte `cbor:"9,keyasint,omitempty"`
	RosterHash uint32 `cbor:"10,keyasint,omitempty"`
	// Asked is the Stamp of the question that this is the sign of life for; 0: it had none.
	ProbeTimestamp fsm.Time `cbor:"11,keyasint,omitempty"`
	// Brief is all of the above in one string (brief.go), for a holder that reads it.
	Compact []byte `cbor:"12,keyasint,omitempty"`
}

// WithoutItems is an add without all that it tells: whether the holder is there. One that is shortened stays as it is.
func (a Add) WithoutItems() Add {
	if len(a.Compact) > 0 {
		return a
	}
	a.Read, a.Ping, a.NearLimit, a.Items, a.Packed = false, true, false, nil, nil
	return a
}

// Item is one gateway's sum in one name. Units are thousandths.
type Item struct {
	Tenant     string `cbor:"1,keyasint"`
	Period     uint64 `cbor:"2,keyasint"`
	Sum        uint64 `cbor:"3,keyasint,omitempty"`
	Unreported uint64 `cbor:"4,keyasint,omitempty"` // new to the holder, if nothing was lost
	Interval   uint64 `cbor:"5,keyasint,omitempty"` // microseconds a unit, for the level
	Used       uint64 `cbor:"6,keyasint,omitempty"` // of the burst, as the gateway sees it, and 1; 0: not seen
	NearLimit  bool   `cbor:"7,keyasint,omitempty"` // it is near its limit, and small for so many gateways
}

// Answer gives the sums of the names that an Add has named.
type Answer struct {
	Incarnation uint64   `cbor:"1,keyasint,omitempty"` // the asker's
	Period      uint64   `cbor:"2,keyasint,omitempty"`
	Timestamp   fsm.Time `cbor:"3,keyasint,omitempty"`
	Totals      []Total  `cbor:"4,keyasint,omitempty"`
	// Company says that the holder has heard other gateways lately.
	HeardOthers bool `cbor:"5,keyasint,omitempty"`
	// Missing is how many of the gateways that there should be are out of the holder's sight.
	Missing uint32 `cbor:"6,keyasint,omitempty"`
	// Ask: this is no answer, but wants a sign of life, an Add without items. A process that
	// doesn't know it takes no notice; one that met a new kind of message would hang up.
	Probe bool `cbor:"7,keyasint,omitempty"`
	// Packed has the totals of tenants in the roster of the add's List.
	Packed         []byte `cbor:"8,keyasint,omitempty"`
	PackedAccepted bool   `cbor:"9,keyasint,omitempty"`  // what the add had packed
	RosterHash     uint32 `cbor:"10,keyasint,omitempty"` // the holder's own roster; 0: the add's, or none
	// Briefs: the holder reads adds that are shortened. Brief is an answer to such a one.
	ReadsCompact bool   `cbor:"11,keyasint,omitempty"`
	Compact      []byte `cbor:"12,keyasint,omitempty"`
	// Pace is how far apart the holder wants a gateway's adds, in units of paceUnit; 0: as they come.
	SendInterval uint8 `cbor:"13,keyasint,omitempty"`
}

// Total is what a holder knows of one name.
type Total struct {
	Tenant     string `cbor:"1,keyasint"`
	Period     uint64 `cbor:"2,keyasint"`
	Others     uint64 `cbor:"3,keyasint,omitempty"` // without all lives of the asker
	Own        uint64 `cbor:"4,keyasint,omitempty"` // of this life of the asker
	Level      uint64 `cbor:"5,keyasint,omitempty"` // of the burst, in use by all gateways
	LevelKnown bool   `cbor:"6,keyasint,omitempty"` // the holder has listened for long enough to know Level
}

// Messages lists what the machines of this package receive; the order stays.
func Messages() []any { return []any{Add{}, Answer{}} }
