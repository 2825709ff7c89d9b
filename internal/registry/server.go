// Package registry maintains the table of the servers of all services. Each service has a home
// gateway in each zone: its servers send their heartbeats there, and it sends changes to the other
// gateways.
package registry

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// Phase is the phase of a server.
type Phase uint8

// The phases, in the order in which they override each other. Silent is below Quiescing: a leaving
// server gets no requests, whether it is heard or not.
const (
	Serving Phase = iota
	Silent
	Quiescing
	Ended
)

func (p Phase) String() string {
	return [...]string{"serving", "silent", "quiescing", "ended"}[min(p, Ended)]
}

// Server is one instance of a server, from its start to its end.
type Server struct {
	ID, Addr, Service, Zone, Epoch string

	Capacity  int
	Phase     Phase
	Seq       uint64
	WarmUntil fsm.Time `json:"Warm"` // end of its warm-up, by this process's clock
}

// supersedes reports whether s overrides o. A server that has begun to leave doesn't come back,
// whatever sequence number a later row has: its next start has another ID.
func (s Server) supersedes(o Server) bool {
	if s.Phase >= Quiescing || o.Phase >= Quiescing {
		if s.Phase != o.Phase {
			return s.Phase > o.Phase
		}
		return s.Phase != Ended && s.Seq > o.Seq
	}
	if s.Seq != o.Seq {
		return s.Seq > o.Seq
	}
	return s.Phase > o.Phase
}

// equalIgnoringSeq reports whether a heartbeat with o carries no change.
func (s Server) equalIgnoringSeq(o Server) bool {
	s.Seq, s.WarmUntil = o.Seq, o.WarmUntil
	return s == o
}

// digest is a hash of the version.
func (s Server) digest() uint64 {
	b := make([]byte, 0, 48)
	b = append(b, s.ID...)
	b = append(b, byte(s.Phase))
	if s.Phase != Ended {
		b = binary.BigEndian.AppendUint64(b, s.Seq)
	}
	return xxhash.Sum64(b)
}

// Row is a Server on the wire.
type Row struct {
	ID       string `cbor:"1,keyasint"`
	Addr     string `cbor:"2,keyasint,omitempty"`
	Service  string `cbor:"3,keyasint,omitempty"`
	Zone     string `cbor:"4,keyasint,omitempty"`
	Epoch    string `cbor:"5,keyasint,omitempty"`
	Capacity int    `cbor:"6,keyasint,omitempty"`
	Phase    Phase  `cbor:"7,keyasint,omitempty"`
	Seq      uint64 `cbor:"8,keyasint,omitempty"`
	WarmMs   int    `cbor:"9,keyasint,omitempty"`
}

func (s Server) row(now fsm.Time) Row {
	return Row{s.ID, s.Addr, s.Service, s.Zone, s.Epoch, s.Capacity, s.Phase, s.Seq,
		int(max(0, s.WarmUntil-now) / time.Millisecond)}
}

func (r Row) server(now fsm.Time) Server {
	s := Server{ID: r.ID, Addr: r.Addr, Service: r.Service, Zone: r.Zone, Epoch: r.Epoch,
		Capacity: r.Capacity, Phase: r.Phase, Seq: r.Seq}
	if r.WarmMs > 0 {
		s.WarmUntil = now + time.Duration(r.WarmMs)*time.Millisecond
	}
	return s
}

// The messages between the processes.
type (
	// Update is sent to every process. With a Number it asks for an Ack. To get around a cut link
	// it is sent to a third process with RelayTo set; that one sends it on with Origin set to the
	// sender. With ForwardTo the receiver forwards it to those processes, and its Ack lists who has
	// confirmed; a program version without ForwardTo confirms only for itself.
	Update struct {
		Number  uint64 `cbor:"1,keyasint,omitempty"`
		Rows    []Row  `cbor:"2,keyasint"`
		RelayTo string `cbor:"3,keyasint,omitempty"`
		Origin  string `cbor:"4,keyasint,omitempty"`

		ForwardTo []string `cbor:"5,keyasint,omitempty"`
	}
	// Ack confirms an Update. When it is forwarded, Origin is its destination and Confirmer the
	// process that confirmed; ConfirmedBy lists further ones.
	Ack struct {
		Number      uint64   `cbor:"1,keyasint"`
		Origin      string   `cbor:"2,keyasint,omitempty"`
		Confirmer   string   `cbor:"3,keyasint,omitempty"`
		ConfirmedBy []string `cbor:"4,keyasint,omitempty"`
	}
	// ForwardedHeartbeat passes a heartbeat on to the server's home.
	ForwardedHeartbeat struct {
		Row Row `cbor:"1,keyasint"`
	}
	// TableDigest is the hash of a table. It is answered if the tables differ.
	TableDigest struct {
		Hash uint64 `cbor:"1,keyasint"`
	}
	// ServiceDigests has the digests of a table by service, 12 bytes each.
	ServiceDigests struct {
		Rows []byte `cbor:"1,keyasint"`
	}
	// Index lists the servers of the services that differ, 8 bytes each.
	Index struct {
		Services []uint32 `cbor:"1,keyasint"`
		Rows     []byte   `cbor:"2,keyasint"`
	}
	// Diff has the rows that an Index lacks, and requests those that the Index has in another
	// version.
	Diff struct {
		Rows []Row    `cbor:"1,keyasint,omitempty"`
		Want []uint32 `cbor:"2,keyasint,omitempty"`
	}
	// Fetch requests a full table.
	Fetch struct{}
	// FullTable is a whole table. Complete: the sender's table is complete. Vouches: it has every
	// leaving server that it has confirmed, also before its start.
	FullTable struct {
		Complete bool  `cbor:"1,keyasint,omitempty"`
		Rows     []Row `cbor:"2,keyasint"`
		Vouches  bool  `cbor:"3,keyasint,omitempty"`
	}
)

// Messages lists the messages that a Machine receives. Their order is part of the wire format.
func Messages() []any {
	return []any{Update{}, Ack{}, ForwardedHeartbeat{}, TableDigest{}, ServiceDigests{}, Index{}, Diff{}, Fetch{}, FullTable{}}
}

// Answer answers a server's call.
type Answer struct {
	Call   uint64
	OK     bool
	Target string // control address for its next heartbeats; "" for none
}

// Out is the result of one input.
type Out struct {
	Send    []fsm.Send
	Answers []Answer
	Changes []Server
	Write   *LeavingWrite // to be stored; LeavingStored reports that it is. Nil: nothing
}

// Heartbeat is what a server reports of itself.
type Heartbeat struct {
	ID, Addr, Service, Zone, Epoch string

	Capacity  int
	Quiescing bool
	Seq       uint64
	WarmMs    int
}

func (b Heartbeat) server(now fsm.Time) Server {
	s := Server{ID: b.ID, Addr: b.Addr, Service: b.Service, Zone: b.Zone, Epoch: b.Epoch,
		Capacity: b.Capacity, Seq: b.Seq, Phase: Serving}
	if b.Quiescing {
		s.Phase = Quiescing
	}
	if b.WarmMs > 0 {
		s.WarmUntil = now + time.Duration(b.WarmMs)*time.Millisecond
	}
	return s
}
