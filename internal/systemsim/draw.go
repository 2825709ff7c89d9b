package systemsim

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"
)

// drawer writes the script of a drawn day.
type drawer struct {
	rng     *rand.Rand
	lines   []string
	core    int
	edges   int
	first   int // version, and
	version int // the last
	servers int // next number
	away    int // of the core's machines, the next that is replaced
}

// trouble is one of those that the sites list.
type trouble struct {
	name  string
	grave bool // a disk is lost: the core is left in peace before and after
	core  bool // touches the core
	draw  func(d *drawer)
}

var troubles = []trouble{
	{"after_ack_kill", false, true, func(d *drawer) { d.say("onack kill acker for %s", d.time(1, 4)); d.put() }},
	{"after_ack_kill power", false, true, func(d *drawer) {
		d.say("slow core %d for 3s", 2+d.rng.IntN(10))
		d.say("onack kill %s for %s", d.of("all", "core"), d.time(1, 3))
		d.put()
	}},
	{"after_ack_wipe", true, true, func(d *drawer) {
		d.say("onack wipe %s for %s", d.of("acker", "leader"), d.time(1, 4))
		d.put()
	}},
	{"bad_config", false, false, func(d *drawer) { d.version++; d.say("bad %d", d.version) }},
	{"config_change", false, false, func(d *drawer) { d.quota(); d.put() }},
	{"config_race", false, false, (*drawer).race},
	{"repeat", false, false, func(d *drawer) { d.put(); d.say("repeat %d", d.first) }},
	{"core_cut", false, true, func(d *drawer) { d.say("cut %s core for %s", d.member(), d.time(2, 6)) }},
	{"core_cut one way", false, true, func(d *drawer) { d.say("cut %s core oneway for %s", d.member(), d.time(2, 6)) }},
	{"core_cut race", false, true, func(d *drawer) { d.say("cut leader core for %s", d.time(3, 5)); d.race() }},
	{"core apart", false, true, func(d *drawer) { d.say("cut core core for %s", d.time(1, 4)) }},
	{"node_cut two", false, false, func(d *drawer) { d.say("cut edge1,edge2 rest for %s", d.time(2, 6)) }},
	{"node_kill core", false, true, func(d *drawer) { d.say("kill %s for %s", d.member(), d.time(1, 4)) }},
	{"node_kill race drain", false, true, func(d *drawer) { d.race(); d.leave(); d.say("kill leader for %s", d.time(1, 4)) }},
	{"node_kill meet drain", false, true, func(d *drawer) {
		d.say("kill %s for %s", d.member(), d.time(1, 4))
		d.wait(0, 1)
		d.leave()
	}},
	{"node_kill", false, false, func(d *drawer) { d.say("kill %s for %s", d.edge(), d.time(1, 4)) }},
	{"disk_slow", false, true, func(d *drawer) { d.say("slow %s %d for %s", d.member(), 5+d.rng.IntN(400), d.time(2, 6)) }},
	{"herd_kill", false, true, func(d *drawer) { d.say("kill %s for %s", d.some(0.55), d.time(1, 3)) }},
	{"herd_kill all", false, true, func(d *drawer) { d.say("kill all for %s", d.time(1, 3)) }},
	{"hot_tenant", false, false, func(d *drawer) {
		d.say("hot t%d %.1f for %s", 1+d.rng.IntN(2), 3+5*d.rng.Float64(), d.time(3, 7))
	}},
	{"node_cut", false, false, func(d *drawer) { d.say("cut %s rest for %s", d.edge(), d.time(2, 6)) }},
	{"node_cut dark", false, true, func(d *drawer) { d.say("dark %s for %s", d.of(d.edge(), d.member()), d.time(2, 6)) }},
	{"node_freeze", false, true, func(d *drawer) { d.say("freeze %s for %s", d.of(d.edge(), d.member()), d.time(0.3, 4)) }},
	{"lossy", false, true, func(d *drawer) {
		d.say("lossy %s 0.%02d for %s", d.of(d.edge(), d.member()), 1+d.rng.IntN(9), d.time(2, 6))
	}},
	{"release", false, false, func(d *drawer) { d.say("release %s %s", d.service(), d.time(0.3, 1.2)) }},
	{"replace_with_reuse", false, false, func(d *drawer) { d.say("reuse s%d %s", d.server(), d.service()) }},
	{"roll_term", false, true, (*drawer).roll},
	{"scale_in", false, false, func(d *drawer) { d.leave(); d.leave() }},
	{"node_cut hot", false, false, func(d *drawer) {
		d.say("cut %s rest for %s", d.edge(), d.time(4, 8))
		d.say("hot t%d %.1f for %s", 1+d.rng.IntN(2), 5+3*d.rng.Float64(), d.time(4, 7))
	}},
	{"seed_turnover", false, false, func(d *drawer) { d.say("seeds %s,%s", d.edge(), d.member0()) }},
	{"srv_crash", false, false, func(d *drawer) { d.say("crash s%d", d.server()) }},
	{"replace_core", true, true, (*drawer).replace},
	{"clock_step", false, true, func(d *drawer) {
		d.say("step %s %ds", d.some(0.3), 2400*(1-2*d.rng.IntN(2)))
		d.say("kill %s for %s", d.of(d.edge(), d.member()), d.time(1, 3))
	}},
	{"drain while leaving", false, true, func(d *drawer) { d.say("term %s for 1s", d.edge()); d.wait(0, 3); d.leave(); d.leave() }},
}

// Draw writes the script of a seed's day.
func Draw(seed uint64) string {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, 0xd4a3)), core: 3, edges: 3 + int(seed%5), servers: 1}
	d.say("start %d zones 3 core %d", d.core+d.edges, d.core)
	for _, s := range services {
		n := 3 + d.rng.IntN(4)
		d.say("servers %s %d", s, n)
		d.servers += n
	}
	d.say("tenant t1 60 60 51")
	d.say("tenant t2 40 30 20")
	d.say("run %s", d.time(0.5, 2))
	d.put()
	d.first = d.version
	d.wait(5, 7)
	for range 4 + d.rng.IntN(3) {
		d.slot()
	}
	if d.rng.IntN(2) == 0 {
		d.last()
	}
	return strings.Join(d.lines, "\n") + "\n"
}

var services = []string{"pay", "read", "file"}

// slot is one trouble, or two that may come together.
func (d *drawer) slot() {
	t := troubles[d.rng.IntN(len(troubles))]
	if t.grave {
		d.wait(9, 10)
	}
	d.say("# %s", t.name)
	t.draw(d)
	if d.rng.IntN(2) == 0 {
		u := troubles[d.rng.IntN(len(troubles))]
		if !u.grave && (!t.grave || !u.core) {
			d.wait(0, 2)
			d.say("# and %s", u.name)
			u.draw(d)
		}
	}
	if t.grave {
		d.wait(9, 10)
		return
	}
	d.wait(0.5, 7)
	if d.rng.IntN(2) == 0 {
		d.put()
		d.wait(0, 5)
	}
}

// last is a closing fault: something right after an acknowledgement.
func (d *drawer) last() {
	d.wait(11, 13)
	d.say("# the closing fault")
	if d.rng.IntN(3) > 0 {
		d.say("slow core %d", 2+d.rng.IntN(10))
	}
	d.say("onack %s", d.of("kill all for 2s", "wipe leader for 3s", "wipe leader for 2s ; kill all for 2s",
		"kill core for 1s", "wipe acker for 2s ; kill all for 2s"))
	d.put()
	d.wait(3, 5)
}

func (d *drawer) say(form string, args ...any) { d.lines = append(d.lines, fmt.Sprintf(form, args...)) }

func (d *drawer) time(from, to float64) string {
	return time.Duration((from + (to-from)*d.rng.Float64()) * float64(time.Second)).Round(ms).String()
}

func (d *drawer) wait(from, to float64) { d.say("run %s", d.time(from, to)) }

func (d *drawer) of(all ...string) string { return all[d.rng.IntN(len(all))] }

func (d *drawer) put() {
	d.version += 1 + d.rng.IntN(5)
	d.say("put %d", d.version)
}

func (d *drawer) race() {
	d.version += 2
	d.say("race %d %d", d.version, d.version-1)
}

func (d *drawer) quota() {
	rate := 30 + d.rng.IntN(40)
	d.say("quota t2 %d %d", rate, rate)
}

func (d *drawer) member0() string { return fmt.Sprintf("core%d", 1+d.rng.IntN(d.core)) }

func (d *drawer) member() string {
	if d.rng.IntN(2) == 0 {
		return "leader"
	}
	return d.member0()
}

func (d *drawer) edge() string    { return fmt.Sprintf("edge%d", 1+d.rng.IntN(d.edges)) }
func (d *drawer) service() string { return services[d.rng.IntN(len(services))] }
func (d *drawer) server() int     { return 1 + d.rng.IntN(d.servers-1) }
func (d *drawer) leave()          { d.say("leave s%d", d.server()) }

// some draws a part of all machines.
func (d *drawer) some(part float64) string {
	var all []string
	for i := range d.core {
		if d.rng.Float64() < part {
			all = append(all, fmt.Sprintf("core%d", i+1))
		}
	}
	for i := range d.edges {
		if d.rng.Float64() < part {
			all = append(all, fmt.Sprintf("edge%d", i+1))
		}
	}
	if len(all) == 0 {
		return "edge1"
	}
	return strings.Join(all, ",")
}

// roll stops and starts machines in turn.
func (d *drawer) roll() {
	for i := range d.core {
		d.say("term core%d for 500ms", i+1)
		d.wait(5, 7)
	}
	for i := range min(d.edges, 3) {
		d.say("term edge%d for 500ms", i+1)
		d.wait(1, 2)
	}
}

func (d *drawer) replace() {
	if d.away == d.core {
		return
	}
	d.away++
	d.say("replace core%d%s", d.away, d.of("", " planned"))
	d.wait(5, 6)
}
