package responsehead

import (
	"bufio"
	"bytes"
	"errors"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"
)

const body = "hello\r\n\r\n"

// heads are valid. Their bodies are body.
var heads = []string{
	"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX-Note: a b\tc\r\nVia: 1.1 a,\r\n 1.1 b\r\nContent-Type: text/plain\r\n\r\n",
	"HTTP/1.0 404\r\nX-Empty:\r\nContent-Length:9\r\n\r\n",
}

// TestIncompleteHead: as long as a head comes in pieces it is neither complete nor invalid.
func TestIncompleteHead(t *testing.T) {
	for _, head := range heads {
		for n := range len(head) {
			if got, err := Find([]byte(head[:n])); got.Length != 0 || err != nil {
				t.Errorf("%q: %+v, %v", head[:n], got, err)
			}
		}
		if got, err := Find([]byte(head + body)); got.Length != len(head) || err != nil {
			t.Errorf("%q: %+v, %v", head, got, err)
		}
	}
}

// TestLibrariesAgree: of heads with one or two bytes too many or changed, those that are taken end in the same place for the HTTP
// libraries, and have the same status and fields with proper names. Where they don't, the libraries have an error.
func TestLibrariesAgree(t *testing.T) {
	taken := 0
	for _, head := range heads {
		for at := range len(head) {
			for _, odd := range []string{" ", "\t", "\r", "\n", "\r\n", "\n\r", "\n\n", "\r\r", "\n ", "\x00", "\x01", "\x0b", "\x1f", "\x7f", "\x85", ":", "0", "a", "(", "\""} {
				for _, next := range []int{at, at + 1} { // between two bytes, and in the place of one
					text := []byte(head[:at] + odd + head[next:] + body)
					found, err := Find(text)
					if err != nil || found.Length == 0 {
						continue
					}
					taken++
					compareFasthttp(t, text, found)
					compareNetHTTP(t, text, found)
				}
			}
		}
	}
	if taken < len(heads[0]) { // most changes of values are taken
		t.Errorf("only %d of the changed heads were taken", taken)
	}
}

func compareFasthttp(t *testing.T, text []byte, found Head) {
	t.Helper()
	var header fasthttp.ResponseHeader
	header.DisableNormalizing()
	in := bufio.NewReader(bytes.NewReader(text))
	if header.Read(in) != nil {
		return
	}
	if rest := in.Buffered(); len(text)-rest != found.Length || header.StatusCode() != found.Status {
		t.Errorf("%q: %+v, fasthttp: %d, %d bytes", text, found, header.StatusCode(), len(text)-rest)
	}
	for name := range header.All() {
		if !isToken(name) {
			t.Errorf("%q: fasthttp: %q", text, name)
		}
	}
}

func compareNetHTTP(t *testing.T, text []byte, found Head) {
	t.Helper()
	in := bufio.NewReader(bytes.NewReader(text))
	response, err := http.ReadResponse(in, &http.Request{Method: http.MethodHead})
	if err != nil {
		return
	}
	if rest := in.Buffered(); len(text)-rest != found.Length || response.StatusCode != found.Status {
		t.Errorf("%q: %+v, net/http: %d, %d bytes", text, found, response.StatusCode, len(text)-rest)
	}
	for name := range response.Header {
		if !isToken([]byte(name)) {
			t.Errorf("%q: net/http: %q", text, name)
		}
	}
}

// TestNames holds the names to RFC 9110, section 5.6.2, byte by byte.
func TestNames(t *testing.T) {
	const marks = "!#$%&'*+-.^_`|~"
	for b := range 256 {
		letterOrDigit := b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9'
		want := letterOrDigit || b < 128 && strings.ContainsRune(marks, rune(b))
		for _, name := range [][]byte{{byte(b)}, {byte(b), 'a'}, {'a', byte(b)}, {'a', byte(b), 'a'}} {
			if valid := CheckField(append(slices.Clip(name), ": 1"...), true) == nil; valid != want && b != ':' {
				t.Errorf("%q: %v", name, valid)
			}
		}
	}
}

// TestErrors: a head is invalid as soon as what has come can't become a valid one, and for a status or a name once it is complete.
func TestErrors(t *testing.T) {
	for text, want := range map[string]error{
		"HTTP/1.1 200 OK\n":                        ErrLineBreak,
		"HTTP/1.1 200 OK\rX":                       ErrLineBreak,
		"\n":                                       ErrLineBreak,
		"HTTP/1.1 200 OK\r\nX: 1\r\r\n\r\n":        ErrLineBreak,
		"HTTP/1.1 000 OK\r\n\r\n":                  ErrStatus,
		"HTTP/1.1\r\n\r\n":                         ErrStatus,
		"\r\n\r\n":                                 ErrStatus,
		"\r\nHTTP/1.1 200 OK\r\n\r\n":              ErrStatus,
		"HTTP/1.1 200 OK\r\n folded\r\n\r\n":       ErrFieldName,
		"HTTP/1.1 200 OK\r\nX: 1\r\n Y: 1\r\n\r\n": ErrFieldName,
		"HTTP/1.1 200 OK\r\nX : 1\r\n\r\n":         ErrFieldName,
		"HTTP/1.1 200 OK\r\nX\r\n\r\n":             ErrFieldName,
	} {
		if got, err := Find([]byte(text)); !errors.Is(err, want) {
			t.Errorf("%q: %+v, %v, want %v", text, got, err, want)
		}
	}
}
