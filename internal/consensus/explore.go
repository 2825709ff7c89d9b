package consensus

import (
	"encoding/binary"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Bounds of an exploration: what may go wrong, how often time passes, and where to end.
type ModelBounds struct {
	Members            int  // 3 if it is 0
	ToleratedLosses    int  // 1
	StartSilent        bool // begins when all but the primary are about to lose patience with it
	SameVersion        bool // the puts are of one version
	Overtaken          bool // the first put is of version 3, the others of 2
	Puts               int
	Reads              int
	LostMessages       int // messages, in all
	LateMessages       int // messages that are overtaken by others of their link
	DuplicatedMessages int
	Crashes            int  // of processes, each at most once, with what was under way to the disk or without
	DiskWipes          int  // of those, that lose the disk as well
	Leaves             int  // processes told to end, which then ask until they are let go
	ForcedLeave        bool // they are ended soon, whatever stands elsewhere; and who is wiped comes back after that
	Learner            bool // one more, which has no seat, is there from the start
	DiskCopies         int  // taken of disks
	DiskRollbacks      int  // disks that such a copy takes the place of, once all others remember what was vouched for since
	ShortWaits         int  // times that a process repeats what is not answered
	LongWaits          int  // half the patience of a process
	MaxStates          int  // end after so many; 0: never
	DepthFirst         bool // the newest state first, not the oldest
	CountStalls        bool // a core that doesn't go on is counted, and nothing more
	LivenessEvery      int  // every so manieth state must be one from which the core goes on; 0: that is not judged
	Bug                Bug
}

// Survey is what an exploration came to.
type Exploration struct {
	States, Steps          int // visited; ways gone from one to another
	Depth                  int // steps that lie between the first state and the last one visited
	Complete               bool
	MachineStates          int // states of single machines
	Acked, Epochs          int // puts acknowledged, epochs begun after the first, in some state
	LivenessChecked, Stuck int // states looked at whether the core goes on; where it does not
	StuckWithChange        int // of those, where somebody left has the record of a change of the set
	Violation              string
	Trace                  []string // the way there
}

// Explore visits the states that a core in force can come to within bounds. Each process
// has a clock of its own; links keep their order but for messages that are late; and a disk,
// a link or a process may take any time for its next step, which is how it is cut off, frozen
// or slow. All that happens at a machine, the real one does.
func Explore(b ModelBounds) Exploration {
	x := newExplorer(b)
	x.meet(x.first(), 0, move{})
	for x.at < len(x.todo) && x.found.Violation == "" && (b.MaxStates == 0 || len(x.ways) <= b.MaxStates) {
		var next pending
		if b.DepthFirst {
			next = x.todo[len(x.todo)-1]
			x.todo = x.todo[:len(x.todo)-1]
		} else {
			next = x.todo[x.at]
			x.todo[x.at] = pending{}
			x.at++
		}
		x.visit(next)
	}
	f := x.found
	f.States, f.Complete, f.MachineStates = len(x.ways), x.at == len(x.todo), len(x.cells)
	return f
}

// move is a way on from a state.
type move struct {
	at    uint8 // the cell
	in    input
	loses bool  // with the process goes all that is under way from and to it
	link  int16 // whose first message it is; -1 - i: the i-th late one
	fate  fate
}

type fate uint8

const (
	comes fate = iota
	lost
	late
	twice
)

// post is a message that has left its link.
type post struct {
	from, to uint8
	msg      uint32
}

// state is the whole core: cells and messages by their numbers.
type state struct {
	cells []uint32
	links [][]uint32 // from*n+to
	stray []post
	left  [11]uint8 // budgets
	put   uint8     // how many were made
	dead  uint8     // who has died, a bit for each
	judge uint32
}

// budgets in state.left; those of fates in their order
const (
	ofReads = iota
	ofLost
	ofLate
	ofDoubled
	ofDeaths
	ofWipes
	ofShorts
	ofLongs
	ofCopies
	ofBacks
	ofLeaves
)

// verdicts is what the judge knows: bodies by version, the lowest epoch that acknowledged
// each, the highest version acknowledged, and that before each read under way; and which text
// of a number was acknowledged, and which were told to differ.
type verdicts struct {
	bodies map[uint32]string
	acked  map[uint32]Ballot
	floors map[uint64]uint32
	top    uint32
	texts  map[uint32]string
	denied map[string]bool
}

type pending struct {
	code  string
	depth int
}

type way struct {
	from uint32
	move move
}

type explorer struct {
	b      ModelBounds
	n      int
	course course
	names  []string

	cells  []*cell
	cellOf map[uint64]uint32
	msgs   []any
	msgOf  map[uint64]uint32
	judges []verdicts
	judgOf map[string]uint32
	next   map[uint64]outcome
	seen   map[uint64]uint32 // to its way
	ways   []way
	todo   []pending
	at     int
	buf    []byte
	found  Exploration
	first0 Ballot
	read   int // answers to reads
}

// outcome of an input at a cell.
type outcome struct {
	cell  uint32
	posts []post
	facts []fact
}

func newExplorer(b ModelBounds) *explorer {
	if b.Members == 0 {
		b.Members, b.ToleratedLosses = 3, 1
	}
	if b.Learner {
		b.Members++
	}
	x := &explorer{b: b, n: b.Members, course: course{bug: b.Bug}, cellOf: map[uint64]uint32{}, msgOf: map[uint64]uint32{},
		judgOf: map[string]uint32{}, next: map[uint64]outcome{}, seen: map[uint64]uint32{}}
	for i := range b.Puts {
		v := uint32(2 + i)
		if b.SameVersion || b.Overtaken {
			v = 2
		}
		if b.Overtaken && i == 0 {
			v = 3
		}
		x.course.puts = append(x.course.puts, Doc{Version: v, Body: []byte{byte('a' + i)}})
	}
	for i := range uint32(mendTicks / putEvery) { // for resumes
		x.course.puts = append(x.course.puts, Doc{Version: 1000 + i, Body: []byte("z")})
	}
	return x
}

// first founds a core, has it keep version 1, and lets all come to rest.
func (x *explorer) first() *state {
	const begin = time.Hour
	var cells []*cell
	for i := range x.n {
		x.names = append(x.names, fmt.Sprintf("n%d", i))
	}
	for i, name := range x.names {
		m := New(Config{Self: name, Name: name, Zone: string(rune('a' + i%3)), Member: true,
			Genesis: !x.b.Learner || i < x.n-1, ToleratedLosses: x.b.ToleratedLosses, Seeds: x.names[:3]}, nil, begin)
		l := &lot{of: uint64(i + 1)}
		m.rng, m.salt, m.jitter, m.d.DiskID = rngOf(l), l.Uint64(), 0, l.Uint64()|1
		cells = append(cells, &cell{m: m, lot: l})
	}
	s := &state{cells: make([]uint32, x.n), links: make([][]uint32, x.n*x.n)}
	for i, c := range cells {
		s.cells[i] = x.cell(c)
	}
	s.judge = x.verdict(verdicts{bodies: map[uint32]string{}, acked: map[uint32]Ballot{}, floors: map[uint64]uint32{},
		texts: map[uint32]string{}, denied: map[string]bool{}})
	sound, puts := x.course.bug, x.course.puts
	x.course.bug, x.course.puts = 0, append([]Doc{{Version: 1, Body: []byte("0")}}, puts...)
	lead := -1
	for range 200 {
		x.settle(s, steady)
		lead = x.primary(s)
		if x.held(s) && (x.b.DiskRollbacks == 0 || x.remembered(s, lead)) {
			break
		}
		if lead >= 0 && s.put == 0 {
			s.put = 1
			for i := range s.cells {
				if x.b.DiskRollbacks > 0 {
					x.step(s, move{at: uint8(i), in: input{kind: saveOff}, link: none})
				}
			}
			x.step(s, move{at: uint8(lead), in: input{kind: put}, link: none})
		}
	}
	if !x.held(s) || x.b.DiskRollbacks > 0 && !x.remembered(s, lead) {
		panic("the model's core is not founded") // a bug
	}
	x.first0 = x.cells[s.cells[lead]].m.lead.rec.Ballot
	for i := range s.cells { // the puts of the founding are none of the model's
		c := x.cells[s.cells[i]].clone()
		c.m.calls, c.m.queue = nil, nil
		s.cells[i] = x.cell(c)
	}
	for i := 0; (x.b.Learner || x.b.Leaves+x.b.LivenessEvery > 0) && i < 12; i++ { // the set may change, and a learner is held as one
		x.settle(s, steady)
	}
	x.course.bug, x.course.puts = sound, puts
	x.next = map[uint64]outcome{}
	if x.b.StartSilent {
		for i := range s.cells {
			for range 2 {
				if i != lead {
					x.step(s, move{at: uint8(i), in: input{kind: long}, link: none})
				}
			}
		}
	}
	s.put, x.found = 0, Exploration{}
	s.left = [11]uint8{uint8(x.b.Reads), uint8(x.b.LostMessages), uint8(x.b.LateMessages), uint8(x.b.DuplicatedMessages), uint8(x.b.Crashes),
		uint8(x.b.DiskWipes), uint8(x.b.ShortWaits), uint8(x.b.LongWaits), uint8(x.b.DiskCopies), uint8(x.b.DiskRollbacks),
		uint8(x.b.Leaves)}
	return s
}

const none int16 = 1 << 14

// primary is a cell that serves, or -1.
func (x *explorer) primary(s *state) int {
	return slices.IndexFunc(s.cells, func(id uint32) bool { return x.cells[id].m.lead != nil })
}

// held says whether all keep version 1, and serve one epoch.
func (x *explorer) held(s *state) bool {
	for _, id := range s.cells {
		if m := x.cells[id].m; m.d.Committed.Version != 1 || !m.d.Record.Active || m.seq != m.written {
			return false
		}
	}
	for _, l := range s.links {
		if len(l) > 0 {
			return false
		}
	}
	return true
}

// settle lets the ordinary happen once: all messages come, all disks sync, all clocks tick.
func (x *explorer) settle(s *state, k kind) { x.settleBut(s, k, 0) }

// settleBut leaves out machines that are gone; what goes to them is lost.
func (x *explorer) settleBut(s *state, k kind, gone uint16) {
	for i := range s.cells {
		if gone&(1<<i) == 0 {
			x.step(s, move{at: uint8(i), in: input{kind: k}, link: none})
		}
	}
	for again, most := true, 0; again && most < 10000; most++ {
		again = false
		for i, l := range s.links {
			switch {
			case gone&(1<<(i%x.n)) != 0:
				s.links[i] = nil
			case len(l) > 0:
				x.step(s, x.delivery(s, int16(i), comes))
				again = true
			}
		}
		for len(s.stray) > 0 {
			x.step(s, x.delivery(s, -1, comes))
		}
		for i, id := range s.cells {
			if len(x.cells[id].cache) > 0 && gone&(1<<i) == 0 {
				x.step(s, move{at: uint8(i), in: input{kind: sync}, link: none})
				again = true
			}
		}
	}
}

func (x *explorer) delivery(s *state, link int16, f fate) move {
	if link < 0 {
		p := s.stray[-1-link]
		return move{at: p.to, in: input{take, p.from, p.msg}, link: link}
	}
	return move{at: uint8(int(link) % x.n), in: input{take, uint8(int(link) / x.n), s.links[link][0]}, link: link, fate: f}
}

// step goes a way; s is changed.
func (x *explorer) step(s *state, v move) {
	switch {
	case v.link == none:
	case v.link < 0:
		s.stray = slices.Delete(slices.Clone(s.stray), int(-1-v.link), int(-v.link))
	default:
		head := post{uint8(int(v.link) / x.n), v.at, s.links[v.link][0]}
		s.links[v.link] = s.links[v.link][1:]
		if v.fate == late || v.fate == twice {
			s.stray = append(slices.Clone(s.stray), head)
			slices.SortFunc(s.stray, func(a, b post) int {
				return int(int64(a.msg)<<16+int64(a.from)<<8+int64(a.to)) - int(int64(b.msg)<<16+int64(b.from)<<8+int64(b.to))
			})
		}
		if v.fate == lost || v.fate == late {
			return
		}
	}
	if v.loses {
		for i := range s.links {
			if i%x.n == int(v.at) || i/x.n == int(v.at) {
				s.links[i] = nil
			}
		}
	}
	o := x.outcome(s.cells[v.at], v.at, v.in)
	s.cells[v.at] = o.cell
	for _, p := range o.posts {
		i := int(p.from)*x.n + int(p.to)
		s.links[i] = append(slices.Clip(s.links[i]), p.msg)
	}
	if len(o.facts) > 0 || v.in.kind == get {
		x.hear(s, v.in, o.facts)
	}
	x.rule(s, int(v.at))
}

// outcome is remembered: a machine does the same in the same state.
func (x *explorer) outcome(id uint32, at uint8, in input) outcome {
	key := uint64(id)<<32 | uint64(in.kind)<<28 | uint64(in.from)<<24 | uint64(in.arg)
	if o, ok := x.next[key]; ok {
		return o
	}
	var msg any
	if in.kind == take {
		msg = x.msgs[in.arg]
	}
	c, sends, facts := x.course.play(x.cells[id], x.names[in.from], msg, in)
	o := outcome{cell: x.cell(c), facts: facts}
	for _, m := range sends {
		if to := slices.Index(x.names, m.To); to >= 0 {
			o.posts = append(o.posts, post{at, uint8(to), x.msg(m.Msg)})
		}
	}
	x.next[key] = o
	return o
}

func (x *explorer) cell(c *cell) uint32 {
	x.buf = c.code(x.buf[:0])
	key := xxhash.Sum64(x.buf)
	id, ok := x.cellOf[key]
	if !ok {
		id = uint32(len(x.cells))
		x.cells, x.cellOf[key] = append(x.cells, c), id
	}
	return id
}

func (x *explorer) msg(msg any) uint32 {
	x.buf = code(msg, x.buf[:0])
	key := xxhash.Sum64(x.buf)
	id, ok := x.msgOf[key]
	if !ok {
		id = uint32(len(x.msgs))
		x.msgs, x.msgOf[key] = append(x.msgs, msg), id
	}
	return id
}

func (x *explorer) verdict(v verdicts) uint32 {
	key := fmt.Sprint(v)
	id, ok := x.judgOf[key]
	if !ok {
		id = uint32(len(x.judges))
		x.judges, x.judgOf[key] = append(x.judges, v), id
	}
	return id
}

func (x *explorer) fail(form string, args ...any) {
	if x.found.Violation == "" {
		x.found.Violation = fmt.Sprintf(form, args...)
	}
}

// hear is the judge: one body for a version, and no read behind what was acknowledged.
func (x *explorer) hear(s *state, in input, facts []fact) {
	old := x.judges[s.judge]
	v := verdicts{cloneMap(old.bodies), cloneMap(old.acked), cloneMap(old.floors), old.top, cloneMap(old.texts), cloneMap(old.denied)}
	if in.kind == get {
		v.floors[readID(in.arg)] = v.top
	}
	for _, f := range facts {
		switch f.kind {
		case acks:
			if b, ok := v.acked[f.version]; !ok || b.above(f.ballot) {
				v.acked[f.version] = f.ballot
			}
			v.top = max(v.top, f.version)
			x.acks(v, f)
		case refuses:
			v.denied[order(f.version, f.body)] = true
			if t, ok := v.texts[f.version]; ok && t == f.body {
				x.fail("version %d is %q, which was acknowledged and is told to differ", f.version, t)
			}
			if b, ok := v.bodies[f.version]; ok && b == f.body {
				x.fail("version %d is %q, which is in force and is told to differ", f.version, b)
			}
		case reads, adopts:
			if b, ok := v.bodies[f.version]; ok && b != f.body {
				x.fail("version %d is %q and %q", f.version, b, f.body)
			}
			v.bodies[f.version] = f.body
			if t, ok := v.texts[f.version]; ok && t != f.body {
				x.fail("version %d is %q, and %q was acknowledged", f.version, f.body, t)
			}
			if f.kind == adopts {
				continue
			}
			if floor := v.floors[f.id]; f.version < floor {
				x.fail("version %d is read, and %d was acknowledged before", f.version, floor)
			}
			delete(v.floors, f.id)
			x.read++
		case readsNone:
			x.fail("nothing is read")
		}
	}
	newest := uint32(0)
	for n := range v.bodies {
		newest = max(newest, n)
	}
	if v.top > newest { // a lower one than what is kept is acknowledged and changes nothing
		x.fail("version %d is acknowledged, and nobody has put it or a higher one in force", v.top)
	}
	x.found.Acked = max(x.found.Acked, len(v.acked)-1)
	s.judge = x.verdict(v)
	for i := range s.cells {
		x.rule(s, i)
	}
}

// acks judges an acknowledgement: one text of a number, the one in force if any of them is.
func (x *explorer) acks(v verdicts, f fact) {
	if t, ok := v.texts[f.version]; ok && t != f.body {
		x.fail("two texts of version %d are acknowledged, %q and %q", f.version, t, f.body)
	}
	if b, ok := v.bodies[f.version]; ok && b != f.body {
		x.fail("version %d is %q, and %q is acknowledged", f.version, b, f.body)
	}
	if v.denied[order(f.version, f.body)] {
		x.fail("version %d %q is acknowledged, and was told to differ", f.version, f.body)
	}
	v.texts[f.version] = f.body
}

func order(version uint32, body string) string { return fmt.Sprint(version, " ", body) }

// rule judges one machine: whoever serves an epoch has all that earlier ones acknowledged.
func (x *explorer) rule(s *state, i int) {
	c := x.cells[s.cells[i]]
	if c.broken != "" {
		x.fail("%s", c.broken)
	}
	l := c.m.lead
	if l == nil {
		return
	}
	x.found.Epochs = max(x.found.Epochs, int(l.rec.Ballot.N-min(x.first0.N, l.rec.Ballot.N)))
	for version, by := range x.judges[s.judge].acked {
		if l.rec.Ballot.above(by) && c.m.d.Committed.Version < version {
			x.fail("version %d was acknowledged in epoch %d, and %s serves epoch %d with version %d",
				version, by.N, x.names[i], l.rec.Ballot.N, c.m.d.Committed.Version)
		}
	}
}

// moves are all ways on from a state.
func (x *explorer) moves(s *state) []move {
	var all []move
	for i, l := range s.links {
		if len(l) == 0 {
			continue
		}
		all = append(all, x.delivery(s, int16(i), comes))
		for f := lost; f <= twice; f++ {
			if s.left[ofLost+int(f-lost)] > 0 {
				all = append(all, x.delivery(s, int16(i), f))
			}
		}
	}
	for i := range s.stray {
		all = append(all, x.delivery(s, int16(-1-i), comes))
	}
	for i, id := range s.cells {
		c, at := x.cells[id], uint8(i)
		add := func(k kind, arg int, loses bool) {
			all = append(all, move{at: at, in: input{kind: k, arg: uint32(arg)}, loses: loses, link: none})
		}
		if len(c.cache) > 0 {
			add(sync, 0, false)
		}
		if s.left[ofShorts] > 0 {
			add(short, 0, false)
		}
		if s.left[ofLongs] > 0 {
			add(long, 0, false)
		}
		if int(s.put) < x.b.Puts {
			add(put, int(s.put), false)
		}
		if s.left[ofReads] > 0 {
			add(get, x.b.Reads-int(s.left[ofReads]), false)
		}
		if s.left[ofLeaves] > 0 && c.m.notice == 0 && !c.m.MayExit() {
			n := LeaveWhenSafe
			if x.b.ForcedLeave {
				n = LeaveForced
			}
			add(leave, int(n), false)
		}
		if s.left[ofCopies] > 0 && c.old != c.synced {
			add(saveOff, 0, false)
		}
		if s.dead&(1<<at) != 0 {
			continue
		}
		if s.left[ofBacks] > 0 && x.remembered(s, i) {
			add(putBack, 0, true)
		}
		for _, loses := range []bool{false, true} {
			if s.left[ofDeaths] > 0 {
				for kept := range len(c.cache) + 1 {
					add(die, kept, loses)
				}
			}
			if s.left[ofWipes] > 0 {
				add(wipe, 0, loses)
			}
		}
	}
	return all
}

// remembered says whether the copy of a machine's disk lacks something, and the disks of all the others that have a
// seat beside it have the newest that it has vouched for. Where nobody has, it can't be told.
func (x *explorer) remembered(s *state, at int) bool {
	c := x.cells[s.cells[at]]
	if c.old == nil || c.old.DiskID != c.m.d.DiskID || c.old.Saves >= c.m.safe || !c.m.seated() {
		return false
	}
	for _, seat := range c.m.d.Record.voters() {
		i := slices.Index(x.names, seat.Addr)
		if i == at {
			continue
		}
		d := x.cells[s.cells[i]].synced
		if d == nil || !slices.ContainsFunc(d.KnownTokens, func(k KnownToken) bool {
			return k.Addr == x.names[at] && k.DiskID == c.m.d.DiskID && k.Saves >= c.m.safe
		}) {
			return false
		}
	}
	return true
}

// pay takes what a move costs.
func (s *state) pay(v move) {
	switch v.fate {
	case lost:
		s.left[ofLost]--
	case late:
		s.left[ofLate]--
	case twice:
		s.left[ofDoubled]--
	}
	switch v.in.kind {
	case short:
		s.left[ofShorts]--
	case long:
		s.left[ofLongs]--
	case put:
		s.put++
	case get:
		s.left[ofReads]--
	case leave:
		s.left[ofLeaves]--
	case die:
		s.left[ofDeaths]--
		s.dead |= 1 << v.at
	case wipe:
		s.left[ofWipes]--
		s.dead |= 1 << v.at
	case saveOff:
		s.left[ofCopies]--
	case putBack:
		s.left[ofBacks]--
		s.dead |= 1 << v.at
	}
}

func (x *explorer) visit(p pending) {
	s := x.decode(p.code)
	from := x.seen[xxhash.Sum64String(p.code)]
	x.found.Depth = max(x.found.Depth, p.depth)
	for _, v := range x.moves(s) {
		n := *s
		n.cells, n.links = slices.Clone(s.cells), slices.Clone(s.links)
		n.pay(v)
		x.step(&n, v)
		x.found.Steps++
		x.todoFrom(&n, from, v, p.depth+1)
		if x.found.Violation != "" {
			return
		}
	}
}

func (x *explorer) meet(s *state, from uint32, v move) { x.todoFrom(s, from, v, 0) }

func (x *explorer) todoFrom(s *state, from uint32, v move, depth int) {
	code := x.encode(s)
	key := xxhash.Sum64(code)
	if _, ok := x.seen[key]; ok && x.found.Violation == "" {
		return
	}
	next := pending{string(code), depth} // what follows uses the buffer again
	x.seen[key] = uint32(len(x.ways))
	x.ways = append(x.ways, way{from, v})
	if x.b.LivenessEvery > 0 && len(x.ways)%x.b.LivenessEvery == 0 && x.found.Violation == "" {
		x.judgeResume(s, uint32(len(x.ways)-1))
	}
	if x.found.Violation != "" {
		x.found.Depth = depth
		x.found.Trace = x.trace(uint32(len(x.ways) - 1))
		return
	}
	x.todo = append(x.todo, next)
}

func (x *explorer) encode(s *state) []byte {
	b := x.buf[:0]
	num := func(v uint64) { b = binary.AppendUvarint(b, v) }
	for _, c := range s.cells {
		num(uint64(c))
	}
	for _, l := range s.links {
		num(uint64(len(l)))
		for _, m := range l {
			num(uint64(m))
		}
	}
	num(uint64(len(s.stray)))
	for _, p := range s.stray {
		num(uint64(p.msg))
		b = append(b, p.from, p.to)
	}
	b = append(append(b, s.left[:]...), s.put, s.dead)
	num(uint64(s.judge))
	x.buf = b
	return b
}

func (x *explorer) decode(code string) *state {
	b := []byte(code)
	num := func() uint64 { v, n := binary.Uvarint(b); b = b[n:]; return v }
	s := &state{cells: make([]uint32, x.n), links: make([][]uint32, x.n*x.n)}
	for i := range s.cells {
		s.cells[i] = uint32(num())
	}
	for i := range s.links {
		for range num() {
			s.links[i] = append(s.links[i], uint32(num()))
		}
	}
	for range num() {
		p := post{msg: uint32(num())}
		p.from, p.to = b[0], b[1]
		b = b[2:]
		s.stray = append(s.stray, p)
	}
	copy(s.left[:], b)
	n := len(s.left)
	s.put, s.dead = b[n], b[n+1]
	b = b[n+2:]
	s.judge = uint32(num())
	return s
}

// trace tells the way to a state.
func (x *explorer) trace(to uint32) []string {
	var all []string
	for ; to != 0; to = x.ways[to].from {
		all = append(all, x.say(x.ways[to].move))
	}
	slices.Reverse(all)
	return all
}

func (x *explorer) say(v move) string {
	var b strings.Builder
	name := x.names[v.at]
	switch v.in.kind {
	case take:
		fmt.Fprintf(&b, "%s>%s %T %+v", x.names[v.in.from], name, x.msgs[v.in.arg], x.msgs[v.in.arg])
		b.WriteString([...]string{"", " is lost", " is late", " comes, and is doubled"}[v.fate])
	case sync:
		fmt.Fprintf(&b, "%s has synced", name)
	case put:
		fmt.Fprintf(&b, "%s takes the put of version %d %q", name, x.course.puts[v.in.arg].Version, x.course.puts[v.in.arg].Body)
	case get:
		fmt.Fprintf(&b, "%s is asked", name)
	case leave:
		fmt.Fprintf(&b, "%s is told to end", name)
	case die:
		fmt.Fprintf(&b, "%s dies, %d writes under way are on disk, its messages lost: %v", name, v.in.arg, v.loses)
	case saveOff:
		fmt.Fprintf(&b, "a copy is taken of the disk of %s", name)
	case putBack:
		fmt.Fprintf(&b, "%s starts on the copy of its disk", name)
	case wipe:
		fmt.Fprintf(&b, "%s loses its disk, its messages lost: %v", name, v.loses)
	default:
		fmt.Fprintf(&b, "%v pass at %s", spans[v.in.kind], name)
	}
	return b.String()
}
