package drainpermit

import (
	"testing"
	"time"

	"asterwell/internal/fsm"
)

// TestExploreFindsNoViolation checks that one process always stays, whether messages are late,
// duplicated, lost or reordered. A lost message is one that is never delivered.
func TestExploreFindsNoViolation(t *testing.T) {
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

// TestDisabledSafeguardsAreFound checks that exploring finds a violation without each safeguard.
func TestDisabledSafeguardsAreFound(t *testing.T) {
	for _, bug := range []Bug{BugNoPermission, BugStalePermission, BugGrantWhileRequesting} {
		got := Explore(Bounds{Procs: 2, Starts: 3, Stops: 1, Repeats: 2, Bug: bug})
		t.Logf("bug %d: %s after %d states: %q", bug, got.Violation, got.States, got.Trace)
		if got.Violation == "" {
			t.Errorf("bug %d is not found in %d states", bug, got.States)
		}
	}
}

// network delivers messages between a few processes after a delay, and ticks them together.
type network struct {
	now           fsm.Time
	machines      map[string]*Machine
	delay         fsm.Time
	deliveries    []func()
	deliveryTimes []fsm.Time
	answers       map[uint64]Answer
}

func newNetwork(late fsm.Time, names ...string) *network {
	n := &network{machines: map[string]*Machine{}, delay: late, answers: map[uint64]Answer{}}
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
		n.machines[name] = m
	}
	return n
}

func (n *network) deliver(from string, o Out) {
	for _, s := range o.Send {
		n.deliveryTimes = append(n.deliveryTimes, n.now+n.delay)
		n.deliveries = append(n.deliveries, func() { n.deliver(s.To, n.machines[s.To].Receive(n.now, from, s.Msg.(Message))) })
	}
	for _, r := range o.Replies {
		n.answers[r.Call] = r.Answer
	}
}

func (n *network) run(d time.Duration) {
	for end := n.now + d; n.now < end; n.now += time.Millisecond {
		for len(n.deliveries) > 0 && n.deliveryTimes[0] <= n.now {
			do := n.deliveries[0]
			n.deliveries, n.deliveryTimes = n.deliveries[1:], n.deliveryTimes[1:]
			do()
		}
		if n.now%(50*time.Millisecond) == 0 {
			for name, m := range n.machines {
				n.deliver(name, m.Tick(n.now))
			}
		}
	}
}

func (n *network) call(who string, call uint64, op Op) {
	n.deliver(who, n.machines[who].Call(n.now, call, op, 800*time.Millisecond))
}

// TestSimultaneousRequests checks that of two processes asked at the same moment one drains, and
// the other call is refused with the reason. When messages take longer than a call may, neither
// drains, whatever arrives later.
func TestSimultaneousRequests(t *testing.T) {
	for _, delay := range []time.Duration{0, time.Millisecond, 40 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond,
		700 * time.Millisecond, time.Second, 20 * time.Second} {
		n := newNetwork(delay, "a", "b")
		n.call("a", 1, Start)
		n.call("b", 2, Start)
		n.run(time.Second)
		a, b := n.answers[1], n.answers[2]
		if delay < 60*time.Millisecond && (a != Done || b != NoOtherReady) || a == Done && b == Done {
			t.Errorf("delay %v: the answers are %d and %d", delay, a, b)
		}
		if n.run(time.Minute); n.machines["a"].Draining() != (n.answers[1] == Done) || n.machines["b"].Draining() != (n.answers[2] == Done) {
			t.Errorf("delay %v: answers %d and %d, and later draining: %v, %v", delay, n.answers[1], n.answers[2], n.machines["a"].Draining(), n.machines["b"].Draining())
		}
	}
}

// TestAnswers checks the answers to operators.
func TestAnswers(t *testing.T) {
	n := newNetwork(time.Millisecond, "a", "b", "c")
	for i, c := range []struct {
		who  string
		op   Op
		want Answer
	}{{"b", Start, Done}, {"b", Start, Done}, {"a", Start, Done}, {"c", Start, NoOtherReady}, {"c", StartAlone, Done}, {"c", StartAlone, Done},
		{"b", Stop, Done}, {"b", Stop, Done}, {"b", Start, NoOtherReady}, {"c", Stop, Done}, {"b", Start, Done}} {
		n.call(c.who, uint64(i+1), c.op)
		if n.run(time.Second); n.answers[uint64(i+1)] != c.want {
			t.Errorf("call %d, %+v: %d", i+1, c, n.answers[uint64(i+1)])
		}
	}
	n = newNetwork(time.Millisecond, "a", "b")
	n.machines["b"].SetReady(false, false)
	n.call("a", 1, Start)
	n.run(time.Second)
	n.machines["a"].SetPeers([]Peer{{"b", false}}, true)
	n.call("a", 2, Start)
	n.run(time.Second)
	n.machines["b"].SetReady(true, true)
	n.call("b", 3, Start)
	n.delay = time.Minute
	n.call("a", 4, Start)
	n.call("a", 5, Start)
	n.run(500 * time.Millisecond)
	n.call("a", 6, Stop)
	n.run(time.Second)
	for call, want := range map[uint64]Answer{1: NoOtherReady, 2: NoPermission, 3: ProcessEnding, 4: Superseded, 5: Superseded, 6: Done} {
		if got, ok := n.answers[call]; !ok || got != want {
			t.Errorf("call %d: got %d, answered: %v", call, got, ok)
		}
	}
}
