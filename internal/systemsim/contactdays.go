package systemsim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// contacts are kinds of trouble that change which gateways hear each other; each lasts the given time.
var contacts = []func(d *drawer, lasts string){
	func(d *drawer, lasts string) { d.say("cut %s rest for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut %s rest oneway for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut all %s oneway for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut %s,%s rest for %s", d.anyone(), d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut %s core for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut %s core oneway for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut core %s oneway for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut %s %s for %s", d.anyone(), d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut %s %s oneway for %s", d.anyone(), d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("cut %s rest for %s", d.some(0.4), lasts) },
	func(d *drawer, lasts string) { d.say("hold %s rest for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("hold %s %s oneway for %s", d.anyone(), d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("lossy %s 0.%02d for %s", d.anyone(), 1+d.rng.IntN(20), lasts) },
	func(d *drawer, lasts string) { d.say("lossy all 0.%02d for %s", 1+d.rng.IntN(5), lasts) },
	func(d *drawer, lasts string) { d.say("freeze %s for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("kill %s for %s", d.anyone(), lasts) },
	func(d *drawer, lasts string) { d.say("kill %s for %s", d.some(0.3), lasts) },
	func(d *drawer, _ string) { d.say("reset %s 0.%d", d.of("all", "core", d.edge()), 2+d.rng.IntN(8)) },
}

// anyone is a machine with or without a disk, as often one of the two that hold counters as any other.
func (d *drawer) anyone() string {
	switch d.rng.IntN(4) {
	case 0:
		return fmt.Sprintf("core%d", 1+d.rng.IntN(2))
	case 1:
		return d.member0()
	}
	return d.edge()
}

// DrawContact writes the script of a day on which gateways lose and find each other in every pattern, in series and
// within each other, while tenants ask for up to ten times their rates.
func DrawContact(seed uint64) string {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, 0xc0117ac7)), core: 3, edges: 3 + int(seed%7), servers: 1}
	if seed%16 == 0 {
		d.edges = 27
	}
	d.say("start %d zones 3 core %d", d.core+d.edges, d.core)
	d.say("servers pay 9")
	d.servers += 9
	d.say("tenant t1 60 60 51")
	d.say("tenant t2 40 30 20")
	d.say("tenant t3 129 40 90")
	d.say("run %s", d.time(0.5, 1.5))
	d.put()
	d.wait(5, 7)
	for range 12 + d.rng.IntN(12) {
		if d.rng.IntN(3) == 0 {
			d.say("hot t%d %.1f for %s", 1+d.rng.IntN(3), 3+7*d.rng.Float64(), d.time(3, 7))
		}
		lasts := d.time(0.1, 1)
		if d.rng.IntN(2) == 0 {
			lasts = d.time(1, 6)
		}
		contacts[d.rng.IntN(len(contacts))](d, lasts)
		d.say("run %v", time.Duration(d.rng.Int64N(int64(2*time.Second))).Round(ms))
	}
	d.wait(6, 8)
	return strings.Join(d.lines, "\n") + "\n"
}
