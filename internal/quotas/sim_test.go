package quotas

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"asterwell/internal/fsm"
)

// testMachine is one simulated machine: a gateway, and a counter that may be a holder.
type testMachine struct {
	addr                      string
	incarnation               uint64
	meter                     *Meter
	counter                   *Counter
	dead, partitioned, frozen bool // partitioned machines reach each other
	oldVersion                bool // understands messages as the previous version of the program does
	undelivered               []delivery
	waiting                   []string // requests that wait for a frozen gateway
	tickAt                    time.Duration
}

type delivery struct {
	at       time.Duration
	from, to string
	msg      any
}

// tenantTraffic sends requests of a tenant: at a rate, or in bursts.
type tenantTraffic struct {
	tenant           string
	limit            Limit
	rate             float64
	firstGatewayPart float64 // part of the requests that goes to the first gateway
	burst            int
	burstInterval    time.Duration // between bursts
	burstSpread      time.Duration // time over which a burst is spread
	burstToOne       bool          // a burst goes to one gateway
	clientRetries    int           // how often a client retries a refused request at once
	target           *testMachine

	passed  []time.Duration
	offered int
	refused int
}

type testFleet struct {
	t          *testing.T
	rng        *rand.Rand
	now        time.Duration
	machines   []*testMachine
	inFlight   []delivery
	loss       float64
	traffic    []*tenantTraffic
	nodes      int
	holders    []string
	sends      int
	retries    []clientRetry
	byAddr     map[string]*testMachine
	onSend     func(from, to *testMachine, msg any)      // called once for each message that is sent
	beforeTick func(b *testMachine)                      // called before each tick of a meter
	delay      func(from, to *testMachine) time.Duration // one way, beyond the base delay of 1 to 2 ms
	holdBack   func(to *testMachine, l delivery) bool    // reports whether it keeps the delivery for later
	eachStep   func()                                    // called each millisecond
}

// clientRetry is a refused request that is sent again.
type clientRetry struct {
	at   time.Duration
	flow *tenantTraffic
	left int
}

func newTestFleet(t *testing.T, n int, seed uint64, flows ...*tenantTraffic) *testFleet {
	f := &testFleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), traffic: flows, nodes: n, byAddr: map[string]*testMachine{}}
	for i := range n {
		b := &testMachine{addr: fmt.Sprintf("10.0.0.%d:7", i)}
		f.machines, f.byAddr[b.addr] = append(f.machines, b), b
	}
	f.holders = []string{f.machines[0].addr, f.machines[1].addr}
	for _, b := range f.machines {
		f.boot(b)
	}
	f.announceGateways()
	return f
}

func (f *testFleet) limits() map[string]Limit {
	out := map[string]Limit{}
	for _, l := range f.traffic {
		out[l.tenant] = l.limit
	}
	return out
}

func (f *testFleet) boot(b *testMachine) {
	b.incarnation++
	b.dead, b.waiting, b.undelivered = false, nil, nil
	b.meter = NewMeter(b.addr, b.incarnation, f.rng.Uint64())
	b.counter = NewCounter(b.addr, b.incarnation)
	b.meter.SetLimits(f.now, f.limits())
	b.counter.SetLimits(f.limits())
	b.meter.SetGateways(f.now, f.nodes, f.holders)
	b.tickAt = f.now + time.Duration(f.rng.IntN(50))*time.Millisecond
}

// announceGateways tells the counters which gateways there are, as each side of a partition sees it.
func (f *testFleet) announceGateways() {
	for _, b := range f.machines {
		var there []string
		for _, o := range f.machines {
			if !o.dead && o.partitioned == b.partitioned {
				there = append(there, o.addr)
			}
		}
		b.counter.SetGateways(there)
	}
}

// runCommand runs one line of a script: "kill 0", "nodes 10 1 2", ...
func (f *testFleet) runCommand(line string) {
	w := strings.Fields(line)
	var nums []int
	for _, s := range w[1:] {
		n, _ := strconv.Atoi(s)
		nums = append(nums, n)
	}
	switch w[0] {
	case "nodes", "there": // for the machines that are not partitioned, or those that are
		var holders []string
		for _, n := range nums[1:] {
			holders = append(holders, f.machines[n].addr)
		}
		if w[0] == "nodes" {
			f.nodes, f.holders = nums[0], holders
		}
		for _, b := range f.machines {
			if !b.dead && b.partitioned == (w[0] == "there") {
				b.meter.SetGateways(f.now, nums[0], holders)
			}
		}
		f.announceGateways()
		return
	case "loss":
		f.loss = float64(nums[0]) / 100
		return
	}
	for _, n := range nums {
		b := f.machines[n]
		switch w[0] {
		case "kill":
			b.dead = true
		case "boot":
			f.boot(b)
		case "cut":
			b.partitioned = true
		case "heal":
			b.partitioned = false
			b.meter.SetGateways(f.now, f.nodes, f.holders)
		case "old", "new":
			b.oldVersion = w[0] == "old"
		case "freeze":
			b.frozen = true
		case "thaw":
			b.frozen = false
			for _, l := range b.undelivered {
				f.deliver(b, l)
			}
			for _, tenant := range b.waiting { // too late for their clients: refusals don't count
				l := f.trafficOf(tenant)
				offered, refused := l.offered, l.refused
				f.pass(b, tenant)
				l.offered, l.refused = offered, refused
			}
			b.undelivered, b.waiting = nil, nil
		default:
			f.t.Fatalf("script: %q", line)
		}
	}
}

func (f *testFleet) machineAt(addr string) *testMachine { return f.byAddr[addr] }

func (f *testFleet) send(b *testMachine, sends []fsm.Send) {
	for _, s := range sends {
		f.sends++
		if b.oldVersion {
			s.Msg = asPreviousVersion(s.Msg)
		}
		if f.onSend != nil {
			f.onSend(b, f.machineAt(s.To), s.Msg)
		}
		for range 1 + f.rng.IntN(50)/49 { // some are duplicated
			if f.rng.Float64() < f.loss {
				continue
			}
			d := time.Millisecond + time.Duration(f.rng.IntN(1000))*time.Microsecond
			if f.loss > 0 && f.rng.IntN(50) == 0 {
				d += 300 * time.Millisecond // and some delayed
			}
			if f.delay != nil {
				d += f.delay(b, f.machineAt(s.To))
			}
			if s.To == b.addr {
				d = 0
			}
			f.inFlight = append(f.inFlight, delivery{at: f.now + d, from: b.addr, to: s.To, msg: s.Msg})
		}
	}
}

func (f *testFleet) deliver(b *testMachine, l delivery) {
	if b.oldVersion {
		l.msg = asPreviousVersion(l.msg)
	}
	f.send(b, b.counter.Receive(f.now, l.from, l.msg))
	f.send(b, b.meter.Receive(f.now, l.from, l.msg))
}

func (f *testFleet) trafficOf(tenant string) *tenantTraffic {
	return f.traffic[slices.IndexFunc(f.traffic, func(l *tenantTraffic) bool { return l.tenant == tenant })]
}

func (f *testFleet) pass(b *testMachine, tenant string) bool {
	l := f.trafficOf(tenant)
	l.offered++
	ok, after := b.meter.Allow(f.now, tenant, 1)
	if ok {
		l.passed = append(l.passed, f.now)
	} else {
		l.refused++
		if after <= 0 {
			f.t.Errorf("refused without a retry time")
		}
	}
	return ok
}

// offer sends a request to a gateway that is up, as a load balancer would.
func (f *testFleet) offer(l *tenantTraffic, to *testMachine) {
	f.offerWithRetries(l, to, l.clientRetries)
}

func (f *testFleet) offerWithRetries(l *tenantTraffic, to *testMachine, left int) {
	for to.dead {
		to = f.machines[f.rng.IntN(len(f.machines))]
	}
	if to.frozen {
		if len(to.waiting) < 200 {
			to.waiting = append(to.waiting, l.tenant)
		}
		return
	}
	if !f.pass(to, l.tenant) && left > 0 {
		f.retries = append(f.retries, clientRetry{f.now + 2*time.Millisecond, l, left - 1})
	}
}

func (f *testFleet) pickGateway(l *tenantTraffic) *testMachine {
	if f.rng.Float64() < l.firstGatewayPart {
		return f.machines[0]
	}
	return f.machines[f.rng.IntN(len(f.machines))]
}

func (f *testFleet) step() {
	f.now += time.Millisecond
	inFlight := f.inFlight
	f.inFlight = nil
	for _, l := range inFlight {
		to := f.machineAt(l.to)
		switch {
		case l.at > f.now:
			f.inFlight = append(f.inFlight, l)
		case to.dead || to.partitioned != f.machineAt(l.from).partitioned:
		case to.frozen:
			to.undelivered = append(to.undelivered, l)
		case f.holdBack != nil && f.holdBack(to, l):
		default:
			f.deliver(to, l)
		}
	}
	if f.eachStep != nil {
		f.eachStep()
	}
	for len(f.retries) > 0 && f.retries[0].at <= f.now {
		retry := f.retries[0]
		f.retries = f.retries[1:]
		f.offerWithRetries(retry.flow, f.pickGateway(retry.flow), retry.left)
	}
	for _, l := range f.traffic {
		if f.now < 5*time.Second {
			break // traffic starts after the machines
		}
		for p := l.rate / 1000; f.rng.Float64() < p/(1+p); { // approximately Poisson
			f.offer(l, f.pickGateway(l))
		}
		if l.burst == 0 {
			continue
		}
		ms := int(max(1, l.burstSpread.Milliseconds()))
		k := int((f.now % l.burstInterval).Milliseconds())
		if k == 0 {
			l.target = f.pickGateway(l)
		}
		if k >= ms || l.target == nil {
			continue
		}
		for range l.burst*(k+1)/ms - l.burst*k/ms {
			to := l.target
			if !l.burstToOne {
				to = f.pickGateway(l)
			}
			f.offer(l, to)
		}
	}
	for _, b := range f.machines {
		if b.dead || b.frozen || f.now < b.tickAt && !b.meter.Due(f.now) {
			continue
		}
		if f.now >= b.tickAt {
			b.tickAt = f.now + 50*time.Millisecond
			f.send(b, b.counter.Tick(f.now))
		}
		if f.beforeTick != nil {
			f.beforeTick(b)
		}
		f.send(b, b.meter.Tick(f.now))
	}
}

// run executes a script of lines "SECONDS COMMAND" up to a time.
func (f *testFleet) run(until time.Duration, script string) {
	type order struct {
		at   time.Duration
		line string
	}
	var orders []order
	for line := range strings.Lines(script) {
		if at, rest, ok := strings.Cut(strings.TrimSpace(line), " "); ok {
			s, err := strconv.ParseFloat(at, 64)
			if err != nil {
				f.t.Fatalf("script: %q", line)
			}
			orders = append(orders, order{time.Duration(s * 1e9), rest})
		}
	}
	for f.now < until {
		for len(orders) > 0 && orders[0].at <= f.now {
			f.runCommand(orders[0].line)
			orders = orders[1:]
		}
		f.step()
	}
}

// scriptFrom returns the lines of a script from a time on.
func scriptFrom(script string, at time.Duration) (left string) {
	for line := range strings.Lines(script) {
		s, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if n, err := strconv.ParseFloat(s, 64); err == nil && time.Duration(n*1e9) >= at { // what is due at the very end of a run was not executed
			left += line
		}
	}
	return left
}

const window = 5 * time.Second

// maxInWindow is the largest number of passed requests in a window.
func (l *tenantTraffic) maxInWindow() int {
	most, i := 0, 0
	for j, at := range l.passed {
		for at-l.passed[i] > window {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

func (l *tenantTraffic) refusedPart() float64 { return float64(l.refused) / float64(l.offered) }

func (l *tenantTraffic) bound() int {
	return int(math.Floor((l.limit.Rate*window.Seconds()+l.limit.Burst)*1.1 + 20))
}
