package transport

import (
	"errors"
	"io"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// Limits of streamed messages.
const (
	MaxBuffered        = 64 << 10         // bodies up to this size are buffered before they are forwarded
	MaxStream          = 64 << 20         // bytes of a streamed body
	pieceSize          = 16 << 10         // bytes read and written at a time
	streamStallTimeout = 10 * time.Second // without a byte of a response, once the request's own time is over
)

// streamedBody is a response body read as it arrives. Its reader owns the connection until
// the body ends.
type streamedBody struct {
	conn       *Conn
	deadline   time.Time // of the request
	remaining  int64     // bytes of the body, or of the current chunk
	chunked    bool
	untilClose bool // the end of the connection ends the body
	received   int64
	prefix     []byte // read ahead, to find out whether the body is short
	err        error  // non-nil once the body has ended
	done       hostenv.Notifier
	end        atomic.Int32 // a streamEnd
}

// streamEnd tells who ended a stream: only the first may, since the connection may carry another exchange after that.
type streamEnd = int32

const (
	streamOpen streamEnd = iota
	streamFinished
	streamAborted
)

var errStreamAborted = errors.New("the client has left")

var errBodyTooLong = errors.New("response body exceeds the limit")

// Read returns what has arrived. A truncated body ends with an error other than io.EOF.
func (b *streamedBody) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(b.prefix) > 0 {
		n := copy(p, b.prefix)
		b.prefix = b.prefix[n:]
		return n, nil
	}
	n, err := b.read(p)
	if b.received += int64(n); b.received > MaxStream {
		err = errBodyTooLong
	}
	if err == nil && !b.chunked && !b.untilClose && b.remaining == 0 {
		err = io.EOF
	}
	if err != nil {
		b.finish(err)
	}
	return n, b.err
}

func (b *streamedBody) read(p []byte) (int, error) {
	if b.chunked && b.remaining == 0 {
		if err := b.readChunkHeader(); err != nil {
			return 0, err
		}
	}
	if b.untilClose {
		return b.conn.br.Read(p)
	}
	n, err := b.conn.br.Read(p[:min(int64(len(p)), b.remaining)])
	b.remaining -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && b.chunked && b.remaining == 0 {
		err = expectCRLF(b.conn.br)
	}
	return n, err
}

// unexpectedEOF keeps a premature end from being taken for the end of the body.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// readUntil returns how long the server may be silent from now on. Its silence never ends a response before the request's
// deadline. Beyond it a response that makes progress may go on.
func (b *streamedBody) readUntil(now time.Time) time.Time {
	until := now.Add(streamStallTimeout)
	if b.deadline.After(until) {
		return b.deadline
	}
	return until
}

// finish returns the connection, or closes it if the body is incomplete.
func (b *streamedBody) finish(err error) {
	if !b.end.CompareAndSwap(streamOpen, streamFinished) && err == io.EOF {
		err = errStreamAborted
	}
	b.err = err
	b.conn.stream = nil
	if err != io.EOF {
		b.conn.Close()
	}
	if b.done != nil {
		b.done.Notify()
	}
}

// Abort ends the stream from another goroutine than that of its reader: nobody waits for the rest.
func (b *streamedBody) Abort() {
	if b.end.CompareAndSwap(streamOpen, streamAborted) {
		b.conn.Close()
	}
}

// Close discards the unread part.
func (b *streamedBody) Close() error {
	if b.err == nil {
		b.finish(io.ErrClosedPipe)
	}
	return nil
}

// The HTTP library's signs for bodies whose length the header doesn't tell.
const (
	lengthChunked = -1
	lengthNone    = -2 // the end of the connection ends it
)

// readLongBody reads a body that may be streamed. One that turns out to be short is buffered.
func (c *Conn) readLongBody(resp *fasthttp.Response, length int) error {
	b := &streamedBody{conn: c, remaining: int64(length)}
	if length > MaxStream {
		return errInvalidResponse
	}
	if length < 0 {
		b.remaining, b.chunked, b.untilClose = 0, length == lengthChunked, length == lengthNone
		length = lengthChunked
		if whole, err := b.buffer(MaxBuffered); err != nil || whole {
			resp.SetBody(b.prefix)
			return err
		}
		b.received = int64(len(b.prefix))
	}
	c.stream = b
	b.done = c.host.NewNotifier()
	resp.SetBodyStream(b, length)
	return nil
}

// readChunkedBody reads a whole body in chunks, of at most limit bytes.
func (c *Conn) readChunkedBody(resp *fasthttp.Response, limit int) error {
	b := &streamedBody{conn: c, chunked: true}
	whole, err := b.buffer(limit)
	if err == nil && !whole {
		err = errBodyTooLong
	}
	resp.SetBody(b.prefix)
	return err
}

// buffer reads ahead until there are more than limit bytes, and reports whether the body has ended before.
func (b *streamedBody) buffer(limit int) (whole bool, err error) {
	for buf := make([]byte, 4096); len(b.prefix) <= limit; {
		n, err := b.read(buf)
		b.prefix = append(b.prefix, buf[:n]...)
		if err == io.EOF {
			return true, nil
		}
		if err != nil {
			return false, err
		}
	}
	return false, nil
}

// Upload is the remainder of a request body, in its wire framing.
type Upload interface {
	// Next waits for a piece, which is valid until the next call.
	Next() (piece []byte, last bool, err error)
	Stop() // cancels the upload: Next returns ErrStopped
}

// ErrStopped is returned by a cancelled upload.
var ErrStopped = errors.New("stopped")

// remainder is what is left of a request: bytes that the connection did not take at once, then another upload.
type remainder struct {
	rest []byte
	next Upload // nil: nothing follows
}

func (r *remainder) Next() (piece []byte, last bool, err error) {
	if r.rest != nil {
		piece, r.rest = r.rest, nil
		return piece, r.next == nil, nil
	}
	return r.next.Next()
}

func (r *remainder) Stop() {
	if r.next != nil {
		r.next.Stop()
	}
}

// Uploader is a note of an exchange whose request may continue after the bytes given to Send.
type Uploader interface{ Upload() Upload } // nil: nothing follows

func uploadOf(note any) Upload {
	if u, ok := note.(Uploader); ok {
		return u.Upload()
	}
	return nil
}

type uploaded[K comparable] struct {
	conn     *peerConn[K]
	exchange *exchange[K]
	complete bool
}

// upload writes the remainder of a request. A server that doesn't read is waited for until the exchange ends, which closes
// the connection.
func (p *Peer[K]) upload(pc *peerConn[K], ex *exchange[K], up Upload) {
	p.uploads++
	pc.upload = up
	p.opt.Host.Go(func() {
		for {
			piece, last, err := up.Next()
			if err == nil {
				err = pc.conn.Write(piece, noLimit)
			}
			if err != nil || last {
				if err != nil && err != ErrStopped {
					up.Stop()
					pc.conn.Close() // the server must not take the request for complete
				}
				p.inbox.Put(uploaded[K]{pc, ex, err == nil})
				return
			}
		}
	})
}

func (p *Peer[K]) handleUploaded(m uploaded[K]) {
	p.uploads--
	if m.conn.upload = nil; m.complete && p.opt.OnSent != nil {
		p.opt.OnSent(m.exchange.note)
	}
}

// streamed returns a connection whose streamed response has been read.
type streamed[K comparable] struct {
	conn     *peerConn[K]
	reusable bool // the connection can carry another exchange
}

func (p *Peer[K]) handleStreamed(m streamed[K]) {
	if p.streams--; !m.reusable || m.conn.incomplete {
		p.close(m.conn)
	} else if m.conn.open {
		p.release(m.conn)
	}
}
