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
	Held      = 64 << 10 // a message up to this is kept whole before it is passed on
	MaxStream = 64 << 20 // its body
	piece     = 16 << 10 // in hand at a time
	stuck     = 10 * time.Second
)

// body is an answer's, read as it comes. Its reader owns the connection until its end.
type body struct {
	conn  *Conn
	left  int64 // of the body, or of the chunk
	chunk bool
	close bool // it ends with the connection
	total int64
	first []byte // read already, while it might have been short
	err   error  // it has ended
	bell  hostenv.Notifier
}

var errTooLong = errors.New("longer than any answer may be")

// Read takes what has come. A body that is cut short ends with an error other than EOF.
func (b *body) Read(p []byte) (int, error) {
	if b.err != nil {
		return 0, b.err
	}
	if len(b.first) > 0 {
		n := copy(p, b.first)
		b.first = b.first[n:]
		return n, nil
	}
	n, err := b.read(p)
	if b.total += int64(n); b.total > MaxStream {
		err = errTooLong
	}
	if err == nil && !b.chunk && !b.close && b.left == 0 {
		err = io.EOF
	}
	if err != nil {
		b.end(err)
	}
	return n, err
}

func (b *body) read(p []byte) (int, error) {
	if b.chunk && b.left == 0 {
		if err := b.next(); err != nil {
			return 0, err
		}
	}
	if b.close {
		return b.conn.br.Read(p)
	}
	n, err := b.conn.br.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	if err == nil && b.chunk && b.left == 0 {
		err = crlf(b.conn.br)
	}
	return n, err
}

// next reads the head of a chunk, and what is behind the last one.
func (b *body) next() error {
	line, err := b.conn.br.ReadSlice('\n')
	if err != nil {
		return cut(err)
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	if err != nil {
		return errSpoilt
	}
	if b.left = int64(n); n > 0 {
		return nil
	}
	for most := maxHead; ; { // trailers end here
		line, err := b.conn.br.ReadSlice('\n')
		if most -= len(line); err != nil || most < 0 {
			return cut(cmp.Or(err, errSpoilt))
		}
		if len(bytes.TrimRight(line, "\r\n")) == 0 {
			return io.EOF
		}
	}
}

func crlf(br *bufio.Reader) error {
	for _, want := range []byte("\r\n") {
		if c, err := br.ReadByte(); err != nil {
			return cut(err)
		} else if c != want {
			return errSpoilt
		}
	}
	return nil
}

// cut makes sure that an early end is not taken for an end.
func cut(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// end gives the connection back, or closes it if the body is not at its end.
func (b *body) end(err error) {
	b.err = err
	b.conn.begun, b.conn.patience = false, 0
	if err != io.EOF {
		b.conn.Close()
	}
	if b.bell != nil {
		b.bell.Notify()
	}
}

// Close gives up what has not been read.
func (b *body) Close() error {
	if b.err == nil {
		b.end(io.ErrClosedPipe)
	}
	return nil
}

// long reads a body that may stream. One that turns out to be short is kept whole.
func (c *Conn) long(resp *fasthttp.Response, length int) error {
	b := &body{conn: c, left: int64(length)}
	if length > MaxStream {
		return errSpoilt
	}
	if length < 0 {
		b.left, b.chunk, b.close = 0, length == -1, length < -1
		length = -1
		for buf := make([]byte, 4096); len(b.first) <= Held; {
			n, err := b.read(buf)
			b.first = append(b.first, buf[:n]...)
			if err == io.EOF {
				resp.SetBody(b.first)
				return nil
			}
			if err != nil {
				return err
			}
		}
		b.total = int64(len(b.first))
	}
	c.patience = stuck
	b.bell = c.world.NewNotifier()
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
	link  *link[K]
	order *order[K]
	whole bool
}

// upload writes what follows a request's beginning.
func (p *Peer[K]) upload(l *link[K], o *order[K], up Upload) {
	p.uploads++
	l.uploads = up
	p.opt.World.Go(func() {
		for {
			piece, last, err := up.Next()
			if err == nil {
				if last {
					o.whole.Store(true) // from here on the server may have it all
				}
				err = l.conn.Write(piece, stuck)
			}
			if err != nil || last {
				if err != nil && err != ErrStopped {
					up.Stop()
					l.conn.Close() // a server must not take it for whole
				}
				p.box.Put(uploaded[K]{l, o, err == nil})
				return
			}
		}
	})
}

func (p *Peer[K]) uploaded(m uploaded[K]) {
	p.uploads--
	if m.link.uploads = nil; m.whole && p.opt.Wrote != nil {
		p.opt.Wrote(m.order.note)
	}
}

// streamed takes a connection back whose answer has been read by whoever it belonged to.
type streamed[K comparable] struct {
	link  *link[K]
	again bool // it can carry another exchange
}

func (p *Peer[K]) streamed(m streamed[K]) {
	if p.streams--; !m.again || m.link.half {
		p.close(m.link)
	} else if m.link.open {
		p.free(m.link)
	}
}
