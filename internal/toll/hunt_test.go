package toll

import (
	"fmt"
	"os"
	"math/rand/v2"
	"sort"
	"strings"
	"testing"
	"time"
)

func TestHunt(t *testing.T) {
	n := 13
	worst := map[string]int{}
	var lo, hi uint64 = 0, 300
	if v := os.Getenv("SEED"); v != "" { fmt.Sscan(v, &lo); hi = lo + 1 }
	for seed := lo; seed < hi; seed++ {
		rng := rand.New(rand.NewPCG(seed, 77))
		type ord struct{ at float64; s string }
		var ods []ord
		add := func(at float64, f string, a ...any) { ods = append(ods, ord{at, fmt.Sprintf(f, a...)}) }
		holders := func(without map[int]bool) string {
			var h []string
			for i := 0; i < n && len(h) < 2; i++ { if !without[i] { h = append(h, fmt.Sprint(i)) } }
			return strings.Join(h, " ")
		}
		if rng.IntN(3) == 0 { add(0, "loss %d", 1+rng.IntN(4)) }
		at := 10.0
		for at < 50 {
			pick := func() int { if rng.IntN(2) == 0 { return rng.IntN(2) }; return rng.IntN(n) }
			x := pick()
			d := 0.3 + rng.Float64()*8
			switch rng.IntN(4) {
			case 0:
				add(at, "kill %d", x)
				if d > 3 { add(at+3, "nodes %d %s", n-1, holders(map[int]bool{x: true})) }
				add(at+d, "boot %d", x)
				if d > 3 { add(at+d+1, "nodes %d %s", n, holders(nil)) }
			case 1:
				add(at, "freeze %d", x)
				if d > 3 { add(at+3, "nodes %d %s", n-1, holders(map[int]bool{x: true})) }
				add(at+d, "thaw %d", x)
				if d > 3 { add(at+d+1, "nodes %d %s", n, holders(nil)) }
			case 2:
				add(at, "cut %d", x)
				if d > 3 { add(at+3, "nodes %d %s", n-1, holders(map[int]bool{x: true})); add(at+3, "there 1 %d", x) }
				add(at+d, "heal %d", x)
				if d > 3 { add(at+d+1, "nodes %d %s", n, holders(nil)) }
			case 3:
				add(at, "kill %d", x)
				add(at+0.7, "boot %d", x)
				d = 0.7
			}
			at += d + 1 + rng.Float64()*4
		}
		sort.SliceStable(ods, func(i, j int) bool { return ods[i].at < ods[j].at })
		var sb strings.Builder
		for _, o := range ods { fmt.Fprintf(&sb, "%.3f %s\n", o.at, o.s) }
		hot := &flow{tenant: "hot", limit: Limit{129, 129}, rate: 900, skew: 0.2}
		calm := &flow{tenant: "calm", limit: Limit{129, 129}, rate: 116}
		low := &flow{tenant: "low", limit: Limit{129, 129}, rate: 75}
		tiny := &flow{tenant: "tiny", limit: Limit{20, 20}, rate: 150}
		flood := &flow{tenant: "flood", limit: Limit{129, 129}, burst: 900, every: 7 * time.Second, over: 1500 * time.Millisecond}
		f := newField(t, n, seed, hot, calm, low, tiny, flood)
		if hi == lo+1 {
			fmt.Println(sb.String())
			f.trace = func() {
				if f.now%(200*time.Millisecond) != 0 { return }
				s := fmt.Sprintf("%v level %.0f hot+%d low- %d |", f.now, f.level, len(hot.passed)-f.l1, low.refused-f.l2)
				f.l1, f.l2 = len(hot.passed), low.refused
				for _, b := range f.boxes { e := b.meter.entries[os.Getenv("TEN")]; c := " "; if e.seen { c = "*" }; if e.mute { c = "m" }; if b.dead { c = "x" }; s += fmt.Sprintf(" %s%.0f/%.0f.%d", c, e.room(f.now), e.unheard(), b.meter.reader) }
				for i := range 3 { if l := f.boxes[i].counter.ledgers[os.Getenv("TEN")]; l != nil { s += fmt.Sprintf(" H%d=%.0f/%v", i, l.level, f.now-f.boxes[i].counter.since>time.Second) } }
				fmt.Println(s)
			}
		}
		f.run(60*time.Second, sb.String())
		for _, l := range f.flows {
			worst[l.tenant] = max(worst[l.tenant], l.worst()*1000/l.bound())
			if l.worst() > l.bound() { t.Logf("BAD seed %d %s %d of %d\n%s", seed, l.tenant, l.worst(), l.bound(), sb.String()) }
		}
		worst["calmref"] = max(worst["calmref"], int(calm.part()*1e4))
		worst["lowref"] = max(worst["lowref"], int(low.part()*1e4))
		if low.part() > 0.01 || calm.part() > 0.03 { t.Logf("REF seed %d calm %.4f low %.4f\n%s", seed, calm.part(), low.part(), sb.String()) }
		if len(hot.passed) < 129*55*9/10 { t.Logf("FEW seed %d %d", seed, len(hot.passed)) }
	}
	t.Log(worst)
}
