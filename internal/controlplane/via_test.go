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

// Ways round are looked for again and again, but no more often than the links bear; an
// answer that comes straight ends a way, not the pause. Of many gateways each looks more seldom: all of
// them together burden a holder that can't keep up with a bounded number of ways.
func TestDetour(t *testing.T) {
	for gateways, most := range map[int]int{1: 110, 11: 110, 40: 110, 91: 50, 490: 10} {
		var d detour
		looks := 0
		for now := time.Hour; now < time.Hour+10*time.Second; now += 20 * time.Millisecond {
			if d.may(now, gateways) {
				looks++
			}
			d.straight(quotas.Answer{})
		}
		if looks < most*3/4 || looks > most || looks*gateways > 10*450 {
			t.Errorf("%d gateways: %d looks of each in 10 s", gateways, looks)
		}
	}
}

// unheard is a meter whose holder never answers.
type unheard struct{}

func (unheard) SetGateways(fsm.Time, int, []string)      {}
func (unheard) SetRoster(fsm.Time, *quotas.Roster)       {}
func (unheard) Receive(fsm.Time, string, any) []fsm.Send { return nil }
func (unheard) ReadOverdue(fsm.Time, string) bool        { return true }
func (unheard) Tick(fsm.Time) []fsm.Send {
	return []fsm.Send{{To: "h:1", Msg: quotas.Add{Incarnation: 1}}}
}

// TestStood: of a large fleet who stood still itself looks for no way round, since it is not the holder that is late; in a
// small one it does, as ever.
func TestStood(t *testing.T) {
	for _, c := range []struct {
		known int
		gap   time.Duration
		looks bool
	}{{11, 50 * time.Millisecond, true}, {11, 300 * time.Millisecond, true}, {490, 50 * time.Millisecond, true}, {490, 300 * time.Millisecond, false}} {
		now := time.Hour
		k := New(Config{Self: "g:1", Name: "g", Zone: "z", Seeds: []string{"h:1"}, Life: 1}, unheard{}, nil, now)
		k.bond.Take(now, "w:1", memberlist.Hello{Node: memberlist.Node{Addr: "w:1", Name: "w", Zone: "z", Life: 1}})
		k.Tick(now)
		k.seen = c.known
		k.round["h:1"] = &detour{}
		looked := false
		for _, s := range k.Tick(now + c.gap).Send {
			if v, is := s.Msg.(Via); is && v.Add != nil {
				looked = true
			}
		}
		if looked != c.looks {
			t.Errorf("%d gateways, %v after the tick before: looks %v", c.known, c.gap, looked)
		}
	}
}

// seldom is a meter whose holder's answers were late once.
type seldom struct {
	unheard
	late bool
}

func (s *seldom) ReadOverdue(fsm.Time, string) bool { return s.late }
func (s *seldom) Tick(now fsm.Time) []fsm.Send {
	return []fsm.Send{{To: "h:1", Msg: quotas.Add{Incarnation: 1, Timestamp: now}}}
}

// TestWayCloses: a holder that was late once and answers again isn't told round for good. While a way is open
// each add goes both ways, and the answer that comes round, a little later than the straight one, must not open it anew.
// Where nothing comes straight the way stays open.
func TestWayCloses(t *testing.T) {
	for _, brief := range []bool{false, true} {
		for _, back := range []bool{true, false} { // the holder answers straight again
			m := &seldom{late: true}
			now := time.Hour
			k := New(Config{Self: "g:1", Name: "g", Zone: "z", Seeds: []string{"h:1"}, Life: 1}, m, nil, now)
			k.bond.Take(now, "w:1", memberlist.Hello{Node: memberlist.Node{Addr: "w:1", Name: "w", Zone: "z", Life: 1}})
			ways := 0
			for i := range 40 {
				now += 50 * time.Millisecond
				var adds []quotas.Add
				var round []Via
				for _, s := range k.Tick(now).Send {
					switch v := s.Msg.(type) {
					case quotas.Add:
						adds = append(adds, v)
					case Via:
						if v.Add != nil {
							round = append(round, v)
						}
					}
				}
				m.late = !back && i%10 == 9
				if i > 1 {
					ways += len(round)
				}
				answer := func(a quotas.Add) quotas.Answer {
					if brief { // flags, the life in four bytes, the period, the stamp
						return quotas.Answer{Compact: binary.AppendUvarint([]byte{0, 0, 0, 0, 1, 7}, uint64(a.Timestamp))}
					}
					return quotas.Answer{Incarnation: 1, Timestamp: a.Timestamp}
				}
				if back && i > 0 {
					for _, a := range adds {
						k.Take(now+2*time.Millisecond, "h:1", answer(a))
					}
				}
				for _, v := range round {
					a := answer(*v.Add)
					k.Take(now+4*time.Millisecond, "w:1", Via{From: "h:1", To: "g:1", By: "w:1", Answer: &a})
				}
			}
			if back && ways > 2 || !back && ways < 30 {
				t.Errorf("shortened %v, answers straight again %v: %d adds went round", brief, back, ways)
			}
		}
	}
}

// TestAskedRoundInTurn: of a large fleet whose signs of life stay out a part is asked round at a tick, all in turn, and
// none by a process that stood still itself; in a small one all at once.
func TestAskedRoundInTurn(t *testing.T) {
	for _, c := range []struct {
		silent int
		stood  bool
		most   int
	}{{8, false, 8}, {99, false, 99}, {489, false, mostBlind}, {489, true, 0}} {
		now := time.Hour
		k := New(Config{Self: "h:1", Name: "h", Zone: "z", Life: 1}, unheard{}, nil, now)
		for _, w := range []string{"w:1", "w:2", "w:3"} {
			k.bond.Take(now, w, memberlist.Hello{Node: memberlist.Node{Addr: w, Name: w, Zone: "z", Life: 1}})
		}
		nodes := []string{"h:1"}
		for i := range c.silent {
			nodes = append(nodes, fmt.Sprintf("g%03d:1", i))
		}
		k.counter.SetGateways(nodes)
		k.counter.Tick(now)
		for _, n := range nodes[1:] {
			k.counter.Receive(now, n, quotas.Add{Incarnation: 1, AnswersProbes: true, NearLimit: true})
		}
		all := map[string]bool{}
		for range 100 {
			now += 50 * time.Millisecond
			k.counter.Receive(now, "w:1", quotas.Add{Incarnation: 1, NearLimit: true})
			k.stood = c.stood
			k.look(now, k.counter.Tick(now))
			round := map[string]bool{}
			for _, s := range k.end().Send {
				if v, is := s.Msg.(Via); is && v.Ask {
					round[v.To], all[v.To] = true, true
				}
			}
			if len(round) > c.most {
				t.Fatalf("%d silent: %d asked round at a tick", c.silent, len(round))
			}
		}
		if want := map[bool]int{false: c.silent, true: 0}[c.stood]; len(all) != want {
			t.Errorf("%d silent, stood still %v: %d were ever asked round", c.silent, c.stood, len(all))
		}
	}
}

// wordy is a meter whose adds carry something, and whose holder never answers straight.
type wordy struct{ unheard }

func (wordy) Tick(now fsm.Time) []fsm.Send {
	return []fsm.Send{{To: "h:1", Msg: quotas.Add{Incarnation: 1, Timestamp: now, Read: true, RosterHash: 7, Packed: make([]byte, 900), Items: make([]quotas.Item, 9)}}}
}

// TestOnlyAQuestionGoesRound: of a large fleet what looks for a way round carries no items, and the add after an answer that
// came by it carries all of them; in a small one the first does already.
func TestOnlyAQuestionGoesRound(t *testing.T) {
	for known, first := range map[int]int{11: 909, 91: 909, 490: 0} {
		now := time.Hour
		k := New(Config{Self: "g:1", Name: "g", Zone: "z", Seeds: []string{"h:1"}, Life: 1}, wordy{}, nil, now)
		k.bond.Take(now, "w:1", memberlist.Hello{Node: memberlist.Node{Addr: "w:1", Name: "w", Zone: "z", Life: 1}})
		k.Tick(now)
		k.seen = known
		k.round["h:1"] = &detour{}
		var sizes []int
		for range 2 {
			now += 50 * time.Millisecond
			for _, s := range k.Tick(now).Send {
				v, is := s.Msg.(Via)
				if !is || v.Add == nil {
					continue
				}
				sizes = append(sizes, len(v.Add.Packed)+len(v.Add.Items))
				if v.Add.Incarnation != 1 || v.Add.RosterHash != 7 || !v.Add.Read && !v.Add.Ping {
					t.Errorf("%d gateways: %+v is answered by nobody", known, *v.Add)
				}
				k.Take(now, "w:1", Via{From: "h:1", To: "g:1", By: "w:1", Answer: &quotas.Answer{Incarnation: 1, Timestamp: v.Add.Timestamp}})
			}
		}
		if len(sizes) != 2 || sizes[0] != first || sizes[1] != 909 {
			t.Errorf("%d gateways: %d of what is told goes round, want %d and 909", known, sizes, first)
		}
	}
}

// A gateway found a way round to the first holder by another one, which was cut off itself a moment later. It went on
// sending by that one, and looked for no other way until the first had run out after three seconds; the holder heard nothing of
// its units meanwhile (day 700507: "mute true till 2.78s" in each tick). A way whose answers stay out is no way.
func TestDeadWayIsReplaced(t *testing.T) {
	now := time.Hour
	meter := &seldom{}
	k := New(Config{Self: "g:1", Name: "g", Zone: "z", Seeds: []string{"h:1"}, Life: 1}, meter, nil, now)
	for _, other := range []string{"w:1", "x:1"} {
		k.bond.Take(now, other, memberlist.Hello{Node: memberlist.Node{Addr: other, Name: other, Zone: "z", Life: 1}})
	}
	k.detour("h:1").open(now, "w:1", quotas.Answer{Timestamp: now})
	by := func() map[string]bool {
		ways := map[string]bool{}
		for range 6 {
			now += 50 * time.Millisecond
			for _, s := range k.Tick(now).Send {
				if v, is := s.Msg.(Via); is && v.Add != nil {
					ways[s.To] = true
				}
			}
		}
		return ways
	}
	if ways := by(); len(ways) != 1 || !ways["w:1"] {
		t.Errorf("answers come: goes by %v", ways)
	}
	if meter.late = true; !by()["x:1"] {
		t.Error("answers stay out, and no other way is looked for")
	}
}
