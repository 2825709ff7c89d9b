// Package registry knows which servers there are. Each service has a home gateway in each
// zone: its servers beat there, and it tells the others what has changed.
package registry

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
)

// Phase of a server.
type Phase uint8

// The phases, in the order in which they override each other.
// Silent is below Quiescing: a leaving server gets no request, heard or not.
const (
	Serving Phase = iota
	Silent
	Quiescing
	Ended
)

func (p Phase) String() string {
	return [...]string{"serving", "silent", "quiescing", "ended"}[min(p, Ended)]
}

// Server is one life of a server.
type Server struct {
	ID, Addr, Service, Zone, Epoch string

	Capacity  int
	Phase     Phase
	Seq       uint64
	WarmUntil fsm.Time `json:"Warm"` // it is slow until then, by this process's clock
}

// newer is the order in which words about a server override each other. A server that
// has begun to leave doesn't come back, whatever number a later word has: its next
// start is another life.
func (s Server) newer(o Server) bool {
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

// same: a beat with these words tells nothing new.
func (s Server) same(o Server) bool {
	s.Seq, s.WarmUntil = o.Seq, o.WarmUntil
	return s == o
}

// mark is a hash of the version.
func (s Server) mark() uint64 {
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

// The messages.
type (
	// News is pushed to every process. With a number it asks for an Ack.
	// One that goes round a cut is To a third process, which the taker passes it on to, and
	// then For the one that it came from. With On, the taker passes it on to those, and its
	// Ack tells who has confirmed; a program that knows no On confirms for itself alone.
	Update struct {
		Number  uint64 `cbor:"1,keyasint,omitempty"`
		Rows    []Row  `cbor:"2,keyasint"`
		RelayTo string `cbor:"3,keyasint,omitempty"`
		Origin  string `cbor:"4,keyasint,omitempty"`

		ForwardTo []string `cbor:"5,keyasint,omitempty"`
	}
	// Ack confirms a News; For whom, and Of which process, where it goes round, and By whom
	// else.
	Ack struct {
		Number      uint64   `cbor:"1,keyasint"`
		Origin      string   `cbor:"2,keyasint,omitempty"`
		Confirmer   string   `cbor:"3,keyasint,omitempty"`
		ConfirmedBy []string `cbor:"4,keyasint,omitempty"`
	}
	// Pass hands a beat on to the server's home.
	ForwardedHeartbeat struct {
		Row Row `cbor:"1,keyasint"`
	}
	// Sum is what a table hashes to; it is answered where the tables differ.
	TableDigest struct {
		Hash uint64 `cbor:"1,keyasint"`
	}
	// Parts is a table's hashes by service: 12 bytes each.
	ServiceDigests struct {
		Rows []byte `cbor:"1,keyasint"`
	}
	// Index lists the servers of the services that differ, 8 bytes each.
	Index struct {
		Services []uint32 `cbor:"1,keyasint"`
		Rows     []byte   `cbor:"2,keyasint"`
	}
	// Diff has the rows that an Index lacks, and asks for those that it has otherwise.
	Diff struct {
		Rows []Row    `cbor:"1,keyasint,omitempty"`
		Want []uint32 `cbor:"2,keyasint,omitempty"`
	}
	// Fetch asks for a whole table.
	Fetch struct{}
	// Whole is one. Filled: the sender had one itself.
	FullTable struct {
		Complete bool  `cbor:"1,keyasint,omitempty"`
		Rows     []Row `cbor:"2,keyasint"`
	}
)

// Messages lists what a Machine takes; the order stays.
func Messages() []any {
	return []any{Update{}, Ack{}, ForwardedHeartbeat{}, TableDigest{}, ServiceDigests{}, Index{}, Diff{}, Fetch{}, FullTable{}}
}

// Answer to a server's call.
type Answer struct {
	Call   uint64
	OK     bool
	Target string // control address for its later beats; "" for none
}

// Out is what follows from an input.
type Out struct {
	Send    []fsm.Send
	Answers []Answer
	Changes []Server
}

// Beat is a server's word about itself.
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
