package transport

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"asterwell/internal/hostenv"
)

// ClientConn is a client's connection. A reader goroutine, the pump, reads from it, so
// that a disconnect is noticed while a request is in progress. While its buffer holds bytes
// that nobody takes, as those of a further request, it asks the socket for the disconnect.
type ClientConn struct {
	net.Conn
	listener    *Listener
	number      uint64           // in order of acceptance
	readable    hostenv.Notifier // notifies the serving goroutine
	bufferFree  hostenv.Notifier // notifies the pump that its buffer can be reused
	unread      []byte
	deadline    time.Time
	deadlineSet time.Time    // when the library set the deadline
	awaited     awaitedInput // what it set the deadline for
	extended    bool         // the deadline has been extended since bytes last came
	bodyPaced   bool         // a body is being read: the timeout counts from the last byte
	stopReading func() bool  // reading ends once it returns true; nil: never
	answerUntil time.Time    // until then a client may take its time with the response

	// Guarded by listener.mu.
	state       connState
	data        []byte // read by the pump, not yet taken by Read
	bufferInUse bool   // Read still uses the pump's buffer
	err         error  // non-nil once the connection has ended
	onEnd       func() // called once it has ended; nil: nothing

	lingerUntil    time.Time // when it is closed
	lingerExtended bool
}

// idleLonger orders connections by the time in their phase, then by acceptance.
func (c *ClientConn) idleLonger(o *ClientConn) bool {
	return c.state.since.Before(o.state.since) || c.state.since.Equal(o.state.since) && c.number < o.number
}

func (c *ClientConn) pump() {
	buf := make([]byte, 4096)
	for {
		n, err := c.Conn.Read(buf)
		if n > 0 {
			if !c.offer(buf[:n]) {
				c.linger(buf)
				return
			}
			switch c.awaitBuffer() {
			case bufferEnded:
				c.linger(buf)
				return
			case bufferAbandoned:
				c.discardRest()
				return
			}
		}
		if err != nil {
			c.ended(buf, err)
			return
		}
	}
}

// ended handles the end of what the pump reads.
func (c *ClientConn) ended(buf []byte, err error) {
	if errors.Is(err, os.ErrDeadlineExceeded) && c.extendLinger() {
		c.linger(buf)
		return
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.fail(err)
	if c.state.phase == phaseClosed { // otherwise the server closes it once it notices the error
		c.remove()
	}
}

// offer passes bytes to Read. It returns false if the connection has been closed meanwhile: a request in them must not
// be served, since it could not be answered.
func (c *ClientConn) offer(received []byte) bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.state.received(c.listener.host.Now()) {
		return false
	}
	c.data, c.bufferInUse = received, true
	c.readable.Notify()
	return true
}

// bufferState is what has become of the pump's buffer.
type bufferState uint8

const (
	bufferTaken     bufferState = iota // all bytes have been taken
	bufferEnded                        // the connection has ended
	bufferAbandoned                    // the client has left before they were taken
)

// disconnectInterval is how often a connection whose bytes nobody takes is asked whether its client has left.
const disconnectInterval = 100 * time.Millisecond

// awaitBuffer waits until the pump's buffer is free again, or the connection has ended.
func (c *ClientConn) awaitBuffer() bufferState {
	for {
		c.listener.mu.Lock()
		held, gone := c.bufferInUse, c.err != nil
		c.listener.mu.Unlock()
		switch {
		case gone:
			return bufferEnded
		case !held:
			return bufferTaken
		}
		if !c.bufferFree.Wait(disconnectInterval) && remoteClosed(c.Conn) {
			return bufferAbandoned
		}
	}
}

// discardRest ends the connection of a client that has left behind bytes that nobody took. What it sent besides is read:
// closing the socket with it unread would reset the connection, and a client that only ended its sending hears the response.
func (c *ClientConn) discardRest() {
	c.listener.mu.Lock()
	c.fail(io.EOF)
	c.listener.mu.Unlock()
	buf := make([]byte, 4096) // the pump's own is still in use
	for limit := lingerMaxBytes; limit > 0; {
		n, err := c.Conn.Read(buf)
		if limit -= n; err != nil {
			break
		}
	}
	c.ended(buf, io.EOF)
}

// Limits on what is read and discarded from a client after its last response.
const (
	lingerTimeout  = time.Second      // once the response has been delivered
	maxLinger      = 10 * time.Second // while it is being delivered to a slow client
	lingerMaxBytes = 2 << 20
)

// linger reads and discards what still arrives after the last response. Closing
// immediately would reset the connection, and a client that is still sending could lose
// the response in transit, such as one that says that its request is too large.
func (c *ClientConn) linger(buf []byte) {
	for limit := lingerMaxBytes; ; {
		n, err := c.Conn.Read(buf)
		if limit -= n; errors.Is(err, os.ErrDeadlineExceeded) && limit >= 0 && c.extendLinger() {
			continue
		}
		if err != nil || limit < 0 {
			c.listener.mu.Lock()
			c.remove()
			c.listener.mu.Unlock()
			return
		}
	}
}

// extendLinger gives a connection that lingers more time, if its deadline passed while the process stood still, or if the
// response is still on its way: closing it would reset it if the client sends anything.
func (c *ClientConn) extendLinger() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	now := c.listener.host.Now()
	until, ok := extendDeadline(c.lingerUntil, now, c.lingerExtended)
	if !ok && now.Sub(c.state.since) < maxLinger && undelivered(c.Conn) {
		until, ok = now.Add(lingerTimeout), true
	}
	if !ok {
		return false
	}
	c.lingerUntil, c.lingerExtended = until, true
	return c.Conn.SetReadDeadline(until) == nil
}

// fail marks the connection as ended. The caller holds the listener's lock.
func (c *ClientConn) fail(err error) {
	if c.err == nil {
		c.err = err
		c.readable.Notify()
		c.bufferFree.Notify()
		c.callOnEnd()
	}
}

// OnEnd has f called, on a goroutine of its own, once the connection has ended, which may be already. It replaces an earlier f.
// Nil: nothing is called.
func (c *ClientConn) OnEnd(f func()) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if c.onEnd = f; c.err != nil {
		c.callOnEnd()
	}
}

func (c *ClientConn) callOnEnd() {
	if f := c.onEnd; f != nil {
		c.onEnd = nil
		c.listener.host.Go(f)
	}
}

// World returns the host of the connection.
func (c *ClientConn) Host() hostenv.Host { return c.listener.host }

// Notifier returns the notifier of the goroutine that serves the connection.
func (c *ClientConn) Notifier() hostenv.Notifier { return c.readable }

// Ended reports whether the connection has ended, or the client sends no more.
func (c *ClientConn) Ended() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.err != nil
}

// Await waits until done returns true, and returns false if the connection ends first.
// It calls done after each notification.
func (c *ClientConn) Await(done func() bool) bool { return c.AwaitFor(-1, done) }

// AwaitFor is Await with a timeout; a negative limit means none.
func (c *ClientConn) AwaitFor(limit time.Duration, done func() bool) bool {
	end := c.listener.host.Now().Add(limit)
	for !done() {
		gone := c.Ended()
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

// Read returns what the pump has read. Only one goroutine may call it.
func (c *ClientConn) Read(p []byte) (int, error) {
	for len(c.unread) == 0 {
		received, err := c.take()
		if received != nil {
			c.unread, c.extended = received, false
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
				if err := c.timeOut(); err != nil {
					return 0, err
				}
				continue
			}
		}
		c.readable.Wait(wait)
	}
	if c.bodyPaced {
		c.deadline = c.listener.host.Now().Add(requestTimeout)
	}
	n := copy(p, c.unread)
	if c.unread = c.unread[n:]; len(c.unread) == 0 { // the pump reads on, to notice a disconnect
		c.listener.mu.Lock()
		c.bufferInUse = false
		c.listener.mu.Unlock()
		c.bufferFree.Notify()
	}
	return n, nil
}

// take returns what the pump holds, or why nothing more will come. If there is neither, the library has
// nothing left to answer if it is between two requests, and a draining listener closes the connection.
func (c *ClientConn) take() ([]byte, error) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if received := c.data; received != nil {
		c.data = nil
		return received, nil
	}
	if until := c.configuredDeadline(); !c.extended && !until.IsZero() && until.Before(c.deadline) { // the timeouts have changed meanwhile
		c.deadline = until
	}
	if c.err == nil && c.state.starved(c.listener.host.Now()) {
		if c.listener.draining {
			c.drop(ClosedByDrain)
		}
		c.listener.roomAvailable.Notify() // it may be closed to make room
	}
	return nil, c.err
}

// timeOut returns the error of a Read whose deadline has passed; nil: it goes on. Between requests the
// connection is closed, since no response is due.
func (c *ClientConn) timeOut() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.state.waiting {
		return nil
	}
	if until := c.configuredDeadline(); until.After(c.listener.host.Now()) { // the timeouts have changed meanwhile
		c.deadline = until
		return nil
	}
	if until, ok := extendDeadline(c.deadline, c.listener.host.Now(), c.extended); ok {
		c.deadline, c.extended = until, true
		return nil
	}
	if c.state.nothingOwed() {
		c.drop(ClosedIdle)
		return io.EOF
	}
	return os.ErrDeadlineExceeded
}

// toHostTime converts a deadline of the HTTP library, which uses the system clock, to
// the host's clock. The library's timeouts are whole seconds.
func (c *ClientConn) toHostTime(deadline time.Time) time.Time {
	if deadline.IsZero() {
		return deadline
	}
	return c.listener.host.Now().Add(time.Until(deadline).Round(time.Second))
}

// Pace replaces the timeout of the whole request by one between two reads of its body.
// Read ends with ErrStopped once enough returns true; it is called after each notification.
func (c *ClientConn) Pace(enough func() bool) {
	c.bodyPaced, c.stopReading, c.extended, c.awaited = true, enough, false, awaitsNothing
	c.deadline = c.listener.host.Now().Add(requestTimeout)
}

// Write writes in pieces, each with its own timeout: a slow client may take long for the whole.
func (c *ClientConn) Write(p []byte) (n int, err error) {
	for first := true; first || len(p) > 0; first = false {
		written, err := c.writePiece(p[:min(len(p), pieceSize)])
		if n += written; err != nil {
			return n, err
		}
		p = p[written:]
	}
	return n, nil
}

func (c *ClientConn) writePiece(piece []byte) (n int, err error) {
	deadline, extended := c.writeUntil(), false
	for {
		if err := c.Conn.SetWriteDeadline(deadline); err != nil {
			return n, err
		}
		written, err := c.Conn.Write(piece[n:])
		if n += written; !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		until, ok := extendDeadline(deadline, c.listener.host.Now(), extended)
		if !ok {
			return n, err
		}
		deadline, extended = until, true
	}
}

// SetAnswerDeadline sets the deadline of the request that is served. Until then a client that takes nothing of its response
// keeps its connection; beyond it, for writeTimeout.
func (c *ClientConn) SetAnswerDeadline(t time.Time) { c.answerUntil = t }

// writeUntil returns how long the client may take for a piece of a response.
func (c *ClientConn) writeUntil() time.Time {
	until := c.listener.host.Now().Add(writeTimeout)
	if c.answerUntil.After(until) {
		return c.answerUntil
	}
	return until
}

// ReadFrom writes each piece as soon as it has been read.
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

// SetReadDeadline bounds Read; the pump is not affected. The listener's timeouts take precedence over the library's.
func (c *ClientConn) SetReadDeadline(t time.Time) error {
	c.deadline, c.extended, c.bodyPaced, c.stopReading = c.toHostTime(t), false, false, nil
	if c.awaited = awaitsNothing; t.IsZero() {
		return nil
	}
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.deadlineSet, c.awaited = c.listener.host.Now(), c.state.awaits()
	if until := c.configuredDeadline(); !until.IsZero() {
		c.deadline = until
	}
	return nil
}

// configuredDeadline returns the deadline by the listener's timeouts; zero: they have none. The caller holds the listener's lock.
func (c *ClientConn) configuredDeadline() time.Time {
	limit := c.listener.timeouts.of(c.awaited)
	if limit <= 0 {
		return time.Time{}
	}
	return c.deadlineSet.Add(limit)
}

// SetWriteDeadline does nothing: Write sets a deadline for each piece.
func (c *ClientConn) SetWriteDeadline(time.Time) error { return nil }

// SetDeadline is SetReadDeadline.
func (c *ClientConn) SetDeadline(t time.Time) error { return c.SetReadDeadline(t) }

// begun marks that the HTTP library has found the first byte of a request.
func (c *ClientConn) begun() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.state.begun(c.listener.host.Now())
}

// served marks that the handler runs.
func (c *ClientConn) served() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.state.served(c.listener.host.Now())
}

// answered marks the response as sent.
func (c *ClientConn) answered() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.state.answered(c.listener.host.Now())
}

// drop closes the connection; while it lingers it counts as open. The caller holds the
// listener's lock.
func (c *ClientConn) drop(reason CloseReason) {
	if c.state.phase == phaseClosed {
		return
	}
	c.listener.closed[reason]++
	now := c.listener.host.Now()
	lingers := c.err == nil && (!c.state.nothingOwed() || undelivered(c.Conn))
	c.end(now)
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && lingers {
		half.CloseWrite()
		c.lingerUntil = now.Add(lingerTimeout)
		c.Conn.SetReadDeadline(c.lingerUntil) // the pump closes it after that
		return
	}
	c.remove()
}

// end marks the connection as closed. The caller holds the listener's lock.
func (c *ClientConn) end(now time.Time) {
	c.state.enter(phaseClosed, now)
	c.fail(net.ErrClosed)
}

// remove closes the socket and forgets the connection. The caller holds the listener's
// lock.
func (c *ClientConn) remove() {
	delete(c.listener.conns, c)
	c.listener.roomAvailable.Notify()
	c.Conn.Close()
}

// Close closes the connection. The HTTP library calls it behind the last response, or once the connection has ended.
func (c *ClientConn) Close() error {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	switch {
	case c.err == nil:
		c.drop(ClosedAfterResponse)
	case c.state.nothingOwed() || c.state.phase == phaseAnswered:
		c.drop(ClosedByClient)
	default:
		c.drop(ClosedByClientEarly)
	}
	return nil
}
