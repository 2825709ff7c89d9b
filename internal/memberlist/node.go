// Package memberlist maintains the list of the gateway processes in the system. Each process sends
// heartbeats to a few watchers, which its position on a hash ring determines (the failure
// detector). A watcher that misses them spreads by gossip that the process is gone; a process that
// is alive refutes this with its next sequence number. Tables that differ are reconciled by
// anti-entropy.
package memberlist

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// State is the state of a process.
type State uint8

// The states of a process. A leaving process still serves, but takes on no new roles.
const (
	Up State = iota
	Leaving
	Gone
)

func (s State) String() string { return [...]string{"up", "leaving", "gone"}[min(s, Gone)] }

// Node is what a process announces about itself. Its mesh address identifies it. Incarnation
// grows with each start, and Seq with each change within an incarnation.
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
	Encoding      uint8  `cbor:"11,keyasint,omitempty" json:"Form"` // encodingPacked: the process reads packed nodes and part digests
}

const encodingPacked = 1

// HeldVersion is the configuration version that a node holds.
type HeldVersion struct {
	Addr    string
	Version uint32
}

// supersedes reports whether n overrides o: the later incarnation wins, then the higher sequence
// number, and Gone wins over another state of the same version. The node refutes it with its next
// sequence number.
func (n Node) supersedes(o Node) bool {
	if n.Incarnation != o.Incarnation {
		return n.Incarnation > o.Incarnation
	}
	if n.Seq != o.Seq {
		return n.Seq > o.Seq
	}
	return n.State == Gone && o.State != Gone
}

// equalForPeers reports whether two entries of the same incarnation differ at most in fields that
// are only shown to operators.
func (n Node) equalForPeers(o Node) bool {
	n.Seq, n.ConfigVersion, n.Ready, n.Encoding = o.Seq, o.ConfigVersion, o.Ready, o.Encoding
	return n == o
}

// digest is a hash of the entry's version.
func (n Node) digest() uint64 {
	b := make([]byte, 0, 64)
	b = append(b, n.Addr...)
	b = binary.BigEndian.AppendUint64(b, n.Incarnation)
	b = binary.BigEndian.AppendUint64(b, n.Seq)
	b = append(b, byte(n.State))
	return xxhash.Sum64(b)
}

// The messages between the processes.
type (
	// Heartbeat says that its sender is alive, and carries the sender's version, the hash of its
	// table and the configuration version that it holds. It also answers a Hello and a Ping.
	Heartbeat struct {
		Incarnation   uint64 `cbor:"1,keyasint"`
		Seq           uint64 `cbor:"2,keyasint"`
		TableHash     uint64 `cbor:"3,keyasint"`
		ConfigVersion uint32 `cbor:"4,keyasint,omitempty"`
	}
	// Hello is a heartbeat to a process that may not know the sender.
	Hello struct {
		Node Node `cbor:"1,keyasint"`
	}
	// Gossip carries changed entries. Each process that they are new to forwards them once.
	Gossip struct {
		Nodes  []Node `cbor:"1,keyasint"`
		Packed []byte `cbor:"2,keyasint,omitempty"` // in place of Nodes, if the receiver reads packed nodes
	}
	// Index lists a table: for each node four bytes of the hash of its address and four of its
	// version. For a large table the digests of its parts are sent first, and the answer lists the
	// parts that differ.
	Index struct {
		Rows        []byte `cbor:"1,keyasint"`
		PartDigests []byte `cbor:"2,keyasint,omitempty"` // four bytes for each part
		Parts       []byte `cbor:"3,keyasint,omitempty"` // a bit for each part that Rows covers, then a byte with the bit length of the number of parts; empty: all parts
		Encoding    uint8  `cbor:"4,keyasint,omitempty"` // of the sender
	}
	// Diff has the entries that an Index lacks, and requests those that the Index has in another
	// version.
	Diff struct {
		Nodes    []Node   `cbor:"1,keyasint,omitempty"`
		Want     []uint32 `cbor:"2,keyasint,omitempty"`
		Packed   []byte   `cbor:"3,keyasint,omitempty"` // in place of Nodes, if the receiver reads packed nodes
		Encoding uint8    `cbor:"4,keyasint,omitempty"`
	}
	// Ping asks for a Heartbeat or, on behalf of another watcher, for an IndirectAck, which the
	// prober forwards: the link between two processes may be cut while both are alive.
	Ping struct {
		Watcher string `cbor:"1,keyasint,omitempty"`
	}
	// IndirectPing asks another process to ping one whose heartbeats its watcher misses.
	IndirectPing struct {
		Addr string `cbor:"1,keyasint"`
	}
	// IndirectAck goes from the pinged process to the prober and on to the watcher.
	IndirectAck struct {
		Addr        string `cbor:"1,keyasint"`
		Watcher     string `cbor:"2,keyasint"`
		Incarnation uint64 `cbor:"3,keyasint"`
		Seq         uint64 `cbor:"4,keyasint"`
	}
	// Suspect tells a process that another one regards it as gone at this version.
	Suspect struct {
		Incarnation uint64 `cbor:"1,keyasint"`
		Seq         uint64 `cbor:"2,keyasint"`
	}
)

// Messages lists the messages that a Machine receives. Their order is part of the wire format.
func Messages() []any {
	return []any{Heartbeat{}, Hello{}, Gossip{}, Index{}, Diff{}, Ping{}, IndirectPing{}, IndirectAck{}, Suspect{}}
}

// Out is the result of one input.
type Out struct {
	Send         []fsm.Send
	Changed      bool          // View has changed in more than configuration versions and readiness
	Failed       []string      // addresses of nodes that are now gone
	HeldVersions []HeldVersion // apart from Changed, since each new configuration changes the version of every node
}
