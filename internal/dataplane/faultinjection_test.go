package dataplane

import (
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"asterwell/choice"
	"asterwell/internal/faultrules"
	"asterwell/internal/hostenv"
	"asterwell/internal/sysconfig"
	"asterwell/internal/transport"
)

const testConfig = `{"Epoch":"00000001","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":20000000,"HeaderReadMs":3000,"KeepaliveMs":15000},
 "Principals":[{"Name":"ship-1","Credentials":["k1"],"Rank":1,"RatePerS":1000,"BurstSize":1000},
  {"Name":"ship-10","Credentials":["k10"],"Rank":1,"RatePerS":1000,"BurstSize":1000}],
 "Pools":[{"Name":"toy","ProbePath":"/","MaxConns":100}],
 "Sockets":[{"Authority":"toy.example","Policy":[{"Name":"renominate","RouteClass":"effectful","TargetMs":300,"Rank":1,
  "Predicate":{"PathPrefix":"/"},"Effect":{"Backend":"toy","DeadlineMs":3000,"Tries":1}},
  {"Name":"look","RouteClass":"pure","TargetMs":300,"Rank":1,
  "Predicate":{"PathPrefix":"/look"},"Effect":{"Backend":"toy","DeadlineMs":3000,"Tries":1}}]}]}`

// testServer counts what it executes.
type testServer struct {
	mu       sync.Mutex
	runs     map[string]int
	tenants  map[string]string // the tenant in each request's header
	bodySums []string          // checksums of long bodies
}

func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(headerID)
	s.mu.Lock()
	s.runs[id]++
	n := s.runs[id]
	s.tenants[id] = strings.Join(r.Header.Values(headerTenant), ",")
	s.mu.Unlock()
	w.Header().Set(headerID, id)
	if len(body) > 100 {
		body = fmt.Appendf(nil, "%d %x", len(body), sha256.Sum256(body))
		s.mu.Lock()
		s.bodySums = append(s.bodySums, string(body))
		s.mu.Unlock()
	}
	fmt.Fprintf(w, "%s %d %s", id, n, body)
}

func (s *testServer) runsOf(id string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id], s.tenants[id]
}

// fixedInjector applies the same strike to every request of ship-1.
type fixedInjector struct {
	strike     faultrules.Strike
	outcomes   chan string
	unrecorded atomic.Bool // no strike gets on record
}

func (f *fixedInjector) Active() bool { return true }
func (f *fixedInjector) Select(q faultrules.Request, _ time.Duration) (faultrules.Strike, bool) {
	return f.strike, q.Tenant == "ship-1"
}
func (f *fixedInjector) AwaitRecorded(faultrules.Strike, time.Duration) bool {
	return !f.unrecorded.Load()
}
func (f *fixedInjector) RecordUnused(q faultrules.Request, s faultrules.Strike, outcome string) {
	f.RecordOutcome(q, s, outcome)
}
func (f *fixedInjector) RecordOutcome(_ faultrules.Request, _ faultrules.Strike, outcome string) {
	f.outcomes <- outcome
}

// pausableHost is the real host, except that sleeps don't end while it is locked. Only requests that a
// rule holds sleep. So a request that is answered meanwhile has waited for none of them, however busy the
// machine is.
type pausableHost struct {
	hostenv.Host
	sync.RWMutex
}

func (p *pausableHost) Sleep(d time.Duration) {
	p.Host.Sleep(d)
	p.RLock()
	defer p.RUnlock()
}

// testGateway is a gateway with one test server.
type testGateway struct {
	server   *testServer
	injector *fixedInjector
	url      string
	plane    *Plane
	pause    *pausableHost
	quota    func(string) bool
	closing  atomic.Bool // the process is about to end

	servers []Server
}

func newTestGateway(t *testing.T, s faultrules.Strike, configure ...func(*Options)) *testGateway {
	c, err := sysconfig.Parse([]byte(testConfig))
	if err != nil {
		t.Fatal(err)
	}
	gateway := &testGateway{server: &testServer{runs: map[string]int{}, tenants: map[string]string{}}, injector: &fixedInjector{strike: s, outcomes: make(chan string, 1000)},
		pause: &pausableHost{Host: hostenv.Real}, quota: func(string) bool { return true }}
	httpServer := httptest.NewServer(gateway.server)
	t.Cleanup(httpServer.Close)
	start := time.Now()
	o := Options{Zone: "a", Now: func() time.Duration { return time.Hour + time.Since(start) }, MaxServerConns: 100, Seed: 1,
		TakeQuota: func(tenant string, _ float64) (bool, time.Duration) { return gateway.quota(tenant), time.Second },
		Leaving:   func() bool { return false }, Closing: gateway.closing.Load, RetryRatio: 0.2, RetryAllowance: 10, WarmupTime: time.Second, FaultInjector: gateway.injector, Env: gateway.pause}
	for _, f := range configure {
		f(&o)
	}
	p := New(o)
	t.Cleanup(p.Stop)
	gateway.plane = p
	p.Adopt(c.Table())
	gateway.servers = []Server{{ID: "s-1", Addr: httpServer.Listener.Addr().String(), Service: "toy", Zone: "a", Capacity: 50, State: choice.Up}}
	p.SetServers(gateway.servers)
	ln, err := transport.Listen(nil, "127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve(transport.NewServer(p.Handle, transport.MaxStream))
	t.Cleanup(func() { ln.Close() })
	gateway.url = "http://" + ln.Addr().(*net.TCPAddr).String() + "/x"
	return gateway
}

// nextOutcome returns the next outcome on record.
func (g *testGateway) nextOutcome() string {
	select {
	case outcome := <-g.injector.outcomes:
		return outcome
	case <-time.After(10 * time.Second):
		return "nothing"
	}
}

// request makes a request, and returns the status, the body and the time it took.
func (g *testGateway) request(t *testing.T, c *http.Client, key, id, body string, more ...string) (int, string, time.Duration) {
	r, _ := http.NewRequest("POST", g.url, strings.NewReader(body))
	r.Host = "toy.example"
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set(headerID, id)
	for i := 0; i+1 < len(more); i += 2 {
		r.Header.Add(more[i], more[i+1])
	}
	began := time.Now()
	a, err := c.Do(r)
	if err != nil {
		t.Error(id, err)
		return 0, "", 0
	}
	defer a.Body.Close()
	data, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(data), time.Since(began)
}

// TestEffects: each effect as the caller and the server see it; meanwhile another tenant's requests, on
// connections of their own, aren't affected.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		strike       faultrules.Strike
		status, runs int
		body         string
		minTime      time.Duration
		wantOutcome  string
		deadlineMs   string // its deadline in ms
	}{
		{faultrules.Strike{Kind: faultrules.Delay, Delay: 150 * time.Millisecond}, 200, 1, "id 1 b", 150 * time.Millisecond, "delayed", "3000"},
		{faultrules.Strike{Kind: faultrules.Delay, Delay: time.Minute}, 504, 0, "", 400 * time.Millisecond, "never ran", "400"},
		{faultrules.Strike{Kind: faultrules.VanishBefore}, 504, 0, "", 400 * time.Millisecond, "never ran", "400"},
		{faultrules.Strike{Kind: faultrules.VanishAfter}, 504, 1, "", 400 * time.Millisecond, "ran", "400"},
		{faultrules.Strike{Kind: faultrules.Double}, 200, 2, "id 1 b", 0, "ran twice", "3000"},
	} {
		t.Run(string(c.strike.Kind)+c.wantOutcome, func(t *testing.T) {
			t.Parallel()
			g := newTestGateway(t, c.strike)
			g.pause.Lock()
			var wg sync.WaitGroup
			wg.Go(func() {
				status, body, took := g.request(t, &http.Client{}, "k1", "id", "b", "X-Deadline-Ms", c.deadlineMs)
				if status != c.status || body != c.body || took < c.minTime {
					t.Error("struck:", status, body, took)
				}
				if outcome := g.nextOutcome(); outcome != c.wantOutcome {
					t.Error("on record:", outcome)
				}
			})
			client := &http.Client{}
			for i := range 50 {
				id := fmt.Sprint("other-", i)
				status, body, took := g.request(t, client, "k10", id, "b", headerTenant, "ship-1")
				if status != 200 || body != id+" 1 b" {
					t.Error("another's:", status, body, took)
				}
				if n, tenant := g.server.runsOf(id); n != 1 || tenant != "ship-10" {
					t.Error(id, "ran", n, "times for", tenant)
				}
			}
			g.pause.Unlock()
			wg.Wait()
			if n, _ := g.server.runsOf("id"); n != c.runs {
				t.Error("ran", n, "times")
			}
			if len(g.injector.outcomes) > 0 {
				t.Error("another strike:", <-g.injector.outcomes)
			}
		})
	}
}

// TestDoubleQuota: the second execution takes from the caller's own quota, or doesn't happen.
func TestDoubleQuota(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{Kind: faultrules.Double})
	remaining := 1
	g.quota = func(string) bool { remaining--; return remaining >= 0 }
	status, _, _ := g.request(t, &http.Client{}, "k1", "id", "b")
	if outcome := g.nextOutcome(); status != 200 || !strings.Contains(outcome, "quota") {
		t.Error(status, outcome)
	}
	if n, _ := g.server.runsOf("id"); n != 1 {
		t.Error("ran", n, "times")
	}
}

// TestClientLeaves: a held request ends when its client disconnects.
func TestClientLeaves(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{Kind: faultrules.Delay, Delay: 2 * time.Second})
	c, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(g.url, "http://"), "/x"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer k1\r\n%s: id\r\nContent-Length: 0\r\n\r\n", headerID)
	status, _, _ := g.request(t, &http.Client{}, "k10", "other", "b") // by now the first request has arrived
	c.Close()
	if outcome := g.nextOutcome(); status != 200 || !strings.Contains(outcome, "client left") {
		t.Error(status, outcome)
	}
	if n, _ := g.server.runsOf("id"); n != 0 {
		t.Error("ran")
	}
}

// TestOffRecord: a strike that can't be put on record isn't made, and the request is served normally.
func TestOffRecord(t *testing.T) {
	for _, kind := range []faultrules.Kind{faultrules.Delay, faultrules.VanishBefore, faultrules.VanishAfter, faultrules.Double} {
		g := newTestGateway(t, faultrules.Strike{Kind: kind, Delay: time.Minute})
		g.injector.unrecorded.Store(true)
		status, body, _ := g.request(t, &http.Client{}, "k1", "id", "b", "X-Deadline-Ms", "2000")
		if outcome := g.nextOutcome(); status != 200 || body != "id 1 b" || !strings.HasPrefix(outcome, "not made") {
			t.Error(kind, status, body, outcome)
		}
		if n, _ := g.server.runsOf("id"); n != 1 {
			t.Error(kind, "ran", n, "times")
		}
	}
}

// TestKeyPassedOn: a key passes to another tenant, or is revoked, while requests of its former owner are
// held. The rule follows the tenant's name.
func TestKeyPassedOn(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{Kind: faultrules.Delay, Delay: 300 * time.Millisecond})
	g.pause.Lock()
	adopt := func(epoch, ship1, ship10 string) {
		c, err := sysconfig.Parse([]byte(strings.NewReplacer("00000001", epoch, `["k1"]`, ship1, `["k10"]`, ship10).Replace(testConfig)))
		if err != nil {
			t.Fatal(err)
		}
		g.plane.Adopt(c.Table())
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if status, _, took := g.request(t, &http.Client{}, "k1", "held", "b"); status != 200 || took < 300*time.Millisecond {
			t.Error("held over the change:", status, took)
		}
	})
	for g.plane.struckRequests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	adopt("00000002", `["k2"]`, `["k1"]`)
	if status, _, took := g.request(t, &http.Client{}, "k1", "passed on", "b"); status != 200 {
		t.Error("another's by now:", status, took)
	}
	if n, _ := g.server.runsOf("held"); n != 0 || g.plane.struckRequests.Load() != 1 {
		t.Error("the held one ran", n, "times,", g.plane.struckRequests.Load(), "held: another's may have waited for it")
	}
	g.pause.Unlock()
	if status, _, took := g.request(t, &http.Client{}, "k2", "its new key", "b"); status != 200 || took < 300*time.Millisecond {
		t.Error("with the new key:", status, took)
	}
	wg.Wait()
	for id, tenant := range map[string]string{"held": "ship-1", "passed on": "ship-10", "its new key": "ship-1"} {
		if n, of := g.server.runsOf(id); n != 1 || of != tenant {
			t.Error(id, "ran", n, "times for", of)
		}
	}
	adopt("00000003", `["k3"]`, `["k10"]`)
	if status, _, _ := g.request(t, &http.Client{}, "k2", "revoked", "b"); status != 401 {
		t.Error("revoked:", status)
	}
}

// TestStruckRequestsAreBounded: the number of held requests is bounded, whether their clients are still
// connected or not; other tenants aren't affected, and further requests of the struck tenant are served
// normally.
func TestStruckRequestsAreBounded(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{Kind: faultrules.Delay, Delay: 1500 * time.Millisecond})
	addr := strings.TrimSuffix(strings.TrimPrefix(g.url, "http://"), "/x")
	before := runtime.NumGoroutine()
	limit := int(g.plane.maxStruck())
	if limit != 25 { // a quarter of the places for clients
		t.Fatal(limit)
	}
	client := &http.Client{}
	g.request(t, client, "k10", "first", "b") // its connection stays open
	connect := func(prefix string, i int) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer k1\r\n%s: %s-%d\r\nContent-Length: 0\r\n\r\n", headerID, prefix, i)
		return c
	}
	for i := range 1000 { // they disconnect at once, and keep their places while something waits for them
		connect("gone", i).Close()
	}
	if n := runtime.NumGoroutine() - before; n > 500 {
		t.Error(n, "goroutines for clients that left")
	}
	for g.plane.struckRequests.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	g.pause.Lock()
	for i := range 80 {
		c := connect("held", i)
		defer c.Close()
		for i < limit && g.plane.struckRequests.Load() < int64(limit) && g.plane.struckRequests.Load() <= int64(i) {
			time.Sleep(100 * time.Microsecond)
		}
		if n := g.plane.struckRequests.Load(); n > int64(limit)+1 {
			t.Fatal(n, "held")
		}
	}
	for i := range 100 {
		if status, _, took := g.request(t, client, "k10", fmt.Sprint("other-", i), "b"); status != 200 {
			t.Error("another's, beside those held:", status, took)
		}
	}
	if n := g.plane.struckRequests.Load(); n < int64(limit) {
		t.Error(n, "held while others were answered")
	}
	g.pause.Unlock()
	for g.plane.struckRequests.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestRepeatedStreamedBody: requests with streamed bodies are repeated in full, as far as there is memory
// for copies of them.
func TestRepeatedStreamedBody(t *testing.T) {
	g := newTestGateway(t, faultrules.Strike{Kind: faultrules.Double})
	long := strings.Repeat("nomination ", 300_000) // 3.3 MB
	sum := fmt.Sprintf("%d %x", len(long), sha256.Sum256([]byte(long)))
	for _, length := range []int64{int64(len(long)), -1} {
		r, _ := http.NewRequest("POST", g.url, strings.NewReader(long))
		r.Host, r.ContentLength = "toy.example", length
		r.Header.Set("Authorization", "Bearer k1")
		r.Header.Set(headerID, fmt.Sprint("long", length))
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		response.Body.Close()
		if outcome := g.nextOutcome(); response.StatusCode != 200 || outcome != "ran twice" {
			t.Error(length, response.StatusCode, outcome)
		}
	}
	if !slices.Equal(g.server.bodySums, []string{sum, sum, sum, sum}) {
		t.Error("not the same:", g.server.bodySums)
	}
	status, _, _ := g.request(t, http.DefaultClient, "k1", "longer", strings.Repeat(long, 3))
	if outcome := g.nextOutcome(); status != 200 || !strings.HasPrefix(outcome, "not doubled: its body") {
		t.Error(status, outcome)
	}
	if n := g.plane.copiedBytes.Load(); n != 0 {
		t.Error(n, "bytes are still held")
	}
}
