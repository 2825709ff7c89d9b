package bench

import (
	"bufio"
	"bytes"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// line is a kept connection of a client to a process. Requests go out in one pipeline, whoever
// they are from: what befalls one must not touch those beside it.
type line struct {
	addr     string
	patience time.Duration // for the answers to what is said at once; 0: lineTime
	conn     net.Conn
	in       *bufio.Reader
}

// word is one request.
type word struct{ key, path, id string }

// heard is what became of one. Status 0: no answer came; -1: somebody else's did.
type heard struct {
	status int
	took   time.Duration
}

const (
	lineTime   = 3 * time.Second
	deadlineMs = 800 // of a request
)

func (w word) write(to *bytes.Buffer) {
	fmt.Fprintf(to, "POST /%s HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n"+
		"X-Tenant-Name: %s\r\nContent-Length: 4\r\n\r\nbody", w.path, w.key, w.id, w.deadline().Milliseconds(), faultStruck) // a forgery: the key tells
}

func (w word) deadline() time.Duration {
	if w.path == slowPath {
		return slowDeadline
	}
	return deadlineMs * time.Millisecond
}

// say sends requests at once, and returns what became of each.
func (l *line) say(words ...word) []heard {
	all := make([]heard, len(words))
	began := time.Now()
	if l.conn == nil {
		c, err := net.DialTimeout("tcp", l.addr, lineTime)
		if err != nil {
			return all
		}
		l.conn, l.in = c, bufio.NewReader(c)
	}
	var out bytes.Buffer
	for _, w := range words {
		w.write(&out)
	}
	l.conn.SetDeadline(began.Add(cmp.Or(l.patience, lineTime)))
	if _, err := l.conn.Write(out.Bytes()); err != nil {
		l.hangUp()
		return all
	}
	for i, w := range words {
		a, err := http.ReadResponse(l.in, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, a.Body)
			a.Body.Close()
		}
		if err != nil {
			l.hangUp()
			return all
		}
		all[i] = heard{a.StatusCode, time.Since(began)}
		if a.StatusCode == http.StatusOK && a.Header.Get("X-Attempt-Id") != w.id {
			all[i].status = -1
		}
		if a.Close {
			l.hangUp()
			return all
		}
	}
	return all
}

func (l *line) hangUp() {
	if l.conn != nil {
		l.conn.Close()
		l.conn = nil
	}
}

// linesOf are somebody's connections to a process, which stay from one exercise to the next.
func (f *faultFleet) linesOf(n *faultNode, whose string, count int) []*line {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := whose + " " + n.name
	for len(f.lines[key]) < count {
		f.lines[key] = append(f.lines[key], &line{addr: n.ingress()})
	}
	return f.lines[key][:count]
}

// ask sends one request to a process.
func (f *faultFleet) ask(n *faultNode, key, id string) int {
	return f.linesOf(n, "ask", 1)[0].say(word{key, "renominate", id})[0].status
}
