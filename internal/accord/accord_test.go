package accord

import (
	"fmt"
	"testing"
	"time"

	"asterwell/internal/pact"
	"asterwell/internal/plane"
)

func doc(version uint32, rollout string) pact.Doc {
	return pact.Doc{Version: version, Body: fmt.Appendf(nil, `{"Epoch":"%08x","Rollout":{%s}}`, version, rollout)}
}

// What is kept of a document goes by what is live when it comes, and has one outcome.
func TestEnter(t *testing.T) {
	const together, each = `"Mode":"together"`, `"Mode":"each"`
	one := Enter(pact.Doc{}, doc(1, together))
	two := Enter(one, doc(2, each))
	for _, c := range []struct {
		name string
		doc  pact.Doc
		fate Fate
		live uint32
	}{
		{"the first", one, Live, 1},
		{"prepared", two, Prepared, 1},
		{"turned", turned(two), Live, 2},
		{"withdrawn", withdrawn(two, "why"), Withdrawn, 1},
		{"overtaking", Enter(two, doc(5, each)), Prepared, 1},
		{"after a withdrawn one", Enter(withdrawn(two, "why"), doc(3, each)), Prepared, 1},
		{"after each again", Enter(turned(two), doc(3, together)), Live, 3},
		{"an operator's own words beside it", Enter(one, pact.Doc{Version: 2, Rev: 9, Side: []byte{1}}), Prepared, 1},
		{"unreadable", pact.Doc{Version: 2, Side: []byte{0xff}}, Withdrawn, 0},
	} {
		if s := Read(c.doc); s.Fate != c.fate || s.Version != c.live {
			t.Errorf("%s: %v, live %d", c.name, s.Fate, s.Version)
		}
	}
	if two.Above(turned(two)) || !doc(3, each).Above(turned(two)) {
		t.Error("order")
	}
}

// fleet is a primary with version 2 prepared, and three nodes that it knows of.
func fleet(bug Bug) (*Machine, plane.Time) {
	m, now := New(Config{Self: "a", Name: "a", Zone: "x"}), plane.Time(time.Hour)
	m.SetBug(bug)
	m.Nodes([]Node{{Name: "a", Zone: "x", Addr: "a"}, {Name: "b", Zone: "x", Addr: "b"}, {Name: "c", Zone: "y", Addr: "c"}})
	one := Enter(pact.Doc{}, doc(1, `"Mode":"together","Confirm":3`))
	m.Doc(now, one, true)
	m.Leads(now, pact.Ballot{N: 3, By: "a"}, true)
	m.Doc(now, Enter(one, doc(2, "")), true)
	return m, now
}

// The word of a node's earlier life is not this one's; of a second life that confirms
// too, both count as one.
func TestEarlierLife(t *testing.T) {
	play := func(bug Bug) (before, after, again bool) {
		m, now := fleet(bug)
		for i, name := range []string{"a", "b", "c"} {
			m.Take(now, name, Ask{ID: uint64(i + 1), Seq: 1, Version: 1, Checked: 2, Name: name})
		}
		before = m.Status(now).Enough
		now += 200 * time.Millisecond
		m.Take(now, "b", Ask{ID: 9, Seq: 1, Version: 1, Name: "b"})
		after = m.Status(now).Enough
		m.Take(now, "b", Ask{ID: 9, Seq: 2, Version: 1, Checked: 2, Name: "b"})
		return before, after, m.Status(now).Enough
	}
	if before, after, again := play(0); !before || after || !again {
		t.Errorf("enough before the restart: %v, after it: %v, once it has confirmed: %v", before, after, again)
	}
	if _, after, _ := play(Remembered); !after {
		t.Error("the mutant is not found")
	}
}

// Most in each zone have to confirm, and one's refusal is no word for it.
func TestEnough(t *testing.T) {
	m, now := fleet(0)
	m.rollout.Confirm = 0
	say := func(id uint64, name, refusal string) bool {
		m.Take(now, name, Ask{ID: id, Seq: 1, Version: 1, Checked: 2, Refusal: refusal, Name: name})
		return m.Status(now).Enough
	}
	if say(1, "a", "") || say(2, "b", "") {
		t.Error("enough without zone y")
	}
	if say(3, "c", "no") {
		t.Error("enough with a refusal")
	}
	if got := m.Status(now); len(got.Refused) != 1 || got.Refused[0] != (Refusal{"c", "no"}) || len(got.Prepared) != 2 {
		t.Errorf("%+v", got)
	}
}

// A hold's round counts for the primary that named it only: another's may have the same number.
func TestRound(t *testing.T) {
	m, now := fleet(0)
	a := Ask{ID: 7, Seq: 1, Version: 1, Held: m.lead.epoch.N<<24 + 1, Epoch: pact.Ballot{N: 3, By: "b"}, Name: "c", Checked: 2}
	m.Take(now, "c", a)
	if _, all := m.lead.c.Status(now); len(all) != 1 {
		t.Fatal(all)
	}
	for _, from := range []pact.Ballot{{N: 3, By: "b"}, {N: 3, By: "a"}} {
		a.Epoch = from
		if got := m.lead.held(a); (got != 0) != (from == m.lead.epoch) {
			t.Errorf("a round of %v counts as %d", from, got)
		}
	}
}
