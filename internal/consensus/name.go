package consensus

import (
	"bytes"
	"slices"

	"asterwell/internal/delta"
)

// A promise names the texts that its member holds: version, digest, and all that is beside them. The text
// itself goes only to a candidate that lacks it, from one of those that have named it, as a difference
// where it can. Until then the candidate has no state to begin with, and gives up when its time is over.

// named is a document of a promise as that candidate wants it.
func (m *Machine) named(d Doc, t Prepare) Doc {
	if !t.Names || len(d.Sum) == 0 || len(d.Body) == 0 {
		return d
	}
	if !slices.ContainsFunc(t.Want, func(sum []byte) bool { return bytes.Equal(sum, d.Sum) }) {
		return d.nameOnly()
	}
	kept := m.d.Kept
	if t.Held == kept.Version && d.Version != kept.Version {
		return m.differing(d)
	}
	if all := m.since(t.Held); len(all) == 1 && d.Version == kept.Version {
		d.Body, d.Packed = nil, &all[0].Body
	}
	return d
}

// nameOnly is a document without its text: the difference of that text to itself.
func (d Doc) nameOnly() Doc {
	d.Packed = delta.Identity(d.Body)
	d.Body = nil
	return d
}

// lacks says whether a document's text is not here.
func (d Doc) lacks() bool { return d.Packed != nil }

// found is a document with its text, if anybody's promise has brought that.
func (b *bid) found(d Doc) Doc {
	if !d.lacks() {
		return d
	}
	for _, p := range b.promises {
		for _, o := range []Doc{p.Kept, p.Next} {
			if !o.lacks() && len(o.Body) > 0 && bytes.Equal(o.Sum, d.Sum) {
				d.Body, d.Packed = o.Body, nil
				return d
			}
		}
	}
	return d
}

// want asks for texts that the epoch to be must go on with. One that names them is asked, and after
// a while the next one.
func (m *Machine) want(docs ...Doc) {
	b := m.bid
	var sums [][]byte
	size := 0
	for _, d := range docs {
		if d.lacks() {
			sums, size = append(sums, d.Sum), size+d.Packed.Size
		}
	}
	if b.wanted != 0 && m.now-b.wanted < resendEvery+min(Way(size), mostState) {
		return
	}
	var who []Seat
	for _, s := range union(b.base.voters(), b.plan) {
		p, ok := b.promises[s.Addr]
		has := func(sum []byte) bool { return bytes.Equal(sum, p.Kept.Sum) || bytes.Equal(sum, p.Next.Sum) }
		if ok && p.Life == s.Life && s.Addr != m.c.Self && slices.ContainsFunc(sums, has) {
			who = append(who, s)
		}
	}
	if len(who) == 0 {
		return
	}
	s := who[int(b.asked)%len(who)]
	b.wanted, b.asked = m.now, b.asked+1
	m.durable(s.Addr, Prepare{Ballot: b.ballot, Life: s.Life, Record: b.base, Handed: b.handed, Names: true, Want: sums,
		Held: m.d.Kept.Version})
}

// toWriter is a document for a writer that has promised: named where it has the text, else as a difference to what it has.
func (m *Machine) toWriter(to string, d Doc) Doc {
	if m.bid == nil || len(d.Body) == 0 || len(d.Sum) == 0 {
		return m.packDoc(d)
	}
	p := m.bid.promises[to]
	if bytes.Equal(p.Kept.Sum, d.Sum) || bytes.Equal(p.Next.Sum, d.Sum) {
		return d.nameOnly()
	}
	base := m.bid.found(p.Kept).Body
	if len(base) == 0 {
		return m.packDoc(d)
	}
	return m.differingFrom(base, d)
}
