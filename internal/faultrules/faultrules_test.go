package faultrules

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const ok = `{"Version":3,"By":"op","Why":"exercise 7","Rules":[{"Name":"twice","Tenant":"bank-1","Routes":["defer"],
	"Share":0.3,"Effect":"double","MostPerS":2,"EndsS":600,"Budget":100}]}`

func TestParse(t *testing.T) {
	if _, err := Parse([]byte(ok), time.Hour); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{`"Version":3`, `"Version":0`, "Version: missing"},
		{`"Version":3`, `"Version":"3"`, "Version: a string"},
		{`"Why":"exercise 7"`, `"Why":""`, "Why: missing"},
		{`"bank-1"`, `"bank-*"`, "Rules[0].Tenant: \"bank-*\": a name"},
		{`"bank-1"`, `""`, "Rules[0].Tenant: missing"},
		{`0.3`, `1.1`, "Rules[0].Share"},
		{`0.3`, `0`, "Rules[0].Share"},
		{`600`, `3601`, "Rules[0].EndsS: above 0, at most 3600 here"},
		{`,"EndsS":600`, ``, "Rules[0].EndsS"},
		{`"Budget":100`, `"Budget":0`, "Rules[0].Budget"},
		{`"double"`, `"delay"`, "Rules[0].DelayMs"},
		{`"double"`, `"triple"`, "Rules[0].Effect: \"triple\""},
		{`"MostPerS":2`, `"DelayMs":5`, "Rules[0].MostPerS"},
		{`"MostPerS"`, `"MostPers2"`, "unknown field"},
		{`]}`, `]} x`, "more text"},
		{`["defer"]`, `[""]`, "Rules[0].Routes"},
	} {
		body := strings.Replace(ok, c.old, c.new, 1)
		if _, err := Parse([]byte(body), time.Hour); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s → %s: %v, not %s", c.old, c.new, err, c.want)
		}
	}
}

// force returns a judge with rules in force for good.
func force(rules ...Rule) *Judge {
	j := NewJudge()
	j.setRules(0, 1, rules)
	n := len(rules)
	till, parts := make([]time.Duration, n), make([]int, n)
	for i := range rules {
		till[i], parts[i] = time.Hour, rules[i].Budget
	}
	j.applyLease(till, parts, make([]int, n), make([]bool, n), 1)
	return j
}

func TestJudge(t *testing.T) {
	late := Rule{Name: "late", Tenant: "ship-1", Routes: []string{"renominate"}, Methods: []string{"POST"}, Share: 0.3,
		Effect: Delay, DelayMs: 100, ToMs: 200, Budget: 1e6}
	gone := Rule{Name: "gone", Tenant: "ship-1", Share: 1, Effect: VanishBefore, Budget: 1e6}
	a, b := force(late, gone), force(late, gone)
	delayed := 0
	for i := range 10000 {
		a.settle(a.seq) // as if all were on record
		b.settle(b.seq)
		q := Request{ID: fmt.Sprint("id-", i), Tenant: "ship-1", Route: "renominate", Method: "POST"}
		s, v := a.Strike(1, q)
		if s2, v2 := b.Strike(time.Minute, q); s2.Rule != s.Rule || s2.Delay != s.Delay || v2 != v {
			t.Fatal("two processes judge", q.ID, "apart:", s, s2)
		}
		if again, _ := a.Strike(2, q); again.Rule != s.Rule || again.Delay != s.Delay {
			t.Fatal("a repeat of", q.ID, "is drawn anew:", s, again)
		}
		switch {
		case v != Hit:
			t.Fatal("the second rule fits all, and struck not", q.ID)
		case s.Kind == Delay:
			if delayed++; s.Delay < 100*time.Millisecond || s.Delay > 200*time.Millisecond {
				t.Fatal(s.Delay)
			}
		}
	}
	if delayed < 2800 || delayed > 3200 {
		t.Error("a share of 0.3 struck", delayed, "of 10000")
	}
	for _, q := range []Request{{ID: "1", Tenant: "ship-10"}, {ID: "1", Tenant: "ship-"}, {ID: "1"}, {ID: "1", Tenant: "SHIP-1"},
		{Tenant: "ship-1"}} {
		if _, v := a.Strike(1, q); v != Pass {
			t.Error("struck", q)
		}
	}
	if s, _ := a.Strike(1, Request{ID: "1", Tenant: "ship-1", Route: "renominate", Method: "GET"}); s.Rule != "gone" {
		t.Error("method:", s)
	}
	if _, v := a.Strike(time.Hour, Request{ID: "1", Tenant: "ship-1"}); v != Pass {
		t.Error("struck after the end")
	}
}

// TestDouble: doubles stay below the rate that the rule may add.
func TestDouble(t *testing.T) {
	j := force(Rule{Name: "twice", Tenant: "a", Share: 1, Effect: Double, MostPerS: 4, Budget: 1000})
	j.nodes = 2
	hits := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		j.settle(j.seq)
		if _, v := j.Strike(at, Request{ID: fmt.Sprint(at), Tenant: "a"}); v == Hit {
			hits++
		}
	}
	if hits < 19 || hits > 21 {
		t.Error(hits, "doubles in 10 s, not 2 a second")
	}
}

// TestPart: without a part a drawn request is short, until nothing is left at all.
func TestPart(t *testing.T) {
	j := NewJudge()
	j.setRules(0, 1, []Rule{{Name: "r", Tenant: "a", Share: 1, Effect: VanishAfter, Budget: 2}})
	strike := func() Verdict { _, v := j.Strike(1, Request{ID: "1", Tenant: "a"}); return v }
	if v := strike(); v != Pass {
		t.Error("before a lease:", v)
	}
	j.applyLease([]time.Duration{time.Hour}, []int{1}, []int{0}, []bool{false}, 1)
	if a, b := strike(), strike(); a != Hit || b != Short {
		t.Error("with one part:", a, b)
	}
	j.applyLease([]time.Duration{time.Hour}, []int{1}, []int{0}, []bool{true}, 1)
	if v := strike(); v != Pass {
		t.Error("when all is handed out:", v)
	}
}

// TestTerms: a member that has promised a term takes nothing of those below.
func TestTerms(t *testing.T) {
	for _, bug := range []Bug{Sound, Obeys} {
		m := New(Config{Self: "a", Life: 1, Member: true, Longest: time.Hour, Bug: bug}, NewJudge(), nil, 0)
		out := m.Take(1, "b", Claim{Term{N: 2, By: "b"}})
		if out.Write == nil || len(out.Send) > 0 {
			t.Fatal("answered before it was synced")
		}
		if out = m.Written(2, out.Write.Seq); len(out.Send) != 1 {
			t.Fatal("not answered")
		}
		out = m.Take(3, "c", Append{Record: Record{Term: Term{N: 1, By: "c"}, Seq: 7, Turn: 9}})
		if took := out.Write != nil; took != (bug == Obeys) {
			t.Error(bug, out)
		}
		if out = m.Take(4, "b", Beat{Term: Term{N: 2, By: "b"}}); len(out.Send) != 1 && bug == Sound {
			t.Error("the term does not stand any more")
		}
	}
}

// TestTakenBack: what a process took of its part and has not put on record is void for good once the
// rest of the part was taken back, whatever others with the same numbers come to; it can't be given
// back either.
func TestTakenBack(t *testing.T) {
	j := NewJudge()
	j.setRules(0, 1, []Rule{{Name: "r", Tenant: "a", Share: 1, Effect: VanishAfter, Budget: 9}})
	lease := func(part, noted int) {
		j.applyLease([]time.Duration{time.Hour}, []int{part}, []int{noted}, []bool{false}, 1)
	}
	take := func() Strike {
		s, v := j.Strike(1, Request{ID: "1", Tenant: "a"})
		if v != Hit {
			t.Fatal(v)
		}
		return s
	}
	lease(3, 0)
	first, second := take(), take()
	lease(3, 1)
	j.settle(first.Seq)
	if a, b := j.Made(1, first), j.Made(1, second); a != Hit || b != Short {
		t.Error("one on record:", a, b)
	}
	lease(1, 1) // it was taken for gone
	lease(4, 1)
	again := take()
	lease(4, 2)
	j.settle(again.Seq)
	if a, b, c := j.Made(1, first), j.Made(1, second), j.Made(1, again); a != Hit || b != Pass || c != Hit {
		t.Error("after the rest was taken back:", a, b, c)
	}
	if v := j.Made(2*time.Hour, again); v == Hit {
		t.Error("made without a lease")
	}
	j.Unmade(second, Request{}, "not made")
	if notes, _, _ := j.pendingReport(); len(notes) != 1 || notes[0].K != 0 {
		t.Error("gives back what was taken back:", notes)
	}
	j.setRules(1, 2, nil)
	if v := j.Made(1, again); v != Pass {
		t.Error("made by a set that isn't held any more")
	}
}

// TestBackOnce: a strike is given back once, however often that is told, and only if it is on record.
func TestBackOnce(t *testing.T) {
	var r Record
	r.grant(0, "a", 1, 5)
	if r.recordUse(0, "a", 1, 6) || !r.recordUse(0, "a", 1, 3) {
		t.Error("counts what was not handed out")
	}
	r.giveBack(0, "a", 1, 4, 8) // is not on record
	for range 3 {
		r.giveBack(0, "a", 1, 3, 9)
	}
	if _, all := r.given(0, "", 0); all != 4 {
		t.Error(all, "handed out")
	}
	if _, all := r.used(0, "", 0); all != 2 {
		t.Error(all, "used")
	}
}

// TestOverlap: of rules that fit alike the first strikes, until it has ended, is at its cap or has
// used up its budget; who waited for it then waits for the next.
func TestOverlap(t *testing.T) {
	j := NewJudge()
	j.setRules(0, 1, []Rule{{Name: "ended", Tenant: "a", Share: 1, Effect: VanishAfter, Budget: 9},
		{Name: "twice", Tenant: "a", Share: 1, Effect: Double, MostPerS: 1, Budget: 9},
		{Name: "late", Tenant: "a", Share: 1, Effect: Delay, DelayMs: 5, Budget: 9}})
	lease := func(late int, spent bool) {
		j.applyLease([]time.Duration{10, time.Hour, time.Hour}, []int{9, 2, late}, []int{0, 0, 0}, []bool{false, spent, false}, 1)
	}
	strike := func(at time.Duration) (string, Verdict) {
		s, v := j.Strike(at, Request{ID: "1", Tenant: "a"})
		return s.Rule, v
	}
	lease(0, false)
	for i, want := range []struct {
		at   time.Duration
		rule string
		v    Verdict
	}{{1, "ended", Hit}, {10, "twice", Hit}, {20, "late", Short}, {2 * time.Second, "twice", Hit}} {
		if rule, v := strike(want.at); rule != want.rule || v != want.v {
			t.Error(i, rule, v)
		}
	}
	j.settle(j.seq)
	leave := j.Queue("late")
	if _, _, want := j.pendingReport(); want[2] != 1 || !j.Due() {
		t.Error("nobody asks for the next rule's part:", want)
	}
	lease(1, true)
	leave()
	if rule, v := strike(4 * time.Second); rule != "late" || v != Hit {
		t.Error("after its part came:", rule, v)
	}
	j.settle(j.seq)
	if _, _, want := j.pendingReport(); want[2] != 0 || j.Due() {
		t.Error("waits for ever:", want)
	}
}
