package systemsim

import (
	"reflect"
	"time"

	"github.com/fxamacker/cbor/v2"

	"asterwell/internal/controlplane"
	"asterwell/internal/fsm"
)

// stalls is how long a connection lives on when only one way of it is cut.
const stalls = 900 * ms

// carry brings a message to a process, or loses it. Those from one to another come in
// the order in which they went out, like on a connection.
func (w *world) carry(p *proc, s fsm.Send) {
	to := w.byAddr[s.To]
	if to == nil {
		return
	}
	for _, msg := range w.bug.send(p, s.Msg) {
		w.stats.Messages++
		if w.wire {
			msg = copied(msg)
		}
		if to == p {
			life := p.life
			w.after(0, func() {
				if p.life == life {
					p.input(func() controlplane.Output { return p.k.Receive(p.clock(), p.addr, msg) })
				}
			})
			continue
		}
		d := 100*time.Microsecond + w.upTo(200*time.Microsecond)
		if w.gauge != nil {
			var more time.Duration
			msg, more = w.gauge.pass(p, to, msg)
			d += more
		}
		if to.zone != p.zone {
			d += 800 * time.Microsecond
		}
		for w.rng.Float64() < max(p.lossy, to.lossy) { // packets are sent again
			d += 200*ms + w.upTo(100*ms)
		}
		cost := time.Duration(0)
		if w.processor != nil {
			cost = w.processor.carries(p, to)
			d += w.processor.worked(p, cost) + w.spread(p, to, msg)
		}
		d = max(d, p.sent[to]-w.now)
		p.sent[to] = w.now + d
		from, life, sent := p.addr, to.life, w.now
		arrives := func() {
			if to.life == life && w.torn[link{from, to.addr}] <= sent && !w.severed(from, to.addr) {
				to.input(func() controlplane.Output { return to.k.Receive(to.clock(), from, msg) })
			}
		}
		if cost > 0 {
			came := arrives
			arrives = func() { w.after(w.processor.worked(to, cost), came) }
		}
		w.after(d, func() {
			if h := w.holds[link{from, to.addr}]; h != nil {
				h.ice = append(h.ice, arrives)
				return
			}
			arrives()
		})
	}
}

// severed tells whether nothing gets from one to the other. Where only the way back is
// cut, what comes is not confirmed, and the connection ends after a while.
func (w *world) severed(from, to string) bool {
	if len(w.cuts) == 0 {
		return false
	}
	if len(w.cuts[link{from, to}]) > 0 {
		return true
	}
	back := w.cuts[link{to, from}]
	return len(back) > 0 && w.now-back[0].since > stalls
}

// apart tells whether there is no path in both directions.
func (w *world) apart(a, b *proc) bool {
	if len(w.cuts)+len(w.holds) == 0 {
		return false
	}
	for _, l := range []link{{a.addr, b.addr}, {b.addr, a.addr}} {
		if len(w.cuts[l]) > 0 || w.holds[l] != nil {
			return true
		}
	}
	return false
}

func copied(msg any) any {
	data, err := cbor.Marshal(msg)
	if err != nil {
		panic(err)
	}
	to := reflect.New(reflect.TypeOf(msg))
	if err := cbor.Unmarshal(data, to.Interface()); err != nil {
		panic(err)
	}
	return to.Elem().Interface()
}
