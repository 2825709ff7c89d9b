package memberlist

import (
	"encoding/binary"
	"math/bits"
	"slices"
)

// Anti-entropy: tables that differ are compared by digests of their parts, and of the parts that
// differ by the versions in them. A part has some sixteen entries.
const (
	mostParts = 64 // a power of two
	partOf    = 16
)

// part is where an entry belongs, of n parts.
func part(e *entry, n int) int { return int(e.spot>>32) & (n - 1) }

// split is into how many parts our table goes.
func (m *Machine) split() int {
	return min(mostParts, 1<<bits.Len(uint(len(m.all)/partOf)))
}

// sums are the digests of n parts.
func (m *Machine) sums(n int) []byte {
	sums := make([]uint32, n)
	for i, s := range m.parts {
		sums[i&(n-1)] ^= s
	}
	var b []byte
	for _, s := range sums {
		b = binary.BigEndian.AppendUint32(b, s)
	}
	return b
}

// differ answers digests with what is in the parts that differ.
func (m *Machine) differ(from string, x Index) {
	n := len(x.PartDigests) / 4
	if n > mostParts || n&(n-1) != 0 || n == 0 {
		return
	}
	ours, only := m.sums(n), make([]byte, (n+7)/8)
	for i := range n {
		if !slices.Equal(ours[4*i:4*i+4], x.PartDigests[4*i:4*i+4]) {
			only[i/8] |= 1 << (i % 8)
		}
	}
	for k := 0; m.lost > 0 && k < len(m.all); k++ {
		e := m.all[k]
		if i := part(e, n); e.lost {
			only[i/8] |= 1 << (i % 8)
		}
	}
	if slices.Max(only) > 0 {
		m.send(from, Index{Rows: m.index(func(e *entry) bool { return within(only, n, e) }), Parts: append(only, byte(bits.Len(uint(n)))), Encoding: formPacked})
	}
}

func within(only []byte, n int, e *entry) bool {
	i := part(e, n)
	return only[i/8]&(1<<(i%8)) != 0
}

func (e *entry) short() uint32 { return uint32(e.spot) }

// version of an entry in an index; 0 asks for whatever the other has.
func (e *entry) version() uint32 {
	if e.lost {
		return 0
	}
	return uint32(e.mark) | 1
}

// index lists the entries that are asked for; nil: all.
func (m *Machine) index(of func(*entry) bool) []byte {
	b := make([]byte, 0, 8*len(m.all))
	for _, e := range m.all {
		if of == nil || of(e) {
			b = binary.BigEndian.AppendUint32(b, e.short())
			b = binary.BigEndian.AppendUint32(b, e.version())
		}
	}
	return b
}

// answer gives what an index lacks or has otherwise, and asks for the same.
func (m *Machine) answer(from string, x Index) {
	theirs := map[uint32]uint32{}
	for rows := x.Rows; len(rows) >= 8; rows = rows[8:] {
		theirs[binary.BigEndian.Uint32(rows)] = binary.BigEndian.Uint32(rows[4:])
	}
	all, n := len(x.Parts) < 2, 0
	if !all {
		n = 1 << (x.Parts[len(x.Parts)-1] - 1) & (2*mostParts - 1)
		if n == 0 || (n+7)/8 != len(x.Parts)-1 {
			return
		}
	}
	most := m.may()
	var nodes []Node
	var want []uint32
	for _, e := range m.all {
		if !all && !within(x.Parts, n, e) {
			continue
		}
		key := e.short()
		v, has := theirs[key]
		delete(theirs, key)
		if has && v == e.version() {
			continue
		}
		if !e.lost && (has || e.node.State != Gone) && len(nodes) < most {
			nodes = append(nodes, e.node)
		}
		if has && v != 0 {
			want = append(want, key)
		}
	}
	for key, v := range theirs {
		if v != 0 {
			want = append(want, key)
		}
	}
	slices.Sort(want)
	m.given -= float64(len(nodes))
	if len(nodes)+len(want) > 0 {
		m.send(from, m.diff(nodes, want, x.Encoding))
	}
}

// may is how many entries one message may have: many that come at once, and turn to the same few
// seeds, are given a part, and get the rest of those that they meet by it.
func (m *Machine) may() int { return max(leastGiven, int(m.given)) }

// diff is an exchange's message for one that reads a form. What a life never changes goes along:
// nobody knows what the other has met.
func (m *Machine) diff(nodes []Node, want []uint32, form uint8) Diff {
	if form < formPacked {
		return Diff{Nodes: nodes, Want: want}
	}
	all := make([]packed, len(nodes))
	for i, n := range nodes {
		all[i] = packed{n, n.State == Gone}
	}
	return Diff{Packed: pack(all), Want: want, Encoding: formPacked}
}
