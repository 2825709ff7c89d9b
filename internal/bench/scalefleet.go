package bench

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"asterwell/internal/adminapi"
	"asterwell/internal/sysconfig"
)

// scaleNode is a gateway of the run.
type scaleNode struct {
	name, ip, zone string
	region         int
	core, real     bool
	settings       string
	proc           *scaleProc
}

func (n *scaleNode) mesh(port int) string    { return fmt.Sprintf("%s:%d", n.ip, port+3) }
func (n *scaleNode) control(port int) string { return fmt.Sprintf("%s:%d", n.ip, port+2) }

// scaleProc is a process of the operating system: one real gateway, or several hollow ones.
type scaleProc struct {
	f     *scaleFleet
	nodes []*scaleNode
	cmd   *exec.Cmd // nil: it is down
	up    atomic.Bool
	life  int // how often it was started
	in    io.WriteCloser

	staged []string // a real one that this program serves, with these arguments; nil: loom
	count  chan hollowWord
}

// scaleFleet is a system on loopback: real gateways in the first region, the core among them,
// and hollow ones by racks of one zone, each a process.
type scaleFleet struct {
	spent, short int64 // units that hollow gateways let pass and refused, as last read
	o            ScaleOptions
	dir          string
	log          *os.File
	port         int
	nodes        []*scaleNode
	procs        []*scaleProc
	byName       map[string]*scaleNode
	regions      map[string]int
	served       func(ctx *fasthttp.RequestCtx) // hears of each request at a server, when it has come; nil: nobody does

	mu   sync.Mutex
	held map[string]hollowHeld // by name, the newest
}

const (
	scaleRack  = 10 // hollow gateways in a process
	scaleZones = 10
)

// newScaleFleet lays the fleet out.
func newScaleFleet(o ScaleOptions) (*scaleFleet, error) {
	dir, err := os.MkdirTemp(o.Folder, "asterwell-scale-")
	if err != nil {
		return nil, err
	}
	f := &scaleFleet{o: o, dir: dir, byName: map[string]*scaleNode{}, regions: map[string]int{}, held: map[string]hollowHeld{}}
	if f.log, err = os.Create(filepath.Join(dir, "log")); err != nil {
		return nil, err
	}
	zones := min(scaleZones, max(3, o.Gateways/9))
	near := max(1, zones/o.Regions) // zones of the first region, where the real ones are
	for near*o.Regions < zones && o.Regions > 1 {
		near++
	}
	if o.Regions == 1 {
		near = zones
	}
	region := func(z int) int { return min(o.Regions-1, z/near) }
	per := make([]int, zones)
	for i := range o.Gateways {
		z := i % near
		if i >= o.Real { // where there are fewest yet
			z = 0
			for k := range per {
				if per[k] < per[z] {
					z = k
				}
			}
		}
		per[z]++
		n := &scaleNode{name: fmt.Sprintf("g%03d", i+1), ip: fmt.Sprintf("127.7.%d.%d", i/200, i%200+1), zone: fmt.Sprintf("z%d", z),
			region: region(z), core: i < o.Core, real: i < o.Real}
		f.nodes = append(f.nodes, n)
		f.byName[n.name] = n
	}
	if err := f.findPort(); err != nil {
		return nil, err
	}
	racks := map[string]*scaleProc{}
	for _, n := range f.nodes {
		f.regions[n.mesh(f.port)] = n.region
		p := racks[n.zone]
		if n.real || p == nil || len(p.nodes) >= scaleRack {
			p = &scaleProc{f: f, count: make(chan hollowWord, 4)}
			f.procs = append(f.procs, p)
			if !n.real {
				racks[n.zone] = p
			}
		}
		p.nodes = append(p.nodes, n)
		n.proc = p
		if err := f.write(n); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// findPort finds the first of six ports that can be had on the addresses.
func (f *scaleFleet) findPort() error {
next:
	for port := 21000; port < 30000; port += 10 {
		for _, n := range f.nodes {
			for p := port; p < port+6; p++ {
				ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.ip, p))
				if err != nil {
					continue next
				}
				ln.Close()
			}
		}
		f.port = port
		return nil
	}
	return fmt.Errorf("no six ports are free on %d loopback addresses", len(f.nodes))
}

// write writes a gateway's settings.
func (f *scaleFleet) write(n *scaleNode) error {
	zones := map[string]string{}
	for _, o := range f.nodes {
		zones[o.zone] = fmt.Sprintf("r%d", o.region)
	}
	bind, serves := map[string]string{"ControlPlane": n.control(f.port)}, []string{"controller"}
	if n.real {
		serves = append(serves, "edge")
		bind["Ingress"], bind["Readiness"] = fmt.Sprintf("%s:%d", n.ip, f.port), fmt.Sprintf("%s:%d", n.ip, f.port+1)
	}
	set := map[string]any{"NodeName": n.name, "Serves": serves, "IpAddr": n.ip, "Zone": n.zone, "Region": zones[n.zone],
		"Zones": zones, "Bind": bind, "PortRange": []int{f.port + 3, f.port + 5}, "Genesis": true, "QuorumMember": n.core,
		"Bootstrap": []string{f.nodes[0].control(f.port), f.nodes[1].control(f.port), f.nodes[2].control(f.port)},
		"BoundsReq": map[string]any{"CpuFraction": 1, "CpuCount": 1, "MemMb": cmp.Or(f.o.MemMb, 1024), "FdLimit": 6000}, "HeartbeatMs": scaleBeat.Milliseconds(),
		"FaultBudget": map[string]int{"MachineLosses": f.o.losses()}, "FaultRules": map[string]int{"LongestS": 600}}
	if n.core {
		set["StateDir"] = filepath.Join(f.dir, n.name)
	}
	text, err := json.Marshal(set) // JSON is YAML
	if err != nil {
		return err
	}
	n.settings = filepath.Join(f.dir, n.name+".yaml")
	if err := os.WriteFile(n.settings, text, 0o644); err != nil {
		return err
	}
	_, err = sysconfig.ReadSettings(n.settings)
	return err
}

// start starts a process.
func (p *scaleProc) start() error {
	f := p.f
	switch {
	case p.staged != nil:
		p.cmd = exec.Command(f.o.Self, p.staged...)
	case p.real():
		p.cmd = exec.Command(f.o.Binary, "run")
		p.cmd.Env = append(os.Environ(), "ASTERWELL_CONFIG="+p.nodes[0].settings)
	default:
		p.cmd = exec.Command(f.o.Self, "hollow")
		if f.o.Profile != "" && p == f.procs[f.o.Real] {
			p.cmd.Args = append(p.cmd.Args, "--profile", f.o.Profile)
		}
	}
	p.cmd.Stderr = f.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	p.up.Store(true)
	p.life++
	if p.real() && p.staged == nil {
		return p.cmd.Start()
	}
	in, err := p.cmd.StdinPipe()
	if err != nil {
		return err
	}
	if p.staged != nil {
		p.in = in
		return p.cmd.Start()
	}
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.cmd.Start(); err != nil {
		return err
	}
	spec := HollowSpec{Regions: f.regions, DelayMs: f.o.DelayMs, Tenants: f.o.Tenants, Bare: f.o.Bare}
	for _, n := range p.nodes {
		spec.Settings = append(spec.Settings, n.settings)
	}
	for _, n := range f.nodes {
		if n.real {
			spec.Real = append(spec.Real, n.mesh(f.port))
		}
	}
	p.in = in
	go p.read(out)
	return json.NewEncoder(in).Encode(spec)
}

func (p *scaleProc) real() bool { return len(p.nodes) == 1 && p.nodes[0].real }

// read takes what a process of hollow gateways says.
func (p *scaleProc) read(out io.Reader) {
	lines := bufio.NewReaderSize(out, 1<<16)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var w hollowWord
		if json.Unmarshal(line, &w) != nil {
			continue
		}
		if w.Held != nil {
			p.f.mu.Lock()
			p.f.held[w.Held.Name] = *w.Held
			p.f.mu.Unlock()
		}
		if w.Count != nil {
			select {
			case p.count <- w:
			default: // nobody waits any more
			}
		}
	}
}

// kill ends it as a loss of power does, and returns when it has ended.
func (p *scaleProc) kill() {
	if p.cmd == nil || p.cmd.Process == nil {
		return
	}
	p.up.Store(false)
	p.cmd.Process.Kill()
	p.cmd.Wait()
	p.cmd = nil
	p.f.mu.Lock()
	for _, n := range p.nodes {
		delete(p.f.held, n.name)
	}
	p.f.mu.Unlock()
}

func (f *scaleFleet) end() {
	if f.o.Profile != "" && len(f.procs) > f.o.Real && f.procs[f.o.Real].in != nil {
		p := f.procs[f.o.Real]
		p.in.Close() // it writes its profile
		for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			if text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid)); err != nil || strings.Contains(string(text), ") Z ") {
				break
			}
		}
	}
	for _, p := range f.procs {
		if p.cmd != nil && p.cmd.Process != nil {
			p.cmd.Process.Kill()
		}
	}
	for _, p := range f.procs {
		p.kill()
	}
	f.log.Close()
	os.RemoveAll(f.dir)
}

// tell says a word to all hollow gateways.
func (f *scaleFleet) tell(word string) {
	for _, p := range f.procs {
		if !p.real() && p.cmd != nil {
			fmt.Fprintln(p.in, word)
		}
	}
}

// live are the gateways that run.
func (f *scaleFleet) live() (all []*scaleNode) {
	for _, n := range f.nodes {
		if n.proc.cmd != nil {
			all = append(all, n)
		}
	}
	return all
}

// reading is what a gateway and its process have come to.
type reading struct {
	adminapi.Frames
	cpu  float64 // s, its share of the process
	rss  float64 // MB, the same
	heap float64
}

var scaleClient = &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 2}}

// read asks all gateways that run.
func (f *scaleFleet) read() map[string]reading {
	all := map[string]reading{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	f.spent, f.short = 0, 0
	for _, p := range f.procs {
		if p.cmd == nil {
			continue
		}
		wg.Go(func() {
			var got []adminapi.Frames
			heap, share := 0.0, float64(len(p.nodes))
			var spent, short int64
			if p.real() {
				a, err := scaleClient.Get("http://" + p.nodes[0].control(f.port) + "/api/frames")
				if err != nil {
					return
				}
				var one adminapi.Frames
				err = json.NewDecoder(a.Body).Decode(&one)
				a.Body.Close()
				if err != nil {
					return
				}
				got = []adminapi.Frames{one}
			} else {
				for len(p.count) > 0 {
					<-p.count
				}
				fmt.Fprintln(p.in, "count")
				select {
				case w := <-p.count:
					got, heap, spent, short = w.Count, float64(w.Heap)/1e6, w.Spent, w.Short
				case <-time.After(5 * time.Second):
					return
				}
			}
			cpu, rss := used(p.cmd.Process.Pid)
			if !p.real() {
				rss = max(0, rss-f.o.empty)
			}
			mu.Lock()
			defer mu.Unlock()
			f.spent, f.short = f.spent+spent, f.short+short
			for _, g := range got {
				all[g.Name] = reading{g, cpu / share, rss / share, heap / share}
			}
		})
	}
	wg.Wait()
	return all
}

// lives tells processes that were started anew from those that weren't.
func (f *scaleFleet) lives() map[*scaleProc]int {
	return lo.SliceToMap(f.procs, func(p *scaleProc) (*scaleProc, int) { return p, p.life })
}

// used is the memory of all processes of the run in MB, this one among them.
func (f *scaleFleet) used() (sum float64) {
	_, sum = used(os.Getpid())
	for _, p := range f.procs {
		if p.cmd != nil {
			_, rss := used(p.cmd.Process.Pid)
			sum += rss
		}
	}
	return sum
}

// halfOfMemory is what a run may use, in MB.
func halfOfMemory() float64 {
	var info unix.Sysinfo_t
	if unix.Sysinfo(&info) != nil {
		return math.Inf(1)
	}
	return float64(info.Totalram) * float64(info.Unit) / 2 / 1e6
}

// disk is what the state of the core's members takes, in MB, at most.
func (f *scaleFleet) disk() (most float64) {
	for _, n := range f.nodes {
		if !n.core {
			continue
		}
		size := 0.0
		files, _ := filepath.Glob(filepath.Join(f.dir, n.name, "*"))
		for _, path := range files {
			if i, err := os.Stat(path); err == nil {
				size += float64(i.Size()) / 1e6
			}
		}
		most = max(most, size)
	}
	return most
}

// used is the processor time in seconds and the memory in MB of a process.
func used(pid int) (cpu, rss float64) {
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, t := range tasks {
		text, _ := os.ReadFile(t)
		if words := strings.Fields(string(text)); len(words) > 0 {
			ns, _ := strconv.ParseFloat(words[0], 64)
			cpu += ns / 1e9
		}
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if words := strings.Fields(string(text)); len(words) > 1 {
		pages, _ := strconv.ParseFloat(words[1], 64)
		rss = pages * float64(os.Getpagesize()) / 1e6
	}
	return cpu, rss
}

// emptyHollow measures a process that has no gateway.
func emptyHollow(self string) (float64, error) {
	cmd := exec.Command(self, "hollow")
	in, err := cmd.StdinPipe()
	if err != nil {
		return 0, err
	}
	if err := cmd.Start(); err != nil {
		return 0, err
	}
	fmt.Fprintln(in, "{}")
	time.Sleep(300 * time.Millisecond)
	_, rss := used(cmd.Process.Pid)
	in.Close()
	return rss, cmd.Wait()
}

// scaleTenant is the name of a tenant.
func scaleTenant(i int) string { return fmt.Sprintf("tenant-%05d", i) }

// drawing draws tenants as clients' requests would, a few most, in proportion to their quotas.
type drawing []float64

func newDrawing(tenants int) drawing {
	d, sum := make(drawing, tenants), 0.0
	for i := range d {
		sum += 1 / float64(i+1)
		d[i] = sum
	}
	return d
}

func (d drawing) next(rng *rand.Rand) int {
	return sort.SearchFloat64s(d, rng.Float64()*d[len(d)-1])
}

// scaleKeys are the tenants' keys.
func scaleKeys(o ScaleOptions) []string {
	rng := rand.New(rand.NewPCG(o.Seed, 34))
	all := make([]string, o.Tenants)
	for i := range all {
		key := make([]byte, 20) // as long, and of as much chance, as the sites' keys
		for k := range key {
			key[k] = "abcdefghijklmnopqrstuvwxyz0123456789"[rng.IntN(36)]
		}
		all[i] = string(key)
	}
	return all
}

// scaleText is a configuration of the size; versions differ in one route.
func scaleText(o ScaleOptions, version uint32) []byte {
	keys := scaleKeys(o)
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Epoch": "%08x", "BoundsReq": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderReadMs": 3000, "KeepaliveMs": 15000},`+"\n \"Principals\": [", version)
	sum := 0.0
	for i := range o.Tenants {
		sum += 1 / float64(i+1)
	}
	for i := range o.Tenants {
		share := 1 / float64(i+1) / sum
		rate := max(5, float64(int(2*share*o.Rate*float64(o.Gateways))))
		fmt.Fprintf(&b, "%s\n  {\"Name\": %q, \"Credentials\": [%q], \"Rank\": %d, \"RatePerS\": %.0f, \"BurstSize\": %.0f}",
			comma(i), scaleTenant(i), keys[i], 1+i%2, rate, rate)
	}
	hosts := max(1, o.Routes/80)
	b.WriteString("],\n \"Sockets\": [")
	for h := range hosts {
		fmt.Fprintf(&b, "%s\n  {\"Authority\": \"host-%d.example\", \"Policy\": [", comma(h), h)
		for i, k := h, 0; i < o.Routes; i, k = i+hosts, k+1 {
			target := 300
			if i == int(version)%o.Routes {
				target += int(version % 50)
			}
			fmt.Fprintf(&b, `%s
   {"Name": "r-%d", "RouteClass": "pure", "TargetMs": %d, "Rank": 1, "Anonymous": false, "Predicate": {"PathPrefix": "/%d/"}, `+
				`"Effect": {"Backend": "s-%d", "DeadlineMs": 2000, "Tries": 2}}`, comma(k), i, target, i, i%o.Services)
		}
		b.WriteString("]}")
	}
	b.WriteString("],\n \"Pools\": [")
	for i := range o.Services {
		fmt.Fprintf(&b, "%s\n  {\"Name\": \"s-%d\", \"ProbePath\": \"/probe\", \"MaxConns\": 100, \"Protocol\": \"h1\", \"Encrypted\": false}", comma(i), i)
	}
	b.WriteString("]}\n")
	return b.Bytes()
}

func comma(i int) string {
	if i == 0 {
		return ""
	}
	return ","
}
