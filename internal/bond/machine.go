package bond

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/plane"
)

const (
	beatEvery  = 400 * time.Millisecond
	askAfter   = 800 * time.Millisecond // a silent node is asked, straight and through others
	askAgain   = 200 * time.Millisecond
	relays     = 4
	goneAfter  = 1300 * time.Millisecond // and then held for gone
	ownGap     = 400 * time.Millisecond  // between our ticks: it was we who stood still
	helloAlone = 300 * time.Millisecond
	helloLost  = 500 * time.Millisecond
	forget     = 30 * time.Second
	wipeEvery  = time.Second
	doubtFor   = 500 * time.Millisecond
	swapEvery  = 100 * time.Millisecond
	mostKnown  = 256
	mostTries  = 16
	mostSwift  = 8               // rumours passed on at once between two ticks; the rest go together
	others     = 2               // random ones beside the watchers that a rumour goes to
	heldFor    = time.Second     // a version held so long is told to all,
	heldLate   = 5 * time.Second // and one where nothing was told for so long
)

// entry is a node with what is known of it here alone.
type entry struct {
	node  Node
	lost  bool       // held for gone because we ourselves are cut off: not told to anyone
	heard plane.Time // of a watched one: the last sign, or the start of the wait
	asked int        // times since then
	via   string     // who last reached it when we couldn't
	ended plane.Time // since when it is gone
	held  uint32     // the newest version that it has said it holds, in this life
	mark  uint64     // of node
	spot  uint64     // its place on the ring
	since plane.Time // since when it is in its state, for people
}

func (e *entry) live() bool { return e.node.State != Gone && !e.lost }

type doubt struct {
	node Node
	till plane.Time
}

// Machine is one process's part.
type Machine struct {
	self  Node
	rand  *rand.Rand
	seeds []string
	known map[string]bool // addresses from disk, and of forgotten nodes
	nodes map[string]*entry
	all   []*entry // the same by address,
	round []*entry // and by their places on the ring
	sum   uint64   // the marks of those not gone
	doubt map[string]doubt

	ring    []string // live ones by their hash, self among them
	stale   bool
	watched []string // by the ring
	after   []string // our watchers

	born    plane.Time
	now     plane.Time
	ticked  plane.Time
	heard   plane.Time // last message of anyone
	beat    plane.Time // next ones
	hello   plane.Time
	try     plane.Time
	swapped plane.Time
	wipe    plane.Time
	told    map[string]plane.Time // when it was last told that it is held for gone
	swift   int
	late    map[string]bool // addresses whose news waits for the tick
	heldAt  plane.Time      // since when our version is held
	saidAt  plane.Time      // when all were last told of our entry
	out     Out
}

// New starts with nothing but seeds. A start's Life should be higher than those before
// it; where it isn't, the others' memory of the old one mends that.
func New(self Node, seeds []string, seed uint64, now plane.Time) *Machine {
	self.State, self.Seq = Up, max(self.Seq, 1)
	m := &Machine{
		self: self, rand: rand.New(rand.NewPCG(seed, 0xb0d)),
		known: map[string]bool{}, nodes: map[string]*entry{}, doubt: map[string]doubt{},
		told: map[string]plane.Time{}, late: map[string]bool{},
		born: now, now: now, ticked: now, heard: now, swapped: now - swapEvery, stale: true,
	}
	m.beat, m.hello, m.try = now, now, now
	me := m.enter(self.Addr)
	me.since = now
	m.put(me, self)
	m.Seeds(now, seeds)
	return m
}

// Seeds replaces the seeds.
func (m *Machine) Seeds(now plane.Time, seeds []string) {
	m.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == m.self.Addr || a == "" })
	m.hello, m.try = now, now
}

// Know adds addresses remembered from an earlier life.
func (m *Machine) Know(_ plane.Time, addrs []string) {
	for _, a := range addrs {
		m.remember(a)
	}
}

func (m *Machine) remember(addr string) {
	if addr != m.self.Addr && addr != "" && len(m.known) < mostKnown {
		m.known[addr] = true
	}
}

// Leave says that this process will end; it goes on beating until then.
func (m *Machine) Leave(now plane.Time) Out {
	m.now = now
	if m.self.State == Up {
		m.self.State = Leaving
		m.renew()
		m.tell()
	}
	return m.take()
}

// SetHeld notes the configuration's version held here. The watchers hear it with the
// next tick's beat, so that one who lacks it has whom to ask; all others only need it
// for people, and are told seldom: else each version costs each node a rumour of each.
func (m *Machine) SetHeld(v uint32) {
	if me := m.nodes[m.self.Addr]; me.held != v {
		me.held, m.heldAt, m.beat = v, m.now, m.now
	}
}

// lag tells all what is held here, once it has been for a while.
func (m *Machine) lag() {
	if m.nodes[m.self.Addr].held != m.self.Held && (m.now-m.heldAt >= heldFor || m.now-m.saidAt >= heldLate) {
		m.say()
	}
}

// SetReady notes whether this process calls itself ready.
func (m *Machine) SetReady(ready bool) {
	if m.self.Ready != ready {
		m.self.Ready = ready
		m.say()
	}
}

// renew is for when our entry is another.
func (m *Machine) renew() {
	m.say()
	m.out.Changed = true
	m.stale = true
}

// say gives our own entry its next version, and leaves it to be told.
func (m *Machine) say() {
	m.self.Seq++
	me := m.nodes[m.self.Addr]
	m.self.Held, m.saidAt = me.held, m.now
	if me.node.State != m.self.State {
		me.since = m.now
	}
	m.put(me, m.self)
	m.late[m.self.Addr] = true
}

// enter makes an entry for an address that has none.
func (m *Machine) enter(addr string) *entry {
	e := &entry{node: Node{Addr: addr, State: Gone}, spot: xxhash.Sum64String(addr)}
	i, _ := slices.BinarySearchFunc(m.all, addr, byAddr)
	j, _ := slices.BinarySearchFunc(m.round, e, bySpot)
	m.nodes[addr], m.all, m.round = e, slices.Insert(m.all, i, e), slices.Insert(m.round, j, e)
	return e
}

// put takes a word into an entry.
func (m *Machine) put(e *entry, n Node) {
	if e.node.State != Gone {
		m.sum ^= e.mark
	}
	e.node, e.mark = n, n.mark()
	if n.State != Gone {
		m.sum ^= e.mark
	}
}

// remove forgets an entry that is gone or lost.
func (m *Machine) remove(e *entry) {
	if e.node.State != Gone {
		m.sum ^= e.mark
	}
	i, _ := slices.BinarySearchFunc(m.all, e.node.Addr, byAddr)
	j, _ := slices.BinarySearchFunc(m.round, e, bySpot)
	m.all, m.round = slices.Delete(m.all, i, i+1), slices.Delete(m.round, j, j+1)
	delete(m.nodes, e.node.Addr)
}

func byAddr(e *entry, addr string) int { return strings.Compare(e.node.Addr, addr) }

func bySpot(a, b *entry) int {
	return cmp.Or(cmp.Compare(a.spot, b.spot), cmp.Compare(a.node.Addr, b.node.Addr))
}

// View is every node, the gone ones too until they are forgotten, sorted by address.
func (m *Machine) View() []Node {
	v := make([]Node, 0, len(m.all))
	for _, e := range m.all {
		n := e.node
		n.Held = max(n.Held, e.held)
		if e.lost {
			n.State = Gone
		}
		v = append(v, n)
	}
	return v
}

// Up is the nodes that are up and not leaving, sorted by address.
func (m *Machine) Up() []Node {
	return slices.DeleteFunc(m.View(), func(n Node) bool { return n.State != Up })
}

// take hands over what has gathered.
func (m *Machine) take() Out {
	o := m.out
	m.out = Out{}
	return o
}

func (m *Machine) send(to string, msg any) {
	if to != m.self.Addr {
		m.out.Send = append(m.out.Send, plane.Send{To: to, Msg: msg})
	}
}

// Tick beats, watches, tries those that may be there, and tells what waited.
func (m *Machine) Tick(now plane.Time) Out {
	m.now = now
	if now-m.ticked > ownGap {
		m.thaw()
	}
	m.ticked = now
	m.swift = 0
	m.settle()
	m.watch()
	m.resolve()
	m.lag()
	m.tell()
	if now >= m.beat {
		m.beat = now + beatEvery
		for _, w := range m.watchers() {
			m.send(w, m.sign())
		}
	}
	m.seek()
	m.expire()
	return m.take()
}

// thaw: the silence was ours, so every wait begins again.
func (m *Machine) thaw() {
	m.heard = m.now
	for _, e := range m.all {
		e.heard, e.asked = m.now, 0
	}
	for a, d := range m.doubt {
		d.till = m.now + doubtFor
		m.doubt[a] = d
	}
	m.beat, m.hello, m.try = m.now, m.now, m.now
}

func (m *Machine) sign() Beat {
	return Beat{m.self.Life, m.self.Seq, m.hash(), m.nodes[m.self.Addr].held}
}

// hash covers all nodes not gone. What is lost to us alone counts as it was.
func (m *Machine) hash() uint64 { return m.sum }
