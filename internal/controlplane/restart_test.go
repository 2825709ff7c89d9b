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

// pair is two processes: "disk" with a disk, and "calls" that clients call.
type pair struct {
	now      fsm.Time
	machines map[string]*Machine
	heldBack map[string][]any // by address: messages held back from that process; processes without an entry get all
	replies  []Reply
}

func (p *pair) start(addr string, incarnation uint64) {
	p.machines[addr] = New(Config{Self: addr, Name: addr, Zone: "z", ControlAddr: addr, Member: addr == "disk", Genesis: true, HeartbeatInterval: time.Second,
		Seeds: []string{"disk", "calls"}, Incarnation: incarnation, Seed: incarnation}, quotas.NewMeter(addr, incarnation, incarnation), nil, p.now)
}

func (p *pair) deliver(from string, out Output) {
	if from == "calls" {
		p.replies = append(p.replies, out.Replies...)
	}
	for _, s := range out.Send {
		if heldBack, holding := p.heldBack[s.To]; holding && s.To != from {
			p.heldBack[s.To] = append(heldBack, s.Msg)
		} else if m := p.machines[s.To]; m != nil {
			p.deliver(s.To, m.Receive(p.now, from, s.Msg))
		}
	}
	if out.Write != nil {
		p.deliver(from, p.machines[from].Written(p.now, out.Write.Seq))
	}
}

func (p *pair) wait(d time.Duration) {
	for end := p.now + d; p.now < end; {
		p.now += 50 * time.Millisecond
		for _, addr := range []string{"disk", "calls"} {
			p.deliver(addr, p.machines[addr].Tick(p.now))
		}
	}
}

// call makes four calls with the IDs 1 to 4, the same in each run of the process.
func (p *pair) call(run string) {
	m := p.machines["calls"]
	p.deliver("calls", m.PutConfig(p.now, 1, consensus.Doc{Version: 7, Body: []byte(run)}))
	p.deliver("calls", m.GetConfig(p.now, 2))
	p.deliver("calls", m.ServerHeartbeat(p.now, 3, registry.Heartbeat{ID: run + "-1", Addr: run + "1:1", Service: "s", Zone: "z", Seq: 2, Quiescing: true}))
	p.deliver("calls", m.RemoveServer(p.now, 4, run+"-2"))
	p.deliver("calls", m.Tick(p.now))
}

// TestAnswersOfEarlierRunIgnored: a process that restarted under the same address doesn't take an answer
// to a call of its earlier run for the answer to its own call with the same ID.
func TestAnswersOfEarlierRunIgnored(t *testing.T) {
	p := &pair{now: time.Hour, machines: map[string]*Machine{}, heldBack: map[string][]any{}}
	p.start("disk", 1)
	p.start("calls", 2)
	p.wait(5 * time.Second)
	p.heldBack["calls"] = nil
	p.call("first")
	p.wait(300 * time.Millisecond)
	earlier := p.heldBack["calls"]
	kinds := map[string]int{}
	for _, m := range earlier {
		kinds[fmt.Sprintf("%T", m)]++
	}
	if kinds["consensus.ForwardReply"] < 2 || kinds["registry.Ack"] == 0 {
		t.Fatalf("no answers were held back: %v", kinds)
	}
	delete(p.heldBack, "calls")
	p.start("calls", 3)
	p.wait(5 * time.Second)
	p.heldBack["calls"], p.heldBack["disk"], p.replies = nil, nil, nil
	p.call("second")
	if len(p.replies) != 0 {
		t.Fatalf("answered without the other process: %v", p.replies)
	}
	for _, m := range earlier {
		p.deliver("calls", p.machines["calls"].Receive(p.now, "disk", m))
	}
	if len(p.replies) != 0 {
		t.Errorf("answers to calls of the earlier run were accepted: %+v", p.replies)
	}
	delete(p.heldBack, "calls")
	delete(p.heldBack, "disk")
	p.wait(2 * time.Second)
	if len(p.replies) != 4 {
		t.Errorf("of four calls these were answered: %+v", p.replies)
	}
}
