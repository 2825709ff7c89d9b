package sim

import (
	"time"

	"asterwell/internal/invariants"
)

// rules are the judge of this world. The first that breaks ends the run.
type rules struct {
	*invariants.Checker
	w      *World
	broken string
	at     time.Duration
}

const (
	drainGrace = 550 * time.Millisecond // with the 50 ms that all limits are longer by on sockets
	proQuota   = 6.0
	proBurst   = 12.0
	proSlack   = 2.4
	proWider   = 0.150 // s of the rate
)

func newRules(w *World) *rules {
	r := &rules{w: w}
	r.Checker = invariants.New(invariants.Limits{DrainGrace: drainGrace, MaxAnswerDelay: answerLate, MaxAttempts: 5, OverloadFactor: 2.5, OverloadWindow: time.Second},
		func(rule, detail string) {
			if r.broken == "" {
				r.broken, r.at = rule, w.s.now
				w.note("broken %s: %s", rule, detail)
				w.detail = detail
			}
		})
	return r
}

const answerLate = 60 * time.Millisecond // 50 ms, and the way back

// arrives: the last byte of an attempt has come to a node. begun is when its
// first one was sent.
func (r *rules) arrives(n *node, gateway int, id string, begun time.Duration) *invariants.Request {
	if r.KnowsDrain(gateway, n.id) {
		r.w.seen("work within the hold of a drain")
	}
	if told, ok := r.DrainKnownSince(gateway, n.id); ok { // a gateway that stands still hears nothing
		begun -= r.w.gateways[gateway].stoodStill(told, begun)
	}
	t := r.AttemptArrived(id, gateway, n.id, begun)
	if c := r.w.customers[id]; c != nil && c.pro && t.Arrivals == 1 {
		times := r.w.plan.ceiling()
		rate := times * proQuota
		most := times*proBurst + proSlack + rate*proWider
		if r.UnitsUsed(c.key, 1, most, rate, r.w.s.now) < most/3 {
			r.w.seen("a customer of pro near its ceiling")
		}
	}
	return t
}

// mayRun: an attempt was not turned away with proof.
func (r *rules) mayRun(id string, t *invariants.Request) {
	if t.Arrivals > 1 {
		r.w.seen("attempt after another")
	}
	r.AttemptMayRun(id)
}

// cold: work has come to a node that has just started, and that all gateways know of.
func (r *rules) cold(n *node, work float64) {
	now := r.w.s.now
	switch {
	case n.knownAt == 0 || now < n.knownAt+drainGrace:
	case n.warmth() >= 1:
		r.ServerWarm(n.id)
	default:
		r.w.seen("work for a cold node")
		r.ColdWork(n.id, work, nodeCores*n.warmth(), now)
	}
}

// answered: a client has a whole answer. It may be late if its gateway stood still, but never another one.
func (r *rules) answered(t *try, status int, body []byte) {
	late := r.w.s.now - t.sent - t.timeout
	if r.w.heldUp(t) {
		late = 0
	}
	r.ClientAnswered(t.id, status, body, late)
}

// wholeBody: a node has got a request with the body that its client sent.
func (r *rules) wholeBody(id string, size int) {
	if want, long := r.w.bodySizes[id]; long && size != want {
		r.Violation("bytes", "%s came with %d bytes, its client sends %d", id, size, want)
	}
}

// idle: long after the last fault, a node that is well gets work again.
func (r *rules) idle() {
	const long = 5 * time.Second
	if r.broken != "" || r.w.s.fault != nil || r.w.quiet > r.w.s.now-long || len(r.w.nodes) < 2 {
		return
	}
	for _, n := range r.w.nodes {
		if since := r.w.s.now - n.last; since > long && !n.proc.dead {
			r.Violation("liveness", "%s is well and has got no work for %v", n.id, since)
		}
	}
}

// books: what a gateway at rest takes to be open.
func (r *rules) books(g *gateway) {
	b := g.program.Books()
	clients, servers := 0, 0
	for c := range g.host.conns {
		if c.local == g.addr {
			clients++
		} else if len(c.remote) > 5 && c.remote[:5] == "10.1." {
			servers++
		}
	}
	switch {
	case b.Open != 0:
		r.Violation("books", "g%d has %d requests open at rest", g.index, b.Open)
	case b.Under != b.InFlight:
		r.Violation("books", "g%d takes %d attempts to be out, its connections carry %d", g.index, b.InFlight, b.Under)
	case b.Clients != clients:
		r.Violation("books", "g%d counts %d clients' connections, and has %d", g.index, b.Clients, clients)
	case b.Servers != servers:
		r.Violation("books", "g%d counts %d connections to servers, and has %d", g.index, b.Servers, servers)
	}
}
