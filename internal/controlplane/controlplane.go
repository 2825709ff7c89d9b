// Package controlplane ties the machines of one process together: what membership learns goes
// to the list, to agreement and to the counters; what is agreed goes to the meter. It
// is a machine itself: sockets, disk, clock and the data plane are at its user's rim.
package controlplane

import (
	"reflect"
	"slices"
	"time"

	"github.com/samber/lo"

	"asterwell/internal/consensus"
	"asterwell/internal/drainpermit"
	"asterwell/internal/faultrules"
	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
	"asterwell/internal/quotas"
	"asterwell/internal/registry"
	"asterwell/internal/rollout"
	"asterwell/internal/sysconfig"
)

// Config is what a process knows about itself.
type Config struct {
	Self       string // mesh address
	Name, Zone string
	Control    string // where it takes calls
	Member     bool   // has a disk
	Genesis    bool   // the disk is empty because nothing was ever there
	Losses     int
	Heartbeat  time.Duration // the pace of the servers' beats
	Seeds      []string
	Life, Seed uint64
	Faults     Faults
	Check      func(text []byte) error // whether a configuration that can be read can be taken; nil: it can
	Bugs       Bugs
}

// Meter is what a Knot tells a *quotas.Meter. Requests are metered beside the loop, so
// that the user may have put a lock round it.
type Meter interface {
	SetGateways(now fsm.Time, gateways int, holders []string)
	SetRoster(now fsm.Time, r *quotas.Roster)
	Receive(now fsm.Time, from string, msg any) []fsm.Send
	Tick(now fsm.Time) []fsm.Send
	ReadOverdue(now fsm.Time, holder string) bool // it leaves adds unanswered
}

// Reply ends a call: a registry.Answer or a consensus.Answer.
type Reply struct {
	Call  uint64
	Value any
}

// Gateways is how many share the traffic, and which one this is (-1: none).
type Gateways struct{ N, Index int }

// Out is what follows from an input.
type Out struct {
	Send    []fsm.Send // some may be for this process itself
	Write   *consensus.Write
	Replies []Reply
	Adopt   *sysconfig.Table  // to be in force here
	Text    *Text             // to be read beside the loop, then tell Read
	Refused error             // a configuration that is kept and can't be in force here
	Doc     *consensus.Doc    // the text of either
	Gate    bool              // Gate has changed
	Serve   bool              // Servers has changed,
	Changes []registry.Server // by these
	Members bool              // View has changed, and
	Shares  Gateways          // this with it
	Rules   *faultrules.Write // of fault rules
	News    string            // of them, for the log
	Fenced  bool              // the disk had been put back to an older state
	Drains  bool              // Draining has changed; the next tick tells it
}

// Knot is one process's machines.
type Knot struct {
	self    string
	bond    *memberlist.Machine
	lore    *registry.Machine
	pact    *consensus.Machine
	accord  *rollout.Machine
	prepare uint64 // what is prepared is on disk with that write; 0: it is
	meter   Meter
	counter *quotas.Counter
	bane    *faultrules.Machine
	cede    *drainpermit.Machine
	round   map[string]*detour // to holders
	turn    int                // where to go on among ways,
	asking  int                // and among those that leave questions unanswered
	swift   int                // changes of membership taken in since the tick
	late    bool               // there are more
	looked  fsm.Time           // when they were last taken in, and how many processes there were
	seen    int
	tickAt  fsm.Time
	stood   bool // this process stood still before the tick: it is not others that are late

	contact   contact
	seated    consensus.Ballot // whose seats the list of servers knows
	seatsTold bool
	bugs      Bugs

	reader  reader
	taken   *Reading // while it is put in force
	judge   func(text []byte) error
	version uint32
	leaving bool
	ready   bool
	out     Out
}

// New starts a process. A nil disk is an empty one, or none.
func New(c Config, meter Meter, disk *consensus.Disk, now fsm.Time) *Knot {
	k := &Knot{
		self: c.Self, meter: meter, bane: c.faults(now), counter: quotas.NewCounter(c.Self, c.Life), round: map[string]*detour{},
		bond: memberlist.New(memberlist.Node{Addr: c.Self, Name: c.Name, Zone: c.Zone, Control: c.Control, Member: c.Member,
			Life: c.Life}, c.Seeds, c.Seed, now),
		lore:   registry.New(c.Self, c.Zone, c.Heartbeat, c.Seed, now),
		accord: rollout.New(rollout.Config{Self: c.Self, Name: c.Name, Zone: c.Zone, Seed: c.Seed}), judge: c.Check,
		cede: drainpermit.New(c.Self, cedeSalt(c), c.Bugs.Cede),
		bugs: c.Bugs, contact: contact{asked: map[uint64]fsm.Time{}, pause: proveAgain},
	}
	k.pact = consensus.New(consensus.Config{Self: c.Self, Name: c.Name, Zone: c.Zone, Member: c.Member, Genesis: c.Genesis,
		Losses: c.Losses, Seeds: c.Seeds, Seed: c.Seed, Enter: k.accord.PrepareDocument}, disk, now)
	k.pact.SetBug(c.Bugs.Pact)
	k.lore.SetBug(c.Bugs.Lore)
	k.seats()
	return k
}

// Take takes a message of a process, this one among them.
func (k *Knot) Take(now fsm.Time, from string, msg any) Out {
	switch of, ok := owners[reflect.TypeOf(msg)]; {
	case !ok:
	case of == ofBond:
		k.bonded(now, k.bond.Take(now, from, msg))
	case of == ofLore:
		k.learnt(k.lore.Take(now, from, msg))
	case of == ofPact:
		k.agreed(now, k.pact.Take(now, from, msg))
	case of == ofBane:
		k.ruled(func() faultrules.Out { return k.bane.Take(now, from, msg) })
	case of == ofAccord:
		k.together(now, k.accord.Receive(now, from, msg))
	case of == ofKnot:
		k.via(now, from, msg.(Via))
	case of == ofToll:
		if a, ok := msg.(quotas.Answer); ok && !a.Probe {
			if d := k.round[from]; d != nil {
				d.straight(a)
			}
		}
		k.send(k.counter.Receive(now, from, msg))
		k.send(k.meter.Receive(now, from, msg))
	}
	return k.end()
}

// Tick lets time pass.
func (k *Knot) Tick(now fsm.Time) Out {
	k.swift = 0
	k.stood = k.seen > fewer && now-k.tickAt > standstill
	k.tickAt = now
	out := k.bond.Tick(now)
	out.Changed = out.Changed || k.late
	k.bonded(now, out)
	k.learnt(k.lore.Tick(now))
	k.agreed(now, k.pact.Tick(now))
	k.together(now, k.accord.Tick(now))
	k.look(now, k.counter.Tick(now))
	k.count(now)
	k.meet(now)
	if k.bane.Awake() {
		k.ruled(func() faultrules.Out { return k.bane.Tick(now) })
	}
	k.cede.Fit(k.fit(), k.leaving)
	k.ceded(k.cede.Tick(now))
	if ready := k.fit() && !k.cede.Draining(); ready != k.ready {
		k.ready = ready
		k.bond.SetReady(ready)
	}
	return k.end()
}

// Strain tells the counter here how long, lately, an add had to wait among many others.
func (k *Knot) Strain(now fsm.Time, waited time.Duration) { k.counter.ReportQueueDelay(now, waited) }

// Count sends the adds that should not wait for the tick.
func (k *Knot) Count(now fsm.Time) Out {
	k.count(now)
	return k.end()
}

// Beat takes a server's call.
func (k *Knot) Beat(now fsm.Time, call uint64, b registry.Beat) Out {
	k.learnt(k.lore.Beat(now, call, b))
	return k.end()
}

// Delete takes a server's last call.
func (k *Knot) Delete(now fsm.Time, call uint64, id string) Out {
	k.learnt(k.lore.Delete(now, call, id))
	return k.end()
}

// Put takes an operator's configuration, which has been checked.
func (k *Knot) Put(now fsm.Time, call uint64, doc consensus.Doc) Out {
	k.agreed(now, k.pact.Put(now, call, doc))
	return k.end()
}

// Get reads the newest configuration.
func (k *Knot) Get(now fsm.Time, call uint64) Out {
	k.agreed(now, k.pact.Get(now, call))
	return k.end()
}

// Written says that a write, and all before it, are synced.
func (k *Knot) Written(now fsm.Time, seq uint64) Out {
	k.agreed(now, k.pact.Written(now, seq))
	if k.prepare != 0 && seq >= k.prepare {
		k.prepare = 0
		k.together(now, k.accord.DocumentSynced(now))
	}
	return k.end()
}

// Leave says that this process will end.
func (k *Knot) Leave(now fsm.Time) Out {
	k.leaving, k.ready = true, false
	k.cede.Fit(false, true)
	k.bonded(now, k.bond.Leave(now))
	k.agreed(now, k.pact.Leave(now, consensus.Leaves))
	return k.end()
}

// Depart says that this process ends as soon as the others can go on without it, or soon in any case.
func (k *Knot) Depart(now fsm.Time, n consensus.Notice) Out {
	k.agreed(now, k.pact.Leave(now, n))
	return k.end()
}

// Left reports whether they can.
func (k *Knot) Left() bool { return k.pact.Left() }

// Seeds replaces the addresses to turn to.
func (k *Knot) Seeds(now fsm.Time, seeds []string) {
	k.bond.Seeds(now, seeds)
	k.pact.Seeds(now, seeds)
}

// Ready reports whether requests can be served here.
func (k *Knot) Ready() bool { return k.ready }

// Alone reports whether nobody else is seen.
func (k *Knot) Alone() bool { return k.bond.Alone() }

// Version is that of the configuration in force here.
func (k *Knot) Version() uint32 { return k.version }

// View is every process known.
func (k *Knot) View() []memberlist.Node { return k.bond.View() }

// Servers is every server known.
func (k *Knot) Servers() []registry.Server { return k.lore.Servers() }

// Gateways is every process with what is known of it here.
func (k *Knot) Gateways(now fsm.Time) []memberlist.Sight { return k.bond.Sights(now) }

// Services is every server with what is known of it here.
func (k *Knot) Services(now fsm.Time) []registry.Sight { return k.lore.Sights(now) }

// Epochs are those that this process has seen, the newest last.
func (k *Knot) Epochs() []consensus.Change { return k.pact.Past() }

// Pact tells how agreement stands.
func (k *Knot) Pact() consensus.Status { return k.pact.Status() }

func (k *Knot) end() Out {
	out := k.out
	k.out = Out{}
	return out
}

func (k *Knot) send(out []fsm.Send) { k.out.Send = append(k.out.Send, out...) }

// mostSwift is how many changes of membership are taken in at once between two ticks;
// more of them, as where all start, go together. Each is a look at all nodes.
const (
	mostSwift = 2
	lookFor   = 500 * time.Microsecond // between two, for each process known beyond
	fewer     = 100                    // so many

	standstill = 100 * time.Millisecond // between two ticks, where there are more: each that is late looks for ways otherwise
)

// bonded carries out what membership wants.
func (k *Knot) bonded(now fsm.Time, out memberlist.Out) {
	k.send(out.Send)
	for _, h := range out.Holds {
		k.pact.Holds(h.Addr, h.Held)
	}
	if !out.Changed {
		return
	}
	if k.swift++; k.swift > mostSwift || now-k.looked < time.Duration(max(0, k.seen-fewer))*lookFor {
		k.late = true
		return
	}
	view := k.bond.View()
	k.late, k.looked, k.seen = false, now, len(view)
	up := lo.Filter(view, func(n memberlist.Node, _ int) bool { return n.State == memberlist.Up })
	k.learnt(k.lore.Nodes(now, view)) // who leaves still serves, and must hear of servers
	k.pact.Peers(now, lo.Map(view, func(n memberlist.Node, _ int) consensus.Peer {
		return consensus.Peer{Addr: n.Addr, Name: n.Name, Zone: n.Zone, Member: n.Member, Up: n.State == memberlist.Up, Held: n.Held}
	}))
	k.accord.SetNodes(lo.Map(up, func(n memberlist.Node, _ int) rollout.Node {
		return rollout.Node{Name: n.Name, Zone: n.Zone, Addr: n.Addr, Member: n.Member}
	}))
	k.peers(view)
	k.out.Members = true
	k.bane.Nodes(lo.FilterMap(view, func(n memberlist.Node, _ int) (faultrules.Node, bool) {
		return faultrules.Node{Addr: n.Addr, Life: n.Life}, n.State != memberlist.Gone
	}))
	k.out.Shares = Gateways{len(up), slices.IndexFunc(up, func(n memberlist.Node) bool { return n.Addr == k.self })}
	holders := inOrder(up)
	k.counter.SetGateways(holders)
	k.meter.SetGateways(now, len(up), holders)
}

// inOrder is the agreed order for duties that one process does, of processes by their
// addresses: those with a disk first, since they have more of a processor and are the
// last to be taken away.
func inOrder(up []memberlist.Node) []string {
	all := make([]string, 0, len(up))
	for _, members := range []bool{true, false} {
		for i := range up {
			if up[i].Member == members {
				all = append(all, up[i].Addr)
			}
		}
	}
	return all
}

// agreed carries out what agreement wants.
func (k *Knot) agreed(now fsm.Time, out consensus.Out) {
	if out.Write != nil {
		k.out.Write = out.Write
	}
	if out.Fenced {
		k.out.Fenced = true
		k.bane.Forget()
	}
	k.send(out.Send)
	for _, a := range out.Answers {
		if k.proof(now, a) {
			k.out.Replies = append(k.out.Replies, Reply{a.ID, a})
		}
	}
	k.seats()
	k.roll(now, out)
}

// learnt carries out what the list of servers wants.
func (k *Knot) learnt(out registry.Out) {
	k.send(out.Send)
	for _, a := range out.Answers {
		k.out.Replies = append(k.out.Replies, Reply{a.Call, a})
	}
	k.out.Serve = k.out.Serve || len(out.Changes) > 0
	k.out.Changes = append(k.out.Changes, out.Changes...)
}
