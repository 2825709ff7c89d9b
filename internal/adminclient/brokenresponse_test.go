package adminclient

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// startGateway plays a gateway that answers each call with text, and leaves its connections open. It returns its address, and a
// function that returns how many connections and calls there were.
func startGateway(t *testing.T, text string) (addr string, counts func() (conns, calls int)) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	var mu sync.Mutex
	conns, calls := 0, 0
	serve := func(conn net.Conn) {
		defer conn.Close()
		for in := bufio.NewReader(conn); ; {
			request, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			io.Copy(io.Discard, request.Body)
			mu.Lock()
			calls++
			mu.Unlock()
			io.WriteString(conn, text)
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			conns++
			mu.Unlock()
			go serve(conn)
		}
	}()
	return ln.Addr().String(), func() (int, int) {
		mu.Lock()
		defer mu.Unlock()
		return conns, calls
	}
}

// oneRound is a client that calls each address once.
func oneRound(addresses ...string) *Client {
	pauses := 0
	return &Client{Addresses: addresses, Timeout: time.Hour, Now: func() time.Time { return time.Time{} },
		Pause: func(context.Context, time.Duration) error {
			if pauses++; pauses == len(addresses) {
				return context.DeadlineExceeded
			}
			return nil
		}}
}

const properAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ntext"

// expectRejected checks that a client rejects the answers: it calls the next gateway, and if there is none, it does not report that the
// call was not sent.
func expectRejected(t *testing.T, texts ...string) {
	t.Helper()
	proper, _ := startGateway(t, properAnswer)
	for _, text := range texts {
		broken, _ := startGateway(t, text)
		answer, err := oneRound(broken, proper).call(t.Context(), http.MethodPut, "/api/configuration", []byte("{}"))
		if err != nil || answer.At != proper || string(answer.Body) != "text" {
			t.Errorf("%.90q: %+v, %v", text, answer, err)
		}
		answer, err = oneRound(broken).call(t.Context(), http.MethodPut, "/api/configuration", []byte("{}"))
		if failure := (*NoAnswerError)(nil); !errors.As(err, &failure) || !failure.Sent {
			t.Errorf("%.90q alone: %+v, %+v", text, answer, err)
		}
	}
}

// TestInvalidStatus guards against an answer of a gateway with the status 000: reed said that the call was not sent.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999", "00"} {
		expectRejected(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\n{}", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 "+status+" OK\r\nContent-Length: 2\r\n\r\n{}",
			"HTTP/1.1 "+status+" Continue\r\n\r\n"+properAnswer)
	}
}

// TestInvalidFieldNames guards against an answer of a gateway whose head has a blank or a control byte in the name of a field, or a
// line that ends with a lone LF.
func TestInvalidFieldNames(t *testing.T) {
	for _, line := range []string{"X Note: 1", "X-Note : 1", "X\tNote: 1", " X-Note: 1", "\nX-Note: 1", "X: 1\n", "X: 1\nX-Note: 1", "X: 1\r", "X\rNote: 1", "X\x00Note: 1", "Content-Length : 2"} {
		for _, status := range []string{"200 OK", "400 Bad Request", "409 Conflict", "307 Elsewhere", "503 Busy"} {
			expectRejected(t, "HTTP/1.1 "+status+"\r\nLocation: http://127.0.0.1:1/\r\n"+line+"\r\nContent-Length: 2\r\n\r\n{}")
		}
		expectRejected(t, "HTTP/1.1 103 Early Hints\r\nVia: 1.1 b\r\n"+line+"\r\n\r\n"+properAnswer)
	}
	const chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n"
	expectRejected(t, "HTTP/1.1 200 OK\nContent-Length: 2\n\n{}", "\r\n"+properAnswer, chunks+"0\r\nX Note: 1\r\n\r\n", chunks+"0\r\nX-Note : 1\r\n\r\n", chunks+"0\r\nX\x01Note: 1\r\n\r\n")
}

// TestUnusualAnswersPass: what is valid passes, and a connection carries further calls.
func TestUnusualAnswersPass(t *testing.T) {
	for _, text := range []string{properAnswer, "HTTP/1.1 200\r\nX: a,\r\n b\r\nContent-Length:4\r\n\r\ntext", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + properAnswer,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\ntext\r\n0\r\nX-Sum: 1\r\n\r\n"} {
		addr, counts := startGateway(t, text)
		client := oneRound(addr)
		for range 3 {
			if answer, err := client.call(t.Context(), http.MethodPut, "/api/configuration", []byte("{}")); err != nil || string(answer.Body) != "text" {
				t.Errorf("%.90q: %+v, %v", text, answer, err)
			}
		}
		if conns, calls := counts(); conns != 1 || calls != 3 {
			t.Errorf("%.90q: %d connections, %d calls", text, conns, calls)
		}
	}
}
