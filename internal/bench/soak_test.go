package bench

import (
	"reflect"
	"strings"
	"testing"
	"time"
)

// A plan is the same each time, takes one of the core at a time, and is without unplanned trouble for every third seed.
func TestSoakPlan(t *testing.T) {
	seen := map[soakAction]bool{}
	for seed := range uint64(200) {
		plan := drawSoak(seed, 5, 20*time.Second)
		if !reflect.DeepEqual(plan, drawSoak(seed, 5, 20*time.Second)) || len(plan) == 0 {
			t.Fatalf("seed %d: %d events, or others the second time", seed, len(plan))
		}
		var lost []time.Duration
		for _, e := range plan {
			seen[e.action] = true
			if seed%3 == 0 && !e.action.planned() {
				t.Errorf("seed %d: %v at %v", seed, e.action, e.at)
			}
			if e.action == soakKillAll || e.node < 3 && (e.action == soakTerminate || !e.action.planned()) {
				lost = append(lost, e.at)
			}
		}
		for i := 1; i < len(lost); i++ {
			if gap := (lost[i] - lost[i-1]).Abs(); gap < soakCoreRest {
				t.Errorf("seed %d: the core loses machines %v apart", seed, gap)
			}
		}
	}
	if len(seen) != 7 {
		t.Errorf("only %v are drawn", seen)
	}
}

// Each rule is found where it breaks, and no other.
func TestSoakRules(t *testing.T) {
	at := time.Unix(1000, 0)
	one := func(status int, took time.Duration) sentOne {
		return sentOne{id: "a", node: "n1", key: "k", at: at, took: took, status: status, deadline: deadlineMs * time.Millisecond}
	}
	ran := func(times int) map[string][]time.Time {
		return map[string][]time.Time{"a": make([]time.Time, times)}
	}
	for want, r := range map[string]*soakRun{
		"":        {sent: []sentOne{one(200, time.Millisecond)}, arrivals: ran(1)},
		"TWICE":   {sent: []sentOne{one(200, time.Millisecond)}, arrivals: ran(2)},
		"MIXED":   {sent: []sentOne{one(-1, time.Millisecond)}},
		"REFUSED": {sent: []sentOne{one(429, time.Millisecond)}, arrivals: ran(1)},
		"LOST":    {sent: []sentOne{one(0, time.Second)}, arrivals: ran(1)},
		"UNASKED": {arrivals: map[string][]time.Time{leaverID + "1": {at}}},
		"LATE":    {sent: []sentOne{one(503, 2*time.Second)}},
	} {
		r.limit = soakLimit{"k", 60, 60}
		if got := r.check(); want == "" && len(got) > 0 || want != "" && (len(got) != 1 || !strings.HasPrefix(got[0], want+":")) {
			t.Errorf("%q: found %q", want, got)
		}
	}
	leaves, worked := &soakRun{workedUntil: map[string]time.Time{}, arrivals: map[string][]time.Time{}, limit: soakLimit{"k", 60, 60}}, 0
	for i := range 20 {
		a := abandoned{id: string(rune('A' + i)), sent: at, left: at.Add(200 * time.Millisecond)}
		leaves.abandoned, leaves.arrivals[a.id] = append(leaves.abandoned, a), []time.Time{at}
		if leaves.workedUntil[a.id] = at.Add(300 * time.Millisecond); i < 5 { // a quarter
			leaves.workedUntil[a.id] = at.Add(3 * time.Second)
			worked++
		}
	}
	if got := leaves.check(); len(got) > 0 {
		t.Errorf("servers were at work on %d of 20: %q", worked, got)
	}
	leaves.workedUntil["F"] = at.Add(3 * time.Second)
	if got := leaves.check(); len(got) != 1 || !strings.HasPrefix(got[0], "GONE:") {
		t.Errorf("servers were at work on %d of 20: %q", worked+1, got)
	}
	for _, c := range []struct {
		sent time.Duration // after the end was acknowledged
		want string
	}{{-time.Millisecond, ""}, {releaseDrain, ""}, {releaseDrain + time.Millisecond, "DRAIN:"}} {
		released := &soakRun{sent: []sentOne{one(200, time.Millisecond)}, arrivals: ran(1), releases: []*release{{endedAt: at.Add(-c.sent), arrived: []string{"a"}}}}
		if got := released.check(); c.want == "" && len(got) > 0 || c.want != "" && (len(got) != 1 || !strings.HasPrefix(got[0], c.want)) {
			t.Errorf("sent %v after a server's end was acknowledged: %q", c.sent, got)
		}
	}
	kept := &soakRun{sent: []sentOne{one(0, time.Second)}, arrivals: ran(1), trouble: []time.Time{at.Add(-time.Second)}}
	if got := kept.check(); len(got) > 0 {
		t.Errorf("an unplanned trouble was a second before: %q", got)
	}
	many := &soakRun{arrivals: map[string][]time.Time{}, limit: soakLimit{"k", 10, 10}}
	for i := range 90 { // 86 are allowed in 5 s
		id := string(rune('A' + i))
		sent := at.Add(time.Duration(i) * 10 * time.Millisecond)
		many.sent = append(many.sent, sentOne{id: id, key: "k", at: sent, status: 200})
		many.arrivals[id] = []time.Time{sent.Add(time.Millisecond)}
	}
	if got := many.check(); len(got) != 1 || !strings.HasPrefix(got[0], "QUOTA:") {
		t.Errorf("90 of 86: %q", got)
	}
}
