package consensus

import (
	"bytes"
	"slices"

	"asterwell/internal/delta"
)

// A promise refers to the documents of its sender by version, digest and the other fields. A body
// is sent only to a candidate that lacks it, by a member that has referred to it, if possible as a
// delta. Until then the candidate has no initial state, and it gives up when its time is over.

// promiseDoc returns a document in the form that a candidate wants in a promise.
func (m *Machine) promiseDoc(d Doc, t Prepare) Doc {
	if !t.OmitBodies || len(d.Digest) == 0 || len(d.Body) == 0 {
		return d
	}
	if !slices.ContainsFunc(t.WantedBodies, func(sum []byte) bool { return bytes.Equal(sum, d.Digest) }) {
		return d.bodyOmitted()
	}
	committed := m.state.Committed
	if t.CommittedVersion == committed.Version && d.Version != committed.Version {
		return m.asDelta(d)
	}
	if deltas := m.deltasSince(t.CommittedVersion); len(deltas) == 1 && d.Version == committed.Version {
		d.Body, d.Packed = nil, &deltas[0].Change
	}
	return d
}

// bodyOmitted returns a document whose body is replaced by the delta of that body to itself.
func (d Doc) bodyOmitted() Doc {
	d.Packed = delta.Identity(d.Body)
	d.Body = nil
	return d
}

// lacksBody reports whether a document's body is not here.
func (d Doc) lacksBody() bool { return d.Packed != nil }

// withBody returns a document with its body, if a promise has brought that.
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

// requestBodies requests the missing bodies of the new epoch's state from one of the members that
// refer to them, and after a while from the next.
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
	var holders []Member
	for _, member := range union(b.baseRecord.votingMembers(), b.nextMembers) {
		p, ok := b.promises[member.Addr]
		has := func(sum []byte) bool {
			return bytes.Equal(sum, p.Committed.Digest) || bytes.Equal(sum, p.Pending.Digest)
		}
		if ok && p.DiskID == member.DiskID && member.Addr != m.config.Self && slices.ContainsFunc(sums, has) {
			holders = append(holders, member)
		}
	}
	if len(holders) == 0 {
		return
	}
	holder := holders[int(b.bodyRequests)%len(holders)]
	b.bodiesAskedAt, b.bodyRequests = m.now, b.bodyRequests+1
	m.sendAfterSave(holder.Addr, Prepare{Ballot: b.ballot, DiskID: holder.DiskID, Record: b.baseRecord,
		HandedOver: b.handedOver, OmitBodies: true, WantedBodies: sums,
		CommittedVersion: m.state.Committed.Version})
}

// docForWriter returns a document for a writer that has promised: without the body if it has that,
// else as a delta to its committed one.
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
