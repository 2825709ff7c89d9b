package choice

import (
	"fmt"
	"testing"
	"time"
)

// noopHost is a host that does nothing.
type noopHost struct{ to uint32 }

func (q *noopHost) Send(_, to uint32, _ time.Duration)          { q.to = to }
func (q *noopHost) Refuse(uint32, time.Duration)                {}
func (q *noopHost) Fail(uint32)                                 {}
func (q *noopHost) Cancel(uint32, int)                          {}
func (q *noopHost) Probe(uint32)                                {}
func (q *noopHost) AddToCounter(string, float64, time.Duration) {}
func (q *noopHost) SetTimer(time.Duration, string)              {}
func (q *noopHost) Watch(bool)                                  {}
func (q *noopHost) Log(string)                                  {}

// equalMembers returns n equal backends.
func equalMembers(n int) []Member {
	fleet := make([]Member, n)
	for i := range fleet {
		fleet[i] = Member{ID: uint32(i + 1), Zone: "a", Weight: 1}
	}
	return fleet
}

// BenchmarkRequest measures a request that is sent and answered, by the number of backends.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{10, 120} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			act := &noopHost{}
			bal, err := New(settings(), 1, act)
			if err != nil {
				b.Fatal(err)
			}
			bal.HandleRoster(0, RosterUpdate{Whole: true, Members: equalMembers(n)})
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now := time.Duration(i+1) * 5 * msec
				id := uint32(i + 1)
				bal.HandleRequest(now, newRequest(id, "read", "free", now))
				bal.HandleOutcome(now, Outcome{ID: id, Backend: act.to, Elapsed: 50 * msec, Final: true})
			}
		})
	}
}

// BenchmarkIdle measures one second of housekeeping without requests, by the number of backends.
func BenchmarkIdle(b *testing.B) {
	for _, n := range []int{29, 120} {
		b.Run(fmt.Sprintf("backends=%d", n), func(b *testing.B) {
			set := settings()
			set.Probes = false
			bal, err := New(set, 1, &noopHost{})
			if err != nil {
				b.Fatal(err)
			}
			bal.HandleRoster(0, RosterUpdate{Whole: true, Members: equalMembers(n)})
			b.ReportAllocs()
			now := time.Duration(0)
			for b.Loop() {
				for end := now + time.Second; now < end; now += bal.interval {
					bal.HandleTimer(now, HousekeepingTimer)
				}
			}
			b.ReportMetric(time.Second.Seconds()/bal.interval.Seconds(), "beats")
		})
	}
}
