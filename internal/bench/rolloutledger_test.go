package bench

import (
	"testing"
	"time"
)

// The ledger's judge misses no breach, and sees none where there is none.
func TestLedger(t *testing.T) {
	const ms = time.Millisecond
	base := func() *ledger {
		l := newLedger()
		l.rules = map[uint32]rules{1: {pay: "a", key: true}, 2: {pay: "b"}, 3: {pay: "split", key: true, reads: true}}
		l.puts = map[uint32]time.Duration{1: 0, 2: 100 * ms, 3: 200 * ms}
		l.first = map[uint32]time.Duration{1: 11 * ms, 2: 120 * ms, 3: 220 * ms}
		l.down["n9"] = []stretch{{50 * ms, 90 * ms}}
		return l
	}
	type add func(l *ledger, kind, name, id, node string, from, to time.Duration, status int, ran ...run)
	call := add(func(l *ledger, kind, name, id, node string, from, to time.Duration, status int, ran ...run) {
		l.calls = append(l.calls, tried{kind, name, id, node, from, to, status, true})
		for _, u := range ran {
			u.id = id
			l.runs[id], l.marks = append(l.runs[id], u), append(l.marks, u)
		}
	})
	nom := func(v uint32, at time.Duration) run { return run{"", "toy", pathNominate, "trader", v, at} }
	pay := func(v uint32, to string, at time.Duration) run {
		return run{"", "pay-" + to, pathPayout, "payer", v, at}
	}
	look := func(v uint32, at time.Duration) run { return run{"", "toy", pathRead, "trader", v, at} }
	for name, c := range map[string]struct {
		do   func(l *ledger)
		want verdict // counts only
	}{
		"sound": {func(l *ledger) {
			call(l, "nominate", "a", "a/0", "n1", 10*ms, 12*ms, 200, nom(1, 11*ms))
			call(l, "payout", "b", "b/0", "n1", 13*ms, 15*ms, 503)
			call(l, "payout", "b", "b/1", "n1", 20*ms, 22*ms, 200, pay(1, "a", 21*ms))
			call(l, "nominate", "c", "c/0", "n9", 60*ms, 95*ms, 0)
			call(l, "nominate", "d", "d/0", "n1", 118*ms, 122*ms, 200, nom(2, 120*ms))
			call(l, "payout", "e", "e/0", "n1", 130*ms, 131*ms, 401)
			call(l, "read", "f", "f/0", "n1", 132*ms, 133*ms, 200, look(1, 133*ms), look(1, 133*ms))
		}, verdict{}},
		"an old one after a new one": {func(l *ledger) {
			call(l, "nominate", "d", "d/0", "n1", 118*ms, 122*ms, 200, nom(2, 120*ms))
			call(l, "nominate", "e", "e/0", "n1", 121*ms, 123*ms, 200, nom(1, 122*ms))
		}, verdict{mixed: 1}},
		"a read, where reads wait for leases": {func(l *ledger) {
			call(l, "nominate", "d", "d/0", "n1", 118*ms, 122*ms, 200, nom(4, 120*ms))
			call(l, "read", "e", "e/0", "n1", 121*ms, 123*ms, 200, look(3, 122*ms))
		}, verdict{mixed: 1}},
		"a payout where it was before": {func(l *ledger) {
			call(l, "payout", "b", "b/1", "n1", 20*ms, 22*ms, 200, pay(1, "b", 21*ms))
		}, verdict{mixed: 1}},
		"a payout without a key": {func(l *ledger) { call(l, "payout", "b", "b/1", "n1", 120*ms, 122*ms, 200, pay(2, "b", 121*ms)) }, verdict{mixed: 1}},
		"no key, too early":      {func(l *ledger) { call(l, "payout", "b", "b/1", "n1", 20*ms, 22*ms, 401) }, verdict{mixed: 1}},
		"ran twice": {func(l *ledger) {
			call(l, "nominate", "a", "a/0", "n1", 10*ms, 12*ms, 200, nom(1, 11*ms), nom(1, 12*ms))
		}, verdict{doubled: 1}},
		"did not run":      {func(l *ledger) { call(l, "nominate", "a", "a/0", "n1", 10*ms, 12*ms, 200) }, verdict{lost: 1}},
		"refused, and ran": {func(l *ledger) { call(l, "nominate", "a", "a/0", "n1", 10*ms, 12*ms, 503, nom(1, 11*ms)) }, verdict{refusedRan: 1}},
		"no answer":        {func(l *ledger) { call(l, "nominate", "a", "a/0", "n9", 300*ms, 400*ms, 0) }, verdict{unanswered: 1}},
		"told to be live, and old": {func(l *ledger) {
			l.heard(15*ms, "n1", 2, 2, "live")
			call(l, "nominate", "a", "a/0", "n1", 16*ms, 18*ms, 200, nom(1, 17*ms))
		}, verdict{stale: 1}},
		"withdrawn": {func(l *ledger) {
			l.heard(15*ms, "n1", 1, 2, "withdrawn")
			call(l, "nominate", "a", "a/0", "n1", 16*ms, 18*ms, 200, nom(2, 17*ms))
		}, verdict{dead: 1}},
	} {
		l := base()
		c.do(l)
		v := l.judge()
		got := verdict{mixed: v.mixed, stale: v.stale, dead: v.dead, doubled: v.doubled, lost: v.lost, refusedRan: v.refusedRan, unanswered: v.unanswered}
		if got.mixed != c.want.mixed || got.stale != c.want.stale || got.dead != c.want.dead || got.doubled != c.want.doubled || got.lost != c.want.lost ||
			got.refusedRan != c.want.refusedRan || got.unanswered != c.want.unanswered {
			t.Errorf("%s: %+v %q", name, got, v.what)
		}
	}
	l := base()
	l.heard(0, "n1", 1, 2, "withdrawn")
	l.heard(0, "n2", 2, 2, "live")
	if l.split != 1 {
		t.Error("a version with two outcomes")
	}
}
