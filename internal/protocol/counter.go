package protocol

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
)

// Counter is the actor that talks RESP2 to the counter service. Calls are pipelined on one
// connection, and replies come in the same order. No call is ever written twice, since the
// first one may have been added.
type Counter struct {
	host     hostenv.Host
	addr     string
	timeout  time.Duration // a call without a reply ends as timed out
	inbox    *mailbox.Box[any]
	onResult func(name string, status choice.Status, total float64)

	current  *counterConn   // takes new calls
	draining []*counterConn // connections to former addresses: their replies are still read
	dialing  bool
	queue    []*counterCall // calls that wait for the connection
}

type counterCall struct {
	name     string
	wire     []byte
	deadline time.Time
	finished bool // reported to the core; the reply still has to be read
	ping     bool
}

type counterConn struct {
	nc        net.Conn
	pending   []*counterCall // calls without a reply, in order, including unflushed ones
	out       []byte
	unflushed int // number of calls at the end of pending that are still in out
	lastReply time.Time
	closed    bool
}

type (
	dialResult struct {
		addr string
		nc   net.Conn
		err  error
	}
	counterReply struct {
		conn  *counterConn
		kind  replyKind
		total float64
		err   error
	}
)

// replyKind is the meaning of a reply.
type replyKind int

const (
	replyTotal    replyKind = iota // added; carries the new total
	replyPong                      // reply to a ping
	replyBusy                      // overloaded: nothing added
	replyRefused                   // unknown command: nothing added
	replyInvalid                   // unreadable, as is everything behind it: the amount may have been added
	replyConnLost                  // the connection was lost
)

const (
	silentTimeouts = 4               // call timeouts without a reply, after which a connection with pending calls is closed
	pingInterval   = 2 * time.Second // the counter closes idle connections, and a call sent at that moment is lost
	maxTTL         = time.Minute
)

// NewCounter returns an actor on a host (nil: hostenv.Real). It calls onResult once for
// each Add.
func NewCounter(host hostenv.Host, addr string, limit time.Duration, onResult func(string, choice.Status, float64)) *Counter {
	host = hostenv.OrReal(host)
	return &Counter{host: host, addr: addr, timeout: limit, inbox: mailbox.NewBox[any](host), onResult: onResult}
}

// Stop ends Run. Pending calls get no result.
func (c *Counter) Stop() { c.inbox.Put(nil) }

// Add adds an amount to a name; life is its time to live if it is new.
func (c *Counter) Add(name string, amount float64, life time.Duration) {
	num := strconv.FormatFloat(amount, 'f', -1, 64)
	ms := strconv.FormatInt(max(1, min(life, maxTTL).Milliseconds()), 10)
	c.inbox.Put(&counterCall{name: name, wire: encodeRESP("CNT.ADD", name, num, ms), deadline: c.host.Now().Add(c.timeout)})
}

// SetAddr switches to another address. Calls already written to the old address are not
// repeated; their replies are still read.
func (c *Counter) SetAddr(addr string) { c.inbox.Put(newAddr(addr)) }

// encodeRESP returns a RESP2 array of bulk strings.
func encodeRESP(words ...string) []byte {
	w := append(strconv.AppendInt([]byte("*"), int64(len(words)), 10), '\r', '\n')
	for _, s := range words {
		w = append(strconv.AppendInt(append(w, '$'), int64(len(s)), 10), '\r', '\n')
		w = append(append(w, s...), '\r', '\n')
	}
	return w
}

// Run processes calls until it is stopped.
func (c *Counter) Run() {
	c.dial()
	for {
		for _, m := range c.inbox.Take(c.nextTimeout()) {
			switch m := m.(type) {
			case nil:
				for _, l := range c.connections() {
					l.closed = true
					l.nc.Close()
				}
				return
			case *counterCall:
				c.add(m)
			case newAddr:
				c.setAddr(string(m))
			case dialResult:
				c.handleDialed(m)
			case counterReply:
				c.handleReply(m)
			}
		}
		c.flush()
		c.expire(c.host.Now())
	}
}

// nextTimeout returns the time until the next call times out, or a ping is due.
func (c *Counter) nextTimeout() time.Duration {
	next := c.host.Now().Add(pingInterval)
	if len(c.queue) > 0 {
		next = c.queue[0].deadline
	}
	for _, l := range c.connections() {
		if len(l.pending) > 0 {
			if silentAt := l.lastReply.Add(silentTimeouts * c.timeout); silentAt.Before(next) {
				next = silentAt
			}
		}
		for _, k := range l.pending {
			if !k.finished {
				if k.deadline.Before(next) {
					next = k.deadline
				}
				break
			}
		}
	}
	return max(0, next.Sub(c.host.Now()))
}

// connections returns all connections that may have pending calls.
func (c *Counter) connections() []*counterConn {
	if c.current == nil {
		return c.draining
	}
	return append(slices.Clip(c.draining), c.current)
}

func (c *Counter) setAddr(addr string) {
	if addr == c.addr {
		return
	}
	c.addr, c.dialing = addr, false
	if l := c.current; l != nil {
		written := len(l.pending) - l.unflushed
		c.queue = append(c.queue, l.pending[written:]...)
		l.pending, l.out, l.unflushed = l.pending[:written], nil, 0
		c.current, c.draining = nil, append(c.draining, l)
		c.retire(l)
	}
	c.dial()
}

// retire closes a former connection once it has no pending calls.
func (c *Counter) retire(l *counterConn) {
	if l != c.current && len(l.pending) == 0 {
		c.closeConn(l, 0, choice.Timeout)
	}
}

func (c *Counter) add(k *counterCall) {
	if c.current == nil {
		c.queue = append(c.queue, k)
		c.dial()
		return
	}
	if len(c.current.pending) == 0 {
		c.current.lastReply = c.host.Now() // the silence timeout starts with the first pending call
	}
	c.current.pending = append(c.current.pending, k)
	c.current.out = append(c.current.out, k.wire...)
	c.current.unflushed++
}

func (c *Counter) dial() {
	if c.dialing {
		return
	}
	c.dialing = true
	addr := c.addr
	c.host.Go(func() {
		nc, err := c.host.Dial(addr, c.timeout)
		c.inbox.Put(dialResult{addr, nc, err})
	})
}

func (c *Counter) handleDialed(m dialResult) {
	if m.addr != c.addr || c.current != nil { // the address has changed meanwhile
		if m.err == nil {
			m.nc.Close()
		}
		return
	}
	c.dialing = false
	if m.err != nil {
		log.Printf("event=counter what=connect error=%q", m.err)
		for _, k := range c.queue { // nothing was written
			c.finish(k, choice.ConnectFailed, 0)
		}
		c.queue = nil
		return
	}
	l := &counterConn{nc: m.nc, lastReply: c.host.Now()}
	c.current = l
	c.host.Go(func() {
		in := bufio.NewReaderSize(l.nc, maxLine)
		for {
			a := readReply(in)
			a.conn = l
			c.inbox.Put(a)
			if a.kind >= replyInvalid {
				return
			}
		}
	})
	for _, k := range c.queue {
		c.add(k)
	}
	c.queue = nil
}

// Limits of a reply in bytes: of a line, and of a bulk string.
const (
	maxLine = 512
	maxBulk = 64
)

// readReply reads one reply. Only known replies prove anything: after any other the
// amount counts as added, and the rest of the connection can't be trusted.
func readReply(in *bufio.Reader) counterReply {
	line, err := in.ReadSlice('\n')
	if err != nil && err != bufio.ErrBufferFull {
		return counterReply{kind: replyConnLost, err: err}
	}
	text, whole := strings.CutSuffix(string(line), "\r\n")
	unreadable := counterReply{kind: replyInvalid, err: fmt.Errorf("invalid reply: %.60q", line)}
	if !whole || text == "" {
		return unreadable
	}
	switch word, _, _ := strings.Cut(text[1:], " "); text[0] {
	case '-':
		switch word {
		case "BUSY":
			return counterReply{kind: replyBusy}
		case "ERR":
			return counterReply{kind: replyRefused, err: errors.New(text[1:])}
		}
		return unreadable
	case '+':
		if word == "PONG" {
			return counterReply{kind: replyPong}
		}
		return unreadable
	case ':':
		text = text[1:]
	case '$':
		n, err := strconv.Atoi(text[1:])
		if err != nil || n < 1 || n > maxBulk {
			return unreadable
		}
		bulk := make([]byte, n+2)
		if _, err := io.ReadFull(in, bulk); err != nil {
			return counterReply{kind: replyConnLost, err: err}
		}
		if text, whole = strings.CutSuffix(string(bulk), "\r\n"); !whole {
			return unreadable
		}
	default:
		return unreadable
	}
	total, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(total) || math.IsInf(total, 0) {
		return unreadable
	}
	return counterReply{kind: replyTotal, total: total}
}

// handleReply processes the reply to the oldest pending call, even if it is late.
func (c *Counter) handleReply(m counterReply) {
	l := m.conn
	if l.closed {
		return // already closed
	}
	expected := len(l.pending) > l.unflushed
	if m.kind < replyInvalid && (!expected || l.pending[0].ping != (m.kind == replyPong)) {
		m.kind, m.err = replyInvalid, errors.New("unsolicited reply")
	}
	switch m.kind {
	case replyConnLost:
		c.closeConn(l, l.unflushed, choice.Timeout)
		return
	case replyInvalid: // the counter responds, so this is not a timeout
		log.Printf("event=counter what=spoilt calls=%d error=%q", len(l.pending)-l.unflushed, m.err)
		c.closeConn(l, l.unflushed, choice.Error)
		return
	}
	l.lastReply = c.host.Now()
	k := l.pending[0]
	l.pending = l.pending[1:]
	switch m.kind {
	case replyBusy:
		c.finish(k, choice.Overloaded, 0)
	case replyRefused:
		log.Printf("event=counter what=refused name=%s error=%q", k.name, m.err)
		c.finish(k, choice.ConnectFailed, 0)
	default:
		c.finish(k, choice.OK, m.total)
	}
	c.retire(l)
}

// flush writes all buffered calls at once.
func (c *Counter) flush() {
	l := c.current
	if l == nil || len(l.out) == 0 {
		return
	}
	out := l.out
	l.out = l.out[:0]
	l.nc.SetWriteDeadline(c.host.Now().Add(c.timeout))
	n, err := l.nc.Write(out)
	if err == nil {
		l.unflushed = 0
		return
	}
	// Calls whose last byte was not written are not added; the others may be.
	unsent := l.unflushed
	for _, k := range l.pending[len(l.pending)-l.unflushed:] {
		if n -= len(k.wire); n < 0 {
			break
		}
		unsent--
	}
	c.closeConn(l, unsent, choice.Timeout)
}

// closeConn closes a connection. Its last unsent calls were not written; the others end
// with status, and may have been added.
func (c *Counter) closeConn(l *counterConn, unsent int, status choice.Status) {
	l.closed = true
	if l == c.current {
		c.current = nil
	}
	c.draining = slices.DeleteFunc(c.draining, func(x *counterConn) bool { return x == l })
	l.nc.Close()
	for i, k := range l.pending {
		if i >= len(l.pending)-unsent {
			c.finish(k, choice.ConnectFailed, 0)
		} else {
			c.finish(k, status, 0)
		}
	}
}

func (c *Counter) finish(k *counterCall, status choice.Status, total float64) {
	if !k.finished && !k.ping {
		c.onResult(k.name, status, total)
	}
	k.finished = true
}

// expire ends calls that have timed out, closes silent connections, and pings idle ones.
func (c *Counter) expire(now time.Time) {
	for len(c.queue) > 0 && !now.Before(c.queue[0].deadline) {
		c.finish(c.queue[0], choice.ConnectFailed, 0)
		c.queue = c.queue[1:]
	}
	for _, l := range c.connections() {
		for _, k := range l.pending {
			if now.Before(k.deadline) {
				break
			}
			c.finish(k, choice.Timeout, 0)
		}
		switch idle := now.Sub(l.lastReply); {
		case len(l.pending) > 0 && idle >= silentTimeouts*c.timeout:
			log.Printf("event=counter what=%q calls=%d", "silent, connecting anew", len(l.pending))
			c.closeConn(l, l.unflushed, choice.Timeout)
		case len(l.pending) == 0 && idle >= pingInterval:
			c.add(&counterCall{wire: encodeRESP("PING"), deadline: now.Add(c.timeout), ping: true})
			c.flush()
		}
	}
}
