package world

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
	"asterwell/internal/rollout"
	"asterwell/internal/sysconfig"
)

// Process is a process, and what is left of it when it is gone.
type Process struct {
	w                *World
	name, addr, zone string
	core             bool
	rate             float64 // of its clock
	base             time.Duration
	k                *controlplane.Machine
	up               bool
	life             int
	thaws            time.Duration
	ice              []func()
	disk             []byte
	synced           time.Duration // when it is through with what it has
	started          bool          // once
	gate             rollout.Gate
	waiting          []time.Duration // when the requests that wait at the gate came
	sends, takes     time.Duration   // when its link is through with what it has, each way
	calls            uint64
	wishes           map[uint64]wished // calls to withdraw
	puts             map[uint64]uint32 // calls to put, and what
	heard            map[string]said   // of each node, in this life
}

func (p *Process) clock() fsm.Time { return p.base + time.Duration(float64(p.w.now)*p.rate) }

func (p *Process) frozen() bool { return p.thaws > p.w.now }

func (p *Process) boot() {
	if p.up {
		return
	}
	w := p.w
	p.up, p.thaws, p.ice, p.waiting, p.gate, p.wishes = true, 0, nil, nil, rollout.Gate{}, map[uint64]wished{}
	p.puts = map[uint64]uint32{}
	p.life, p.heard = p.life+1, map[string]said{}
	var kept *consensus.DurableState
	if p.disk != nil {
		kept = &consensus.DurableState{}
		if err := cbor.Unmarshal(p.disk, kept); err != nil {
			panic(err)
		}
	}
	seed := w.rng.Uint64()
	p.k = controlplane.New(controlplane.Config{Self: p.addr, Name: p.name, Zone: p.zone, ControlAddr: p.addr + "0", Member: p.core, Genesis: !p.started,
		ToleratedLosses: 1, HeartbeatInterval: time.Second, Seeds: []string{w.nodes[0].addr, w.nodes[1].addr, w.nodes[2].addr},
		Incarnation: uint64(1e12) + uint64(w.now), Seed: seed, CheckConfig: p.check}, quotas.NewMeter(p.addr, uint64(p.life), seed), kept, p.clock())
	p.started = true
	p.k.RolloutMachine().SetBug(w.opt.Bug)
	w.note("%s starts", p.name)
	p.tick(p.life)
	w.after(w.upTo(w.opt.RequestInterval), func() { p.clients(p.life) })
}

// check is this process's view of a text: one that refuses names it.
func (p *Process) check(body []byte) error {
	if _, err := sysconfig.Parse(body); err != nil {
		return err
	}
	var c struct{ Refused string }
	if json.Unmarshal(body, &c); c.Refused == p.name {
		return fmt.Errorf("%s knows better", p.name)
	}
	return nil
}

func (p *Process) kill() {
	if p.up {
		p.w.note("%s is killed", p.name)
		p.up, p.ice, p.waiting = false, nil, nil
	}
}

func (p *Process) freeze(d time.Duration) {
	if !p.up || p.frozen() {
		return
	}
	w, life := p.w, p.life
	w.note("%s stands still for %v", p.name, d)
	p.thaws = w.now + d
	w.after(d, func() {
		if !p.up || p.life != life {
			return
		}
		ice := p.ice
		p.ice = nil
		w.rng.Shuffle(len(ice), func(i, j int) { ice[i], ice[j] = ice[j], ice[i] }) // links are not in order here
		for _, do := range ice {
			do()
		}
	})
}

func (p *Process) input(do func() controlplane.Output) {
	switch {
	case !p.up:
	case p.frozen():
		p.ice = append(p.ice, func() { p.carry(do()) })
	default:
		p.carry(do())
	}
}

func (p *Process) tick(life int) {
	if !p.up || p.life != life {
		return
	}
	p.input(func() controlplane.Output { return p.k.Tick(p.clock()) })
	next := 50 * ms
	if p.frozen() {
		next = p.thaws - p.w.now
	}
	p.w.after(next, func() { p.tick(life) })
}

func (p *Process) carry(out controlplane.Output) {
	w := p.w
	if out.Write != nil {
		data, err := cbor.Marshal(out.Write.State)
		if err != nil {
			panic(err)
		}
		life, seq := p.life, out.Write.Seq
		p.synced = max(p.synced, w.now) + ms + w.upTo(3*ms) // one after the other
		w.after(p.synced-w.now, func() {
			if p.up && p.life == life {
				p.disk = data
				p.input(func() controlplane.Output { return p.k.Written(p.clock(), seq) })
			}
		})
	}
	if t := out.Parse; t != nil {
		life := p.life
		w.after(w.upTo(20*ms), func() {
			if p.life == life {
				p.input(func() controlplane.Output { return p.k.ConfigParsed(p.clock(), t.Parse()) })
			}
		})
	}
	if out.GateChanged || out.Adopt != nil {
		p.open()
	}
	if v, fate := p.k.RolloutMachine().Newest(); v != 0 {
		w.fate(p, v, fate)
	}
	for _, r := range out.Replies {
		switch t := r.Value.(type) {
		case rollout.WithdrawReply:
			w.told(p, p.wishes[r.CallID], t.Outcome)
		case consensus.Answer:
			switch version := p.puts[r.CallID]; t.Result {
			case consensus.ResultAccepted:
				w.acked(p, version)
			case consensus.ResultBusy: // no clear answer
			case consensus.ResultConflict:
				if !w.other[version] {
					w.breaks("AGAIN", "put of %d at %s: another text has its number, and there is none", version, p.name)
				}
			default:
				w.breaks("AGAIN", "put of %d at %s is refused: %v", version, p.name, t.Result)
			}
		}
	}
	for _, s := range out.Send {
		w.send(p, s)
	}
}

// open goes by the gate as it stands now, and takes up what waits there.
func (p *Process) open() {
	p.gate = p.k.Gate()
	if p.gate.Allows(p.clock(), p.gate.Version) {
		p.w.serves(p, p.gate.Version)
	}
	waiting := p.waiting
	p.waiting = nil
	for _, came := range waiting {
		p.decide(came)
	}
}

const patience = 100 * ms

// decide takes up a request that came at a moment, or refuses it, or lets it wait.
func (p *Process) decide(came time.Duration) {
	w := p.w
	now := p.clock()
	if w.opt.Bug == rollout.BugStaleLeaseCheck {
		now = p.base + time.Duration(float64(came)*p.rate)
	}
	g := p.gate
	switch {
	case g.Version == 0:
		w.res.Refused++
	case g.Allows(now, g.Version):
		w.res.LongestHold = max(w.res.LongestHold, min(w.now-came, patience))
		w.decided(p, g.Version)
	case g.ReopensSoon && w.now-came < patience:
		p.waiting = append(p.waiting, came)
		if len(p.waiting) == 1 {
			life := p.life
			w.after(patience, func() {
				if p.up && p.life == life && !p.frozen() {
					p.open()
				}
			})
		}
	default:
		w.res.Refused++
		if g.ReopensSoon {
			w.res.RefusedInTurn++
		}
	}
}

// clients send requests as long as the process lives.
func (p *Process) clients(life int) {
	w := p.w
	if !p.up || p.life != life {
		return
	}
	if came := w.now; !w.quiet {
		if p.frozen() {
			p.ice = append(p.ice, func() { p.decide(came) })
		} else {
			p.decide(came)
		}
	}
	w.after(w.opt.RequestInterval/2+w.upTo(w.opt.RequestInterval), func() { p.clients(life) })
}

// send brings a message to a process, late, twice, or not at all.
func (w *World) send(p *Process, s fsm.Send) {
	to := w.byAddr[s.To]
	if to == nil {
		return
	}
	w.watch(p, to, s.Msg)
	if wish, ok := s.Msg.(rollout.WithdrawRequest); ok && w.late != nil {
		w.late = append(w.late, wish)
	}
	if to == p {
		life, sent := p.life, w.now
		w.after(0, func() {
			if p.life == life {
				p.input(func() controlplane.Output {
					w.takes(p.addr, p, s.Msg, sent)
					return p.k.Receive(p.clock(), p.addr, s.Msg)
				})
			}
		})
		return
	}
	size := 0
	if w.opt.CountBytes || w.opt.Mbit > 0 {
		if data, err := cbor.Marshal(s.Msg); err == nil {
			size = len(data) + 40
		}
		w.bytes += size
	}
	n := 1
	if w.rng.Float64() < w.twice {
		n = 2
	}
	for range n {
		if w.rng.Float64() < w.loss {
			continue
		}
		d := w.carries(p, to, size) + 100*time.Microsecond + w.upTo(300*time.Microsecond+w.slow)
		if to.zone != p.zone {
			d += 800 * time.Microsecond
		}
		life, from, sent := to.life, p.addr, w.now
		w.after(d, func() {
			if to.life == life && !w.cuts[[2]string{from, to.addr}] {
				w.came(from, to, s.Msg)
				to.input(func() controlplane.Output {
					w.takes(from, to, s.Msg, sent)
					return to.k.Receive(to.clock(), from, s.Msg)
				})
			}
		})
	}
}

// carries is how long a message takes on the links of its sender and its receiver, behind
// what is on them already: a slow link sends one after the other.
func (w *World) carries(p, to *Process, size int) time.Duration {
	if w.opt.Mbit == 0 {
		return 0
	}
	takes := func(x *Process) time.Duration {
		return time.Duration(float64(size) * 8 / lo.Ternary(x.core, w.opt.CoreMbit, w.opt.Mbit) * float64(time.Microsecond))
	}
	p.sends = max(p.sends, w.now) + takes(p)
	to.takes = max(to.takes, p.sends) + takes(to)
	w.res.LongestQueue = max(w.res.LongestQueue, to.takes-w.now)
	return to.takes - w.now
}

// cut cuts one way between processes.
func (w *World) cut(from, to []*Process, on bool) {
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			if on {
				w.cuts[[2]string{a.addr, b.addr}] = true
			} else {
				delete(w.cuts, [2]string{a.addr, b.addr})
			}
		}
	}
}

// primary is the process that leads, as it sees it itself; nil: none.
func (w *World) primary() *Process {
	for _, p := range w.nodes {
		if p.up && p.k.ConsensusStatus().Role == "primary" {
			return p
		}
	}
	return nil
}

// body is a configuration. refused names a node that can't take it.
func (w *World) body(version uint32, confirm, within int, refused string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"Epoch":"%08x","Rollout":{"Mode":"together"`, version)
	if confirm > 0 {
		fmt.Fprintf(&b, `,"Confirm":%d`, confirm)
	}
	if within > 0 {
		fmt.Fprintf(&b, `,"WithinMs":%d`, within)
	}
	fmt.Fprintf(&b, `},"Refused":%q`, refused)
	for i := range w.opt.Routes {
		fmt.Fprintf(&b, `%s{"Name":"route-%03d","RouteClass":"effectful","TargetMs":250,"Rank":1,"Anonymous":false,
 "Predicate":{"PathPrefix":"/gas-day/%03d/nominations/"},"Effect":{"Backend":"pool","DeadlineMs":600,"Tries":2}}`,
			[]string{`,"Pools":[{"Name":"pool"}],"Sockets":[{"Authority":"a.example","Policy":[`, ","}[min(i, 1)], i, i)
	}
	if w.opt.Routes > 0 {
		b.WriteString("]}]")
	}
	b.WriteString("}")
	return b.Bytes()
}

// Put is an operator's call at a process. Confirm and within are for the change after
// this one.
func (w *World) Put(p *Process, version uint32, confirm, within int, refused string) {
	if p == nil || !p.up {
		return
	}
	w.note("put %d at %s: confirm %d within %d refused by %q", version, p.name, confirm, within, refused)
	if _, ok := w.puts[version]; !ok {
		w.puts[version] = w.now
		w.res.Puts++
	}
	w.top = max(w.top, version)
	p.calls++
	id := p.calls
	p.puts[id] = version
	body := w.body(version, confirm, within, refused)
	if w.texts[version] == nil {
		w.texts[version] = body
	}
	w.other[version] = w.other[version] || !bytes.Equal(w.texts[version], body)
	p.input(func() controlplane.Output {
		return p.k.PutConfig(p.clock(), id, consensus.Doc{Version: version, Body: body})
	})
}

// Withdraw is an operator's call.
func (w *World) Withdraw(p *Process, version uint32) {
	if p != nil && p.up {
		w.note("withdraw %d at %s", version, p.name)
		p.calls++
		id := p.calls
		_, known := w.fates[version]
		p.wishes[id] = wished{version, known}
		p.input(func() controlplane.Output { return p.k.Withdraw(p.clock(), id, version, "ops") })
	}
}
