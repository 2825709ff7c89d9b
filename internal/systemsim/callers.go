package systemsim

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"asterwell/internal/consensus"
	"asterwell/internal/controlplane"
	"asterwell/internal/sysconfig"
)

// Ends of an operator's call.
const (
	Acked    = "acknowledged"
	Differed = "told that the number has another text"
	Unclear  = "given up without a clear answer"
	Saw      = "read"
)

// Call is an order with all its tries, or a read, as an operator saw it.
type Call struct {
	Number   uint32
	Text     string // which of the number's
	From, To time.Duration
	End      string
}

// caller is one of several operators, who don't know of each other.
type caller struct {
	w     *world
	rng   *rand.Rand
	zone  string // where it mostly calls
	lost  float64
	until time.Duration
	every time.Duration
	went  []sent // its own
	under *Call  // without an answer yet
}

type sent struct {
	o    *order
	text string // its mark
	body []byte
}

const (
	triesOf   = 12
	mostRetry = time.Second
)

func (w *world) doOperators(a *args) error {
	d := a.span()
	n, every, lost := int(a.number()), a.time(), a.number()
	for i := range n {
		c := &caller{w: w, rng: rand.New(rand.NewPCG(w.rng.Uint64(), uint64(i))),
			zone: w.procs[i%len(w.procs)].zone, lost: lost, until: w.now + d, every: every}
		w.operators = append(w.operators, c)
		w.after(w.upTo(every), c.next)
	}
	return a.err
}

// next makes an order: mostly a new one, on top of what is known; at times one of its own once
// more, another text under a number of the last, one below, or a read.
func (c *caller) next() {
	w := c.w
	if w.now >= c.until {
		return
	}
	again := func() { w.after(c.every/2+time.Duration(c.rng.Int64N(int64(c.every))), c.next) }
	switch draw := c.rng.IntN(20); {
	case draw < 4 && len(c.went) > 0:
		c.send(c.went[c.rng.IntN(len(c.went))], again)
	case draw < 6 && w.acked > 2:
		c.send(c.order(w.acked-c.rng.Uint32N(min(w.acked-1, 30))), again)
	case draw < 8:
		c.read(again)
	default:
		c.send(c.order(w.acked+1+c.rng.Uint32N(2)), again)
	}
}

// order writes a text of its own under a number.
func (c *caller) order(number uint32) sent {
	w := c.w
	o := w.orders[number]
	if o == nil {
		o = w.write(number)
		o.texts = map[string]bool{}
	}
	if o.texts == nil { // one of the script's
		return sent{o, markOf(o.body), o.body}
	}
	mark := fmt.Sprint(keepalive + 1 + len(o.texts))
	body := bytes.Replace(o.body, fmt.Appendf(nil, `"KeepaliveMs":%d`, keepalive), []byte(`"KeepaliveMs":`+mark), 1)
	o.texts[string(body)] = true
	s := sent{o, mark, body}
	c.went = append(c.went, s)
	return s
}

// at picks whom to call: mostly one of its zone.
func (c *caller) at() *proc {
	all := c.w.listed()
	p := all[c.rng.IntN(len(all))]
	for range 4 {
		if p.zone == c.zone {
			break
		}
		p = all[c.rng.IntN(len(all))]
	}
	return p
}

// try calls once. The call or its answer may be lost on the way.
func (c *caller) try(do func(p *proc, id uint64) controlplane.Output, done func(p *proc, a consensus.Answer, ok bool)) {
	w, p := c.w, c.at()
	if c.rng.Float64() < c.lost/3 {
		w.after(patience, func() { done(p, consensus.Answer{}, false) })
		return
	}
	deaf := c.rng.Float64() < c.lost
	w.call(p, far, func(id uint64) controlplane.Output { return do(p, id) }, func(v any) {
		a, ok := v.(consensus.Answer)
		done(p, a, ok && !deaf)
	})
}

// send offers an order until there is a clear answer, or for so many tries.
func (c *caller) send(s sent, then func()) {
	from, tries := c.w.now, 0
	doc := consensus.Doc{Version: s.o.version, Body: s.body}
	if _, err := sysconfig.Parse(s.body); err != nil {
		c.w.breaks("SCRIPT", "%v", err)
	}
	pause := 100 * ms
	var try func()
	c.under = &Call{s.o.version, s.text, from, 0, Unclear}
	end := func(how string) {
		c.under = nil
		c.w.called(Call{s.o.version, s.text, from, c.w.now, how})
		then()
	}
	try = func() {
		c.try(func(p *proc, id uint64) controlplane.Output { return p.k.PutConfig(p.clock(), id, doc) }, func(p *proc, a consensus.Answer, ok bool) {
			switch {
			case ok && a.Result == consensus.ResultAccepted:
				c.w.kept(s.o, p)
				end(Acked)
			case ok && a.Result == consensus.ResultConflict:
				end(Differed)
			case tries == triesOf:
				end(Unclear)
			default:
				tries++
				pause = min(pause*3/2, mostRetry)
				c.w.after(pause, try)
			}
		})
	}
	try()
}

// read asks for what is in force.
func (c *caller) read(then func()) {
	w, from := c.w, c.w.now
	floor := w.acked
	c.try(func(p *proc, id uint64) controlplane.Output { return p.k.GetConfig(p.clock(), id) }, func(p *proc, a consensus.Answer, ok bool) {
		if ok && a.Result == consensus.ResultRead {
			w.seen(p, "reads", a.Doc)
			if a.Doc.Version < floor {
				w.breaks("LOST", "%s reads version %d, %d was acknowledged", p.name, a.Doc.Version, floor)
			}
			w.called(Call{a.Doc.Version, markOf(a.Doc.Body), from, w.now, Saw})
		}
		then()
	})
}

// markOf tells which of a number's texts it is. It holds nothing of the text: histories have thousands.
func markOf(body []byte) string {
	_, rest, _ := bytes.Cut(body, []byte(`"KeepaliveMs":`))
	return string(rest[:bytes.IndexFunc(rest, func(r rune) bool { return r < '0' || r > '9' })])
}

// left notes the orders that have no answer when the day ends.
func (w *world) left() {
	for _, c := range w.operators {
		if c.under != nil {
			c.under.To = w.now
			w.called(*c.under)
		}
	}
}

// called notes a call for the history.
func (w *world) called(c Call) {
	w.note("%d %q is %s", c.Number, c.Text, c.End)
	w.stats.Calls = append(w.stats.Calls, c)
}

// DrawOrders writes the script of a seed's day of orders: eight operators at once, answers that are lost, and
// takeovers, cuts, freezes and kills among them.
func DrawOrders(seed uint64) string {
	d := &drawer{rng: rand.New(rand.NewPCG(seed, 0x0d3)), core: 3, edges: 3 + int(seed%4), servers: 1}
	d.say("start %d zones 3 core %d", d.core+d.edges, d.core)
	d.say("run 1s")
	d.put()
	d.wait(5, 6)
	d.say("operators 8 %s %.2f for 30s", d.time(0.05, 0.25), 0.05+0.25*d.rng.Float64())
	half := d.some(0.4)
	troubles := []func(){
		func() { d.say("onack kill leader for %s", d.time(1, 3)) },
		func() { d.say("onack kill acker for %s", d.time(1, 3)) },
		func() { d.say("kill leader for %s", d.time(0.5, 3)) },
		func() { d.say("freeze leader for %s", d.time(0.8, 4)) },
		func() { d.say("cut leader core for %s", d.time(2, 6)) },
		func() { d.say("cut leader rest oneway for %s", d.time(2, 6)) },
		func() { d.say("cut %s rest for %s", half, d.time(2, 6)) },
		func() { d.say("kill all for %s", d.time(0.5, 2)) },
		func() { d.say("lossy leader 0.%02d for %s", 2+d.rng.IntN(20), d.time(2, 5)) },
		func() { d.say("slow leader %d for %s", 5+d.rng.IntN(200), d.time(1, 4)) },
		func() { d.say("term %s for 500ms", d.member()) },
	}
	for range 6 {
		d.wait(0.5, 5)
		troubles[d.rng.IntN(len(troubles))]()
	}
	d.wait(12, 14)
	d.say("onack wipe leader for 2s")
	d.wait(16, 17)
	return strings.Join(d.lines, "\n") + "\n"
}
