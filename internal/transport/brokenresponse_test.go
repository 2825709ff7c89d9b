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

// eachReader calls f for each kind of connection.
func eachReader(f func(name string, streams, strict bool)) {
	f("loom", true, true)
	f("asterwell", true, false)
	f("discovery", false, false)
}

// expectInvalid checks that each kind of connection rejects the responses.
func expectInvalid(t *testing.T, request string, texts ...string) {
	t.Helper()
	for _, text := range texts {
		eachReader(func(name string, streams, strict bool) {
			if status, body, err := readAll(t, text, request, streams, strict); !errors.Is(err, errInvalidResponse) {
				t.Errorf("%s, %.90q: %d %.20q, %v", name, text, status, body, err)
			}
		})
	}
}

// TestInvalidStatus guards against a response with the status 000 that was taken for a 200, which is what the HTTP library makes of 0.
func TestInvalidStatus(t *testing.T) {
	const rest = " Odd\r\nX-Not-Executed: 1\r\nContent-Length: 5\r\n\r\nhello"
	for _, status := range []string{"000", "001", "099", "600", "999", "00", "0", "0200", "+20", "-00", "2 0", "20x", "OK", ""} {
		expectInvalid(t, "GET", "HTTP/1.1 "+status+rest, "HTTP/1.0 "+status+rest)
		expectInvalid(t, "HEAD", "HTTP/1.1 "+status+rest)
	}
	expectInvalid(t, "GET", "HTTP/1.1 000\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 000 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 000 OK\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000),
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 000 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
}

// TestInvalidFieldNames guards against responses with a blank or a control byte in the name of a field. The HTTP library passes them on, and
// ends a head at a lone LF.
func TestInvalidFieldNames(t *testing.T) {
	const ok, rest = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n", "\r\n\r\nhello\r\n\r\n"
	for _, line := range []string{"X Note: 1", "X-Note : 1", "X-Note\t: 1", "X\tNote: 1", " X-Note: 1", "\tX-Note: 1", " X-Note : 1", ": 1", " : 1", "X-Note", "X-Not-Executed : 1",
		"Content-Length : 5", "Transfer-Encoding : chunked", "Connection : close", "X Y Z: 1",
		"\nX-Note: 1", "X\nNote: 1", "X-Note\n: 1", "X: 1\nX-Note: 1", "X: 1\n\nX-Note: 1", "X: 1\n", "\rX-Note: 1", "X\rNote: 1", "X-Note\r: 1", "X: 1\r", "X: a\rb", "X: 1\rX-Note: 1",
		"X: a\n b", "X\x00Note: 1", "X\x01Note: 1", "X\x0bNote: 1", "X\x0cNote: 1", "X\x1fNote: 1", "X\x7fNote: 1", "X\x00: 1", "\x01X: 1", "X\x85: 1", "X(Note): 1", "X\"Note: 1", "X/Note: 1"} {
		expectInvalid(t, "GET", ok+line+rest, ok+line+"\r\nVia: 1.1 b"+rest, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: 5"+rest,
			"HTTP/1.1 103 Early Hints\r\n"+line+"\r\n\r\n"+ok+"\r\nhello",
			"HTTP/1.1 503 Busy\r\nX-Not-Executed: 1\r\n"+line+"\r\nContent-Length: 5"+rest,
			"HTTP/1.1 204 No Content\r\n"+line+"\r\n\r\n", "HTTP/1.1 304 Not Modified\r\n"+line+"\r\n\r\n",
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"+line+"\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\nConnection: close\r\n"+line+"\r\n\r\nhello")
		expectInvalid(t, "HEAD", ok+line+"\r\n\r\n")
	}
}

// TestHeadLineEnds guards against readers that disagree about where a head ends: each of its lines ends with CRLF, it begins with the status
// line, and nothing but an empty line ends it.
func TestHeadLineEnds(t *testing.T) {
	expectInvalid(t, "GET", "HTTP/1.1 200 OK\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\nContent-Length: 5\n\nhello", "HTTP/1.1 200 OK\r\nContent-Length: 5\n\r\nhello",
		"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\nhello\r\n\r\n", "HTTP/1.1 200 O\rK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200\rOK\r\nContent-Length: 5\r\n\r\nhello",
		"\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", "\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\n X-Note: 1\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\n\tfolded\r\nContent-Length: 5\r\n\r\nhello")
}

// TestInvalidChunksAndTrailers guards against the same in what ends a chunk, and in trailers, of buffered and of streamed responses.
func TestInvalidChunksAndTrailers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	long := "186a0\r\n" + strings.Repeat("x", 100000) + "\r\n"
	for _, end := range []string{"0\r\nX Note: 1\r\n\r\n", "0\r\nX-Note : 1\r\n\r\n", "0\r\nX-Note\r\n\r\n", "0\r\nX\x01Note: 1\r\n\r\n", "0\r\nX: 1\r\n X-Note: 1\r\n\r\n", "0\r\n X-Note: 1\r\n\r\n",
		"0\r\nX: 1\n\r\n", "0\r\nX: 1\rX-Note: 1\r\n\r\n", "0\r\n\n", "0\r\n\r\r\n", "0\n\r\n", "0\r\r\n\r\n", "0;a\rb\r\n\r\n", "\v0\r\n\r\n", "1\nx\r\n0\r\n\r\n"} {
		expectInvalid(t, "GET", head+"5\r\nhello\r\n"+end, head+end)
		for _, strict := range []bool{false, true} {
			if _, body, err := readAll(t, head+long+end, "GET", true, strict); err == nil {
				t.Errorf("streamed, %q: %d bytes", end, len(body))
			}
		}
	}
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
		{"GET", "HTTP/1.1 200 OK\r\nX: first,\r\n second\r\n\tand at 12:30\r\n \r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n\n\r\r\n a:", 200, "\n\r\r\n a:"},
		{"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3 ; a=\"b c\"\r\nhel\r\n02\r\nlo\r\n0;last\r\nX-Sum: 1 2\r\nY:\r\n\r\n", 200, "hello"},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n0\r\nX: a,\r\n b\r\n\r\n", 200, "\n"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, ""},
		{"GET", "HTTP/1.1 204 No Content\r\n\r\n", 204, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nETag: \"a\"\r\n\r\n", 304, ""},
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n" + long, 200, long},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186A0\r\n" + long + "\r\n0\r\nX-Sum: 1\r\n\r\n", 200, long},
	} {
		eachReader(func(name string, streams, strict bool) {
			if status, body, err := readAll(t, c.text, c.request, streams, strict); status != c.status || body != c.body || err != nil {
				t.Errorf("%s, %.90q: %d %.20q, %v", name, c.text, status, body, err)
			}
		})
	}
}
