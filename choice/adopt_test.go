package choice

import (
	"testing"
	"time"
)

// tally carries nothing out, and counts.
type tally struct {
	sent, refused, failed int
	counts                []string
	amounts               map[string]float64
}

func (q *tally) Send(uint32, uint32, time.Duration) { q.sent++ }
func (q *tally) Refuse(uint32, time.Duration)       { q.refused++ }
func (q *tally) Fail(uint32)                        { q.failed++ }
func (q *tally) Cancel(uint32, int)                 {}
func (q *tally) Probe(uint32)                       {}
func (q *tally) Watch(bool)                         {}
func (q *tally) SetTimer(time.Duration, string)     {}
func (q *tally) Log(string)                         {}
func (q *tally) AddToCounter(n string, a float64, _ time.Duration) {
	q.counts = append(q.counts, n)
	if q.amounts == nil {
		q.amounts = map[string]float64{}
	}
	q.amounts[n] += a
}

func adopting(plans ...Plan) Settings {
	return Settings{Gateways: 1, Tick: time.Millisecond, MaxAttempts: 3, Classes: []Class{{Name: "read", Target: time.Second, Deadline: 2 * time.Second, Value: 1}}, Plans: plans}
}

func plan(name string, rate, burst float64) Plan {
	return Plan{Name: name, Rate: rate, Burst: burst, ValueFactor: 1, OverrunCost: 1}
}

// meter is a gateway that takes tries of one customer, all of them served at once.
type meter struct {
	*Balancer
	q    *tally
	now  time.Duration
	last uint32
}

func newMeter(t *testing.T, set Settings) *meter {
	t.Helper()
	q := &tally{}
	b, err := New(set, 1, q)
	if err != nil {
		t.Fatal(err)
	}
	m := &meter{Balancer: b, q: q, now: 100 * time.Second}
	var all []Member
	for id := range uint32(6) {
		all = append(all, Member{ID: id + 1, Weight: 1})
	}
	b.HandleRoster(m.now, RosterUpdate{Whole: true, Members: all})
	return m
}

// passed is how many of n tries are sent on.
func (m *meter) passed(plan string, n int) int {
	before := m.q.sent
	for range n {
		m.last++
		sent := m.q.sent
		m.HandleRequest(m.now, Request{ID: m.last, Class: "read", Plan: plan, Customer: "c", Deadline: m.now + 2*time.Second, Units: 1, Gateways: 1})
		if m.q.sent > sent {
			m.HandleOutcome(m.now, Outcome{ID: m.last, Backend: 1, Status: OK, Elapsed: time.Millisecond})
		}
	}
	return m.q.sent - before
}

// What is left of a quota goes over, and no more; what is owed stays owed.
func TestAdoptCarriesQuotas(t *testing.T) {
	for name, c := range map[string]struct {
		used   int
		to     Plan
		atOnce int // let through right after
		after  int // and 2 s later
	}{
		"as it was":       {6, plan("basic", 2, 10), 4, 4},
		"a larger burst":  {6, plan("basic", 2, 50), 4, 4},
		"a smaller burst": {3, plan("basic", 2, 5), 5, 4},
		"a higher rate":   {10, plan("basic", 20, 10), 0, 10},
		"a lower rate":    {10, plan("basic", 0.5, 10), 0, 1},
	} {
		m := newMeter(t, adopting(plan("basic", 2, 10)))
		if got := m.passed("basic", c.used); got != c.used {
			t.Fatalf("%s: %d of %d pass before", name, got, c.used)
		}
		m.ApplyPolicy(m.now, 1, adopting(c.to))
		if got := m.passed("basic", 60); got != c.atOnce {
			t.Errorf("%s: %d pass at once, want %d", name, got, c.atOnce)
		}
		m.now += 2 * time.Second
		if got := m.passed("basic", 60); got != c.after {
			t.Errorf("%s: %d pass 2 s later, want %d", name, got, c.after)
		}
	}
}

// A customer gains nothing by changes in quick succession, nor by going to another
// plan when its own has ended.
func TestAdoptManyTimes(t *testing.T) {
	m := newMeter(t, adopting(plan("basic", 2, 10), plan("pro", 2, 10)))
	sum := m.passed("basic", 60)
	for v := range int64(20) {
		m.ApplyPolicy(m.now, v+1, adopting(plan("basic", float64(1+v%7), 10+float64(v%3)*20), plan("pro", 2, 10)))
		sum += m.passed("basic", 60)
	}
	if sum != 10 {
		t.Errorf("%d pass in a moment, the burst is 10", sum)
	}
	m.ApplyPolicy(m.now, 29, adopting(plan("basic", 20, 10), plan("pro", 2, 10))) // the same units stand for less time
	m.ApplyPolicy(m.now, 30, adopting(plan("pro", 2, 10)))
	if got := m.passed("basic", 5); got != 0 {
		t.Errorf("%d pass by a plan that has ended", got)
	}
	if got := m.passed("pro", 60); got != 0 {
		t.Errorf("%d pass by another plan, the burst is used up", got)
	}
	m.now += 2 * time.Second
	if got := m.passed("pro", 60); got != 4 {
		t.Errorf("%d pass by the other plan 2 s later, want 4", got)
	}
}

// What is open keeps its class and plan; a class that goes is unknown from then on.
func TestAdoptLeavesWhatIsOpen(t *testing.T) {
	m := newMeter(t, adopting(plan("basic", 2, 10)))
	m.HandleRequest(m.now, Request{ID: 500, Class: "read", Plan: "basic", Customer: "c", Deadline: m.now + 2*time.Second, Units: 1, Gateways: 1})
	set := adopting(plan("basic", 2, 10))
	set.Classes[0].Name = "other"
	m.ApplyPolicy(m.now, 1, set)
	m.HandleOutcome(m.now, Outcome{ID: 500, Backend: 1, Status: ConnectFailed})
	if m.q.sent != 2 {
		t.Errorf("sent %d times, want once more after the connection failed", m.q.sent)
	}
	m.HandleOutcome(m.now, Outcome{ID: 500, Attempt: 1, Backend: 1, Status: OK, Elapsed: time.Millisecond})
	if got := m.passed("basic", 3); got != 0 || len(m.reqs) != 0 {
		t.Errorf("%d pass of a class that is gone, %d open", got, len(m.reqs))
	}
}

// After a change counts go under names of the version, the same at all gateways, and
// an answer for an old name changes nothing.
func TestAdoptCounts(t *testing.T) {
	set := adopting(plan("basic", 2, 10))
	set.Counter, set.CounterTimeout, set.Gateways = true, 50*time.Millisecond, 2
	m := newMeter(t, set)
	ask := func(id uint32) {
		m.HandleRequest(m.now, Request{ID: id, Class: "read", Plan: "basic", Customer: "c", Deadline: m.now + 2*time.Second, Units: 1, Gateways: 2})
	}
	ask(1)
	if len(m.q.counts) != 1 {
		t.Fatalf("counts: %v", m.q.counts)
	}
	old := m.q.counts[0]
	m.ApplyPolicy(m.now, 7, set)
	if m.q.sent != 1 {
		t.Errorf("what waited for the counter was sent %d times, refused %v", m.q.sent, m.Totals().Refused)
	}
	m.HandleCounter(m.now, CounterResult{Name: old, Status: OK, Total: 1000, Elapsed: time.Millisecond})
	ask(2)
	if n := len(m.q.counts); m.q.counts[n-1] == old || m.q.counts[n-1] != "c.p7"+old[1:] {
		t.Errorf("counts: %v", m.q.counts)
	}
	m.HandleCounter(m.now, CounterResult{Name: m.q.counts[len(m.q.counts)-1], Status: OK, Total: 1, Elapsed: time.Millisecond})
	if m.q.sent != 2 {
		t.Errorf("sent %d, refused %d: the old count has been counted", m.q.sent, m.q.refused)
	}
}

// After a change the counter's word does not stand for a ceiling for a while: counts
// have begun anew, and others may have sent what is not yet in them.
func TestAdoptDoubtsCounts(t *testing.T) {
	for _, changed := range []bool{false, true} {
		pro := plan("pro", 2, 10)
		pro.CeilingRate, pro.CeilingBurst = 4, 20
		set := adopting(pro)
		set.Counter, set.CounterTimeout, set.Gateways = true, 50*time.Millisecond, 5
		m := newMeter(t, set)
		passed := func(n int) int {
			before := m.q.sent
			for range n {
				m.last++
				sent, counts := m.q.sent, len(m.q.counts)
				m.HandleRequest(m.now, Request{ID: m.last, Class: "read", Plan: "pro", Customer: "c", Deadline: m.now + 2*time.Second, Units: 1, Gateways: 5})
				for ; counts < len(m.q.counts); counts++ {
					name := m.q.counts[counts]
					m.HandleCounter(m.now, CounterResult{Name: name, Status: OK, Total: m.q.amounts[name], Elapsed: time.Millisecond})
				}
				if m.q.sent > sent {
					m.HandleOutcome(m.now, Outcome{ID: m.last, Backend: 1, Status: OK, Elapsed: time.Millisecond})
				}
			}
			return m.q.sent - before
		}
		for range 16 { // a counter that is quiet for long may have lost its counts by itself
			passed(1)
			m.now += time.Second
		}
		if changed {
			m.ApplyPolicy(m.now, 1, set)
		}
		// The quota has room for 10; this gateway's share of the ceiling's burst is 4.
		if got := passed(30); changed && got > 4 || !changed && got < 8 {
			t.Errorf("changed %v: %d pass at once", changed, got)
		}
	}
}
