package registry

import (
	"testing"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// newPair returns two processes that receive each other's messages at once. The first one restores
// the given rows.
func newPair(t *testing.T, kept []Row) (a, b *Machine, step func(now fsm.Time)) {
	t.Helper()
	nodes := []memberlist.Node{{Addr: "a", Zone: "z", Member: true}, {Addr: "b", Zone: "z"}}
	a, b = New("a", "z", 1500*time.Millisecond, 1, time.Second), New("b", "z", 1500*time.Millisecond, 2, time.Second)
	machines := map[string]*Machine{"a": a, "b": b}
	var deliver func(from string, now fsm.Time, out Out)
	deliver = func(from string, now fsm.Time, out Out) {
		for _, s := range out.Send {
			deliver(s.To, now, machines[s.To].Receive(now, from, s.Msg))
		}
	}
	deliver("a", time.Second, a.Restore(time.Second, Stored{Servers: kept, Intact: true}))
	for name, m := range machines {
		deliver(name, time.Second, m.SetNodes(time.Second, nodes))
	}
	return a, b, func(now fsm.Time) {
		deliver("a", now, a.Tick(now))
		deliver("b", now, b.Tick(now))
	}
}

var snapshotRows = []Row{{ID: "i-1", Addr: "10.1.0.1:80", Service: "s", Zone: "z", Seq: 7}}

// TestSnapshotFillsColdStart checks that, when all processes start with empty tables, one snapshot
// fills all of them before the first heartbeat.
func TestSnapshotFillsColdStart(t *testing.T) {
	a, b, step := newPair(t, snapshotRows)
	for now := time.Second; now <= 1400*time.Millisecond; now += 50 * time.Millisecond {
		step(now)
	}
	for name, m := range map[string]*Machine{"a": a, "b": b} {
		if s := m.Servers(); !m.Complete() || len(s) != 1 || s[0].ID != "i-1" {
			t.Errorf("%s: complete %v, servers %v", name, m.Complete(), s)
		}
	}
}

// TestSnapshotYieldsToPeers guards against a restart of one process that brings back a server which
// ended meanwhile: the table of the other process counts.
func TestSnapshotYieldsToPeers(t *testing.T) {
	a, b, step := newPair(t, snapshotRows)
	b.complete = true // it was not restarted
	b.Heartbeat(time.Second, 1, Heartbeat{ID: "i-2", Addr: "10.1.0.2:80", Service: "s", Zone: "z", Seq: 1})
	for now := time.Second; now <= 1400*time.Millisecond; now += 50 * time.Millisecond {
		step(now)
	}
	for name, m := range map[string]*Machine{"a": a, "b": b} {
		if s := m.Servers(); !m.Complete() || len(s) != 1 || s[0].ID != "i-2" {
			t.Errorf("%s: complete %v, servers %v", name, m.Complete(), s)
		}
	}
}
