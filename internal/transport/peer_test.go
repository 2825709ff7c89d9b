package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// A failed write closes the connection. The request never ran if its header was not written; a server that has the header may have
// begun before it had the body.
func TestConnectionLostWhileWriting(t *testing.T) {
	const head = "GET / HTTP/1.1\r\n\r\n"
	for _, c := range []struct {
		wire    string
		read    int
		outcome Outcome
	}{{head, 0, NotSent}, {head, 10, NotSent}, {head + "body", len(head) - 1, NotSent}, {head + "body", len(head), ConnectionLost}, {head + "body", len(head) + 2, ConnectionLost}} {
		here, there := net.Pipe()
		go func() {
			io.ReadFull(there, make([]byte, c.read))
			there.Close()
		}()
		var got []Result[int]
		p := &Peer[int]{opt: PeerOptions{Host: hostenv.Real, ConnLimit: NewConnLimit(1)}, busy: map[int]*peerConn[int]{},
			onResult: func(r Result[int]) { got = append(got, r) }}
		p.opt.ConnLimit.acquire()
		l := &peerConn[int]{conn: newConn(nil, here), open: true}
		p.write(l, &exchange[int]{key: 3, wire: []byte(c.wire)})
		if len(got) != 1 || got[0].Key != 3 || got[0].Outcome != c.outcome || l.open || len(p.busy) != 0 || p.opt.ConnLimit.Used() != 0 {
			t.Errorf("%d bytes of %q read: %+v, open %v", c.read, c.wire, got, l.open)
		}
	}
}

// A connection may receive extra bytes right after a response: the next request takes
// another one, the most recent that has been quiet for settleTime.
func TestConnectionsSettle(t *testing.T) {
	p := &Peer[int]{opt: PeerOptions{Host: hostenv.Real, ConnLimit: NewConnLimit(9), IdleTimeout: NewIdleTimeout(time.Hour / 2)}, busy: map[int]*peerConn[int]{}}
	idle := func(since time.Duration) *peerConn[int] {
		here, there := net.Pipe()
		go io.Copy(io.Discard, there)
		return &peerConn[int]{conn: newConn(nil, here), open: true, idleSince: time.Now().Add(since)}
	}
	fresh, quiet, old := idle(time.Hour), idle(-time.Minute), idle(-20*time.Minute)
	p.idle = []*peerConn[int]{old, quiet, fresh}
	p.send(&exchange[int]{key: 1, wire: []byte("GET / HTTP/1.1\r\n\r\n")})
	if p.busy[1] != quiet || len(p.idle) != 2 || p.idle[0] != old || p.idle[1] != fresh {
		t.Errorf("sent on %p of old %p, quiet %p, fresh %p; idle %v", p.busy[1], old, quiet, fresh, p.idle)
	}
}

// Data received since the last response, or the end of the connection, is detected
// before the next request is written.
func TestQuiet(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	for name, disturb := range map[string]func(net.Conn){
		"bytes": func(c net.Conn) { c.Write([]byte("x")) }, "end": func(c net.Conn) { c.Close() }} {
		conn, err := Dial(nil, ln.Addr().String(), time.Minute)
		if err != nil {
			t.Fatal(err)
		}
		there, err := ln.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if !conn.Quiet() {
			t.Errorf("%s: not quiet before", name)
		}
		disturb(there)
		for end := time.Now().Add(10 * time.Second); conn.Quiet(); {
			if time.Now().After(end) {
				t.Fatalf("%s: not seen", name)
			}
		}
		conn.Close()
		there.Close()
	}
}

// Idle connections may be dropped sooner than servers announce. Repeated losses after
// similar idle times lower the timeout; a single loss does not.
func TestIdleTimeout(t *testing.T) {
	now := time.Now()
	k := NewIdleTimeout(time.Minute)
	expect := func(want time.Duration) {
		t.Helper()
		if got := k.Limit(now); got != want {
			t.Errorf("limit %v, want %v", got, want)
		}
	}
	for i := range 100 { // one in fifty is lost for another reason
		k.observe(20*time.Millisecond, i%50 == 0, now)
		k.observe(100*time.Millisecond, i%50 == 0, now)
	}
	expect(time.Minute)
	for i := range 10 {
		k.observe(300*time.Millisecond, i%2 == 0, now)
	}
	expect(256 * time.Millisecond)
	for range 3 {
		k.observe(time.Second, true, now) // longer idle times
	}
	expect(256 * time.Millisecond)
	for range 3 {
		k.observe(time.Millisecond, true, now)
	}
	expect(minIdleTimeout)
	now = now.Add(resetInterval + 1)
	expect(time.Minute)
}

// A peer records each loss, and closes connections that have been idle too long.
func TestPeerClosesExpired(t *testing.T) {
	dial := func(idle time.Duration) *peerConn[int] {
		here, there := net.Pipe()
		go io.Copy(io.Discard, there)
		return &peerConn[int]{conn: newConn(nil, here), open: true, idleSince: time.Now().Add(-idle)}
	}
	p := &Peer[int]{opt: PeerOptions{Host: hostenv.Real, ConnLimit: NewConnLimit(9), IdleTimeout: NewIdleTimeout(time.Minute)}, busy: map[int]*peerConn[int]{},
		onResult: func(Result[int]) {}}
	for range 5 {
		l := dial(time.Second)
		p.write(l, &exchange[int]{key: 1, wire: []byte("GET / HTTP/1.1\r\n\r\n")})
		l.sentAt = time.Now()
		p.handleResponse(responseRead[int]{conn: l, resp: fasthttp.AcquireResponse(), err: io.EOF})
	}
	old := dial(2 * time.Second)
	if p.idle = []*peerConn[int]{old}; p.closeExpired() != -1 || old.open {
		t.Error("a connection is kept beyond the idle timeout")
	}
}
