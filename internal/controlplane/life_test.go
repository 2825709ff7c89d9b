package controlplane

import (
	"fmt"
	"testing"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/fsm"
	"asterwell/internal/quotas"
	"asterwell/internal/registry"
)

// pair is two processes: one with a disk, and one that has calls made at it.
type pair struct {
	now   fsm.Time
	knots map[string]*Knot
	held  map[string][]any // for a process, that it does not get; nil: it gets all
	says  []Reply
}

func (p *pair) start(addr string, life uint64) {
	p.knots[addr] = New(Config{Self: addr, Name: addr, Zone: "z", Control: addr, Member: addr == "disk", Genesis: true, Heartbeat: time.Second,
		Seeds: []string{"disk", "calls"}, Life: life, Seed: life}, quotas.NewMeter(addr, life, life), nil, p.now)
}

func (p *pair) carry(from string, out Out) {
	if from == "calls" {
		p.says = append(p.says, out.Replies...)
	}
	for _, s := range out.Send {
		if held, on := p.held[s.To]; on && s.To != from {
			p.held[s.To] = append(held, s.Msg)
		} else if k := p.knots[s.To]; k != nil {
			p.carry(s.To, k.Take(p.now, from, s.Msg))
		}
	}
	if out.Write != nil {
		p.carry(from, p.knots[from].Written(p.now, out.Write.Seq))
	}
}

func (p *pair) wait(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 50 * time.Millisecond
		for _, addr := range []string{"disk", "calls"} {
			p.carry(addr, p.knots[addr].Tick(p.now))
		}
	}
}

// call makes calls by the numbers 1 to 4, as each life does.
func (p *pair) call(life string) {
	k := p.knots["calls"]
	p.carry("calls", k.Put(p.now, 1, consensus.Doc{Version: 7, Body: []byte(life)}))
	p.carry("calls", k.Get(p.now, 2))
	p.carry("calls", k.Beat(p.now, 3, registry.Heartbeat{ID: life + "-1", Addr: life + "1:1", Service: "s", Zone: "z", Seq: 2, Quiescing: true}))
	p.carry("calls", k.Delete(p.now, 4, life+"-2"))
	p.carry("calls", k.Tick(p.now))
}

// A process that has restarted under its address takes no answer to a call of its former life
// for one to its own call of the same number.
func TestFormerLife(t *testing.T) {
	p := &pair{now: time.Hour, knots: map[string]*Knot{}, held: map[string][]any{}}
	p.start("disk", 1)
	p.start("calls", 2)
	p.wait(5 * time.Second)
	p.held["calls"] = nil
	p.call("first")
	p.wait(300 * time.Millisecond)
	former := p.held["calls"]
	kinds := map[string]int{}
	for _, m := range former {
		kinds[fmt.Sprintf("%T", m)]++
	}
	if kinds["consensus.Answered"] < 2 || kinds["registry.Ack"] == 0 {
		t.Fatalf("nothing to tell apart: %v", kinds)
	}
	delete(p.held, "calls")
	p.start("calls", 3)
	p.wait(5 * time.Second)
	p.held["calls"], p.held["disk"], p.says = nil, nil, nil
	p.call("second")
	if len(p.says) != 0 {
		t.Fatalf("answered by itself: %v", p.says)
	}
	for _, m := range former {
		p.carry("calls", p.knots["calls"].Take(p.now, "disk", m))
	}
	if len(p.says) != 0 {
		t.Errorf("answers to the former life's calls count: %+v", p.says)
	}
	delete(p.held, "calls")
	delete(p.held, "disk")
	p.wait(2 * time.Second)
	if len(p.says) != 4 {
		t.Errorf("of four calls these are answered: %+v", p.says)
	}
}
