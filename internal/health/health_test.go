package health

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const sec = time.Second

// Two servers of a zone that fail in a row make the zone suspect. A response in between prevents that, and a
// response afterwards ends it.
func TestZone(t *testing.T) {
	z := &Zone{}
	a, b := &Server{Zone: z}, &Server{Zone: z}
	first, second := z.NoResponse(a, 0), z.NoResponse(a, 0)
	if first || second {
		t.Fatal("one server made the zone suspect")
	}
	z.Responded()
	if z.NoResponse(b, 0) {
		t.Fatal("the zone is suspect although it responded in between")
	}
	if !z.NoResponse(a, 5*sec) || !a.Ejected() || !b.Ejected() {
		t.Fatal("two failures in a row did not make the zone suspect")
	}
	if !a.ProbeDue(5*sec, sec) || b.ProbeDue(5*sec, sec) || !b.ProbeDue(6*sec, sec) {
		t.Error("servers of a suspect zone are not probed one at a time")
	}
	if z.Responded(); a.Ejected() || b.Ejected() {
		t.Error("the zone responded, and is still suspect")
	}
}

// Whatever happens to other zones, a zone that responds between any two failures of its own is never suspect.
func TestZonesAreIndependent(t *testing.T) {
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
				t.Fatal("a zone that responds after each failure is suspect")
			}
		}
	})
}

// With little evidence the fault rate stays near the mean; a few faults raise it; evidence decays.
func TestFaults(t *testing.T) {
	s := Server{Slowness: 1}
	s.ObserveFault()
	if s.FaultRate < 0.3 || s.FaultRate > 0.5 {
		t.Errorf("fault rate %v after one fault", s.FaultRate)
	}
	for range 50 {
		s.ObserveFault()
	}
	if s.FaultRate < 0.9 {
		t.Errorf("fault rate %v after nothing but faults", s.FaultRate)
	}
	for range 300 {
		s.Decay(100*time.Millisecond, 0.01)
	}
	if s.FaultRate > 0.08 {
		t.Errorf("fault rate %v after 30 s without faults", s.FaultRate)
	}
}

// Two slow responses don't determine a server's slowness alone; many do.
func TestSlowness(t *testing.T) {
	seldom, often := Server{Slowness: 1}, Server{Slowness: 1}
	for range 2 {
		seldom.ObserveSuccess(4)
	}
	for range 60 {
		often.ObserveSuccess(4)
	}
	if seldom.Slowness > 3 || often.Slowness < 3.7 {
		t.Errorf("slowness 4: estimated %v after 2 responses, %v after 60", seldom.Slowness, often.Slowness)
	}
}

// The time doubles with each ejection, except while the server is ejected; a successful response ends it.
func TestEjectionTimes(t *testing.T) {
	s := Server{Slowness: 1}
	s.Eject(0, sec)
	s.Eject(sec, sec)
	if s.EjectedUntil != 2*sec {
		t.Errorf("ejected until %v, want 2 s", s.EjectedUntil)
	}
	s.Eject(3*sec, sec)
	if s.EjectedUntil != 7*sec || s.ProbeDue(6*sec, sec) || !s.ProbeDue(7*sec, sec) {
		t.Errorf("ejected until %v, want 3 s + 4 s", s.EjectedUntil)
	}
	if s.ObserveSuccess(1); s.Ejected() || s.Ejections != 0 {
		t.Error("the server responded, and is still ejected")
	}
}

func TestLatency(t *testing.T) {
	l := NewLatency(800 * time.Millisecond)
	for range 100 {
		l.Observe(0.05, 0.1)
	}
	if l.Queueing() || !l.Unresponsive(time.Second) {
		t.Errorf("%+v: steady latencies are no queueing, and a second of silence is too long", l)
	}
	for range 20 {
		l.Observe(0.3, 0.1)
	}
	if !l.Queueing() || l.Unresponsive(time.Second) {
		t.Errorf("%+v: latencies show queueing, so a second of silence may be load", l)
	}
}
