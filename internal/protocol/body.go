package protocol

import (
	"errors"
	"io"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
	"asterwell/internal/transport"
)

// pieceSize is how many bytes of a body are read and sent at a time, without framing.
const pieceSize = 16 << 10

// bodyError is the status to answer a client's invalid or incomplete body with.
type bodyError int

func (e bodyError) Error() string { return "body: " + fasthttp.StatusMessage(int(e)) }

const errBodyTooLarge = bodyError(fasthttp.StatusRequestEntityTooLarge)

// readBody buffers the first part of a request's body, and leaves the remainder to an
// upload. length is that of the whole body; -1: unknown.
func readBody(ctx *fasthttp.RequestCtx, maxBody int) (buffered []byte, remainder *bodyUpload, length int, err error) {
	if !ctx.Request.IsBodyStream() {
		body := append([]byte(nil), ctx.Request.Body()...)
		if len(body) > maxBody {
			return nil, nil, 0, errBodyTooLarge
		}
		return body, nil, len(body), nil
	}
	length = ctx.Request.Header.ContentLength()
	if length > maxBody {
		return nil, nil, 0, errBodyTooLarge
	}
	c, _ := ctx.Conn().(*transport.ClientConn)
	if c != nil {
		c.Pace(nil)
	}
	body := ctx.RequestBodyStream()
	if length >= 0 {
		body = &announcedBody{body, length}
	}
	switch {
	case length >= 0 && length <= transport.MaxBuffered:
		if buffered, err = readAnnounced(body, length); err == nil {
			return buffered, nil, length, nil
		}
	case length < 0:
		buffered, err = io.ReadAll(io.LimitReader(body, transport.MaxBuffered+1))
		if err == nil && len(buffered) > maxBody {
			err = errBodyTooLarge
		}
		if err == nil && len(buffered) <= transport.MaxBuffered {
			return buffered, nil, len(buffered), nil
		}
	}
	if err != nil {
		return nil, nil, 0, incompleteBody(err)
	}
	host := hostenv.Real
	if c != nil {
		host = c.Host()
	}
	return buffered, &bodyUpload{body: body, chunked: length < 0, remaining: length, total: len(buffered), maxBody: maxBody, host: host, pieceReady: host.NewNotifier()}, length, nil
}

// provenSize is how much of a body must have arrived before the whole is allocated: clients that announce a body and send none
// hold little memory.
const provenSize = 16 << 10

// readAnnounced reads a whole body of a known length.
func readAnnounced(body io.Reader, length int) ([]byte, error) {
	buffered := make([]byte, min(length, provenSize))
	if _, err := io.ReadFull(body, buffered); err != nil || len(buffered) == length {
		return buffered, err
	}
	whole := make([]byte, length)
	proven := copy(whole, buffered)
	_, err := io.ReadFull(body, whole[proven:])
	return whole, err
}

// announcedBody is a body of an announced length. The HTTP library ends one with io.EOF even if the connection ended early;
// this ends it with io.ErrUnexpectedEOF then.
type announcedBody struct {
	io.Reader
	remaining int
}

func (b *announcedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if b.remaining -= n; err == io.EOF && b.remaining > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// incompleteBody returns the error for a body that did not arrive completely.
func incompleteBody(err error) error {
	var failure bodyError
	if errors.As(err, &failure) {
		return failure
	}
	var timeout interface{ Timeout() bool }
	if errors.As(err, &timeout) && timeout.Timeout() {
		return bodyError(fasthttp.StatusRequestTimeout)
	}
	return bodyError(fasthttp.StatusBadRequest)
}

// bodyUpload streams the remainder of a body. The client's goroutine reads a piece when the
// goroutine that writes to the server requests it; at most one piece is buffered.
type bodyUpload struct {
	body       io.Reader
	chunked    bool
	remaining  int // bytes not yet read, if the length is known
	total      int // bytes read, the buffered ones included
	maxBody    int
	host       hostenv.Host
	pieceReady hostenv.Notifier // notifies the writer
	wakeClient func()           // wakes the client's goroutine
	limit      time.Duration
	onPiece    func(piece []byte, last bool) // receives each piece; may be nil

	complete bool        // the client's goroutine has read the whole body
	started  atomic.Bool // the body is being consumed, so the request can't be sent again
	mu       sync.Mutex
	want     bool
	piece    []byte
	last     bool
	err      error
}

// Next is called by the writer to the server.
func (u *bodyUpload) Next() ([]byte, bool, error) {
	u.mu.Lock()
	u.want, u.piece = true, nil
	u.mu.Unlock()
	u.wakeClient()
	for {
		u.mu.Lock()
		piece, last, err := u.piece, u.last, u.err
		u.mu.Unlock()
		if err != nil || piece != nil {
			return piece, last, err
		}
		u.pieceReady.Wait(-1)
	}
}

// consumedUpload is the upload of a second attempt: the first one has consumed the body.
type consumedUpload struct{}

var errBodyConsumed = errors.New("the body has already been sent to another server")

func (consumedUpload) Next() ([]byte, bool, error) { return nil, false, errBodyConsumed }
func (consumedUpload) Stop()                       {}

// Stop cancels the upload on both sides.
func (u *bodyUpload) Stop() { u.fail(transport.ErrStopped) }

func (u *bodyUpload) fail(err error) {
	u.mu.Lock()
	if u.err == nil {
		u.err = err
	}
	u.mu.Unlock()
	u.pieceReady.Notify()
	if u.wakeClient != nil {
		u.wakeClient()
	}
}

func (u *bodyUpload) wanted() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.want || u.err != nil
}

func (u *bodyUpload) stopped() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.err != nil
}

// readFrom reads the client's body, on the client's goroutine, until it has been delivered
// completely or done returns true. It reports progress through onProgress, and returns an error if the
// client disconnects or is too slow, or the body is invalid or too long.
func (u *bodyUpload) readFrom(c *transport.ClientConn, done func() bool, onProgress func()) error {
	const headerSpace = 16 // bytes reserved for a chunk header
	buf := make([]byte, headerSpace+pieceSize+2+5)
	stop := func() bool { return done() || u.stopped() }
	var lastProgress time.Time
	for {
		if !c.Await(func() bool { return u.wanted() || done() }) {
			u.fail(io.ErrUnexpectedEOF)
			return io.ErrUnexpectedEOF
		}
		if stop() {
			return nil
		}
		c.Pace(stop)
		n, err := u.body.Read(buf[headerSpace : headerSpace+pieceSize])
		u.total += n
		if u.total > u.maxBody {
			err = errBodyTooLarge
		}
		last := err == io.EOF
		if err != nil && !last {
			if stop() {
				return nil
			}
			u.fail(err)
			return err
		}
		if u.remaining -= n; !u.chunked && u.remaining == 0 {
			last = true
		}
		if n == 0 && !last {
			continue
		}
		piece := u.frame(buf, headerSpace, n, last)
		u.complete = last
		if u.onPiece != nil {
			u.onPiece(piece, last)
		}
		u.deliver(piece, last)
		if now := u.host.Now(); last || now.Sub(lastProgress) > progressInterval {
			lastProgress = now
			onProgress()
		}
		if last {
			return nil
		}
	}
}

// progressInterval is how often the core is told about body progress.
const progressInterval = 200 * time.Millisecond

func (u *bodyUpload) deliver(piece []byte, last bool) {
	u.mu.Lock()
	u.piece, u.last, u.want = piece, last, false
	u.mu.Unlock()
	u.pieceReady.Notify()
}

// frame adds the chunk framing to the n bytes read into buf at offset at.
func (u *bodyUpload) frame(buf []byte, start, n int, last bool) []byte {
	if !u.chunked {
		return buf[start : start+n]
	}
	end := start + n
	if n > 0 {
		head := strconv.AppendInt(nil, int64(n), 16)
		head = append(head, '\r', '\n')
		start -= copy(buf[start-len(head):], head)
		end += copy(buf[end:], "\r\n")
	}
	if last {
		end += copy(buf[end:], "0\r\n\r\n")
	}
	return buf[start:end]
}
