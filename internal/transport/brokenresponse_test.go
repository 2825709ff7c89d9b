package transport

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

// readAll reads the response that text begins with, as a connection to a server of loom (strict) or of asterwell does, or as
// discovery does, which buffers all bodies.
func readAll(t *testing.T, text string, request string, streams, strict bool) (status int, body string, err error) {
	t.Helper()
	c, resp := connReading(t, text), fasthttp.AcquireResponse()
	c.allowStreams, c.strict = streams, strict
	c.headRequest.Store(request == "HEAD")
	if _, err := c.Read(resp); err != nil {
		return 0, "", err
	}
	if stream := resp.BodyStream(); stream != nil {
		read, err := io.ReadAll(stream)
		return resp.StatusCode(), string(read), err
	}
	return resp.StatusCode(), string(resp.Body()), nil
}

// readers calls f for each kind of connection.
func readers(f func(name string, streams, strict bool)) {
	f("loom", true, true)
	f("asterwell", true, false)
	f("discovery", false, false)
}

// broken holds each kind of connection to it that it takes none of the responses for one.
func broken(t *testing.T, request string, texts ...string) {
	t.Helper()
	for _, text := range texts {
		readers(func(name string, streams, strict bool) {
			if status, body, err := readAll(t, text, request, streams, strict); !errors.Is(err, errInvalidResponse) {
				t.Errorf("%s, %.90q: %d %.20q, %v", name, text, status, body, err)
			}
		})
	}
}

// TestStatusIsNone guards against a response with the status 000 that was taken for a 200, which is what the HTTP library makes of 0.
func TestStatusIsNone(t *testing.T) {
	const rest = " Odd\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nhello"
	for _, status := range []string{"000", "001", "099", "600", "999", "00", "0", "0200", "+20", "-00", "2 0", "20x", "OK", ""} {
		broken(t, "GET", "HTTP/1.1 "+status+rest, "HTTP/1.0 "+status+rest)
		broken(t, "HEAD", "HTTP/1.1 "+status+rest)
	}
	broken(t, "GET", "HTTP/1.1 000\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000),
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// TestUnusualResponsesPass: what is valid though seldom seen goes through as it is.
func TestUnusualResponsesPass(t *testing.T) {
	long := strings.Repeat("x", 100000)
	for _, c := range []struct {
		request, text string
		status        int
		body          string
	}{
		{"GET", "HTTP/1.1 200\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.1 200 \r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.0 404 Not \xe9 Found\r\nContent-Length:5\r\n\r\nhello", 404, "hello"},
		{"GET", "HTTP/1.1 599 Last\r\nContent-Length: 5\r\n\r\nhello", 599, "hello"},
		{"GET", "HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: 1\r\nX: \r\nY:\r\nZ: \t a b\tc \xff: d \r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.1 200 OK\r\nX: first,\r\n second\r\n\tand third\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n\n\r\r\n a:", 200, "\n\r\r\n a:"},
		{"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\nX: a,\r\n b\r\n\r\n", 200, "\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, ""},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", 304, ""},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + long, 200, long},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186A0\r\n" + long + "\r\n0\r\nX-Sum: 1\r\n\r\n", 200, long},
	} {
		readers(func(name string, streams, strict bool) {
			if status, body, err := readAll(t, c.text, c.request, streams, strict); status != c.status || body != c.body || err != nil {
				t.Errorf("%s, %.90q: %d %.20q, %v", name, c.text, status, body, err)
			}
		})
	}
}
