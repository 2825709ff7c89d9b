package sim

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// rules are checked by what crosses the virtual wires, not by what the gateway
// believes. The first that breaks ends the run.
type rules struct {
	w      *World
	broken string
	at     time.Duration
	tries  map[string]*judged // by id
	told   map[toldKey]time.Duration
	pro    map[string]*ceiling
}

// toldKey is a node's id, at a gateway.
type toldKey struct {
	gateway int
	node    string
}

// judged is what is known of one try.
type judged struct {
	submit   bool
	arrivals int
	mayRun   int // arrivals without proof that they did not run
	runs     int
	bodies   []uint64
	answers  int
}

// ceiling is a customer's store, filled as the rule allows at the most.
type ceiling struct {
	room float64
	at   time.Duration
}

const (
	drainGrace = 550 * time.Millisecond // with the 50 ms that all limits are longer by on sockets
	answerLate = 60 * time.Millisecond  // 50 ms, and the way back
	mostTries  = 5
	tipAfter   = time.Second
	fallTimes  = 2.5
	proQuota   = 6.0
	proBurst   = 12.0
	proSlack   = 2.4
	proWider   = 0.150 // s of the rate
)

func newRules(w *World) *rules {
	return &rules{w: w, tries: map[string]*judged{}, told: map[toldKey]time.Duration{}, pro: map[string]*ceiling{}}
}

// breaks notes the first broken rule.
func (r *rules) breaks(rule, format string, args ...any) {
	if r.broken == "" {
		r.broken, r.at = rule, r.w.s.now
		r.w.note("broken %s: %s", rule, fmt.Sprintf(format, args...))
		r.w.detail = fmt.Sprintf(format, args...)
	}
}

func (r *rules) try(id string) *judged {
	j := r.tries[id]
	if j == nil {
		j = &judged{}
		r.tries[id] = j
	}
	return j
}

// tells: a gateway's agent has written that a node drains or is gone, or is up.
func (r *rules) tells(gateway int, node string, up bool, now time.Duration) {
	k := toldKey{gateway, node}
	if up {
		delete(r.told, k)
	} else if _, ok := r.told[k]; !ok {
		r.told[k] = now
	}
}

// arrives: the last byte of an attempt has come to a node. begun is when its
// first one was sent.
func (r *rules) arrives(n *node, gateway int, id string, begun time.Duration) *judged {
	now := r.w.s.now
	j := r.try(id)
	j.arrivals++
	if j.arrivals > mostTries {
		r.breaks("attempts", "%s came to a node %d times", id, j.arrivals)
	}
	if _, ok := r.told[toldKey{gateway, n.id}]; ok {
		r.w.seen("work within the hold of a drain")
	}
	if at, ok := r.told[toldKey{gateway, n.id}]; ok && begun > at+drainGrace {
		r.breaks("drain", "g%d sent %s to %s %v after it was told that it drains or is gone", gateway, id, n.id, begun-at)
	}
	c := r.w.customers[id]
	if c != nil && c.pro && j.arrivals == 1 {
		r.units(c.key, now)
	}
	return j
}

// units: a try of a customer of pro has been sent on for the first time.
func (r *rules) units(key string, now time.Duration) {
	times := r.w.plan.ceiling()
	proRate := times * proQuota
	most := times*proBurst + proSlack + proRate*proWider
	s := r.pro[key]
	if s == nil {
		s = &ceiling{room: most, at: now}
		r.pro[key] = s
	}
	s.room = min(most, s.room+(now-s.at).Seconds()*proRate)
	s.at = now
	if s.room < most/3 {
		r.w.seen("a customer of pro near its ceiling")
	}
	if s.room--; s.room < 0 {
		r.breaks("ceiling", "customer %s of pro: %.2f units over its ceiling", key, -s.room)
	}
}

// mayRun: an attempt was not turned away with proof.
func (r *rules) mayRun(id string, j *judged) {
	if j.arrivals > 1 {
		r.w.seen("attempt after another")
	}
	if j.mayRun++; j.submit && j.mayRun > 1 {
		r.breaks("twice", "submission %s may have run %d times", id, j.mayRun)
	}
}

func (r *rules) runs(id string, j *judged) {
	if j.runs++; j.submit && j.runs > 1 {
		r.breaks("twice", "submission %s ran %d times", id, j.runs)
	}
}

// cold: work has come to a node that has just started, and that all gateways know of.
func (r *rules) cold(n *node, work float64) {
	now := r.w.s.now
	if n.knownAt == 0 || now < n.knownAt+drainGrace {
		return
	}
	if n.warmth() < 1 {
		r.w.seen("work for a cold node")
	}
	n.window = append(n.window, arrived{now, work})
	for n.window[0].at <= now-tipAfter {
		n.window = n.window[1:]
	}
	sum := 0.0
	for _, a := range n.window {
		sum += a.work
	}
	// A single request more than fits is no push: work comes in whole requests.
	if most := fallTimes * nodeCores * n.warmth() * tipAfter.Seconds(); sum-work > most && n.warmth() < 1 {
		r.breaks("cold", "%s, at %.2f of its capacity, got %.2f s of work within %v, and falls over at %.2f", n.id, n.warmth(), sum, tipAfter, most)
	}
}

// answered: a client has a whole answer.
func (r *rules) answered(t *try, status int, body []byte) {
	j := r.try(t.id)
	if j.answers++; j.answers > 1 {
		r.breaks("answers", "%s was answered %d times", t.id, j.answers)
	}
	if late := r.w.s.now - t.sent - t.timeout; late > answerLate {
		r.breaks("late", "%s was answered %v after its client had given up", t.id, late)
	}
	if status == 200 {
		sum := xxhash.Sum64(body)
		for _, b := range j.bodies {
			if b == sum {
				return
			}
		}
		r.breaks("bytes", "%s was answered with %d bytes that no node made for it", t.id, len(body))
	}
}

// lost: a request was taken, and its connection ended without a whole answer.
func (r *rules) lost(t *try, how string) {
	r.breaks("lost", "%s was taken by g%d and %s", t.id, t.gateway, how)
}

// idle: long after the last fault, a node that is well gets work again.
func (r *rules) idle() {
	const long = 5 * time.Second
	if r.broken != "" || r.w.s.fault != nil || r.w.quiet > r.w.s.now-long || len(r.w.nodes) < 2 {
		return
	}
	for _, n := range r.w.nodes {
		if since := r.w.s.now - n.last; since > long && !n.proc.dead {
			r.breaks("liveness", "%s is well and has got no work for %v", n.id, since)
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
		r.breaks("books", "g%d has %d requests open at rest", g.index, b.Open)
	case b.Under != b.Out:
		r.breaks("books", "g%d takes %d attempts to be out, its connections carry %d", g.index, b.Out, b.Under)
	case b.Clients != clients:
		r.breaks("books", "g%d counts %d clients' connections, and has %d", g.index, b.Clients, clients)
	case b.Servers != servers:
		r.breaks("books", "g%d counts %d connections to servers, and has %d", g.index, b.Servers, servers)
	}
}
