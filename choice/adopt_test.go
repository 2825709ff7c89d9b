package choice

import (
	"testing"
	"time"
)

// countingHost is a host that only counts actions.
type countingHost struct {
	sent, refused, failed int
	counts                []string
	amounts               map[string]float64
}

func (q *countingHost) Send(uint32, uint32, time.Duration) { q.sent++ }
func (q *countingHost) Refuse(uint32, time.Duration)       { q.refused++ }
func (q *countingHost) Fail(uint32)                        { q.failed++ }
func (q *countingHost) Cancel(uint32, int)                 {}
func (q *countingHost) Probe(uint32)                       {}
func (q *countingHost) Watch(bool)                         {}
func (q *countingHost) SetTimer(time.Duration, string)     {}
func (q *countingHost) Log(string)                         {}
func (q *countingHost) AddToCounter(n string, a float64, _ time.Duration) {
	q.counts = append(q.counts, n)
	if q.amounts == nil {
		q.amounts = map[string]float64{}
	}
	q.amounts[n] += a
}

func settingsWith(plans ...Plan) Settings {
	return Settings{Gateways: 1, Tick: time.Millisecond, MaxAttempts: 3, Classes: []Class{{Name: "read", Target: time.Second, Deadline: 2 * time.Second, Value: 1}}, Plans: plans}
}

func plan(name string, rate, burst float64) Plan {
	return Plan{Name: name, Rate: rate, Burst: burst, ValueFactor: 1, OverrunCost: 1}
}

// meterTest is a gateway that gets requests of one customer, all of them served at once.
type meterTest struct {
	*Balancer
	host *countingHost
	now  time.Duration
	last uint32
}

func newMeterTest(t *testing.T, set Settings) *meterTest {
	t.Helper()
	q := &countingHost{}
	b, err := New(set, 1, q)
	if err != nil {
		t.Fatal(err)
	}
	m := &meterTest{Balancer: b, host: q, now: 100 * time.Second}
	var all []Member
	for id := range uint32(6) {
		all = append(all, Member{ID: id + 1, Weight: 1})
	}
	b.HandleRoster(m.now, RosterUpdate{Whole: true, Members: all})
	return m
}

// submit submits n requests and returns how many are sent to a server.
func (m *meterTest) submit(plan string, n int) int {
	before := m.host.sent
	for range n {
		m.last++
		sent := m.host.sent
		m.HandleRequest(m.now, Request{ID: m.last, Class: "read", Plan: plan, Customer: "c", Deadline: m.now + 2*time.Second, Units: 1, Gateways: 1})
		if m.host.sent > sent {
			m.HandleOutcome(m.now, Outcome{ID: m.last, Backend: 1, Status: OK, Elapsed: time.Millisecond})
		}
	}
	return m.host.sent - before
}

// A policy change keeps exactly what is left of a quota; a debt stays too.
func TestPolicyChangeKeepsQuotas(t *testing.T) {
	for name, c := range map[string]struct {
		used   int
		to     Plan
		atOnce int // pass right after the change
		after  int // pass 2 s later
	}{
		"unchanged":       {6, plan("basic", 2, 10), 4, 4},
		"a larger burst":  {6, plan("basic", 2, 50), 4, 4},
		"a smaller burst": {3, plan("basic", 2, 5), 5, 4},
		"a higher rate":   {10, plan("basic", 20, 10), 0, 10},
		"a lower rate":    {10, plan("basic", 0.5, 10), 0, 1},
	} {
		m := newMeterTest(t, settingsWith(plan("basic", 2, 10)))
		if got := m.submit("basic", c.used); got != c.used {
			t.Fatalf("%s: %d of %d pass before", name, got, c.used)
		}
		m.ApplyPolicy(m.now, 1, settingsWith(c.to))
		if got := m.submit("basic", 60); got != c.atOnce {
			t.Errorf("%s: %d pass at once, want %d", name, got, c.atOnce)
		}
		m.now += 2 * time.Second
		if got := m.submit("basic", 60); got != c.after {
			t.Errorf("%s: %d pass 2 s later, want %d", name, got, c.after)
		}
	}
}

// A customer gains nothing by policy changes in quick succession, nor by moving to another
// plan when its own is removed.
func TestManyPolicyChangesGrantNothing(t *testing.T) {
	m := newMeterTest(t, settingsWith(plan("basic", 2, 10), plan("pro", 2, 10)))
	sum := m.submit("basic", 60)
	for v := range int64(20) {
		m.ApplyPolicy(m.now, v+1, settingsWith(plan("basic", float64(1+v%7), 10+float64(v%3)*20), plan("pro", 2, 10)))
		sum += m.submit("basic", 60)
	}
	if sum != 10 {
		t.Errorf("%d pass at once, the burst is 10", sum)
	}
	m.ApplyPolicy(m.now, 29, settingsWith(plan("basic", 20, 10), plan("pro", 2, 10))) // the same units stand for less time
	m.ApplyPolicy(m.now, 30, settingsWith(plan("pro", 2, 10)))
	if got := m.submit("basic", 5); got != 0 {
		t.Errorf("%d pass by a plan that was removed", got)
	}
	if got := m.submit("pro", 60); got != 0 {
		t.Errorf("%d pass by another plan, the burst is used up", got)
	}
	m.now += 2 * time.Second
	if got := m.submit("pro", 60); got != 4 {
		t.Errorf("%d pass by the other plan 2 s later, want 4", got)
	}
}

// Open requests keep their class and plan; a removed class is unknown to new requests.
func TestPolicyChangeKeepsOpenRequests(t *testing.T) {
	m := newMeterTest(t, settingsWith(plan("basic", 2, 10)))
	m.HandleRequest(m.now, Request{ID: 500, Class: "read", Plan: "basic", Customer: "c", Deadline: m.now + 2*time.Second, Units: 1, Gateways: 1})
	set := settingsWith(plan("basic", 2, 10))
	set.Classes[0].Name = "other"
	m.ApplyPolicy(m.now, 1, set)
	m.HandleOutcome(m.now, Outcome{ID: 500, Backend: 1, Status: ConnectFailed})
	if m.host.sent != 2 {
		t.Errorf("sent %d times, want once more after the connection failed", m.host.sent)
	}
	m.HandleOutcome(m.now, Outcome{ID: 500, Attempt: 1, Backend: 1, Status: OK, Elapsed: time.Millisecond})
	if got := m.submit("basic", 3); got != 0 || len(m.requests) != 0 {
		t.Errorf("%d pass of a class that was removed, %d open", got, len(m.requests))
	}
}

// After a policy change, counter names contain the version, the same at all gateways, and
// responses for old names are ignored.
func TestPolicyChangeRenamesCounters(t *testing.T) {
	set := settingsWith(plan("basic", 2, 10))
	set.Counter, set.CounterTimeout, set.Gateways = true, 50*time.Millisecond, 2
	m := newMeterTest(t, set)
	ask := func(id uint32) {
		m.HandleRequest(m.now, Request{ID: id, Class: "read", Plan: "basic", Customer: "c", Deadline: m.now + 2*time.Second, Units: 1, Gateways: 2})
	}
	ask(1)
	if len(m.host.counts) != 1 {
		t.Fatalf("counts: %v", m.host.counts)
	}
	old := m.host.counts[0]
	m.ApplyPolicy(m.now, 7, set)
	if m.host.sent != 1 {
		t.Errorf("a request that waited for the counter was sent %d times, refused %v", m.host.sent, m.Totals().Refused)
	}
	m.HandleCounter(m.now, CounterResult{Name: old, Status: OK, Total: 1000, Elapsed: time.Millisecond})
	ask(2)
	if n := len(m.host.counts); m.host.counts[n-1] == old || m.host.counts[n-1] != "c.p7"+old[1:] {
		t.Errorf("counts: %v", m.host.counts)
	}
	m.HandleCounter(m.now, CounterResult{Name: m.host.counts[len(m.host.counts)-1], Status: OK, Total: 1, Elapsed: time.Millisecond})
	if m.host.sent != 2 {
		t.Errorf("sent %d, refused %d: the old count was used", m.host.sent, m.host.refused)
	}
}

// After a policy change, confirmations of the counter don't suffice for a ceiling for a
// while: counts start anew, and other gateways may have sent requests that aren't in them.
func TestPolicyChangeDistrustsCounts(t *testing.T) {
	for _, changed := range []bool{false, true} {
		pro := plan("pro", 2, 10)
		pro.CeilingRate, pro.CeilingBurst = 4, 20
		set := settingsWith(pro)
		set.Counter, set.CounterTimeout, set.Gateways = true, 50*time.Millisecond, 5
		m := newMeterTest(t, set)
		passed := func(n int) int {
			before := m.host.sent
			for range n {
				m.last++
				sent, counts := m.host.sent, len(m.host.counts)
				m.HandleRequest(m.now, Request{ID: m.last, Class: "read", Plan: "pro", Customer: "c", Deadline: m.now + 2*time.Second, Units: 1, Gateways: 5})
				for ; counts < len(m.host.counts); counts++ {
					name := m.host.counts[counts]
					m.HandleCounter(m.now, CounterResult{Name: name, Status: OK, Total: m.host.amounts[name], Elapsed: time.Millisecond})
				}
				if m.host.sent > sent {
					m.HandleOutcome(m.now, Outcome{ID: m.last, Backend: 1, Status: OK, Elapsed: time.Millisecond})
				}
			}
			return m.host.sent - before
		}
		for range 16 { // after a long silence the counter may have lost its counts
			passed(1)
			m.now += time.Second
		}
		if changed {
			m.ApplyPolicy(m.now, 1, set)
		}
		// The quota allows 10; this gateway's share of the ceiling's burst is 4.
		if got := passed(30); changed && got > 4 || !changed && got < 8 {
			t.Errorf("changed %v: %d pass at once", changed, got)
		}
	}
}
