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

// box is one machine: a gateway, and a counter that may be a holder.
type box struct {
	addr              string
	life              uint64
	meter             *Meter
	counter           *Counter
	dead, cut, frozen bool // those cut off reach each other
	old               bool // runs the program of the version before, as far as messages tell
	mail              []letter
	queue             []string // requests that wait for a frozen gateway
	tickAt            time.Duration
}

type letter struct {
	at       time.Duration
	from, to string
	msg      any
}

// flow offers requests of a tenant: at a rate, or in bursts every so often.
type flow struct {
	tenant string
	limit  Limit
	rate   float64
	skew   float64 // part of it that goes to the first gateway
	burst  int
	every  time.Duration // between bursts
	over   time.Duration // a burst is spread over
	one    bool          // a burst goes to one gateway
	retry  int           // how often a client that is refused comes back at once
	target *box

	passed  []time.Duration
	offered int
	refused int
}

type field struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Duration
	boxes   []*box
	air     []letter
	loss    float64
	flows   []*flow
	nodes   int
	holders []string
	sends   int
	again   []again
	byAddr  map[string]*box
	wire    func(from, to *box, msg any)      // of each message that is sent, once
	ticks   func(b *box)                      // before each tick of a meter
	delay   func(from, to *box) time.Duration // one way, above the millisecond or two of all
	slow    func(to *box, l letter) bool      // says whether it takes a letter for later
	each    func()                            // each ms
}

// again is a refused request that comes back.
type again struct {
	at   time.Duration
	flow *flow
	left int
}

func newField(t *testing.T, n int, seed uint64, flows ...*flow) *field {
	f := &field{t: t, rng: rand.New(rand.NewPCG(seed, 1)), flows: flows, nodes: n, byAddr: map[string]*box{}}
	for i := range n {
		b := &box{addr: fmt.Sprintf("10.0.0.%d:7", i)}
		f.boxes, f.byAddr[b.addr] = append(f.boxes, b), b
	}
	f.holders = []string{f.boxes[0].addr, f.boxes[1].addr}
	for _, b := range f.boxes {
		f.boot(b)
	}
	f.meet()
	return f
}

func (f *field) limits() map[string]Limit {
	out := map[string]Limit{}
	for _, l := range f.flows {
		out[l.tenant] = l.limit
	}
	return out
}

func (f *field) boot(b *box) {
	b.life++
	b.dead, b.queue, b.mail = false, nil, nil
	b.meter = NewMeter(b.addr, b.life, f.rng.Uint64())
	b.counter = NewCounter(b.addr, b.life)
	b.meter.SetLimits(f.now, f.limits())
	b.counter.SetLimits(f.limits())
	b.meter.SetGateways(f.now, f.nodes, f.holders)
	b.tickAt = f.now + time.Duration(f.rng.IntN(50))*time.Millisecond
}

// meet tells the counters which gateways there are, as those in touch see it.
func (f *field) meet() {
	for _, b := range f.boxes {
		var there []string
		for _, o := range f.boxes {
			if !o.dead && o.cut == b.cut {
				there = append(there, o.addr)
			}
		}
		b.counter.SetGateways(there)
	}
}

// obey runs one line of a script: "kill 0", "nodes 10 1 2", ...
func (f *field) obey(line string) {
	w := strings.Fields(line)
	var nums []int
	for _, s := range w[1:] {
		n, _ := strconv.Atoi(s)
		nums = append(nums, n)
	}
	switch w[0] {
	case "nodes", "there": // as those in touch, or those cut off, see it
		var holders []string
		for _, n := range nums[1:] {
			holders = append(holders, f.boxes[n].addr)
		}
		if w[0] == "nodes" {
			f.nodes, f.holders = nums[0], holders
		}
		for _, b := range f.boxes {
			if !b.dead && b.cut == (w[0] == "there") {
				b.meter.SetGateways(f.now, nums[0], holders)
			}
		}
		f.meet()
		return
	case "loss":
		f.loss = float64(nums[0]) / 100
		return
	}
	for _, n := range nums {
		b := f.boxes[n]
		switch w[0] {
		case "kill":
			b.dead = true
		case "boot":
			f.boot(b)
		case "cut":
			b.cut = true
		case "heal":
			b.cut = false
			b.meter.SetGateways(f.now, f.nodes, f.holders)
		case "old", "new":
			b.old = w[0] == "old"
		case "freeze":
			b.frozen = true
		case "thaw":
			b.frozen = false
			for _, l := range b.mail {
				f.take(b, l)
			}
			for _, tenant := range b.queue { // late for their clients: refusing them is no loss
				l := f.flow(tenant)
				offered, refused := l.offered, l.refused
				f.pass(b, tenant)
				l.offered, l.refused = offered, refused
			}
			b.mail, b.queue = nil, nil
		default:
			f.t.Fatalf("script: %q", line)
		}
	}
}

func (f *field) at(addr string) *box { return f.byAddr[addr] }

func (f *field) post(b *box, sends []fsm.Send) {
	for _, s := range sends {
		f.sends++
		if b.old {
			s.Msg = old(s.Msg)
		}
		if f.wire != nil {
			f.wire(b, f.at(s.To), s.Msg)
		}
		for range 1 + f.rng.IntN(50)/49 { // some come twice
			if f.rng.Float64() < f.loss {
				continue
			}
			d := time.Millisecond + time.Duration(f.rng.IntN(1000))*time.Microsecond
			if f.loss > 0 && f.rng.IntN(50) == 0 {
				d += 300 * time.Millisecond // and some late
			}
			if f.delay != nil {
				d += f.delay(b, f.at(s.To))
			}
			if s.To == b.addr {
				d = 0
			}
			f.air = append(f.air, letter{at: f.now + d, from: b.addr, to: s.To, msg: s.Msg})
		}
	}
}

func (f *field) take(b *box, l letter) {
	if b.old {
		l.msg = old(l.msg)
	}
	f.post(b, b.counter.Receive(f.now, l.from, l.msg))
	f.post(b, b.meter.Receive(f.now, l.from, l.msg))
}

func (f *field) flow(tenant string) *flow {
	return f.flows[slices.IndexFunc(f.flows, func(l *flow) bool { return l.tenant == tenant })]
}

func (f *field) pass(b *box, tenant string) bool {
	l := f.flow(tenant)
	l.offered++
	ok, after := b.meter.Allow(f.now, tenant, 1)
	if ok {
		l.passed = append(l.passed, f.now)
	} else {
		l.refused++
		if after <= 0 {
			f.t.Errorf("refused with no time to come back after")
		}
	}
	return ok
}

// offer sends a request to a gateway that is up, as the clients' side would.
func (f *field) offer(l *flow, to *box) { f.offers(l, to, l.retry) }

func (f *field) offers(l *flow, to *box, left int) {
	for to.dead {
		to = f.boxes[f.rng.IntN(len(f.boxes))]
	}
	if to.frozen {
		if len(to.queue) < 200 {
			to.queue = append(to.queue, l.tenant)
		}
		return
	}
	if !f.pass(to, l.tenant) && left > 0 {
		f.again = append(f.again, again{f.now + 2*time.Millisecond, l, left - 1})
	}
}

func (f *field) some(l *flow) *box {
	if f.rng.Float64() < l.skew {
		return f.boxes[0]
	}
	return f.boxes[f.rng.IntN(len(f.boxes))]
}

func (f *field) step() {
	f.now += time.Millisecond
	air := f.air
	f.air = nil
	for _, l := range air {
		to := f.at(l.to)
		switch {
		case l.at > f.now:
			f.air = append(f.air, l)
		case to.dead || to.cut != f.at(l.from).cut:
		case to.frozen:
			to.mail = append(to.mail, l)
		case f.slow != nil && f.slow(to, l):
		default:
			f.take(to, l)
		}
	}
	if f.each != nil {
		f.each()
	}
	for len(f.again) > 0 && f.again[0].at <= f.now {
		a := f.again[0]
		f.again = f.again[1:]
		f.offers(a.flow, f.some(a.flow), a.left)
	}
	for _, l := range f.flows {
		if f.now < 5*time.Second {
			break // traffic starts after the machines
		}
		for p := l.rate / 1000; f.rng.Float64() < p/(1+p); { // about Poisson
			f.offer(l, f.some(l))
		}
		if l.burst == 0 {
			continue
		}
		ms := int(max(1, l.over.Milliseconds()))
		k := int((f.now % l.every).Milliseconds())
		if k == 0 {
			l.target = f.some(l)
		}
		if k >= ms || l.target == nil {
			continue
		}
		for range l.burst*(k+1)/ms - l.burst*k/ms {
			to := l.target
			if !l.one {
				to = f.some(l)
			}
			f.offer(l, to)
		}
	}
	for _, b := range f.boxes {
		if b.dead || b.frozen || f.now < b.tickAt && !b.meter.Due(f.now) {
			continue
		}
		if f.now >= b.tickAt {
			b.tickAt = f.now + 50*time.Millisecond
			f.post(b, b.counter.Tick(f.now))
		}
		if f.ticks != nil {
			f.ticks(b)
		}
		f.post(b, b.meter.Tick(f.now))
	}
}

// run plays a script of lines "SECONDS order" up to a time.
func (f *field) run(until time.Duration, script string) {
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
			f.obey(orders[0].line)
			orders = orders[1:]
		}
		f.step()
	}
}

// after is what a script has left after a time.
func after(script string, at time.Duration) (left string) {
	for line := range strings.Lines(script) {
		s, _, _ := strings.Cut(strings.TrimSpace(line), " ")
		if n, err := strconv.ParseFloat(s, 64); err == nil && time.Duration(n*1e9) >= at { // what is due at the end of a run is left
			left += line
		}
	}
	return left
}

const window = 5 * time.Second

// worst is the largest number of passes in a window.
func (l *flow) worst() int {
	most, i := 0, 0
	for j, at := range l.passed {
		for at-l.passed[i] > window {
			i++
		}
		most = max(most, j-i+1)
	}
	return most
}

func (l *flow) part() float64 { return float64(l.refused) / float64(l.offered) }

func (l *flow) bound() int {
	return int(math.Floor((l.limit.Rate*window.Seconds()+l.limit.Burst)*1.1 + 20))
}
