package quotas

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// TestActive checks, over random schedules, that all messages are the same to the byte as when each tick
// visits all tenants, and that the list stays shorter than that.
func TestActive(t *testing.T) {
	for seed := range uint64(3) {
		var sums [2]uint64
		walked, all := 0, 0
		for i := range sums {
			rng := rand.New(rand.NewPCG(seed, 0xac))
			var flows []*tenantTraffic
			for j := range 150 {
				rate := []float64{13, 30, 60, 129}[j%4]
				l := &tenantTraffic{tenant: fmt.Sprintf("t%03d", j), limit: Limit{rate, rate}, rate: 60 / float64(j+1)}
				if j%10 == 9 {
					l.rate, l.clientRetries = 1.5*rate, 5
				}
				flows = append(flows, l)
			}
			script := randomFaults(rng, 7)
			f := newTestFleet(t, 7, seed, flows...)
			hash := xxhash.New()
			f.onSend = func(from, to *testMachine, msg any) {
				b, err := cbor.Marshal(msg)
				if err != nil {
					t.Fatal(err)
				}
				fmt.Fprint(hash, f.now, from.addr, to.addr)
				hash.Write(b)
			}
			f.beforeTick = func(b *testMachine) {
				if i == 1 {
					b.meter.active.complete = false
					return
				}
				walked, all = walked+len(b.meter.active.list)+len(b.meter.active.added), all+len(b.meter.ordered)
			}
			to := func(s time.Duration, orders ...string) {
				f.run(s*time.Second, scriptFrom(script, f.now))
				for _, line := range orders {
					f.runCommand(line)
				}
			}
			to(8, "loss 5")
			to(11, "loss 0", "old 2 3")
			to(15, "new 2")
			to(18, "kill 0")
			to(20, "nodes 6 1 2")
			to(24, "boot 0", "nodes 7 0 1")
			limits := f.limits() // a new configuration
			delete(limits, "t003")
			limits["t999"] = Limit{7, 7}
			limits["t004"] = Limit{9, 9}
			for _, b := range f.machines {
				b.meter.SetLimits(f.now, limits)
				b.counter.SetLimits(limits)
			}
			to(50)
			sums[i] = hash.Sum64()
		}
		t.Logf("seed %d: %d of %d tenants visited", seed, walked, all)
		if sums[0] != sums[1] {
			t.Errorf("seed %d: messages differ from those of a visit to all tenants", seed)
		}
		if walked >= all*3/4 {
			t.Errorf("seed %d: %d of %d tenants are visited", seed, walked, all)
		}
	}
}

// BenchmarkTick measures 50 ms of a gateway with 12,000 tenants and 2,650 requests a second, most of them
// for the first tenants; its holder is in the same process.
func BenchmarkTick(b *testing.B) {
	const tenants = 12000
	limits, names := map[string]Limit{}, make([]string, tenants)
	for i := range names {
		names[i] = fmt.Sprintf("t%05d", i)
		limits[names[i]] = Limit{max(5, 5000/float64(i+1)), max(5, 5000/float64(i+1))}
	}
	rng := rand.New(rand.NewPCG(1, 2))
	zipf := rand.NewZipf(rng, 1.01, 1, tenants-1)
	m, c := NewMeter("a", 1, 1), NewCounter("h", 1)
	m.SetLimits(0, limits)
	m.SetGateways(0, 23, []string{"h", "i"})
	now := time.Second
	step := func() {
		for range 10 {
			now += 5 * time.Millisecond
			for range 13 {
				m.Allow(now, names[zipf.Uint64()], 1)
			}
			for _, s := range m.Tick(now) {
				if s.To != "h" {
					continue
				}
				for _, back := range c.Receive(now, "a", s.Msg) {
					m.Receive(now+time.Millisecond, "h", back.Msg)
				}
			}
		}
	}
	for range 600 { // 30 s
		step()
	}
	for b.Loop() {
		step()
	}
}
