package program

import (
	"fmt"
	"log"
	"math"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"asterwell/choice"
	"asterwell/internal/protocol"
	"asterwell/internal/protocol/openapi"
	"asterwell/internal/routing"
	"asterwell/internal/transport"
)

// Main runs a gateway until it is told to end, and returns its exit code.
func Main() int {
	// From the start: until it is caught, SIGHUP ends a program.
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
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
	if err := Run(files, Signals{term, hup, func() (*Files, error) { return Reread(os.Getenv) }}); err != nil {
		log.Printf("event=exit error=%q", err)
		return 1
	}
	return 0
}

const (
	maxBody  = 64 << 10
	staysFor = 700 * time.Millisecond // after SIGTERM: so long may the front send more
)

// clock returns the core's clock: the Unix time as it was at the start, and
// steady from then on. Gateways and discovery agree on it, so that names of the
// counter's periods and servers' start times mean the same everywhere.
func clock() func() time.Duration {
	start := time.Now()
	unix := time.Duration(start.UnixNano())
	return func() time.Duration { return unix + time.Since(start) }
}

// apply holds the run time to the limits. The collector runs seldom, but the
// heap stays well inside: stacks, buffers of the kernel and the binary count too.
func (l Limits) apply() {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(l.Cores))))
	debug.SetGCPercent(400)
	debug.SetMemoryLimit(int64(l.MemoryMB) << 20 * 6 / 10)
}

// Signals are what a running gateway is told.
type Signals struct {
	Term   <-chan os.Signal // end
	Hup    <-chan os.Signal // the configuration has changed
	Reread func() (*Files, error)
}

// Run serves until it is told to end, and then until all is answered.
func Run(files *Files, told Signals) error {
	cfg, op := files.Config, files.Operator
	cfg.Limits.apply()
	// Half of the descriptors are for clients, a third for servers; the rest
	// are the counter's, discovery's, the listeners' and the run time's.
	clients, servers := cfg.Limits.Sockets/2, cfg.Limits.Sockets/3

	set := cfg.Settings
	described := openapi.NewFront(set.Settings, op.Routes, op.names())
	var text []byte
	if op.Enabled {
		var err error
		if text, err = described.Load(op.Description); err != nil {
			return fmt.Errorf("description: %s: %w", op.Description, err)
		}
		clients /= 2 // for each front
		set.Classes = openapi.Twins(set.Classes)
	}
	now := clock()
	sockets := transport.NewSockets(servers)
	fleet := protocol.NewFleet(transport.PeerOptions{Connect: orDefault(set.ConnectTimeout, time.Second),
		Keep: transport.NewKeep(orDefault(set.IdleClose, 10*time.Second) / 2), Sockets: sockets}, set.Reports)
	hands := routing.Hands{Fleet: fleet}
	var counter *protocol.Counter
	var core *routing.Core
	wired := make(chan struct{}) // parts start before the core that they tell
	if set.Counter {
		counter = protocol.NewCounter(cfg.Counter, orDefault(set.CounterTimeout, 50*time.Millisecond),
			func(name string, s choice.Status, total float64) { <-wired; core.Counted(name, s, total) })
		hands.Counter = counter
	}
	watch := &watcher{}
	hands.Watcher = watch
	srv := newMembers(files.SRV, cfg.Seed, now)
	if srv != nil {
		hands.Health = srv
	}
	core, err := routing.New(set.Settings, cfg.Seed, now, hands)
	if err != nil {
		return err
	}
	fleet.Ends = core
	close(wired)
	stop := make(chan struct{})
	defer close(stop)
	list := protocol.DiscoveryOptions{Addr: cfg.Discovery, Hold: 2 * time.Second, Grace: 500 * time.Millisecond,
		Connect: 250 * time.Millisecond}
	news := core.News
	if srv != nil {
		list.Heard, news = srv.listHeard, srv.list
		srv.start(core.News, stop)
	}
	watch.d = protocol.NewDiscovery(list, cfg.Known, set.Subscribe, news)
	if watch.on {
		watch.d.Watch(true)
	}
	if srv == nil || files.SRV.List {
		go watch.d.Run(stop)
	}
	go core.Run(stop)

	ln, err := transport.Listen(cfg.Listen, clients)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	var leaving atomic.Bool
	front := protocol.NewFront(set.Settings)
	front.Core, front.Now, front.Leaving = core, now, leaving.Load
	front.Ready = func() bool { return !leaving.Load() && core.Stats().Ready > 0 && srv.trusted() }
	failed := make(chan error, 2)
	go func() { failed <- transport.NewServer(front.Handle, maxBody).Serve(ln) }()
	listeners := []*transport.Listener{ln}
	if op.Enabled {
		second, err := transport.Listen(op.Listen, clients)
		if err != nil {
			return fmt.Errorf("openapi: listen: %w", err)
		}
		listeners = append(listeners, second)
		described.Core, described.IDs, described.Now, described.Leaving = core, front.IDs, now, leaving.Load
		go func() { failed <- transport.NewServer(described.Handle, op.MaxBodyKB<<10).Serve(second) }()
		go described.Follow(op.Description, text, op.poll(), stop)
		log.Printf("event=start openapi=%s description=%s", op.Listen, op.Description)
	}
	log.Printf("event=start listen=%s cores=%v memory_mb=%d sockets=%d", cfg.Listen, cfg.Limits.Cores,
		cfg.Limits.MemoryMB, cfg.Limits.Sockets)

	totals := time.NewTicker(10 * time.Second)
	defer totals.Stop()
	var last <-chan time.Time // checks whether all is answered
	for {
		select {
		case err := <-failed:
			return fmt.Errorf("serve: %w", err)
		case <-totals.C:
			report(core.Stats(), listeners, sockets)
			srv.report()
		case <-told.Hup:
			next, err := told.Reread()
			if err != nil {
				log.Printf("event=reload what=%q error=%q", "kept the configuration in use", err)
				continue
			}
			cfg = cfg.reload(next.Config)
			srv.reload(next.SRV)
			watch.d.Move(cfg.Discovery)
			if counter != nil {
				counter.Move(cfg.Counter)
			}
		case <-told.Term:
			if !leaving.Swap(true) {
				log.Printf("event=leaving open=%d", core.Stats().Open)
				last = time.After(staysFor)
			}
		case <-last:
			if last = time.After(5 * time.Millisecond); drain(listeners) > 0 || core.Stats().Open > 0 {
				continue
			}
			report(core.Stats(), listeners, sockets)
			return nil
		}
	}
}

// drain closes what is idle, and counts what is left.
func drain(listeners []*transport.Listener) (open int) {
	for _, ln := range listeners {
		open += ln.Drain()
	}
	return open
}

func report(s routing.Stats, listeners []*transport.Listener, sockets *transport.Sockets) {
	clients := 0
	for _, ln := range listeners {
		clients += ln.Open()
	}
	log.Printf("event=totals requests=%d served=%d refused=%d failed=%d gone=%d attempts=%d probes=%d counts=%d "+
		"outcomes=%v open=%d clients=%d out=%d under=%d servers=%d", s.Requests, s.Served, s.Refused, s.Failed, s.Gone, s.Attempts, s.Probes,
		s.Counts, s.Outcomes, s.Open, clients, s.Out, sockets.Under(), sockets.Used())
}

func orDefault(d, otherwise time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return otherwise
}

// watcher keeps what the module asks for before there is a discovery to ask.
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
