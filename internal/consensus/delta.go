package consensus

import (
	"slices"

	"asterwell/internal/delta"
)

// Delta is a committed document as a difference to the one before it, or to none: most of what
// operators change in a large one is in one place. Who has not that base asks for what it needs.
type Delta struct {
	From uint32      `cbor:"1,keyasint,omitempty"` // version of the base; 0: none
	Head Doc         `cbor:"2,keyasint"`           // the document without its body
	Body delta.Delta `cbor:"3,keyasint"`
}

func (d Delta) size() int { return len(d.Body.Ops) + len(d.Head.Side) + 64 }

// head is a document as others than writers are given it, without its body.
func (d Doc) head() Doc {
	d = d.bare()
	d.Body = nil
	return d
}

func (d Doc) with(body []byte) Doc {
	d.Body = body
	return d
}

// recentMost is how many bytes of differences a process keeps for those that were away, and
// fewMost how many differences.
const (
	recentMost = 256 << 10
	fewMost    = 1024
)

// step notes what a primary changes of its document, or finds that it is no small change.
func (m *Machine) step(old, doc Doc) {
	if old.Version == 0 || old.Version == doc.Version {
		return
	}
	if body, ok := delta.New(old.Body, doc.Body); ok {
		m.keepDelta(Delta{From: old.Version, Head: doc.head(), Body: body})
	}
}

// keepDelta adds a difference to those that lead to the document held; they are one chain.
func (m *Machine) keepDelta(d Delta) {
	if n := len(m.recent); n > 0 && m.recent[n-1].Head.Version != d.From {
		m.recent = nil
	}
	m.recent = append(slices.Clip(m.recent), d)
	for i, size := len(m.recent)-1, 0; i >= 0; i-- {
		if size += m.recent[i].size(); size > recentMost || len(m.recent)-i > fewMost {
			m.recent = slices.Clone(m.recent[i+1:])
			return
		}
	}
}

// since are the differences from a version on to the document held, or nil: it is to be sent whole.
func (m *Machine) since(version uint32) []Delta {
	kept := m.d.Kept
	n := len(m.recent)
	if version == 0 || n == 0 || m.recent[n-1].Head.Version != kept.Version {
		return nil
	}
	i := slices.IndexFunc(m.recent, func(d Delta) bool { return d.From == version })
	if i < 0 {
		return nil
	}
	all, size := slices.Clone(m.recent[i:]), 0
	all[len(all)-1].Head = kept.head() // it may have been amended since
	for _, d := range all {
		size += d.size()
	}
	if size > len(kept.Body)/2 {
		return nil
	}
	return all
}

// parcel is the document held for somebody that holds that version, as short as may be.
func (m *Machine) parcel(held uint32) Push {
	kept := m.d.Kept
	if all := m.since(held); all != nil {
		return Push{Deltas: all}
	}
	if m.packed.Head.Version != kept.Version || m.packed.Head.Rev != kept.Rev {
		m.packed = Delta{Head: kept.head()}
		if body, ok := delta.NewFull(kept.Body); ok {
			m.packed.Body = body
		}
	}
	if m.packed.Body.Size > 0 {
		return Push{Deltas: []Delta{m.packed}}
	}
	return Push{Doc: kept.bare()}
}

// onDeltas takes a document that came as differences. What does not fit changes nothing: who was away asks
// for what it lacks, and for the whole document where one is damaged.
func (m *Machine) onDeltas(from string, all []Delta) {
	last := all[len(all)-1]
	if !last.Head.Above(m.d.Kept) {
		return
	}
	if kept := m.d.Kept; kept.Version == last.Head.Version && delta.Checksum(kept.Body) == last.Body.ResultSum { // amended
		m.commit(last.Head.with(kept.Body))
		return
	}
	var fresh []Delta
	damaged := false
	body := m.d.Kept.Body
	at := m.d.Kept.Version
	for _, d := range all {
		if d.From == 0 {
			body, at = nil, 0
		}
		if d.From != at {
			continue // before what is held, or beside it
		}
		text, err := d.Body.Apply(body)
		if err != nil {
			damaged = true
			break
		}
		body, at, fresh = text, d.Head.Version, append(fresh, d)
	}
	if at != last.Head.Version || len(fresh) == 0 {
		m.told, m.teller = max(m.told, last.Head.Version), from
		m.send(from, Pull{Held: m.d.Kept.Version, Deltas: !damaged})
		m.pulled = m.now
		return
	}
	m.commit(last.Head.with(body))
	for _, d := range fresh {
		if d.From != 0 {
			m.keepDelta(d)
		}
	}
}

// before is the version that the document held was made of, if that is known; else 0.
func (m *Machine) before(doc Doc) uint32 {
	if n := len(m.recent); n > 0 && m.recent[n-1].Head.Version == doc.Version {
		return m.recent[n-1].From
	}
	return 0
}
