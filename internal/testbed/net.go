package testbed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Every gateway has a loopback address of its own, from 127.64.0.0 on. It hears
// on that address, and reaches each server, discovery and the counter there too,
// each at a port: so a connection's local address tells which link it is on,
// and one listener for each port serves all gateways.
const (
	firstAddress = 127<<24 | 64<<16
	mostParties  = 1<<22 - 2 // up to 127.127.255.254
	gatewayPort  = 8443
)

// address is that of a gateway.
func address(gateway int) netip.Addr {
	n := uint32(firstAddress + gateway + 1)
	return netip.AddrFrom4([4]byte{byte(n >> 24), byte(n >> 16), byte(n >> 8), byte(n)})
}

// gatewayOf is the gateway with this address.
func gatewayOf(a netip.Addr) int {
	b := a.Unmap().As4()
	return int(uint32(b[0])<<24|uint32(b[1])<<16|uint32(b[2])<<8|uint32(b[3])) - firstAddress - 1
}

// The far ends of links that are no servers; servers count from 0.
const (
	farList = -1 - iota
	farCounter
	farClients
	farLast = farClients
)

// Way is what a link does to what goes one way.
type Way struct {
	Cut    bool          // nothing comes through, and nothing is said
	Delay  time.Duration // of each piece
	Jitter time.Duration // up to so much more
	Rate   int           // bytes a second; 0: as fast as can be
}

// Link is the way between a gateway and one other party. Ways are named by where
// they lead.
type Link struct {
	net     *Net
	gateway int
	far     int

	mu      sync.Mutex
	ways    [2]Way        // to the gateway, from it
	reset   bool          // connections are reset, and new ones too
	cutAt   time.Duration // since when it is cut; 0: it is not
	changed chan struct{}
	conns   map[*Conn]bool
	hole    *hole
	plain   atomic.Bool // no fault: nothing to ask for
	passed  [2]atomic.Int64
}

const (
	toGateway = iota
	fromGateway
)

// Net owns the links.
type Net struct {
	Base  int // the first port
	epoch time.Time
	mu    sync.Mutex
	links map[[2]int]*Link
}

// NewNet returns a network on free ports.
func NewNet(parties int) (*Net, error) {
	for range 50 {
		base := 10000 + rand.IntN(20000-parties)
		n := &Net{Base: base, epoch: time.Now(), links: map[[2]int]*Link{}}
		if n.free(parties) {
			return n, nil
		}
	}
	return nil, errors.New("no row of free ports from 10000 to 30000")
}

func (n *Net) free(parties int) bool {
	for i := range parties - farLast {
		ln, err := n.listen(i + farLast)
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

// Now is the field's clock: the time since the net was made.
func (n *Net) Now() time.Duration { return time.Since(n.epoch) }

func (n *Net) port(far int) int { return n.Base + far - farLast }

// At is where a gateway reaches a party.
func (n *Net) At(gateway, far int) string {
	return netip.AddrPortFrom(address(gateway), uint16(n.port(far))).String()
}

// listen opens a party's port on all loopback addresses, and no others. A black
// hole may share the port at one of them.
func (n *Net) listen(far int) (net.Listener, error) {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if e := raw.Control(func(fd uintptr) {
			if err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
				err = unix.SetsockoptString(int(fd), unix.SOL_SOCKET, unix.SO_BINDTODEVICE, "lo")
			}
		}); e != nil {
			return e
		}
		return err
	}}
	return lc.Listen(context.Background(), "tcp4", fmt.Sprintf("0.0.0.0:%d", n.port(far)))
}

// Listen opens a party's port. Its connections are on links.
func (n *Net) Listen(far int) (net.Listener, error) {
	ln, err := n.listen(far)
	if err != nil {
		return nil, err
	}
	return &listener{ln, n, far}, nil
}

type listener struct {
	net.Listener
	net *Net
	far int
}

func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		at, err := netip.ParseAddrPort(c.LocalAddr().String())
		if err != nil {
			return nil, err
		}
		if k := l.net.Link(gatewayOf(at.Addr()), l.far).add(c, fromGateway); k != nil {
			return k, nil
		}
	}
}

// Dial connects the clients to a gateway.
func (n *Net) Dial(gateway int, limit time.Duration) (net.Conn, error) {
	l := n.Link(gateway, farClients)
	if l.cut() { // it never comes up
		time.Sleep(limit)
		return nil, context.DeadlineExceeded
	}
	c, err := net.DialTimeout("tcp4", netip.AddrPortFrom(address(gateway), gatewayPort).String(), limit)
	if err != nil {
		return nil, err
	}
	if k := l.add(c, toGateway); k != nil {
		return k, nil
	}
	return nil, syscall.ECONNRESET
}

// Link is the one between a gateway and a party.
func (n *Net) Link(gateway, far int) *Link {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.links[[2]int{gateway, far}]
	if l == nil {
		l = &Link{net: n, gateway: gateway, far: far, changed: make(chan struct{}), conns: map[*Conn]bool{}}
		l.plain.Store(true)
		n.links[[2]int{gateway, far}] = l
	}
	return l
}

// Close ends all connections, and what stands for cut links.
func (n *Net) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, l := range n.links {
		l.Set(Way{}, Way{}, false)
		l.drop()
	}
}

// add puts a connection on the link; nil: the link resets it.
func (l *Link) add(c net.Conn, out int) *Conn {
	k := &Conn{Conn: c, link: l, out: out, Gateway: l.gateway, ended: make(chan struct{}), Opened: l.net.Now()}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reset {
		reset(c)
		return nil
	}
	l.conns[k] = true
	return k
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// Set changes what the link does. A cut one lets no new connection come up.
func (l *Link) Set(to, from Way, reset bool) error {
	l.mu.Lock()
	l.ways, l.reset = [2]Way{to, from}, reset
	l.plain.Store(to == Way{} && from == Way{})
	close(l.changed)
	l.changed = make(chan struct{})
	cut := to.Cut || from.Cut
	hole := l.hole
	if !cut {
		l.hole, l.cutAt = nil, 0
	} else if l.cutAt == 0 {
		l.cutAt = l.net.Now()
	}
	l.mu.Unlock()
	if reset {
		l.drop()
	}
	switch {
	case !cut && hole != nil:
		hole.close()
	case cut && hole == nil && l.far != farClients:
		h, err := dig(l.net.At(l.gateway, l.far))
		if err != nil {
			return fmt.Errorf("g-%d: cut: %w", l.gateway, err)
		}
		l.mu.Lock()
		l.hole = h
		l.mu.Unlock()
	}
	return nil
}

func (l *Link) cut() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ways[toGateway].Cut || l.ways[fromGateway].Cut
}

// drop resets all connections.
func (l *Link) drop() {
	l.mu.Lock()
	var all []*Conn
	for c := range l.conns {
		all = append(all, c)
	}
	l.mu.Unlock()
	for _, c := range all {
		c.Reset()
	}
}

// pass waits until n bytes have come through, or the connection has ended.
func (l *Link) pass(way, n int, ended <-chan struct{}) error {
	if !l.plain.Load() {
		for delayed := false; ; {
			l.mu.Lock()
			w, changed := l.ways[way], l.changed
			l.mu.Unlock()
			wait := time.Duration(0)
			switch {
			case w.Cut:
				wait = time.Hour
			case !delayed && w != Way{}:
				delayed = true
				wait = w.Delay
				if w.Jitter > 0 {
					wait += time.Duration(rand.Int64N(int64(w.Jitter)))
				}
				if w.Rate > 0 {
					wait += time.Duration(n) * time.Second / time.Duration(w.Rate)
				}
			}
			if wait == 0 {
				break
			}
			timer := time.NewTimer(wait)
			select {
			case <-ended:
				timer.Stop()
				return net.ErrClosed
			case <-changed:
			case <-timer.C:
			}
			timer.Stop()
		}
	}
	l.passed[way].Add(int64(n))
	return nil
}

// Conn is a connection on a link.
type Conn struct {
	net.Conn
	Gateway int
	Opened  time.Duration
	Life    int // of the party that accepted it
	link    *Link
	out     int // where what is read goes
	once    sync.Once
	ended   chan struct{}
	begun   atomic.Int64 // first byte since Begin
}

func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.CompareAndSwap(0, int64(c.link.net.Now()))
		way := c.out
		if c.out == toGateway { // the clients' end: what is read comes from the gateway
			way = fromGateway
		}
		if e := c.link.pass(way, n, c.ended); e != nil {
			return 0, e
		}
	}
	return n, err
}

func (c *Conn) Write(p []byte) (int, error) {
	if err := c.link.pass(toGateway, len(p), c.ended); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Begun is when the first byte since the last call came.
func (c *Conn) Begun() time.Duration { return time.Duration(c.begun.Swap(0)) }

// Close ends the connection.
func (c *Conn) Close() error {
	c.once.Do(func() {
		close(c.ended)
		c.link.mu.Lock()
		delete(c.link.conns, c)
		c.link.mu.Unlock()
	})
	return c.Conn.Close()
}

// Reset ends it with a reset.
func (c *Conn) Reset() {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

func dialAt(addr string, limit time.Duration) (net.Conn, error) {
	return net.DialTimeout("tcp4", addr, limit)
}

// hole is a listener at one address whose line is full: what connects there hears
// nothing, as from a machine that is cut off.
type hole struct{ fds []int }

func dig(at string) (*hole, error) {
	ap, err := netip.ParseAddrPort(at)
	if err != nil {
		return nil, err
	}
	h := &hole{}
	fail := func(err error) (*hole, error) {
		h.close()
		return nil, err
	}
	socket := func() (int, error) {
		fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
		if err == nil {
			h.fds = append(h.fds, fd)
		}
		return fd, err
	}
	to := &unix.SockaddrInet4{Port: int(ap.Port()), Addr: ap.Addr().As4()}
	fd, err := socket()
	if err != nil {
		return fail(err)
	}
	if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
		return fail(err)
	}
	if err := unix.Bind(fd, to); err != nil {
		return fail(err)
	}
	if err := unix.Listen(fd, 0); err != nil {
		return fail(err)
	}
	fd, err = socket() // a backlog of 0 holds one
	if err != nil {
		return fail(err)
	}
	if err := unix.Connect(fd, to); err != nil && !errors.Is(err, unix.EINPROGRESS) {
		return fail(err)
	}
	return h, nil
}

func (h *hole) close() {
	for _, fd := range h.fds {
		unix.Close(fd)
	}
}
