package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// result is what a client has seen of one request.
type result struct {
	id     string
	status int    // 0: the connection ended without a complete answer
	seal   string // X-Server-Seal
}

// client is one connection to a gateway.
type client struct {
	name string
	rec  *record
	conn net.Conn
	in   *bufio.Reader
}

func dial(rec *record, name string, g *gateway) (*client, error) {
	conn, err := net.DialTimeout("tcp", g.Ingress(), time.Second)
	if err != nil {
		return nil, err
	}
	return &client{name: name, rec: rec, conn: conn, in: bufio.NewReader(conn)}, nil
}

// head is the text of a request up to its body. length is the body's.
func head(method, path, id string, deadline time.Duration, length int) string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n",
		method, path, host, id, deadline.Milliseconds(), key)
	if length > 0 {
		text += fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n", length)
	}
	return text + "\r\n"
}

// sendBody sends a body piece by piece at a steady pace.
func (c *client) sendBody(body []byte, piece int, every time.Duration) error {
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := c.conn.Write(body[:n]); err != nil {
			return err
		}
		body = body[n:]
		time.Sleep(every)
	}
	return nil
}

// receive reads the answer to a request.
func (c *client) receive(id string, within time.Duration) result {
	c.conn.SetReadDeadline(time.Now().Add(within))
	answer, err := http.ReadResponse(c.in, nil)
	var body []byte
	if err == nil {
		body, err = io.ReadAll(answer.Body)
	}
	if err != nil {
		c.rec.add("%s: %s ended without a complete answer: %v", c.name, id, err)
		return result{id: id}
	}
	r := result{id: id, status: answer.StatusCode, seal: answer.Header.Get("X-Server-Seal")}
	c.rec.add("%s: %s answered %d, seal %q, body of %d bytes", c.name, id, r.status, r.seal, len(body))
	return r
}
