// Package memberlist knows which processes of the system there are. Each one sends
// heartbeats to a few watchers that its place on a ring names (a failure detector); a
// watcher that misses them spreads the word (gossip), and whoever lives takes it back with
// its next incarnation. Tables that differ are mended by anti-entropy.
package memberlist

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// State of a process.
type State uint8

// The states. Leaving ones still serve, but take on no duty.
const (
	Up State = iota
	Leaving
	Gone
)

func (s State) String() string { return [...]string{"up", "leaving", "gone"}[min(s, Gone)] }

// Node is what a process says of itself. Its mesh address is its identity; Life
// grows at each start, and Seq with each change in a life.
type Node struct {
	Addr          string `cbor:"1,keyasint"`
	Name          string `cbor:"2,keyasint,omitempty"`
	Zone          string `cbor:"3,keyasint,omitempty"`
	Control       string `cbor:"4,keyasint,omitempty"`
	Member        bool   `cbor:"5,keyasint,omitempty"`
	Incarnation   uint64 `cbor:"6,keyasint" json:"Life"`
	Seq           uint64 `cbor:"7,keyasint"`
	State         State  `cbor:"8,keyasint,omitempty"`
	Ready         bool   `cbor:"9,keyasint,omitempty"`
	ConfigVersion uint32 `cbor:"10,keyasint,omitempty" json:"Held"`
	Encoding      uint8  `cbor:"11,keyasint,omitempty" json:"Form"` // formPacked: it reads packs and sums of parts
}

const formPacked = 1

// Hold is a configuration's version that a node holds.
type HeldVersion struct {
	Addr    string
	Version uint32
}

// newer is the order in which words about a node override each other: "gone" beats
// what it was said of, and the node's next word beats "gone".
func (n Node) newer(o Node) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	if n.Seq != o.Seq {
		return n.Seq > o.Seq
	}
	return n.State == Gone && o.State != Gone
}

// like: it differs from another word of the same life only in what people look at.
func (n Node) like(o Node) bool {
	n.Seq, n.ConfigVersion, n.Ready, n.Encoding = o.Seq, o.ConfigVersion, o.Ready, o.Encoding
	return n == o
}

// mark is a hash of the entry's version.
func (n Node) mark() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, n.Addr...)
	b = binary.BigEndian.AppendUint64(b, n.Incarnation)
	b = binary.BigEndian.AppendUint64(b, n.Seq)
	b = append(b, byte(n.State))
	return xxhash.Sum64(b)
}

// The messages.
type (
	// Beat says that its sender lives, which version of itself it stands at, what its
	// table hashes to, and which configuration it holds. It answers a Hello and a Ping too.
	Heartbeat struct {
		Incarnation   uint64 `cbor:"1,keyasint"`
		Seq           uint64 `cbor:"2,keyasint"`
		TableHash     uint64 `cbor:"3,keyasint"`
		ConfigVersion uint32 `cbor:"4,keyasint,omitempty"`
	}
	// Hello is a beat to a process that may not know the sender.
	Hello struct {
		Node Node `cbor:"1,keyasint"`
	}
	// Rumour is news, passed on once by everyone to whom it is news.
	Gossip struct {
		Nodes  []Node `cbor:"1,keyasint"`
		Packed []byte `cbor:"2,keyasint,omitempty"` // instead, for whoever reads it
	}
	// Index lists a table: for each node four bytes of its address's hash and four of
	// its version's. Where the table is large, first the digests of its parts go, and the
	// answer lists those that differ.
	Index struct {
		Rows        []byte `cbor:"1,keyasint"`
		PartDigests []byte `cbor:"2,keyasint,omitempty"` // four bytes for each part
		Parts       []byte `cbor:"3,keyasint,omitempty"` // a bit for each part that Rows cover, and the length of the parts' number in bits; none: all
		Encoding    uint8  `cbor:"4,keyasint,omitempty"` // of its sender
	}
	// Diff has the entries that an Index lacks, and asks for those that it has newer.
	Diff struct {
		Nodes    []Node   `cbor:"1,keyasint,omitempty"`
		Want     []uint32 `cbor:"2,keyasint,omitempty"`
		Packed   []byte   `cbor:"3,keyasint,omitempty"` // instead of Nodes, for whoever reads it
		Encoding uint8    `cbor:"4,keyasint,omitempty"`
	}
	// Ping asks for a Beat, or, for another watcher, for a Pong that the asked one
	// hands on: links between two processes may be cut while both live.
	Ping struct {
		Watcher string `cbor:"1,keyasint,omitempty"`
	}
	// Probe asks another process to ping one that its watcher misses.
	IndirectPing struct {
		Addr string `cbor:"1,keyasint"`
	}
	// Pong travels from the pinged to the prober and on to the watcher.
	IndirectAck struct {
		Addr        string `cbor:"1,keyasint"`
		Watcher     string `cbor:"2,keyasint"`
		Incarnation uint64 `cbor:"3,keyasint"`
		Seq         uint64 `cbor:"4,keyasint"`
	}
	// Doubt tells a process that somebody holds it for gone at this version.
	Suspect struct {
		Incarnation uint64 `cbor:"1,keyasint"`
		Seq         uint64 `cbor:"2,keyasint"`
	}
)

// Messages lists what a Machine takes; the order stays.
func Messages() []any {
	return []any{Heartbeat{}, Hello{}, Gossip{}, Index{}, Diff{}, Ping{}, IndirectPing{}, IndirectAck{}, Suspect{}}
}

// Out is what follows from an input.
type Out struct {
	Send         []fsm.Send
	Changed      bool          // View is another, in more than what nodes hold and whether they are ready
	Failed       []string      // addresses newly gone
	HeldVersions []HeldVersion // which is told apart, as each configuration has all nodes hold another
}
