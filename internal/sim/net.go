package sim

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"syscall"
	"time"

	"asterwell/internal/hostenv"
)

// Net is the virtual network. Every machine has an address; between two of them a
// packet takes some time, or does not come while the way is cut.
type Net struct {
	s         *Sched
	rng       *rand.Rand
	listeners map[string]*listener
	cut       map[[2]string]bool // ways between machines, in both directions
	ports     int
	least     time.Duration // of one way
	most      time.Duration
	udp       map[netip.AddrPort]*packetConn
	loss      float64 // of UDP packets
	pieces    bool    // reads return less than has come
}

// NewNet returns a network without machines.
func NewNet(s *Sched, seed uint64, least, most time.Duration, pieces bool) *Net {
	return &Net{s: s, rng: rand.New(rand.NewPCG(seed, 0x4e7)), listeners: map[string]*listener{}, cut: map[[2]string]bool{}, udp: map[netip.AddrPort]*packetConn{}, loss: 0.02,
		ports: 20000, least: least, most: most, pieces: pieces}
}

// Host is a process on a machine: its hostenv.Host.
type Host struct {
	*Proc
	net  *Net
	ip   string
	rng  *rand.Rand
	most int // descriptors for connections; 0: no limit
}

var _ hostenv.Host = (*Host)(nil)

// Host puts a process on a machine.
func (n *Net) Host(p *Proc, ip string, seed uint64) *Host {
	return &Host{Proc: p, net: n, ip: ip, rng: rand.New(rand.NewPCG(seed, 0x405))}
}

// Now is the virtual time.
func (h *Host) Now() time.Time { return epoch.Add(h.s.now) }

// Sleep waits.
func (h *Host) Sleep(d time.Duration) { h.s.sleep(d) }

// NewNotifier returns a bell.
func (h *Host) NewNotifier() hostenv.Notifier { return &bell{s: h.s} }

// Random draws from the host's own seed.
func (h *Host) Random() uint64 { return h.rng.Uint64() }

func way(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Cut ends or restores the way between two machines, without a word. What is under
// way waits, as TCP would send it again.
func (n *Net) Cut(a, b string, off bool) {
	if off {
		n.cut[way(a, b)] = true
		return
	}
	delete(n.cut, way(a, b))
}

func (n *Net) latency() time.Duration {
	return n.least + time.Duration(n.rng.Int64N(int64(n.most-n.least)+1))
}

// deliver brings a packet over, once the way is there.
func (n *Net) deliver(from, to string, d time.Duration, f func()) {
	n.s.after(d, func() {
		if n.cut[way(from, to)] {
			n.deliver(from, to, 50*time.Millisecond, f)
			return
		}
		f()
	})
}

func fail(op string, err error) error {
	return &net.OpError{Op: op, Net: "tcp", Err: err}
}

// Listen listens.
func (h *Host) Listen(addr string) (net.Listener, error) {
	if h.net.listeners[addr] != nil {
		return nil, fail("listen", syscall.EADDRINUSE)
	}
	ln := &listener{h: h, addr: addr, bell: bell{s: h.s}, most: 128}
	h.net.listeners[addr] = ln
	h.lns[ln] = true
	return ln, nil
}

// short reports whether the process has no descriptor left.
func (h *Host) short() bool { return h.most > 0 && len(h.conns) >= h.most }

// accept serves each connection to an address on a task of its own. Stand-ins use it.
func (h *Host) accept(addr string, serve func(*conn)) {
	h.Go(func() {
		ln, err := h.Listen(addr)
		if err != nil {
			panic(err)
		}
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.Go(func() { serve(c.(*conn)) })
		}
	})
}

type listener struct {
	h      *Host
	addr   string
	bell   bell
	queue  []*conn
	most   int
	closed bool
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		if l.closed {
			return nil, fail("accept", net.ErrClosed)
		}
		if len(l.queue) > 0 {
			if l.h.short() {
				return nil, fail("accept", syscall.EMFILE)
			}
			c := l.queue[0]
			l.queue = l.queue[1:]
			return c, nil
		}
		l.bell.Wait(-1)
	}
}

func (l *listener) Close() error {
	if l.closed {
		return nil
	}
	l.closed = true
	delete(l.h.lns, l)
	if l.h.net.listeners[l.addr] == l {
		delete(l.h.net.listeners, l.addr)
	}
	for _, c := range l.queue {
		c.abort()
	}
	l.bell.Notify()
	return nil
}

func (l *listener) Addr() net.Addr { return tcpAddr(l.addr) }

func tcpAddr(addr string) net.Addr {
	if ap, err := netip.ParseAddrPort(addr); err == nil {
		return net.TCPAddrFromAddrPort(ap)
	}
	return &net.TCPAddr{}
}

// Dial connects. A machine that is cut off or whose queue is full says nothing.
func (h *Host) Dial(addr string, limit time.Duration) (net.Conn, error) {
	n := h.net
	if h.dead {
		return nil, fail("dial", net.ErrClosed)
	}
	to, _, _ := net.SplitHostPort(addr)
	if h.short() {
		return nil, fail("dial", syscall.EMFILE)
	}
	n.ports++
	here := &conn{h: h, local: h.ip + ":" + strconv.Itoa(n.ports%40000+20000), remote: addr}
	up := &bell{s: h.s}
	var result error
	decided, given := false, false
	n.deliver(h.ip, to, n.latency(), func() {
		ln := n.listeners[addr]
		switch {
		case h.dead:
		case ln == nil:
			n.deliver(to, h.ip, n.latency(), func() { decided, result = true, syscall.ECONNREFUSED; up.Notify() })
		case len(ln.queue) >= ln.most: // the SYN is dropped
		default:
			there := &conn{h: ln.h, local: addr, remote: here.local, peer: here}
			here.peer = there
			here.init()
			there.init()
			ln.queue = append(ln.queue, there)
			ln.bell.Notify()
			n.deliver(to, h.ip, n.latency(), func() {
				decided = true
				if given {
					here.abort()
				}
				up.Notify()
			})
		}
	})
	if up.Wait(limit); !decided {
		given = true
		return nil, fail("dial", os.ErrDeadlineExceeded)
	}
	if result != nil {
		return nil, fail("dial", result)
	}
	if h.dead {
		return nil, fail("dial", net.ErrClosed)
	}
	return here, nil
}

// conn is one end of a connection.
type conn struct {
	h             *Host
	peer          *conn
	local, remote string
	in            []byte        // has come, and not been read
	begun         time.Duration // when the first byte of it was sent
	eof, reset    bool
	read, room    bell
	until, wuntil time.Time
	closed, fin   bool
	last          time.Duration // arrival of the last packet sent
	under         int           // bytes sent that the other side has not read
}

const window = 64 << 10

func (c *conn) init() {
	c.read.s, c.room.s = c.h.s, c.h.s
	c.h.conns[c] = true
}

// send brings something to the other end, in order.
func (c *conn) send(f func(p *conn)) {
	n, p := c.h.net, c.peer
	at := max(c.last, c.h.s.now+n.latency())
	c.last = at
	n.deliver(c.h.ip, p.h.ip, at-c.h.s.now, func() { f(p) })
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		switch {
		case c.closed || c.h.dead:
			return 0, fail("read", net.ErrClosed)
		case len(c.in) > 0 && !c.late(c.until):
			n := min(len(b), len(c.in))
			if c.h.net.pieces && n > 1 && c.h.net.rng.IntN(4) == 0 {
				n = 1 + c.h.net.rng.IntN(n)
			}
			copy(b, c.in[:n])
			if c.in = c.in[n:]; len(c.in) == 0 {
				c.in = nil
			}
			c.peer.under -= n
			c.peer.room.Notify()
			return n, nil
		case c.late(c.until):
			return 0, fail("read", os.ErrDeadlineExceeded)
		case c.reset:
			return 0, fail("read", syscall.ECONNRESET)
		case c.eof:
			return 0, io.EOF
		}
		c.read.Wait(c.left(c.until))
	}
}

func (c *conn) late(t time.Time) bool { return !t.IsZero() && !c.h.Now().Before(t) }

func (c *conn) left(t time.Time) time.Duration {
	if t.IsZero() {
		return -1
	}
	return t.Sub(c.h.Now())
}

func (c *conn) Write(b []byte) (int, error) {
	sent := 0
	for sent < len(b) {
		switch {
		case c.closed || c.h.dead || c.fin:
			return sent, fail("write", net.ErrClosed)
		case c.reset:
			return sent, fail("write", syscall.ECONNRESET)
		case c.late(c.wuntil):
			return sent, fail("write", os.ErrDeadlineExceeded)
		}
		room := window - c.under
		if room <= 0 {
			c.room.Wait(c.left(c.wuntil))
			continue
		}
		piece := slices.Clone(b[sent:min(len(b), sent+room)])
		sent += len(piece)
		c.under += len(piece)
		at := c.h.s.now
		c.send(func(p *conn) { p.arrive(piece, at) })
	}
	return sent, nil
}

func (c *conn) arrive(b []byte, sent time.Duration) {
	if c.closed || c.h.dead {
		if !c.peer.reset {
			c.send(func(p *conn) { p.broke() })
		}
		return
	}
	if len(c.in) == 0 {
		c.begun = sent
	}
	c.in = append(c.in, b...)
	c.read.Notify()
}

// broke takes a reset.
func (c *conn) broke() {
	c.reset = true
	c.read.Notify()
	c.room.Notify()
}

// CloseWrite ends the sending.
func (c *conn) CloseWrite() error {
	if c.closed || c.fin {
		return nil
	}
	c.fin = true
	c.send(func(p *conn) {
		p.eof = true
		p.read.Notify()
	})
	return nil
}

// Close ends the connection: with a reset if something has not been read.
func (c *conn) Close() error {
	if c.closed {
		return fail("close", net.ErrClosed)
	}
	if len(c.in) > 0 {
		c.abort()
		return nil
	}
	c.CloseWrite()
	c.end()
	return nil
}

// abort ends the connection with a reset.
func (c *conn) abort() {
	if c.closed || c.peer == nil {
		return
	}
	c.end()
	c.send(func(p *conn) { p.broke() })
}

func (c *conn) end() {
	c.closed = true
	delete(c.h.conns, c)
	c.read.Notify()
	c.room.Notify()
}

// Quiet reports whether nothing has come.
func (c *conn) Quiet() bool { return len(c.in) == 0 && !c.eof && !c.reset }

// RemoteClosed reports whether the other side has ended its sending, or reset the connection.
func (c *conn) RemoteClosed() bool { return c.eof || c.reset }

// Undelivered reports whether the other side has not read all that was sent.
func (c *conn) Undelivered() bool { return c.under > 0 }

func (c *conn) SetReadDeadline(t time.Time) error {
	c.until = t
	c.read.Notify()
	return nil
}

func (c *conn) SetWriteDeadline(t time.Time) error {
	c.wuntil = t
	c.room.Notify()
	return nil
}

func (c *conn) SetDeadline(t time.Time) error {
	c.SetReadDeadline(t)
	return c.SetWriteDeadline(t)
}

func (c *conn) LocalAddr() net.Addr  { return tcpAddr(c.local) }
func (c *conn) RemoteAddr() net.Addr { return tcpAddr(c.remote) }
func (c *conn) String() string       { return fmt.Sprintf("%s-%s", c.local, c.remote) }

// connections and listeners are a process's, in an order that is the same each time.
func (p *Proc) connections() []*conn {
	return slices.SortedFunc(maps.Keys(p.conns), func(a, b *conn) int {
		return compare(a.local+a.remote, b.local+b.remote)
	})
}

func (p *Proc) listeners() []*listener {
	return slices.SortedFunc(maps.Keys(p.lns), func(a, b *listener) int { return compare(a.addr, b.addr) })
}

func compare(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}
