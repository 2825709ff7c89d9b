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
	world hostenv.Host
	most  int
	room  hostenv.Notifier // rung when there may be some
	mu    sync.Mutex
	open  map[*ClientConn]struct{}
	count uint64
	last  bool // idle connections are closed

	paused atomic.Bool
	again  hostenv.Notifier // rung when it is no more
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
	return &Listener{Listener: ln, world: world, most: most, room: world.NewNotifier(), again: world.NewNotifier(),
		open: map[*ClientConn]struct{}{}}
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
		l.world.Go(func() { s.ServeConn(c) })
	}
}

const acceptPause = 20 * time.Millisecond

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
		l.world.Sleep(acceptPause)
		nc, err = l.accept()
	}
	if err != nil {
		return nil, err
	}
	c := &ClientConn{Conn: nc, list: l, bell: l.world.NewNotifier(), free: l.world.NewNotifier(), since: l.world.Now()}
	l.mu.Lock()
	for len(l.open) >= l.most {
		if !l.makeRoom() { // what is half sent now may be overdue in a moment
			l.mu.Unlock()
			l.room.Wait(acceptPause)
			l.mu.Lock()
		}
	}
	l.count++
	c.number = l.count
	l.open[c] = struct{}{}
	l.ease()
	l.mu.Unlock()
	l.world.Go(c.pump)
	return c, nil
}

func (l *Listener) accept() (net.Conn, error) {
	for l.paused.Load() {
		l.again.Wait(-1)
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
		l.again.Notify()
	}
}

// hasten is how long a client that holds a connection without a whole request,
// or after its last answer, is left alone while others want one.
const hasten = 200 * time.Millisecond

// makeRoom closes the connection that is missed least, and among such the one
// that has been so the longest.
func (l *Listener) makeRoom() bool {
	var worst *ClientConn
	rank, now := kept, l.world.Now()
	for c := range l.open {
		if r := c.expendable(now); r < rank || r == rank && worst != nil && c.older(worst) {
			worst, rank = c, r
		}
	}
	if worst == nil {
		return false
	}
	worst.busy = false // at once, with nothing to linger for
	worst.drop()
	worst.remove()
	return true
}

// ease closes the connection idle the longest once half of the cap is taken by
// clients that have asked for something. Those that ask once and stay would
// leave no descriptors, at either end, to those that have something to ask.
func (l *Listener) ease() {
	var oldest *ClientConn
	asked, now := 0, l.world.Now()
	for c := range l.open {
		if c.served || c.busy {
			asked++
		}
		if c.expendable(now) == idle && (oldest == nil || c.older(oldest)) {
			oldest = c
		}
	}
	if asked > l.most/2 && oldest != nil {
		oldest.drop()
	}
}

// What connections are missed least, in this order.
const (
	answered int = iota // its last answer has had its time
	silent              // it has never asked for anything
	half                // its request does not get finished
	idle                // it has been served, and may ask again
	fresh               // it has just come
	kept
)

// expendable ranks a connection, under the list's lock.
func (c *ClientConn) expendable(now time.Time) int {
	waits := now.Sub(c.since)
	switch {
	case c.closed:
		if waits > hasten {
			return answered
		}
	case c.serving:
	case !c.busy && !c.served && waits <= hasten:
		return fresh
	case !c.busy && !c.served:
		return silent
	case !c.busy:
		return idle
	case waits > hasten:
		return half
	}
	return kept
}

// Drain closes the connections that are idle, and each other once it is, and
// returns how many are open.
func (l *Listener) Drain() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = true
	for c := range l.open {
		if !c.busy {
			c.drop()
		}
	}
	return len(l.open)
}

// Resume ends what Drain began.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last = false
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
	return len(l.open)
}

// ClientConn is a client's connection. A pump reads it at all times, so that a
// client that closes it is noticed while its request is open.
type ClientConn struct {
	net.Conn
	list     *Listener
	number   uint64           // in order of coming
	bell     hostenv.Notifier // where the goroutine that serves it waits
	free     hostenv.Notifier // where the pump waits for its buffer
	rest     []byte
	deadline time.Time
	paced    bool        // a body is being read: time counts from the last byte
	enough   func() bool // reading ends once it is true; nil: never

	// Under list.mu. While busy, a request has begun to come and its answer has
	// not gone out; while serving, it has come whole. unread says that the pump
	// holds bytes nobody has asked for. since is when it came to this.
	busy, unread, serving, served, closed bool
	since                                 time.Time
	data                                  []byte // what the pump has read, and nobody has taken
	held                                  bool   // the pump's buffer is in use
	err                                   error  // set: the connection has ended
}

// older tells which of two has been so longer; of one moment, the one that came first.
func (c *ClientConn) older(o *ClientConn) bool {
	return c.since.Before(o.since) || c.since.Equal(o.since) && c.number < o.number
}

func (c *ClientConn) pump() {
	buf := make([]byte, 4096)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 {
			c.list.mu.Lock()
			if c.unread = true; !c.busy {
				c.busy, c.since = true, c.list.world.Now()
			}
			c.data, c.held = buf[:n], true
			c.list.mu.Unlock()
			c.bell.Notify()
			if !c.taken() {
				c.linger(buf)
				return
			}
		}
		if err != nil {
			c.list.mu.Lock()
			c.fail(err)
			if c.closed { // or the server closes it, once it has noticed
				c.remove()
			}
			c.list.mu.Unlock()
			return
		}
	}
}

// taken waits until the pump's buffer is free again, or reports that the
// connection has ended.
func (c *ClientConn) taken() bool {
	for {
		c.list.mu.Lock()
		held, gone := c.held, c.err != nil
		c.list.mu.Unlock()
		if gone || !held {
			return !gone
		}
		c.free.Wait(-1)
	}
}

// How long a client may go on sending after its last answer, and how much of it
// is read: the rest would cost time and serve nobody.
const (
	lingerFor  = time.Second
	lingerMost = 2 << 20
)

// linger reads what still comes on a connection that has been answered for the
// last time, and drops it. Closing at once would reset the connection, and the
// client might lose the answer that is under way to it: that its request is too
// large, for one, while it is still sending.
func (c *ClientConn) linger(buf []byte) {
	for most := lingerMost; ; {
		n, err := c.Conn.Read(buf)
		if most -= n; err != nil || most < 0 {
			c.list.mu.Lock()
			c.remove()
			c.list.mu.Unlock()
			return
		}
	}
}

// fail marks the connection as ended, under the list's lock.
func (c *ClientConn) fail(err error) {
	if c.err == nil {
		c.err = err
		c.bell.Notify()
		c.free.Notify()
	}
}

// World is the one that the connection is in.
func (c *ClientConn) World() hostenv.Host { return c.list.world }

// Notifier is where the goroutine that serves the connection waits.
func (c *ClientConn) Notifier() hostenv.Notifier { return c.bell }

// Await waits until done, which is asked whenever the bell rings, and reports false
// if the connection ends before.
func (c *ClientConn) Await(done func() bool) bool { return c.AwaitFor(-1, done) }

// AwaitFor is Await for no longer than limit, if that is not below 0.
func (c *ClientConn) AwaitFor(limit time.Duration, done func() bool) bool {
	end := c.list.world.Now().Add(limit)
	for !done() {
		c.list.mu.Lock()
		gone := c.err != nil
		c.list.mu.Unlock()
		wait := time.Duration(-1)
		if limit >= 0 {
			wait = max(0, end.Sub(c.list.world.Now()))
		}
		if gone || wait == 0 {
			return false
		}
		c.bell.Wait(wait)
	}
	return true
}

// Read takes what the pump has read. Only one goroutine reads.
func (c *ClientConn) Read(p []byte) (int, error) {
	for len(c.rest) == 0 {
		c.list.mu.Lock()
		got, err := c.data, c.err
		if got != nil {
			c.data, c.unread = nil, false
		}
		c.list.mu.Unlock()
		if got != nil {
			c.rest = got
			break
		}
		if err != nil {
			return 0, err
		}
		if c.enough != nil && c.enough() {
			return 0, ErrStopped
		}
		wait := time.Duration(-1)
		if !c.deadline.IsZero() {
			if wait = c.deadline.Sub(c.list.world.Now()); wait <= 0 {
				if c.list.idle(c) { // no request has begun: there is nobody to tell
					return 0, io.EOF
				}
				return 0, os.ErrDeadlineExceeded
			}
		}
		c.bell.Wait(wait)
	}
	if c.paced {
		c.deadline = c.list.world.Now().Add(requestTime)
	}
	n := copy(p, c.rest)
	if c.rest = c.rest[n:]; len(c.rest) == 0 { // what it reads next may be the client's end
		c.list.mu.Lock()
		c.held = false
		c.list.mu.Unlock()
		c.free.Notify()
	}
	return n, nil
}

// at is a deadline of the library's, which goes by the machine's clock, in the
// connection's world. They are whole seconds.
func (c *ClientConn) at(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return c.list.world.Now().Add(time.Until(t).Round(time.Second))
}

// Pace bounds the time between two pieces of a body from now on, in place of the time
// of the whole request; reading ends once enough is true, which is asked as the bell rings.
func (c *ClientConn) Pace(enough func() bool) {
	c.paced, c.enough = true, enough
	c.deadline = c.list.world.Now().Add(requestTime)
}

// Write takes piece by piece what the client has time for: a slow one may take long for all.
func (c *ClientConn) Write(p []byte) (n int, err error) {
	for first := true; first || len(p) > 0; first = false {
		now := p[:min(len(p), piece)]
		if err := c.Conn.SetWriteDeadline(c.list.world.Now().Add(answerTime)); err != nil {
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
	buf := pieces.Get().(*[piece]byte)
	defer pieces.Put(buf)
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

var pieces = sync.Pool{New: func() any { return new([piece]byte) }}

// SetReadDeadline bounds Read; the pump reads on.
func (c *ClientConn) SetReadDeadline(t time.Time) error {
	c.deadline, c.paced, c.enough = c.at(t), false, nil
	return nil
}

// SetWriteDeadline does nothing: each piece that is written has a time of its own.
func (c *ClientConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline is SetReadDeadline.
func (c *ClientConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// Idle tells that the answer has gone out. While the listener drains, that
// ends the connection.
func (c *ClientConn) Idle() {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.serving, c.served = false, true
	if c.busy, c.since = c.unread, c.list.world.Now(); !c.busy {
		if c.list.room.Notify(); c.list.last { // it may go to make room
			c.drop()
		}
	}
}

// serve tells that a whole request has come.
func (c *ClientConn) serve() {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.serving, c.since = true, c.list.world.Now()
}

// drop closes the connection under the list's lock. It counts as open for as
// long as it lingers.
func (c *ClientConn) drop() {
	if c.closed {
		return
	}
	c.closed, c.serving, c.since = true, false, c.list.world.Now()
	ended := c.err != nil
	c.fail(net.ErrClosed)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && c.busy && !ended {
		half.CloseWrite()
		c.Conn.SetReadDeadline(c.list.world.Now().Add(lingerFor)) // then the pump closes it
		return
	}
	c.remove()
}

// remove gives the connection's descriptor back, under the list's lock.
func (c *ClientConn) remove() {
	delete(c.list.open, c)
	c.list.room.Notify()
	c.Conn.Close()
}

// Close ends the connection.
func (c *ClientConn) Close() error {
	c.list.mu.Lock()
	defer c.list.mu.Unlock()
	c.drop()
	return nil
}

// The time that clients have. A request has to come whole within the first,
// counted from its first byte, or from connecting if it is the first. A
// connection without a request is closed after the second.
const (
	requestTime = 3 * time.Second // from then on, between two pieces of a body
	idleTime    = 2 * time.Second
	answerTime  = 5 * time.Second // to take an answer
)

// NewServer returns a listener's HTTP server. It passes on what clients send as
// they wrote it, and takes bodies up to maxBody.
func NewServer(handler fasthttp.RequestHandler, maxBody int) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       guard(handler),
		ErrorHandler:                  malformed,
		Logger:                        quiet{},
		MaxRequestBodySize:            maxBody,
		ReadBufferSize:                8192,
		StreamRequestBody:             maxBody >= MaxStream,
		ReadTimeout:                   requestTime,
		IdleTimeout:                   idleTime,
		WriteTimeout:                  answerTime,
		DisableHeaderNamesNormalizing: true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		ConnState:                     answeredOne,
	}
}

// guard turns away what another reader of the same bytes could take for
// something else, and marks the connection as one that an answer is owed on.
func guard(handler fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		if c, ok := ctx.Conn().(*ClientConn); ok {
			c.serve()
		}
		if TwoLengths(ctx.Request.Header.RawHeaders()) {
			ctx.Error("Content-Length and Transfer-Encoding\n", fasthttp.StatusBadRequest)
			ctx.SetConnectionClose()
			return
		}
		handler(ctx)
	}
}

func answeredOne(nc net.Conn, s fasthttp.ConnState) {
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
type quiet struct{}

func (quiet) Printf(string, ...any) {}
