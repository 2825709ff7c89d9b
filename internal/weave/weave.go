// Package weave puts a process of the system together: the machines of each plane,
// the mesh between processes, the disk, and the addresses that others call.
package weave

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"asterwell/internal/actor"
	"asterwell/internal/bond"
	"asterwell/internal/creed"
	"asterwell/internal/lore"
	"asterwell/internal/mesh"
	"asterwell/internal/omen"
	"asterwell/internal/pact"
	"asterwell/internal/plane"
	"asterwell/internal/seam"
	"asterwell/internal/shuttle"
	"asterwell/internal/toll"
	"asterwell/internal/transport"
	"asterwell/internal/vault"
)

// Process is one of the system.
type Process struct {
	path  string // of the settings
	set   *creed.Settings
	say   *log.Logger
	ring  *omen.Ring
	start time.Time
	self  string // the mesh address
	box   *actor.Box[any]

	// The machines. The loop's goroutine owns them; of the meter, mu.
	bond    *bond.Machine
	lore    *lore.Machine
	pact    *pact.Machine
	counter *toll.Counter
	mu      sync.Mutex
	meter   *toll.Meter

	mesh      *mesh.Mesh[*frame]
	vault     *vault.Vault // nil: no disk
	disk      *actor.Box[*pact.Write]
	plane     *shuttle.Plane
	listeners []*transport.Listener

	lastCall atomic.Uint64
	waits    sync.Map // calls under way: their number, and a chan any
	leaving  atomic.Bool
	ready    atomic.Bool
	nudged   atomic.Bool
	left     time.Time // since when it leaves
	alone    time.Time // since when nobody else is seen
	totals   time.Time // when they were last told
}

const tick = 50 * time.Millisecond

// Run serves until the process is told to end.
func Run(ctx context.Context, path string) error {
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	set, err := creed.ReadSettings(path)
	if err != nil {
		return err
	}
	p, err := New(path, set)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-hup:
				p.box.Put(changed{})
			case <-term:
				p.box.Put(told{})
			case <-ctx.Done():
				p.box.Put(told{})
				return
			}
		}
	}()
	return p.loop()
}

// New puts a process together, and begins to listen.
func New(path string, set *creed.Settings) (*Process, error) {
	runtime.GOMAXPROCS(max(1, int(set.BoundsReq.CpuCount)))
	debug.SetGCPercent(100)
	debug.SetMemoryLimit(int64(set.BoundsReq.MemMb) << 20 * 6 / 10)
	p := &Process{path: path, set: set, start: time.Now(), box: actor.NewBox[any](nil), disk: actor.NewBox[*pact.Write](nil),
		self: meshAddr(set.IpAddr, set)}
	p.ring = omen.NewRing(os.Stderr, set.NodeName, 256, log.InfoLevel)
	p.say = &log.Logger{Handler: p.ring, Level: log.DebugLevel}
	now, seed := p.now(), seam.Real.Random()
	member := set.QuorumMember && set.StateDir != ""
	life := uint64(time.Now().UnixMilli())
	p.bond = bond.New(bond.Node{Addr: p.self, Name: set.NodeName, Zone: set.Zone, Control: set.Bind.ControlPlane, Member: member,
		Life: life}, p.seeds(), seed, now)
	p.lore = lore.New(p.self, set.Zone, time.Duration(set.HeartbeatMs)*time.Millisecond, seed, now)
	p.meter, p.counter = toll.NewMeter(p.self, life, seed), toll.NewCounter(p.self, life)
	var kept *pact.Disk
	sound := true
	if member {
		var err error
		if p.vault, kept, sound, err = p.open(set.StateDir); err != nil {
			return nil, err
		}
	}
	p.pact = pact.New(pact.Config{Self: p.self, Name: set.NodeName, Zone: set.Zone, Member: member, Genesis: set.Genesis && sound,
		Losses: set.FaultBudget.MachineLosses, Seeds: p.seeds(), Seed: seed}, kept, now)
	p.plane = shuttle.New(shuttle.Options{Zone: set.Zone, Now: p.now, Sockets: set.BoundsReq.FdLimit / 3, Seed: seed, Pass: p.pass,
		Leaving: p.leaving.Load, RetryRatio: set.Bounds.RetryRatio, RetrySlack: set.Bounds.RetrySlack, ColdFor: 3 * time.Second})
	p.mesh = mesh.New(mesh.Options[*frame]{Codec: codec, Most: 1000, Tune: tune, Buffer: 2 << 10,
		Handle: func(_ *mesh.Pipe[*frame], f *frame) { p.box.Put(f) }})
	if err := p.mesh.Listen(p.self); err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	return p, p.serve()
}

// now is the process's clock: steady, and above 0.
func (p *Process) now() plane.Time { return time.Hour + time.Since(p.start) }

// meshAddr is where the process on a machine listens to others.
func meshAddr(host string, set *creed.Settings) string {
	return fmt.Sprintf("%s:%d", host, set.PortRange[0])
}

// seeds are the mesh addresses of the machines that the settings name.
func (p *Process) seeds() []string {
	return lo.FilterMap(p.set.Bootstrap, func(addr string, _ int) (string, bool) {
		host, _, err := net.SplitHostPort(addr)
		return meshAddr(host, p.set), err == nil
	})
}

// dark is how long a peer may leave bytes unconfirmed: one without power, or behind
// a cut, says nothing.
const dark = 900 * time.Millisecond

func tune(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(dark.Milliseconds()))
		})
	}
}

// pass takes units of a tenant's quota.
func (p *Process) pass(tenant string, units float64) (bool, time.Duration) {
	p.mu.Lock()
	ok, after := p.meter.Pass(p.now(), tenant, units)
	due := p.meter.Due()
	p.mu.Unlock()
	if due && !p.nudged.Swap(true) {
		p.box.Put(nudge{})
	}
	return ok, after
}

// What the loop is told, besides frames.
type (
	beaten struct {
		call uint64
		beat lore.Beat
	}
	deleted struct {
		call uint64
		id   string
	}
	proposed struct {
		call uint64
		doc  pact.Doc
	}
	fetched  struct{ call uint64 }
	examined struct{ call uint64 }
	written  struct{ seq uint64 }
	nudge    struct{} // adds to the counters should not wait for the tick
	changed  struct{} // the settings
	told     struct{} // to end
)

// loop serves until the process has been told to end and all is answered.
func (p *Process) loop() error {
	p.say.WithField("mesh", p.self).Info("started")
	next := time.Now()
	for {
		for _, m := range p.box.Take(max(0, time.Until(next))) {
			p.take(m)
		}
		if now := time.Now(); !now.Before(next) {
			next = now.Add(tick)
			p.tick()
			if !p.left.IsZero() && p.ended(now) {
				p.say.Info("ended")
				return nil
			}
		}
	}
}

func (p *Process) take(m any) {
	now := p.now()
	switch m := m.(type) {
	case *frame:
		switch owner(m.Msg) {
		case ofBond:
			p.bonded(p.bond.Take(now, m.From, m.Msg))
		case ofLore:
			p.learnt(p.lore.Take(now, m.From, m.Msg))
		case ofPact:
			p.agreed(p.pact.Take(now, m.From, m.Msg))
		case ofToll:
			p.send(p.counter.Take(now, m.From, m.Msg))
			p.mu.Lock()
			out := p.meter.Take(now, m.From, m.Msg)
			p.mu.Unlock()
			p.send(out)
		}
	case beaten:
		p.learnt(p.lore.Beat(now, m.call, m.beat))
	case deleted:
		p.learnt(p.lore.Delete(now, m.call, m.id))
	case proposed:
		p.agreed(p.pact.Put(now, m.call, m.doc))
	case fetched:
		p.agreed(p.pact.Get(now, m.call))
	case examined:
		p.reply(m.call, p.examine())
	case written:
		p.agreed(p.pact.Written(now, m.seq))
	case nudge:
		p.nudged.Store(false)
		p.count(now)
	case changed:
		p.reread()
	case told:
		if p.left.IsZero() {
			p.say.Info("leaving")
			p.left = time.Now()
			p.leaving.Store(true)
			p.ready.Store(false)
			p.bonded(p.bond.Leave(now))
		}
	}
}

func (p *Process) tick() {
	now := p.now()
	p.bonded(p.bond.Tick(now))
	p.learnt(p.lore.Tick(now))
	p.agreed(p.pact.Tick(now))
	p.counter.Tick(now)
	p.count(now)
	if ready := !p.leaving.Load() && p.plane.Version() > 0 && p.lore.Filled(); ready != p.ready.Load() {
		p.ready.Store(ready)
		p.say.WithField("ready", ready).Info("readiness")
		p.bond.SetReady(ready)
	}
	if at := time.Now(); at.Sub(p.totals) >= totalsEvery {
		p.totals = at
		go p.tell()
	}
	if len(p.bond.Up()) > 1 {
		p.alone = time.Time{}
	} else if at := time.Now(); p.alone.IsZero() {
		p.alone = at
	} else if at.Sub(p.alone) > 2*time.Second { // the settings may name others by now
		p.alone = at
		p.reread()
	}
}

// count sends the adds that are due.
func (p *Process) count(now plane.Time) {
	p.mu.Lock()
	adds := p.meter.Tick(now)
	p.mu.Unlock()
	p.send(adds)
}

const totalsEvery = 10 * time.Second

// tell logs what each lane has done so far.
func (p *Process) tell() {
	for name, t := range p.plane.Totals() {
		p.say.WithFields(log.Fields{"service": name, "requests": t.Requests, "served": t.Served, "refused": t.Refused,
			"failed": t.Failed, "gone": t.Gone, "attempts": t.Attempts, "ends": t.Outcomes, "why": t.Module.Refused,
			"limit": fmt.Sprintf("%.1f", t.Module.Limit), "out": fmt.Sprintf("%.1f", t.Module.Out)}).Debug("totals")
	}
	p.say.WithField("limited", p.plane.Limited()).Debug("totals")
}

// send puts messages on their way. Those for this process itself come back to it.
func (p *Process) send(out []plane.Send) {
	for _, s := range out {
		f := &frame{From: p.self, Msg: s.Msg}
		if s.To == p.self {
			p.box.Put(f)
			continue
		}
		p.mesh.To(s.To).Send(f)
	}
}

// bonded carries out what membership wants.
func (p *Process) bonded(out bond.Out) {
	p.send(out.Send)
	if !out.Changed {
		return
	}
	now, up := p.now(), p.bond.Up()
	p.say.WithField("up", len(up)).Debug("membership")
	p.learnt(p.lore.Nodes(now, up))
	p.pact.Peers(now, lo.Map(p.bond.View(), func(n bond.Node, _ int) pact.Peer {
		return pact.Peer{Addr: n.Addr, Name: n.Name, Zone: n.Zone, Member: n.Member, Up: n.State == bond.Up, Held: n.Held}
	}))
	staying := lo.Filter(up, func(n bond.Node, _ int) bool { return n.State == bond.Up })
	p.plane.Gateways(len(staying), slices.IndexFunc(staying, func(n bond.Node) bool { return n.Addr == p.self }))
	holders := lo.Map(slices.SortedFunc(slices.Values(staying), inOrder), func(n bond.Node, _ int) string { return n.Addr })
	p.counter.Nodes(now, len(staying), holders)
	p.mu.Lock()
	p.meter.Nodes(now, len(staying), holders)
	p.mu.Unlock()
}

// inOrder is the agreed order for duties that one process does: those with a disk
// first, since they have more of a processor and are the last to be taken away.
func inOrder(a, b bond.Node) int {
	if a.Member != b.Member {
		return lo.Ternary(a.Member, -1, 1)
	}
	return cmp.Compare(a.Addr, b.Addr)
}

// agreed carries out what agreement wants.
func (p *Process) agreed(out pact.Out) {
	if out.Write != nil {
		p.disk.Put(out.Write)
	}
	if out.Adopt != nil {
		p.adopt(out.Adopt)
	}
	p.send(out.Send)
	for _, a := range out.Answers {
		p.reply(a.ID, a)
	}
}

// adopt puts a configuration in force here.
func (p *Process) adopt(doc *pact.Doc) {
	c, err := creed.Parse(doc.Body)
	if err != nil {
		p.say.WithError(err).WithField("version", doc.Version).Error("kept, but not valid here")
		return
	}
	t := c.Table()
	limits := map[string]toll.Limit{}
	for _, tenant := range t.Tenants() {
		if tenant.Rate > 0 {
			limits[tenant.Name] = toll.Limit{Rate: tenant.Rate, Burst: tenant.Burst}
		}
	}
	p.mu.Lock()
	p.meter.Limits(p.now(), limits)
	p.mu.Unlock()
	p.plane.Adopt(t)
	p.bond.SetHeld(doc.Version)
	p.say.WithField("version", fmt.Sprintf("%08x", doc.Version)).Info("configuration in force")
}

// learnt carries out what the list of servers wants.
func (p *Process) learnt(out lore.Out) {
	p.send(out.Send)
	for _, a := range out.Answers {
		p.reply(a.Call, a)
	}
	if len(out.Changes) > 0 {
		p.plane.Serve(lo.Map(p.lore.Servers(), func(s lore.Server, _ int) shuttle.Server { return served(s) }))
	}
}

// ask puts a call to the loop and waits for its answer, a second at most.
func (p *Process) ask(put func(call uint64)) any {
	call, answer := p.lastCall.Add(1), make(chan any, 1)
	p.waits.Store(call, answer)
	defer p.waits.Delete(call)
	put(call)
	late := time.NewTimer(time.Second)
	defer late.Stop()
	select {
	case a := <-answer:
		return a
	case <-late.C:
		return nil
	}
}

func (p *Process) reply(call uint64, a any) {
	if to, ok := p.waits.Load(call); ok {
		select {
		case to.(chan any) <- a:
		default: // it has one
		}
	}
}

// reread takes over what the settings may change: the seeds.
func (p *Process) reread() {
	set, err := creed.ReadSettings(p.path)
	if err != nil {
		p.say.WithError(err).Warn("kept the settings in use")
		return
	}
	p.set.Bootstrap = set.Bootstrap
	p.bond.Seeds(p.now(), p.seeds())
	p.pact.Seeds(p.now(), p.seeds())
}
