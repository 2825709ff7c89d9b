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
	briefRead = 1 << iota
	briefEcho
	briefNear
	briefSigns
)

const (
	briefCompany = 1 << iota
	briefTaken
	briefMissing // how many follows
	briefList    // the holder's roster follows
	briefLost    // the holder doesn't know the life: it took nothing
	briefPace    // follows
)

// fold is a life in four bytes. Two lives of a gateway that share one are as rare as two rosters
// that share a hash.
func fold(life uint64) uint32 { return uint32(life) ^ uint32(life>>32) }

func flag(of bool, bit byte) byte {
	if of {
		return bit
	}
	return 0
}

// shorten is an add of a gateway whose life the holder knows; the whole of it is packed.
func (a Add) shorten() Add {
	b := make([]byte, 0, 24+len(a.Packed))
	b = append(b, flag(a.Read, briefRead)|flag(a.Echo, briefEcho)|flag(a.Near, briefNear)|flag(a.Signs, briefSigns))
	b = binary.BigEndian.AppendUint32(b, fold(a.Life))
	b = binary.BigEndian.AppendUint32(b, a.List)
	b = binary.AppendUvarint(b, a.Period)
	b = binary.AppendUvarint(b, uint64(a.Stamp))
	return Add{Brief: append(b, a.Packed...)}
}

// briefLife is which life a shortened add is of.
func (a Add) briefLife() (folded uint32, ok bool) {
	if len(a.Brief) < 9 {
		return 0, false
	}
	return binary.BigEndian.Uint32(a.Brief[1:]), true
}

// Lengthen is a shortened add as the life's that it is of; any other is as it was.
func (a Add) Lengthen(life uint64) (long Add, ok bool) {
	if len(a.Brief) == 0 {
		return a, true
	}
	if len(a.Brief) < 9 {
		return a, false
	}
	u := unpacking{b: a.Brief[9:]}
	flags := a.Brief[0]
	long = Add{Life: life, List: binary.BigEndian.Uint32(a.Brief[5:]), Read: flags&briefRead != 0, Echo: flags&briefEcho != 0,
		Near: flags&briefNear != 0, Signs: flags&briefSigns != 0}
	long.Period, long.Stamp = u.number(), fsm.Time(u.number())
	long.Packed = u.b
	return long, !u.spoilt && long.Stamp >= 0
}

// shorten is an answer to a shortened add, if nothing of it has to go by names.
func (a Answer) shorten() Answer {
	if len(a.Totals) > 0 {
		return a
	}
	return Answer{Brief: a.head(0)}
}

// lost is the answer to a shortened add of a life that the holder hasn't heard.
func (a Answer) lost(folded uint32) Answer {
	b := a.head(briefLost)
	binary.BigEndian.PutUint32(b[1:], folded)
	return Answer{Brief: b}
}

func (a Answer) head(more byte) []byte {
	b := make([]byte, 0, 24+len(a.Packed))
	b = append(b, more|flag(a.Company, briefCompany)|flag(a.Taken, briefTaken)|flag(a.Missing > 0, briefMissing)|flag(a.List != 0, briefList)|flag(a.Pace > 0, briefPace))
	b = binary.BigEndian.AppendUint32(b, fold(a.Life))
	b = binary.AppendUvarint(b, a.Period)
	b = binary.AppendUvarint(b, uint64(a.Stamp))
	if a.Pace > 0 {
		b = append(b, a.Pace)
	}
	if a.Missing > 0 {
		b = binary.AppendUvarint(b, uint64(a.Missing))
	}
	if a.List != 0 {
		b = binary.BigEndian.AppendUint32(b, a.List)
	}
	return append(b, a.Packed...)
}

// Stamped is the stamp of the add that an answer is to.
func (a Answer) Stamped() (stamp fsm.Time, ok bool) {
	switch {
	case len(a.Brief) == 0:
		return a.Stamp, true
	case len(a.Brief) < 5:
		return 0, false
	}
	u := unpacking{b: a.Brief[5:]}
	u.number() // the period
	stamp = fsm.Time(u.number())
	return stamp, !u.spoilt
}

// lengthen is a shortened answer to a life; any other is as it was. lost: the holder doesn't know
// that life, and has taken nothing.
func (a Answer) lengthen(life uint64) (long Answer, lost, ok bool) {
	if len(a.Brief) == 0 {
		return a, false, true
	}
	if len(a.Brief) < 5 || binary.BigEndian.Uint32(a.Brief[1:]) != fold(life) {
		return a, false, false
	}
	u := unpacking{b: a.Brief[5:]}
	flags := a.Brief[0]
	long = Answer{Life: life, Company: flags&briefCompany != 0, Taken: flags&briefTaken != 0, Briefs: true}
	long.Period, long.Stamp = u.number(), fsm.Time(u.number())
	if flags&briefPace != 0 && len(u.b) > 0 {
		long.Pace, u.b = u.b[0], u.b[1:]
	}
	if flags&briefMissing != 0 {
		long.Missing = uint32(u.number())
	}
	if flags&briefList != 0 {
		if len(u.b) < 4 {
			return a, false, false
		}
		long.List, u.b = binary.BigEndian.Uint32(u.b), u.b[4:]
	}
	long.Packed = u.b
	return long, flags&briefLost != 0, !u.spoilt && long.Stamp >= 0
}
