package rollout

import (
	"fmt"
	"testing"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/sysconfig"
)

func doc(version uint32, rollout string) consensus.Doc {
	return consensus.Doc{Version: version, Body: fmt.Appendf(nil, `{"Epoch":"%08x","Rollout":{%s}}`, version, rollout)}
}

// keeps is Doc where what is to be read is read at once.
func keeps(m *Machine, now fsm.Time, d consensus.Doc) {
	out := m.SetDocument(now, d, true)
	if r := out.Read; r != nil {
		out = m.TextRead(now, *r, sysconfig.RolloutOf(r.Body))
	}
	if c := out.Check; c != nil {
		m.TextChecked(now, c.Version, sysconfig.RolloutOf(c.Body), "")
	}
}

// What is kept of a document goes by what is live when it comes, and has one outcome.
func TestEnter(t *testing.T) {
	const together, each = `"Mode":"together"`, `"Mode":"each"`
	one := PrepareDocument(consensus.Doc{}, doc(1, together))
	two := PrepareDocument(one, doc(2, each))
	for _, c := range []struct {
		name string
		doc  consensus.Doc
		fate Fate
		live uint32
	}{
		{"the first", one, Live, 1},
		{"prepared", two, Prepared, 1},
		{"turned", turned(two), Live, 2},
		{"withdrawn", withdrawn(two, "why"), Withdrawn, 1},
		{"overtaking", PrepareDocument(two, doc(5, each)), Prepared, 1},
		{"after a withdrawn one", PrepareDocument(withdrawn(two, "why"), doc(3, each)), Prepared, 1},
		{"after each again", PrepareDocument(turned(two), doc(3, together)), Live, 3},
		{"an operator's own words beside it", PrepareDocument(one, consensus.Doc{Version: 2, Rev: 9, Attachment: []byte{1}}), Prepared, 1},
		{"unreadable", consensus.Doc{Version: 2, Attachment: []byte{0xff}}, Withdrawn, 0},
	} {
		if s := ReadState(c.doc); s.Fate != c.fate || s.Version != c.live {
			t.Errorf("%s: %v, live %d", c.name, s.Fate, s.Version)
		}
	}
	if two.Supersedes(turned(two)) || !doc(3, each).Supersedes(turned(two)) {
		t.Error("order")
	}
}

// fleet is a primary with version 2 prepared, and three nodes that it knows of.
func fleet(bug Bug) (*Machine, fsm.Time) {
	m, now := New(Config{Self: "a", Name: "a", Zone: "x"}), time.Hour
	m.SetBug(bug)
	m.SetNodes([]Node{{Name: "a", Zone: "x", Addr: "a"}, {Name: "b", Zone: "x", Addr: "b"}, {Name: "c", Zone: "y", Addr: "c"}})
	one := PrepareDocument(consensus.Doc{}, doc(1, `"Mode":"together","Confirm":3`))
	keeps(m, now, one)
	m.SetLead(now, consensus.Ballot{N: 3, By: "a"}, true)
	keeps(m, now, PrepareDocument(one, doc(2, "")))
	return m, now
}

// says has a node call, and the writers take this one for the primary still.
func says(m *Machine, now fsm.Time, a LeaseRequest) {
	a.Version = 1
	m.Receive(now, a.Name, a)
	affirms(m, now)
}

func affirms(m *Machine, now fsm.Time) {
	m.ConfirmationStarted(1)
	m.LeadConfirmed(now, 1)
}

// The word of a node's earlier life is not this one's; of a second life that confirms
// too, both count as one.
func TestEarlierLife(t *testing.T) {
	play := func(bug Bug) (before, after, again bool) {
		m, now := fleet(bug)
		for i, name := range []string{"a", "b", "c"} {
			says(m, now, LeaseRequest{ID: uint64(i + 1), Seq: 1, Checked: 2, Name: name})
		}
		before = m.Status(now).Enough
		now += 200 * time.Millisecond
		says(m, now, LeaseRequest{ID: 9, Seq: 1, Name: "b"})
		after = m.Status(now).Enough
		says(m, now, LeaseRequest{ID: 9, Seq: 2, Checked: 2, Name: "b"})
		return before, after, m.Status(now).Enough
	}
	if before, after, again := play(0); !before || after || !again {
		t.Errorf("enough before the restart: %v, after it: %v, once it has confirmed: %v", before, after, again)
	}
	if _, after, _ := play(BugCountEarlierIncarnation); !after {
		t.Error("the mutant is not found")
	}
}

// Most in each zone have to confirm, and one's refusal is no word for it.
func TestEnough(t *testing.T) {
	m, now := fleet(0)
	m.rollout.Confirm = 0
	say := func(id uint64, name, refusal string) bool {
		says(m, now, LeaseRequest{ID: id, Seq: 1, Checked: 2, Refusal: refusal, Name: name})
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
	a := LeaseRequest{ID: 7, Seq: 1, Version: 1, HeldRound: m.lead.epoch.N<<24 + 1, Epoch: consensus.Ballot{N: 3, By: "b"}, Name: "c", Checked: 2}
	m.Receive(now, "c", a)
	if _, all := m.lead.c.Status(now); len(all) != 1 {
		t.Fatal(all)
	}
	for _, from := range []consensus.Ballot{{N: 3, By: "b"}, {N: 3, By: "a"}} {
		a.Epoch = from
		if got := m.lead.held(a); (got != 0) != (from == m.lead.epoch) {
			t.Errorf("a round of %v counts as %d", from, got)
		}
	}
}

// A late copy of a wish that was told that there is no such version withdraws none that came since;
// the same wish, made anew, does.
func TestLateWish(t *testing.T) {
	m, now := fleet(0)
	keeps(m, now, turned(m.doc))
	wish := WithdrawRequest{Version: 3, ID: 9, Call: 1}
	m.Receive(now, "b", wish)
	m.ConfirmationStarted(1)
	told := m.LeadConfirmed(now, 1).Send
	if len(told) != 1 || told[0].Msg.(WithdrawReply).Outcome != OutcomeAbsent {
		t.Fatal(told)
	}
	keeps(m, now, PrepareDocument(consensus.Doc{Version: 2, Body: doc(2, `"Mode":"together"`).Body}, doc(3, "")))
	if out := m.Receive(now, "b", wish); m.side.Fate != Prepared || out.Amend != nil {
		t.Errorf("%v: the late copy withdraws: %v", m.side.Fate, out.Amend)
	}
	wish.Call++
	if out := m.Receive(now, "b", wish); out.Amend == nil {
		t.Error("the wish made anew does not withdraw")
	}
}

// The same at a primary that was not asked before: a wish is for what was kept when it was made. One
// that finds the version there is told so, and comes again.
func TestFencedWish(t *testing.T) {
	for _, bug := range []Bug{0, BugIgnoreFence} {
		m, now := fleet(0)
		m.SetBug(bug)
		wish := WithdrawRequest{Version: m.doc.Version, ID: 9, Call: 1, Fence: m.doc.Version}
		out := m.Receive(now, "b", wish)
		if bug != 0 {
			if out.Amend == nil {
				t.Error("the guard taken out withdraws nothing")
			}
			continue
		}
		if len(out.Send) != 1 || out.Send[0].Msg != (WithdrawReply{9, 1, OutcomeUndecided, m.side.Version, m.doc.Version}) || out.Amend != nil {
			t.Errorf("%+v", out)
		}
		wish.Fence++
		if out := m.Receive(now, "b", wish); out.Amend == nil {
			t.Error("the wish for what is there does not withdraw")
		}
	}
}

// A word counts once the writers have confirmed the primary after it, and no longer than the
// lease that goes with it.
func TestWordWithoutLease(t *testing.T) {
	m, now := fleet(0)
	for i, name := range []string{"a", "b", "c"} {
		m.Receive(now, name, LeaseRequest{ID: uint64(i + 1), Seq: 1, Version: 1, Checked: 2, Name: name})
	}
	before := m.Status(now).Enough
	affirms(m, now)
	affirms(m, now) // those that came while the first was under way
	after, later := m.Status(now).Enough, m.Status(now+2*Terms.Lease).Enough
	if before || !after || later {
		t.Errorf("enough before the writers' word: %v, after it: %v, with all leases out: %v", before, after, later)
	}
}

// TestTaken: what is read beside the loop is put in force in order, the gate goes by it only then, and one that was to be taken
// up together and has been overtaken meanwhile is left out.
func TestTaken(t *testing.T) {
	m, now := New(Config{Self: "a", Name: "a", Zone: "x"}), time.Hour
	keep := func(d consensus.Doc, reads uint32) {
		t.Helper()
		if out := m.SetDocument(now, d, true); out.Adopt != nil || (out.Read == nil) != (reads == 0) || out.Read != nil && out.Read.Version != reads {
			t.Errorf("%d: %+v", d.Version, out)
		}
	}
	take := func(d consensus.Doc, gate uint32) {
		t.Helper()
		if m.TextRead(now, d, sysconfig.RolloutOf(d.Body)); m.Gate().Version != gate {
			t.Errorf("after %d was read the gate is that of %d", d.Version, m.Gate().Version)
		}
	}
	one, two, three := doc(1, ""), doc(2, ""), doc(3, `"Mode":"together"`)
	four := PrepareDocument(three, doc(4, ""))
	keep(one, 1)
	keep(two, 2)
	take(one, 1)
	keep(two, 0)
	take(two, 2)
	take(one, 2)
	keep(three, 3)
	keep(four, 0)
	keep(turned(four), 4)
	take(three, 2)
	take(doc(4, ""), 4)
}
