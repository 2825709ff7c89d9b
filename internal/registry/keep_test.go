package registry

import (
	"testing"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// pair are two processes that carry each other's messages at once.
func pair(t *testing.T, kept []Row) (a, b *Machine, step func(now fsm.Time)) {
	t.Helper()
	nodes := []memberlist.Node{{Addr: "a", Zone: "z", Member: true}, {Addr: "b", Zone: "z"}}
	a, b = New("a", "z", 1500*time.Millisecond, 1, time.Second), New("b", "z", 1500*time.Millisecond, 2, time.Second)
	by := map[string]*Machine{"a": a, "b": b}
	var carry func(from string, now fsm.Time, out Out)
	carry = func(from string, now fsm.Time, out Out) {
		for _, s := range out.Send {
			carry(s.To, now, by[s.To].Receive(now, from, s.Msg))
		}
	}
	carry("a", time.Second, a.Restore(time.Second, kept))
	for name, m := range by {
		carry(name, time.Second, m.SetNodes(time.Second, nodes))
	}
	return a, b, func(now fsm.Time) {
		carry("a", now, a.Tick(now))
		carry("b", now, b.Tick(now))
	}
}

var kept = []Row{{ID: "i-1", Addr: "10.1.0.1:80", Service: "s", Zone: "z", Seq: 7}}

// Where all have started with empty tables, what one kept fills all before the
// first beat.
func TestKeptListFillsAWholeStart(t *testing.T) {
	a, b, step := pair(t, kept)
	for now := time.Second; now <= 1400*time.Millisecond; now += 50 * time.Millisecond {
		step(now)
	}
	for name, m := range map[string]*Machine{"a": a, "b": b} {
		if s := m.Servers(); !m.Complete() || len(s) != 1 || s[0].ID != "i-1" {
			t.Errorf("%s: filled %v, servers %v", name, m.Complete(), s)
		}
	}
}

// Who alone has started anew takes the others' word: a server that has gone
// meanwhile does not come back.
func TestKeptListGivesWay(t *testing.T) {
	a, b, step := pair(t, kept)
	b.filled = true // it has been there all the time
	b.Heartbeat(time.Second, 1, Heartbeat{ID: "i-2", Addr: "10.1.0.2:80", Service: "s", Zone: "z", Seq: 1})
	for now := time.Second; now <= 1400*time.Millisecond; now += 50 * time.Millisecond {
		step(now)
	}
	for name, m := range map[string]*Machine{"a": a, "b": b} {
		if s := m.Servers(); !m.Complete() || len(s) != 1 || s[0].ID != "i-2" {
			t.Errorf("%s: filled %v, servers %v", name, m.Complete(), s)
		}
	}
}
