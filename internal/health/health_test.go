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
	first, second := z.Silent(a, 0), z.Silent(a, 0)
	if first || second {
		t.Fatal("one server took the zone with it")
	}
	z.Alive()
	if z.Silent(b, 0) {
		t.Fatal("the zone is lost though it answered in between")
	}
	if !z.Silent(a, 5*sec) || !a.Out() || !b.Out() {
		t.Fatal("two in a row and the zone is not lost")
	}
	if !a.Due(5*sec, sec) || b.Due(5*sec, sec) || !b.Due(6*sec, sec) {
		t.Error("servers of a lost zone are not looked at one after another")
	}
	if z.Alive(); a.Out() || b.Out() {
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
			if s.Zone.Silent(s, 0); s.Zone == zones[0] {
				s.Zone.Alive()
			}
			if zones[0].Lost {
				t.Fatal("lost")
			}
		}
	})
}

// With little evidence a server counts as the mean; a few faults tell; evidence fades.
func TestFaults(t *testing.T) {
	s := Server{Slow: 1}
	s.Failed()
	if s.Fault < 0.3 || s.Fault > 0.5 {
		t.Errorf("after one fault a share of %v is believed", s.Fault)
	}
	for range 50 {
		s.Failed()
	}
	if s.Fault < 0.9 {
		t.Errorf("after nothing but faults %v", s.Fault)
	}
	for range 300 {
		s.Age(100*time.Millisecond, 0.01)
	}
	if s.Fault > 0.08 {
		t.Errorf("after 30 s without any %v", s.Fault)
	}
}

// A server met twice is not judged by those two answers alone, one met often is.
func TestSlowness(t *testing.T) {
	seldom, often := Server{Slow: 1}, Server{Slow: 1}
	for range 2 {
		seldom.Took(4)
	}
	for range 60 {
		often.Took(4)
	}
	if seldom.Slow > 3 || often.Slow < 3.7 {
		t.Errorf("slowness 4: believed %v after 2 answers, %v after 60", seldom.Slow, often.Slow)
	}
}

// The time out doubles with each strike, but a strike while it is out adds none; a good answer ends it.
func TestStrikes(t *testing.T) {
	s := Server{Slow: 1}
	s.Strike(0, sec)
	s.Strike(sec, sec)
	if s.Until != 2*sec {
		t.Errorf("out until %v, want 2 s", s.Until)
	}
	s.Strike(3*sec, sec)
	if s.Until != 7*sec || s.Due(6*sec, sec) || !s.Due(7*sec, sec) {
		t.Errorf("out until %v, want 3 s + 4 s", s.Until)
	}
	if s.Took(1); s.Out() || s.Strikes != 0 {
		t.Error("it answered, and is still out")
	}
}

func TestLatency(t *testing.T) {
	l := NewLatency(800 * time.Millisecond)
	for range 100 {
		l.Took(0.05, 0.1)
	}
	if l.Pressed() || !l.Gone(time.Second) {
		t.Errorf("%+v: steady answers are no queue, and a second without one is too long", l)
	}
	for range 20 {
		l.Took(0.3, 0.1)
	}
	if !l.Pressed() || l.Gone(time.Second) {
		t.Errorf("%+v: answers show queues, so that silence tells nothing", l)
	}
}
