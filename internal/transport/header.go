package transport

import (
	"bytes"
	"fmt"

	"asterwell/internal/responsehead"
)

// awaitHeader waits for a complete header, and returns its status. It rejects one with two body lengths: the library
// would silently follow one of them.
func (c *Conn) awaitHeader() (status int, err error) {
	for n := 1; ; n = c.br.Buffered() + 1 {
		if _, err := c.br.Peek(n); err != nil {
			return 0, asInvalidResponse(err)
		}
		seen, _ := c.br.Peek(c.br.Buffered())
		head, err := responsehead.Find(seen)
		if err != nil {
			return 0, fmt.Errorf("%w: %w", errInvalidResponse, err)
		}
		if head.Length > 0 {
			return head.Status, c.checkHeader(seen[:head.Length])
		}
	}
}

func (c *Conn) checkHeader(header []byte) error {
	if HasConflictingLengths(header) || c.strict && containsStatusLine(header) {
		return errInvalidResponse
	}
	c.closeAnnounced = announcesClose(header)
	return nil
}

// HasConflictingLengths reports whether a header has both Content-Length and
// Transfer-Encoding: recipients that follow different ones see different messages.
func HasConflictingLengths(header []byte) bool {
	var hasLength, hasTransfer bool
	for line := range bytes.SplitSeq(header, []byte("\n")) {
		name, _, _ := bytes.Cut(line, []byte(":"))
		name = bytes.TrimSpace(name)
		hasLength = hasLength || bytes.EqualFold(name, []byte("Content-Length"))
		hasTransfer = hasTransfer || bytes.EqualFold(name, []byte("Transfer-Encoding"))
	}
	return hasLength && hasTransfer
}

// containsStatusLine reports whether there is a status line inside a header.
func containsStatusLine(header []byte) bool {
	const begins = "HTTP/1."
	for rest := header[min(1, len(header)):]; ; {
		i := bytes.Index(rest, []byte(begins))
		if i < 0 {
			return false
		}
		if rest = rest[i+len(begins):]; len(rest) > 3 && rest[1] == ' ' && '1' <= rest[2] && rest[2] <= '5' {
			return true
		}
	}
}

// announcesClose reports whether a header has Connection: close.
func announcesClose(header []byte) bool {
	for line := range bytes.SplitSeq(header, []byte("\n")) {
		name, value, _ := bytes.Cut(line, []byte(":"))
		if bytes.EqualFold(bytes.TrimSpace(name), []byte("Connection")) &&
			bytes.EqualFold(bytes.TrimSpace(value), []byte("close")) {
			return true
		}
	}
	return false
}
