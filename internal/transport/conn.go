// Package transport implements the listener for clients and the connections to
// servers: reuse, limits, dialing and deadlines. It handles HTTP framing and is
// independent of what the messages mean.
package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// ConnLimit bounds the number of connections of all peers together.
type ConnLimit struct {
	max      int64
	open     atomic.Int64
	inFlight atomic.Int64 // exchanges in progress, including those that wait for a connection
}

// NewConnLimit returns a limit on the number of connections.
func NewConnLimit(limit int) *ConnLimit { return &ConnLimit{max: int64(limit)} }

func (s *ConnLimit) acquire() bool {
	if s.open.Add(1) > s.max {
		s.open.Add(-1)
		return false
	}
	return true
}

func (s *ConnLimit) release() { s.open.Add(-1) }

// nearlyExhausted reports whether idle connections should be closed rather than kept.
func (s *ConnLimit) nearlyExhausted() bool { return s.open.Load() > s.max*3/4 }

// Used returns the number of open connections.
func (s *ConnLimit) Used() int { return int(s.open.Load()) }

// InFlight returns the number of exchanges in progress.
func (s *ConnLimit) InFlight() int { return int(s.inFlight.Load()) }

// Limits of a response. One that exceeds them is invalid: the request may have run,
// and later responses on the connection can't be delimited.
const (
	MaxResponseBody     = 1 << 20 // bytes of the body
	maxHeaderBytes      = 8 << 10 // bytes of each header, final or interim
	maxInterimResponses = 32      // 1xx responses before the final one
)

var (
	errInvalidResponse = errors.New("invalid response")
	errUnsolicited     = fmt.Errorf("%w: no request is in progress", errInvalidResponse)
)

// Conn is a client connection that carries one HTTP exchange at a time. It never
// resends anything: the caller decides what to do when the connection is lost. How long a
// response may take is the caller's decision, too: the silence of a server in the middle of
// one says no more than its silence before the first byte.
type Conn struct {
	host         hostenv.Host
	nc           net.Conn
	br           *bufio.Reader
	headRequest  atomic.Bool   // the current request is a HEAD: its response has no body
	readDeadline time.Time     // for a whole response; zero: no limit
	stream       *streamedBody // the response that its reader reads; nil: none

	rejectUnsolicited bool        // bytes that arrive while no request is in progress end the connection
	requestInProgress atomic.Bool // a request has been written, and its response has not been read

	closeAnnounced bool // the current header has Connection: close
	allowStreams   bool // long responses are streamed to their reader
	// strict rejects a body without a length, since a server killed midway ends it the same way.
	// It also rejects a header that contains another status line: a late response was cut off,
	// and its status would be combined with the correlation ID of the response behind it.
	strict bool
}

// Dial connects to addr within the limit.
func Dial(host hostenv.Host, addr string, limit time.Duration) (*Conn, error) {
	nc, err := hostenv.OrReal(host).Dial(addr, limit)
	if err != nil {
		return nil, err
	}
	return newConn(host, nc), nil
}

func newConn(host hostenv.Host, nc net.Conn) *Conn {
	c := &Conn{host: hostenv.OrReal(host), nc: nc}
	c.br = bufio.NewReaderSize(reader{c}, maxHeaderBytes)
	return c
}

// reader sets a deadline for each read of a connection.
type reader struct{ *Conn }

func (r reader) Read(p []byte) (int, error) {
	until := r.readDeadline
	if r.stream != nil {
		until = r.stream.readUntil(r.host.Now())
	}
	for extended := false; ; extended = true {
		if err := r.nc.SetReadDeadline(until); err != nil {
			return 0, err
		}
		n, err := r.nc.Read(p)
		if n > 0 || until.IsZero() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		later, ok := extendDeadline(until, r.host.Now(), extended)
		if !ok {
			return 0, err
		}
		until = later
	}
}

// noLimit is the limit of a write that may block until the connection is closed.
const noLimit time.Duration = 0

// Write sends a part of a request. An error means that its last byte was not written.
func (c *Conn) Write(wire []byte, limit time.Duration) error {
	if limit == noLimit {
		if err := c.nc.SetWriteDeadline(time.Time{}); err != nil {
			return err
		}
		_, err := c.nc.Write(wire)
		return err
	}
	deadline := c.host.Now().Add(limit)
	for extended := false; ; extended = true {
		if err := c.nc.SetWriteDeadline(deadline); err != nil {
			return err
		}
		n, err := c.nc.Write(wire)
		if wire = wire[n:]; !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		later, ok := extendDeadline(deadline, c.host.Now(), extended)
		if !ok {
			return err
		}
		deadline = later
	}
}

func (c *Conn) write(wire []byte, limit time.Duration) (written int, err error) {
	if err := c.nc.SetWriteDeadline(c.host.Now().Add(limit)); err != nil {
		return 0, err
	}
	return c.nc.Write(wire)
}

// writeRequest writes the first part of a request. If that fails, it reports whether the server may have begun to run it:
// one may do so once it has the header, before it has read the body.
func (c *Conn) writeRequest(wire []byte, limit time.Duration) (written int, begun bool, err error) {
	c.headRequest.Store(len(wire) > 5 && string(wire[:5]) == "HEAD ")
	c.requestInProgress.Store(true)
	written, err = c.write(wire, limit)
	return written, bytes.Contains(wire[:written], []byte("\r\n\r\n")), err
}

// Read waits for a response and skips interim ones. A response that is truncated or
// has no definite end is an error, since it can't be told from a complete one. extra
// reports bytes behind the response: the response is valid, but the connection can't
// be used again.
func (c *Conn) Read(resp *fasthttp.Response) (extra bool, err error) {
	defer c.requestInProgress.Store(false)
	resp.Header.DisableNormalizing()
	var status int // as received: the HTTP library takes 000 for 200
	for interim := 0; ; interim++ {
		if _, err := c.br.Peek(1); err != nil {
			return false, err
		}
		if c.rejectUnsolicited && !c.requestInProgress.Load() {
			return false, errUnsolicited
		}
		if status, err = c.awaitHeader(); err != nil {
			return false, err
		}
		if err := resp.Header.Read(c.br); err != nil { // the header is buffered completely
			return false, fmt.Errorf("%w: %w", errInvalidResponse, err)
		}
		if status >= fasthttp.StatusOK {
			break
		}
		if interim >= maxInterimResponses {
			return false, errInvalidResponse
		}
	}
	if c.headRequest.Load() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return c.br.Buffered() > 0, nil
	}
	length := resp.Header.ContentLength()
	if length == lengthNone && (!c.allowStreams || !c.closeAnnounced || c.strict) { // a truncated one would look complete
		return false, fmt.Errorf("%w: body without a length", errInvalidResponse)
	}
	if c.allowStreams && (length < 0 || length > MaxBuffered) {
		if err = c.readLongBody(resp, length); err != nil {
			return false, asInvalidResponse(err)
		}
		return !resp.IsBodyStream() && c.br.Buffered() > 0, nil
	}
	if length == lengthChunked {
		err = c.readChunkedBody(resp, MaxResponseBody)
	} else {
		err = resp.ReadBody(c.br, MaxResponseBody)
	}
	if err != nil {
		return false, asInvalidResponse(err)
	}
	return c.br.Buffered() > 0, nil
}

// asInvalidResponse marks errors in the received data, as opposed to a lost connection.
func asInvalidResponse(err error) error {
	var broken net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken) {
		return err
	}
	return fmt.Errorf("%w: %w", errInvalidResponse, err)
}

// Quiet reports whether nothing has been received since the last response, not even
// the end of the connection. Data received before a request can't be its response.
func (c *Conn) Quiet() bool {
	if q, ok := c.nc.(interface{ Quiet() bool }); ok { // simulated connections have no file descriptor
		return q.Quiet()
	}
	if _, ok := c.nc.(syscall.Conn); !ok {
		return true
	}
	quiet := false
	return withDescriptor(c.nc, func(fd int) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	}) && quiet
}

// SetReadDeadline bounds the wait for the next response.
func (c *Conn) SetReadDeadline(t time.Time) { c.readDeadline = t }

// Close closes the connection and aborts the current exchange.
func (c *Conn) Close() error { return c.nc.Close() }
