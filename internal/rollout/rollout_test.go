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

// setDocument sets a document, and reads and checks its text at once.
func setDocument(m *Machine, now fsm.Time, d consensus.Doc) {
	out := m.SetDocument(now, d, true)
	if r := out.Read; r != nil {
		out = m.TextRead(now, *r, sysconfig.RolloutOf(r.Body))
	}
	if c := out.Check; c != nil {
		m.TextChecked(now, c.Version, sysconfig.RolloutOf(c.Body), "")
	}
}

// The state of a new document depends on what is live when it comes, and has one outcome.
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
		{"turned", madeLive(two), Live, 2},
		{"withdrawn", withdrawn(two, "why"), Withdrawn, 1},
		{"overtaking", PrepareDocument(two, doc(5, each)), Prepared, 1},
		{"after a withdrawn one", PrepareDocument(withdrawn(two, "why"), doc(3, each)), Prepared, 1},
		{"after each again", PrepareDocument(madeLive(two), doc(3, together)), Live, 3},
		{"an operator's own words beside it", PrepareDocument(one, consensus.Doc{Version: 2, Rev: 9, Attachment: []byte{1}}), Prepared, 1},
		{"unreadable", consensus.Doc{Version: 2, Attachment: []byte{0xff}}, Withdrawn, 0},
	} {
		if s := ReadState(c.doc); s.Fate != c.fate || s.Version != c.live {
			t.Errorf("%s: %v, live %d", c.name, s.Fate, s.Version)
		}
	}
	if two.Supersedes(madeLive(two)) || !doc(3, each).Supersedes(madeLive(two)) {
		t.Error("the prepared document is above the amended one, or the next one is not")
	}
}

// primaryWithNodes returns a primary with version 2 prepared, and three known nodes.
func primaryWithNodes(bug Bug) (*Machine, fsm.Time) {
	m, now := New(Config{Self: "a", Name: "a", Zone: "x"}), time.Hour
	m.SetBug(bug)
	m.SetNodes([]Node{{Name: "a", Zone: "x", Addr: "a"}, {Name: "b", Zone: "x", Addr: "b"}, {Name: "c", Zone: "y", Addr: "c"}})
	one := PrepareDocument(consensus.Doc{}, doc(1, `"Mode":"together","Confirm":3`))
	setDocument(m, now, one)
	m.SetLead(now, consensus.Ballot{N: 3, By: "a"}, true)
	setDocument(m, now, PrepareDocument(one, doc(2, "")))
	return m, now
}

// receiveLeaseRequest delivers a node's request, and has the writers confirm the primary.
func receiveLeaseRequest(m *Machine, now fsm.Time, a LeaseRequest) {
	a.Version = 1
	m.Receive(now, a.Name, a)
	confirmLead(m, now)
}

func confirmLead(m *Machine, now fsm.Time) {
	m.ConfirmationStarted(1)
	m.LeadConfirmed(now, 1)
}

// A confirmation of a node's earlier incarnation doesn't count for the current one; if both have confirmed,
// they count as one node.
func TestEarlierLife(t *testing.T) {
	run := func(bug Bug) (before, after, again bool) {
		m, now := primaryWithNodes(bug)
		for i, name := range []string{"a", "b", "c"} {
			receiveLeaseRequest(m, now, LeaseRequest{ID: uint64(i + 1), Seq: 1, Checked: 2, Name: name})
		}
		before = m.Status(now).Enough
		now += 200 * time.Millisecond
		receiveLeaseRequest(m, now, LeaseRequest{ID: 9, Seq: 1, Name: "b"})
		after = m.Status(now).Enough
		receiveLeaseRequest(m, now, LeaseRequest{ID: 9, Seq: 2, Checked: 2, Name: "b"})
		return before, after, m.Status(now).Enough
	}
	if before, after, again := run(0); !before || after || !again {
		t.Errorf("enough before the restart: %v, after it: %v, once it has confirmed: %v", before, after, again)
	}
	if _, after, _ := run(BugCountEarlierIncarnation); !after {
		t.Error("the injected bug is not found")
	}
}

// The majority of each zone has to confirm, and a refusal is no confirmation.
func TestEnough(t *testing.T) {
	m, now := primaryWithNodes(0)
	m.rollout.Confirm = 0
	say := func(id uint64, name, refusal string) bool {
		receiveLeaseRequest(m, now, LeaseRequest{ID: id, Seq: 1, Checked: 2, Refusal: refusal, Name: name})
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

// The round of a hold only counts for the primary that started it: another one's may have the same number.
func TestRound(t *testing.T) {
	m, now := primaryWithNodes(0)
	a := LeaseRequest{ID: 7, Seq: 1, Version: 1, HeldRound: m.lead.epoch.N<<24 + 1, Epoch: consensus.Ballot{N: 3, By: "b"}, Name: "c", Checked: 2}
	m.Receive(now, "c", a)
	if _, all := m.lead.conduct.Status(now); len(all) != 1 {
		t.Fatal(all)
	}
	for _, from := range []consensus.Ballot{{N: 3, By: "b"}, {N: 3, By: "a"}} {
		a.Epoch = from
		if got := m.lead.heldRound(a); (got != 0) != (from == m.lead.epoch) {
			t.Errorf("a round of %v counts as %d", from, got)
		}
	}
}

// A delayed copy of a call that was told that the version is absent must not withdraw the version when it
// comes; the same call made again must.
func TestLateWish(t *testing.T) {
	m, now := primaryWithNodes(0)
	setDocument(m, now, madeLive(m.doc))
	call := WithdrawRequest{Version: 3, ID: 9, Call: 1}
	m.Receive(now, "b", call)
	m.ConfirmationStarted(1)
	replies := m.LeadConfirmed(now, 1).Send
	if len(replies) != 1 || replies[0].Msg.(WithdrawReply).Outcome != OutcomeAbsent {
		t.Fatal(replies)
	}
	setDocument(m, now, PrepareDocument(consensus.Doc{Version: 2, Body: doc(2, `"Mode":"together"`).Body}, doc(3, "")))
	if out := m.Receive(now, "b", call); m.state.Fate != Prepared || out.Amend != nil {
		t.Errorf("%v: the delayed copy withdraws: %v", m.state.Fate, out.Amend)
	}
	call.Call++
	if out := m.Receive(now, "b", call); out.Amend == nil {
		t.Error("the call made again does not withdraw")
	}
}

// The same at a primary that has not seen the call before: a call refers to what was kept when it was made.
// If the version has come since, the caller is told so, and repeats the call.
func TestFencedWish(t *testing.T) {
	for _, bug := range []Bug{0, BugIgnoreFence} {
		m, now := primaryWithNodes(0)
		m.SetBug(bug)
		call := WithdrawRequest{Version: m.doc.Version, ID: 9, Call: 1, Fence: m.doc.Version}
		out := m.Receive(now, "b", call)
		if bug != 0 {
			if out.Amend == nil {
				t.Error("without the fence nothing is withdrawn")
			}
			continue
		}
		if len(out.Send) != 1 || out.Send[0].Msg != (WithdrawReply{9, 1, OutcomeUndecided, m.state.Version, m.doc.Version}) || out.Amend != nil {
			t.Errorf("%+v", out)
		}
		call.Fence++
		if out := m.Receive(now, "b", call); out.Amend == nil {
			t.Error("the repeated call does not withdraw")
		}
	}
}

// A confirmation counts once the writers have confirmed the primary after it, and no longer than the lease
// that goes with it.
func TestWordWithoutLease(t *testing.T) {
	m, now := primaryWithNodes(0)
	for i, name := range []string{"a", "b", "c"} {
		m.Receive(now, name, LeaseRequest{ID: uint64(i + 1), Seq: 1, Version: 1, Checked: 2, Name: name})
	}
	before := m.Status(now).Enough
	confirmLead(m, now)
	confirmLead(m, now) // requests that came during the first confirmation
	after, later := m.Status(now).Enough, m.Status(now+2*Terms.Lease).Enough
	if before || !after || later {
		t.Errorf("enough before the writers' confirmation: %v, after it: %v, with all leases expired: %v", before, after, later)
	}
}

// TestTaken checks that texts read in another goroutine are put in force in order, that the gate follows
// only then, and that an overtaken version with mode "together" is skipped.
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
	keep(madeLive(four), 4)
	take(three, 2)
	take(doc(4, ""), 4)
}
