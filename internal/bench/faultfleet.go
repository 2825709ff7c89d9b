package bench

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"asterwell/internal/adminclient"
)

// faultFleet is a system on loopback: processes of loom, and servers that count what runs.
type faultFleet struct {
	dir, binary string
	log         *os.File
	nodes       []*faultNode
	servers     *counts
	http        []*httptest.Server
	version     uint32
	acked       time.Time
	heartbeat   time.Duration   // of the servers; 0: faultHeartbeat
	beats       context.Context // of the servers
	stop        context.CancelFunc
	run         int
	mu          sync.Mutex
	lines       map[string][]*line // by whose they are, for each process
}

type faultNode struct {
	name, ip string
	port     int
	core     bool
	ran      bool // before: it is no first start any more
	cmd      *exec.Cmd
}

func (n *faultNode) ingress() string { return fmt.Sprintf("%s:%d", n.ip, n.port) }
func (n *faultNode) control() string { return fmt.Sprintf("%s:%d", n.ip, n.port+2) }
func (n *faultNode) freeze()         { n.cmd.Process.Signal(syscall.SIGSTOP) }
func (n *faultNode) thaw()           { n.cmd.Process.Signal(syscall.SIGCONT) }
func (n *faultNode) kill()           { n.cmd.Process.Kill(); n.cmd.Wait() }

const (
	faultStruck = "shipper-1"
	faultOthers = "shipper-10" // its name begins with the struck one's
)

// faultConfiguration says whose the keys are.
func faultConfiguration(epoch int, struck, other string) []byte {
	return []byte(fmt.Sprintf(`{"Epoch": "%08x",
 "BoundsReq": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderReadMs": 3000, "KeepaliveMs": 15000},
 "Principals": [{"Name": "`+faultStruck+`", "Credentials": [%q], "Rank": 1, "RatePerS": 5000, "BurstSize": 5000},
  {"Name": "`+faultOthers+`", "Credentials": [%q], "Rank": 1, "RatePerS": 5000, "BurstSize": 5000}],
 "Sockets": [{"Authority": "toy.example", "Policy": [`+faultRoute("renominate")+`,
  `+faultRoute("defer")+`]}],
 "Pools": [{"Name": "toy", "ProbePath": "/probe", "MaxConns": 100, "Protocol": "h1", "Encrypted": false}]}`, epoch, struck, other))
}

func faultRoute(name string) string {
	return `{"Name": "` + name + `", "RouteClass": "effectful", "TargetMs": 300, "Rank": 1, "Anonymous": false,
   "Predicate": {"PathPrefix": "/` + name + `"}, "Effect": {"Backend": "toy", "DeadlineMs": 2000, "Tries": 1}}`
}

// counts is what the servers ran.
type counts struct {
	mu  sync.Mutex
	ids map[string]int // "tenant id"
	by  map[string]int // id
	all int
}

func (c *counts) ran(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.by[id]
}

func (c *counts) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all
}

// twice is how many requests of a tenant ran more than once.
func (c *counts) twice(tenant string) (n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, runs := range c.ids {
		if strings.HasPrefix(id, tenant+" ") && runs > 1 {
			n++
		}
	}
	return n
}

// note counts a request that runs.
func (c *counts) note(r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ids[r.Header.Get("X-Tenant-Name")+" "+id]++
	c.by[id]++
	c.all++
}

// toy is a server that tells what runs.
func toy(name string, ran func(r *http.Request)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/probe" {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		w.Header().Set("X-Attempt-Id", id)
		w.Header().Set("X-Instance-Id", name)
		if to := r.Header.Get("X-Target-Instance"); to != "" && to != name {
			w.Header().Set("X-Not-Executed", "1")
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return // a body that broke off is not run
		}
		ran(r)
		if r.URL.Path == "/"+slowPath {
			select {
			case <-time.After(slowWork):
			case <-r.Context().Done():
			}
		}
		fmt.Fprintf(w, "%s ran", id)
	}
}

// mostNodes is how many have an address of their own on loopback.
const mostNodes = 240

// newFaultFleet makes a fleet with its files in a folder below one; empty: the temporary one.
func newFaultFleet(binary string, nodes int, below string) (*faultFleet, error) {
	if nodes < 3 || nodes > mostNodes {
		return nil, fmt.Errorf("--nodes must be from 3 to %d, not %d", mostNodes, nodes)
	}
	if _, err := os.Stat(binary); err != nil {
		return nil, fmt.Errorf("loom: %w", err)
	}
	dir, err := os.MkdirTemp(below, "asterwell-fleet-")
	if err != nil {
		return nil, err
	}
	f := &faultFleet{dir: dir, binary: binary, lines: map[string][]*line{},
		servers: &counts{ids: map[string]int{}, by: map[string]int{}}}
	if f.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return nil, err
	}
	port, err := sixFree(nodes)
	if err != nil {
		return nil, err
	}
	for i := range nodes {
		f.nodes = append(f.nodes, &faultNode{name: fmt.Sprintf("n%d", i+1), ip: fmt.Sprintf("127.0.0.%d", i+11), port: port, core: i < 3})
	}
	return f, nil
}

// sixFree finds the first of six ports that can be had on all addresses.
func sixFree(nodes int) (int, error) {
next:
	for port := 21000; port < 30000; port += 10 {
		for i := range nodes {
			for p := port; p < port+6; p++ {
				ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.%d:%d", i+11, p))
				if err != nil {
					continue next
				}
				ln.Close()
			}
		}
		return port, nil
	}
	return 0, fmt.Errorf("no six ports are free on %d loopback addresses", nodes)
}

func (f *faultFleet) start(n *faultNode) error {
	zone := string(rune('a' + (n.port+len(n.name)+int(n.name[len(n.name)-1]))%3))
	text := fmt.Sprintf(`NodeName: %q
Serves: ["edge", "controller"]
IpAddr: %q
Zone: %q
Region: "loopback"
Zones: {a: "loopback", b: "loopback", c: "loopback"}
Bind: {Ingress: "%s:%d", Readiness: "%s:%d", ControlPlane: %q}
PortRange: [%d, %d]
Bootstrap: [%q, %q, %q]
Genesis: %v
QuorumMember: %v
BoundsReq: {CpuFraction: 0.5, CpuCount: 1, MemMb: 184, FdLimit: 2000}
HeartbeatMs: %d
FaultBudget: {MachineLosses: 1}
FaultRules: {LongestS: 600}
`, n.name, n.ip, zone, n.ip, n.port, n.ip, n.port+1, n.control(), n.port+3, n.port+5,
		f.nodes[0].control(), f.nodes[1].control(), f.nodes[2].control(), !n.ran, n.core, cmp.Or(f.heartbeat, faultHeartbeat).Milliseconds())
	n.ran = true
	if n.core {
		text += fmt.Sprintf("StateDir: %q\n", filepath.Join(f.dir, n.name))
	}
	path := filepath.Join(f.dir, n.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o644); err != nil {
		return err
	}
	n.cmd = exec.Command(f.binary, "run")
	n.cmd.Env = append(os.Environ(), "ASTERWELL_CONFIG="+path)
	n.cmd.Stdout, n.cmd.Stderr = f.log, f.log
	n.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	return n.cmd.Start()
}

func (f *faultFleet) said() string {
	text, _ := os.ReadFile(f.log.Name())
	return string(text[max(0, len(text)-4000):])
}

// up starts all, and returns once each process serves.
func (f *faultFleet) up(ctx context.Context) error {
	ctx, stop := context.WithTimeout(ctx, time.Minute)
	defer stop()
	if err := f.launch(); err != nil {
		return err
	}
	f.toys("toy", realToys, f.servers.note)
	if _, err := f.client().Put(ctx, faultConfiguration(1, "key-struck", "key-other")); err != nil {
		return err
	}
	for _, n := range f.nodes {
		for f.ask(n, "key-other", fmt.Sprint("up-", n.name, time.Now().UnixNano())) != 200 {
			if ctx.Err() != nil {
				return fmt.Errorf("%s does not serve", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second) // until the servers count as warm
	return nil
}

// launch starts all processes.
func (f *faultFleet) launch() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	return nil
}

// realToys are the servers of an exercise.
const realToys = 3

// toys start servers of a service, which report to the processes until the end.
func (f *faultFleet) toys(service string, count int, ran func(r *http.Request)) {
	f.serversOf(service, count, func(name string) http.HandlerFunc { return toy(name, ran) })
}

// serversOf is toys for servers with a handler of their own.
func (f *faultFleet) serversOf(service string, count int, handler func(name string) http.HandlerFunc) {
	if f.stop == nil {
		f.beats, f.stop = context.WithCancel(context.Background())
	}
	for i := range count {
		name := fmt.Sprintf("s-%s-%d", service, len(f.http)+1) // an id that has ended never comes back
		s := httptest.NewServer(handler(name))
		f.http = append(f.http, s)
		go f.beat(f.beats, service, name, string(rune('a'+i%3)), s.Listener.Addr().String())
	}
}

// faultHeartbeat is how often servers report, unless a fleet has a span of its own.
const faultHeartbeat = 300 * time.Millisecond

// beatWithin is how long a process may take for a beat: one that stands still says nothing.
const beatWithin = 500 * time.Millisecond

func (f *faultFleet) beat(ctx context.Context, service, name, zone, addr string) {
	at, client := "", &http.Client{Timeout: beatWithin}
	for seq := 1; ctx.Err() == nil; seq++ {
		if at == "" {
			at = f.nodes[seq%3].control()
		}
		body, _ := json.Marshal(map[string]any{"Endpoint": addr,
			"SelfInfo":    map[string]any{"Backend": service, "Epoch": "v1", "Zone": zone, "Capacity": 50},
			"HealthState": map[string]any{"Phase": "serving", "Sequence": seq, "WarmupLeftMs": 0}})
		q, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+at+"/api/members/"+name, bytes.NewReader(body))
		at = ""
		if a, err := client.Do(q); err == nil {
			var said struct{ HeartbeatTarget string }
			json.NewDecoder(a.Body).Decode(&said)
			a.Body.Close()
			at = said.HeartbeatTarget
		}
		select {
		case <-ctx.Done():
		case <-time.After(cmp.Or(f.heartbeat, faultHeartbeat)):
		}
	}
}

// end stops everything that was started here.
func (f *faultFleet) end() {
	if f.stop != nil {
		f.stop()
	}
	for _, n := range f.nodes {
		if n.cmd != nil && n.cmd.Process != nil {
			n.kill()
		}
	}
	for _, all := range f.lines {
		for _, l := range all {
			l.hangUp()
		}
	}
	for _, s := range f.http {
		s.Close()
	}
	f.log.Close()
	os.RemoveAll(f.dir)
}

func (f *faultFleet) client() *adminclient.Client {
	var at []string
	for _, n := range f.nodes[:3] {
		at = append(at, n.control())
	}
	f.run++
	return adminclient.New(append(at[f.run%3:], at[:f.run%3]...), 10*time.Second)
}

func (f *faultFleet) byMesh(addr string) *faultNode {
	for _, n := range f.nodes {
		if fmt.Sprintf("%s:%d", n.ip, n.port+3) == addr {
			return n
		}
	}
	return nil
}

// load is what became of the others' requests.
type load struct {
	sent, ok int
	p99      time.Duration
}

func (l load) served() float64 { return float64(l.ok) / float64(max(l.sent, 1)) }

// loadOf sums up what became of requests.
func loadOf(all []sentOne) load {
	l := load{sent: len(all)}
	var took []time.Duration
	for _, s := range all {
		took = append(took, s.took)
		if s.status == http.StatusOK {
			l.ok++
		}
	}
	slices.Sort(took)
	if len(took) > 0 {
		l.p99 = took[len(took)*99/100]
	}
	return l
}

// others sends the other tenant's requests to all processes for a while.
func (f *faultFleet) others(d time.Duration) load {
	return loadOf(f.pace(d, spanGap, "other", 2, "key-other"))
}

type sentOne struct {
	id, node, key string
	at            time.Time
	took          time.Duration
	status        int
	deadline      time.Duration
}

// struck sends the struck tenant's requests to all processes for a while.
func (f *faultFleet) struck(d time.Duration, what string) []sentOne {
	return f.pace(d, faultGap, what, 4, "key-struck")
}

// pace keeps a few callers busy at each process, on connections that stay. Each of them sends
// a request for each key at once, in one pipeline, and waits for the answers.
func (f *faultFleet) pace(d, gap time.Duration, what string, callers int, keys ...string) (all []sentOne) {
	f.run++
	run := f.run
	var mu sync.Mutex
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for _, n := range f.nodes {
		for k, l := range f.linesOf(n, fmt.Sprint(keys), callers) {
			wg.Go(func() {
				for i := 0; time.Now().Before(end); i++ {
					var words []word
					for w, key := range keys {
						words = append(words, word{key, "renominate", fmt.Sprintf("%s-%d-%s-%d-%d-%d", what, run, n.name, k, i, w)})
					}
					at := time.Now()
					got := l.say(words...)
					mu.Lock()
					for w, g := range got {
						if g.status == 0 { // it ends when its connection does
							g.took = time.Since(at)
						}
						all = append(all, sentOne{words[w].id, n.name, words[w].key, at, g.took, g.status, words[w].deadline()})
					}
					mu.Unlock()
					time.Sleep(gap)
				}
			})
		}
	}
	wg.Wait()
	return all
}

// cpu is the processor time that the processes have taken, in seconds.
func (f *faultFleet) cpu() (s float64) {
	for _, n := range f.nodes {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", n.cmd.Process.Pid))
		if err != nil {
			continue
		}
		words := strings.Fields(string(text[bytes.LastIndexByte(text, ')')+1:]))
		for _, w := range words[11:13] {
			ticks, _ := strconv.ParseFloat(w, 64)
			s += ticks / 100
		}
	}
	return s
}
