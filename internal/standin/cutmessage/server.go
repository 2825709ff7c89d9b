package cutmessage

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
)

// Server answers requests with drawn responses, most of which it cuts off. A request's ID, "m" and a number, is the
// seed of its response.
type Server struct {
	IDHeader string
}

// drawResponse draws the response to a request. size is how much of it is sent.
func (s *Server) drawResponse(id string) (m Message, size int, r *rand.Rand) {
	seed, _ := strconv.ParseUint(strings.TrimPrefix(id, "m"), 10, 64)
	r = rand.New(rand.NewPCG(seed, 2))
	m = Draw(r, fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n", s.IDHeader, id), 1<<20)
	if size = m.Cut(r); r.IntN(4) == 0 {
		size = len(m.Wire)
	}
	return m, size, r
}

// Serve serves connections until the listener is closed.
func (s *Server) Serve(ln net.Listener) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(conn.(*net.TCPConn))
	}
}

func (s *Server) serveConn(conn *net.TCPConn) {
	defer conn.Close()
	requests := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		m, size, r := s.drawResponse(request.Header.Get(s.IDHeader))
		if Write(r, conn, m.Wire[:size]) != nil {
			return
		}
		if size < len(m.Wire) {
			DrawEnding(r).End(conn)
			return
		}
	}
}

// Ask sends requests through a gateway, and returns what went wrong with the responses: one that was cut off reached the client as
// a success and looked whole, or a whole one did not come unchanged.
func (s *Server) Ask(t Traffic) (broken []string) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for worker := range workers {
		wg.Go(func() {
			for i := worker; i < t.Count; i += workers {
				if b := s.askOne(t, fmt.Sprint("m", i)); b != "" {
					mu.Lock()
					broken = append(broken, b)
					mu.Unlock()
				}
			}
		})
	}
	wg.Wait()
	return broken
}

// askOne sends one request over a connection of its own. It returns "" if its response is as it should be.
func (s *Server) askOne(t Traffic, id string) string {
	m, size, _ := s.drawResponse(id)
	conn, err := net.Dial("tcp", t.Addr)
	if err != nil {
		return err.Error()
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, t.Head(id)+"\r\n"); err != nil {
		return err.Error()
	}
	status, body, whole := ReadResponse(conn)
	sentWhole, success := size == len(m.Wire), whole && status == http.StatusOK
	switch {
	case success && !sentWhole:
		return fmt.Sprintf("%s: %d of %d bytes were sent, and the client took %d of %d bytes for the whole", id, size, len(m.Wire), len(body), len(m.Body))
	case sentWhole && !success:
		return fmt.Sprintf("%s: sent whole, and the client got %d, whole %v, %d of %d bytes", id, status, whole, len(body), len(m.Body))
	case success && !bytes.Equal(body, m.Body):
		return fmt.Sprintf("%s: came changed", id)
	}
	return ""
}
