package shuttle

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"asterwell/choice"
	"asterwell/internal/bane"
	"asterwell/internal/creed"
	"asterwell/internal/transport"
)

const text = `{"Epoch":"00000001","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000000,"HeaderReadMs":3000,"KeepaliveMs":15000},
 "Principals":[{"Name":"ship-1","Credentials":["k1"],"Rank":1,"RatePerS":1000,"BurstSize":1000},
  {"Name":"ship-10","Credentials":["k10"],"Rank":1,"RatePerS":1000,"BurstSize":1000}],
 "Pools":[{"Name":"toy","ProbePath":"/","MaxConns":100}],
 "Sockets":[{"Authority":"toy.example","Policy":[{"Name":"renominate","RouteClass":"effectful","TargetMs":300,"Rank":1,
  "Predicate":{"PathPrefix":"/"},"Effect":{"Backend":"toy","DeadlineMs":3000,"Tries":1}},
  {"Name":"look","RouteClass":"pure","TargetMs":300,"Rank":1,
  "Predicate":{"PathPrefix":"/look"},"Effect":{"Backend":"toy","DeadlineMs":3000,"Tries":1}}]}]}`

// toy is a server that counts what runs.
type toy struct {
	mu     sync.Mutex
	ran    map[string]int
	tenant map[string]string // that it was told of each request
}

func (s *toy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	id := r.Header.Get(headerID)
	s.mu.Lock()
	s.ran[id]++
	n := s.ran[id]
	s.tenant[id] = strings.Join(r.Header.Values(headerTenant), ",")
	s.mu.Unlock()
	w.Header().Set(headerID, id)
	fmt.Fprintf(w, "%s %d %s", id, n, body)
}

func (s *toy) of(id string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id], s.tenant[id]
}

// always strikes every request of ship-1 alike.
type always struct {
	strike bane.Strike
	told   chan string
}

func (a *always) On() bool { return true }
func (a *always) Strike(q bane.Request, _ time.Duration) (bane.Strike, bool) {
	return a.strike, q.Tenant == "ship-1"
}
func (a *always) Struck(_ bane.Request, _ bane.Strike, what string) { a.told <- what }

// stage is a gateway before a toy server.
type stage struct {
	toy   *toy
	f     *always
	url   string
	quota func(string) bool
	late  atomic.Bool // it has left for long
	plane *Plane
}

func newStage(t *testing.T, s bane.Strike) *stage {
	c, err := creed.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g := &stage{toy: &toy{ran: map[string]int{}, tenant: map[string]string{}}, f: &always{s, make(chan string, 100)},
		quota: func(string) bool { return true }}
	back := httptest.NewServer(g.toy)
	t.Cleanup(back.Close)
	start := time.Now()
	p := New(Options{Zone: "a", Now: func() time.Duration { return time.Hour + time.Since(start) }, Sockets: 100, Seed: 1,
		Pass:    func(tenant string, _ float64) (bool, time.Duration) { return g.quota(tenant), time.Second },
		Leaving: func() bool { return false }, Closing: g.late.Load, RetryRatio: 0.2, RetrySlack: 10, ColdFor: time.Second, Faults: g.f})
	t.Cleanup(p.Stop)
	g.plane = p
	p.Adopt(c.Table())
	p.Serve([]Server{{ID: "s-1", Addr: back.Listener.Addr().String(), Service: "toy", Zone: "a", Capacity: 50, State: choice.Up}})
	ln, err := transport.Listen(nil, "127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve(transport.NewServer(p.Handle, 1<<20))
	t.Cleanup(func() { ln.Close() })
	g.url = "http://" + ln.Addr().(*net.TCPAddr).String() + "/x"
	return g
}

// told is what is on record next.
func (g *stage) told() string {
	select {
	case what := <-g.f.told:
		return what
	case <-time.After(10 * time.Second):
		return "nothing"
	}
}

// ask makes a request, and returns the status, the body and the time it took.
func (g *stage) ask(t *testing.T, c *http.Client, key, id, body string, more ...string) (int, string, time.Duration) {
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

// TestEffects: what each effect looks like to the caller, and to the server; meanwhile
// another tenant's requests, on connections of their own, are as ever.
func TestEffects(t *testing.T) {
	for _, c := range []struct {
		strike       bane.Strike
		status, runs int
		body         string
		least        time.Duration
		told         string
	}{
		{bane.Strike{Kind: bane.Delay, Delay: 150 * time.Millisecond}, 200, 1, "id 1 b", 150 * time.Millisecond, "delayed"},
		{bane.Strike{Kind: bane.Delay, Delay: time.Minute}, 504, 0, "", 400 * time.Millisecond, "never ran"},
		{bane.Strike{Kind: bane.VanishBefore}, 504, 0, "", 400 * time.Millisecond, "never ran"},
		{bane.Strike{Kind: bane.VanishAfter}, 504, 1, "", 400 * time.Millisecond, "ran"},
		{bane.Strike{Kind: bane.Double}, 200, 2, "id 1 b", 0, "ran twice"},
	} {
		t.Run(string(c.strike.Kind)+c.told, func(t *testing.T) {
			t.Parallel()
			g := newStage(t, c.strike)
			var wg sync.WaitGroup
			wg.Go(func() {
				status, body, took := g.ask(t, &http.Client{}, "k1", "id", "b", "X-Deadline-Ms", "400")
				if status != c.status || body != c.body || took < c.least {
					t.Error("struck:", status, body, took)
				}
				if what := g.told(); what != c.told {
					t.Error("on record:", what)
				}
			})
			client := &http.Client{}
			for i := range 50 {
				id := fmt.Sprint("other-", i)
				status, body, took := g.ask(t, client, "k10", id, "b", "X-Deadline-Ms", "400", headerTenant, "ship-1")
				if status != 200 || body != id+" 1 b" || took > 140*time.Millisecond {
					t.Error("another's:", status, body, took)
				}
				if n, tenant := g.toy.of(id); n != 1 || tenant != "ship-10" {
					t.Error(id, "ran", n, "times for", tenant)
				}
			}
			wg.Wait()
			if n, _ := g.toy.of("id"); n != c.runs {
				t.Error("ran", n, "times")
			}
			if len(g.f.told) > 0 {
				t.Error("another strike:", <-g.f.told)
			}
		})
	}
}

// TestDoubleQuota: the second takes from the caller's own quota, or isn't sent.
func TestDoubleQuota(t *testing.T) {
	g := newStage(t, bane.Strike{Kind: bane.Double})
	left := 1
	g.quota = func(string) bool { left--; return left >= 0 }
	status, _, _ := g.ask(t, &http.Client{}, "k1", "id", "b")
	if what := g.told(); status != 200 || !strings.Contains(what, "quota") {
		t.Error(status, what)
	}
	if n, _ := g.toy.of("id"); n != 1 {
		t.Error("ran", n, "times")
	}
}

// TestClientLeaves: a held request ends with its client.
func TestClientLeaves(t *testing.T) {
	g := newStage(t, bane.Strike{Kind: bane.Delay, Delay: 2 * time.Second})
	c, err := net.Dial("tcp", strings.TrimSuffix(strings.TrimPrefix(g.url, "http://"), "/x"))
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer k1\r\n%s: id\r\nContent-Length: 0\r\n\r\n", headerID)
	status, _, _ := g.ask(t, &http.Client{}, "k10", "other", "b") // by then it has come
	c.Close()
	if what := g.told(); status != 200 || !strings.Contains(what, "client left") {
		t.Error(status, what)
	}
	if n, _ := g.toy.of("id"); n != 0 {
		t.Error("ran")
	}
}
