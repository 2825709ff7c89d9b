package memberlist

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/fsm"
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
	mostSwift  = 8                      // rumours passed on at once between two rounds; the rest go together
	others     = 2                      // random ones beside the watchers that a rumour goes to
	drawEvery  = 10 * time.Millisecond  // and how long they stay the same, for each process known
	heldFor    = time.Second            // a version held so long is told to all,
	heldLate   = 5 * time.Second        // and one where nothing was told for so long
	tick       = 50 * time.Millisecond  // at which Tick is called
	lateAfter  = 100 * time.Millisecond // a tick that comes so late stops the detector's clock
	mostGiven  = 2048                   // entries given to others at once, and a quarter as many a second;
	leastGiven = 24                     // so many always, from which the way to others is found
	enough     = 3                      // who told us the same; then the others know it too
)

// What follows the size of the fleet, for each process known. At a hundred little of it is felt.
const (
	roundFor   = 350 * time.Microsecond // between two rounds of news, less the pace of ticks
	settleFor  = 500 * time.Microsecond // news is under way: tables that differ are left alone
	pauseFor   = 5 * time.Millisecond   // the longest between two exchanges of tables
	heldForOne = 10 * time.Millisecond  // held so long
	newWatch   = time.Millisecond       // more time for the first sign of one newly watched, beyond
	fewer      = 100                    // so many, with which also less news goes at once
)

// entry is a node with what is known of it here alone.
type entry struct {
	node  Node
	lost  bool          // held for gone because we ourselves are cut off: not told to anyone
	heard fsm.Time      // of a watched one: the last sign, or the start of the wait
	stood time.Duration // Machine.stood then
	asked int           // times since then
	via   string        // who last reached it when we couldn't
	ended fsm.Time      // since when it is gone
	held  uint32        // the newest version that it has said it holds, in this life
	mark  uint64        // of node
	spot  uint64        // its place on the ring
	since fsm.Time      // since when it is in its state, for people
}

func (e *entry) live() bool { return e.node.State != Gone && !e.lost }

type doubt struct {
	node Node
	till fsm.Time
}

// Machine is one process's part.
type Machine struct {
	self  Node
	rand  *rand.Rand
	seeds []string
	known map[string]bool // addresses from disk, and of forgotten nodes
	nodes map[string]*entry
	all   []*entry          // the same by address,
	round []*entry          // and by their places on the ring
	parts [mostParts]uint32 // sum, by parts
	sum   uint64            // the marks of those not gone
	lost  int               // how many are held for gone here alone
	me    *entry            // self's
	doubt map[string]doubt

	ring    []string // live ones by their hash, self among them
	stale   bool
	watched []string // by the ring
	after   []string // our watchers

	drew  []string // others that news goes to,
	drawn fsm.Time // since then

	born    fsm.Time
	now     fsm.Time
	ticked  fsm.Time
	heard   fsm.Time      // last message of anyone
	stood   time.Duration // how long the detector's clock has stood still because we were late
	stoodAt time.Duration // the same at heard
	beat    fsm.Time      // next ones
	hello   fsm.Time
	try     fsm.Time
	swapped fsm.Time
	pause   time.Duration // from then to the next exchange
	altered fsm.Time      // when the table last changed
	given   float64       // entries that may be given now
	wipe    fsm.Time
	told    map[string]fsm.Time // when it was last told that it is held for gone
	swift   int
	late    map[string]*news // by address, what waits to be told
	rumour  fsm.Time         // when news was last told together
	heldAt  fsm.Time         // since when our version is held
	saidAt  fsm.Time         // when all were last told of our entry
	out     Out
}

// New starts with nothing but seeds. A start's Life should be higher than those before
// it; where it isn't, the others' memory of the old one mends that.
func New(self Node, seeds []string, seed uint64, now fsm.Time) *Machine {
	self.State, self.Seq, self.Encoding = Up, max(self.Seq, 1), formPacked
	m := &Machine{
		self: self, rand: rand.New(rand.NewPCG(seed, 0xb0d)),
		known: map[string]bool{}, nodes: map[string]*entry{}, doubt: map[string]doubt{},
		told: map[string]fsm.Time{}, late: map[string]*news{},
		born: now, now: now, ticked: now, heard: now, swapped: now - swapEvery, pause: swapEvery, stale: true, swift: mostSwift, given: mostGiven,
	}
	m.beat, m.hello, m.try = now, now, now
	m.me = m.enter(self.Addr)
	m.me.since = now
	m.put(m.me, self)
	m.SetSeeds(now, seeds)
	return m
}

// Seeds replaces the seeds.
func (m *Machine) SetSeeds(now fsm.Time, seeds []string) {
	m.seeds = slices.DeleteFunc(slices.Clone(seeds), func(a string) bool { return a == m.self.Addr || a == "" })
	m.hello, m.try = now, now
}

// Know adds addresses remembered from an earlier life.
func (m *Machine) AddKnownAddresses(_ fsm.Time, addrs []string) {
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
func (m *Machine) Leave(now fsm.Time) Out {
	m.now = now
	if m.self.State == Up {
		m.self.State = Leaving
		m.renew()
		m.tell()
	}
	return m.take()
}

// share is what one does of a work that the fleet shares, where one of a hundred does so much.
func (m *Machine) share(of float64) float64 { return of * fewer / float64(max(fewer, len(m.ring))) }

// each is a span that grows with the fleet, from a least one on.
func (m *Machine) each(least, one time.Duration) time.Duration {
	return max(least, time.Duration(len(m.ring))*one)
}

// SetHeld notes the configuration's version held here. The watchers hear it with the
// next tick's beat, so that one who lacks it has whom to ask; all others only need it
// for people, and are told seldom: else each version costs each node a rumour of each.
func (m *Machine) SetConfigVersion(v uint32) {
	if m.me.held != v {
		m.me.held, m.heldAt, m.beat = v, m.now, m.now
	}
}

// lag tells all what is held here, once it has been for a while.
func (m *Machine) lag() {
	if m.me.held != m.self.ConfigVersion && (m.now-m.heldAt >= m.each(heldFor, heldForOne) || m.now-m.saidAt >= m.each(heldLate, 5*heldForOne)) {
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
	me := m.me
	m.self.ConfigVersion, m.saidAt = me.held, m.now
	if me.node.State != m.self.State {
		me.since = m.now
	}
	brief := me.node.Incarnation == m.self.Incarnation
	m.put(me, m.self)
	m.later(m.self.Addr, brief, "")
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
	m.flip(e)
	e.node, e.mark = n, n.mark()
	m.flip(e)
	m.altered = m.now
}

// flip takes an entry into the sums, or out of them.
func (m *Machine) flip(e *entry) {
	if e.node.State != Gone {
		m.sum ^= e.mark
		m.parts[part(e, mostParts)] ^= uint32(e.mark)
	}
}

// setLost notes whether an entry is held for gone here alone, which no digest shows.
func (m *Machine) setLost(e *entry, lost bool) {
	if e.lost != lost {
		if e.lost = lost; lost {
			m.lost++
		} else {
			m.lost--
		}
	}
}

// remove forgets an entry that is gone or lost.
func (m *Machine) remove(e *entry) {
	m.flip(e)
	m.setLost(e, false)
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
		n.ConfigVersion = max(n.ConfigVersion, e.held)
		if e.lost {
			n.State = Gone
		}
		v = append(v, n)
	}
	return v
}

// Alone reports whether no more than one is up.
func (m *Machine) Alone() bool {
	up := 0
	for _, e := range m.all {
		if !e.lost && e.node.State == Up {
			if up++; up > 1 {
				return false
			}
		}
	}
	return true
}

// Up is the nodes that are up and not leaving, sorted by address.
func (m *Machine) UpNodes() []Node {
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
		m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
	}
}

// Tick beats, watches, tries those that may be there, and tells what waited.
func (m *Machine) Tick(now fsm.Time) Out {
	m.now = now
	if now-m.ticked > ownGap {
		m.thaw()
	}
	m.stood += max(0, now-m.ticked-lateAfter)
	m.given = min(m.share(mostGiven), m.given+(now-m.ticked).Seconds()*m.share(mostGiven)/4)
	m.ticked = now
	m.settle()
	m.watch()
	m.resolve()
	m.lag()
	if now-m.rumour >= m.each(0, roundFor)-tick {
		m.rumour = now
		m.swift = min(mostSwift, m.swift+max(1, int(m.share(mostSwift))))
		m.tell()
	}
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
	m.heard, m.stoodAt = m.now, m.stood
	for _, e := range m.all {
		m.hear(e, m.now)
	}
	for a, d := range m.doubt {
		d.till = m.now + doubtFor
		m.doubt[a] = d
	}
	m.beat, m.hello, m.try = m.now, m.now, m.now
}

// hear begins a node's wait anew.
func (m *Machine) hear(e *entry, at fsm.Time) { e.heard, e.stood, e.asked = at, m.stood, 0 }

// silent is for how long a node has said nothing, by the detector's clock: it stands still while we
// are late, as what came meanwhile may wait to be read.
func (m *Machine) silent(e *entry) time.Duration { return m.now - e.heard - (m.stood - e.stood) }

// quiet is the same of all.
func (m *Machine) quiet() time.Duration { return m.now - m.heard - (m.stood - m.stoodAt) }

func (m *Machine) sign() Heartbeat {
	return Heartbeat{m.self.Incarnation, m.self.Seq, m.hash(), m.me.held}
}

// hash covers all nodes not gone. What is lost to us alone counts as it was.
func (m *Machine) hash() uint64 { return m.sum }
