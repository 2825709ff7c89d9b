package quotas

import (
	"encoding/binary"

	"asterwell/internal/fsm"
)

// With thousands of tenants, nearly all messages of a gateway hold a few items, and the header was most of
// their bytes. A gateway and a holder that have shown each other that they support it send header and items
// as one string: four bytes identify the incarnation, which the holder knows from an earlier add, and
// flags, numbers and roster hash come without the keys of a CBOR map.

const (
	compactRead = 1 << iota
	compactPing
	compactNearLimit
	compactAnswersProbes
)

const (
	compactHeardOthers = 1 << iota
	compactPackedAccepted
	compactMissing            // their number follows
	compactRosterHash         // the holder's roster hash follows
	compactUnknownIncarnation // the holder doesn't know the incarnation, and took nothing
	compactSendInterval       // the interval follows
)

// foldIncarnation reduces an incarnation to four bytes. Collisions between incarnations of a gateway are as
// rare as those between hashes of rosters.
func foldIncarnation(incarnation uint64) uint32 { return uint32(incarnation) ^ uint32(incarnation>>32) }

func flagIf(on bool, bit byte) byte {
	if on {
		return bit
	}
	return 0
}

// compact encodes an add whose items are all packed, for a holder that knows the incarnation.
func (a Add) compact() Add {
	b := make([]byte, 0, 24+len(a.Packed))
	b = append(b, flagIf(a.Read, compactRead)|flagIf(a.Ping, compactPing)|flagIf(a.NearLimit, compactNearLimit)|flagIf(a.AnswersProbes, compactAnswersProbes))
	b = binary.BigEndian.AppendUint32(b, foldIncarnation(a.Incarnation))
	b = binary.BigEndian.AppendUint32(b, a.RosterHash)
	b = binary.AppendUvarint(b, a.Period)
	b = binary.AppendUvarint(b, uint64(a.Timestamp))
	return Add{Compact: append(b, a.Packed...)}
}

// foldedIncarnation returns the incarnation of a compact add.
func (a Add) foldedIncarnation() (folded uint32, ok bool) {
	if len(a.Compact) < 9 {
		return 0, false
	}
	return binary.BigEndian.Uint32(a.Compact[1:]), true
}

// Expand decodes a compact add of a known incarnation; any other is returned as it is.
func (a Add) Expand(incarnation uint64) (expanded Add, ok bool) {
	if len(a.Compact) == 0 {
		return a, true
	}
	if len(a.Compact) < 9 {
		return a, false
	}
	u := unpacker{b: a.Compact[9:]}
	flags := a.Compact[0]
	expanded = Add{Incarnation: incarnation, RosterHash: binary.BigEndian.Uint32(a.Compact[5:]), Read: flags&compactRead != 0, Ping: flags&compactPing != 0,
		NearLimit: flags&compactNearLimit != 0, AnswersProbes: flags&compactAnswersProbes != 0}
	expanded.Period, expanded.Timestamp = u.uvarint(), fsm.Time(u.uvarint())
	expanded.Packed = u.b
	return expanded, !u.invalid && expanded.Timestamp >= 0
}

// compact encodes an answer to a compact add, unless it has totals that are not packed.
func (a Answer) compact() Answer {
	if len(a.Totals) > 0 {
		return a
	}
	return Answer{Compact: a.compactHead(0)}
}

// unknownIncarnation is the answer to a compact add of an incarnation that the holder doesn't know.
func (a Answer) unknownIncarnation(folded uint32) Answer {
	b := a.compactHead(compactUnknownIncarnation)
	binary.BigEndian.PutUint32(b[1:], folded)
	return Answer{Compact: b}
}

func (a Answer) compactHead(more byte) []byte {
	b := make([]byte, 0, 24+len(a.Packed))
	b = append(b, more|flagIf(a.HeardOthers, compactHeardOthers)|flagIf(a.PackedAccepted, compactPackedAccepted)|flagIf(a.Missing > 0, compactMissing)|flagIf(a.RosterHash != 0, compactRosterHash)|flagIf(a.SendInterval > 0, compactSendInterval))
	b = binary.BigEndian.AppendUint32(b, foldIncarnation(a.Incarnation))
	b = binary.AppendUvarint(b, a.Period)
	b = binary.AppendUvarint(b, uint64(a.Timestamp))
	if a.SendInterval > 0 {
		b = append(b, a.SendInterval)
	}
	if a.Missing > 0 {
		b = binary.AppendUvarint(b, uint64(a.Missing))
	}
	if a.RosterHash != 0 {
		b = binary.BigEndian.AppendUint32(b, a.RosterHash)
	}
	return append(b, a.Packed...)
}

// RequestTimestamp returns the timestamp of the add that is answered.
func (a Answer) RequestTimestamp() (timestamp fsm.Time, ok bool) {
	switch {
	case len(a.Compact) == 0:
		return a.Timestamp, true
	case len(a.Compact) < 5:
		return 0, false
	}
	u := unpacker{b: a.Compact[5:]}
	u.uvarint() // skip the period
	timestamp = fsm.Time(u.uvarint())
	return timestamp, !u.invalid
}

// expand decodes a compact answer; any other is returned as it is. lost: the holder doesn't know the
// incarnation, and took nothing.
func (a Answer) expand(incarnation uint64) (expanded Answer, unknown, ok bool) {
	if len(a.Compact) == 0 {
		return a, false, true
	}
	if len(a.Compact) < 5 || binary.BigEndian.Uint32(a.Compact[1:]) != foldIncarnation(incarnation) {
		return a, false, false
	}
	u := unpacker{b: a.Compact[5:]}
	flags := a.Compact[0]
	expanded = Answer{Incarnation: incarnation, HeardOthers: flags&compactHeardOthers != 0, PackedAccepted: flags&compactPackedAccepted != 0, ReadsCompact: true}
	expanded.Period, expanded.Timestamp = u.uvarint(), fsm.Time(u.uvarint())
	if flags&compactSendInterval != 0 && len(u.b) > 0 {
		expanded.SendInterval, u.b = u.b[0], u.b[1:]
	}
	if flags&compactMissing != 0 {
		expanded.Missing = uint32(u.uvarint())
	}
	if flags&compactRosterHash != 0 {
		if len(u.b) < 4 {
			return a, false, false
		}
		expanded.RosterHash, u.b = binary.BigEndian.Uint32(u.b), u.b[4:]
	}
	expanded.Packed = u.b
	return expanded, flags&compactUnknownIncarnation != 0, !u.invalid && expanded.Timestamp >= 0
}
