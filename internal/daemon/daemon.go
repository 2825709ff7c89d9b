// Package daemon assembles a process of the system: the state machines, the data plane, the mesh between
// processes, the disk, and the addresses that clients, servers and operators call.
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

	"asterwell/internal/buildinfo"
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
	"asterwell/internal/standstill"
	"asterwell/internal/storage"
	"asterwell/internal/sysconfig"
	"asterwell/internal/transport"
)

// Process is one process of the system.
type Process struct {
	settingsPath string
	settings     *sysconfig.Settings
	logger       *log.Logger
	ring         *logring.Ring
	startedAt    time.Time
	build        buildinfo.Info
	meshAddr     string
	inbox        *mailbox.Box[any]
	addQueue     addQueue // adds for the counters held here

	machine *controlplane.Machine // owned by the control loop's goroutine
	meter   *meter

	mesh                      *mesh.Mesh[*frame]
	frameCounters             frameCounters
	link                      Link            // nil: plain network connections
	role                      atomic.Value    // string: the role in consensus
	servingServers            map[string]bool // by ID; owned by the control loop
	controlOnly               bool            // the data plane gets no configuration and no servers
	version                   atomic.Uint32
	processCount, serverCount atomic.Int64   // copies for frequent readers outside the control loop
	store                     *storage.Store // nil: no disk
	disk                      *diskMeter
	standstills               standstill.Meter // owned by the control loop
	stateWrites               *mailbox.Box[*consensus.Write]
	parseRequests             *mailbox.Box[*controlplane.ConfigText] // one at a time
	parseCache                *controlplane.ParseCache               // nil: not shared with other processes
	serverWrites              *mailbox.Box[[]registry.Row]
	leavingWrites             *mailbox.Box[*registry.LeavingWrite]
	ruleWrites                *mailbox.Box[*faultrules.Write]
	ruleJudge                 *faultrules.Judge
	injector                  *faultInjector // nil: fault rules are disabled
	strikeRecord              *strikeRecord
	heapLimit                 int64 // bytes for the whole process; 0: the runtime is shared
	heapPercent               int   // current growth of the heap between collections
	serversChanged            bool
	serversStoredAt           time.Time
	plane                     *dataplane.Plane
	listeners                 []*transport.Listener
	ingress                   *transport.Listener // nil: clients aren't served

	lastCall       atomic.Uint64
	pendingCalls   sync.Map // call ID to chan any
	leaving        atomic.Bool
	closing        atomic.Bool // leaving for so long that clients should have gone elsewhere
	departure      departure
	ready          atomic.Bool
	draining       atomic.Bool // by an operator's call
	flushPending   atomic.Bool
	strikesPending atomic.Bool // a strikesWanted is in the inbox
	leavingSince   time.Time
	drainChangedAt time.Time
	aloneSince     time.Time // no other process is seen since then
	totalsLoggedAt time.Time
}

const tickInterval = 50 * time.Millisecond

// Run runs a process until it is told to end.
func Run(ctx context.Context, path string) error {
	hup, term := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	settings, err := sysconfig.ReadSettings(path)
	if err != nil {
		return err
	}
	p, err := New(path, settings)
	if err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-hup:
				p.inbox.Put(reloadRequest{})
			case <-term:
				p.inbox.Put(stopRequest{})
			case <-ctx.Done():
				p.inbox.Put(stopRequest{})
				return
			}
		}
	}()
	return p.run()
}

// New assembles a process and opens its listeners.
func New(path string, settings *sysconfig.Settings) (*Process, error) {
	return NewTimed(path, settings, nil)
}

// NewTimed is New for a process whose request stages are measured; times is called after each request.
func NewTimed(path string, settings *sysconfig.Settings, times func(id string, t *protocol.StageTimes)) (*Process, error) {
	runtime.GOMAXPROCS(max(1, int(settings.BoundsReq.CpuCount)))
	debug.SetGCPercent(minHeapPercent)
	limit := int64(settings.BoundsReq.MemMb) << 20 * 6 / 10
	debug.SetMemoryLimit(limit)
	p, err := assemble(path, settings, SharedOptions{Log: os.Stderr, OnRequestTimes: times})
	if err == nil {
		p.heapLimit, p.heapPercent = limit, minHeapPercent
	}
	return p, err
}

func assemble(path string, settings *sysconfig.Settings, shared SharedOptions) (*Process, error) {
	p := &Process{settingsPath: path, settings: settings, link: shared.Link, controlOnly: shared.ControlOnly,
		parseCache: shared.ParseCache, servingServers: map[string]bool{}, startedAt: time.Now(), build: buildinfo.Read(),
		inbox: mailbox.NewBox[any](nil), stateWrites: mailbox.NewBox[*consensus.Write](nil),
		parseRequests: mailbox.NewBox[*controlplane.ConfigText](nil), serverWrites: mailbox.NewBox[[]registry.Row](nil),
		leavingWrites: mailbox.NewBox[*registry.LeavingWrite](nil),
		ruleWrites:    mailbox.NewBox[*faultrules.Write](nil), ruleJudge: faultrules.NewJudge(), strikeRecord: &strikeRecord{},
		meshAddr: meshAddress(settings.IpAddr, settings)}
	p.ring = logring.New(shared.Log, settings.NodeName, 256, log.InfoLevel)
	p.logger = &log.Logger{Handler: p.ring, Level: log.DebugLevel}
	p.disk = &diskMeter{logger: p.logger, threshold: slowWrite}
	now, seed := p.now(), hostenv.Real.Random()
	member := settings.QuorumMember && settings.StateDir != ""
	incarnation := uint64(time.Now().UnixMilli())
	var stored *consensus.DurableState
	intact := true
	if member {
		var err error
		if p.store, stored, intact, err = p.openStore(settings.StateDir); err != nil {
			return nil, err
		}
	}
	p.meter = &meter{inner: quotas.NewMeter(p.meshAddr, incarnation, seed)}
	p.machine = controlplane.New(controlplane.Config{Self: p.meshAddr, Name: settings.NodeName, Zone: settings.Zone, ControlAddr: settings.Bind.ControlPlane,
		Member: member, Genesis: settings.Genesis && intact, ToleratedLosses: settings.FaultBudget.MachineLosses,
		HeartbeatInterval: time.Duration(settings.HeartbeatMs) * time.Millisecond, Seeds: p.seedAddrs(), Incarnation: incarnation, Seed: seed,
		FaultRules: controlplane.FaultRulesConfig{MaxLifetime: p.maxRuleLifetime(), Judge: p.ruleJudge, Disk: p.storedRules(intact)}},
		p.meter, stored, now)
	p.plane = dataplane.New(dataplane.Options{Zone: settings.Zone, Now: p.now, MaxServerConns: settings.BoundsReq.FdLimit / 3, Seed: seed, TakeQuota: p.takeQuota,
		Leaving: p.redirectsClients, Closing: p.closing.Load, RetryRatio: settings.Bounds.RetryRatio, RetryAllowance: settings.Bounds.RetrySlack,
		WarmupTime: 3 * time.Second, FaultInjector: p.newInjector(incarnation), OnRequestTimes: shared.OnRequestTimes})
	p.mesh = mesh.New(mesh.Options[*frame]{Codec: p.frameCounters.codec(p.addQueue.full), MaxInbound: 1000, ConfigureConn: configureConn, ReadBufferSize: 2 << 10,
		Handle: func(_ *mesh.Conn[*frame], f *frame) {
			if f != nil {
				p.transmit(f.From, false, func() { p.enqueue(f) })
			}
		}})
	if err := p.mesh.Listen(p.meshAddr); err != nil {
		return nil, fmt.Errorf("mesh: %w", err)
	}
	go p.parseConfigs()
	if p.store != nil {
		p.execute(p.machine.RestoreServers(now, p.storedServers(intact)))
	}
	return p, p.listenAll()
}

// now is the process's clock: monotonic, and always above 0.
func (p *Process) now() fsm.Time { return time.Hour + time.Since(p.startedAt) }

// meshAddress returns the mesh address of the process on a host.
func meshAddress(host string, settings *sysconfig.Settings) string {
	return fmt.Sprintf("%s:%d", host, settings.PortRange[0])
}

// seedAddrs returns the mesh addresses of the bootstrap hosts in the settings.
func (p *Process) seedAddrs() []string {
	return lo.FilterMap(p.settings.Bootstrap, func(addr string, _ int) (string, bool) {
		host, _, err := net.SplitHostPort(addr)
		return meshAddress(host, p.settings), err == nil
	})
}

// unacknowledgedTimeout bounds how long sent bytes may stay unacknowledged: a peer without power, or
// behind a partition, doesn't close its connections.
const unacknowledgedTimeout = 900 * time.Millisecond

func configureConn(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		raw.Control(func(fd uintptr) {
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
		})
	}
}

// takeQuota takes units of a tenant's quota, or returns when some will be available.
func (p *Process) takeQuota(tenant string, units float64) (bool, time.Duration) {
	ok, after, flush := p.meter.takeQuota(p.now(), tenant, units)
	if flush && !p.flushPending.Swap(true) {
		p.inbox.Put(flushAdds{})
	}
	return ok, after
}

// Inputs of the control loop, besides frames.
type (
	heartbeatCall struct {
		call      uint64
		heartbeat registry.Heartbeat
	}
	endedCall struct {
		call     uint64
		serverID string
	}
	putCall struct {
		call uint64
		doc  consensus.Doc
	}
	withdrawCall struct {
		call    uint64
		version uint32
		by      string
	}
	getCall       struct{ call uint64 }
	stateWritten  struct{ seq uint64 }
	leavingStored struct{ seq uint64 }
	flushAdds     struct{} // adds should be sent before the next tick
	reloadRequest struct{} // the settings file has changed
	stopRequest   struct{} // the process is told to end
)

// run is the control loop. It returns when the process was told to end and all requests are answered.
func (p *Process) run() error {
	p.logger.WithFields(log.Fields{"mesh": p.meshAddr, "build": p.build.String()}).Info("started")
	next, addsDone := time.Now(), true
	for {
		wait := max(0, time.Until(next))
		if !addsDone {
			wait = 0
		}
		for _, m := range p.take(wait) {
			if f, ok := m.(*frame); !ok || !p.addQueue.push(f, time.Now()) {
				p.handle(m)
			}
		}
		addsDone = p.countAdds()
		if now := time.Now(); !now.Before(next) {
			next = now.Add(tickInterval)
			p.runTick()
			if !p.leavingSince.IsZero() && p.advanceDeparture(now) {
				p.logEnd()
				return nil
			}
		}
	}
}

// take waits for inputs, and reports if the process stood still meanwhile: deadlines that passed then were missed by
// nobody else.
func (p *Process) take(wait time.Duration) []any {
	began := time.Now()
	inputs := p.inbox.Take(wait)
	if stood := p.standstills.Waited(wait, time.Since(began)); stood > 0 {
		p.logger.WithField("for_ms", stood.Milliseconds()).Warn("stood still")
	}
	return inputs
}

func (p *Process) handle(m any) {
	now := p.now()
	switch m := m.(type) {
	case *frame:
		p.execute(p.machine.Receive(now, m.From, m.Msg))
	case heartbeatCall:
		p.execute(p.machine.ServerHeartbeat(now, m.call, m.heartbeat))
	case endedCall:
		p.execute(p.machine.RemoveServer(now, m.call, m.serverID))
	case putCall:
		p.execute(p.machine.PutConfig(now, m.call, m.doc))
	case withdrawCall:
		p.execute(p.machine.Withdraw(now, m.call, m.version, m.by))
	case getCall:
		p.execute(p.machine.GetConfig(now, m.call))
	case contactCall:
		p.execute(p.machine.ProveContact(now, m.call))
	case showCall:
		p.reply(m.call, m.build(p))
	case drainCall:
		p.execute(p.machine.Drain(now, m.call, m.op, m.within))
	case *controlplane.ParsedConfig:
		p.execute(p.machine.ConfigParsed(now, m))
	case stateWritten:
		p.execute(p.machine.Written(now, m.seq))
	case leavingStored:
		p.execute(p.machine.LeavingStored(now, m.seq))
	case faultRulesCall:
		p.execute(p.machine.CallFaultRules(now, m.call, m.op, m.doc))
	case rulesWritten:
		p.execute(p.machine.FaultRulesWritten(now, m.seq))
	case strikesWanted:
		p.strikesPending.Store(false)
		p.execute(p.machine.RequestStrikes(now))
	case flushAdds:
		p.flushPending.Store(false)
		p.execute(p.machine.FlushAdds(now))
	case reloadRequest:
		p.reloadSettings()
	case stopRequest:
		if p.leavingSince.IsZero() {
			p.logger.Info("leaving")
			p.leavingSince = time.Now()
			p.leaving.Store(true)
			p.ready.Store(false)
			p.execute(p.machine.Leave(now))
		}
	}
}

func (p *Process) runTick() {
	p.machine.ReportAddDelay(p.now(), p.addQueue.longestWait)
	p.addQueue.longestWait = 0
	p.execute(p.machine.Tick(p.now()))
	if ready := p.machine.Ready(); ready != p.ready.Load() {
		p.ready.Store(ready)
		p.logger.WithField("ready", ready).Info("readiness")
	}
	p.role.Store(consensusRole(p.machine.ConsensusStatus(), p.meshAddr))
	p.storeServers(time.Now())
	p.closeIdle(time.Now())
	if now := time.Now(); now.Sub(p.totalsLoggedAt) >= totalsInterval {
		p.totalsLoggedAt = now
		go p.logTotals()
	}
	if !p.machine.Alone() {
		p.aloneSince = time.Time{}
	} else if now := time.Now(); p.aloneSince.IsZero() {
		p.aloneSince = now
	} else if now.Sub(p.aloneSince) > 2*time.Second { // the settings may have new seeds by now
		p.aloneSince = now
		p.reloadSettings()
	}
}

// parseConfigs parses configurations outside the control loop.
func (p *Process) parseConfigs() {
	for {
		for _, t := range p.parseRequests.Take(-1) {
			p.inbox.Put(p.parseCache.Parse(t))
		}
	}
}

// execute carries out the output of the machine.
func (p *Process) execute(out controlplane.Output) {
	if out.Write != nil {
		p.stateWrites.Put(out.Write)
	}
	if out.LeavingWrite != nil {
		p.leavingWrites.Put(out.LeavingWrite)
	}
	if out.FaultRulesWrite != nil {
		p.ruleWrites.Put(out.FaultRulesWrite)
	}
	if out.Parse != nil {
		p.parseRequests.Put(out.Parse)
	}
	if out.FaultRulesLog != "" {
		p.logger.Info(out.FaultRulesLog)
	}
	if out.Fenced {
		p.logger.Error("state is older than what was vouched for on it: joins anew")
	}
	if out.MembersChanged {
		p.logger.WithField("up", out.Gateways.Count).Debug("membership")
		p.processCount.Store(int64(out.Gateways.Count))
		if !p.controlOnly {
			p.plane.SetGateways(out.Gateways.Count, out.Gateways.Index)
		}
	}
	if out.Adopt != nil {
		p.adjustHeap(len(out.Doc.Body))
		if !p.controlOnly {
			p.plane.Adopt(out.Adopt)
		}
		if p.ingress != nil {
			p.ingress.SetTimeouts(clientTimeouts(out.Adopt.Bounds))
		}
		p.version.Store(out.Doc.Version)
		p.logger.WithField("version", fmt.Sprintf("%08x", out.Doc.Version)).Info("configuration in force")
	}
	if out.GateChanged || out.Adopt != nil {
		p.plane.SetGate(p.machine.Gate())
	}
	if out.AdoptError != nil {
		p.logger.WithError(out.AdoptError).WithField("version", out.Doc.Version).Error("kept, but not valid here")
	}
	if out.ServersChanged {
		p.serversChanged = true
		p.updateServers(out.ServerChanges)
	}
	p.send(out.Send)
	if out.DrainChanged {
		p.drainChanged()
	}
	for _, r := range out.Replies {
		p.reply(r.CallID, r.Value)
	}
}

// closedConns tells why clients' connections have been closed.
func (p *Process) closedConns() string {
	if p.ingress == nil {
		return ""
	}
	return p.ingress.Closed().String()
}

// logEnd tells what the process leaves behind: connections and requests that end with it have lost their responses.
func (p *Process) logEnd() {
	open := 0
	if p.ingress != nil {
		open = p.ingress.Open()
	}
	p.logger.WithFields(log.Fields{"connections": open, "requests": p.plane.OpenRequests(), "own": p.plane.OwnStatuses(), "closed": p.closedConns()}).Info("ended")
	if n := p.plane.FalseSuccesses(); n > 0 {
		p.logger.WithField("count", n).Error("successes without a server's response were held back")
	}
}

const totalsInterval = 10 * time.Second

// logTotals logs the counters of each service, and of the process's memory.
func (p *Process) logTotals() {
	for name, stats := range p.plane.ServiceStats() {
		p.logger.WithFields(log.Fields{"service": name, "requests": stats.Requests, "served": stats.Served, "refused": stats.Refused,
			"failed": stats.Failed, "gone": stats.ClientsGone, "attempts": stats.Attempts, "ends": stats.Outcomes, "why": stats.Balancer.Refused,
			"limit": fmt.Sprintf("%.1f", stats.Balancer.Limit), "out": fmt.Sprintf("%.1f", stats.Balancer.InFlight)}).Info("totals")
	}
	var mem runtime.MemStats
	runtime.ReadMemStats(&mem)
	p.logger.WithFields(log.Fields{"limited": p.plane.QuotaRefusals(), "own": p.plane.OwnStatuses(), "closed": p.closedConns(), "adds_dropped": p.addQueue.dropped.Load(), "mesh_in_kb": p.mesh.Counts.BytesIn.Load() >> 10, "mesh_out_kb": p.mesh.Counts.BytesOut.Load() >> 10, "heap_kb": mem.HeapInuse >> 10, "idle_kb": (mem.HeapIdle - mem.HeapReleased) >> 10,
		"stack_kb": mem.StackInuse >> 10, "other_kb": (mem.MSpanSys + mem.MCacheSys + mem.BuckHashSys + mem.GCSys + mem.OtherSys) >> 10,
		"next_kb": mem.NextGC >> 10, "collections": mem.NumGC, "goroutines": runtime.NumGoroutine()}).Info("totals")
}

// send sends messages. Those for this process itself go back into its inbox.
func (p *Process) send(out []fsm.Send) {
	for _, s := range out {
		f := &frame{From: p.meshAddr, Msg: s.Msg}
		if s.To == p.meshAddr {
			p.enqueue(f)
			continue
		}
		p.transmit(s.To, true, func() { p.mesh.ConnTo(s.To).Send(f) })
	}
}

// call passes a call to the control loop and waits up to a second for its answer; nil: there was none.
func (p *Process) call(put func(call uint64)) any { return p.callWithin(time.Second, put) }

func (p *Process) callWithin(within time.Duration, put func(call uint64)) any {
	call, answer := p.lastCall.Add(1), make(chan any, 1)
	p.pendingCalls.Store(call, answer)
	defer p.pendingCalls.Delete(call)
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

func (p *Process) reply(call uint64, answer any) {
	if waiting, ok := p.pendingCalls.Load(call); ok {
		select {
		case waiting.(chan any) <- answer:
		default: // already answered
		}
	}
}

// reloadSettings applies the settings that may change at run time: the seeds.
func (p *Process) reloadSettings() {
	settings, err := sysconfig.ReadSettings(p.settingsPath)
	if err != nil {
		p.logger.WithError(err).Warn("kept the settings in use")
		return
	}
	p.settings.Bootstrap = settings.Bootstrap
	p.machine.SetSeeds(p.now(), p.seedAddrs())
}
