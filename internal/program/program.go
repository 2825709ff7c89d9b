package program

import (
	"errors"
	"fmt"
	"log"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"asterwell/choice"
	"asterwell/internal/backoff"
	"asterwell/internal/buildinfo"
	"asterwell/internal/cluster"
	"asterwell/internal/hostenv"
	"asterwell/internal/mailbox"
	"asterwell/internal/ops"
	"asterwell/internal/protocol"
	"asterwell/internal/protocol/openapi"
	"asterwell/internal/routing"
	"asterwell/internal/standstill"
	"asterwell/internal/transport"
)

// Main runs a gateway until it is told to end, and returns its exit code.
func Main() int {
	// From the start: until it is caught, SIGHUP ends a program.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	signal.Ignore(syscall.SIGXFSZ) // a file that may not grow any more is an error of its writer
	log.SetFlags(log.Ltime | log.Lmicroseconds)
	cfg, err := ReadConfig(os.Getenv)
	if err != nil {
		log.Printf("event=config error=%q", err)
		return 2
	}
	files, err := cfg.rest(os.Getenv)
	if err != nil {
		log.Printf("event=config error=%q", err)
		return 2
	}
	log.SetPrefix(cfg.Name + " ")
	cfg.Limits.Apply()
	g, err := New(nil, files, func() (*Files, error) { return Reread(os.Getenv) })
	if err == nil {
		hostenv.Real.Go(func() {
			for {
				select {
				case <-hup:
					g.Hup()
				case <-term:
					g.Term()
				}
			}
		})
		err = g.Run()
	}
	if err != nil {
		log.Printf("event=exit error=%q", err)
		return 1
	}
	return 0
}

const (
	maxBody        = transport.MaxStream
	idleAfterDrain = time.Second            // until idle connections are closed; new ones come for 0.2 s after the first failed check
	drainInterval  = 100 * time.Millisecond // while connections are open
	idleAfterTerm  = 700 * time.Millisecond // until idle connections are closed; the front may send more until then
)

// clock returns the core's clock: the Unix time as it was at the start, and
// steady from then on. Gateways and discovery agree on it, so that names of the
// counter's periods and servers' start times mean the same everywhere.
func clock(world hostenv.Host) func() time.Duration {
	start := world.Now()
	unix := time.Duration(start.UnixNano())
	return func() time.Duration { return unix + world.Now().Sub(start) }
}

// Apply sets the Go runtime's limits. Garbage collection is rare, but the heap stays well
// below the limit: stacks, kernel buffers and the binary count too.
func (l Limits) Apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 6 / 10)
}

// part is a component of a gateway that runs until it is stopped.
type part interface {
	Run()
	Stop()
}

// Gateway is one gateway, on a host.
type Gateway struct {
	world     hostenv.Host
	cfg       *Config
	box       *mailbox.Box[any]
	reread    func() (*Files, error)
	core      *routing.Core
	counter   *protocol.Counter
	list      *protocol.Discovery
	srv       *members
	gate      *gate // nil: in no cluster
	sockets   *transport.ConnLimit
	parts     []part
	listeners []*transport.Listener
	figures   *ops.Metrics
	retunes   bool // settings can change at SIGHUP
	plans     []choice.Plan
	restart   *hotRestart // nil: it is the only process
	leaving   atomic.Bool
	draining  atomic.Bool

	standstills standstill.Meter // owned by Run
}

// Messages to a running gateway.
type (
	term   struct{}
	hup    struct{}
	failed struct{ error }
	drain  struct{ on bool }
)

// Term ends the gateway once all requests have been answered.
func (g *Gateway) Term() { g.box.Put(term{}) }

// Hup tells it that the files have changed.
func (g *Gateway) Hup() { g.box.Put(hup{}) }

// Drain makes the gateway ask for no more clients, or for clients again, at once.
func (g *Gateway) Drain(on bool) {
	if g.draining.Swap(on) != on {
		log.Printf("event=drain on=%v", on)
		g.box.Put(drain{on})
	}
}

// away reports whether clients should send their next requests to another gateway.
func (g *Gateway) away() bool { return g.leaving.Load() || g.draining.Load() || g.restart.superseded() }

// serves tells whether this process takes clients.
func (g *Gateway) serves() bool {
	return !g.leaving.Load() && !g.draining.Load() && g.restart.accepting()
}

// New puts a gateway together in a world (nil: the real one). reread reads its files
// anew, at Hup.
func New(world hostenv.Host, files *Files, reread func() (*Files, error)) (*Gateway, error) {
	world = hostenv.OrReal(world)
	cfg, op := files.Config, files.Operator
	g := &Gateway{world: world, cfg: cfg, plans: cfg.Settings.Plans, box: mailbox.NewBox[any](world), reread: reread}
	// Half of the descriptors are for clients, a third for servers; the rest
	// are the counter's, discovery's, the listeners' and the run time's.
	clients, servers := cfg.Limits.Sockets/2, cfg.Limits.Sockets/3
	set := cfg.Settings
	described := openapi.NewFront(set.Settings, op.Routes, op.names())
	var text []byte
	if op.Enabled {
		var err error
		if text, err = described.Load(op.Description); err != nil {
			return nil, fmt.Errorf("description: %s: %w", op.Description, err)
		}
		clients /= 2 // for each front
		set.Classes = openapi.AddNonRetryableVariants(set.Classes)
	}
	now := clock(world)
	g.sockets = transport.NewConnLimit(servers)
	g.figures = ops.NewMetrics(func() int { return g.core.ListedServers() }, func() int { return g.core.EjectedServers() })
	for _, c := range set.Classes {
		g.figures.RegisterClass(c.Name)
	}
	fleet := protocol.NewFleet(transport.PeerOptions{Host: world, ConnectTimeout: orDefault(set.ConnectTimeout, time.Second),
		IdleTimeout: transport.NewIdleTimeout(orDefault(set.IdleClose, 10*time.Second) / 2), ConnLimit: g.sockets,
		OnSent: func(note any) {
			if note != nil { // no probe
				g.figures.Dispatched()
			}
		}}, set.Reports)
	watch := &watcher{}
	hands := routing.Dependencies{Env: world, Fleet: fleet, Watcher: watch, DiscardAnswer: protocol.Discard}
	if set.Counter {
		g.counter = protocol.NewCounter(world, cfg.Counter, orDefault(set.CounterTimeout, 50*time.Millisecond),
			func(name string, s choice.Status, total float64) { g.core.CounterEnded(name, s, total) })
		hands.Counter = g.counter
	}
	if g.srv = newMembers(world, files.SRV, cfg.Seed, now); g.srv != nil {
		hands.Health = g.srv
	}
	var node *cluster.Node
	var front *protocol.Front
	if files.Cluster != nil && files.Cluster.Enabled {
		var err error
		if node, g.gate, err = g.join(files.Cluster, now); err != nil {
			return nil, err
		}
		hands.Gate, hands.MaxGateWait = g.gate, time.Duration(files.Cluster.WaitMs*float64(time.Millisecond))
	}
	hands.PolicyApplied = func(set choice.Settings) {
		for _, c := range set.Classes {
			g.figures.RegisterClass(c.Name)
		}
		front.UpdatePolicy(set)
	}
	g.retunes = g.gate == nil && !op.Enabled // a cluster has a policy of its own; the OpenAPI front follows none
	var err error
	if g.core, err = routing.New(set.Settings, cfg.Seed, now, hands); err != nil {
		return nil, err
	}
	fleet.Results = g.core
	if g.gate != nil {
		g.gate.core = g.core
		g.parts = append(g.parts, node)
	}
	list := protocol.DiscoveryOptions{Host: world, Addr: cfg.Discovery, LongPoll: 2 * time.Second, ResponseGrace: 500 * time.Millisecond,
		ConnectTimeout: 250 * time.Millisecond, Backoff: backoff.Options{Shared: set.Subscribe, MaxNewsAge: set.MaxNewsAge, Gateways: set.Gateways}}
	news := g.core.HandleDiscovery
	if g.srv != nil {
		list.OnSuccess, news = g.srv.listHeard, g.srv.list
		g.srv.wire(g.core.HandleDiscovery)
	}
	g.list = protocol.NewDiscovery(list, cfg.Known, set.Subscribe, news)
	if watch.d = g.list; watch.on {
		g.list.Watch(true)
	}
	g.parts = append(g.parts, g.core)
	if g.counter != nil {
		g.parts = append(g.parts, g.counter)
	}
	if g.srv != nil {
		g.parts = append(g.parts, g.srv)
	}
	if g.srv == nil || files.SRV.List {
		g.parts = append(g.parts, g.list)
	}

	front = protocol.NewFront(set.Settings)
	front.DeferTerms = g.gate != nil
	front.Core, front.Now, front.Leaving, front.Observer = g.core, now, g.away, g.figures
	able := func() bool { return g.core.ReadyServers() > 0 && g.srv.trusted() && g.gate.open(now) }
	front.Ready = func() bool { // of the address: the next process may have it
		return able() && (g.serves() || g.restart.superseded() && !g.draining.Load())
	}
	ln, err := g.listen(clients)
	if err != nil {
		return nil, err
	}
	if cfg.Socket > 0 {
		if g.restart, err = newHotRestart(g, ln, able); err != nil {
			log.Printf("event=twin what=%q error=%q", "taken to be the only process", err)
		}
	}
	g.serve(ln, transport.NewServer(front.Handle, maxBody))
	if cfg.Management != "" {
		ln, err := ops.Listen(world, cfg.Management)
		if err != nil {
			return nil, fmt.Errorf("management: %w", err)
		}
		desk := &ops.Server{Ready: func() bool { return able() && g.serves() }, Drain: g.Drain, Metrics: g.figures}
		g.world.Go(func() { g.box.Put(failed{desk.Serve(ln)}) })
	}
	if op.Enabled {
		described.Core, described.IDs, described.Now, described.Leaving = g.core, front.IDs, now, g.away
		described.Random = world.Random
		ln, err := transport.Listen(world, op.Listen, clients)
		if err != nil {
			return nil, fmt.Errorf("openapi: listen: %w", err)
		}
		g.serve(ln, transport.NewServer(described.Handle, op.MaxBodyKB<<10))
		g.parts = append(g.parts, &follower{described, op, text, world.NewNotifier()})
		log.Printf("event=start openapi=%s description=%s", op.Listen, op.Description)
	}
	log.Printf("event=start listen=%s cores=%v memory_mb=%d sockets=%d build=%q", cfg.Listen, cfg.Limits.Cores,
		cfg.Limits.MemoryMB, cfg.Limits.Sockets, buildinfo.Read())
	return g, nil
}

// listen inherits the platform's socket for clients, or opens one.
func (g *Gateway) listen(most int) (*transport.Listener, error) {
	if g.cfg.Socket > 0 {
		ln, err := transport.Inherit(g.cfg.Socket, most)
		if err != nil {
			return nil, fmt.Errorf("LB_SOCKET_FD: %d: %w", g.cfg.Socket, err)
		}
		return ln, nil
	}
	ln, err := transport.Listen(g.world, g.cfg.Listen, most)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	return ln, nil
}

// serve serves a listener's connections once the gateway runs.
func (g *Gateway) serve(ln *transport.Listener, s *fasthttp.Server) {
	g.listeners = append(g.listeners, ln)
	g.world.Go(func() { g.box.Put(failed{ln.Serve(s)}) })
}

// follower is the part that reloads an API description when its file changes.
type follower struct {
	front *openapi.Front
	op    *Operator
	text  []byte
	end   hostenv.Notifier
}

func (f *follower) Run()  { f.front.WatchFile(f.op.Description, f.text, f.op.poll(), f.end) }
func (f *follower) Stop() { f.end.Notify() }

// Run serves until the gateway is terminated, and then until all requests have been answered.
func (g *Gateway) Run() error {
	for _, p := range g.parts {
		g.world.Go(p.Run)
	}
	defer func() {
		g.restart.leave()
		for _, p := range g.parts {
			p.Stop()
		}
	}()
	totals := g.world.Now().Add(totalsEvery)
	var last, shut, idle time.Time // to check whether all is answered; to close what is idle: at the end, or while it drains
	for {
		next := totals
		for _, at := range []time.Time{last, idle, g.restart.next()} {
			if !at.IsZero() && at.Before(next) {
				next = at
			}
		}
		for _, m := range g.take(next) {
			switch m := m.(type) {
			case failed:
				if last.IsZero() || !errors.Is(m.error, net.ErrClosed) {
					return fmt.Errorf("serve: %w", m.error)
				}
			case hup:
				g.figures.Reloaded(g.reload())
			case drain:
				if idle = (time.Time{}); m.on {
					idle = g.world.Now().Add(idleAfterDrain)
				} else if last.IsZero() {
					for _, ln := range g.listeners {
						ln.Resume()
					}
				}
			case term:
				if !g.leaving.Swap(true) {
					log.Printf("event=leaving open=%d", g.core.Stats().Open)
					now := g.world.Now()
					shut = now.Add(g.restart.terminate(now))
					if last = shut; g.restart.superseded() { // it may end sooner, by itself
						last = now
					}
				}
			}
		}
		now := g.world.Now()
		if at := g.restart.next(); !at.IsZero() && !now.Before(at) {
			g.restart.check(now)
		}
		if !now.Before(totals) {
			totals = now.Add(totalsEvery)
			g.report()
		}
		if !idle.IsZero() && !now.Before(idle) {
			if idle = (time.Time{}); g.drain() > 0 { // some responses may be on their way
				idle = now.Add(drainInterval)
			}
		}
		if !last.IsZero() && !now.Before(last) {
			open := 0
			if !now.Before(shut) {
				g.restart.stopAccepting()
				open = g.drain()
			} else {
				open = g.Books().Clients
			}
			if last = now.Add(5 * time.Millisecond); open == 0 && g.core.Stats().Open == 0 {
				g.report()
				return nil
			}
		}
	}
}

// take waits for messages, and reports if the process stood still meanwhile.
func (g *Gateway) take(until time.Time) []any {
	began := g.world.Now()
	wait := max(0, until.Sub(began))
	messages := g.box.Take(wait)
	if stood := g.standstills.Waited(wait, g.world.Now().Sub(began)); stood > 0 {
		log.Printf("event=standstill for_ms=%d count=%d", stood.Milliseconds(), g.standstills.Count)
	}
	return messages
}

const totalsEvery = 10 * time.Second

// reload applies the settings that can change in a running gateway, and reports whether it did.
func (g *Gateway) reload() bool {
	next, err := g.reread()
	if err == nil {
		err = next.Config.follows(g.cfg)
	}
	if err != nil {
		log.Printf("event=reload what=%q error=%q", "kept the configuration in use", err)
		return false
	}
	was := g.cfg.Settings
	g.cfg = g.cfg.reload(next.Config, g.retunes)
	if set := g.cfg.Settings; !reflect.DeepEqual(was, set) {
		g.core.ApplyPolicy(plansVersion(g.plans, set.Plans), set.Settings)
	}
	g.srv.reload(next.SRV)
	g.list.SetAddr(g.cfg.Discovery)
	if g.counter != nil {
		g.counter.SetAddr(g.cfg.Counter)
	}
	return true
}

// drain closes idle connections, and returns the number still open.
func (g *Gateway) drain() (open int) {
	for _, ln := range g.listeners {
		open += ln.Drain()
	}
	return open
}

// Books are a gateway's counters, and what it takes to be open.
type Books struct {
	routing.Stats
	Clients, Servers, Under int // connections of clients and to servers; exchanges in progress on the latter
}

// Books returns the counters.
func (g *Gateway) Books() Books {
	b := Books{Stats: g.core.Stats(), Servers: g.sockets.Used(), Under: g.sockets.InFlight()}
	for _, ln := range g.listeners {
		b.Clients += ln.Open()
	}
	return b
}

func (g *Gateway) report() {
	b := g.Books()
	log.Printf("event=totals requests=%d served=%d refused=%d failed=%d gone=%d attempts=%d probes=%d counts=%d "+
		"outcomes=%v open=%d clients=%d out=%d under=%d servers=%d why=%v limit=%.2f load=%.2f rate=%.2f", b.Requests, b.Served, b.Refused, b.Failed, b.ClientsGone, b.Attempts,
		b.Probes, b.CounterCalls, b.Outcomes, b.Open, b.Clients, b.InFlight, b.Under, b.Servers,
		b.Balancer.Refused, b.Balancer.Limit, b.Balancer.InFlight, b.Balancer.SendRate)
	if g.gate != nil {
		log.Printf("event=policy version=%d waited=%d unleased=%d", b.Version, b.WaitedAtGate, b.RefusedUnleased)
	}
	for i, ln := range g.listeners {
		log.Printf("event=closed listener=%d why=%q", i, ln.Closed())
	}
	g.srv.report()
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// watcher keeps the module's choice to watch until there is a discovery client.
type watcher struct {
	d  *protocol.Discovery
	on bool
}

func (w *watcher) Watch(on bool) {
	if w.d == nil {
		w.on = on
		return
	}
	w.d.Watch(on)
}
