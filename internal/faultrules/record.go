package faultrules

import (
	"cmp"
	"slices"
	"time"

	"asterwell/internal/dedup"
	"asterwell/internal/fsm"
)

// Term is a primary's: its epoch in agreement, and a salt that no other start has.
type Term struct {
	N    uint64 `cbor:"1,keyasint,omitempty"`
	By   string `cbor:"2,keyasint,omitempty"`
	Salt uint64 `cbor:"3,keyasint,omitempty"`
}

func (t Term) compare(o Term) int {
	return cmp.Or(cmp.Compare(t.N, o.N), cmp.Compare(t.By, o.By), cmp.Compare(t.Salt, o.Salt))
}

func (t Term) isZero() bool { return t == Term{} }

// Doc is a rule set as it was sent. Version 0 is none.
type Doc struct {
	Version uint32 `cbor:"1,keyasint,omitempty"`
	Body    []byte `cbor:"2,keyasint,omitempty"`
}

// Part is what one life of a process may strike by one rule.
type Part struct {
	Rule int    `cbor:"1,keyasint,omitempty"`
	Addr string `cbor:"2,keyasint"`
	Life uint64 `cbor:"3,keyasint"`
	N    int    `cbor:"4,keyasint"`
	Used int    `cbor:"5,keyasint,omitempty"` // strikes that are on record
	Back int    `cbor:"6,keyasint,omitempty"` // of those, given back
	Seq  uint64 `cbor:"7,keyasint,omitempty"` // by notes up to this one
}

// Record is all that is kept. Turn counts the sets and stops.
type Record struct {
	Term    Term            `cbor:"1,keyasint"`
	Seq     uint64          `cbor:"2,keyasint"`
	Turn    uint64          `cbor:"3,keyasint,omitempty"`
	Doc     Doc             `cbor:"4,keyasint"`
	Stopped bool            `cbor:"5,keyasint,omitempty"`
	Left    []time.Duration `cbor:"6,keyasint,omitempty"` // of each rule, when this was written
	Parts   []Part          `cbor:"7,keyasint,omitempty"`
	Sets    dedup.History   `cbor:"8,keyasint,omitempty"` // accepted ones
}

// sets are the accepted ones, gathered where the version before has kept none.
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

// live reports whether any rule may be in force.
func (r Record) live() bool {
	return r.Turn > 0 && !r.Stopped && slices.ContainsFunc(r.Left, func(d time.Duration) bool { return d > 0 })
}

// given is what of a rule's budget was handed out; ever to one life, and in all without what was
// given back.
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

// grant hands out more. The record is another one afterwards.
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

// use counts the strikes of a life up to one; false: they weren't handed out. The record is
// another one afterwards.
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

// back counts that a strike on record was never made, once. The record is another one afterwards.
func (r *Record) giveBack(rule int, addr string, life uint64, k int, seq uint64) {
	for i, p := range r.Parts {
		if p.Rule == rule && p.Addr == addr && p.Life == life && k <= p.Used && seq > p.Seq {
			r.Parts = slices.Clone(r.Parts)
			r.Parts[i].Back, r.Parts[i].Seq = p.Back+1, seq
		}
	}
}

// used is how many strikes of a rule are on record; ever of one life, and in all without what was
// given back.
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

// aged is what is left after a time.
func aged(left []time.Duration, by fsm.Time) []time.Duration {
	out := slices.Clone(left)
	for i := range out {
		out[i] = max(0, out[i]-max(0, by))
	}
	return out
}

// Disk is what a member must not forget.
type Disk struct {
	Promised Term   `cbor:"1,keyasint"`
	Kept     Record `cbor:"2,keyasint"` // without a term: this disk remembers nothing
}
