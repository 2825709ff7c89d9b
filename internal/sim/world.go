package sim

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"asterwell/internal/program"
	"asterwell/internal/protocol"
	"asterwell/internal/settings"
)

// World is one run: gateways, and stand-ins for all that they meet.
type World struct {
	plan     Plan
	s        *Sched
	net      *Net
	rng      *rand.Rand
	rules    *rules
	nodes    []*node
	gateways []*gateway
	counter  *count
	names    []*names
	srv      *program.SRV
	clients  *clients
	shippers []*customer
	surge    float64

	customers map[string]*customer // by try
	bodySizes map[string]int       // of uploads, by try
	calm      [2]int               // in-quota tries after the last fault: all, and those served
	quiet     time.Duration        // from then on service is to be as if nothing had been
	requests  int
	saw       map[string]int
	on        map[string]int // faults that are on, by kind
	pairs     map[string]int // two that were on at once
	hash      *xxhash.Digest
	trace     io.Writer
	detail    string
}

// Result is how a run ended.
type Result struct {
	Seed     uint64
	Broken   string // the rule; none: all were kept
	Detail   string
	At       time.Duration
	Steps    uint64
	Requests int
	Hash     uint64
	Pairs    map[string]int // two faults that were on at once
	Seen     map[string]int // how often each fault and outcome came up
}

// gateway is one with its machine; it may run several times.
type gateway struct {
	w       *World
	index   int
	addr    string
	life    int
	proc    *Proc
	host    *Host
	program *program.Gateway
	agent   *agent
	late    time.Duration // of the list's news
	ended   bool
	bad     bool // its files can't be used
	paused  [][2]time.Duration
	termAt  time.Duration
}

func (n *node) ip() string    { return n.host.ip }
func (g *gateway) ip() string { return g.host.ip }
func (g *gateway) up() bool   { return !g.proc.dead && !g.ended }

const setup = `{"balancers":%d,"selfIndex":%d,"tickMs":1,"locality":%q,"discovery":"automatic",
 "caps":{"cancel":true,"connectTimeoutMs":250,"idleCloseMs":15000,"maxRetryAfterMs":1000,"probes":true,"retryAfter":true,
  "secondCopies":true,"tryLimit":5},
 "services":[{"name":"status-read","aimMs":1000,"deadlineMs":2500,"effect":"retryable","lateWorth":0.2,"value":1},
  {"name":"submit-nom","aimMs":600,"deadlineMs":1500,"effect":"fragile","lateWorth":0,"value":3}],
 "contracts":[{"name":"basic","quotaRate":4,"peakUnits":12,"valueFactor":0.8,"overrunCost":0.8},
  {"name":"pro","quotaRate":6,"peakUnits":12,"valueFactor":1.6,"overrunCost":0.5,"neverOverRate":%v,"ceilingBurst":%v,"hardSlack":2.4}],
 "familyInfo":{"sharedCounter":true,"counterTimeoutMs":50,"maxUnits":1},
 "loadInfo":{"source":"on_probe","fields":["latency_ms"]},
 "prices":{"crossZone":0,"waste":0.08,"lateFail":0.03},
 "safety":{"answerSlackMs":8,"coldFrom":0.3,"coldMs":5000,"drainGraceMs":500,"fallMultiple":2.5,"tipAfterMs":1000}}`

// Run plays a plan to its end, or until a rule breaks. trace, if any, is told what
// happens; until, if above 0, ends it after so many steps.
func Run(plan Plan, trace io.Writer, until uint64) Result {
	w := &World{plan: plan, s: NewSched(plan.Seed), rng: rand.New(rand.NewPCG(plan.Seed, 0x3017d)), surge: 1,
		customers: map[string]*customer{}, bodySizes: map[string]int{}, saw: map[string]int{}, on: map[string]int{}, pairs: map[string]int{}, hash: xxhash.New(), trace: trace}
	w.net = NewNet(w.s, plan.Seed, 200*time.Microsecond, 1500*time.Microsecond, plan.Pieces)
	w.rules = newRules(w)
	w.start()
	w.play(until)
	r := Result{Seed: plan.Seed, Broken: w.rules.broken, Detail: w.detail, At: w.s.now, Steps: w.s.steps, Requests: w.requests,
		Hash: w.hash.Sum64(), Seen: w.saw, Pairs: w.pairs}
	if w.s.fault != nil {
		r.Broken, r.Detail = "panic", fmt.Sprint(w.s.fault)
	}
	if r.Broken != "" && r.Broken != "panic" {
		r.At = w.rules.at
	}
	w.close()
	return r
}

// note adds a line to the trace.
func (w *World) note(format string, args ...any) {
	line := fmt.Appendf(nil, "%d %d ", w.s.now, w.s.steps)
	line = fmt.Appendf(line, format, args...)
	line = append(line, '\n')
	w.hash.Write(line)
	if w.trace != nil {
		w.trace.Write(line)
	}
}

func (w *World) seen(what string) { w.saw[what]++ }

func (w *World) start() {
	p := w.plan
	w.counter = &count{w: w, sums: map[string]*counted{}}
	w.counter.start()
	for i := range p.Nodes {
		n := &node{w: w, index: i, id: fmt.Sprint("s-", i), addr: fmt.Sprintf("10.1.0.%d:8443", i+1), slow: 1,
			rng: rand.New(rand.NewPCG(p.Seed, uint64(i)))}
		n.start()
		w.nodes = append(w.nodes, n)
	}
	w.srv = &program.SRV{}
	if p.SRV {
		var addrs []string
		for i := range 2 {
			d := &names{w: w, index: i}
			d.start()
			w.names = append(w.names, d)
			addrs = append(addrs, d.addr())
		}
		text, err := json.Marshal(map[string]any{"enabled": true, "names": []string{srvName}, "name_servers": addrs,
			"families": []string{"ipv4"}, "default_zone": "a", "timeout_ms": 300, "retry_ms": 200, "shrink_hold_ms": 3000, "drain_ms": 3000,
			"leave_hold_ms": 2000})
		if err == nil {
			w.srv, err = program.ParseSRV(text)
		}
		if err != nil {
			panic(err)
		}
	}
	for i := range p.Gateways {
		g := &gateway{w: w, index: i, addr: fmt.Sprintf("10.0.0.%d:8443", i)}
		g.agent = &agent{w: w, index: i, addr: fmt.Sprintf("10.3.0.%d:8500", i), version: 1, entries: map[string]entry{},
			changed: map[string]int64{}, wrote: map[string]time.Duration{}, had: map[string]entry{}}
		for _, n := range w.nodes {
			g.agent.entries[n.id], g.agent.changed[n.id] = n.entry("up"), 1
			g.agent.had[n.id] = n.entry("up")
		}
		g.agent.hadVersion = 1
		g.agent.start()
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		w.launch(g)
	}
	for i := range p.Shippers {
		c := &customer{key: fmt.Sprintf("%016x", i+1), pro: i%3 == 0, first: w.rng.IntN(p.Gateways)}
		c.width = 1 + w.rng.IntN(w.mostWidth(c.pro))
		c.rate = p.Rate / float64(p.Shippers) * (0.3 + 1.4*w.rng.Float64())
		if i%5 == 0 { // asks for more than it has
			c.rate *= 4
		}
		quota := 4.0
		if c.pro {
			quota = 6
		}
		c.within = c.rate < 0.6*quota
		w.shippers = append(w.shippers, c)
	}
	w.clients = &clients{w: w}
	w.s.after(time.Second, w.clients.start)
	for _, f := range p.Faults {
		w.quiet = max(w.quiet, f.At+f.For)
		w.s.after(f.At, func() { w.begin(f) })
	}
	// Nodes that came back cold are warm then, and what has been ejected is back.
	w.quiet += coldFor + 3*time.Second
	if c := p.ceiling(); c < 2 { // customers under a ceiling near their quota wait for it to refill after each doubt
		w.quiet += time.Duration(proBurst / proQuota * c / (c - 1) * float64(time.Second))
	}
}

// play runs the load, and then looks at what is left.
func (w *World) play(until uint64) {
	for w.s.now < w.plan.Load && w.rules.broken == "" {
		if !w.s.Run(min(w.plan.Load, w.s.now+20*time.Millisecond)) || until > 0 && w.s.steps >= until {
			return
		}
	}
	w.rules.idle()
	w.s.Run(w.plan.Load + 6*time.Second) // all that was taken is answered, and the quiet has come
	if w.rules.broken != "" || w.s.fault != nil {
		return
	}
	ask := w.s.NewProc("ask")
	for _, g := range w.gateways {
		if g.up() {
			ask.Go(func() { w.rules.books(g) })
		}
	}
	w.s.Run(w.plan.Load + 6100*time.Millisecond)
	if all, served := w.calm[0], w.calm[1]; all >= 20 && w.spare() && float64(served) < 0.9*float64(all) {
		w.rules.Violation("liveness", "%d of %d tries inside quotas served, long after the last fault", served, all)
	}
	for _, g := range w.gateways {
		if g.up() {
			g.program.Term()
		}
	}
	w.s.Run(w.plan.Load + 9*time.Second)
	for _, g := range w.gateways {
		if !g.ended && !g.proc.dead {
			w.rules.Violation("end", "g%d has not ended 3 s after SIGTERM without load", g.index)
		}
	}
}

// spare tells whether the fleet can do all that is asked for inside quotas, and
// something more.
func (w *World) spare() bool {
	rate := 0.0
	for _, c := range w.shippers {
		quota := 4.0
		if c.pro {
			quota = 6
		}
		rate += min(c.rate, quota)
	}
	return rate*0.125 < 0.6*nodeCores*float64(len(w.nodes))
}

// close ends all tasks, so that nothing of the world is left.
func (w *World) close() {
	for _, g := range w.gateways {
		g.proc.Kill()
		g.agent.host.Kill()
	}
	for _, n := range w.nodes {
		n.proc.Kill()
	}
	w.counter.proc.Kill()
	for _, d := range w.names {
		d.host.Kill()
	}
	if w.clients.host != nil {
		w.clients.host.Kill()
	}
}

// end notes how a try ended.
func (w *World) end(t *try, status int) {
	w.requests++
	w.seen("answer " + strconv.Itoa(status))
	if t.cust.within && t.due > w.quiet && t.again == 0 && t.due < w.plan.Load-2*time.Second {
		if w.calm[0]++; status == 200 {
			w.calm[1]++
		}
	}
}

// heldUp tells whether a try's gateway stood still while it waited: no program
// answers in time then.
func (w *World) heldUp(t *try) bool {
	for _, p := range w.gateways[t.gateway].paused {
		if p[0] <= t.sent+t.timeout+time.Second && p[1] >= t.began {
			return true
		}
	}
	return false
}

// stoodStill returns for how long a gateway stood still between two times.
func (g *gateway) stoodStill(from, to time.Duration) (total time.Duration) {
	pauses := slices.Clone(g.paused)
	slices.SortFunc(pauses, func(a, b [2]time.Duration) int { return cmp.Compare(a[0], b[0]) })
	for _, p := range pauses {
		begin, end := max(p[0], from), min(p[1], to)
		if end <= begin {
			continue
		}
		total += end - begin
		from = end // pauses overlap
	}
	return total
}

// errBad stands for files that can't be used.
var errBad = errors.New("config.json: listen is missing")

// launch starts a gateway's process.
func (w *World) launch(g *gateway) {
	g.life++
	g.ended, g.bad, g.termAt = false, false, 0
	g.proc = w.s.NewProc(fmt.Sprintf("g%d.%d", g.index, g.life))
	g.host = w.net.Host(g.proc, fmt.Sprintf("10.0.0.%d", g.index), w.plan.Seed*31+uint64(g.index*7+g.life))
	set, err := settings.Decode([]byte(fmt.Sprintf(setup, w.plan.Gateways, g.index, w.zone(g.index), proQuota*w.plan.ceiling(), proBurst*w.plan.ceiling())))
	if err != nil {
		panic(err)
	}
	// The list as this gateway last had it: what has changed since, its agent tells once it is asked.
	known := protocol.ServerList{Version: g.agent.hadVersion, Full: true}
	g.agent.heard = map[string]bool{}
	for _, n := range w.nodes {
		e, ok := g.agent.had[n.id]
		if !ok || e.State == "removed" { // DNS may go on naming it, and a new life can't know better
			if w.plan.SRV {
				w.rules.ServerState(g.index, n.id, true, w.s.now)
			}
			continue
		}
		g.agent.heard[n.id] = true
		known.Servers = append(known.Servers, protocol.ServerEntry{ID: e.ID, Addr: e.Addr, Zone: e.Zone, State: e.State, Weight: 1, StartedMs: e.StartedMs})
		w.rules.ServerState(g.index, n.id, true, w.s.now) // a new life has all of its time
		w.rules.ServerState(g.index, n.id, e.State == "up", w.s.now)
	}
	g.agent.tell()
	cfg := &program.Config{Name: g.proc.Name, Listen: g.addr, Discovery: g.agent.addr, Counter: counterAddr,
		Seed: w.plan.Seed ^ uint64(g.index)<<8 ^ uint64(g.life)<<16, Limits: program.Limits{Cores: 1, MemoryMB: 192, Sockets: 512},
		Known: known, Settings: set}
	files := &program.Files{Config: cfg, Operator: &program.Operator{}, SRV: w.srv}
	g.proc.Go(func() {
		host, life := g.host, g.life
		p, err := program.New(host, files, func() (*program.Files, error) {
			if g.bad {
				return nil, errBad
			}
			return files, nil
		})
		if err != nil {
			panic(err)
		}
		g.program = p
		if err := p.Run(); err != nil {
			w.rules.Violation("end", "g%d ended: %v", g.index, err)
		}
		if g.life == life {
			g.ended = true
			w.note("g%d has ended", g.index)
			proc := g.proc
			w.s.after(0, proc.Kill)
		}
	})
}

// kill ends a gateway's process without a word.
func (w *World) kill(g *gateway) {
	g.proc.Kill()
}

// bounce kills a gateway, and starts it again later unless another fault has.
func (w *World) bounce(g *gateway, pause time.Duration) {
	w.kill(g)
	life := g.life
	w.s.after(pause, func() {
		if g.life == life {
			w.launch(g)
		}
	})
}

// term tells a gateway to end, as a planned restart does, and starts it anew later.
func (w *World) term(g *gateway, pause time.Duration) {
	if !g.up() || g.program == nil || g.termAt > 0 {
		return
	}
	g.termAt = w.s.now
	g.program.Term()
	life := g.life
	var again func()
	again = func() {
		switch {
		case g.life != life: // killed and started meanwhile
		case g.ended:
			w.s.after(pause, func() {
				if g.life == life {
					w.launch(g)
				}
			})
		case w.s.now-g.termAt > 4*time.Second: // SIGKILL
			w.seen("gateway killed after SIGTERM")
			w.kill(g)
			w.launch(g)
		default:
			w.s.after(50*time.Millisecond, again)
		}
	}
	again()
}

// mostWidth is how many gateways a customer may come in through: under a ceiling
// so few that an even share of its burst holds two requests.
func (w *World) mostWidth(pro bool) int {
	if pro {
		return min(w.plan.Gateways, int(w.plan.ceiling()*proBurst/2))
	}
	return w.plan.Gateways
}

// zone is that of the node or gateway with this number.
func (w *World) zone(i int) string { return string(rune('a' + i%max(w.plan.Zones, 1))) }

func (n *node) zone() string { return n.w.zone(n.index) }

// replace drains a share of the nodes in steps, and starts them anew.
func (w *World) replace(f Fault, share float64) {
	count := int(share * float64(len(w.nodes)))
	for i := range count {
		n := w.nodes[(f.Who+i)%len(w.nodes)]
		w.s.after(f.For*time.Duration(i)/time.Duration(count), func() {
			if !n.proc.dead {
				w.drain(n, 700*time.Millisecond, false)
			}
		})
	}
}

func (n *node) entry(state string) entry {
	e := entry{ID: n.id, Addr: n.addr, Zone: n.zone(), State: state, Weight: 1, started: n.started}
	if n.started > 0 {
		e.StartedMs = (time.Duration(epoch.UnixNano()) + n.started).Milliseconds()
	}
	return e
}

// say brings a change of the list to all agents, to some of them late.
func (w *World) say(n *node, state string) {
	for _, g := range w.gateways {
		e, a := n.entry(state), g.agent
		w.s.after(g.late+time.Duration(w.rng.Int64N(int64(300*time.Millisecond))), func() {
			if e.started >= a.entries[n.id].started { // no older word overtakes
				a.set(e)
			}
		})
	}
}

// known notes once all gateways have been told of a node's start.
func (w *World) known(n *node) {
	if n.started == 0 || n.knownAt > 0 {
		return
	}
	for _, g := range w.gateways {
		if g.agent.wrote[n.id] != n.started {
			return
		}
	}
	n.knownAt = w.s.now
}

// drain takes a node off for a while; it comes back as a new process.
func (w *World) drain(n *node, d time.Duration, remove bool) {
	state := "draining"
	if remove {
		state = "removed"
	}
	w.say(n, state)
	w.s.after(max(d, 600*time.Millisecond), func() { w.restart(n, 200*time.Millisecond) })
}

// restart ends a node's process, and starts a new one later, which is cold.
func (w *World) restart(n *node, pause time.Duration) {
	n.proc.Kill()
	w.s.after(pause, func() {
		if !n.proc.dead {
			return
		}
		n.started, n.knownAt = w.s.now, 0
		n.start()
		w.say(n, "up")
	})
}
