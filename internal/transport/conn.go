// Package transport moves bytes: the listener under the fronts, connections to
// servers with their reuse and limits, dialing and deadlines. It knows HTTP's
// framing, and nothing of what the messages mean.
package transport

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// Sockets counts the connections of all peers against a cap.
type ConnLimit struct {
	max      int64
	open     atomic.Int64
	inFlight atomic.Int64 // exchanges under way, those that wait for a connection included
}

// NewConnLimit returns a cap of most connections.
func NewConnLimit(most int) *ConnLimit { return &ConnLimit{max: int64(most)} }

func (s *ConnLimit) acquire() bool {
	if s.open.Add(1) > s.max {
		s.open.Add(-1)
		return false
	}
	return true
}

func (s *ConnLimit) release() { s.open.Add(-1) }

// scarce reports whether an idle connection should rather be closed than kept.
func (s *ConnLimit) nearlyExhausted() bool { return s.open.Load() > s.max*3/4 }

// Used is the number of open connections.
func (s *ConnLimit) Used() int { return int(s.open.Load()) }

// Under is the number of exchanges under way.
func (s *ConnLimit) InFlight() int { return int(s.inFlight.Load()) }

// The bounds of an answer. Beyond them it is spoilt: it may have run, and what
// else is on its connection can't be told apart from it.
const (
	MaxResponseBody     = 1 << 20                // its body
	maxHeaderBytes      = 8 << 10                // its head, the interim ones each for themselves
	maxInterimResponses = 32                     // 1xx answers before it
	readStallTimeout    = 500 * time.Millisecond // without a byte, once it has begun
)

var errInvalidResponse = errors.New("spoilt answer")

// Conn is a client's connection that carries one HTTP exchange at a time. It
// never sends anything twice: what to do about a break is the caller's choice.
type Conn struct {
	host            hostenv.Host
	nc              net.Conn
	br              *bufio.Reader
	headRequest     atomic.Bool // the exchange under way has no body in its answer
	readDeadline    time.Time   // for the first byte of an answer; 0: no limit
	responseStarted bool        // it has come, so that the rest should follow

	closeAnnounced bool // the head under way announces the connection's end
	allowStreams   bool // long answers are read by whoever they are for
	// A body without a length is no answer: one whose server is killed in its middle ends just so.
	// Nor is a head that another begins in: a late answer was cut off, and the one behind it would
	// lend its name to the other's status.
	strict       bool
	stallTimeout time.Duration // without a byte, once it has begun; 0: as usual
}

// Dial connects within the limit.
func Dial(world hostenv.Host, addr string, limit time.Duration) (*Conn, error) {
	nc, err := hostenv.OrReal(world).Dial(addr, limit)
	if err != nil {
		return nil, err
	}
	return newConn(world, nc), nil
}

func newConn(world hostenv.Host, nc net.Conn) *Conn {
	c := &Conn{host: hostenv.OrReal(world), nc: nc}
	c.br = bufio.NewReaderSize(reader{c}, maxHeaderBytes)
	return c
}

// reader bounds each read of a connection.
type reader struct{ *Conn }

func (r reader) Read(p []byte) (int, error) {
	until := r.readDeadline
	if r.responseStarted {
		until = r.host.Now().Add(max(readStallTimeout, r.stallTimeout))
	}
	if err := r.nc.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return r.nc.Read(p)
}

// Write sends a whole request. An error means that its last byte was not
// written, so that the server can't have begun it.
func (c *Conn) Write(wire []byte, limit time.Duration) error {
	if err := c.nc.SetWriteDeadline(c.host.Now().Add(limit)); err != nil {
		return err
	}
	_, err := c.nc.Write(wire)
	return err
}

// begin is Write for the beginning of a request.
func (c *Conn) writeRequest(wire []byte, limit time.Duration) error {
	c.headRequest.Store(len(wire) > 5 && string(wire[:5]) == "HEAD ")
	return c.Write(wire, limit)
}

// Read waits for an answer and skips what comes before the final one. An answer
// that is cut short or has no clear end is an error: nobody could tell it from
// a whole one. extra reports bytes behind it, after which the connection is of
// no use, though the answer is good.
func (c *Conn) Read(resp *fasthttp.Response) (extra bool, err error) {
	defer func() { c.responseStarted = c.stallTimeout > 0 }()
	resp.Header.DisableNormalizing()
	for interim := 0; ; interim++ {
		if _, err := c.br.Peek(1); err != nil {
			return false, err
		}
		c.responseStarted = true
		if err := c.awaitHeader(); err != nil {
			return false, err
		}
		if err := resp.Header.Read(c.br); err != nil { // it has come whole
			return false, fmt.Errorf("%w: %w", errInvalidResponse, err)
		}
		s := resp.StatusCode()
		if s >= 200 {
			break
		}
		if s < 100 || interim >= maxInterimResponses {
			return false, errInvalidResponse
		}
		c.responseStarted = c.br.Buffered() > 0 // the final one may take its time
	}
	if s := resp.StatusCode(); c.headRequest.Load() || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return c.br.Buffered() > 0, nil
	}
	length := resp.Header.ContentLength()
	if length == -2 && (!c.allowStreams || !c.closeAnnounced || c.strict) { // one that breaks would look whole
		return false, fmt.Errorf("%w: a body without a length", errInvalidResponse)
	}
	if c.allowStreams && (length < 0 || length > MaxBuffered) {
		if err = c.readLongBody(resp, length); err != nil {
			return false, asInvalidResponse(err)
		}
		return !resp.IsBodyStream() && c.br.Buffered() > 0, nil
	}
	err = resp.ReadBody(c.br, MaxResponseBody)
	if err == nil && length == -1 {
		err = resp.Header.ReadTrailer(c.br)
	}
	if err != nil {
		return false, asInvalidResponse(err)
	}
	return c.br.Buffered() > 0, nil
}

// spoilt tells what a connection brought from how it ended.
func asInvalidResponse(err error) error {
	var broken net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken) {
		return err
	}
	return fmt.Errorf("%w: %w", errInvalidResponse, err)
}

// clear waits for the next head, and reports one that tells two lengths: the
// library would follow one of them.
func (c *Conn) awaitHeader() error {
	for n := 1; ; n = c.br.Buffered() + 1 {
		if _, err := c.br.Peek(n); err != nil {
			return asInvalidResponse(err)
		}
		seen, _ := c.br.Peek(c.br.Buffered())
		if end := bytes.Index(seen, []byte("\r\n\r\n")); end >= 0 {
			if HasConflictingLengths(seen[:end]) || c.strict && containsStatusLine(seen[:end]) {
				return errInvalidResponse
			}
			c.closeAnnounced = announcesClose(seen[:end])
			return nil
		}
		if bytes.Contains(seen, []byte("\n\n")) {
			return errInvalidResponse
		}
	}
}

// TwoLengths reports whether a head has both Content-Length and
// Transfer-Encoding: whoever reads by the other one finds another message.
func HasConflictingLengths(head []byte) bool {
	var length, transfer bool
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		length = length || bytes.EqualFold(name, []byte("Content-Length"))
		transfer = transfer || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return length && transfer
}

// twoHeads reports whether a status line stands within a head.
func containsStatusLine(head []byte) bool {
	const begins = "HTTP/1."
	for rest := head[min(1, len(head)):]; ; {
		i := bytes.Index(rest, []byte(begins))
		if i < 0 {
			return false
		}
		if rest = rest[i+len(begins):]; len(rest) > 3 && rest[1] == ' ' && '1' <= rest[2] && rest[2] <= '5' {
			return true
		}
	}
}

// announces reports whether a head says that the connection ends behind the message.
func announcesClose(head []byte) bool {
	for line := range bytes.SplitSeq(head, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Connection")) &&
			bytes.EqualFold(bytes.TrimSpace(value), []byte("close")) {
			return true
		}
	}
	return false
}

// Quiet reports whether nothing has come since the last answer, not even the
// connection's end. What has is no answer to a request that is yet to be sent.
func (c *Conn) Quiet() bool {
	if q, ok := c.nc.(interface{ Quiet() bool }); ok { // no descriptor to look at
		return q.Quiet()
	}
	sc, ok := c.nc.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
	})
	return err == nil && quiet
}

// SetReadDeadline bounds the wait for the next answer.
func (c *Conn) SetReadDeadline(t time.Time) { c.readDeadline = t }

// Close ends the connection, and with it an exchange under way.
func (c *Conn) Close() error { return c.nc.Close() }
