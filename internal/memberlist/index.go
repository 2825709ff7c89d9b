package memberlist

import (
	"encoding/binary"
	"math/bits"
	"slices"
)

// Anti-entropy: two tables that differ are first compared by the digests of their parts, and then,
// for the parts that differ, by the versions of their entries.
const (
	maxParts       = 64 // a power of two
	entriesPerPart = 16
)

// partOf returns which of n parts an entry belongs to; n is a power of two.
func partOf(e *entry, n int) int { return int(e.ringPosition>>32) & (n - 1) }

// partCount returns the number of parts that the table is divided into.
func (m *Machine) partCount() int {
	return min(maxParts, 1<<bits.Len(uint(len(m.sorted)/entriesPerPart)))
}

// partDigests returns the digests of n parts, four bytes each.
func (m *Machine) partDigests(n int) []byte {
	digests := make([]uint32, n)
	for i, s := range m.partSums {
		digests[i&(n-1)] ^= s
	}
	var b []byte
	for _, s := range digests {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	return b
}

// answerPartDigests answers part digests with an index of the parts that differ, or that hold an
// entry which only this process regards as gone.
func (m *Machine) answerPartDigests(from string, x Index) {
	n := len(x.PartDigests) / 4
	if n > maxParts || n&(n-1) != 0 || n == 0 {
		return
	}
	ours, differing := m.partDigests(n), make([]byte, (n+7)/8)
	for i := range n {
		if !slices.Equal(ours[4*i:4*i+4], x.PartDigests[4*i:4*i+4]) {
			differing[i/8] |= 1 << (i % 8)
		}
	}
	for k := 0; m.lostCount > 0 && k < len(m.sorted); k++ {
		e := m.sorted[k]
		if i := partOf(e, n); e.lostHere {
			differing[i/8] |= 1 << (i % 8)
		}
	}
	if slices.Max(differing) > 0 {
		m.send(from, Index{Rows: m.encodeIndex(func(e *entry) bool { return inParts(differing, n, e) }), Parts: append(differing, byte(bits.Len(uint(n)))), Encoding: encodingPacked})
	}
}

// inParts reports whether an entry belongs to one of the parts in the bit set.
func inParts(parts []byte, n int, e *entry) bool {
	i := partOf(e, n)
	return parts[i/8]&(1<<(i%8)) != 0
}

// addrHash identifies the entry in an index.
func (e *entry) addrHash() uint32 { return uint32(e.ringPosition) }

// indexVersion is the entry's version in an index; 0 asks for whatever version the other has.
func (e *entry) indexVersion() uint32 {
	if e.lostHere {
		return 0
	}
	return uint32(e.digest) | 1
}

// encodeIndex encodes the entries that the filter selects; a nil filter selects all.
func (m *Machine) encodeIndex(filter func(*entry) bool) []byte {
	b := make([]byte, 0, 8*len(m.sorted))
	for _, e := range m.sorted {
		if filter == nil || filter(e) {
			b = binary.BigEndian.AppendUint32(b, e.addrHash())
			b = binary.BigEndian.AppendUint32(b, e.indexVersion())
		}
	}
	return b
}

// answerIndex sends the entries that an index lacks or has in another version, and asks for those
// that the other process has in another version.
func (m *Machine) answerIndex(from string, x Index) {
	theirs := map[uint32]uint32{}
	for rows := x.Rows; len(rows) >= 8; rows = rows[8:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint32(rows[4:])
	}
	all, n := len(x.Parts) < 2, 0
	if !all {
		n = 1 << (x.Parts[len(x.Parts)-1] - 1) & (2*maxParts - 1)
		if n == 0 || (n+7)/8 != len(x.Parts)-1 {
			return
		}
	}
	allowed := m.entryAllowance()
	var nodes []Node
	var wanted []uint32
	for _, e := range m.sorted {
		if !all && !inParts(x.Parts, n, e) {
			continue
		}
		key := e.addrHash()
		v, known := theirs[key]
		delete(theirs, key)
		if known && v == e.indexVersion() {
			continue
		}
		if !e.lostHere && (known || e.node.State != Gone) && len(nodes) < allowed {
			nodes = append(nodes, e.node)
		}
		if known && v != 0 {
			wanted = append(wanted, key)
		}
	}
	for key, v := range theirs {
		if v != 0 {
			wanted = append(wanted, key)
		}
	}
	slices.Sort(wanted)
	m.entryBudget -= float64(len(nodes))
	if len(nodes)+len(wanted) > 0 {
		m.send(from, m.newDiff(nodes, wanted, x.Encoding))
	}
}

// entryAllowance returns how many entries one message may carry. When many processes start at once
// and turn to the same few seeds, each gets part of the table and fetches the rest from the
// processes that it learns of.
func (m *Machine) entryAllowance() int { return max(minEntriesPerMessage, int(m.entryBudget)) }

// newDiff builds a Diff in an encoding that the receiver reads. Packed nodes keep the fields that
// are constant within an incarnation, since it is not known what the receiver has.
func (m *Machine) newDiff(nodes []Node, want []uint32, form uint8) Diff {
	if form < encodingPacked {
		return Diff{Nodes: nodes, Want: want}
	}
	all := make([]packedNode, len(nodes))
	for i, n := range nodes {
		all[i] = packedNode{n, n.State == Gone}
	}
	return Diff{Packed: pack(all), Want: want, Encoding: encodingPacked}
}
