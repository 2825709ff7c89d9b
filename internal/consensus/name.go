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
func (m *Machine) promiseDoc(d Doc, t Prepare) Doc {
	if !t.OmitBodies || len(d.Digest) == 0 || len(d.Body) == 0 {
		return d
	}
	if !slices.ContainsFunc(t.WantedBodies, func(sum []byte) bool { return bytes.Equal(sum, d.Digest) }) {
		return d.bodyOmitted()
	}
	kept := m.state.Committed
	if t.CommittedVersion == kept.Version && d.Version != kept.Version {
		return m.asDelta(d)
	}
	if all := m.deltasSince(t.CommittedVersion); len(all) == 1 && d.Version == kept.Version {
		d.Body, d.Packed = nil, &all[0].Change
	}
	return d
}

// nameOnly is a document without its text: the difference of that text to itself.
func (d Doc) bodyOmitted() Doc {
	d.Packed = delta.Identity(d.Body)
	d.Body = nil
	return d
}

// lacks says whether a document's text is not here.
func (d Doc) lacksBody() bool { return d.Packed != nil }

// found is a document with its text, if anybody's promise has brought that.
func (b *candidateState) withBody(d Doc) Doc {
	if !d.lacksBody() {
		return d
	}
	for _, p := range b.promises {
		for _, o := range []Doc{p.Committed, p.Pending} {
			if !o.lacksBody() && len(o.Body) > 0 && bytes.Equal(o.Digest, d.Digest) {
				d.Body, d.Packed = o.Body, nil
				return d
			}
		}
	}
	return d
}

// want asks for texts that the epoch to be must go on with. One that names them is asked, and after
// a while the next one.
func (m *Machine) requestBodies(docs ...Doc) {
	b := m.candidate
	var sums [][]byte
	size := 0
	for _, d := range docs {
		if d.lacksBody() {
			sums, size = append(sums, d.Digest), size+d.Packed.Size
		}
	}
	if b.bodiesAskedAt != 0 && m.now-b.bodiesAskedAt < resendInterval+min(TransferTime(size), maxStateTransfer) {
		return
	}
	var who []Member
	for _, s := range union(b.baseRecord.votingMembers(), b.nextMembers) {
		p, ok := b.promises[s.Addr]
		has := func(sum []byte) bool {
			return bytes.Equal(sum, p.Committed.Digest) || bytes.Equal(sum, p.Pending.Digest)
		}
		if ok && p.DiskID == s.DiskID && s.Addr != m.config.Self && slices.ContainsFunc(sums, has) {
			who = append(who, s)
		}
	}
	if len(who) == 0 {
		return
	}
	s := who[int(b.bodyRequests)%len(who)]
	b.bodiesAskedAt, b.bodyRequests = m.now, b.bodyRequests+1
	m.sendAfterSave(s.Addr, Prepare{Ballot: b.ballot, DiskID: s.DiskID, Record: b.baseRecord, HandedOver: b.handedOver, OmitBodies: true, WantedBodies: sums,
		CommittedVersion: m.state.Committed.Version})
}

// toWriter is a document for a writer that has promised: named where it has the text, else as a difference to what it has.
func (m *Machine) docForWriter(to string, d Doc) Doc {
	if m.candidate == nil || len(d.Body) == 0 || len(d.Digest) == 0 {
		return m.packWhole(d)
	}
	p := m.candidate.promises[to]
	if bytes.Equal(p.Committed.Digest, d.Digest) || bytes.Equal(p.Pending.Digest, d.Digest) {
		return d.bodyOmitted()
	}
	base := m.candidate.withBody(p.Committed).Body
	if len(base) == 0 {
		return m.packWhole(d)
	}
	return m.asDeltaFrom(base, d)
}
