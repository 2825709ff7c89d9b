package consensus

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestPutBack: a backup's disk goes back behind a document that was acknowledged, the primary is lost, and the witness
// has heard of the token but not yet got the document. Nobody may serve until the primary is back; the mutant does.
func TestPutBack(t *testing.T) {
	t.Parallel()
	for _, bug := range []Bug{0, BugNoFencing} {
		w := calm(t, 3, 0, 1)
		w.setBug(bug)
		p, b, o := w.primary(), w.backup(), w.other()
		old, life := *b.synced, b.m.state.DiskID
		w.part(p, 20*ms, func(n *node) bool { return n == o }, false)
		w.until(t, 50*ms, p)
		for limit := w.now + time.Second; ; w.run(ms) {
			if k, _ := o.m.knownToken(b.cfg.Self, life); k.Saves > old.Saves {
				break
			}
			if w.now > limit {
				t.Fatal("the witness is not told of tokens")
			}
		}
		if o.m.state.Committed.Version == w.acked {
			t.Fatal("the document came before the token")
		}
		w.kill(p, true)
		w.kill(b, true)
		b.synced = &old
		w.start(b)
		w.run(3 * time.Second)
		w.call(b, true, Doc{})
		w.run(time.Second)
		if bug != 0 {
			if w.broken == nil {
				t.Error("a disk that was put back is not missed")
			}
			continue
		}
		if b.m.state.DiskID == life || b.m.FenceCount() != 1 || w.primary() != nil {
			t.Errorf("life %d after %d, %d times fenced, primary %v", b.m.state.DiskID, life, b.m.FenceCount(), w.primary())
		}
		w.settled() // also that the seat is taken again
		w.sane(t)
	}
}

// TestPutBackAlone has each member of a quiet core go back by itself, the primary too: it has its seat back with a new life.
func TestPutBackAlone(t *testing.T) {
	t.Parallel()
	for i := range 3 {
		w := calm(t, 3, 1, 1)
		n := w.nodes[i]
		old, life := *n.synced, n.m.state.DiskID
		for range 3 {
			w.until(t, 100*ms, w.primary())
		}
		w.run(time.Second)
		w.kill(n, true)
		n.synced = &old
		w.start(n)
		w.run(3 * time.Second)
		if n.m.state.DiskID == life || !n.m.isMember() || n.m.FenceCount() != 1 {
			t.Errorf("%s: life %d after %d, seated %v, fenced %d", n.cfg.Self, n.m.state.DiskID, life, n.m.isMember(), n.m.FenceCount())
		}
		w.settled()
		w.sane(t)
	}
}

// TestNoFalseFence: members that are killed and started, with what was synced or with more, keep their lives, and a quiet core
// writes nothing for the marks' sake.
func TestNoFalseFence(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 0, 1)
	lives := map[*node]uint64{}
	for _, n := range w.nodes {
		lives[n] = n.m.state.DiskID
	}
	for i := range 30 {
		n := w.nodes[i%3]
		w.put(w.nodes[(i+1)%3])
		w.run(time.Duration(w.rng.Int64N(int64(12 * ms))))
		w.kill(n, i%2 == 0)
		w.start(n)
		w.run(1500 * ms)
	}
	w.settled()
	w.sane(t)
	for n, life := range lives {
		if n.m.state.DiskID != life || n.m.FenceCount() > 0 {
			t.Errorf("%s is fenced for nothing", n.cfg.Self)
		}
	}
	w.run(2 * time.Second)
	before := w.nodes[0].m.seq + w.nodes[1].m.seq + w.nodes[2].m.seq
	w.run(10 * time.Second)
	if after := w.nodes[0].m.seq + w.nodes[1].m.seq + w.nodes[2].m.seq; after != before {
		t.Errorf("%d writes at rest", after-before)
	}
	for _, n := range w.nodes {
		if len(n.synced.KnownTokens) != 2 {
			t.Errorf("%s has %d marks on disk", n.cfg.Self, len(n.synced.KnownTokens))
		}
	}
}

// TestOldDiskWhole visits all states of small models in which a disk goes back, with guards in place.
func TestOldDiskWhole(t *testing.T) {
	t.Parallel()
	for _, b := range []ModelBounds{{StartSilent: true, DiskRollbacks: 1}, {StartSilent: true, DiskRollbacks: 1, ShortWaits: 1}, {StartSilent: true, DiskRollbacks: 1, Puts: 1},
		{StartSilent: true, DiskRollbacks: 1, LongWaits: 1}} {
		if f := Explore(b); !f.Complete || f.Violation != "" {
			t.Errorf("%+v: %+v", b, f)
		}
	}
}

// TestOldDiskWalks: a disk goes back in drawn schedules, and another machine is killed.
func TestOldDiskWalks(t *testing.T) {
	t.Parallel()
	for _, m := range [][2]int{{3, 1}, {6, 2}} {
		b := ModelBounds{Members: m[0], ToleratedLosses: m[1], StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3, LateMessages: 2, DuplicatedMessages: 1, ShortWaits: 60, LongWaits: 90}
		if w := Walk(b, OneRolledBack, 1, 25, 400); w.Violation != "" || w.DiskRollbacks == 0 {
			t.Errorf("%+v", w)
		}
	}
}

// before is what a disk was before there were tokens.
type before struct {
	Life     uint64      `cbor:"1,keyasint"`
	Genesis  bool        `cbor:"2,keyasint,omitempty"`
	Promised Ballot      `cbor:"3,keyasint"`
	Record   EpochRecord `cbor:"4,keyasint"`
	Stamp    Ballot      `cbor:"5,keyasint"`
	Kept     Doc         `cbor:"6,keyasint"`
	Next     Doc         `cbor:"7,keyasint"`
}

// TestDisksBefore reads a disk of the program before with this one, and this one's with that, and starts on it.
func TestDisksBefore(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 0, 1)
	n := w.nodes[0]
	raw, err := cbor.Marshal(n.m.state)
	if err != nil {
		t.Fatal(err)
	}
	var older before
	if err := cbor.Unmarshal(raw, &older); err != nil || older.Life != n.m.state.DiskID || !reflect.DeepEqual(older.Kept, n.m.state.Committed) {
		t.Fatalf("%v: %+v", err, older)
	}
	for _, n := range w.nodes { // all go back to the program before, and on to this one
		w.kill(n, true)
		raw, _ := cbor.Marshal(before{n.synced.DiskID, n.synced.NeverMember, n.synced.Promised, n.synced.Record, n.synced.StateBallot,
			n.synced.Committed, n.synced.Pending})
		n.synced = &DurableState{}
		if err := cbor.Unmarshal(raw, n.synced); err != nil || n.synced.Saves != 0 {
			t.Fatal(err)
		}
	}
	w.startAll()
	w.run(2 * time.Second)
	w.settled()
	w.sane(t)
	for _, n := range w.nodes {
		if n.m.FenceCount() > 0 {
			t.Errorf("%s is fenced", n.cfg.Self)
		}
	}
	for _, msg := range []any{HeartbeatReply{DiskID: 1}, Promise{DiskID: 1}, Appended{DiskID: 1}, StateInstalled{DiskID: 1}, EpochRecorded{DiskID: 1}, Prepare{}, Confirmed{}} {
		raw, err := cbor.Marshal(msg) // without a token they read as before: the field is left out
		if err != nil || w.nodes[0].m.acceptsToken("n01", msg) == false {
			t.Errorf("%T: %x, %v", msg, raw, err)
		}
	}
}
