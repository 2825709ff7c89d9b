// Package cutmessage draws HTTP/1.1 messages with bodies and writes them to connections, whole or cut off. It stands
// in for clients that leave and servers that break off in the middle of a message.
package cutmessage

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"sync"
)

// Message is a message with a body, by length or in chunks.
type Message struct {
	Wire []byte
	Body []byte
	cuts []int // places in Wire at which a recipient is likely to take a part for the whole
}

// edgeSizes are lengths of bodies next to which buffers and limits of the gateway end.
var edgeSizes = []int{0, 1, 4096, 8192, 24000, 64 << 10, 100 << 10, 200 << 10}

// Draw draws a message with the start line and the headers of head, each line of which ends with CRLF.
func Draw(r *rand.Rand, head string, maxBody int) Message {
	size := max(0, edgeSizes[r.IntN(len(edgeSizes))]+r.IntN(5)-2)
	m := Message{Body: make([]byte, min(size, maxBody))}
	for i := range m.Body {
		m.Body[i] = byte(r.Uint32())
	}
	m.Wire = append(m.Wire, head...)
	if r.IntN(2) == 0 {
		m.Wire = fmt.Appendf(m.Wire, "Content-Length: %d\r\n\r\n", len(m.Body))
		m.cuts = append(m.cuts, len(m.Wire))
		m.Wire = append(m.Wire, m.Body...)
	} else {
		m.appendChunks(r)
	}
	m.cuts = append(m.cuts, len(m.Wire)-1, len(m.Wire)-2)
	m.cuts = slices.DeleteFunc(m.cuts, func(at int) bool { return at >= len(m.Wire) })
	return m
}

// appendChunks adds the body in chunks of drawn lengths.
func (m *Message) appendChunks(r *rand.Rand) {
	m.Wire = append(m.Wire, "Transfer-Encoding: chunked\r\n\r\n"...)
	for rest := m.Body; len(rest) > 0; {
		n := 1 + r.IntN(min(len(rest), 1<<(1+r.IntN(17))))
		m.cuts = append(m.cuts, len(m.Wire))
		m.Wire = fmt.Appendf(m.Wire, "%x\r\n", n)
		m.cuts = append(m.cuts, len(m.Wire))
		m.Wire = append(m.Wire, rest[:n]...)
		m.cuts = append(m.cuts, len(m.Wire))
		m.Wire = append(m.Wire, "\r\n"...)
		rest = rest[n:]
	}
	m.cuts = append(m.cuts, len(m.Wire))
	m.Wire = append(m.Wire, "0\r\n"...)
	m.cuts = append(m.cuts, len(m.Wire))
	m.Wire = append(m.Wire, "\r\n"...)
}

// Cut draws how many bytes of a message are sent before it is cut off: fewer than all.
func (m Message) Cut(r *rand.Rand) int {
	if r.IntN(2) == 0 {
		return m.cuts[r.IntN(len(m.cuts))]
	}
	return r.IntN(len(m.Wire))
}

// Ending is how a sender ends its connection.
type Ending int

// The endings of a connection.
const (
	HalfClose Ending = iota // it sends no more, and still reads
	Close
	Reset
	endings
)

// DrawEnding draws an ending.
func DrawEnding(r *rand.Rand) Ending { return Ending(r.IntN(int(endings))) }

// Write writes bytes in a few pieces.
func Write(r *rand.Rand, conn net.Conn, wire []byte) error {
	for len(wire) > 0 {
		n := len(wire)
		if r.IntN(3) > 0 {
			n = 1 + r.IntN(n)
		}
		if _, err := conn.Write(wire[:n]); err != nil {
			return err
		}
		wire = wire[n:]
	}
	return nil
}

// End ends a connection.
func (e Ending) End(conn *net.TCPConn) error {
	switch e {
	case HalfClose:
		return conn.CloseWrite()
	case Reset:
		if err := conn.SetLinger(0); err != nil {
			return err
		}
	}
	return conn.Close()
}

// Traffic is what a Recorder's clients send.
type Traffic struct {
	Addr    string                 // of the gateway
	Count   int                    // messages
	MaxBody int                    // bytes
	Head    func(id string) string // what the message with that ID begins with
}

// Recorder is a server that keeps the bodies of requests that it took for complete, and what its clients have sent.
type Recorder struct {
	IDHeader string // names requests
	mu       sync.Mutex
	bodies   map[string][]byte
	sent     []sentMessage
}

// sentMessage is a message that a client has sent.
type sentMessage struct {
	id     string
	body   []byte
	whole  bool
	detail string
}

// ServeHTTP answers a complete request with its ID.
func (s *Recorder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get(s.IDHeader)
	s.mu.Lock()
	if s.bodies == nil {
		s.bodies = map[string][]byte{}
	}
	s.bodies[id] = body
	s.mu.Unlock()
	w.Header().Set(s.IDHeader, id)
	io.WriteString(w, id)
}

// workers is how many connections are used side by side.
const workers = 8

// Send sends drawn messages, most of them cut off, each over a connection of its own. It draws the same each time.
func (s *Recorder) Send(t Traffic) {
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := worker; i < t.Count; i += workers {
				one := t.sendOne(i)
				s.mu.Lock()
				s.sent = append(s.sent, one)
				s.mu.Unlock()
			}
		})
	}
	wg.Wait()
}

// sendOne sends a message, and waits for its response unless it closes its connection.
func (t Traffic) sendOne(i int) sentMessage {
	r := rand.New(rand.NewPCG(uint64(i), 1))
	one := sentMessage{id: fmt.Sprint("m", i)}
	m := Draw(r, t.Head(one.id), t.MaxBody)
	one.body = m.Body
	conn, err := net.Dial("tcp", t.Addr)
	if err != nil {
		one.detail = err.Error()
		return one
	}
	defer conn.Close()
	size, ending := m.Cut(r), DrawEnding(r)
	if one.whole = r.IntN(8) == 0; one.whole {
		size = len(m.Wire)
	}
	err = Write(r, conn, m.Wire[:size])
	one.detail = fmt.Sprintf("%d of %d bytes sent, %v", size, len(m.Wire), err)
	if !one.whole {
		ending.End(conn.(*net.TCPConn))
		one.detail += fmt.Sprint(", ending ", ending)
	}
	if one.whole || ending == HalfClose {
		status, _, whole := ReadResponse(conn)
		one.detail += fmt.Sprintf(", status %d, whole %v", status, whole)
	}
	return one
}

// Broken returns what went wrong with the messages sent: one that was cut off was taken for complete, or one that was sent
// whole did not arrive unchanged. The server has ended.
func (s *Recorder) Broken() (broken []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, one := range s.sent {
		body, complete := s.bodies[one.id]
		switch {
		case complete && !one.whole:
			broken = append(broken, fmt.Sprintf("%s was cut off, and a server took %d of %d bytes for the whole: %s", one.id, len(body), len(one.body), one.detail))
		case one.whole && !complete:
			broken = append(broken, fmt.Sprintf("%s did not arrive: %s", one.id, one.detail))
		case one.whole && !bytes.Equal(body, one.body):
			broken = append(broken, fmt.Sprintf("%s arrived changed: %s", one.id, one.detail))
		}
	}
	return broken
}

// ReadResponse reads a response, and reports whether it came whole.
func ReadResponse(conn net.Conn) (status int, body []byte, whole bool) {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, nil, false
	}
	body, err = io.ReadAll(response.Body)
	return response.StatusCode, body, err == nil
}
