package quotas

import (
	"encoding/binary"

	"asterwell/internal/fsm"
)

// Where a gateway sees thousands of tenants, nearly all of its messages hold a few items, and
// most of their bytes were the head. A gateway and a holder that have shown each other that they
// read it send head and items as one string: a life as four bytes of it, by which the holder knows
// the one that it has heard, and flags, numbers and roster without the keys of a map.

const (
	compactRead = 1 << iota
	compactPing
	compactNearLimit
	compactAnswersProbes
)

const (
	compactHeardOthers = 1 << iota
	compactPackedAccepted
	compactMissing            // how many follows
	compactRosterHash         // the holder's roster follows
	compactUnknownIncarnation // the holder doesn't know the life: it took nothing
	compactSendInterval       // follows
)

// foldIncarnation is a life in four bytes. Two lives of a gateway that share one are as rare as two rosters
// that share a hash.
func foldIncarnation(life uint64) uint32 { return uint32(life) ^ uint32(life>>32) }

func flagIf(of bool, bit byte) byte {
	if of {
		return bit
	}
	return 0
}

// compact is an add of a gateway whose life the holder knows; the whole of it is packed.
func (a Add) compact() Add {
	b := make([]byte, 0, 24+len(a.Packed))
	b = append(b, flagIf(a.Read, compactRead)|flagIf(a.Ping, compactPing)|flagIf(a.NearLimit, compactNearLimit)|flagIf(a.AnswersProbes, compactAnswersProbes))
	b = binary.BigEndian.AppendUint32(b, foldIncarnation(a.Incarnation))
	b = binary.BigEndian.AppendUint32(b, a.RosterHash)
	b = binary.AppendUvarint(b, a.Period)
	b = binary.AppendUvarint(b, uint64(a.Timestamp))
	return Add{Compact: append(b, a.Packed...)}
}

// foldedIncarnation is which life a shortened add is of.
func (a Add) foldedIncarnation() (folded uint32, ok bool) {
	if len(a.Compact) < 9 {
		return 0, false
	}
	return binary.BigEndian.Uint32(a.Compact[1:]), true
}

// Expand is a shortened add as the life's that it is of; any other is as it was.
func (a Add) Expand(life uint64) (long Add, ok bool) {
	if len(a.Compact) == 0 {
		return a, true
	}
	if len(a.Compact) < 9 {
		return a, false
	}
	u := unpacker{b: a.Compact[9:]}
	flags := a.Compact[0]
	long = Add{Incarnation: life, RosterHash: binary.BigEndian.Uint32(a.Compact[5:]), Read: flags&compactRead != 0, Ping: flags&compactPing != 0,
		NearLimit: flags&compactNearLimit != 0, AnswersProbes: flags&compactAnswersProbes != 0}
	long.Period, long.Timestamp = u.uvarint(), fsm.Time(u.uvarint())
	long.Packed = u.b
	return long, !u.invalid && long.Timestamp >= 0
}

// compact is an answer to a shortened add, if nothing of it has to go by names.
func (a Answer) compact() Answer {
	if len(a.Totals) > 0 {
		return a
	}
	return Answer{Compact: a.compactHead(0)}
}

// unknownIncarnation is the answer to a shortened add of a life that the holder hasn't heard.
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

// RequestTimestamp is the stamp of the add that an answer is to.
func (a Answer) RequestTimestamp() (stamp fsm.Time, ok bool) {
	switch {
	case len(a.Compact) == 0:
		return a.Timestamp, true
	case len(a.Compact) < 5:
		return 0, false
	}
	u := unpacker{b: a.Compact[5:]}
	u.uvarint() // the period
	stamp = fsm.Time(u.uvarint())
	return stamp, !u.invalid
}

// expand is a shortened answer to a life; any other is as it was. lost: the holder doesn't know
// that life, and has taken nothing.
func (a Answer) expand(life uint64) (long Answer, lost, ok bool) {
	if len(a.Compact) == 0 {
		return a, false, true
	}
	if len(a.Compact) < 5 || binary.BigEndian.Uint32(a.Compact[1:]) != foldIncarnation(life) {
		return a, false, false
	}
	u := unpacker{b: a.Compact[5:]}
	flags := a.Compact[0]
	long = Answer{Incarnation: life, HeardOthers: flags&compactHeardOthers != 0, PackedAccepted: flags&compactPackedAccepted != 0, ReadsCompact: true}
	long.Period, long.Timestamp = u.uvarint(), fsm.Time(u.uvarint())
	if flags&compactSendInterval != 0 && len(u.b) > 0 {
		long.SendInterval, u.b = u.b[0], u.b[1:]
	}
	if flags&compactMissing != 0 {
		long.Missing = uint32(u.uvarint())
	}
	if flags&compactRosterHash != 0 {
		if len(u.b) < 4 {
			return a, false, false
		}
		long.RosterHash, u.b = binary.BigEndian.Uint32(u.b), u.b[4:]
	}
	long.Packed = u.b
	return long, flags&compactUnknownIncarnation != 0, !u.invalid && long.Timestamp >= 0
}
