package consensus

import (
	"slices"

	"asterwell/internal/delta"
)

// Delta is a committed document as a difference to an earlier version, or packed without one.
// Operators mostly change one place of a large document. A receiver without the base version asks
// for what it needs.
type Delta struct {
	From   uint32      `cbor:"1,keyasint,omitempty"` // version of the base; 0: none
	Doc    Doc         `cbor:"2,keyasint"`           // without its body
	Change delta.Delta `cbor:"3,keyasint"`
}

func (d Delta) size() int { return len(d.Change.Ops) + len(d.Doc.Attachment) + 64 }

// withoutBody returns a document as it is sent to processes that are no writers, without its body.
func (d Doc) withoutBody() Doc {
	d = d.withoutLedger()
	d.Body = nil
	return d
}

func (d Doc) withBody(body []byte) Doc {
	d.Body = body
	return d
}

// maxDeltaBytes and maxDeltas limit the deltas that a process keeps for those that missed some.
const (
	maxDeltaBytes = 256 << 10
	maxDeltas     = 1024
)

// recordDelta keeps the difference between two documents of a primary, unless it is too large.
func (m *Machine) recordDelta(old, doc Doc) {
	if old.Version == 0 || old.Version == doc.Version {
		return
	}
	if body, ok := delta.New(old.Body, doc.Body); ok {
		m.appendDelta(Delta{From: old.Version, Doc: doc.withoutBody(), Change: body})
	}
}

// appendDelta adds a delta to those that lead to the committed document. They form one chain.
func (m *Machine) appendDelta(d Delta) {
	if n := len(m.recentDeltas); n > 0 && m.recentDeltas[n-1].Doc.Version != d.From {
		m.recentDeltas = nil
	}
	m.recentDeltas = append(slices.Clip(m.recentDeltas), d)
	for i, size := len(m.recentDeltas)-1, 0; i >= 0; i-- {
		if size += m.recentDeltas[i].size(); size > maxDeltaBytes || len(m.recentDeltas)-i > maxDeltas {
			m.recentDeltas = slices.Clone(m.recentDeltas[i+1:])
			return
		}
	}
}

// deltasSince returns the deltas from a version to the committed document, or nil if the whole
// document must be sent.
func (m *Machine) deltasSince(version uint32) []Delta {
	committed := m.state.Committed
	n := len(m.recentDeltas)
	if version == 0 || n == 0 || m.recentDeltas[n-1].Doc.Version != committed.Version {
		return nil
	}
	i := slices.IndexFunc(m.recentDeltas, func(d Delta) bool { return d.From == version })
	if i < 0 {
		return nil
	}
	deltas, size := slices.Clone(m.recentDeltas[i:]), 0
	deltas[len(deltas)-1].Doc = committed.withoutBody() // it may have been amended since
	for _, d := range deltas {
		size += d.size()
	}
	if size > len(committed.Body)/2 {
		return nil
	}
	return deltas
}

// committedPush returns the committed document for a process that has the given version, as short as
// possible.
func (m *Machine) committedPush(version uint32) Push {
	committed := m.state.Committed
	if deltas := m.deltasSince(version); deltas != nil {
		return Push{Deltas: deltas}
	}
	if m.packedWhole.Doc.Version != committed.Version || m.packedWhole.Doc.Rev != committed.Rev {
		m.packedWhole = Delta{Doc: committed.withoutBody()}
		if body, ok := delta.NewFull(committed.Body); ok {
			m.packedWhole.Change = body
		}
	}
	if m.packedWhole.Change.Size > 0 {
		return Push{Deltas: []Delta{m.packedWhole}}
	}
	return Push{Doc: committed.withoutLedger()}
}

// onDeltas takes a document that comes as deltas. Those that don't fit change nothing: the process
// asks for what it lacks, or for the whole document if a delta is damaged.
func (m *Machine) onDeltas(from string, deltas []Delta) {
	last := deltas[len(deltas)-1]
	if !last.Doc.Supersedes(m.state.Committed) {
		return
	}
	// only amended
	if committed := m.state.Committed; committed.Version == last.Doc.Version &&
		delta.Checksum(committed.Body) == last.Change.ResultSum {
		m.commit(last.Doc.withBody(committed.Body))
		return
	}
	var fresh []Delta
	damaged := false
	body := m.state.Committed.Body
	at := m.state.Committed.Version
	for _, d := range deltas {
		if d.From == 0 {
			body, at = nil, 0
		}
		if d.From != at {
			continue // older than the document here, or from another base
		}
		changed, err := d.Change.Apply(body)
		if err != nil {
			damaged = true
			break
		}
		body, at, fresh = changed, d.Doc.Version, append(fresh, d)
	}
	if at != last.Doc.Version || len(fresh) == 0 {
		m.reportedVersion, m.reportedBy = max(m.reportedVersion, last.Doc.Version), from
		m.send(from, Pull{Version: m.state.Committed.Version, AcceptsDeltas: !damaged})
		m.pulledAt = m.now
		return
	}
	m.commit(last.Doc.withBody(body))
	for _, d := range fresh {
		if d.From != 0 {
			m.appendDelta(d)
		}
	}
}

// deltaBase returns the version from which the committed document was made, or 0 if that is not
// known.
func (m *Machine) deltaBase(doc Doc) uint32 {
	if n := len(m.recentDeltas); n > 0 && m.recentDeltas[n-1].Doc.Version == doc.Version {
		return m.recentDeltas[n-1].From
	}
	return 0
}
