// Package server is a stand-in for a nomination server on loopback. It answers
// after some work and keeps what has arrived and what has run.
package server

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

// Options are what a server is like.
type Options struct {
	Name string
	Work func() time.Duration // of each request; nil: none
	Most int                  // requests under way; more get 503; 0: no limit
	Keep int                  // arrivals kept, the newest; 0: all
	Log  func(text string)    // nil: nothing
}

// Arrival is a request that came whole.
type Arrival struct {
	ID, Method string
	At         time.Time
	Ran        bool
}

// Server is one.
type Server struct {
	Addr string

	opt    Options
	ln     net.Listener
	http   *fasthttp.Server
	under  atomic.Int64
	probes atomic.Int64
	conns  atomic.Int64
	silent atomic.Bool
	mu     sync.Mutex
	log    []Arrival
}

// Listen starts a server. Port 0 takes a free one.
func Listen(addr string, opt Options) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: ln.Addr().String(), opt: opt, ln: ln}
	s.http = &fasthttp.Server{Handler: s.handle, NoDefaultDate: true, NoDefaultServerHeader: true, CloseOnShutdown: true,
		ConnState: func(_ net.Conn, state fasthttp.ConnState) {
			if state == fasthttp.StateNew {
				s.conns.Add(1)
			}
		}}
	go s.http.Serve(ln)
	return s, nil
}

// Close ends the server and its connections.
func (s *Server) Close() { s.http.Shutdown() }

// Silence makes the server take requests and say nothing.
func (s *Server) Silence(on bool) { s.silent.Store(on) }

func (s *Server) handle(c *fasthttp.RequestCtx) {
	at := time.Now()
	switch string(c.Path()) {
	case "/-/healthy":
		s.probes.Add(1)
		return
	case "/-/load":
		s.probes.Add(1)
		fmt.Fprintf(c, `{"busy_reqs":%d}`, s.under.Load())
		return
	}
	id, method := string(c.Request.Header.Peek("X-Request-ID")), string(c.Method())
	under := s.under.Add(1)
	defer s.under.Add(-1)
	ran := s.opt.Most == 0 || under <= int64(s.opt.Most)
	s.note(Arrival{id, method, at, ran})
	if s.opt.Log != nil {
		s.opt.Log(fmt.Sprintf("server=%s id=%s method=%s path=%s", s.opt.Name, id, method, c.RequestURI()))
	}
	if s.silent.Load() {
		time.Sleep(10 * time.Second) // longer than anybody waits
		return
	}
	if !ran {
		c.Response.Header.Set("X-Not-Processed", "1")
		c.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	if s.opt.Work != nil {
		time.Sleep(s.opt.Work())
	}
	c.SetContentType("application/json")
	fmt.Fprintf(c, "{\"by\":%q,\"path\":%q,\"bytes\":%d}\n", s.opt.Name, c.Path(), len(c.Request.Body()))
}

func (s *Server) note(a Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.log = append(s.log, a)
	if s.opt.Keep > 0 && len(s.log) > 2*s.opt.Keep {
		s.log = append(s.log[:0], s.log[len(s.log)-s.opt.Keep:]...)
	}
}

// Arrivals are the requests since then, in order.
func (s *Server) Arrivals(since time.Time) (got []Arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.log {
		if !a.At.Before(since) {
			got = append(got, a)
		}
	}
	return got
}

// Probes and Conns are totals since the start.
func (s *Server) Probes() int { return int(s.probes.Load()) }

// Conns is the number of connections ever accepted.
func (s *Server) Conns() int { return int(s.conns.Load()) }
