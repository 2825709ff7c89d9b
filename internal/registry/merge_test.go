package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// TestMergeOrder checks that rows give the same table in any order, and that a leaving server never
// becomes usable again.
func TestMergeOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(1, 1))
	for round := range 300 {
		var rows []Row
		for range 12 {
			row := Row{ID: fmt.Sprint("s", r.IntN(3)), Service: "a", Phase: Phase(r.IntN(3)), Seq: uint64(r.IntN(4))}
			if r.IntN(8) == 0 {
				row.Phase = Ended
			}
			rows = append(rows, row)
		}
		var want map[string]Server
		for range 4 {
			m := New("10.0.0.1:1", "z", time.Second, 1, 0)
			m.complete = true
			worst := map[string]Phase{}
			for _, i := range r.Perm(len(rows)) {
				m.merge(rows[i])
				id := rows[i].ID
				worst[id] = max(worst[id], rows[i].Phase)
				if worst[id] >= Quiescing && m.items[id].Phase != worst[id] {
					t.Fatalf("round %d: %s is %v after %v", round, id, m.items[id].Phase, worst[id])
				}
			}
			got := map[string]Server{}
			for _, s := range m.Servers() {
				if s.Phase == Ended {
					s.Seq = 0
				}
				got[s.ID] = s
			}
			if want == nil {
				want = got
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("round %d: %v and %v", round, got, want)
			}
		}
	}
}

// TestRepeatedQuiesce checks that a repeated call of a leaving server is answered together with the
// first one while that waits, and at once after that.
func TestRepeatedQuiesce(t *testing.T) {
	m := New("a:1", "z", time.Second, 1, 0)
	m.SetNodes(0, []memberlist.Node{{Addr: "a:1", Control: "a:2"}, {Addr: "b:1", Control: "b:2"}})
	say := func(now fsm.Time, call, seq uint64) Out {
		return m.Heartbeat(now, call, Heartbeat{ID: "s", Addr: "s:1", Service: "x", Zone: "z", Quiescing: true, Seq: seq})
	}
	first := say(10, 1, 1)
	if len(first.Answers) != 0 || len(first.Send) == 0 {
		t.Fatalf("%+v", first)
	}
	if o := say(20, 2, 2); len(o.Answers) != 0 {
		t.Fatalf("answered before all confirmed: %+v", o)
	}
	var number uint64
	for _, s := range first.Send {
		if n, ok := s.Msg.(Update); ok {
			number = n.Number
		}
	}
	if o := m.Receive(30, "c:1", Ack{Number: number}); len(o.Answers) != 0 {
		t.Fatalf("the confirmation of an unknown process counted: %+v", o)
	}
	if o := m.Receive(30, "b:1", Ack{Number: number}); len(o.Answers) != 2 {
		t.Fatalf("%+v", o)
	}
	if o := say(40, 3, 3); len(o.Answers) != 1 {
		t.Fatalf("%+v", o)
	}
}

// TestServersAtOneAddress checks that of two servers at one address the one that was heard lives,
// and that a late heartbeat of the other is no sign of life.
func TestServersAtOneAddress(t *testing.T) {
	m := New("a:1", "z", time.Second, 1, 0)
	m.Receive(0, "b:1", Update{Rows: []Row{{ID: "old", Addr: "s:1", Seq: 5}, {ID: "new", Addr: "s:1", Seq: 1}}})
	m.Heartbeat(10, 1, Heartbeat{ID: "old", Addr: "s:1", Seq: 4})
	if m.items["new"].Phase != Serving {
		t.Fatal("a late heartbeat ended the successor")
	}
	m.Heartbeat(20, 2, Heartbeat{ID: "new", Addr: "s:1", Seq: 2})
	if m.items["old"].Phase != Ended || m.items["new"].Phase != Serving {
		t.Fatalf("%+v", m.Servers())
	}
}

// TestHomeMoves checks that a server whose home has moved is not called silent by its former home,
// and is watched again when the home moves back. Some servers stay on each side.
func TestHomeMoves(t *testing.T) {
	nodes := []memberlist.Node{{Addr: "a:1", Zone: "z", Control: "a:2"}, {Addr: "b:1", Zone: "z", Control: "b:2"}}
	m, now := New("a:1", "z", time.Second, 1, 0), fsm.Time(0)
	m.SetNodes(now, nodes[:1])
	m.complete = true
	for i := range 20 {
		m.Heartbeat(now, uint64(i), Heartbeat{ID: fmt.Sprint("s", i), Addr: fmt.Sprint("s:", i), Service: fmt.Sprint("x", i), Zone: "z", Seq: 1})
	}
	count := func() (silent, mine int) {
		for end := now + 10*time.Second; now < end; now += 50 * time.Millisecond {
			m.Tick(now)
		}
		for _, it := range m.sorted {
			if m.isHome(it) {
				mine++
			}
			if it.Phase == Silent {
				silent++
			}
		}
		return silent, mine
	}
	m.SetNodes(now, nodes)
	if silent, mine := count(); silent != mine || mine == 0 || mine == 20 {
		t.Fatalf("%d silent, %d with their home here", silent, mine)
	}
	m.SetNodes(now, nodes[:1])
	if silent, mine := count(); silent != 20 || mine != 20 {
		t.Fatalf("%d silent, %d with their home here", silent, mine)
	}
}
