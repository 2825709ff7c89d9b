package systemsim

import (
	"fmt"
	"slices"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
	"asterwell/internal/registry"
	"asterwell/internal/sysconfig"
)

// proc is a machine of the system, and the process on it while one runs.
type proc struct {
	w                *world
	name, addr, zone string
	core, genesis    bool
	wall             time.Duration // what its time of day is wrong by
	disk             *disk
	rules            ruleDisk
	servers          serverDisk
	met              time.Duration // when it last had a way to most of the core

	k       *controlplane.Machine
	meter   *quotas.Meter
	start   time.Duration
	life    int           // counts starts
	ended   time.Duration // when the last process on it did; 0: none has
	up      bool
	leaving bool
	gone    bool // for good
	thaws   time.Duration
	ice     []func() // what comes while it is frozen

	lossy float64
	deaf  float64 // part of its answers to callers that is lost
	// darkBy are the outages in which not even clients, servers and operators reach it.
	darkBy []*cut
	calls  map[uint64]func(any)
	last   uint64
	due    bool

	table   *sysconfig.Table
	version uint32
	serves  map[*server]bool     // those it may send to, and
	of      map[string][]*server // the same by service
	load    *load
	quota   quota

	sent       map[*proc]time.Duration // when the last message to it comes
	hurt, lone time.Duration           // see touch
}

const (
	tick     = 50 * ms
	readByte = 40 * time.Nanosecond // that a configuration takes to be read, beside the loop
)

// add makes a machine; nothing runs on it yet.
func (w *world) add(name, zone string, core, genesis bool) *proc {
	p := &proc{w: w, name: name, zone: zone, core: core, genesis: genesis, sent: map[*proc]time.Duration{}}
	p.addr = fmt.Sprintf("10.0.0.%d:7000", len(w.procs)+1)
	if core {
		p.disk = &disk{p: p, pace: w.pace}
	}
	w.procs, w.byAddr[p.addr], w.byName[name] = append(w.procs, p), p, p
	return p
}

// clock is the process's own: steady, and above 0.
func (p *proc) clock() fsm.Time { return time.Hour + p.w.now - p.start }

func (p *proc) boot() {
	if p.up || p.gone {
		return
	}
	w := p.w
	p.up, p.leaving, p.thaws, p.ice = true, false, 0, nil
	p.life++
	p.start, p.calls, p.due = w.now, map[uint64]func(any){}, false
	p.table, p.version, p.serves, p.of = nil, 0, map[*server]bool{}, map[string][]*server{}
	life := uint64(1e12) + uint64((w.now+p.wall)/ms) + 1e9
	seed := w.rng.Uint64()
	var kept *consensus.DurableState
	if p.disk != nil {
		kept = p.disk.open()
	}
	p.meter = quotas.NewMeter(p.addr, life, seed)
	p.k = controlplane.New(controlplane.Config{Self: p.addr, Name: p.name, Zone: p.zone, ControlAddr: p.addr + "0", Member: p.core,
		Genesis: p.genesis, ToleratedLosses: w.losses, HeartbeatInterval: heartbeat, Seeds: w.seeds, Incarnation: life, Seed: seed,
		FaultRules: controlplane.FaultRulesConfig{MaxLifetime: longestRules, Disk: p.openRules()}, Bugs: w.bug.guards()},
		p.meter, kept, p.clock())
	w.note("%s starts, life %d", p.name, p.life)
	p.openServers()
	p.tick(p.life)
	w.relist()
}

// end is the end of the process. Of what was being written, all or nothing is kept.
func (p *proc) end() {
	if !p.up {
		return
	}
	p.w.note("%s ends", p.name)
	p.up, p.ice, p.ended = false, nil, p.w.now
	if p.disk != nil {
		p.disk.cut()
	}
	p.w.relist()
}

func (p *proc) frozen() bool { return p.thaws > p.w.now }

func (p *proc) tick(life int) {
	if !p.up || p.life != life {
		return
	}
	p.input(func() controlplane.Output { return p.k.Tick(p.clock()) })
	p.storeList()
	next := tick
	if p.frozen() {
		next = p.thaws - p.w.now
	}
	p.w.after(next, func() { p.tick(life) })
}

// input gives something to the process, when it has thawed if it is frozen.
func (p *proc) input(do func() controlplane.Output) {
	switch {
	case !p.up:
	case p.frozen():
		p.ice = append(p.ice, func() { p.carry(p.w.gauge.step(p, do)) })
	default:
		p.carry(p.w.gauge.step(p, do))
	}
}

// thaw: first comes what was waiting in the sockets.
func (p *proc) thaw(life int) {
	if !p.up || p.life != life || p.frozen() {
		return
	}
	waiting := p.ice
	p.ice = nil
	for _, do := range waiting {
		do()
	}
}

// carry is the rim.
func (p *proc) carry(out controlplane.Output) {
	w := p.w
	if out.Write != nil {
		p.disk.put(out.Write)
	}
	if t := out.Parse; t != nil {
		life, readings := p.life, w.readings
		if w.gauge != nil { // what a process spends is its own
			readings = nil
		}
		w.after(time.Duration(len(t.Doc.Body))*readByte, func() {
			if p.life == life {
				p.input(func() controlplane.Output { return p.k.ConfigParsed(p.clock(), readings.Parse(t)) })
			}
		})
	}
	if out.Fenced {
		w.stats.Fences++
		w.note("%s is fenced", p.name)
	}
	if out.LeavingWrite != nil {
		p.keepLeaving(out.LeavingWrite)
	}
	if out.FaultRulesWrite != nil {
		p.keepRules(out.FaultRulesWrite)
	}
	if out.Adopt != nil {
		w.adopted(p, out.Adopt, out.Doc)
	}
	if out.AdoptError != nil {
		w.breaks("CONFIG", "%s keeps version %d, which is not valid: %v", p.name, out.Doc.Version, out.AdoptError)
	}
	if out.ServersChanged {
		p.servers.listChanged = true
		p.list(out.ServerChanges)
		w.gauge.listed(p)
	}
	if out.DrainChanged {
		w.stayed()
	}
	for _, s := range out.Send {
		w.carry(p, s)
	}
	for _, r := range out.Replies {
		if done := p.calls[r.CallID]; done != nil {
			delete(p.calls, r.CallID)
			done(r.Value)
		}
	}
}

// list takes in what has changed in the process's list of servers.
func (p *proc) list(changes []registry.Server) {
	for _, c := range changes {
		s, serves := p.w.byID[c.ID], c.Phase == registry.Serving
		switch of := p.of[s.service]; {
		case serves == p.serves[s]:
		case serves:
			p.serves[s], p.of[s.service] = true, append(of, s)
		default:
			delete(p.serves, s)
			i := slices.Index(of, s)
			p.of[s.service] = slices.Delete(of, i, i+1)
		}
	}
}

// call is one of a server's or an operator's, from a distance. done gets nil when the
// caller sees a failure; it comes once, after patience at the latest.
func (w *world) call(p *proc, far time.Duration, do func(id uint64) controlplane.Output, done func(any)) {
	over := false
	finish := func(v any) {
		if !over {
			over = true
			done(v)
		}
	}
	w.after(patience, func() { finish(nil) })
	if p.dark() {
		return
	}
	w.after(far, func() {
		if !p.up {
			w.after(far, func() { finish(nil) })
			return
		}
		p.last++
		id := p.last
		p.calls[id] = func(v any) {
			if !p.dark() && !w.chance(p.deaf) {
				w.after(far, func() { finish(v) })
			}
		}
		p.input(func() controlplane.Output { return do(id) })
	})
}

// pass takes a unit of a tenant's quota, and says what that went by.
func (p *proc) pass(tenant string) (bool, quotas.Basis) {
	ok, _ := p.meter.Allow(p.clock(), tenant, 1)
	if p.meter.Due(p.clock()) && !p.due {
		p.due = true
		life := p.life
		p.w.after(0, func() {
			if p.life == life {
				p.due = false
				p.input(func() controlplane.Output { return p.k.FlushAdds(p.clock()) })
			}
		})
	}
	basis, _ := p.meter.BasisOf(p.clock(), tenant)
	return ok, basis
}
