package transport

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/hostenv"
)

// A write that breaks off has not sent the request's last byte: it never ran,
// and the connection is done with.
func TestBreakWhileWriting(t *testing.T) {
	for _, read := range []int{0, 10} {
		here, there := net.Pipe()
		go func() {
			io.ReadFull(there, make([]byte, read))
			there.Close()
		}()
		var got []Result[int]
		p := &Peer[int]{opt: PeerOptions{World: hostenv.Real, Sockets: NewSockets(1)}, busy: map[int]*link[int]{},
			done: func(r Result[int]) { got = append(got, r) }}
		p.opt.Sockets.take()
		l := &link[int]{conn: newConn(nil, here), open: true}
		p.write(l, &order[int]{key: 3, wire: []byte("GET / HTTP/1.1\r\n\r\n")})
		if len(got) != 1 || got[0].Key != 3 || got[0].End != NotSent || l.open || len(p.busy) != 0 || p.opt.Sockets.Used() != 0 {
			t.Errorf("%d bytes read: %+v, open %v", read, got, l.open)
		}
	}
}

// A connection that has just answered may still bring more: the next request
// takes another one, the newest that has been quiet for a while.
func TestConnectionsSettle(t *testing.T) {
	p := &Peer[int]{opt: PeerOptions{World: hostenv.Real, Sockets: NewSockets(9), Keep: NewKeep(time.Hour / 2)}, busy: map[int]*link[int]{}}
	idle := func(since time.Duration) *link[int] {
		here, there := net.Pipe()
		go io.Copy(io.Discard, there)
		return &link[int]{conn: newConn(nil, here), open: true, since: time.Now().Add(since)}
	}
	fresh, quiet, old := idle(time.Hour), idle(-time.Minute), idle(-20*time.Minute)
	p.idle = []*link[int]{old, quiet, fresh}
	p.send(&order[int]{key: 1, wire: []byte("GET / HTTP/1.1\r\n\r\n")})
	if p.busy[1] != quiet || len(p.idle) != 2 || p.idle[0] != old || p.idle[1] != fresh {
		t.Errorf("sent on %p of old %p, quiet %p, fresh %p; idle %v", p.busy[1], old, quiet, fresh, p.idle)
	}
}

// What has come since the last answer, if only the connection's end, is seen
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

// Idle connections may be dropped far sooner than servers say. Breaks right
// under the next request tell: not one by chance, but many after the same time.
func TestKeep(t *testing.T) {
	now := time.Now()
	k := NewKeep(time.Minute)
	expect := func(want time.Duration) {
		t.Helper()
		if got := k.Limit(now); got != want {
			t.Errorf("limit %v, want %v", got, want)
		}
	}
	for i := range 100 { // one in fifty breaks for another reason
		k.used(20*time.Millisecond, i%50 == 0, now)
		k.used(100*time.Millisecond, i%50 == 0, now)
	}
	expect(time.Minute)
	for i := range 10 {
		k.used(300*time.Millisecond, i%2 == 0, now)
	}
	expect(256 * time.Millisecond)
	for range 3 {
		k.used(time.Second, true, now) // older ones
	}
	expect(256 * time.Millisecond)
	for range 3 {
		k.used(time.Millisecond, true, now)
	}
	expect(leastKeep)
	now = now.Add(relearn + 1)
	expect(time.Minute)
}

// A peer tells of each break, and does not use what has been idle too long.
func TestIdleTooLong(t *testing.T) {
	dial := func(idle time.Duration) *link[int] {
		here, there := net.Pipe()
		go io.Copy(io.Discard, there)
		return &link[int]{conn: newConn(nil, here), open: true, since: time.Now().Add(-idle)}
	}
	p := &Peer[int]{opt: PeerOptions{World: hostenv.Real, Sockets: NewSockets(9), Keep: NewKeep(time.Minute)}, busy: map[int]*link[int]{},
		done: func(Result[int]) {}}
	for range 5 {
		l := dial(time.Second)
		p.write(l, &order[int]{key: 1, wire: []byte("GET / HTTP/1.1\r\n\r\n")})
		l.wrote = time.Now()
		p.heard(heard[int]{link: l, resp: fasthttp.AcquireResponse(), err: io.EOF})
	}
	old := dial(2 * time.Second)
	if p.idle = []*link[int]{old}; p.age() != -1 || old.open {
		t.Error("a connection is kept for longer than connections last")
	}
}
