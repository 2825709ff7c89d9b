package registry

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist"
)

// plan is one gateway of the size to design for: so many servers in 180 services, ten zones.
type plan struct {
	m     *Machine
	now   fsm.Time
	nodes []memberlist.Node
	rows  []Row
	mine  []Row // at home there
	call  uint64
}

const services = 180

func newPlan(tb testing.TB, gateways, servers int) *plan {
	p := &plan{now: time.Hour}
	for i := range gateways {
		p.nodes = append(p.nodes, memberlist.Node{Addr: fmt.Sprintf("10.%d.%03d.1:7100", i%10, i/10), Zone: fmt.Sprint("zone-", i%10),
			Control: fmt.Sprintf("10.%d.%d.1:8042", i%10, i/10), Incarnation: 1, Member: i < 8})
	}
	p.m = New(p.nodes[0].Addr, "zone-0", 1500*time.Millisecond, 1, p.now)
	p.m.SetVoters([]string{p.nodes[1].Addr, p.nodes[2].Addr, p.nodes[3].Addr})
	p.m.SetNodes(p.now, p.nodes)
	for i := range servers {
		p.rows = append(p.rows, Row{ID: fmt.Sprintf("i-%08x", i*2654435761), Addr: fmt.Sprintf("10.1%02d.%d.%d:8080", i%10, i/200, i%200),
			Service: fmt.Sprint("service-", i%services), Zone: fmt.Sprint("zone-", (i/services)%10), Epoch: "v1", Capacity: 6, Seq: 1})
	}
	p.m.Receive(p.now, p.nodes[1].Addr, FullTable{Complete: true, Rows: p.rows})
	for _, r := range p.rows {
		if p.m.mine(p.m.items[r.ID]) {
			p.mine = append(p.mine, r)
		}
	}
	if !p.m.Complete() || len(p.mine) == 0 {
		tb.Fatal(len(p.mine), "at home")
	}
	return p
}

func (p *plan) pass(d time.Duration) Out {
	p.now += d
	return p.m.Tick(p.now)
}

func (p *plan) beat(r Row, seq uint64) Out {
	p.call++
	return p.m.Heartbeat(p.now, p.call, Heartbeat{ID: r.ID, Addr: r.Addr, Service: r.Service, Zone: r.Zone, Epoch: r.Epoch, Capacity: r.Capacity, Seq: seq})
}

// fresh is a message as it comes off the wire: none of its texts is shared.
func fresh[M any](tb testing.TB, msg M) (got M) {
	b, err := cbor.Marshal(msg)
	if err == nil {
		err = cbor.Unmarshal(b, &got)
	}
	if err != nil {
		tb.Fatal(err)
	}
	return got
}

// BenchmarkMemory is what the list of 5,200 servers takes, each of which was heard of twice.
func BenchmarkMemory(b *testing.B) {
	p := newPlan(b, 490, 5200)
	heap := func() float64 {
		var s runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&s)
		return float64(s.HeapAlloc)
	}
	for b.Loop() {
		m := New(p.m.self, "zone-0", 1500*time.Millisecond, 1, p.now)
		m.SetNodes(p.now, p.nodes)
		before := heap()
		m.Receive(p.now, p.nodes[1].Addr, fresh(b, FullTable{Complete: true, Rows: p.rows}))
		for _, r := range p.rows {
			r.Seq++
			r.Phase = Silent
			m.Receive(p.now, p.nodes[1].Addr, fresh(b, Update{Rows: []Row{r}}))
		}
		b.ReportMetric((heap()-before)/float64(len(p.rows)), "bytes/server")
		runtime.KeepAlive(m)
	}
}

func BenchmarkSize(b *testing.B) {
	for _, n := range []int{1000, 2600, 5200} {
		run := func(what string, do func(b *testing.B, p *plan)) {
			b.Run(fmt.Sprint(what, "-", n), func(b *testing.B) {
				p := newPlan(b, 490, n)
				b.ReportAllocs()
				b.ResetTimer()
				do(b, p)
			})
		}
		run("tick", func(b *testing.B, p *plan) {
			for range b.N {
				p.pass(50 * time.Millisecond)
				if p.now%time.Second == 0 { // its own are heard
					b.StopTimer()
					for i, r := range p.mine {
						p.beat(r, uint64(p.now)+uint64(i))
					}
					b.StartTimer()
				}
			}
		})
		run("beat", func(b *testing.B, p *plan) {
			for i := range b.N {
				p.beat(p.mine[i%len(p.mine)], uint64(i+2))
			}
		})
		run("news", func(b *testing.B, p *plan) {
			for i := range b.N {
				r := p.rows[i%len(p.rows)]
				r.Seq, r.Phase = uint64(i+2), Phase(i/len(p.rows)%2)
				p.m.Receive(p.now, p.nodes[1].Addr, Update{Rows: []Row{r}})
			}
		})
		run("differ", func(b *testing.B, p *plan) {
			for range b.N {
				p.m.Receive(p.now, p.nodes[1].Addr, TableDigest{Hash: 1})
			}
		})
		run("gateway", func(b *testing.B, p *plan) { // one goes, or comes back
			for i := range b.N {
				p.nodes[17].State = []memberlist.State{memberlist.Gone, memberlist.Up}[i%2]
				p.m.SetNodes(p.now, p.nodes)
			}
		})
	}
}

// TestFrames: what a home sends grows with the root of the gateways, and once for each word of a server: that it is
// there, that it leaves; that it has ended goes with the next. A rack that is lost is one word.
func TestFrames(t *testing.T) {
	p := newPlan(t, 490, 5200)
	news := func(o Out, servers int) (no uint64) {
		t.Helper()
		to := 0
		for _, s := range o.Send {
			if n, ok := s.Msg.(Update); ok {
				if to, no = to+1+len(n.ForwardTo), n.Number; len(n.Rows) != servers {
					t.Errorf("%d rows, not %d", len(n.Rows), servers)
				}
			}
		}
		if len(o.Send) > 23 || to != 489 {
			t.Errorf("%d frames for %d gateways", len(o.Send), to)
		}
		return no
	}
	r := p.mine[0]
	r.ID, r.Addr = "new", "10.200.0.1:8080"
	news(p.beat(r, 1), 1)
	p.pass(50 * time.Millisecond)
	leaves := p.mine[1]
	o := p.m.Heartbeat(p.now, 7, Heartbeat{ID: leaves.ID, Addr: leaves.Addr, Service: leaves.Service, Zone: leaves.Zone, Quiescing: true, Seq: 9})
	no := news(o, 1)
	var answers []Answer
	for _, s := range o.Send {
		if len(answers) > 0 {
			t.Fatal("told yes before all know")
		}
		answers = p.m.Receive(p.now, s.To, Ack{Number: no, ConfirmedBy: s.Msg.(Update).ForwardTo}).Answers
	}
	if len(answers) != 1 || !answers[0].OK {
		t.Fatal(answers)
	}
	if o := p.m.Deregister(p.now, 8, leaves.ID); len(o.Send) > 0 || len(o.Answers) != 1 {
		t.Errorf("%d frames, %d answers", len(o.Send), len(o.Answers))
	}
	r.ID, r.Addr = "newer", "10.200.0.2:8080"
	news(p.beat(r, 1), 2)
	if p.m.items[leaves.ID].Phase != Ended {
		t.Error("the end did not go with it")
	}
	for at := p.now + 6*time.Second; p.now < at; { // none of its own is heard any more
		if o := p.pass(50 * time.Millisecond); len(o.Changes) > 0 {
			news(o, len(o.Changes))
		}
	}
	if st := p.m.Status(); st.Silent != len(p.mine)+1 {
		t.Errorf("%+v", st)
	}
}
