package openapi

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/hostenv"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
	"asterwell/internal/scenario"
	"asterwell/internal/transport"
)

// standIn is the server behind the gateway. It counts requests by ID once they are
// complete, and then acts as their query says: answer, close the connection, wait, or reject.
type standIn struct {
	net.Listener
	mu      sync.Mutex
	ran     map[string]int
	lines   []string
	release chan struct{} // closed to end all waits
	came    chan string
}

func newStandIn(t *testing.T) *standIn {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &standIn{Listener: ln, ran: map[string]int{}, release: make(chan struct{}), came: make(chan string, 1000)}
	srv := &fasthttp.Server{Handler: s.handle, DisableHeaderNamesNormalizing: true, Logger: log.New(io.Discard, "", 0)}
	go srv.Serve(ln)
	t.Cleanup(func() { ln.Close() })
	return s
}

func (s *standIn) handle(ctx *fasthttp.RequestCtx) {
	id := string(ctx.Request.Header.Peek("X-Request-ID"))
	do := string(ctx.QueryArgs().Peek("do"))
	s.mu.Lock()
	s.lines = append(s.lines, fmt.Sprintf("%s %s %s", ctx.Method(), ctx.Request.Header.RequestURI(), ctx.Request.Body()))
	if do == "away" && s.ran[id] == 0 { // only the first time; the request does not run
		s.ran[id] = 0
		s.mu.Unlock()
		ctx.Response.Header.Set("X-Not-Processed", "1")
		ctx.SetStatusCode(503)
		return
	}
	s.ran[id]++
	s.mu.Unlock()
	s.came <- id
	switch do {
	case "break":
		ctx.Conn().Close()
	case "hold", "holdbreak":
		<-s.release
		if do == "holdbreak" {
			ctx.Conn().Close()
		}
	case "503":
		ctx.SetStatusCode(503)
	case "404":
		ctx.SetStatusCode(404)
	}
	ctx.SetBodyString("ran " + id)
}

func (s *standIn) times(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

type gateway struct {
	*Front
	url string
}

// newGateway runs the front, the core and the connections to the server on real sockets.
func newGateway(t *testing.T, server *standIn, routes []Route, description []byte) *gateway {
	t.Helper()
	set := choice.Settings{Gateways: 1, MaxAttempts: 5, Cancels: true, Hedging: true, RetryAfter: true, MaxUnits: 3,
		Tick: time.Millisecond, Classes: classes, Plans: []choice.Plan{
			{Name: "basic", Rate: 1000, Burst: 1000, ValueFactor: 1, OverrunCost: 1},
			{Name: "tiny", Rate: 0.5, Burst: 1, ValueFactor: 1, OverrunCost: 1}}}
	f := NewFront(set, routes, HeaderNames{CustomerHeader: "X-Api-Key", PlanHeader: "X-Tier", DefaultPlan: "basic"})
	if err := f.Replace(description); err != nil {
		t.Fatal(err)
	}
	fleet := protocol.NewFleet(transport.PeerOptions{ConnectTimeout: 5 * time.Second, IdleTimeout: transport.NewIdleTimeout(time.Minute),
		ConnLimit: transport.NewConnLimit(200)}, false)
	start := time.Now()
	f.Now = func() time.Duration { return time.Hour + time.Since(start) }
	set.Classes = AddNonRetryableVariants(classes)
	core, err := routing.New(set, 1, f.Now, routing.Dependencies{Fleet: fleet})
	if err != nil {
		t.Fatal(err)
	}
	fleet.Results, f.Core, f.Leaving = core, core, func() bool { return false }
	var members []routing.Member
	for i := range 40 { // enough for all requests of a test at once: the module starts with two for each
		members = append(members, routing.Member{Addr: server.Addr().String(), Member: choice.Member{ID: uint32(i + 1), Weight: 1}})
	}
	core.HandleDiscovery(routing.DiscoveryUpdate{Whole: true, Members: members})
	go core.Run()
	ln, err := transport.Listen(nil, "127.0.0.1:0", 200)
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve(transport.NewServer(f.Handle, 64<<10))
	t.Cleanup(func() { core.Stop(); ln.Close() })
	return &gateway{f, "http://" + ln.Addr().String()}
}

func (g *gateway) do(t *testing.T, method, target, body string, headers ...string) (int, string, http.Header) {
	t.Helper()
	req, err := http.NewRequest(method, g.url+target, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	for i := 0; i < len(headers); i += 2 {
		req.Header[headers[i]] = []string{headers[i+1]}
	}
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		t.Error(err)
		return 0, "", nil
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	text.ReadFrom(resp.Body)
	return resp.StatusCode, text.String(), resp.Header
}

func nominations(t *testing.T) []byte {
	t.Helper()
	text, err := os.ReadFile("../../../deploy/nominations.yaml")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// The shipped description serves requests recorded from users: a HAR file of a session,
// and an access log.
func TestRecordedRequests(t *testing.T) {
	server := newStandIn(t)
	g := newGateway(t, server, nil, nominations(t))
	text, err := os.ReadFile("testdata/nominations.har")
	if err != nil {
		t.Fatal(err)
	}
	var har struct {
		Log struct {
			Entries []struct {
				Request struct {
					Method, URL string
					Headers     []struct{ Name, Value string }
					PostData    struct{ Text string }
				}
			}
		}
	}
	if err := json.Unmarshal(text, &har); err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, e := range har.Log.Entries {
		u, err := url.Parse(e.Request.URL)
		if err != nil {
			t.Fatal(err)
		}
		var headers []string
		for _, h := range e.Request.Headers {
			if h.Name != "Host" {
				headers = append(headers, h.Name, h.Value)
			}
		}
		status, body, _ := g.do(t, e.Request.Method, u.RequestURI(), e.Request.PostData.Text, headers...)
		got = append(got, fmt.Sprint(status, " ", body))
	}
	log, err := os.ReadFile("testdata/access.log")
	if err != nil {
		t.Fatal(err)
	}
	common := regexp.MustCompile(`^\S+ \S+ (\S+) \[[^]]*\] "(\S+) (\S+) HTTP/1.1" (\d+)`)
	for i, line := range strings.Split(strings.TrimSpace(string(log)), "\n") {
		m := common.FindStringSubmatch(line)
		headers := []string{"X-Request-ID", fmt.Sprint("log-", i+1)}
		if m[1] != "-" {
			headers = append(headers, "X-Api-Key", m[1])
		}
		status, body, _ := g.do(t, m[2], m[3], "", headers...)
		if fmt.Sprint(status) != m[4] {
			t.Errorf("%s: status %d", line, status)
		}
		if status == 200 {
			got = append(got, fmt.Sprint(status, " ", body))
		}
	}
	want := []string{"200 ran har-1", "200 ran har-2",
		`405 {"detail":"the description has no such method here","status":405,"title":"Method Not Allowed"}`,
		"200 ran log-1", "200 ran log-2", "200 ran log-5"}
	if d := cmp.Diff(want, got); d != "" {
		t.Error(d)
	}
	passed := []string{`POST /v1/nominations {"point":"entry-4","kwh":1200}`,
		"GET /v1/nominations/n%2F81?fields=state&fields=kwh ", "GET /v1/nominations/81 ", "PUT /v1/nominations/82 ",
		"POST /v1/nominations "}
	if d := cmp.Diff(passed, server.lines); d != "" {
		t.Error(d)
	}
}

func TestErrors(t *testing.T) {
	server := newStandIn(t)
	g := newGateway(t, server, nil, nominations(t))
	for name, c := range map[string]struct {
		method, target, body string
		headers              []string
		status               int
	}{
		"no customer":        {"GET", "/v1/nominations/1", "", nil, 401},
		"unknown plan":       {"GET", "/v1/nominations/1", "", []string{"X-Api-Key", "a", "X-Tier", "odd"}, 400},
		"bad time":           {"GET", "/v1/nominations/1", "", []string{"X-Api-Key", "a", "X-Timeout", "soon"}, 400},
		"no path":            {"GET", "/nominations/1", "", []string{"X-Api-Key", "a"}, 404},
		"too large":          {"POST", "/v1/nominations", strings.Repeat("x", 70000), []string{"X-Api-Key", "a"}, 413},
		"the server's 404":   {"GET", "/v1/nominations/1?do=404", "", []string{"X-Api-Key", "a"}, 404},
		"a broken write":     {"POST", "/v1/nominations?do=break", "", []string{"X-Api-Key", "a"}, 502},
		"an unproven 503":    {"POST", "/v1/nominations?do=503", "", []string{"X-Api-Key", "a"}, 502},
		"out of time":        {"POST", "/v1/nominations?do=hold", "", []string{"X-Api-Key", "a", "X-Timeout", "0.2"}, 504},
		"a read that breaks": {"GET", "/v1/nominations/1?do=break", "", []string{"X-Api-Key", "a"}, 503},
	} {
		status, body, h := g.do(t, c.method, c.target, c.body, c.headers...)
		if status != c.status {
			t.Errorf("%s: status %d, want %d: %s", name, status, c.status, body)
		}
		own := name != "too large" && name != "the server's 404"
		if own && h.Get("Content-Type") != "application/problem+json" {
			t.Errorf("%s: content type %q", name, h.Get("Content-Type"))
		}
	}
	close(server.release)
	if _, _, h := g.do(t, "DELETE", "/v1/nominations/1", "", "X-Api-Key", "a"); h.Get("Allow") != "GET, PUT" {
		t.Errorf("Allow: %q", h.Get("Allow"))
	}
	g.do(t, "GET", "/v1/nominations/1", "", "X-Api-Key", "b", "X-Tier", "tiny")
	status, _, h := g.do(t, "GET", "/v1/nominations/1", "", "X-Api-Key", "b", "X-Tier", "tiny")
	if status != 429 || h.Get("Retry-After") != "2" {
		t.Errorf("beyond the quota: status %d, Retry-After %q", status, h.Get("Retry-After"))
	}
}

// An operation is marked safe, but the operator's route forbids repeats, and the
// description is replaced while submissions are in flight. No submission may run twice,
// even if its connection is lost.
func TestNoSubmissionRunsTwice(t *testing.T) {
	before := describe(`
  /submit: {post: {x-asterwell-class: submit-nom, ` + operation + `}}
  /control: {post: {x-asterwell-class: status-read, x-asterwell-repeat: safe, ` + operation + `}}
`)
	after := describe(`
  /submit: {post: {x-asterwell-class: status-read, x-asterwell-repeat: safe, ` + operation + `}}
  /control: {post: {x-asterwell-class: status-read, x-asterwell-repeat: safe, ` + operation + `}}
  /new: {get: {x-asterwell-class: status-read, ` + operation + `}}
`)
	server := newStandIn(t)
	g := newGateway(t, server, []Route{{Path: "/submit", Methods: []string{"POST"}, Repeat: Never}}, before)
	var wait sync.WaitGroup
	var ids []string
	var mu sync.Mutex
	statuses := map[string]int{}
	submit := func(round, do string, n int) {
		for i := range n {
			id := fmt.Sprintf("%s-%s-%d", round, do, i)
			ids = append(ids, id)
			wait.Go(func() {
				status, _, _ := g.do(t, "POST", "/v1/submit?do="+do, "nomination", "X-Request-ID", id, "X-Api-Key", id)
				mu.Lock()
				statuses[id] = status
				mu.Unlock()
			})
		}
		for range n {
			<-server.came
		}
	}
	submit("before", "hold", 3)
	submit("before", "holdbreak", 3)
	if status, _, _ := g.do(t, "GET", "/v1/new", "", "X-Api-Key", "k"); status != 404 {
		t.Errorf("/new before the change: status %d", status)
	}
	// An invalid description is rejected, and the current one stays in use.
	for _, bad := range [][]byte{[]byte("{"), bytes.ReplaceAll(after, []byte("status-read"), []byte("odd"))} {
		if err := g.Replace(bad); err == nil {
			t.Errorf("taken: %s", bad)
		}
	}
	if status, _, _ := g.do(t, "GET", "/v1/new", "", "X-Api-Key", "k"); status != 404 {
		t.Errorf("/new after a rejected change: status %d", status)
	}
	if err := g.Replace(after); err != nil {
		t.Fatal(err)
	}
	if status, _, _ := g.do(t, "GET", "/v1/new", "", "X-Api-Key", "k", "X-Request-ID", "new"); status != 200 {
		t.Errorf("/new after the change: status %d", status)
	}
	<-server.came
	submit("after", "hold", 3)
	submit("after", "holdbreak", 3)
	submit("after", "break", 3)
	submit("after", "503", 3)
	close(server.release)
	wait.Wait()
	for _, id := range ids {
		want := 502
		if strings.Contains(id, "-hold-") {
			want = 200
		}
		if statuses[id] != want {
			t.Errorf("%s: status %d, want %d", id, statuses[id], want)
		}
		if n := server.times(id); n != 1 {
			t.Errorf("%s ran %d times", id, n)
		}
	}
	// Control: the same lost connection without the route does produce a counted repeat.
	g.do(t, "POST", "/v1/control?do=break", "", "X-Request-ID", "control", "X-Api-Key", "k")
	if n := server.times("control"); n < 2 {
		t.Errorf("the control ran %d times: this test would not notice a repeat", n)
	}
}

func TestWatchFile(t *testing.T) {
	server := newStandIn(t)
	first := describe("  /a: {get: {x-asterwell-class: status-read, " + operation + "}}\n")
	g := newGateway(t, server, nil, first)
	file := filepath.Join(t.TempDir(), "api.yaml")
	stop := hostenv.Real.NewNotifier()
	defer stop.Notify()
	go g.WatchFile(file, first, 10*time.Millisecond, stop) // the file is missing at first
	write := func(text []byte) {
		t.Helper()
		if err := os.WriteFile(file, text, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	until := func(target string, want int) {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			if status, _, _ := g.do(t, "GET", target, "", "X-Api-Key", "k"); status == want {
				return
			}
		}
		t.Errorf("%s never gave %d", target, want)
	}
	until("/v1/a", 200)
	write([]byte("openapi: 3.0.3\npaths: {"))
	time.Sleep(50 * time.Millisecond)
	until("/v1/a", 200)
	write(bytes.ReplaceAll(first, []byte("/a:"), []byte("/b:")))
	until("/v1/b", 200)
	until("/v1/a", 404)
}

// scene plays a script between a client of this front and a scripted server.
func playScript(t *testing.T, script string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	g := newGateway(t, &standIn{Listener: ln}, nil, nominations(t))
	stage := scenario.Stage{Accept: map[string]net.Listener{"server": ln}, Dial: map[string]string{"client": g.url[len("http://"):]},
		Vars: map[string]string{"submit": "POST /v1/nominations HTTP/1.1\r\nHost: h\r\nX-Api-Key: k\r\nContent-Length: 4\r\n\r\nbody",
			"headers": "Host: h\r\nX-Api-Key: k\r\n",
			"ok":      "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n\r\nhello"}}
	stage.Play(t, script)
}

// Invalid responses are not passed on by this front either, and the submission is not sent
// again. A response followed by extra bytes is valid.
func TestInvalidResponses(t *testing.T) {
	playScript(t, `
		client1 send "$submit"
		server1 expect "\r\n\r\nbody"
		server1 send "HTTP/1.1 201 Created\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		client1 expect "HTTP/1.1 502 "
		server1 expect closed
		client1 send "$submit"
		server2 expect "\r\n\r\nbody"
		server2 send "HTTP/1.1 102 Processing\r\n\r\n${ok}noise"
		client1 expect "\r\n\r\nhello"
		server2 expect closed
		server3 expect nothing`)
}

// Requests that the platform's front rejects before they reach the core are rejected here too.
func TestInvalidRequests(t *testing.T) {
	playScript(t, `
		client1 send "POST /v1/nominations HTTP/1.1\r\n${headers}Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n$submit"
		client1 expect "HTTP/1.1 400 "
		client1 expect closed
		client2 send "POST /v1/nominations HTTP/1.1\r\n${headers}Content-Length: -4\r\n\r\n"
		client2 expect "HTTP/1.1 400 "
		client2 expect closed
		client3 send "POST /v1/nominations HTTP/1.1\r\n${headers}x-api-key: other\r\nContent-Length: 0\r\n\r\n"
		client3 expect "HTTP/1.1 400 "
		client3 expect "X-Api-Key: more than one"
		client3 send "POST /v1/nominations HTTP/1.1\r\n${headers}X-Timeout: inf\r\nContent-Length: 0\r\n\r\n"
		client3 expect "X-Timeout: not a time"
		server1 expect nothing
		client3 send "POST /v1/nominations HTTP/1.1\r\n${headers}X-Request-ID: same\r\nContent-Length: 1\r\n\r\na"
		server1 expect "\r\n\r\na"
		client4 send "POST /v1/nominations HTTP/1.1\r\n${headers}X-Request-ID: same\r\nContent-Length: 1\r\n\r\nb"
		client4 expect "HTTP/1.1 409 "
		server2 expect nothing
		server1 send "$ok"
		client3 expect "\r\n\r\nhello"
		client5 send "POST /v1/nominations HTTP/1.1\r\n${headers}"
		client5 expect closed`)
}
