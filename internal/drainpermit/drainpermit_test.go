package drainpermit

import (
	"testing"
	"time"

	"asterwell/internal/fsm"
)

// TestExplore: whatever comes late, twice, not at all or in another order, one stays; messages that
// are lost are those that are never taken.
func TestExplore(t *testing.T) {
	for _, b := range []Bounds{
		{Procs: 2, Starts: 2, Stops: 1, Restarts: 1, Repeats: 1, Doubled: 1, States: 100_000},
		{Procs: 2, Starts: 3, Stops: 1, Repeats: 2, States: 100_000},
		{Procs: 3, Starts: 3, States: 100_000},
		{Procs: 3, Starts: 3, Stops: 1, Restarts: 1, Repeats: 1, States: 50_000},
	} {
		got := Explore(b)
		t.Logf("%+v: %d states, whole: %v", b, got.States, got.Complete)
		if got.Violation != "" {
			t.Errorf("%+v: %s: %q", b, got.Violation, got.Trace)
		}
	}
}

// TestGuards: each guard taken out is met.
func TestGuards(t *testing.T) {
	for _, bug := range []Bug{BugNoPermission, BugStalePermission, BugGrantWhileRequesting} {
		got := Explore(Bounds{Procs: 2, Starts: 3, Stops: 1, Repeats: 2, Bug: bug})
		t.Logf("bug %d: %s after %d states: %q", bug, got.Violation, got.States, got.Trace)
		if got.Violation == "" {
			t.Errorf("bug %d is not met in %d states", bug, got.States)
		}
	}
}

// net plays a few processes whose messages take a time, and that tick together.
type net struct {
	now  fsm.Time
	all  map[string]*Machine
	late fsm.Time
	due  []func()
	at   []fsm.Time
	told map[uint64]Answer
}

func newNet(late fsm.Time, names ...string) *net {
	n := &net{all: map[string]*Machine{}, late: late, told: map[uint64]Answer{}}
	for i, name := range names {
		m := New(name, uint64(i+1)<<32, NoBug)
		var peers []Peer
		for _, o := range names {
			if o != name {
				peers = append(peers, Peer{o, true})
			}
		}
		m.SetPeers(peers, false)
		m.SetReady(true, false)
		n.all[name] = m
	}
	return n
}

func (n *net) carry(from string, o Out) {
	for _, s := range o.Send {
		n.at = append(n.at, n.now+n.late)
		n.due = append(n.due, func() { n.carry(s.To, n.all[s.To].Receive(n.now, from, s.Msg.(Message))) })
	}
	for _, r := range o.Replies {
		n.told[r.Call] = r.Answer
	}
}

func (n *net) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += time.Millisecond {
		for len(n.due) > 0 && n.at[0] <= n.now {
			do := n.due[0]
			n.due, n.at = n.due[1:], n.at[1:]
			do()
		}
		if n.now%(50*time.Millisecond) == 0 {
			for name, m := range n.all {
				n.carry(name, m.Tick(n.now))
			}
		}
	}
}

func (n *net) call(who string, call uint64, op Op) {
	n.carry(who, n.all[who].Call(n.now, call, op, 800*time.Millisecond))
}

// TestBoth: of two that are asked at the same moment one drains and the other is told why not; where
// news is held up for longer than a call may take, neither does, whatever comes later.
func TestBoth(t *testing.T) {
	for _, late := range []time.Duration{0, time.Millisecond, 40 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond,
		700 * time.Millisecond, time.Second, 20 * time.Second} {
		n := newNet(late, "a", "b")
		n.call("a", 1, Start)
		n.call("b", 2, Start)
		n.run(time.Second)
		a, b := n.told[1], n.told[2]
		if late < 60*time.Millisecond && (a != Done || b != NoOtherReady) || a == Done && b == Done {
			t.Errorf("late by %v: the answers are %d and %d", late, a, b)
		}
		if n.run(time.Minute); n.all["a"].Draining() != (n.told[1] == Done) || n.all["b"].Draining() != (n.told[2] == Done) {
			t.Errorf("late by %v: answers %d and %d, and later they drain: %v, %v", late, n.told[1], n.told[2], n.all["a"].Draining(), n.all["b"].Draining())
		}
	}
}

// TestAnswers: what an operator is told.
func TestAnswers(t *testing.T) {
	n := newNet(time.Millisecond, "a", "b", "c")
	for i, c := range []struct {
		who  string
		op   Op
		want Answer
	}{{"b", Start, Done}, {"b", Start, Done}, {"a", Start, Done}, {"c", Start, NoOtherReady}, {"c", StartAlone, Done}, {"c", StartAlone, Done},
		{"b", Stop, Done}, {"b", Stop, Done}, {"b", Start, NoOtherReady}, {"c", Stop, Done}, {"b", Start, Done}} {
		n.call(c.who, uint64(i+1), c.op)
		if n.run(time.Second); n.told[uint64(i+1)] != c.want {
			t.Errorf("call %d, %+v: %d", i+1, c, n.told[uint64(i+1)])
		}
	}
	n = newNet(time.Millisecond, "a", "b")
	n.all["b"].SetReady(false, false)
	n.call("a", 1, Start)
	n.run(time.Second)
	n.all["a"].SetPeers([]Peer{{"b", false}}, true)
	n.call("a", 2, Start)
	n.run(time.Second)
	n.all["b"].SetReady(true, true)
	n.call("b", 3, Start)
	n.late = time.Minute
	n.call("a", 4, Start)
	n.call("a", 5, Start)
	n.run(500 * time.Millisecond)
	n.call("a", 6, Stop)
	n.run(time.Second)
	for call, want := range map[uint64]Answer{1: NoOtherReady, 2: NoPermission, 3: ProcessEnding, 4: Superseded, 5: Superseded, 6: Done} {
		if got, ok := n.told[call]; !ok || got != want {
			t.Errorf("call %d is told %d, %v", call, got, ok)
		}
	}
}
