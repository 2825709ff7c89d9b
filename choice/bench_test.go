package choice

import (
	"fmt"
	"testing"
	"time"
)

// quiet is an Actions that does nothing.
type quiet struct{ to uint32 }

func (q *quiet) Send(_, to uint32, _ time.Duration)          { q.to = to }
func (q *quiet) Refuse(uint32, time.Duration)                {}
func (q *quiet) Fail(uint32)                                 {}
func (q *quiet) Cancel(uint32, int)                          {}
func (q *quiet) Probe(uint32)                                {}
func (q *quiet) AddToCounter(string, float64, time.Duration) {}
func (q *quiet) SetTimer(time.Duration, string)              {}
func (q *quiet) Watch(bool)                                  {}
func (q *quiet) Log(string)                                  {}

// alike are so many backends.
func alike(n int) []Member {
	fleet := make([]Member, n)
	for i := range fleet {
		fleet[i] = Member{ID: uint32(i + 1), Zone: "a", Weight: 1}
	}
	return fleet
}

// BenchmarkRequest is the path of a request that is sent on and answered, by the size of the fleet.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 120} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			act := &quiet{}
			bal, err := New(settings(), 1, act)
			if err != nil {
				b.Fatal(err)
			}
			bal.HandleRoster(0, RosterUpdate{Whole: true, Members: alike(n)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i+1) * 5 * msec
				id := uint32(i + 1)
				bal.HandleRequest(now, ask(id, "read", "free", now))
				bal.HandleOutcome(now, Outcome{ID: id, Backend: act.to, Elapsed: 50 * msec, Final: true})
			}
		})
	}
}

// BenchmarkIdle is a second of beats of a service without requests, by its servers.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{29, 120} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			set := settings()
			set.Probes = false
			bal, err := New(set, 1, &quiet{})
			if err != nil {
				b.Fatal(err)
			}
			bal.HandleRoster(0, RosterUpdate{Whole: true, Members: alike(n)})
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				for end := now + time.Second; now < end; now += bal.beat {
					bal.HandleTimer(now, HousekeepingTimer)
				}
			}
			b.ReportMetric(time.Second.Seconds()/bal.beat.Seconds(), "beats")
		})
	}
}
