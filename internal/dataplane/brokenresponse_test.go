package dataplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"asterwell/choice"
	"asterwell/internal/faultrules"
	"asterwell/internal/scenario"
	"asterwell/internal/sysconfig"
)

// brokenServer is a stand-in for a server in trouble. It answers the first request of each ID with a given text and further ones
// properly, and leaves its connections open. $id in the text stands for the request's ID.
type brokenServer struct {
	ln net.Listener
	mu sync.Mutex
	// By request ID: the first answer, and how often it was asked.
	texts map[string]string
	asked map[string]int
}

func startBrokenServer(t *testing.T) *brokenServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &brokenServer{ln: ln, texts: map[string]string{}, asked: map[string]int{}}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *brokenServer) serve(conn net.Conn) {
	defer conn.Close()
	for in := bufio.NewReader(conn); ; {
		request, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		io.Copy(io.Discard, request.Body)
		if _, err := io.WriteString(conn, s.answer(request.Header.Get(headerID))); err != nil {
			return
		}
	}
}

const properAnswer = "HTTP/1.1 200 OK\r\nX-Attempt-Id: $id\r\nContent-Length: 6\r\n\r\nproper"

func (s *brokenServer) answer(id string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	text := properAnswer
	if s.asked[id]++; s.asked[id] == 1 {
		text = s.texts[id]
	}
	return strings.ReplaceAll(text, "$id", id)
}

func (s *brokenServer) askedFor(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.asked[id]
}

// brokenGateway is a test gateway in front of a brokenServer.
func brokenGateway(t *testing.T) (*testGateway, *brokenServer) {
	t.Helper()
	g := newTestGateway(t, faultrules.Strike{}, func(o *Options) { o.RetryRatio, o.RetryAllowance = 2, 1000 })
	c, err := sysconfig.Parse([]byte(strings.NewReplacer("00000001", "00000002", `"Tries":1`, `"Tries":3`).Replace(testConfig)))
	if err != nil {
		t.Fatal(err)
	}
	g.plane.Adopt(c.Table())
	server := startBrokenServer(t)
	g.plane.SetServers([]Server{{ID: "s-1", Addr: server.ln.Addr().String(), Service: "toy", Zone: "a", Capacity: 50, State: choice.Up}})
	return g, server
}

// send makes a request that the server answers with text at first, and returns the response and how much of its body came.
func (g *testGateway) send(t *testing.T, server *brokenServer, method, path, id, text string) (response *http.Response, body string, readErr error) {
	t.Helper()
	server.mu.Lock()
	server.texts[id] = text
	server.mu.Unlock()
	request, err := http.NewRequest(method, strings.TrimSuffix(g.url, "/x")+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	request.Host = "toy.example"
	request.Header.Set("Authorization", "Bearer k10")
	request.Header.Set(headerID, id)
	client := &http.Client{Timeout: scenario.Patience}
	response, err = client.Do(request)
	if err != nil {
		t.Fatal(id, err)
	}
	defer response.Body.Close()
	data, readErr := io.ReadAll(response.Body)
	return response, string(data), readErr
}

var allMethods = []string{http.MethodPost, http.MethodGet, http.MethodHead}

// expectRejected checks that a gateway rejects the answers. An effectful request, with each of the methods, may have run: it is sent
// once, and its client gets 502 at once, not 503. A pure one is sent again, and its client gets the proper answer.
func expectRejected(t *testing.T, methods []string, texts ...string) {
	t.Helper()
	g, server := brokenGateway(t)
	for i, text := range texts {
		for _, method := range methods {
			id := fmt.Sprint(method, i)
			began := time.Now()
			response, body, _ := g.send(t, server, method, "/x", id, text)
			late := time.Since(began) > 2*time.Second // its deadline is after 3 s
			if n := server.askedFor(id); response.StatusCode != http.StatusBadGateway || body != "" || len(response.Header["X-Seal"]) > 0 || n != 1 || late {
				t.Errorf("%s, effectful, %.90q: %s %.20q %v, asked %d times, late %v", method, text, response.Status, body, response.Header, n, late)
			}
		}
		id := fmt.Sprint("pure", i)
		response, body, err := g.send(t, server, http.MethodGet, "/look", id, text)
		if n := server.askedFor(id); response.StatusCode != http.StatusOK || body != "proper" || err != nil || n != 2 {
			t.Errorf("pure, %.90q: %s %.20q %v, asked %d times", text, response.Status, body, err, n)
		}
	}
}

// TestInvalidStatus guards against an answer with the status 000 that reached the client as a 200. Whatever else its head
// says proves nothing: not that the request has not run, either.
func TestInvalidStatus(t *testing.T) {
	const fields = "X-Attempt-Id: $id\r\nX-Seal: s\r\n"
	var texts []string
	for _, status := range []string{"000", "099", "600", "999", "00", "0200"} {
		texts = append(texts, "HTTP/1.1 "+status+" OK\r\n"+fields+"Content-Length: 5\r\n\r\nhello",
			"HTTP/1.1 "+status+" OK\r\n"+fields+"X-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 "+status+" OK\r\n"+fields+"Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"HTTP/1.1 "+status+" OK\r\n"+fields+"Content-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000),
			"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 "+status+" OK\r\n"+fields+"Content-Length: 0\r\n\r\n",
			"HTTP/1.1 "+status+" Early Hints\r\n\r\n"+properAnswer)
	}
	expectRejected(t, allMethods, texts...)
}

// TestInvalidFieldNames guards against an answer whose head has a blank or a control byte in the name of a field: the client got
// that line, or the rest of the head for a body. Such a head does not prove that the request has not run, either.
func TestInvalidFieldNames(t *testing.T) {
	const fields = "X-Attempt-Id: $id\r\nX-Seal: s\r\n"
	var texts []string
	for _, line := range []string{"X Note: 1", "X-Note : 1", "X\tNote: 1", " X-Note: 1", "\nX-Note: 1", "X: 1\n", "X: 1\nX-Note: 1", "X: 1\r", "X\rNote: 1", "X\x00Note: 1", "X\x7fNote: 1"} {
		texts = append(texts, "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 5\r\n"+line+"\r\n\r\nhello",
			"HTTP/1.1 200 OK\r\n"+fields+line+"\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
			"HTTP/1.1 200 OK\r\n"+fields+line+"\r\nContent-Length: 100000\r\n\r\n"+strings.Repeat("x", 100000),
			"HTTP/1.1 204 No Content\r\n"+fields+line+"\r\n\r\n",
			"HTTP/1.1 503 Busy\r\n"+fields+"X-Not-Executed: 1\r\n"+line+"\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 421 Not Here\r\n"+fields+line+"\r\nContent-Length: 0\r\n\r\n",
			"HTTP/1.1 103 Early Hints\r\nVia: 1.1 b\r\n"+line+"\r\n\r\n"+properAnswer)
	}
	texts = append(texts, "HTTP/1.1 503 Busy\r\n"+fields+"X-Not-Executed : 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Attempt-Id : $id\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\n"+fields+"Content-Length : 5\r\n\r\nhello", "HTTP/1.1 200 OK\r\n"+fields+"Content-Length: 5\n\r\nhello", "HTTP/1.1 200 OK\n"+fields+"Content-Length: 5\r\n\r\nhello",
		"\r\n\r\nHTTP/1.1 200 OK\r\n"+fields+"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	expectRejected(t, allMethods, texts...)
}

// TestInvalidChunksAndTrailers guards against an answer with invalid field names or line ends in its chunks or trailers. One that has begun
// to be passed on breaks off, and is not asked for again.
func TestInvalidChunksAndTrailers(t *testing.T) {
	const head, hello = "HTTP/1.1 200 OK\r\nX-Attempt-Id: $id\r\nX-Seal: s\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nhello\r\n"
	ends := []string{"0\r\nX Note: 1\r\n\r\n", "0\r\nX-Note : 1\r\n\r\n", "0\r\nX\x01Note: 1\r\n\r\n", "0\r\nX: 1\n\r\n", "0\r\nX: 1\r\n\n", "0\n\r\n", "1\nx\r\n0\r\n\r\n"}
	var texts []string
	for _, end := range ends {
		texts = append(texts, head+hello+end)
	}
	expectRejected(t, []string{http.MethodPost, http.MethodGet}, texts...) // an answer to a HEAD has no chunks
	g, server := brokenGateway(t)
	long := "186a0\r\n" + strings.Repeat("x", 100000) + "\r\n"
	for i, end := range ends {
		for _, path := range []string{"/x", "/look"} {
			id := fmt.Sprint(path, i)
			response, body, err := g.send(t, server, http.MethodGet, path, id, head+long+end)
			if n := server.askedFor(id); response.StatusCode != http.StatusOK || err == nil || n != 1 {
				t.Errorf("%s, %q: %s, %d bytes, %v, asked %d times", path, end, response.Status, len(body), err, n)
			}
		}
	}
	response, body, err := g.send(t, server, http.MethodGet, "/x", "proper", head+long+"0\r\nX-Sum: 1\r\n\r\n")
	if response.StatusCode != http.StatusOK || len(body) != 100000 || err != nil {
		t.Errorf("with a proper trailer: %s, %d bytes, %v", response.Status, len(body), err)
	}
}
