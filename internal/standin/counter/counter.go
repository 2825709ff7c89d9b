// Package counter is a stand-in for the shared quota counter: RESP2 with CNT.ADD,
// and the faults it is known for.
package counter

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Counter adds to named numbers.
type Counter struct {
	Addr string

	ln     net.Listener
	mu     sync.Mutex
	sums   map[string]*sum
	calls  int
	busy   bool
	silent chan struct{} // closed when it speaks again; nil: it does
	conns  map[net.Conn]bool
}

type sum struct {
	total float64
	until time.Time
}

// longest is how long a name lives at the most.
const longest = time.Minute

// Listen starts a counter.
func Listen(addr string) (*Counter, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	return Serve(ln), nil
}

// Serve starts a counter behind a listener.
func Serve(ln net.Listener) *Counter {
	c := &Counter{Addr: ln.Addr().String(), ln: ln, sums: map[string]*sum{}, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			c.mu.Lock()
			c.conns[conn] = true
			c.mu.Unlock()
			go c.serve(conn)
		}
	}()
	return c
}

// Close ends the counter and its connections.
func (c *Counter) Close() {
	c.ln.Close()
	c.Silence(false)
	c.mu.Lock()
	defer c.mu.Unlock()
	for conn := range c.conns {
		conn.Close()
	}
}

// Silence holds all answers back; calls are added all the same, and answered late.
func (c *Counter) Silence(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if on && c.silent == nil {
		c.silent = make(chan struct{})
	} else if !on && c.silent != nil {
		close(c.silent)
		c.silent = nil
	}
}

// Forget empties the counter.
func (c *Counter) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.sums)
}

// Busy turns all calls away.
func (c *Counter) Busy(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = on
}

// Calls is the number of adds so far.
func (c *Counter) Calls() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls
}

func (c *Counter) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		c.mu.Lock()
		delete(c.conns, conn)
		c.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		words, err := command(in)
		if err != nil {
			return
		}
		reply := c.reply(words)
		c.mu.Lock()
		wait := c.silent
		c.mu.Unlock()
		if wait != nil {
			<-wait
		}
		if _, err := io.WriteString(conn, reply); err != nil {
			return
		}
	}
}

func (c *Counter) reply(words []string) string {
	switch strings.ToUpper(words[0]) {
	case "PING":
		return "+PONG\r\n"
	case "CLIENT", "SELECT":
		return "+OK\r\n"
	case "CNT.ADD":
	default:
		return "-ERR no such call\r\n"
	}
	if len(words) != 4 {
		return "-ERR three arguments are wanted\r\n"
	}
	n, err := strconv.ParseFloat(words[2], 64)
	life, lifeErr := strconv.Atoi(words[3])
	if err != nil || lifeErr != nil || life < 1 || len(words[1]) > 64 || n > 1e9 {
		return "-ERR not a name, an amount and a life\r\n"
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy {
		return "-BUSY\r\n"
	}
	c.calls++
	now := time.Now()
	if c.calls%10000 == 0 {
		for name, s := range c.sums {
			if now.After(s.until) {
				delete(c.sums, name)
			}
		}
	}
	s := c.sums[words[1]]
	if s == nil || now.After(s.until) {
		s = &sum{until: now.Add(min(time.Duration(life)*time.Millisecond, longest))}
		c.sums[words[1]] = s
	}
	s.total += n
	text := strconv.FormatFloat(s.total, 'g', 7, 64)
	return fmt.Sprintf("$%d\r\n%s\r\n", len(text), text)
}

// command reads a RESP2 array of bulk strings.
func command(in *bufio.Reader) ([]string, error) {
	n, err := number(in, '*')
	if err != nil || n < 1 || n > 8 {
		return nil, fmt.Errorf("not a command: %d, %v", n, err)
	}
	words := make([]string, n)
	for i := range words {
		size, err := number(in, '$')
		if err != nil || size < 0 || size > 512 {
			return nil, fmt.Errorf("not a word: %d, %v", size, err)
		}
		text := make([]byte, size+2)
		if _, err := io.ReadFull(in, text); err != nil {
			return nil, err
		}
		words[i] = string(text[:size])
	}
	return words, nil
}

func number(in *bufio.Reader, sign byte) (int, error) {
	line, err := in.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if line = strings.TrimRight(line, "\r\n"); line == "" || line[0] != sign {
		return 0, fmt.Errorf("%q", line)
	}
	return strconv.Atoi(line[1:])
}
