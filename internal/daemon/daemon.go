// Package daemon puts a process of the system together: the machines of each plane,
// the mesh between processes, the disk, and the addresses that others call.
package daemon

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/apex/log"
	"github.com/samber/lo"
	"golang.org/x/sys/unix"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/dataplane"
	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
	"asterwell/internal/hostenv"
	"asterwell/internal/logring"
	"asterwell/internal/mailbox"
	"asterwell/internal/mesh"
	"asterwell/internal/protocol"
	"asterwell/internal/quotas"
	"asterwell/internal/registry"
	"asterwell/internal/storage"
	"asterwell/internal/sysconfig"
	"asterwell/internal/transport"
)

// Process is one of the system.
type Process struct {
	path  string // of the settings
	set   *sysconfig.Settings
	say   *log.Logger
	ring  *logring.Ring
	start time.Time
	self  string // the mesh address
	box   *mailbox.Box[any]
	adds  adds // of gateways, to the counters here

	knot  *controlplane.Machine // the machines, which the loop's goroutine owns
	meter *meter

	mesh      *mesh.Mesh[*frame]
	frames    tally
	link      Link            // nil: as the network is
	role      atomic.Value    // string, in agreement
	serving   map[string]bool // servers, which the loop owns
	bare      bool            // the data plane is told nothing
	version   atomic.Uint32
	up, known atomic.Int64   // processes and servers, for who counts them often
	vault     *storage.Vault // nil: no disk
	disk      *mailbox.Box[*consensus.Write]
	texts     *mailbox.Box[*controlplane.ConfigText] // to be read: one at a time
	readings  *controlplane.ParseCache               // nil: nobody shares them
	rows      *mailbox.Box[[]registry.Row]           // the servers, to be kept
	rules     *mailbox.Box[*faultrules.Write]
	judge     *faultrules.Judge
	ban       *ban // nil: no fault rules
	tape      *tape
	heapLimit int64 // of the whole process; 0: it shares the runtime
	growth    int   // percent
	dirty     bool
	keptAt    time.Time
	plane     *dataplane.Plane
	listeners []*transport.Listener
	clients   *transport.Listener // nil: they are not served

	lastCall  atomic.Uint64
	waits     sync.Map // calls under way: their number, and a chan any
	leaving   atomic.Bool
	closing   atomic.Bool // it has left for so long that clients should have gone elsewhere
	leave     leave
	ready     atomic.Bool
	draining  atomic.Bool // an operator has said so
	nudged    atomic.Bool
	short     atomic.Bool // of strikes
	left      time.Time   // since when it leaves
	drainedAt time.Time   // when a drain began or ended
	alone     time.Time   // since when nobody else is seen
	totals    time.Time   // when they were last told
}

const tick = 50 * time.Millisecond

// Run serves until the process is told to end.
func Run(ctx context.Context, path string) error {
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	set, err := sysconfig.ReadSettings(path)
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
func New(path string, set *sysconfig.Settings) (*Process, error) { return NewTimed(path, set, nil) }

// Timed is New, of a process whose requests' stages somebody measures.
func NewTimed(path string, set *sysconfig.Settings, times func(id string, t *protocol.StageTimes)) (*Process, error) {
	runtime.GOMAXPROCS(max(1, int(set.BoundsReq.CpuCount)))
	debug.SetGCPercent(frugal)
	limit := int64(set.BoundsReq.MemMb) << 20 * 6 / 10
	debug.SetMemoryLimit(limit)
	p, err := assemble(path, set, SharedOptions{Log: os.Stderr, OnRequestTimes: times})
	if err == nil {
		p.heapLimit, p.growth = limit, frugal
	}
	return p, err
}

func assemble(path string, set *sysconfig.Settings, shared SharedOptions) (*Process, error) {
	p := &Process{path: path, set: set, link: shared.Link, bare: shared.ControlOnly, readings: shared.ParseCache, serving: map[string]bool{}, start: time.Now(), box: mailbox.NewBox[any](nil), disk: mailbox.NewBox[*consensus.Write](nil), texts: mailbox.NewBox[*controlplane.ConfigText](nil), rows: mailbox.NewBox[[]registry.Row](nil),
		rules: mailbox.NewBox[*faultrules.Write](nil), judge: faultrules.NewJudge(), tape: &tape{},
		self: meshAddr(set.IpAddr, set)}
	p.ring = logring.New(shared.Log, set.NodeName, 256, log.InfoLevel)
	p.say = &log.Logger{Handler: p.ring, Level: log.DebugLevel}
	now, seed := p.now(), hostenv.Real.Random()
	member := set.QuorumMember && set.StateDir != ""
	life := uint64(time.Now().UnixMilli())
	var kept *consensus.DurableState
	sound := true
	if member {
		var err error
		if p.vault, kept, sound, err = p.open(set.StateDir); err != nil {
			return nil, err
		}
	}
	p.meter = &meter{m: quotas.NewMeter(p.self, life, seed)}
	p.knot = controlplane.New(controlplane.Config{Self: p.self, Name: set.NodeName, Zone: set.Zone, ControlAddr: set.Bind.ControlPlane,
		Member: member, Genesis: set.Genesis && sound, ToleratedLosses: set.FaultBudget.MachineLosses,
		HeartbeatInterval: time.Duration(set.HeartbeatMs) * time.Millisecond, Seeds: p.seeds(), Incarnation: life, Seed: seed,
		FaultRules: controlplane.FaultRulesConfig{MaxLifetime: p.longest(), Judge: p.judge, Disk: p.keptRules(sound)}},
		p.meter, kept, now)
	p.plane = dataplane.New(dataplane.Options{Zone: set.Zone, Now: p.now, MaxServerConns: set.BoundsReq.FdLimit / 3, Seed: seed, TakeQuota: p.pass,
		Leaving: p.away, Closing: p.closing.Load, RetryRatio: set.Bounds.RetryRatio, RetryAllowance: set.Bounds.RetrySlack, WarmupTime: 3 * time.Second, FaultInjector: p.faults(life), OnRequestTimes: shared.OnRequestTimes})
	p.mesh = mesh.New(mesh.Options[*frame]{Codec: p.frames.codec(p.adds.full), MaxInbound: 1000, ConfigureConn: tune, ReadBufferSize: 2 << 10,
		Handle: func(_ *mesh.Conn[*frame], f *frame) {
			if f != nil {
				p.over(f.From, false, func() { p.hand(f) })
			}
		}})
	if err := p.mesh.Listen(p.self); err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	go p.read()
	p.carry(p.knot.RestoreServers(now, p.restore()))
	return p, p.serve()
}

// now is the process's clock: steady, and above 0.
func (p *Process) now() fsm.Time { return time.Hour + time.Since(p.start) }

// meshAddr is where the process on a machine listens to others.
func meshAddr(host string, set *sysconfig.Settings) string {
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
	ok, after, due := p.meter.pass(p.now(), tenant, units)
	if due && !p.nudged.Swap(true) {
		p.box.Put(nudge{})
	}
	return ok, after
}

// What the loop is told, besides frames.
type (
	beaten struct {
		call uint64
		beat registry.Heartbeat
	}
	deleted struct {
		call uint64
		id   string
	}
	proposed struct {
		call uint64
		doc  consensus.Doc
	}
	withdrawn struct {
		call    uint64
		version uint32
		by      string
	}
	fetched struct{ call uint64 }
	written struct{ seq uint64 }
	nudge   struct{} // adds to the counters should not wait for the tick
	changed struct{} // the settings
	told    struct{} // to end
)

// loop serves until the process has been told to end and all is answered.
func (p *Process) loop() error {
	p.say.WithField("mesh", p.self).Info("started")
	next, counted := time.Now(), true
	for {
		wait := max(0, time.Until(next))
		if !counted {
			wait = 0
		}
		for _, m := range p.box.Take(wait) {
			if f, ok := m.(*frame); !ok || !p.adds.put(f, time.Now()) {
				p.take(m)
			}
		}
		counted = p.count()
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
		p.carry(p.knot.Receive(now, m.From, m.Msg))
	case beaten:
		p.carry(p.knot.ServerHeartbeat(now, m.call, m.beat))
	case deleted:
		p.carry(p.knot.RemoveServer(now, m.call, m.id))
	case proposed:
		p.carry(p.knot.PutConfig(now, m.call, m.doc))
	case withdrawn:
		p.carry(p.knot.Withdraw(now, m.call, m.version, m.by))
	case fetched:
		p.carry(p.knot.GetConfig(now, m.call))
	case proving:
		p.carry(p.knot.ProveContact(now, m.call))
	case shown:
		p.reply(m.call, m.show(p))
	case drained:
		p.carry(p.knot.Drain(now, m.call, m.op, m.within))
	case *controlplane.ParsedConfig:
		p.carry(p.knot.ConfigParsed(now, m))
	case written:
		p.carry(p.knot.Written(now, m.seq))
	case ruled:
		p.carry(p.knot.CallFaultRules(now, m.call, m.op, m.doc))
	case rulesWritten:
		p.carry(p.knot.FaultRulesWritten(now, m.seq))
	case short:
		p.short.Store(false)
		p.carry(p.knot.RequestStrikes(now))
	case nudge:
		p.nudged.Store(false)
		p.carry(p.knot.FlushAdds(now))
	case changed:
		p.reread()
	case told:
		if p.left.IsZero() {
			p.say.Info("leaving")
			p.left = time.Now()
			p.leaving.Store(true)
			p.ready.Store(false)
			p.carry(p.knot.Leave(now))
		}
	}
}

func (p *Process) tick() {
	p.knot.ReportAddDelay(p.now(), p.adds.waited)
	p.adds.waited = 0
	p.carry(p.knot.Tick(p.now()))
	if ready := p.knot.Ready(); ready != p.ready.Load() {
		p.ready.Store(ready)
		p.say.WithField("ready", ready).Info("readiness")
	}
	p.role.Store(duty(p.knot.ConsensusStatus(), p.self))
	p.keepList(time.Now())
	p.idle(time.Now())
	if at := time.Now(); at.Sub(p.totals) >= totalsEvery {
		p.totals = at
		go p.tell()
	}
	if !p.knot.Alone() {
		p.alone = time.Time{}
	} else if at := time.Now(); p.alone.IsZero() {
		p.alone = at
	} else if at.Sub(p.alone) > 2*time.Second { // the settings may name others by now
		p.alone = at
		p.reread()
	}
}

// read reads configurations beside the loop.
func (p *Process) read() {
	for {
		for _, t := range p.texts.Take(-1) {
			p.box.Put(p.readings.Parse(t))
		}
	}
}

// carry carries out what the machines want.
func (p *Process) carry(out controlplane.Output) {
	if out.Write != nil {
		p.disk.Put(out.Write)
	}
	if out.FaultRulesWrite != nil {
		p.rules.Put(out.FaultRulesWrite)
	}
	if out.Parse != nil {
		p.texts.Put(out.Parse)
	}
	if out.FaultRulesLog != "" {
		p.say.Info(out.FaultRulesLog)
	}
	if out.Fenced {
		p.say.Error("state is older than what was vouched for on it: joins anew")
	}
	if out.MembersChanged {
		p.say.WithField("up", out.Gateways.Count).Debug("membership")
		p.up.Store(int64(out.Gateways.Count))
		if !p.bare {
			p.plane.SetGateways(out.Gateways.Count, out.Gateways.Index)
		}
	}
	if out.Adopt != nil {
		p.grow(len(out.Doc.Body))
		if !p.bare {
			p.plane.Adopt(out.Adopt)
		}
		p.version.Store(out.Doc.Version)
		p.say.WithField("version", fmt.Sprintf("%08x", out.Doc.Version)).Info("configuration in force")
	}
	if out.GateChanged || out.Adopt != nil {
		p.plane.SetGate(p.knot.Gate())
	}
	if out.AdoptError != nil {
		p.say.WithError(out.AdoptError).WithField("version", out.Doc.Version).Error("kept, but not valid here")
	}
	if out.ServersChanged {
		p.dirty = true
		p.listed(out.ServerChanges)
	}
	p.send(out.Send)
	if out.DrainChanged {
		p.drains()
	}
	for _, r := range out.Replies {
		p.reply(r.CallID, r.Value)
	}
}

const totalsEvery = 10 * time.Second

// tell logs what each lane has done so far.
func (p *Process) tell() {
	for name, t := range p.plane.ServiceStats() {
		p.say.WithFields(log.Fields{"service": name, "requests": t.Requests, "served": t.Served, "refused": t.Refused,
			"failed": t.Failed, "gone": t.ClientsGone, "attempts": t.Attempts, "ends": t.Outcomes, "why": t.Module.Refused,
			"limit": fmt.Sprintf("%.1f", t.Module.Limit), "out": fmt.Sprintf("%.1f", t.Module.InFlight)}).Info("totals")
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	p.say.WithFields(log.Fields{"limited": p.plane.QuotaRefusals(), "adds_dropped": p.adds.dropped.Load(), "mesh_in_kb": p.mesh.Counts.BytesIn.Load() >> 10, "mesh_out_kb": p.mesh.Counts.BytesOut.Load() >> 10, "heap_kb": mem.HeapInuse >> 10, "idle_kb": (mem.HeapIdle - mem.HeapReleased) >> 10,
		"stack_kb": mem.StackInuse >> 10, "other_kb": (mem.MSpanSys + mem.MCacheSys + mem.BuckHashSys + mem.GCSys + mem.OtherSys) >> 10,
		"next_kb": mem.NextGC >> 10, "collections": mem.NumGC, "goroutines": runtime.NumGoroutine()}).Info("totals")
}

// send puts messages on their way. Those for this process itself come back to it.
func (p *Process) send(out []fsm.Send) {
	for _, s := range out {
		f := &frame{From: p.self, Msg: s.Msg}
		if s.To == p.self {
			p.hand(f)
			continue
		}
		p.over(s.To, true, func() { p.mesh.ConnTo(s.To).Send(f) })
	}
}

// ask puts a call to the loop and waits for its answer, a second at most.
func (p *Process) ask(put func(call uint64)) any { return p.askFor(time.Second, put) }

func (p *Process) askFor(within time.Duration, put func(call uint64)) any {
	call, answer := p.lastCall.Add(1), make(chan any, 1)
	p.waits.Store(call, answer)
	defer p.waits.Delete(call)
	put(call)
	late := time.NewTimer(within)
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
	set, err := sysconfig.ReadSettings(p.path)
	if err != nil {
		p.say.WithError(err).Warn("kept the settings in use")
		return
	}
	p.set.Bootstrap = set.Bootstrap
	p.knot.SetSeeds(p.now(), p.seeds())
}
