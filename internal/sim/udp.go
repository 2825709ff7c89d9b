package sim

import (
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	"asterwell/internal/hostenv"
)

// packetConn is a UDP socket: packets get lost, and overtake each other.
type packetConn struct {
	h      *Host
	addr   netip.AddrPort
	bell   bell
	queue  []packet
	until  time.Time
	closed bool
}

type packet struct {
	from netip.AddrPort
	data []byte
}

// ListenUDP opens a socket at a free port.
func (h *Host) ListenUDP() (hostenv.PacketConn, error) {
	h.net.ports++
	return h.listenUDP(uint16(20000 + h.net.ports%40000))
}

func (h *Host) listenUDP(port uint16) (*packetConn, error) {
	ip, err := netip.ParseAddr(h.ip)
	if err != nil {
		return nil, err
	}
	c := &packetConn{h: h, addr: netip.AddrPortFrom(ip, port), bell: bell{s: h.s}}
	if h.net.udp[c.addr] != nil {
		return nil, fail("listen", syscall.EADDRINUSE)
	}
	h.net.udp[c.addr] = c
	return c, nil
}

func (c *packetConn) ReadFromUDPAddrPort(b []byte) (int, netip.AddrPort, error) {
	for {
		switch {
		case c.closed || c.h.dead:
			return 0, netip.AddrPort{}, fail("read", net.ErrClosed)
		case len(c.queue) > 0:
			p := c.queue[0]
			c.queue = c.queue[1:]
			return copy(b, p.data), p.from, nil
		}
		left := time.Duration(-1)
		if !c.until.IsZero() {
			if left = c.until.Sub(c.h.Now()); left <= 0 {
				return 0, netip.AddrPort{}, fail("read", os.ErrDeadlineExceeded)
			}
		}
		c.bell.Wait(left)
	}
}

func (c *packetConn) WriteToUDPAddrPort(b []byte, to netip.AddrPort) (int, error) {
	if c.closed || c.h.dead {
		return 0, fail("write", net.ErrClosed)
	}
	n := c.h.net
	data := slices.Clone(b)
	if n.rng.Float64() < n.loss {
		return len(b), nil
	}
	n.s.after(n.latency(), func() {
		if p := n.udp[to]; p != nil && !p.h.dead && !n.cut[way(c.h.ip, p.h.ip)] && len(p.queue) < 100 {
			p.queue = append(p.queue, packet{c.addr, data})
			p.bell.Notify()
		}
	})
	return len(b), nil
}

func (c *packetConn) SetDeadline(t time.Time) error {
	c.until = t
	c.bell.Notify()
	return nil
}

func (c *packetConn) Close() error {
	if !c.closed {
		c.closed = true
		delete(c.h.net.udp, c.addr)
		c.bell.Notify()
	}
	return nil
}
