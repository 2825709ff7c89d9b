package consensus

import (
	"cmp"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"asterwell/internal/dedup"
	"asterwell/internal/delta"
	"asterwell/internal/fsm"
)

const (
	beatEvery    = 200 * time.Millisecond
	helloEvery   = 150 * time.Millisecond
	pullEvery    = 300 * time.Millisecond
	inquireEvery = 500 * time.Millisecond
	resendEvery  = 100 * time.Millisecond
	sticky       = 600 * time.Millisecond  // a primary heard within it lives
	silence      = 700 * time.Millisecond  // and is lost after it
	stall        = 450 * time.Millisecond  // a disk or a writer that takes longer is left out
	vacant       = 1500 * time.Millisecond // a member silent so long may lose its seat
	settle       = 600 * time.Millisecond  // no founding while members still come
	patience     = 800 * time.Millisecond  // an operator's call, ticks included, ends within 900 ms
	perRank      = 70 * time.Millisecond
	booking      = 150 * time.Millisecond // keeps candidates from meeting half-way
	gather       = 25 * time.Millisecond
)

// Config is what a process knows about itself.
type Config struct {
	Self       string // mesh address
	Name, Zone string
	Member     bool // has a disk
	Genesis    bool // the disk is empty because nothing was ever there
	Losses     int
	Seeds      []string
	Seed       uint64
	Enter      func(kept, next Doc) Doc // what a primary keeps of a new document; nil: it as it is
}

// Doc is the document. Version 0 is none. A primary may amend one: the same version
// and body with a higher Rev, and what its user keeps beside it.
type Doc struct {
	Version uint32 `cbor:"1,keyasint,omitempty"`
	Body    []byte `cbor:"2,keyasint,omitempty"`
	Rev     uint32 `cbor:"3,keyasint,omitempty"`
	Side    []byte `cbor:"4,keyasint,omitempty"`

	Sum    []byte        `cbor:"5,keyasint,omitempty"` // digest of Body
	By     Ballot        `cbor:"6,keyasint,omitzero"`  // the epoch that made it
	Orders dedup.History `cbor:"7,keyasint,omitempty"` // accepted up to this one
	Notes  uint32        `cbor:"8,keyasint,omitempty"` // how often others were added to them since
	// Past is of the versions before this one: it stays while the version does, amended or not.
	Past []byte `cbor:"9,keyasint,omitempty"`

	Packed *delta.Delta `cbor:"10,keyasint,omitempty"` // the body, on the wire only: see pack.go
}

// Above says which of two documents takes the other's place.
func (d Doc) Above(o Doc) bool {
	return cmp.Or(cmp.Compare(d.Version, o.Version), cmp.Compare(d.Rev, o.Rev), cmp.Compare(d.Notes, o.Notes)) > 0
}

// Disk is all that a member must not forget.
type Disk struct {
	Life     uint64 `cbor:"1,keyasint"`
	Genesis  bool   `cbor:"2,keyasint,omitempty"` // never had a seat, so there is nothing forgotten
	Promised Ballot `cbor:"3,keyasint"`
	Record   Record `cbor:"4,keyasint"`
	Stamp    Ballot `cbor:"5,keyasint"`            // the epoch that Kept and Next were last copied or appended in
	Kept     Doc    `cbor:"6,keyasint"`            // committed
	Next     Doc    `cbor:"7,keyasint"`            // perhaps not committed, above Kept
	Count    uint64 `cbor:"8,keyasint,omitempty"`  // saves of this life, but for those of marks alone
	Marks    []Mark `cbor:"9,keyasint,omitempty"`  // what other seats have vouched for, see fence.go
	Format   uint32 `cbor:"10,keyasint,omitempty"` // see DiskFormat; of a write
}

// latest is the state that a writer vouches for.
func latest(kept, next Doc) Doc {
	if next.Above(kept) {
		return next
	}
	return kept
}

// Verdict is how an operator's call ended.
type Verdict uint8

// The verdicts.
const (
	Kept Verdict = iota + 1
	Busy
	Read
	None
	Differs // another text was accepted under this number
	Proved
)

func (v Verdict) String() string {
	return [...]string{"?", "kept", "busy", "read", "none", "differs", "proved"}[min(int(v), 6)]
}

// Answer ends a Put, a Get or a Prove.
type Answer struct {
	ID      uint64
	Verdict Verdict
	Doc     *Doc
	Primary string
	Version uint32 // Proved: what was kept then
}

// Write asks to sync a disk's whole content.
type Write struct {
	Seq  uint64
	Disk Disk
}

// Out is what a machine wants done.
type Out struct {
	Send     []fsm.Send
	Write    *Write
	Answers  []Answer
	Adopt    *Doc
	Affirmed uint64 // the newest of Affirm's rounds that is confirmed
	Fenced   bool   // the disk was older than what it had vouched for: this member is a newcomer now
}

// Peer is a process as the membership sees it.
type Peer struct {
	Addr, Name, Zone string
	Member, Up       bool
	Held             uint32
}

// Status is for operators.
type Status struct {
	Role     string // follower, member, candidate, primary
	Epoch    uint64
	Primary  string
	Members  []string
	Writers  []string
	Founding uint64
	Version  uint32
}

type heldSend struct {
	seq  uint64
	send fsm.Send
}

type pendingWrite struct {
	seq   uint64
	at    fsm.Time
	life  uint64
	count uint64
}

// Machine is one process's part.
type Machine struct {
	c     Config
	d     Disk
	rng   *rand.Rand
	salt  uint64
	now   fsm.Time
	start fsm.Time
	tick  fsm.Time
	out   Out
	loop  []fsm.Send // to itself

	dirty   bool
	seq     uint64
	written uint64
	writes  []pendingWrite
	lag     lag
	fresh   []fsm.Send // to go out once what this input wrote is synced
	held    []heldSend

	seeds  []string
	peers  []Peer
	most   uint32 // the highest version that one of them has
	view   Record // the newest active one known
	told   uint32 // highest committed version heard of
	teller string
	given  map[string]fsm.Time // large documents that were asked for, and may be on their way still
	primed fsm.Time            // when the primary last told its view

	alive    fsm.Time // when a primary or a candidate promised to was heard
	aliveBy  string
	top      uint64 // highest ballot number seen
	jitter   fsm.Time
	booked   fsm.Time // until when only bookedBy may be granted a probe
	bookedBy string
	bid      *bid
	lead     *lead
	shun     map[string]fsm.Time

	calls   []*call
	spare   fsm.Time // when a document may be repeated again
	queue   []*wait
	hello   fsm.Time
	pulled  fsm.Time
	behind  fsm.Time // since when others are known to have more; 0: they haven't
	turn    int
	founder founder
	adopted Doc     // the newest handed out to be put in force
	recent  []Delta // that led to the document held, for those that were away; never changed in place
	packed  Delta   // the document held, whole
	past    []Change
	notice  Notice   // 0: it does not leave
	parted  fsm.Time // when it first said that it ends as soon as it may
	left    fsm.Time // when it last asked for that
	free    bool     // it has been released
	active  uint64   // the write that had the record as an active one first; 0: it is on disk
	handed  fsm.Time // when it handed its epoch over
	bug     Bug

	base   uint64   // saves that the disk had when this process started
	safe   uint64   // saves that are synced
	noted  fsm.Time // since when marks wait to be written; 0: none do
	flush  bool     // they wait no longer
	fenced int

	readers readers     // of packed documents
	parcels []parcelled // what was packed last
}

// Bug switches a guard off, to show that the judges miss it.
type Bug uint8

// The bugs. Those of disks are the models'.
const (
	BugAckEarly    Bug = iota + 1 // answer before the backups have it
	BugNoPromise                  // obey primaries that were overtaken
	BugAnyData                    // take over with whatever data the promises bring
	BugAlone                      // take over without the witnesses' promises and records
	BugUnsynced                   // a disk says that it has synced before it has
	BugAmnesia                    // an empty disk counts as the one that was there
	BugOldDisk                    // a disk put back to an older state counts as the newer one
	BugAnyText                    // acknowledge any text under a number that is not above the one kept
	BugForgets                    // a takeover forgets which orders were accepted
	BugStay                       // who leaves keeps its seat
	BugUnproven                   // who does not answer counts as lost
	BugNoLearner                  // a newcomer has its seat before it has said that it is there
	BugReleased                   // who leaves ends before the others know the epoch without it
	BugFew                        // take puts with fewer writers than copies are wanted
	BugDeaf                       // who has missed a document doesn't ask for it
	BugStorms                     // documents are repeated to whoever may lead, as often as small calls
	BugUnconfirmed                // reads are answered without asking the writers
	BugWhole                      // large documents are not packed in promises, copies, appends and calls
	BugRemnant                    // who is ended soon while another one is missing keeps its seat
	BugAnyLife                    // answers to calls of a caller's earlier life count
	BugOwnText                    // a candidate that lacks a text which a promise names goes on with its own
)

// SetBug switches a guard off.
func (m *Machine) SetBug(b Bug) { m.bug = b }

// New starts a process. A nil disk is an empty one, or none.
func New(c Config, d *Disk, now fsm.Time) *Machine {
	h := fnv.New64a()
	h.Write([]byte(c.Self))
	m := &Machine{c: c, rng: rand.New(rand.NewPCG(c.Seed, h.Sum64())), now: now, start: now, tick: now,
		alive: now, hello: now - helloEvery, pulled: now - pullEvery, shun: map[string]fsm.Time{},
		seeds: slices.Clone(c.Seeds)}
	m.salt = m.rng.Uint64()
	m.jitter = time.Duration(m.rng.Int64N(int64(60 * time.Millisecond)))
	m.founder = newFounder(c, now)
	if !c.Member {
		return m
	}
	if d != nil && d.Life != 0 {
		m.d = *d
	} else {
		m.d = Disk{Life: m.rng.Uint64() | 1, Genesis: c.Genesis}
		m.dirty = true
	}
	m.base, m.safe = m.d.Count, m.d.Count
	m.top = m.d.Promised.N
	if m.d.Record.Active {
		m.view = m.d.Record
	}
	if w := m.d.Record.Writers; len(w) > 0 && w[0] == c.Self {
		m.alive = now - silence + 150*time.Millisecond
	}
	return m
}

// Held is the newest committed document known here.
func (m *Machine) Held() *Doc {
	if m.d.Kept.Version == 0 {
		return nil
	}
	d := m.d.Kept
	return &d
}

// Status tells operators how things stand.
func (m *Machine) Status() Status {
	s := Status{Role: "follower", Epoch: m.view.Ballot.N, Primary: m.view.primary(), Founding: m.view.Founding,
		Writers: slices.Clone(m.view.Writers), Version: m.d.Kept.Version}
	for _, seat := range m.view.Set {
		s.Members = append(s.Members, seat.Addr)
	}
	switch {
	case m.lead != nil:
		s.Role = "primary"
	case m.bid != nil:
		s.Role = "candidate"
	case m.seated():
		s.Role = "member"
	}
	return s
}

// Peers takes the membership's view, which may be wrong, and keeps it.
func (m *Machine) Peers(now fsm.Time, peers []Peer) {
	m.now, m.peers, m.most = max(m.now, now), peers, 0
	for _, p := range peers {
		m.most = max(m.most, p.Held)
	}
}

// Holds notes which version a process has.
func (m *Machine) Holds(addr string, version uint32) {
	if i := slices.IndexFunc(m.peers, func(p Peer) bool { return p.Addr == addr }); i >= 0 {
		m.peers[i].Held = max(m.peers[i].Held, version)
		m.most = max(m.most, version)
	}
}

// Seeds replaces the addresses to turn to.
func (m *Machine) Seeds(now fsm.Time, seeds []string) {
	m.now, m.seeds = max(m.now, now), slices.Clone(seeds)
}

// Tick lets time pass.
func (m *Machine) Tick(now fsm.Time) Out {
	m.now = max(m.now, now)
	if m.now-m.tick > sticky && m.lead == nil { // frozen: what was not heard says nothing
		m.alive = m.now
		m.bid = nil
	}
	m.tick = m.now
	m.expire()
	m.greet()
	m.found()
	m.steer()
	m.depart()
	m.rise()
	m.catchUp()
	m.settleMarks()
	return m.end()
}

// Written says that a write, and all before it, are synced.
func (m *Machine) Written(now fsm.Time, seq uint64) Out {
	m.now = max(m.now, now)
	m.written = max(m.written, seq)
	if m.active <= m.written {
		m.active = 0
	}
	if len(m.writes) > 0 && m.writes[0].seq <= seq {
		m.lag.note(m.now, m.now-m.writes[0].at)
	}
	for _, w := range m.writes {
		if w.seq <= m.written {
			m.saved(w)
		}
	}
	m.writes = slices.DeleteFunc(m.writes, func(w pendingWrite) bool { return w.seq <= m.written })
	rest := m.held[:0:0]
	for _, h := range m.held {
		if h.seq <= m.written {
			m.send(h.send.To, h.send.Msg)
		} else {
			rest = append(rest, h)
		}
	}
	m.held = rest
	return m.end()
}

// Take takes a message.
func (m *Machine) Take(now fsm.Time, from string, msg any) Out {
	m.now = max(m.now, now)
	m.take(from, msg)
	return m.end()
}

func (m *Machine) take(from string, msg any) {
	m.noteReader(from, msg)
	msg, whole := m.unpacked(msg)
	if !whole {
		if _, ok := msg.(Forward); ok { // the caller may have gone by an older one than leads
			m.tell(from)
		}
		return
	}
	switch t := msg.(type) {
	case Hello:
		m.onHello(from, t)
	case Found:
		m.onFound(t.Record)
	case Ask:
		m.tell(from)
	case View:
		m.learn(t.Record)
		if t.Leads && from == m.view.primary() {
			m.primed = m.now
			if m.bid == nil && m.lead == nil {
				m.hear(from)
			}
		}
		m.heardOf(from, t.Version)
	case Push:
		if len(t.Deltas) > 0 {
			m.onDeltas(from, t.Deltas)
		} else {
			m.commit(t.Doc)
		}
		for _, to := range t.On {
			m.send(to, Push{Doc: t.Doc.bare(), Deltas: t.Deltas})
		}
	case Amended:
		kept := m.d.Kept
		doc := Doc{Version: t.Version, Rev: t.Rev, Body: kept.Body, Sum: kept.Sum, By: t.By, Notes: t.Notes, Past: kept.Past}
		if kept.Version == t.Version && (t.Notes == 0 || doc.is(m.d.Next)) {
			m.commit(doc)
		}
	case Pull:
		if m.d.Kept.Version > t.Held {
			if t.Deltas {
				m.bring(from, m.parcel(t.Held))
			} else { // what came as differences was damaged
				m.send(from, Push{Doc: m.d.Kept.bare()})
			}
		}
	case Forward:
		m.onForward(from, t)
	case Answered:
		m.onAnswered(t)
	default:
		if m.c.Member {
			m.takeMember(from, msg)
		}
	}
}

func (m *Machine) takeMember(from string, msg any) {
	if !m.believes(from, msg) {
		return
	}
	switch t := msg.(type) {
	case Beat:
		m.onBeat(from, t)
	case Resign:
		m.onResign(from, t)
	case Probe:
		m.onProbe(from, t)
	case Prepare:
		m.onPrepare(from, t)
	case Copy:
		m.onCopy(from, t)
	case Enact:
		m.onEnact(from, t)
	case Append:
		m.onAppend(from, t)
	case Confirm:
		m.onConfirm(from, t)
	case Probed:
		m.onProbed(from, t)
	case Promise:
		m.onPromise(from, t)
	case Refuse:
		m.onRefuse(from, t)
	case Copied:
		m.onCopied(from, t)
	case Enacted:
		m.onEnacted(from, t)
	case Leave:
		m.onLeave(from, t)
	case Released:
		m.free = m.free || m.notice != 0 && t.Life == m.d.Life
	case Handover:
		m.onHandover(from, t)
	case Void:
		m.onVoid(from, t)
	case Beaten:
		m.onBeaten(from, t)
	case Appended:
		m.onAppended(from, t)
	case Confirmed:
		m.onConfirmed(from, t)
	case Fenced:
		m.onFenced(t)
	}
}

func (m *Machine) send(to string, msg any) {
	msg = m.shortened(to, m.stamped(msg))
	if to == m.c.Self {
		m.loop = append(m.loop, fsm.Send{To: to, Msg: msg})
		return
	}
	m.out.Send = append(m.out.Send, fsm.Send{To: to, Msg: msg})
}

// durable sends once all that is known here now is on disk.
func (m *Machine) durable(to string, msg any) {
	m.fresh = append(m.fresh, fsm.Send{To: to, Msg: msg})
}

// end closes an input: what it wrote, and what may go out at once.
func (m *Machine) end() Out {
	for {
		for len(m.loop) > 0 {
			s := m.loop[0]
			m.loop = m.loop[1:]
			m.take(m.c.Self, s.Msg)
		}
		if (m.dirty || m.flush) && m.c.Member {
			if m.dirty {
				m.d.Count++
			}
			m.seq++
			m.writes = append(m.writes, pendingWrite{m.seq, m.now, m.d.Life, m.d.Count})
			m.noted = 0
			m.d.Format = DiskFormat
			m.out.Write = &Write{Seq: m.seq, Disk: m.d}
		}
		m.dirty, m.flush = false, false
		fresh := m.fresh
		m.fresh = nil
		for _, s := range fresh {
			if m.seq > m.written {
				m.held = append(m.held, heldSend{m.seq, s})
			} else {
				m.send(s.To, s.Msg)
			}
		}
		if len(m.loop) == 0 {
			m.remember()
			if m.d.Kept.later(m.adopted) {
				m.adopted, m.out.Adopt = m.d.Kept, m.Held()
			}
			out := m.out
			m.out = Out{}
			return out
		}
	}
}

// slow says whether the disk has left a write unsynced for long.
func (m *Machine) slow() bool { return len(m.writes) > 0 && m.now-m.writes[0].at > stall }

// seated says whether the newest record held gives this very memory a seat.
func (m *Machine) seated() bool { return m.c.Member && m.d.Record.has(m.c.Self, m.d.Life) }
