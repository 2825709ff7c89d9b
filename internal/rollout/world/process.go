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

// Process is a simulated process, with the disk that outlives it.
type Process struct {
	w                         *World
	name, addr, zone          string
	core                      bool
	clockRate                 float64 // relative to the time of the simulation
	clockBase                 time.Duration
	control                   *controlplane.Machine
	up                        bool
	incarnation               int
	frozenUntil               time.Duration
	deferred                  []func()
	disk                      []byte
	diskIdleAt                time.Duration // when all its writes are done
	started                   bool          // at least once
	gate                      rollout.Gate
	waiting                   []time.Duration // arrival times of the requests that wait at the gate
	sendIdleAt, receiveIdleAt time.Duration   // when its link has sent and received all queued messages
	calls                     uint64
	withdrawCalls             map[uint64]withdrawOrder   // operators' calls to withdraw a version
	putCalls                  map[uint64]uint32          // versions of operators' calls to put one
	reports                   map[string]processedReport // of each node, since this process started
}

func (p *Process) clock() fsm.Time { return p.clockBase + time.Duration(float64(p.w.now)*p.clockRate) }

func (p *Process) frozen() bool { return p.frozenUntil > p.w.now }

func (p *Process) start() {
	if p.up {
		return
	}
	w := p.w
	p.up, p.frozenUntil, p.deferred, p.waiting, p.gate, p.withdrawCalls = true, 0, nil, nil, rollout.Gate{}, map[uint64]withdrawOrder{}
	p.putCalls = map[uint64]uint32{}
	p.incarnation, p.reports = p.incarnation+1, map[string]processedReport{}
	var kept *consensus.DurableState
	if p.disk != nil {
		kept = &consensus.DurableState{}
		if err := cbor.Unmarshal(p.disk, kept); err != nil {
			panic(err)
		}
	}
	seed := w.rng.Uint64()
	p.control = controlplane.New(controlplane.Config{Self: p.addr, Name: p.name, Zone: p.zone, ControlAddr: p.addr + "0", Member: p.core, Genesis: !p.started,
		ToleratedLosses: 1, HeartbeatInterval: time.Second, Seeds: []string{w.nodes[0].addr, w.nodes[1].addr, w.nodes[2].addr},
		Incarnation: uint64(1e12) + uint64(w.now), Seed: seed, CheckConfig: p.check}, quotas.NewMeter(p.addr, uint64(p.incarnation), seed), kept, p.clock())
	p.started = true
	p.control.RolloutMachine().SetBug(w.opt.Bug)
	w.trace("%s starts", p.name)
	p.tick(p.incarnation)
	w.schedule(w.randomUpTo(w.opt.RequestInterval), func() { p.sendRequests(p.incarnation) })
}

// check checks a text as this process would. A text for tests names a process that refuses it.
func (p *Process) check(body []byte) error {
	if _, err := sysconfig.Parse(body); err != nil {
		return err
	}
	var c struct{ Refused string }
	if json.Unmarshal(body, &c); c.Refused == p.name {
		return fmt.Errorf("%s refuses this text", p.name)
	}
	return nil
}

func (p *Process) kill() {
	if p.up {
		p.w.trace("%s is killed", p.name)
		p.up, p.deferred, p.waiting = false, nil, nil
	}
}

func (p *Process) freeze(d time.Duration) {
	if !p.up || p.frozen() {
		return
	}
	w, incarnation := p.w, p.incarnation
	w.trace("%s is frozen for %v", p.name, d)
	p.frozenUntil = w.now + d
	w.schedule(d, func() {
		if !p.up || p.incarnation != incarnation {
			return
		}
		deferred := p.deferred
		p.deferred = nil
		// Links don't preserve the order.
		w.rng.Shuffle(len(deferred), func(i, j int) { deferred[i], deferred[j] = deferred[j], deferred[i] })
		for _, do := range deferred {
			do()
		}
	})
}

func (p *Process) deliver(do func() controlplane.Output) {
	switch {
	case !p.up:
	case p.frozen():
		p.deferred = append(p.deferred, func() { p.execute(do()) })
	default:
		p.execute(do())
	}
}

func (p *Process) tick(incarnation int) {
	if !p.up || p.incarnation != incarnation {
		return
	}
	p.deliver(func() controlplane.Output { return p.control.Tick(p.clock()) })
	next := 50 * ms
	if p.frozen() {
		next = p.frozenUntil - p.w.now
	}
	p.w.schedule(next, func() { p.tick(incarnation) })
}

func (p *Process) execute(out controlplane.Output) {
	w := p.w
	if out.Write != nil {
		data, err := cbor.Marshal(out.Write.State)
		if err != nil {
			panic(err)
		}
		incarnation, seq := p.incarnation, out.Write.Seq
		p.diskIdleAt = max(p.diskIdleAt, w.now) + ms + w.randomUpTo(3*ms) // writes are sequential
		w.schedule(p.diskIdleAt-w.now, func() {
			if p.up && p.incarnation == incarnation {
				p.disk = data
				p.deliver(func() controlplane.Output { return p.control.Written(p.clock(), seq) })
			}
		})
	}
	if t := out.Parse; t != nil {
		incarnation := p.incarnation
		w.schedule(w.randomUpTo(20*ms), func() {
			if p.incarnation == incarnation {
				p.deliver(func() controlplane.Output { return p.control.ConfigParsed(p.clock(), t.Parse()) })
			}
		})
	}
	if out.GateChanged || out.Adopt != nil {
		p.updateGate()
	}
	if v, fate := p.control.RolloutMachine().Newest(); v != 0 {
		w.checkFate(p, v, fate)
	}
	for _, r := range out.Replies {
		switch t := r.Value.(type) {
		case rollout.WithdrawReply:
			w.checkWithdrawReply(p, p.withdrawCalls[r.CallID], t.Outcome)
		case consensus.Answer:
			switch version := p.putCalls[r.CallID]; t.Result {
			case consensus.ResultAccepted:
				w.checkAcknowledged(p, version)
			case consensus.ResultBusy: // no definite answer
			case consensus.ResultConflict:
				if !w.conflicting[version] {
					w.violate("AGAIN", "put of %d at %s: reported as a different text, and there is none", version, p.name)
				}
			default:
				w.violate("AGAIN", "put of %d at %s is refused: %v", version, p.name, t.Result)
			}
		}
	}
	for _, s := range out.Send {
		w.send(p, s)
	}
}

// updateGate applies a change of the gate, and decides the requests waiting there.
func (p *Process) updateGate() {
	p.gate = p.control.Gate()
	if p.gate.Allows(p.clock(), p.gate.Version) {
		p.w.noteServing(p, p.gate.Version)
	}
	waiting := p.waiting
	p.waiting = nil
	for _, arrived := range waiting {
		p.decide(arrived)
	}
}

const maxWait = 100 * ms

// decide decides a request that arrived at a given time, refuses it, or lets it wait.
func (p *Process) decide(arrived time.Duration) {
	w := p.w
	now := p.clock()
	if w.opt.Bug == rollout.BugStaleLeaseCheck {
		now = p.clockBase + time.Duration(float64(arrived)*p.clockRate)
	}
	gate := p.gate
	switch {
	case gate.Version == 0:
		w.result.Refused++
	case gate.Allows(now, gate.Version):
		w.result.LongestHold = max(w.result.LongestHold, min(w.now-arrived, maxWait))
		w.checkDecision(p, gate.Version)
	case gate.ReopensSoon && w.now-arrived < maxWait:
		p.waiting = append(p.waiting, arrived)
		if len(p.waiting) == 1 {
			incarnation := p.incarnation
			w.schedule(maxWait, func() {
				if p.up && p.incarnation == incarnation && !p.frozen() {
					p.updateGate()
				}
			})
		}
	default:
		w.result.Refused++
		if gate.ReopensSoon {
			w.result.RefusedInTurn++
		}
	}
}

// sendRequests sends requests as long as the process lives.
func (p *Process) sendRequests(incarnation int) {
	w := p.w
	if !p.up || p.incarnation != incarnation {
		return
	}
	if arrived := w.now; !w.quiet {
		if p.frozen() {
			p.deferred = append(p.deferred, func() { p.decide(arrived) })
		} else {
			p.decide(arrived)
		}
	}
	w.schedule(w.opt.RequestInterval/2+w.randomUpTo(w.opt.RequestInterval), func() { p.sendRequests(incarnation) })
}

// send delivers a message, with delays, duplicates and losses.
func (w *World) send(p *Process, s fsm.Send) {
	to := w.byAddr[s.To]
	if to == nil {
		return
	}
	w.checkMessage(p, to, s.Msg)
	if call, ok := s.Msg.(rollout.WithdrawRequest); ok && w.delayed != nil {
		w.delayed = append(w.delayed, call)
	}
	if to == p {
		incarnation, sent := p.incarnation, w.now
		w.schedule(0, func() {
			if p.incarnation == incarnation {
				p.deliver(func() controlplane.Output {
					w.noteProcessed(p.addr, p, s.Msg, sent)
					return p.control.Receive(p.clock(), p.addr, s.Msg)
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
	if w.rng.Float64() < w.duplication {
		n = 2
	}
	for range n {
		if w.rng.Float64() < w.loss {
			continue
		}
		d := w.linkDelay(p, to, size) + 100*time.Microsecond + w.randomUpTo(300*time.Microsecond+w.extraDelay)
		if to.zone != p.zone {
			d += 800 * time.Microsecond
		}
		incarnation, from, sent := to.incarnation, p.addr, w.now
		w.schedule(d, func() {
			if to.incarnation == incarnation && !w.blocked[[2]string{from, to.addr}] {
				w.noteReceived(from, to, s.Msg)
				to.deliver(func() controlplane.Output {
					w.noteProcessed(from, to, s.Msg, sent)
					return to.control.Receive(to.clock(), from, s.Msg)
				})
			}
		})
	}
}

// linkDelay is how long a message takes on the links of its sender and its receiver, queued behind earlier
// ones.
func (w *World) linkDelay(p, to *Process, size int) time.Duration {
	if w.opt.Mbit == 0 {
		return 0
	}
	transmission := func(q *Process) time.Duration {
		return time.Duration(float64(size) * 8 / lo.Ternary(q.core, w.opt.CoreMbit, w.opt.Mbit) * float64(time.Microsecond))
	}
	p.sendIdleAt = max(p.sendIdleAt, w.now) + transmission(p)
	to.receiveIdleAt = max(to.receiveIdleAt, p.sendIdleAt) + transmission(to)
	w.result.LongestQueue = max(w.result.LongestQueue, to.receiveIdleAt-w.now)
	return to.receiveIdleAt - w.now
}

// setBlocked blocks or unblocks messages in one direction.
func (w *World) setBlocked(from, to []*Process, blocked bool) {
	for _, a := range from {
		for _, b := range to {
			if a == b {
				continue
			}
			if blocked {
				w.blocked[[2]string{a.addr, b.addr}] = true
			} else {
				delete(w.blocked, [2]string{a.addr, b.addr})
			}
		}
	}
}

// primary is the process that considers itself the primary; nil: none.
func (w *World) primary() *Process {
	for _, p := range w.nodes {
		if p.up && p.control.ConsensusStatus().Role == "primary" {
			return p
		}
	}
	return nil
}

// configuration returns the text of a version. refused names a process that can't put it in force.
func (w *World) configuration(version uint32, confirm, within int, refused string) []byte {
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

// Put is an operator's call at a process. confirm and within apply to the next rollout.
func (w *World) Put(p *Process, version uint32, confirm, within int, refused string) {
	if p == nil || !p.up {
		return
	}
	w.trace("put %d at %s: confirm %d within %d refused by %q", version, p.name, confirm, within, refused)
	if _, ok := w.putAt[version]; !ok {
		w.putAt[version] = w.now
		w.result.Puts++
	}
	w.highestPut = max(w.highestPut, version)
	p.calls++
	id := p.calls
	p.putCalls[id] = version
	body := w.configuration(version, confirm, within, refused)
	if w.texts[version] == nil {
		w.texts[version] = body
	}
	w.conflicting[version] = w.conflicting[version] || !bytes.Equal(w.texts[version], body)
	p.deliver(func() controlplane.Output {
		return p.control.PutConfig(p.clock(), id, consensus.Doc{Version: version, Body: body})
	})
}

// Withdraw is an operator's call at a process.
func (w *World) Withdraw(p *Process, version uint32) {
	if p != nil && p.up {
		w.trace("withdraw %d at %s", version, p.name)
		p.calls++
		id := p.calls
		_, known := w.fates[version]
		p.withdrawCalls[id] = withdrawOrder{version, known}
		p.deliver(func() controlplane.Output { return p.control.Withdraw(p.clock(), id, version, "ops") })
	}
}
