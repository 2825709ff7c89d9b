package bench

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/adminclient"
)

// ScaleOptions of the run with real and hollow gateways.
type ScaleOptions struct {
	Gateways, Real, Core int
	Servers, Services    int
	Routes, Tenants      int
	Regions              int
	DelayMs              float64 // between regions, one way
	Rate                 float64 // requests a second at each gateway in traffic
	Releases             float64 // servers replaced a second in the release
	Seed                 uint64
	Binary, Self, Folder string        // loom; asterlab; for files, "": the temporary one
	Bare                 bool          // hollow gateways without the data plane: what is left is control
	Profile              string        // of the processor, of the first process of hollow gateways; "": none
	Apart                time.Duration // between racks that start; 0: all at once
	MemMb                int           // that each gateway's settings give it
	Phase                time.Duration
	Within               time.Duration // to come up
	Only                 []string      // phases; empty: all
	Progress             func(text string)
	empty                float64
}

func (o ScaleOptions) losses() int {
	if o.Core >= 6 {
		return 2
	}
	return 1
}

const (
	scaleTurn = 15 * time.Second // the plan's: a configuration in force everywhere
	scaleLook = time.Millisecond // between two looks at all, for each gateway: the looks' own cost stays flat
)

// scaleRun is one.
type scaleRun struct {
	*scaleFleet
	r       *Report
	servers *scaleServers
	version uint32
	text    []byte
	phases  map[string]any
	rest    map[string]map[string]float64
	memory  float64 // MB of all its processes, the most at the end of a phase
}

// MeasureScale runs a system of real and hollow gateways through its phases.
func MeasureScale(o ScaleOptions) (*Report, error) {
	o.Core = cmp.Or(o.Core, 8)
	if o.Gateways < 60 {
		o.Core = 3
	}
	switch {
	case o.Gateways < 5 || o.Gateways > 1000:
		return nil, fmt.Errorf("--gateways must be from 5 to 1000, not %d", o.Gateways)
	case o.Real <= o.Core || o.Real > o.Gateways || o.Real > 60:
		return nil, fmt.Errorf("--real must be above the core's %d and at most 60 and --gateways, not %d", o.Core, o.Real)
	case o.Regions < 1 || o.Regions > 5:
		return nil, fmt.Errorf("--regions must be from 1 to 5, not %d", o.Regions)
	case o.MemMb < 64:
		return nil, fmt.Errorf("--memory must be 64 or more, not %d", o.MemMb)
	case o.Servers < o.Services || o.Routes < 1 || o.Tenants < 1:
		return nil, fmt.Errorf("--servers, --routes and --tenants: at least one each, and servers for %d services", o.Services)
	}
	if _, err := os.Stat(o.Binary); err != nil {
		return nil, fmt.Errorf("loom: %w", err)
	}
	var err error
	if o.empty, err = emptyHollow(o.Self); err != nil {
		return nil, err
	}
	config, err := configFigures(o)
	if err != nil {
		return nil, err
	}
	f, err := newScaleFleet(o)
	if err != nil {
		return nil, err
	}
	defer f.end()
	x := &scaleRun{scaleFleet: f, r: &Report{Name: "scale", Seed: o.Seed, Figure: map[string]any{"config": config}}, phases: map[string]any{}}
	x.r.Row("phase", "role", "n", "out B/s", "in B/s", "msg/s", "cpu", "rss MB", "converge p99 s", "notes")
	began := time.Now()
	if err := x.up(); err != nil {
		return nil, fmt.Errorf("%w; the processes say:\n%s", err, f.said())
	}
	defer x.servers.end()
	x.r.Figure["up_s"] = round3(time.Since(began).Seconds())
	for _, phase := range []struct {
		name string
		run  func(figure map[string]any)
	}{{"rest", x.atRest}, {"traffic", x.traffic}, {"release", x.release}, {"storm", x.storm}, {"rack", x.rack}, {"takeover", x.takeover}, {"zone", x.zone}, {"region", x.region}, {restarted, x.restart}} {
		if (len(o.Only) == 0 || slices.Contains(o.Only, phase.name)) && (phase.name != "region" || o.Regions > 1) {
			o.Progress(fmt.Sprintf("%6.1f s  %s", time.Since(began).Seconds(), phase.name))
			figure := map[string]any{}
			x.phases[phase.name] = figure
			x.measured(phase.name, figure, phase.run)
			if half := halfOfMemory(); x.memory > half {
				x.r.Rule(false, "%s: the run's processes have %.0f MB, half of the machine's memory is %.0f: it ends here", phase.name, x.memory, half)
				break
			}
		}
	}
	x.judge()
	return x.r, nil
}

func round3(v float64) float64 { return math.Round(v*1e3) / 1e3 }

func (f *scaleFleet) said() string {
	text, _ := os.ReadFile(f.log.Name())
	lines := lo.Reject(strings.Split(string(text), "\n"), func(l string, _ int) bool { return strings.Contains(l, " totals ") })
	return strings.Join(lines[max(0, len(lines)-30):], "\n")
}

// up starts the core, puts a configuration, starts all else and the servers, and waits until
// everybody knows everybody.
func (x *scaleRun) up() error {
	end := time.Now().Add(x.o.Within)
	for _, p := range x.procs {
		if p.real() {
			if err := p.start(); err != nil {
				return err
			}
		}
	}
	if _, ok := x.put(end); !ok {
		return fmt.Errorf("nobody takes a configuration")
	}
	for _, p := range x.procs {
		if !p.real() {
			if err := p.start(); err != nil {
				return err
			}
			time.Sleep(x.o.Apart)
		}
	}
	if !x.settled(end, false) {
		return fmt.Errorf("not all gateways know all and hold the configuration within %v: %s", x.o.Within, x.lacks(false))
	}
	x.o.Progress("all gateways know each other and hold the configuration; servers start")
	var err error
	if x.servers, err = newScaleServers(x.scaleFleet); err != nil {
		return err
	}
	if !x.settled(end, true) {
		x.servers.end()
		return fmt.Errorf("not all servers are known everywhere within %v: %s", x.o.Within, x.lacks(true))
	}
	time.Sleep(2 * time.Second)
	return nil
}

// good tells whether a gateway knows all, and holds the newest version.
func (x *scaleRun) good(g reading, live int, servers bool) bool {
	return g.Up == live && g.Version >= x.version && g.Ready && (!servers || g.Serving == x.o.Servers)
}

func (x *scaleRun) lacks(servers bool) string {
	all, live := x.read(), x.live()
	bad, some := 0, ""
	for _, n := range live {
		if g, ok := all[n.name]; !ok || !x.good(g, len(live), servers) {
			bad, some = bad+1, fmt.Sprintf("%s: answers %v, up %d of %d, version %d of %d, ready %v, serving %d of %d", n.name, ok, g.Up, len(live), g.Version, x.version, g.Ready, g.Serving, x.o.Servers)
		}
	}
	sums := map[string]int64{}
	for _, g := range all {
		for kind, k := range g.Kinds {
			sums[kind] += k.BytesOut
		}
	}
	top := slices.SortedFunc(maps.Keys(sums), func(a, b string) int { return cmp.Compare(sums[b], sums[a]) })
	for _, kind := range top[:min(5, len(top))] {
		some += fmt.Sprintf("; %s %d kB in all", kind, sums[kind]>>10)
	}
	return fmt.Sprintf("%d gateways, one is %s", bad, some)
}

// settled waits until all that live are good.
func (x *scaleRun) settled(end time.Time, servers bool) bool {
	for time.Now().Before(end) {
		all, live := x.read(), x.live()
		if lo.EveryBy(live, func(n *scaleNode) bool { g, ok := all[n.name]; return ok && x.good(g, len(live), servers) }) {
			return true
		}
		time.Sleep(max(200*time.Millisecond, time.Duration(x.o.Gateways)*scaleLook))
	}
	return false
}

// put puts the next configuration, and returns when it was acknowledged.
func (x *scaleRun) put(end time.Time) (time.Time, bool) {
	x.version++
	x.text = scaleText(x.o, x.version)
	for i := 0; time.Now().Before(end); i++ {
		q, _ := http.NewRequest(http.MethodPut, "http://"+x.nodes[i%x.o.Core].control(x.port)+"/api/configuration", bytes.NewReader(x.text))
		if a, err := scaleClient.Do(q); err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				return time.Now(), true
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return time.Time{}, false
}

// turns waits until all of some gateways hold the version; it returns how long after the
// acknowledgement each did. Who had not is left out.
func (x *scaleRun) turns(acked time.Time, who []*scaleNode) (all []time.Duration) {
	done := map[string]bool{}
	for end := acked.Add(scaleTurn + 5*time.Second); time.Now().Before(end) && len(done) < len(who); time.Sleep(50 * time.Millisecond) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for _, n := range who {
			if done[n.name] {
				continue
			}
			if !n.real {
				x.mu.Lock()
				h, ok := x.held[n.name]
				x.mu.Unlock()
				if ok && h.Version >= x.version {
					mu.Lock()
					done[n.name], all = true, append(all, max(0, time.Unix(0, h.At).Sub(acked)))
					mu.Unlock()
				}
				continue
			}
			wg.Go(func() {
				a, err := scaleClient.Get("http://" + n.control(x.port) + "/api/frames")
				if err != nil {
					return
				}
				defer a.Body.Close()
				var buf bytes.Buffer
				buf.ReadFrom(a.Body)
				if v := versionIn(buf.Bytes()); v >= x.version {
					mu.Lock()
					defer mu.Unlock()
					done[n.name], all = true, append(all, time.Since(acked))
				}
			})
		}
		wg.Wait()
	}
	return all
}

func quantile(all []time.Duration, q float64) float64 {
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return round3(all[min(len(all)-1, int(q*float64(len(all))))].Seconds())
}

// judge looks at what must hold in the end.
func (x *scaleRun) judge() {
	x.r.Rule(x.settled(time.Now().Add(scaleTurn), true), "in the end not all hold the newest and know all: %s", x.lacks(true))
	a, err := adminclient.New([]string{x.nodes[0].control(x.port), x.nodes[1].control(x.port)}, 10*time.Second).Get(context.Background())
	x.r.Rule(err == nil && bytes.Equal(a.Body, x.text), "the newest acknowledged configuration is not read back: %v", err)
	hollow := x.o.Gateways - x.o.Real
	x.r.Figure["gateways"], x.r.Figure["hollow"], x.r.Figure["real"], x.r.Figure["core"] = x.o.Gateways, hollow, x.o.Real, x.o.Core
	x.r.Figure["servers"], x.r.Figure["routes"], x.r.Figure["tenants"], x.r.Figure["regions"] = x.o.Servers, x.o.Routes, x.o.Tenants, x.o.Regions
	x.r.Figure["services"], x.r.Figure["rate"], x.r.Figure["config_bytes"] = x.o.Services, x.o.Rate, len(x.text)
	x.r.Figure["given_mb"] = x.o.MemMb
	x.r.Figure["by_phase"], x.r.Figure["bare"] = x.phases, x.o.Bare
	x.r.Figure["disk_mb"], x.r.Figure["machine_memory_mb"] = round3(x.disk()), round3(x.memory)
	if load, err := os.ReadFile("/proc/loadavg"); err == nil { // of the whole machine: others' work makes figures worse
		x.r.Figure["machine_load"] = strings.Fields(string(load))[0]
	}
	if g, h := x.rest["gateway"], x.rest["hollow"]; g != nil && h != nil {
		over := func(key string) float64 { return round3(h[key] / g[key]) }
		x.r.Figure["hollow_over_real"] = map[string]float64{"bytes_s": over("bytes_s"), "messages_s": over("messages_s"), "cpu_share": over("cpu_share"), "rss_mb": over("rss_mb")}
		x.r.Row("rest", "hollow over real", "", "bytes", over("bytes_s"), over("messages_s"), over("cpu_share"), over("rss_mb"))
	}
}
