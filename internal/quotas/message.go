package quotas

import "asterwell/internal/fsm"

// Add reports to a holder what a gateway has passed. Sums are cumulative within a period, so lost, late or
// duplicate adds do no harm.
type Add struct {
	Incarnation   uint64   `cbor:"1,keyasint,omitempty"`
	Period        uint64   `cbor:"2,keyasint,omitempty"` // newest period that the gateway knows
	Timestamp     fsm.Time `cbor:"3,keyasint,omitempty"` // the gateway's clock, echoed in the answer
	Read          bool     `cbor:"4,keyasint,omitempty"` // totals are wanted
	Items         []Item   `cbor:"5,keyasint,omitempty"`
	Ping          bool     `cbor:"6,keyasint,omitempty"` // an answer without totals is wanted
	NearLimit     bool     `cbor:"7,keyasint,omitempty"` // a tenant is near its limit, so missing gateways matter
	AnswersProbes bool     `cbor:"8,keyasint,omitempty"` // the gateway answers probes
	// Packed encodes the items of tenants in the roster with hash RosterHash. A holder that doesn't know
	// the roster, or the encoding, leaves PackedAccepted unset. Without packed items, RosterHash is the
	// gateway's own roster; 0: it doesn't pack.
	Packed     []byte `cbor:"9,keyasint,omitempty"`
	RosterHash uint32 `cbor:"10,keyasint,omitempty"`
	// ProbeTimestamp is the Timestamp of the probe that this add answers; 0: none.
	ProbeTimestamp fsm.Time `cbor:"11,keyasint,omitempty"`
	// Compact encodes all other fields in one string (compact.go), for holders that can read it.
	Compact []byte `cbor:"12,keyasint,omitempty"`
}

// WithoutItems reduces an add to a ping. A compact one is returned as it is.
func (a Add) WithoutItems() Add {
	if len(a.Compact) > 0 {
		return a
	}
	a.Read, a.Ping, a.NearLimit, a.Items, a.Packed = false, true, false, nil, nil
	return a
}

// Item is a gateway's sum for one tenant in one period. Units are thousandths.
type Item struct {
	Tenant     string `cbor:"1,keyasint"`
	Period     uint64 `cbor:"2,keyasint"`
	Sum        uint64 `cbor:"3,keyasint,omitempty"`
	Unreported uint64 `cbor:"4,keyasint,omitempty"` // units not reported to this holder yet, if no message was lost
	Interval   uint64 `cbor:"5,keyasint,omitempty"` // emission interval in microseconds, for the level
	Used       uint64 `cbor:"6,keyasint,omitempty"` // units of the burst in use as the gateway sees it, plus 1; 0: unknown
	NearLimit  bool   `cbor:"7,keyasint,omitempty"` // the tenant is near its limit, and its burst is small for the number of gateways
}

// Answer gives the totals for the items of an Add.
type Answer struct {
	Incarnation uint64   `cbor:"1,keyasint,omitempty"` // of the gateway that is answered
	Period      uint64   `cbor:"2,keyasint,omitempty"`
	Timestamp   fsm.Time `cbor:"3,keyasint,omitempty"`
	Totals      []Total  `cbor:"4,keyasint,omitempty"`
	// HeardOthers reports whether the holder has lately received adds of other gateways.
	HeardOthers bool `cbor:"5,keyasint,omitempty"`
	// Missing is the number of gateways that the holder's failure detector misses.
	Missing uint32 `cbor:"6,keyasint,omitempty"`
	// Probe marks a request for an Add without items, as a sign of life, in place of an answer. It is a
	// field since processes that don't know it ignore it, but would close the connection at an unknown
	// message type.
	Probe bool `cbor:"7,keyasint,omitempty"`
	// Packed encodes the totals of tenants in the roster of the add's RosterHash.
	Packed         []byte `cbor:"8,keyasint,omitempty"`
	PackedAccepted bool   `cbor:"9,keyasint,omitempty"`  // the packed items of the add were read
	RosterHash     uint32 `cbor:"10,keyasint,omitempty"` // the holder's own roster; 0: the same as the add's, or none
	// ReadsCompact reports whether the holder can read compact adds. Compact is the answer to such an add.
	ReadsCompact bool   `cbor:"11,keyasint,omitempty"`
	Compact      []byte `cbor:"12,keyasint,omitempty"`
	// SendInterval is the gap between adds that the holder asks for, in units of sendIntervalUnit; 0: no
	// limit.
	SendInterval uint8 `cbor:"13,keyasint,omitempty"`
}

// Total is what a holder knows of one tenant in one period.
type Total struct {
	Tenant     string `cbor:"1,keyasint"`
	Period     uint64 `cbor:"2,keyasint"`
	Others     uint64 `cbor:"3,keyasint,omitempty"` // units of other gateways, without any incarnation of the one that is answered
	Own        uint64 `cbor:"4,keyasint,omitempty"` // units of this incarnation
	Level      uint64 `cbor:"5,keyasint,omitempty"` // units of the burst in use by all gateways
	LevelKnown bool   `cbor:"6,keyasint,omitempty"` // the holder has listened for long enough to know Level
}

// Messages lists the messages that meters and counters receive. The wire numbers them by position, so the
// order must not change.
func Messages() []any { return []any{Add{}, Answer{}} }
