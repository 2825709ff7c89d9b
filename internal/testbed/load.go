package testbed

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"
)

// customer is a shipper: its tries come in through a row of gateways.
type customer struct {
	key   string
	pro   bool
	first int
	width int
}

// load is all clients: an open loop, in which each try has its time whatever
// becomes of the others.
type load struct {
	f         *Field
	customers []customer
	clients   []*fasthttp.HostClient
	rng       *rand.Rand // of the arrivals alone
	more      *rand.Rand // of all else; mu guards it
	hot       []bool
	began     time.Duration

	mu    sync.Mutex
	tries []try
	ended atomic.Bool
	wg    sync.WaitGroup
	last  atomic.Int64
}

// try is one client try, and how it ended. Repeats are tries of their own.
type try struct {
	at      time.Duration
	took    time.Duration
	gateway int
	status  int // 0: no whole answer
	again   int
	submit  bool
}

const mostAgain = 2

func newLoad(f *Field) *load {
	l := &load{f: f, rng: rand.New(rand.NewPCG(f.plan.Seed, 0x10ad)), more: rand.New(rand.NewPCG(f.plan.Seed, 0xe15e)), hot: make([]bool, f.plan.Gateways)}
	for i := range f.plan.Customers {
		c := customer{key: fmt.Sprintf("%016x", i+1), pro: i%3 == 0, first: l.rng.IntN(f.plan.Gateways)}
		c.width = 1 + l.rng.IntN(f.plan.Gateways)
		if most := int(f.plan.Ceiling * f.plan.Quota); c.pro { // an even share of a ceiling's burst holds two requests
			c.width = min(c.width, max(1, most))
		}
		l.customers = append(l.customers, c)
	}
	for _, g := range f.gateways {
		l.clients = append(l.clients, &fasthttp.HostClient{Addr: g.Name, MaxConns: 1 << 16, MaxIdleConnDuration: time.Second, NoDefaultUserAgentHeader: true,
			Dial: func(string) (net.Conn, error) { return f.net.Dial(g.index, time.Second) }, MaxIdemponentCallAttempts: 2,
			// A gateway may close a connection between requests: what crosses the closing is sent once more.
			RetryIfErr: func(_ *fasthttp.Request, attempts int, err error) (bool, bool) {
				return false, attempts < 2 && (errors.Is(err, net.ErrClosed) || errors.Is(err, io.EOF) && g.termAt.Load() > 0)
			}})
	}
	return l
}

func (l *load) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.tries)
}

// heat draws the gateways that get more.
func (l *load) heat() {
	h := l.f.plan.Hot
	if h == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.hot {
		l.hot[i] = l.more.Float64() < h.Share
	}
}

func (l *load) start() {
	l.began = l.f.net.Now()
	l.heat()
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		due, heated := time.Now(), time.Now()
		for !l.ended.Load() {
			due = due.Add(time.Duration(l.rng.ExpFloat64() / l.f.plan.Rate * float64(time.Second)))
			time.Sleep(time.Until(due))
			if h := l.f.plan.Hot; h != nil && h.EveryS > 0 && time.Since(heated) > seconds(h.EveryS) {
				heated = time.Now()
				l.heat()
			}
			l.f.late.add(max(0, time.Since(due))) // a field that sends late measures nothing
			c, submit := &l.customers[l.rng.IntN(len(l.customers))], l.rng.IntN(2) == 0
			l.begin(c, l.gateway(c), submit, 0, due.Sub(l.f.net.epoch))
		}
	}()
}

// gateway draws the one that a customer's try comes to. The front leaves out those
// that it knows to be down: it notices after a second.
func (l *load) gateway(c *customer) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.f.net.Now()
	best, least := -1, math.Inf(1)
	for i := range c.width {
		n := (c.first + i) % len(l.hot)
		g, w := l.f.gateways[n], 1.0
		if l.hot[n] {
			w = l.f.plan.Hot.Times
		}
		if g.down.Load() && now-time.Duration(g.downed.Load()) > time.Second {
			w = 1e-9
		}
		if at := g.termAt.Load(); at > 0 && now-time.Duration(at) > 300*time.Millisecond {
			w = 1e-9
		}
		if e := l.more.ExpFloat64() / w; e < least { // a draw by weight
			best, least = n, e
		}
	}
	return best
}

func (l *load) begin(c *customer, gateway int, submit bool, again int, due time.Duration) {
	l.wg.Add(1)
	id := fmt.Sprintf("%x-%d", l.f.plan.Seed, l.last.Add(1))
	f := l.f
	f.mu.Lock()
	f.judge.Request(id).Once = submit
	if c.pro {
		most := f.plan.Ceiling * f.plan.Quota * 2
		rate := f.plan.Ceiling * f.plan.Quota
		f.ceiling[id] = ceilingOf{c.key, rate, most*1.1 + rate*0.15}
	}
	f.history.add(Record{Kind: "try", Who: id, To: f.gateways[gateway].Name, What: c.key})
	f.mu.Unlock()
	go func() {
		defer l.wg.Done()
		t := try{at: due, gateway: gateway, submit: submit, again: again}
		after := l.send(c, id, &t)
		l.mu.Lock()
		l.tries = append(l.tries, t)
		wait := after + time.Duration(100+l.more.IntN(300))*time.Millisecond
		l.mu.Unlock()
		if (t.status == 429 || t.status == 503 || t.status != 200 && !submit) && again < mostAgain && !l.ended.Load() {
			l.wg.Add(1)
			time.AfterFunc(wait, func() {
				defer l.wg.Done()
				if !l.ended.Load() {
					l.begin(c, l.gateway(c), submit, again+1, f.net.Now())
				}
			})
		}
	}()
}

// send plays a try, and returns when its client was told to come back.
func (l *load) send(c *customer, id string, t *try) (after time.Duration) {
	f, g := l.f, l.f.gateways[t.gateway]
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	timeout := time.Duration(30*f.plan.WorkMs) * time.Millisecond
	req.SetRequestURI("http://service.internal/api")
	class, plan := "status-read", "basic"
	if t.submit {
		class, timeout = "submit-nom", timeout*2/3
		req.Header.SetMethod(fasthttp.MethodPost)
		req.SetBodyString(`{"point":"entry-4","kwh":1200}`)
	}
	if c.pro {
		plan = "pro"
	}
	req.Header.Set("X-Request-ID", id)
	req.Header.Set("X-Priority-Class", class)
	req.Header.Set("X-Tier", plan)
	req.Header.Set("Cookie", "client="+c.key)
	req.Header.Set("X-Timeout", fmt.Sprintf("%.3f", timeout.Seconds()))
	req.Header.Set("X-Call-Terms", fmt.Sprintf("units=1,spread=%d,first=%d", c.width, c.first))
	if t.again > 0 {
		req.Header.Set("X-Retried", "1")
	}
	if f.opt.Policy != "" {
		if t.status = 0; !g.down.Load() {
			t.status = f.act(g, id, t, timeout)
		}
		t.took = f.net.Now() - t.at
		return 0
	}
	sent, lives := f.net.Now(), g.Lives()
	err := l.clients[t.gateway].DoTimeout(req, resp, timeout+2*time.Second)
	now := f.net.Now()
	t.took = now - t.at
	excused := g.Lives() != lives || g.down.Load() || time.Duration(g.downed.Load()) >= sent || l.hindered(t.gateway)
	f.mu.Lock()
	defer f.mu.Unlock()
	if err != nil {
		f.history.add(Record{Kind: "answer", Who: id, From: g.Name, Detail: err.Error()})
		if !excused && !errors.Is(err, fasthttp.ErrNoFreeConns) && !errors.Is(err, net.ErrClosed) && !refused(err) {
			f.judge.RequestLost(id, t.gateway, err.Error())
		}
		return 0
	}
	t.status = resp.StatusCode()
	f.history.add(Record{Kind: "answer", Who: id, From: g.Name, Status: t.status})
	late := now - sent - timeout
	if excused {
		late = 0
	}
	f.judge.ClientAnswered(id, t.status, resp.Body(), late)
	f.answered(t.gateway)
	if s, err := strconv.ParseFloat(string(resp.Header.Peek("Retry-After")), 64); err == nil {
		after = seconds(s)
	}
	return after
}

// refused reports whether no connection came up: nothing was taken then.
func refused(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, fasthttp.ErrDialTimeout) || errors.Is(err, unix.ECONNREFUSED)
}

// hindered reports whether the way between clients and a gateway has a fault.
func (l *load) hindered(gateway int) bool { return !l.f.net.Link(gateway, farClients).plain.Load() }

func (l *load) stop() { l.ended.Store(true) }

// wait reports whether all clients had their answers in time.
func (l *load) wait(limit time.Duration) bool {
	done := make(chan struct{})
	go func() {
		l.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		return true
	case <-time.After(limit):
		return false
	}
}

// starve leaves a gateway's process only two descriptors more than it has.
func (g *gateway) starve(fault *Fault) error {
	g.mu.Lock()
	pid := g.id.PID
	g.mu.Unlock()
	open, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
	if err != nil {
		return err
	}
	var before unix.Rlimit
	now := unix.Rlimit{Cur: uint64(len(open) + 2)}
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, nil, &before); err != nil {
		return fmt.Errorf("%s: %w", g.Name, err)
	}
	now.Max = before.Max
	if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &now, nil); err != nil {
		return fmt.Errorf("%s: %w", g.Name, err)
	}
	g.down.Store(true) // it can't take what comes
	g.downed.Store(int64(g.f.net.Now()))
	g.f.then(fault, func() {
		if err := unix.Prlimit(pid, unix.RLIMIT_NOFILE, &before, nil); err != nil && !errors.Is(err, os.ErrProcessDone) {
			g.f.breaks("start", "%s: %v", g.Name, err)
		}
		g.down.Store(false)
		g.downed.Store(int64(g.f.net.Now()))
	})
	return nil
}

// latency sums up times of tries that were served, in milliseconds.
func latency(tries []try, from, to time.Duration) (h *hdrhistogram.Histogram) {
	h = hdrhistogram.New(1, 60_000_000, 3)
	for _, t := range tries {
		if t.at >= from && t.at < to && t.status == 200 {
			h.RecordValue(max(1, t.took.Microseconds()))
		}
	}
	return h
}
