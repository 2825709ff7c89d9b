// Package scenario plays small scripts against a gateway's sockets. Tests use
// it; the programs don't.
//
// A line names a peer, what it does, and with what:
//
//	client1 send "GET / HTTP/1.1\r\n\r\n"
//	server1 expect "GET / HTTP/1.1\r\n"   reads on until this has come
//	server1 expect closed                 the other side ends the connection
//	server1 expect nothing                for a moment: no bytes, or no connection
//	client1 close
//	wait 50ms
//
// A peer's name is a kind and a number. Its kind either dials or accepts, on
// the peer's first line. A $word in a text stands for a variable. Lines that
// begin with # are comments.
package scenario

import (
	"bytes"
	"errors"
	"net"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// Stage is what the peers of a script meet.
type Stage struct {
	Dial   map[string]string       // kinds that connect to an address
	Accept map[string]net.Listener // kinds that are connected to
	Close  map[string]func()       // what closing a peer means that has no connection
	Vars   map[string]string
}

// Patience is how long anything may take, and Moment how long nothing lasts.
const (
	Patience = 10 * time.Second
	Moment   = 150 * time.Millisecond
)

type peer struct {
	net.Conn
	got []byte
}

// Play runs a script and fails the test at its first line that does not hold.
func (s *Stage) Play(t *testing.T, script string) {
	t.Helper()
	peers := map[string]*peer{}
	defer func() {
		for _, p := range peers {
			p.Close()
		}
	}()
	for n, line := range strings.Split(script, "\n") {
		if line = strings.TrimSpace(line); line == "" || line[0] == '#' {
			continue
		}
		if err := s.step(peers, line); err != nil {
			t.Fatalf("line %d: %s: %v", n+1, line, err)
		}
	}
}

func (s *Stage) step(peers map[string]*peer, line string) error {
	name, rest, _ := strings.Cut(line, " ")
	verb, arg, _ := strings.Cut(strings.TrimSpace(rest), " ")
	if name == "wait" {
		d, err := time.ParseDuration(verb)
		time.Sleep(d)
		return err
	}
	if do := s.Close[name]; do != nil && verb == "close" {
		do()
		return nil
	}
	none := verb == "expect" && arg == "nothing"
	p := peers[name]
	if p == nil {
		conn, err := s.connect(strings.TrimRight(name, "0123456789"), none)
		if err != nil || conn == nil {
			return err
		}
		p = &peer{Conn: conn}
		peers[name] = p
	}
	switch {
	case verb == "close":
		return p.Close()
	case none:
		return p.read(Moment, func() bool { return len(p.got) > 0 }, "quiet")
	case verb == "expect" && arg == "closed":
		return p.read(Patience, func() bool { return false }, "end")
	}
	text, err := strconv.Unquote(arg)
	if err != nil {
		return err
	}
	text = os.Expand(text, func(v string) string { return s.Vars[v] })
	if verb == "send" {
		_, err := p.Write([]byte(text))
		return err
	}
	err = p.read(Patience, func() bool { return bytes.Contains(p.got, []byte(text)) }, "text")
	if i := bytes.Index(p.got, []byte(text)); i >= 0 {
		p.got = p.got[i+len(text):]
	}
	return err
}

func (s *Stage) connect(kind string, none bool) (net.Conn, error) {
	if addr, ok := s.Dial[kind]; ok {
		return net.DialTimeout("tcp", addr, Patience)
	}
	ln, ok := s.Accept[kind].(*net.TCPListener)
	if !ok {
		return nil, errors.New("no such kind of peer")
	}
	limit := Patience
	if none {
		limit = Moment
	}
	if err := ln.SetDeadline(time.Now().Add(limit)); err != nil {
		return nil, err
	}
	conn, err := ln.Accept()
	if none && errors.Is(err, os.ErrDeadlineExceeded) {
		return nil, nil
	}
	return conn, err
}

// read reads until done, and says whether that is what was wanted: text that is
// there, an end of the connection, or a quiet moment.
func (p *peer) read(limit time.Duration, done func() bool, want string) error {
	if err := p.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return err
	}
	buf := make([]byte, 4096)
	for !done() {
		n, err := p.Read(buf)
		p.got = append(p.got, buf[:n]...)
		if err == nil || done() {
			continue
		}
		late := errors.Is(err, os.ErrDeadlineExceeded)
		if want == "quiet" && late || want == "end" && !late {
			return nil
		}
		return errors.Join(err, errors.New("so far: "+strconv.Quote(string(p.got))))
	}
	if want == "quiet" {
		return errors.New("came: " + strconv.Quote(string(p.got)))
	}
	return nil
}
