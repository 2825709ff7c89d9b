package consensus

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"asterwell/internal/fsm"
)

const ms = time.Millisecond

// world runs processes in a virtual time, brings failures about, and judges.
type world struct {
	rng     *rand.Rand
	now     time.Duration
	queue   fsm.EventQueue
	order   uint64
	nodes   []*node
	byAddr  map[string]*node
	cut     map[[2]string]bool
	loss    float64
	twice   float64
	jitter  time.Duration
	losses  int
	old     string        // runs a version before,
	was     func(any) any // whose messages these are; nil: one that knows no ledger
	oldest  bool          // nor of tokens, packed documents and leaves
	bug     Bug
	amnesia bool // what was wiped claims its former memory
	seeds   []string

	bodies map[uint32]string // committed, as first adopted
	acked  uint32
	texts  map[uint32]string // acknowledged under a number: one
	denied map[string]bool   // number and text that were told to differ
	puts   []*op
	calls  map[uint64]*op
	lastID uint64
	sent   int
	broken *verdict
	moment int // events until fault
	fault  func()
	trace  func(string, ...any)
	seen   func(to string, msg any) // each message that is sent; nil: nobody looks
}

type op struct {
	node  *node
	life  int
	read  bool
	doc   Doc
	at    time.Duration
	floor uint32 // acked before the call
	done  *Answer
	took  time.Duration
}

type node struct {
	cfg     Config
	m       *Machine
	life    int // counts starts
	up      bool
	gone    bool
	frozen  time.Duration
	ice     int // counts freezes
	stalled time.Duration
	synced  *DurableState
	cache   []Write
	ready   time.Duration // when the disk is through with what it has
	adopted uint32
}

func newWorld(seed uint64, members, followers, losses int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 7)), byAddr: map[string]*node{}, cut: map[[2]string]bool{},
		losses: losses, bodies: map[uint32]string{}, calls: map[uint64]*op{}, texts: map[uint32]string{}, denied: map[string]bool{}, jitter: 4 * ms,
		trace: func(string, ...any) {}}
	for i := range members + followers {
		w.add(i < members, i < members)
	}
	return w
}

// add makes a process; it is not started yet.
func (w *world) add(member, genesis bool) *node {
	addr := fmt.Sprintf("n%02d", len(w.nodes))
	n := &node{cfg: Config{Self: addr, Name: addr, Zone: string(rune('a' + len(w.nodes)%3)), Member: member,
		Genesis: genesis, ToleratedLosses: w.losses}}
	w.nodes, w.byAddr[addr] = append(w.nodes, n), n
	if len(w.seeds) < 3 {
		w.seeds = append(w.seeds, addr)
	}
	return n
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, fsm.Event{At: w.now + d, Sequence: w.order, Run: do})
}

func (w *world) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].At <= end && w.broken == nil {
		e := heap.Pop(&w.queue).(fsm.Event)
		w.now = e.At
		if w.moment--; w.moment == 0 {
			w.fault()
		}
		e.Run()
	}
	w.now = end
}

func (w *world) fail(form string, args ...any) {
	if w.broken == nil {
		w.broken = &verdict{fmt.Sprintf(form, args...), w.now, false}
	}
}

// late is a failure of going on, not of safety.
func (w *world) late(form string, args ...any) {
	if w.broken == nil {
		w.broken = &verdict{fmt.Sprintf(form, args...), w.now, true}
	}
}

type verdict struct {
	what string
	at   time.Duration
	late bool
}

func (v *verdict) Error() string { return fmt.Sprintf("at %v: %s", v.at, v.what) }

func (w *world) start(n *node) {
	if n.up || n.gone {
		return
	}
	n.up, n.frozen, n.adopted = true, 0, 0
	n.life++
	n.cfg.Seed, n.cfg.Seeds = w.rng.Uint64(), w.seeds
	var d *DurableState
	if n.synced != nil {
		c := *n.synced
		d = &c
	}
	old := n.m
	n.m = New(n.cfg, d, w.now)
	if w.amnesia && d == nil && old != nil {
		n.m.state.DiskID = old.state.DiskID
	}
	n.m.bug = w.bug
	w.tick(n, n.life)
}

func (w *world) setBug(b Bug) {
	w.bug = b
	for _, n := range w.nodes {
		n.m.bug = b
	}
}

func (w *world) tick(n *node, life int) {
	if !n.up || n.life != life {
		return
	}
	if n.frozen <= w.now {
		if w.rng.IntN(8) == 0 || w.now < 100*ms {
			n.m.SetPeers(w.now, w.peers())
		}
		w.apply(n, n.m.Tick(w.now))
	}
	w.after(50*ms, func() { w.tick(n, life) })
}

func (w *world) peers() []Peer {
	var p []Peer
	for _, n := range w.nodes {
		if n.m == nil || n.gone {
			continue
		}
		q := Peer{Addr: n.cfg.Self, Zone: n.cfg.Zone, Member: n.cfg.Member, Up: n.up && n.frozen <= w.now}
		if h := n.m.Committed(); h != nil {
			q.Version = h.Version
		}
		p = append(p, q)
	}
	return p
}

// input gives something to a process, when it has thawed if it is frozen.
func (w *world) input(n *node, life int, do func() Out) {
	switch {
	case !n.up || n.life != life:
	case n.frozen > w.now:
		w.after(n.frozen-w.now, func() { w.input(n, life, do) })
	default:
		w.apply(n, do())
	}
}

func (w *world) apply(n *node, out Out) {
	life := n.life
	if out.Write != nil {
		n.cache = append(n.cache, *out.Write)
		seq := out.Write.Seq
		n.ready = max(n.ready, w.now, n.stalled) + ms + time.Duration(w.rng.Int64N(int64(4*ms)))
		w.after(n.ready-w.now, func() { w.sync(n, life, seq) })
	}
	for _, s := range out.Send {
		w.carry(n.cfg.Self, s)
		if w.rng.Float64() < w.twice {
			w.carry(n.cfg.Self, s)
		}
	}
	if a := out.Apply; a != nil {
		if a.Version <= n.adopted {
			w.fail("%s adopts %d after %d", n.cfg.Self, a.Version, n.adopted)
		}
		n.adopted = a.Version
		if b, ok := w.bodies[a.Version]; ok && b != string(a.Body) {
			w.fail("%s adopts %d %q, others %q", n.cfg.Self, a.Version, a.Body, b)
		}
		w.bodies[a.Version] = string(a.Body)
	}
	for _, a := range out.Answers {
		w.answered(n, a)
	}
}

func (w *world) sync(n *node, life int, seq uint64) {
	if n.life != life || !n.up || len(n.cache) == 0 {
		return
	}
	if n.stalled > w.now {
		w.after(n.stalled-w.now, func() { w.sync(n, life, seq) })
		return
	}
	for len(n.cache) > 0 && n.cache[0].Seq <= seq {
		d := n.cache[0].State
		n.synced, n.cache = &d, n.cache[1:]
	}
	w.input(n, life, func() Out { return n.m.WriteDone(w.now, seq) })
}

func (w *world) carry(from string, s fsm.Send) {
	if w.old != "" && (from == w.old || s.To == w.old) {
		if w.was == nil {
			w.was = older
		}
		if s.Msg = w.was(s.Msg); w.oldest {
			s.Msg = eldest(s.Msg)
		}
	}
	w.sent++
	if w.seen != nil {
		w.seen(s.To, s.Msg)
	}
	if w.rng.Float64() < w.loss {
		return
	}
	d := ms + time.Duration(w.rng.Int64N(int64(w.jitter)))
	if w.loss > 0 && w.rng.IntN(50) == 0 {
		d += time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	}
	w.after(d, func() {
		n := w.byAddr[s.To]
		if n == nil || w.cut[[2]string{from, s.To}] {
			return
		}
		w.input(n, n.life, func() Out { return n.m.Receive(w.now, from, s.Msg) })
	})
}

// kill ends a process; without power the disk keeps only what was synced.
func (w *world) kill(n *node, power bool) {
	if !n.up {
		return
	}
	w.trace("%v kill %s power %v", w.now, n.cfg.Self, power)
	if len(n.cache) > 0 && power {
		d := n.cache[len(n.cache)-1].State
		n.synced = &d
	}
	n.up, n.cache, n.ready, n.stalled = false, nil, 0, 0
}

func (w *world) wipe(n *node) {
	w.kill(n, false)
	w.trace("%v wipe %s", w.now, n.cfg.Self)
	n.synced, n.cfg.Genesis = nil, false
}

func (w *world) call(n *node, read bool, doc Doc) *op {
	w.lastID++
	id := w.lastID
	o := &op{node: n, life: n.life, read: read, doc: doc, at: w.now, floor: w.acked}
	w.calls[id] = o
	if !read {
		w.puts = append(w.puts, o)
	}
	if !n.up || n.frozen > w.now {
		return o
	}
	if read {
		w.apply(n, n.m.Get(w.now, id))
	} else {
		w.apply(n, n.m.Put(w.now, id, doc))
	}
	ice := n.ice
	w.after(900*ms, func() {
		if o.done == nil && n.up && n.life == o.life && n.ice == ice {
			w.late("%s: call %d not answered", n.cfg.Self, id)
		}
	})
	return o
}

func (w *world) answered(n *node, a Answer) {
	o := w.calls[a.ID]
	if o == nil || o.node != n || o.done != nil {
		w.fail("%s: answer %d out of place", n.cfg.Self, a.ID)
		return
	}
	o.done, o.took = &a, w.now-o.at
	switch a.Result {
	case ResultAccepted:
		w.acked = max(w.acked, o.doc.Version)
		if t, ok := w.texts[o.doc.Version]; ok && t != string(o.doc.Body) {
			w.fail("%s acknowledges %q as %d, which is %q", n.cfg.Self, o.doc.Body, o.doc.Version, t)
		}
		if w.denied[requestKey(o.doc.Version, string(o.doc.Body))] {
			w.fail("%s acknowledges %q as %d, which was told to differ", n.cfg.Self, o.doc.Body, o.doc.Version)
		}
		w.texts[o.doc.Version] = string(o.doc.Body)
		if b, ok := w.bodies[o.doc.Version]; ok && b != string(o.doc.Body) {
			w.fail("%s acknowledges %q as %d, and %q is in force", n.cfg.Self, o.doc.Body, o.doc.Version, b)
		}
		if w.bodies[o.doc.Version] == "" && len(w.bodies) == 0 {
			w.fail("version %d is acknowledged and nobody has it", o.doc.Version)
		}
	case ResultConflict:
		w.denied[requestKey(o.doc.Version, string(o.doc.Body))] = true
		if t := w.texts[o.doc.Version]; t == string(o.doc.Body) {
			w.fail("%s refuses %q as %d, which was acknowledged", n.cfg.Self, t, o.doc.Version)
		}
	case ResultRead:
		if a.Doc.Version < o.floor {
			w.fail("%s reads %d, %d was acknowledged", n.cfg.Self, a.Doc.Version, o.floor)
		}
		if b := w.bodies[a.Doc.Version]; b != string(a.Doc.Body) {
			w.fail("%s reads %d %q, adopted %q", n.cfg.Self, a.Doc.Version, a.Doc.Body, b)
		}
		w.acked = max(w.acked, a.Doc.Version) // later reads may not go back behind it
	case ResultNone:
		if o.floor > 0 {
			w.fail("%s reads nothing, %d was acknowledged", n.cfg.Self, o.floor)
		}
	}
}

// again sends an order once more, or another text under its number.
func (w *world) again(n *node, other bool) {
	if len(w.puts) == 0 {
		return
	}
	d := w.puts[w.rng.IntN(len(w.puts))].doc
	if other {
		d.Body = fmt.Appendf(nil, "%s once more at %v", d.Body, w.now)
	}
	w.call(n, false, d)
}

// put offers the next version.
func (w *world) put(n *node) *op {
	top := w.acked
	for v := range w.bodies {
		top = max(top, v)
	}
	return w.call(n, false, Doc{Version: top + 1, Body: fmt.Appendf(nil, "%s%s@%v", filler, n.cfg.Self, w.now)})
}

// filler makes documents of the world long enough to be worth a difference.
var filler = strings.Repeat("a route that stays; ", 40)

// record is the newest active one that any process or disk knows.
func (w *world) record() EpochRecord {
	var r EpochRecord
	for _, n := range w.nodes {
		if n.m != nil && n.m.view.newerThan(r) {
			r = n.m.view
		}
	}
	return r
}

// missing counts the seats whose memory is lost, those of an epoch under way too.
func (w *world) missing() int {
	r := w.record()
	for _, n := range w.nodes {
		if n.m != nil && n.m.state.Record.newerThan(r) {
			r = n.m.state.Record
		}
		if n.synced != nil && n.synced.Record.newerThan(r) {
			r = n.synced.Record
		}
	}
	r.Active = hasMajority(r.Members, func(s Member) bool { // until a majority knows, the old set is needed
		n := w.byAddr[s.Addr]
		return n.synced != nil && n.synced.Record.Ballot == r.Ballot && n.synced.Record.Active
	})
	return len(w.lost(r.votingMembers()))
}

func (w *world) lost(of []Member) []Member {
	return slices.DeleteFunc(slices.Clone(of), func(s Member) bool {
		n := w.byAddr[s.Addr]
		return !n.gone && n.m != nil && n.m.state.DiskID == s.DiskID && n.synced != nil && n.synced.DiskID == s.DiskID
	})
}

func (w *world) primary() *node {
	var p *node
	for _, n := range w.nodes {
		if n.up && n.frozen <= w.now && n.m.primary != nil &&
			(p == nil || n.m.primary.record.Ballot.higherThan(p.m.primary.record.Ballot)) {
			p = n
		}
	}
	return p
}

func (w *world) heal() {
	w.cut, w.loss, w.twice = map[[2]string]bool{}, 0, 0
	for _, n := range w.nodes {
		n.frozen, n.stalled = 0, 0
		w.start(n)
	}
}

func (w *world) startAll() {
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(300*ms))), func() { w.start(n) })
	}
}

// settled judges that all goes on once all is well.
func (w *world) settled() {
	w.run(3000 * ms) // what was begun comes to its end
	w.goesOn()
}

func (w *world) goesOn() {
	w.heal()
	w.run(3500 * ms)
	var ops []*op
	for _, n := range w.nodes {
		if n.up {
			w.call(n, true, Doc{})
			ops = append(ops, w.put(n))
			w.again(n, false)
		}
	}
	w.run(1200 * ms)
	for _, o := range ops { // all texts are of one number: one is acknowledged, others are told that they differ
		if o.done == nil || o.done.Result != ResultAccepted && o.done.Result != ResultConflict {
			w.late("%s: a put after all was healed: %+v", o.node.cfg.Self, o.done)
		}
		if _, ok := w.texts[o.doc.Version]; !ok {
			w.late("none of the texts of %d is acknowledged after all was healed", o.doc.Version)
		}
	}
	for _, n := range w.nodes {
		if h := n.m.Committed(); n.up && (h == nil || h.Version < w.acked) {
			w.late("%s is behind: %v, %d acknowledged", n.cfg.Self, h, w.acked)
		}
	}
	if lost := w.lost(w.record().Members); len(lost) > 0 {
		w.late("a seat was not taken again: %+v", lost)
	}
}

func (w *world) members() []*node {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *node) bool { return !n.cfg.Member || n.gone })
}
