package sim

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

// Plan is all that makes one run: replaying it gives the same run, step by step.
// Times are in nanoseconds of virtual time.
type Plan struct {
	Seed     uint64        `json:"seed"`
	Gateways int           `json:"gateways"`
	Nodes    int           `json:"nodes"`
	Shippers int           `json:"shippers"`
	Rate     float64       `json:"rate"`              // tries a second, client repeats left out
	SRV      bool          `json:"srv,omitempty"`     // nodes are named by DNS as well
	Zones    int           `json:"zones,omitempty"`   // that nodes and gateways are in, by turns; 0: one
	Ceiling  float64       `json:"ceiling,omitempty"` // of pro, in times its quota; 0: 2
	Pieces   bool          `json:"pieces"`            // reads return less than has come
	Load     time.Duration `json:"load_ns"`
	Faults   []Fault       `json:"faults"`
}

// Fault is something that goes wrong for a while.
type Fault struct {
	At   time.Duration `json:"at_ns"`
	Kind string        `json:"kind"`
	Who  int           `json:"who"` // a gateway or a node
	For  time.Duration `json:"for_ns"`
	Much float64       `json:"much,omitempty"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%v %s who=%d for=%v much=%.2f", f.At, f.Kind, f.Who, f.For, f.Much)
}

// Kinds are the faults that there are.
var Kinds = []string{
	"counter-silent", "counter-silent-empty", "counter-gone", "counter-slow", "counter-busy",
	"node-stall", "node-slow", "all-slow", "node-restart", "node-vanish", "node-replaced", "node-busy", "node-spoils", "node-drops-idle",
	"drain", "remove", "list-silent", "list-late", "silence-ends-in-drain",
	"gateway-term", "gateway-kill", "gateway-pause", "gateway-hup", "gateway-hup-bad", "way-cut",
	"clients-bad", "surge", "dns-silent", "dns-truncates", "dns-half", "dns-servfail", "dns-forges", "descriptors",
	"release", "zone-lost", "replace-most", "pro-surge",
	"gateway-standstills", "clients-upload",
}

// ofStandstills are drawn together, from a sequence of their own: gateways stand still, several times with hardly a pause, while
// clients send long bodies.
var ofStandstills = []string{"gateway-standstills", "clients-upload"}

// ofFleets are drawn for a fleet only, from a sequence of its own.
var ofFleets = []string{"release", "zone-lost", "replace-most", "pro-surge"}

// Situations are what a run of seeds should have met besides faults: outcomes, and
// what rules are about.
var Situations = []string{
	"answer 0", "answer 200", "answer 429", "answer 502", "answer 503", "answer 504", "turned away", "attempt after another",
	"work for a cold node", "work within the hold of a drain", "a customer of pro near its ceiling", "counter busy",
	"answer 500", "answer 503 without proof", "answer cut short", "answer with two lengths", "answer without a length",
	"answer that ends with its connection", "answer without a length, reset half way",
	"answer is no HTTP", "answer reset half way", "answer never comes", "answer with another behind it",
	"client resets at once", "client resets while it waits", "client sends half", "client sends two lengths", "client drips",
	"client: closing crossed the request", "client: gateway died", "client: no connection",
	"dns query", "dns answer with half of the nodes", "dns answer cut short",
	"upload served", "upload served, gateway stood still", "upload refused or failed", "upload cut off",
}

// Draw makes the plan of a seed. Each seed draws its own kinds of faults and how
// many, so that some meet much of few and others little of many (swarm testing).
// only, if there are any, are the kinds to draw from.
func Draw(seed uint64, only []string) (p Plan) {
	rng := rand.New(rand.NewPCG(seed, 0x91a))
	p = Plan{Seed: seed, Gateways: 3, Nodes: 9, Shippers: 24, Rate: 25 + 35*rng.Float64(), Pieces: rng.IntN(2) == 0,
		Load: 20 * time.Second}
	if rng.IntN(4) == 0 { // a fleet that has little to spare
		p.Nodes = 3 + rng.IntN(4)
		p.Rate = float64(p.Nodes) * 16 * (0.4 + 0.4*rng.Float64())
	}
	p.SRV = rng.IntN(3) == 0
	kinds := Kinds
	if len(only) > 0 {
		kinds = only
	}
	var mine []string
	for _, k := range kinds {
		if (k == "descriptors" || slices.Contains(ofFleets, k) || slices.Contains(ofStandstills, k)) && len(only) == 0 {
			continue // see below
		}
		if len(only) > 0 || rng.IntN(3) == 0 {
			mine = append(mine, k)
		}
	}
	// From a sequence of its own, so that the other faults of a seed stay as they were
	// before this kind came.
	if more := rand.New(rand.NewPCG(seed, 0xfd)); len(only) == 0 && more.IntN(6) == 0 {
		p.Faults = append(p.Faults, Fault{Kind: "descriptors", At: 2*time.Second + time.Duration(more.Int64N(int64(8*time.Second))),
			Who: more.IntN(p.Gateways), For: time.Duration(1+more.IntN(400)) * time.Millisecond, Much: more.Float64()})
	}
	defer func() {
		p.fleet(only)
		p.standstills(only)
	}()
	if len(mine) == 0 {
		return p
	}
	for range 1 + rng.IntN(10) {
		f := Fault{Kind: mine[rng.IntN(len(mine))], At: 2*time.Second + time.Duration(rng.Int64N(int64(8*time.Second))),
			For: 200*time.Millisecond + time.Duration(rng.Int64N(int64(4*time.Second))), Much: rng.Float64()}
		f.Who = rng.IntN(p.Nodes)
		p.SRV = p.SRV || strings.HasPrefix(f.Kind, "dns-")
		if strings.HasPrefix(f.Kind, "gateway") || strings.HasPrefix(f.Kind, "list") || f.Kind == "way-cut" {
			f.Who = rng.IntN(p.Gateways)
		}
		p.Faults = append(p.Faults, f)
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return p
}

// fleet makes a plan one of tens of gateways, with what happens to those: one seed
// in twelve, or each where faults of fleets are wanted. What else was drawn stays.
func (p *Plan) fleet(only []string) {
	rng := rand.New(rand.NewPCG(p.Seed, 0xf1ee7))
	kinds := ofFleets
	if len(only) > 0 {
		kinds = slices.DeleteFunc(slices.Clone(kinds), func(k string) bool { return !slices.Contains(only, k) })
	}
	if len(kinds) == 0 || len(only) == 0 && rng.IntN(12) > 0 {
		return
	}
	p.Gateways, p.Nodes, p.Shippers, p.Zones, p.SRV = 10+rng.IntN(15), 12+rng.IntN(13), 40, 3, false
	p.Rate = float64(p.Nodes) * (3 + 3*rng.Float64())
	p.Ceiling = 1.2 + 0.8*rng.Float64()*rng.Float64() // the nearer to the quota, the more often it is met
	p.Faults = slices.DeleteFunc(p.Faults, func(f Fault) bool { return slices.Contains(ofFleets, f.Kind) || strings.HasPrefix(f.Kind, "dns-") })
	for range 1 + rng.IntN(2) {
		p.Faults = append(p.Faults, Fault{Kind: kinds[rng.IntN(len(kinds))], At: 2*time.Second + time.Duration(rng.Int64N(int64(5*time.Second))),
			For: 2*time.Second + time.Duration(rng.Int64N(int64(5*time.Second))), Who: rng.IntN(p.Nodes), Much: rng.Float64()})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// standstills adds standstills of gateways and clients that upload: one seed in five, if nothing else is asked for.
func (p *Plan) standstills(only []string) {
	rng := rand.New(rand.NewPCG(p.Seed, 0x57a11))
	if len(only) > 0 || rng.IntN(5) > 0 {
		return
	}
	p.Faults = append(p.Faults, Fault{Kind: "clients-upload", At: time.Second, For: 12 * time.Second, Much: rng.Float64()})
	for range 1 + rng.IntN(4) {
		p.Faults = append(p.Faults, Fault{Kind: "gateway-standstills", At: 2*time.Second + time.Duration(rng.Int64N(int64(8*time.Second))),
			Who: rng.IntN(p.Gateways), For: 50*time.Millisecond + time.Duration(rng.Int64N(int64(4350*time.Millisecond))), Much: rng.Float64()})
	}
	slices.SortStableFunc(p.Faults, func(a, b Fault) int { return int(a.At - b.At) })
}

// ceiling is that of pro, in times its quota.
func (p *Plan) ceiling() float64 { return cmp.Or(p.Ceiling, 2) }

// ReadPlan reads a plan as it is written to a file, and checks it.
func ReadPlan(text []byte) (Plan, error) {
	var p Plan
	if err := json.Unmarshal(text, &p); err != nil {
		return p, fmt.Errorf("not a schedule: %w", err)
	}
	switch {
	case p.Gateways < 1 || p.Gateways > 99:
		return p, fmt.Errorf("gateways must be 1 to 99, got %d", p.Gateways)
	case p.Nodes < 1 || p.Nodes > 99:
		return p, fmt.Errorf("nodes must be 1 to 99, got %d", p.Nodes)
	case p.Shippers < 1 || p.Shippers > 1000:
		return p, fmt.Errorf("shippers must be 1 to 1000, got %d", p.Shippers)
	case !(p.Rate > 0 && p.Rate <= 1000):
		return p, fmt.Errorf("rate must be above 0 and up to 1000, got %v", p.Rate)
	case p.Zones < 0 || p.Zones > 9:
		return p, fmt.Errorf("zones must be 0 to 9, got %d", p.Zones)
	case p.Ceiling != 0 && !(p.Ceiling >= 1 && p.Ceiling <= 10):
		return p, fmt.Errorf("ceiling must be 0, or 1 to 10, got %v", p.Ceiling)
	case p.Load <= 0 || p.Load > time.Hour:
		return p, fmt.Errorf("load_ns must be up to an hour, got %d", p.Load)
	}
	for i, f := range p.Faults {
		if !slices.Contains(Kinds, f.Kind) {
			return p, fmt.Errorf("faults[%d].kind: unknown fault %q", i, f.Kind)
		}
		if f.At < 0 || f.For < 0 || f.Who < 0 {
			return p, fmt.Errorf("faults[%d]: at_ns, for_ns and who must not be negative", i)
		}
	}
	return p, nil
}

// standstillPause is for how long a gateway runs between two standstills of a series.
const standstillPause = 20 * time.Millisecond

// begin carries a fault out, and its end.
func (w *World) begin(f Fault) {
	w.seen("fault " + f.Kind)
	w.note("fault %v", f)
	for _, k := range Kinds {
		if w.on[k] > 0 {
			w.pairs[min(k, f.Kind)+" + "+max(k, f.Kind)]++
		}
	}
	w.on[f.Kind]++
	w.s.after(f.For, func() { w.on[f.Kind]-- })
	n := w.nodes[f.Who%len(w.nodes)]
	g := w.gateways[f.Who%len(w.gateways)]
	after := func(do func()) {
		w.s.after(f.For, func() {
			w.note("end of %v", f)
			do()
		})
	}
	switch f.Kind {
	case "counter-silent", "counter-silent-empty", "silence-ends-in-drain":
		w.counter.silent = true
		after(func() {
			if f.Kind == "counter-silent-empty" {
				clear(w.counter.sums)
			}
			w.counter.speak()
		})
		if f.Kind == "silence-ends-in-drain" { // the drain begins just before the counter is back
			w.s.after(max(0, f.For-time.Duration(f.Much*float64(400*time.Millisecond))), func() { w.drain(n, time.Second, false) })
		}
	case "counter-gone":
		w.counter.proc.Kill()
		after(func() {
			if f.Much < 0.5 {
				clear(w.counter.sums)
			}
			if w.counter.proc.dead { // or another fault has brought it back
				w.counter.start()
			}
		})
	case "counter-slow":
		w.counter.slow += time.Duration(f.Much * float64(10*time.Millisecond))
		after(func() { w.counter.slow -= time.Duration(f.Much * float64(10*time.Millisecond)) })
	case "counter-busy":
		w.counter.crowd = f.Much
		after(func() { w.counter.crowd = 0 })
	case "node-stall":
		n.stall = max(n.stall, w.s.now+f.For)
	case "node-slow":
		n.slow *= 1 + 5*f.Much
		after(func() { n.slow /= 1 + 5*f.Much })
	case "all-slow":
		for _, n := range w.nodes {
			n.slow *= 1.4 + 1.2*f.Much
		}
		after(func() {
			for _, n := range w.nodes {
				n.slow /= 1.4 + 1.2*f.Much
			}
		})
	case "node-restart":
		w.restart(n, f.For/4)
	case "node-vanish":
		for _, g := range w.gateways {
			w.net.Cut(n.ip(), g.ip(), true)
		}
		after(func() {
			for _, g := range w.gateways {
				w.net.Cut(n.ip(), g.ip(), false)
			}
		})
	case "node-replaced": // by another one at the same address, without a word
		n.proc.Kill()
		n.started, n.knownAt = w.s.now, 0
		n.start()
		w.s.after(time.Duration(f.Much*float64(2*time.Second)), func() { w.say(n, "up") })
	case "node-busy":
		n.caught = true
		after(func() { n.caught = false })
	case "node-spoils":
		n.spoil, n.kind = 0.3*f.Much, int(f.Much*1e6)%10
		if n.kind == 9 {
			n.kind = -1
		}
		after(func() { n.spoil = 0 })
	case "node-drops-idle":
		n.idle = 20*time.Millisecond + time.Duration(f.Much*float64(300*time.Millisecond))
		after(func() { n.idle = 0 })
	case "drain":
		w.drain(n, f.For, false)
	case "remove":
		w.drain(n, f.For, true)
	case "list-silent":
		g.agent.silent = true
		after(func() {
			g.agent.silent = false
			g.agent.tell()
			g.agent.ring()
		})
	case "list-late":
		g.late += time.Duration(f.Much * float64(3*time.Second))
		after(func() { g.late = 0 })
	case "gateway-term":
		w.term(g, f.For/4)
	case "gateway-kill":
		w.bounce(g, f.For/4)
	case "gateway-pause":
		g.host.Pause(f.For / 8)
		g.paused = append(g.paused, [2]time.Duration{w.s.now, w.s.now + f.For/8})
	case "gateway-standstills":
		for i := range 1 + int(f.Much*3) {
			w.s.after(time.Duration(i)*(f.For+standstillPause), func() {
				g.host.Pause(f.For)
				g.paused = append(g.paused, [2]time.Duration{w.s.now, w.s.now + f.For})
			})
		}
	case "clients-upload":
		w.clients.uploading = 0.1 + 0.3*f.Much
		after(func() { w.clients.uploading = 0 })
	case "gateway-hup", "gateway-hup-bad":
		g.bad = f.Kind == "gateway-hup-bad"
		if g.up() {
			g.program.Hup()
		}
	case "way-cut": // between a gateway and one node
		n := w.nodes[int(f.Much*float64(len(w.nodes)))%len(w.nodes)]
		w.net.Cut(n.ip(), g.ip(), true)
		after(func() { w.net.Cut(n.ip(), g.ip(), false) })
	case "clients-bad":
		w.clients.faulty = 0.2 * f.Much
		after(func() { w.clients.faulty = 0 })
	case "surge":
		w.surge = 1 + 3*f.Much
		after(func() { w.surge = 1 })
	case "dns-silent", "dns-truncates", "dns-half", "dns-servfail", "dns-forges":
		which := w.names // both, or one
		if len(which) > 0 && f.Much < 0.5 {
			which = which[f.Who%len(which):][:1]
		}
		for _, d := range which {
			d.mode = strings.TrimPrefix(f.Kind, "dns-")
		}
		after(func() {
			for _, d := range which {
				d.mode = ""
			}
		})
	case "release": // nodes are replaced in steps, and most gateways killed half way
		w.replace(f, 0.4)
		w.s.after(f.For/2, func() {
			for i, g := range w.gateways {
				if float64((i*7+f.Who)%len(w.gateways)) < (0.4+0.5*f.Much)*float64(len(w.gateways)) {
					w.bounce(g, 300*time.Millisecond)
				}
			}
		})
	case "replace-most":
		w.replace(f, 0.6)
	case "zone-lost": // all nodes of one zone die, and come back cold, all at once
		for _, x := range w.nodes {
			if x.zone() == n.zone() {
				w.restart(x, f.For)
			}
		}
	case "pro-surge": // one customer of pro asks for many times its quota, on all its gateways
		c := w.shippers[f.Who%len(w.shippers)/3*3]
		before := c.rate
		c.rate = 20 + 40*f.Much
		c.within, c.width = false, w.mostWidth(true)
		after(func() { c.rate = before })
		// The counter is replaced by an empty one, and gateways start that know nothing else: all that is left is the ceiling.
		for i := range 1 + int(f.Much*3) {
			w.s.after(f.For*time.Duration(i+1)/5, func() {
				clear(w.counter.sums)
				w.counter.proc.Kill()
				w.s.after(50*time.Millisecond, func() {
					if w.counter.proc.dead {
						w.counter.start()
					}
				})
				for _, g := range w.gateways[:len(w.gateways)/2] {
					w.bounce(g, 300*time.Millisecond)
				}
			})
		}
	case "descriptors": // none are left but a few
		g.host.most = len(g.host.conns) + int(f.Much*3)
		host := g.host
		w.s.after(min(f.For, 400*time.Millisecond), func() { host.most = 0 })
	default:
		panic("unknown fault " + f.Kind)
	}
}
