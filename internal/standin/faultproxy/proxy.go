package faultproxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/textproto"
	"strconv"
	"strings"
	"sync"
)

// Kind is what happens to an exchange.
type Kind int

// The kinds. Those of the request strike when so many of its bytes have been passed on, those
// of the answer after so many of its own.
const (
	None      Kind = iota
	AskClose       // of the request: both connections are closed
	AskReset       // they are reset
	AskSilent      // nothing more passes, either way
	SayClose       // of the answer
	SayReset
	SaySilent
	Twice   // behind the whole answer come so many bytes of it again
	Before  // so many bytes of Stale come first, then the answer
	Instead // so many bytes of Stale come, and never the answer
	Edited  // the answer comes as Edit makes it
	Ended   // so, and then the connection is closed
	AfterIt // as Before, in the next exchange of the connection, with this one's answer for Stale
)

var kinds = [...]string{"none", "request closed", "request reset", "request silent", "answer closed", "answer reset", "answer silent",
	"second answer", "late answer before", "late answer instead", "answer edited", "answer edited, then closed", "own late answer"}

func (k Kind) String() string { return kinds[k] }

// Fault strikes one exchange.
type Fault struct {
	Kind  Kind
	At    int // byte
	Stale []byte
	Edit  func(answer []byte) []byte
}

// Plan holds the fault for the next exchange at any of the proxies that share it.
type Plan struct {
	mu     sync.Mutex
	next   *Fault
	reused bool
	struck bool
	asked  int
}

// Arm sets the next exchange's fault.
func (p *Plan) Arm(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.next, p.struck, p.reused = &f, false, false
}

// Struck reports whether the fault has met an exchange, and whether on a used connection.
func (p *Plan) Struck() (struck, reused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.struck, p.reused
}

// Asked is how long the last request was that passed whole.
func (p *Plan) Asked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

func (p *Plan) passed(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = n
}

func (p *Plan) take(reused bool) Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next == nil {
		return Fault{}
	}
	f := *p.next
	p.next, p.struck, p.reused = nil, true, reused
	return f
}

// Proxy passes connections on to a server, and strikes by its plan.
type Proxy struct {
	Addr string
	to   string
	ln   net.Listener
	plan *Plan
	mu   sync.Mutex
	open map[net.Conn]bool
}

// Pass starts a proxy on a host, before the server at an address.
func Pass(host, to string, plan *Plan) (*Proxy, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Addr: ln.Addr().String(), to: to, ln: ln, plan: plan, open: map[net.Conn]bool{}}
	go accept(ln, p.pass)
	return p, nil
}

// accept passes each connection on, until there are no more.
func accept(ln net.Listener, pass func(c *net.TCPConn)) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go pass(c.(*net.TCPConn))
	}
}

// Deaf takes no more connections; those that are open stay.
func (p *Proxy) Deaf() { p.ln.Close() }

// Close ends all.
func (p *Proxy) Close() {
	p.ln.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.open {
		c.Close()
	}
}

// pair is a connection and the one to the server that it is passed on by.
type pair struct{ near, far *net.TCPConn }

func (w pair) close() { w.near.Close(); w.far.Close() }

func (w pair) reset() {
	w.near.SetLinger(0)
	w.far.SetLinger(0)
	w.close()
}

// silent lets nothing pass any more, until the near side has gone.
func (w pair) silent() {
	io.Copy(io.Discard, w.near)
	w.close()
}

func (p *Proxy) pass(near *net.TCPConn) {
	p.mu.Lock()
	p.open[near] = true
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.open, near)
		p.mu.Unlock()
		near.Close()
	}()
	c, err := net.Dial("tcp", p.to)
	if err != nil {
		return
	}
	w := pair{near, c.(*net.TCPConn)}
	defer w.close()
	in, back := bufio.NewReader(near), bufio.NewReader(w.far)
	var own []byte // the last answer, to come again
	for n := 0; ; n++ {
		if _, err := in.Peek(1); err != nil {
			return
		}
		f := p.plan.take(n > 0)
		if own != nil {
			f = Fault{Kind: Before, At: len(own), Stale: own}
		}
		var more bool
		if own, more = w.exchange(in, back, f, p.plan); !more {
			return
		}
	}
}

// exchange passes a request and its answer on, and reports whether there may be more.
func (w pair) exchange(in, back *bufio.Reader, f Fault, plan *Plan) (again []byte, more bool) {
	most := -1
	if f.Kind >= AskClose && f.Kind <= AskSilent {
		most = f.At
	}
	asked := &tally{Writer: w.far}
	whole, err := Copy(asked, in, most)
	if err != nil {
		return nil, false
	}
	if whole {
		plan.passed(asked.n)
	}
	if most >= 0 && (!whole || f.Kind == AskSilent) {
		w.end(f.Kind - AskClose)
		return nil, false
	}
	if f.Kind == Before || f.Kind == Instead {
		w.near.Write(f.Stale[:min(f.At, len(f.Stale))])
	}
	var answer bytes.Buffer
	if _, err := Copy(&answer, back, -1); err != nil {
		return nil, false
	}
	out := answer.Bytes()
	switch f.Kind {
	case AskClose, AskReset: // behind its last byte: it has run
		w.end(f.Kind - AskClose)
		return nil, false
	case Instead:
		w.silent()
		return nil, false
	case SayClose, SayReset, SaySilent:
		w.near.Write(out[:min(f.At, len(out))])
		w.end(f.Kind - SayClose)
		return nil, false
	case Twice:
		out = append(bytes.Clone(out), out[:min(f.At, len(out))]...)
	case Edited:
		out = f.Edit(out)
	case Ended:
		w.near.Write(f.Edit(out))
		w.close()
		return nil, false
	case AfterIt:
		again = bytes.Clone(out)
	}
	_, err = w.near.Write(out)
	return again, err == nil
}

// tally counts what is written.
type tally struct {
	io.Writer
	n int
}

func (t *tally) Write(b []byte) (int, error) {
	n, err := t.Writer.Write(b)
	t.n += n
	return n, err
}

// end ends both connections in one of three ways.
func (w pair) end(how Kind) { [...]func(){w.close, w.reset, w.silent}[how]() }

// Copy passes one message on as it comes, at most so many bytes of it (below 0: all), and
// reports whether that was all of it.
func Copy(to io.Writer, in *bufio.Reader, most int) (whole bool, err error) {
	left, cut := most, false
	put := func(b []byte) bool {
		if cut = most >= 0 && len(b) > left; cut {
			b = b[:left]
		}
		left -= len(b)
		if len(b) > 0 {
			_, err = to.Write(b)
		}
		return err == nil && !cut
	}
	head, length, err := readHead(in)
	if err != nil || !put(head) {
		return false, err
	}
	for length > 0 {
		b := make([]byte, min(length, 16<<10))
		if _, err := io.ReadFull(in, b); err != nil {
			return false, err
		}
		if length -= len(b); !put(b) {
			return false, err
		}
	}
	for size := uint64(1); length < 0 && size > 0; {
		line, err2 := in.ReadSlice('\n')
		if err2 == nil {
			size, err2 = strconv.ParseUint(strings.TrimSpace(string(line)), 16, 31)
		}
		if err2 != nil {
			return false, err2
		}
		b := append(bytes.Clone(line), make([]byte, size+2)...)
		if _, err := io.ReadFull(in, b[len(line):]); err != nil {
			return false, err
		}
		if !put(b) {
			return false, err
		}
	}
	return true, nil
}

// readHead reads a message's head; a length below 0 tells of chunks.
func readHead(in *bufio.Reader) (head []byte, length int, err error) {
	for {
		line, err := in.ReadSlice('\n')
		if err != nil {
			return nil, 0, err
		}
		head = append(head, line...)
		key, value, _ := strings.Cut(string(line), ":")
		switch textproto.CanonicalMIMEHeaderKey(key) {
		case "Content-Length":
			if length, err = strconv.Atoi(strings.TrimSpace(value)); err != nil {
				return nil, 0, fmt.Errorf("Content-Length: %w", err)
			}
		case "Transfer-Encoding":
			length = -1
		}
		if len(bytes.TrimSpace(line)) == 0 {
			return head, length, nil
		}
	}
}
