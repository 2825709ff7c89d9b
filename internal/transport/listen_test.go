package transport

import (
	"errors"
	"io"
	"log"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/scenario"
)

func serve(t *testing.T, most int, handler fasthttp.RequestHandler) (*Listener, *scenario.Stage) {
	t.Helper()
	ln, err := Listen(nil, "127.0.0.1:0", most)
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve(NewServer(handler, 1000))
	t.Cleanup(func() { ln.Close() })
	return ln, &scenario.Stage{Dial: map[string]string{"client": ln.Addr().String()}}
}

// A client that is still sending must receive the final response: closing the
// connection immediately would reset it and discard the response.
func TestResponseBeforeRequestComplete(t *testing.T) {
	ln, _ := serve(t, 10, func(ctx *fasthttp.RequestCtx) {})
	for range 50 {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			c.Write([]byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9000000\r\n\r\n"))
			for range 100 {
				if _, err := c.Write(make([]byte, 10000)); err != nil {
					return
				}
			}
		}()
		time.Sleep(time.Millisecond)
		var got strings.Builder
		buf := make([]byte, 1000)
		for {
			n, err := c.Read(buf)
			got.Write(buf[:n])
			if err != nil {
				if err.Error() != "EOF" {
					t.Error(err)
				}
				break
			}
		}
		if !strings.HasPrefix(got.String(), "HTTP/1.1 413 ") {
			t.Errorf("got %q", got.String())
		}
		c.Close()
	}
}

// At the limit, the connection idle the longest is closed; one with a request in
// progress never is, and a client beyond the limit waits.
func TestConnectionLimit(t *testing.T) {
	held, entered := make(chan struct{}), make(chan struct{}, 10)
	_, stage := serve(t, 2, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/held" {
			entered <- struct{}{}
			<-held
		}
		ctx.SetBodyString("fine")
	})
	stage.Close = map[string]func(){"handler": func() { close(held) }, "entered": func() { <-entered }}
	stage.Play(t, `
		client1 send "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
		entered close
		client2 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client2 expect "fine"
		client3 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client2 expect closed
		client3 expect "fine"
		client4 send "GET /held HTTP/1.1\r\nHost: h\r\n\r\n"
		client3 expect closed
		entered close
		client5 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client5 expect nothing
		handler close
		client1 expect "fine"
		client4 expect "fine"
		client5 expect "fine"`)
}

// settle waits until the listener takes all connections for idle.
func settle(t *testing.T, l *Listener) {
	t.Helper()
	for end := time.Now().Add(scenario.Patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		all := true
		for c := range l.conns {
			all = all && c.state.phase == phaseIdle
		}
		if l.mu.Unlock(); all {
			return
		}
	}
	t.Fatal("responses are still in progress")
}

// Idle connections of clients that stay after one request are closed well before the limit.
func TestIdleClientsMakeRoom(t *testing.T) {
	ln, stage := serve(t, 4, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("fine") })
	stage.Close = map[string]func(){"answers": func() { settle(t, ln) }} // a client may read its response before the server marks it as sent
	stage.Play(t, `
		client1 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client1 expect "fine"
		answers close
		client2 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client2 expect "fine"
		answers close
		client3 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client3 expect "fine"
		answers close
		client4 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client4 expect "fine"
		client1 expect closed
		client2 expect nothing`)
}

// A temporary accept error must not end the server.
func TestTemporaryAcceptError(t *testing.T) {
	ln, err := Listen(nil, "127.0.0.1:0", 2)
	if err != nil {
		t.Fatal(err)
	}
	log.SetOutput(io.Discard)
	defer log.SetOutput(os.Stderr)
	ln.Listener = &flakyListener{Listener: ln.Listener, fails: 3}
	go ln.Serve(NewServer(func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("fine") }, 1000))
	defer ln.Close()
	stage := &scenario.Stage{Dial: map[string]string{"client": ln.Addr().String()}}
	stage.Play(t, `
		client1 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		client1 expect "fine"`)
}

// flakyListener fails the first accepts for lack of file descriptors.
type flakyListener struct {
	net.Listener
	fails int
}

func (s *flakyListener) Accept() (net.Conn, error) {
	if s.fails--; s.fails >= 0 {
		return nil, syscall.EMFILE
	}
	return s.Listener.Accept()
}

// Pipelined requests are all answered, in order.
func TestPipelined(t *testing.T) {
	_, stage := serve(t, 2, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("at " + string(ctx.Path())) })
	stage.Play(t, `
		client1 send "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\nGET /c HTTP/1.1\r\n"
		client1 expect "at /a"
		client1 expect "at /b"
		client1 send "Host: h\r\n\r\n"
		client1 expect "at /c"`)
}

// Hundreds of clients that send nothing, or never complete a request, must not keep
// others out, and all of their connections are closed.
func TestStalledClients(t *testing.T) {
	for name, sends := range map[string]string{"silent": "", "half a head": "GET / HTTP/1.1\r\nHost:",
		"half a body": "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nhalf"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ln, stage := serve(t, 10, func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("fine") })
			var held []net.Conn
			for range 200 {
				c, err := net.Dial("tcp", ln.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				defer c.Close()
				c.Write([]byte(sends))
				held = append(held, c)
			}
			stage.Play(t, `
				client1 send "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
				client1 expect "fine"`)
			for _, c := range held {
				c.SetReadDeadline(time.Now().Add(scenario.Patience))
				if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
					t.Fatal("still open")
				}
			}
		})
	}
	// The longest that such clients can hold a connection.
	if s := NewServer(nil, 0); s.ReadTimeout > 3500*time.Millisecond || s.IdleTimeout > 5*time.Second {
		t.Errorf("%v for a request, %v without one", s.ReadTimeout, s.IdleTimeout)
	}
}

// The order in which connections are closed at the limit.
func TestExpendable(t *testing.T) {
	now := time.Now()
	long, short := now.Add(-time.Minute), now.Add(-time.Millisecond)
	for name, tc := range map[string]struct {
		state connState
		want  int
	}{
		"answered for the last time":   {connState{phase: phaseClosed, since: long}, rankAnswered},
		"the answer is under way":      {connState{phase: phaseClosed, since: short}, rankProtected},
		"silent":                       {connState{phase: phaseConnected, since: long}, rankSilent},
		"silent for a moment":          {connState{phase: phaseConnected, since: short}, rankNew},
		"half a request":               {connState{phase: phaseReceiving, since: long, waiting: true}, rankIncomplete},
		"half a request, a moment":     {connState{phase: phaseReceiving, since: short, waiting: true}, rankProtected},
		"a request, not yet parsed":    {connState{phase: phaseReceiving, since: long}, rankProtected},
		"served and idle":              {connState{phase: phaseIdle, since: long}, rankIdle},
		"its request is being served":  {connState{phase: phaseServing, since: long}, rankProtected},
		"another may be in the buffer": {connState{phase: phaseAnswered, since: long}, rankProtected},
	} {
		if got := tc.state.expendable(now); got != tc.want {
			t.Errorf("%s: rank %d, want %d", name, got, tc.want)
		}
	}
}

// A header with two body lengths can smuggle a second request past recipients that
// follow the other one. Neither request is served.
func TestConflictingLengths(t *testing.T) {
	served := make(chan string, 10)
	_, stage := serve(t, 2, func(ctx *fasthttp.RequestCtx) { served <- string(ctx.Path()) })
	stage.Play(t, `
		client1 send "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n"
		client1 expect "HTTP/1.1 400 "
		client1 expect closed
		client2 send "POST /c HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nxx"
		client2 expect "HTTP/1.1 400 "
		client2 expect closed
		client3 send "POST /d HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n"
		client3 expect "HTTP/1.1 400 "
		client3 expect closed`)
	if len(served) > 0 {
		t.Errorf("served %s", <-served)
	}
}
