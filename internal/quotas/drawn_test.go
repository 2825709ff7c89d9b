package quotas

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// randomFaults returns a random schedule of faults of one gateway each, of which the members learn within 1.3 to 3
// s.
func randomFaults(rng *rand.Rand, n int) string {
	script := fmt.Sprintf("0 kill %d\n0.1 nodes %d 0 1\n", n-1, n-1) // this one joins later
	alive := n - 1
	for at := 12.0; at < 28; at += 2 + rng.Float64()*2 {
		x, last, noticed := 2+rng.IntN(n-3), 0.3+rng.Float64()*6, 1.3+rng.Float64()*1.7
		switch fault := rng.IntN(4); {
		case fault == 3 && alive < n:
			alive = n
			script += fmt.Sprintf("%f boot %d\n%f nodes %d 0 1\n", at, n-1, at+0.5, n)
			continue
		default:
			do := [][2]string{{"kill", "boot"}, {"freeze", "thaw"}, {"cut", "heal"}, {"cut", "heal"}}[fault]
			script += fmt.Sprintf("%f %s %d\n", at, do[0], x)
			if last > noticed {
				script += fmt.Sprintf("%f nodes %d 0 1\n", at+noticed, alive-1)
				if do[0] == "cut" {
					script += fmt.Sprintf("%f there 1 %d\n", at+noticed, x)
				}
			}
			script += fmt.Sprintf("%f %s %d\n%f nodes %d 0 1\n", at+last, do[1], x, at+last+0.5, alive)
		}
		at += last
	}
	return script
}

// TestDrawn partitions, freezes, kills or adds one gateway after another, while a few of 85 tenants exceed
// their rates or their clients retry at once. It checks both bounds of doc.go: on units that pass, and on
// refused requests of tenants below their rate.
func TestDrawn(t *testing.T) {
	for n, seeds := range map[int]uint64{11: 2, 91: 1} {
		for seed := range seeds {
			rng := rand.New(rand.NewPCG(seed, 0xd3))
			var flows []*tenantTraffic
			for i := range 85 {
				rate := []float64{13, 30, 60, 129}[i%4]
				l := &tenantTraffic{tenant: fmt.Sprintf("t%02d", i), limit: Limit{rate, rate}, rate: 0.75 * rate}
				switch {
				case i < 4:
					l.rate = 0.75 * rate // ten times its rate from 10 s on
				case i < 8:
					l.rate, l.clientRetries = 1.5*rate, 10
				}
				flows = append(flows, l)
			}
			script := randomFaults(rng, n)
			f := newTestFleet(t, n, seed, flows...)
			first, rest := script[:strings.Index(script, "\n12")], script[strings.Index(script, "\n12")+1:]
			f.run(10*time.Second, first)
			for i, l := range flows {
				if i < 4 {
					l.rate = 10 * l.limit.Rate
				}
				l.offered, l.refused = 0, 0 // the start is not measured
			}
			f.run(32*time.Second, rest)
			fill, worst, refused, offered := 0.0, 0.0, 0, 0
			for i, l := range flows {
				fill = max(fill, float64(l.maxInWindow())/float64(l.bound()))
				if l.maxInWindow() > l.bound() {
					t.Errorf("seed %d: %s passes %d in 5 s, bound %d", seed, l.tenant, l.maxInWindow(), l.bound())
				}
				if i >= 8 {
					worst, refused, offered = max(worst, l.refusedPart()), refused+l.refused, offered+l.offered
				}
			}
			if in := float64(refused) / float64(offered); in > 0.004 {
				t.Errorf("%d gateways, seed %d: %.4f of the requests within quotas refused", n, seed, in)
			}
			t.Logf("%d gateways, seed %d: %.3f of the bound; within quotas refused %.5f, of one tenant %.4f; %d messages a second",
				n, seed, fill, float64(refused)/float64(offered), worst, f.sends/32)
		}
	}
}
