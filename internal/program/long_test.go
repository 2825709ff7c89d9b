package program

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// pattern is so many bytes, none like its neighbours.
type pattern struct{ at, end int }

func (p *pattern) Read(b []byte) (int, error) {
	if p.at == p.end {
		return 0, io.EOF
	}
	n := min(len(b), p.end-p.at)
	for i := range n {
		b[i] = byte((p.at + i) * 7 / 3)
	}
	p.at += n
	return n, nil
}

// hidden keeps a body's length from the client, which then sends chunks.
type hidden struct{ io.Reader }

// behind puts a server behind a gateway, and returns what posts a body through it.
func behind(t *testing.T, handler http.HandlerFunc) func(id, class string, body io.Reader) (*http.Response, error) {
	t.Helper()
	stage := gateway(t, 60000)
	server := &http.Server{Handler: handler}
	go server.Serve(stage.Accept["server"])
	t.Cleanup(func() { server.Close() })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: time.Minute}
	return func(id, class string, body io.Reader) (*http.Response, error) {
		method := http.MethodPost
		if body == nil {
			method = http.MethodGet
		}
		req, err := http.NewRequest(method, "http://"+stage.Dial["client"]+"/api", body)
		if err != nil {
			t.Fatal(err)
		}
		if p, ok := body.(*pattern); ok {
			req.ContentLength = int64(p.end)
		}
		for k, v := range map[string]string{"X-Request-ID": id, "X-Tier": "basic", "X-Priority-Class": class,
			"Cookie": "client=00000000b4d65521"} {
			req.Header.Set(k, v)
		}
		return client.Do(req)
	}
}

// Bodies and answers of 32 MB go through whole, with and without a length.
func TestLongBothWays(t *testing.T) {
	const size = 32 << 20
	send := behind(t, func(w http.ResponseWriter, r *http.Request) {
		sum := sha256.New()
		n, err := io.Copy(sum, r.Body)
		w.Header().Set("X-Sum", fmt.Sprintf("%x %d %v", sum.Sum(nil), n, err))
		if r.ContentLength > 0 {
			w.Header().Set("Content-Length", fmt.Sprint(size))
		}
		io.Copy(w, &pattern{0, size})
	})
	want := sha256.New()
	io.Copy(want, &pattern{0, size})
	for id, body := range map[string]io.Reader{"length": &pattern{0, size}, "chunks": hidden{&pattern{0, size}}} {
		resp, err := send(id, "submit-nom", body)
		if err != nil {
			t.Fatal(id, err)
		}
		if got, want := resp.Header.Get("X-Sum"), fmt.Sprintf("%x %d <nil>", want.Sum(nil), size); got != want {
			t.Errorf("%s: the server got %s", id, got)
		}
		sum := sha256.New()
		n, err := io.Copy(sum, resp.Body)
		if err != nil || n != size || string(sum.Sum(nil)) != string(want.Sum(nil)) {
			t.Errorf("%s: the client got %d bytes, %v", id, n, err)
		}
		if (resp.ContentLength == size) != (id == "length") {
			t.Errorf("%s: length %d", id, resp.ContentLength)
		}
		resp.Body.Close()
	}
}

// An answer that breaks off after it has begun never looks whole, and is not asked for again.
func TestCutAnswer(t *testing.T) {
	for name, length := range map[string]string{"length": "200000", "chunks": ""} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int32
			send := behind(t, func(w http.ResponseWriter, r *http.Request) {
				calls.Add(1)
				if length != "" {
					w.Header().Set("Content-Length", length)
				}
				io.Copy(w, &pattern{0, 100000})
				w.(http.Flusher).Flush()
				panic(http.ErrAbortHandler)
			})
			resp, err := send("a", "status-read", nil)
			if err != nil {
				t.Fatal(err)
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err == nil || n > 100000 {
				t.Errorf("%d bytes, and then %v", n, err)
			}
			if calls.Load() != 1 {
				t.Errorf("asked %d times", calls.Load())
			}
		})
	}
}

// A body of which a server has got a part goes to no other, whatever became of it.
func TestLongBodyOnce(t *testing.T) {
	var calls atomic.Int32
	send := behind(t, func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1); r.Header.Get("X-Request-ID") == "cut" {
			io.CopyN(io.Discard, r.Body, 100000)
			panic(http.ErrAbortHandler)
		}
		io.Copy(io.Discard, r.Body)
	})
	resp, err := send("cut", "submit-nom", &pattern{0, 8 << 20})
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode < 500 || calls.Load() != 1 {
		t.Errorf("%s, asked %d times", resp.Status, calls.Load())
	}
	// A client that leaves in the middle leaves the server with a body that does not look whole.
	if resp, err = send("left", "submit-nom", io.MultiReader(strings.NewReader(strings.Repeat("x", 100000)), broken{})); err == nil {
		resp.Body.Close()
		t.Error("a body that broke off was answered")
	}
}

type broken struct{}

func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
