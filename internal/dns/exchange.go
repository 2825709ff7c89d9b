package dns

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/miekg/dns"

	"asterwell/internal/hostenv"
)

// Counters are totals since the start.
type Counters struct {
	Queries   atomic.Int64 // sent, over UDP and TCP, repeats included
	Answers   atomic.Int64 // whole ones
	TCP       atomic.Int64 // of the queries, those over TCP
	Truncated atomic.Int64 // answers with TC
	CutShort  atomic.Int64 // truncated answers whose TCP query failed: no list
	Forged    atomic.Int64 // dropped: another id, question, server or port (RFC 5452)
	Malformed atomic.Int64
	Failed    atomic.Int64 // SERVFAIL, REFUSED and the like
	Silent    atomic.Int64 // no answer in time
	Unsent    atomic.Int64 // no socket, or no connection
	Shrinks   atomic.Int64 // answers that dropped too much at once
	Refuted   atomic.Int64 // of those, the ones that a second answer did not confirm
	Stale     atomic.Int64 // answers that outlived their time
	Lost      atomic.Int64 // and that by too much
	Merged    atomic.Int64 // questions that joined a query under way
}

// exchanger asks one server one question. It repeats nothing by itself.
type exchanger struct {
	world  hostenv.Host
	limit  time.Duration // for each of UDP and TCP
	counts *Counters
}

// exchange asks over UDP, and over TCP if that answer is truncated or tcp says so.
// cut reports that UDP was not enough.
func (x exchanger) exchange(server string, q question, bare, tcp bool) (m *dns.Msg, cut bool, err error) {
	if !tcp {
		m, err = x.udp(server, q, bare)
		if !errors.Is(err, errTruncated) {
			return m, false, x.count(err)
		}
		x.counts.Truncated.Add(1)
	}
	if m, err = x.tcp(server, q, bare); err != nil {
		x.counts.CutShort.Add(1)
		if errors.Is(err, errTruncated) {
			x.counts.Truncated.Add(1)
		}
	}
	return m, true, x.count(err)
}

func (x exchanger) count(err error) error {
	var code rcodeError
	var timeout net.Error
	switch {
	case err == nil:
		x.counts.Answers.Add(1)
	case errors.Is(err, errMalformed):
		x.counts.Malformed.Add(1)
	case errors.As(err, &code):
		x.counts.Failed.Add(1)
	case errors.As(err, &timeout) && timeout.Timeout():
		x.counts.Silent.Add(1)
	case !errors.Is(err, errTruncated):
		x.counts.Unsent.Add(1)
	}
	return err
}

// udp sends one datagram from a port of its own, which the kernel draws at random
// as dns.Id draws the id (RFC 5452, section 9).
func (x exchanger) udp(server string, q question, bare bool) (*dns.Msg, error) {
	to, err := netip.ParseAddrPort(server)
	if err != nil {
		return nil, err
	}
	c, err := x.world.ListenUDP()
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(x.world.Now().Add(x.limit)); err != nil {
		return nil, err
	}
	id := dns.Id()
	wire, err := q.pack(id, !bare)
	if err != nil {
		return nil, err
	}
	x.counts.Queries.Add(1)
	if _, err := c.WriteToUDPAddrPort(wire, to); err != nil {
		return nil, err
	}
	buf := make([]byte, 64<<10)
	for {
		n, from, err := c.ReadFromUDPAddrPort(buf)
		if err != nil {
			return nil, err
		}
		if netip.AddrPortFrom(from.Addr().Unmap(), from.Port()) != netip.AddrPortFrom(to.Addr().Unmap(), to.Port()) {
			x.counts.Forged.Add(1)
			continue
		}
		m, err := parse(buf[:n], id, q)
		if errors.Is(err, errForged) {
			x.counts.Forged.Add(1)
			continue
		}
		return m, err
	}
}

// tcp asks on a connection of its own (RFC 7766).
func (x exchanger) tcp(server string, q question, bare bool) (*dns.Msg, error) {
	x.counts.Queries.Add(1)
	x.counts.TCP.Add(1)
	until := x.world.Now().Add(x.limit)
	c, err := x.world.Dial(server, x.limit)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	if err := c.SetDeadline(until); err != nil {
		return nil, err
	}
	id := dns.Id()
	wire, err := q.pack(id, !bare)
	if err != nil {
		return nil, err
	}
	// In one piece: some servers want the length and the query together (RFC 7766, section 8).
	if _, err := c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(wire))), wire...)); err != nil {
		return nil, err
	}
	var size [2]byte
	if _, err := io.ReadFull(c, size[:]); err != nil {
		return nil, err
	}
	raw := make([]byte, binary.BigEndian.Uint16(size[:]))
	if n, err := io.ReadFull(c, raw); err != nil {
		return nil, fmt.Errorf("%d of %d bytes: %w", n, len(raw), err)
	}
	m, err := parse(raw, id, q)
	if errors.Is(err, errForged) {
		x.counts.Forged.Add(1)
		return nil, fmt.Errorf("%w: %w", errMalformed, err)
	}
	return m, err
}
