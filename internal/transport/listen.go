package transport

import (
	"errors"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// Listener accepts client connections up to a limit. At the limit it closes one that
// has no request in progress (see connState.expendable for the order). If there is none, it waits
// before it serves the next: a connection with an unanswered request must not be closed.
type Listener struct {
	net.Listener
	host          hostenv.Host
	maxConns      int
	roomAvailable hostenv.Notifier // notified when a connection may be closed or was removed
	mu            sync.Mutex
	conns         map[*ClientConn]struct{}
	accepted      uint64
	draining      bool // connections are closed as they become idle
	closed        CloseCounts
	timeouts      Timeouts

	paused  atomic.Bool
	resumed hostenv.Notifier // notified when paused is cleared
}

// Listen listens on addr for at most maxConns connections, on a host (nil:
// hostenv.Real).
func Listen(host hostenv.Host, addr string, maxConns int) (*Listener, error) {
	host = hostenv.OrReal(host)
	ln, err := host.Listen(addr)
	if err != nil {
		return nil, err
	}
	return newListener(host, ln, maxConns), nil
}

func newListener(host hostenv.Host, ln net.Listener, maxConns int) *Listener {
	return &Listener{Listener: ln, host: host, maxConns: maxConns, roomAvailable: host.NewNotifier(), resumed: host.NewNotifier(),
		conns: map[*ClientConn]struct{}{}}
}

// Inherit listens on a socket passed by the parent process as a file descriptor.
// Closing the listener leaves the socket and its accept queue to other processes.
func Inherit(fd int, maxConns int) (*Listener, error) {
	file := os.NewFile(uintptr(fd), "inherited")
	if file == nil {
		return nil, os.ErrInvalid
	}
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return newListener(hostenv.Real, ln, maxConns), file.Close() // the listener has a duplicate
}

// Serve serves each connection on its own goroutine until the listener is closed.
func (l *Listener) Serve(s *fasthttp.Server) error {
	for {
		c, err := l.Accept()
		if err != nil {
			return err
		}
		l.host.Go(func() { s.ServeConn(c) })
	}
}

const acceptRetryInterval = 20 * time.Millisecond

// Accept waits for a connection, and then until the limit allows it.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		if errors.Is(err, os.ErrDeadlineExceeded) { // paused
			nc, err = l.accept()
			continue
		}
		// File descriptors may be exhausted temporarily. Returning an error would
		// end the server, and with it the gateway.
		log.Printf("event=accept error=%q", err)
		l.host.Sleep(acceptRetryInterval)
		nc, err = l.accept()
	}
	if err != nil {
		return nil, err
	}
	c := &ClientConn{Conn: nc, listener: l, readable: l.host.NewNotifier(), bufferFree: l.host.NewNotifier(),
		state: connState{since: l.host.Now()}}
	l.mu.Lock()
	for len(l.conns) >= l.maxConns {
		if !l.makeRoom() { // an incomplete request may exceed pressureGrace shortly
			l.mu.Unlock()
			l.roomAvailable.Wait(acceptRetryInterval)
			l.mu.Lock()
		}
	}
	l.accepted++
	c.number = l.accepted
	l.conns[c] = struct{}{}
	l.closeIdleUnderPressure()
	l.mu.Unlock()
	l.host.Go(c.pump)
	return c, nil
}

func (l *Listener) accept() (net.Conn, error) {
	for l.paused.Load() {
		l.resumed.Wait(-1)
	}
	return l.Listener.Accept()
}

// Pause stops accepting, so that other processes sharing the socket take the queued
// connections, or resumes. Only operating system sockets support it.
func (l *Listener) Pause(on bool) {
	if d, ok := l.Listener.(interface{ SetDeadline(time.Time) error }); ok && l.paused.Swap(on) != on {
		until := time.Time{}
		if on {
			until = time.Unix(1, 0)
		}
		d.SetDeadline(until)
		l.resumed.Notify()
	}
}

// pressureGrace is how long a client may hold a connection without a complete request,
// or after its last response, while others wait for one.
const pressureGrace = 200 * time.Millisecond

// makeRoom closes the most expendable connection, and among equals the one that has
// been in its state the longest.
func (l *Listener) makeRoom() bool {
	var victim *ClientConn
	rank, now := rankProtected, l.host.Now()
	for c := range l.conns {
		if r := c.state.expendable(now); r < rank || r == rank && victim != nil && c.idleLonger(victim) {
			victim, rank = c, r
		}
	}
	if victim == nil {
		return false
	}
	l.closed[ClosedForRoom]++
	victim.end(now)
	victim.remove() // without lingering
	return true
}

// closeIdleUnderPressure closes the connection idle the longest once more than half of
// the limit is used by clients that have sent a request. Clients that send one request and
// stay connected would leave no descriptors, at either end, for those with new requests.
func (l *Listener) closeIdleUnderPressure() {
	var longestIdle *ClientConn
	active, now := 0, l.host.Now()
	for c := range l.conns {
		if c.state.phase != phaseConnected {
			active++
		}
		if c.state.expendable(now) == rankIdle && (longestIdle == nil || c.idleLonger(longestIdle)) {
			longestIdle = c
		}
	}
	if active > l.maxConns/2 && longestIdle != nil {
		longestIdle.drop(ClosedForRoom)
	}
}

// Drain closes idle connections, and the others as they become idle. A new one, and one whose last response is still on
// its way, stay for the moment, so that it has to be called again. It returns the number still open.
func (l *Listener) Drain() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	now := l.host.Now()
	for c := range l.conns {
		if c.state.drainable(now) && !undelivered(c.Conn) {
			c.drop(ClosedByDrain)
		}
	}
	return len(l.conns)
}

// Resume cancels Drain.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = false
}

// Open returns the number of connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
