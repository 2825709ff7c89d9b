package bench

import (
	"fmt"
	"math/rand/v2"
	"net"
	"runtime"
	"slices"
	"strings"
	"time"

	"asterwell/choice"
	"asterwell/internal/protocol"
	"asterwell/internal/routing"
	"asterwell/internal/serverset"
	"asterwell/internal/standin/counter"
	standin "asterwell/internal/standin/dns"
	"asterwell/internal/standin/list"
	"asterwell/internal/standin/server"
	"asterwell/internal/transport"
)

// SRVOptions are those of MeasureSRV.
type SRVOptions struct {
	Binary   string // of the gateway
	Seed     uint64
	Gateways int
	Rate     float64 // tries a second at each gateway
}

const (
	srvName   = "_noms._tcp.example.org."
	srvTTL    = 50 * time.Millisecond // the least lifetime the gateways go by
	firstOnes = 12                    // servers in the first answer; the list names half of them
	laterOnes = 8
	drainHold = 500 * time.Millisecond
)

// srvWorld is what the gateways of the measurement stand between.
type srvWorld struct {
	opt      SRVOptions
	rng      *rand.Rand
	servers  []*server.Server
	evil     *server.Server
	dns      []*standin.Server
	list     *list.List
	agents   []*list.Agent
	counter  *counter.Counter
	gateways []*Gateway
	load     *Load
	report   *Report
}

// MeasureSRV runs gateways between scripted name servers, a list and servers, under
// load throughout, and then what needs no gateway.
func MeasureSRV(opt SRVOptions) (*Report, error) {
	w := &srvWorld{opt: opt, rng: rand.New(rand.NewPCG(opt.Seed, 7)),
		report: &Report{Name: "srv", Seed: opt.Seed, Figure: map[string]any{}}}
	defer w.close()
	if err := w.start(); err != nil {
		return nil, err
	}
	r := w.report
	r.Row("phase", "sent", "served", "refused", "failed", "unanswered", "p50 ms", "p99 ms", "found")
	type phase struct {
		name string
		run  func() string
	}
	type span struct {
		name, found string
		from, to    time.Time
	}
	var spans []span
	w.load.Start()
	for _, p := range []phase{{"steady", w.steady}, {"truncated answers", w.truncated}, {"forged answers", w.forged},
		{"drains by the list", w.drains}, {"new targets", w.appear}, {"targets withdrawn", w.withdrawn},
		{"all name servers dead", w.dead}, {"name servers back", w.back}} {
		from := time.Now()
		found := p.run()
		spans = append(spans, span{p.name, found, from, time.Now()})
	}
	tries := w.load.Stop()
	for _, s := range spans {
		c := Count(tries, s.from, s.to)
		r.Row(s.name, c.Sent, c.Served, c.Refused, c.Failed, c.Unanswered, float64(c.Latency.ValueAtQuantile(50))/1000,
			float64(c.Latency.ValueAtQuantile(99))/1000, s.found)
		if s.name == "all name servers dead" {
			r.Figure["served_share_dns_down"] = c.Share()
			r.Rule(c.Share() >= 0.999, "%.4f of the tries served while all name servers were dead", c.Share())
		}
	}
	all := Count(tries, time.Time{}, time.Now())
	r.Figure["requests"], r.Figure["unanswered"] = all.Sent, all.Unanswered
	r.Rule(all.Unanswered == 0, "%d tries without a final answer", all.Unanswered)
	double := w.doubles(tries)
	r.Figure["double_runs"] = double
	r.Rule(double == 0, "%d submissions ran twice", double)
	for _, g := range w.gateways {
		mb := g.MemoryMB()
		r.Figure["gateway_memory_mb"] = mb
		if err := g.Stop(); err != nil {
			return nil, fmt.Errorf("%w; its log:\n%s", err, g.Log())
		}
	}
	w.gateways = nil
	return r, offline(r)
}

func (w *srvWorld) start() (err error) {
	work := func(seed uint64) func() time.Duration {
		return func() time.Duration { return time.Duration(2+rand.IntN(6)) * time.Millisecond }
	}
	for i := range firstOnes + laterOnes {
		s, err := server.Listen("127.0.0.1:0", server.Options{Name: fmt.Sprint("s", i), Work: work(uint64(i))})
		if err != nil {
			return err
		}
		w.servers = append(w.servers, s)
	}
	if w.evil, err = server.Listen("127.0.0.1:0", server.Options{Name: "evil"}); err != nil {
		return err
	}
	var entries []list.Entry
	for i := range firstOnes / 2 {
		entries = append(entries, w.entry(i, "up"))
	}
	w.list = list.New(entries...)
	if w.counter, err = counter.Listen("127.0.0.1:0"); err != nil {
		return err
	}
	var names []string
	for range 2 {
		s, err := standin.Listen("127.0.0.1:0", w.zone(firstOnes))
		if err != nil {
			return err
		}
		w.dns = append(w.dns, s)
		names = append(names, s.Addr)
	}
	for i := range w.opt.Gateways {
		a, err := list.Listen("127.0.0.1:0", w.list)
		if err != nil {
			return err
		}
		w.agents = append(w.agents, a)
		g, err := StartGateway(GatewayOptions{Binary: w.opt.Binary, Name: fmt.Sprint("g", i), Discovery: a.Addr,
			Counter: w.counter.Addr, Gateways: w.opt.Gateways, Seed: w.opt.Seed + uint64(i), Settings: Settings(w.opt.Gateways),
			SRV: map[string]any{"enabled": true, "names": []string{srvName}, "name_servers": names, "families": []string{"ipv4"},
				"min_ttl_ms": srvTTL.Milliseconds(), "timeout_ms": 200, "retry_ms": 100, "server_back_ms": 100,
				"server_back_most_ms": 500, "shrink_hold_ms": 1000, "drain_ms": 3000, "default_zone": "a"}})
		if err != nil {
			return err
		}
		w.gateways = append(w.gateways, g)
	}
	for _, g := range w.gateways {
		if err := g.Ready(10 * time.Second); err != nil {
			return err
		}
	}
	w.load = &Load{Gateways: w.gateways, Rate: w.opt.Rate, Submits: 0.3, Seed: w.opt.Seed}
	return nil
}

func (w *srvWorld) close() {
	for _, g := range w.gateways {
		g.Stop()
	}
	for _, s := range w.dns {
		s.Close()
	}
	for _, a := range w.agents {
		a.Close()
	}
	for _, s := range w.servers {
		s.Close()
	}
	if w.evil != nil {
		w.evil.Close()
	}
	if w.counter != nil {
		w.counter.Close()
	}
}

func (w *srvWorld) entry(i int, state string) list.Entry {
	return list.Entry{ID: fmt.Sprint("n", i), Addr: w.servers[i].Addr, Zone: "a", State: state, Weight: 1}
}

// records are the zone's for the first n servers, but for those left out.
func (w *srvWorld) records(n int, without ...int) string {
	var b strings.Builder
	for i := range n {
		if slices.Contains(without, i) {
			continue
		}
		_, port, _ := net.SplitHostPort(w.servers[i].Addr)
		fmt.Fprintf(&b, "answer %s 0 IN SRV 1 10 %s s%d.example.org.\nadditional s%d.example.org. 0 IN A 127.0.0.1\n", srvName, port, i, i)
	}
	return b.String()
}

func (w *srvWorld) zone(n int, without ...int) *standin.Script {
	return standin.MustParse("on SRV " + srvName + "\n" + w.records(n, without...))
}

func (w *srvWorld) play(s string) {
	for _, d := range w.dns {
		d.Play(standin.MustParse(s))
	}
}

func (w *srvWorld) steady() string {
	from := w.dns[0].Total() + w.dns[1].Total()
	time.Sleep(3 * time.Second)
	n := float64(w.dns[0].Total()+w.dns[1].Total()-from) / 3 * 60 / float64(len(w.gateways))
	w.report.Figure["queries_per_min"] = n
	return fmt.Sprintf("%.0f queries a minute and gateway, at a lifetime of %v", n, srvTTL)
}

// truncated cuts all answers, and what becomes of TCP differs from second to second.
func (w *srvWorld) truncated() string {
	udp := "on SRV *\n" + w.records(firstOnes) + "truncate 6\n"
	lost := 0
	for _, tcp := range []string{"refuse", w.records(6) + "cut 90", w.records(6) + "drip 20ms", "silence"} {
		w.play(udp + "on SRV * over tcp\n" + tcp + "\n")
		time.Sleep(700 * time.Millisecond)
		from := time.Now()
		time.Sleep(time.Second)
		for _, s := range w.servers[:firstOnes] {
			if len(s.Arrivals(from)) == 0 {
				lost++
			}
		}
	}
	for _, d := range w.dns {
		d.Play(w.zone(firstOnes))
	}
	time.Sleep(300 * time.Millisecond)
	w.report.Figure["nodes_lost_on_truncation"] = lost
	w.report.Rule(lost == 0, "%d servers without a request while answers were truncated", lost)
	return fmt.Sprintf("%d servers lost", lost)
}

func (w *srvWorld) forged() string {
	_, port, _ := net.SplitHostPort(w.evil.Addr)
	w.play("on SRV *\n" + w.records(firstOnes) + "forge " + srvName + " 60 IN SRV 0 0 " + port + " localhost.\n" +
		"on A *\nanswer localhost. 60 IN A 127.0.0.1\n")
	time.Sleep(2 * time.Second)
	taken := len(w.evil.Arrivals(time.Time{})) + w.evil.Probes()
	w.report.Figure["forged_answers_taken"] = taken
	w.report.Rule(taken == 0, "%d requests to a server that only forged answers name", taken)
	for _, d := range w.dns {
		d.Play(w.zone(firstOnes))
	}
	return fmt.Sprintf("%d requests to the forged server", taken)
}

// gatewayOf tells which gateway a request came through.
func gatewayOf(id string) (gateway int) {
	var seed uint64
	var n int
	fmt.Sscanf(id, "%x-%d-%d", &seed, &gateway, &n)
	return gateway
}

// drains lets the list drain its servers one after the other, which SRV goes on
// naming every 50 ms.
func (w *srvWorld) drains() string {
	worst := time.Duration(0)
	after, before := 0, 0
	for i := range firstOnes / 2 {
		time.Sleep(time.Duration(w.rng.IntN(100)) * time.Millisecond)
		time.Sleep(300 * time.Millisecond) // time for it to be used again
		from := time.Now()
		before += len(w.servers[i].Arrivals(from.Add(-200 * time.Millisecond)))
		version := w.list.Set(w.entry(i, "draining"))
		time.Sleep(drainHold + 300*time.Millisecond)
		for _, a := range w.servers[i].Arrivals(from) {
			told, ok := w.agents[gatewayOf(a.ID)].Told(version)
			if !ok {
				w.report.Rule(false, "a gateway was not told of a drain within %v", drainHold)
				continue
			}
			if late := a.At.Sub(told); late > 0 {
				after++
				worst = max(worst, late)
			}
		}
		w.list.Set(w.entry(i, "up"))
	}
	w.report.Figure["drain_ms_max"] = float64(worst) / 1e6
	w.report.Rule(worst < drainHold, "new work %v after a gateway was told of a drain", worst)
	w.report.Rule(before > 0, "the servers to be drained were not used at all")
	return fmt.Sprintf("last new work %.1f ms after the word; %d requests in all, %d in the 200 ms before", float64(worst)/1e6, after, before)
}

// appear adds targets one by one, and waits until each gateway has used them.
func (w *srvWorld) appear() string {
	var took []time.Duration
	never := 0
	for i := firstOnes; i < firstOnes+laterOnes; i++ {
		from := time.Now()
		for _, d := range w.dns {
			d.Play(w.zone(i + 1))
		}
		seen := map[int]time.Duration{}
		for end := from.Add(5 * time.Second); time.Now().Before(end) && len(seen) < len(w.gateways); time.Sleep(10 * time.Millisecond) {
			for _, a := range w.servers[i].Arrivals(from) {
				g := gatewayOf(a.ID)
				if _, ok := seen[g]; !ok {
					seen[g] = max(0, a.At.Sub(from)-srvTTL)
				}
			}
		}
		never += len(w.gateways) - len(seen)
		for _, d := range seen {
			took = append(took, d)
		}
	}
	slices.Sort(took)
	p99, median := 0.0, 0.0
	if len(took) > 0 {
		p99, median = float64(took[(len(took)*99+99)/100-1])/1e6, float64(took[len(took)/2])/1e6
	}
	w.report.Figure["new_node_ms_p99"], w.report.Figure["new_node_ms_p50"] = p99, median
	w.report.Rule(never == 0, "%d times a gateway has not used a new server within 5 s", never)
	return fmt.Sprintf("first request after %.0f ms (median), %.0f ms (p99), beyond the lifetime", median, p99)
}

// withdrawn takes two targets out of DNS.
func (w *srvWorld) withdrawn() string {
	out := []int{firstOnes, firstOnes + 1}
	for _, d := range w.dns {
		d.Play(w.zone(firstOnes+laterOnes, out...))
	}
	time.Sleep(srvTTL + drainHold)
	from, late := time.Now(), 0
	time.Sleep(time.Second)
	for _, i := range out {
		late += len(w.servers[i].Arrivals(from))
	}
	w.report.Figure["late_after_withdrawal"] = late
	w.report.Rule(late == 0, "%d requests to servers that DNS withdrew over %v before", late, drainHold)
	return fmt.Sprintf("%d requests later than %v", late, drainHold)
}

func (w *srvWorld) dead() string {
	w.play("on *\nsilence")
	time.Sleep(5 * time.Second)
	return "stale answers stand"
}

// back brings the name servers back with another target, to see that they are heard.
func (w *srvWorld) back() string {
	from := time.Now()
	for _, d := range w.dns {
		d.Play(w.zone(firstOnes + laterOnes))
	}
	for end := from.Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if got := w.servers[firstOnes].Arrivals(from); len(got) > 0 {
			ms := float64(got[0].At.Sub(from)) / 1e6
			w.report.Figure["dns_back_ms"] = ms
			return fmt.Sprintf("a target that came back is used after %.0f ms", ms)
		}
	}
	w.report.Rule(false, "the gateways don't hear name servers that are back")
	return "not heard"
}

// doubles counts submissions that ran more than once.
func (w *srvWorld) doubles(tries []Try) (n int) {
	submit := map[string]bool{}
	for _, t := range tries {
		submit[t.ID] = t.Submit
	}
	ran := map[string]int{}
	for _, s := range w.servers {
		for _, a := range s.Arrivals(time.Time{}) {
			if submit[a.ID] && a.Ran {
				if ran[a.ID]++; ran[a.ID] == 2 {
					n++
				}
			}
		}
	}
	return n
}

// offline measures what needs no gateway: how long an answer of 5,000 targets takes
// to reach the core, what that costs in memory, and what a decision costs.
func offline(r *Report) error {
	r.Row()
	r.Row("without a gateway", "µs", "what")
	costs := map[string]float64{}
	for _, n := range []int{10, 100, 1000, 5000} {
		us, err := decisionCost(n)
		if err != nil {
			return err
		}
		costs[fmt.Sprint(n)] = us
		r.Row("decision", us, fmt.Sprintf("%d servers", n))
	}
	r.Figure["decision_us"] = costs
	apply, change, mb, err := applyCost()
	if err != nil {
		return err
	}
	r.Row("first answer to core", float64(apply.Microseconds()), "5,000 targets, 1,000 of them listed")
	r.Row("one change to core", float64(change.Microseconds()), "of the list, as above; mean")
	r.Figure["apply_5000_ms"], r.Figure["change_5000_us"], r.Figure["memory_5000_mb"] =
		float64(apply)/1e6, float64(change)/1e3, mb
	return nil
}

// still is a choice.Actions that does nothing but note where a request goes.
type still struct{ to uint32 }

func (q *still) Send(_, to uint32, _ time.Duration)          { q.to = to }
func (q *still) Refuse(uint32, time.Duration)                {}
func (q *still) Fail(uint32)                                 {}
func (q *still) Cancel(uint32, int)                          {}
func (q *still) Probe(uint32)                                {}
func (q *still) AddToCounter(string, float64, time.Duration) {}
func (q *still) SetTimer(time.Duration, string)              {}
func (q *still) Watch(bool)                                  {}
func (q *still) Log(string)                                  {}

func coreSettings() choice.Settings {
	return choice.Settings{Gateways: 1, Zone: "a", Tick: time.Millisecond, MaxAttempts: 3, Hedging: true, Cancels: true,
		DrainGrace: drainHold, ColdCapacity: 0.3, WarmupTime: 3 * time.Second, OverloadRatio: 2.5, OverloadTime: time.Second,
		Classes: []choice.Class{{Name: "read", Target: 800 * time.Millisecond, Deadline: 3 * time.Second, Value: 1}},
		Plans:   []choice.Plan{{Name: "open", ValueFactor: 1, OverrunCost: 1}}}
}

// decisionCost is the time of a request that is sent on and answered, in µs.
func decisionCost(n int) (float64, error) {
	act := &still{}
	b, err := choice.New(coreSettings(), 1, act)
	if err != nil {
		return 0, err
	}
	fleet := make([]choice.Member, n)
	for i := range fleet {
		fleet[i] = choice.Member{ID: uint32(i + 1), Zone: "a", Weight: 1}
	}
	b.HandleRoster(0, choice.RosterUpdate{Whole: true, Members: fleet})
	rounds := max(200, 200000/n)
	began := time.Now()
	for i := range rounds {
		now, id := time.Duration(i+1)*5*time.Millisecond, uint32(i+1)
		b.HandleRequest(now, choice.Request{ID: id, Class: "read", Plan: "open", Customer: "c", Deadline: now + 3*time.Second, Units: 1, Gateways: 1})
		b.HandleOutcome(now, choice.Outcome{ID: id, Backend: act.to, Elapsed: 50 * time.Millisecond, Final: true})
	}
	return float64(time.Since(began).Nanoseconds()) / 1000 / float64(rounds), nil
}

// applyCost brings 5,000 targets into a core by the membership, and then single
// changes of the list.
func applyCost() (apply, change time.Duration, mb float64, err error) {
	var targets []serverset.Target
	var listed []serverset.ListEntry
	for i := range 5000 {
		targets = append(targets, serverset.Target{Name: fmt.Sprintf("s%d.example.org.", i), Port: 80, Weight: 1,
			Addrs: []string{fmt.Sprintf("127.1.%d.%d:80", i/250, i%250)}})
	}
	for i := range 1000 {
		listed = append(listed, serverset.ListEntry{Name: fmt.Sprint("n", i), Addr: targets[i].Addrs[0],
			Member: choice.Member{Weight: 1, Zone: "a"}})
	}
	fleet := protocol.NewFleet(transport.PeerOptions{ConnectTimeout: time.Second, IdleTimeout: transport.NewIdleTimeout(time.Second),
		ConnLimit: transport.NewConnLimit(100)}, false)
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	core, err := routing.New(coreSettings(), 1, now, routing.Dependencies{Fleet: fleet})
	if err != nil {
		return 0, 0, 0, err
	}
	fleet.Results = core
	stop := make(chan struct{})
	defer close(stop)
	go core.Run()
	m := serverset.New(serverset.Options{RemovedHold: time.Minute, DrainFor: time.Minute, TrustFor: time.Minute, TierJoinBelow: 0.7,
		TierLeaveAbove: 0.9, TierLeaveHold: time.Minute, DeadAfterFailures: 3})
	pass := func() time.Duration { // until the core has taken the changes
		began := time.Now()
		var n routing.DiscoveryUpdate
		for _, c := range m.TakeChanges(now()) {
			n.Members = append(n.Members, routing.Member{Member: c.Member, Addr: c.Addr, Name: c.Name})
		}
		core.HandleDiscovery(n)
		core.Stats()
		return time.Since(began)
	}
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	began := time.Now()
	m.ApplyList(now(), listed, true, false)
	m.ApplySRV(now(), srvName, targets, false)
	pass()
	apply = time.Since(began)
	runtime.GC()
	runtime.ReadMemStats(&after)
	mb = float64(after.HeapAlloc+after.StackInuse-before.HeapAlloc-before.StackInuse) / (1 << 20)
	const changes = 100
	began = time.Now()
	for i := range changes {
		l := listed[i]
		l.State = choice.Draining
		m.ApplyList(now(), []serverset.ListEntry{l}, false, false)
		pass()
	}
	return apply, time.Since(began) / changes, mb, nil
}
