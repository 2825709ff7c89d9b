package controlplane

import (
	"encoding/binary"
	"fmt"
	"testing"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
	"asterwell/internal/quotas"
)

// TestRelaySearchRate: searches for a relay repeat at a bounded rate, and a direct answer doesn't reset
// the interval. The more gateways there are the less often each searches, so that all of them together put
// a bounded load on an overloaded holder.
func TestRelaySearchRate(t *testing.T) {
	for gateways, maxSearches := range map[int]int{1: 110, 11: 110, 40: 110, 91: 50, 490: 10} {
		var detour detour
		searches := 0
		for now := time.Hour; now < time.Hour+10*time.Second; now += 20 * time.Millisecond {
			if detour.startSearch(now, gateways) {
				searches++
			}
			detour.answeredDirectly(quotas.Answer{})
		}
		if searches < maxSearches*3/4 || searches > maxSearches || searches*gateways > 10*450 {
			t.Errorf("%d gateways: %d searches of each in 10 s", gateways, searches)
		}
	}
}

// silentMeter is a meter whose holder never answers.
type silentMeter struct{}

func (silentMeter) SetGateways(fsm.Time, int, []string)      {}
func (silentMeter) SetRoster(fsm.Time, *quotas.Roster)       {}
func (silentMeter) Receive(fsm.Time, string, any) []fsm.Send { return nil }
func (silentMeter) ReadOverdue(fsm.Time, string) bool        { return true }
func (silentMeter) Tick(fsm.Time) []fsm.Send {
	return []fsm.Send{{To: "h:1", Msg: quotas.Add{Incarnation: 1}}}
}

// TestStalledProcessSeeksNoRelay: in a large fleet a process that was stalled itself doesn't search for a
// relay, since the silence is its own fault; in a small fleet it does.
func TestStalledProcessSeeksNoRelay(t *testing.T) {
	for _, c := range []struct {
		nodes    int
		gap      time.Duration
		searches bool
	}{{11, 50 * time.Millisecond, true}, {11, 300 * time.Millisecond, true}, {490, 50 * time.Millisecond, true}, {490, 300 * time.Millisecond, false}} {
		now := time.Hour
		machine := New(Config{Self: "g:1", Name: "g", Zone: "z", Seeds: []string{"h:1"}, Incarnation: 1}, silentMeter{}, nil, now)
		machine.members.Receive(now, "w:1", memberlist.Hello{Node: memberlist.Node{Addr: "w:1", Name: "w", Zone: "z", Incarnation: 1}})
		machine.Tick(now)
		machine.nodeCount = c.nodes
		machine.detours["h:1"] = &detour{}
		searched := false
		for _, s := range machine.Tick(now + c.gap).Send {
			if v, is := s.Msg.(Relay); is && v.Add != nil {
				searched = true
			}
		}
		if searched != c.searches {
			t.Errorf("%d gateways, %v after the previous tick: searched %v", c.nodes, c.gap, searched)
		}
	}
}

// lateMeter is a meter whose holder's answers are late while late is set.
type lateMeter struct {
	silentMeter
	late bool
}

func (s *lateMeter) ReadOverdue(fsm.Time, string) bool { return s.late }
func (s *lateMeter) Tick(now fsm.Time) []fsm.Send {
	return []fsm.Send{{To: "h:1", Msg: quotas.Add{Incarnation: 1, Timestamp: now}}}
}

// TestRelayCloses: after a holder was late once and answers again, the relay goes out of use. While a
// relay is used each add is sent both ways, and the relayed answer, which comes a little later than the
// direct one, must not renew it. Where no direct answer comes the relay stays in use.
func TestRelayCloses(t *testing.T) {
	for _, shortened := range []bool{false, true} {
		for _, recovered := range []bool{true, false} { // the holder answers directly again
			meter := &lateMeter{late: true}
			now := time.Hour
			machine := New(Config{Self: "g:1", Name: "g", Zone: "z", Seeds: []string{"h:1"}, Incarnation: 1}, meter, nil, now)
			machine.members.Receive(now, "w:1", memberlist.Hello{Node: memberlist.Node{Addr: "w:1", Name: "w", Zone: "z", Incarnation: 1}})
			relayed := 0
			for i := range 40 {
				now += 50 * time.Millisecond
				var adds []quotas.Add
				var relays []Relay
				for _, s := range machine.Tick(now).Send {
					switch v := s.Msg.(type) {
					case quotas.Add:
						adds = append(adds, v)
					case Relay:
						if v.Add != nil {
							relays = append(relays, v)
						}
					}
				}
				meter.late = !recovered && i%10 == 9
				if i > 1 {
					relayed += len(relays)
				}
				answer := func(a quotas.Add) quotas.Answer {
					if shortened { // flags, the incarnation in four bytes, the period, the stamp
						return quotas.Answer{Compact: binary.AppendUvarint([]byte{0, 0, 0, 0, 1, 7}, uint64(a.Timestamp))}
					}
					return quotas.Answer{Incarnation: 1, Timestamp: a.Timestamp}
				}
				if recovered && i > 0 {
					for _, a := range adds {
						machine.Receive(now+2*time.Millisecond, "h:1", answer(a))
					}
				}
				for _, v := range relays {
					a := answer(*v.Add)
					machine.Receive(now+4*time.Millisecond, "w:1", Relay{From: "h:1", To: "g:1", RelayedBy: "w:1", Answer: &a})
				}
			}
			if recovered && relayed > 2 || !recovered && relayed < 30 {
				t.Errorf("shortened %v, direct answers again %v: %d adds were relayed", shortened, recovered, relayed)
			}
		}
	}
}

// TestLivenessRequestsRelayedInTurn: in a large fleet with many signs of life missing, only some gateways
// are asked through relays at each tick, all of them in turn, and none by a process that was stalled
// itself; in a small fleet all are asked at once.
func TestLivenessRequestsRelayedInTurn(t *testing.T) {
	for _, c := range []struct {
		silent int
		stood  bool
		most   int
	}{{8, false, 8}, {99, false, 99}, {489, false, maxAskedPerTick}, {489, true, 0}} {
		now := time.Hour
		machine := New(Config{Self: "h:1", Name: "h", Zone: "z", Incarnation: 1}, silentMeter{}, nil, now)
		for _, w := range []string{"w:1", "w:2", "w:3"} {
			machine.members.Receive(now, w, memberlist.Hello{Node: memberlist.Node{Addr: w, Name: w, Zone: "z", Incarnation: 1}})
		}
		nodes := []string{"h:1"}
		for i := range c.silent {
			nodes = append(nodes, fmt.Sprintf("g%03d:1", i))
		}
		machine.counter.SetGateways(nodes)
		machine.counter.Tick(now)
		for _, n := range nodes[1:] {
			machine.counter.Receive(now, n, quotas.Add{Incarnation: 1, AnswersProbes: true, NearLimit: true})
		}
		everAsked := map[string]bool{}
		for range 100 {
			now += 50 * time.Millisecond
			machine.counter.Receive(now, "w:1", quotas.Add{Incarnation: 1, NearLimit: true})
			machine.stalled = c.stood
			machine.sendLivenessRequests(now, machine.counter.Tick(now))
			asked := map[string]bool{}
			for _, s := range machine.takeOutput().Send {
				if v, is := s.Msg.(Relay); is && v.LivenessRequest {
					asked[v.To], everAsked[v.To] = true, true
				}
			}
			if len(asked) > c.most {
				t.Fatalf("%d silent: %d asked through relays at a tick", c.silent, len(asked))
			}
		}
		if want := map[bool]int{false: c.silent, true: 0}[c.stood]; len(everAsked) != want {
			t.Errorf("%d silent, stalled %v: %d were ever asked through relays", c.silent, c.stood, len(everAsked))
		}
	}
}

// bulkyMeter is a meter whose adds carry items, and whose holder never answers directly.
type bulkyMeter struct{ silentMeter }

func (bulkyMeter) Tick(now fsm.Time) []fsm.Send {
	return []fsm.Send{{To: "h:1", Msg: quotas.Add{Incarnation: 1, Timestamp: now, Read: true, RosterHash: 7, Packed: make([]byte, 900), Items: make([]quotas.Item, 9)}}}
}

// TestLargeFleetSearchCarriesNoItems: in a large fleet the search for a relay carries no items, and the
// add after the first relayed answer carries all of them; in a small fleet the first add carries them
// already.
func TestLargeFleetSearchCarriesNoItems(t *testing.T) {
	for nodes, first := range map[int]int{11: 909, 91: 909, 490: 0} {
		now := time.Hour
		machine := New(Config{Self: "g:1", Name: "g", Zone: "z", Seeds: []string{"h:1"}, Incarnation: 1}, bulkyMeter{}, nil, now)
		machine.members.Receive(now, "w:1", memberlist.Hello{Node: memberlist.Node{Addr: "w:1", Name: "w", Zone: "z", Incarnation: 1}})
		machine.Tick(now)
		machine.nodeCount = nodes
		machine.detours["h:1"] = &detour{}
		var sizes []int
		for range 2 {
			now += 50 * time.Millisecond
			for _, s := range machine.Tick(now).Send {
				v, ok := s.Msg.(Relay)
				if !ok || v.Add == nil {
					continue
				}
				sizes = append(sizes, len(v.Add.Packed)+len(v.Add.Items))
				if v.Add.Incarnation != 1 || v.Add.RosterHash != 7 || !v.Add.Read && !v.Add.Ping {
					t.Errorf("%d gateways: a holder wouldn't answer %+v", nodes, *v.Add)
				}
				machine.Receive(now, "w:1", Relay{From: "h:1", To: "g:1", RelayedBy: "w:1", Answer: &quotas.Answer{Incarnation: 1, Timestamp: v.Add.Timestamp}})
			}
		}
		if len(sizes) != 2 || sizes[0] != first || sizes[1] != 909 {
			t.Errorf("%d gateways: relayed sizes %d, want %d and 909", nodes, sizes, first)
		}
	}
}

// TestDeadRelayIsReplaced guards against a gateway that keeps using a relay which was itself cut off a
// moment after it was found. The gateway searched for no other relay until the first one expired after
// three seconds, and meanwhile the holder heard nothing of its units. A relay whose answers stop must not
// prevent a search. Found with simulation seed 700507.
func TestDeadRelayIsReplaced(t *testing.T) {
	now := time.Hour
	meter := &lateMeter{}
	machine := New(Config{Self: "g:1", Name: "g", Zone: "z", Seeds: []string{"h:1"}, Incarnation: 1}, meter, nil, now)
	for _, other := range []string{"w:1", "x:1"} {
		machine.members.Receive(now, other, memberlist.Hello{Node: memberlist.Node{Addr: other, Name: other, Zone: "z", Incarnation: 1}})
	}
	machine.detourTo("h:1").answeredVia(now, "w:1", quotas.Answer{Timestamp: now})
	usedRelays := func() map[string]bool {
		relays := map[string]bool{}
		for range 6 {
			now += 50 * time.Millisecond
			for _, s := range machine.Tick(now).Send {
				if v, is := s.Msg.(Relay); is && v.Add != nil {
					relays[s.To] = true
				}
			}
		}
		return relays
	}
	if relays := usedRelays(); len(relays) != 1 || !relays["w:1"] {
		t.Errorf("with answers: relayed through %v", relays)
	}
	if meter.late = true; !usedRelays()["x:1"] {
		t.Error("answers stopped, and no other relay was searched for")
	}
}
