package memberlist

import (
	"encoding/binary"
	"errors"
)

// Packed nodes are delta-encoded: of each string only the part that differs from the previous
// node's, and of each number the difference. Where many nodes are sent together, one takes a
// quarter of its size in CBOR. A brief node is smaller still: it leaves out the fields that are
// constant within an incarnation, for receivers that know the incarnation.
const (
	flagMember = 1 << (2 + iota)
	flagReady
	flagBrief
	flagPacked // Node.Form
)

var errDamagedPack = errors.New("packed nodes are damaged")

func flagIf(set bool, flag byte) byte {
	if set {
		return flag
	}
	return 0
}

// packedNode is a node to be packed, or one that was unpacked.
type packedNode struct {
	Node
	brief bool
}

// pack encodes nodes.
func pack(nodes []packedNode) []byte {
	var b []byte
	var last Node
	for _, n := range nodes {
		flags := byte(min(n.State, Gone))
		flags |= flagIf(n.Member, flagMember) | flagIf(n.Ready, flagReady) | flagIf(n.brief, flagBrief) | flagIf(n.Encoding > 0, flagPacked)
		b = append(b, flags)
		b = appendText(b, last.Addr, n.Addr)
		b = binary.AppendVarint(b, int64(n.Incarnation-last.Incarnation))
		b = binary.AppendUvarint(b, n.Seq)
		b = binary.AppendVarint(b, int64(n.ConfigVersion)-int64(last.ConfigVersion))
		if n.brief {
			n.Name, n.Zone = last.Name, last.Zone
		} else {
			b = appendText(b, last.Name, n.Name)
			b = appendText(b, last.Zone, n.Zone)
			b = appendText(b, n.Addr, n.Control)
		}
		last = n.Node
	}
	return b
}

// unpack decodes nodes. On an error it returns those before the damage.
func unpack(b []byte) (nodes []packedNode, err error) {
	r := reader{b: b}
	var last Node
	for len(r.b) > 0 && r.err == nil {
		flags := r.byte()
		n := packedNode{brief: flags&flagBrief != 0}
		n.State, n.Member, n.Ready = State(flags&3), flags&flagMember != 0, flags&flagReady != 0
		if flags&flagPacked != 0 {
			n.Encoding = encodingPacked
		}
		n.Addr = r.text(last.Addr)
		n.Incarnation = last.Incarnation + uint64(r.varint())
		n.Seq = r.uvarint()
		n.ConfigVersion = uint32(int64(last.ConfigVersion) + r.varint())
		if n.brief {
			n.Name, n.Zone = last.Name, last.Zone
		} else {
			n.Name, n.Zone, n.Control = r.text(last.Name), r.text(last.Zone), r.text(n.Addr)
		}
		if r.err == nil {
			last = n.Node
			nodes = append(nodes, n)
		}
	}
	return nodes, r.err
}

// appendText appends the lengths of the prefix and the suffix that s shares with the given text,
// and the bytes of s between them.
func appendText(b []byte, base, s string) []byte {
	head, tail := 0, 0
	for limit := min(len(base), len(s), 255); head < limit && base[head] == s[head]; {
		head++
	}
	for limit := min(len(base), len(s), 255+head) - head; tail < limit && base[len(base)-1-tail] == s[len(s)-1-tail]; {
		tail++
	}
	b = binary.AppendUvarint(b, uint64(head))
	b = binary.AppendUvarint(b, uint64(tail))
	b = binary.AppendUvarint(b, uint64(len(s)-head-tail))
	return append(b, s[head:len(s)-tail]...)
}

// reader decodes packed nodes and keeps the first error.
type reader struct {
	b   []byte
	err error
}

func (r *reader) byte() byte {
	if len(r.b) == 0 {
		r.err = errDamagedPack
		return 0
	}
	c := r.b[0]
	r.b = r.b[1:]
	return c
}

func (r *reader) uvarint() uint64 {
	v, n := binary.Uvarint(r.b)
	if n <= 0 {
		r.b, r.err = nil, errDamagedPack
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) varint() int64 {
	v, n := binary.Varint(r.b)
	if n <= 0 {
		r.b, r.err = nil, errDamagedPack
		return 0
	}
	r.b = r.b[n:]
	return v
}

func (r *reader) text(base string) string {
	head, tail, size := r.uvarint(), r.uvarint(), r.uvarint()
	if r.err != nil || head > uint64(len(base)) || tail > uint64(len(base))-head || size > uint64(len(r.b)) {
		r.b, r.err = nil, errDamagedPack
		return ""
	}
	s := base[:head] + string(r.b[:size]) + base[uint64(len(base))-tail:]
	r.b = r.b[size:]
	return s
}
