package bench

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"asterwell/internal/adminclient"
)

// RealOptions of the same with real processes.
type RealOptions struct {
	Folder    string // for the state of the core; "": the temporary one
	Binary    string // loom
	Seed      uint64
	Processes int
	Within    time.Duration // all of it
	Progress  func(text string)
}

// rules are what versions of the trial differ in.
type rules struct {
	pay     string // where payouts go: "a", "b", or "split"
	key     bool   // whether payouts have theirs
	reads   bool   // whether reads wait for leases too
	confirm int    // for the version after
	within  int
}

const (
	pathNominate = "/nominate"
	pathPayout   = "/payout"
	pathRead     = "/read"
)

// forbids tells why an effect can't be by these rules.
func (r rules) forbids(u run) string {
	switch {
	case u.path == pathPayout && (u.tenant != "payer" || !r.key):
		return "payouts have no key there"
	case u.path == pathPayout && r.pay != "split" && u.service != "pay-"+r.pay:
		return "payouts go to " + r.pay + " there, this one went to " + u.service
	case u.path != pathPayout && (u.service != "toy" || u.tenant != "trader"):
		return "it went to " + u.service + " for " + u.tenant
	}
	return ""
}

// text is a version's configuration.
func (r rules) text(v uint32) string {
	pay, key, reads, more := `"Backend": "pay-`+r.pay+`"`, `"key-payer"`, "last", ""
	if r.pay == "split" {
		pay = `"Partition": [{"Backend": "pay-a", "Share": 70}, {"Backend": "pay-b", "Share": 30}]`
	}
	if !r.key {
		key = ""
	}
	if r.reads {
		reads = "live"
	}
	if r.confirm > 0 {
		more = fmt.Sprintf(`, "Confirm": %d`, r.confirm)
	}
	if r.within > 0 {
		more += fmt.Sprintf(`, "WithinMs": %d`, r.within)
	}
	route := func(name, class, path, to string) string {
		return fmt.Sprintf(`{"Name": %q, "RouteClass": %q, "TargetMs": 300, "Rank": 1, "Anonymous": false, "Predicate": {"PathPrefix": %q},
 "Effect": {%s, "DeadlineMs": 1000, "Tries": 2}}`, name, class, path, to)
	}
	return fmt.Sprintf(`{"Epoch": "%08x", "Rollout": {"Mode": "together", "Reads": %q%s},
 "BoundsReq": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 1048576, "HeaderReadMs": 3000, "KeepaliveMs": 15000},
 "Principals": [{"Name": "trader@%08x", "Credentials": ["key-trader"], "Rank": 1}, {"Name": "payer@%08x", "Credentials": [%s], "Rank": 1}],
 "Sockets": [{"Authority": "toy.example", "Policy": [%s, %s, %s]}],
 "Pools": [{"Name": "toy", "ProbePath": "/probe", "MaxConns": 100, "Protocol": "h1", "Encrypted": false},
  {"Name": "pay-a", "ProbePath": "/probe", "MaxConns": 100, "Protocol": "h1", "Encrypted": false},
  {"Name": "pay-b", "ProbePath": "/probe", "MaxConns": 100, "Protocol": "h1", "Encrypted": false}]}`,
		v, reads, more, v, v, key, route("nominate", "effectful", pathNominate, `"Backend": "toy"`),
		route("payout", "effectful", pathPayout, pay), route("read", "pure", pathRead, `"Backend": "toy"`))
}

// trial is one measurement.
type trial struct {
	f    *faultFleet
	l    *ledger
	o    RealOptions
	r    *Report
	rng  *rand.Rand
	ctx  context.Context
	top  uint32
	acks atomic.Uint32  // the highest version that was acknowledged
	shun sync.Map       // a process's name: until when clients leave it out
	wg   sync.WaitGroup // of puts

	calm, third, other []time.Duration // until live: all there; a third down; the primary killed
	late               int             // neither live nor withdrawn in time
	held               float64         // ms, in a turn with nobody down
	inTurn             int64           // refused in such a turn
}

// MeasureRealRollout takes versions up at real processes under load, with kills and stops.
func MeasureRealRollout(o RealOptions) (*Report, error) {
	if o.Processes < 6 || o.Processes > 9 {
		return nil, fmt.Errorf("--processes must be from 6 to 9, not %d", o.Processes)
	}
	below, on := o.Folder, o.Folder
	if below == "" {
		on = "the temporary folder"
	}
	f, err := newFaultFleet(o.Binary, o.Processes, below)
	if err != nil {
		return nil, err
	}
	defer f.end()
	ctx, stop := context.WithTimeout(context.Background(), o.Within)
	defer stop()
	t := &trial{f: f, l: newLedger(), o: o, r: &Report{Name: "rollout-real", Seed: o.Seed, Figure: map[string]any{}}, ctx: ctx,
		rng: rand.New(rand.NewPCG(o.Seed, 28))}
	o.Progress(fmt.Sprintf("%d processes, state of the core on %s", o.Processes, on))
	if err := t.up(); err != nil {
		return nil, fmt.Errorf("%w; the processes say:\n%s", err, f.said())
	}
	load, end := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	t.clients(load, &clients)
	t.play()
	t.wg.Wait()
	end()
	clients.Wait()
	t.report(on)
	return t.r, nil
}

func (t *trial) up() error {
	if err := t.f.launch(); err != nil {
		return err
	}
	for _, service := range []string{"toy", "pay-a", "pay-b"} {
		t.f.toys(service, 2, t.l.note(service))
	}
	first := rules{pay: "a", key: true}
	t.put(first)
	for _, n := range t.f.nodes {
		if !t.serves(n, 20*time.Second) {
			return fmt.Errorf("%s does not serve", n.name)
		}
	}
	time.Sleep(2 * time.Second) // the first one together waits until what was before can hold no lease
	return nil
}

// serves waits until a process takes a nomination up.
func (t *trial) serves(n *faultNode, within time.Duration) bool {
	c := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for end := t.l.now() + within; t.l.now() < end && t.ctx.Err() == nil; time.Sleep(50 * time.Millisecond) {
		id := fmt.Sprintf("up-%s-%d", n.name, t.l.now())
		if s := t.try(c, n, "nominate", id, id+"/0"); s.status == http.StatusOK {
			return true
		}
	}
	return false
}

// try sends one try to a process.
func (t *trial) try(c *http.Client, n *faultNode, kind, name, id string) tried {
	key := "key-trader"
	if kind == "payout" {
		key = "key-payer"
	}
	q, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s", n.ip, n.port, kind), strings.NewReader("body"))
	if err != nil {
		panic(err) // the address is our own
	}
	q.Host = "toy.example"
	q.Header.Set("Authorization", "Bearer "+key)
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Deadline-Ms", "800")
	s := tried{kind: kind, name: name, id: id, node: n.name, from: t.l.now(), sent: true}
	a, err := c.Do(q)
	if err == nil {
		_, err = io.Copy(io.Discard, a.Body)
		a.Body.Close()
	}
	if s.to = t.l.now(); err == nil {
		s.status = a.StatusCode
	} else {
		s.sent = !errors.Is(err, syscall.ECONNREFUSED)
		t.shun.Store(n.name, s.to+500*time.Millisecond)
	}
	t.l.mu.Lock()
	t.l.calls = append(t.l.calls, s)
	t.l.mu.Unlock()
	return s
}

// clients send until the load ends: nominations and payouts that are repeated as long as
// every answer promises that they have not run, and reads.
func (t *trial) clients(ctx context.Context, all *sync.WaitGroup) {
	for i := range t.f.nodes {
		for k, kind := range []string{"nominate", "nominate", "payout", "read"} {
			all.Go(func() { t.client(ctx, i, k, kind) })
		}
	}
	all.Go(func() { t.watch(ctx) })
}

const (
	clientGap = 25 * time.Millisecond // the gateways and all else here have three cores or so
	repeats   = 6
)

func (t *trial) client(ctx context.Context, i, k int, kind string) {
	c := &http.Client{Timeout: 1500 * time.Millisecond, Transport: &http.Transport{}}
	defer c.CloseIdleConnections()
	for n, turn := 0, i; ctx.Err() == nil; n++ {
		name := fmt.Sprintf("%s-%d-%d-%d", kind, i, k, n)
		for try := range repeats {
			at := t.pick(&turn)
			if s := t.try(c, at, kind, name, fmt.Sprintf("%s/%d", name, try)); !s.promised() {
				break
			}
			time.Sleep(clientGap)
		}
		time.Sleep(clientGap)
	}
}

// pick goes round the processes, past those that lately did not answer.
func (t *trial) pick(turn *int) *faultNode {
	for range t.f.nodes {
		*turn++
		n := t.f.nodes[*turn%len(t.f.nodes)]
		if until, ok := t.shun.Load(n.name); !ok || until.(time.Duration) < t.l.now() {
			return n
		}
	}
	return t.f.nodes[*turn%len(t.f.nodes)]
}

const watchEvery = 100 * time.Millisecond

// watch asks all processes over and over how they see the rollout.
func (t *trial) watch(ctx context.Context) {
	var all sync.WaitGroup
	for _, n := range t.f.nodes {
		all.Go(func() {
			c := adminclient.New([]string{n.control()}, time.Millisecond) // one try
			for ctx.Err() == nil {
				if s, _, err := c.Status(ctx); err == nil {
					t.l.heard(t.l.now(), n.name, s.Rollout.Live, s.Rollout.Newest, s.Rollout.Fate)
					t.l.mu.Lock()
					t.l.turns[fmt.Sprint(n.name, " ", len(t.l.down[n.name]))] = s.Turns // of this life
					t.l.mu.Unlock()
				}
				time.Sleep(watchEvery)
			}
		})
	}
	all.Wait()
}
