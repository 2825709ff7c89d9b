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

// simulation runs processes in virtual time, injects faults and checks what they answer.
type simulation struct {
	rng             *rand.Rand
	now             time.Duration
	queue           fsm.EventQueue
	nextOrder       uint64
	nodes           []*simNode
	byAddr          map[string]*simNode
	cutLinks        map[[2]string]bool
	lossRate        float64
	duplicateRate   float64
	jitter          time.Duration
	toleratedLosses int
	olderNode       string        // runs an earlier release
	olderMessage    func(any) any // converts to that release's messages; nil: asPreviousRelease
	oldestRelease   bool          // olderNode runs the release without tokens, packed documents and Leave
	bug             Bug
	reuseDiskID     bool // a wiped process claims its former disk ID
	seeds           []string

	appliedBodies    map[uint32]string // by version, as first applied
	highestAcked     uint32
	ackedBodies      map[uint32]string // the acknowledged body of each version
	conflicts        map[string]bool   // requests that were answered with a conflict
	puts             []*operatorCall
	calls            map[uint64]*operatorCall
	lastID           uint64
	sentMessages     int
	failure          *failure
	eventsUntilFault int // until fault is called
	fault            func()
	trace            func(string, ...any)
	onSend           func(to string, msg any) // called for each message, unless nil
}

type operatorCall struct {
	node        *simNode
	run         int
	read        bool
	doc         Doc
	at          time.Duration
	ackedBefore uint32 // highestAcked at the time of the call
	answer      *Answer
	took        time.Duration
}

type simNode struct {
	config         Config
	machine        *Machine
	run            int // counts starts
	up             bool
	removed        bool
	frozenUntil    time.Duration
	freezes        int // counts freezes
	stalledUntil   time.Duration
	synced         *DurableState
	unsynced       []Write
	diskReadyAt    time.Duration // when the disk has synced all writes so far
	appliedVersion uint32
}

func newSimulation(seed uint64, members, followers, losses int) *simulation {
	w := &simulation{rng: rand.New(rand.NewPCG(seed, 7)), byAddr: map[string]*simNode{}, cutLinks: map[[2]string]bool{},
		toleratedLosses: losses, appliedBodies: map[uint32]string{}, calls: map[uint64]*operatorCall{},
		ackedBodies: map[uint32]string{}, conflicts: map[string]bool{}, jitter: 4 * ms,
		trace: func(string, ...any) {}}
	for i := range members + followers {
		w.add(i < members, i < members)
	}
	return w
}

// add creates a process without starting it.
func (w *simulation) add(member, genesis bool) *simNode {
	addr := fmt.Sprintf("n%02d", len(w.nodes))
	n := &simNode{config: Config{Self: addr, Name: addr, Zone: string(rune('a' + len(w.nodes)%3)), Member: member,
		Genesis: genesis, ToleratedLosses: w.toleratedLosses}}
	w.nodes, w.byAddr[addr] = append(w.nodes, n), n
	if len(w.seeds) < 3 {
		w.seeds = append(w.seeds, addr)
	}
	return n
}

func (w *simulation) after(d time.Duration, do func()) {
	w.nextOrder++
	heap.Push(&w.queue, fsm.Event{At: w.now + d, Sequence: w.nextOrder, Run: do})
}

func (w *simulation) run(d time.Duration) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].At <= end && w.failure == nil {
		e := heap.Pop(&w.queue).(fsm.Event)
		w.now = e.At
		if w.eventsUntilFault--; w.eventsUntilFault == 0 {
			w.fault()
		}
		e.Run()
	}
	w.now = end
}

func (w *simulation) fail(form string, args ...any) {
	if w.failure == nil {
		w.failure = &failure{fmt.Sprintf(form, args...), w.now, false}
	}
}

// failLiveness reports a failure of progress, not of safety.
func (w *simulation) failLiveness(form string, args ...any) {
	if w.failure == nil {
		w.failure = &failure{fmt.Sprintf(form, args...), w.now, true}
	}
}

type failure struct {
	message  string
	at       time.Duration
	liveness bool
}

func (v *failure) Error() string { return fmt.Sprintf("at %v: %s", v.at, v.message) }

func (w *simulation) start(n *simNode) {
	if n.up || n.removed {
		return
	}
	n.up, n.frozenUntil, n.appliedVersion = true, 0, 0
	n.run++
	n.config.Seed, n.config.Seeds = w.rng.Uint64(), w.seeds
	var d *DurableState
	if n.synced != nil {
		c := *n.synced
		d = &c
	}
	old := n.machine
	n.machine = New(n.config, d, w.now)
	if w.reuseDiskID && d == nil && old != nil {
		n.machine.state.DiskID = old.state.DiskID
	}
	n.machine.bug = w.bug
	w.tick(n, n.run)
}

func (w *simulation) setBug(b Bug) {
	w.bug = b
	for _, n := range w.nodes {
		n.machine.bug = b
	}
}

func (w *simulation) tick(n *simNode, run int) {
	if !n.up || n.run != run {
		return
	}
	if n.frozenUntil <= w.now {
		if w.rng.IntN(8) == 0 || w.now < 100*ms {
			n.machine.SetPeers(w.now, w.peers())
		}
		w.apply(n, n.machine.Tick(w.now))
	}
	w.after(50*ms, func() { w.tick(n, run) })
}

func (w *simulation) peers() []Peer {
	var p []Peer
	for _, n := range w.nodes {
		if n.machine == nil || n.removed {
			continue
		}
		q := Peer{Addr: n.config.Self, Zone: n.config.Zone, Member: n.config.Member, Up: n.up && n.frozenUntil <= w.now}
		if h := n.machine.Committed(); h != nil {
			q.Version = h.Version
		}
		p = append(p, q)
	}
	return p
}

// input gives an input to a process, if it is frozen after that.
func (w *simulation) input(n *simNode, run int, do func() Out) {
	switch {
	case !n.up || n.run != run:
	case n.frozenUntil > w.now:
		w.after(n.frozenUntil-w.now, func() { w.input(n, run, do) })
	default:
		w.apply(n, do())
	}
}

func (w *simulation) apply(n *simNode, out Out) {
	run := n.run
	if out.Write != nil {
		n.unsynced = append(n.unsynced, *out.Write)
		seq := out.Write.Seq
		n.diskReadyAt = max(n.diskReadyAt, w.now, n.stalledUntil) + ms + time.Duration(w.rng.Int64N(int64(4*ms)))
		w.after(n.diskReadyAt-w.now, func() { w.sync(n, run, seq) })
	}
	for _, s := range out.Send {
		w.deliver(n.config.Self, s)
		if w.rng.Float64() < w.duplicateRate {
			w.deliver(n.config.Self, s)
		}
	}
	if a := out.Apply; a != nil {
		if a.Version <= n.appliedVersion {
			w.fail("%s applies version %d after %d", n.config.Self, a.Version, n.appliedVersion)
		}
		n.appliedVersion = a.Version
		if b, ok := w.appliedBodies[a.Version]; ok && b != string(a.Body) {
			w.fail("%s applies version %d with body %q, others with %q", n.config.Self, a.Version, a.Body, b)
		}
		w.appliedBodies[a.Version] = string(a.Body)
	}
	for _, a := range out.Answers {
		w.checkAnswer(n, a)
	}
}

func (w *simulation) sync(n *simNode, run int, seq uint64) {
	if n.run != run || !n.up || len(n.unsynced) == 0 {
		return
	}
	if n.stalledUntil > w.now {
		w.after(n.stalledUntil-w.now, func() { w.sync(n, run, seq) })
		return
	}
	for len(n.unsynced) > 0 && n.unsynced[0].Seq <= seq {
		d := n.unsynced[0].State
		n.synced, n.unsynced = &d, n.unsynced[1:]
	}
	w.input(n, run, func() Out { return n.machine.WriteDone(w.now, seq) })
}

func (w *simulation) deliver(from string, s fsm.Send) {
	if w.olderNode != "" && (from == w.olderNode || s.To == w.olderNode) {
		if w.olderMessage == nil {
			w.olderMessage = asPreviousRelease
		}
		if s.Msg = w.olderMessage(s.Msg); w.oldestRelease {
			s.Msg = asOldestRelease(s.Msg)
		}
	}
	w.sentMessages++
	if w.onSend != nil {
		w.onSend(s.To, s.Msg)
	}
	if w.rng.Float64() < w.lossRate {
		return
	}
	d := ms + time.Duration(w.rng.Int64N(int64(w.jitter)))
	if w.lossRate > 0 && w.rng.IntN(50) == 0 {
		d += time.Duration(w.rng.Int64N(int64(2 * time.Second)))
	}
	w.after(d, func() {
		n := w.byAddr[s.To]
		if n == nil || w.cutLinks[[2]string{from, s.To}] {
			return
		}
		w.input(n, n.run, func() Out { return n.machine.Receive(w.now, from, s.Msg) })
	})
}

// kill ends a process. Without power the disk keeps only what was synced.
func (w *simulation) kill(n *simNode, power bool) {
	if !n.up {
		return
	}
	w.trace("%v kill %s power %v", w.now, n.config.Self, power)
	if len(n.unsynced) > 0 && power {
		d := n.unsynced[len(n.unsynced)-1].State
		n.synced = &d
	}
	n.up, n.unsynced, n.diskReadyAt, n.stalledUntil = false, nil, 0, 0
}

func (w *simulation) wipe(n *simNode) {
	w.kill(n, false)
	w.trace("%v wipe %s", w.now, n.config.Self)
	n.synced, n.config.Genesis = nil, false
}

func (w *simulation) call(n *simNode, read bool, doc Doc) *operatorCall {
	w.lastID++
	id := w.lastID
	o := &operatorCall{node: n, run: n.run, read: read, doc: doc, at: w.now, ackedBefore: w.highestAcked}
	w.calls[id] = o
	if !read {
		w.puts = append(w.puts, o)
	}
	if !n.up || n.frozenUntil > w.now {
		return o
	}
	if read {
		w.apply(n, n.machine.Get(w.now, id))
	} else {
		w.apply(n, n.machine.Put(w.now, id, doc))
	}
	ice := n.freezes
	w.after(900*ms, func() {
		if o.answer == nil && n.up && n.run == o.run && n.freezes == ice {
			w.failLiveness("%s: call %d not answered", n.config.Self, id)
		}
	})
	return o
}

func (w *simulation) checkAnswer(n *simNode, a Answer) {
	o := w.calls[a.ID]
	if o == nil || o.node != n || o.answer != nil {
		w.fail("%s: unexpected answer to call %d", n.config.Self, a.ID)
		return
	}
	o.answer, o.took = &a, w.now-o.at
	switch a.Result {
	case ResultAccepted:
		w.highestAcked = max(w.highestAcked, o.doc.Version)
		if t, ok := w.ackedBodies[o.doc.Version]; ok && t != string(o.doc.Body) {
			w.fail("%s acknowledges body %q of version %d, but %q was acknowledged", n.config.Self, o.doc.Body,
				o.doc.Version, t)
		}
		if w.conflicts[requestKey(o.doc.Version, string(o.doc.Body))] {
			w.fail("%s acknowledges body %q of version %d, which was refused as a conflict", n.config.Self,
				o.doc.Body, o.doc.Version)
		}
		w.ackedBodies[o.doc.Version] = string(o.doc.Body)
		if b, ok := w.appliedBodies[o.doc.Version]; ok && b != string(o.doc.Body) {
			w.fail("%s acknowledges body %q of version %d, but %q is in force", n.config.Self, o.doc.Body,
				o.doc.Version, b)
		}
		if w.appliedBodies[o.doc.Version] == "" && len(w.appliedBodies) == 0 {
			w.fail("version %d is acknowledged, but no process has applied it", o.doc.Version)
		}
	case ResultConflict:
		w.conflicts[requestKey(o.doc.Version, string(o.doc.Body))] = true
		if t := w.ackedBodies[o.doc.Version]; t == string(o.doc.Body) {
			w.fail("%s refuses body %q of version %d, which was acknowledged", n.config.Self, t, o.doc.Version)
		}
	case ResultRead:
		if a.Doc.Version < o.ackedBefore {
			w.fail("%s reads version %d after %d was acknowledged", n.config.Self, a.Doc.Version, o.ackedBefore)
		}
		if b := w.appliedBodies[a.Doc.Version]; b != string(a.Doc.Body) {
			w.fail("%s reads version %d with body %q, but %q was applied", n.config.Self, a.Doc.Version, a.Doc.Body, b)
		}
		w.highestAcked = max(w.highestAcked, a.Doc.Version) // later reads must not return less
	case ResultNone:
		if o.ackedBefore > 0 {
			w.fail("%s reads no document after version %d was acknowledged", n.config.Self, o.ackedBefore)
		}
	}
}

// repeatPut repeats an earlier put, or puts another body under its version.
func (w *simulation) repeatPut(n *simNode, other bool) {
	if len(w.puts) == 0 {
		return
	}
	d := w.puts[w.rng.IntN(len(w.puts))].doc
	if other {
		d.Body = fmt.Appendf(nil, "%s once more at %v", d.Body, w.now)
	}
	w.call(n, false, d)
}

// put proposes the next version.
func (w *simulation) put(n *simNode) *operatorCall {
	top := w.highestAcked
	for v := range w.appliedBodies {
		top = max(top, v)
	}
	return w.call(n, false, Doc{Version: top + 1, Body: fmt.Appendf(nil, "%s%s@%v", filler, n.config.Self, w.now)})
}

// filler makes documents long enough for deltas.
var filler = strings.Repeat("a route that stays; ", 40)

// newestActiveRecord returns the newest active record that a process knows.
func (w *simulation) newestActiveRecord() EpochRecord {
	var r EpochRecord
	for _, n := range w.nodes {
		if n.machine != nil && n.machine.view.newerThan(r) {
			r = n.machine.view
		}
	}
	return r
}

// lostMemberCount counts the members whose disk is lost, also those of an epoch that is not active
// yet.
func (w *simulation) lostMemberCount() int {
	r := w.newestActiveRecord()
	for _, n := range w.nodes {
		if n.machine != nil && n.machine.state.Record.newerThan(r) {
			r = n.machine.state.Record
		}
		if n.synced != nil && n.synced.Record.newerThan(r) {
			r = n.synced.Record
		}
	}
	r.Active = hasMajority(r.Members, func(s Member) bool { // until a majority knows, the old members are needed
		n := w.byAddr[s.Addr]
		return n.synced != nil && n.synced.Record.Ballot == r.Ballot && n.synced.Record.Active
	})
	return len(w.lostMembers(r.votingMembers()))
}

func (w *simulation) lostMembers(of []Member) []Member {
	return slices.DeleteFunc(slices.Clone(of), func(s Member) bool {
		n := w.byAddr[s.Addr]
		return !n.removed && n.machine != nil && n.machine.state.DiskID == s.DiskID && n.synced != nil &&
			n.synced.DiskID == s.DiskID
	})
}

func (w *simulation) primary() *simNode {
	var p *simNode
	for _, n := range w.nodes {
		if n.up && n.frozenUntil <= w.now && n.machine.primary != nil &&
			(p == nil || n.machine.primary.record.Ballot.higherThan(p.machine.primary.record.Ballot)) {
			p = n
		}
	}
	return p
}

func (w *simulation) heal() {
	w.cutLinks, w.lossRate, w.duplicateRate = map[[2]string]bool{}, 0, 0
	for _, n := range w.nodes {
		n.frozenUntil, n.stalledUntil = 0, 0
		w.start(n)
	}
}

func (w *simulation) startAll() {
	for _, n := range w.nodes {
		w.after(time.Duration(w.rng.Int64N(int64(300*ms))), func() { w.start(n) })
	}
}

// finishAndCheckProgress checks that the cluster makes progress once all faults have ended.
func (w *simulation) finishAndCheckProgress() {
	w.run(3000 * ms) // lets pending work finish
	w.checkProgress()
}

func (w *simulation) checkProgress() {
	w.heal()
	w.run(3500 * ms)
	var ops []*operatorCall
	for _, n := range w.nodes {
		if n.up {
			w.call(n, true, Doc{})
			ops = append(ops, w.put(n))
			w.repeatPut(n, false)
		}
	}
	w.run(1200 * ms)
	for _, o := range ops { // all bodies are of one version: one is accepted, the others conflict
		if o.answer == nil || o.answer.Result != ResultAccepted && o.answer.Result != ResultConflict {
			w.failLiveness("%s: result of a put after all faults ended: %+v", o.node.config.Self, o.answer)
		}
		if _, ok := w.ackedBodies[o.doc.Version]; !ok {
			w.failLiveness("no body of version %d is acknowledged after all faults ended", o.doc.Version)
		}
	}
	for _, n := range w.nodes {
		if h := n.machine.Committed(); n.up && (h == nil || h.Version < w.highestAcked) {
			w.failLiveness("%s is behind: %v, version %d was acknowledged", n.config.Self, h, w.highestAcked)
		}
	}
	if lost := w.lostMembers(w.newestActiveRecord().Members); len(lost) > 0 {
		w.failLiveness("members are still lost: %+v", lost)
	}
}

func (w *simulation) memberNodes() []*simNode {
	return slices.DeleteFunc(slices.Clone(w.nodes), func(n *simNode) bool { return !n.config.Member || n.removed })
}
