package memberlist

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist/links"
)

const ms = time.Millisecond

func node(i int) Node {
	return Node{Addr: fmt.Sprintf("10.0.0.%d:7", i), Name: fmt.Sprint("n", i), Incarnation: 1, Seq: 1}
}

// machineAmong returns a machine that knows others, all of which it has just heard.
func machineAmong(others int) *Machine {
	m := New(node(0), nil, 1, 0)
	for i := 1; i <= others; i++ {
		m.Receive(0, node(i).Addr, Hello{Node: node(i)})
	}
	m.Tick(0)
	return m
}

func state(m *Machine, i int) State {
	for _, n := range m.View() {
		if n.Addr == node(i).Addr {
			return n.State
		}
	}
	return 99
}

func sent[T any](o Out) (msgs []T) {
	for _, s := range o.Send {
		if x, ok := s.Msg.(T); ok {
			msgs = append(msgs, x)
		}
	}
	return msgs
}

// TestGossipOnce checks that a change is forwarded by a node to which it is new, and only once.
func TestGossipOnce(t *testing.T) {
	m := machineAmong(20)
	n := node(5)
	n.Seq, n.ConfigVersion = 2, 9
	if o := m.Receive(ms, node(6).Addr, Gossip{Nodes: []Node{n}}); len(sent[Gossip](o)) < 3 || len(sent[Gossip](o)) > 5 {
		t.Fatalf("forwarded %d times, want 3 to 5", len(sent[Gossip](o)))
	}
	if o := m.Receive(2*ms, node(7).Addr, Gossip{Nodes: []Node{n}}); len(o.Send) != 0 || o.Changed {
		t.Fatalf("%+v", o)
	}
}

// TestGoneInDiffIsVerified guards against an outdated Gone from a table exchange: the node is asked
// first, and is gone only if it stays silent.
func TestGoneInDiffIsVerified(t *testing.T) {
	for _, lives := range []bool{true, false} {
		m := machineAmong(8)
		n := node(5)
		n.State = Gone
		o := m.Receive(ms, node(6).Addr, Diff{Nodes: []Node{n}})
		if len(sent[Suspect](o)) != 1 || state(m, 5) != Up {
			t.Fatalf("%+v", o)
		}
		for now := 50 * ms; now < 700*ms; now += 50 * ms {
			for i := 1; i <= 8; i++ {
				if i != 5 || lives {
					m.Receive(now, node(i).Addr, Heartbeat{Incarnation: 1, Seq: 1})
				}
			}
			m.Tick(now)
		}
		if got := state(m, 5); (got == Up) != lives {
			t.Errorf("alive %v, state %v", lives, got)
		}
	}
}

// TestIncarnationConflict checks that a process outdoes what others remember of an earlier start,
// even if its clock went back and gave it a lower incarnation.
func TestIncarnationConflict(t *testing.T) {
	for _, c := range []struct {
		name string
		msg  any
		at   fsm.Time
		life uint64
		seq  uint64
	}{
		{"an earlier start with a higher incarnation", Gossip{Nodes: []Node{{Addr: node(0).Addr, Incarnation: 40, Seq: 3}}}, 9 * ms, 41, 2},
		{"the same incarnation with a higher sequence number", Gossip{Nodes: []Node{{Addr: node(0).Addr, Incarnation: 1, Seq: 3}}}, 9 * ms, 2, 2},
		{"gone, before its own heartbeats can have been missed", Suspect{Incarnation: 1, Seq: 1}, 9 * ms, 2, 2},
		{"gone, in this incarnation", Suspect{Incarnation: 1, Seq: 1}, 9000 * ms, 1, 2},
		{"gone, already refuted", Suspect{Incarnation: 1, Seq: 0}, 9000 * ms, 1, 1},
	} {
		m := machineAmong(3)
		m.Receive(c.at, node(1).Addr, c.msg)
		if m.self.Incarnation != c.life || m.self.Seq != c.seq {
			t.Errorf("%s: incarnation %d, sequence number %d", c.name, m.self.Incarnation, m.self.Seq)
		}
	}
}

// TestMergeOrder checks that entries about a node give the same table in any order.
func TestMergeOrder(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	for range 300 {
		var words []Node
		for range 8 {
			n := node(1)
			n.Incarnation, n.Seq, n.State = uint64(r.IntN(3)), uint64(r.IntN(3)), State(r.IntN(2)*2)
			words = append(words, n)
		}
		want := ""
		for range 3 {
			m := New(node(0), nil, 1, 0)
			m.merge(node(1))
			for _, i := range r.Perm(len(words)) {
				m.merge(words[i])
			}
			if got := fmt.Sprint(m.View()); want == "" {
				want = got
			} else if got != want {
				t.Fatalf("%v\n%v", got, want)
			}
		}
	}
}

type actor struct{ *Machine }

func (a actor) Tick(now fsm.Time) []fsm.Send { return a.Machine.Tick(now).Send }

func (a actor) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	return a.Machine.Receive(now, from, msg).Send
}

// TestGossipReachesAll checks that a change reaches a hundred nodes within 150 ms, also when links
// lose messages.
func TestGossipReachesAll(t *testing.T) {
	const all = 100
	for _, loss := range []float64{0, 0.1} {
		net := links.New(5, func(err error) { t.Error(err) })
		var machines []*Machine
		for i := range all {
			m := New(node(i), []string{node(0).Addr, node(1).Addr}, uint64(i), 0)
			machines = append(machines, m)
			net.Start(node(i).Addr, actor{m})
		}
		net.Run(5 * time.Second)
		net.Loss = loss
		machines[40].SetConfigVersion(7)
		net.Run(150 * ms)
		informed := 0
		for _, m := range machines {
			if len(m.UpNodes()) != all {
				t.Fatalf("%d up", len(m.UpNodes()))
			}
			for _, n := range m.View() {
				if n.Addr == node(40).Addr && n.ConfigVersion == 7 {
					informed++
				}
			}
		}
		if informed < all-int(loss*20) {
			t.Errorf("loss %v: %d of %d nodes have the change", loss, informed, all)
		}
	}
}

// TestConfigVersionGossip checks that configuration versions in quick succession are sent to the
// watchers at once, and to all nodes rarely.
func TestConfigVersionGossip(t *testing.T) {
	m := machineAmong(8)
	var v uint32
	gossips, last := 0, uint32(0)
	tick := func(now fsm.Time) (beats []Heartbeat) {
		for i := 1; i <= 8; i++ {
			m.Receive(now, node(i).Addr, Heartbeat{Incarnation: 1, Seq: 1})
		}
		o := m.Tick(now)
		for _, r := range sent[Gossip](o) {
			for _, n := range r.Nodes {
				if n.Addr == node(0).Addr {
					gossips, last = gossips+1, n.ConfigVersion
				}
			}
		}
		return sent[Heartbeat](o)
	}
	now := 10 * time.Second
	for range 40 {
		v++
		m.SetConfigVersion(v)
		for range 5 {
			now += 50 * ms
			if b := tick(now); v != m.View()[0].ConfigVersion || len(b) > 0 && b[0].ConfigVersion != v {
				t.Fatalf("version %d is held, the heartbeats are %+v", v, b)
			} else if now%(250*ms) == 50*ms && len(b) != 3 {
				t.Fatalf("%d heartbeats after a change of version, want 3", len(b))
			}
		}
	}
	if gossips > 3*5 || last >= v {
		t.Errorf("%d gossip messages within ten seconds, the last with version %d", gossips, last)
	}
	for range 21 {
		now += 50 * ms
		tick(now)
	}
	if last != v {
		t.Errorf("version %d was gossiped, %d is held", last, v)
	}
	o := m.Receive(now, node(3).Addr, Heartbeat{Incarnation: 1, Seq: 1, ConfigVersion: 9})
	if len(o.HeldVersions) != 1 || o.HeldVersions[0].Version != 9 || o.Changed {
		t.Errorf("%+v", o)
	}
	if o = m.Receive(now, node(3).Addr, Heartbeat{Incarnation: 1, Seq: 1, ConfigVersion: 8}); len(o.HeldVersions) != 0 {
		t.Errorf("%+v", o)
	}
}
