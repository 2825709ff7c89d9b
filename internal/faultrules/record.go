package faultrules

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/dedup"
	"asterwell/internal/fsm"
)

// Term identifies one tenure of a primary: its consensus epoch, and a salt that is unique for each
// claim.
type Term struct {
	N    uint64 `cbor:"1,keyasint,omitempty"`
	By   string `cbor:"2,keyasint,omitempty"`
	Salt uint64 `cbor:"3,keyasint,omitempty"`
}

func (t Term) compare(o Term) int {
	return cmp.Or(cmp.Compare(t.N, o.N), cmp.Compare(t.By, o.By), cmp.Compare(t.Salt, o.Salt))
}

func (t Term) isZero() bool { return t == Term{} }

// Doc is a rule set as the operator sent it. Version 0 means none.
type Doc struct {
	Version uint32 `cbor:"1,keyasint,omitempty"`
	Body    []byte `cbor:"2,keyasint,omitempty"`
}

// Part is the share of a rule's budget granted to one incarnation of a process.
type Part struct {
	Rule int    `cbor:"1,keyasint,omitempty"`
	Addr string `cbor:"2,keyasint"`
	Life uint64 `cbor:"3,keyasint"`
	N    int    `cbor:"4,keyasint"`
	Used int    `cbor:"5,keyasint,omitempty"` // recorded strikes
	Back int    `cbor:"6,keyasint,omitempty"` // of Used, returned to the budget
	Seq  uint64 `cbor:"7,keyasint,omitempty"` // note of the last strike given back
}

// Record is the replicated state. Turn counts the accepted sets and stops.
type Record struct {
	Term    Term            `cbor:"1,keyasint"`
	Seq     uint64          `cbor:"2,keyasint"`
	Turn    uint64          `cbor:"3,keyasint,omitempty"`
	Doc     Doc             `cbor:"4,keyasint"`
	Stopped bool            `cbor:"5,keyasint,omitempty"`
	Left    []time.Duration `cbor:"6,keyasint,omitempty"` // remaining time of each rule when the record was written
	Parts   []Part          `cbor:"7,keyasint,omitempty"`
	Sets    dedup.History   `cbor:"8,keyasint,omitempty"` // history of accepted sets
}

// acceptedSets returns the history of accepted sets. For a record of the previous software version,
// which has no history, it starts from the current set.
func (r Record) acceptedSets() dedup.History {
	switch {
	case len(r.Sets) > 0:
		return r.Sets
	case r.Doc.Version > 0:
		return dedup.NewFromLast(r.Doc.Version, r.Doc.Body)
	}
	return dedup.New()
}

func (r Record) newer(o Record) bool {
	return cmp.Or(r.Term.compare(o.Term), cmp.Compare(r.Seq, o.Seq)) > 0
}

// live reports whether any rule may still be in force.
func (r Record) live() bool {
	return r.Turn > 0 && !r.Stopped && slices.ContainsFunc(r.Left, func(d time.Duration) bool { return d > 0 })
}

// given returns how much of a rule's budget was granted: to one incarnation in total, and to all
// together less the strikes given back.
func (r Record) given(rule int, addr string, life uint64) (one, all int) {
	for _, p := range r.Parts {
		if p.Rule == rule {
			all += p.N - p.Back
			if p.Addr == addr && p.Life == life {
				one += p.N
			}
		}
	}
	return one, all
}

// grant adds n strikes to a part. It copies Parts, so that copies of the record stay unchanged.
func (r *Record) grant(rule int, addr string, life uint64, n int) {
	r.Parts = slices.Clone(r.Parts)
	for i, p := range r.Parts {
		if p.Rule == rule && p.Addr == addr && p.Life == life {
			r.Parts[i].N += n
			return
		}
	}
	r.Parts = append(r.Parts, Part{Rule: rule, Addr: addr, Life: life, N: n})
}

// recordUse marks the strikes of an incarnation up to ordinal k as used. It returns false if they
// were not granted. It copies Parts before a change.
func (r *Record) recordUse(rule int, addr string, life uint64, k int) bool {
	for i, p := range r.Parts {
		if p.Rule == rule && p.Addr == addr && p.Life == life && k <= p.N {
			r.Parts = slices.Clone(r.Parts)
			r.Parts[i].Used = max(p.Used, k)
			return true
		}
	}
	return false
}

// giveBack returns to the budget a recorded strike that was never applied, once for each note. It
// copies Parts before a change.
func (r *Record) giveBack(rule int, addr string, life uint64, k int, seq uint64) {
	for i, p := range r.Parts {
		if p.Rule == rule && p.Addr == addr && p.Life == life && k <= p.Used && seq > p.Seq {
			r.Parts = slices.Clone(r.Parts)
			r.Parts[i].Back, r.Parts[i].Seq = p.Back+1, seq
		}
	}
}

// used returns the number of recorded strikes of a rule: of one incarnation in total, and of all
// together less the strikes given back.
func (r Record) used(rule int, addr string, life uint64) (one, all int) {
	for _, p := range r.Parts {
		if p.Rule == rule {
			all += p.Used - p.Back
			if p.Addr == addr && p.Life == life {
				one += p.Used
			}
		}
	}
	return one, all
}

// aged returns the remaining times after a duration has passed.
func aged(left []time.Duration, by fsm.Time) []time.Duration {
	out := slices.Clone(left)
	for i := range out {
		out[i] = max(0, out[i]-max(0, by))
	}
	return out
}

// Disk is the persistent state of a member.
type Disk struct {
	Promised Term   `cbor:"1,keyasint"`
	Kept     Record `cbor:"2,keyasint"` // a zero Term means that the disk holds no record
}
