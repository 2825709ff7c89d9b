package transport

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
)

// clockHost is the real host with a clock that only a test moves.
type clockHost struct {
	hostenv.Host
	now time.Time
}

func (h *clockHost) Now() time.Time { return h.now }

// pausingConn is a connection to a server that pauses before each piece of what it sends. Time passes in reads only.
type pausingConn struct {
	net.Conn
	host     *clockHost
	pieces   [][]byte
	pause    time.Duration // before the next piece
	pauses   time.Duration // before each
	deadline time.Time
	closed   bool
}

func (c *pausingConn) SetReadDeadline(t time.Time) error { c.deadline = t; return nil }
func (c *pausingConn) Close() error                      { c.closed = true; return nil }

func (c *pausingConn) Read(p []byte) (int, error) {
	if len(c.pieces) == 0 {
		return 0, io.EOF
	}
	if left := c.deadline.Sub(c.host.now); !c.deadline.IsZero() && left < c.pause {
		left = max(left, 0)
		c.host.now, c.pause = c.host.now.Add(left), c.pause-left
		return 0, os.ErrDeadlineExceeded
	}
	c.host.now, c.pause = c.host.now.Add(c.pause), c.pauses
	n := copy(p, c.pieces[0])
	if c.pieces[0] = c.pieces[0][n:]; len(c.pieces[0]) == 0 {
		c.pieces = c.pieces[1:]
	}
	return n, nil
}

// TestServerPausesInResponse guards against a response that was broken off, and answered in the server's place, because its server
// paused for over 0.5 s in the middle of it (10 s in a long one): only the request's own deadline ends it.
func TestServerPausesInResponse(t *testing.T) {
	const pause = 20 * time.Second
	body := strings.Repeat("body of the answer. ", 5000)
	for _, c := range []struct {
		name, text, body string
		deadline         time.Duration // of the request
		ok               bool
	}{
		{"by length", "Content-Length: 20\r\n\r\n" + body[:20], body[:20], time.Hour, true},
		{"in chunks", "Transfer-Encoding: chunked\r\n\r\n14\r\n" + body[:20] + "\r\n0\r\n\r\n", body[:20], time.Hour, true},
		{"streamed by length", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), body, time.Hour, true},
		{"streamed in chunks", fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body), body, time.Hour, true},
		{"streamed beyond the deadline", fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), body, 2 * pause, false},
	} {
		host := &clockHost{hostenv.Real, time.Unix(1000, 0)}
		began := host.now
		nc := &pausingConn{host: host, pause: pause, pauses: pause}
		wire := []byte("HTTP/1.1 200 OK\r\n" + c.text)
		for _, end := range []int{10, len(wire) / 3, len(wire) / 2, len(wire) - 12, len(wire)} {
			nc.pieces = append(nc.pieces, wire[len(bytes.Join(nc.pieces, nil)):end])
		}
		conn := newConn(host, nc)
		conn.allowStreams = true
		resp := fasthttp.AcquireResponse()
		_, err := conn.Read(resp)
		var got []byte
		if stream, ok := resp.BodyStream().(*streamedBody); ok {
			stream.deadline = began.Add(c.deadline)
			got, err = io.ReadAll(stream)
		} else {
			got = resp.Body()
		}
		if (err == nil) != c.ok || c.ok && string(got) != c.body || !c.ok && !nc.closed {
			t.Errorf("%s: %d bytes after %v: %v", c.name, len(got), host.now.Sub(began), err)
		}
	}
}

// TestSilentStreamEnds: beyond its request's deadline a stream may go on, as long as its server sends something.
func TestSilentStreamEnds(t *testing.T) {
	now := time.Unix(1000, 0)
	for left, want := range map[time.Duration]time.Duration{time.Minute: time.Minute, time.Second: streamStallTimeout, -time.Minute: streamStallTimeout} {
		b := &streamedBody{deadline: now.Add(left)}
		if got := b.readUntil(now).Sub(now); got != want {
			t.Errorf("%v before the deadline: %v, want %v", left, got, want)
		}
	}
}

// TestUnsolicitedBytesEndConnection: bytes that arrive while no request is in progress belong to none. The connection does not wait
// for the rest of them, since the next request would be written behind them.
func TestUnsolicitedBytesEndConnection(t *testing.T) {
	here, there := net.Pipe()
	conn := newConn(nil, here)
	conn.rejectUnsolicited = true
	go there.Write([]byte("HTTP"))
	resp := fasthttp.AcquireResponse()
	if _, err := conn.Read(resp); err != errUnsolicited {
		t.Error(err)
	}
}

// TestSlowWriteIsContinued guards against a request that was given up, though its server may have begun to run it, because the server
// did not read it within 50 ms.
func TestSlowWriteIsContinued(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nContent-Length: 48\r\n\r\n"
	wire := head + strings.Repeat("body ", 10)[:48]
	for _, later := range []Upload{nil, &pieces{[]string{"first ", "second"}}} {
		p, got := newTestPeer(0)
		p.opt.ConnLimit.acquire()
		p.inbox = mailbox.NewBox[any](hostenv.Real)
		nc := &writeConn{}
		pc := &peerConn[int]{conn: newConn(nil, nc), open: true}
		p.write(pc, &exchange[int]{key: 3, wire: []byte(wire), note: uploadNote{later}})
		if len(*got) != 0 || !pc.open || p.busy[3] != pc {
			t.Fatalf("%+v, open %v", *got, pc.open)
		}
		m := p.inbox.Take(-1)
		if u, ok := m[0].(uploaded[int]); !ok || !u.complete {
			t.Errorf("%+v", m[0])
		}
		want := wire
		if later != nil {
			want += "first second"
		}
		if string(nc.written) != want {
			t.Errorf("written: %q", nc.written)
		}
	}
}

// uploadNote is a note with an upload.
type uploadNote struct{ upload Upload }

func (n uploadNote) Upload() Upload { return n.upload }

// pieces is an upload in pieces.
type pieces struct{ left []string }

func (p *pieces) Next() ([]byte, bool, error) {
	next := p.left[0]
	p.left = p.left[1:]
	return []byte(next), len(p.left) == 0, nil
}

func (p *pieces) Stop() {}

// stalledConn is a connection whose peer takes nothing; it notes until when it was waited for.
type stalledConn struct {
	net.Conn
	host     *clockHost
	deadline time.Time
}

func (c *stalledConn) SetWriteDeadline(t time.Time) error { c.deadline = t; return nil }

func (c *stalledConn) Write([]byte) (int, error) {
	c.host.now = c.deadline
	return 0, os.ErrDeadlineExceeded
}

// TestSlowReaderHasUntilDeadline guards against a response that was cut off after 5 s, because its client read nothing meanwhile,
// though the request's deadline was later.
func TestSlowReaderHasUntilDeadline(t *testing.T) {
	for left, want := range map[time.Duration]time.Duration{time.Minute: time.Minute, time.Second: writeTimeout, 0: writeTimeout} {
		host := &clockHost{hostenv.Real, time.Unix(1000, 0)}
		began := host.now
		c := &ClientConn{Conn: &stalledConn{host: host}, listener: &Listener{host: host}}
		if left > 0 {
			c.SetAnswerDeadline(began.Add(left))
		}
		_, err := c.Write([]byte("response"))
		if waited := host.now.Sub(began); err == nil || waited != want+minExtension {
			t.Errorf("%v before the deadline: cut off after %v, want %v: %v", left, waited, want+minExtension, err)
		}
	}
}
