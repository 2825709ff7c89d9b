package systemsim

import (
	"fmt"
	"math"
	"runtime"
	"time"

	"asterwell/internal/sysconfig"
)

// Fleet is a size of the system to be measured.
type Fleet struct {
	Nodes, Core, Losses, Servers int
	Seed                         uint64
	Rest, Traffic, Storm         time.Duration // how long each is measured
	Within                       time.Duration // of real time; 0: as long as it takes
	Progress                     func(string)
}

// FleetOf is the fleet of the sites of that many machines, and of sizes between them.
func FleetOf(nodes int) Fleet {
	f := Fleet{Nodes: nodes, Core: 8, Losses: 2, Servers: nodes * 10 / 3, Rest: 10 * time.Second, Traffic: 6 * time.Second,
		Storm: 30 * time.Second}
	switch {
	case nodes <= 20:
		f.Core, f.Losses = 3, 1
	case nodes <= 60:
		f.Core = 6
	case nodes > 100:
		f.Storm = 10 * time.Second // at the same pace
	}
	switch nodes {
	case 11:
		f.Servers = 29
	case 91:
		f.Servers = 316
	}
	return f
}

// Grown is what was measured of a fleet.
type Grown struct {
	Fleet
	Late                 bool // real time was up, and nothing below counts
	AtRest, Busy, Stormy Rates
	Cold, Refused        float64 // part of requests that quotas refuse as traffic begins, and then; none should be
	Config               int     // bytes of a configuration of the storm
	Turns, Alls, Drains  Times   // to in force at each, and at all; to unused at all
	Recover              time.Duration
	Stats                Stats
}

// The storm's and the traffic's measures.
const (
	joinSpan  = 4 * time.Second // within it the servers come; what is measured begins later
	stormBody = 40 << 10
	stormPace = 500 * ms
	stormSpan = 30 * time.Second // half of all servers are replaced within it
	each      = 20.0             // requests a second at each gateway
)

// Grow plays a fleet: at rest, in traffic, in a storm of configurations while half of
// the servers are replaced, and after the end of all its processes.
func Grow(f Fleet) Grown {
	runtime.LockOSThread() // its processor time is measured
	defer runtime.UnlockOSThread()
	w := newWorld(f.Seed*8+1, Sound, nil)
	g := &grower{Grown: Grown{Fleet: f}, w: w, began: time.Now()}
	g.play()
	if w.stats.Broken == "" && !g.Late {
		w.checkList()
	}
	g.Stats, g.Turns, g.Alls, g.Drains = w.stats, w.gauge.turns, w.gauge.alls, w.gauge.drain
	g.Stats.Length, g.Stats.Hash = w.now, w.hash()
	return g.Grown
}

type grower struct {
	Grown
	w       *world
	began   time.Time
	version uint32
}

func (g *grower) play() {
	w, f := g.w, g.Fleet
	w.must(fmt.Sprintf("start %d zones 4 core %d", f.Nodes, f.Core))
	w.losses = f.Losses
	newGauge(w)
	services := min(8, max(3, f.Nodes/8))
	tenants := min(85, max(3, f.Nodes))
	offer := each * float64(f.Nodes) / float64(tenants)
	for i := range tenants {
		w.must(fmt.Sprintf("tenant t%d %.0f %.0f %.3f", i+1, math.Ceil(offer/0.6), math.Ceil(offer/0.6), offer))
	}
	w.still = true
	w.run(time.Second)
	for i := range f.Servers {
		w.after(time.Duration(i)*joinSpan/time.Duration(f.Servers), func() { w.serve(fmt.Sprintf("svc%d", i%services+1), "") })
	}
	if !g.pass("servers come", joinSpan) {
		return
	}
	g.put()
	if !g.pass("start", 9*time.Second) || !g.measure("rest", f.Rest, &g.AtRest) {
		return
	}
	w.still = false
	for _, t := range w.tenants {
		t.cools = w.now // gateways that all open at once refuse some, until they have read
	}
	if !g.pass("traffic begins", 9*time.Second) {
		return
	}
	g.Cold, w.stats.Refused, w.stats.Requests = g.refused(), 0, 0
	if !g.measure("traffic", f.Traffic, &g.Busy) {
		return
	}
	g.Refused = g.refused()
	g.storm()
	if !g.measure("storm", f.Storm, &g.Stormy) || !g.pass("after the storm", 12*time.Second) {
		return
	}
	g.recover()
}

// pass lets time pass, as long as there is real time left.
func (g *grower) pass(what string, d time.Duration) bool {
	g.tell(what)
	for ; d > 0 && g.w.stats.Broken == ""; d -= 20 * ms {
		g.w.run(min(d, 20*ms))
		if g.Late = g.Within > 0 && time.Since(g.began) > g.Within; g.Late {
			g.tell("left out in " + what)
			return false
		}
	}
	return g.w.stats.Broken == ""
}

func (g *grower) tell(what string) {
	if g.Progress != nil {
		g.Progress(fmt.Sprintf("%d nodes: %s, at %v, %d messages, %v", g.Nodes, what, g.w.now.Round(ms), g.w.stats.Messages,
			time.Since(g.began).Round(time.Second)))
	}
}

func (g *grower) measure(what string, d time.Duration, to *Rates) bool {
	g.w.gauge.begin()
	ok := g.pass(what, d)
	*to = g.w.gauge.rates()
	return ok
}

func (g *grower) refused() float64 {
	return float64(g.w.stats.Refused) / float64(max(1, g.w.stats.Requests))
}

func (g *grower) put() {
	g.version++
	g.w.must(fmt.Sprintf("put %d", g.version))
}

// storm begins one; it goes on by itself.
func (g *grower) storm() {
	w := g.w
	size := len(w.orders[g.version].body) // its tenants and services are part of it
	w.pad, w.gauge.turns, w.gauge.alls = stormBody-size, nil, nil
	for at := time.Duration(0); at < g.Storm; at += stormPace {
		w.after(at, g.put)
	}
	w.after(stormPace, func() { g.Config = len(w.orders[g.version].body) })
	old := w.servers[:len(w.servers)/2]
	gap := stormSpan / time.Duration(max(len(old), 1))
	for i, s := range old {
		at := time.Duration(i) * gap
		if at > g.Storm-2*time.Second {
			break
		}
		w.after(at, func() { w.serve(s.service, "") })
		w.after(at+gap/2, s.leave)
	}
}

// recover ends all processes at once, and starts them again a second later.
func (g *grower) recover() {
	w := g.w
	w.must("kill all for 1s")
	w.run(1001 * ms)
	from := w.now - ms
	for w.now-from < recovery && w.stats.Broken == "" {
		all := true
		for _, p := range w.procs {
			all = all && p.up && p.k.Ready()
		}
		if all {
			break
		}
		w.run(10 * ms)
	}
	g.Recover = w.now - from
	g.pass("recovery", 6*time.Second)
}

// padded makes a configuration as large as those of the storm, with routes that
// nobody's requests take.
func (w *world) padded(host *sysconfig.Socket, services []string) {
	for i := 0; i*routeSize < w.pad && len(services) > 0; i++ {
		r := sysconfig.Rule{Name: fmt.Sprintf("fill-%04d", i), RouteClass: "pure", TargetMs: 300}
		r.Predicate.PathPrefix = fmt.Sprintf("/fill/of-the-storm/%04d/", i)
		r.Effect = sysconfig.Effect{Backend: services[i%len(services)], DeadlineMs: 800, Tries: 2}
		host.Policy = append(host.Policy, r)
	}
}

const routeSize = 214 // of such a route as JSON

func percent(part float64) string { return fmt.Sprintf("%.0f%%", 100*part) }
