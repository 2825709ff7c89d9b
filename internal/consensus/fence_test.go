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
	for _, bug := range []Bug{0, BugOldDisk} {
		w := calm(t, 3, 0, 1)
		w.setBug(bug)
		p, b, o := w.primary(), w.backup(), w.other()
		old, life := *b.synced, b.m.d.Life
		w.part(p, 20*ms, func(n *node) bool { return n == o }, false)
		w.until(t, 50*ms, p)
		for limit := w.now + time.Second; ; w.run(ms) {
			if k, _ := o.m.mark(b.cfg.Self, life); k.Count > old.Count {
				break
			}
			if w.now > limit {
				t.Fatal("the witness is not told of tokens")
			}
		}
		if o.m.d.Kept.Version == w.acked {
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
		if b.m.d.Life == life || b.m.Fences() != 1 || w.primary() != nil {
			t.Errorf("life %d after %d, %d times fenced, primary %v", b.m.d.Life, life, b.m.Fences(), w.primary())
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
		old, life := *n.synced, n.m.d.Life
		for range 3 {
			w.until(t, 100*ms, w.primary())
		}
		w.run(time.Second)
		w.kill(n, true)
		n.synced = &old
		w.start(n)
		w.run(3 * time.Second)
		if n.m.d.Life == life || !n.m.seated() || n.m.Fences() != 1 {
			t.Errorf("%s: life %d after %d, seated %v, fenced %d", n.cfg.Self, n.m.d.Life, life, n.m.seated(), n.m.Fences())
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
		lives[n] = n.m.d.Life
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
		if n.m.d.Life != life || n.m.Fences() > 0 {
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
		if len(n.synced.Marks) != 2 {
			t.Errorf("%s has %d marks on disk", n.cfg.Self, len(n.synced.Marks))
		}
	}
}

// TestOldDiskWhole visits all states of small models in which a disk goes back, with guards in place.
func TestOldDiskWhole(t *testing.T) {
	t.Parallel()
	for _, b := range []Bounds{{Silent: true, Backs: 1}, {Silent: true, Backs: 1, Shorts: 1}, {Silent: true, Backs: 1, Puts: 1},
		{Silent: true, Backs: 1, Longs: 1}} {
		if f := Explore(b); !f.All || f.Broken != "" {
			t.Errorf("%+v: %+v", b, f)
		}
	}
}

// TestOldDiskWalks: a disk goes back in drawn schedules, and another machine is killed.
func TestOldDiskWalks(t *testing.T) {
	t.Parallel()
	for _, m := range [][2]int{{3, 1}, {6, 2}} {
		b := Bounds{Members: m[0], Losses: m[1], Silent: true, Puts: 4, Reads: 2, Lost: 3, Late: 2, Doubled: 1, Shorts: 60, Longs: 90}
		if w := Walk(b, OneBack, 1, 25, 400); w.Broken != "" || w.Backs == 0 {
			t.Errorf("%+v", w)
		}
	}
}

// before is what a disk was before there were tokens.
type before struct {
	Life     uint64 `cbor:"1,keyasint"`
	Genesis  bool   `cbor:"2,keyasint,omitempty"`
	Promised Ballot `cbor:"3,keyasint"`
	Record   Record `cbor:"4,keyasint"`
	Stamp    Ballot `cbor:"5,keyasint"`
	Kept     Doc    `cbor:"6,keyasint"`
	Next     Doc    `cbor:"7,keyasint"`
}

// TestDisksBefore reads a disk of the program before with this one, and this one's with that, and starts on it.
func TestDisksBefore(t *testing.T) {
	t.Parallel()
	w := calm(t, 3, 0, 1)
	n := w.nodes[0]
	raw, err := cbor.Marshal(n.m.d)
	if err != nil {
		t.Fatal(err)
	}
	var older before
	if err := cbor.Unmarshal(raw, &older); err != nil || older.Life != n.m.d.Life || !reflect.DeepEqual(older.Kept, n.m.d.Kept) {
		t.Fatalf("%v: %+v", err, older)
	}
	for _, n := range w.nodes { // all go back to the program before, and on to this one
		w.kill(n, true)
		raw, _ := cbor.Marshal(before{n.synced.Life, n.synced.Genesis, n.synced.Promised, n.synced.Record, n.synced.Stamp,
			n.synced.Kept, n.synced.Next})
		n.synced = &Disk{}
		if err := cbor.Unmarshal(raw, n.synced); err != nil || n.synced.Count != 0 {
			t.Fatal(err)
		}
	}
	w.startAll()
	w.run(2 * time.Second)
	w.settled()
	w.sane(t)
	for _, n := range w.nodes {
		if n.m.Fences() > 0 {
			t.Errorf("%s is fenced", n.cfg.Self)
		}
	}
	for _, msg := range []any{Beaten{Life: 1}, Promise{Life: 1}, Appended{Life: 1}, Copied{Life: 1}, Enacted{Life: 1}, Prepare{}, Confirmed{}} {
		raw, err := cbor.Marshal(msg) // without a token they read as before: the field is left out
		if err != nil || w.nodes[0].m.believes("n01", msg) == false {
			t.Errorf("%T: %x, %v", msg, raw, err)
		}
	}
}
