// Package testbed runs many processes of the gateway, as operators start them, and
// owns every link between them and the stand-ins for all others: it starts and
// ends them, cuts and slows links, and checks the rules by what crosses the links.
// The laboratory has it; the gateway has none of it.
package testbed

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/internal/invariants"
	"asterwell/internal/standin/counter"
	"asterwell/internal/standin/list"
)

// Options of a run.
type Options struct {
	Binary   string            // the gateway's
	Policy   Policy            // in place of gateways; none: they run
	Logs     string            // folder to keep logs and the history in; none: they are removed
	Temp     string            // where run folders are; none: the system's
	Progress func(text string) // nil: nobody looks
}

// Field is one run.
type Field struct {
	plan     *Schedule
	opt      Options
	net      *Net
	folder   *folder
	rng      *rand.Rand
	http     *fasthttp.Server
	servers  []*server
	gateways []*gateway
	counter  *counter.Counter
	load     *load
	list     listState
	late     lateness
	history  *history
	marking  *marking // nil: no cluster

	mu      sync.Mutex
	judge   *invariants.Checker
	broken  []Broken
	ceiling map[string]ceilingOf // pro customers, by try
	void    []string
	waiting []*Fault // for events
	answers map[int]int
	told    map[string]bool // "s-1 draining"
	stop    atomic.Bool
	faults  sync.WaitGroup
	events  []Event
	arrive  []Arrival
	probes  int

	capacity []Capacity // sampled by Run alone
	coldOver float64    // most work of a second at a cold server, over what it bears
}

// Broken is a rule that did not hold.
type Broken struct {
	Rule   string        `json:"rule"`
	Detail string        `json:"detail"`
	At     time.Duration `json:"at"`
}

// Arrival is an attempt that came whole to a server.
type Arrival struct {
	At      time.Duration
	Server  int
	Gateway int
	Work    time.Duration // on a warm core
}

// Capacity is what servers could do at a time, in warm cores; 0: nothing.
type Capacity struct {
	At time.Duration
	Of []float64
}

// Event is something that many processes may react to at once.
type Event struct {
	At   time.Duration
	What string
}

type ceilingOf struct {
	customer   string
	rate, most float64
}

// gateway is a process of the program, and its agent of discovery.
type gateway struct {
	f     *Field
	index int
	*Process
	list    *list.List
	agent   *list.Agent
	ready   atomic.Bool
	down    atomic.Bool // nothing is to be expected of it: killed, stopped, cut off from its clients
	downed  atomic.Int64
	late    time.Duration // of its list
	termAt  atomic.Int64
	stopped atomic.Bool
	had     map[string]list.Entry // that its agent has told last, for its next start
	version int64
	mu      sync.Mutex
	chooser chooser
}

const (
	startLimit = 30 * time.Second // until all gateways are ready
	afterLoad  = 4 * time.Second  // until all is answered
	// What the field allows for its own lateness, beyond the rules' 50 ms on sockets.
	// A run that was later is void.
	slack = 150 * time.Millisecond
)

// New makes what a schedule says, and starts it.
func New(plan *Schedule, opt Options) (f *Field, err error) {
	if opt.Temp == "" {
		opt.Temp = os.TempDir()
	}
	f = &Field{plan: plan, opt: opt, rng: rand.New(rand.NewPCG(plan.Seed, 0xf1)), ceiling: map[string]ceilingOf{},
		answers: map[int]int{}, told: map[string]bool{}}
	f.judge = invariants.New(invariants.Limits{DrainGrace: 550*time.Millisecond + slack, MaxAnswerDelay: 50*time.Millisecond + slack, MaxAttempts: 5,
		OverloadFactor: 2.5, OverloadWindow: time.Second}, func(rule, detail string) {
		f.broken = append(f.broken, Broken{rule, detail, f.net.Now()})
		f.history.add(Record{Kind: "broken", Who: rule, Detail: detail})
	})
	if f.net, err = NewNet(plan.Servers + plan.folders()); err != nil {
		return nil, err
	}
	if f.folder, err = newFolder(opt.Temp); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.Close()
		}
	}()
	if f.history, err = newHistory(filepath.Join(f.folder.path, "history.jsonl"), f.net.Now); err != nil {
		return nil, err
	}
	f.http = &fasthttp.Server{Handler: f.handle, NoDefaultDate: true, NoDefaultServerHeader: true, NoDefaultContentType: true,
		ReduceMemoryUsage: true, Concurrency: 1 << 20, Logger: quiet{}}
	for i := range plan.Servers {
		s := &server{f: f, index: i, ID: "s-" + strconv.Itoa(i), Zone: plan.zone(i), Weight: float64(plan.weight(i)), cores: plan.Cores * plan.weight(i), slow: 1}
		f.servers = append(f.servers, s)
		if err := s.begin(false); err != nil {
			return nil, err
		}
	}
	for i := range plan.Gateways {
		if opt.Policy != "" {
			f.gateways = append(f.gateways, f.policyGateway(i))
		} else if err := f.addGateway(i); err != nil {
			return nil, err
		}
	}
	ln, err := f.net.Listen(farCounter)
	if err != nil {
		return nil, err
	}
	f.counter = counter.Serve(ln)
	if ln, err = f.net.Listen(farList); err != nil {
		return nil, err
	}
	go (&http.Server{Handler: http.HandlerFunc(f.discover), ConnContext: withConn}).Serve(ln)
	if plan.Cluster != nil && opt.Policy == "" {
		if err := cmp.Or(f.form(), f.peers()); err != nil {
			return nil, err
		}
	}
	for _, g := range f.gateways {
		if opt.Policy == "" {
			if err := g.launch(); err != nil {
				return nil, err
			}
		}
	}
	return f, f.ready()
}

// quiet is a logger of nothing: connections that end under a stand-in are what the
// field is for.
type quiet struct{}

func (quiet) Printf(string, ...any) {}

func (f *Field) addGateway(i int) error {
	g := &gateway{f: f, index: i, list: list.New(), version: 1}
	var entries []list.Entry
	for _, s := range f.servers {
		entries = append(entries, g.entry(s, "up"))
	}
	g.list.Set(entries...)
	g.agent = list.NewAgent(g.list)
	g.agent.Tell = func(told []list.Entry, version int64) { f.tells(g, told, version) }
	g.had, g.version = map[string]list.Entry{}, 2
	for _, e := range entries {
		g.had[e.ID] = e
	}
	p, err := f.folder.newProcess("g-"+strconv.Itoa(i), f.opt.Binary, []string{"LB_CONFIG=config.json", "ASTERWELL_SRV=srv.json", "ASTERWELL_CLUSTER=cluster.json"})
	if err != nil {
		return err
	}
	g.Process = p
	f.gateways = append(f.gateways, g)
	return nil
}

// entry is how this gateway's list names a server.
func (g *gateway) entry(s *server, state string) list.Entry {
	e := list.Entry{ID: s.ID, Addr: g.f.net.At(g.index, s.index), Zone: s.Zone, State: state, Weight: s.Weight}
	s.mu.Lock()
	if s.started > 0 {
		e.StartedMs = g.f.net.epoch.Add(s.started).UnixMilli()
	}
	s.mu.Unlock()
	return e
}

// launch writes the files and starts a life.
func (g *gateway) launch() error {
	plan := g.f.plan
	g.mu.Lock()
	version, had := g.version, []list.Entry{}
	for _, s := range g.f.servers {
		if e, ok := g.had[s.ID]; ok {
			had = append(had, e)
		}
	}
	g.mu.Unlock()
	config := map[string]any{"name": g.Name, "listen": net.JoinHostPort(address(g.index).String(), strconv.Itoa(gatewayPort)),
		"discovery": g.f.net.At(g.index, farList), "counter": g.f.net.At(g.index, farCounter),
		"seed":   strconv.FormatUint(plan.Seed<<20|uint64(g.index)<<6|uint64(g.Lives()), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": plan.MemoryMB, "sockets": plan.Sockets},
		"known":  map[string]any{"version": version, "full": true, "servers": had}, "settings": settings(plan, g.index)}
	for name, v := range map[string]any{"config.json": config, "srv.json": map[string]any{"enabled": false}, "cluster.json": map[string]any{"enabled": false}} {
		text, err := json.Marshal(v)
		if err != nil {
			return err
		}
		if err := os.WriteFile(filepath.Join(g.Dir, name), text, 0o600); err != nil {
			return err
		}
	}
	if g.f.marking != nil {
		if err := g.f.writeCluster(g); err != nil {
			return err
		}
	}
	g.ready.Store(false)
	g.termAt.Store(0)
	// A new life has all of its time, from now on.
	g.f.mu.Lock()
	for _, e := range had {
		g.f.judge.ServerState(g.index, e.ID, true, 0)
	}
	g.f.mu.Unlock()
	g.f.history.add(Record{Kind: "process", Who: g.Name, What: "start"})
	if err := g.Start(); err != nil {
		return err
	}
	g.f.tellAll(g)
	g.down.Store(false)
	go g.becomeReady(g.Lives())
	return nil
}

// becomeReady asks until the gateway would take requests.
func (g *gateway) becomeReady(life int) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for !g.f.stop.Load() && g.Lives() == life {
		resp, err := client.Get("http://" + net.JoinHostPort(address(g.index).String(), strconv.Itoa(gatewayPort)) + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				g.ready.Store(true)
				return
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// settings are those of the platform's page, with the schedule's figures.
func settings(plan *Schedule, index int) map[string]any {
	zones := []string{}
	for i := range plan.Zones {
		zones = append(zones, plan.zone(i))
	}
	class := func(name, effect string, aim, deadline, late, value float64) map[string]any {
		return map[string]any{"name": name, "aimMs": aim, "deadlineMs": deadline, "effect": effect, "lateWorth": late, "value": value}
	}
	burst := 2 * plan.Quota
	return map[string]any{"balancers": plan.Gateways, "selfIndex": index, "tickMs": 1, "locality": plan.zone(index), "failureDomains": zones, "discovery": "automatic",
		"caps": map[string]any{"cancel": true, "connectTimeoutMs": 250, "idleCloseMs": 15000, "maxRetryAfterMs": 1000, "probes": true,
			"retryAfter": true, "secondCopies": true, "tryLimit": 5},
		"services": []any{class("status-read", "retryable", 15*plan.WorkMs, 30*plan.WorkMs, 0.2, 1), class("submit-nom", "fragile", 10*plan.WorkMs, 20*plan.WorkMs, 0, 3)},
		"contracts": []any{
			map[string]any{"name": "basic", "quotaRate": plan.Quota, "peakUnits": burst, "valueFactor": 1, "overrunCost": 0.8},
			map[string]any{"name": "pro", "quotaRate": plan.Quota, "peakUnits": burst, "valueFactor": 1.6, "overrunCost": 0.5,
				"neverOverRate": plan.Ceiling * plan.Quota, "ceilingBurst": plan.Ceiling * burst, "hardSlack": plan.Ceiling * burst / 10}},
		"familyInfo": map[string]any{"sharedCounter": true, "counterTimeoutMs": 50, "maxUnits": 1, "countFee": 0.005},
		"loadInfo":   map[string]any{"source": "on_probe", "fields": []string{"busy_reqs", "pending"}},
		"prices":     map[string]any{"crossZone": 0.0048, "probe": 0.08, "handshake": 0.08, "waste": 0.08, "lateFail": 0.03},
		"safety":     map[string]any{"answerSlackMs": 8, "coldFrom": coldFrom, "coldMs": coldFor.Milliseconds(), "drainGraceMs": 500, "fallMultiple": 2.5, "tipAfterMs": 1000, "askWithinMs": 10000}}
}

// ready waits for all gateways.
func (f *Field) ready() error {
	for end := time.Now().Add(startLimit); ; time.Sleep(20 * time.Millisecond) {
		up := 0
		for _, g := range f.gateways {
			if g.Fell() {
				return fmt.Errorf("%s ended at its start; its log is %s", g.Name, g.tail())
			}
			if g.ready.Load() {
				up++
			}
		}
		f.say("%d of %d gateways are ready", up, len(f.gateways))
		if up == len(f.gateways) {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d gateways are ready after %v", up, len(f.gateways), startLimit)
		}
	}
}

func (p *Process) tail() string {
	text, err := os.ReadFile(p.log.Name())
	if err != nil {
		return err.Error()
	}
	return string(text[max(0, len(text)-2000):])
}

func (f *Field) say(format string, args ...any) {
	if f.opt.Progress != nil {
		f.opt.Progress(fmt.Sprintf(format, args...))
	}
}

// Run plays the load and the faults, and ends all processes.
func (f *Field) Run() (*Report, error) {
	f.late.start(&f.stop)
	began := f.net.Now()
	f.load = newLoad(f)
	f.schedule(began)
	f.load.start()
	if f.marking != nil {
		go f.marking.start()
	}
	for end := began + seconds(f.plan.Seconds); f.net.Now() < end; time.Sleep(50 * time.Millisecond) {
		f.say("%.0f of %.0f s, %d tries", (f.net.Now() - began).Seconds(), f.plan.Seconds, f.load.count())
		c := Capacity{At: f.net.Now(), Of: make([]float64, len(f.servers))}
		for i, s := range f.servers {
			c.Of[i] = s.capacity()
		}
		f.capacity = append(f.capacity, c)
	}
	f.load.stop()
	f.stop.Store(true)
	f.faults.Wait()
	if !f.load.wait(afterLoad + 40*time.Duration(f.plan.WorkMs)*time.Millisecond) {
		f.breaks("lost", "clients still wait %v after the load's end", afterLoad)
	}
	var c *Cluster
	if f.marking != nil {
		c = f.marking.finish()
	}
	var cpu time.Duration
	for _, g := range f.gateways {
		cpu += g.CPU()
	}
	f.checkProcesses()
	r := f.report(began)
	r.CPUMsTry = cpu.Seconds() * 1000 / float64(max(1, r.Tries))
	r.Cluster = c
	return r, nil
}

// MemoryMB is the gateways' mean resident memory.
func (f *Field) MemoryMB() (mb float64) {
	for _, g := range f.gateways {
		mb += g.MemoryMB() / float64(len(f.gateways))
	}
	return mb
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// checkProcesses looks at what is left: all that should run does, and ends when it is told to.
func (f *Field) checkProcesses() {
	var wg sync.WaitGroup
	for _, g := range f.gateways {
		if g.Fell() {
			f.breaks("crash", "%s ended by itself: %s", g.Name, g.tail())
		}
		if !g.Running() {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			g.Continue()
			if err := g.Signal(15); err == nil && g.Gone(10*time.Second) != nil {
				f.breaks("end", "%s has not ended 10 s after SIGTERM without load", g.Name)
			}
		}()
	}
	wg.Wait()
}

func (f *Field) breaks(rule, format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.Violation(rule, format, args...)
}

// Close ends what is left, and removes the run's folder, or keeps its logs.
func (f *Field) Close() error {
	f.stop.Store(true)
	for _, g := range f.gateways {
		if g.Running() {
			g.Kill()
		}
		if g.log != nil {
			g.log.Close()
		}
	}
	for _, s := range f.servers {
		s.mu.Lock()
		if s.ln != nil {
			s.ln.Close()
		}
		s.mu.Unlock()
	}
	f.net.Close()
	err := f.history.close()
	if f.opt.Logs != "" {
		err = errors.Join(err, f.keep())
	}
	return errors.Join(err, f.folder.remove())
}

// keep copies logs and the history.
func (f *Field) keep() error {
	if err := os.MkdirAll(f.opt.Logs, 0o755); err != nil {
		return err
	}
	for _, pattern := range []string{"*.log", "history.jsonl"} {
		found, err := filepath.Glob(filepath.Join(f.folder.path, pattern))
		if err != nil {
			return err
		}
		for _, file := range found {
			text, err := os.ReadFile(file)
			if err == nil {
				err = os.WriteFile(filepath.Join(f.opt.Logs, filepath.Base(file)), text, 0o644)
			}
			if err != nil {
				return err
			}
		}
	}
	return nil
}

// What servers see.

func (f *Field) arrived(s *server, gateway int, id string, begun time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.net.Now()
	t := f.judge.AttemptArrived(id, gateway, s.ID, begun)
	work := f.work(id, t.Once)
	if c, ok := f.ceiling[id]; ok && t.Arrivals == 1 {
		f.judge.UnitsUsed(c.customer, 1, c.most, c.rate, now)
	}
	s.mu.Lock()
	warmth, known := s.warmth(now), s.knownAt > 0 && now > s.knownAt+550*time.Millisecond
	s.mu.Unlock()
	if warmth < 1 && known {
		f.coldOver = max(f.coldOver, f.judge.ColdWork(s.ID, work.Seconds(), float64(s.cores)*warmth, now))
	}
	f.arrive = append(f.arrive, Arrival{now, s.index, gateway, work})
	f.history.add(Record{Kind: "attempt", Who: id, From: f.gateways[gateway].Name, To: s.ID, Begun: begun})
	if f.net.Link(gateway, s.index).leaks(begun) {
		f.void = append(f.void, fmt.Sprintf("%s came through a link that was cut, from g-%d to %s", id, gateway, s.ID))
	}
}

func (f *Field) probed(s *server, gateway int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probes++
	f.history.add(Record{Kind: "probe", From: f.gateways[gateway].Name, To: s.ID})
}

func (f *Field) runs(id string, s *server) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.AttemptMayRun(id)
	f.judge.AttemptRuns(id)
}

// mayRun: it was not turned away with proof, and did not run here: its sender can't know.
func (f *Field) mayRun(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.AttemptMayRun(id)
}

func (f *Field) made(id string, body []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.judge.ServerAnswered(id, body)
}

// lateness is how much later than asked for this process is woken: on an overloaded
// machine no verdict counts.
type lateness struct {
	mu   sync.Mutex
	all  []time.Duration
	most time.Duration
}

func (l *lateness) add(late time.Duration) {
	l.mu.Lock()
	l.all = append(l.all, late)
	l.most = max(l.most, late)
	l.mu.Unlock()
}

func (l *lateness) start(stop *atomic.Bool) {
	go func() {
		for !stop.Load() {
			began := time.Now()
			time.Sleep(5 * time.Millisecond)
			l.add(time.Since(began) - 5*time.Millisecond)
		}
	}()
}

func (l *lateness) figures() (p99, most time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := slices.Clone(l.all)
	slices.Sort(all)
	if len(all) == 0 {
		return 0, 0
	}
	return all[len(all)*99/100], l.most
}
