package sim

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"time"
)

// message is a request or an answer as the stand-ins read it.
type message struct {
	first   string
	headers map[string]string // names in lower case
	body    []byte
	begun   time.Duration
}

// readMessage reads one, byte by byte as HTTP/1.1 has it.
func readMessage(c *conn, br *bufio.Reader) (*message, error) {
	if _, err := br.Peek(1); err != nil {
		return nil, err
	}
	m := &message{headers: map[string]string{}, begun: c.begun}
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			return nil, err
		}
		line = strings.TrimRight(line, "\r\n")
		if m.first == "" {
			m.first = line
			continue
		}
		if line == "" {
			break
		}
		key, value, _ := strings.Cut(line, ":")
		m.headers[strings.ToLower(key)] = strings.TrimSpace(value)
	}
	n, _ := strconv.Atoi(m.headers["content-length"])
	m.body = make([]byte, n)
	for got := 0; got < n; {
		k, err := br.Read(m.body[got:])
		if err != nil {
			return nil, err
		}
		got += k
	}
	return m, nil
}

const (
	nodeCores = 2
	nodeQueue = 20
	coldFrom  = 0.3
	coldFor   = 5 * time.Second
)

// node is a nomination server: two cores, a queue, and what goes wrong with it.
type node struct {
	w       *World
	index   int
	id      string
	addr    string
	proc    *Proc
	host    *Host
	started time.Duration // 0: long ago
	knownAt time.Duration // all gateways have been told of that start
	rng     *rand.Rand

	free    int
	waiting []*bell
	slow    float64       // times
	stall   time.Duration // until then
	spoil   float64       // share of answers
	kind    int           // of spoiling; -1: all kinds
	last    time.Duration // of work that came
	idle    time.Duration // connections are closed after that, without a word
	caught  bool          // turns all away, as one that drains does
	done    int
}

// start begins a process at the node's address.
func (n *node) start() {
	n.proc = n.w.s.NewProc(n.id)
	n.host = n.w.net.Host(n.proc, fmt.Sprintf("10.1.0.%d", n.index+1), uint64(n.index))
	n.free, n.waiting = nodeCores, nil
	n.w.rules.ServerWarm(n.id)
	n.host.accept(n.addr, n.serve)
}

// warmth is the share of its capacity that it has now.
func (n *node) warmth() float64 {
	age := n.w.s.now - n.started
	if n.started == 0 || age >= coldFor {
		return 1
	}
	return coldFrom + (1-coldFrom)*age.Seconds()/coldFor.Seconds()
}

func (n *node) serve(c *conn) {
	defer c.Close()
	br := bufio.NewReaderSize(c, 4096)
	from, _, _ := net.SplitHostPort(c.remote)
	gateway, _ := strconv.Atoi(from[strings.LastIndexByte(from, '.')+1:])
	for {
		if n.idle > 0 {
			c.SetReadDeadline(n.host.Now().Add(n.idle))
		}
		m, err := readMessage(c, br)
		if err != nil {
			if c.late(c.until) && n.w.rng.IntN(2) == 0 {
				c.abort()
			}
			return
		}
		c.SetReadDeadline(time.Time{})
		path := strings.Fields(m.first + " - -")[1]
		if strings.HasPrefix(path, "/-/") {
			n.hold()
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 18\r\n\r\n{\"latency_ms\":%3d}", 100); err != nil {
				return
			}
			continue
		}
		if !n.request(c, m, gateway) {
			return
		}
	}
}

// hold waits while the node stands still.
func (n *node) hold() {
	for n.stall > n.w.s.now {
		n.host.Sleep(n.stall - n.w.s.now)
	}
}

// request answers one, and reports whether the connection can go on.
func (n *node) request(c *conn, m *message, gateway int) bool {
	id := m.headers["x-request-id"]
	j := n.w.rules.arrives(n, gateway, id, m.begun)
	n.w.rules.wholeBody(id, len(m.body))
	n.w.note("arrives %s at %s from g%d", id, n.id, gateway)
	work := n.work(j.Once)
	n.w.rules.cold(n, work)
	n.last = n.w.s.now
	n.hold()
	if n.caught || len(n.waiting) >= nodeQueue {
		n.w.seen("turned away")
		_, err := c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n"))
		return err == nil
	}
	n.w.rules.mayRun(id, j)
	if n.free == 0 {
		b := &bell{s: n.w.s}
		n.waiting = append(n.waiting, b)
		b.Wait(-1)
	} else {
		n.free--
	}
	n.w.rules.AttemptRuns(id)
	left := time.Duration(work / n.warmth() * n.slow * float64(time.Second))
	n.host.Sleep(left)
	n.hold()
	if len(n.waiting) > 0 {
		next := n.waiting[0]
		n.waiting = n.waiting[1:]
		next.Notify()
	} else {
		n.free++
	}
	n.done++
	body := []byte(fmt.Sprintf("{\"id\":%q,\"by\":%q,\"n\":%d,\"len\":%d}", id, n.id, n.done, len(m.body)))
	if n.spoil > 0 && n.rng.Float64() < n.spoil {
		return n.spoilt(c, id, body)
	}
	n.w.rules.ServerAnswered(id, body)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err == nil
}

// work is what a request takes on a warm core, in seconds.
func (n *node) work(submit bool) float64 {
	mean := 0.15
	if submit {
		mean = 0.1
	}
	return mean * (0.6 + 0.8*n.rng.Float64())
}

// spoilt answers with what no client may see as a good answer to this request.
func (n *node) spoilt(c *conn, id string, body []byte) bool {
	text := string(body)
	kind := n.rng.IntN(11)
	if n.kind >= 0 {
		kind = n.kind
	}
	switch kind {
	case 0:
		n.w.seen("answer 500")
		c.Write([]byte("HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"))
		return true
	case 1:
		n.w.seen("answer 503 without proof")
		c.Write([]byte("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"))
		return true
	case 2:
		n.w.seen("answer cut short")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text)+9, text)
	case 3:
		n.w.seen("answer with two lengths")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n%s", text)
	case 4:
		n.w.seen("answer without a length")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n\r\n%s", text)
	case 9: // it says how it ends, and does: a good one
		n.w.seen("answer that ends with its connection")
		n.w.rules.ServerAnswered(id, body)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", text)
	case 10:
		n.w.seen("answer without a length, reset half way")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n%s", text[:len(text)/2])
		n.host.Sleep(5 * time.Millisecond)
		c.abort()
	case 5:
		n.w.seen("answer is no HTTP")
		fmt.Fprintf(c, "\x00\x01%s\r\n\r\n", text)
	case 6:
		n.w.seen("answer reset half way")
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text)+9, text[:len(text)/2])
		n.host.Sleep(5 * time.Millisecond)
		c.abort()
	case 8:
		n.w.seen("answer with another behind it")
		n.w.rules.ServerAnswered(id, nil) // the first is the answer
		c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"))
		n.host.Sleep(time.Duration(n.rng.IntN(1500)) * time.Microsecond) // a gateway waits 3 ms for that
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
		return true
	case 7:
		n.w.seen("answer never comes")
		n.host.Sleep(10 * time.Second)
	}
	return false
}
