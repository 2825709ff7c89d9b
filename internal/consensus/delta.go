package consensus

import (
	"slices"

	"asterwell/internal/delta"
)

// Delta is a committed document as a difference to the one before it, or to none: most of what
// operators change in a large one is in one place. Who has not that base asks for what it needs.
type Delta struct {
	From   uint32      `cbor:"1,keyasint,omitempty"` // version of the base; 0: none
	Doc    Doc         `cbor:"2,keyasint"`           // the document without its body
	Change delta.Delta `cbor:"3,keyasint"`
}

func (d Delta) size() int { return len(d.Change.Ops) + len(d.Doc.Attachment) + 64 }

// head is a document as others than writers are given it, without its body.
func (d Doc) withoutBody() Doc {
	d = d.withoutLedger()
	d.Body = nil
	return d
}

func (d Doc) withBody(body []byte) Doc {
	d.Body = body
	return d
}

// recentMost is how many bytes of differences a process keeps for those that were away, and
// fewMost how many differences.
const (
	maxDeltaBytes = 256 << 10
	maxDeltas     = 1024
)

// step notes what a primary changes of its document, or finds that it is no small change.
func (m *Machine) recordDelta(old, doc Doc) {
	if old.Version == 0 || old.Version == doc.Version {
		return
	}
	if body, ok := delta.New(old.Body, doc.Body); ok {
		m.appendDelta(Delta{From: old.Version, Doc: doc.withoutBody(), Change: body})
	}
}

// keepDelta adds a difference to those that lead to the document held; they are one chain.
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

// since are the differences from a version on to the document held, or nil: it is to be sent whole.
func (m *Machine) deltasSince(version uint32) []Delta {
	kept := m.state.Committed
	n := len(m.recentDeltas)
	if version == 0 || n == 0 || m.recentDeltas[n-1].Doc.Version != kept.Version {
		return nil
	}
	i := slices.IndexFunc(m.recentDeltas, func(d Delta) bool { return d.From == version })
	if i < 0 {
		return nil
	}
	all, size := slices.Clone(m.recentDeltas[i:]), 0
	all[len(all)-1].Doc = kept.withoutBody() // it may have been amended since
	for _, d := range all {
		size += d.size()
	}
	if size > len(kept.Body)/2 {
		return nil
	}
	return all
}

// parcel is the document held for somebody that holds that version, as short as may be.
func (m *Machine) committedPush(held uint32) Push {
	kept := m.state.Committed
	if all := m.deltasSince(held); all != nil {
		return Push{Deltas: all}
	}
	if m.packedWhole.Doc.Version != kept.Version || m.packedWhole.Doc.Rev != kept.Rev {
		m.packedWhole = Delta{Doc: kept.withoutBody()}
		if body, ok := delta.NewFull(kept.Body); ok {
			m.packedWhole.Change = body
		}
	}
	if m.packedWhole.Change.Size > 0 {
		return Push{Deltas: []Delta{m.packedWhole}}
	}
	return Push{Doc: kept.withoutLedger()}
}

// onDeltas takes a document that came as differences. What does not fit changes nothing: who was away asks
// for what it lacks, and for the whole document where one is damaged.
func (m *Machine) onDeltas(from string, all []Delta) {
	last := all[len(all)-1]
	if !last.Doc.Supersedes(m.state.Committed) {
		return
	}
	if kept := m.state.Committed; kept.Version == last.Doc.Version && delta.Checksum(kept.Body) == last.Change.ResultSum { // amended
		m.commit(last.Doc.withBody(kept.Body))
		return
	}
	var fresh []Delta
	damaged := false
	body := m.state.Committed.Body
	at := m.state.Committed.Version
	for _, d := range all {
		if d.From == 0 {
			body, at = nil, 0
		}
		if d.From != at {
			continue // before what is held, or beside it
		}
		text, err := d.Change.Apply(body)
		if err != nil {
			damaged = true
			break
		}
		body, at, fresh = text, d.Doc.Version, append(fresh, d)
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

// before is the version that the document held was made of, if that is known; else 0.
func (m *Machine) deltaBase(doc Doc) uint32 {
	if n := len(m.recentDeltas); n > 0 && m.recentDeltas[n-1].Doc.Version == doc.Version {
		return m.recentDeltas[n-1].From
	}
	return 0
}
