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
	if !t.OmitBodies || len(d.Digest) == 0 || len(d.Body) == 0 {
		return d
	}
	if !slices.ContainsFunc(t.WantedBodies, func(sum []byte) bool { return bytes.Equal(sum, d.Digest) }) {
		return d.nameOnly()
	}
	kept := m.d.Committed
	if t.CommittedVersion == kept.Version && d.Version != kept.Version {
		return m.differing(d)
	}
	if all := m.since(t.CommittedVersion); len(all) == 1 && d.Version == kept.Version {
		d.Body, d.Packed = nil, &all[0].Change
	}
	return d
}

// nameOnly is a document without its text: the difference of that text to itself.
func (d Doc) nameOnly() Doc {
	d.Packed = delta.Same(d.Body)
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
		for _, o := range []Doc{p.Committed, p.Pending} {
			if !o.lacks() && len(o.Body) > 0 && bytes.Equal(o.Digest, d.Digest) {
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
			sums, size = append(sums, d.Digest), size+d.Packed.Size
		}
	}
	if b.wanted != 0 && m.now-b.wanted < resendEvery+min(TransferTime(size), mostState) {
		return
	}
	var who []Member
	for _, s := range union(b.base.voters(), b.plan) {
		p, ok := b.promises[s.Addr]
		has := func(sum []byte) bool {
			return bytes.Equal(sum, p.Committed.Digest) || bytes.Equal(sum, p.Pending.Digest)
		}
		if ok && p.DiskID == s.DiskID && s.Addr != m.c.Self && slices.ContainsFunc(sums, has) {
			who = append(who, s)
		}
	}
	if len(who) == 0 {
		return
	}
	s := who[int(b.asked)%len(who)]
	b.wanted, b.asked = m.now, b.asked+1
	m.durable(s.Addr, Prepare{Ballot: b.ballot, DiskID: s.DiskID, Record: b.base, HandedOver: b.handed, OmitBodies: true, WantedBodies: sums,
		CommittedVersion: m.d.Committed.Version})
}

// toWriter is a document for a writer that has promised: named where it has the text, else as a difference to what it has.
func (m *Machine) toWriter(to string, d Doc) Doc {
	if m.bid == nil || len(d.Body) == 0 || len(d.Digest) == 0 {
		return m.packDoc(d)
	}
	p := m.bid.promises[to]
	if bytes.Equal(p.Committed.Digest, d.Digest) || bytes.Equal(p.Pending.Digest, d.Digest) {
		return d.nameOnly()
	}
	base := m.bid.found(p.Committed).Body
	if len(base) == 0 {
		return m.packDoc(d)
	}
	return m.differingFrom(base, d)
}
