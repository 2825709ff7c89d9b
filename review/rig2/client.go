package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"
)

// request is one request of a client.
type request struct {
	method, host, path, key, body string
	deadline                      time.Duration
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// wire returns the request's bytes.
func (q request) wire(id string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n", q.method, q.path, q.host, id, q.deadline.Milliseconds())
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if q.method != "GET" {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	return b.String() + "\r\n" + q.body
}

// conn is a client's connection to a gateway.
type conn struct {
	net.Conn
	reader *bufio.Reader
}

func dial(at string) (*conn, error) {
	c, err := net.DialTimeout("tcp", at, time.Second)
	if err != nil {
		return nil, err
	}
	return &conn{c, bufio.NewReader(c)}, nil
}

// answer reads one answer: its status, its id and whether it is whole. The status is 0 if there is none.
func (c *conn) answer(method string, until time.Time) (status int, header http.Header, body string) {
	c.SetReadDeadline(until)
	a, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, nil, ""
	}
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	if err != nil {
		return 0, nil, ""
	}
	return a.StatusCode, a.Header, string(text)
}

// ask sends one request on a new connection and waits for its answer.
func ask(at string, q request, id string) (status int, header http.Header, body string) {
	c, err := dial(at)
	if err != nil {
		return 0, nil, ""
	}
	defer c.Close()
	if _, err := io.WriteString(c, q.wire(id)); err != nil {
		return 0, nil, ""
	}
	return c.answer(q.method, time.Now().Add(q.deadline+time.Second))
}
