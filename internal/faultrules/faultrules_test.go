package faultrules

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

const validSet = `{"Version":3,"By":"op","Why":"exercise 7","Rules":[{"Name":"twice","Tenant":"bank-1","Routes":["defer"],
	"Share":0.3,"Effect":"double","MostPerS":2,"EndsS":600,"Budget":100}]}`

func TestParse(t *testing.T) {
	if _, err := Parse([]byte(validSet), time.Hour); err != nil {
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
		body := strings.Replace(validSet, c.old, c.new, 1)
		if _, err := Parse([]byte(body), time.Hour); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s → %s: error %v, want %s", c.old, c.new, err, c.want)
		}
	}
}

// judgeInForce returns a Judge with the whole budget of each rule granted for an hour.
func judgeInForce(rules ...Rule) *Judge {
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
	a, b := judgeInForce(late, gone), judgeInForce(late, gone)
	delayed := 0
	for i := range 10000 {
		a.settle(a.seq) // treat all notes as recorded
		b.settle(b.seq)
		q := Request{ID: fmt.Sprint("id-", i), Tenant: "ship-1", Route: "renominate", Method: "POST"}
		s, v := a.Strike(1, q)
		if s2, v2 := b.Strike(time.Minute, q); s2.Rule != s.Rule || s2.Delay != s.Delay || v2 != v {
			t.Fatal("two processes decide differently on", q.ID, ":", s, s2)
		}
		if again, _ := a.Strike(2, q); again.Rule != s.Rule || again.Delay != s.Delay {
			t.Fatal("a retry of", q.ID, "gets another strike:", s, again)
		}
		switch {
		case v != Hit:
			t.Fatal("the second rule matches all requests, but did not strike", q.ID)
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
			t.Error("strike on a request of another or no tenant, or without an ID:", q)
		}
	}
	if s, _ := a.Strike(1, Request{ID: "1", Tenant: "ship-1", Route: "renominate", Method: "GET"}); s.Rule != "gone" {
		t.Error("rule with another method strikes:", s)
	}
	if _, v := a.Strike(time.Hour, Request{ID: "1", Tenant: "ship-1"}); v != Pass {
		t.Error("strike after the lease has expired")
	}
}

// TestDouble checks that each of two nodes stays within half of the rate MostPerS.
func TestDouble(t *testing.T) {
	j := judgeInForce(Rule{Name: "twice", Tenant: "a", Share: 1, Effect: Double, MostPerS: 4, Budget: 1000})
	j.nodes = 2
	hits := 0
	for at := time.Duration(0); at < 10*time.Second; at += 10 * time.Millisecond {
		j.settle(j.seq)
		if _, v := j.Strike(at, Request{ID: fmt.Sprint(at), Tenant: "a"}); v == Hit {
			hits++
		}
	}
	if hits < 19 || hits > 21 {
		t.Error(hits, "doubles in 10 s, want 2 per second")
	}
}

// TestPart checks that a selected request gets Short without a granted strike, and Pass once the
// whole budget is granted.
func TestPart(t *testing.T) {
	j := NewJudge()
	j.setRules(0, 1, []Rule{{Name: "r", Tenant: "a", Share: 1, Effect: VanishAfter, Budget: 2}})
	strike := func() Verdict { _, v := j.Strike(1, Request{ID: "1", Tenant: "a"}); return v }
	if v := strike(); v != Pass {
		t.Error("without a lease:", v)
	}
	j.applyLease([]time.Duration{time.Hour}, []int{1}, []int{0}, []bool{false}, 1)
	if a, b := strike(), strike(); a != Hit || b != Short {
		t.Error("with one granted strike:", a, b)
	}
	j.applyLease([]time.Duration{time.Hour}, []int{1}, []int{0}, []bool{true}, 1)
	if v := strike(); v != Pass {
		t.Error("with the whole budget granted:", v)
	}
}

// TestTerms checks that a member that has promised a term rejects records of lower terms.
func TestTerms(t *testing.T) {
	for _, bug := range []Bug{NoBug, AcceptsLowerTerms} {
		m := New(Config{Self: "a", Life: 1, Member: true, Longest: time.Hour, Bug: bug}, NewJudge(), nil, 0)
		out := m.Take(1, "b", Claim{Term{N: 2, By: "b"}})
		if out.Write == nil || len(out.Send) > 0 {
			t.Fatal("claim answered before the promise was synced")
		}
		if out = m.Written(2, out.Write.Seq); len(out.Send) != 1 {
			t.Fatal("claim not answered after the sync")
		}
		out = m.Take(3, "c", Append{Record: Record{Term: Term{N: 1, By: "c"}, Seq: 7, Turn: 9}})
		if took := out.Write != nil; took != (bug == AcceptsLowerTerms) {
			t.Error(bug, out)
		}
		if out = m.Take(4, "b", Heartbeat{Term: Term{N: 2, By: "b"}}); len(out.Send) != 1 && bug == NoBug {
			t.Error("heartbeat of the promised term is not acknowledged")
		}
	}
}

// TestTakenBack checks that an unrecorded strike stays void once the rest of its part was taken
// back, even if a later strike with the same ordinal is recorded, and that it isn't returned to the
// budget a second time.
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
		t.Error("with one strike recorded:", a, b)
	}
	lease(1, 1) // the process was considered gone
	lease(4, 1)
	again := take()
	lease(4, 2)
	j.settle(again.Seq)
	if a, b, c := j.Made(1, first), j.Made(1, second), j.Made(1, again); a != Hit || b != Pass || c != Hit {
		t.Error("after the rest of the part was taken back:", a, b, c)
	}
	if v := j.Made(2*time.Hour, again); v == Hit {
		t.Error("strike applied without a lease")
	}
	j.Unmade(second, Request{}, "not made")
	if notes, _, _ := j.pendingReport(); len(notes) != 1 || notes[0].K != 0 {
		t.Error("strike that was taken back is returned again:", notes)
	}
	j.setRules(1, 2, nil)
	if v := j.Made(1, again); v != Pass {
		t.Error("strike of a replaced set is applied")
	}
}

// TestBackOnce checks that a strike returns to the budget once, however often that is reported, and
// only if it was recorded.
func TestBackOnce(t *testing.T) {
	var r Record
	r.grant(0, "a", 1, 5)
	if r.recordUse(0, "a", 1, 6) || !r.recordUse(0, "a", 1, 3) {
		t.Error("strikes beyond the granted ones are recorded, or granted ones are not")
	}
	r.giveBack(0, "a", 1, 4, 8) // not recorded
	for range 3 {
		r.giveBack(0, "a", 1, 3, 9)
	}
	if _, all := r.given(0, "", 0); all != 4 {
		t.Error(all, "granted, want 4")
	}
	if _, all := r.used(0, "", 0); all != 2 {
		t.Error(all, "used, want 2")
	}
}

// TestOverlap checks that of several matching rules the first strikes, until it has ended, reaches
// its rate limit or has used up its budget. A waiting request then waits for the next rule.
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
		t.Error("no strike of the next rule is requested:", want)
	}
	lease(1, true)
	leave()
	if rule, v := strike(4 * time.Second); rule != "late" || v != Hit {
		t.Error("after its strike was granted:", rule, v)
	}
	j.settle(j.seq)
	if _, _, want := j.pendingReport(); want[2] != 0 || j.Due() {
		t.Error("still counted as waiting:", want)
	}
}
