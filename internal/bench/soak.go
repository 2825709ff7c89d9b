package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"asterwell/internal/adminclient"
)

// SoakOptions say what a soak of real processes plays.
type SoakOptions struct {
	Binary   string
	Nodes    int           // processes, of which three are the core
	Seed     uint64        // the first
	Count    int           // seeds
	Jobs     int           // fleets side by side
	Span     time.Duration // of trouble
	Within   time.Duration // no seed begins later
	Logs     string        // a folder for the processes' output of seeds that break a rule; empty: none is kept
	Progress func(text string)
}

const (
	soakRate    = 60 // of the limited tenant, a second
	soakBurst   = 60
	soakCallers = 3 // at each process
	soakBack    = 20 * time.Second
	soakRestart = 150 * time.Millisecond
)

// soak is one fleet under one plan.
type soak struct {
	*faultFleet
	mu          sync.Mutex // over what follows, and processes as they are replaced
	arrivals    map[string][]time.Time
	bodySizes   map[string]int64     // of requests with long bodies that ran, by ID
	workedUntil map[string]time.Time // by servers, on requests whose clients have left, by ID
	trouble     []time.Time
	terminated  map[string][]time.Time // when a process got SIGTERM, by its name
	over        bool
	versions    int
	acked       int
	watchers    sync.WaitGroup
}

// MeasureSoak plays seeds, one after the other in each of a few fleets, and reports every rule that broke.
func MeasureSoak(o SoakOptions) (*Report, error) {
	r := &Report{Name: "soak", Seed: o.Seed, Figure: map[string]any{}}
	r.Row("seed", "events", "requests", "served", "refused", "no answer", "worst 5 s", "broken")
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	next, played := o.Seed, 0
	var failed error
	for range max(1, o.Jobs) {
		wg.Go(func() {
			for {
				mu.Lock()
				seed := next
				next++
				stop := seed >= o.Seed+uint64(o.Count) || failed != nil || o.Within > 0 && time.Since(began) > o.Within
				mu.Unlock()
				if stop {
					return
				}
				row, broken, err := soakOne(o, seed)
				mu.Lock()
				if err != nil {
					failed = fmt.Errorf("seed %d: %w", seed, err)
				}
				played++
				r.Row(row...)
				for _, b := range broken {
					r.Rule(false, "seed %d: %s", seed, b)
				}
				if o.Progress != nil {
					o.Progress(fmt.Sprintf("%v %v", row, broken))
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	r.Figure["seeds"], r.Figure["nodes"], r.Figure["broken"], r.Figure["took_s"] = played, o.Nodes, len(r.Broken), time.Since(began).Seconds()
	return r, failed
}

// fleets take their ports one after the other.
var soakPorts sync.Mutex

func soakOne(o SoakOptions, seed uint64) (row []any, broken []string, err error) {
	soakPorts.Lock()
	f, err := newFaultFleet(o.Binary, o.Nodes, "")
	if err != nil {
		soakPorts.Unlock()
		return nil, nil, err
	}
	s := &soak{faultFleet: f, arrivals: map[string][]time.Time{}, bodySizes: map[string]int64{}, workedUntil: map[string]time.Time{}, terminated: map[string][]time.Time{}, versions: 1, acked: 1}
	s.heartbeat = soakHeartbeat
	err = s.launch()
	time.Sleep(300 * time.Millisecond) // until they listen, so that the next fleet takes other ports
	soakPorts.Unlock()
	defer s.end()
	if err != nil {
		return nil, nil, err
	}
	if err := s.ready(); err != nil {
		return nil, nil, fmt.Errorf("%w\n%s", err, s.said())
	}
	plan := drawSoak(seed, o.Nodes, o.Span)
	for _, n := range s.nodes {
		s.watch(n)
	}
	var sent []sentOne
	var wg sync.WaitGroup
	wg.Go(func() {
		sent = s.pace(o.Span+2*time.Second, 8*time.Duration(o.Nodes)*time.Millisecond, fmt.Sprintf("s%d", seed), soakCallers, "key-struck", "key-other")
	})
	var slow []sentOne
	wg.Go(func() { slow = s.callSlowly(o.Span, seed) })
	wg.Go(func() { s.leaveEarly(o.Span, seed) })
	var uploads []uploadResult
	wg.Go(func() { uploads = s.uploadAlways(o.Span, seed) })
	var left []abandoned
	wg.Go(func() { left = s.abandonAlways(o.Span, seed) })
	var releases []*release
	wg.Go(func() { releases = s.releaseAlways(o.Span, seed, plan) })
	s.play(plan, &wg)
	wg.Wait()
	sent = append(sent, slow...)
	broken = s.back()
	s.stopWatching()
	run := &soakRun{sent: sent, uploads: uploads, arrivals: s.arrivals, bodySizes: s.bodySizes, trouble: s.trouble, terminated: s.terminated, limit: soakLimit{"key-struck", soakRate, soakBurst},
		abandoned: left, workedUntil: s.workedUntil, releases: releases}
	broken = append(run.check(), broken...)
	ends := map[int]int{}
	for _, one := range sent {
		ends[one.status]++
	}
	most, _ := run.worstWindow()
	row = []any{seed, len(plan), len(sent), ends[200], ends[429] + ends[503], ends[0], fmt.Sprintf("%d of %.0f", most, run.bound()), len(broken)}
	if len(broken) > 0 && o.Logs != "" {
		text, _ := os.ReadFile(f.log.Name())
		os.WriteFile(filepath.Join(o.Logs, fmt.Sprintf("soak-%d.log", seed)), text, 0o644)
	}
	return row, broken, nil
}

// ready starts servers, sends the first configuration, and returns once each process serves.
func (s *soak) ready() error {
	ctx, stop := context.WithTimeout(context.Background(), time.Minute)
	defer stop()
	s.serversOf("toy", realToys, s.soakServer)
	if _, err := s.client().Put(ctx, soakConfiguration(1)); err != nil {
		return err
	}
	for _, n := range s.nodes {
		if !s.serves(ctx, n) {
			return fmt.Errorf("%s does not serve", n.name)
		}
	}
	return nil
}

func (s *soak) serves(ctx context.Context, n *faultNode) bool {
	for s.ask(n, "key-other", fmt.Sprint("up-", n.name, time.Now().UnixNano())) != http.StatusOK {
		if ctx.Err() != nil {
			return false
		}
		time.Sleep(50 * time.Millisecond)
	}
	return true
}

func (s *soak) arrived(r *http.Request) {
	at := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get("X-Attempt-Id")
	s.arrivals[id] = append(s.arrivals[id], at)
}

func soakConfiguration(epoch int) []byte {
	text := faultConfiguration(epoch, "key-struck", "key-other")
	for _, path := range []string{slowPath, uploadPath, earlyPath, longPath} {
		text = bytes.Replace(text, []byte(`"Policy": [`), fmt.Appendf(nil, `"Policy": [{"Name": %q, "RouteClass": "effectful", "TargetMs": 4000, "Rank": 1, "Anonymous": false,
   "Predicate": {"PathPrefix": "/%s"}, "Effect": {"Backend": "toy", "DeadlineMs": %d, "Tries": 1}},
  `, path, path, slowDeadline.Milliseconds()), 1)
	}
	text = bytes.Replace(text, []byte(`"Policy": [`), fmt.Appendf(nil, `"Policy": [{"Name": %q, "RouteClass": "pure", "TargetMs": 1000, "Rank": 1, "Anonymous": false,
   "Predicate": {"PathPrefix": "/%s"}, "Effect": {"Backend": "toy", "DeadlineMs": %d, "Tries": 2}},
  `, abandonedPath, abandonedPath, abandonedDeadline), 1)
	if epoch%2 == 0 { // a route with the name of another one
		text = bytes.Replace(text, []byte(`"Policy": [`), fmt.Appendf(nil, `"Policy": [{"Name": %q, "RouteClass": "pure", "TargetMs": 300, "Rank": 1, "Anonymous": false,
   "Predicate": {"PathPrefix": "/%s-look"}, "Effect": {"Backend": "toy", "DeadlineMs": 2000, "Tries": 3}},
  `, slowPath, slowPath), 1)
	}
	return bytes.Replace(text, []byte(`"RatePerS": 5000, "BurstSize": 5000`), fmt.Appendf(nil, `"RatePerS": %d, "BurstSize": %d`, soakRate, soakBurst), 1)
}

// watch starts a process again whenever it has ended.
func (s *soak) watch(n *faultNode) {
	s.watchers.Go(func() {
		for {
			n.cmd.Wait()
			time.Sleep(soakRestart)
			s.mu.Lock()
			if s.over {
				s.mu.Unlock()
				return
			}
			err := s.start(n)
			s.mu.Unlock()
			if err != nil {
				return
			}
		}
	})
}

// stopWatching ends all processes for good.
func (s *soak) stopWatching() {
	s.mu.Lock()
	s.over = true
	for _, n := range s.nodes {
		n.cmd.Process.Kill()
	}
	s.mu.Unlock()
	s.watchers.Wait()
}

func (s *soak) signal(n *faultNode, sig syscall.Signal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	n.cmd.Process.Signal(sig)
}

func (s *soak) troubled() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.trouble = append(s.trouble, time.Now())
}

// play carries a plan out; what takes time goes on beside it.
func (s *soak) play(plan []soakEvent, wg *sync.WaitGroup) {
	began := time.Now()
	for _, e := range plan {
		time.Sleep(time.Until(began.Add(e.at)))
		n := s.nodes[e.node]
		if !e.action.planned() {
			s.troubled()
		}
		switch e.action {
		case soakReload:
			s.signal(n, syscall.SIGHUP)
		case soakTerminate:
			s.signal(n, syscall.SIGTERM)
			s.mu.Lock()
			s.terminated[n.name] = append(s.terminated[n.name], time.Now())
			s.mu.Unlock()
		case soakKill:
			s.signal(n, syscall.SIGKILL)
		case soakKillAll:
			for _, n := range s.nodes {
				s.signal(n, syscall.SIGKILL)
			}
		case soakFreeze:
			wg.Go(func() { s.freezeFor(n, e.lasts, e.times) })
		case soakDrain:
			wg.Go(func() { s.drainFor(n, e.lasts) })
		case soakConfigure:
			wg.Go(s.configure)
		}
	}
}

// freezeFor stops a process and lets it go on, several times with hardly a pause.
func (s *soak) freezeFor(n *faultNode, d time.Duration, times int) {
	for range times {
		s.signal(n, syscall.SIGSTOP)
		time.Sleep(d)
		s.signal(n, syscall.SIGCONT)
		s.troubled()
		time.Sleep(soakThaw)
	}
}

// drainFor starts an operator's drain of a process, and stops it after a while.
func (s *soak) drainFor(n *faultNode, d time.Duration) {
	client := http.Client{Timeout: time.Second}
	for _, op := range []string{"start", "stop"} {
		if response, err := client.Post("http://"+n.control()+"/api/drain/"+op, "", nil); err == nil {
			response.Body.Close()
		}
		if op == "start" {
			time.Sleep(d)
		}
	}
}

// configure sends the next version, until it is acknowledged or another one has overtaken it.
func (s *soak) configure() {
	s.mu.Lock()
	s.versions++
	version := s.versions
	s.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), soakBack)
	defer stop()
	for ctx.Err() == nil {
		if _, err := s.control(version).Put(ctx, soakConfiguration(version)); err == nil {
			s.mu.Lock()
			s.acked = max(s.acked, version)
			s.mu.Unlock()
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// control is a client that begins with another process each time.
func (s *soak) control(turn int) *adminclient.Client {
	var at []string
	for i := range 3 {
		at = append(at, s.nodes[(turn+i)%3].control())
	}
	return adminclient.New(at, 5*time.Second)
}

// back waits until all serve again, and reads what was acknowledged.
func (s *soak) back() (broken []string) {
	ctx, stop := context.WithTimeout(context.Background(), soakBack)
	defer stop()
	for _, n := range s.nodes {
		if !s.serves(ctx, n) {
			broken = append(broken, fmt.Sprintf("RECOVER: %s does not serve %v after all is over", n.name, soakBack))
		}
	}
	s.mu.Lock()
	acked := s.acked
	s.mu.Unlock()
	held, err := s.held(ctx)
	if err != nil {
		return append(broken, fmt.Sprintf("CONFIG: not read back: %v", err))
	}
	if held < acked {
		broken = append(broken, fmt.Sprintf("LOST: version %d was acknowledged, %d is read back", acked, held))
	}
	return broken
}

// held is the newest version, as the core tells it.
func (s *soak) held(ctx context.Context) (version int, err error) {
	for turn := 0; ; turn++ {
		a, err := s.control(turn).Get(ctx)
		if err == nil {
			var doc struct{ Epoch string }
			if err := json.Unmarshal(a.Body, &doc); err != nil {
				return 0, err
			}
			_, err := fmt.Sscanf(doc.Epoch, "%x", &version)
			return version, err
		}
		if ctx.Err() != nil {
			return 0, err
		}
		time.Sleep(200 * time.Millisecond)
	}
}
