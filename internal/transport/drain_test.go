package transport

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/scenario"
)

// newDrainStage serves /held until the script closes "handler", and anything else at once. Closing "entered" waits
// for a request to be held; closing "drain" drains the listener, as a leaving process does at every tick.
func newDrainStage(t *testing.T) *scenario.Stage {
	t.Helper()
	held, entered := make(chan struct{}), make(chan struct{}, 10)
	ln, stage := serve(t, 10, func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/held" {
			entered <- struct{}{}
			<-held
		}
		ctx.SetBodyString("at " + string(ctx.Path()))
	})
	stage.Close = map[string]func(){"handler": func() { close(held) }, "entered": func() { <-entered }, "drain": func() { ln.Drain() }}
	return stage
}

// TestDrainAnswersPipelined guards against a drain that takes a connection for idle while its second request, which
// the HTTP library read together with the first, is being served: the answers were lost.
func TestDrainAnswersPipelined(t *testing.T) {
	newDrainStage(t).Play(t, `
		client1 send "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /held HTTP/1.1\r\nHost: h\r\n\r\n"
		entered close
		drain close
		drain close
		handler close
		client1 expect "at /a"
		client1 expect "at /held"
		client1 expect closed`)
}

// TestDrainAwaitsRestOfPipelined: the same for a second request of which a part came together with the first.
func TestDrainAwaitsRestOfPipelined(t *testing.T) {
	for name, script := range map[string]string{
		"half a header": `
			client1 send "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /b HTTP/1.1\r\n"
			client1 expect "at /a"
			drain close
			client1 expect nothing
			client1 send "Host: h\r\n\r\n"
			client1 expect "at /b"
			client1 expect closed`,
		"half a body": `
			client1 send "GET /a HTTP/1.1\r\nHost: h\r\n\r\nPOST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbo"
			client1 expect "at /a"
			drain close
			client1 expect nothing
			client1 send "dy"
			client1 expect "at /b"
			client1 expect closed`,
	} {
		t.Run(name, func(t *testing.T) { newDrainStage(t).Play(t, script) })
	}
}

// TestAnswerIsNotHeldBack guards against an answer that waits in the HTTP library's buffer until the next request
// of its connection has been answered, long after its own deadline.
func TestAnswerIsNotHeldBack(t *testing.T) {
	newDrainStage(t).Play(t, `
		client1 send "GET /a HTTP/1.1\r\nHost: h\r\n\r\nGET /held HTTP/1.1\r\nHost: h\r\n\r\n"
		client1 expect "at /a"
		entered close
		handler close
		client1 expect "at /held"`)
}

// TestDrainAwaitsDelivery guards against a drain that closes a connection while its last response is still on its way.
// A request that the client sent meanwhile was answered with a reset, which cut the response off.
func TestDrainAwaitsDelivery(t *testing.T) {
	const size = 1 << 20 // more than a client's socket takes unread
	handled := make(chan struct{}, 2)
	ln, _ := serve(t, 10, func(ctx *fasthttp.RequestCtx) {
		ctx.SetBody(make([]byte, size))
		handled <- struct{}{}
	})
	client, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	client.SetDeadline(time.Now().Add(scenario.Patience))
	io.WriteString(client, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	<-handled
	settle(t, ln)
	if open := ln.Drain(); open != 1 {
		t.Fatalf("%d open", open)
	}
	io.WriteString(client, "GET /b HTTP/1.1\r\nHost: h\r\n\r\n")
	<-handled
	responses := bufio.NewReader(client)
	for _, path := range []string{"/a", "/b"} {
		response, err := http.ReadResponse(responses, nil)
		if err != nil {
			t.Fatal(path, err)
		}
		if n, err := io.Copy(io.Discard, response.Body); err != nil || n != size {
			t.Fatalf("%s: %d of %d bytes, %v", path, n, size, err)
		}
	}
	ln.Drain()
	if _, err := responses.ReadByte(); err != io.EOF {
		t.Errorf("not closed once all has been delivered: %v", err)
	}
}
