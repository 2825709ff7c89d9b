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
type Sockets struct {
	most  int64
	used  atomic.Int64
	under atomic.Int64 // exchanges under way, those that wait for a connection included
}

// NewSockets returns a cap of most connections.
func NewSockets(most int) *Sockets { return &Sockets{most: int64(most)} }

func (s *Sockets) take() bool {
	if s.used.Add(1) > s.most {
		s.used.Add(-1)
		return false
	}
	return true
}

func (s *Sockets) give() { s.used.Add(-1) }

// scarce reports whether an idle connection should rather be closed than kept.
func (s *Sockets) scarce() bool { return s.used.Load() > s.most*3/4 }

// Used is the number of open connections.
func (s *Sockets) Used() int { return int(s.used.Load()) }

// Under is the number of exchanges under way.
func (s *Sockets) Under() int { return int(s.under.Load()) }

// The bounds of an answer. Beyond them it is spoilt: it may have run, and what
// else is on its connection can't be told apart from it.
const (
	MaxAnswer  = 1 << 20                // its body
	maxHead    = 8 << 10                // its head, the interim ones each for themselves
	maxInterim = 32                     // 1xx answers before it
	stalled    = 500 * time.Millisecond // without a byte, once it has begun
)

var errSpoilt = errors.New("spoilt answer")

// Conn is a client's connection that carries one HTTP exchange at a time. It
// never sends anything twice: what to do about a break is the caller's choice.
type Conn struct {
	world hostenv.Host
	nc    net.Conn
	br    *bufio.Reader
	head  atomic.Bool // the exchange under way has no body in its answer
	until time.Time   // for the first byte of an answer; 0: no limit
	begun bool        // it has come, so that the rest should follow

	last    bool // the head under way announces the connection's end
	streams bool // long answers are read by whoever they are for
	// A body without a length is no answer: one whose server is killed in its middle ends just so.
	// Nor is a head that another begins in: a late answer was cut off, and the one behind it would
	// lend its name to the other's status.
	strict   bool
	patience time.Duration // without a byte, once it has begun; 0: as usual
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
	c := &Conn{world: hostenv.OrReal(world), nc: nc}
	c.br = bufio.NewReaderSize(reader{c}, maxHead)
	return c
}

// reader bounds each read of a connection.
type reader struct{ *Conn }

func (r reader) Read(p []byte) (int, error) {
	until := r.until
	if r.begun {
		until = r.world.Now().Add(max(stalled, r.patience))
	}
	if err := r.nc.SetReadDeadline(until); err != nil {
		return 0, err
	}
	return r.nc.Read(p)
}

// Write sends a whole request. An error means that its last byte was not
// written, so that the server can't have begun it.
func (c *Conn) Write(wire []byte, limit time.Duration) error {
	if err := c.nc.SetWriteDeadline(c.world.Now().Add(limit)); err != nil {
		return err
	}
	_, err := c.nc.Write(wire)
	return err
}

// begin is Write for the beginning of a request.
func (c *Conn) begin(wire []byte, limit time.Duration) error {
	c.head.Store(len(wire) > 5 && string(wire[:5]) == "HEAD ")
	return c.Write(wire, limit)
}

// Read waits for an answer and skips what comes before the final one. An answer
// that is cut short or has no clear end is an error: nobody could tell it from
// a whole one. extra reports bytes behind it, after which the connection is of
// no use, though the answer is good.
func (c *Conn) Read(resp *fasthttp.Response) (extra bool, err error) {
	defer func() { c.begun = c.patience > 0 }()
	resp.Header.DisableNormalizing()
	for interim := 0; ; interim++ {
		if _, err := c.br.Peek(1); err != nil {
			return false, err
		}
		c.begun = true
		if err := c.clear(); err != nil {
			return false, err
		}
		if err := resp.Header.Read(c.br); err != nil { // it has come whole
			return false, fmt.Errorf("%w: %w", errSpoilt, err)
		}
		s := resp.StatusCode()
		if s >= 200 {
			break
		}
		if s < 100 || interim >= maxInterim {
			return false, errSpoilt
		}
		c.begun = c.br.Buffered() > 0 // the final one may take its time
	}
	if s := resp.StatusCode(); c.head.Load() || s == fasthttp.StatusNoContent || s == fasthttp.StatusNotModified {
		resp.SkipBody = true
		return c.br.Buffered() > 0, nil
	}
	length := resp.Header.ContentLength()
	if length == -2 && (!c.streams || !c.last || c.strict) { // one that breaks would look whole
		return false, fmt.Errorf("%w: a body without a length", errSpoilt)
	}
	if c.streams && (length < 0 || length > Held) {
		if err = c.long(resp, length); err != nil {
			return false, spoilt(err)
		}
		return !resp.IsBodyStream() && c.br.Buffered() > 0, nil
	}
	err = resp.ReadBody(c.br, MaxAnswer)
	if err == nil && length == -1 {
		err = resp.Header.ReadTrailer(c.br)
	}
	if err != nil {
		return false, spoilt(err)
	}
	return c.br.Buffered() > 0, nil
}

// spoilt tells what a connection brought from how it ended.
func spoilt(err error) error {
	var broken net.Error
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &broken) {
		return err
	}
	return fmt.Errorf("%w: %w", errSpoilt, err)
}

// clear waits for the next head, and reports one that tells two lengths: the
// library would follow one of them.
func (c *Conn) clear() error {
	for n := 1; ; n = c.br.Buffered() + 1 {
		if _, err := c.br.Peek(n); err != nil {
			return spoilt(err)
		}
		seen, _ := c.br.Peek(c.br.Buffered())
		if end := bytes.Index(seen, []byte("\r\n\r\n")); end >= 0 {
			if TwoLengths(seen[:end]) || c.strict && twoHeads(seen[:end]) {
				return errSpoilt
			}
			c.last = announces(seen[:end])
			return nil
		}
		if bytes.Contains(seen, []byte("\n\n")) {
			return errSpoilt
		}
	}
}

// TwoLengths reports whether a head has both Content-Length and
// Transfer-Encoding: whoever reads by the other one finds another message.
func TwoLengths(head []byte) bool {
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
func twoHeads(head []byte) bool {
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
func announces(head []byte) bool {
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
func (c *Conn) SetReadDeadline(t time.Time) { c.until = t }

// Close ends the connection, and with it an exchange under way.
func (c *Conn) Close() error { return c.nc.Close() }
