package protocol

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/scenario"
	"asterwell/internal/transport"
)

// TestStreamEndsWithItsClient guards against a server that goes on with a streamed answer, because its client left while it was
// silent: that was noticed only when something more was to be written.
func TestStreamEndsWithItsClient(t *testing.T) {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	peer := transport.NewPeer(server.Addr().String(), transport.PeerOptions{ConnectTimeout: scenario.Patience, ConnLimit: transport.NewConnLimit(9),
		IdleTimeout: transport.NewIdleTimeout(time.Hour)}, func(r transport.Result[int]) { r.Note.(chan *fasthttp.Response) <- r.Answer })
	gateway, err := transport.Listen(nil, "127.0.0.1:0", 10)
	if err != nil {
		t.Fatal(err)
	}
	defer gateway.Close()
	go gateway.Serve(transport.NewServer(func(ctx *fasthttp.RequestCtx) {
		answers := make(chan *fasthttp.Response)
		peer.Send(1, []byte("GET / HTTP/1.1\r\n\r\n"), answers, time.Hour)
		CopyResponse(ctx, <-answers)
	}, 1000))
	client, err := net.Dial("tcp", gateway.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	io.WriteString(client, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	conn, err := server.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(scenario.Patience))
	request := bufio.NewReader(conn)
	if _, err := request.ReadString('\n'); err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n%s", make([]byte, 100_000))
	client.SetDeadline(time.Now().Add(scenario.Patience))
	if _, err := io.ReadFull(client, make([]byte, 90_000)); err != nil {
		t.Fatal(err)
	}
	client.Close() // the server sends nothing more
	if _, err := io.Copy(io.Discard, request); err != nil {
		t.Errorf("the server was not told: %v", err)
	}
}
