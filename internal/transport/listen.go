package transport

import (
	"errors"
	"io"
	"log"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// Listener accepts clients' connections, at most so many at once. At the cap it
// closes one that no answer is owed on (expendable tells which first), and with
// none it waits before it reads the next: a connection must not be ended with a
// request that has no answer.
type Listener struct {
	net.Listener
	host          hostenv.Host
	maxConns      int
	roomAvailable hostenv.Notifier // rung when there may be some
	mu            sync.Mutex
	conns         map[*ClientConn]struct{}
	accepted      uint64
	draining      bool // idle connections are closed

	paused  atomic.Bool
	resumed hostenv.Notifier // rung when it is no more
}

// Listen listens at addr for at most so many connections, in a world (nil: the
// real one).
func Listen(world hostenv.Host, addr string, most int) (*Listener, error) {
	world = hostenv.OrReal(world)
	ln, err := world.Listen(addr)
	if err != nil {
		return nil, err
	}
	return newListener(world, ln, most), nil
}

func newListener(world hostenv.Host, ln net.Listener, most int) *Listener {
	return &Listener{Listener: ln, host: world, maxConns: most, roomAvailable: world.NewNotifier(), resumed: world.NewNotifier(),
		conns: map[*ClientConn]struct{}{}}
}

// Inherit listens on a socket that whoever started the process holds under a
// descriptor. Closing the listener leaves the socket, and who waits there, to others.
func Inherit(fd int, most int) (*Listener, error) {
	file := os.NewFile(uintptr(fd), "inherited")
	if file == nil {
		return nil, os.ErrInvalid
	}
	ln, err := net.FileListener(file)
	if err != nil {
		return nil, err
	}
	return newListener(hostenv.Real, ln, most), file.Close() // the listener has a copy
}

// Serve serves each connection on a goroutine of its own, until the listener is closed.
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

// Accept waits for a connection, and then for room for it.
func (l *Listener) Accept() (net.Conn, error) {
	nc, err := l.accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		if errors.Is(err, os.ErrDeadlineExceeded) { // paused
			nc, err = l.accept()
			continue
		}
		// Descriptors may be short for a moment. The server would end on an
		// error, and with it the gateway.
		log.Printf("event=accept error=%q", err)
		l.host.Sleep(acceptRetryInterval)
		nc, err = l.accept()
	}
	if err != nil {
		return nil, err
	}
	c := &ClientConn{Conn: nc, listener: l, readable: l.host.NewNotifier(), bufferFree: l.host.NewNotifier(), since: l.host.Now()}
	l.mu.Lock()
	for len(l.conns) >= l.maxConns {
		if !l.makeRoom() { // what is half sent now may be overdue in a moment
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

// Pause leaves what waits in the socket's queue to others who have the socket, or takes
// it again. Only sockets of the machine can pause.
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

// hasten is how long a client that holds a connection without a whole request,
// or after its last answer, is left alone while others want one.
const pressureGrace = 200 * time.Millisecond

// makeRoom closes the connection that is missed least, and among such the one
// that has been so the longest.
func (l *Listener) makeRoom() bool {
	var victim *ClientConn
	rank, now := rankProtected, l.host.Now()
	for c := range l.conns {
		if r := c.expendable(now); r < rank || r == rank && victim != nil && c.idleLonger(victim) {
			victim, rank = c, r
		}
	}
	if victim == nil {
		return false
	}
	victim.busy = false // at once, with nothing to linger for
	victim.drop()
	victim.remove()
	return true
}

// ease closes the connection idle the longest once half of the cap is taken by
// clients that have asked for something. Those that ask once and stay would
// leave no descriptors, at either end, to those that have something to ask.
func (l *Listener) closeIdleUnderPressure() {
	var oldest *ClientConn
	asked, now := 0, l.host.Now()
	for c := range l.conns {
		if c.served || c.busy {
			asked++
		}
		if c.expendable(now) == rankIdle && (oldest == nil || c.idleLonger(oldest)) {
			oldest = c
		}
	}
	if asked > l.maxConns/2 && oldest != nil {
		oldest.drop()
	}
}

// What connections are missed least, in this order.
const (
	rankAnswered   int = iota // its last answer has had its time
	rankSilent                // it has never asked for anything
	rankIncomplete            // its request does not get finished
	rankIdle                  // it has been served, and may ask again
	rankNew                   // it has just come
	rankProtected
)

// expendable ranks a connection, under the list's lock.
func (c *ClientConn) expendable(now time.Time) int {
	waits := now.Sub(c.since)
	switch {
	case c.closed:
		if waits > pressureGrace {
			return rankAnswered
		}
	case c.serving:
	case !c.busy && !c.served && waits <= pressureGrace:
		return rankNew
	case !c.busy && !c.served:
		return rankSilent
	case !c.busy:
		return rankIdle
	case waits > pressureGrace:
		return rankIncomplete
	}
	return rankProtected
}

// Drain closes the connections that are idle, and each other once it is, and
// returns how many are open.
func (l *Listener) Drain() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = true
	for c := range l.conns {
		if !c.busy {
			c.drop()
		}
	}
	return len(l.conns)
}

// Resume ends what Drain began.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = false
}

func (l *Listener) idle(c *ClientConn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !c.busy
}

// Open is the number of connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// ClientConn is a client's connection. A pump reads it at all times, so that a
// client that closes it is noticed while its request is open.
type ClientConn struct {
	net.Conn
	listener    *Listener
	number      uint64           // in order of coming
	readable    hostenv.Notifier // where the goroutine that serves it waits
	bufferFree  hostenv.Notifier // where the pump waits for its buffer
	unread      []byte
	deadline    time.Time
	bodyPaced   bool        // a body is being read: time counts from the last byte
	stopReading func() bool // reading ends once it is true; nil: never

	// Under list.mu. While busy, a request has begun to come and its answer has
	// not gone out; while serving, it has come whole. unread says that the pump
	// holds bytes nobody has asked for. since is when it came to this.
	busy, pending, serving, served, closed bool
	since                                  time.Time
	data                                   []byte // what the pump has read, and nobody has taken
	bufferInUse                            bool   // the pump's buffer is in use
	err                                    error  // set: the connection has ended
}

// older tells which of two has been so longer; of one moment, the one that came first.
func (c *ClientConn) idleLonger(o *ClientConn) bool {
	return c.since.Before(o.since) || c.since.Equal(o.since) && c.number < o.number
}

func (c *ClientConn) pump() {
	buf := make([]byte, 4096)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 {
			c.listener.mu.Lock()
			if c.pending = true; !c.busy {
				c.busy, c.since = true, c.listener.host.Now()
			}
			c.data, c.bufferInUse = buf[:n], true
			c.listener.mu.Unlock()
			c.readable.Notify()
			if !c.awaitBuffer() {
				c.linger(buf)
				return
			}
		}
		if err != nil {
			c.listener.mu.Lock()
			c.fail(err)
			if c.closed { // or the server closes it, once it has noticed
				c.remove()
			}
			c.listener.mu.Unlock()
			return
		}
	}
}

// taken waits until the pump's buffer is free again, or reports that the
// connection has ended.
func (c *ClientConn) awaitBuffer() bool {
	for {
		c.listener.mu.Lock()
		held, gone := c.bufferInUse, c.err != nil
		c.listener.mu.Unlock()
		if gone || !held {
			return !gone
		}
		c.bufferFree.Wait(-1)
	}
}

// How long a client may go on sending after its last answer, and how much of it
// is read: the rest would cost time and serve nobody.
const (
	lingerTimeout  = time.Second
	lingerMaxBytes = 2 << 20
)

// linger reads what still comes on a connection that has been answered for the
// last time, and drops it. Closing at once would reset the connection, and the
// client might lose the answer that is under way to it: that its request is too
// large, for one, while it is still sending.
func (c *ClientConn) linger(buf []byte) {
	for most := lingerMaxBytes; ; {
		n, err := c.Conn.Read(buf)
		if most -= n; err != nil || most < 0 {
			c.listener.mu.Lock()
			c.remove()
			c.listener.mu.Unlock()
			return
		}
	}
}

// fail marks the connection as ended, under the list's lock.
func (c *ClientConn) fail(err error) {
	if c.err == nil {
		c.err = err
		c.readable.Notify()
		c.bufferFree.Notify()
	}
}

// World is the one that the connection is in.
func (c *ClientConn) World() hostenv.Host { return c.listener.host }

// Notifier is where the goroutine that serves the connection waits.
func (c *ClientConn) Notifier() hostenv.Notifier { return c.readable }

// Await waits until done, which is asked whenever the bell rings, and reports false
// if the connection ends before.
func (c *ClientConn) Await(done func() bool) bool { return c.AwaitFor(-1, done) }

// AwaitFor is Await for no longer than limit, if that is not below 0.
func (c *ClientConn) AwaitFor(limit time.Duration, done func() bool) bool {
	end := c.listener.host.Now().Add(limit)
	for !done() {
		c.listener.mu.Lock()
		gone := c.err != nil
		c.listener.mu.Unlock()
		wait := time.Duration(-1)
		if limit >= 0 {
			wait = max(0, end.Sub(c.listener.host.Now()))
		}
		if gone || wait == 0 {
			return false
		}
		c.readable.Wait(wait)
	}
	return true
}

// Read takes what the pump has read. Only one goroutine reads.
func (c *ClientConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		c.listener.mu.Lock()
		got, err := c.data, c.err
		if got != nil {
			c.data, c.pending = nil, false
		}
		c.listener.mu.Unlock()
		if got != nil {
			c.unread = got
			break
		}
		if err != nil {
			return 0, err
		}
		if c.stopReading != nil && c.stopReading() {
			return 0, ErrStopped
		}
		wait := time.Duration(-1)
		if !c.deadline.IsZero() {
			if wait = c.deadline.Sub(c.listener.host.Now()); wait <= 0 {
				if c.listener.idle(c) { // no request has begun: there is nobody to tell
					return 0, io.EOF
				}
				return 0, os.ErrDeadlineExceeded
			}
		}
		c.readable.Wait(wait)
	}
	if c.bodyPaced {
		c.deadline = c.listener.host.Now().Add(requestTimeout)
	}
	n := copy(p, c.unread)
	if c.unread = c.unread[n:]; len(c.unread) == 0 { // what it reads next may be the client's end
		c.listener.mu.Lock()
		c.bufferInUse = false
		c.listener.mu.Unlock()
		c.bufferFree.Notify()
	}
	return n, nil
}

// at is a deadline of the library's, which goes by the machine's clock, in the
// connection's world. They are whole seconds.
func (c *ClientConn) toHostTime(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return c.listener.host.Now().Add(time.Until(t).Round(time.Second))
}

// Pace bounds the time between two pieces of a body from now on, in place of the time
// of the whole request; reading ends once enough is true, which is asked as the bell rings.
func (c *ClientConn) Pace(enough func() bool) {
	c.bodyPaced, c.stopReading = true, enough
	c.deadline = c.listener.host.Now().Add(requestTimeout)
}

// Write takes piece by piece what the client has time for: a slow one may take long for all.
func (c *ClientConn) Write(p []byte) (n int, err error) {
	for first := true; first || len(p) > 0; first = false {
		now := p[:min(len(p), pieceSize)]
		if err := c.Conn.SetWriteDeadline(c.listener.host.Now().Add(writeTimeout)); err != nil {
			return n, err
		}
		k, err := c.Conn.Write(now)
		if n += k; err != nil {
			return n, err
		}
		p = p[k:]
	}
	return n, nil
}

// ReadFrom passes on each piece as soon as it has come.
func (c *ClientConn) ReadFrom(r io.Reader) (n int64, err error) {
	buf := pieceBuffers.Get().(*[pieceSize]byte)
	defer pieceBuffers.Put(buf)
	for {
		k, err := r.Read(buf[:])
		if k > 0 {
			if _, err := c.Write(buf[:k]); err != nil {
				return n, err
			}
			n += int64(k)
		}
		if err == io.EOF {
			return n, nil
		}
		if err != nil {
			return n, err
		}
	}
}

var pieceBuffers = sync.Pool{New: func() any { return new([pieceSize]byte) }}

// SetReadDeadline bounds Read; the pump reads on.
func (c *ClientConn) SetReadDeadline(t time.Time) error {
	c.deadline, c.bodyPaced, c.stopReading = c.toHostTime(t), false, nil
	return nil
}

// SetWriteDeadline does nothing: each piece that is written has a time of its own.
func (c *ClientConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline is SetReadDeadline.
func (c *ClientConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Idle tells that the answer has gone out. While the listener drains, that
// ends the connection.
func (c *ClientConn) Idle() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.serving, c.served = false, true
	if c.busy, c.since = c.pending, c.listener.host.Now(); !c.busy {
		if c.listener.roomAvailable.Notify(); c.listener.draining { // it may go to make room
			c.drop()
		}
	}
}

// serve tells that a whole request has come.
func (c *ClientConn) serve() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.serving, c.since = true, c.listener.host.Now()
}

// drop closes the connection under the list's lock. It counts as open for as
// long as it lingers.
func (c *ClientConn) drop() {
	if c.closed {
		return
	}
	c.closed, c.serving, c.since = true, false, c.listener.host.Now()
	ended := c.err != nil
	c.fail(net.ErrClosed)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.busy && !ended {
		half.CloseWrite()
		c.Conn.SetReadDeadline(c.listener.host.Now().Add(lingerTimeout)) // then the pump closes it
		return
	}
	c.remove()
}

// remove gives the connection's descriptor back, under the list's lock.
func (c *ClientConn) remove() {
	delete(c.listener.conns, c)
	c.listener.roomAvailable.Notify()
	c.Conn.Close()
}

// Close ends the connection.
func (c *ClientConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.drop()
	return nil
}

// The time that clients have. A request has to come whole within the first,
// counted from its first byte, or from connecting if it is the first. A
// connection without a request is closed after the second.
const (
	requestTimeout = 3 * time.Second // from then on, between two pieces of a body
	idleTimeout    = 2 * time.Second
	writeTimeout   = 5 * time.Second // to take an answer
)

// NewServer returns a listener's HTTP server. It passes on what clients send as
// they wrote it, and takes bodies up to maxBody.
func NewServer(handler fasthttp.RequestHandler, maxBody int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       rejectAmbiguous(handler),
		ErrorHandler:                  malformed,
		Logger:                        discardLogger{},
		MaxRequestBodySize:            maxBody,
		ReadBufferSize:                8192,
		StreamRequestBody:             maxBody >= MaxStream,
		ReadTimeout:                   requestTimeout,
		IdleTimeout:                   idleTimeout,
		WriteTimeout:                  writeTimeout,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		ConnState:                     connStateChanged,
	}
}

// guard turns away what another reader of the same bytes could take for
// something else, and marks the connection as one that an answer is owed on.
func rejectAmbiguous(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if c, ok := ctx.Conn().(*ClientConn); ok {
			c.serve()
		}
		if HasConflictingLengths(ctx.Request.Header.RawHeaders()) {
			ctx.Error("Content-Length and Transfer-Encoding\n", fasthttp.StatusBadRequest)
			ctx.SetConnectionClose()
			return
		}
		handler(ctx)
	}
}

func connStateChanged(nc net.Conn, s fasthttp.ConnState) {
	if c, ok := nc.(*ClientConn); ok && s == fasthttp.StateIdle {
		c.Idle()
	}
}

// malformed answers what is no request. The connection ends after it.
func malformed(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if _, ok := err.(*fasthttp.ErrSmallBuffer); ok {
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	} else if err == fasthttp.ErrBodyTooLarge {
		status = fasthttp.StatusRequestEntityTooLarge
	} else if e, ok := err.(net.Error); ok && e.Timeout() {
		status = fasthttp.StatusRequestTimeout
	}
	ctx.Error(fasthttp.StatusMessage(status)+"\n", status)
}

// quiet drops the library's own log: clients that break off are no news.
type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}
