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

const text = `{"Epoch":"00000001","BoundsReq":{"MaxHeaderBytes":16384,"MaxBodyBytes":20000000,"HeaderReadMs":3000,"KeepaliveMs":15000},
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
	sums   []string          // of long bodies
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
	if len(body) > 100 {
		body = fmt.Appendf(nil, "%d %x", len(body), sha256.Sum256(body))
		s.mu.Lock()
		s.sums = append(s.sums, string(body))
		s.mu.Unlock()
	}
	fmt.Fprintf(w, "%s %d %s", id, n, body)
}

func (s *toy) of(id string) (int, string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id], s.tenant[id]
}

// always strikes every request of ship-1 alike.
type always struct {
	strike faultrules.Strike
	told   chan string
	never  atomic.Bool // nothing gets on record
}

func (a *always) Active() bool { return true }
func (a *always) Select(q faultrules.Request, _ time.Duration) (faultrules.Strike, bool) {
	return a.strike, q.Tenant == "ship-1"
}
func (a *always) AwaitRecorded(faultrules.Strike, time.Duration) bool { return !a.never.Load() }
func (a *always) RecordUnused(q faultrules.Request, s faultrules.Strike, what string) {
	a.RecordOutcome(q, s, what)
}
func (a *always) RecordOutcome(_ faultrules.Request, _ faultrules.Strike, what string) {
	a.told <- what
}

// pause is the machine's world, but for requests that a rule holds: as long as it is locked, their time
// doesn't end. So what is answered meanwhile has waited for none of them, however busy the machine is.
type pause struct {
	hostenv.Host
	sync.RWMutex
}

func (p *pause) Sleep(d time.Duration) {
	p.Host.Sleep(d)
	p.RLock()
	defer p.RUnlock()
}

// stage is a gateway before a toy server.
type stage struct {
	toy   *toy
	f     *always
	url   string
	plane *Plane
	pause *pause
	quota func(string) bool
	late  atomic.Bool // it has left for long

	servers []Server
}

func newStage(t *testing.T, s faultrules.Strike, more ...func(*Options)) *stage {
	c, err := sysconfig.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	g := &stage{toy: &toy{ran: map[string]int{}, tenant: map[string]string{}}, f: &always{strike: s, told: make(chan string, 1000)},
		pause: &pause{Host: hostenv.Real}, quota: func(string) bool { return true }}
	back := httptest.NewServer(g.toy)
	t.Cleanup(back.Close)
	start := time.Now()
	o := Options{Zone: "a", Now: func() time.Duration { return time.Hour + time.Since(start) }, MaxServerConns: 100, Seed: 1,
		TakeQuota: func(tenant string, _ float64) (bool, time.Duration) { return g.quota(tenant), time.Second },
		Leaving:   func() bool { return false }, Closing: g.late.Load, RetryRatio: 0.2, RetryAllowance: 10, WarmupTime: time.Second, FaultInjector: g.f, Host: g.pause}
	for _, f := range more {
		f(&o)
	}
	p := New(o)
	t.Cleanup(p.Stop)
	g.plane = p
	p.Adopt(c.Table())
	g.servers = []Server{{ID: "s-1", Addr: back.Listener.Addr().String(), Service: "toy", Zone: "a", Capacity: 50, State: choice.Up}}
	p.SetServers(g.servers)
	ln, err := transport.Listen(nil, "127.0.0.1:0", 100)
	if err != nil {
		t.Fatal(err)
	}
	go ln.Serve(transport.NewServer(p.Handle, transport.MaxStream))
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
		strike       faultrules.Strike
		status, runs int
		body         string
		least        time.Duration
		told         string
		within       string // its deadline, in ms
	}{
		{faultrules.Strike{Kind: faultrules.Delay, Delay: 150 * time.Millisecond}, 200, 1, "id 1 b", 150 * time.Millisecond, "delayed", "3000"},
		{faultrules.Strike{Kind: faultrules.Delay, Delay: time.Minute}, 504, 0, "", 400 * time.Millisecond, "never ran", "400"},
		{faultrules.Strike{Kind: faultrules.VanishBefore}, 504, 0, "", 400 * time.Millisecond, "never ran", "400"},
		{faultrules.Strike{Kind: faultrules.VanishAfter}, 504, 1, "", 400 * time.Millisecond, "ran", "400"},
		{faultrules.Strike{Kind: faultrules.Double}, 200, 2, "id 1 b", 0, "ran twice", "3000"},
	} {
		t.Run(string(c.strike.Kind)+c.told, func(t *testing.T) {
			t.Parallel()
			g := newStage(t, c.strike)
			g.pause.Lock()
			var wg sync.WaitGroup
			wg.Go(func() {
				status, body, took := g.ask(t, &http.Client{}, "k1", "id", "b", "X-Deadline-Ms", c.within)
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
				status, body, took := g.ask(t, client, "k10", id, "b", headerTenant, "ship-1")
				if status != 200 || body != id+" 1 b" {
					t.Error("another's:", status, body, took)
				}
				if n, tenant := g.toy.of(id); n != 1 || tenant != "ship-10" {
					t.Error(id, "ran", n, "times for", tenant)
				}
			}
			g.pause.Unlock()
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
	g := newStage(t, faultrules.Strike{Kind: faultrules.Double})
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
	g := newStage(t, faultrules.Strike{Kind: faultrules.Delay, Delay: 2 * time.Second})
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

// TestOffRecord: what can't be put on record isn't made, and the request goes its way.
func TestOffRecord(t *testing.T) {
	for _, kind := range []faultrules.Kind{faultrules.Delay, faultrules.VanishBefore, faultrules.VanishAfter, faultrules.Double} {
		g := newStage(t, faultrules.Strike{Kind: kind, Delay: time.Minute})
		g.f.never.Store(true)
		status, body, _ := g.ask(t, &http.Client{}, "k1", "id", "b", "X-Deadline-Ms", "2000")
		if what := g.told(); status != 200 || body != "id 1 b" || !strings.HasPrefix(what, "not made") {
			t.Error(kind, status, body, what)
		}
		if n, _ := g.toy.of("id"); n != 1 {
			t.Error(kind, "ran", n, "times")
		}
	}
}

// TestKeyPassedOn: a key goes to another tenant, or to nobody, while its last owner's requests are
// held. The rule follows the name.
func TestKeyPassedOn(t *testing.T) {
	g := newStage(t, faultrules.Strike{Kind: faultrules.Delay, Delay: 300 * time.Millisecond})
	g.pause.Lock()
	adopt := func(epoch, ship1, ship10 string) {
		c, err := sysconfig.Parse([]byte(strings.NewReplacer("00000001", epoch, `["k1"]`, ship1, `["k10"]`, ship10).Replace(text)))
		if err != nil {
			t.Fatal(err)
		}
		g.plane.Adopt(c.Table())
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		if status, _, took := g.ask(t, &http.Client{}, "k1", "held", "b"); status != 200 || took < 300*time.Millisecond {
			t.Error("held over the change:", status, took)
		}
	})
	for g.plane.held.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	adopt("00000002", `["k2"]`, `["k1"]`)
	if status, _, took := g.ask(t, &http.Client{}, "k1", "passed on", "b"); status != 200 {
		t.Error("another's by now:", status, took)
	}
	if n, _ := g.toy.of("held"); n != 0 || g.plane.held.Load() != 1 {
		t.Error("the held one ran", n, "times,", g.plane.held.Load(), "held: another's may have waited for it")
	}
	g.pause.Unlock()
	if status, _, took := g.ask(t, &http.Client{}, "k2", "its new key", "b"); status != 200 || took < 300*time.Millisecond {
		t.Error("with the new key:", status, took)
	}
	wg.Wait()
	for id, tenant := range map[string]string{"held": "ship-1", "passed on": "ship-10", "its new key": "ship-1"} {
		if n, of := g.toy.of(id); n != 1 || of != tenant {
			t.Error(id, "ran", n, "times for", of)
		}
	}
	adopt("00000003", `["k3"]`, `["k10"]`)
	if status, _, _ := g.ask(t, &http.Client{}, "k2", "revoked", "b"); status != 401 {
		t.Error("revoked:", status)
	}
}

// TestHeld: as many are held as may be, with their clients there or gone; others don't notice, and
// the next ones of the struck tenant go free.
func TestHeld(t *testing.T) {
	g := newStage(t, faultrules.Strike{Kind: faultrules.Delay, Delay: 1500 * time.Millisecond})
	addr := strings.TrimSuffix(strings.TrimPrefix(g.url, "http://"), "/x")
	before := runtime.NumGoroutine()
	most := int(g.plane.mayHold())
	if most != 25 { // a quarter of the places for clients
		t.Fatal(most)
	}
	client := &http.Client{}
	g.ask(t, client, "k10", "first", "b") // its connection stays
	knock := func(what string, i int) net.Conn {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(c, "POST /x HTTP/1.1\r\nHost: toy.example\r\nAuthorization: Bearer k1\r\n%s: %s-%d\r\nContent-Length: 0\r\n\r\n", headerID, what, i)
		return c
	}
	for i := range 1000 { // they leave at once, and keep their places as long as something waits for them
		knock("gone", i).Close()
	}
	if n := runtime.NumGoroutine() - before; n > 500 {
		t.Error(n, "goroutines for clients that left")
	}
	for g.plane.held.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
	g.pause.Lock()
	for i := range 80 {
		c := knock("held", i)
		defer c.Close()
		for i < most && g.plane.held.Load() < int64(most) && g.plane.held.Load() <= int64(i) {
			time.Sleep(100 * time.Microsecond)
		}
		if n := g.plane.held.Load(); n > int64(most)+1 {
			t.Fatal(n, "held")
		}
	}
	for i := range 100 {
		if status, _, took := g.ask(t, client, "k10", fmt.Sprint("other-", i), "b"); status != 200 {
			t.Error("another's, beside those held:", status, took)
		}
	}
	if n := g.plane.held.Load(); n < int64(most) {
		t.Error(n, "held while others were answered")
	}
	g.pause.Unlock()
	for g.plane.held.Load() > 0 {
		time.Sleep(time.Millisecond)
	}
}

// TestLongBody: bodies that stream are doubled whole, as far as there is room for copies of them.
func TestLongBody(t *testing.T) {
	g := newStage(t, faultrules.Strike{Kind: faultrules.Double})
	long := strings.Repeat("nomination ", 300_000) // 3.3 MB
	sum := fmt.Sprintf("%d %x", len(long), sha256.Sum256([]byte(long)))
	for _, length := range []int64{int64(len(long)), -1} {
		r, _ := http.NewRequest("POST", g.url, strings.NewReader(long))
		r.Host, r.ContentLength = "toy.example", length
		r.Header.Set("Authorization", "Bearer k1")
		r.Header.Set(headerID, fmt.Sprint("long", length))
		a, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		a.Body.Close()
		if what := g.told(); a.StatusCode != 200 || what != "ran twice" {
			t.Error(length, a.StatusCode, what)
		}
	}
	if !slices.Equal(g.toy.sums, []string{sum, sum, sum, sum}) {
		t.Error("not the same:", g.toy.sums)
	}
	status, _, _ := g.ask(t, http.DefaultClient, "k1", "longer", strings.Repeat(long, 3))
	if what := g.told(); status != 200 || !strings.HasPrefix(what, "not doubled: its body") {
		t.Error(status, what)
	}
	if n := g.plane.copies.Load(); n != 0 {
		t.Error(n, "bytes are still held")
	}
}
