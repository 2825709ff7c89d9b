package transport

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// identifiedNote is a note whose responses repeat its ID in a header.
type identifiedNote struct {
	name  string
	trips ConnHistory
}

func (n *identifiedNote) Matches(a *fasthttp.Response) bool {
	return string(a.Header.Peek("X-Name")) == n.name
}
func (n *identifiedNote) UsedConns() *ConnHistory { return &n.trips }

func newTestPeer(bug Bug) (*Peer[int], *[]Result[int]) {
	got := new([]Result[int])
	return &Peer[int]{opt: PeerOptions{Host: hostenv.Real, ConnLimit: NewConnLimit(9), IdleTimeout: NewIdleTimeout(time.Hour), Bug: bug}, busy: map[int]*peerConn[int]{},
		onResult: func(r Result[int]) { *got = append(*got, r) }}, got
}

func openLink(number uint64) *peerConn[int] {
	here, there := net.Pipe()
	go io.Copy(io.Discard, there)
	return &peerConn[int]{conn: newConn(nil, here), open: true, idleSince: time.Now().Add(-time.Second), number: number}
}

// A response with another request's ID, or without one, is invalid and closes its connection.
// With the matching ID it is accepted, and the connection stays open.
func TestForeignResponse(t *testing.T) {
	for name, want := range map[string]Outcome{"mine": Answered, "yours": Invalid, "": Invalid} {
		for _, bug := range []Bug{0, BugAcceptForeign} {
			p, got := newTestPeer(bug)
			l := openLink(1)
			p.write(l, &exchange[int]{key: 3, wire: []byte("GET / HTTP/1.1\r\n\r\n"), note: &identifiedNote{name: "mine"}})
			resp := fasthttp.AcquireResponse()
			resp.Header.DisableNormalizing()
			if name != "" {
				resp.Header.Set("X-Name", name)
			}
			p.handleResponse(responseRead[int]{conn: l, resp: resp})
			if bug == BugAcceptForeign {
				want = Answered
			}
			if len(*got) != 1 || (*got)[0].Outcome != want || l.open != (want == Answered) || len(p.busy) != 0 {
				t.Errorf("%q, bug %d: %+v, open %v", name, bug, *got, l.open)
			}
		}
	}
}

// A streamed response to another request is discarded with its connection.
func TestForeignStream(t *testing.T) {
	p, got := newTestPeer(0)
	l := openLink(1)
	p.write(l, &exchange[int]{key: 3, wire: []byte("GET / HTTP/1.1\r\n\r\n"), note: &identifiedNote{name: "mine"}})
	resp, b := fasthttp.AcquireResponse(), &streamedBody{conn: l.conn, remaining: 1 << 20, done: hostenv.Real.NewNotifier()}
	resp.SetBodyStream(b, 1<<20)
	p.handleResponse(responseRead[int]{conn: l, resp: resp, stream: true})
	if len(*got) != 1 || (*got)[0].Outcome != Invalid || l.open || p.streams != 1 || !b.done.Wait(0) || b.err == nil {
		t.Errorf("%+v, open %v, streams %d, body %v", *got, l.open, p.streams, b.err)
	}
}

// Attempts with one ID use a connection at most once: the next attempt takes another, and the
// connection stays available to other requests.
func TestIDUsesConnectionOnce(t *testing.T) {
	for bug, want := range map[Bug]int{0: 0, BugReuseConn: 1} {
		p, _ := newTestPeer(bug)
		was, other := openLink(7), openLink(8)
		n := &identifiedNote{name: "a"}
		n.trips.add(was.number)
		p.idle = []*peerConn[int]{other, was} // the newest last
		p.send(&exchange[int]{key: 1, wire: []byte("GET / HTTP/1.1\r\n\r\n"), note: n})
		if took := p.busy[1]; took != []*peerConn[int]{other, was}[want] || len(p.idle) != 1 || !was.open {
			t.Errorf("bug %d: took %p of %p and %p", bug, took, other, was)
		}
		p.send(&exchange[int]{key: 2, wire: []byte("GET / HTTP/1.1\r\n\r\n"), note: &identifiedNote{name: "b"}})
		if len(p.idle) != 0 || p.busy[2] == nil {
			t.Errorf("bug %d: another request does not use the remaining connection", bug)
		}
	}
}

// In strict mode a body delimited by the end of the connection is rejected even with
// Connection: close, and so is a header that contains another status line.
func TestStrict(t *testing.T) {
	for text, body := range map[string]string{
		"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nsome":                                                   "some",
		"HTTP/1.1 421 MisdHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                      "",
		"HTTP/1.1 503 Service Unavailable\r\nX-Not-Executed: 1HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx": "x",
		"HTTP/1.1 421 HTTP/1.HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n":                                   "",
	} {
		for strict, want := range map[bool]error{false: nil, true: errInvalidResponse} {
			c, resp := connReading(t, text), fasthttp.AcquireResponse()
			c.allowStreams, c.strict = true, strict
			if _, err := c.Read(resp); !errors.Is(err, want) || want == nil && string(resp.Body()) != body {
				t.Errorf("%.30q, strict %v: %v %q", text, strict, err, resp.Body())
			}
		}
	}
	for _, text := range []string{"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 front\r\nUpgrade: HTTP/1.\r\nContent-Length: 0\r\n\r\n"} {
		c := connReading(t, text)
		c.allowStreams, c.strict = true, true
		if _, err := c.Read(fasthttp.AcquireResponse()); err != nil {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// connReading returns a connection whose server sends text and closes it. It is a socket: a net.Pipe whose other end has
// been closed refuses deadlines, before its reader can see the end.
func connReading(t *testing.T, text string) *Conn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	here, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { here.Close() })
	there, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(there, text)
	there.Close()
	return newConn(nil, here)
}
