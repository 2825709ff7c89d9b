package memberlist

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"asterwell/internal/fsm"
	"asterwell/internal/memberlist/links"
)

// fleet is a set of machines on simulated time, in ten zones of three regions.
type fleet struct {
	*links.Network
	t               *testing.T
	rand            *rand.Rand
	members         []*fleetMember
	nextIncarnation uint64
	pauses          []pauseSpan
	startMember     func(i int)
}

// fleetMember holds a configuration one second after its start, and is ready half a second later.
type fleetMember struct {
	*Machine
	startedAt     fsm.Time
	configVersion uint32
}

type pauseSpan struct {
	from, until fsm.Time
	member      int
	paused      bool
}

func (m *fleetMember) Tick(now fsm.Time) []fsm.Send {
	if now-m.startedAt > time.Second {
		m.SetConfigVersion(m.configVersion)
	}
	m.SetReady(now-m.startedAt > 1500*ms)
	return m.Machine.Tick(now).Send
}

func (m *fleetMember) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	return m.Machine.Receive(now, from, msg).Send
}

func fleetNode(i int) Node {
	host := fmt.Sprintf("127.7.%d.%d", i/200, i%200+1)
	return Node{Addr: host + ":21003", Name: fmt.Sprintf("g%03d", i+1), Zone: fmt.Sprintf("z%d", i%10), Control: host + ":21002"}
}

func newFleet(t *testing.T, n int, seed uint64) *fleet {
	f := &fleet{Network: links.New(seed, func(err error) { t.Fatal(err) }), t: t, rand: rand.New(rand.NewPCG(seed, 7)),
		members: make([]*fleetMember, n), nextIncarnation: 1790000000000}
	f.startMember = f.startNode
	region := map[string]int{}
	for i := range n {
		region[fleetNode(i).Addr] = i % 10 * 3 / 10
	}
	f.ExtraDelay = func(from, to string) time.Duration {
		if region[from] != region[to] {
			return 55 * ms
		}
		return 0
	}
	return f
}

func (f *fleet) startNode(i int) {
	f.nextIncarnation += uint64(f.rand.IntN(1000))
	n := fleetNode(i)
	n.Incarnation = f.nextIncarnation
	f.members[i] = &fleetMember{New(n, []string{fleetNode(0).Addr, fleetNode(1).Addr, fleetNode(2).Addr}, f.rand.Uint64(), f.Now), f.Now, 1}
	f.Start(n.Addr, f.members[i])
}

// startAll starts all members within 0.3 s.
func (f *fleet) startAll() {
	for i := range f.members {
		f.startMember(i)
		f.Run(300 * ms / time.Duration(len(f.members)))
	}
}

func (f *fleet) kill(i int) {
	f.Kill(fleetNode(i).Addr)
	f.members[i] = nil
}

// advance lets time pass, and pauses the processes during their pause spans.
func (f *fleet) advance(d time.Duration) {
	for end := f.Now + d; f.Now < end; f.Run(50 * ms) {
		for i := range f.pauses {
			if s := &f.pauses[i]; f.Now >= s.from && f.Now < s.until && !s.paused {
				s.paused = true
				f.Pause(fleetNode(s.member).Addr)
			} else if f.Now >= s.until && s.paused {
				s.paused = false
				f.Resume(fleetNode(s.member).Addr)
			}
		}
	}
}

// countUp returns the length of UpNodes without building it.
func countUp(m *Machine) (n int) {
	for _, e := range m.sorted {
		if !e.lostHere && e.node.State == Up {
			n++
		}
	}
	return n
}

// countInformed returns how many members know exactly those that are alive, and how many are
// alive.
func (f *fleet) countInformed() (informed, live int) {
	for _, m := range f.members {
		if m != nil {
			live++
		}
	}
	for _, m := range f.members {
		if m != nil && countUp(m.Machine) == live {
			informed++
		}
	}
	return informed, live
}

// waitInformed lets time pass until all members know each other, and returns how long that took.
func (f *fleet) waitInformed(within time.Duration) (time.Duration, bool) {
	began := f.Now
	for f.Now-began <= within {
		if know, live := f.countInformed(); know == live {
			return f.Now - began, true
		}
		f.advance(100 * ms)
	}
	return f.Now - began, false
}

// measure lets time pass, and returns the bytes that one process sent and received in it: on
// average, and at most.
func (f *fleet) measure(what string, d time.Duration) (mean, highest int) {
	f.resetCounts()
	return f.measureSinceReset(what, d)
}

func (f *fleet) resetCounts() {
	clear(f.BytesSent)
	clear(f.BytesReceived)
	f.TakeMessageCounts()
}

// measureSinceReset is measure without resetting the counters first.
func (f *fleet) measureSinceReset(what string, d time.Duration) (mean, highest int) {
	f.advance(d)
	live := 0
	for i, m := range f.members {
		if m != nil {
			b := f.BytesSent[fleetNode(i).Addr] + f.BytesReceived[fleetNode(i).Addr]
			live, mean, highest = live+1, mean+b, max(highest, b)
		}
	}
	count, length := f.TakeMessageCounts()
	messages, bytes := 0, 0
	for kind := range count {
		messages, bytes = messages+count[kind], bytes+length[kind]
	}
	know, _ := f.countInformed()
	f.t.Logf("%s, until %v: %d of %d informed; %.1f MB in %d messages; sent and received by one %d, at most %d; %v, %v",
		what, f.Now.Round(ms), know, live, float64(bytes)/1e6, messages, mean/live, highest, count, length)
	return mean / live, highest
}

// sharedMachineCost is the processing time on a machine of twelve processors shared by all
// processes. It follows a run of 490 gateways without traffic, which took 0.5 µs per byte of gossip
// and 300 µs per tick on one processor.
func sharedMachineCost(bytes int) time.Duration {
	if bytes == 0 {
		return 25 * time.Microsecond
	}
	return 2*time.Microsecond + time.Duration(bytes)*40*time.Nanosecond
}

// TestStormStart starts 490 processes within 0.3 s; forty of them are paused for two seconds each
// within the first six. All must know each other within ten seconds, and then send nothing but
// heartbeats.
func TestStormStart(t *testing.T) {
	for name, cost := range map[string]func(int) time.Duration{"free": nil, "shared": sharedMachineCost} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 490, 1)
			f.ProcessingTime = cost
			for range 40 {
				at := fsm.Time(f.rand.Int64N(int64(6 * time.Second)))
				f.pauses = append(f.pauses, pauseSpan{from: at, until: at + 2*time.Second, member: f.rand.IntN(490)})
			}
			f.startAll()
			_, most := f.measureSinceReset("start", 8200*ms)
			if took, ok := f.waitInformed(1500 * ms); !ok {
				know, _ := f.countInformed()
				t.Errorf("only %d know all members after another %v", know, took)
			} else if f.Now > 10*time.Second {
				t.Errorf("all know each other only at %v", f.Now)
			}
			if most > 2e6 {
				t.Errorf("one process sent and received %d bytes", most)
			}
			f.advance(3 * time.Second)
			if mean, most := f.measure("idle", 10*time.Second); mean > 8500 || most > 10000 {
				t.Errorf("idle: %d bytes on average, at most %d", mean, most)
			}
		})
	}
}

// TestStormLosses restarts processes eight times as often as 1,100 restarts a day, and loses a rack
// and a zone and gets them back. No process may send and receive more than 11 kB/s in any ten
// seconds, and all must know of each change in time.
func TestStormLosses(t *testing.T) {
	t.Parallel()
	const n = 490
	f := newFleet(t, n, 2)
	f.startAll()
	f.advance(15 * time.Second)
	rack := make([]int, 10)
	for i := range rack {
		rack[i] = 9 + 10*i // of one zone
	}
	var zone []int
	for i := 4; i < n; i += 10 {
		zone = append(zone, i)
	}
	all := func(what string, within time.Duration) {
		if took, ok := f.waitInformed(within); !ok {
			know, _ := f.countInformed()
			t.Errorf("%s: only %d know all members after %v", what, know, within)
		} else {
			t.Logf("%s: all informed after %v", what, took)
		}
	}
	for _, c := range []struct {
		what string
		do   func()
	}{
		{"restarts", func() {
			f.kill(7)
			f.startMember(7)
			f.advance(5 * time.Second)
			f.kill(300)
			f.startMember(300)
		}},
		{"rack lost", func() { each(rack, f.kill) }},
		{"rack back", func() { each(rack, f.startMember) }},
		{"zone lost", func() { each(zone, f.kill) }},
		{"zone back", func() { each(zone, f.startMember) }},
		{"configuration", func() {
			for _, m := range f.members {
				m.configVersion = 2
			}
		}},
	} {
		f.resetCounts()
		c.do()
		all(c.what, 5*time.Second)
		if _, most := f.measureSinceReset(c.what, 10*time.Second); most > 110000 {
			t.Errorf("%s: one process sent and received %d bytes in ten seconds", c.what, most)
		}
		f.advance(2 * time.Second)
	}
}

func each(all []int, do func(int)) {
	for _, i := range all {
		do(i)
	}
}

// previousVersion is a machine that reads and writes messages as the previous version of the
// program does: without packed nodes, part digests and encodings.
type previousVersion struct{ *fleetMember }

func (e previousVersion) downgradeAll(out []fsm.Send) []fsm.Send {
	for i := range out {
		out[i].Msg = e.downgrade(out[i].Msg)
	}
	return out
}

func (e previousVersion) downgrade(msg any) any {
	bare := func(nodes []Node) []Node {
		nodes = slices.Clone(nodes)
		for i := range nodes {
			nodes[i].Encoding = 0
		}
		return nodes
	}
	switch x := msg.(type) {
	case Hello:
		x.Node.Encoding = 0
		return x
	case Gossip:
		return Gossip{Nodes: bare(x.Nodes)}
	case Index:
		return Index{Rows: x.Rows}
	case Diff:
		return Diff{Nodes: bare(x.Nodes), Want: x.Want}
	}
	return msg
}

func (e previousVersion) Tick(now fsm.Time) []fsm.Send {
	return e.downgradeAll(e.fleetMember.Tick(now))
}

func (e previousVersion) Receive(now fsm.Time, from string, msg any) []fsm.Send {
	return e.downgradeAll(e.fleetMember.Receive(now, from, e.downgrade(msg)))
}

// TestStormMixed runs the previous version on every second process. All must learn of each other as
// soon as otherwise, also after losses and returns.
func TestStormMixed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 120, 3)
	f.startMember = func(i int) {
		f.startNode(i)
		if i%2 == 1 {
			f.Start(fleetNode(i).Addr, previousVersion{f.members[i]})
		}
	}
	f.startAll()
	lost := []int{4, 5, 14, 15, 24, 25, 34, 35}
	for _, c := range []struct {
		what string
		do   func()
	}{{"start", func() {}}, {"lost", func() { each(lost, f.kill) }}, {"back", func() { each(lost, f.startMember) }}} {
		c.do()
		if took, ok := f.waitInformed(4 * time.Second); !ok {
			know, live := f.countInformed()
			t.Errorf("%s: %d of %d know all members after %v", c.what, know, live, took)
		}
		f.advance(6 * time.Second)
		for _, m := range f.members {
			if m != nil && m.hash() != f.members[0].hash() {
				t.Fatalf("%s: tables differ", c.what)
			}
		}
	}
}

// TestLateWatcher guards against a watcher that is itself late and takes its own pause for the
// silence of others.
func TestLateWatcher(t *testing.T) {
	for _, c := range []struct {
		gap  time.Duration
		gone fsm.Time // declared gone after this time, and before 1.5 times it
	}{{50 * ms, 1300 * ms}, {200 * ms, 2600 * ms}, {350 * ms, 4500 * ms}} {
		m := machineAmong(8)
		i := slices.IndexFunc(m.sorted, func(e *entry) bool { return e.node.Addr == m.watched[0] })
		silent, goneAt := m.sorted[i].node.Addr, fsm.Time(0)
		for now := c.gap; now < 10*time.Second && goneAt == 0; now += c.gap {
			for j := 1; j <= 8; j++ {
				if node(j).Addr != silent {
					m.Receive(now, node(j).Addr, Heartbeat{Incarnation: 1, Seq: 1})
				}
			}
			for _, r := range sent[Gossip](m.Tick(now)) {
				for _, n := range r.Nodes {
					if n.Addr == silent && n.State == Gone {
						goneAt = now
					}
				}
			}
		}
		if goneAt <= c.gone || goneAt > c.gone*3/2 {
			t.Errorf("ticks every %v: gone at %v", c.gap, goneAt)
		}
	}
}
