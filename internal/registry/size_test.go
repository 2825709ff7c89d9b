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

// fixture is one gateway of the largest supported system, with servers in 180 services and ten
// zones.
type fixture struct {
	m        *Machine
	now      fsm.Time
	nodes    []memberlist.Node
	rows     []Row
	homeRows []Row // servers whose home is this gateway
	call     uint64
}

const services = 180

func newFixture(tb testing.TB, gateways, servers int) *fixture {
	p := &fixture{now: time.Hour}
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
		if p.m.isHome(p.m.items[r.ID]) {
			p.homeRows = append(p.homeRows, r)
		}
	}
	if !p.m.Complete() || len(p.homeRows) == 0 {
		tb.Fatal(len(p.homeRows), "servers have their home here")
	}
	return p
}

func (p *fixture) tick(d time.Duration) Out {
	p.now += d
	return p.m.Tick(p.now)
}

func (p *fixture) heartbeat(r Row, seq uint64) Out {
	p.call++
	return p.m.Heartbeat(p.now, p.call, Heartbeat{ID: r.ID, Addr: r.Addr, Service: r.Service, Zone: r.Zone, Epoch: r.Epoch, Capacity: r.Capacity, Seq: seq})
}

// decoded returns a message as it is read from the wire: none of its strings is shared.
func decoded[M any](tb testing.TB, msg M) (got M) {
	b, err := cbor.Marshal(msg)
	if err == nil {
		err = cbor.Unmarshal(b, &got)
	}
	if err != nil {
		tb.Fatal(err)
	}
	return got
}

// BenchmarkMemory measures the size of the table with 5,200 servers, each of which was updated
// once.
func BenchmarkMemory(b *testing.B) {
	p := newFixture(b, 490, 5200)
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
		m.Receive(p.now, p.nodes[1].Addr, decoded(b, FullTable{Complete: true, Rows: p.rows}))
		for _, r := range p.rows {
			r.Seq++
			r.Phase = Silent
			m.Receive(p.now, p.nodes[1].Addr, decoded(b, Update{Rows: []Row{r}}))
		}
		b.ReportMetric((heap()-before)/float64(len(p.rows)), "bytes/server")
		runtime.KeepAlive(m)
	}
}

func BenchmarkSize(b *testing.B) {
	for _, n := range []int{1000, 2600, 5200} {
		run := func(what string, do func(b *testing.B, p *fixture)) {
			b.Run(fmt.Sprint(what, "-", n), func(b *testing.B) {
				p := newFixture(b, 490, n)
				b.ReportAllocs()
				b.ResetTimer()
				do(b, p)
			})
		}
		run("tick", func(b *testing.B, p *fixture) {
			for range b.N {
				p.tick(50 * time.Millisecond)
				if p.now%time.Second == 0 { // the servers of this home are heard
					b.StopTimer()
					for i, r := range p.homeRows {
						p.heartbeat(r, uint64(p.now)+uint64(i))
					}
					b.StartTimer()
				}
			}
		})
		run("beat", func(b *testing.B, p *fixture) {
			for i := range b.N {
				p.heartbeat(p.homeRows[i%len(p.homeRows)], uint64(i+2))
			}
		})
		run("news", func(b *testing.B, p *fixture) {
			for i := range b.N {
				r := p.rows[i%len(p.rows)]
				r.Seq, r.Phase = uint64(i+2), Phase(i/len(p.rows)%2)
				p.m.Receive(p.now, p.nodes[1].Addr, Update{Rows: []Row{r}})
			}
		})
		run("differ", func(b *testing.B, p *fixture) {
			for range b.N {
				p.m.Receive(p.now, p.nodes[1].Addr, TableDigest{Hash: 1})
			}
		})
		run("gateway", func(b *testing.B, p *fixture) { // one gateway goes, or comes back
			for i := range b.N {
				p.nodes[17].State = []memberlist.State{memberlist.Gone, memberlist.Up}[i%2]
				p.m.SetNodes(p.now, p.nodes)
			}
		})
	}
}

// TestUpdateFanOut checks that the messages of a home grow with the square root of the number of
// gateways, and that a server costs one update when it starts and one when it leaves; its end is
// sent with the next update. The loss of a rack is a single update.
func TestUpdateFanOut(t *testing.T) {
	p := newFixture(t, 490, 5200)
	checkUpdate := func(o Out, servers int) (number uint64) {
		t.Helper()
		to := 0
		for _, s := range o.Send {
			if n, ok := s.Msg.(Update); ok {
				if to, number = to+1+len(n.ForwardTo), n.Number; len(n.Rows) != servers {
					t.Errorf("%d rows, want %d", len(n.Rows), servers)
				}
			}
		}
		if len(o.Send) > 23 || to != 489 {
			t.Errorf("%d messages for %d gateways", len(o.Send), to)
		}
		return number
	}
	r := p.homeRows[0]
	r.ID, r.Addr = "new", "10.200.0.1:8080"
	checkUpdate(p.heartbeat(r, 1), 1)
	p.tick(50 * time.Millisecond)
	leaving := p.homeRows[1]
	o := p.m.Heartbeat(p.now, 7, Heartbeat{ID: leaving.ID, Addr: leaving.Addr, Service: leaving.Service, Zone: leaving.Zone, Quiescing: true, Seq: 9})
	number := checkUpdate(o, 1)
	var answers []Answer
	for _, s := range o.Send {
		if len(answers) > 0 {
			t.Fatal("confirmed before all confirmed")
		}
		answers = p.m.Receive(p.now, s.To, Ack{Number: number, ConfirmedBy: s.Msg.(Update).ForwardTo}).Answers
	}
	if len(answers) != 1 || !answers[0].OK {
		t.Fatal(answers)
	}
	if o := p.m.Deregister(p.now, 8, leaving.ID); len(o.Send) > 0 || len(o.Answers) != 1 {
		t.Errorf("%d messages, %d answers", len(o.Send), len(o.Answers))
	}
	r.ID, r.Addr = "newer", "10.200.0.2:8080"
	checkUpdate(p.heartbeat(r, 1), 2)
	if p.m.items[leaving.ID].Phase != Ended {
		t.Error("the end was not sent with the next update")
	}
	for at := p.now + 6*time.Second; p.now < at; { // no server of this home is heard any more
		if o := p.tick(50 * time.Millisecond); len(o.Changes) > 0 {
			checkUpdate(o, len(o.Changes))
		}
	}
	if st := p.m.Status(); st.Silent != len(p.homeRows)+1 {
		t.Errorf("%+v", st)
	}
}

// BenchmarkLeavingWrite measures what a member of the core stores when a server leaves, while a tenth of all servers has left lately.
func BenchmarkLeavingWrite(b *testing.B) {
	p := newFixture(b, 490, 5200)
	p.m.Restore(p.now, Stored{Intact: true})
	for _, r := range p.rows[:520] {
		p.m.endServer(r.ID)
	}
	var write *LeavingWrite
	bytes := 0
	for b.Loop() {
		p.m.disk.dirty, p.m.disk.writing = true, nil
		write = p.m.startWrite()
		data, err := cbor.Marshal(write.Rows)
		if err != nil {
			b.Fatal(err)
		}
		bytes = len(data)
	}
	b.ReportMetric(float64(bytes), "bytes/write")
	b.ReportMetric(float64(len(write.Rows)), "rows")
}
