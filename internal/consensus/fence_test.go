package consensus

import (
	"reflect"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestDiskRollback restores a backup's disk to a state before an acknowledged document. The primary
// fails, and the witness knows the backup's token but not yet the document. No process may serve
// until the primary is back. Without fencing one does.
func TestDiskRollback(t *testing.T) {
	t.Parallel()
	for _, bug := range []Bug{0, BugNoFencing} {
		w := newSteadyCluster(t, 3, 0, 1)
		w.setBug(bug)
		p, b, o := w.primary(), w.backup(), w.witness()
		copied, diskID := *b.synced, b.machine.state.DiskID
		w.partition(p, 20*ms, func(n *simNode) bool { return n == o }, false)
		w.runUntilAccepted(t, 50*ms, p)
		for limit := w.now + time.Second; ; w.run(ms) {
			if k, _ := o.machine.knownToken(b.config.Self, diskID); k.Saves > copied.Saves {
				break
			}
			if w.now > limit {
				t.Fatal("the witness does not learn the token")
			}
		}
		if o.machine.state.Committed.Version == w.highestAcked {
			t.Fatal("the document came before the token")
		}
		w.kill(p, true)
		w.kill(b, true)
		b.synced = &copied
		w.start(b)
		w.run(3 * time.Second)
		w.call(b, true, Doc{})
		w.run(time.Second)
		if bug != 0 {
			if w.failure == nil {
				t.Error("BugNoFencing is not detected")
			}
			continue
		}
		if b.machine.state.DiskID == diskID || b.machine.FenceCount() != 1 || w.primary() != nil {
			t.Errorf("disk ID %d after %d, fenced %d times, primary %v", b.machine.state.DiskID, diskID,
				b.machine.FenceCount(), w.primary())
		}
		w.finishAndCheckProgress() // also checks that the member is admitted again
		w.checkNoFailure(t)
	}
}

// TestSingleDiskRollback restores the disk of each member of a steady cluster, also of the primary.
// The process becomes a member again, with a new disk ID.
func TestSingleDiskRollback(t *testing.T) {
	t.Parallel()
	for i := range 3 {
		w := newSteadyCluster(t, 3, 1, 1)
		n := w.nodes[i]
		copied, diskID := *n.synced, n.machine.state.DiskID
		for range 3 {
			w.runUntilAccepted(t, 100*ms, w.primary())
		}
		w.run(time.Second)
		w.kill(n, true)
		n.synced = &copied
		w.start(n)
		w.run(3 * time.Second)
		if n.machine.state.DiskID == diskID || !n.machine.isMember() || n.machine.FenceCount() != 1 {
			t.Errorf("%s: disk ID %d after %d, member %v, fenced %d times", n.config.Self, n.machine.state.DiskID,
				diskID, n.machine.isMember(), n.machine.FenceCount())
		}
		w.finishAndCheckProgress()
		w.checkNoFailure(t)
	}
}

// TestNoFalseFence checks that members that are killed and restarted, with or without their
// unsynced writes, keep their disk IDs, and that a steady cluster makes no writes for tokens.
func TestNoFalseFence(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 0, 1)
	diskIDs := map[*simNode]uint64{}
	for _, n := range w.nodes {
		diskIDs[n] = n.machine.state.DiskID
	}
	for i := range 30 {
		n := w.nodes[i%3]
		w.put(w.nodes[(i+1)%3])
		w.run(time.Duration(w.rng.Int64N(int64(12 * ms))))
		w.kill(n, i%2 == 0)
		w.start(n)
		w.run(1500 * ms)
	}
	w.finishAndCheckProgress()
	w.checkNoFailure(t)
	for n, diskID := range diskIDs {
		if n.machine.state.DiskID != diskID || n.machine.FenceCount() > 0 {
			t.Errorf("%s is fenced without a rollback", n.config.Self)
		}
	}
	w.run(2 * time.Second)
	before := w.nodes[0].machine.seq + w.nodes[1].machine.seq + w.nodes[2].machine.seq
	w.run(10 * time.Second)
	if after := w.nodes[0].machine.seq + w.nodes[1].machine.seq + w.nodes[2].machine.seq; after != before {
		t.Errorf("%d writes in a steady cluster", after-before)
	}
	for _, n := range w.nodes {
		if len(n.synced.KnownTokens) != 2 {
			t.Errorf("%s has %d tokens on disk", n.config.Self, len(n.synced.KnownTokens))
		}
	}
}

// TestExploreDiskRollback explores small models with a disk rollback completely.
func TestExploreDiskRollback(t *testing.T) {
	t.Parallel()
	for _, b := range []ModelBounds{{StartSilent: true, DiskRollbacks: 1},
		{StartSilent: true, DiskRollbacks: 1, ShortWaits: 1}, {StartSilent: true, DiskRollbacks: 1, Puts: 1},
		{StartSilent: true, DiskRollbacks: 1, LongWaits: 1}} {
		if f := Explore(b); !f.Complete || f.Violation != "" {
			t.Errorf("%+v: %+v", b, f)
		}
	}
}

// TestRandomWalkDiskRollback restores a disk in random walks and kills another machine.
func TestRandomWalkDiskRollback(t *testing.T) {
	t.Parallel()
	for _, m := range [][2]int{{3, 1}, {6, 2}} {
		b := ModelBounds{Members: m[0], ToleratedLosses: m[1], StartSilent: true, Puts: 4, Reads: 2, LostMessages: 3,
			LateMessages: 2, DuplicatedMessages: 1, ShortWaits: 60, LongWaits: 90}
		if w := Walk(b, OneRolledBack, 1, 25, 400); w.Violation != "" || w.DiskRollbacks == 0 {
			t.Errorf("%+v", w)
		}
	}
}

// stateWithoutTokens is the durable state of the release before fencing tokens.
type stateWithoutTokens struct {
	Life     uint64      `cbor:"1,keyasint"`
	Genesis  bool        `cbor:"2,keyasint,omitempty"`
	Promised Ballot      `cbor:"3,keyasint"`
	Record   EpochRecord `cbor:"4,keyasint"`
	Stamp    Ballot      `cbor:"5,keyasint"`
	Kept     Doc         `cbor:"6,keyasint"`
	Next     Doc         `cbor:"7,keyasint"`
}

// TestStateWithoutTokens reads a state of this release with that release's type and the reverse,
// and starts from it.
func TestStateWithoutTokens(t *testing.T) {
	t.Parallel()
	w := newSteadyCluster(t, 3, 0, 1)
	n := w.nodes[0]
	raw, err := cbor.Marshal(n.machine.state)
	if err != nil {
		t.Fatal(err)
	}
	var older stateWithoutTokens
	if err := cbor.Unmarshal(raw, &older); err != nil || older.Life != n.machine.state.DiskID ||
		!reflect.DeepEqual(older.Kept, n.machine.state.Committed) {
		t.Fatalf("%v: %+v", err, older)
	}
	for _, n := range w.nodes { // all are downgraded to that release and upgraded again
		w.kill(n, true)
		raw, _ := cbor.Marshal(stateWithoutTokens{n.synced.DiskID, n.synced.NeverMember, n.synced.Promised,
			n.synced.Record, n.synced.StateBallot,
			n.synced.Committed, n.synced.Pending})
		n.synced = &DurableState{}
		if err := cbor.Unmarshal(raw, n.synced); err != nil || n.synced.Saves != 0 {
			t.Fatal(err)
		}
	}
	w.startAll()
	w.run(2 * time.Second)
	w.finishAndCheckProgress()
	w.checkNoFailure(t)
	for _, n := range w.nodes {
		if n.machine.FenceCount() > 0 {
			t.Errorf("%s is fenced", n.config.Self)
		}
	}
	for _, msg := range []any{HeartbeatReply{DiskID: 1}, Promise{DiskID: 1}, Appended{DiskID: 1},
		StateInstalled{DiskID: 1}, EpochRecorded{DiskID: 1}, Prepare{}, Confirmed{}} {
		raw, err := cbor.Marshal(msg) // without a token the field is left out, as in that release
		if err != nil || w.nodes[0].machine.acceptsToken("n01", msg) == false {
			t.Errorf("%T: %x, %v", msg, raw, err)
		}
	}
}
