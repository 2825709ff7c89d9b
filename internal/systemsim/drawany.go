package systemsim

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Deployment is the shape of a site, as far as a day in simulated time shows it.
type Deployment struct {
	Name                 string
	Core, Edges, Zones   int
	Losses               int           // of the core, at once
	Sync                 time.Duration // of a disk
	SyncS                time.Duration // for so long a machine that is back still counts as lost
	Services, PerService int
	Tenants              int
}

// Deployments are the sites'. The large ones have fewer servers and tenants than theirs, so that
// a day takes a second or two.
var Deployments = []Deployment{
	{"nomiflux-gw", 3, 8, 3, 1, 1 * ms, 4 * time.Second, 4, 6, 2},
	{"vbsf-gateway", 3, 10, 3, 1, 5 * ms, 4 * time.Second, 4, 8, 2},
	{"nomiflux-gw-grown", 8, 83, 4, 2, 1 * ms, 6 * time.Second, 4, 12, 4},
	{"vbsf-gateway-grown", 6, 72, 3, 2, 5 * ms, 6 * time.Second, 4, 12, 4},
}

// span is when a trouble counts as a loss of machines of the core, and of how many.
type span struct {
	from, to time.Duration
	n        int
	grave    bool // a disk is lost
}

// step is a line of a drawn day. It is written when all are in order, as versions rise by time.
type step struct {
	at   time.Duration
	line func() string
}

// day draws one of any kinds.
type day struct {
	drawer
	on      Deployment
	steps   []step
	spans   []span
	members []string // of the core, as they are called by then; lines name them by their place: {0}
	kept    []string // of the machines without a disk
}

// trial is a kind of trouble as a site may list it. Its loss is of so many machines of the core,
// for so long; times count from when it begins.
type trial struct {
	kind  string // the sites' word, and the variant
	loses int
	lasts time.Duration
	grave bool
	draw  func(d *day, at time.Duration)
}

const (
	sec     = time.Second
	rollGap = 6500 * ms // between two of the core that are told to end
)

// trials are the kinds of all sites; those of the data plane that a day can't show are left out
// (docs/design/control.md says where they are shown).
var trials = []trial{
	{"burst", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "burst %.1f for %s", 1.5+1.5*d.rng.Float64(), d.time(2, 5)) }},
	{"hot_tenant", 0, 0, false, func(d *day, at time.Duration) {
		d.sayf(at, "hot t%d %.1f for %s", 1+d.rng.IntN(d.on.Tenants), 3+5*d.rng.Float64(), d.time(3, 7))
	}},
	{"srv_crash", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "crash %s", d.named(0.15)) }},
	{"srv_crash dark", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "mute %s for %s", d.named(0.15), d.time(2, 8)) }},
	{"srv_flap", 0, 0, false, func(d *day, at time.Duration) {
		for who, i := d.named(0.15), 0; i < 4; i++ {
			d.sayf(at+time.Duration(i)*2400*ms, "mute %s for 1200ms", who)
		}
	}},
	{"srv_grey", 0, 0, false, func(d *day, at time.Duration) {
		d.sayf(at, "grey %s %.2f for %s", d.named(0.15), 0.2+0.6*d.rng.Float64(), d.time(3, 7))
	}},
	{"srv_lying_health", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "grey %s 1 for %s", d.named(0.1), d.time(3, 7)) }},
	{"release", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "release %s %s", d.aService(), d.time(0.3, 1.2)) }},
	{"replace_with_reuse", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "reuse s%d %s", d.server(), d.aService()) }},
	{"scale_in", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "leave %s", d.named(0.15)) }},
	{"scale_in spot", 0, 0, false, func(d *day, at time.Duration) {
		for range 2 {
			d.sayf(at, "spot s%d %s", d.server(), d.time(1, 3))
		}
	}},
	{"answer_lost", 0, 0, false, func(d *day, at time.Duration) {
		d.sayf(at, "deaf all 0.%02d for %s", 5+d.rng.IntN(60), d.time(2, 6))
		d.putAt(at + d.upTo(sec))
		d.sayf(at+sec+d.upTo(sec), "leave s%d", d.server())
	}},
	{"answer_lost core", 1, 5 * sec, false, func(d *day, at time.Duration) {
		d.sayf(at, "deaf leader 0.9 for %s", d.time(2, 5))
		d.storm(at, 4, 300*ms)
	}},
	{"node_kill", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "kill %s for %s", d.someEdges(0.16), d.time(1, 4)) }},
	{"node_kill core", 1, 4 * sec, false, func(d *day, at time.Duration) { d.sayf(at, "kill %s for %s", d.one(), d.time(1, 4)) }},
	{"node_kill core leader race drain", 1, 4 * sec, false, func(d *day, at time.Duration) {
		d.raceAt(at)
		d.sayf(at, "leave s%d", d.server())
		d.sayf(at+d.upTo(30*ms), "kill leader for %s", d.time(1, 4))
	}},
	{"node_kill core meet hard drain", 1, 4 * sec, false, func(d *day, at time.Duration) {
		who, back := d.one(), sec+d.upTo(3*sec)
		if who == "leader" {
			who = d.member()
		}
		d.sayf(at, "kill %s for %v", who, back)
		d.putTo(at+back+d.upTo(100*ms), who)
		d.sayf(at+back+d.upTo(sec), "leave s%d", d.server())
	}},
	{"node_freeze", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "freeze %s for %s", d.someEdges(0.11), d.time(0.3, 5)) }},
	{"node_freeze core", 1, 5 * sec, false, func(d *day, at time.Duration) { d.sayf(at, "freeze %s for %s", d.one(), d.time(0.3, 5)) }},
	{"roll_term", 0, 0, false, func(d *day, at time.Duration) {
		for i := range 3 {
			d.sayf(at+time.Duration(i)*1300*ms, "term %s for 500ms", d.edge())
		}
	}},
	{"roll_term core", 1, 0, false, (*day).rolls},
	{"roll_term remove", 0, 0, false, func(d *day, at time.Duration) {
		if i := d.rng.IntN(len(d.kept)); len(d.kept) > 3 {
			d.sayf(at, "remove %s", d.kept[i])
			d.kept = slices.Delete(d.kept, i, i+1)
		}
	}},
	{"herd_kill", 9, 2 * sec, false, func(d *day, at time.Duration) { d.sayf(at, "kill %s for %s", d.some(0.55), d.time(1, 2)) }},
	{"herd_kill core", 9, 2 * sec, false, func(d *day, at time.Duration) {
		if d.rng.IntN(2) == 0 {
			d.putAt(at - d.upTo(20*ms))
		}
		d.sayf(at, "kill core for %s", d.time(0.4, 2))
	}},
	{"replace_core", 1, 2 * sec, true, func(d *day, at time.Duration) { d.replaces(at, "", 2) }},
	{"replace_core planned", 1, 10 * sec, true, func(d *day, at time.Duration) { d.replaces(at, " ahead", 4) }},
	{"seed_turnover", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "seeds %s,%s", d.edge(), d.member()) }},
	{"after_ack_kill", 1, 6 * sec, false, func(d *day, at time.Duration) { d.onAck(at, "kill acker for "+d.time(1, 4)) }},
	{"after_ack_kill more", 9, 6 * sec, false, func(d *day, at time.Duration) { d.onAck(at, "kill acker,leader,"+d.member()+" for "+d.time(1, 3)) }},
	{"after_ack_kill timed", 1, 4 * sec, false, func(d *day, at time.Duration) {
		d.putAt(at)
		d.sayf(at+5*ms+d.upTo(395*ms), "kill leader for %s", d.time(1, 3))
	}},
	{"after_ack_wipe", 1, 6 * sec, true, func(d *day, at time.Duration) { d.onAck(at, "wipe "+d.of("acker", "leader")+" for "+d.time(1, 4)) }},
	{"after_ack_wipe drawn", 1, 4 * sec, true, func(d *day, at time.Duration) {
		d.putAt(at - d.upTo(30*ms))
		d.sayf(at, "wipe %s for %s", d.one(), d.time(1, 4))
	}},
	{"after_ack_wipe two", 2, 4 * sec, true, func(d *day, at time.Duration) {
		d.putAt(at - d.upTo(30*ms))
		i := d.rng.IntN(len(d.members))
		d.sayf(at, "wipe %s,%s for %s", place(i), place((i+1)%len(d.members)), d.time(1, 4))
	}},
	{"disk_slow", 1, 6 * sec, false, func(d *day, at time.Duration) {
		d.sayf(at, "slow %s %d for %s", d.one(), 5+d.rng.IntN(400), d.time(2, 6))
	}},
	{"disk_slow stalls", 1, 6 * sec, false, func(d *day, at time.Duration) {
		d.sayf(at, "busy %s %v 20 for %s", d.one(), d.on.Sync, d.time(3, 6))
	}},
	{"clock_step", 0, 0, false, func(d *day, at time.Duration) {
		who, by := d.someEdges(0.3), time.Duration(1+d.rng.IntN(4000))*ms*time.Duration(1-2*d.rng.IntN(2))
		d.sayf(at, "step %s %v", who, by)
		d.sayf(at+2*sec+d.upTo(4*sec), "step %s %v", who, -by)
		d.sayf(at+sec, "kill %s for %s", d.edge(), d.time(1, 2))
	}},
	{"clock_step core", 1, 6 * sec, false, func(d *day, at time.Duration) {
		who, by := d.member(), time.Duration(1+d.rng.IntN(4000))*ms*time.Duration(1-2*d.rng.IntN(2))
		d.sayf(at, "step %s %v", who, by)
		d.sayf(at+sec, "kill %s for 1s", who)
		d.sayf(at+5*sec, "step %s %v", who, -by)
	}},
	{"reset_conns", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "reset %s 0.5", d.someEdges(0.2)) }},
	{"reset_conns core", 1, 0, false, func(d *day, at time.Duration) {
		d.storm(at-100*ms, 3, 60*ms)
		d.sayf(at, "reset %s 0.%d", d.of("core", "leader", "all"), 3+d.rng.IntN(7))
	}},
	{"core_cut", 1, 6 * sec, false, func(d *day, at time.Duration) { d.cuts(at, d.one(), "core", d.of("", " oneway"), d.time(2, 6)) }},
	{"core_cut long", 1, 20 * sec, false, func(d *day, at time.Duration) { d.cuts(at, d.one(), "core", d.of("", " oneway"), "20s") }},
	{"core_cut leader race drain hard", 1, 6 * sec, false, func(d *day, at time.Duration) {
		d.cuts(at, "leader", "core", "", d.time(3, 6))
		for i := range 2 {
			d.raceAt(at + time.Duration(i)*sec + d.upTo(sec))
		}
		d.sayf(at+2*sec, "leave s%d", d.server())
	}},
	{"core_cut seeds", 1, 7 * sec, false, func(d *day, at time.Duration) {
		who := d.member()
		d.cuts(at, who, "core", "", "6s")
		d.sayf(at+sec, "seeds %s,%s", who, d.edge())
		d.sayf(at+2500*ms, "kill %s for 500ms", d.someEdges(0.2))
	}},
	{"core_cut both", 9, 8 * sec, false, func(d *day, at time.Duration) {
		who := d.member()
		d.cuts(at, who, "core", "", "8s")
		d.sayf(at+sec, "kill %s for 500ms", who)
		for i := range d.members {
			if place(i) != who {
				d.sayf(at+2*sec+time.Duration(i)*700*ms, "kill %s for 500ms", place(i))
			}
		}
	}},
	{"core apart", 9, 4 * sec, false, func(d *day, at time.Duration) { d.sayf(at, "cut core core for %s", d.time(1, 4)) }},
	{"node_cut", 0, 0, false, func(d *day, at time.Duration) {
		d.sayf(at, "cut %s core%s for %s", d.someEdges(0.17), d.of("", "", " oneway"), d.time(2, 6))
	}},
	{"node_cut long", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "cut %s rest for 20s", d.someEdges(0.1)) }},
	{"node_cut dark", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "dark %s for %s", d.edge(), d.time(2, 6)) }},
	{"node_cut servers", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "mute %s for %s", d.named(0.2), d.time(2, 7)) }},
	{"lossy", 1, 6 * sec, false, func(d *day, at time.Duration) {
		d.sayf(at, "lossy %s 0.%02d for %s", d.of(d.edge(), d.one()), 1+d.rng.IntN(9), d.time(2, 6))
	}},
	{"config_change", 0, 0, false, func(d *day, at time.Duration) { d.putAt(at) }},
	{"config_change quota", 0, 0, false, func(d *day, at time.Duration) {
		rate := 30 + d.rng.IntN(40)
		d.sayf(at, "quota t2 %d %d", rate, rate)
		d.putAt(at + ms)
	}},
	{"config_race", 0, 0, false, func(d *day, at time.Duration) {
		for i := range 1 + d.rng.IntN(3) {
			d.raceAt(at + time.Duration(i)*1200*ms)
		}
	}},
	{"config_race same number", 0, 0, false, func(d *day, at time.Duration) {
		for i := range 1 + d.rng.IntN(3) {
			d.add(at+time.Duration(i)*1200*ms, func() string { return fmt.Sprintf("twins %d", d.next()) })
		}
	}},
	{"config_race same number leader", 1, 4 * sec, false, func(d *day, at time.Duration) {
		d.add(at, func() string { return fmt.Sprintf("twins %d", d.next()) })
		d.sayf(at+d.upTo(30*ms), "kill leader for %s", d.time(1, 3))
	}},
	{"config_race same number cut", 1, 6 * sec, false, func(d *day, at time.Duration) {
		d.sayf(at, "cut leader core%s for %s", d.of("", " oneway"), d.time(2, 6))
		for i := range 3 {
			d.add(at+time.Duration(i)*sec+d.upTo(sec), func() string { return fmt.Sprintf("twins %d", d.next()) })
		}
	}},
	{"config_storm", 0, 0, false, func(d *day, at time.Duration) { d.storm(at, 8+d.rng.IntN(8), d.upTo(330*ms)) }},
	{"config_storm eight at once", 0, 0, false, func(d *day, at time.Duration) { d.storm(at, 8, 0) }},
	{"config_storm hundreds", 0, 0, false, func(d *day, at time.Duration) { d.storm(at, 200, 60*ms) }},
	{"bad_config", 0, 0, false, func(d *day, at time.Duration) {
		d.add(at, func() string { d.version++; return fmt.Sprintf("bad %d", d.version) })
	}},
	{"bad_config old_version", 0, 0, false, func(d *day, at time.Duration) { d.sayf(at, "repeat %d", d.first) }},
	{"revoke", 0, 0, false, func(d *day, at time.Duration) { d.putAt(at); d.putAt(at + sec) }},
}

// DrawAny writes the script of a seed's day on a deployment: every kind that some site lists, at any
// moment, more than once, and within each other. Disks are lost as the budget allows, and often at the
// very moment from which it does. In the end all is mended, and what is put then has to get through.
func DrawAny(seed uint64, on Deployment) string {
	rng := rand.New(rand.NewPCG(seed, 0xa11))
	d := &day{drawer: drawer{rng: rng, core: on.Core, edges: on.Edges, servers: 1}, on: on}
	for i := range on.Core {
		d.members = append(d.members, fmt.Sprintf("core%d", i+1))
	}
	for i := range on.Edges {
		d.kept = append(d.kept, fmt.Sprintf("edge%d", i+1))
	}
	d.say("start %d zones %d core %d losses %d sync %v", on.Core+on.Edges, on.Zones, on.Core, on.Losses, on.Sync)
	for i := range on.Services {
		d.say("servers svc%d %d", i+1, on.PerService)
		d.servers += on.PerService
	}
	for i := range on.Tenants {
		d.say("tenant t%d 60 60 %d", i+1, 20+rng.IntN(30))
	}
	d.say("run %s", d.time(0.5, 2))
	d.put()
	d.first = d.version
	d.say("run 6s")
	d.draws()
	return strings.Join(d.lines, "\n") + "\n"
}

// draws the troubles, puts them in order, and writes the end.
func (d *day) draws() {
	long := 15*sec + d.upTo(45*sec)
	count := 4 + d.rng.IntN(9)
	var starts []time.Duration
	for range count {
		at := sec + d.upTo(long)
		if len(starts) > 0 && d.rng.IntN(3) == 0 { // within another
			at = starts[d.rng.IntN(len(starts))] + d.upTo(2*sec)
		}
		starts = append(starts, at)
	}
	slices.Sort(starts)
	var again *trial
	for _, at := range starts {
		t := &trials[d.rng.IntN(len(trials))]
		if again != nil && d.rng.IntN(5) == 0 {
			t = again
		}
		if again = t; t.grave && t.loses > d.on.Losses {
			continue
		}
		at = d.room(t, at)
		d.sayf(at, "# %s", t.kind)
		t.draw(d, at)
	}
	slices.SortStableFunc(d.steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	end := time.Duration(0)
	if len(d.steps) > 0 {
		end = d.steps[len(d.steps)-1].at
	}
	for _, s := range d.spans {
		end = max(end, s.to)
	}
	d.say("reads 200ms for %v", end+8*sec)
	now, ends := time.Duration(0), time.Duration(0)
	for _, s := range d.steps {
		if s.at > now {
			d.say("run %v", s.at-now)
			now = s.at
		}
		line := d.names(s.line())
		if verb, _, _ := strings.Cut(line, " "); slices.Contains([]string{"term", "remove", "successor"}, verb) {
			ends = now + 2*grace // by then what is planned has taken place
		}
		d.say("%s", line)
	}
	if d.rng.IntN(2) == 0 { // in the midst of the last troubles
		d.say("run %v", max(ends-now, 0)+d.upTo(2*sec))
	} else {
		d.say("run %v", end+8*sec-now)
	}
	d.say("mend all")
	d.say("run 4s")
	d.gets()
	if d.rng.IntN(2) == 0 {
		d.say("run %v", d.on.SyncS)
		d.closes()
		d.say("mend all")
		d.say("run 8s")
		d.gets()
	}
}

// gets is a put that has to be acknowledged, and in force everywhere, in time: a core that is stuck,
// and a machine that does not catch up, are met by it.
func (d *day) gets() {
	d.put()
	d.say("expect acked %d within %v", d.version, commit)
	d.say("expect everywhere %d within %v", d.version, converge)
}

func (d *day) closes() {
	all := []string{"kill all for 2s", "wipe leader for 3s", "wipe leader for 2s ; kill all for 2s", "kill core for 1s",
		"wipe acker for 2s ; kill all for 2s", "wipe " + d.one() + " for 2s ; kill core for 1s"}
	d.say("# closing")
	d.say("onack %s", d.names(all[d.rng.IntN(len(all))]))
	d.put()
	d.wait(3, 5)
}

// room finds when there is room for a trouble in the budget, from a moment on: while a disk counts
// as lost, no more may be lost than the budget says. Where it has to wait, it often comes the moment
// the count allows it.
func (d *day) room(t *trial, at time.Duration) time.Duration {
	if t.loses == 0 {
		return at
	}
	s := span{at, at + t.lasts + d.on.SyncS, t.loses, t.grave}
	if t.kind == "roll_term core" {
		s.to += time.Duration(len(d.members)) * rollGap
	}
	for waited := false; ; waited = true {
		n, grave, next := s.n, s.grave, time.Duration(0)
		for _, o := range d.spans {
			if o.from < s.to && s.from < o.to {
				n, grave = n+o.n, grave || o.grave
				if next == 0 || o.to < next {
					next = o.to
				}
			}
		}
		if next == 0 || !grave || n <= d.on.Losses {
			if waited && d.rng.IntN(3) == 0 {
				late := d.upTo(3 * sec)
				s.from, s.to = s.from+late, s.to+late
				if !d.fits(s) {
					s.from, s.to = s.from-late, s.to-late
				}
			}
			d.spans = append(d.spans, s)
			return s.from
		}
		s.from, s.to = next, next+s.to-s.from
	}
}

func (d *day) fits(s span) bool {
	n, grave, any := s.n, s.grave, false
	for _, o := range d.spans {
		if o.from < s.to && s.from < o.to {
			n, grave, any = n+o.n, grave || o.grave, true
		}
	}
	return !any || !grave || n <= d.on.Losses
}

func (d *day) add(at time.Duration, line func() string) {
	d.steps = append(d.steps, step{max(at, 0), line})
}

func (d *day) sayf(at time.Duration, form string, args ...any) {
	line := fmt.Sprintf(form, args...)
	d.add(at, func() string { return line })
}

func (d *day) upTo(t time.Duration) time.Duration {
	return time.Duration(d.rng.Int64N(int64(max(t, 1)))).Round(ms)
}

func (d *day) next() uint32 {
	d.version += 1 + d.rng.IntN(5)
	return uint32(d.version)
}

func (d *day) putAt(at time.Duration) {
	d.add(at, func() string { return fmt.Sprintf("put %d", d.next()) })
}

func (d *day) putTo(at time.Duration, who string) {
	d.add(at, func() string { return fmt.Sprintf("put %d at %s", d.next(), who) })
}

func (d *day) raceAt(at time.Duration) {
	d.add(at, func() string { d.version += 2; return fmt.Sprintf("race %d %d", d.version, d.version-1) })
}

// storm is so many changes one after the other, or at once. Each gets its number as it is sent: two
// storms within each other would else have orders that hundreds of others overtake before they begin.
func (d *day) storm(at time.Duration, n int, gap time.Duration) {
	for i := range n {
		d.putAt(at + time.Duration(i)*gap)
	}
}

func (d *day) onAck(at time.Duration, what string) {
	d.sayf(at, "onack %s", what)
	d.putAt(at)
	d.sayf(at+2*sec, "onack") // no more, whatever is acknowledged by then
}

func (d *day) cuts(at time.Duration, who, from, how, long string) {
	d.sayf(at, "cut %s %s%s for %s", who, from, how, long)
	d.putAt(at + d.upTo(2*sec))
}

func (d *day) rolls(at time.Duration) {
	for i := range d.members {
		d.sayf(at+time.Duration(i)*rollGap, "term %s for 500ms", place(i))
	}
}

func (d *day) replaces(at time.Duration, how string, most int) {
	i, ago := d.rng.IntN(len(d.members)), d.time(0, float64(most))
	d.add(at, func() string {
		line := fmt.Sprintf("successor %s %s%s", d.members[i], ago, how)
		d.members[i] += "'"
		return line
	})
}

func (d *day) member() string { return place(d.rng.IntN(len(d.members))) }

func place(i int) string { return fmt.Sprintf("{%d}", i) }

// names puts the names of a moment in a line.
func (d *day) names(line string) string {
	for i, m := range d.members {
		line = strings.ReplaceAll(line, place(i), m)
	}
	return line
}

func (d *day) one() string { return d.of("leader", d.member()) }

func (d *day) edge() string { return d.kept[d.rng.IntN(len(d.kept))] }

func (d *day) someEdges(part float64) string {
	all := slices.DeleteFunc(slices.Clone(d.kept), func(string) bool { return d.rng.Float64() >= part })
	if len(all) == 0 {
		return d.edge()
	}
	return strings.Join(all, ",")
}

func (d *day) some(part float64) string {
	all := slices.DeleteFunc(append(slices.Clone(d.members), d.kept...), func(string) bool { return d.rng.Float64() >= part })
	if len(all) == 0 {
		return d.edge()
	}
	return strings.Join(all, ",")
}

func (d *day) aService() string { return fmt.Sprintf("svc%d", 1+d.rng.IntN(d.on.Services)) }

// named is a part of a service's servers, one at least.
func (d *day) named(part float64) string {
	service, n := d.rng.IntN(d.on.Services), d.on.PerService
	var all []string
	for i := range n {
		if d.rng.Float64() < part {
			all = append(all, fmt.Sprintf("s%d", service*n+i+1))
		}
	}
	if len(all) == 0 {
		return fmt.Sprintf("s%d", d.server())
	}
	return strings.Join(all, " ")
}

// PlayAny plays the day that a seed draws on a deployment.
func PlayAny(seed uint64, on Deployment) Stats { return Run(DrawAny(seed, on), seed, Sound, nil) }
