package adminclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"

	"asterwell/internal/responsehead"
)

// errInvalidAnswer marks an answer that is not valid HTTP. The call may have been carried out.
var errInvalidAnswer = errors.New("invalid answer")

// maxHeadBytes bounds an answer's head.
const maxHeadBytes = 1 << 20

// checkedConn is a connection to a gateway. It checks the heads of answers before the HTTP library reads them, which takes any
// number for a status, blanks in fields' names, and a lone LF for the end of a line.
type checkedConn struct {
	net.Conn

	mu         sync.Mutex
	expecting  bool   // the next bytes belong to a head
	headSoFar  []byte // what has been received of it
	headFailed error
}

// dialChecked dials for the HTTP library.
func dialChecked(ctx context.Context, network, addr string) (net.Conn, error) {
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &checkedConn{Conn: conn}, nil
}

// expectHead is called before a request is written.
func (c *checkedConn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expecting, c.headSoFar = true, nil
}

// Read passes on what has been received, up to the first read that shows that the head is invalid.
func (c *checkedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.headFailed == nil && c.expecting {
		c.headFailed = c.checkHead(p[:n])
	}
	if c.headFailed != nil {
		return 0, c.headFailed
	}
	return n, err
}

// checkHead checks the interim heads and the final one. The caller holds the lock.
func (c *checkedConn) checkHead(received []byte) error {
	c.headSoFar = append(c.headSoFar, received...)
	for c.expecting {
		head, err := responsehead.Find(c.headSoFar)
		switch {
		case err != nil:
			return fmt.Errorf("%w: %w", errInvalidAnswer, err)
		case head.Length == 0 && len(c.headSoFar) > maxHeadBytes:
			return fmt.Errorf("%w: a head of more than %d bytes", errInvalidAnswer, maxHeadBytes)
		case head.Length == 0:
			return nil
		}
		c.headSoFar = c.headSoFar[head.Length:]
		c.expecting = head.Status < http.StatusOK
	}
	c.headSoFar = nil
	return nil
}

// checkTrailers checks the fields behind a body that has been read whole.
func checkTrailers(response *http.Response) error {
	for name := range response.Trailer {
		if err := responsehead.CheckField([]byte(name+":"), true); err != nil {
			return fmt.Errorf("%w: trailer: %w", errInvalidAnswer, err)
		}
	}
	return nil
}
