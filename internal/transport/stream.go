package transport

import (
	"bufio"
	"bytes"
	"cmp"
	"errors"
	"io"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// Bounds of what streams.
const (
	MaxBuffered        = 64 << 10 // a message up to this is kept whole before it is passed on
	MaxStream          = 64 << 20 // its body
	pieceSize          = 16 << 10 // in hand at a time
	streamStallTimeout = 10 * time.Second
)

// body is an answer's, read as it comes. Its reader owns the connection until its end.
type streamedBody struct {
	conn       *Conn
	remaining  int64 // of the body, or of the chunk
	chunked    bool
	untilClose bool // it ends with the connection
	received   int64
	prefix     []byte // read already, while it might have been short
	err        error  // it has ended
	done       hostenv.Notifier
}

var errBodyTooLong = errors.New("longer than any answer may be")

// Read takes what has come. A body that is cut short ends with an error other than EOF.
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
	return n, err
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

// next reads the head of a chunk, and what is behind the last one.
func (b *streamedBody) readChunkHeader() error {
	line, err := b.conn.br.ReadSlice('\n')
	if err != nil {
		return unexpectedEOF(err)
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	if err != nil {
		return errInvalidResponse
	}
	if b.remaining = int64(n); n > 0 {
		return nil
	}
	for most := maxHeaderBytes; ; { // trailers end here
		line, err := b.conn.br.ReadSlice('\n')
		if most -= len(line); err != nil || most < 0 {
			return unexpectedEOF(cmp.Or(err, errInvalidResponse))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return io.EOF
		}
	}
}

func expectCRLF(br *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		if c, err := br.ReadByte(); err != nil {
			return unexpectedEOF(err)
		} else if c != want {
			return errInvalidResponse
		}
	}
	return nil
}

// cut makes sure that an early end is not taken for an end.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// end gives the connection back, or closes it if the body is not at its end.
func (b *streamedBody) finish(err error) {
	b.err = err
	b.conn.responseStarted, b.conn.stallTimeout = false, 0
	if err != io.EOF {
		b.conn.Close()
	}
	if b.done != nil {
		b.done.Notify()
	}
}

// Close gives up what has not been read.
func (b *streamedBody) Close() error {
	if b.err == nil {
		b.finish(io.ErrClosedPipe)
	}
	return nil
}

// long reads a body that may stream. One that turns out to be short is kept whole.
func (c *Conn) readLongBody(resp *fasthttp.Response, length int) error {
	b := &streamedBody{conn: c, remaining: int64(length)}
	if length > MaxStream {
		return errInvalidResponse
	}
	if length < 0 {
		b.remaining, b.chunked, b.untilClose = 0, length == -1, length < -1
		length = -1
		for buf := make([]byte, 4096); len(b.prefix) <= MaxBuffered; {
			n, err := b.read(buf)
			b.prefix = append(b.prefix, buf[:n]...)
			if err == io.EOF {
				resp.SetBody(b.prefix)
				return nil
			}
			if err != nil {
				return err
			}
		}
		b.received = int64(len(b.prefix))
	}
	c.stallTimeout = streamStallTimeout
	b.done = c.host.NewNotifier()
	resp.SetBodyStream(b, length)
	return nil
}

// Upload is the rest of a request's body, framed as it goes on the wire.
type Upload interface {
	// Next waits for a piece, which is the caller's until the next call.
	Next() (piece []byte, last bool, err error)
	Stop() // nothing more is wanted: Next returns ErrStopped
}

// ErrStopped is what an upload ends with that is not wanted any more.
var ErrStopped = errors.New("stopped")

// Uploader is a note of an exchange whose request may go on behind what Send was given.
type Uploader interface{ Upload() Upload } // nil: it does not

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

// upload writes what follows a request's beginning.
func (p *Peer[K]) upload(l *peerConn[K], o *exchange[K], up Upload) {
	p.uploads++
	l.upload = up
	p.opt.Host.Go(func() {
		for {
			piece, last, err := up.Next()
			if err == nil {
				if last {
					o.sent.Store(true) // from here on the server may have it all
				}
				err = l.conn.Write(piece, streamStallTimeout)
			}
			if err != nil || last {
				if err != nil && err != ErrStopped {
					up.Stop()
					l.conn.Close() // a server must not take it for whole
				}
				p.inbox.Put(uploaded[K]{l, o, err == nil})
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

// streamed takes a connection back whose answer has been read by whoever it belonged to.
type streamed[K comparable] struct {
	conn     *peerConn[K]
	reusable bool // it can carry another exchange
}

func (p *Peer[K]) handleStreamed(m streamed[K]) {
	if p.streams--; !m.reusable || m.conn.incomplete {
		p.close(m.conn)
	} else if m.conn.open {
		p.release(m.conn)
	}
}
