package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// outcome caches results: a machine does the same in the same state.
func (x *explorer) outcome(id uint32, at uint8, in input) outcome {
	key := uint64(id)<<32 | uint64(in.kind)<<28 | uint64(in.from)<<24 | uint64(in.arg)
	if o, ok := x.outcomes[key]; ok {
		return o
	}
	var msg any
	if in.kind == receive {
		msg = x.messages[in.arg]
	}
	c, sends, facts := x.scenario.apply(x.nodes[id], x.addrs[in.from], msg, in)
	o := outcome{node: x.nodeID(c), facts: facts}
	for _, m := range sends {
		if to := slices.Index(x.addrs, m.To); to >= 0 {
			o.messages = append(o.messages, message{at, uint8(to), x.messageID(m.Msg)})
		}
	}
	x.outcomes[key] = o
	return o
}

func (x *explorer) nodeID(c *modelNode) uint32 {
	x.buf = c.encode(x.buf[:0])
	key := xxhash.Sum64(x.buf)
	id, ok := x.nodeIDs[key]
	if !ok {
		id = uint32(len(x.nodes))
		x.nodes, x.nodeIDs[key] = append(x.nodes, c), id
	}
	return id
}

func (x *explorer) messageID(msg any) uint32 {
	x.buf = encodeMessage(msg, x.buf[:0])
	key := xxhash.Sum64(x.buf)
	id, ok := x.messageIDs[key]
	if !ok {
		id = uint32(len(x.messages))
		x.messages, x.messageIDs[key] = append(x.messages, msg), id
	}
	return id
}

func (x *explorer) checkStateID(v checkState) uint32 {
	key := fmt.Sprint(v)
	id, ok := x.checkStateIDs[key]
	if !ok {
		id = uint32(len(x.checkStates))
		x.checkStates, x.checkStateIDs[key] = append(x.checkStates, v), id
	}
	return id
}

func (x *explorer) encode(s *modelState) []byte {
	b := x.buf[:0]
	num := func(v uint64) { b = binary.AppendUvarint(b, v) }
	for _, c := range s.nodes {
		num(uint64(c))
	}
	for _, l := range s.links {
		num(uint64(len(l)))
		for _, m := range l {
			num(uint64(m))
		}
	}
	num(uint64(len(s.delayed)))
	for _, p := range s.delayed {
		num(uint64(p.msg))
		b = append(b, p.from, p.to)
	}
	b = append(append(b, s.budgets[:]...), s.nextPut, s.crashed)
	num(uint64(s.checkState))
	x.buf = b
	return b
}

func (x *explorer) decode(code string) *modelState {
	b := []byte(code)
	num := func() uint64 { v, n := binary.Uvarint(b); b = b[n:]; return v }
	s := &modelState{nodes: make([]uint32, x.nodeCount), links: make([][]uint32, x.nodeCount*x.nodeCount)}
	for i := range s.nodes {
		s.nodes[i] = uint32(num())
	}
	for i := range s.links {
		for range num() {
			s.links[i] = append(s.links[i], uint32(num()))
		}
	}
	for range num() {
		p := message{msg: uint32(num())}
		p.from, p.to = b[0], b[1]
		b = b[2:]
		s.delayed = append(s.delayed, p)
	}
	copy(s.budgets[:], b)
	n := len(s.budgets)
	s.nextPut, s.crashed = b[n], b[n+1]
	b = b[n+2:]
	s.checkState = uint32(num())
	return s
}

// trace returns the transitions that lead to a state.
func (x *explorer) trace(to uint32) []string {
	var all []string
	for ; to != 0; to = x.arrivals[to].parent {
		all = append(all, x.describe(x.arrivals[to].transition))
	}
	slices.Reverse(all)
	return all
}

func (x *explorer) describe(v transition) string {
	var b strings.Builder
	name := x.addrs[v.node]
	switch v.input.kind {
	case receive:
		fmt.Fprintf(&b, "%s>%s %T %+v", x.addrs[v.input.from], name, x.messages[v.input.arg], x.messages[v.input.arg])
		b.WriteString([...]string{"", " is lost", " is delayed", " is delivered and duplicated"}[v.fate])
	case sync:
		fmt.Fprintf(&b, "%s syncs its oldest write", name)
	case put:
		fmt.Fprintf(&b, "%s receives a put of version %d, body %q", name, x.scenario.puts[v.input.arg].Version,
			x.scenario.puts[v.input.arg].Body)
	case read:
		fmt.Fprintf(&b, "%s receives a read", name)
	case leave:
		fmt.Fprintf(&b, "%s is told to leave", name)
	case crash:
		fmt.Fprintf(&b, "%s crashes; %d unsynced writes reach its disk; messages in transit lost: %v", name,
			v.input.arg, v.dropsMessages)
	case copyDisk:
		fmt.Fprintf(&b, "the disk of %s is copied", name)
	case rollbackDisk:
		fmt.Fprintf(&b, "%s restarts with the copy of its disk", name)
	case wipe:
		fmt.Fprintf(&b, "%s loses its disk; messages in transit lost: %v", name, v.dropsMessages)
	default:
		fmt.Fprintf(&b, "%v pass at %s", waitDurations[v.input.kind], name)
	}
	return b.String()
}
