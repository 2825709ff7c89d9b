package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// Two servers of a zone that fail in a row put the zone in doubt; an answer in between does not let it come so far,
// and one afterwards ends it at once.
func TestZone(t *testing.T) {
	z := &Zone{}
	a, b := &Server{Zone: z}, &Server{Zone: z}
	first, second := z.NoResponse(a, 0), z.NoResponse(a, 0)
	if first || second {
		t.Fatal("one server took the zone with it")
	}
	z.Responded()
	if z.NoResponse(b, 0) {
		t.Fatal("the zone is lost though it answered in between")
	}
	if !z.NoResponse(a, 5*sec) || !a.Ejected() || !b.Ejected() {
		t.Fatal("two in a row and the zone is not lost")
	}
	if !a.ProbeDue(5*sec, sec) || b.ProbeDue(5*sec, sec) || !b.ProbeDue(6*sec, sec) {
		t.Error("servers of a lost zone are not looked at one after another")
	}
	if z.Responded(); a.Ejected() || b.Ejected() {
		t.Error("the zone answered, and is still lost")
	}
}

// Whatever happens to other zones, a zone that answers between any two failures of its own is never lost.
func TestZonesAreApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := []*Zone{{}, {}}
		servers := []*Server{}
		for i := range 8 {
			servers = append(servers, &Server{Zone: zones[i%2]})
		}
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			s := servers[rapid.IntRange(0, 7).Draw(t, "server")]
			if s.Zone.NoResponse(s, 0); s.Zone == zones[0] {
				s.Zone.Responded()
			}
			if zones[0].SuspectedDown {
				t.Fatal("lost")
			}
		}
	})
}

// With little evidence a server counts as the mean; a few faults tell; evidence fades.
func TestFaults(t *testing.T) {
	s := Server{Slowness: 1}
	s.ObserveFault()
	if s.FaultRate < 0.3 || s.FaultRate > 0.5 {
		t.Errorf("after one fault a share of %v is believed", s.FaultRate)
	}
	for range 50 {
		s.ObserveFault()
	}
	if s.FaultRate < 0.9 {
		t.Errorf("after nothing but faults %v", s.FaultRate)
	}
	for range 300 {
		s.Decay(100*time.Millisecond, 0.01)
	}
	if s.FaultRate > 0.08 {
		t.Errorf("after 30 s without any %v", s.FaultRate)
	}
}

// A server met twice is not judged by those two answers alone, one met often is.
func TestSlowness(t *testing.T) {
	seldom, often := Server{Slowness: 1}, Server{Slowness: 1}
	for range 2 {
		seldom.ObserveSuccess(4)
	}
	for range 60 {
		often.ObserveSuccess(4)
	}
	if seldom.Slowness > 3 || often.Slowness < 3.7 {
		t.Errorf("slowness 4: believed %v after 2 answers, %v after 60", seldom.Slowness, often.Slowness)
	}
}

// The time out doubles with each strike, but a strike while it is out adds none; a good answer ends it.
func TestStrikes(t *testing.T) {
	s := Server{Slowness: 1}
	s.Eject(0, sec)
	s.Eject(sec, sec)
	if s.EjectedUntil != 2*sec {
		t.Errorf("out until %v, want 2 s", s.EjectedUntil)
	}
	s.Eject(3*sec, sec)
	if s.EjectedUntil != 7*sec || s.ProbeDue(6*sec, sec) || !s.ProbeDue(7*sec, sec) {
		t.Errorf("out until %v, want 3 s + 4 s", s.EjectedUntil)
	}
	if s.ObserveSuccess(1); s.Ejected() || s.Ejections != 0 {
		t.Error("it answered, and is still out")
	}
}

func TestLatency(t *testing.T) {
	l := NewLatency(800 * time.Millisecond)
	for range 100 {
		l.Observe(0.05, 0.1)
	}
	if l.Queueing() || !l.Unresponsive(time.Second) {
		t.Errorf("%+v: steady answers are no queue, and a second without one is too long", l)
	}
	for range 20 {
		l.Observe(0.3, 0.1)
	}
	if !l.Queueing() || l.Unresponsive(time.Second) {
		t.Errorf("%+v: answers show queues, so that silence tells nothing", l)
	}
}
