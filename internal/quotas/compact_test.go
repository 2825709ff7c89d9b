package quotas

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"asterwell/internal/fsm"
)

// TestBrief checks that compact messages decode to the original, and that truncated ones are rejected or at
// least harmless.
func TestBrief(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	coin := func() bool { return rng.IntN(2) == 0 }
	for range 2000 {
		incarnation := rng.Uint64() >> rng.IntN(60)
		a := Add{Incarnation: incarnation, Period: rng.Uint64() >> rng.IntN(64), Timestamp: fsm.Time(rng.Int64() >> rng.IntN(63)), Read: coin(), Ping: coin(),
			NearLimit: coin(), AnswersProbes: coin(), RosterHash: rng.Uint32(), Packed: []byte("items")}
		short := a.compact()
		if got, ok := short.Expand(incarnation); !ok || cmp.Diff(a, got) != "" {
			t.Fatal(ok, cmp.Diff(a, got))
		}
		w := Answer{Incarnation: incarnation, Period: a.Period, Timestamp: a.Timestamp, HeardOthers: coin(), PackedAccepted: coin(), ReadsCompact: true, Packed: []byte("totals")}
		if coin() {
			w.Missing, w.RosterHash, w.SendInterval = rng.Uint32(), rng.Uint32(), uint8(rng.IntN(256))
		}
		back := w.compact()
		got, lost, ok := back.expand(incarnation)
		if !ok || lost || cmp.Diff(w, got) != "" {
			t.Fatal(ok, lost, cmp.Diff(w, got))
		}
		for _, a := range []Answer{w, back} {
			if stamp, ok := a.RequestTimestamp(); !ok || stamp != w.Timestamp {
				t.Fatal("the timestamp is decoded as", stamp, ok)
			}
		}
		if _, _, ok := back.expand(incarnation + 1); ok {
			t.Fatal("an answer to another incarnation is accepted")
		}
		if _, lost, ok := w.unknownIncarnation(foldIncarnation(incarnation)).expand(incarnation); !ok || !lost {
			t.Fatal("the unknown incarnation is not reported", lost, ok)
		}
		for cut := range len(short.Compact) {
			Add{Compact: short.Compact[:cut]}.Expand(incarnation)
			part := Answer{Compact: back.Compact[:min(cut, len(back.Compact))]}
			part.expand(incarnation)
			part.RequestTimestamp()
		}
	}
}

// TestBriefLost checks that a holder that has forgotten a gateway's incarnation counts nothing of its
// compact adds, says so, and is told everything again; also a holder of a version without compact adds, and
// one that is not read.
func TestBriefLost(t *testing.T) {
	for _, which := range []int{0, 1} { // the holder that is read, and the other one
		t.Run(fmt.Sprint("holder ", which), func(t *testing.T) {
			calm := &tenantTraffic{tenant: "calm", limit: Limit{129, 129}, rate: 60}
			other := &tenantTraffic{tenant: "other", limit: Limit{60, 60}, rate: 20}
			f := newTestFleet(t, 5, 1, calm, other)
			f.run(10*time.Second, "")
			for was := f.machines[2].meter.period; f.machines[2].meter.period == was; { // so that the period lasts for a while
				f.run(f.now+time.Second, "")
			}
			holder := f.machines[which]
			short, lost := 0, 0
			f.onSend = func(from, to *testMachine, msg any) {
				if a, ok := msg.(Add); ok && to == holder && len(a.Compact) > 0 {
					short++
				}
				if a, ok := msg.(Answer); ok && from == holder && len(a.Compact) > 0 && a.Compact[0]&compactUnknownIncarnation != 0 {
					lost++
				}
			}
			f.run(f.now+5*time.Second, "")
			if short < 20 || lost > 0 {
				t.Fatalf("%d compact adds, %d of unknown incarnations", short, lost)
			}
			holder.counter = NewCounter(holder.addr, 77) // it has forgotten everything
			holder.counter.SetLimits(f.limits())
			f.announceGateways()
			other.rate = 0 // no further requests of the tenant trigger adds
			f.run(f.now+2500*time.Millisecond, "")
			calm.rate = 0
			f.run(f.now+1500*time.Millisecond, "")
			if lost == 0 || lost > len(f.machines) {
				t.Errorf("%d adds of forgotten incarnations", lost)
			}
			for _, b := range f.machines { // all that gateways have passed in its period
				for _, e := range b.meter.ordered {
					if got := holder.counter.knows(e.tenant, b.addr, b.incarnation, e.cur.period); got < e.cur.sum {
						t.Errorf("of %s at %s it knows %d of %d", e.tenant, b.addr, got, e.cur.sum)
					}
				}
			}
		})
	}
}

// knows returns the sum of an incarnation in a period.
func (c *Counter) knows(tenant, gateway string, id, period uint64) uint64 {
	l := c.tenants[tenant]
	if l == nil || l.periodOf(period) == nil {
		return 0
	}
	for _, v := range c.incarnations.byGateway[gateway] {
		if v.id == id {
			units, _ := l.periodOf(period).sums.get(v.number)
			return units
		}
	}
	return 0
}

// TestBriefPassedOn checks that a compact add that is relayed by a process of the previous version, which
// drops its content, isn't counted and leaves the state of its incarnation unchanged.
func TestBriefPassedOn(t *testing.T) {
	c := NewCounter("h", 1)
	c.Receive(time.Second, "g", Add{Incarnation: 9, Timestamp: time.Second, Read: true, Items: []Item{{Tenant: "t", Sum: 5 * milliUnits, Unreported: 5 * milliUnits, Interval: 1e5}}})
	if out := c.Receive(time.Second, "g", Add{}); out != nil || c.offsets["g"].incarnation != 9 {
		t.Errorf("%+v, incarnation %d", out, c.offsets["g"].incarnation)
	}
	short := Add{Incarnation: 9, Timestamp: 2 * time.Second, Read: true, Period: c.highestPeriod, RosterHash: 7}.compact()
	out := c.Receive(2*time.Second, "g", short)
	if a, ok := out[0].Msg.(Answer); !ok || bytes.Equal(a.Compact, nil) || a.Compact[0]&compactUnknownIncarnation != 0 {
		t.Errorf("%+v", out)
	}
}
