package program

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"

	"asterwell/internal/scenario"
)

const testSettings = `{"balancers":1,"tickMs":1,"locality":"a",
 "caps":{"cancel":true,"secondCopies":true,"retryAfter":true,"tryLimit":5,"connectTimeoutMs":500,"idleCloseMs":%d},
 "loadInfo":{"source":"on_probe"},
 "services":[{"name":"status-read","aimMs":4000,"deadlineMs":5000,"effect":"retryable","value":1},
  {"name":"submit-nom","aimMs":4000,"deadlineMs":5000,"effect":"fragile","value":3}],
 "contracts":[{"name":"basic","quotaRate":1000,"peakUnits":1000,"valueFactor":1,"overrunCost":1},
  {"name":"tiny","quotaRate":0.5,"peakUnits":1,"valueFactor":1,"overrunCost":1}],
 "familyInfo":{"sharedCounter":false,"maxUnits":1},
 "safety":{"coldFrom":0.3,"coldMs":1000,"drainGraceMs":500,"fallMultiple":2.5,"tipAfterMs":1000}}`

// vars are the requests that scripts send: $read1, $submit1 and so on.
func vars() map[string]string {
	v := map[string]string{
		"ok":      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"busy":    "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"error":   "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n",
		"body64k": strings.Repeat("x", 64<<10),
	}
	for i := range 5 {
		head := func(plan, class, timeout string) string {
			return fmt.Sprintf("Host: service.internal\r\nX-Request-ID: id-%d\r\nX-Tier: %s\r\nX-Priority-Class: %s\r\n"+
				"Cookie: a=b; client=00000000b4d65521\r\nX-Timeout: %s\r\nX-Call-Terms: units=1,spread=1,first=0\r\n", i, plan, class, timeout)
		}
		v[fmt.Sprint("read", i)] = "GET /api HTTP/1.1\r\n" + head("basic", "status-read", "5.000") + "\r\n"
		v[fmt.Sprint("short", i)] = "GET /api HTTP/1.1\r\n" + head("basic", "status-read", "0.250") + "\r\n"
		v[fmt.Sprint("brief", i)] = "POST /api HTTP/1.1\r\n" + head("basic", "submit-nom", "0.250") + "Content-Length: 0\r\n\r\n"
		v[fmt.Sprint("tiny", i)] = "GET /api HTTP/1.1\r\n" + head("tiny", "status-read", "5.000") + "\r\n"
		v[fmt.Sprint("submit", i)] = "POST /api HTTP/1.1\r\n" + head("basic", "submit-nom", "5.000") + "Content-Length: 4\r\n\r\nbody"
		v[fmt.Sprint("headers", i)] = head("basic", "submit-nom", "5.000")
		v[fmt.Sprint("bare", i)] = fmt.Sprintf("Host: h\r\nX-Request-ID: bare-%d\r\nX-Tier: tiny\r\nX-Priority-Class: status-read\r\n", i)
	}
	return v
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	return ln
}

// gateway starts a whole one between a script's peers.
func gateway(t *testing.T, idleMs int) *scenario.Stage {
	t.Helper()
	server, discovery := listen(t), listen(t)
	addr := vacant(t)
	text, err := json.Marshal(map[string]any{
		"name": "n0", "listen": addr, "discovery": discovery.Addr().String(), "seed": "1f",
		"known": map[string]any{"version": 7, "full": true, "servers": []map[string]any{
			{"id": "s-1", "addr": server.Addr().String(), "zone": "a", "state": "up", "weight": 1}}},
		"settings": json.RawMessage(fmt.Sprintf(testSettings, idleMs))})
	if err != nil {
		t.Fatal(err)
	}
	cfg, err := parseConfig(text, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	g, err := New(nil, &Files{Config: cfg, Operator: &Operator{}, SRV: &SRV{}}, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { ended <- g.Run() }()
	t.Cleanup(func() {
		g.Term()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	v := vars()
	for version, state := range map[int]string{42: "up", 43: "draining", 44: "up"} {
		list := fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s-1","addr":%q,"zone":"a","state":%q,"weight":1}]}`,
			version, version == 42, server.Addr(), state)
		v[fmt.Sprint(state, version)] = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
	for { // until it listens
		c, err := net.Dial("tcp", addr)
		if err == nil {
			c.Close()
			break
		}
	}
	return &scenario.Stage{Vars: v, Dial: map[string]string{"client": addr},
		Accept: map[string]net.Listener{"server": server, "discovery": discovery},
		Close:  map[string]func(){"gateway": g.Term, "listener": func() { server.Close() }}}
}

func TestMain(m *testing.M) {
	if os.Getenv("ASTERWELL_TEST_MAIN") != "" { // the program itself, for tests of its process
		os.Exit(Main())
	}
	log.SetOutput(io.Discard)
	os.Exit(m.Run())
}

var vacants atomic.Uint32

// vacant is an address that a gateway may listen on. It is one of its own in the loopback range: a port of 127.0.0.1 that was
// free a moment ago may be somebody's by the time that the gateway listens, or the near end of a connection.
func vacant(t *testing.T) string {
	t.Helper()
	n := uint32(os.Getpid())*251 + vacants.Add(1)
	ln, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 64+n>>16&63, n>>8&255, 1+n%254))
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	return ln.Addr().String()
}

func TestScenarios(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scenarios", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			t.Parallel()
			script, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			idle := 60000
			if strings.Contains(file, "idle") {
				idle = 4000
			}
			gateway(t, idle).Play(t, string(script))
		})
	}
}
