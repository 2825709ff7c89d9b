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

// Counter is the actor that speaks RESP2 to the counter: calls are written one
// after another on one connection, and their answers come in the same order.
// No call is ever written twice, since it may have been added.
type Counter struct {
	world hostenv.Host
	addr  string
	limit time.Duration // a call without an answer ends as timed out
	box   *mailbox.Box[any]
	told  func(name string, status choice.Status, total float64)

	line    *line   // takes calls
	old     []*line // to addresses left since: their answers are still read
	dialing bool
	queue   []*count // wait for the connection
}

type count struct {
	name  string
	wire  []byte
	until time.Time
	ended bool // told the core; its answer still has to be read
	ping  bool
}

type line struct {
	nc    net.Conn
	calls []*count // written, not answered, in order
	out   []byte
	fresh int // of calls, those at the end that are in out
	heard time.Time
	done  bool
}

type (
	lineUp struct {
		addr string
		nc   net.Conn
		err  error
	}
	answer struct {
		line  *line
		kind  kind
		total float64
		err   error
	}
)

// kind is what an answer says.
type kind int

const (
	sum     kind = iota // added, and the total
	pong                // to a ping
	busy                // turned away: nothing added
	refused             // no such call: nothing added
	spoilt              // it can't be read, nor can what follows it: added, for all that is known
	broken              // the connection has ended
)

const (
	deadAfter = 4               // time limits of a call: a connection silent for so long while calls wait is given up
	pingAfter = 2 * time.Second // the counter closes idle connections, and a call that crosses that is lost
	maxLife   = time.Minute
)

// NewCounter returns an actor in a world (nil: the real one). It calls told once for
// each Add.
func NewCounter(world hostenv.Host, addr string, limit time.Duration, told func(string, choice.Status, float64)) *Counter {
	world = hostenv.OrReal(world)
	return &Counter{world: world, addr: addr, limit: limit, box: mailbox.NewBox[any](world), told: told}
}

// Stop ends Run. What waits is not answered.
func (c *Counter) Stop() { c.box.Put(nil) }

// Add adds an amount to a name, which lives that long if it is new.
func (c *Counter) Add(name string, amount float64, life time.Duration) {
	num := strconv.FormatFloat(amount, 'f', -1, 64)
	ms := strconv.FormatInt(max(1, min(life, maxLife).Milliseconds()), 10)
	c.box.Put(&count{name: name, wire: resp("CNT.ADD", name, num, ms), until: c.world.Now().Add(c.limit)})
}

// Move calls the counter at another address from now on. What has been written
// to the old one is not repeated there; its answers are read out.
func (c *Counter) Move(addr string) { c.box.Put(move(addr)) }

// resp is a RESP2 array of bulk strings.
func resp(words ...string) []byte {
	w := append(strconv.AppendInt([]byte("*"), int64(len(words)), 10), '\r', '\n')
	for _, s := range words {
		w = append(strconv.AppendInt(append(w, '$'), int64(len(s)), 10), '\r', '\n')
		w = append(append(w, s...), '\r', '\n')
	}
	return w
}

// Run calls the counter until it is stopped.
func (c *Counter) Run() {
	c.dial()
	for {
		for _, m := range c.box.Take(c.wait()) {
			switch m := m.(type) {
			case nil:
				for _, l := range c.lines() {
					l.done = true
					l.nc.Close()
				}
				return
			case *count:
				c.add(m)
			case move:
				c.move(string(m))
			case lineUp:
				c.up(m)
			case answer:
				c.answered(m)
			}
		}
		c.flush()
		c.expire(c.world.Now())
	}
}

// wait is the time until the next call is overdue, or a ping is due.
func (c *Counter) wait() time.Duration {
	next := c.world.Now().Add(pingAfter)
	if len(c.queue) > 0 {
		next = c.queue[0].until
	}
	for _, l := range c.lines() {
		if len(l.calls) > 0 {
			if dead := l.heard.Add(deadAfter * c.limit); dead.Before(next) {
				next = dead
			}
		}
		for _, k := range l.calls {
			if !k.ended {
				if k.until.Before(next) {
					next = k.until
				}
				break
			}
		}
	}
	return max(0, next.Sub(c.world.Now()))
}

// lines are the connections that calls may wait on.
func (c *Counter) lines() []*line {
	if c.line == nil {
		return c.old
	}
	return append(slices.Clip(c.old), c.line)
}

func (c *Counter) move(addr string) {
	if addr == c.addr {
		return
	}
	c.addr, c.dialing = addr, false
	if l := c.line; l != nil {
		written := len(l.calls) - l.fresh
		c.queue = append(c.queue, l.calls[written:]...)
		l.calls, l.out, l.fresh = l.calls[:written], nil, 0
		c.line, c.old = nil, append(c.old, l)
		c.retire(l)
	}
	c.dial()
}

// retire ends a connection that takes no more calls and owes no more answers.
func (c *Counter) retire(l *line) {
	if l != c.line && len(l.calls) == 0 {
		c.drop(l, 0, choice.Timeout)
	}
}

func (c *Counter) add(k *count) {
	if c.line == nil {
		c.queue = append(c.queue, k)
		c.dial()
		return
	}
	if len(c.line.calls) == 0 {
		c.line.heard = c.world.Now() // silence counts from the first call that waits
	}
	c.line.calls = append(c.line.calls, k)
	c.line.out = append(c.line.out, k.wire...)
	c.line.fresh++
}

func (c *Counter) dial() {
	if c.dialing {
		return
	}
	c.dialing = true
	addr := c.addr
	c.world.Go(func() {
		nc, err := c.world.Dial(addr, c.limit)
		c.box.Put(lineUp{addr, nc, err})
	})
}

func (c *Counter) up(m lineUp) {
	if m.addr != c.addr || c.line != nil { // moved meanwhile
		if m.err == nil {
			m.nc.Close()
		}
		return
	}
	c.dialing = false
	if m.err != nil {
		log.Printf("event=counter what=connect error=%q", m.err)
		for _, k := range c.queue { // nothing was written
			c.end(k, choice.ConnectFailed, 0)
		}
		c.queue = nil
		return
	}
	l := &line{nc: m.nc, heard: c.world.Now()}
	c.line = l
	c.world.Go(func() {
		in := bufio.NewReaderSize(l.nc, maxLine)
		for {
			a := read(in)
			a.line = l
			c.box.Put(a)
			if a.kind >= spoilt {
				return
			}
		}
	})
	for _, k := range c.queue {
		c.add(k)
	}
	c.queue = nil
}

// maxLine is the longest line taken, and maxBulk the longest total.
const (
	maxLine = 512
	maxBulk = 64
)

// read takes one reply. Only what the protocol knows proves anything: of any
// other the amount counts as added, and what follows it can't be trusted.
func read(in *bufio.Reader) answer {
	line, err := in.ReadSlice('\n')
	if err != nil && err != bufio.ErrBufferFull {
		return answer{kind: broken, err: err}
	}
	text, whole := strings.CutSuffix(string(line), "\r\n")
	unreadable := answer{kind: spoilt, err: fmt.Errorf("not an answer: %.60q", line)}
	if !whole || text == "" {
		return unreadable
	}
	switch word, _, _ := strings.Cut(text[1:], " "); text[0] {
	case '-':
		switch word {
		case "BUSY":
			return answer{kind: busy}
		case "ERR":
			return answer{kind: refused, err: errors.New(text[1:])}
		}
		return unreadable
	case '+':
		if word == "PONG" {
			return answer{kind: pong}
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
			return answer{kind: broken, err: err}
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
	return answer{kind: sum, total: total}
}

// answered takes the reply to the oldest call, be it late.
func (c *Counter) answered(m answer) {
	l := m.line
	if l.done {
		return // given up
	}
	owed := len(l.calls) > l.fresh
	if m.kind < spoilt && (!owed || l.calls[0].ping != (m.kind == pong)) {
		m.kind, m.err = spoilt, errors.New("nobody asked for that")
	}
	switch m.kind {
	case broken:
		c.drop(l, l.fresh, choice.Timeout)
		return
	case spoilt: // the counter works: that is no silence
		log.Printf("event=counter what=spoilt calls=%d error=%q", len(l.calls)-l.fresh, m.err)
		c.drop(l, l.fresh, choice.Error)
		return
	}
	l.heard = c.world.Now()
	k := l.calls[0]
	l.calls = l.calls[1:]
	switch m.kind {
	case busy:
		c.end(k, choice.Overloaded, 0)
	case refused:
		log.Printf("event=counter what=refused name=%s error=%q", k.name, m.err)
		c.end(k, choice.ConnectFailed, 0)
	default:
		c.end(k, choice.OK, m.total)
	}
	c.retire(l)
}

// flush writes the calls that have gathered, in one go.
func (c *Counter) flush() {
	l := c.line
	if l == nil || len(l.out) == 0 {
		return
	}
	out := l.out
	l.out = l.out[:0]
	l.nc.SetWriteDeadline(c.world.Now().Add(c.limit))
	n, err := l.nc.Write(out)
	if err == nil {
		l.fresh = 0
		return
	}
	// Calls whose last byte did not go out are not added; the others may be.
	unsent := l.fresh
	for _, k := range l.calls[len(l.calls)-l.fresh:] {
		if n -= len(k.wire); n < 0 {
			break
		}
		unsent--
	}
	c.drop(l, unsent, choice.Timeout)
}

// drop gives a connection up. The last unsent of its calls did not go out; the
// others end with status, and may have been added.
func (c *Counter) drop(l *line, unsent int, status choice.Status) {
	l.done = true
	if l == c.line {
		c.line = nil
	}
	c.old = slices.DeleteFunc(c.old, func(x *line) bool { return x == l })
	l.nc.Close()
	for i, k := range l.calls {
		if i >= len(l.calls)-unsent {
			c.end(k, choice.ConnectFailed, 0)
		} else {
			c.end(k, status, 0)
		}
	}
}

func (c *Counter) end(k *count, status choice.Status, total float64) {
	if !k.ended && !k.ping {
		c.told(k.name, status, total)
	}
	k.ended = true
}

// expire ends what is overdue, and keeps an idle connection open.
func (c *Counter) expire(now time.Time) {
	for len(c.queue) > 0 && !now.Before(c.queue[0].until) {
		c.end(c.queue[0], choice.ConnectFailed, 0)
		c.queue = c.queue[1:]
	}
	for _, l := range c.lines() {
		for _, k := range l.calls {
			if now.Before(k.until) {
				break
			}
			c.end(k, choice.Timeout, 0)
		}
		switch idle := now.Sub(l.heard); {
		case len(l.calls) > 0 && idle >= deadAfter*c.limit:
			log.Printf("event=counter what=%q calls=%d", "silent, connecting anew", len(l.calls))
			c.drop(l, l.fresh, choice.Timeout)
		case len(l.calls) == 0 && idle >= pingAfter:
			c.add(&count{wire: resp("PING"), until: now.Add(c.limit), ping: true})
			c.flush()
		}
	}
}
