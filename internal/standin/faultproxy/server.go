// Package faultproxy has stand-ins for a server and for a proxy before it that spoils one
// exchange at a chosen byte: it breaks off, falls silent, or brings what belongs to another
// exchange. Who asks through it must give no caller another's answer.
package faultproxy

import (
	"bufio"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The headers of servers.
const (
	HeaderName   = "X-Attempt-Id"
	HeaderSeal   = "X-Server-Seal"
	HeaderNotRun = "X-Not-Executed"
	HeaderTarget = "X-Target-Instance"
)

// Ledger is what ran at all servers that share it, by the requests' names.
type Ledger struct {
	mu      sync.Mutex
	ran     map[string]int
	changed []string
	refuse  map[string]int
	Slow    time.Duration                              // until an arrival is turned away
	Want    func(name, method, path, body string) bool // whether that is what its client sent; nil: not looked at
}

// NewLedger is empty.
func NewLedger() *Ledger { return &Ledger{ran: map[string]int{}, refuse: map[string]int{}} }

// Ran is how often a request has run, at all servers.
func (l *Ledger) Ran(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ran[name]
}

// Changed are the requests that ran otherwise than they were sent.
func (l *Ledger) Changed() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.changed...)
}

// Refuse has so many of a request's arrivals turned away before one runs.
func (l *Ledger) Refuse(name string, times int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse[name] = times
}

// take notes an arrival, and reports whether it runs.
func (l *Ledger) take(name, method, path, body string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.refuse[name] > 0 {
		l.refuse[name]--
		return false
	}
	l.ran[name]++
	if l.Want != nil && !l.Want(name, method, path, body) {
		l.changed = append(l.changed, name)
	}
	return true
}

// Server answers each request with what only that one gets.
type Server struct {
	Addr   string
	ID     string // requests for another instance are turned away: ports are used again
	ln     net.Listener
	ledger *Ledger
}

// Listen starts a server on a free port of a host.
func Listen(host, id string, l *Ledger) (*Server, error) {
	ln, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: ln.Addr().String(), ID: id, ln: ln, ledger: l}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s, nil
}

// Close takes no more connections.
func (s *Server) Close() { s.ln.Close() }

func (s *Server) serve(c net.Conn) {
	defer c.Close()
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		name := r.Header.Get(HeaderName)
		answer := Refusal(http.StatusServiceUnavailable, name)
		if to := r.Header.Get(HeaderTarget); to != "" && to != s.ID {
			answer = Refusal(http.StatusMisdirectedRequest, name)
		} else if s.ledger.take(name, r.Method, r.URL.Path, string(body)) {
			answer = Answer(name, r.URL.Path, string(body))
		} else {
			time.Sleep(s.ledger.Slow)
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
	}
}

// Body is that of the answer to a request. A path that ends with /long gets a long one.
func Body(name, path, sent string) string {
	b := fmt.Sprintf("%s %x\n", name, sha256.Sum256([]byte(sent)))
	if strings.HasSuffix(path, "/long") {
		b = strings.Repeat(b, 100_000/len(b))
	}
	return b
}

// Seal is what a request's answer is stamped with.
func Seal(name string) string { return "seal." + name }

// Answer is a whole one, on the wire. Paths with /chunks/ get it in chunks.
func Answer(name, path, sent string) []byte {
	body := Body(name, path, sent)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n", HeaderName, name, HeaderSeal, Seal(name))
	if !strings.Contains(path, "/chunks/") {
		return fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	half := len(body) / 2
	return fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, half, body[:half], len(body)-half, body[half:])
}

// Refusal says that the request of that name has not run; without a name, whose it is stays untold.
func Refusal(status int, name string) []byte {
	head := fmt.Sprintf("HTTP/1.1 %d %s\r\n%s: 1\r\n", status, http.StatusText(status), HeaderNotRun)
	if name != "" {
		head += HeaderName + ": " + name + "\r\n"
	}
	return []byte(head + "Content-Length: 0\r\n\r\n")
}
