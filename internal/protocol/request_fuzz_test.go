package protocol

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/transport"
)

// clientBytes is a connection on which a client sends some bytes and then ends.
type clientBytes struct {
	*bytes.Reader
}

func (clientBytes) Write(p []byte) (int, error)      { return len(p), nil }
func (clientBytes) Close() error                     { return nil }
func (clientBytes) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (clientBytes) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (clientBytes) SetDeadline(time.Time) error      { return nil }
func (clientBytes) SetReadDeadline(time.Time) error  { return nil }
func (clientBytes) SetWriteDeadline(time.Time) error { return nil }

// FuzzForwardedRequest: whatever a client sends, what is forwarded is one request, with the body that was announced.
func FuzzForwardedRequest(f *testing.F) {
	for _, seed := range []string{
		"GET /a?b=c HTTP/1.1\r\nHost: h\r\nX-Request-ID: 1\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbodyGET /b HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\nbody",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n4;x=y\r\nbody\r\n0\r\nTrailer: v\r\n\r\n",
		"POST /a HTTP/1.1\nHost: h\nContent-Length: 1\n\nx",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxy",
		"GET /a HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\nY: \x00\r\n\r\n",
		"GET http://h/a HTTP/1.0\r\nConnection: keep-alive\r\nX : y\r\n\r\n",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, sent []byte) {
		server := transport.NewServer(func(ctx *fasthttp.RequestCtx) {
			announced := ctx.Request.Header.ContentLength()
			call, err := NewCall(ctx, func(_, _ []byte) {})
			if err != nil || call.upload != nil {
				ctx.SetConnectionClose()
				return
			}
			if announced >= 0 && announced != len(call.body) {
				t.Errorf("%d bytes announced, %d forwarded: %q", announced, len(call.body), sent)
			}
			checkForwarded(t, sent, Platform.encode(call, "", time.Second), call.body)
		}, transport.MaxStream)
		server.ServeConn(clientBytes{bytes.NewReader(sent)})
	})
}

// checkForwarded checks that a forwarded request can't be taken for two.
func checkForwarded(t *testing.T, sent, wire, body []byte) {
	head, rest, ok := bytes.Cut(wire, []byte("\r\n\r\n"))
	if !ok || !bytes.Equal(rest, body) {
		t.Errorf("the body does not follow the first empty line: %q of %q", wire, sent)
	}
	for _, line := range bytes.Split(head, []byte("\r\n")) {
		if bytes.ContainsAny(line, "\r\n\x00") || len(line) > 0 && (line[0] == ' ' || line[0] == '\t') {
			t.Errorf("a line that recipients may split or join: %q of %q", line, sent)
		}
	}
	reader := bufio.NewReader(bytes.NewReader(wire))
	request, err := http.ReadRequest(reader)
	if err != nil {
		return // the server rejects it
	}
	got, err := io.ReadAll(request.Body)
	if err != nil || !bytes.Equal(got, body) {
		t.Errorf("a server reads the body %q, %v: %q of %q", got, err, wire, sent)
	}
	if reader.Buffered() > 0 {
		t.Errorf("a server finds more behind the request: %q of %q", wire, sent)
	}
}
