package bench

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Gateway is a running one: the built binary, as operators start it.
type Gateway struct {
	Name, Addr string

	dir   string
	cmd   *exec.Cmd
	log   logged
	ended chan error
}

// logged keeps what a process says.
type logged struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *logged) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// GatewayOptions are what one is told.
type GatewayOptions struct {
	Binary, Name, Discovery, Counter string
	Gateways                         int
	Seed                             uint64
	SRV                              map[string]any // nil: off
	Settings                         map[string]any
}

// Settings are those of the measurements: quotas far above the load, so that every
// try is inside its quota, and the platform's classes.
func Settings(gateways int) map[string]any {
	var s map[string]any
	err := json.Unmarshal([]byte(`{"balancers": 1, "selfIndex": 0, "locality": "a", "tickMs": 1, "discovery": "automatic",
	"caps": {"cancel": true, "connectTimeoutMs": 250, "idleCloseMs": 15000, "maxRetryAfterMs": 1000, "probes": true,
		"retryAfter": true, "secondCopies": true, "tryLimit": 5},
	"services": [
		{"name": "status-read", "aimMs": 800, "deadlineMs": 3000, "effect": "retryable", "lateWorth": 0.2, "value": 1},
		{"name": "submit-nom", "aimMs": 800, "deadlineMs": 3000, "effect": "fragile", "lateWorth": 0, "value": 3}],
	"contracts": [{"name": "basic", "quotaRate": 100000, "peakUnits": 100000, "valueFactor": 1, "overrunCost": 0.8}],
	"familyInfo": {"sharedCounter": true, "counterTimeoutMs": 50, "maxUnits": 1},
	"loadInfo": {"source": "on_probe", "fields": ["busy_reqs"]},
	"prices": {"crossZone": 0, "waste": 0.08, "lateFail": 0.03},
	"safety": {"answerSlackMs": 8, "coldFrom": 0.3, "coldMs": 3000, "drainGraceMs": 500, "fallMultiple": 2.5, "tipAfterMs": 1000}}`), &s)
	if err != nil {
		panic(err)
	}
	s["balancers"] = gateways
	return s
}

// StartGateway starts one on a free port.
func StartGateway(opt GatewayOptions) (*Gateway, error) {
	dir, err := os.MkdirTemp("", "asterlab-")
	if err != nil {
		return nil, err
	}
	g := &Gateway{Name: opt.Name, dir: dir, ended: make(chan error, 1)}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	g.Addr = ln.Addr().String()
	ln.Close()
	config := map[string]any{"name": opt.Name, "listen": g.Addr, "discovery": opt.Discovery, "counter": opt.Counter,
		"seed": strconv.FormatUint(opt.Seed, 16), "limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{"version": 0, "full": true, "servers": []any{}}, "settings": opt.Settings}
	if err := g.write("config.json", config); err != nil {
		return nil, err
	}
	if opt.SRV == nil {
		opt.SRV = map[string]any{"enabled": false}
	}
	if err := g.WriteSRV(opt.SRV); err != nil {
		return nil, err
	}
	binary, err := filepath.Abs(opt.Binary)
	if err != nil {
		return nil, err
	}
	g.cmd = exec.Command(binary)
	g.cmd.Dir = dir
	g.cmd.Env = append(os.Environ(), "LB_CONFIG=config.json", "ASTERWELL_SRV=srv.json")
	g.cmd.Stdout, g.cmd.Stderr = &g.log, &g.log
	if err := g.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { g.ended <- g.cmd.Wait() }()
	return g, nil
}

// WriteSRV changes the operator's file; Reload makes the gateway read it.
func (g *Gateway) WriteSRV(conf map[string]any) error { return g.write("srv.json", conf) }

// Reload sends SIGHUP.
func (g *Gateway) Reload() error { return g.cmd.Process.Signal(syscall.SIGHUP) }

func (g *Gateway) write(name string, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(g.dir, name), text, 0o600)
}

// Ready waits until the gateway would take requests.
func (g *Gateway) Ready(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get("http://" + g.Addr + "/-/ready")
		if err != nil {
			continue
		}
		resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("gateway %s is not ready after %v; its log:\n%s", g.Name, limit, g.log.String())
}

// Stop ends the gateway as the platform does, and tells how it ended.
func (g *Gateway) Stop() error {
	defer os.RemoveAll(g.dir)
	if err := g.cmd.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	select {
	case err := <-g.ended:
		return err
	case <-time.After(10 * time.Second):
		g.cmd.Process.Kill()
		return fmt.Errorf("gateway %s had to be killed", g.Name)
	}
}

// Log is what the gateway has said so far.
func (g *Gateway) Log() string { return g.log.String() }

// Logged is the last value of a key in the lines of an event; 0 if there is none.
func (g *Gateway) Logged(event, key string) float64 {
	find := regexp.MustCompile(`\b` + regexp.QuoteMeta(key) + `=([0-9.]+)`)
	last := 0.0
	for line := range strings.SplitSeq(g.log.String(), "\n") {
		if !strings.Contains(line, "event="+event+" ") {
			continue
		}
		if m := find.FindStringSubmatch(line); m != nil {
			last, _ = strconv.ParseFloat(m[1], 64)
		}
	}
	return last
}

// MemoryMB is the gateway's resident memory, where the system tells it.
func (g *Gateway) MemoryMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", g.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(text))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseFloat(fields[1], 64)
	return pages * float64(os.Getpagesize()) / (1 << 20)
}
